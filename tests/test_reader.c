/* Tests of the choice of nodes that read the store: few nodes read it, and a
 * node whose state grows stale reads it itself. */
#include "test.h"

#include "jt_membership.h"
#include "jt_reader.h"

enum { LIMIT_MS = 1500, SELF = 1, OTHER = 2, WEIGHT = 180, PORT = 7720 };

static struct jt_reader reader_at(uint64_t now_ms)
{
	struct jt_reader reader;

	jt_reader_init(&reader, LIMIT_MS, 7);
	jt_reader_record_peer(&reader, now_ms, OTHER);
	return reader;
}

static void test_first_node_of_zone_reads(void **state)
{
	struct jt_reader reader = reader_at(1000);

	(void)state;
	assert_true(jt_reader_decide(&reader, true, true, 1000));
}

static void test_starting_node_reads(void **state)
{
	struct jt_reader reader = reader_at(1000);

	(void)state;
	assert_true(jt_reader_decide(&reader, false, false, 1000));
}

static void test_other_nodes_rely_on_active_readers(void **state)
{
	struct jt_reader reader = reader_at(1000);

	(void)state;
	for (uint64_t now_ms = 1000; now_ms < 20000; now_ms += 100) {
		jt_reader_record_peer(&reader, now_ms - 400, OTHER);
		assert_false(jt_reader_decide(&reader, false, true, now_ms));
	}
}

static void test_stale_state_makes_node_read(void **state)
{
	struct jt_reader reader = reader_at(1000);

	(void)state;
	assert_false(jt_reader_decide(&reader, false, true, 1000 + LIMIT_MS));
	assert_true(jt_reader_decide(&reader, false, true,
				     1000 + LIMIT_MS + LIMIT_MS / 4 + 1));
	/* Its own reading does not stop it: no other node reads. */
	jt_reader_read(&reader, 6000);
	assert_true(jt_reader_decide(&reader, false, true, 6000));
	/* A report from another reader stops it. */
	jt_reader_record_peer(&reader, 5900, OTHER);
	assert_false(jt_reader_decide(&reader, false, true, 6000));
}

static void test_stale_nodes_start_reading_at_different_times(void **state)
{
	unsigned reading = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= 100; seed++) {
		struct jt_reader reader;

		jt_reader_init(&reader, LIMIT_MS, seed);
		jt_reader_record_peer(&reader, 1000, OTHER);
		reading += jt_reader_decide(&reader, false, true,
					    1000 + LIMIT_MS + LIMIT_MS / 8);
	}
	assert_in_range(reading, 20, 80);
}

/* Guards against a node that wakes up, reads peers' reports that have waited
 * for seconds, and tells its peers that its state is fresh. */
static void test_reports_that_waited_are_ignored(void **state)
{
	struct jt_reader reader = reader_at(1000);
	uint64_t from;

	(void)state;
	/* The node stood still from 1100 to 6000. */
	jt_reader_stalled(&reader, 6100);
	jt_reader_record_report(&reader, 5800, OTHER, 6000);
	assert_int_equal(jt_reader_as_of(&reader, SELF, &from), 1000);
	assert_true(jt_reader_decide(&reader, JT_READER_RANK_NONE, true, 6000));
	jt_reader_record_report(&reader, 5900, OTHER, 6100);
	assert_int_equal(jt_reader_as_of(&reader, SELF, &from), 5900);
}

static void test_newest_reading_is_reported(void **state)
{
	struct jt_reader reader = reader_at(1000);
	uint64_t from = 0;

	(void)state;
	assert_int_equal(jt_reader_as_of(&reader, SELF, &from), 1000);
	assert_int_equal(from, OTHER);
	jt_reader_record_peer(&reader, 900, 3); /* arrives late */
	jt_reader_read(&reader, 1200);
	assert_int_equal(jt_reader_as_of(&reader, SELF, &from), 1200);
	assert_int_equal(from, SELF);
}

static void test_weak_nodes_wait_for_peers_at_start(void **state)
{
	(void)state;
	assert_int_equal(jt_reader_start_wait_ms(1000), 0);
	assert_int_equal(jt_reader_start_wait_ms(200), 0);
	assert_in_range(jt_reader_start_wait_ms(20), 300, 600);
	assert_in_range(jt_reader_start_wait_ms(1), 900, 1000);
	assert_in_range(jt_reader_start_wait_ms(0), 900, 1000);
}

static void test_every_node_waits_for_peers_at_start(void **state)
{
	struct jt_reader reader = reader_at(1000);

	(void)state;
	assert_in_range(jt_reader_first_wait_ms(&reader, 1000, false, false), 5,
			50);
	assert_int_equal(jt_reader_first_wait_ms(&reader, 1, false, false),
			 jt_reader_start_wait_ms(1));
}

/* When all nodes start for the first time, few of them list the store; the
 * others receive its entries from peers before they would list it. */
static void test_first_start_is_spread_over_time(void **state)
{
	unsigned early = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= 100; seed++) {
		struct jt_reader reader;

		jt_reader_init(&reader, LIMIT_MS, seed);
		/* Seeds have the shortest delay. */
		assert_in_range(
			jt_reader_first_wait_ms(&reader, 1000, true, true), 5,
			50);
		early += jt_reader_first_wait_ms(&reader, 1000, true, false) <
			 1200;
	}
	assert_in_range(early, 1, 25);
}

/* The first node of the cell watches the store once it has had time to learn
 * its peers; other nodes only poll the revision. */
static void test_one_node_watches_store(void **state)
{
	struct jt_reader reader = reader_at(1000);

	(void)state;
	assert_int_equal(
		jt_reader_decide(&reader, JT_READER_RANK_WATCHER, true, 1000),
		JT_READ_MODE_CHECK);
	assert_int_equal(
		jt_reader_decide(&reader, JT_READER_RANK_WATCHER, true, 3000),
		JT_READ_MODE_WATCH);
	assert_int_equal(
		jt_reader_decide(&reader, JT_READER_RANK_ZONE, true, 4000),
		JT_READ_MODE_CHECK);
	/* A node with stale state polls; it does not watch. */
	assert_int_equal(
		jt_reader_decide(&reader, JT_READER_RANK_NONE, true, 5000),
		JT_READ_MODE_CHECK);
	jt_reader_record_peer(&reader, 9000, OTHER);
	assert_int_equal(
		jt_reader_decide(&reader, JT_READER_RANK_NONE, true, 9000),
		JT_READ_MODE_NONE);
}

enum { MANY_NODES = 300 };

/* Returns how many of MANY_NODES nodes call the store within a second of an
 * outage after one failed call each. @peers: they receive digests meanwhile. */
static unsigned count_retries_in_outage(bool peers)
{
	unsigned retries = 0;

	for (uint64_t seed = 1; seed <= MANY_NODES; seed++) {
		struct jt_reader reader;
		uint64_t now_ms = 1000 + 2 * LIMIT_MS;

		jt_reader_init(&reader, LIMIT_MS, seed);
		jt_reader_record_peer(&reader, 1000, OTHER);
		if (peers)
			jt_reader_record_report(&reader, 1000, OTHER, now_ms);
		assert_int_equal(jt_reader_decide(&reader, JT_READER_RANK_NONE,
						  true, now_ms),
				 JT_READ_MODE_CHECK);
		jt_reader_failed(&reader, MANY_NODES, now_ms);
		if (peers)
			jt_reader_record_report(&reader, 1000, OTHER,
						now_ms + 900);
		retries += jt_reader_decide(&reader, JT_READER_RANK_NONE, true,
					    now_ms + 1000) != JT_READ_MODE_NONE;
	}
	return retries;
}

/* In an outage only a part of the nodes retries the store in each second, but
 * enough of them to detect its end within a tenth of a second. */
static void test_few_nodes_retry_in_outage(void **state)
{
	(void)state;
	assert_in_range(count_retries_in_outage(true), 10, 60);
}

/* When the store compacts its history all watches fail together while peers
 * still appear current: a watching node retries, also after its turn ended. */
static void test_failed_watcher_retries(void **state)
{
	struct jt_reader reader = reader_at(1000);

	(void)state;
	assert_int_equal(
		jt_reader_decide(&reader, JT_READER_RANK_WATCHER, true, 1000),
		JT_READ_MODE_CHECK);
	for (uint64_t now_ms = 1000; now_ms <= 9000; now_ms += 100) {
		jt_reader_record_peer(&reader, now_ms - 300, OTHER);
		jt_reader_record_report(&reader, now_ms - 300, OTHER, now_ms);
		(void)jt_reader_decide(&reader, JT_READER_RANK_WATCHER, true,
				       now_ms);
	}
	jt_reader_failed(&reader, MANY_NODES, 9000);
	assert_int_equal(
		jt_reader_decide(&reader, JT_READER_RANK_NONE, true, 9100),
		JT_READ_MODE_WATCH);
	assert_int_equal(
		jt_reader_decide(&reader, JT_READER_RANK_NONE, true, 9900),
		JT_READ_MODE_WATCH);
	jt_reader_record_peer(&reader, 10000, OTHER);
	assert_int_equal(
		jt_reader_decide(&reader, JT_READER_RANK_NONE, true, 10100),
		JT_READ_MODE_NONE);
}

/* A node without peers always retries: no other node does it instead. */
static void test_node_without_peers_retries(void **state)
{
	(void)state;
	assert_int_equal(count_retries_in_outage(false), MANY_NODES);
}

/* The choice of readers from the membership. */

static struct jt_address address_of(uint32_t index)
{
	return (struct jt_address){0x0a000000 + index, PORT};
}

static void receive_digest(struct jt_membership *membership, uint64_t id,
			   uint32_t zone, uint32_t weight)
{
	jt_wire_digest digest = {.zone = zone, .weight = weight};

	digest.started = TRUE;
	jt_membership_digest(membership, id, address_of((uint32_t)id), &digest,
			     1000);
}

static struct jt_membership *membership_create(uint64_t id)
{
	return jt_membership_create(NULL, id, address_of((uint32_t)id), 1);
}

static void test_one_reader_per_zone_of_three(void **state)
{
	struct jt_membership *membership = membership_create(50);

	(void)state;
	receive_digest(membership, 60, 1, WEIGHT);
	receive_digest(membership, 61, 2, WEIGHT);
	receive_digest(membership, 62, 3, WEIGHT);
	assert_true(jt_membership_is_preferred_reader(membership, WEIGHT));
	receive_digest(membership, 40, 1, WEIGHT);
	assert_false(jt_membership_is_preferred_reader(membership, WEIGHT));
	/* The reader before it loses the store, or leaves. */
	receive_digest(membership, 40, 1, 0);
	assert_true(jt_membership_is_preferred_reader(membership, WEIGHT));
	/* A node that can't read the store is not chosen. */
	assert_false(jt_membership_is_preferred_reader(membership, 0));
	talloc_free(membership);
}

static void test_first_node_of_cell_watches(void **state)
{
	struct jt_membership *membership = membership_create(50);

	(void)state;
	receive_digest(membership, 61, 2, WEIGHT);
	receive_digest(membership, 62, 3, WEIGHT);
	assert_int_equal(jt_membership_reader_rank(membership, WEIGHT),
			 JT_READER_RANK_WATCHER);
	receive_digest(membership, 30, 3, WEIGHT);
	assert_int_equal(jt_membership_reader_rank(membership, WEIGHT),
			 JT_READER_RANK_ZONE);
	receive_digest(membership, 31, 1, WEIGHT);
	assert_int_equal(jt_membership_reader_rank(membership, WEIGHT),
			 JT_READER_RANK_NONE);
	talloc_free(membership);
}

static void test_three_readers_with_few_zones(void **state)
{
	struct jt_membership *membership = membership_create(50);

	(void)state;
	receive_digest(membership, 10, 1, WEIGHT);
	receive_digest(membership, 11, 1, WEIGHT);
	assert_true(jt_membership_is_preferred_reader(membership, WEIGHT));
	receive_digest(membership, 12, 1, WEIGHT);
	assert_false(jt_membership_is_preferred_reader(membership, WEIGHT));
	talloc_free(membership);
}

static void test_strong_nodes_are_preferred_readers(void **state)
{
	struct jt_membership *membership = membership_create(50);

	(void)state;
	receive_digest(membership, 61, 2, WEIGHT);
	receive_digest(membership, 62, 3, WEIGHT);
	receive_digest(membership, 90, 1, WEIGHT * 10);
	assert_false(jt_membership_is_preferred_reader(membership, WEIGHT));
	assert_true(jt_membership_is_preferred_reader(membership, WEIGHT * 20));
	talloc_free(membership);
}

static void test_lost_reader_is_replaced(void **state)
{
	struct jt_membership *membership = membership_create(50);

	(void)state;
	receive_digest(membership, 61, 2, WEIGHT);
	receive_digest(membership, 62, 3, WEIGHT);
	receive_digest(membership, 40, 1, WEIGHT);
	assert_false(jt_membership_is_preferred_reader(membership, WEIGHT));
	while (jt_membership_next_lost(membership, 6000) != NULL)
		continue;
	assert_true(jt_membership_is_preferred_reader(membership, WEIGHT));
	talloc_free(membership);
}

static void test_updates_go_to_few_peers_mostly_in_zone(void **state)
{
	struct jt_membership *membership = membership_create(1);
	struct jt_address targets[JT_UPDATE_FANOUT];
	unsigned same_zone = 0, sent = 0;

	(void)state;
	for (uint64_t id = 2; id < 62; id++)
		receive_digest(membership, id, id % 3 == 0 ? 1 : 2, WEIGHT);
	for (int i = 0; i < 200; i++) {
		size_t count =
			jt_membership_update_targets(membership, targets);

		assert_in_range(count, 1, JT_UPDATE_FANOUT);
		for (size_t t = 0; t < count; t++)
			same_zone += (targets[t].ip - 0x0a000000) % 3 == 0;
		sent += (unsigned)count;
	}
	assert_in_range(same_zone * 100 / sent, 70, 95);
	talloc_free(membership);
}

/* A node with a part of the endpoints first waits for peers to list the store;
 * if they don't finish, such nodes start listing one after the other. */
static void test_listings_start_one_after_the_other(void **state)
{
	enum {
		NODES = 1000,
		START_MS = 5000,
		PEERS_MS = 1500,
		INTERVAL_MS = 25
	};
	unsigned at_once = 0, in_time = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= NODES; seed++) {
		struct jt_reader reader;

		jt_reader_init(&reader, 3000, seed);
		assert_true(
			jt_reader_waits_for_listing(&reader, NODES, START_MS));
		assert_true(jt_reader_waits_for_listing(
			&reader, NODES, START_MS + PEERS_MS - 1));
		(void)jt_reader_waits_for_listing(&reader, NODES,
						  START_MS + PEERS_MS);
		at_once += !jt_reader_waits_for_listing(
			&reader, NODES, START_MS + PEERS_MS + 1000);
		in_time += !jt_reader_waits_for_listing(
			&reader, NODES,
			START_MS + PEERS_MS + NODES * INTERVAL_MS);
	}
	/* 40 a second, independent of the number of nodes. */
	assert_in_range(at_once, 20, 60);
	assert_int_equal(in_time, NODES);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_listings_start_one_after_the_other),
		cmocka_unit_test(test_first_node_of_zone_reads),
		cmocka_unit_test(test_starting_node_reads),
		cmocka_unit_test(test_other_nodes_rely_on_active_readers),
		cmocka_unit_test(test_stale_state_makes_node_read),
		cmocka_unit_test(
			test_stale_nodes_start_reading_at_different_times),
		cmocka_unit_test(test_reports_that_waited_are_ignored),
		cmocka_unit_test(test_newest_reading_is_reported),
		cmocka_unit_test(test_weak_nodes_wait_for_peers_at_start),
		cmocka_unit_test(test_every_node_waits_for_peers_at_start),
		cmocka_unit_test(test_first_start_is_spread_over_time),
		cmocka_unit_test(test_one_node_watches_store),
		cmocka_unit_test(test_few_nodes_retry_in_outage),
		cmocka_unit_test(test_node_without_peers_retries),
		cmocka_unit_test(test_failed_watcher_retries),
		cmocka_unit_test(test_first_node_of_cell_watches),
		cmocka_unit_test(test_one_reader_per_zone_of_three),
		cmocka_unit_test(test_three_readers_with_few_zones),
		cmocka_unit_test(test_strong_nodes_are_preferred_readers),
		cmocka_unit_test(test_lost_reader_is_replaced),
		cmocka_unit_test(test_updates_go_to_few_peers_mostly_in_zone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
