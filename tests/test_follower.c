/* Following a store: every kind of failure has its own way back. */
#include "test.h"

#include "jt_follower.h"

static struct jt_follower listed_at(uint64_t revision, uint64_t now_ms)
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

/* Changes are told together, but sooner while packets wait for entries. */
static void test_pause_after_changes(void **state)
{
	struct jt_follower follower = listed_at(10, 0);
	uint64_t usual_ms, learning_ms;

	(void)state;
	jt_follower_watched(&follower, JT_KV_OK, 11, true, 0);
	usual_ms = follower.due_ms;
	jt_follower_learning(&follower, true);
	jt_follower_watched(&follower, JT_KV_OK, 12, true, 0);
	learning_ms = follower.due_ms;
	assert_true(learning_ms > 0 && learning_ms * 4 <= usual_ms);
	jt_follower_learning(&follower, false);
	jt_follower_watched(&follower, JT_KV_OK, 13, true, 0);
	assert_int_equal(follower.due_ms, usual_ms);
}

static void test_pages_form_no_snapshot(void **state)
{
	struct jt_follower follower;

	(void)state;
	jt_follower_init(&follower, 1);
	assert_false(jt_follower_page(&follower, JT_KV_OK, 10, true, 0, 0));
	assert_false(jt_follower_page(&follower, JT_KV_OK, 14, true, 0, 0));
	assert_true(jt_follower_page(&follower, JT_KV_OK, 19, false, 0, 0));
	/* Whatever changed while the pages came is watched for. */
	assert_int_equal(follower.revision, 10);
}

static void test_peers_knowledge_is_as_good_as_a_list(void **state)
{
	struct jt_follower follower;

	(void)state;
	jt_follower_init(&follower, 1);
	assert_false(jt_follower_page(&follower, JT_KV_OK, 10, true, 0, 0));
	assert_true(jt_follower_informed(&follower, 40, 0));
	assert_int_equal(jt_follower_next(&follower, 0), JT_FOLLOWER_WATCH);
	assert_int_equal(follower.revision, 40);
	/* One that follows the store itself goes its own way. */
	assert_false(jt_follower_informed(&follower, 60, 0));
	assert_int_equal(follower.revision, 40);
}

static void test_slow_pages_make_most_nodes_wait(void **state)
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
	/* Whoever has gone on past its first page goes on to the end. */
	for (uint64_t seed = 1; seed <= 64; seed++) {
		struct jt_follower follower;

		jt_follower_init(&follower, seed);
		jt_follower_page(&follower, JT_KV_OK, 10, true, 10, 1000);
		jt_follower_page(&follower, JT_KV_OK, 10, true, 300, 1300);
		assert_int_equal(jt_follower_next(&follower, 1300),
				 JT_FOLLOWER_LIST);
		assert_false(follower.gave_way);
	}
}

static void test_failed_page_is_asked_for_again(void **state)
{
	struct jt_follower follower;

	(void)state;
	jt_follower_init(&follower, 1);
	assert_false(jt_follower_page(&follower, JT_KV_OK, 10, true, 0, 0));
	assert_false(jt_follower_page(&follower, JT_KV_LOST, 0, false, 0, 0));
	assert_int_equal(jt_follower_next(&follower, 0), JT_FOLLOWER_WAIT);
	assert_int_equal(jt_follower_next(&follower, 5000), JT_FOLLOWER_LIST);
}

static void test_lost_answer_resumes_from_the_same_revision(void **state)
{
	struct jt_follower follower = listed_at(10, 0);

	(void)state;
	jt_follower_watched(&follower, JT_KV_LOST, 0, false, 0);
	assert_int_equal(follower.revision, 10);
	assert_int_equal(jt_follower_next(&follower, 5000), JT_FOLLOWER_WATCH);
}

static void test_history_gone_leads_to_a_list(void **state)
{
	struct jt_follower follower = listed_at(10, 0);

	(void)state;
	jt_follower_watched(&follower, JT_KV_COMPACTED, 0, false, 0);
	assert_int_equal(jt_follower_next(&follower, 0), JT_FOLLOWER_LIST);
	assert_true(jt_follower_page(&follower, JT_KV_OK, 30, false, 0, 0));
	assert_int_equal(follower.revision, 30);
}

static void test_refusals_wait_longer_and_not_together(void **state)
{
	struct jt_follower follower = listed_at(10, 0);
	struct jt_follower other = listed_at(10, 0);
	uint64_t now_ms = 0, first;
	bool apart = false;

	(void)state;
	other.random.seed = 77;
	jt_follower_watched(&follower, JT_KV_THROTTLED, 0, false, now_ms);
	first = follower.due_ms - now_ms;
	for (int i = 0; i < 10; i++) {
		now_ms = follower.due_ms;
		jt_follower_watched(&follower, JT_KV_THROTTLED, 0, false,
				    now_ms);
		jt_follower_watched(&other, JT_KV_THROTTLED, 0, false, now_ms);
		apart = apart || follower.due_ms != other.due_ms;
	}
	assert_true(follower.due_ms - now_ms > first);
	assert_in_range(follower.due_ms - now_ms, 500, 2000);
	assert_true(apart);
	jt_follower_watched(&follower, JT_KV_OK, 12, false, now_ms);
	assert_int_equal(jt_follower_next(&follower, now_ms),
			 JT_FOLLOWER_WATCH);
	assert_int_equal(follower.revision, 12);
}

static void test_changes_come_together(void **state)
{
	struct jt_follower follower = listed_at(10, 0);

	(void)state;
	jt_follower_watched(&follower, JT_KV_OK, 11, true, 1000);
	assert_int_equal(jt_follower_next(&follower, 1000), JT_FOLLOWER_WAIT);
	assert_int_equal(jt_follower_next(&follower, 2000), JT_FOLLOWER_WATCH);
	/* An answer that comes late never takes the revision back. */
	jt_follower_watched(&follower, JT_KV_OK, 9, true, 2000);
	assert_int_equal(follower.revision, 11);
}

/* Where all nodes start at once most leave a late first page to others, and
 * each does so once: a store that is slow is read all the same. */
static void test_late_first_page_makes_most_nodes_give_way(void **state)
{
	enum { NODES = 400, ASKED_MS = 1000 };
	unsigned gave_way = 0;

	(void)state;
	for (unsigned node = 0; node < NODES; node++) {
		struct jt_follower follower;
		bool gives_way;

		jt_follower_init(&follower, node);
		gives_way = jt_follower_gives_way(&follower, ASKED_MS);
		gave_way += gives_way;
		assert_int_equal(jt_follower_next(&follower, ASKED_MS),
				 gives_way ? JT_FOLLOWER_WAIT
					   : JT_FOLLOWER_LIST);
		/* It asks again before long, and then waits for the answer. */
		assert_int_equal(jt_follower_next(&follower, ASKED_MS + 900),
				 JT_FOLLOWER_LIST);
		assert_false(jt_follower_gives_way(&follower, ASKED_MS + 900));
	}
	assert_in_range(gave_way, NODES * 3 / 4, NODES * 19 / 20);
}

/* A node that lists anew since history is gone waits for its page: others hang
 * on what it reads. */
static void test_node_that_knew_all_does_not_give_way(void **state)
{
	(void)state;
	for (unsigned node = 0; node < 20; node++) {
		struct jt_follower follower;

		jt_follower_init(&follower, node);
		jt_follower_page(&follower, JT_KV_OK, 5, false, 10, 1000);
		jt_follower_watched(&follower, JT_KV_COMPACTED, 0, false, 2000);
		assert_int_equal(jt_follower_next(&follower, 2000),
				 JT_FOLLOWER_LIST);
		assert_false(jt_follower_gives_way(&follower, 2150));
	}
}

/* Strong nodes list sooner, and tell more: more of them go on. */
static void test_strong_nodes_go_on(void **state)
{
	unsigned gave_way = 0;

	(void)state;
	for (unsigned node = 0; node < 400; node++) {
		struct jt_follower follower;

		jt_follower_init(&follower, node);
		follower.strength_permille = 500;
		gave_way += jt_follower_gives_way(&follower, 1000);
	}
	assert_in_range(gave_way, 160, 240);
}

/* What has come of a list is not given up. */
static void test_later_pages_don_t_give_way(void **state)
{
	struct jt_follower follower;

	(void)state;
	for (unsigned node = 0; node < 20; node++) {
		jt_follower_init(&follower, node);
		jt_follower_page(&follower, JT_KV_OK, 5, true, 10, 1000);
		assert_false(jt_follower_gives_way(&follower, 1200));
	}
}

/* Watches that are held for long */

static struct jt_follower watching_at(uint64_t revision)
{
	struct jt_follower follower;

	jt_follower_init(&follower, 1);
	jt_follower_page(&follower, JT_KV_OK, revision, false, 0, 0);
	return follower;
}

static void test_check_shows_that_the_store_answers(void **state)
{
	struct jt_follower follower = watching_at(10);

	(void)state;
	assert_false(jt_follower_checked(&follower, JT_KV_OK, 10, 0, 700));
	assert_int_equal(follower.as_of_ms, 700);
	/* A stale answer is no news. */
	assert_false(jt_follower_checked(&follower, JT_KV_OK, 8, 0, 1200));
	assert_int_equal(follower.as_of_ms, 1200);
}

static void test_watch_that_misses_a_change_is_given_up(void **state)
{
	struct jt_follower follower = watching_at(10);

	(void)state;
	/* The change may be on its way. */
	assert_false(jt_follower_checked(&follower, JT_KV_OK, 11, 0, 700));
	assert_int_equal(follower.as_of_ms, 0);
	assert_true(jt_follower_checked(&follower, JT_KV_OK, 11, 0, 1200));
}

static void test_watch_that_tells_is_kept(void **state)
{
	struct jt_follower follower = watching_at(10);

	(void)state;
	assert_false(jt_follower_checked(&follower, JT_KV_OK, 11, 0, 700));
	jt_follower_watched(&follower, JT_KV_OK, 11, true, 750);
	assert_false(jt_follower_checked(&follower, JT_KV_OK, 12, 1150, 1200));
	assert_false(jt_follower_checked(&follower, JT_KV_OK, 12, 1150, 1300));
}

static void test_failed_check_gives_the_watch_up(void **state)
{
	struct jt_follower follower = watching_at(10);

	(void)state;
	assert_true(jt_follower_checked(&follower, JT_KV_LOST, 0, 0, 700));
	jt_follower_watched(&follower, JT_KV_LOST, 0, false, 700);
	/* The next one is held only briefly, so that its answer shows. */
	assert_in_range(jt_follower_wait_ms(&follower), 100, 1000);
	jt_follower_watched(&follower, JT_KV_OK, 10, false, 1500);
	assert_in_range(jt_follower_wait_ms(&follower), 5000, 30000);
}

/* Failure 36: a page asked for in an outage was waited for to its limit. */
static void test_page_of_an_outage_is_asked_for_again(void **state)
{
	struct jt_follower follower;

	(void)state;
	jt_follower_init(&follower, 1);
	/* A store that answers, but slowly, is not asked twice. */
	assert_false(jt_follower_page_checked(&follower, JT_KV_OK));
	assert_false(jt_follower_page_checked(&follower, JT_KV_OK));
	assert_false(jt_follower_page_checked(&follower, JT_KV_LOST));
	assert_false(jt_follower_page_checked(&follower, JT_KV_LOST));
	assert_true(jt_follower_page_checked(&follower, JT_KV_OK));
	assert_false(jt_follower_page_checked(&follower, JT_KV_OK));
	/* A page that came settles the doubt. */
	assert_false(jt_follower_page_checked(&follower, JT_KV_LOST));
	jt_follower_page(&follower, JT_KV_OK, 10, true, 0, 0);
	assert_false(jt_follower_page_checked(&follower, JT_KV_OK));
}

static void test_resumes_from_what_peers_told(void **state)
{
	struct jt_follower follower = watching_at(10);

	(void)state;
	jt_follower_resume(&follower, 40, 5000);
	assert_int_equal(follower.revision, 40);
	assert_int_equal(jt_follower_next(&follower, 5000), JT_FOLLOWER_WATCH);
	/* Never back. */
	jt_follower_resume(&follower, 30, 6000);
	assert_int_equal(follower.revision, 40);
}

/* Nodes that only check */

static struct jt_follower checking_at(uint64_t revision)
{
	struct jt_follower follower;

	jt_follower_init(&follower, 1);
	jt_follower_read(&follower, JT_READING_CHECKS, 0);
	jt_follower_page(&follower, JT_KV_OK, revision, false, 0, 0);
	return follower;
}

static void test_check_of_what_peers_have_told(void **state)
{
	struct jt_follower follower = checking_at(10);

	(void)state;
	assert_int_equal(jt_follower_next(&follower, 0), JT_FOLLOWER_WAIT);
	assert_int_equal(jt_follower_next(&follower, 1000), JT_FOLLOWER_CHECK);
	/* Peers have told 12 meanwhile. */
	jt_follower_asked(&follower, JT_KV_OK, 12, 12, 1000);
	assert_int_equal(follower.as_of_ms, 1000);
	assert_int_equal(jt_follower_next(&follower, 1000), JT_FOLLOWER_WAIT);
	assert_int_equal(jt_follower_next(&follower, 2000), JT_FOLLOWER_CHECK);
}

static void test_change_that_nobody_tells_is_caught_up_with(void **state)
{
	struct jt_follower follower = checking_at(10);
	uint64_t now_ms = 1000;

	(void)state;
	jt_follower_asked(&follower, JT_KV_OK, 13, 10, now_ms);
	/* It may be under way. */
	assert_int_equal(jt_follower_next(&follower, now_ms), JT_FOLLOWER_WAIT);
	now_ms += 200;
	assert_int_equal(jt_follower_next(&follower, now_ms),
			 JT_FOLLOWER_CHECK);
	jt_follower_asked(&follower, JT_KV_OK, 13, 10, now_ms);
	assert_int_equal(jt_follower_next(&follower, now_ms),
			 JT_FOLLOWER_WATCH);
	assert_in_range(jt_follower_wait_ms(&follower), 100, 1000);
	assert_int_equal(follower.as_of_ms, 0);
	/* Once is enough. */
	jt_follower_watched(&follower, JT_KV_OK, 13, true, now_ms);
	assert_int_equal(follower.as_of_ms, now_ms);
	assert_int_equal(jt_follower_next(&follower, now_ms + 1000),
			 JT_FOLLOWER_CHECK);
}

static void test_changes_that_peers_tell_in_time_cost_no_watch(void **state)
{
	struct jt_follower follower = checking_at(10);

	(void)state;
	for (uint64_t at = 11; at < 40; at++) {
		uint64_t now_ms = at * 200;

		/* One change after the other, each told a little later. */
		jt_follower_asked(&follower, JT_KV_OK, at, at - 1, now_ms);
		assert_int_equal(jt_follower_next(&follower, now_ms + 150),
				 JT_FOLLOWER_CHECK);
	}
}

static void test_failed_checks_wait_longer(void **state)
{
	struct jt_follower follower = checking_at(10);

	(void)state;
	jt_follower_asked(&follower, JT_KV_UNAVAILABLE, 0, 10, 1000);
	assert_int_equal(follower.failures, 1);
	jt_follower_asked(&follower, JT_KV_LOST, 0, 10, 2000);
	assert_int_equal(follower.failures, 2);
	assert_int_equal(jt_follower_next(&follower, 2000), JT_FOLLOWER_WAIT);
	assert_int_equal(follower.as_of_ms, 0);
	jt_follower_asked(&follower, JT_KV_OK, 10, 10, 4000);
	assert_int_equal(follower.failures, 0);
}

static void test_history_gone_while_catching_up_leads_to_a_list(void **state)
{
	struct jt_follower follower = checking_at(10);

	(void)state;
	jt_follower_asked(&follower, JT_KV_OK, 13, 10, 1000);
	jt_follower_asked(&follower, JT_KV_OK, 13, 10, 1200);
	jt_follower_watched(&follower, JT_KV_COMPACTED, 0, false, 1200);
	assert_int_equal(jt_follower_next(&follower, 1200), JT_FOLLOWER_LIST);
}

static void test_node_that_begins_to_watch_does_so_at_once(void **state)
{
	struct jt_follower follower = checking_at(10);

	(void)state;
	jt_follower_asked(&follower, JT_KV_OK, 10, 10, 1000);
	jt_follower_read(&follower, JT_READING_WATCHES, 1100);
	assert_int_equal(jt_follower_next(&follower, 1100), JT_FOLLOWER_WATCH);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_late_first_page_makes_most_nodes_give_way),
		cmocka_unit_test(test_later_pages_don_t_give_way),
		cmocka_unit_test(test_strong_nodes_go_on),
		cmocka_unit_test(test_node_that_knew_all_does_not_give_way),
		cmocka_unit_test(test_pause_after_changes),
		cmocka_unit_test(test_pages_form_no_snapshot),
		cmocka_unit_test(test_peers_knowledge_is_as_good_as_a_list),
		cmocka_unit_test(test_slow_pages_make_most_nodes_wait),
		cmocka_unit_test(test_failed_page_is_asked_for_again),
		cmocka_unit_test(
			test_lost_answer_resumes_from_the_same_revision),
		cmocka_unit_test(test_history_gone_leads_to_a_list),
		cmocka_unit_test(test_refusals_wait_longer_and_not_together),
		cmocka_unit_test(test_changes_come_together),
		cmocka_unit_test(test_check_shows_that_the_store_answers),
		cmocka_unit_test(test_watch_that_misses_a_change_is_given_up),
		cmocka_unit_test(test_watch_that_tells_is_kept),
		cmocka_unit_test(test_failed_check_gives_the_watch_up),
		cmocka_unit_test(test_page_of_an_outage_is_asked_for_again),
		cmocka_unit_test(test_resumes_from_what_peers_told),
		cmocka_unit_test(test_check_of_what_peers_have_told),
		cmocka_unit_test(
			test_change_that_nobody_tells_is_caught_up_with),
		cmocka_unit_test(
			test_changes_that_peers_tell_in_time_cost_no_watch),
		cmocka_unit_test(test_failed_checks_wait_longer),
		cmocka_unit_test(
			test_history_gone_while_catching_up_leads_to_a_list),
		cmocka_unit_test(
			test_node_that_begins_to_watch_does_so_at_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
