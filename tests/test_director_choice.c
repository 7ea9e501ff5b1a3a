/* Tests where new flows go: weights of a route's services, zones, speed, load
 * and connection limits of endpoints. */
#include "director_fixture.h"

static void test_route_weights_are_exact(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	unsigned to_export = 0;

	(void)state;
	fixture_add_endpoint(fixture, 0x301, SERVICE_EXPORT, ZONE_A, 5);
	fixture_set_routing(fixture, 2, 90, 10);
	for (int i = 0; i < 200; i++) {
		struct client_flow flow =
			flow_new(fixture, CLIENT_IP + i, SPLIT_PORT);

		to_export += flow_send_syn(fixture, &flow) == 0x301;
	}
	assert_in_range(to_export, 19, 21);
	talloc_free(fixture);
}

/* Guards against sending flows to a route part whose endpoints have all
 * crashed. */
static void test_suspected_route_part_is_avoided(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct client_flow flow;
	uint64_t at;

	(void)state;
	fixture_add_endpoint(fixture, 0x301, SERVICE_EXPORT, ZONE_A, 5);
	do {
		flow = flow_new(fixture, CLIENT_IP, SPLIT_PORT);
		at = flow_send_syn(fixture, &flow);
		if (at != 0x301)
			flow_open(fixture, &flow);
	} while (at != 0x301);
	/* The client, refused by the endpoint, tries again at once. */
	fixture->now_ms += 3;
	for (int i = 0; i < 4; i++) {
		flow = flow_new(fixture, CLIENT_IP, SPLIT_PORT);
		flow_open(fixture, &flow);
		assert_int_not_equal(flow.endpoint_id, 0x301);
	}
	talloc_free(fixture);
}

static void test_own_zone_is_preferred_up_to_a_load_difference(void **state)
{
	struct fixture *fixture = fixture_create(0);

	(void)state;
	fixture_set_routing(fixture, 1, 1, 1);
	fixture_add_endpoint(fixture, 0x101, SERVICE_BOARD, ZONE_A, 2);
	fixture_add_endpoint(fixture, 0x102, SERVICE_BOARD, ZONE_B, 3);
	fixture_end_listing(fixture, 3);
	fixture_tick(fixture, INITIAL_SYNC_MS);
	assert_in_range(count_flows_to(fixture, 100, 0x102), 35, 45);
	talloc_free(fixture);
}

static void test_slow_endpoint_gets_fewer_flows(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct client_flow slow, fast;

	(void)state;
	open_flow_at_each(fixture, &slow, &fast);
	for (int i = 0; i < 20; i++) {
		flow_request(fixture, &slow, 110);
		flow_request(fixture, &fast, 22);
	}
	/* Its recent load is as high as the fast one's, more than its share of
	 * a sixth. */
	assert_in_range(count_flows_to(fixture, 60, slow.endpoint_id), 0, 9);
	/* Later it gets a sixth of the flows. */
	fixture_tick(fixture, 14000);
	assert_in_range(count_flows_to(fixture, 60, slow.endpoint_id), 5, 15);
	talloc_free(fixture);
}

/* Flows carry different numbers of requests; load is counted in requests. */
static void test_load_is_measured_in_requests(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct client_flow loaded, idle;

	(void)state;
	open_flow_at_each(fixture, &loaded, &idle);
	for (int i = 0; i < 10; i++)
		flow_request(fixture, &loaded, 10);
	assert_in_range(count_flows_to(fixture, 10, loaded.endpoint_id), 0, 1);
	/* Old load has expired. */
	fixture_tick(fixture, 15000);
	assert_in_range(count_flows_to(fixture, 10, loaded.endpoint_id), 4, 6);
	talloc_free(fixture);
}

/* Guards against sending all new flows to an endpoint that has just been added.
 */
static void test_new_endpoint_gets_its_share(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);

	(void)state;
	count_flows_to(fixture, 40, 0x101);
	fixture_set_entry(fixture, make_entry(0x103, SERVICE_BOARD, ZONE_A, 9));
	assert_in_range(count_flows_to(fixture, 30, 0x103), 8, 12);
	talloc_free(fixture);
}

static void test_full_endpoint_gets_no_new_flows(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	unsigned placed = 0;

	(void)state;
	limit_connections(fixture, 3);
	for (int i = 0; i < 10; i++) {
		struct client_flow flow =
			flow_new(fixture, CLIENT_IP + i, BOARD_PORT);

		placed += flow_send_syn(fixture, &flow) != 0;
	}
	assert_int_equal(placed, 6);
	assert_int_equal(
		fixture_find_action(fixture, JT_DIRECTOR_RESET)->reason,
		JT_DIRECTOR_NO_CAPACITY);
	talloc_free(fixture);
}

/* Delivers a peer's loads of the two endpoints, with one request for each flow.
 */
static void send_peer_loads(struct fixture *fixture, uint64_t peer,
			    uint32_t first, uint32_t second)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_LOADS};
	struct jt_endpoint_load loads[2] = {
		{jt_flow_label(0x102), second, second * JT_RECENT_LOAD_UNIT, 0},
		{jt_flow_label(0x101), first, first * JT_RECENT_LOAD_UNIT, 0},
	};

	event.u.loads.peer = peer;
	event.u.loads.loads = loads;
	event.u.loads.count = 2;
	fixture_handle(fixture, &event);
}

static void test_peer_loads_are_counted(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct jt_director_event tick = {.kind = JT_DIRECTOR_TICK};
	struct client_flow flow;
	unsigned at_second = 0;

	(void)state;
	tick.u.tick.nodes = 3;
	fixture_handle(fixture, &tick);
	send_peer_loads(fixture, 7, 10, 4);
	send_peer_loads(fixture, 8, 10, 4);
	/* This node's share of the difference is six flows, not eighteen. */
	for (int i = 0; i < 12; i++) {
		flow = flow_new(fixture, CLIENT_IP + i, BOARD_PORT);
		flow_open(fixture, &flow);
		at_second += flow.endpoint_id == 0x102;
	}
	assert_in_range(at_second, 8, 10);
	/* An old report is ignored. */
	fixture_tick(fixture, 20000);
	flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);
	flow_open(fixture, &flow);
	talloc_free(fixture);
}

static void test_connection_limit_counts_peer_flows(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct jt_director_event tick = {.kind = JT_DIRECTOR_TICK};
	struct client_flow flow;

	(void)state;
	limit_connections(fixture, 30);
	tick.u.tick.nodes = 3;
	fixture_handle(fixture, &tick);
	send_peer_loads(fixture, 7, 16, 2);
	send_peer_loads(fixture, 8, 14, 2);
	for (int i = 0; i < 20; i++) {
		flow = flow_new(fixture, CLIENT_IP + i, BOARD_PORT);
		flow_open(fixture, &flow);
		assert_int_equal(flow.endpoint_id, 0x102);
	}
	talloc_free(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_route_weights_are_exact),
		cmocka_unit_test(test_suspected_route_part_is_avoided),
		cmocka_unit_test(
			test_own_zone_is_preferred_up_to_a_load_difference),
		cmocka_unit_test(test_slow_endpoint_gets_fewer_flows),
		cmocka_unit_test(test_load_is_measured_in_requests),
		cmocka_unit_test(test_new_endpoint_gets_its_share),
		cmocka_unit_test(test_full_endpoint_gets_no_new_flows),
		cmocka_unit_test(test_peer_loads_are_counted),
		cmocka_unit_test(test_connection_limit_counts_peer_flows),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
