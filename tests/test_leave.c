/* Tests of the graceful leave: when a node turns unready and when it exits. */
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

static struct jt_leave leave_create(void)
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

/* Steps the only node of its zone; @elsewhere nodes serve in other zones. */
static enum jt_leave_stage step_alone(struct jt_leave *leave, size_t elsewhere,
				      uint64_t now_ms)
{
	const struct jt_zone_view zone = {.elsewhere = elsewhere};

	return jt_leave_step(leave, &zone, LIMIT_MS, now_ms);
}

static void refuse_two_checks(struct jt_leave *leave)
{
	jt_leave_refused(leave);
	jt_leave_refused(leave);
}

static void test_node_without_leave_request_stays(void **state)
{
	struct jt_leave leave = {0};

	(void)state;
	refuse_two_checks(&leave);
	assert_int_equal(step(&leave, 2, 2, 99999), JT_LEAVE_STAYS);
}

static void test_unready_at_once_if_enough_nodes_stay(void **state)
{
	struct jt_leave leave = leave_create();

	(void)state;
	assert_int_equal(step(&leave, 2, 2, BEGIN_MS), JT_LEAVE_WAITS);
	assert_int_equal(step(&leave, 2, 2, SETTLED_MS), JT_LEAVE_UNREADY);
}

/* Routers fall back to all nodes if fewer than half of the zone is ready. */
static void test_waits_for_its_turn(void **state)
{
	struct jt_leave leave = leave_create();
	uint64_t now_ms = SETTLED_MS;

	(void)state;
	for (; now_ms < BEGIN_MS + 2000; now_ms += STEP_MS)
		assert_int_equal(step(&leave, 2, 1, now_ms), JT_LEAVE_WAITS);
	assert_int_equal(step(&leave, 2, 2, now_ms), JT_LEAVE_UNREADY);
}

static void test_wait_is_bounded(void **state)
{
	struct jt_leave leave = leave_create();

	(void)state;
	assert_int_equal(step(&leave, 2, 1, BEGIN_MS + LIMIT_MS / 2),
			 JT_LEAVE_UNREADY);
}

static void test_half_of_a_zone_is_enough(void **state)
{
	struct jt_leave one_of_two = leave_create();
	struct jt_leave alone = leave_create();

	(void)state;
	assert_int_equal(step(&one_of_two, 1, 1, SETTLED_MS), JT_LEAVE_UNREADY);
	assert_int_equal(step_alone(&alone, 1, SETTLED_MS), JT_LEAVE_UNREADY);
}

/* Without another node to take over it serves until the limit. */
static void test_last_node_of_cell_stays(void **state)
{
	struct jt_leave leave = leave_create();

	(void)state;
	assert_int_equal(step_alone(&leave, 0, SETTLED_MS), JT_LEAVE_WAITS);
	assert_int_equal(step_alone(&leave, 0, BEGIN_MS + LIMIT_MS / 2),
			 JT_LEAVE_UNREADY);
	refuse_two_checks(&leave);
	assert_int_equal(step_alone(&leave, 0, BEGIN_MS + LIMIT_MS - 1),
			 JT_LEAVE_UNREADY);
}

/* Routers count a removed node for some time: a leaving node must then stay to
 * its limit. */
static void test_stays_to_limit_if_nodes_are_removed(void **state)
{
	struct jt_leave leave = leave_create();
	const struct jt_zone_view zone = {
		.nodes = 2, .serving = 2, .removed = 1};

	(void)state;
	step(&leave, 2, 2, SETTLED_MS);
	refuse_two_checks(&leave);
	assert_int_equal(
		jt_leave_step(&leave, &zone, LIMIT_MS, BEGIN_MS + LIMIT_MS - 1),
		JT_LEAVE_UNREADY);
	assert_int_equal(
		jt_leave_step(&leave, &zone, LIMIT_MS, BEGIN_MS + LIMIT_MS),
		JT_LEAVE_ENDS);
}

static void test_exits_when_packets_stop(void **state)
{
	struct jt_leave leave = leave_create();
	uint64_t unready_ms = SETTLED_MS + 1000;

	(void)state;
	step(&leave, 2, 2, SETTLED_MS);
	/* A pause of packets alone does not confirm that routers took the node
	 * out of use. */
	assert_int_equal(step(&leave, 2, 2, unready_ms), JT_LEAVE_UNREADY);
	refuse_two_checks(&leave);
	jt_leave_packet(&leave, unready_ms);
	assert_int_equal(step(&leave, 2, 2, unready_ms + STEP_MS),
			 JT_LEAVE_UNREADY);
	assert_int_equal(step(&leave, 2, 2, unready_ms + 3 * STEP_MS),
			 JT_LEAVE_ENDS);
}

static void test_stays_while_routers_may_fall_back(void **state)
{
	struct jt_leave leave = leave_create();
	uint64_t now_ms = SETTLED_MS + 2000;

	(void)state;
	step(&leave, 2, 2, SETTLED_MS);
	refuse_two_checks(&leave);
	/* One of the two serving nodes has left meanwhile. */
	for (; now_ms < BEGIN_MS + LIMIT_MS; now_ms += STEP_MS)
		assert_int_equal(step(&leave, 2, 1, now_ms), JT_LEAVE_UNREADY);
	assert_int_equal(step(&leave, 2, 1, now_ms), JT_LEAVE_ENDS);
}

static void test_exits_at_limit_despite_packets(void **state)
{
	struct jt_leave leave = leave_create();

	(void)state;
	step(&leave, 2, 2, SETTLED_MS);
	refuse_two_checks(&leave);
	jt_leave_packet(&leave, BEGIN_MS + LIMIT_MS);
	assert_int_equal(step(&leave, 2, 2, BEGIN_MS + LIMIT_MS),
			 JT_LEAVE_ENDS);
}

static void test_refused_checks_before_leave_do_not_count(void **state)
{
	struct jt_leave leave = {0};

	(void)state;
	/* The node had only just started. */
	refuse_two_checks(&leave);
	jt_leave_begin(&leave, BEGIN_MS);
	step(&leave, 2, 2, SETTLED_MS);
	assert_int_equal(step(&leave, 2, 2, SETTLED_MS + 1000),
			 JT_LEAVE_UNREADY);
}

/* If all three nodes of a zone leave at once, one goes and two wait. */
static void test_nodes_that_leave_together_go_in_turn(void **state)
{
	unsigned left = 0;

	(void)state;
	for (size_t before = 0; before < 3; before++) {
		struct jt_leave leave = leave_create();
		const struct jt_zone_view zone = {
			.nodes = 2, .waiting = 2, .before = before};

		if (jt_leave_step(&leave, &zone, LIMIT_MS, SETTLED_MS) ==
		    JT_LEAVE_UNREADY)
			left++;
	}
	assert_int_equal(left, 1);
}

/* An unready node exits even if a waiting node has a lower id. */
static void test_unready_node_does_not_wait_for_others(void **state)
{
	struct jt_leave leave = leave_create();
	const struct jt_zone_view zone = {
		.nodes = 2, .serving = 1, .waiting = 1, .before = 1};

	(void)state;
	step(&leave, 2, 2, SETTLED_MS);
	refuse_two_checks(&leave);
	assert_int_equal(
		jt_leave_step(&leave, &zone, LIMIT_MS, SETTLED_MS + 1000),
		JT_LEAVE_ENDS);
}

/* The view of the zone, from the digests of peers. */

static void receive_digest(struct jt_membership *membership, uint64_t id,
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
	receive_digest(membership, 10, ZONE, true, true);   /* waits, first */
	receive_digest(membership, 20, ZONE, true, false);  /* serves */
	receive_digest(membership, 30, ZONE, false, true);  /* unready */
	receive_digest(membership, 40, ZONE, false, false); /* starting */
	receive_digest(membership, 60, ZONE, true, true);   /* waits, later */
	receive_digest(membership, 70, OTHER_ZONE, true, false);
	zone = jt_membership_zone(membership, BEGIN_MS);
	assert_int_equal(zone.nodes, 5);
	assert_int_equal(zone.serving, 1);
	assert_int_equal(zone.waiting, 2);
	assert_int_equal(zone.before, 1);
	assert_int_equal(zone.elsewhere, 1);
	assert_int_equal(zone.removed, 0);
	talloc_free(membership);
}

static void test_peer_that_left_and_did_not_return_is_removed(void **state)
{
	struct jt_membership *membership = jt_membership_create(
		NULL, 50, (struct jt_address){50, PORT}, ZONE);
	const uint64_t later_ms = BEGIN_MS + 2000;

	(void)state;
	receive_digest(membership, 30, ZONE, false, true);
	assert_int_equal(jt_membership_zone(membership, later_ms).removed, 1);
	/* The node has been restarted. */
	receive_digest(membership, 30, ZONE, false, false);
	assert_int_equal(jt_membership_zone(membership, later_ms).removed, 0);
	talloc_free(membership);
}

static void test_lost_peer_of_the_zone_does_not_serve(void **state)
{
	struct jt_membership *membership = jt_membership_create(
		NULL, 50, (struct jt_address){50, PORT}, ZONE);
	struct jt_zone_view zone;

	(void)state;
	receive_digest(membership, 20, ZONE, true, false);
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
		cmocka_unit_test(test_node_without_leave_request_stays),
		cmocka_unit_test(test_unready_at_once_if_enough_nodes_stay),
		cmocka_unit_test(test_waits_for_its_turn),
		cmocka_unit_test(test_wait_is_bounded),
		cmocka_unit_test(test_half_of_a_zone_is_enough),
		cmocka_unit_test(test_last_node_of_cell_stays),
		cmocka_unit_test(test_stays_to_limit_if_nodes_are_removed),
		cmocka_unit_test(test_exits_when_packets_stop),
		cmocka_unit_test(test_stays_while_routers_may_fall_back),
		cmocka_unit_test(test_exits_at_limit_despite_packets),
		cmocka_unit_test(test_refused_checks_before_leave_do_not_count),
		cmocka_unit_test(test_nodes_that_leave_together_go_in_turn),
		cmocka_unit_test(test_unready_node_does_not_wait_for_others),
		cmocka_unit_test(test_view_of_the_zone),
		cmocka_unit_test(
			test_peer_that_left_and_did_not_return_is_removed),
		cmocka_unit_test(test_lost_peer_of_the_zone_does_not_serve),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
