/* Tests the limit on new flows that all nodes together send to a cold endpoint.
 */
#include "director_fixture.h"

#include "jt_flow_rate.h"
#include "jt_endpoint_table.h"

enum {
	NODES_MAX = 300,
	STEP_MS = 10,
	WINDOW_MS = 1000,
	RUN_MS = 12000,
	SETTLED_MS = 3000,
	COLD_ID = 0x5eed,
	ASSIGNED_MAX = 100000,
};

/* Nodes that all have flows for the same cold endpoint at all times. */
struct cluster {
	struct jt_flow_rate *rates[NODES_MAX];
	struct jt_incarnation views[NODES_MAX];
	size_t nodes;
	uint64_t assigned_ms[ASSIGNED_MAX];
	size_t assigned;
};

static uint64_t node_id(size_t node)
{
	return 0x9e3779b97f4a7c15ull * (node + 1);
}

/* Sets the peers of @node to the @count nodes from @first on. */
static void cluster_set_peers(struct cluster *cluster, size_t node,
			      size_t first, size_t count, uint64_t now_ms)
{
	uint64_t peers[NODES_MAX];
	size_t known = 0;

	for (size_t i = first; i < first + count; i++) {
		if (i != node)
			peers[known++] = node_id(i);
	}
	jt_flow_rate_nodes(cluster->rates[node], node_id(node), peers, known,
			   now_ms);
}

static struct cluster *cluster_create(size_t nodes, uint32_t overshoot_permille,
				      uint32_t slack)
{
	struct cluster *cluster = talloc_zero(NULL, struct cluster);
	struct jt_director_options options;

	jt_director_options_init(&options);
	options.cold_overshoot_permille = overshoot_permille;
	options.cold_slack = slack;
	cluster->nodes = nodes;
	for (size_t i = 0; i < nodes; i++) {
		cluster->rates[i] = jt_flow_rate_create(cluster, &options);
		cluster->views[i].entry.id = COLD_ID;
		cluster->views[i].cold_until_ms = UINT64_MAX;
		cluster_set_peers(cluster, i, 0, nodes, 1);
	}
	return cluster;
}

static bool cluster_allows(const struct cluster *cluster, size_t node,
			   uint32_t permille, uint64_t now_ms)
{
	uint32_t per_s = jt_flow_rate_cold(
		cluster->rates[node], &cluster->views[node], permille, now_ms);

	return jt_flow_rate_allows(cluster->rates[node], &cluster->views[node],
				   per_s, now_ms);
}

static void cluster_assign(struct cluster *cluster, size_t node,
			   uint32_t permille, uint64_t now_ms)
{
	uint32_t per_s = jt_flow_rate_cold(
		cluster->rates[node], &cluster->views[node], permille, now_ms);

	jt_flow_rate_given(cluster->rates[node], &cluster->views[node], per_s,
			   now_ms);
	assert_true(cluster->assigned < ASSIGNED_MAX);
	cluster->assigned_ms[cluster->assigned++] = now_ms;
}

static void cluster_run(struct cluster *cluster, uint32_t permille,
			uint64_t from_ms, uint64_t to_ms)
{
	for (uint64_t now_ms = from_ms; now_ms < to_ms; now_ms += STEP_MS) {
		for (size_t i = 0; i < cluster->nodes; i++) {
			if (cluster_allows(cluster, i, permille, now_ms))
				cluster_assign(cluster, i, permille, now_ms);
		}
	}
}

/* Returns the most flows assigned within one second. */
static size_t cluster_peak_rate(const struct cluster *cluster)
{
	size_t peak = 0;

	for (size_t i = 0; i < cluster->assigned; i++) {
		size_t j = i;

		while (j < cluster->assigned &&
		       cluster->assigned_ms[j] <=
			       cluster->assigned_ms[i] + WINDOW_MS)
			j++;
		if (j - i > peak)
			peak = j - i;
	}
	return peak;
}

static void test_limit_holds_for_any_number_of_nodes(void **state)
{
	static const size_t nodes[] = {1, 2, 3, 7, 74, 300};
	static const uint32_t rates_per_s[] = {1, 2, 4, 8};

	(void)state;
	for (size_t n = 0; n < sizeof(nodes) / sizeof(nodes[0]); n++) {
		for (size_t b = 0;
		     b < sizeof(rates_per_s) / sizeof(rates_per_s[0]); b++) {
			struct cluster *cluster =
				cluster_create(nodes[n], 1500, 5);

			cluster_run(cluster, rates_per_s[b] * 1000,
				    SETTLED_MS + 1, SETTLED_MS + RUN_MS);
			assert_true(cluster_peak_rate(cluster) <=
				    rates_per_s[b] * 3 / 2 + 5);
			/* At least half of the limit, so that it warms up. */
			assert_true(cluster->assigned >=
				    rates_per_s[b] * RUN_MS / WINDOW_MS / 2);
			talloc_free(cluster);
		}
	}
}

/* In a network partition each side takes the other for failed. */
static void test_limit_holds_in_a_network_partition(void **state)
{
	struct cluster *cluster = cluster_create(74, 1500, 5);

	(void)state;
	for (size_t i = 0; i < 74; i++)
		cluster_set_peers(cluster, i, i < 40 ? 0 : 40, i < 40 ? 40 : 34,
				  2);
	cluster_run(cluster, 4000, SETTLED_MS + 2, SETTLED_MS + RUN_MS);
	assert_true(cluster_peak_rate(cluster) <= 11);
	talloc_free(cluster);
}

/* Nodes join and fail, and learn of it at different times. */
static void test_limit_holds_during_membership_changes(void **state)
{
	struct cluster *cluster = cluster_create(74, 1500, 5);

	(void)state;
	for (uint64_t second = 0; second < 12; second++) {
		uint64_t now_ms = SETTLED_MS + 1 + second * WINDOW_MS;

		for (size_t i = 0; i < 74; i++)
			cluster_set_peers(cluster, i, (i + second) % 3 * 5, 50,
					  now_ms);
		cluster_run(cluster, 4000, now_ms, now_ms + WINDOW_MS);
	}
	assert_true(cluster_peak_rate(cluster) <= 11);
	talloc_free(cluster);
}

/* A node that has just started does not know enough peers to compute its share.
 */
static void test_starting_node_assigns_no_cold_flows(void **state)
{
	struct cluster *cluster = cluster_create(74, 1500, 5);

	(void)state;
	cluster_run(cluster, 4000, 1, SETTLED_MS);
	assert_int_equal(cluster->assigned, 0);
	talloc_free(cluster);
}

static void test_warm_or_unlimited_endpoints_get_any_number(void **state)
{
	struct cluster *cluster = cluster_create(1, 1000, 0);

	(void)state;
	assert_true(cluster_allows(cluster, 0, 0, 1));
	cluster->views[0].cold_until_ms = 500;
	assert_true(cluster_allows(cluster, 0, 2000, 500));
	assert_false(cluster_allows(cluster, 0, 2000, 499));
	talloc_free(cluster);
}

static void fixture_set_cold_limit(struct fixture *fixture, uint32_t permille)
{
	const struct jt_routed_service service = {.id = SERVICE_BOARD,
						  .cold_permille = permille};

	fixture_set_service(fixture, &service);
}

/* Opens 40 new flows within half a second; returns how many went to the cold
 * endpoint. */
static unsigned count_flows_to_cold(unsigned injected_fault)
{
	struct fixture *fixture = fixture_with_two_endpoints(injected_fault);
	struct jt_endpoint_entry cold =
		make_entry(0x103, SERVICE_BOARD, ZONE_A, 20);
	unsigned placed;

	fixture_set_cold_limit(fixture, 2000);
	cold.cold_left_ms = 5000;
	fixture_set_entry(fixture, cold);
	placed = count_flows_to(fixture, 40, 0x103);
	talloc_free(fixture);
	return placed;
}

static void test_director_bounds_flows_to_a_cold_endpoint(void **state)
{
	(void)state;
	assert_true(count_flows_to_cold(0) <= 1);
	assert_true(count_flows_to_cold(JT_DIRECTOR_BREAK_COLD) > 2);
}

static void test_only_cold_endpoints_reset_new_flows(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct client_flow flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);
	const struct jt_director_action *reset;

	(void)state;
	fixture_set_cold_limit(fixture, 2000);
	for (uint64_t id = 0x101; id <= 0x102; id++) {
		struct jt_endpoint_entry cold =
			make_entry(id, SERVICE_BOARD, ZONE_A, 20 + id);

		cold.cold_left_ms = 5000;
		fixture_set_entry(fixture, cold);
	}
	(void)count_flows_to(fixture, 0, 0);
	for (int i = 0; i < 3; i++) {
		flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);
		(void)flow_send_syn(fixture, &flow);
	}
	reset = fixture_find_action(fixture, JT_DIRECTOR_RESET);
	assert_non_null(reset);
	assert_int_equal(reset->reason, JT_DIRECTOR_COLD);
	talloc_free(fixture);
}

/* The slow start time in a snapshot is reduced by the entry's age. */
static void test_slow_start_time_ages_in_transit(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct jt_endpoint_entry cold =
		make_entry(0x103, SERVICE_BOARD, ZONE_A, 20);
	jt_wire_knowledge snapshot;

	(void)state;
	cold.cold_left_ms = 2000;
	fixture_set_entry(fixture, cold);
	assert_true(jt_knowledge_write(
		fixture, fixture->director,
		&(struct jt_knowledge_need){.since = 19, .version = 1},
		fixture->now_ms + 1500, &snapshot));
	assert_int_equal(snapshot.entries.entries_len, 1);
	assert_int_equal(snapshot.entries.entries_val[0].cold_left_ms, 500);
	assert_true(jt_knowledge_write(
		fixture, fixture->director,
		&(struct jt_knowledge_need){.since = 19, .version = 1},
		fixture->now_ms + 2500, &snapshot));
	assert_int_equal(snapshot.entries.entries_val[0].cold_left_ms, 0);
	talloc_free(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_limit_holds_for_any_number_of_nodes),
		cmocka_unit_test(test_limit_holds_in_a_network_partition),
		cmocka_unit_test(test_limit_holds_during_membership_changes),
		cmocka_unit_test(test_starting_node_assigns_no_cold_flows),
		cmocka_unit_test(
			test_warm_or_unlimited_endpoints_get_any_number),
		cmocka_unit_test(test_director_bounds_flows_to_a_cold_endpoint),
		cmocka_unit_test(test_only_cold_endpoints_reset_new_flows),
		cmocka_unit_test(test_slow_start_time_ages_in_transit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
