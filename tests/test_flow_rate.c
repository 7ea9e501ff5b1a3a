/* How many new flows all nodes together send to one endpoint. */
#include "director_fixture.h"

#include "jt_flow_rate.h"
#include "jt_endpoint_table.h"

enum {
	NODES_MOST = 300,
	STEP_MS = 10,
	WINDOW_MS = 1000,
	RUN_MS = 12000,
	SETTLED_MS = 3000,
	COLD_ID = 0x5eed,
	GIVEN_MOST = 100000,
};

/* Nodes that all want to send to the same cold endpoint, all the time. */
struct crowd {
	struct jt_flow_rate *rates[NODES_MOST];
	struct jt_incarnation views[NODES_MOST];
	size_t nodes;
	uint64_t given_ms[GIVEN_MOST];
	size_t given;
};

static uint64_t id_of(size_t node)
{
	return 0x9e3779b97f4a7c15ull * (node + 1);
}

/* Node @node knows the nodes from @first on, @count of them. */
static void crowd_know(struct crowd *crowd, size_t node, size_t first,
		       size_t count, uint64_t now_ms)
{
	uint64_t peers[NODES_MOST];
	size_t known = 0;

	for (size_t i = first; i < first + count; i++) {
		if (i != node)
			peers[known++] = id_of(i);
	}
	jt_flow_rate_nodes(crowd->rates[node], id_of(node), peers, known,
			   now_ms);
}

static struct crowd *crowd_create(size_t nodes, uint32_t overshoot_permille,
				  uint32_t slack)
{
	struct crowd *crowd = talloc_zero(NULL, struct crowd);
	struct jt_director_options options;

	jt_director_options_init(&options);
	options.cold_overshoot_permille = overshoot_permille;
	options.cold_slack = slack;
	crowd->nodes = nodes;
	for (size_t i = 0; i < nodes; i++) {
		crowd->rates[i] = jt_flow_rate_create(crowd, &options);
		crowd->views[i].entry.id = COLD_ID;
		crowd->views[i].cold_until_ms = UINT64_MAX;
		crowd_know(crowd, i, 0, nodes, 1);
	}
	return crowd;
}

static bool crowd_allows(const struct crowd *crowd, size_t node,
			 uint32_t permille, uint64_t now_ms)
{
	uint32_t per_s = jt_flow_rate_cold(
		crowd->rates[node], &crowd->views[node], permille, now_ms);

	return jt_flow_rate_allows(crowd->rates[node], &crowd->views[node],
				   per_s, now_ms);
}

static void crowd_give(struct crowd *crowd, size_t node, uint32_t permille,
		       uint64_t now_ms)
{
	uint32_t per_s = jt_flow_rate_cold(
		crowd->rates[node], &crowd->views[node], permille, now_ms);

	jt_flow_rate_given(crowd->rates[node], &crowd->views[node], per_s,
			   now_ms);
	assert_true(crowd->given < GIVEN_MOST);
	crowd->given_ms[crowd->given++] = now_ms;
}

static void crowd_run(struct crowd *crowd, uint32_t permille, uint64_t from_ms,
		      uint64_t to_ms)
{
	for (uint64_t now_ms = from_ms; now_ms < to_ms; now_ms += STEP_MS) {
		for (size_t i = 0; i < crowd->nodes; i++) {
			if (crowd_allows(crowd, i, permille, now_ms))
				crowd_give(crowd, i, permille, now_ms);
		}
	}
}

/* The most that were given within one second. */
static size_t crowd_busiest(const struct crowd *crowd)
{
	size_t busiest = 0;

	for (size_t i = 0; i < crowd->given; i++) {
		size_t j = i;

		while (j < crowd->given &&
		       crowd->given_ms[j] <= crowd->given_ms[i] + WINDOW_MS)
			j++;
		if (j - i > busiest)
			busiest = j - i;
	}
	return busiest;
}

static void test_limit_holds_for_any_number_of_nodes(void **state)
{
	static const size_t nodes[] = {1, 2, 3, 7, 74, 300};
	static const uint32_t bears[] = {1, 2, 4, 8};

	(void)state;
	for (size_t n = 0; n < sizeof(nodes) / sizeof(nodes[0]); n++) {
		for (size_t b = 0; b < sizeof(bears) / sizeof(bears[0]); b++) {
			struct crowd *crowd = crowd_create(nodes[n], 1500, 5);

			crowd_run(crowd, bears[b] * 1000, SETTLED_MS + 1,
				  SETTLED_MS + RUN_MS);
			assert_true(crowd_busiest(crowd) <=
				    bears[b] * 3 / 2 + 5);
			/* Half of what it bears, at the least: it gets warm by
			 * work. */
			assert_true(crowd->given >=
				    bears[b] * RUN_MS / WINDOW_MS / 2);
			talloc_free(crowd);
		}
	}
}

/* A cut: each half takes the other for gone. */
static void test_limit_holds_for_two_sets_of_nodes(void **state)
{
	struct crowd *crowd = crowd_create(74, 1500, 5);

	(void)state;
	for (size_t i = 0; i < 74; i++)
		crowd_know(crowd, i, i < 40 ? 0 : 40, i < 40 ? 40 : 34, 2);
	crowd_run(crowd, 4000, SETTLED_MS + 2, SETTLED_MS + RUN_MS);
	assert_true(crowd_busiest(crowd) <= 11);
	talloc_free(crowd);
}

/* Nodes join and die, and each hears of it at another time. */
static void test_limit_holds_while_nodes_change(void **state)
{
	struct crowd *crowd = crowd_create(74, 1500, 5);

	(void)state;
	for (uint64_t second = 0; second < 12; second++) {
		uint64_t now_ms = SETTLED_MS + 1 + second * WINDOW_MS;

		for (size_t i = 0; i < 74; i++)
			crowd_know(crowd, i, (i + second) % 3 * 5, 50, now_ms);
		crowd_run(crowd, 4000, now_ms, now_ms + WINDOW_MS);
	}
	assert_true(crowd_busiest(crowd) <= 11);
	talloc_free(crowd);
}

/* It knows too little of the others to tell its share. */
static void test_node_that_has_just_started_gives_none(void **state)
{
	struct crowd *crowd = crowd_create(74, 1500, 5);

	(void)state;
	crowd_run(crowd, 4000, 1, SETTLED_MS);
	assert_int_equal(crowd->given, 0);
	talloc_free(crowd);
}

static void test_warm_or_unlimited_endpoints_get_any_number(void **state)
{
	struct crowd *crowd = crowd_create(1, 1000, 0);

	(void)state;
	assert_true(crowd_allows(crowd, 0, 0, 1));
	crowd->views[0].cold_until_ms = 500;
	assert_true(crowd_allows(crowd, 0, 2000, 500));
	assert_false(crowd_allows(crowd, 0, 2000, 499));
	talloc_free(crowd);
}

static void bench_cold_limit(struct bench *bench, uint32_t permille)
{
	const struct jt_routed_service service = {.id = SERVICE_BOARD,
						  .cold_permille = permille};

	bench_service(bench, &service);
}

/* 40 new flows within half a second; how many came to the cold endpoint. */
static unsigned flows_at_cold(unsigned break_mechanism)
{
	struct bench *bench = two_endpoints(break_mechanism);
	struct jt_endpoint_entry cold =
		entry_of(0x103, SERVICE_BOARD, ZONE_A, 20);
	unsigned there;

	bench_cold_limit(bench, 2000);
	cold.cold_left_ms = 5000;
	bench_entry(bench, cold);
	there = flows_at(bench, 40, 0x103);
	talloc_free(bench);
	return there;
}

static void test_director_bounds_flows_to_a_cold_endpoint(void **state)
{
	(void)state;
	assert_true(flows_at_cold(0) <= 1);
	assert_true(flows_at_cold(JT_DIRECTOR_BREAK_COLD) > 2);
}

static void test_only_cold_endpoints_refuse_at_once(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct caller_flow flow = flow_new(bench, CALLER, BOARD_PORT);
	const struct jt_director_action *reset;

	(void)state;
	bench_cold_limit(bench, 2000);
	for (uint64_t id = 0x101; id <= 0x102; id++) {
		struct jt_endpoint_entry cold =
			entry_of(id, SERVICE_BOARD, ZONE_A, 20 + id);

		cold.cold_left_ms = 5000;
		bench_entry(bench, cold);
	}
	(void)flows_at(bench, 0, 0);
	for (int i = 0; i < 3; i++) {
		flow = flow_new(bench, CALLER, BOARD_PORT);
		(void)flow_syn(bench, &flow);
	}
	reset = bench_find(bench, JT_DIRECTOR_RESET);
	assert_non_null(reset);
	assert_int_equal(reset->reason, JT_DIRECTOR_COLD);
	talloc_free(bench);
}

/* What a peer tells of a cold endpoint is as old as its entry. */
static void test_coldness_ages_on_the_way(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct jt_endpoint_entry cold =
		entry_of(0x103, SERVICE_BOARD, ZONE_A, 20);
	jt_wire_knowledge knowledge;

	(void)state;
	cold.cold_left_ms = 2000;
	bench_entry(bench, cold);
	assert_true(jt_knowledge_write(
		bench, bench->director,
		&(struct jt_knowledge_need){.since = 19, .version = 1},
		bench->now_ms + 1500, &knowledge));
	assert_int_equal(knowledge.entries.entries_len, 1);
	assert_int_equal(knowledge.entries.entries_val[0].cold_left_ms, 500);
	assert_true(jt_knowledge_write(
		bench, bench->director,
		&(struct jt_knowledge_need){.since = 19, .version = 1},
		bench->now_ms + 2500, &knowledge));
	assert_int_equal(knowledge.entries.entries_val[0].cold_left_ms, 0);
	talloc_free(bench);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_limit_holds_for_any_number_of_nodes),
		cmocka_unit_test(test_limit_holds_for_two_sets_of_nodes),
		cmocka_unit_test(test_limit_holds_while_nodes_change),
		cmocka_unit_test(test_node_that_has_just_started_gives_none),
		cmocka_unit_test(
			test_warm_or_unlimited_endpoints_get_any_number),
		cmocka_unit_test(test_director_bounds_flows_to_a_cold_endpoint),
		cmocka_unit_test(test_only_cold_endpoints_refuse_at_once),
		cmocka_unit_test(test_coldness_ages_on_the_way),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
