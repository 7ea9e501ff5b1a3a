#include "jt_target.h"
#include "jt_fill.h"
#include "jt_mechanism.h"

#include <math.h>

enum {
	/* Answers over which a service's mean service time is averaged. */
	SERVICE_TIME_ANSWERS = 64,
};

/* A cold endpoint counts as at least this many times slower than usual. */
#define COLD_RELATIVE_TIME 2.0

static double relative_time(const struct jt_target *target,
			    const struct jt_incarnation *in, uint64_t now_ms)
{
	double relative = 1;

	if (jt_mechanism_on(target->without, JT_MECHANISM_SLOWNESS))
		relative = jt_speed_slowness(&in->speed, target->nodes, now_ms);
	if (now_ms < in->cold_until_ms && relative < COLD_RELATIVE_TIME &&
	    jt_mechanism_on(target->without, JT_MECHANISM_COLD))
		relative = COLD_RELATIVE_TIME;
	return relative;
}

/* Returns the mean recent load of each peer at the endpoint. */
static double peer_load(const struct jt_target *target,
			const struct jt_incarnation *in, uint64_t now_ms)
{
	if (!jt_mechanism_on(target->without, JT_MECHANISM_PEER_WORK))
		return 0;
	return jt_peer_loads_work(target->peer_loads, in->label, now_ms);
}

/* Returns the estimated recent requests of all nodes at the endpoint. */
static double total_load(const struct jt_target *target,
			 const struct jt_incarnation *in, uint64_t now_ms)
{
	return jt_work_now(&in->work, now_ms) +
	       peer_load(target, in, now_ms) * (double)(target->nodes - 1);
}

void jt_target_aim(struct jt_target *target,
		   struct jt_incarnation *const *endpoints, size_t count,
		   uint64_t now_ms)
{
	struct jt_fill_endpoint fill[JT_TARGET_LOOK_MOST];
	struct jt_service_pool *pool;
	double load = 0, slots = 0;

	target->level = INFINITY;
	target->slots = 0;
	target->share = 0;
	if (count == 0)
		return;
	if (count > JT_TARGET_LOOK_MOST)
		count = JT_TARGET_LOOK_MOST;
	for (size_t i = 0; i < count; i++) {
		fill[i].slots = jt_incarnation_slots(endpoints[i]);
		fill[i].slowness = relative_time(target, endpoints[i], now_ms);
		load += total_load(target, endpoints[i], now_ms);
		slots += fill[i].slots;
	}
	pool = endpoints[0]->pool;
	target->slots = slots;
	target->measured = pool->serve_ms > 0;
	if (target->measured &&
	    jt_mechanism_on(target->without, JT_MECHANISM_FAST_FIRST))
		target->level = jt_fill_level(fill, count,
					      jt_work_per_s(load) *
						      pool->serve_ms / 1000);
	for (size_t i = 0; i < count; i++)
		target->share +=
			jt_fill_share(&fill[i], target->level) / (double)count;
}

double jt_target_part(const struct jt_target *target,
		      const struct jt_incarnation *in, uint64_t now_ms)
{
	struct jt_fill_endpoint fill = {
		.slots = jt_incarnation_slots(in),
		.slowness = relative_time(target, in, now_ms),
	};

	if (target->share == 0)
		return 1;
	return fmin(1, jt_fill_share(&fill, target->level) / target->share);
}

double jt_target_load(const struct jt_target *target,
		      const struct jt_incarnation *in, uint64_t now_ms)
{
	struct jt_fill_endpoint fill = {
		.slots = jt_incarnation_slots(in),
		.slowness = relative_time(target, in, now_ms),
	};

	return (jt_work_now(&in->work, now_ms) + peer_load(target, in, now_ms) +
		(double)in->waiting + 1) /
	       jt_fill_share(&fill, target->level);
}

void jt_target_answered(const struct jt_target *target, struct jt_usual *kind,
			struct jt_incarnation *in,
			const struct jt_answer *answer, uint64_t now_ms)
{
	struct jt_service_pool *pool = in->pool;
	double took_ms = jt_usual_took_ms(kind, answer);
	double log_ratio = jt_usual_answered(kind, took_ms);
	double normalized_ms;

	if (pool == NULL)
		return;
	normalized_ms = took_ms / relative_time(target, in, now_ms);
	if (pool->serve_ms == 0)
		pool->serve_ms = normalized_ms;
	else
		pool->serve_ms +=
			(normalized_ms - pool->serve_ms) / SERVICE_TIME_ANSWERS;
	jt_speed_answered(&in->speed, log_ratio, target->nodes, now_ms);
}
