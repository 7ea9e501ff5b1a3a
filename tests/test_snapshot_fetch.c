/* Tests of fetching the state snapshot in slices from several peers, and of the
 * send budget of a serving node. */
#include "test.h"

#include "jt_snapshot_fetch.h"
#include "jt_serve_budget.h"

enum { NOW_MS = 100000, RESPONSE_BYTES = 25000 };

static jt_wire_snapshot make_part(uint32_t slice, uint32_t next,
				  uint64_t revision)
{
	return (jt_wire_snapshot){
		.slice = slice,
		.slice_next = next,
		.revision = revision,
		.store_age_ms = 10,
		.store_reader = 5,
	};
}

static void test_fetch_continues_at_another_peer(void **state)
{
	struct jt_own_state own = {0};
	struct jt_snapshot_fetch fetch = {0};
	jt_wire_snapshot part;

	(void)state;
	assert_int_equal(jt_snapshot_fetch_request(&fetch, &own).slice, 0);
	part = make_part(0, 300, 40);
	assert_false(jt_snapshot_fetch_record(&fetch, &part, NOW_MS));
	/* The next peer is asked only for the remaining slices. */
	assert_int_equal(jt_snapshot_fetch_request(&fetch, &own).slice, 300);
	part = make_part(300, 700, 30);
	part.store_age_ms = 500;
	part.store_reader = 6;
	part.initial_sync_ms = 70;
	assert_false(jt_snapshot_fetch_record(&fetch, &part, NOW_MS));
	part = make_part(700, JT_DIRECTOR_SLICES, 50);
	assert_true(jt_snapshot_fetch_record(&fetch, &part, NOW_MS));
	/* The result has the revision and age of the least current peer. */
	assert_int_equal(fetch.revision, 30);
	assert_int_equal(fetch.initial_sync_ms, 70);
	assert_int_equal(fetch.store_as_of_ms, NOW_MS - 500);
	assert_int_equal(fetch.store_reader, 6);
	/* The next fetch starts at the first slice. */
	assert_int_equal(jt_snapshot_fetch_request(&fetch, &own).slice, 0);
}

static void test_since_is_fixed_during_fetch(void **state)
{
	struct jt_own_state own = {.started = true, .revision = 20};
	struct jt_snapshot_fetch fetch = {0};
	jt_wire_snapshot part = make_part(0, 300, 40);

	(void)state;
	part.since = 20;
	assert_int_equal(jt_snapshot_fetch_request(&fetch, &own).since, 20);
	assert_false(jt_snapshot_fetch_record(&fetch, &part, NOW_MS));
	own.revision = 25;
	assert_int_equal(jt_snapshot_fetch_request(&fetch, &own).since, 20);
}

/* An interrupted fetch restarts if gossip updates have delivered its changes
 * meanwhile. */
static void test_outdated_fetch_restarts(void **state)
{
	struct jt_own_state own = {.started = true, .revision = 20};
	struct jt_snapshot_fetch fetch = {0};
	jt_wire_snapshot part = make_part(0, 300, 40);

	(void)state;
	part.since = 20;
	(void)jt_snapshot_fetch_request(&fetch, &own);
	assert_false(jt_snapshot_fetch_record(&fetch, &part, NOW_MS));
	own.revision = 39;
	assert_int_equal(jt_snapshot_fetch_request(&fetch, &own).slice, 300);
	own.revision = 40;
	assert_int_equal(jt_snapshot_fetch_request(&fetch, &own).slice, 0);
	assert_int_equal(jt_snapshot_fetch_request(&fetch, &own).since, 40);
}

static void test_unexpected_responses_are_ignored(void **state)
{
	const struct jt_own_state own = {0};
	struct jt_snapshot_fetch fetch = {0};
	jt_wire_snapshot late = make_part(0, JT_DIRECTOR_SLICES, 40);
	jt_wire_snapshot wrong_slice = make_part(300, JT_DIRECTOR_SLICES, 40);
	jt_wire_snapshot empty = make_part(0, 0, 40);
	jt_wire_snapshot wrong_since = make_part(0, JT_DIRECTOR_SLICES, 40);

	(void)state;
	assert_false(jt_snapshot_fetch_record(&fetch, &late, NOW_MS));
	(void)jt_snapshot_fetch_request(&fetch, &own);
	assert_false(jt_snapshot_fetch_record(&fetch, &wrong_slice, NOW_MS));
	assert_false(jt_snapshot_fetch_record(&fetch, &empty, NOW_MS));
	wrong_since.since = 1;
	assert_false(jt_snapshot_fetch_record(&fetch, &wrong_since, NOW_MS));
	assert_int_equal(jt_snapshot_fetch_request(&fetch, &own).slice, 0);
}

/* Half of a 20 Mbit/s link is available: a response takes 20 ms. */
static void test_send_budget(void **state)
{
	struct jt_serve_budget budget = {0};
	uint64_t now_ms = NOW_MS;
	unsigned sent = 0;

	(void)state;
	jt_serve_budget_init(&budget, 20);
	for (; now_ms < NOW_MS + 1000; now_ms++) {
		while (jt_serve_budget_allows(&budget, now_ms)) {
			jt_serve_budget_consume(&budget, RESPONSE_BYTES,
						now_ms);
			sent++;
		}
		/* Bounds the queueing delay of a response. */
		assert_in_range(budget.busy_until_ms, now_ms, now_ms + 120);
	}
	assert_in_range(sent, 50, 56);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_fetch_continues_at_another_peer),
		cmocka_unit_test(test_since_is_fixed_during_fetch),
		cmocka_unit_test(test_outdated_fetch_restarts),
		cmocka_unit_test(test_unexpected_responses_are_ignored),
		cmocka_unit_test(test_send_budget),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
