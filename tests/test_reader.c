/* Few nodes read the store; whoever hears nothing new in time reads itself. */
#include "test.h"

#include "jt_membership.h"
#include "jt_reader.h"

enum { LIMIT_MS = 1500, SELF = 1, OTHER = 2, WEIGHT = 180, PORT = 7720 };

static struct jt_reader reader_at(uint64_t now_ms)
{
	struct jt_reader reader;

	jt_reader_init(&reader, LIMIT_MS, 7);
	jt_reader_heard(&reader, now_ms, OTHER);
	return reader;
}

static void test_first_of_its_zone_reads(void **state)
{
	struct jt_reader reader = reader_at(1000);

	(void)state;
	assert_true(jt_reader_decide(&reader, true, true, 1000));
}

static void test_node_that_has_not_started_reads(void **state)
{
	struct jt_reader reader = reader_at(1000);

	(void)state;
	assert_true(jt_reader_decide(&reader, false, false, 1000));
}

static void test_others_leave_it_to_readers_that_are_heard(void **state)
{
	struct jt_reader reader = reader_at(1000);

	(void)state;
	for (uint64_t now_ms = 1000; now_ms < 20000; now_ms += 100) {
		jt_reader_heard(&reader, now_ms - 400, OTHER);
		assert_false(jt_reader_decide(&reader, false, true, now_ms));
	}
}

static void test_old_knowledge_makes_a_node_read(void **state)
{
	struct jt_reader reader = reader_at(1000);

	(void)state;
	assert_false(jt_reader_decide(&reader, false, true, 1000 + LIMIT_MS));
	assert_true(jt_reader_decide(&reader, false, true,
				     1000 + LIMIT_MS + LIMIT_MS / 4 + 1));
	/* What it read itself does not make it stop: nobody else reads. */
	jt_reader_read(&reader, 6000);
	assert_true(jt_reader_decide(&reader, false, true, 6000));
	/* Another reader does, once this one has read for a while. */
	jt_reader_heard(&reader, 5900, OTHER);
	assert_false(jt_reader_decide(&reader, false, true, 6000));
}

static void test_nodes_do_not_step_in_together(void **state)
{
	unsigned reading = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= 100; seed++) {
		struct jt_reader reader;

		jt_reader_init(&reader, LIMIT_MS, seed);
		jt_reader_heard(&reader, 1000, OTHER);
		reading += jt_reader_decide(&reader, false, true,
					    1000 + LIMIT_MS + LIMIT_MS / 8);
	}
	assert_in_range(reading, 20, 80);
}

static void test_newest_reading_is_told_on(void **state)
{
	struct jt_reader reader = reader_at(1000);
	uint64_t from = 0;

	(void)state;
	assert_int_equal(jt_reader_as_of(&reader, SELF, &from), 1000);
	assert_int_equal(from, OTHER);
	jt_reader_heard(&reader, 900, 3); /* comes late */
	jt_reader_read(&reader, 1200);
	assert_int_equal(jt_reader_as_of(&reader, SELF, &from), 1200);
	assert_int_equal(from, SELF);
}

static void test_weak_nodes_wait_for_peers_at_their_start(void **state)
{
	(void)state;
	assert_int_equal(jt_reader_start_wait_ms(1000), 0);
	assert_int_equal(jt_reader_start_wait_ms(200), 0);
	assert_in_range(jt_reader_start_wait_ms(20), 300, 600);
	assert_in_range(jt_reader_start_wait_ms(1), 900, 1000);
	assert_in_range(jt_reader_start_wait_ms(0), 900, 1000);
}

static void test_every_node_gives_peers_time_to_answer(void **state)
{
	struct jt_reader reader = reader_at(1000);

	(void)state;
	assert_in_range(jt_reader_first_wait_ms(&reader, 1000, false, false), 5,
			50);
	assert_int_equal(jt_reader_first_wait_ms(&reader, 1, false, false),
			 jt_reader_start_wait_ms(1));
}

/* Where all start for the first time, few list the store: the others have
 * heard of its entries before their turn comes. */
static void test_first_start_is_spread(void **state)
{
	unsigned early = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= 100; seed++) {
		struct jt_reader reader;

		jt_reader_init(&reader, LIMIT_MS, seed);
		/* Those that everybody knows go first. */
		assert_in_range(
			jt_reader_first_wait_ms(&reader, 1000, true, true), 5,
			50);
		early += jt_reader_first_wait_ms(&reader, 1000, true, false) <
			 1200;
	}
	assert_in_range(early, 1, 25);
}

/* The first of all watches once it knows its peers; others only check. */
static void test_one_node_watches(void **state)
{
	struct jt_reader reader = reader_at(1000);

	(void)state;
	assert_int_equal(jt_reader_decide(&reader, JT_TURN_OF_ALL, true, 1000),
			 JT_READING_CHECKS);
	assert_int_equal(jt_reader_decide(&reader, JT_TURN_OF_ALL, true, 3000),
			 JT_READING_WATCHES);
	assert_int_equal(jt_reader_decide(&reader, JT_TURN_OF_ZONE, true, 4000),
			 JT_READING_CHECKS);
	/* Old knowledge makes a node check, not watch. */
	assert_int_equal(jt_reader_decide(&reader, JT_TURN_NONE, true, 5000),
			 JT_READING_CHECKS);
	jt_reader_heard(&reader, 9000, OTHER);
	assert_int_equal(jt_reader_decide(&reader, JT_TURN_NONE, true, 9000),
			 JT_READING_NOT);
}

enum { MANY_NODES = 300 };

/* How many of MANY_NODES try the store in a second of an outage, when each has
 * failed to reach it once; @peers: they hear of each other meanwhile. */
static unsigned tries_in_outage(bool peers)
{
	unsigned tries = 0;

	for (uint64_t seed = 1; seed <= MANY_NODES; seed++) {
		struct jt_reader reader;
		uint64_t now_ms = 1000 + 2 * LIMIT_MS;

		jt_reader_init(&reader, LIMIT_MS, seed);
		jt_reader_heard(&reader, 1000, OTHER);
		if (peers)
			jt_reader_told(&reader, 1000, OTHER, now_ms);
		assert_int_equal(
			jt_reader_decide(&reader, JT_TURN_NONE, true, now_ms),
			JT_READING_CHECKS);
		jt_reader_failed(&reader, MANY_NODES, now_ms);
		if (peers)
			jt_reader_told(&reader, 1000, OTHER, now_ms + 900);
		tries += jt_reader_decide(&reader, JT_TURN_NONE, true,
					  now_ms + 1000) != JT_READING_NOT;
	}
	return tries;
}

/* An outage of the store costs a call of some nodes, not of all, and its end
 * is seen by somebody within a tenth of a second. */
static void test_nodes_share_the_tries_in_an_outage(void **state)
{
	(void)state;
	assert_in_range(tries_in_outage(true), 10, 60);
}

/* All watchers lose their watches together when the store drops its history.
 * Peers still seem to know the newest, since cheap checks are seconds behind:
 * who watched tries on, also when the turn has gone to others (failure 49). */
static void test_reader_that_fails_tries_on(void **state)
{
	struct jt_reader reader = reader_at(1000);

	(void)state;
	assert_int_equal(jt_reader_decide(&reader, JT_TURN_OF_ALL, true, 1000),
			 JT_READING_CHECKS);
	for (uint64_t now_ms = 1000; now_ms <= 9000; now_ms += 100) {
		jt_reader_heard(&reader, now_ms - 300, OTHER);
		jt_reader_told(&reader, now_ms - 300, OTHER, now_ms);
		(void)jt_reader_decide(&reader, JT_TURN_OF_ALL, true, now_ms);
	}
	jt_reader_failed(&reader, MANY_NODES, 9000);
	assert_int_equal(jt_reader_decide(&reader, JT_TURN_NONE, true, 9100),
			 JT_READING_WATCHES);
	assert_int_equal(jt_reader_decide(&reader, JT_TURN_NONE, true, 9900),
			 JT_READING_WATCHES);
	jt_reader_heard(&reader, 10000, OTHER);
	assert_int_equal(jt_reader_decide(&reader, JT_TURN_NONE, true, 10100),
			 JT_READING_NOT);
}

/* A node that no peer speaks to may be the only one that lost the store. */
static void test_node_without_peers_tries_on(void **state)
{
	(void)state;
	assert_int_equal(tries_in_outage(false), MANY_NODES);
}

/* Which nodes read, by their membership */

static struct jt_address address_of(uint32_t index)
{
	return (struct jt_address){0x0a000000 + index, PORT};
}

static void peer_hear(struct jt_membership *membership, uint64_t id,
		      uint32_t zone, uint32_t weight)
{
	jt_wire_digest digest = {.zone = zone, .weight = weight};

	digest.started = TRUE;
	jt_membership_digest(membership, id, address_of((uint32_t)id), &digest,
			     1000);
}

static struct jt_membership *member(uint64_t id)
{
	return jt_membership_create(NULL, id, address_of((uint32_t)id), 1);
}

static void test_one_reader_a_zone_where_there_are_three(void **state)
{
	struct jt_membership *membership = member(50);

	(void)state;
	peer_hear(membership, 60, 1, WEIGHT);
	peer_hear(membership, 61, 2, WEIGHT);
	peer_hear(membership, 62, 3, WEIGHT);
	assert_true(jt_membership_reads_first(membership, WEIGHT));
	peer_hear(membership, 40, 1, WEIGHT);
	assert_false(jt_membership_reads_first(membership, WEIGHT));
	/* The one before it loses the store, or leaves. */
	peer_hear(membership, 40, 1, 0);
	assert_true(jt_membership_reads_first(membership, WEIGHT));
	/* One that can't read does not. */
	assert_false(jt_membership_reads_first(membership, 0));
	talloc_free(membership);
}

static void test_first_of_all_has_the_turn_to_watch(void **state)
{
	struct jt_membership *membership = member(50);

	(void)state;
	peer_hear(membership, 61, 2, WEIGHT);
	peer_hear(membership, 62, 3, WEIGHT);
	assert_int_equal(jt_membership_reading_turn(membership, WEIGHT),
			 JT_TURN_OF_ALL);
	peer_hear(membership, 30, 3, WEIGHT);
	assert_int_equal(jt_membership_reading_turn(membership, WEIGHT),
			 JT_TURN_OF_ZONE);
	peer_hear(membership, 31, 1, WEIGHT);
	assert_int_equal(jt_membership_reading_turn(membership, WEIGHT),
			 JT_TURN_NONE);
	talloc_free(membership);
}

static void test_three_readers_in_all_where_zones_are_few(void **state)
{
	struct jt_membership *membership = member(50);

	(void)state;
	peer_hear(membership, 10, 1, WEIGHT);
	peer_hear(membership, 11, 1, WEIGHT);
	assert_true(jt_membership_reads_first(membership, WEIGHT));
	peer_hear(membership, 12, 1, WEIGHT);
	assert_false(jt_membership_reads_first(membership, WEIGHT));
	talloc_free(membership);
}

static void test_strong_nodes_read_for_weak_ones(void **state)
{
	struct jt_membership *membership = member(50);

	(void)state;
	peer_hear(membership, 61, 2, WEIGHT);
	peer_hear(membership, 62, 3, WEIGHT);
	peer_hear(membership, 90, 1, WEIGHT * 10);
	assert_false(jt_membership_reads_first(membership, WEIGHT));
	assert_true(jt_membership_reads_first(membership, WEIGHT * 20));
	talloc_free(membership);
}

static void test_lost_reader_is_replaced(void **state)
{
	struct jt_membership *membership = member(50);

	(void)state;
	peer_hear(membership, 61, 2, WEIGHT);
	peer_hear(membership, 62, 3, WEIGHT);
	peer_hear(membership, 40, 1, WEIGHT);
	assert_false(jt_membership_reads_first(membership, WEIGHT));
	while (jt_membership_next_lost(membership, 6000) != NULL)
		continue;
	assert_true(jt_membership_reads_first(membership, WEIGHT));
	talloc_free(membership);
}

static void test_news_goes_to_few_and_mostly_near(void **state)
{
	struct jt_membership *membership = member(1);
	struct jt_address targets[JT_NEWS_FANOUT];
	unsigned near = 0, sent = 0;

	(void)state;
	for (uint64_t id = 2; id < 62; id++)
		peer_hear(membership, id, id % 3 == 0 ? 1 : 2, WEIGHT);
	for (int i = 0; i < 200; i++) {
		size_t count = jt_membership_news_targets(membership, targets);

		assert_in_range(count, 1, JT_NEWS_FANOUT);
		for (size_t t = 0; t < count; t++)
			near += (targets[t].ip - 0x0a000000) % 3 == 0;
		sent += (unsigned)count;
	}
	assert_in_range(near * 100 / sent, 70, 95);
	talloc_free(membership);
}

/* A node that knows some endpoints leaves the list to peers for a while; where
 * they don't come to an end, such nodes begin one after the other. */
static void test_lists_begin_one_after_the_other(void **state)
{
	enum { NODES = 1000, START_MS = 5000, PEERS_MS = 1500, SHARE_MS = 25 };
	unsigned at_once = 0, in_time = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= NODES; seed++) {
		struct jt_reader reader;

		jt_reader_init(&reader, 3000, seed);
		assert_true(jt_reader_list_waits(&reader, NODES, START_MS));
		assert_true(jt_reader_list_waits(&reader, NODES,
						 START_MS + PEERS_MS - 1));
		(void)jt_reader_list_waits(&reader, NODES, START_MS + PEERS_MS);
		at_once += !jt_reader_list_waits(&reader, NODES,
						 START_MS + PEERS_MS + 1000);
		in_time += !jt_reader_list_waits(
			&reader, NODES, START_MS + PEERS_MS + NODES * SHARE_MS);
	}
	/* 40 a second, whatever their number. */
	assert_in_range(at_once, 20, 60);
	assert_int_equal(in_time, NODES);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_lists_begin_one_after_the_other),
		cmocka_unit_test(test_first_of_its_zone_reads),
		cmocka_unit_test(test_node_that_has_not_started_reads),
		cmocka_unit_test(
			test_others_leave_it_to_readers_that_are_heard),
		cmocka_unit_test(test_old_knowledge_makes_a_node_read),
		cmocka_unit_test(test_nodes_do_not_step_in_together),
		cmocka_unit_test(test_newest_reading_is_told_on),
		cmocka_unit_test(test_weak_nodes_wait_for_peers_at_their_start),
		cmocka_unit_test(test_every_node_gives_peers_time_to_answer),
		cmocka_unit_test(test_first_start_is_spread),
		cmocka_unit_test(test_one_node_watches),
		cmocka_unit_test(test_nodes_share_the_tries_in_an_outage),
		cmocka_unit_test(test_node_without_peers_tries_on),
		cmocka_unit_test(test_reader_that_fails_tries_on),
		cmocka_unit_test(test_first_of_all_has_the_turn_to_watch),
		cmocka_unit_test(test_one_reader_a_zone_where_there_are_three),
		cmocka_unit_test(test_three_readers_in_all_where_zones_are_few),
		cmocka_unit_test(test_strong_nodes_read_for_weak_ones),
		cmocka_unit_test(test_lost_reader_is_replaced),
		cmocka_unit_test(test_news_goes_to_few_and_mostly_near),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
