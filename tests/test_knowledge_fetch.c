/* What peers know, fetched slice by slice; and how much a node tells. */
#include "test.h"

#include "jt_knowledge_fetch.h"
#include "jt_serve_budget.h"

enum { NOW_MS = 100000, ANSWER_BYTES = 25000 };

static jt_wire_knowledge part_of(uint32_t slice, uint32_t next,
				 uint64_t revision)
{
	return (jt_wire_knowledge){
		.slice = slice,
		.slice_next = next,
		.revision = revision,
		.store_age_ms = 10,
		.store_reader = 5,
	};
}

static void test_goes_on_at_another_peer(void **state)
{
	struct jt_own_state own = {0};
	struct jt_knowledge_fetch fetch = {0};
	jt_wire_knowledge part;

	(void)state;
	assert_int_equal(jt_knowledge_fetch_need(&fetch, &own).slice, 0);
	part = part_of(0, 300, 40);
	assert_false(jt_knowledge_fetch_took(&fetch, &part, NOW_MS));
	/* The next peer is asked for the rest alone. */
	assert_int_equal(jt_knowledge_fetch_need(&fetch, &own).slice, 300);
	part = part_of(300, 700, 30);
	part.store_age_ms = 500;
	part.store_reader = 6;
	part.learning_ms = 70;
	assert_false(jt_knowledge_fetch_took(&fetch, &part, NOW_MS));
	part = part_of(700, JT_DIRECTOR_SLICES, 50);
	assert_true(jt_knowledge_fetch_took(&fetch, &part, NOW_MS));
	/* It is worth what the peer told that knew least. */
	assert_int_equal(fetch.revision, 30);
	assert_int_equal(fetch.learning_ms, 70);
	assert_int_equal(fetch.store_as_of_ms, NOW_MS - 500);
	assert_int_equal(fetch.store_reader, 6);
	/* The next fetch begins anew. */
	assert_int_equal(jt_knowledge_fetch_need(&fetch, &own).slice, 0);
}

static void test_since_stays_until_the_end(void **state)
{
	struct jt_own_state own = {.started = true, .revision = 20};
	struct jt_knowledge_fetch fetch = {0};
	jt_wire_knowledge part = part_of(0, 300, 40);

	(void)state;
	part.since = 20;
	assert_int_equal(jt_knowledge_fetch_need(&fetch, &own).since, 20);
	assert_false(jt_knowledge_fetch_took(&fetch, &part, NOW_MS));
	own.revision = 25;
	assert_int_equal(jt_knowledge_fetch_need(&fetch, &own).since, 20);
}

/* News has told meanwhile what a fetch that was broken off would tell. */
static void test_outdated_fetch_begins_anew(void **state)
{
	struct jt_own_state own = {.started = true, .revision = 20};
	struct jt_knowledge_fetch fetch = {0};
	jt_wire_knowledge part = part_of(0, 300, 40);

	(void)state;
	part.since = 20;
	(void)jt_knowledge_fetch_need(&fetch, &own);
	assert_false(jt_knowledge_fetch_took(&fetch, &part, NOW_MS));
	own.revision = 39;
	assert_int_equal(jt_knowledge_fetch_need(&fetch, &own).slice, 300);
	own.revision = 40;
	assert_int_equal(jt_knowledge_fetch_need(&fetch, &own).slice, 0);
	assert_int_equal(jt_knowledge_fetch_need(&fetch, &own).since, 40);
}

static void test_other_answers_change_nothing(void **state)
{
	const struct jt_own_state own = {0};
	struct jt_knowledge_fetch fetch = {0};
	jt_wire_knowledge late = part_of(0, JT_DIRECTOR_SLICES, 40);
	jt_wire_knowledge wrong = part_of(300, JT_DIRECTOR_SLICES, 40);
	jt_wire_knowledge empty = part_of(0, 0, 40);
	jt_wire_knowledge gaps = part_of(0, JT_DIRECTOR_SLICES, 40);

	(void)state;
	assert_false(jt_knowledge_fetch_took(&fetch, &late, NOW_MS));
	(void)jt_knowledge_fetch_need(&fetch, &own);
	assert_false(jt_knowledge_fetch_took(&fetch, &wrong, NOW_MS));
	assert_false(jt_knowledge_fetch_took(&fetch, &empty, NOW_MS));
	gaps.since = 1;
	assert_false(jt_knowledge_fetch_took(&fetch, &gaps, NOW_MS));
	assert_int_equal(jt_knowledge_fetch_need(&fetch, &own).slice, 0);
}

/* A link of 20 Mbit/s: half of it carries an answer in 20 ms. */
static void test_budget(void **state)
{
	struct jt_serve_budget budget = {0};
	uint64_t now_ms = NOW_MS;
	unsigned given = 0;

	(void)state;
	jt_serve_budget_init(&budget, 20);
	for (; now_ms < NOW_MS + 1000; now_ms++) {
		while (jt_serve_budget_allows(&budget, now_ms)) {
			jt_serve_budget_given(&budget, ANSWER_BYTES, now_ms);
			given++;
		}
		/* No answer waits for long behind others. */
		assert_in_range(budget.busy_until_ms, now_ms, now_ms + 120);
	}
	assert_in_range(given, 50, 56);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_goes_on_at_another_peer),
		cmocka_unit_test(test_since_stays_until_the_end),
		cmocka_unit_test(test_outdated_fetch_begins_anew),
		cmocka_unit_test(test_other_answers_change_nothing),
		cmocka_unit_test(test_budget),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
