/* Drains of zones: their endpoints get no new flows, open flows stay. */
#include "director_fixture.h"

#include "jt_net.h"

#include <stdio.h>

enum {
	IN_A = 0x101,
	IN_B = 0x102,
	LISTED_AT = 10,
	/* The whole of a caller's attempt to open a flow. */
	ATTEMPT_MS = 1400,
};

static struct jt_zone_drain drain_of(const char *zone, uint64_t revision,
				     bool draining)
{
	struct jt_zone_drain drain = {.revision = revision,
				      .draining = draining};

	snprintf(drain.zone, sizeof(drain.zone), "%s", zone);
	return drain;
}

static void bench_zones(struct bench *bench, const struct jt_zone_drain *drains,
			size_t count, bool complete, uint64_t revision)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_ZONE_DRAINS};

	event.u.zones.drains = drains;
	event.u.zones.count = count;
	event.u.zones.complete = complete;
	event.u.zones.revision = revision;
	bench_event(bench, &event);
}

static void bench_zone(struct bench *bench, const char *zone, uint64_t revision,
		       bool draining)
{
	struct jt_zone_drain drain = drain_of(zone, revision, draining);

	bench_zones(bench, &drain, 1, false, revision);
}

static void endpoint_in(struct bench *bench, uint64_t id, uint32_t service,
			const char *zone, uint64_t revision)
{
	bench_endpoint(bench, id, service, jt_name_id(zone), revision);
}

/* An endpoint of the board in each of two zones. */
static struct bench *two_zones(unsigned break_mechanism)
{
	struct bench *bench = bench_create(break_mechanism);

	bench_routing(bench, 1, 50, 50);
	endpoint_in(bench, IN_A, SERVICE_BOARD, "a", 2);
	endpoint_in(bench, IN_B, SERVICE_BOARD, "b", 3);
	bench_listed(bench, LISTED_AT);
	bench_tick(bench, 20000);
	return bench;
}

static enum jt_director_reason refusal_of(struct bench *bench, uint16_t port)
{
	struct caller_flow flow = flow_new(bench, CALLER, port);
	const struct jt_director_action *reset;

	assert_int_equal(flow_syn(bench, &flow), 0);
	reset = bench_find(bench, JT_DIRECTOR_RESET);
	assert_non_null(reset);
	return reset->reason;
}

static bool drained_gets_none(unsigned break_mechanism)
{
	struct bench *bench = two_zones(break_mechanism);
	unsigned there;

	bench_zone(bench, "a", 11, true);
	there = flows_at(bench, 40, IN_A);
	talloc_free(bench);
	return there == 0;
}

static void test_drained_zone_gets_no_new_flows(void **state)
{
	(void)state;
	assert_true(drained_gets_none(0));
	assert_false(drained_gets_none(JT_DIRECTOR_BREAK_ZONE_DRAIN));
}

static void test_change_is_reported_once(void **state)
{
	struct bench *bench = two_zones(0);
	const struct jt_director_action *action;

	(void)state;
	bench_zone(bench, "a", 11, true);
	action = bench_find(bench, JT_DIRECTOR_ZONE_DRAINED);
	assert_non_null(action);
	assert_string_equal(action->zone, "a");
	assert_int_equal(action->revision, 11);
	bench_zone(bench, "a", 11, true);
	assert_null(bench_find(bench, JT_DIRECTOR_ZONE_DRAINED));
	bench_zone(bench, "a", 12, false);
	assert_non_null(bench_find(bench, JT_DIRECTOR_ZONE_RESTORED));
	talloc_free(bench);
}

static void test_open_flows_stay(void **state)
{
	struct bench *bench = two_zones(0);
	struct caller_flow in_a, in_b;
	const struct jt_director_action *forward;

	(void)state;
	flow_at_each(bench, &in_a, &in_b);
	bench_zone(bench, "a", 11, true);
	assert_null(bench_find(bench, JT_DIRECTOR_RESET));
	bench_tick(bench, 3000);
	forward = flow_send(bench, &in_a, JT_PACKET_ACK, 100);
	assert_non_null(forward);
	assert_int_equal(forward->endpoint_id, IN_A);
	talloc_free(bench);
}

static void test_restored_zone_gets_its_share(void **state)
{
	struct bench *bench = two_zones(0);
	unsigned there;

	(void)state;
	bench_zone(bench, "a", 11, true);
	(void)flows_at(bench, 100, IN_A);
	bench_zone(bench, "a", 12, false);
	there = flows_at(bench, 40, IN_A);
	/* Its half, and not all because it got no work lately. */
	assert_in_range(there, 16, 26);
	talloc_free(bench);
}

static void test_old_changes_are_refused(void **state)
{
	struct bench *bench = two_zones(0);

	(void)state;
	bench_zone(bench, "a", 11, true);
	bench_zone(bench, "a", 13, false);
	/* Late, doubled, out of order. */
	bench_zone(bench, "a", 11, true);
	bench_zone(bench, "a", 12, true);
	assert_true(flows_at(bench, 40, IN_A) > 0);
	bench_zone(bench, "a", 14, true);
	bench_zone(bench, "a", 13, false);
	assert_int_equal(flows_at(bench, 40, IN_A), 0);
	talloc_free(bench);
}

static void test_end_known_before_the_begin(void **state)
{
	struct bench *bench = two_zones(0);

	(void)state;
	bench_zone(bench, "a", 12, false);
	bench_zone(bench, "a", 11, true);
	assert_true(flows_at(bench, 40, IN_A) > 0);
	talloc_free(bench);
}

static void test_all_zones_drained_refuse_at_once(void **state)
{
	struct bench *bench = two_zones(0);

	(void)state;
	bench_zone(bench, "a", 11, true);
	bench_zone(bench, "b", 12, true);
	assert_int_equal(refusal_of(bench, BOARD_PORT), JT_DIRECTOR_NO_ZONE);
	bench_zone(bench, "b", 13, false);
	assert_int_equal(flows_at(bench, 10, IN_B), 10);
	talloc_free(bench);
}

static void test_other_part_of_the_route_takes_over(void **state)
{
	struct bench *bench = two_zones(0);
	struct caller_flow flow;

	(void)state;
	endpoint_in(bench, 0x201, SERVICE_EXPORT, "c", 11);
	bench_zone(bench, "a", 12, true);
	bench_zone(bench, "b", 13, true);
	for (int i = 0; i < 10; i++) {
		flow = flow_new(bench, CALLER, SPLIT_PORT);
		assert_int_equal(flow_syn(bench, &flow), 0x201);
	}
	talloc_free(bench);
}

/* An endpoint that nothing but its zone speaks against comes before none; one
 * in a drained zone never does, however little there is. */
static void test_no_last_resort_in_a_drained_zone(void **state)
{
	struct bench *bench = two_zones(0);

	(void)state;
	bench_zone(bench, "a", 11, true);
	bench_gone(bench, IN_B, 12);
	bench_tick(bench, 3000);
	assert_int_equal(refusal_of(bench, BOARD_PORT), JT_DIRECTOR_NO_ZONE);
	/* Lapsed just now: a last resort, but for its zone. */
	bench_gone(bench, IN_A, 13);
	assert_int_equal(refusal_of(bench, BOARD_PORT),
			 JT_DIRECTOR_NO_ENDPOINT);
	talloc_free(bench);
}

static void test_zone_known_before_its_endpoints(void **state)
{
	struct bench *bench = bench_create(0);

	(void)state;
	bench_routing(bench, 1, 50, 50);
	bench_zone(bench, "a", 5, true);
	bench_zone(bench, "nowhere", 6, true);
	endpoint_in(bench, IN_A, SERVICE_BOARD, "a", 7);
	endpoint_in(bench, IN_B, SERVICE_BOARD, "b", 8);
	bench_listed(bench, LISTED_AT);
	bench_tick(bench, LEARNED_MS);
	assert_int_equal(flows_at(bench, 40, IN_B), 40);
	talloc_free(bench);
}

static void bench_listing(struct bench *bench)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_LISTING};

	bench_event(bench, &event);
}

/* History was dropped: a list tells that the drain is there no more. */
static void test_list_without_the_drain_ends_it(void **state)
{
	struct bench *bench = two_zones(0);

	(void)state;
	bench_zone(bench, "a", 11, true);
	bench_zone(bench, "b", 20, true);
	bench_listing(bench);
	endpoint_in(bench, IN_A, SERVICE_BOARD, "a", 2);
	endpoint_in(bench, IN_B, SERVICE_BOARD, "b", 3);
	bench_listed(bench, 15);
	/* That of "b" began after the list. */
	assert_int_equal(flows_at(bench, 40, IN_A), 40);
	bench_zone(bench, "a", 11, true);
	assert_int_equal(flows_at(bench, 10, IN_A), 10);
	talloc_free(bench);
}

static void test_list_with_the_drain_keeps_it(void **state)
{
	struct bench *bench = two_zones(0);

	(void)state;
	bench_zone(bench, "a", 11, true);
	bench_listing(bench);
	endpoint_in(bench, IN_A, SERVICE_BOARD, "a", 2);
	endpoint_in(bench, IN_B, SERVICE_BOARD, "b", 3);
	bench_zone(bench, "a", 11, true);
	bench_listed(bench, 15);
	assert_int_equal(flows_at(bench, 40, IN_A), 0);
	talloc_free(bench);
}

/* What a node tells one that has just started holds its drains. */
static void test_knowledge_holds_drains(void **state)
{
	struct bench *bench = two_zones(0), *other = two_zones(0);
	jt_wire_knowledge knowledge;
	struct jt_zone_drain *drains;

	(void)state;
	bench_zone(bench, "a", 11, true);
	bench_zone(bench, "b", 12, true);
	bench_zone(bench, "b", 13, false);
	assert_true(jt_knowledge_write(
		bench, bench->director,
		&(struct jt_knowledge_need){.since = 12, .version = 1},
		bench->now_ms, &knowledge));
	assert_int_equal(knowledge.zones.zones_len, 2);
	drains = jt_knowledge_zones(bench, knowledge.zones.zones_val,
				    knowledge.zones.zones_len);
	bench_zone(other, "b", 12, true);
	bench_zones(other, drains, 2, true, 13);
	assert_int_equal(flows_at(other, 40, IN_B), 40);
	talloc_free(bench);
	talloc_free(other);
}

static void test_complete_set_ends_what_it_lacks(void **state)
{
	struct bench *bench = two_zones(0);
	struct jt_zone_drain other = drain_of("b", 14, true);

	(void)state;
	bench_zone(bench, "a", 11, true);
	/* From a peer that is behind, then from one that is not. */
	bench_zones(bench, &other, 1, true, 10);
	assert_int_equal(refusal_of(bench, BOARD_PORT), JT_DIRECTOR_NO_ZONE);
	bench_zones(bench, &other, 1, true, 15);
	assert_int_equal(flows_at(bench, 40, IN_A), 40);
	talloc_free(bench);
}

/* A flow that has not opened yet stays with its endpoint as long as its caller
 * may still open it; a copy that comes later opens nothing there. */
static void test_copies_of_a_first_packet(void **state)
{
	struct bench *bench = two_zones(0);
	struct caller_flow flow;
	const struct jt_director_action *drop;

	(void)state;
	do {
		flow = flow_new(bench, CALLER, BOARD_PORT);
		assert_int_not_equal(flow_syn(bench, &flow), 0);
	} while (flow.endpoint_id != IN_A);
	bench_zone(bench, "a", 11, true);
	bench->now_ms += 600;
	flow.acknowledged = 2;
	assert_int_equal(flow_syn(bench, &flow), IN_A);
	bench->now_ms += ATTEMPT_MS - 600;
	assert_int_equal(flow_syn(bench, &flow), 0);
	drop = bench_find(bench, JT_DIRECTOR_DROP);
	assert_non_null(drop);
	assert_int_equal(drop->reason, JT_DIRECTOR_NO_ZONE);
	talloc_free(bench);
}

/* A first packet that was held until the node had started. */
static void test_held_packets(void **state)
{
	struct bench *bench = bench_create(0);
	struct caller_flow flow = flow_new(bench, CALLER, BOARD_PORT);

	(void)state;
	assert_int_equal(flow_syn(bench, &flow), 0);
	assert_non_null(bench_find(bench, JT_DIRECTOR_HOLD));
	bench_routing(bench, 1, 50, 50);
	endpoint_in(bench, IN_A, SERVICE_BOARD, "a", 2);
	endpoint_in(bench, IN_B, SERVICE_BOARD, "b", 3);
	bench_zone(bench, "a", 4, true);
	bench_listed(bench, LISTED_AT);
	assert_int_equal(flow_syn(bench, &flow), IN_B);
	talloc_free(bench);
}

static void test_room_is_bounded(void **state)
{
	struct bench *bench = two_zones(0);
	char name[16];

	(void)state;
	for (unsigned i = 0; i < 2 * JT_ZONE_DRAIN_LIMIT; i++) {
		snprintf(name, sizeof(name), "zone-%u", i);
		bench_zone(bench, name, 100 + 2 * i, true);
		bench_zone(bench, name, 101 + 2 * i, false);
	}
	/* The oldest has given way; its old changes stay refused. */
	bench_zone(bench, "zone-0", 100, true);
	assert_null(bench_find(bench, JT_DIRECTOR_ZONE_DRAINED));
	bench_zone(bench, "a", 1000, true);
	assert_int_equal(flows_at(bench, 40, IN_A), 0);
	talloc_free(bench);
}

static void test_view_tells_drained_zones(void **state)
{
	struct bench *bench = two_zones(0);
	uint64_t since_ms = 0, began_ms;
	const struct jt_zone_drain *drain;

	(void)state;
	bench_zone(bench, "b", 11, true);
	bench_zone(bench, "b", 12, false);
	bench->now_ms += 50;
	began_ms = bench->now_ms;
	bench_zone(bench, "a", 13, true);
	bench->now_ms += 500;
	drain = jt_director_zone_drain_at(bench->director, 0, &since_ms);
	assert_non_null(drain);
	assert_string_equal(drain->zone, "a");
	assert_int_equal(since_ms, began_ms);
	assert_null(jt_director_zone_drain_at(bench->director, 1, &since_ms));
	talloc_free(bench);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_drained_zone_gets_no_new_flows),
		cmocka_unit_test(test_change_is_reported_once),
		cmocka_unit_test(test_open_flows_stay),
		cmocka_unit_test(test_restored_zone_gets_its_share),
		cmocka_unit_test(test_old_changes_are_refused),
		cmocka_unit_test(test_end_known_before_the_begin),
		cmocka_unit_test(test_all_zones_drained_refuse_at_once),
		cmocka_unit_test(test_other_part_of_the_route_takes_over),
		cmocka_unit_test(test_no_last_resort_in_a_drained_zone),
		cmocka_unit_test(test_zone_known_before_its_endpoints),
		cmocka_unit_test(test_list_without_the_drain_ends_it),
		cmocka_unit_test(test_list_with_the_drain_keeps_it),
		cmocka_unit_test(test_knowledge_holds_drains),
		cmocka_unit_test(test_complete_set_ends_what_it_lacks),
		cmocka_unit_test(test_copies_of_a_first_packet),
		cmocka_unit_test(test_held_packets),
		cmocka_unit_test(test_room_is_bounded),
		cmocka_unit_test(test_view_tells_drained_zones),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
