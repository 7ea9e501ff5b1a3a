/* Tests of the store follower: listing, watching and polling, and the recovery
 * from each kind of failure. */
#include "test.h"

#include "jt_follower.h"

static struct jt_follower follower_listed(uint64_t revision, uint64_t now_ms)
{
	struct jt_follower follower;

	jt_follower_init(&follower, 1);
	assert_int_equal(jt_follower_next(&follower, now_ms), JT_FOLLOWER_LIST);
	assert_true(jt_follower_page(&follower, JT_KV_OK, revision, false, 0,
				     now_ms));
	assert_int_equal(jt_follower_next(&follower, now_ms),
			 JT_FOLLOWER_WATCH);
	return follower;
}

/* Changes are collected before they are reported, but for a shorter time while
 * packets wait for entries. */
static void test_pause_after_changes(void **state)
{
	struct jt_follower follower = follower_listed(10, 0);
	uint64_t normal_ms, initial_sync_ms;

	(void)state;
	jt_follower_watched(&follower, JT_KV_OK, 11, true, 0, 0);
	normal_ms = follower.due_ms;
	jt_follower_set_initial_sync(&follower, true);
	jt_follower_watched(&follower, JT_KV_OK, 12, true, 0, 0);
	initial_sync_ms = follower.due_ms;
	assert_true(initial_sync_ms > 0 && initial_sync_ms * 4 <= normal_ms);
	jt_follower_set_initial_sync(&follower, false);
	jt_follower_watched(&follower, JT_KV_OK, 13, true, 0, 0);
	assert_int_equal(follower.due_ms, normal_ms);
}

static void test_watch_starts_at_revision_of_first_page(void **state)
{
	struct jt_follower follower;

	(void)state;
	jt_follower_init(&follower, 1);
	assert_false(jt_follower_page(&follower, JT_KV_OK, 10, true, 0, 0));
	assert_false(jt_follower_page(&follower, JT_KV_OK, 14, true, 0, 0));
	assert_true(jt_follower_page(&follower, JT_KV_OK, 19, false, 0, 0));
	/* The watch starts there to cover changes during the listing. */
	assert_int_equal(follower.revision, 10);
}

static void test_peer_snapshot_replaces_listing(void **state)
{
	struct jt_follower follower;

	(void)state;
	jt_follower_init(&follower, 1);
	assert_false(jt_follower_page(&follower, JT_KV_OK, 10, true, 0, 0));
	assert_true(jt_follower_record_snapshot(&follower, 40, 0));
	assert_int_equal(jt_follower_next(&follower, 0), JT_FOLLOWER_WATCH);
	assert_int_equal(follower.revision, 40);
	/* A follower with a complete listing keeps its own revision. */
	assert_false(jt_follower_record_snapshot(&follower, 60, 0));
	assert_int_equal(follower.revision, 40);
}

static void test_slow_first_page_delays_most_nodes(void **state)
{
	unsigned waiting = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= 64; seed++) {
		struct jt_follower follower;

		jt_follower_init(&follower, seed);
		jt_follower_page(&follower, JT_KV_OK, 10, true, 300, 1000);
		waiting +=
			jt_follower_next(&follower, 1000) == JT_FOLLOWER_WAIT;
		assert_int_equal(jt_follower_next(&follower, 2000),
				 JT_FOLLOWER_LIST);
	}
	assert_in_range(waiting, 45, 63);
	/* A listing that got past its first page is finished. */
	for (uint64_t seed = 1; seed <= 64; seed++) {
		struct jt_follower follower;

		jt_follower_init(&follower, seed);
		jt_follower_page(&follower, JT_KV_OK, 10, true, 10, 1000);
		jt_follower_page(&follower, JT_KV_OK, 10, true, 300, 1300);
		assert_int_equal(jt_follower_next(&follower, 1300),
				 JT_FOLLOWER_LIST);
		assert_false(follower.yielded);
	}
}

static void test_failed_page_is_requested_again(void **state)
{
	struct jt_follower follower;

	(void)state;
	jt_follower_init(&follower, 1);
	assert_false(jt_follower_page(&follower, JT_KV_OK, 10, true, 0, 0));
	assert_false(jt_follower_page(&follower, JT_KV_LOST, 0, false, 0, 0));
	assert_int_equal(jt_follower_next(&follower, 0), JT_FOLLOWER_WAIT);
	assert_int_equal(jt_follower_next(&follower, 5000), JT_FOLLOWER_LIST);
}

static void test_lost_response_resumes_at_same_revision(void **state)
{
	struct jt_follower follower = follower_listed(10, 0);

	(void)state;
	jt_follower_watched(&follower, JT_KV_LOST, 0, false, 0, 0);
	assert_int_equal(follower.revision, 10);
	assert_int_equal(jt_follower_next(&follower, 5000), JT_FOLLOWER_WATCH);
}

static void test_compaction_leads_to_listing(void **state)
{
	struct jt_follower follower = follower_listed(10, 0);

	(void)state;
	jt_follower_watched(&follower, JT_KV_COMPACTED, 0, false, 0, 0);
	assert_int_equal(jt_follower_next(&follower, 0), JT_FOLLOWER_LIST);
	assert_true(jt_follower_page(&follower, JT_KV_OK, 30, false, 0, 0));
	assert_int_equal(follower.revision, 30);
}

static void test_throttling_backs_off_with_jitter(void **state)
{
	struct jt_follower follower = follower_listed(10, 0);
	struct jt_follower other = follower_listed(10, 0);
	uint64_t now_ms = 0, first;
	bool spread = false;

	(void)state;
	other.random.seed = 77;
	jt_follower_watched(&follower, JT_KV_THROTTLED, 0, false, now_ms,
			    now_ms);
	first = follower.due_ms - now_ms;
	for (int i = 0; i < 10; i++) {
		now_ms = follower.due_ms;
		jt_follower_watched(&follower, JT_KV_THROTTLED, 0, false,
				    now_ms, now_ms);
		jt_follower_watched(&other, JT_KV_THROTTLED, 0, false, now_ms,
				    now_ms);
		spread = spread || follower.due_ms != other.due_ms;
	}
	assert_true(follower.due_ms - now_ms > first);
	assert_in_range(follower.due_ms - now_ms, 500, 2000);
	assert_true(spread);
	jt_follower_watched(&follower, JT_KV_OK, 12, false, now_ms, now_ms);
	assert_int_equal(jt_follower_next(&follower, now_ms),
			 JT_FOLLOWER_WATCH);
	assert_int_equal(follower.revision, 12);
}

static void test_changes_are_batched(void **state)
{
	struct jt_follower follower = follower_listed(10, 0);

	(void)state;
	jt_follower_watched(&follower, JT_KV_OK, 11, true, 1000, 1000);
	assert_int_equal(jt_follower_next(&follower, 1000), JT_FOLLOWER_WAIT);
	assert_int_equal(jt_follower_next(&follower, 2000), JT_FOLLOWER_WATCH);
	/* A late response never decreases the revision. */
	jt_follower_watched(&follower, JT_KV_OK, 9, true, 2000, 2000);
	assert_int_equal(follower.revision, 11);
}

/* When all nodes start together and the first page is late, most of them give
 * the listing up, each only once, so that a slow store is still listed. */
static void test_late_first_page_makes_most_nodes_give_up(void **state)
{
	enum { NODES = 400, ASKED_MS = 1000 };
	unsigned gave_up = 0;

	(void)state;
	for (unsigned node = 0; node < NODES; node++) {
		struct jt_follower follower;
		bool gives_up;

		jt_follower_init(&follower, node);
		gives_up = jt_follower_yields_listing(&follower, ASKED_MS);
		gave_up += gives_up;
		assert_int_equal(jt_follower_next(&follower, ASKED_MS),
				 gives_up ? JT_FOLLOWER_WAIT
					  : JT_FOLLOWER_LIST);
		/* It asks again soon, and then waits for the response. */
		assert_int_equal(jt_follower_next(&follower, ASKED_MS + 900),
				 JT_FOLLOWER_LIST);
		assert_false(
			jt_follower_yields_listing(&follower, ASKED_MS + 900));
	}
	assert_in_range(gave_up, NODES * 3 / 4, NODES * 19 / 20);
}

/* A node that lists again after a compaction waits for its page: peers depend
 * on what it reads. */
static void test_node_with_former_listing_does_not_give_up(void **state)
{
	(void)state;
	for (unsigned node = 0; node < 20; node++) {
		struct jt_follower follower;

		jt_follower_init(&follower, node);
		jt_follower_page(&follower, JT_KV_OK, 5, false, 10, 1000);
		jt_follower_watched(&follower, JT_KV_COMPACTED, 0, false, 2000,
				    2000);
		assert_int_equal(jt_follower_next(&follower, 2000),
				 JT_FOLLOWER_LIST);
		assert_false(jt_follower_yields_listing(&follower, 2150));
	}
}

/* Fewer of the strong nodes give up: they list and distribute faster. */
static void test_strong_nodes_give_up_less_often(void **state)
{
	unsigned gave_up = 0;

	(void)state;
	for (unsigned node = 0; node < 400; node++) {
		struct jt_follower follower;

		jt_follower_init(&follower, node);
		follower.cpu_permille = 500;
		gave_up += jt_follower_yields_listing(&follower, 1000);
	}
	assert_in_range(gave_up, 160, 240);
}

/* A listing with a received page is not given up. */
static void test_later_pages_are_not_given_up(void **state)
{
	struct jt_follower follower;

	(void)state;
	for (unsigned node = 0; node < 20; node++) {
		jt_follower_init(&follower, node);
		jt_follower_page(&follower, JT_KV_OK, 5, true, 10, 1000);
		assert_false(jt_follower_yields_listing(&follower, 1200));
	}
}

/* Long-held watches. */

static struct jt_follower follower_watching(uint64_t revision)
{
	struct jt_follower follower;

	jt_follower_init(&follower, 1);
	jt_follower_page(&follower, JT_KV_OK, revision, false, 0, 0);
	return follower;
}

static void test_poll_confirms_that_store_answers(void **state)
{
	struct jt_follower follower = follower_watching(10);

	(void)state;
	assert_false(jt_follower_record_watch_check(&follower, JT_KV_OK, 10, 0,
						    700, 700));
	assert_int_equal(follower.as_of_ms, 700);
	/* A response sent before the last change reports none. */
	assert_false(jt_follower_record_watch_check(&follower, JT_KV_OK, 8, 0,
						    1200, 1200));
	assert_int_equal(follower.as_of_ms, 1200);
}

/* Guards against a response that was held up, or read after this node stood
 * still, and is taken for the store's content as of its arrival. */
static void test_state_is_as_old_as_the_call_that_showed_it(void **state)
{
	struct jt_follower follower = follower_watching(10);

	(void)state;
	jt_follower_record_watch_check(&follower, JT_KV_OK, 10, 0, 500, 5500);
	assert_int_equal(follower.as_of_ms, 500);
	/* What was known later remains known. */
	jt_follower_watched(&follower, JT_KV_OK, 11, true, 0, 5500);
	assert_int_equal(follower.as_of_ms, 500);
	jt_follower_record_check(&follower, JT_KV_OK, 11, 11, 6000, 6700);
	assert_int_equal(follower.as_of_ms, 6000);
	/* Changes during a listing are reported only by the next call. */
	jt_follower_watched(&follower, JT_KV_COMPACTED, 0, false, 6800, 6900);
	jt_follower_page(&follower, JT_KV_OK, 20, true, 1000, 8000);
	jt_follower_page(&follower, JT_KV_OK, 25, false, 1000, 9000);
	assert_int_equal(follower.as_of_ms, 7000);
}

static void test_watch_that_misses_change_is_given_up(void **state)
{
	struct jt_follower follower = follower_watching(10);

	(void)state;
	/* The change may be in transit. */
	assert_false(jt_follower_record_watch_check(&follower, JT_KV_OK, 11, 0,
						    700, 700));
	assert_int_equal(follower.as_of_ms, 0);
	assert_true(jt_follower_record_watch_check(&follower, JT_KV_OK, 11, 0,
						   1200, 1200));
}

static void test_watch_that_reports_changes_is_kept(void **state)
{
	struct jt_follower follower = follower_watching(10);

	(void)state;
	assert_false(jt_follower_record_watch_check(&follower, JT_KV_OK, 11, 0,
						    700, 700));
	jt_follower_watched(&follower, JT_KV_OK, 11, true, 750, 750);
	assert_false(jt_follower_record_watch_check(&follower, JT_KV_OK, 12,
						    1150, 1200, 1200));
	assert_false(jt_follower_record_watch_check(&follower, JT_KV_OK, 12,
						    1150, 1300, 1300));
}

static void test_failed_poll_ends_watch(void **state)
{
	struct jt_follower follower = follower_watching(10);

	(void)state;
	assert_true(jt_follower_record_watch_check(&follower, JT_KV_LOST, 0, 0,
						   700, 700));
	jt_follower_watched(&follower, JT_KV_LOST, 0, false, 700, 700);
	/* The next watch is short, so that a response comes soon. */
	assert_in_range(jt_follower_wait_ms(&follower), 100, 1000);
	jt_follower_watched(&follower, JT_KV_OK, 10, false, 1500, 1500);
	assert_in_range(jt_follower_wait_ms(&follower), 5000, 30000);
}

/* Guards against a watch that is trusted for long without a check that shows
 * the revision, and against many such checks of many watching nodes. */
static void test_checks_show_the_revision_in_time(void **state)
{
	struct jt_follower follower = follower_watching(10);
	unsigned confirming = 0;

	(void)state;
	for (uint64_t now_ms = 500; now_ms <= 20000; now_ms += 500)
		confirming +=
			jt_follower_check_confirms(&follower, true, now_ms);
	assert_int_equal(confirming, 40);
	follower.others_watch = true;
	confirming = 0;
	for (uint64_t now_ms = 20500; now_ms <= 120000; now_ms += 500)
		confirming +=
			jt_follower_check_confirms(&follower, true, now_ms);
	assert_in_range(confirming, 4, 5);
	/* Without a watch nothing else shows a change: the state must not grow
	 * old. */
	for (uint64_t now_ms = 130000; now_ms < 140000; now_ms += 700) {
		if (jt_follower_check_confirms(&follower, false, now_ms))
			jt_follower_record_check(&follower, JT_KV_OK, 10, 10,
						 now_ms, now_ms);
		assert_true(now_ms - follower.as_of_ms < 1000);
	}
}

/* Guards against giving up a live watch, which costs another call, when all
 * nodes together make too many. */
static void test_one_throttled_poll_keeps_watch(void **state)
{
	struct jt_follower follower = follower_watching(10);

	(void)state;
	assert_false(jt_follower_record_watch_check(&follower, JT_KV_THROTTLED,
						    0, 0, 500, 505));
	assert_int_equal(follower.as_of_ms, 0);
	assert_false(jt_follower_record_watch_check(&follower, JT_KV_OK, 10, 0,
						    1000, 1005));
	assert_int_equal(follower.as_of_ms, 1000);
	/* A node that the store turns away lets another one watch. */
	assert_false(jt_follower_record_watch_check(&follower, JT_KV_THROTTLED,
						    0, 0, 1500, 1505));
	assert_true(jt_follower_record_watch_check(&follower, JT_KV_THROTTLED,
						   0, 0, 2000, 2005));
}

/* Guards against waiting until the timeout for a page that was requested during
 * an outage of the store. */
static void test_page_of_outage_is_requested_again(void **state)
{
	struct jt_follower follower;

	(void)state;
	jt_follower_init(&follower, 1);
	/* A store that answers, but slowly, is not asked twice. */
	assert_false(jt_follower_record_page_check(&follower, JT_KV_OK));
	assert_false(jt_follower_record_page_check(&follower, JT_KV_OK));
	assert_false(jt_follower_record_page_check(&follower, JT_KV_LOST));
	assert_false(jt_follower_record_page_check(&follower, JT_KV_LOST));
	assert_true(jt_follower_record_page_check(&follower, JT_KV_OK));
	assert_false(jt_follower_record_page_check(&follower, JT_KV_OK));
	/* A received page clears the recorded failures. */
	assert_false(jt_follower_record_page_check(&follower, JT_KV_LOST));
	jt_follower_page(&follower, JT_KV_OK, 10, true, 0, 0);
	assert_false(jt_follower_record_page_check(&follower, JT_KV_OK));
}

static void test_resumes_at_revision_from_peers(void **state)
{
	struct jt_follower follower = follower_watching(10);

	(void)state;
	jt_follower_resume(&follower, 40, 5000);
	assert_int_equal(follower.revision, 40);
	assert_int_equal(jt_follower_next(&follower, 5000), JT_FOLLOWER_WATCH);
	/* The revision never decreases. */
	jt_follower_resume(&follower, 30, 6000);
	assert_int_equal(follower.revision, 40);
}

/* Nodes that only poll the revision. */

static struct jt_follower follower_polling(uint64_t revision)
{
	struct jt_follower follower;

	jt_follower_init(&follower, 1);
	jt_follower_set_read_mode(&follower, JT_READ_MODE_CHECK, 0);
	jt_follower_page(&follower, JT_KV_OK, revision, false, 0, 0);
	return follower;
}

static void test_poll_with_changes_known_from_peers(void **state)
{
	struct jt_follower follower = follower_polling(10);

	(void)state;
	assert_int_equal(jt_follower_next(&follower, 0), JT_FOLLOWER_WAIT);
	assert_int_equal(jt_follower_next(&follower, 1000), JT_FOLLOWER_CHECK);
	/* Peers have reported revision 12 meanwhile. */
	jt_follower_record_check(&follower, JT_KV_OK, 12, 12, 1000, 1000);
	assert_int_equal(follower.as_of_ms, 1000);
	assert_int_equal(jt_follower_next(&follower, 1000), JT_FOLLOWER_WAIT);
	assert_int_equal(jt_follower_next(&follower, 2000), JT_FOLLOWER_CHECK);
}

static void test_unreported_change_starts_watch(void **state)
{
	struct jt_follower follower = follower_polling(10);
	uint64_t now_ms = 1000;

	(void)state;
	jt_follower_record_check(&follower, JT_KV_OK, 13, 10, now_ms, now_ms);
	/* The change may be in transit. */
	assert_int_equal(jt_follower_next(&follower, now_ms), JT_FOLLOWER_WAIT);
	now_ms += 200;
	assert_int_equal(jt_follower_next(&follower, now_ms),
			 JT_FOLLOWER_CHECK);
	jt_follower_record_check(&follower, JT_KV_OK, 13, 10, now_ms, now_ms);
	assert_int_equal(jt_follower_next(&follower, now_ms),
			 JT_FOLLOWER_WATCH);
	assert_in_range(jt_follower_wait_ms(&follower), 100, 1000);
	assert_int_equal(follower.as_of_ms, 0);
	/* One watch is enough. */
	jt_follower_watched(&follower, JT_KV_OK, 13, true, now_ms, now_ms);
	assert_int_equal(follower.as_of_ms, now_ms);
	assert_int_equal(jt_follower_next(&follower, now_ms + 1000),
			 JT_FOLLOWER_CHECK);
}

static void test_changes_reported_in_time_start_no_watch(void **state)
{
	struct jt_follower follower = follower_polling(10);

	(void)state;
	for (uint64_t at = 11; at < 40; at++) {
		uint64_t now_ms = at * 200;

		/* Each change is reported by peers shortly after the poll. */
		jt_follower_record_check(&follower, JT_KV_OK, at, at - 1,
					 now_ms, now_ms);
		assert_int_equal(jt_follower_next(&follower, now_ms + 150),
				 JT_FOLLOWER_CHECK);
	}
}

static void test_failed_polls_back_off(void **state)
{
	struct jt_follower follower = follower_polling(10);

	(void)state;
	jt_follower_record_check(&follower, JT_KV_UNAVAILABLE, 0, 10, 1000,
				 1000);
	assert_int_equal(follower.failures, 1);
	jt_follower_record_check(&follower, JT_KV_LOST, 0, 10, 2000, 2000);
	assert_int_equal(follower.failures, 2);
	assert_int_equal(jt_follower_next(&follower, 2000), JT_FOLLOWER_WAIT);
	assert_int_equal(follower.as_of_ms, 0);
	jt_follower_record_check(&follower, JT_KV_OK, 10, 10, 4000, 4000);
	assert_int_equal(follower.failures, 0);
}

static void test_compaction_during_catch_up_leads_to_listing(void **state)
{
	struct jt_follower follower = follower_polling(10);

	(void)state;
	jt_follower_record_check(&follower, JT_KV_OK, 13, 10, 1000, 1000);
	jt_follower_record_check(&follower, JT_KV_OK, 13, 10, 1200, 1200);
	jt_follower_watched(&follower, JT_KV_COMPACTED, 0, false, 1200, 1200);
	assert_int_equal(jt_follower_next(&follower, 1200), JT_FOLLOWER_LIST);
}

static void test_new_watcher_watches_immediately(void **state)
{
	struct jt_follower follower = follower_polling(10);

	(void)state;
	jt_follower_record_check(&follower, JT_KV_OK, 10, 10, 1000, 1000);
	jt_follower_set_read_mode(&follower, JT_READ_MODE_WATCH, 1100);
	assert_int_equal(jt_follower_next(&follower, 1100), JT_FOLLOWER_WATCH);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_late_first_page_makes_most_nodes_give_up),
		cmocka_unit_test(test_later_pages_are_not_given_up),
		cmocka_unit_test(test_strong_nodes_give_up_less_often),
		cmocka_unit_test(
			test_node_with_former_listing_does_not_give_up),
		cmocka_unit_test(test_pause_after_changes),
		cmocka_unit_test(test_watch_starts_at_revision_of_first_page),
		cmocka_unit_test(test_peer_snapshot_replaces_listing),
		cmocka_unit_test(test_slow_first_page_delays_most_nodes),
		cmocka_unit_test(test_failed_page_is_requested_again),
		cmocka_unit_test(test_lost_response_resumes_at_same_revision),
		cmocka_unit_test(test_compaction_leads_to_listing),
		cmocka_unit_test(test_throttling_backs_off_with_jitter),
		cmocka_unit_test(test_changes_are_batched),
		cmocka_unit_test(test_poll_confirms_that_store_answers),
		cmocka_unit_test(
			test_state_is_as_old_as_the_call_that_showed_it),
		cmocka_unit_test(test_watch_that_misses_change_is_given_up),
		cmocka_unit_test(test_watch_that_reports_changes_is_kept),
		cmocka_unit_test(test_failed_poll_ends_watch),
		cmocka_unit_test(test_one_throttled_poll_keeps_watch),
		cmocka_unit_test(test_checks_show_the_revision_in_time),
		cmocka_unit_test(test_page_of_outage_is_requested_again),
		cmocka_unit_test(test_resumes_at_revision_from_peers),
		cmocka_unit_test(test_poll_with_changes_known_from_peers),
		cmocka_unit_test(test_unreported_change_starts_watch),
		cmocka_unit_test(test_changes_reported_in_time_start_no_watch),
		cmocka_unit_test(test_failed_polls_back_off),
		cmocka_unit_test(
			test_compaction_during_catch_up_leads_to_listing),
		cmocka_unit_test(test_new_watcher_watches_immediately),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
