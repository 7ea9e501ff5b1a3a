/* Tests retransmitted first packets that arrive at another node than the one
 * that placed the flow. Guards against placing the flow twice: the two
 * endpoints would disturb each other's connection. */
#include "director_fixture.h"
#include "jt_flow_lookup.h"
#include "jt_feature.h"

enum {
	PEERS = 4,
	RETRANSMIT_MS = 200, /* client's first retransmission timeout */
	LOOKUP_RTT_MS = 1,
};

/* Sends a tick with the node's peers. */
static void fixture_set_peers(struct fixture *fixture, size_t count)
{
	static const uint64_t peers[PEERS] = {11, 12, 13, 14};
	struct jt_director_event event = {.kind = JT_DIRECTOR_TICK};

	event.u.tick.nodes = count + 1;
	event.u.tick.node_id = 1;
	event.u.tick.peers = peers;
	event.u.tick.peer_count = count;
	fixture_handle(fixture, &event);
}

/* Creates two nodes with the same endpoints that know each other. */
static void create_two_nodes(struct fixture *nodes[2],
			     uint32_t disabled_features)
{
	for (int i = 0; i < 2; i++) {
		nodes[i] = fixture_add_two_endpoints(
			fixture_create_with_disabled(0, disabled_features));
		fixture_set_peers(nodes[i], PEERS);
	}
}

static void nodes_free(struct fixture *nodes[2])
{
	talloc_free(nodes[0]);
	talloc_free(nodes[1]);
}

static void advance_nodes(struct fixture *nodes[2], uint64_t duration_ms)
{
	nodes[0]->now_ms += duration_ms;
	nodes[1]->now_ms += duration_ms;
}

/* Sends the client's first retransmission through the node; returns true if it
 * is forwarded at once. */
static bool send_retransmitted_syn(struct fixture *fixture,
				   struct client_flow *flow)
{
	flow->acknowledged = 1;
	return flow_send_syn(fixture, flow) != 0;
}

/* Sends the held packet again; returns the endpoint, 0 if it is still held. */
static uint64_t send_held_syn(struct fixture *fixture,
			      const struct client_flow *flow)
{
	const struct jt_director_action *forward =
		flow_send_held(fixture, flow, JT_PACKET_SYN, 0, LOOKUP_RTT_MS);

	return forward != NULL ? forward->endpoint_id : 0;
}

static void deliver_lookup_response(struct fixture *fixture,
				    const struct client_flow *flow,
				    uint32_t label)
{
	struct jt_director_event event = {
		.kind = JT_DIRECTOR_FLOW_LOOKUP_RESPONSE};

	event.u.flow_lookup_response.key = flow->key;
	event.u.flow_lookup_response.sequence = flow->sequence;
	event.u.flow_lookup_response.label = label;
	fixture_handle(fixture, &event);
}

static void lookup_sent(struct fixture *fixture, const struct client_flow *flow,
			size_t peers)
{
	jt_director_flow_lookup_sent(fixture->director, &flow->key, peers,
				     fixture->now_ms);
}

/* A retransmission through another node goes to the endpoint of the original.
 */
static void test_retransmission_through_another_node(void **state)
{
	struct fixture *nodes[2];

	(void)state;
	create_two_nodes(nodes, 0);
	for (int i = 0; i < 50; i++) {
		struct client_flow flow =
			flow_new(nodes[0], CLIENT_IP, BOARD_PORT);
		uint64_t endpoint = flow_send_syn(nodes[0], &flow);
		uint32_t label;

		assert_int_not_equal(endpoint, 0);
		advance_nodes(nodes, RETRANSMIT_MS);
		assert_false(send_retransmitted_syn(nodes[1], &flow));
		assert_non_null(
			fixture_find_action(nodes[1], JT_DIRECTOR_FLOW_LOOKUP));
		assert_non_null(
			fixture_find_action(nodes[1], JT_DIRECTOR_HOLD));
		lookup_sent(nodes[1], &flow, PEERS);
		label = jt_director_flow_label(nodes[0]->director, &flow.key,
					       flow.sequence);
		assert_int_equal(label, jt_flow_label(endpoint));
		/* Other peers answer before and after, without knowing the
		 * flow. */
		deliver_lookup_response(nodes[1], &flow, 0);
		assert_int_equal(send_held_syn(nodes[1], &flow), 0);
		deliver_lookup_response(nodes[1], &flow, label);
		assert_int_equal(send_held_syn(nodes[1], &flow), endpoint);
		deliver_lookup_response(nodes[1], &flow, 0);
		assert_int_equal(send_held_syn(nodes[1], &flow), endpoint);
	}
	nodes_free(nodes);
}

static void test_held_packet_starts_no_second_lookup(void **state)
{
	struct fixture *nodes[2];
	struct client_flow flow;

	(void)state;
	create_two_nodes(nodes, 0);
	flow = flow_new(nodes[1], CLIENT_IP, BOARD_PORT);
	assert_false(send_retransmitted_syn(nodes[1], &flow));
	lookup_sent(nodes[1], &flow, PEERS);
	/* A duplicate made by the network. */
	assert_false(send_retransmitted_syn(nodes[1], &flow));
	assert_null(fixture_find_action(nodes[1], JT_DIRECTOR_FLOW_LOOKUP));
	nodes_free(nodes);
}

static void test_flow_unknown_to_peers_is_placed(void **state)
{
	struct fixture *nodes[2];
	struct client_flow flow;

	(void)state;
	create_two_nodes(nodes, 0);
	flow = flow_new(nodes[1], CLIENT_IP, BOARD_PORT);
	assert_false(send_retransmitted_syn(nodes[1], &flow));
	lookup_sent(nodes[1], &flow, PEERS);
	for (int i = 0; i < PEERS; i++) {
		assert_int_equal(send_held_syn(nodes[1], &flow), 0);
		deliver_lookup_response(nodes[1], &flow, 0);
	}
	assert_int_not_equal(send_held_syn(nodes[1], &flow), 0);
	nodes_free(nodes);
}

static void test_lookup_times_out(void **state)
{
	struct fixture *nodes[2];
	struct client_flow flow;

	(void)state;
	create_two_nodes(nodes, 0);
	flow = flow_new(nodes[1], CLIENT_IP, BOARD_PORT);
	assert_false(send_retransmitted_syn(nodes[1], &flow));
	lookup_sent(nodes[1], &flow, PEERS);
	advance_nodes(nodes, JT_FLOW_LOOKUP_MS - 1);
	assert_int_equal(send_held_syn(nodes[1], &flow), 0);
	advance_nodes(nodes, 1);
	assert_int_not_equal(send_held_syn(nodes[1], &flow), 0);
	nodes_free(nodes);
}

static void test_lookup_without_peers(void **state)
{
	struct fixture *nodes[2];
	struct client_flow flow;

	(void)state;
	create_two_nodes(nodes, 0);
	flow = flow_new(nodes[1], CLIENT_IP, BOARD_PORT);
	assert_false(send_retransmitted_syn(nodes[1], &flow));
	lookup_sent(nodes[1], &flow, 0);
	assert_int_not_equal(send_held_syn(nodes[1], &flow), 0);
	/* A node without peers starts no lookup. */
	fixture_set_peers(nodes[1], 0);
	flow = flow_new(nodes[1], CLIENT_IP, BOARD_PORT);
	assert_true(send_retransmitted_syn(nodes[1], &flow));
	nodes_free(nodes);
}

/* Only a retransmission implies an earlier packet. */
static void test_first_packet_starts_no_lookup(void **state)
{
	struct fixture *nodes[2];
	struct client_flow flow;

	(void)state;
	create_two_nodes(nodes, 0);
	flow = flow_new(nodes[1], CLIENT_IP, BOARD_PORT);
	assert_int_not_equal(flow_send_syn(nodes[1], &flow), 0);
	assert_null(fixture_find_action(nodes[1], JT_DIRECTOR_FLOW_LOOKUP));
	nodes_free(nodes);
}

/* A lookup response with an endpoint unknown to this node is ignored. */
static void test_unusable_lookup_responses(void **state)
{
	struct fixture *nodes[2];
	struct client_flow flow;

	(void)state;
	create_two_nodes(nodes, 0);
	flow = flow_new(nodes[1], CLIENT_IP, BOARD_PORT);
	assert_false(send_retransmitted_syn(nodes[1], &flow));
	lookup_sent(nodes[1], &flow, 1);
	deliver_lookup_response(nodes[1], &flow, jt_flow_label(0x999));
	assert_int_not_equal(send_held_syn(nodes[1], &flow), 0);
	/* Responses without a pending lookup are ignored. */
	deliver_lookup_response(nodes[1], &flow, jt_flow_label(0x101));
	flow.key.source_port++;
	deliver_lookup_response(nodes[1], &flow, jt_flow_label(0x101));
	assert_int_equal(jt_director_flow_count(nodes[1]->director), 1);
	nodes_free(nodes);
}

/* The client reuses the port: the peer's flow is an earlier one. */
static void test_earlier_flow_of_the_port_is_not_reported(void **state)
{
	struct fixture *nodes[2];
	struct client_flow flow;

	(void)state;
	create_two_nodes(nodes, 0);
	flow = flow_new(nodes[0], CLIENT_IP, BOARD_PORT);
	assert_int_not_equal(flow_send_syn(nodes[0], &flow), 0);
	assert_int_equal(jt_director_flow_label(nodes[0]->director, &flow.key,
						flow.sequence + 0x40000000),
			 0);
	nodes_free(nodes);
}

/* Retransmissions of thousands of flows cause a bounded number of messages. */
static void test_lookup_messages_are_bounded(void **state)
{
	enum { RETRANSMISSIONS = 5000, MESSAGES_MAX = 600 };
	struct fixture *nodes[2];
	unsigned messages = 0, placed = 0;

	(void)state;
	create_two_nodes(nodes, 0);
	for (int i = 0; i < RETRANSMISSIONS; i++) {
		struct client_flow flow =
			flow_new(nodes[1], CLIENT_IP + (uint32_t)i, BOARD_PORT);

		if (i % 10 == 0)
			advance_nodes(nodes, 1);
		placed += send_retransmitted_syn(nodes[1], &flow);
		if (fixture_find_action(nodes[1], JT_DIRECTOR_FLOW_LOOKUP) ==
		    NULL)
			continue;
		lookup_sent(nodes[1], &flow, PEERS);
		messages += PEERS;
	}
	assert_in_range(messages, PEERS, MESSAGES_MAX);
	assert_int_equal(placed, RETRANSMISSIONS - messages / PEERS);
	nodes_free(nodes);
}

static void test_lookup_switched_off(void **state)
{
	struct fixture *nodes[2];
	struct client_flow flow;

	(void)state;
	create_two_nodes(nodes, JT_FEATURE_FLOW_LOOKUP);
	flow = flow_new(nodes[1], CLIENT_IP, BOARD_PORT);
	assert_true(send_retransmitted_syn(nodes[1], &flow));
	nodes_free(nodes);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_retransmission_through_another_node),
		cmocka_unit_test(test_held_packet_starts_no_second_lookup),
		cmocka_unit_test(test_flow_unknown_to_peers_is_placed),
		cmocka_unit_test(test_lookup_times_out),
		cmocka_unit_test(test_lookup_without_peers),
		cmocka_unit_test(test_first_packet_starts_no_lookup),
		cmocka_unit_test(test_unusable_lookup_responses),
		cmocka_unit_test(test_earlier_flow_of_the_port_is_not_reported),
		cmocka_unit_test(test_lookup_messages_are_bounded),
		cmocka_unit_test(test_lookup_switched_off),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
