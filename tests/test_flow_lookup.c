/*
 * Copies of first packets that come through another node than the one that
 * placed the flow: routers moved it while its answer was on the way. Each
 * endpoint that answers takes the caller's packets from the other.
 */
#include "director_fixture.h"
#include "jt_flow_lookup.h"
#include "jt_mechanism.h"

enum {
	PEERS = 4,
	COPY_MS = 200, /* after which a caller sends its first copy */
	ANSWER_MS = 1,
};

/* A tick tells the node of its peers. */
static void bench_peers(struct bench *bench, size_t count)
{
	static const uint64_t peers[PEERS] = {11, 12, 13, 14};
	struct jt_director_event event = {.kind = JT_DIRECTOR_TICK};

	event.u.tick.nodes = count + 1;
	event.u.tick.node_id = 1;
	event.u.tick.peers = peers;
	event.u.tick.peer_count = count;
	bench_event(bench, &event);
}

/* Two nodes that know the same endpoints, and each other. */
static void two_nodes(struct bench *nodes[2], uint32_t without)
{
	for (int i = 0; i < 2; i++) {
		nodes[i] = two_endpoints_of(bench_create_without(0, without));
		bench_peers(nodes[i], PEERS);
	}
}

static void nodes_free(struct bench *nodes[2])
{
	talloc_free(nodes[0]);
	talloc_free(nodes[1]);
}

static void later(struct bench *nodes[2], uint64_t by_ms)
{
	nodes[0]->now_ms += by_ms;
	nodes[1]->now_ms += by_ms;
}

/* The caller's first copy through the node; whether it goes on at once. */
static bool copy_send(struct bench *bench, struct caller_flow *flow)
{
	flow->acknowledged = 1;
	return flow_syn(bench, flow) != 0;
}

/* The held copy is offered again. */
static uint64_t copy_offer(struct bench *bench, const struct caller_flow *flow)
{
	const struct jt_director_action *forward =
		flow_offer(bench, flow, JT_PACKET_SYN, 0, ANSWER_MS);

	return forward != NULL ? forward->endpoint_id : 0;
}

static void told(struct bench *bench, const struct caller_flow *flow,
		 uint32_t label)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_FLOW_TOLD};

	event.u.flow_told.key = flow->key;
	event.u.flow_told.sequence = flow->sequence;
	event.u.flow_told.label = label;
	bench_event(bench, &event);
}

static void asked(struct bench *bench, const struct caller_flow *flow,
		  size_t peers)
{
	jt_director_flow_asked(bench->director, &flow->key, peers,
			       bench->now_ms);
}

/* Soak seed 97053982: a copy through the zone's other node was placed anew. */
static void test_copy_through_another_node_stays(void **state)
{
	struct bench *nodes[2];

	(void)state;
	two_nodes(nodes, 0);
	for (int i = 0; i < 50; i++) {
		struct caller_flow flow =
			flow_new(nodes[0], CALLER, BOARD_PORT);
		uint64_t endpoint = flow_syn(nodes[0], &flow);
		uint32_t label;

		assert_int_not_equal(endpoint, 0);
		later(nodes, COPY_MS);
		assert_false(copy_send(nodes[1], &flow));
		assert_non_null(bench_find(nodes[1], JT_DIRECTOR_FLOW_ASK));
		assert_non_null(bench_find(nodes[1], JT_DIRECTOR_HOLD));
		asked(nodes[1], &flow, PEERS);
		label = jt_director_flow_label(nodes[0]->director, &flow.key,
					       flow.sequence);
		assert_int_equal(label, jt_flow_label(endpoint));
		/* Others answer first, and one after. */
		told(nodes[1], &flow, 0);
		assert_int_equal(copy_offer(nodes[1], &flow), 0);
		told(nodes[1], &flow, label);
		assert_int_equal(copy_offer(nodes[1], &flow), endpoint);
		told(nodes[1], &flow, 0);
		assert_int_equal(copy_offer(nodes[1], &flow), endpoint);
	}
	nodes_free(nodes);
}

static void test_held_copy_is_not_asked_for_again(void **state)
{
	struct bench *nodes[2];
	struct caller_flow flow;

	(void)state;
	two_nodes(nodes, 0);
	flow = flow_new(nodes[1], CALLER, BOARD_PORT);
	assert_false(copy_send(nodes[1], &flow));
	asked(nodes[1], &flow, PEERS);
	/* The network's double. */
	assert_false(copy_send(nodes[1], &flow));
	assert_null(bench_find(nodes[1], JT_DIRECTOR_FLOW_ASK));
	nodes_free(nodes);
}

static void test_flow_that_no_peer_knows_is_placed(void **state)
{
	struct bench *nodes[2];
	struct caller_flow flow;

	(void)state;
	two_nodes(nodes, 0);
	flow = flow_new(nodes[1], CALLER, BOARD_PORT);
	assert_false(copy_send(nodes[1], &flow));
	asked(nodes[1], &flow, PEERS);
	for (int i = 0; i < PEERS; i++) {
		assert_int_equal(copy_offer(nodes[1], &flow), 0);
		told(nodes[1], &flow, 0);
	}
	assert_int_not_equal(copy_offer(nodes[1], &flow), 0);
	nodes_free(nodes);
}

static void test_silent_peers_hold_nothing_up(void **state)
{
	struct bench *nodes[2];
	struct caller_flow flow;

	(void)state;
	two_nodes(nodes, 0);
	flow = flow_new(nodes[1], CALLER, BOARD_PORT);
	assert_false(copy_send(nodes[1], &flow));
	asked(nodes[1], &flow, PEERS);
	later(nodes, JT_FLOW_LOOKUP_MS - 1);
	assert_int_equal(copy_offer(nodes[1], &flow), 0);
	later(nodes, 1);
	assert_int_not_equal(copy_offer(nodes[1], &flow), 0);
	nodes_free(nodes);
}

static void test_nobody_to_ask(void **state)
{
	struct bench *nodes[2];
	struct caller_flow flow;

	(void)state;
	two_nodes(nodes, 0);
	flow = flow_new(nodes[1], CALLER, BOARD_PORT);
	assert_false(copy_send(nodes[1], &flow));
	asked(nodes[1], &flow, 0);
	assert_int_not_equal(copy_offer(nodes[1], &flow), 0);
	/* A node that knows of no other asks at no time. */
	bench_peers(nodes[1], 0);
	flow = flow_new(nodes[1], CALLER, BOARD_PORT);
	assert_true(copy_send(nodes[1], &flow));
	nodes_free(nodes);
}

/* Only a copy tells that there was a packet before. */
static void test_first_packets_wait_for_nobody(void **state)
{
	struct bench *nodes[2];
	struct caller_flow flow;

	(void)state;
	two_nodes(nodes, 0);
	flow = flow_new(nodes[1], CALLER, BOARD_PORT);
	assert_int_not_equal(flow_syn(nodes[1], &flow), 0);
	assert_null(bench_find(nodes[1], JT_DIRECTOR_FLOW_ASK));
	nodes_free(nodes);
}

/* A peer's word leads to no endpoint that this node knows to be dead, nor to
 * one that it does not know. */
static void test_useless_answers(void **state)
{
	struct bench *nodes[2];
	struct caller_flow flow;

	(void)state;
	two_nodes(nodes, 0);
	flow = flow_new(nodes[1], CALLER, BOARD_PORT);
	assert_false(copy_send(nodes[1], &flow));
	asked(nodes[1], &flow, 1);
	told(nodes[1], &flow, jt_flow_label(0x999));
	assert_int_not_equal(copy_offer(nodes[1], &flow), 0);
	/* What comes when nobody waits changes nothing. */
	told(nodes[1], &flow, jt_flow_label(0x101));
	flow.key.source_port++;
	told(nodes[1], &flow, jt_flow_label(0x101));
	assert_int_equal(jt_director_flow_count(nodes[1]->director), 1);
	nodes_free(nodes);
}

/* The caller uses the port again: the peer's flow is an earlier one. */
static void test_earlier_flow_of_the_port_is_not_told(void **state)
{
	struct bench *nodes[2];
	struct caller_flow flow;

	(void)state;
	two_nodes(nodes, 0);
	flow = flow_new(nodes[0], CALLER, BOARD_PORT);
	assert_int_not_equal(flow_syn(nodes[0], &flow), 0);
	assert_int_equal(jt_director_flow_label(nodes[0]->director, &flow.key,
						flow.sequence + 0x40000000),
			 0);
	nodes_free(nodes);
}

/* Lost packets by the thousand cost a bounded number of messages. */
static void test_questions_are_bounded(void **state)
{
	enum { COPIES = 5000, MESSAGES_MOST = 600 };
	struct bench *nodes[2];
	unsigned messages = 0, placed = 0;

	(void)state;
	two_nodes(nodes, 0);
	for (int i = 0; i < COPIES; i++) {
		struct caller_flow flow =
			flow_new(nodes[1], CALLER + (uint32_t)i, BOARD_PORT);

		if (i % 10 == 0)
			later(nodes, 1);
		placed += copy_send(nodes[1], &flow);
		if (bench_find(nodes[1], JT_DIRECTOR_FLOW_ASK) == NULL)
			continue;
		asked(nodes[1], &flow, PEERS);
		messages += PEERS;
	}
	assert_in_range(messages, PEERS, MESSAGES_MOST);
	assert_int_equal(placed, COPIES - messages / PEERS);
	nodes_free(nodes);
}

static void test_switched_off(void **state)
{
	struct bench *nodes[2];
	struct caller_flow flow;

	(void)state;
	two_nodes(nodes, JT_MECHANISM_FLOW_LOOKUP);
	flow = flow_new(nodes[1], CALLER, BOARD_PORT);
	assert_true(copy_send(nodes[1], &flow));
	nodes_free(nodes);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_copy_through_another_node_stays),
		cmocka_unit_test(test_held_copy_is_not_asked_for_again),
		cmocka_unit_test(test_flow_that_no_peer_knows_is_placed),
		cmocka_unit_test(test_silent_peers_hold_nothing_up),
		cmocka_unit_test(test_nobody_to_ask),
		cmocka_unit_test(test_first_packets_wait_for_nobody),
		cmocka_unit_test(test_useless_answers),
		cmocka_unit_test(test_earlier_flow_of_the_port_is_not_told),
		cmocka_unit_test(test_questions_are_bounded),
		cmocka_unit_test(test_switched_off),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
