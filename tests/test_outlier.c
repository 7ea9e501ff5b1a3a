/* Tests outlier detection: endpoints that leave requests unanswered or answer
 * too late get no new flows and keep their open ones. */
#include "director_fixture.h"

enum { FLOWS = 30, ENDPOINTS = 6 };

/* Creates @count endpoints 0x101, 0x102, ... in the own zone. */
static struct fixture *fixture_with_endpoints(int count)
{
	struct fixture *fixture = fixture_create(0);

	fixture_set_routing(fixture, 1, 50, 50);
	for (int i = 1; i <= count; i++)
		fixture_add_endpoint(fixture, 0x100 + (uint64_t)i,
				     SERVICE_BOARD, ZONE_A, (uint64_t)i + 1);
	fixture_end_listing(fixture, (uint64_t)count + 1);
	fixture_tick(fixture, 20000);
	return fixture;
}

/* Opens flows until one is at the endpoint; returns it. */
static struct client_flow open_flow_to(struct fixture *fixture,
				       uint64_t endpoint_id)
{
	struct client_flow flow;

	do {
		flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);
		flow_open(fixture, &flow);
		flow_request(fixture, &flow, 20);
	} while (flow.endpoint_id != endpoint_id);
	return flow;
}

/* Sends a request that is not answered within @wait_ms; the client sends
 * nothing more. */
static void leave_request_unanswered(struct fixture *fixture,
				     struct client_flow *flow, uint64_t wait_ms)
{
	flow_send(fixture, flow, JT_PACKET_ACK, 100);
	flow->sequence += 100;
	fixture_tick(fixture, wait_ms);
}

static void fixture_deliver_overdue_report(struct fixture *fixture, uint64_t id)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_OVERDUE};

	event.u.suspicion.id = id;
	fixture_handle(fixture, &event);
}

static void test_unanswered_request_stops_new_flows(void **state)
{
	struct fixture *fixture = fixture_with_endpoints(ENDPOINTS);
	struct client_flow flow = open_flow_to(fixture, 0x101);

	(void)state;
	leave_request_unanswered(fixture, &flow, 350);
	assert_int_equal(
		fixture_count_actions(fixture, JT_DIRECTOR_OVERDUE_REPORT), 1);
	assert_int_equal(count_flows_to(fixture, FLOWS, 0x101), 0);
	/* It does not confirm a death: no probe is sent and no flow is reset.
	 */
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_PROBE));
	assert_int_equal(endpoint_state(fixture, 0x101), JT_INCARNATION_READY);
	assert_non_null(flow_send(fixture, &flow, JT_PACKET_ACK, 100));
	talloc_free(fixture);
}

/* A failing endpoint gets flows again after a pause, which is longer after each
 * new failure. */
static void test_failing_endpoint_is_retried(void **state)
{
	struct fixture *fixture = fixture_with_endpoints(ENDPOINTS);
	struct client_flow flow = open_flow_to(fixture, 0x101);

	(void)state;
	leave_request_unanswered(fixture, &flow, 350);
	assert_int_equal(count_flows_to(fixture, FLOWS, 0x101), 0);
	fixture_tick(fixture, 2100);
	assert_in_range(count_flows_to(fixture, FLOWS, 0x101), 1, FLOWS);
	flow = open_flow_to(fixture, 0x101);
	leave_request_unanswered(fixture, &flow, 350);
	fixture_tick(fixture, 2100);
	assert_int_equal(count_flows_to(fixture, FLOWS, 0x101), 0);
	fixture_tick(fixture, 2100);
	assert_in_range(count_flows_to(fixture, FLOWS, 0x101), 1, FLOWS);
	talloc_free(fixture);
}

/* Response times that are usual for the service are not overdue. */
static void test_slow_service_has_no_outliers(void **state)
{
	struct fixture *fixture = fixture_with_endpoints(ENDPOINTS);
	struct client_flow flow = open_flow_to(fixture, 0x101);

	(void)state;
	for (int i = 0; i < 60; i++)
		flow_request(fixture, &flow, 200);
	leave_request_unanswered(fixture, &flow, 900);
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_OVERDUE_REPORT));
	fixture_tick(fixture, 1000);
	assert_non_null(
		fixture_find_action(fixture, JT_DIRECTOR_OVERDUE_REPORT));
	talloc_free(fixture);
}

/* When many endpoints fail, the cause is overload or this node: none is
 * avoided. */
static void test_many_failing_are_not_avoided(void **state)
{
	struct fixture *fixture = fixture_with_endpoints(ENDPOINTS);

	(void)state;
	for (uint64_t id = 0x101; id <= 0x102; id++)
		fixture_deliver_overdue_report(fixture, id);
	assert_int_equal(count_flows_to(fixture, FLOWS, 0x101), 0);
	fixture_deliver_overdue_report(fixture, 0x103);
	assert_in_range(count_flows_to(fixture, FLOWS, 0x101), 1, FLOWS);
	talloc_free(fixture);
}

/* A node that detects an outlier reports it to all peers, unless a peer has
 * just done so. */
static void test_outlier_is_reported_once_a_second(void **state)
{
	struct fixture *fixture = fixture_with_endpoints(ENDPOINTS);
	struct client_flow first = open_flow_to(fixture, 0x101);
	struct client_flow second = open_flow_to(fixture, 0x101);

	(void)state;
	fixture_deliver_overdue_report(fixture, 0x101);
	assert_int_equal(count_flows_to(fixture, FLOWS, 0x101), 0);
	leave_request_unanswered(fixture, &first, 350);
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_OVERDUE_REPORT));
	fixture_tick(fixture, 1000);
	leave_request_unanswered(fixture, &second, 350);
	assert_int_equal(
		fixture_count_actions(fixture, JT_DIRECTOR_OVERDUE_REPORT), 1);
	talloc_free(fixture);
}

/* Retransmissions are left to the failure detector: this node may be the one
 * that reaches no endpoint. */
static void test_retransmission_is_no_outlier(void **state)
{
	struct fixture *fixture = fixture_with_endpoints(ENDPOINTS);
	struct client_flow flow = open_flow_to(fixture, 0x101);

	(void)state;
	flow_send(fixture, &flow, JT_PACKET_ACK, 100);
	fixture->now_ms += 200;
	flow_send(fixture, &flow, JT_PACKET_ACK, 100);
	fixture_tick(fixture, 200);
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_OVERDUE_REPORT));
	talloc_free(fixture);
}

/* A response ends the wait; so does the end of the flow. */
static void test_answered_request_is_not_overdue(void **state)
{
	struct fixture *fixture = fixture_with_endpoints(ENDPOINTS);
	struct client_flow flow = open_flow_to(fixture, 0x101);
	struct client_flow aborted = open_flow_to(fixture, 0x102);

	(void)state;
	flow_request(fixture, &flow, 100);
	flow_send(fixture, &aborted, JT_PACKET_ACK, 100);
	flow_send(fixture, &aborted, JT_PACKET_RST, 0);
	fixture_tick(fixture, 1000);
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_OVERDUE_REPORT));
	assert_int_equal(jt_director_counters(fixture->director)->overdue, 0);
	talloc_free(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_unanswered_request_stops_new_flows),
		cmocka_unit_test(test_failing_endpoint_is_retried),
		cmocka_unit_test(test_slow_service_has_no_outliers),
		cmocka_unit_test(test_many_failing_are_not_avoided),
		cmocka_unit_test(test_outlier_is_reported_once_a_second),
		cmocka_unit_test(test_retransmission_is_no_outlier),
		cmocka_unit_test(test_answered_request_is_not_overdue),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
