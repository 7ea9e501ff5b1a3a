/* When a node that was told to stop goes out of use, and when it ends. */
#include "test.h"

#include "jt_leave.h"
#include "jt_membership.h"

enum {
	LIMIT_MS = 5600,
	BEGIN_MS = 10000,
	STEP_MS = 100,
	SETTLED_MS = BEGIN_MS + STEP_MS,
	ZONE = 3,
	OTHER_ZONE = 4,
	PORT = 7720,
};

static struct jt_leave leave_begun(void)
{
	struct jt_leave leave = {0};

	jt_leave_packet(&leave, BEGIN_MS);
	jt_leave_begin(&leave, BEGIN_MS);
	return leave;
}

static enum jt_leave_stage step(struct jt_leave *leave, size_t nodes,
				size_t serving, uint64_t now_ms)
{
	const struct jt_zone_view zone = {.nodes = nodes, .serving = serving};

	return jt_leave_step(leave, &zone, LIMIT_MS, now_ms);
}

/* The only node of its zone. */
static enum jt_leave_stage step_alone(struct jt_leave *leave, size_t elsewhere,
				      uint64_t now_ms)
{
	const struct jt_zone_view zone = {.elsewhere = elsewhere};

	return jt_leave_step(leave, &zone, LIMIT_MS, now_ms);
}

static void refused_twice(struct jt_leave *leave)
{
	jt_leave_refused(leave);
	jt_leave_refused(leave);
}

static void test_node_that_was_not_told_stays(void **state)
{
	struct jt_leave leave = {0};

	(void)state;
	refused_twice(&leave);
	assert_int_equal(step(&leave, 2, 2, 99999), JT_LEAVE_STAYS);
}

static void test_goes_at_once_where_enough_stay(void **state)
{
	struct jt_leave leave = leave_begun();

	(void)state;
	assert_int_equal(step(&leave, 2, 2, BEGIN_MS), JT_LEAVE_WAITS);
	assert_int_equal(step(&leave, 2, 2, SETTLED_MS), JT_LEAVE_UNREADY);
}

/* Routers turn back to all nodes where fewer than half are in. */
static void test_waits_for_its_turn(void **state)
{
	struct jt_leave leave = leave_begun();
	uint64_t now_ms = SETTLED_MS;

	(void)state;
	for (; now_ms < BEGIN_MS + 2000; now_ms += STEP_MS)
		assert_int_equal(step(&leave, 2, 1, now_ms), JT_LEAVE_WAITS);
	assert_int_equal(step(&leave, 2, 2, now_ms), JT_LEAVE_UNREADY);
}

static void test_does_not_wait_for_ever(void **state)
{
	struct jt_leave leave = leave_begun();

	(void)state;
	assert_int_equal(step(&leave, 2, 1, BEGIN_MS + LIMIT_MS / 2),
			 JT_LEAVE_UNREADY);
}

static void test_half_of_a_zone_is_enough(void **state)
{
	struct jt_leave one_of_two = leave_begun();
	struct jt_leave alone = leave_begun();

	(void)state;
	assert_int_equal(step(&one_of_two, 1, 1, SETTLED_MS), JT_LEAVE_UNREADY);
	assert_int_equal(step_alone(&alone, 1, SETTLED_MS), JT_LEAVE_UNREADY);
}

/* Nobody would take over: it serves on for as long as it may. */
static void test_last_node_of_all_stays(void **state)
{
	struct jt_leave leave = leave_begun();

	(void)state;
	assert_int_equal(step_alone(&leave, 0, SETTLED_MS), JT_LEAVE_WAITS);
	assert_int_equal(step_alone(&leave, 0, BEGIN_MS + LIMIT_MS / 2),
			 JT_LEAVE_UNREADY);
	refused_twice(&leave);
	assert_int_equal(step_alone(&leave, 0, BEGIN_MS + LIMIT_MS - 1),
			 JT_LEAVE_UNREADY);
}

/* Routers go on counting a node that was removed, for a while. */
static void test_stays_where_nodes_are_removed(void **state)
{
	struct jt_leave leave = leave_begun();
	const struct jt_zone_view zone = {
		.nodes = 2, .serving = 2, .removed = 1};

	(void)state;
	step(&leave, 2, 2, SETTLED_MS);
	refused_twice(&leave);
	assert_int_equal(
		jt_leave_step(&leave, &zone, LIMIT_MS, BEGIN_MS + LIMIT_MS - 1),
		JT_LEAVE_UNREADY);
	assert_int_equal(
		jt_leave_step(&leave, &zone, LIMIT_MS, BEGIN_MS + LIMIT_MS),
		JT_LEAVE_ENDS);
}

static void test_ends_when_packets_stop(void **state)
{
	struct jt_leave leave = leave_begun();
	uint64_t out_ms = SETTLED_MS + 1000;

	(void)state;
	step(&leave, 2, 2, SETTLED_MS);
	/* Silence alone is no proof that routers know. */
	assert_int_equal(step(&leave, 2, 2, out_ms), JT_LEAVE_UNREADY);
	refused_twice(&leave);
	jt_leave_packet(&leave, out_ms);
	assert_int_equal(step(&leave, 2, 2, out_ms + STEP_MS),
			 JT_LEAVE_UNREADY);
	assert_int_equal(step(&leave, 2, 2, out_ms + 3 * STEP_MS),
			 JT_LEAVE_ENDS);
}

static void test_stays_while_routers_may_turn_back(void **state)
{
	struct jt_leave leave = leave_begun();
	uint64_t now_ms = SETTLED_MS + 2000;

	(void)state;
	step(&leave, 2, 2, SETTLED_MS);
	refused_twice(&leave);
	/* One of the two that served has gone since. */
	for (; now_ms < BEGIN_MS + LIMIT_MS; now_ms += STEP_MS)
		assert_int_equal(step(&leave, 2, 1, now_ms), JT_LEAVE_UNREADY);
	assert_int_equal(step(&leave, 2, 1, now_ms), JT_LEAVE_ENDS);
}

static void test_limit_ends_it_while_packets_come(void **state)
{
	struct jt_leave leave = leave_begun();

	(void)state;
	step(&leave, 2, 2, SETTLED_MS);
	refused_twice(&leave);
	jt_leave_packet(&leave, BEGIN_MS + LIMIT_MS);
	assert_int_equal(step(&leave, 2, 2, BEGIN_MS + LIMIT_MS),
			 JT_LEAVE_ENDS);
}

static void test_refusals_before_it_left_do_not_count(void **state)
{
	struct jt_leave leave = {0};

	(void)state;
	/* The node had only just started. */
	refused_twice(&leave);
	jt_leave_begin(&leave, BEGIN_MS);
	step(&leave, 2, 2, SETTLED_MS);
	assert_int_equal(step(&leave, 2, 2, SETTLED_MS + 1000),
			 JT_LEAVE_UNREADY);
}

/* All three of a zone are told at once: one goes, two wait. */
static void test_nodes_told_together_go_in_turn(void **state)
{
	unsigned gone = 0;

	(void)state;
	for (size_t before = 0; before < 3; before++) {
		struct jt_leave leave = leave_begun();
		const struct jt_zone_view zone = {
			.nodes = 2, .waiting = 2, .before = before};

		if (jt_leave_step(&leave, &zone, LIMIT_MS, SETTLED_MS) ==
		    JT_LEAVE_UNREADY)
			gone++;
	}
	assert_int_equal(gone, 1);
}

/* One that is out ends although one that waits for it has a lower id. */
static void test_node_that_is_out_does_not_wait_for_others(void **state)
{
	struct jt_leave leave = leave_begun();
	const struct jt_zone_view zone = {
		.nodes = 2, .serving = 1, .waiting = 1, .before = 1};

	(void)state;
	step(&leave, 2, 2, SETTLED_MS);
	refused_twice(&leave);
	assert_int_equal(
		jt_leave_step(&leave, &zone, LIMIT_MS, SETTLED_MS + 1000),
		JT_LEAVE_ENDS);
}

/* The view of the zone, from what peers tell */

static void peer_tells(struct jt_membership *membership, uint64_t id,
		       uint32_t zone, bool ready, bool leaving)
{
	const struct jt_address address = {(uint32_t)id, PORT};
	const jt_wire_digest digest = {
		.zone = zone,
		.started = true,
		.ready = ready,
		.leaving = leaving,
		.weight = 1,
	};

	jt_membership_digest(membership, id, address, &digest, BEGIN_MS);
}

static void test_view_of_the_zone(void **state)
{
	struct jt_membership *membership = jt_membership_create(
		NULL, 50, (struct jt_address){50, PORT}, ZONE);
	struct jt_zone_view zone;

	(void)state;
	jt_membership_seed(membership, (struct jt_address){99, PORT});
	peer_tells(membership, 10, ZONE, true, true);	/* waits, before */
	peer_tells(membership, 20, ZONE, true, false);	/* serves */
	peer_tells(membership, 30, ZONE, false, true);	/* is out */
	peer_tells(membership, 40, ZONE, false, false); /* starts */
	peer_tells(membership, 60, ZONE, true, true);	/* waits, after */
	peer_tells(membership, 70, OTHER_ZONE, true, false);
	zone = jt_membership_zone(membership, BEGIN_MS);
	assert_int_equal(zone.nodes, 5);
	assert_int_equal(zone.serving, 1);
	assert_int_equal(zone.waiting, 2);
	assert_int_equal(zone.before, 1);
	assert_int_equal(zone.elsewhere, 1);
	assert_int_equal(zone.removed, 0);
	talloc_free(membership);
}

static void test_peer_that_left_and_is_not_back_was_removed(void **state)
{
	struct jt_membership *membership = jt_membership_create(
		NULL, 50, (struct jt_address){50, PORT}, ZONE);
	const uint64_t later_ms = BEGIN_MS + 2000;

	(void)state;
	peer_tells(membership, 30, ZONE, false, true);
	assert_int_equal(jt_membership_zone(membership, later_ms).removed, 1);
	/* Its machine has started it again. */
	peer_tells(membership, 30, ZONE, false, false);
	assert_int_equal(jt_membership_zone(membership, later_ms).removed, 0);
	talloc_free(membership);
}

static void test_lost_peer_of_the_zone_does_not_serve(void **state)
{
	struct jt_membership *membership = jt_membership_create(
		NULL, 50, (struct jt_address){50, PORT}, ZONE);
	struct jt_zone_view zone;

	(void)state;
	peer_tells(membership, 20, ZONE, true, false);
	while (jt_membership_next_lost(membership, BEGIN_MS + 10000) != NULL)
		continue;
	zone = jt_membership_zone(membership, BEGIN_MS);
	assert_int_equal(zone.nodes, 1);
	assert_int_equal(zone.serving, 0);
	talloc_free(membership);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_node_that_was_not_told_stays),
		cmocka_unit_test(test_goes_at_once_where_enough_stay),
		cmocka_unit_test(test_waits_for_its_turn),
		cmocka_unit_test(test_does_not_wait_for_ever),
		cmocka_unit_test(test_half_of_a_zone_is_enough),
		cmocka_unit_test(test_last_node_of_all_stays),
		cmocka_unit_test(test_stays_where_nodes_are_removed),
		cmocka_unit_test(test_ends_when_packets_stop),
		cmocka_unit_test(test_stays_while_routers_may_turn_back),
		cmocka_unit_test(test_limit_ends_it_while_packets_come),
		cmocka_unit_test(test_refusals_before_it_left_do_not_count),
		cmocka_unit_test(test_nodes_told_together_go_in_turn),
		cmocka_unit_test(
			test_node_that_is_out_does_not_wait_for_others),
		cmocka_unit_test(test_view_of_the_zone),
		cmocka_unit_test(
			test_peer_that_left_and_is_not_back_was_removed),
		cmocka_unit_test(test_lost_peer_of_the_zone_does_not_serve),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
