/* Tests the failure detector of endpoints: what confirms a death and what does
 * not. */
#include "director_fixture.h"

/* Sends a request and its retransmission after 200 ms without progress. */
static void send_and_retransmit(struct fixture *fixture,
				struct client_flow *flow)
{
	flow_send(fixture, flow, JT_PACKET_ACK, 100);
	fixture->now_ms += 200;
	flow_send(fixture, flow, JT_PACKET_ACK, 100);
}

/* Returns true if an endpoint that ends without announcing it has its flows
 * reset. */
static bool dead_endpoint_is_detected(unsigned injected_fault)
{
	struct fixture *fixture = fixture_with_two_endpoints(injected_fault);
	struct client_flow dead, other;
	bool reset;

	open_flow_at_each(fixture, &dead, &other);
	send_and_retransmit(fixture, &dead);
	fixture->now_ms += 200;
	flow_request(fixture, &other, 200);
	fixture_deliver_probe_result(fixture, 0x101, JT_PROBE_SILENT);
	reset = fixture_find_action(fixture, JT_DIRECTOR_RESET) != NULL;
	if (reset) {
		assert_int_equal(endpoint_state(fixture, 0x101),
				 JT_INCARNATION_DEAD);
		/* The client's later packets are reset at once. */
		assert_null(flow_send(fixture, &dead, JT_PACKET_ACK, 100));
		assert_non_null(
			fixture_find_action(fixture, JT_DIRECTOR_RESET));
	}
	talloc_free(fixture);
	return reset;
}

static void test_dead_endpoint_is_detected(void **state)
{
	(void)state;
	assert_true(dead_endpoint_is_detected(0));
	assert_false(dead_endpoint_is_detected(JT_DIRECTOR_FAULT_NO_DETECTOR));
}

/* Guards against taking a response to a packet from before the probe as
 * evidence that this node reaches the endpoints. */
static void test_late_responses_do_not_show_reachability(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct client_flow suspected, other;

	(void)state;
	open_flow_at_each(fixture, &suspected, &other);
	flow_send(fixture, &other, JT_PACKET_ACK, 100);
	other.sequence += 100;
	other.acknowledged += 600;
	send_and_retransmit(fixture, &suspected);
	fixture->now_ms += 200;
	/* The response to a packet that was sent before the probe. */
	flow_send(fixture, &other, JT_PACKET_ACK, 0);
	fixture_deliver_probe_result(fixture, 0x101, JT_PROBE_SILENT);
	assert_int_equal(endpoint_state(fixture, 0x101), JT_INCARNATION_READY);
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_RESET));
	talloc_free(fixture);
}

static void test_refused_probe_confirms_death(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct client_flow dead, other;

	(void)state;
	open_flow_at_each(fixture, &dead, &other);
	send_and_retransmit(fixture, &dead);
	fixture_deliver_probe_result(fixture, 0x101, JT_PROBE_REFUSED);
	assert_int_equal(fixture_count_actions(fixture, JT_DIRECTOR_RESET), 1);
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_DEATH_REPORT));
	talloc_free(fixture);
}

/* Returns true if the flows of a live endpoint that seemed dead are not reset.
 */
static bool live_endpoint_keeps_flows(unsigned injected_fault)
{
	struct fixture *fixture = fixture_with_two_endpoints(injected_fault);
	struct client_flow flow, other, third;
	bool kept;

	open_flow_at_each(fixture, &flow, &other);
	do {
		third = flow_new(fixture, CLIENT_IP + 2, BOARD_PORT);
		flow_open(fixture, &third);
	} while (third.endpoint_id != 0x101);
	fixture->now_ms += 10;
	send_and_retransmit(fixture, &flow);
	kept = fixture_find_action(fixture, JT_DIRECTOR_RESET) == NULL;
	if (kept) {
		/* Another flow of the endpoint gets a response. */
		flow_request(fixture, &third, 20);
		flow_request(fixture, &other, 20);
		fixture_deliver_probe_result(fixture, 0x101, JT_PROBE_SILENT);
		kept = fixture_find_action(fixture, JT_DIRECTOR_RESET) == NULL;
	}
	talloc_free(fixture);
	return kept;
}

static void test_live_endpoint_keeps_its_flows(void **state)
{
	(void)state;
	assert_true(live_endpoint_keeps_flows(0));
	assert_false(
		live_endpoint_keeps_flows(JT_DIRECTOR_FAULT_DEATH_UNCONFIRMED));
}

static void test_isolated_node_declares_no_endpoint_dead(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct client_flow flow, other;

	(void)state;
	open_flow_at_each(fixture, &flow, &other);
	send_and_retransmit(fixture, &flow);
	fixture->now_ms += 400;
	fixture_deliver_probe_result(fixture, 0x101, JT_PROBE_SILENT);
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_RESET));
	assert_int_equal(endpoint_state(fixture, 0x101), JT_INCARNATION_READY);
	/* The endpoint is probed again. */
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_PROBE));
	talloc_free(fixture);
}

/* Returns true if an endpoint at its connection limit, which ignores or refuses
 * new connections, keeps its open flows. */
static bool full_endpoint_keeps_flows(unsigned injected_fault,
				      enum jt_probe_outcome outcome,
				      uint32_t limit)
{
	struct fixture *fixture = fixture_with_two_endpoints(injected_fault);
	struct client_flow idle, other, flow;
	bool kept;

	limit_connections(fixture, limit);
	open_flow_at_each(fixture, &idle, &other);
	do {
		flow = flow_new(fixture, CLIENT_IP + 3, BOARD_PORT);
	} while (flow_send_syn(fixture, &flow) != 0x101);
	fixture->now_ms += 200;
	flow_send_syn(fixture, &flow);
	flow_request(fixture, &other, 100);
	fixture_deliver_probe_result(fixture, 0x101, outcome);
	kept = fixture_find_action(fixture, JT_DIRECTOR_RESET) == NULL;
	if (kept) {
		/* New flows avoid it for some time. */
		for (int i = 0; i < 8; i++) {
			flow = flow_new(fixture, CLIENT_IP + 4 + i, BOARD_PORT);
			assert_int_equal(flow_send_syn(fixture, &flow), 0x102);
		}
		assert_non_null(flow_send(fixture, &idle, JT_PACKET_ACK, 10));
	}
	talloc_free(fixture);
	return kept;
}

/* Guards against declaring a full endpoint dead for a request that waits in its
 * queue. */
static void test_slow_full_endpoint_is_not_declared_dead(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct client_flow flow, other;

	(void)state;
	limit_connections(fixture, 20);
	open_flow_at_each(fixture, &flow, &other);
	flow_request(fixture, &flow, 20);
	send_and_retransmit(fixture, &flow);
	fixture_deliver_probe_result(fixture, 0x101, JT_PROBE_REFUSED);
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_RESET));
	/* A second retransmission: not even the first was acknowledged. */
	fixture->now_ms += 600;
	flow_send(fixture, &flow, JT_PACKET_ACK, 100);
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_PROBE));
	fixture_deliver_probe_result(fixture, 0x101, JT_PROBE_REFUSED);
	assert_int_equal(fixture_count_actions(fixture, JT_DIRECTOR_RESET), 1);
	talloc_free(fixture);
}

/* Guards against declaring an endpoint dead for a flow whose opening it dropped
 * when it became full. */
static void test_unopened_flow_does_not_confirm_death(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct client_flow idle, other, half_open;

	(void)state;
	limit_connections(fixture, 20);
	open_flow_at_each(fixture, &idle, &other);
	do {
		half_open = flow_new(fixture, CLIENT_IP + 5, BOARD_PORT);
		flow_open(fixture, &half_open);
	} while (half_open.endpoint_id != 0x101);
	for (int i = 0; i < 6; i++) {
		flow_send(fixture, &half_open, JT_PACKET_ACK, 100);
		fixture->now_ms += 600;
		fixture_deliver_probe_result(fixture, 0x101, JT_PROBE_REFUSED);
		assert_null(fixture_find_action(fixture, JT_DIRECTOR_RESET));
	}
	talloc_free(fixture);
}

/* A node that has just started does not know the endpoints' open connections.
 */
static void test_starting_node_does_not_declare_death_early(void **state)
{
	struct fixture *fixture = fixture_create(0);
	struct client_flow flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);

	(void)state;
	fixture_set_routing(fixture, 1, 1, 1);
	fixture_add_endpoint(fixture, 0x101, SERVICE_BOARD, ZONE_A, 2);
	fixture_end_listing(fixture, 2);
	limit_connections(fixture, 2000);
	flow_open(fixture, &flow);
	fixture->now_ms += 10;
	send_and_retransmit(fixture, &flow);
	fixture_deliver_probe_result(fixture, 0x101, JT_PROBE_REFUSED);
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_RESET));
	talloc_free(fixture);
}

static void test_full_endpoint_is_not_declared_dead(void **state)
{
	(void)state;
	assert_true(full_endpoint_keeps_flows(0, JT_PROBE_SILENT, 20));
	assert_true(full_endpoint_keeps_flows(0, JT_PROBE_REFUSED, 20));
	assert_false(full_endpoint_keeps_flows(
		JT_DIRECTOR_FAULT_DEATH_UNCONFIRMED, JT_PROBE_SILENT, 20));
	assert_false(full_endpoint_keeps_flows(
		JT_DIRECTOR_FAULT_DEATH_UNCONFIRMED, JT_PROBE_REFUSED, 20));
}

/* Guards against declaring an endpoint dead after one failed connection, as it
 * happens under connection bursts. */
static void test_one_failed_probe_does_not_confirm_death(void **state)
{
	const enum jt_probe_outcome outcomes[] = {JT_PROBE_SILENT,
						  JT_PROBE_REFUSED};

	(void)state;
	for (int i = 0; i < 2; i++) {
		struct fixture *fixture = fixture_with_two_endpoints(0);
		struct client_flow flow, other;

		/* Long enough after the start to know its open connections. */
		fixture->now_ms += 120000;
		open_flow_at_each(fixture, &flow, &other);
		fixture_remove_entry(fixture, 0x101, 9);
		assert_int_equal(
			fixture_count_actions(fixture, JT_DIRECTOR_PROBE), 1);
		flow_request(fixture, &other, 250);
		fixture_deliver_probe_result(fixture, 0x101, outcomes[i]);
		assert_int_equal(endpoint_state(fixture, 0x101),
				 JT_INCARNATION_EXPIRED);
		assert_int_equal(
			fixture_count_actions(fixture, JT_DIRECTOR_RESET), 0);
		/* It is probed again; the second failure confirms the death. */
		fixture_tick(fixture, 600);
		assert_int_equal(
			fixture_count_actions(fixture, JT_DIRECTOR_PROBE), 1);
		flow_request(fixture, &other, 250);
		fixture_deliver_probe_result(fixture, 0x101, outcomes[i]);
		assert_int_equal(endpoint_state(fixture, 0x101),
				 JT_INCARNATION_DEAD);
		assert_int_equal(
			fixture_count_actions(fixture, JT_DIRECTOR_RESET), 1);
		talloc_free(fixture);
	}
}

static void test_inconclusive_probe_is_ignored(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct client_flow flow, other;

	(void)state;
	open_flow_at_each(fixture, &flow, &other);
	send_and_retransmit(fixture, &flow);
	flow_request(fixture, &other, 100);
	fixture_deliver_probe_result(fixture, 0x101, JT_PROBE_INCONCLUSIVE);
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_RESET));
	talloc_free(fixture);
}

/* Guards against retrying a probe that can't be sent without a pause. */
static void test_unsendable_probe_is_retried_after_a_pause(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct client_flow flow, other;

	(void)state;
	open_flow_at_each(fixture, &flow, &other);
	send_and_retransmit(fixture, &flow);
	fixture_deliver_probe_result(fixture, 0x101, JT_PROBE_INCONCLUSIVE);
	assert_int_equal(
		jt_director_counters(fixture->director)->probes_inconclusive,
		1);
	assert_int_equal(fixture_count_actions(fixture, JT_DIRECTOR_PROBE), 0);
	fixture_tick(fixture, 100);
	assert_int_equal(fixture_count_actions(fixture, JT_DIRECTOR_PROBE), 0);
	/* It is retried after the pause between probes. */
	fixture_tick(fixture, 500);
	assert_int_equal(fixture_count_actions(fixture, JT_DIRECTOR_PROBE), 1);
	fixture_tick(fixture, 500);
	assert_int_equal(fixture_count_actions(fixture, JT_DIRECTOR_PROBE), 0);
	talloc_free(fixture);
}

static void test_direct_refusal_to_the_client_is_detected(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct client_flow flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);
	uint64_t refuses;

	(void)state;
	fixture_tick(fixture, 20000);
	refuses = flow_send_syn(fixture, &flow);
	/* The endpoint resets the client directly; the client tries again. */
	fixture->now_ms += 3;
	flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);
	assert_int_not_equal(flow_send_syn(fixture, &flow), refuses);
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_PROBE));
	assert_int_equal(
		fixture_find_action(fixture, JT_DIRECTOR_PROBE)->endpoint_id,
		refuses);
	fixture_deliver_probe_result(fixture, refuses, JT_PROBE_REFUSED);
	assert_int_equal(endpoint_state(fixture, refuses), JT_INCARNATION_DEAD);
	talloc_free(fixture);
}

/* Guards against resetting a flow whose retransmitted first packet another node
 * may have placed at a live endpoint. */
static void test_flow_moved_to_another_node_is_not_reset(void **state)
{
	(void)state;
	for (int copies = 0; copies < 2; copies++) {
		struct fixture *fixture = fixture_with_two_endpoints(0);
		struct jt_endpoint_entry entry =
			make_entry(0x201, SERVICE_EXPORT, ZONE_A, 50);
		struct client_flow flow;

		do {
			flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);
		} while (flow_send_syn(fixture, &flow) != 0x101);
		if (copies > 0) {
			fixture->now_ms += 200;
			flow.acknowledged = 1;
			assert_int_equal(flow_send_syn(fixture, &flow), 0x101);
		}
		/* A retransmission was due and has not arrived here; one that
		 * is not yet due does not delay the reset. */
		fixture->now_ms += copies > 0 ? 300 : 350;
		entry.address = make_entry(0x101, 0, 0, 0).address;
		fixture_set_entry(fixture, entry);
		assert_int_equal(endpoint_state(fixture, 0x101),
				 JT_INCARNATION_DEAD);
		assert_int_equal(
			fixture_count_actions(fixture, JT_DIRECTOR_RESET),
			copies);
		talloc_free(fixture);
	}
}

static void test_dead_endpoint_is_revived(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct client_flow dead, other;

	(void)state;
	open_flow_at_each(fixture, &dead, &other);
	send_and_retransmit(fixture, &dead);
	fixture_deliver_probe_result(fixture, 0x101, JT_PROBE_REFUSED);
	fixture_tick(fixture, 1500);
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_PROBE));
	fixture_deliver_probe_result(fixture, 0x101, JT_PROBE_CONNECTED);
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_REVIVED));
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_IDENTIFY));
	fixture_deliver_identity(fixture, 0x101, 0x101);
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_REVIVED));
	assert_int_equal(endpoint_state(fixture, 0x101), JT_INCARNATION_READY);
	talloc_free(fixture);
}

/* The address belongs to another endpoint before its entry is received. */
static void test_other_endpoint_at_a_dead_address(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct client_flow dead, other;

	(void)state;
	open_flow_at_each(fixture, &dead, &other);
	send_and_retransmit(fixture, &dead);
	fixture_deliver_probe_result(fixture, 0x101, JT_PROBE_REFUSED);
	fixture_tick(fixture, 1500);
	fixture_deliver_probe_result(fixture, 0x101, JT_PROBE_CONNECTED);
	fixture_deliver_identity(fixture, 0x101, 0x999);
	assert_int_equal(endpoint_state(fixture, 0x101), JT_INCARNATION_DEAD);
	fixture_tick(fixture, 5000);
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_PROBE));
	talloc_free(fixture);
}

static void test_other_endpoint_at_an_unanswered_address(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct client_flow dead, other;

	(void)state;
	open_flow_at_each(fixture, &dead, &other);
	send_and_retransmit(fixture, &dead);
	fixture_deliver_probe_result(fixture, 0x101, JT_PROBE_CONNECTED);
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_IDENTIFY));
	fixture->now_ms += 600;
	flow_send(fixture, &dead, JT_PACKET_ACK, 100);
	fixture_deliver_probe_result(fixture, 0x101, JT_PROBE_CONNECTED);
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_IDENTIFY));
	fixture_deliver_identity(fixture, 0x101, 0x999);
	assert_int_equal(fixture_count_actions(fixture, JT_DIRECTOR_RESET), 1);
	talloc_free(fixture);
}

/* Guards against one probe from each of many nodes for one dead endpoint: a
 * death report needs no probe where the node has no flow. */
static void test_death_report_without_flows_needs_no_probe(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);

	(void)state;
	fixture_deliver_death_report(fixture, 0x101);
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_PROBE));
	assert_int_equal(endpoint_state(fixture, 0x101), JT_INCARNATION_READY);
	assert_int_equal(count_flows_to(fixture, 20, 0x101), 0);
	fixture_tick(fixture, 6000);
	assert_in_range(count_flows_to(fixture, 20, 0x101), 5, 20);
	talloc_free(fixture);
}

/* A packet of the endpoint's flow arrives: its client needs a reset if the
 * endpoint is dead. */
static void test_death_report_with_a_flow_is_probed(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct client_flow flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);

	(void)state;
	flow.label = jt_flow_label(0x101);
	fixture_deliver_death_report(fixture, 0x101);
	flow_send(fixture, &flow, JT_PACKET_ACK, 100);
	assert_int_equal(fixture_count_actions(fixture, JT_DIRECTOR_PROBE), 1);
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_FORWARD));
	fixture_deliver_probe_result(fixture, 0x101, JT_PROBE_REFUSED);
	assert_int_equal(endpoint_state(fixture, 0x101), JT_INCARNATION_DEAD);
	assert_int_equal(fixture_count_actions(fixture, JT_DIRECTOR_RESET), 1);
	talloc_free(fixture);
}

/* Flow progress cancels a peer's death report. */
static void test_flow_progress_ends_a_death_report(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct client_flow first, second;

	(void)state;
	open_flow_at_each(fixture, &first, &second);
	fixture_deliver_death_report(fixture, 0x101);
	assert_int_equal(fixture_count_actions(fixture, JT_DIRECTOR_PROBE), 1);
	flow_request(fixture, &first, 20);
	assert_in_range(count_flows_to(fixture, 20, 0x101), 5, 20);
	talloc_free(fixture);
}

/* Only the first node to detect a death reports it to its peers. */
static void test_death_is_reported_by_the_first_node_only(void **state)
{
	(void)state;
	for (int known_to_peers = 0; known_to_peers < 2; known_to_peers++) {
		struct fixture *fixture = fixture_with_two_endpoints(0);
		const struct jt_director_action *report;
		struct client_flow dead, other;

		open_flow_at_each(fixture, &dead, &other);
		if (known_to_peers)
			fixture_deliver_death_report(fixture, 0x101);
		else
			send_and_retransmit(fixture, &dead);
		fixture_deliver_probe_result(fixture, 0x101, JT_PROBE_REFUSED);
		report = fixture_find_action(fixture, JT_DIRECTOR_DEATH_REPORT);
		assert_non_null(report);
		assert_int_equal(report->peers_know, known_to_peers);
		talloc_free(fixture);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_dead_endpoint_is_detected),
		cmocka_unit_test(test_late_responses_do_not_show_reachability),
		cmocka_unit_test(test_refused_probe_confirms_death),
		cmocka_unit_test(test_live_endpoint_keeps_its_flows),
		cmocka_unit_test(test_isolated_node_declares_no_endpoint_dead),
		cmocka_unit_test(test_slow_full_endpoint_is_not_declared_dead),
		cmocka_unit_test(test_unopened_flow_does_not_confirm_death),
		cmocka_unit_test(
			test_starting_node_does_not_declare_death_early),
		cmocka_unit_test(test_full_endpoint_is_not_declared_dead),
		cmocka_unit_test(test_one_failed_probe_does_not_confirm_death),
		cmocka_unit_test(test_inconclusive_probe_is_ignored),
		cmocka_unit_test(
			test_unsendable_probe_is_retried_after_a_pause),
		cmocka_unit_test(test_direct_refusal_to_the_client_is_detected),
		cmocka_unit_test(test_flow_moved_to_another_node_is_not_reset),
		cmocka_unit_test(test_dead_endpoint_is_revived),
		cmocka_unit_test(test_other_endpoint_at_a_dead_address),
		cmocka_unit_test(test_other_endpoint_at_an_unanswered_address),
		cmocka_unit_test(
			test_death_report_without_flows_needs_no_probe),
		cmocka_unit_test(test_death_report_with_a_flow_is_probed),
		cmocka_unit_test(test_flow_progress_ends_a_death_report),
		cmocka_unit_test(test_death_is_reported_by_the_first_node_only),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
