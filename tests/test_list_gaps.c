/*
 * What a node that took a whole list tells others. It knows what is there, and
 * nothing of what came and went before: a peer that knows such an endpoint must
 * hear of its end (failure 68).
 */
#include "director_fixture.h"
#include "jt_knowledge_fetch.h"
#include "jt_list_gaps.h"

enum { ENDS = 0x101, STAYS = 0x102, COMES = 0x103, LISTED_AT = 19 };

static void test_gaps(void **state)
{
	struct jt_list_gaps gaps = {0};

	(void)state;
	assert_true(jt_list_gaps_know(&gaps, 0));
	jt_list_gaps_add(&gaps, (struct jt_list_gap){10, 20});
	assert_true(jt_list_gaps_know(&gaps, 0));
	assert_true(jt_list_gaps_know(&gaps, 10));
	assert_false(jt_list_gaps_know(&gaps, 11));
	assert_false(jt_list_gaps_know(&gaps, 19));
	assert_true(jt_list_gaps_know(&gaps, 20));
	/* Nothing lies between neighbours. */
	jt_list_gaps_add(&gaps, (struct jt_list_gap){20, 21});
	assert_int_equal(gaps.newest.to, 20);
	/* Of two gaps only the newer one is known exactly. */
	jt_list_gaps_add(&gaps, (struct jt_list_gap){25, 30});
	assert_false(jt_list_gaps_know(&gaps, 10));
	assert_true(jt_list_gaps_know(&gaps, 20));
	assert_false(jt_list_gaps_know(&gaps, 29));
	/* An earlier one that a peer tells of. */
	jt_list_gaps_add(&gaps, (struct jt_list_gap){21, 24});
	assert_false(jt_list_gaps_know(&gaps, 22));
	assert_true(jt_list_gaps_know(&gaps, 24));
	jt_list_gaps_forget(&gaps, 50);
	assert_false(jt_list_gaps_know(&gaps, 40));
	assert_true(jt_list_gaps_know(&gaps, 50));
}

static void test_what_is_taken_over(void **state)
{
	struct jt_list_gaps gaps = {.newest = {10, 20}};

	(void)state;
	assert_int_equal(jt_list_gaps_after(&gaps, 5).from, 10);
	assert_int_equal(jt_list_gaps_after(&gaps, 15).from, 15);
	assert_int_equal(jt_list_gaps_after(&gaps, 15).to, 20);
	assert_int_equal(jt_list_gaps_after(&gaps, 20).to, 0);
}

/* A node that has watched all along, up to the revision before the end. */
static struct bench *watcher(void)
{
	struct bench *bench = bench_create(0);

	bench_routing(bench, 1, 50, 50);
	bench_endpoint(bench, ENDS, SERVICE_BOARD, ZONE_A, 2);
	bench_endpoint(bench, STAYS, SERVICE_BOARD, ZONE_A, 3);
	bench_listed(bench, 18);
	bench_tick(bench, LEARNED_MS);
	return bench;
}

/* A node that started from a list after the end. */
static struct bench *starter(void)
{
	struct bench *bench = bench_create(0);

	bench_routing(bench, 1, 50, 50);
	bench_endpoint(bench, STAYS, SERVICE_BOARD, ZONE_A, 3);
	bench_listed(bench, LISTED_AT);
	bench_tick(bench, LEARNED_MS);
	return bench;
}

static void knowledge_of(struct bench *bench, uint64_t since,
			 jt_wire_knowledge *knowledge)
{
	const struct jt_knowledge_need need = {.since = since, .version = 1};

	assert_true(jt_knowledge_write(bench, bench->director, &need,
				       bench->now_ms, knowledge));
}

/* The node takes what a peer told, as the driver hands it on. */
static void learn(struct bench *bench, const jt_wire_knowledge *knowledge,
		  uint64_t since)
{
	struct jt_knowledge_fetch fetch = {0};
	const struct jt_own_state own = {
		.started = since > 0, .revision = since, .routing_version = 1};
	struct jt_director_event event;

	(void)jt_knowledge_fetch_need(&fetch, &own);
	for (u_int i = 0; i < knowledge->entries.entries_len; i++) {
		if (jt_knowledge_entry(&knowledge->entries.entries_val[i],
				       &event))
			bench_event(bench, &event);
	}
	if (jt_knowledge_slices(bench, knowledge, &event))
		bench_event(bench, &event);
	assert_true(jt_knowledge_fetch_took(&fetch, knowledge, bench->now_ms));
	event = (struct jt_director_event){.kind = JT_DIRECTOR_INFORMED};
	event.u.listed.revision = fetch.revision;
	event.u.listed.gap = fetch.gap;
	event.u.listed.forgotten = fetch.forgotten;
	bench_event(bench, &event);
}

/* Soak seed 1017: the peer that had just started was asked for what had changed
 * since, and knew of no end: new flows went to the endpoint for 3.5 s. */
static void test_end_before_a_peers_list_is_learned(void **state)
{
	struct bench *old = watcher(), *young = starter();
	jt_wire_knowledge knowledge;

	(void)state;
	knowledge_of(young, 18, &knowledge);
	assert_int_equal(knowledge.since, 0);
	learn(old, &knowledge, 18);
	assert_int_equal(jt_director_revision(old->director), LISTED_AT);
	assert_int_equal(state_of(old, ENDS), JT_INCARNATION_LAPSED);
	assert_int_equal(state_of(old, STAYS), JT_INCARNATION_READY);
	assert_int_equal(flows_at(old, 20, STAYS), 20);
	talloc_free(old);
	talloc_free(young);
}

/* Who hears of it from that node hears of the end as well. */
static void test_end_is_told_on(void **state)
{
	struct bench *old = watcher(), *young = starter(), *third = watcher();
	jt_wire_knowledge knowledge;

	(void)state;
	knowledge_of(young, 18, &knowledge);
	learn(old, &knowledge, 18);
	knowledge_of(old, 18, &knowledge);
	assert_int_equal(knowledge.since, 18);
	learn(third, &knowledge, 18);
	assert_int_equal(state_of(third, ENDS), JT_INCARNATION_LAPSED);
	talloc_free(old);
	talloc_free(young);
	talloc_free(third);
}

/* The list skipped a time in which an endpoint came and went; a third node,
 * which knows it from then, learns through one that took the list's part over.
 */
static void test_gap_is_taken_over(void **state)
{
	struct bench *old = watcher(), *lister = watcher(), *third = watcher();
	jt_wire_knowledge knowledge;

	(void)state;
	bench_endpoint(third, COMES, SERVICE_BOARD, ZONE_A, 20);
	bench_listed(third, 20);
	bench_endpoint(lister, ENDS, SERVICE_BOARD, ZONE_A, 2);
	bench_endpoint(lister, STAYS, SERVICE_BOARD, ZONE_A, 3);
	bench_listed(lister, 25);
	knowledge_of(lister, 18, &knowledge);
	assert_int_equal(knowledge.since, 18);
	learn(old, &knowledge, 18);
	knowledge_of(old, 20, &knowledge);
	assert_int_equal(knowledge.since, 0);
	learn(third, &knowledge, 20);
	assert_int_equal(state_of(third, COMES), JT_INCARNATION_LAPSED);
	talloc_free(old);
	talloc_free(lister);
	talloc_free(third);
}

/* Changes that were watched are told one by one, as before. */
static void test_watched_changes_are_told_alone(void **state)
{
	struct bench *bench = watcher();
	struct jt_director_event event = {.kind = JT_DIRECTOR_CAUGHT_UP};
	jt_wire_knowledge knowledge;

	(void)state;
	bench_endpoint(bench, COMES, SERVICE_BOARD, ZONE_A, 20);
	bench_gone(bench, ENDS, 25);
	event.u.listed.revision = 25;
	bench_event(bench, &event);
	knowledge_of(bench, 20, &knowledge);
	assert_int_equal(knowledge.since, 20);
	assert_int_equal(knowledge.entries.entries_len, 1);
	assert_int_equal(knowledge.gap_to, 0);
	talloc_free(bench);
}

/* A node without room for all endpoints says nothing of what it lacks. */
static void test_incomplete_knowledge_ends_nothing(void **state)
{
	struct bench *old = watcher(), *young = starter();
	jt_wire_knowledge knowledge;
	struct jt_director_event event;

	(void)state;
	knowledge_of(young, 18, &knowledge);
	knowledge.complete = FALSE;
	assert_false(jt_knowledge_slices(old, &knowledge, &event));
	/* Nor does one that told some of what it knows so far. */
	knowledge.complete = TRUE;
	knowledge.slice_next = knowledge.slice;
	assert_false(jt_knowledge_slices(old, &knowledge, &event));
	talloc_free(old);
	talloc_free(young);
}

/* What is newer than the peer's knowledge is none of its matters. */
static void test_newer_entries_stay(void **state)
{
	struct bench *old = watcher(), *young = starter();
	jt_wire_knowledge knowledge;
	struct jt_director_event event;

	(void)state;
	bench_endpoint(old, COMES, SERVICE_BOARD, ZONE_A, 30);
	knowledge_of(young, 18, &knowledge);
	assert_true(jt_knowledge_slices(old, &knowledge, &event));
	bench_event(old, &event);
	assert_int_equal(state_of(old, COMES), JT_INCARNATION_READY);
	assert_int_equal(state_of(old, ENDS), JT_INCARNATION_LAPSED);
	talloc_free(old);
	talloc_free(young);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_gaps),
		cmocka_unit_test(test_what_is_taken_over),
		cmocka_unit_test(test_end_before_a_peers_list_is_learned),
		cmocka_unit_test(test_end_is_told_on),
		cmocka_unit_test(test_gap_is_taken_over),
		cmocka_unit_test(test_watched_changes_are_told_alone),
		cmocka_unit_test(test_incomplete_knowledge_ends_nothing),
		cmocka_unit_test(test_newer_entries_stay),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
