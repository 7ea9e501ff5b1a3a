/* Tests flow placement by label: each guarantee holds, and the test of it fails
 * when a fault disables the protection that provides it. */
#include "director_fixture.h"

static void test_any_node_forwards_by_label(void **state)
{
	struct fixture *first = fixture_with_two_endpoints(0),
		       *second = fixture_with_two_endpoints(0);
	struct client_flow flow = flow_new(first, CLIENT_IP, BOARD_PORT);
	const struct jt_director_action *forward;

	(void)state;
	flow_open(first, &flow);
	forward = flow_send(second, &flow, JT_PACKET_ACK, 100);
	assert_non_null(forward);
	assert_int_equal(forward->endpoint_id, flow.endpoint_id);
	assert_int_equal(forward->reason, JT_DIRECTOR_LABELLED);
	talloc_free(first);
	talloc_free(second);
}

static void test_packets_are_held_until_started(void **state)
{
	struct fixture *fixture = fixture_create(0);
	struct client_flow flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);

	(void)state;
	assert_int_equal(flow_send_syn(fixture, &flow), 0);
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_HOLD));
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_RESET));
	fixture_set_routing(fixture, 1, 1, 1);
	assert_int_equal(flow_send_syn(fixture, &flow), 0);
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_HOLD));
	fixture_add_endpoint(fixture, 0x101, SERVICE_BOARD, ZONE_A, 2);
	fixture_end_listing(fixture, 2);
	assert_int_equal(flow_send_syn(fixture, &flow), 0x101);
	talloc_free(fixture);
}

static void test_unknown_route_is_reset_at_once(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct client_flow flow = flow_new(fixture, CLIENT_IP, 9999);

	(void)state;
	assert_int_equal(flow_send_syn(fixture, &flow), 0);
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_RESET));
	assert_int_equal(
		fixture_find_action(fixture, JT_DIRECTOR_RESET)->reason,
		JT_DIRECTOR_NO_ROUTE);
	talloc_free(fixture);
}

static void test_endpoint_side_packets_are_dropped(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct client_flow flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);

	(void)state;
	flow.label = jt_flow_label(0x101);
	assert_null(
		flow_send(fixture, &flow, JT_PACKET_SYN | JT_PACKET_ACK, 0));
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_DROP));
	flow.label = 0;
	assert_null(flow_send(fixture, &flow, JT_PACKET_ACK, 10));
	flow.label = 0xdeadbeef;
	assert_null(flow_send(fixture, &flow, JT_PACKET_ACK, 10));
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_RESET));
	talloc_free(fixture);
}

/* Returns true if retransmitted first packets reach the endpoint of the
 * original. */
static bool retransmissions_reach_same_endpoint(unsigned injected_fault)
{
	struct fixture *fixture = fixture_with_two_endpoints(injected_fault);
	bool same = true;

	for (int i = 0; i < 20; i++) {
		struct client_flow flow =
			flow_new(fixture, CLIENT_IP + i, BOARD_PORT);
		uint64_t first = flow_send_syn(fixture, &flow);

		fixture->now_ms += 200;
		flow.acknowledged = 1;
		same = same && flow_send_syn(fixture, &flow) == first;
	}
	talloc_free(fixture);
	return same;
}

static void test_retransmitted_syn_goes_to_same_endpoint(void **state)
{
	(void)state;
	assert_true(retransmissions_reach_same_endpoint(0));
	assert_false(retransmissions_reach_same_endpoint(
		JT_DIRECTOR_FAULT_REASSIGN_RETRANSMITTED));
}

/* Guards against placing a late duplicate of the first packet anew when the
 * flow is already open. */
/* Guards against copies of a first packet, which a full endpoint leaves
 * unanswered, that go to the old service after a new routing is in force. */
static void test_retransmitted_syn_follows_the_routing(void **state)
{
	const struct jt_director_action *reset;
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct client_flow flow, open;

	(void)state;
	fixture_add_endpoint(fixture, 0x201, SERVICE_EXPORT, ZONE_A, 4);
	fixture_set_routing(fixture, 2, 1, 0);
	flow = flow_new(fixture, CLIENT_IP, SPLIT_PORT);
	assert_int_equal(flow_send_syn(fixture, &flow) & 0x100, 0x100);
	open = flow_new(fixture, CLIENT_IP + 1, SPLIT_PORT);
	flow_open(fixture, &open);
	fixture->now_ms += 100;
	fixture_set_routing(fixture, 3, 0, 1);
	/* The network's duplicate was sent before, and belongs to the flow. */
	assert_non_null(flow_send(fixture, &flow, JT_PACKET_SYN, 0));
	fixture->now_ms += 100;
	flow.acknowledged = 1; /* the first copy */
	assert_null(flow_send(fixture, &flow, JT_PACKET_SYN, 0));
	reset = fixture_find_action(fixture, JT_DIRECTOR_RESET);
	assert_non_null(reset);
	assert_int_equal(reset->reason, JT_DIRECTOR_ROUTE_CHANGED);
	/* An open flow stays where it is. */
	assert_int_equal(
		flow_send(fixture, &open, JT_PACKET_ACK, 10)->endpoint_id,
		open.endpoint_id);
	flow = flow_new(fixture, CLIENT_IP, SPLIT_PORT);
	assert_int_equal(flow_send_syn(fixture, &flow), 0x201);
	talloc_free(fixture);
}

static void test_late_duplicate_syn_goes_to_same_endpoint(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);

	(void)state;
	for (int i = 0; i < 20; i++) {
		struct client_flow flow =
			flow_new(fixture, CLIENT_IP + i, BOARD_PORT);
		struct client_flow first = flow;
		uint64_t endpoint_id;

		flow_open(fixture, &flow);
		endpoint_id = flow.endpoint_id;
		flow_request(fixture, &flow, 20);
		assert_int_equal(flow_send_syn(fixture, &first), endpoint_id);
		/* The duplicate causes no suspicion of the endpoint. */
		assert_int_equal(
			fixture_count_actions(fixture, JT_DIRECTOR_PROBE), 0);
	}
	talloc_free(fixture);
}

/* The same for a flow whose first packet went through another node. */
static void test_late_syn_of_a_known_flow_goes_to_same_endpoint(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);

	(void)state;
	for (int i = 0; i < 20; i++) {
		struct client_flow flow =
			flow_new(fixture, CLIENT_IP + i, BOARD_PORT);
		struct client_flow first = flow;

		flow.label = jt_flow_label(0x101);
		flow.sequence++;
		flow.acknowledged = 5000;
		flow_send(fixture, &flow, JT_PACKET_ACK, 100);
		assert_int_equal(flow_send_syn(fixture, &first), 0x101);
	}
	talloc_free(fixture);
}

/* A client that reuses a port later opens a new flow. */
static void test_reused_port_is_a_new_flow(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct client_flow flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);
	struct jt_endpoint_entry entry;

	(void)state;
	flow_open(fixture, &flow);
	entry = make_entry(flow.endpoint_id, SERVICE_BOARD, ZONE_A, 50);
	entry.draining = true;
	fixture_set_entry(fixture, entry);
	flow.sequence += 0x20000000;
	flow.acknowledged = 0;
	flow.label = 0;
	assert_int_not_equal(flow_send_syn(fixture, &flow), entry.id);
	talloc_free(fixture);
}

/* Guards against treating data duplicated by the network as a retransmission.
 */
static void test_duplicated_data_is_no_retransmission(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct client_flow flow, other;

	(void)state;
	open_flow_at_each(fixture, &flow, &other);
	flow_request(fixture, &flow, 20);
	flow_send(fixture, &flow, JT_PACKET_ACK, 100);
	for (int i = 0; i < 3; i++) {
		fixture->now_ms += 20;
		flow_send(fixture, &flow, JT_PACKET_ACK, 100);
		assert_int_equal(
			fixture_count_actions(fixture, JT_DIRECTOR_PROBE), 0);
	}
	/* The client's own retransmission comes after 200 ms. */
	fixture->now_ms += 140;
	flow_send(fixture, &flow, JT_PACKET_ACK, 100);
	assert_int_equal(fixture_count_actions(fixture, JT_DIRECTOR_PROBE), 1);
	talloc_free(fixture);
}

static bool draining_gets_no_new_flows(unsigned injected_fault)
{
	struct fixture *fixture = fixture_with_two_endpoints(injected_fault);
	struct jt_endpoint_entry entry =
		make_entry(0x101, SERVICE_BOARD, ZONE_A, 4);
	struct client_flow open_flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);
	bool none = true;

	do {
		open_flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);
		flow_open(fixture, &open_flow);
	} while (open_flow.endpoint_id != 0x101);
	entry.draining = true;
	fixture_set_entry(fixture, entry);
	for (int i = 0; i < 20; i++) {
		struct client_flow flow =
			flow_new(fixture, CLIENT_IP + i, BOARD_PORT);

		none = none && flow_send_syn(fixture, &flow) == 0x102;
	}
	/* Its open flows are still forwarded. */
	assert_non_null(flow_send(fixture, &open_flow, JT_PACKET_ACK, 10));
	talloc_free(fixture);
	return none;
}

static void test_draining_endpoint_gets_no_new_flows(void **state)
{
	(void)state;
	assert_true(draining_gets_no_new_flows(0));
	assert_false(draining_gets_no_new_flows(JT_DIRECTOR_FAULT_DRAINING));
}

/* Returns true if a flow is still forwarded after its endpoint's entry expired.
 */
static bool flow_survives_entry_expiry(unsigned injected_fault)
{
	struct fixture *fixture = fixture_with_two_endpoints(injected_fault);
	struct client_flow flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);
	bool forwarded;

	flow_open(fixture, &flow);
	fixture_remove_entry(fixture, flow.endpoint_id, 9);
	forwarded = flow_send(fixture, &flow, JT_PACKET_ACK, 100) != NULL;
	talloc_free(fixture);
	return forwarded;
}

static void test_flows_survive_entry_expiry(void **state)
{
	(void)state;
	assert_true(flow_survives_entry_expiry(0));
	assert_false(
		flow_survives_entry_expiry(JT_DIRECTOR_FAULT_FORGET_REMOVED));
}

static void test_expired_endpoints_are_a_last_resort(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct client_flow flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);

	(void)state;
	fixture_remove_entry(fixture, 0x101, 8);
	assert_int_equal(flow_send_syn(fixture, &flow), 0x102);
	fixture_remove_entry(fixture, 0x102, 9);
	flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);
	assert_int_not_equal(flow_send_syn(fixture, &flow), 0);
	/* Expired endpoints are a last resort only as long as a draining one
	 * may get new flows. */
	fixture_tick(fixture, 2500);
	flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);
	assert_int_equal(flow_send_syn(fixture, &flow), 0);
	talloc_free(fixture);
}

/* Lets the entry of one of two endpoints expire just after a store outage;
 * returns the endpoint of the next flow. */
static uint64_t place_after_expiry_in_outage(struct fixture *fixture,
					     bool answers_requests,
					     uint64_t delay_ms)
{
	struct jt_director_event tick = {.kind = JT_DIRECTOR_TICK};
	struct client_flow first, second, flow;

	open_flow_at_each(fixture, &first, &second);
	tick.u.tick.nodes = 1;
	tick.u.tick.store_age_ms = 9000;
	fixture_handle(fixture, &tick);
	fixture->now_ms += 100;
	fixture_remove_entry(fixture, 0x101, 8);
	fixture_tick(fixture, delay_ms);
	if (answers_requests)
		flow_request(fixture, &first, 20);
	/* The other endpoint has more recent load. */
	for (int i = 0; i < 5; i++)
		flow_request(fixture, &second, 20);
	flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);
	return flow_send_syn(fixture, &flow);
}

static void test_expiry_in_an_outage_keeps_live_endpoints(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);

	(void)state;
	assert_int_equal(place_after_expiry_in_outage(fixture, true, 100),
			 0x101);
	talloc_free(fixture);
	/* An endpoint without recent responses is a last resort. */
	fixture = fixture_with_two_endpoints(0);
	assert_int_equal(place_after_expiry_in_outage(fixture, false, 1500),
			 0x102);
	talloc_free(fixture);
	/* An entry that is not back after two seconds means that the endpoint
	 * has left. */
	fixture = fixture_with_two_endpoints(0);
	assert_int_equal(place_after_expiry_in_outage(fixture, true, 2200),
			 0x102);
	talloc_free(fixture);
}

/* While the store is reachable, a removed entry means that the endpoint has
 * left. */
static void test_expiry_without_an_outage_stops_new_flows(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct client_flow first, second, flow;

	(void)state;
	open_flow_at_each(fixture, &first, &second);
	fixture_remove_entry(fixture, 0x101, 8);
	flow_request(fixture, &first, 20);
	for (int i = 0; i < 5; i++)
		flow_request(fixture, &second, 20);
	flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);
	assert_int_equal(flow_send_syn(fixture, &flow), 0x102);
	talloc_free(fixture);
}

/* Guards against a reset with sequence 0: it could hit a flow that the client
 * has opened through another node. */
static void
test_reset_of_an_unanswered_flow_is_outside_open_windows(void **state)
{
	enum { RESETS = 100, WINDOW = 76800 };
	unsigned in_window = 0;

	(void)state;
	for (int i = 0; i < RESETS; i++) {
		struct fixture *fixture = fixture_with_two_endpoints(0);
		struct client_flow flow =
			flow_new(fixture, CLIENT_IP, BOARD_PORT);
		struct jt_endpoint_entry entry;
		const struct jt_director_action *reset;

		fixture->next_port += (uint32_t)i;
		flow_send_syn(fixture, &flow);
		for (int extra = 0; extra < i; extra++) {
			struct client_flow none =
				flow_new(fixture, CLIENT_IP, 9999);

			flow_send_syn(fixture, &none);
		}
		entry = make_entry(0x200, SERVICE_EXPORT, ZONE_A, 50);
		entry.address = make_entry(flow.endpoint_id, 0, 0, 0).address;
		fixture_set_entry(fixture, entry);
		reset = fixture_find_action(fixture, JT_DIRECTOR_RESET);
		assert_non_null(reset);
		in_window += reset->reset_sequence < WINDOW ||
			     reset->reset_sequence > UINT32_MAX - WINDOW;
		talloc_free(fixture);
	}
	assert_int_equal(in_window, 0);
}

static void test_idle_flows_are_removed(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct client_flow flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);

	(void)state;
	flow_open(fixture, &flow);
	assert_int_equal(jt_director_flow_count(fixture->director), 1);
	fixture_tick(fixture, 16000);
	assert_int_equal(jt_director_flow_count(fixture->director), 0);
	/* Its packets are still forwarded by their label. */
	assert_non_null(flow_send(fixture, &flow, JT_PACKET_ACK, 10));
	talloc_free(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_any_node_forwards_by_label),
		cmocka_unit_test(test_packets_are_held_until_started),
		cmocka_unit_test(test_unknown_route_is_reset_at_once),
		cmocka_unit_test(test_endpoint_side_packets_are_dropped),
		cmocka_unit_test(test_retransmitted_syn_goes_to_same_endpoint),
		cmocka_unit_test(test_retransmitted_syn_follows_the_routing),
		cmocka_unit_test(test_late_duplicate_syn_goes_to_same_endpoint),
		cmocka_unit_test(
			test_late_syn_of_a_known_flow_goes_to_same_endpoint),
		cmocka_unit_test(test_reused_port_is_a_new_flow),
		cmocka_unit_test(test_duplicated_data_is_no_retransmission),
		cmocka_unit_test(test_draining_endpoint_gets_no_new_flows),
		cmocka_unit_test(test_flows_survive_entry_expiry),
		cmocka_unit_test(test_expired_endpoints_are_a_last_resort),
		cmocka_unit_test(test_expiry_in_an_outage_keeps_live_endpoints),
		cmocka_unit_test(test_expiry_without_an_outage_stops_new_flows),
		cmocka_unit_test(
			test_reset_of_an_unanswered_flow_is_outside_open_windows),
		cmocka_unit_test(test_idle_flows_are_removed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
