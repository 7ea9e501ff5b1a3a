/* Tests admission control under overload: nodes and a simple service as a
 * closed loop in virtual time. The checks are on what clients get. */
#include "admission_model.h"
#include "director_fixture.h"
#include "jt_concurrency_limit.h"
#include "jt_in_flight.h"

enum { SETTLED_MS = 3000, RUN_MS = 10000 };

/* Minimum utilisation of the slots under overload. */
static const double min_utilisation = 0.85;
/* Bounds for requests that an endpoint accepted. */
static const double min_in_target = 0.97;
static const double max_rejected = 0.05;
static const double floor_share = 0.05;

static unsigned sum_kinds(const struct model *model, size_t offset)
{
	const char *urgent = (const char *)&model->kinds[0];
	const char *other = (const char *)&model->kinds[1];

	return *(const unsigned *)(urgent + offset) +
	       *(const unsigned *)(other + offset);
}

#define SUM_KINDS(model, field)                                                \
	sum_kinds(model, offsetof(struct model_counters, field))

/* Asserts that slots are utilised and accepted requests meet the target. */
static void assert_efficient(const struct model *model)
{
	unsigned in_target = SUM_KINDS(model, in_target),
		 late = SUM_KINDS(model, late);
	unsigned rejected = SUM_KINDS(model, rejected);

	assert_true(model_utilisation(model) >= min_utilisation);
	assert_true(model_ratio(in_target, in_target + late) >= min_in_target);
	assert_true(model_ratio(rejected, in_target + late + rejected) <=
		    max_rejected);
}

static double served_share(const struct model *model, unsigned kind)
{
	return model_ratio(model->kinds[kind].in_target,
			   model->kinds[kind].arrived);
}

/* Urgent requests get the capacity, the others the rest. */
static void test_overload_serves_urgent_routes_first(void **state)
{
	const double demands[] = {1.2, 2, 5};

	(void)state;
	for (size_t i = 0; i < sizeof(demands) / sizeof(demands[0]); i++) {
		struct model *model = model_create();
		double urgent = demands[i] * model->urgent_share;
		double achievable = urgent > 1 ? 1 / urgent : 1;

		model_run(model, demands[i], SETTLED_MS);
		model_reset_counters(model);
		model_run(model, demands[i], RUN_MS);
		assert_true(served_share(model, 0) >=
			    0.9 * achievable * (1 - floor_share));
		assert_efficient(model);
		/* The rest of the capacity, less the idle time of the slots. */
		if (urgent < 1)
			assert_true(served_share(model, 1) * demands[i] *
					    (1 - model->urgent_share) >=
				    min_utilisation - urgent);
		talloc_free(model);
	}
}

/* Lower-priority requests get their floor at any urgent demand. */
static void test_lower_priority_keeps_its_floor(void **state)
{
	struct model *model = model_create();
	double share;

	(void)state;
	model->urgent_share = 0.9;
	model_run(model, 5, SETTLED_MS);
	model_reset_counters(model);
	model_run(model, 5, RUN_MS);
	share = model_ratio(model->kinds[1].in_target,
			    SUM_KINDS(model, in_target));
	assert_true(share >= floor_share / 2);
	assert_true(share <= floor_share * 2);
	talloc_free(model);
}

/* Without a floor they get nothing while urgent demand exceeds capacity. */
static void test_floor_is_a_setting(void **state)
{
	struct model *model = model_create();

	(void)state;
	model->options.admission_floor_permille = 0;
	for (unsigned i = 0; i < MODEL_NODES; i++)
		model_restart_node(model, i);
	model->urgent_share = 0.9;
	model_run(model, 5, SETTLED_MS);
	model_reset_counters(model);
	model_run(model, 5, RUN_MS);
	assert_true(served_share(model, 1) < 0.01);
	talloc_free(model);
}

static void test_demand_doubles(void **state)
{
	struct model *model = model_create();

	(void)state;
	model_run(model, 2, SETTLED_MS);
	model_reset_counters(model);
	model_run(model, 4, 1000);
	assert_efficient(model);
	talloc_free(model);
}

/* Admission settles within a second after a change from low load to overload.
 */
static void test_overload_after_normal_load(void **state)
{
	struct model *model = model_create();

	(void)state;
	model_run(model, 0.3, SETTLED_MS);
	model_run(model, 2, 1000);
	model_reset_counters(model);
	model_run(model, 2, 2000);
	assert_true(served_share(model, 0) >= 0.9);
	assert_efficient(model);
	talloc_free(model);
}

/* A node with half of all demand serves its clients about as well as the
 * others. */
static void test_node_with_half_of_the_demand(void **state)
{
	struct model *model = model_create();
	double lowest = 1, highest = 0;

	(void)state;
	for (unsigned i = 0; i < MODEL_NODES; i++)
		model->shares[i] = i == 0 ? 0.5 : 0.5 / (MODEL_NODES - 1);
	model->attempts = 1;
	model_run(model, 2, 2 * SETTLED_MS);
	model_reset_counters(model);
	model_run(model, 2, RUN_MS);
	for (unsigned i = 0; i < MODEL_NODES; i++) {
		double share = 1 - model_ratio(model->per_node[i].refused,
					       model->per_node[i].arrived);

		lowest = share < lowest ? share : lowest;
		highest = share > highest ? share : highest;
	}
	assert_true(highest - lowest <= 0.3);
	assert_efficient(model);
	talloc_free(model);
}

static void test_half_of_the_nodes_restart(void **state)
{
	struct model *model = model_create();

	(void)state;
	model_run(model, 2, SETTLED_MS);
	for (unsigned i = 0; i < MODEL_NODES; i += 2)
		model_restart_node(model, i);
	model_run(model, 2, 1000);
	model_reset_counters(model);
	model_run(model, 2, RUN_MS);
	assert_true(served_share(model, 0) >= 0.9);
	assert_efficient(model);
	talloc_free(model);
}

static void test_half_of_the_endpoints_are_removed(void **state)
{
	struct model *model = model_create();

	(void)state;
	model_run(model, 0.8, SETTLED_MS);
	for (unsigned i = 0; i < MODEL_ENDPOINTS; i += 2)
		model_remove_endpoint(model, i);
	model_run(model, 0.8, 1500);
	model_reset_counters(model);
	model_run(model, 0.8, RUN_MS);
	assert_true(served_share(model, 0) >= 0.9);
	assert_efficient(model);
	talloc_free(model);
}

static void test_sufficient_capacity_refuses_no_client(void **state)
{
	const double demands[] = {0.05, 0.3, 0.7};

	(void)state;
	for (size_t i = 0; i < sizeof(demands) / sizeof(demands[0]); i++) {
		struct model *model = model_create();

		model_run(model, demands[i], RUN_MS);
		assert_int_equal(SUM_KINDS(model, refused), 0);
		assert_int_equal(model->limits_started, 0);
		talloc_free(model);
	}
}

/* Slow endpoints cause no refusals while slots are free. */
static void test_slow_endpoints_refuse_no_client(void **state)
{
	struct model *model = model_create();

	(void)state;
	model->endpoints[0].slowdown = 8;
	model_run(model, 0.5, RUN_MS);
	assert_int_equal(SUM_KINDS(model, refused), 0);
	talloc_free(model);
	model = model_create();
	for (unsigned i = 0; i < MODEL_ENDPOINTS; i++)
		model->endpoints[i].slowdown = 4;
	model_run(model, 0.07, RUN_MS);
	assert_int_equal(SUM_KINDS(model, refused), 0);
	talloc_free(model);
}

/* Long waits alone cause no refusals while endpoints accept requests. */
static void test_slow_responses_below_capacity_refuse_no_client(void **state)
{
	struct model *model = model_create();

	(void)state;
	for (unsigned i = 0; i < MODEL_ENDPOINTS; i++)
		model->endpoints[i].slowdown = 2;
	model_run(model, 0.46, SETTLED_MS);
	model_reset_counters(model);
	model_run(model, 0.46, RUN_MS);
	assert_int_equal(SUM_KINDS(model, refused), 0);
	assert_int_equal(model->limits_started, 0);
	talloc_free(model);
}

/* Open flows stay at endpoints that have become slow; the fastest responses
 * show that new flows find capacity. */
static void test_open_flows_at_slow_endpoints_refuse_no_client(void **state)
{
	const struct jt_limit_service service = {
		.target_ms = 400, .slots = 10, .nodes = 1};
	struct jt_concurrency_limit limit = {0};
	uint64_t now_ms = 100000;

	(void)state;
	for (int step = 0; step < 50; step++, now_ms += 100) {
		for (int i = 0; i < 20; i++) {
			bool slow = step >= 20 && i % 5 < 3;

			jt_concurrency_limit_begun(&limit);
			jt_concurrency_limit_answered(&limit, slow ? 350 : 50,
						      800);
		}
		assert_int_equal(
			jt_concurrency_limit_step(&limit, &service, now_ms),
			JT_LIMIT_SAME);
	}
	/* When all responses are slow the limit becomes active. */
	for (int i = 0; i < 20; i++) {
		jt_concurrency_limit_begun(&limit);
		jt_concurrency_limit_answered(&limit, 350, 800);
	}
	assert_int_equal(jt_concurrency_limit_step(&limit, &service, now_ms),
			 JT_LIMIT_BEGAN);
}

/* Requests on open flows are slow, first requests of new flows are fast: no
 * client is refused, though only one request in ten is a first one. */
static void test_requests_on_open_flows_refuse_no_new_flows(void **state)
{
	struct model *model = model_create();
	struct jt_admission *admission = model->nodes[0];
	const struct jt_route *route = &model->routing->routes[0];

	(void)state;
	for (int step = 0; step < 50; step++, model->now_ms += 100) {
		for (int i = 0; i < 60; i++) {
			bool first_request = i % 10 == 0;
			uint64_t latency_ms =
				first_request ? 25 : MODEL_TARGET_MS;

			assert_true(!first_request ||
				    jt_admission_request(admission, route,
							 model->now_ms)
					    .admitted);
			jt_admission_requested(admission, MODEL_SERVICE,
					       model->now_ms);
			jt_admission_answered(admission, MODEL_SERVICE,
					      model->now_ms - latency_ms,
					      MODEL_BYTES, first_request,
					      model->now_ms);
		}
		jt_admission_tick(admission, model->table, 1, model->now_ms,
				  model_on_limit_change, model);
	}
	assert_int_equal(model->limits_started, 0);
	talloc_free(model);
}

/* Refusals end within 200 ms after the overload. */
static void test_end_of_overload(void **state)
{
	struct model *model = model_create();

	(void)state;
	model_run(model, 5, SETTLED_MS);
	model_run(model, 0.3, 200);
	model_reset_counters(model);
	model_run(model, 0.3, RUN_MS);
	assert_int_equal(SUM_KINDS(model, refused), 0);
	talloc_free(model);
}

/* Clients that retry at once and many times change little for urgent requests.
 */
static void test_clients_that_retry_persistently(void **state)
{
	struct model *model = model_create();

	(void)state;
	model->attempts = 50;
	model_run(model, 2, SETTLED_MS);
	model_reset_counters(model);
	model_run(model, 2, RUN_MS);
	assert_true(served_share(model, 0) >= 0.9);
	assert_efficient(model);
	talloc_free(model);
}

/* Three routes with low demand get all of it; the fourth gets the rest. */
static void test_heavy_route_takes_nothing_from_others(void **state)
{
	struct model *model = model_create();

	(void)state;
	model->urgent_share = 0;
	model->heavy_share = 0.9;
	model_run(model, 4, SETTLED_MS);
	model_reset_counters(model);
	model_run(model, 4, RUN_MS);
	/* Each of the three demands 0.13 of the total capacity. */
	for (unsigned i = 1; i < MODEL_GROUPS; i++)
		assert_true(model_ratio(model->groups[i].in_target,
					model->groups[i].arrived) >= 0.9);
	assert_true(model_ratio(model->groups[0].in_target,
				model->groups[0].arrived) >= 0.9 * 0.6 / 3.6);
	assert_efficient(model);
	talloc_free(model);
}

/* All routes exceed their share: each gets the same. */
static void test_overloaded_routes_share_evenly(void **state)
{
	struct model *model = model_create();
	unsigned lowest = UINT32_MAX, highest = 0;

	(void)state;
	model->urgent_share = 0;
	model->heavy_share = 0.55;
	model_run(model, 4, SETTLED_MS);
	model_reset_counters(model);
	model_run(model, 4, RUN_MS);
	for (unsigned i = 0; i < MODEL_GROUPS; i++) {
		unsigned done = model->groups[i].in_target;

		lowest = done < lowest ? done : lowest;
		highest = done > highest ? done : highest;
	}
	assert_true(model_ratio(lowest, highest) >= 0.7);
	assert_efficient(model);
	talloc_free(model);
}

/* Requests whose end is not seen are counted until the horizon only. */
static void test_in_flight_requests_expire(void **state)
{
	struct jt_in_flight flight;

	(void)state;
	jt_in_flight_init(&flight, 200);
	jt_in_flight_begin(&flight, 1000);
	jt_in_flight_begin(&flight, 1100);
	assert_int_equal(jt_in_flight_count(&flight, 1150), 2);
	jt_in_flight_end(&flight, 1100, 1150);
	assert_int_equal(jt_in_flight_count(&flight, 1150), 1);
	assert_int_equal(jt_in_flight_count(&flight, 1250), 0);
	/* The end of an expired request is ignored. */
	jt_in_flight_end(&flight, 1000, 1250);
	assert_int_equal(jt_in_flight_count(&flight, 1250), 0);
	jt_in_flight_begin(&flight, 100000);
	assert_int_equal(jt_in_flight_count(&flight, 100010), 1);
}

/* Admission applies only to services whose routes differ in priority and have a
 * target. */
static void test_services_subject_to_admission(void **state)
{
	const struct {
		uint32_t priority;
		uint32_t target_ms;
		bool controlled;
	} cases[] = {{2, 300, true}, {1, 300, false}, {2, 0, false}};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct model *model = model_create();
		struct jt_admission_view view;

		for (int k = 1; k <= MODEL_GROUPS; k++) {
			model->routing->routes[k].priority = cases[i].priority;
			model->routing->routes[k].target_ms =
				cases[i].target_ms;
		}
		model_restart_node(model, 0);
		assert_int_equal(
			jt_admission_view_at(model->nodes[0], 0, &view),
			cases[i].controlled);
		talloc_free(model);
	}
}

/* Snapshots to peers hold the routes' targets and priorities. */
static void test_target_reaches_peers(void **state)
{
	struct fixture *fixture = fixture_create(0);
	struct model *model = model_create();
	struct jt_director_event event = {.kind = JT_DIRECTOR_ROUTING};
	struct jt_snapshot_request request = {0};
	struct jt_routing *routing;
	jt_wire_snapshot snapshot;

	(void)state;
	event.u.routing = model->routing;
	fixture_handle(fixture, &event);
	fixture_end_listing(fixture, 1);
	assert_true(jt_snapshot_write(fixture, fixture->director, &request,
				      fixture->now_ms, &snapshot));
	routing = jt_snapshot_read_routing(fixture, &snapshot.routing);
	assert_int_equal(routing->routes[0].target_ms, MODEL_TARGET_MS);
	assert_int_equal(routing->routes[0].priority, 1);
	talloc_free(fixture);
	talloc_free(model);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_overload_serves_urgent_routes_first),
		cmocka_unit_test(test_lower_priority_keeps_its_floor),
		cmocka_unit_test(test_floor_is_a_setting),
		cmocka_unit_test(test_demand_doubles),
		cmocka_unit_test(test_overload_after_normal_load),
		cmocka_unit_test(test_node_with_half_of_the_demand),
		cmocka_unit_test(test_half_of_the_nodes_restart),
		cmocka_unit_test(test_half_of_the_endpoints_are_removed),
		cmocka_unit_test(test_sufficient_capacity_refuses_no_client),
		cmocka_unit_test(test_slow_endpoints_refuse_no_client),
		cmocka_unit_test(
			test_slow_responses_below_capacity_refuse_no_client),
		cmocka_unit_test(
			test_open_flows_at_slow_endpoints_refuse_no_client),
		cmocka_unit_test(
			test_requests_on_open_flows_refuse_no_new_flows),
		cmocka_unit_test(test_end_of_overload),
		cmocka_unit_test(test_clients_that_retry_persistently),
		cmocka_unit_test(test_heavy_route_takes_nothing_from_others),
		cmocka_unit_test(test_overloaded_routes_share_evenly),
		cmocka_unit_test(test_in_flight_requests_expire),
		cmocka_unit_test(test_services_subject_to_admission),
		cmocka_unit_test(test_target_reaches_peers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
