/* Each mechanism that a setting can switch off does something, and only as long
 * as it is on. */
#include "director_fixture.h"
#include "jt_mechanism.h"
#include "jt_membership.h"

enum { CALLERS = 20, MANY = 60, HALF_LEAST = 25, HALF_MOST = 35 };

/* Two endpoints of the own zone, without @mechanism when @off. */
static struct bench *two_without(enum jt_mechanism mechanism, bool off)
{
	return two_endpoints_of(
		bench_create_without(0, off ? (uint32_t)mechanism : 0));
}

static void test_zone_first(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct bench *bench = bench_create_without(
			0, off ? JT_MECHANISM_ZONE_FIRST : 0);

		bench_routing(bench, 1, 1, 1);
		bench_endpoint(bench, 0x101, SERVICE_BOARD, ZONE_A, 2);
		bench_endpoint(bench, 0x102, SERVICE_BOARD, ZONE_B, 3);
		bench_listed(bench, 3);
		bench_tick(bench, LEARNED_MS);
		assert_in_range(flows_at(bench, MANY, 0x102),
				off ? HALF_LEAST : 15,
				off ? HALF_MOST : HALF_LEAST - 1);
		talloc_free(bench);
	}
}

static void test_peer_work(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct bench *bench = two_without(JT_MECHANISM_PEER_WORK, off);
		struct jt_endpoint_load load = {jt_flow_label(0x101), 0,
						50 * JT_WORK_UNIT, 0};
		struct jt_director_event event = {.kind = JT_DIRECTOR_LOADS};

		event.u.loads.peer = 7;
		event.u.loads.loads = &load;
		event.u.loads.count = 1;
		bench_event(bench, &event);
		assert_in_range(flows_at(bench, MANY, 0x101),
				off ? HALF_LEAST : 0, off ? HALF_MOST : 15);
		talloc_free(bench);
	}
}

static void test_slowness(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct bench *bench = two_without(JT_MECHANISM_SLOWNESS, off);
		struct caller_flow slow, fast;

		flow_at_each(bench, &slow, &fast);
		for (int i = 0; i < 20; i++) {
			flow_request(bench, &slow, 110);
			flow_request(bench, &fast, 22);
		}
		bench_tick(bench, 14000);
		assert_in_range(flows_at(bench, MANY, 0x101),
				off ? HALF_LEAST : 5, off ? HALF_MOST : 15);
		talloc_free(bench);
	}
}

static void test_fast_first(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct bench *bench = two_without(JT_MECHANISM_FAST_FIRST, off);
		struct caller_flow slow, fast;

		flow_at_each(bench, &slow, &fast);
		for (int i = 0; i < 20; i++) {
			flow_request(bench, &slow, 110);
			flow_request(bench, &fast, 55);
		}
		bench_tick(bench, 5000);
		/* For four requests the fast one has room enough. */
		for (int i = 0, there = 0; i < 10; i++) {
			there += (int)flows_at(bench, 4, 0x101);
			bench_tick(bench, 4000);
			if (i == 9)
				assert_in_range(there, off ? 10 : 0,
						off ? 20 : 4);
		}
		talloc_free(bench);
	}
}

static void test_zone_room(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct bench *bench = bench_create_without(
			0, off ? JT_MECHANISM_ZONE_ROOM : 0);
		struct caller_flow near, far;

		bench_routing(bench, 1, 1, 1);
		bench_endpoint(bench, 0x101, SERVICE_BOARD, ZONE_A, 2);
		bench_endpoint(bench, 0x102, SERVICE_BOARD, ZONE_B, 3);
		bench_listed(bench, 3);
		bench_tick(bench, LEARNED_MS);
		flow_at_each(bench, &near, &far);
		for (int i = 0; i < 10; i++) {
			flow_request(bench, &near, 10);
			flow_request(bench, &far, 10);
		}
		bench_tick(bench, 5000);
		/* A few requests of 10 ms are nothing to one of two slots. */
		assert_in_range(flows_at(bench, 10, 0x102), off ? 3 : 0,
				off ? 5 : 0);
		talloc_free(bench);
	}
}

static void test_cold(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct bench *bench = two_without(JT_MECHANISM_COLD, off);
		struct jt_endpoint_entry entry =
			entry_of(0x101, SERVICE_BOARD, ZONE_A, 9);

		entry.cold_left_ms = 60000;
		bench_entry(bench, entry);
		assert_in_range(flows_at(bench, MANY, 0x101),
				off ? HALF_LEAST : 15,
				off ? HALF_MOST : HALF_LEAST - 1);
		talloc_free(bench);
	}
}

static void test_newcomer_share(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct bench *bench =
			two_without(JT_MECHANISM_NEWCOMER_SHARE, off);

		flows_at(bench, MANY, 0);
		bench_entry(bench, entry_of(0x103, SERVICE_BOARD, ZONE_A, 9));
		assert_in_range(flows_at(bench, 12, 0x103), off ? 10 : 3,
				off ? 12 : 6);
		talloc_free(bench);
	}
}

static void test_doubt_opening(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct bench *bench =
			two_without(JT_MECHANISM_DOUBT_OPENING, off);
		struct caller_flow flow = flow_new(bench, CALLER, BOARD_PORT);

		flow_syn(bench, &flow);
		bench_tick(bench, 100);
		assert_int_equal(bench_count(bench, JT_DIRECTOR_PROBE), !off);
		talloc_free(bench);
	}
}

static void test_doubt_resent(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct bench *bench =
			two_without(JT_MECHANISM_DOUBT_RESENT, off);
		struct caller_flow flow = flow_new(bench, CALLER, BOARD_PORT);

		flow_open(bench, &flow);
		flow_request(bench, &flow, 20);
		flow_send(bench, &flow, JT_PACKET_ACK, 100);
		bench->now_ms += 200;
		flow_send(bench, &flow, JT_PACKET_ACK, 100);
		assert_int_equal(bench_count(bench, JT_DIRECTOR_PROBE), !off);
		talloc_free(bench);
	}
}

static void test_peer_suspicion(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct bench *bench =
			two_without(JT_MECHANISM_PEER_SUSPICION, off);
		struct caller_flow first, second;

		flow_at_each(bench, &first, &second);
		bench_suspicion(bench, 0x101);
		assert_int_equal(bench_count(bench, JT_DIRECTOR_PROBE), !off);
		talloc_free(bench);
	}
}

static void test_outliers(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct bench *bench = two_without(JT_MECHANISM_OUTLIERS, off);
		struct jt_director_event event = {.kind = JT_DIRECTOR_OVERDUE};

		bench_endpoint(bench, 0x103, SERVICE_BOARD, ZONE_A, 9);
		event.u.suspicion.id = 0x101;
		bench_event(bench, &event);
		assert_in_range(flows_at(bench, 12, 0x101), off ? 1 : 0,
				off ? 12 : 0);
		talloc_free(bench);
	}
}

static void test_short_answers(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct bench *bench = two_endpoints_of(bench_create_without(
			0, off ? JT_MECHANISM_SHORT_ANSWERS : 0));
		struct caller_flow bad, good;

		flow_at_each(bench, &bad, &good);
		for (int i = 0; i < 20; i++) {
			flow_request(bench, &bad, 20);
			flow_request(bench, &good, 20);
		}
		for (int i = 0; i < 20; i++) {
			flow_request_of(bench, &bad, 20, 100);
			flow_request(bench, &good, 20);
		}
		assert_in_range(flows_at(bench, 12, 0x101), off ? 4 : 0,
				off ? 8 : 2);
		talloc_free(bench);
	}
}

static void test_refuse_full(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct bench *bench =
			two_without(JT_MECHANISM_REFUSE_FULL, off);
		unsigned placed = 0;

		limit_connections(bench, 3);
		for (uint32_t i = 0; i < 10; i++) {
			struct caller_flow flow =
				flow_new(bench, CALLER + i, BOARD_PORT);

			placed += flow_syn(bench, &flow) != 0;
		}
		assert_int_equal(placed, off ? 10 : 6);
		talloc_free(bench);
	}
}

static void test_parts_give_way(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct bench *bench =
			two_without(JT_MECHANISM_PARTS_GIVE_WAY, off);
		unsigned at_suspected = 0;
		struct caller_flow flow;

		bench_endpoint(bench, 0x301, SERVICE_EXPORT, ZONE_A, 5);
		do {
			flow = flow_new(bench, CALLER, SPLIT_PORT);
		} while (flow_syn(bench, &flow) != 0x301);
		bench->now_ms += 3;
		for (int i = 0; i < 4; i++) {
			flow = flow_new(bench, CALLER, SPLIT_PORT);
			flow_open(bench, &flow);
			at_suspected += flow.endpoint_id == 0x301;
		}
		assert_in_range(at_suspected, off ? 1 : 0, off ? 4 : 0);
		talloc_free(bench);
	}
}

static void test_outage_lapses(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct bench *bench =
			two_without(JT_MECHANISM_OUTAGE_LAPSES, off);
		struct jt_director_event tick = {.kind = JT_DIRECTOR_TICK};
		struct caller_flow first, second;

		flow_at_each(bench, &first, &second);
		tick.u.tick.nodes = 1;
		tick.u.tick.store_age_ms = 9000;
		bench_event(bench, &tick);
		bench_gone(bench, 0x101, 8);
		assert_in_range(flows_at(bench, 10, 0x101), off ? 0 : 4,
				off ? 0 : 6);
		talloc_free(bench);
	}
}

/* Membership */

static struct jt_membership *member_without(uint32_t without, uint64_t peers)
{
	struct jt_membership *membership = jt_membership_create(
		NULL, 50, (struct jt_address){50, 7720}, ZONE_A);

	membership->without = without;
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

static void test_near_digests(void **state)
{
	unsigned near[2] = {0, 0};

	(void)state;
	for (int off = 0; off < 2; off++) {
		struct jt_membership *membership =
			member_without(off ? JT_MECHANISM_NEAR_DIGESTS : 0, 40);

		for (int i = 0; i < 200; i++) {
			struct jt_address targets[JT_DIGEST_FANOUT];
			size_t count = jt_membership_round(membership, targets);

			for (size_t t = 0; t < count; t++)
				near[off] += targets[t].ip % 5 == 0;
		}
		talloc_free(membership);
	}
	assert_in_range(near[0], 150, 400);
	assert_in_range(near[1], 20, 130);
}

static void test_readers(void **state)
{
	const struct {
		uint32_t without;
		uint64_t peers;
		uint32_t weight;
		enum jt_reading_turn turn;
	} cases[] = {
		{0, 12, 500, JT_TURN_NONE},
		{JT_MECHANISM_FEW_READERS, 12, 500, JT_TURN_OF_ALL},
		{0, 12, 1000, JT_TURN_OF_ZONE},
		{JT_MECHANISM_ONE_WATCHER, 12, 1000, JT_TURN_OF_ALL},
		/* Many nodes: each zone has its own. */
		{0, 40, 500, JT_TURN_NONE},
		{0, 40, 1000, JT_TURN_OF_ALL},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct jt_membership *membership =
			member_without(cases[i].without, cases[i].peers);
		const struct jt_address stronger = {7, 7720};
		const jt_wire_digest digest = {
			.zone = ZONE_B, .started = true, .weight = 2000};

		/* Of the own zone none goes before a node of weight 1000. */
		membership->id = 1;
		jt_membership_digest(membership, 7, stronger, &digest, 1000);
		assert_int_equal(
			jt_membership_reading_turn(membership, cases[i].weight),
			cases[i].turn);
		talloc_free(membership);
	}
}

/* Callers open flows with a request each, all are answered after so long. */
static void requests_at_once(struct bench *bench, uint64_t took_ms)
{
	struct caller_flow flows[CALLERS];

	for (int i = 0; i < CALLERS; i++) {
		flows[i] = flow_new(bench, CALLER, BOARD_PORT);
		flow_open(bench, &flows[i]);
	}
	for (int i = 0; i < CALLERS; i++) {
		flow_send(bench, &flows[i], JT_PACKET_ACK, 100);
		flows[i].sequence += 100;
		flows[i].acknowledged += 600;
	}
	bench->now_ms += took_ms;
	for (int i = 0; i < CALLERS; i++)
		flow_send(bench, &flows[i], JT_PACKET_ACK, 0);
	bench_tick(bench, 0);
}

/* A service whose routes differ in priority, with one slot and slow answers. */
static void fill_service(struct bench *bench)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_ROUTING};
	struct jt_routing *routing = talloc_zero(bench, struct jt_routing);
	struct jt_endpoint_entry entry =
		entry_of(0x101, SERVICE_BOARD, ZONE_A, 2);

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
	bench_event(bench, &event);
	entry.capacity = 1;
	bench_entry(bench, entry);
	bench_listed(bench, 2);
	bench_tick(bench, LEARNED_MS);
	for (int round = 0; round < 7; round++)
		requests_at_once(bench, round < 6 ? 10 : 150);
}

static void test_admission(void **state)
{
	(void)state;
	for (int off = 0; off < 2; off++) {
		struct bench *bench = bench_create_without(
			0, off ? JT_MECHANISM_ADMISSION : 0);
		const struct jt_director_action *reset = NULL;

		fill_service(bench);
		for (uint32_t i = 0; i < 40 && reset == NULL; i++) {
			struct caller_flow flow =
				flow_new(bench, CALLER + i, BOARD_PORT + 1);

			flow_syn(bench, &flow);
			reset = bench_find(bench, JT_DIRECTOR_RESET);
		}
		if (off) {
			assert_null(reset);
		} else {
			assert_non_null(reset);
			assert_int_equal(reset->reason, JT_DIRECTOR_OVERLOADED);
			assert_int_equal(reset->room.priority, 1);
			assert_in_range(reset->room.delay_ms,
					reset->room.allowed_ms, 150);
		}
		talloc_free(bench);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_zone_first),
		cmocka_unit_test(test_peer_work),
		cmocka_unit_test(test_slowness),
		cmocka_unit_test(test_fast_first),
		cmocka_unit_test(test_zone_room),
		cmocka_unit_test(test_cold),
		cmocka_unit_test(test_newcomer_share),
		cmocka_unit_test(test_doubt_opening),
		cmocka_unit_test(test_doubt_resent),
		cmocka_unit_test(test_peer_suspicion),
		cmocka_unit_test(test_outliers),
		cmocka_unit_test(test_short_answers),
		cmocka_unit_test(test_refuse_full),
		cmocka_unit_test(test_admission),
		cmocka_unit_test(test_parts_give_way),
		cmocka_unit_test(test_outage_lapses),
		cmocka_unit_test(test_near_digests),
		cmocka_unit_test(test_readers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
