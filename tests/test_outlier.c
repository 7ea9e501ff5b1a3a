/* Endpoints that take requests and leave them unanswered, or answer far too
 * late: new flows avoid them, open ones stay. */
#include "director_fixture.h"

enum { MANY = 30, ENDPOINTS = 6 };

/* So many endpoints 0x101, 0x102, ... of the own zone. */
static struct bench *endpoints_create(int count)
{
	struct bench *bench = bench_create(0);

	bench_routing(bench, 1, 50, 50);
	for (int i = 1; i <= count; i++)
		bench_endpoint(bench, 0x100 + (uint64_t)i, SERVICE_BOARD,
			       ZONE_A, (uint64_t)i + 1);
	bench_listed(bench, (uint64_t)count + 1);
	bench_tick(bench, 20000);
	return bench;
}

/* A flow at the endpoint. */
static struct caller_flow flow_to(struct bench *bench, uint64_t endpoint_id)
{
	struct caller_flow flow;

	do {
		flow = flow_new(bench, CALLER, BOARD_PORT);
		flow_open(bench, &flow);
		flow_request(bench, &flow, 20);
	} while (flow.endpoint_id != endpoint_id);
	return flow;
}

/* A request that gets nothing for so long; its caller sends nothing more. */
static void request_waits(struct bench *bench, struct caller_flow *flow,
			  uint64_t wait_ms)
{
	flow_send(bench, flow, JT_PACKET_ACK, 100);
	flow->sequence += 100;
	bench_tick(bench, wait_ms);
}

static void bench_overdue(struct bench *bench, uint64_t id)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_OVERDUE};

	event.u.suspicion.id = id;
	bench_event(bench, &event);
}

static void test_unanswered_request_stops_new_flows(void **state)
{
	struct bench *bench = endpoints_create(ENDPOINTS);
	struct caller_flow flow = flow_to(bench, 0x101);

	(void)state;
	request_waits(bench, &flow, 350);
	assert_int_equal(bench_count(bench, JT_DIRECTOR_FAILING), 1);
	assert_int_equal(flows_at(bench, MANY, 0x101), 0);
	/* It is no proof of death: nothing is probed, no flow is ended. */
	assert_null(bench_find(bench, JT_DIRECTOR_PROBE));
	assert_int_equal(state_of(bench, 0x101), JT_INCARNATION_READY);
	assert_non_null(flow_send(bench, &flow, JT_PACKET_ACK, 100));
	talloc_free(bench);
}

/* A way back, and a longer one after each relapse. */
static void test_failing_endpoint_is_tried_again(void **state)
{
	struct bench *bench = endpoints_create(ENDPOINTS);
	struct caller_flow flow = flow_to(bench, 0x101);

	(void)state;
	request_waits(bench, &flow, 350);
	assert_int_equal(flows_at(bench, MANY, 0x101), 0);
	bench_tick(bench, 2100);
	assert_in_range(flows_at(bench, MANY, 0x101), 1, MANY);
	flow = flow_to(bench, 0x101);
	request_waits(bench, &flow, 350);
	bench_tick(bench, 2100);
	assert_int_equal(flows_at(bench, MANY, 0x101), 0);
	bench_tick(bench, 2100);
	assert_in_range(flows_at(bench, MANY, 0x101), 1, MANY);
	talloc_free(bench);
}

/* What is usual for the service is not overdue. */
static void test_slow_service_has_no_outliers(void **state)
{
	struct bench *bench = endpoints_create(ENDPOINTS);
	struct caller_flow flow = flow_to(bench, 0x101);

	(void)state;
	for (int i = 0; i < 60; i++)
		flow_request(bench, &flow, 200);
	request_waits(bench, &flow, 900);
	assert_null(bench_find(bench, JT_DIRECTOR_FAILING));
	bench_tick(bench, 1000);
	assert_non_null(bench_find(bench, JT_DIRECTOR_FAILING));
	talloc_free(bench);
}

/* Where many fail, the cause is the load or this node: none is avoided. */
static void test_many_failing_are_not_avoided(void **state)
{
	struct bench *bench = endpoints_create(ENDPOINTS);

	(void)state;
	for (uint64_t id = 0x101; id <= 0x102; id++)
		bench_overdue(bench, id);
	assert_int_equal(flows_at(bench, MANY, 0x101), 0);
	bench_overdue(bench, 0x103);
	assert_in_range(flows_at(bench, MANY, 0x101), 1, MANY);
	talloc_free(bench);
}

/* Each of many nodes sees few requests: one that finds an outlier tells all,
 * unless a peer has just done so. */
static void test_peers_are_told_once_a_second(void **state)
{
	struct bench *bench = endpoints_create(ENDPOINTS);
	struct caller_flow first = flow_to(bench, 0x101);
	struct caller_flow second = flow_to(bench, 0x101);

	(void)state;
	bench_overdue(bench, 0x101);
	assert_int_equal(flows_at(bench, MANY, 0x101), 0);
	request_waits(bench, &first, 350);
	assert_null(bench_find(bench, JT_DIRECTOR_FAILING));
	bench_tick(bench, 1000);
	request_waits(bench, &second, 350);
	assert_int_equal(bench_count(bench, JT_DIRECTOR_FAILING), 1);
	talloc_free(bench);
}

/* A caller that sends again has got no acknowledgement: that is the failure
 * detector's case, and this node may be the one that reaches nobody. */
static void test_data_sent_again_is_no_outlier(void **state)
{
	struct bench *bench = endpoints_create(ENDPOINTS);
	struct caller_flow flow = flow_to(bench, 0x101);

	(void)state;
	flow_send(bench, &flow, JT_PACKET_ACK, 100);
	bench->now_ms += 200;
	flow_send(bench, &flow, JT_PACKET_ACK, 100);
	bench_tick(bench, 200);
	assert_null(bench_find(bench, JT_DIRECTOR_FAILING));
	talloc_free(bench);
}

/* An answer ends the wait; so does the end of the flow. */
static void test_answered_request_is_not_overdue(void **state)
{
	struct bench *bench = endpoints_create(ENDPOINTS);
	struct caller_flow flow = flow_to(bench, 0x101);
	struct caller_flow given_up = flow_to(bench, 0x102);

	(void)state;
	flow_request(bench, &flow, 100);
	flow_send(bench, &given_up, JT_PACKET_ACK, 100);
	flow_send(bench, &given_up, JT_PACKET_RST, 0);
	bench_tick(bench, 1000);
	assert_null(bench_find(bench, JT_DIRECTOR_FAILING));
	assert_int_equal(jt_director_counters(bench->director)->overdue, 0);
	talloc_free(bench);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_unanswered_request_stops_new_flows),
		cmocka_unit_test(test_failing_endpoint_is_tried_again),
		cmocka_unit_test(test_slow_service_has_no_outliers),
		cmocka_unit_test(test_many_failing_are_not_avoided),
		cmocka_unit_test(test_peers_are_told_once_a_second),
		cmocka_unit_test(test_data_sent_again_is_no_outlier),
		cmocka_unit_test(test_answered_request_is_not_overdue),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
