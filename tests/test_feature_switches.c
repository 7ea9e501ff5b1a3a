/* Tests feature switches: each feature has an effect when on and none when off.
 */
#include "director_fixture.h"
#include "jt_feature.h"
#include "jt_membership.h"

enum { CLIENTS = 20, FLOWS = 60, HALF_MIN = 25, HALF_MAX = 35 };

/* Creates two endpoints in the own zone, without @feature if @off. */
static struct fixture *fixture_with_feature(enum jt_feature feature, bool off)
{
	return fixture_add_two_endpoints(
		fixture_create_with_disabled(0, off ? (uint32_t)feature : 0));
}

static void test_prefer_zone(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct fixture *fixture = fixture_create_with_disabled(
			0, off ? JT_FEATURE_PREFER_ZONE : 0);

		fixture_set_routing(fixture, 1, 1, 1);
		fixture_add_endpoint(fixture, 0x101, SERVICE_BOARD, ZONE_A, 2);
		fixture_add_endpoint(fixture, 0x102, SERVICE_BOARD, ZONE_B, 3);
		fixture_end_listing(fixture, 3);
		fixture_tick(fixture, INITIAL_SYNC_MS);
		assert_in_range(count_flows_to(fixture, FLOWS, 0x102),
				off ? HALF_MIN : 15,
				off ? HALF_MAX : HALF_MIN - 1);
		talloc_free(fixture);
	}
}

static void test_peer_load(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct fixture *fixture =
			fixture_with_feature(JT_FEATURE_PEER_LOADS, off);
		struct jt_endpoint_load load = {jt_flow_label(0x101), 0,
						50 * JT_RECENT_LOAD_UNIT, 0};
		struct jt_director_event event = {.kind = JT_DIRECTOR_LOADS};

		event.u.loads.peer = 7;
		event.u.loads.loads = &load;
		event.u.loads.count = 1;
		fixture_handle(fixture, &event);
		assert_in_range(count_flows_to(fixture, FLOWS, 0x101),
				off ? HALF_MIN : 0, off ? HALF_MAX : 15);
		talloc_free(fixture);
	}
}

static void test_response_time_weighting(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct fixture *fixture =
			fixture_with_feature(JT_FEATURE_RESPONSE_TIME, off);
		struct client_flow slow, fast;

		open_flow_at_each(fixture, &slow, &fast);
		for (int i = 0; i < 20; i++) {
			flow_request(fixture, &slow, 110);
			flow_request(fixture, &fast, 22);
		}
		fixture_tick(fixture, 14000);
		assert_in_range(count_flows_to(fixture, FLOWS, 0x101),
				off ? HALF_MIN : 5, off ? HALF_MAX : 15);
		talloc_free(fixture);
	}
}

static void test_optimal_load(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct fixture *fixture =
			fixture_with_feature(JT_FEATURE_OPTIMAL_LOAD, off);
		struct client_flow slow, fast;

		open_flow_at_each(fixture, &slow, &fast);
		for (int i = 0; i < 20; i++) {
			flow_request(fixture, &slow, 110);
			flow_request(fixture, &fast, 55);
		}
		fixture_tick(fixture, 5000);
		/* The fast endpoint has capacity for four requests. */
		for (int i = 0, at_slow = 0; i < 10; i++) {
			at_slow += (int)count_flows_to(fixture, 4, 0x101);
			fixture_tick(fixture, 4000);
			if (i == 9)
				assert_in_range(at_slow, off ? 10 : 0,
						off ? 20 : 4);
		}
		talloc_free(fixture);
	}
}

static void test_zone_headroom(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct fixture *fixture = fixture_create_with_disabled(
			0, off ? JT_FEATURE_ZONE_HEADROOM : 0);
		struct client_flow nearby, distant;

		fixture_set_routing(fixture, 1, 1, 1);
		fixture_add_endpoint(fixture, 0x101, SERVICE_BOARD, ZONE_A, 2);
		fixture_add_endpoint(fixture, 0x102, SERVICE_BOARD, ZONE_B, 3);
		fixture_end_listing(fixture, 3);
		fixture_tick(fixture, INITIAL_SYNC_MS);
		open_flow_at_each(fixture, &nearby, &distant);
		for (int i = 0; i < 10; i++) {
			flow_request(fixture, &nearby, 10);
			flow_request(fixture, &distant, 10);
		}
		fixture_tick(fixture, 5000);
		/* A few requests of 10 ms are far below the capacity of two
		 * slots. */
		assert_in_range(count_flows_to(fixture, 10, 0x102), off ? 3 : 0,
				off ? 5 : 0);
		talloc_free(fixture);
	}
}

static void test_slow_start(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct fixture *fixture =
			fixture_with_feature(JT_FEATURE_COLD_LIMIT, off);
		struct jt_endpoint_entry entry =
			make_entry(0x101, SERVICE_BOARD, ZONE_A, 9);

		entry.cold_left_ms = 60000;
		fixture_set_entry(fixture, entry);
		assert_in_range(count_flows_to(fixture, FLOWS, 0x101),
				off ? HALF_MIN : 15,
				off ? HALF_MAX : HALF_MIN - 1);
		talloc_free(fixture);
	}
}

static void test_new_endpoint_share(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct fixture *fixture = fixture_with_feature(
			JT_FEATURE_NEW_ENDPOINT_SHARE, off);

		count_flows_to(fixture, FLOWS, 0);
		fixture_set_entry(fixture,
				  make_entry(0x103, SERVICE_BOARD, ZONE_A, 9));
		assert_in_range(count_flows_to(fixture, 12, 0x103),
				off ? 10 : 3, off ? 12 : 6);
		talloc_free(fixture);
	}
}

static void test_probe_after_unanswered_syn(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct fixture *fixture = fixture_with_feature(
			JT_FEATURE_SUSPECT_UNANSWERED, off);
		struct client_flow flow =
			flow_new(fixture, CLIENT_IP, BOARD_PORT);

		flow_send_syn(fixture, &flow);
		fixture_tick(fixture, 100);
		assert_int_equal(
			fixture_count_actions(fixture, JT_DIRECTOR_PROBE),
			!off);
		talloc_free(fixture);
	}
}

static void test_probe_after_retransmission(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct fixture *fixture = fixture_with_feature(
			JT_FEATURE_SUSPECT_RETRANSMISSION, off);
		struct client_flow flow =
			flow_new(fixture, CLIENT_IP, BOARD_PORT);

		flow_open(fixture, &flow);
		flow_request(fixture, &flow, 20);
		flow_send(fixture, &flow, JT_PACKET_ACK, 100);
		fixture->now_ms += 200;
		flow_send(fixture, &flow, JT_PACKET_ACK, 100);
		assert_int_equal(
			fixture_count_actions(fixture, JT_DIRECTOR_PROBE),
			!off);
		talloc_free(fixture);
	}
}

static void test_peer_suspicion(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct fixture *fixture =
			fixture_with_feature(JT_FEATURE_PEER_SUSPICION, off);
		struct client_flow first, second;

		open_flow_at_each(fixture, &first, &second);
		fixture_deliver_death_report(fixture, 0x101);
		assert_int_equal(
			fixture_count_actions(fixture, JT_DIRECTOR_PROBE),
			!off);
		talloc_free(fixture);
	}
}

static void test_outlier_detection(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct fixture *fixture =
			fixture_with_feature(JT_FEATURE_OUTLIER_DETECTION, off);
		struct jt_director_event event = {.kind = JT_DIRECTOR_OVERDUE};

		fixture_add_endpoint(fixture, 0x103, SERVICE_BOARD, ZONE_A, 9);
		event.u.suspicion.id = 0x101;
		fixture_handle(fixture, &event);
		assert_in_range(count_flows_to(fixture, 12, 0x101), off ? 1 : 0,
				off ? 12 : 0);
		talloc_free(fixture);
	}
}

static void test_short_responses(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct fixture *fixture =
			fixture_add_two_endpoints(fixture_create_with_disabled(
				0, off ? JT_FEATURE_SHORT_RESPONSES : 0));
		struct client_flow bad, good;

		open_flow_at_each(fixture, &bad, &good);
		for (int i = 0; i < 20; i++) {
			flow_request(fixture, &bad, 20);
			flow_request(fixture, &good, 20);
		}
		for (int i = 0; i < 20; i++) {
			flow_request_sized(fixture, &bad, 20, 100);
			flow_request(fixture, &good, 20);
		}
		assert_in_range(count_flows_to(fixture, 12, 0x101), off ? 4 : 0,
				off ? 8 : 2);
		talloc_free(fixture);
	}
}

static void test_connection_limit(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct fixture *fixture =
			fixture_with_feature(JT_FEATURE_CONNECTION_LIMIT, off);
		unsigned placed = 0;

		limit_connections(fixture, 3);
		for (uint32_t i = 0; i < 10; i++) {
			struct client_flow flow =
				flow_new(fixture, CLIENT_IP + i, BOARD_PORT);

			placed += flow_send_syn(fixture, &flow) != 0;
		}
		assert_int_equal(placed, off ? 10 : 6);
		talloc_free(fixture);
	}
}

static void test_suspected_parts_are_avoided(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct fixture *fixture =
			fixture_with_feature(JT_FEATURE_SPLIT_FALLBACK, off);
		unsigned at_suspected = 0;
		struct client_flow flow;

		fixture_add_endpoint(fixture, 0x301, SERVICE_EXPORT, ZONE_A, 5);
		do {
			flow = flow_new(fixture, CLIENT_IP, SPLIT_PORT);
		} while (flow_send_syn(fixture, &flow) != 0x301);
		fixture->now_ms += 3;
		for (int i = 0; i < 4; i++) {
			flow = flow_new(fixture, CLIENT_IP, SPLIT_PORT);
			flow_open(fixture, &flow);
			at_suspected += flow.endpoint_id == 0x301;
		}
		assert_in_range(at_suspected, off ? 1 : 0, off ? 4 : 0);
		talloc_free(fixture);
	}
}

static void test_expiry_in_outage(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct fixture *fixture =
			fixture_with_feature(JT_FEATURE_OUTAGE_EXPIRY, off);
		struct jt_director_event tick = {.kind = JT_DIRECTOR_TICK};
		struct client_flow first, second;

		open_flow_at_each(fixture, &first, &second);
		tick.u.tick.nodes = 1;
		tick.u.tick.store_age_ms = 9000;
		fixture_handle(fixture, &tick);
		fixture_remove_entry(fixture, 0x101, 8);
		assert_in_range(count_flows_to(fixture, 10, 0x101), off ? 0 : 4,
				off ? 0 : 6);
		talloc_free(fixture);
	}
}

/* Tests of membership features. */

static struct jt_membership *member_with_disabled(uint32_t disabled_features,
						  uint64_t peers)
{
	struct jt_membership *membership = jt_membership_create(
		NULL, 50, (struct jt_address){50, 7720}, ZONE_A);

	membership->disabled_features = disabled_features;
	for (uint64_t id = 1; id <= peers; id++) {
		const struct jt_address address = {(uint32_t)id + 100, 7720};
		const jt_wire_digest digest = {
			.zone = id % 5 == 0 ? ZONE_A : ZONE_B,
			.started = true,
			.weight = 1000,
		};

		jt_membership_digest(membership, id + 100, address, &digest,
				     1000);
	}
	return membership;
}

static void test_zone_digests(void **state)
{
	unsigned nearby[2] = {0, 0};

	(void)state;
	for (int off = 0; off < 2; off++) {
		struct jt_membership *membership = member_with_disabled(
			off ? JT_FEATURE_ZONE_DIGESTS : 0, 40);

		for (int i = 0; i < 200; i++) {
			struct jt_address targets[JT_DIGEST_FANOUT];
			size_t count = jt_membership_digest_targets(membership,
								    targets);

			for (size_t t = 0; t < count; t++)
				nearby[off] += targets[t].ip % 5 == 0;
		}
		talloc_free(membership);
	}
	assert_in_range(nearby[0], 150, 400);
	assert_in_range(nearby[1], 20, 130);
}

static void test_store_readers(void **state)
{
	const struct {
		uint32_t disabled_features;
		uint64_t peers;
		uint32_t weight;
		enum jt_reader_rank rank;
	} cases[] = {
		{0, 12, 500, JT_READER_RANK_NONE},
		{JT_FEATURE_FEW_READERS, 12, 500, JT_READER_RANK_WATCHER},
		{0, 12, 1000, JT_READER_RANK_ZONE},
		{JT_FEATURE_SINGLE_WATCHER, 12, 1000, JT_READER_RANK_WATCHER},
		/* With many nodes each zone has its own reader. */
		{0, 40, 500, JT_READER_RANK_NONE},
		{0, 40, 1000, JT_READER_RANK_WATCHER},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct jt_membership *membership = member_with_disabled(
			cases[i].disabled_features, cases[i].peers);
		const struct jt_address stronger = {7, 7720};
		const jt_wire_digest digest = {
			.zone = ZONE_B, .started = true, .weight = 2000};

		/* No node of the own zone precedes a node of weight 1000. */
		membership->id = 1;
		jt_membership_digest(membership, 7, stronger, &digest, 1000);
		assert_int_equal(
			jt_membership_reader_rank(membership, cases[i].weight),
			cases[i].rank);
		talloc_free(membership);
	}
}

/* Opens flows with a request each; all are answered after @latency_ms. */
static void run_request_batch(struct fixture *fixture, uint64_t latency_ms)
{
	struct client_flow flows[CLIENTS];

	for (int i = 0; i < CLIENTS; i++) {
		flows[i] = flow_new(fixture, CLIENT_IP, BOARD_PORT);
		flow_open(fixture, &flows[i]);
	}
	for (int i = 0; i < CLIENTS; i++) {
		flow_send(fixture, &flows[i], JT_PACKET_ACK, 100);
		flows[i].sequence += 100;
		flows[i].acknowledged += 600;
	}
	fixture->now_ms += latency_ms;
	for (int i = 0; i < CLIENTS; i++)
		flow_send(fixture, &flows[i], JT_PACKET_ACK, 0);
	fixture_tick(fixture, 0);
}

/* Overloads a service whose routes differ in priority, with one slot and slow
 * responses. */
static void overload_service(struct fixture *fixture)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_ROUTING};
	struct jt_routing *routing = talloc_zero(fixture, struct jt_routing);
	struct jt_endpoint_entry entry =
		make_entry(0x101, SERVICE_BOARD, ZONE_A, 2);

	routing->version = 1;
	routing->routes = talloc_zero_array(routing, struct jt_route, 2);
	routing->route_count = 2;
	for (uint16_t i = 0; i < 2; i++)
		routing->routes[i] = (struct jt_route){
			.address = {ROUTE_IP, BOARD_PORT + i},
			.parts = {{SERVICE_BOARD, 1}},
			.part_count = 1,
			.priority = i,
			.target_ms = 200,
		};
	event.u.routing = routing;
	fixture_handle(fixture, &event);
	entry.capacity = 1;
	fixture_set_entry(fixture, entry);
	fixture_end_listing(fixture, 2);
	fixture_tick(fixture, INITIAL_SYNC_MS);
	for (int round = 0; round < 7; round++)
		run_request_batch(fixture, round < 6 ? 10 : 150);
}

static void test_admission(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct fixture *fixture = fixture_create_with_disabled(
			0, off ? JT_FEATURE_ADMISSION_CONTROL : 0);
		const struct jt_director_action *reset = NULL;

		overload_service(fixture);
		for (uint32_t i = 0; i < 40 && reset == NULL; i++) {
			struct client_flow flow = flow_new(
				fixture, CLIENT_IP + i, BOARD_PORT + 1);

			flow_send_syn(fixture, &flow);
			reset = fixture_find_action(fixture, JT_DIRECTOR_RESET);
		}
		if (off) {
			assert_null(reset);
		} else {
			assert_non_null(reset);
			assert_int_equal(reset->reason, JT_DIRECTOR_OVERLOADED);
			assert_int_equal(reset->admission.priority, 1);
			assert_in_range(reset->admission.delay_ms,
					reset->admission.allowed_ms, 150);
		}
		talloc_free(fixture);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_prefer_zone),
		cmocka_unit_test(test_peer_load),
		cmocka_unit_test(test_response_time_weighting),
		cmocka_unit_test(test_optimal_load),
		cmocka_unit_test(test_zone_headroom),
		cmocka_unit_test(test_slow_start),
		cmocka_unit_test(test_new_endpoint_share),
		cmocka_unit_test(test_probe_after_unanswered_syn),
		cmocka_unit_test(test_probe_after_retransmission),
		cmocka_unit_test(test_peer_suspicion),
		cmocka_unit_test(test_outlier_detection),
		cmocka_unit_test(test_short_responses),
		cmocka_unit_test(test_connection_limit),
		cmocka_unit_test(test_admission),
		cmocka_unit_test(test_suspected_parts_are_avoided),
		cmocka_unit_test(test_expiry_in_outage),
		cmocka_unit_test(test_zone_digests),
		cmocka_unit_test(test_store_readers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
