#include "jt_target.h"
#include "jt_load_distribution.h"
#include "jt_feature.h"

#include <math.h>

enum {
	/* Responses over which a service's mean service time is averaged. */
	SERVICE_TIME_RESPONSES = 64,
};

/* A cold endpoint counts as at least this many times slower than usual. */
#define COLD_RELATIVE_TIME 2.0

static double relative_time(const struct jt_target *target,
			    const struct jt_incarnation *in, uint64_t now_ms)
{
	double relative = 1;

	if (jt_feature_enabled(target->disabled_features,
			       JT_FEATURE_RESPONSE_TIME))
		relative = jt_response_ratio_get(&in->response_ratio,
						 target->nodes, now_ms);
	if (now_ms < in->cold_until_ms && relative < COLD_RELATIVE_TIME &&
	    jt_feature_enabled(target->disabled_features,
			       JT_FEATURE_COLD_LIMIT))
		relative = COLD_RELATIVE_TIME;
	return relative;
}

/* Returns the mean recent load of each peer at the endpoint. */
static double peer_load(const struct jt_target *target,
			const struct jt_incarnation *in, uint64_t now_ms)
{
	if (!jt_feature_enabled(target->disabled_features,
				JT_FEATURE_PEER_LOADS))
		return 0;
	return jt_peer_loads_mean_load(target->peer_loads, in->label, now_ms);
}

/* Returns the estimated recent requests of all nodes at the endpoint. */
static double total_load(const struct jt_target *target,
			 const struct jt_incarnation *in, uint64_t now_ms)
{
	return jt_recent_load_at(&in->recent_load, now_ms) +
	       peer_load(target, in, now_ms) * (double)(target->nodes - 1);
}

void jt_target_compute(struct jt_target *target,
		       struct jt_incarnation *const *endpoints, size_t count,
		       uint64_t now_ms)
{
	struct jt_load_endpoint load_endpoints[JT_TARGET_SAMPLE_MAX];
	struct jt_service_pool *pool;
	double load = 0, slots = 0;

	target->marginal_time = INFINITY;
	target->slots = 0;
	target->mean_load = 0;
	if (count == 0)
		return;
	if (count > JT_TARGET_SAMPLE_MAX)
		count = JT_TARGET_SAMPLE_MAX;
	for (size_t i = 0; i < count; i++) {
		load_endpoints[i].slots = jt_incarnation_slots(endpoints[i]);
		load_endpoints[i].relative_time =
			relative_time(target, endpoints[i], now_ms);
		load += total_load(target, endpoints[i], now_ms);
		slots += load_endpoints[i].slots;
	}
	pool = endpoints[0]->pool;
	target->slots = slots;
	target->measured = pool->service_time_ms > 0;
	if (target->measured && jt_feature_enabled(target->disabled_features,
						   JT_FEATURE_OPTIMAL_LOAD))
		target->marginal_time = jt_load_marginal_time(
			load_endpoints, count,
			jt_recent_load_rate(load) * pool->service_time_ms /
				1000);
	for (size_t i = 0; i < count; i++)
		target->mean_load += jt_load_optimal(&load_endpoints[i],
						     target->marginal_time) /
				     (double)count;
}

double jt_target_relative_load(const struct jt_target *target,
			       const struct jt_incarnation *in, uint64_t now_ms)
{
	struct jt_load_endpoint load_endpoint = {
		.slots = jt_incarnation_slots(in),
		.relative_time = relative_time(target, in, now_ms),
	};

	if (target->mean_load == 0)
		return 1;
	return fmin(1, jt_load_optimal(&load_endpoint, target->marginal_time) /
			       target->mean_load);
}

double jt_target_load_ratio(const struct jt_target *target,
			    const struct jt_incarnation *in, uint64_t now_ms)
{
	struct jt_load_endpoint load_endpoint = {
		.slots = jt_incarnation_slots(in),
		.relative_time = relative_time(target, in, now_ms),
	};

	return (jt_recent_load_at(&in->recent_load, now_ms) +
		peer_load(target, in, now_ms) + (double)in->waiting + 1) /
	       jt_load_optimal(&load_endpoint, target->marginal_time);
}

void jt_target_answered(const struct jt_target *target,
			struct jt_usual_response_time *kind,
			struct jt_incarnation *in,
			const struct jt_response *response, uint64_t now_ms)
{
	struct jt_service_pool *pool = in->pool;
	double took_ms = jt_usual_response_time_correct(kind, response);
	double log_ratio = jt_usual_response_time_update(kind, took_ms);
	double normalized_ms;

	if (pool == NULL)
		return;
	normalized_ms = took_ms / relative_time(target, in, now_ms);
	if (pool->service_time_ms == 0)
		pool->service_time_ms = normalized_ms;
	else
		pool->service_time_ms +=
			(normalized_ms - pool->service_time_ms) /
			SERVICE_TIME_RESPONSES;
	jt_response_ratio_update(&in->response_ratio, log_ratio, target->nodes,
				 now_ms);
}
