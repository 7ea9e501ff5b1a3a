/* Tests the choice of endpoints with load reports that are half a second old or
 * older: latency, zone locality, endpoint speed. */
#include "choice_sim.h"
#include "jt_target.h"
#include "jt_load_distribution.h"
#include "jt_feature.h"
#include "jt_zone_choice.h"

enum { SEED = 1, NODES = 24 };

static double sim_mean_ms(const struct sim *sim)
{
	return sim->latency_ms / (double)sim->requests;
}

static double sim_cross_zone_share(const struct sim *sim)
{
	return (double)sim->cross_zone / (double)sim->requests;
}

/* Runs a whole simulation and prints its results. */
static struct sim *sim_run_scenario(double load, uint32_t disabled_features)
{
	struct sim *sim = sim_create(load, SEED, disabled_features);

	sim_run(sim, SIM_END_MS);
	print_message("load %.1f, disabled %#x: mean %.1f ms, late %.2f%%, "
		      "busiest over mean %.2f, slow share %.2f, "
		      "cross-zone %.3f\n",
		      load, disabled_features, sim_mean_ms(sim),
		      100.0 * (double)sim->late / (double)sim->requests,
		      sim_imbalance(sim), sim_slow_share(sim),
		      sim_cross_zone_share(sim));
	assert_int_equal(sim->refused, 0);
	return sim;
}

/* Weighting endpoints by speed lowers latency at any load. */
static void test_endpoint_speed_lowers_latency(void **state)
{
	static const struct {
		double load, max_ratio;
	} cases[] = {{0.3, 0.97}, {0.6, 0.9}, {0.9, 0.6}};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct sim *weighted = sim_run_scenario(cases[i].load, 0);
		struct sim *unweighted = sim_run_scenario(
			cases[i].load, JT_FEATURE_RESPONSE_TIME);

		assert_true(sim_mean_ms(weighted) <
			    sim_mean_ms(unweighted) * cases[i].max_ratio);
		assert_true(weighted->late <= unweighted->late);
		sim_free(weighted);
		sim_free(unweighted);
	}
}

/* At low load slow endpoints get less than a proportional share, without higher
 * latency. */
static void test_fast_endpoints_are_preferred(void **state)
{
	struct sim *preferred = sim_run_scenario(0.3, 0);
	struct sim *proportional =
		sim_run_scenario(0.3, JT_FEATURE_OPTIMAL_LOAD);

	(void)state;
	assert_true(sim_slow_share(preferred) <
		    sim_slow_share(proportional) - 0.03);
	assert_true(sim_mean_ms(preferred) < sim_mean_ms(proportional) * 1.01);
	sim_free(preferred);
	sim_free(proportional);
}

/* Returns an endpoint's relative response time as seen by the nodes, the mean
 * over all. */
static double mean_relative_response_time(const struct sim *sim, uint32_t e)
{
	double total = 0;

	for (size_t n = 0; n < SIM_NODES; n++) {
		const struct jt_incarnation *in = jt_endpoint_table_by_id(
			sim->nodes[n]->director->endpoints, e + 1);

		total += jt_response_ratio_get(&in->response_ratio, SIM_NODES,
					       sim->now_ms);
	}
	return total / SIM_NODES;
}

/* Nodes that see few requests each still learn together which endpoints are
 * fast. */
static void test_nodes_converge_on_endpoint_speed(void **state)
{
	struct sim *sim = sim_run_scenario(0.3, 0);
	double fast = 0, slow = 0;
	unsigned fast_count = 0;

	(void)state;
	for (uint32_t e = 0; e < SIM_ENDPOINTS; e++) {
		if (sim->endpoints[e].speed > 1) {
			fast += mean_relative_response_time(sim, e);
			fast_count++;
		} else {
			slow += mean_relative_response_time(sim, e);
		}
	}
	fast /= fast_count;
	slow /= SIM_ENDPOINTS - fast_count;
	/* Expected 1.2 / 0.55, reduced by network time and by uncertainty. */
	assert_true(slow / fast > 1.4 && slow / fast < 2.4);
	sim_free(sim);
}

/* While all zones have headroom, requests stay in their own zone. */
static void test_own_zone_is_used_below_capacity(void **state)
{
	struct sim *sim = sim_run_scenario(0.3, 0);

	(void)state;
	assert_true(sim_cross_zone_share(sim) < 0.02);
	sim_free(sim);
}

/* Returns the peak load of a zone in any second over the mean of all zones,
 * over @seconds seconds. */
static double zone_imbalance(struct sim *sim, uint64_t seconds)
{
	double peak = 0, total = 0;

	for (uint64_t s = 0; s < seconds; s++) {
		uint64_t zone_requests[SIM_ZONES] = {0};

		for (size_t e = 0; e < SIM_ENDPOINTS; e++)
			sim->endpoints[e].requests = 0;
		sim_run(sim, sim->now_ms + 1000);
		for (size_t e = 0; e < SIM_ENDPOINTS; e++)
			zone_requests[sim->endpoints[e].zone] +=
				sim->endpoints[e].requests;
		for (size_t z = 0; z < SIM_ZONES; z++) {
			total += (double)zone_requests[z];
			peak = fmax(peak, (double)zone_requests[z]);
		}
	}
	return peak * SIM_ZONES * (double)seconds / total;
}

/* An overloaded zone spills to the others, but not so much that these would
 * spill back. */
static void test_zone_spill_does_not_oscillate(void **state)
{
	struct sim *sim = sim_create(0.5, SEED, 0);
	double peak;

	(void)state;
	for (int k = 0; k < 2; k++) {
		sim->kinds[k].zone_demand[0] = 2.2;
		sim->kinds[k].zone_demand[1] = 0.4;
		sim->kinds[k].zone_demand[2] = 0.4;
	}
	sim_run(sim, SIM_WARMUP_MS);
	peak = zone_imbalance(sim, 15);
	print_message("uneven zones: busiest second of a zone over mean %.2f, "
		      "mean %.1f ms, cross-zone %.3f\n",
		      peak, sim_mean_ms(sim), sim_cross_zone_share(sim));
	assert_true(peak < 1.6);
	assert_true(sim_cross_zone_share(sim) > 0.1);
	assert_true(sim_cross_zone_share(sim) < 0.5);
	sim_free(sim);
}

/* A single response of seven times the usual time has little effect. */
static void test_single_slow_response_has_little_effect(void **state)
{
	struct jt_response_ratio ratio = {0};
	struct jt_usual_response_time usual = {0};

	(void)state;
	for (int i = 0; i < 30; i++)
		jt_response_ratio_update(
			&ratio, jt_usual_response_time_update(&usual, 40),
			NODES, 1000);
	jt_response_ratio_update(
		&ratio, jt_usual_response_time_update(&usual, 280), 1, 1000);
	assert_true(jt_response_ratio_get(&ratio, 1, 1000) < 1.8);
	assert_true(jt_usual_response_time_update(&usual, 1e9) < 2.1);
	assert_true(jt_usual_response_time_update(&usual, 0) > -2.1);
}

/* A slow kind of request does not make the endpoint look slow. */
static void test_response_times_are_kept_per_kind(void **state)
{
	struct jt_response_ratio ratio = {0};
	struct jt_usual_response_time fast_kind = {0}, slow_kind = {0};

	(void)state;
	for (int i = 0; i < 100; i++) {
		jt_usual_response_time_update(&fast_kind, 30);
		jt_usual_response_time_update(&slow_kind, 120);
	}
	for (int i = 0; i < 100; i++)
		jt_response_ratio_update(
			&ratio, jt_usual_response_time_update(&slow_kind, 120),
			1, 1000);
	assert_true(jt_response_ratio_get(&ratio, 1, 1000) == 1);
}

/* A reported ratio has the same meaning at the peer; an unknown ratio is
 * reported as 0, and invalid values are bounded. */
static void test_response_ratio_report_round_trip(void **state)
{
	struct jt_response_ratio own = {0}, peer = {0};

	(void)state;
	assert_int_equal(jt_response_ratio_encode(&own, 1000), 0);
	jt_response_ratio_merge(&peer, 0, 1000);
	assert_true(jt_response_ratio_get(&peer, NODES, 1000) == 1);
	for (int i = 0; i < 20; i++)
		jt_response_ratio_update(&own, -0.6, NODES, 1000);
	for (int i = 0; i < 20; i++)
		jt_response_ratio_merge(
			&peer, jt_response_ratio_encode(&own, 1000), 1000);
	assert_true(fabs(jt_response_ratio_get(&peer, NODES, 1000) -
			 jt_response_ratio_get(&own, NODES, 1000)) < 0.01);
	jt_response_ratio_merge(&peer, UINT32_MAX, 1000);
	jt_response_ratio_merge(&peer, 0xffff7fff, 1000);
	assert_true(jt_response_ratio_get(&peer, NODES, 1000) <= 8.1);
}

/* Old measurements expire. */
static void test_response_ratio_expires(void **state)
{
	struct jt_response_ratio ratio = {0};

	(void)state;
	for (int i = 0; i < 20; i++)
		jt_response_ratio_update(&ratio, 1, NODES, 1000);
	assert_true(jt_response_ratio_get(&ratio, NODES, 1000) > 2);
	assert_true(jt_response_ratio_get(&ratio, NODES, 301000) == 1);
}

/* Guards against using the response ratio of a previous incarnation. */
static void test_response_ratio_is_reset_at_restart(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct jt_endpoint_entry restarted =
		make_entry(0x101, SERVICE_BOARD, ZONE_A, 9);
	struct jt_endpoint_load load = {
		.label = jt_flow_label(0x101),
		.response_ratio = 2000u << 16 | 1000,
	};
	struct jt_director_event event = {.kind = JT_DIRECTOR_LOADS};

	(void)state;
	event.u.loads.peer = 7;
	event.u.loads.loads = &load;
	event.u.loads.count = 1;
	fixture_handle(fixture, &event);
	assert_int_equal(
		jt_director_slow_count(fixture->director, fixture->now_ms), 1);
	restarted.start_time_ms = fixture->now_ms;
	fixture_set_entry(fixture, restarted);
	assert_int_equal(
		jt_director_slow_count(fixture->director, fixture->now_ms), 0);
	talloc_free(fixture);
}

/* The delay of clients' delayed acknowledgements is not counted as response
 * time; without such delay nothing is subtracted. */
static void test_delayed_acknowledgements(void **state)
{
	struct jt_usual_response_time delaying = {0}, prompt = {0};
	const struct jt_response delayed = {70, true}, full = {70, false},
				 prompt_response = {25, true};

	(void)state;
	for (int i = 0; i < 50; i++) {
		jt_usual_response_time_correct(&delaying, &delayed);
		jt_usual_response_time_correct(
			&prompt, i % 2 ? &delayed : &prompt_response);
	}
	assert_true(jt_usual_response_time_correct(&delaying, &delayed) == 30);
	assert_true(jt_usual_response_time_correct(&delaying, &full) == 70);
	assert_true(jt_usual_response_time_correct(&prompt, &delayed) == 70);
}

/* Slow endpoints get load only when fast ones are loaded; at the end all are
 * full. */
static void test_optimal_load(void **state)
{
	const struct jt_load_endpoint two[] = {{2, 0.5}, {2, 1.5}};
	double previous_time = 0, marginal_time, total;

	(void)state;
	marginal_time = jt_load_marginal_time(two, 2, 1);
	assert_true(jt_load_optimal(&two[1], marginal_time) < 0.05);
	for (int tenths = 12; tenths < 50; tenths += 2) {
		double demand = tenths / 10.0;

		marginal_time = jt_load_marginal_time(two, 2, demand);
		total = jt_load_optimal(&two[0], marginal_time) +
			jt_load_optimal(&two[1], marginal_time);
		assert_true(fabs(total - demand) < 0.02);
		assert_true(marginal_time > previous_time);
		previous_time = marginal_time;
	}
	assert_true(isinf(jt_load_marginal_time(two, 2, 10)));
	assert_true(jt_load_optimal(&two[0], INFINITY) ==
		    3 * jt_load_optimal(&two[1], INFINITY));
}

/* Zones spill only for a clear difference, never more than without zones, and
 * never in both directions. */
static void test_zone_spill(void **state)
{
	struct jt_target local = {.marginal_time = 2, .slots = 20},
			 remote = {.marginal_time = 1.8, .slots = 40};

	(void)state;
	assert_true(jt_zone_remote_fraction(&local, &remote) == 0);
	local.marginal_time = 5;
	assert_true(jt_zone_remote_fraction(&local, &remote) > 0);
	assert_true(jt_zone_remote_fraction(&remote, &local) == 0);
	local.marginal_time = INFINITY;
	assert_true(fabs(jt_zone_remote_fraction(&local, &remote) - 2 / 3.0) <
		    1e-9);
	remote.marginal_time = INFINITY;
	assert_true(jt_zone_remote_fraction(&local, &remote) == 0);
}

/* While fast endpoints have headroom, a slow one's target is a small part of
 * its ordinary share. */
static void test_slow_endpoint_gets_small_target(void **state)
{
	enum { COUNT = 4, SLOW = COUNT - 1, SLOW_FACTOR = 6 };
	struct jt_service_pool pool = {.service_time_ms = 24};
	struct jt_incarnation endpoints[COUNT] = {0};
	struct jt_incarnation *known[COUNT];
	struct jt_target target = {.nodes = 1,
				   .peer_loads = jt_peer_loads_create(NULL)};

	(void)state;
	for (size_t i = 0; i < COUNT; i++) {
		endpoints[i].entry.capacity = 2;
		endpoints[i].pool = &pool;
		known[i] = &endpoints[i];
		jt_recent_load_add(&endpoints[i].recent_load, 10, 1000);
		for (int k = 0; k < 24; k++)
			jt_response_ratio_update(
				&endpoints[i].response_ratio,
				i == SLOW ? log(SLOW_FACTOR) : 0, 1, 1000);
	}
	jt_target_compute(&target, known, SLOW, 1000);
	assert_true(jt_target_relative_load(&target, &endpoints[0], 1000) >
		    0.99);
	assert_true(jt_target_relative_load(&target, &endpoints[SLOW], 1000) <
		    1.0 / SLOW_FACTOR);
	talloc_free(target.peer_loads);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_slow_endpoint_gets_small_target),
		cmocka_unit_test(test_endpoint_speed_lowers_latency),
		cmocka_unit_test(test_fast_endpoints_are_preferred),
		cmocka_unit_test(test_nodes_converge_on_endpoint_speed),
		cmocka_unit_test(test_own_zone_is_used_below_capacity),
		cmocka_unit_test(test_zone_spill_does_not_oscillate),
		cmocka_unit_test(test_single_slow_response_has_little_effect),
		cmocka_unit_test(test_response_times_are_kept_per_kind),
		cmocka_unit_test(test_response_ratio_report_round_trip),
		cmocka_unit_test(test_response_ratio_expires),
		cmocka_unit_test(test_response_ratio_is_reset_at_restart),
		cmocka_unit_test(test_delayed_acknowledgements),
		cmocka_unit_test(test_optimal_load),
		cmocka_unit_test(test_zone_spill),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
