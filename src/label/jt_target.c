#include "jt_target.h"
#include "jt_fill.h"
#include "jt_mechanism.h"

#include <math.h>

enum {
	/* Answers that a service's mean time for a request spans. */
	SERVE_ANSWERS = 64,
};

/* A cold endpoint counts as this much slower. */
#define COLD_SLOWNESS 2.0

static double slowness_of(const struct jt_target *target,
			  const struct jt_incarnation *in, uint64_t now_ms)
{
	double slowness = 1;

	if (jt_mechanism_on(target->without, JT_MECHANISM_SLOWNESS))
		slowness = jt_speed_slowness(&in->speed, target->nodes, now_ms);
	if (now_ms < in->cold_until_ms && slowness < COLD_SLOWNESS &&
	    jt_mechanism_on(target->without, JT_MECHANISM_COLD))
		slowness = COLD_SLOWNESS;
	return slowness;
}

/* Work of each peer there, in the mean. */
static double peer_work(const struct jt_target *target,
			const struct jt_incarnation *in, uint64_t now_ms)
{
	if (!jt_mechanism_on(target->without, JT_MECHANISM_PEER_WORK))
		return 0;
	return jt_peer_loads_work(target->peer_loads, in->label, now_ms);
}

/* Requests lately that the endpoint got from all nodes. */
static double all_work(const struct jt_target *target,
		       const struct jt_incarnation *in, uint64_t now_ms)
{
	return jt_work_now(&in->work, now_ms) +
	       peer_work(target, in, now_ms) * (double)(target->nodes - 1);
}

void jt_target_aim(struct jt_target *target,
		   struct jt_incarnation *const *endpoints, size_t count,
		   uint64_t now_ms)
{
	struct jt_fill_endpoint fill[JT_TARGET_LOOK_MOST];
	struct jt_service_pool *pool;
	double work = 0, slots = 0;

	target->level = INFINITY;
	target->slots = 0;
	target->share = 0;
	if (count == 0)
		return;
	if (count > JT_TARGET_LOOK_MOST)
		count = JT_TARGET_LOOK_MOST;
	for (size_t i = 0; i < count; i++) {
		fill[i].slots = jt_incarnation_slots(endpoints[i]);
		fill[i].slowness = slowness_of(target, endpoints[i], now_ms);
		work += all_work(target, endpoints[i], now_ms);
		slots += fill[i].slots;
	}
	pool = endpoints[0]->pool;
	target->slots = slots;
	target->measured = pool->serve_ms > 0;
	if (target->measured &&
	    jt_mechanism_on(target->without, JT_MECHANISM_FAST_FIRST))
		target->level = jt_fill_level(fill, count,
					      jt_work_per_s(work) *
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
		.slowness = slowness_of(target, in, now_ms),
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
		.slowness = slowness_of(target, in, now_ms),
	};

	return (jt_work_now(&in->work, now_ms) + peer_work(target, in, now_ms) +
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
	double usual_ms;

	if (pool == NULL)
		return;
	usual_ms = took_ms / slowness_of(target, in, now_ms);
	if (pool->serve_ms == 0)
		pool->serve_ms = usual_ms;
	else
		pool->serve_ms += (usual_ms - pool->serve_ms) / SERVE_ANSWERS;
	jt_speed_answered(&in->speed, log_ratio, target->nodes, now_ms);
}
