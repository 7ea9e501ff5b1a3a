/* Who gets room when there is too little: closed loops of nodes and a simple
 * service in virtual time. What is checked is what callers get. */
#include "admission_model.h"
#include "director_fixture.h"
#include "jt_concurrency_limit.h"
#include "jt_in_flight.h"

enum { SETTLED_MS = 3000, RUN_MS = 10000 };

/* Of what can be done within the aim, work at every moment. */
static const double busy_least = 0.85;
/* Of those that found a place at an endpoint. */
static const double in_aim_least = 0.97;
static const double shed_most = 0.05;
static const double floor_part = 0.05;

static unsigned both(const struct model *model, size_t offset)
{
	const char *urgent = (const char *)&model->kinds[0];
	const char *other = (const char *)&model->kinds[1];

	return *(const unsigned *)(urgent + offset) +
	       *(const unsigned *)(other + offset);
}

#define BOTH(model, field) both(model, offsetof(struct model_tally, field))

/* Slots are kept at work, and what is placed is done in time. */
static void assert_well_used(const struct model *model)
{
	unsigned in_aim = BOTH(model, in_aim), late = BOTH(model, late);
	unsigned shed = BOTH(model, shed);

	assert_true(model_busy(model) >= busy_least);
	assert_true(model_part(in_aim, in_aim + late) >= in_aim_least);
	assert_true(model_part(shed, in_aim + late + shed) <= shed_most);
}

static double served(const struct model *model, unsigned kind)
{
	return model_part(model->kinds[kind].in_aim, model->kinds[kind].asked);
}

/* Urgent ones get what capacity allows, the others what is left. */
static void test_overload_serves_the_urgent_first(void **state)
{
	const double demands[] = {1.2, 2, 5};

	(void)state;
	for (size_t i = 0; i < sizeof(demands) / sizeof(demands[0]); i++) {
		struct model *model = model_create();
		double urgent = demands[i] * model->urgent_part;
		double possible = urgent > 1 ? 1 / urgent : 1;

		model_run(model, demands[i], SETTLED_MS);
		model_count_anew(model);
		model_run(model, demands[i], RUN_MS);
		assert_true(served(model, 0) >=
			    0.9 * possible * (1 - floor_part));
		assert_well_used(model);
		/* What is left, but for what the slots were idle. */
		if (urgent < 1)
			assert_true(served(model, 1) * demands[i] *
					    (1 - model->urgent_part) >=
				    busy_least - urgent);
		talloc_free(model);
	}
}

/* However many urgent ones come, the others get their floor. */
static void test_less_urgent_do_not_starve(void **state)
{
	struct model *model = model_create();
	double part;

	(void)state;
	model->urgent_part = 0.9;
	model_run(model, 5, SETTLED_MS);
	model_count_anew(model);
	model_run(model, 5, RUN_MS);
	part = model_part(model->kinds[1].in_aim, BOTH(model, in_aim));
	assert_true(part >= floor_part / 2);
	assert_true(part <= floor_part * 2);
	talloc_free(model);
}

/* Without a floor they get nothing while the urgent want all. */
static void test_floor_is_a_setting(void **state)
{
	struct model *model = model_create();

	(void)state;
	model->options.admission_floor_permille = 0;
	for (unsigned i = 0; i < MODEL_NODES; i++)
		model_node_start(model, i);
	model->urgent_part = 0.9;
	model_run(model, 5, SETTLED_MS);
	model_count_anew(model);
	model_run(model, 5, RUN_MS);
	assert_true(served(model, 1) < 0.01);
	talloc_free(model);
}

static void test_demand_doubles_at_once(void **state)
{
	struct model *model = model_create();

	(void)state;
	model_run(model, 2, SETTLED_MS);
	model_count_anew(model);
	model_run(model, 4, 1000);
	assert_well_used(model);
	talloc_free(model);
}

/* From room for all to far too little: settled within a second. */
static void test_overload_from_a_normal_day(void **state)
{
	struct model *model = model_create();

	(void)state;
	model_run(model, 0.3, SETTLED_MS);
	model_run(model, 2, 1000);
	model_count_anew(model);
	model_run(model, 2, 2000);
	assert_true(served(model, 0) >= 0.9);
	assert_well_used(model);
	talloc_free(model);
}

/* A node with half of all demand serves its callers about as well as others
 * serve theirs. */
static void test_node_with_half_of_the_demand(void **state)
{
	struct model *model = model_create();
	double least = 1, most = 0;

	(void)state;
	for (unsigned i = 0; i < MODEL_NODES; i++)
		model->shares[i] = i == 0 ? 0.5 : 0.5 / (MODEL_NODES - 1);
	model->tries = 1;
	model_run(model, 2, 2 * SETTLED_MS);
	model_count_anew(model);
	model_run(model, 2, RUN_MS);
	for (unsigned i = 0; i < MODEL_NODES; i++) {
		double part = 1 - model_part(model->at[i].refused,
					     model->at[i].asked);

		least = part < least ? part : least;
		most = part > most ? part : most;
	}
	assert_true(most - least <= 0.3);
	assert_well_used(model);
	talloc_free(model);
}

static void test_half_of_the_nodes_start_anew(void **state)
{
	struct model *model = model_create();

	(void)state;
	model_run(model, 2, SETTLED_MS);
	for (unsigned i = 0; i < MODEL_NODES; i += 2)
		model_node_start(model, i);
	model_run(model, 2, 1000);
	model_count_anew(model);
	model_run(model, 2, RUN_MS);
	assert_true(served(model, 0) >= 0.9);
	assert_well_used(model);
	talloc_free(model);
}

static void test_endpoints_are_halved(void **state)
{
	struct model *model = model_create();

	(void)state;
	model_run(model, 0.8, SETTLED_MS);
	for (unsigned i = 0; i < MODEL_ENDPOINTS; i += 2)
		model_endpoint_leave(model, i);
	model_run(model, 0.8, 1500);
	model_count_anew(model);
	model_run(model, 0.8, RUN_MS);
	assert_true(served(model, 0) >= 0.9);
	assert_well_used(model);
	talloc_free(model);
}

static void test_room_for_all_refuses_nobody(void **state)
{
	const double demands[] = {0.05, 0.3, 0.7};

	(void)state;
	for (size_t i = 0; i < sizeof(demands) / sizeof(demands[0]); i++) {
		struct model *model = model_create();

		model_run(model, demands[i], RUN_MS);
		assert_int_equal(BOTH(model, refused), 0);
		assert_int_equal(model->began, 0);
		talloc_free(model);
	}
}

/* Nor does it when an endpoint is slow, or all are in a part of the load that
 * leaves slots free. */
static void test_slow_endpoints_refuse_nobody(void **state)
{
	struct model *model = model_create();

	(void)state;
	model->endpoints[0].slowness = 8;
	model_run(model, 0.5, RUN_MS);
	assert_int_equal(BOTH(model, refused), 0);
	talloc_free(model);
	model = model_create();
	for (unsigned i = 0; i < MODEL_ENDPOINTS; i++)
		model->endpoints[i].slowness = 4;
	model_run(model, 0.07, RUN_MS);
	assert_int_equal(BOTH(model, refused), 0);
	talloc_free(model);
}

/* Answers wait long, but endpoints take what they get: nobody is refused for
 * that, since a late answer serves its caller better than none. */
static void test_waiting_at_endpoints_with_room_refuses_nobody(void **state)
{
	struct model *model = model_create();

	(void)state;
	for (unsigned i = 0; i < MODEL_ENDPOINTS; i++)
		model->endpoints[i].slowness = 2;
	model_run(model, 0.46, SETTLED_MS);
	model_count_anew(model);
	model_run(model, 0.46, RUN_MS);
	assert_int_equal(BOTH(model, refused), 0);
	assert_int_equal(model->began, 0);
	talloc_free(model);
}

/* Open flows are bound to endpoints that have turned slow; new ones find room
 * elsewhere, as the quickest answers show. */
static void test_open_flows_at_slow_endpoints_refuse_nobody(void **state)
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
	/* All waiting is another thing. */
	for (int i = 0; i < 20; i++) {
		jt_concurrency_limit_begun(&limit);
		jt_concurrency_limit_answered(&limit, 350, 800);
	}
	assert_int_equal(jt_concurrency_limit_step(&limit, &service, now_ms),
			 JT_LIMIT_BEGAN);
}

/* All requests on open flows wait long at the endpoints that these have, and
 * first ones of new flows meet free slots: nobody is refused, though only one
 * request in ten is a first one. */
static void test_bound_requests_refuse_no_new_flows(void **state)
{
	struct model *model = model_create();
	struct jt_admission *admission = model->nodes[0];
	const struct jt_route *route = &model->routing->routes[0];

	(void)state;
	for (int step = 0; step < 50; step++, model->now_ms += 100) {
		for (int i = 0; i < 60; i++) {
			bool placed = i % 10 == 0;
			uint64_t took_ms = placed ? 25 : MODEL_AIM_MS;

			assert_true(!placed ||
				    jt_admission_ask(admission, route,
						     model->now_ms)
					    .admitted);
			jt_admission_requested(admission, MODEL_SERVICE,
					       model->now_ms);
			jt_admission_answered(admission, MODEL_SERVICE,
					      model->now_ms - took_ms,
					      MODEL_BYTES, placed,
					      model->now_ms);
		}
		jt_admission_tick(admission, model->table, 1, model->now_ms,
				  model_changed, model);
	}
	assert_int_equal(model->began, 0);
	talloc_free(model);
}

/* The demand is as before: nobody is refused any more a moment later. */
static void test_end_of_overload(void **state)
{
	struct model *model = model_create();

	(void)state;
	model_run(model, 5, SETTLED_MS);
	model_run(model, 0.3, 200);
	model_count_anew(model);
	model_run(model, 0.3, RUN_MS);
	assert_int_equal(BOTH(model, refused), 0);
	talloc_free(model);
}

/* Callers that come back at once and for long change little for the urgent. */
static void test_callers_that_return_for_ever(void **state)
{
	struct model *model = model_create();

	(void)state;
	model->tries = 50;
	model_run(model, 2, SETTLED_MS);
	model_count_anew(model);
	model_run(model, 2, RUN_MS);
	assert_true(served(model, 0) >= 0.9);
	assert_well_used(model);
	talloc_free(model);
}

/* Three groups that want little get it, whatever the fourth wants; it gets what
 * they leave. */
static void test_greedy_group_takes_nothing_from_others(void **state)
{
	struct model *model = model_create();

	(void)state;
	model->urgent_part = 0;
	model->greedy_part = 0.9;
	model_run(model, 4, SETTLED_MS);
	model_count_anew(model);
	model_run(model, 4, RUN_MS);
	/* Each of the three wants 0.13 of all that the service can do. */
	for (unsigned i = 1; i < MODEL_GROUPS; i++)
		assert_true(model_part(model->groups[i].in_aim,
				       model->groups[i].asked) >= 0.9);
	assert_true(model_part(model->groups[0].in_aim,
			       model->groups[0].asked) >= 0.9 * 0.6 / 3.6);
	assert_well_used(model);
	talloc_free(model);
}

/* All want more than there is: each gets the same. */
static void test_groups_share_evenly(void **state)
{
	struct model *model = model_create();
	unsigned least = UINT32_MAX, most = 0;

	(void)state;
	model->urgent_part = 0;
	model->greedy_part = 0.55;
	model_run(model, 4, SETTLED_MS);
	model_count_anew(model);
	model_run(model, 4, RUN_MS);
	for (unsigned i = 0; i < MODEL_GROUPS; i++) {
		unsigned done = model->groups[i].in_aim;

		least = done < least ? done : least;
		most = done > most ? done : most;
	}
	assert_true(model_part(least, most) >= 0.7);
	assert_well_used(model);
	talloc_free(model);
}

/* What never ends, as far as a node sees, counts for its horizon only. */
static void test_in_flight_forgets(void **state)
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
	/* Its end comes after it was forgotten. */
	jt_in_flight_end(&flight, 1000, 1250);
	assert_int_equal(jt_in_flight_count(&flight, 1250), 0);
	jt_in_flight_begin(&flight, 100000);
	assert_int_equal(jt_in_flight_count(&flight, 100010), 1);
}

/* Only a service whose routes differ in priority, and say what they want. */
static void test_what_calls_for_admission(void **state)
{
	const struct {
		uint32_t priority;
		uint32_t target_ms;
		bool watched;
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
		model_node_start(model, 0);
		assert_int_equal(
			jt_admission_view_at(model->nodes[0], 0, &view),
			cases[i].watched);
		talloc_free(model);
	}
}

/* Peers tell what callers want with the routing. */
static void test_target_reaches_peers(void **state)
{
	struct bench *bench = bench_create(0);
	struct model *model = model_create();
	struct jt_director_event event = {.kind = JT_DIRECTOR_ROUTING};
	struct jt_knowledge_need need = {0};
	struct jt_routing *routing;
	jt_wire_knowledge knowledge;

	(void)state;
	event.u.routing = model->routing;
	bench_event(bench, &event);
	bench_listed(bench, 1);
	assert_true(jt_knowledge_write(bench, bench->director, &need,
				       bench->now_ms, &knowledge));
	routing = jt_knowledge_routing(bench, &knowledge.routing);
	assert_int_equal(routing->routes[0].target_ms, MODEL_AIM_MS);
	assert_int_equal(routing->routes[0].priority, 1);
	talloc_free(bench);
	talloc_free(model);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_overload_serves_the_urgent_first),
		cmocka_unit_test(test_less_urgent_do_not_starve),
		cmocka_unit_test(test_floor_is_a_setting),
		cmocka_unit_test(test_demand_doubles_at_once),
		cmocka_unit_test(test_overload_from_a_normal_day),
		cmocka_unit_test(test_node_with_half_of_the_demand),
		cmocka_unit_test(test_half_of_the_nodes_start_anew),
		cmocka_unit_test(test_endpoints_are_halved),
		cmocka_unit_test(test_room_for_all_refuses_nobody),
		cmocka_unit_test(test_slow_endpoints_refuse_nobody),
		cmocka_unit_test(
			test_waiting_at_endpoints_with_room_refuses_nobody),
		cmocka_unit_test(
			test_open_flows_at_slow_endpoints_refuse_nobody),
		cmocka_unit_test(test_bound_requests_refuse_no_new_flows),
		cmocka_unit_test(test_end_of_overload),
		cmocka_unit_test(test_callers_that_return_for_ever),
		cmocka_unit_test(test_greedy_group_takes_nothing_from_others),
		cmocka_unit_test(test_groups_share_evenly),
		cmocka_unit_test(test_in_flight_forgets),
		cmocka_unit_test(test_what_calls_for_admission),
		cmocka_unit_test(test_target_reaches_peers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
