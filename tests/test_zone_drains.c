/* Tests zone drains: endpoints in a drained zone get no new flows and keep
 * their open ones. */
#include "director_fixture.h"

#include "jt_net.h"

#include <stdio.h>

enum {
	IN_A = 0x101,
	IN_B = 0x102,
	LISTED_AT = 10,
	/* Time that a client spends on opening a flow. */
	ATTEMPT_MS = 1400,
};

static struct jt_zone_drain make_drain(const char *zone, uint64_t revision,
				       bool draining)
{
	struct jt_zone_drain drain = {.revision = revision,
				      .draining = draining};

	snprintf(drain.zone, sizeof(drain.zone), "%s", zone);
	return drain;
}

static void fixture_set_zone_drains(struct fixture *fixture,
				    const struct jt_zone_drain *drains,
				    size_t count, bool complete,
				    uint64_t revision)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_ZONE_DRAINS};

	event.u.zones.drains = drains;
	event.u.zones.count = count;
	event.u.zones.complete = complete;
	event.u.zones.revision = revision;
	fixture_handle(fixture, &event);
}

static void fixture_set_zone_drain(struct fixture *fixture, const char *zone,
				   uint64_t revision, bool draining)
{
	struct jt_zone_drain drain = make_drain(zone, revision, draining);

	fixture_set_zone_drains(fixture, &drain, 1, false, revision);
}

static void add_endpoint_in(struct fixture *fixture, uint64_t id,
			    uint32_t service, const char *zone,
			    uint64_t revision)
{
	fixture_add_endpoint(fixture, id, service, jt_name_id(zone), revision);
}

/* Creates an endpoint of the board service in each of two zones. */
static struct fixture *fixture_with_two_zones(unsigned injected_fault)
{
	struct fixture *fixture = fixture_create(injected_fault);

	fixture_set_routing(fixture, 1, 50, 50);
	add_endpoint_in(fixture, IN_A, SERVICE_BOARD, "a", 2);
	add_endpoint_in(fixture, IN_B, SERVICE_BOARD, "b", 3);
	fixture_end_listing(fixture, LISTED_AT);
	fixture_tick(fixture, 20000);
	return fixture;
}

static enum jt_director_reason reset_reason(struct fixture *fixture,
					    uint16_t port)
{
	struct client_flow flow = flow_new(fixture, CLIENT_IP, port);
	const struct jt_director_action *reset;

	assert_int_equal(flow_send_syn(fixture, &flow), 0);
	reset = fixture_find_action(fixture, JT_DIRECTOR_RESET);
	assert_non_null(reset);
	return reset->reason;
}

static bool drained_gets_no_flows(unsigned injected_fault)
{
	struct fixture *fixture = fixture_with_two_zones(injected_fault);
	unsigned placed;

	fixture_set_zone_drain(fixture, "a", 11, true);
	placed = count_flows_to(fixture, 40, IN_A);
	talloc_free(fixture);
	return placed == 0;
}

static void test_drained_zone_gets_no_new_flows(void **state)
{
	(void)state;
	assert_true(drained_gets_no_flows(0));
	assert_false(drained_gets_no_flows(JT_DIRECTOR_BREAK_ZONE_DRAIN));
}

static void test_change_is_reported_once(void **state)
{
	struct fixture *fixture = fixture_with_two_zones(0);
	const struct jt_director_action *action;

	(void)state;
	fixture_set_zone_drain(fixture, "a", 11, true);
	action = fixture_find_action(fixture, JT_DIRECTOR_ZONE_DRAINED);
	assert_non_null(action);
	assert_string_equal(action->zone, "a");
	assert_int_equal(action->revision, 11);
	fixture_set_zone_drain(fixture, "a", 11, true);
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_ZONE_DRAINED));
	fixture_set_zone_drain(fixture, "a", 12, false);
	assert_non_null(
		fixture_find_action(fixture, JT_DIRECTOR_ZONE_RESTORED));
	talloc_free(fixture);
}

static void test_open_flows_stay(void **state)
{
	struct fixture *fixture = fixture_with_two_zones(0);
	struct client_flow in_a, in_b;
	const struct jt_director_action *forward;

	(void)state;
	open_flow_at_each(fixture, &in_a, &in_b);
	fixture_set_zone_drain(fixture, "a", 11, true);
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_RESET));
	fixture_tick(fixture, 3000);
	forward = flow_send(fixture, &in_a, JT_PACKET_ACK, 100);
	assert_non_null(forward);
	assert_int_equal(forward->endpoint_id, IN_A);
	talloc_free(fixture);
}

static void test_restored_zone_gets_its_share(void **state)
{
	struct fixture *fixture = fixture_with_two_zones(0);
	unsigned placed;

	(void)state;
	fixture_set_zone_drain(fixture, "a", 11, true);
	(void)count_flows_to(fixture, 100, IN_A);
	fixture_set_zone_drain(fixture, "a", 12, false);
	placed = count_flows_to(fixture, 40, IN_A);
	/* It gets its half, and not all flows for its low recent load. */
	assert_in_range(placed, 16, 26);
	talloc_free(fixture);
}

static void test_old_changes_are_refused(void **state)
{
	struct fixture *fixture = fixture_with_two_zones(0);

	(void)state;
	fixture_set_zone_drain(fixture, "a", 11, true);
	fixture_set_zone_drain(fixture, "a", 13, false);
	/* Late, duplicated and reordered changes. */
	fixture_set_zone_drain(fixture, "a", 11, true);
	fixture_set_zone_drain(fixture, "a", 12, true);
	assert_true(count_flows_to(fixture, 40, IN_A) > 0);
	fixture_set_zone_drain(fixture, "a", 14, true);
	fixture_set_zone_drain(fixture, "a", 13, false);
	assert_int_equal(count_flows_to(fixture, 40, IN_A), 0);
	talloc_free(fixture);
}

static void test_end_known_before_the_start(void **state)
{
	struct fixture *fixture = fixture_with_two_zones(0);

	(void)state;
	fixture_set_zone_drain(fixture, "a", 12, false);
	fixture_set_zone_drain(fixture, "a", 11, true);
	assert_true(count_flows_to(fixture, 40, IN_A) > 0);
	talloc_free(fixture);
}

static void test_all_zones_drained_reset_new_flows(void **state)
{
	struct fixture *fixture = fixture_with_two_zones(0);

	(void)state;
	fixture_set_zone_drain(fixture, "a", 11, true);
	fixture_set_zone_drain(fixture, "b", 12, true);
	assert_int_equal(reset_reason(fixture, BOARD_PORT),
			 JT_DIRECTOR_NO_ZONE);
	fixture_set_zone_drain(fixture, "b", 13, false);
	assert_int_equal(count_flows_to(fixture, 10, IN_B), 10);
	talloc_free(fixture);
}

static void test_other_part_of_the_route_takes_over(void **state)
{
	struct fixture *fixture = fixture_with_two_zones(0);
	struct client_flow flow;

	(void)state;
	add_endpoint_in(fixture, 0x201, SERVICE_EXPORT, "c", 11);
	fixture_set_zone_drain(fixture, "a", 12, true);
	fixture_set_zone_drain(fixture, "b", 13, true);
	for (int i = 0; i < 10; i++) {
		flow = flow_new(fixture, CLIENT_IP, SPLIT_PORT);
		assert_int_equal(flow_send_syn(fixture, &flow), 0x201);
	}
	talloc_free(fixture);
}

/* Endpoints in a drained zone are never a last resort. */
static void test_no_last_resort_in_a_drained_zone(void **state)
{
	struct fixture *fixture = fixture_with_two_zones(0);

	(void)state;
	fixture_set_zone_drain(fixture, "a", 11, true);
	fixture_remove_entry(fixture, IN_B, 12);
	fixture_tick(fixture, 3000);
	assert_int_equal(reset_reason(fixture, BOARD_PORT),
			 JT_DIRECTOR_NO_ZONE);
	/* An entry that has just expired is a last resort outside drained zones
	 * only. */
	fixture_remove_entry(fixture, IN_A, 13);
	assert_int_equal(reset_reason(fixture, BOARD_PORT),
			 JT_DIRECTOR_NO_ENDPOINT);
	talloc_free(fixture);
}

static void test_zone_known_before_its_endpoints(void **state)
{
	struct fixture *fixture = fixture_create(0);

	(void)state;
	fixture_set_routing(fixture, 1, 50, 50);
	fixture_set_zone_drain(fixture, "a", 5, true);
	fixture_set_zone_drain(fixture, "nowhere", 6, true);
	add_endpoint_in(fixture, IN_A, SERVICE_BOARD, "a", 7);
	add_endpoint_in(fixture, IN_B, SERVICE_BOARD, "b", 8);
	fixture_end_listing(fixture, LISTED_AT);
	fixture_tick(fixture, INITIAL_SYNC_MS);
	assert_int_equal(count_flows_to(fixture, 40, IN_B), 40);
	talloc_free(fixture);
}

static void fixture_begin_listing(struct fixture *fixture)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_LISTING};

	fixture_handle(fixture, &event);
}

/* After a full listing without the drain, the drain has ended. */
static void test_listing_without_the_drain_ends_it(void **state)
{
	struct fixture *fixture = fixture_with_two_zones(0);

	(void)state;
	fixture_set_zone_drain(fixture, "a", 11, true);
	fixture_set_zone_drain(fixture, "b", 20, true);
	fixture_begin_listing(fixture);
	add_endpoint_in(fixture, IN_A, SERVICE_BOARD, "a", 2);
	add_endpoint_in(fixture, IN_B, SERVICE_BOARD, "b", 3);
	fixture_end_listing(fixture, 15);
	/* The drain of "b" is newer than the listing. */
	assert_int_equal(count_flows_to(fixture, 40, IN_A), 40);
	fixture_set_zone_drain(fixture, "a", 11, true);
	assert_int_equal(count_flows_to(fixture, 10, IN_A), 10);
	talloc_free(fixture);
}

static void test_listing_with_the_drain_keeps_it(void **state)
{
	struct fixture *fixture = fixture_with_two_zones(0);

	(void)state;
	fixture_set_zone_drain(fixture, "a", 11, true);
	fixture_begin_listing(fixture);
	add_endpoint_in(fixture, IN_A, SERVICE_BOARD, "a", 2);
	add_endpoint_in(fixture, IN_B, SERVICE_BOARD, "b", 3);
	fixture_set_zone_drain(fixture, "a", 11, true);
	fixture_end_listing(fixture, 15);
	assert_int_equal(count_flows_to(fixture, 40, IN_A), 0);
	talloc_free(fixture);
}

/* A snapshot holds the drains. */
static void test_snapshot_holds_drains(void **state)
{
	struct fixture *fixture = fixture_with_two_zones(0),
		       *other = fixture_with_two_zones(0);
	jt_wire_knowledge snapshot;
	struct jt_zone_drain *drains;

	(void)state;
	fixture_set_zone_drain(fixture, "a", 11, true);
	fixture_set_zone_drain(fixture, "b", 12, true);
	fixture_set_zone_drain(fixture, "b", 13, false);
	assert_true(jt_knowledge_write(
		fixture, fixture->director,
		&(struct jt_knowledge_need){.since = 12, .version = 1},
		fixture->now_ms, &snapshot));
	assert_int_equal(snapshot.zones.zones_len, 2);
	drains = jt_knowledge_zones(fixture, snapshot.zones.zones_val,
				    snapshot.zones.zones_len);
	fixture_set_zone_drain(other, "b", 12, true);
	fixture_set_zone_drains(other, drains, 2, true, 13);
	assert_int_equal(count_flows_to(other, 40, IN_B), 40);
	talloc_free(fixture);
	talloc_free(other);
}

static void test_complete_set_ends_what_it_lacks(void **state)
{
	struct fixture *fixture = fixture_with_two_zones(0);
	struct jt_zone_drain other = make_drain("b", 14, true);

	(void)state;
	fixture_set_zone_drain(fixture, "a", 11, true);
	/* First from a peer that is behind, then from one that is not. */
	fixture_set_zone_drains(fixture, &other, 1, true, 10);
	assert_int_equal(reset_reason(fixture, BOARD_PORT),
			 JT_DIRECTOR_NO_ZONE);
	fixture_set_zone_drains(fixture, &other, 1, true, 15);
	assert_int_equal(count_flows_to(fixture, 40, IN_A), 40);
	talloc_free(fixture);
}

/* An unopened flow stays with its endpoint while its client may still open it;
 * a later retransmission is dropped. */
static void test_retransmitted_syn(void **state)
{
	struct fixture *fixture = fixture_with_two_zones(0);
	struct client_flow flow;
	const struct jt_director_action *drop;

	(void)state;
	do {
		flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);
		assert_int_not_equal(flow_send_syn(fixture, &flow), 0);
	} while (flow.endpoint_id != IN_A);
	fixture_set_zone_drain(fixture, "a", 11, true);
	fixture->now_ms += 600;
	flow.acknowledged = 2;
	assert_int_equal(flow_send_syn(fixture, &flow), IN_A);
	fixture->now_ms += ATTEMPT_MS - 600;
	assert_int_equal(flow_send_syn(fixture, &flow), 0);
	drop = fixture_find_action(fixture, JT_DIRECTOR_DROP);
	assert_non_null(drop);
	assert_int_equal(drop->reason, JT_DIRECTOR_NO_ZONE);
	talloc_free(fixture);
}

/* A first packet that was held until the node had started. */
static void test_held_packets(void **state)
{
	struct fixture *fixture = fixture_create(0);
	struct client_flow flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);

	(void)state;
	assert_int_equal(flow_send_syn(fixture, &flow), 0);
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_HOLD));
	fixture_set_routing(fixture, 1, 50, 50);
	add_endpoint_in(fixture, IN_A, SERVICE_BOARD, "a", 2);
	add_endpoint_in(fixture, IN_B, SERVICE_BOARD, "b", 3);
	fixture_set_zone_drain(fixture, "a", 4, true);
	fixture_end_listing(fixture, LISTED_AT);
	assert_int_equal(flow_send_syn(fixture, &flow), IN_B);
	talloc_free(fixture);
}

static void test_drain_table_is_bounded(void **state)
{
	struct fixture *fixture = fixture_with_two_zones(0);
	char name[16];

	(void)state;
	for (unsigned i = 0; i < 2 * JT_ZONE_DRAIN_LIMIT; i++) {
		snprintf(name, sizeof(name), "zone-%u", i);
		fixture_set_zone_drain(fixture, name, 100 + 2 * i, true);
		fixture_set_zone_drain(fixture, name, 101 + 2 * i, false);
	}
	/* The oldest drain was evicted; its old changes are still refused. */
	fixture_set_zone_drain(fixture, "zone-0", 100, true);
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_ZONE_DRAINED));
	fixture_set_zone_drain(fixture, "a", 1000, true);
	assert_int_equal(count_flows_to(fixture, 40, IN_A), 0);
	talloc_free(fixture);
}

static void test_view_lists_drained_zones(void **state)
{
	struct fixture *fixture = fixture_with_two_zones(0);
	uint64_t since_ms = 0, began_ms;
	const struct jt_zone_drain *drain;

	(void)state;
	fixture_set_zone_drain(fixture, "b", 11, true);
	fixture_set_zone_drain(fixture, "b", 12, false);
	fixture->now_ms += 50;
	began_ms = fixture->now_ms;
	fixture_set_zone_drain(fixture, "a", 13, true);
	fixture->now_ms += 500;
	drain = jt_director_zone_drain_at(fixture->director, 0, &since_ms);
	assert_non_null(drain);
	assert_string_equal(drain->zone, "a");
	assert_int_equal(since_ms, began_ms);
	assert_null(jt_director_zone_drain_at(fixture->director, 1, &since_ms));
	talloc_free(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_drained_zone_gets_no_new_flows),
		cmocka_unit_test(test_change_is_reported_once),
		cmocka_unit_test(test_open_flows_stay),
		cmocka_unit_test(test_restored_zone_gets_its_share),
		cmocka_unit_test(test_old_changes_are_refused),
		cmocka_unit_test(test_end_known_before_the_start),
		cmocka_unit_test(test_all_zones_drained_reset_new_flows),
		cmocka_unit_test(test_other_part_of_the_route_takes_over),
		cmocka_unit_test(test_no_last_resort_in_a_drained_zone),
		cmocka_unit_test(test_zone_known_before_its_endpoints),
		cmocka_unit_test(test_listing_without_the_drain_ends_it),
		cmocka_unit_test(test_listing_with_the_drain_keeps_it),
		cmocka_unit_test(test_snapshot_holds_drains),
		cmocka_unit_test(test_complete_set_ends_what_it_lacks),
		cmocka_unit_test(test_retransmitted_syn),
		cmocka_unit_test(test_held_packets),
		cmocka_unit_test(test_drain_table_is_bounded),
		cmocka_unit_test(test_view_lists_drained_zones),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
