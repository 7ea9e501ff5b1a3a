/* Tests the incremental mean of the loads that peers report against a reference
 * that recomputes it on every step. */
#include "test.h"

#include "jt_peer_loads.h"
#include "jt_random.h"

enum { PEERS = 40, LABELS = 30, STEPS = 3000, AGE_MS = 10000 };

struct reference_report {
	uint64_t reported_ms;
	uint32_t flows[LABELS];
	bool reported;
};

static double reference_mean(const struct reference_report *reports,
			     uint32_t label, uint64_t now_ms)
{
	uint64_t sum = 0, count = 0;

	for (int i = 0; i < JT_PEER_LOADS_LIMIT; i++) {
		if (!reports[i].reported ||
		    now_ms - reports[i].reported_ms > AGE_MS)
			continue;
		count++;
		sum += reports[i].flows[label];
	}
	return count > 0 ? (double)sum / (double)count : 0;
}

static void report_random(struct jt_random *random, struct jt_peer_loads *peers,
			  struct reference_report *reports, uint64_t now_ms)
{
	uint64_t peer = jt_random_next(random) % JT_PEER_LOADS_LIMIT;
	struct jt_endpoint_load loads[LABELS];
	size_t count = 0;

	memset(&reports[peer], 0, sizeof(reports[peer]));
	reports[peer].reported = true;
	reports[peer].reported_ms = now_ms;
	for (uint32_t label = 0; label < LABELS; label++) {
		uint32_t flows = (uint32_t)(jt_random_next(random) % 4);

		reports[peer].flows[label] = flows;
		if (flows > 0)
			loads[count++] = (struct jt_endpoint_load){
				label + 1, flows,
				flows * 2 * JT_RECENT_LOAD_UNIT, 0};
	}
	jt_peer_loads_update(peers, peer + 1, loads, count, now_ms);
}

static void test_mean_matches_reference(void **state)
{
	struct jt_peer_loads *peers = jt_peer_loads_create(NULL);
	struct reference_report reports[JT_PEER_LOADS_LIMIT] = {0};
	struct jt_random random = {.seed = 5};
	uint64_t now_ms = 1000;

	(void)state;
	for (int step = 0; step < STEPS; step++) {
		uint32_t label = (uint32_t)(jt_random_next(&random) % LABELS);

		now_ms += jt_random_next(&random) % 1500;
		if (step % 3 == 0)
			report_random(&random, peers, reports, now_ms);
		assert_true(jt_peer_loads_mean(peers, label + 1, now_ms) ==
			    reference_mean(reports, label, now_ms));
		assert_true(jt_peer_loads_mean_load(peers, label + 1, now_ms) ==
			    2 * reference_mean(reports, label, now_ms));
	}
	talloc_free(peers);
}

/* If more peers report than are kept, the newest reports count. */
static void test_newest_reports_are_kept(void **state)
{
	struct jt_peer_loads *peers = jt_peer_loads_create(NULL);

	(void)state;
	for (uint32_t peer = 0; peer < PEERS; peer++) {
		struct jt_endpoint_load load = {7, peer, 0, 0};

		jt_peer_loads_update(peers, peer + 1, &load, 1, 1000 + peer);
	}
	/* The mean of the last sixteen: 24 to 39. */
	assert_true(jt_peer_loads_mean(peers, 7, 2000) == 31.5);
	assert_true(jt_peer_loads_mean(peers, 8, 2000) == 0);
	assert_true(jt_peer_loads_mean(peers, 7, 2000 + AGE_MS) == 0);
	assert_null(peers->sums);
	talloc_free(peers);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_mean_matches_reference),
		cmocka_unit_test(test_newest_reports_are_kept),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
