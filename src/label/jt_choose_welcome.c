/*
 * Raises the recent load of endpoints that are new or accept flows again to the
 * mean of the others.
 */
#include "jt_choose_pool.h"
#include "jt_mechanism.h"

/* Sum of the recent load of some incarnations. */
struct load_sum {
	double load;
	size_t count;
};

static void load_sum_add(struct load_sum *sum, const struct jt_chooser *chooser,
			 const struct jt_incarnation *in, uint64_t now_ms)
{
	if (in->state != JT_INCARNATION_READY || zone_drained(chooser, in))
		return;
	sum->load += jt_work_now(&in->work, now_ms);
	sum->count++;
}

static double load_mean(const struct load_sum *sum)
{
	return sum->count > 0 ? sum->load / (double)sum->count : 0;
}

/* Raises the incarnation's recent load to @requests if it is lower. */
static void recent_load_raise(struct jt_incarnation *in, double requests,
			      uint64_t now_ms)
{
	double missing = requests - jt_work_now(&in->work, now_ms);

	if (missing > 0)
		jt_work_add(&in->work, missing, now_ms);
}

void jt_chooser_welcome(struct jt_chooser *chooser,
			const struct jt_service_pool *pool,
			struct jt_incarnation *incarnation, uint64_t now_ms)
{
	struct jt_incarnation *buffer[SAMPLE_MOST];
	struct incarnations sample;
	struct load_sum others = {0};

	if (!jt_mechanism_on(chooser->without, JT_MECHANISM_NEWCOMER_SHARE))
		return;
	sample = pool_sample(chooser, pool, buffer);
	for (size_t i = 0; i < sample.count; i++) {
		if (sample.items[i] != incarnation)
			load_sum_add(&others, chooser, sample.items[i], now_ms);
	}
	recent_load_raise(incarnation, load_mean(&others), now_ms);
}

static void pool_welcome_zone(const struct jt_chooser *chooser,
			      const struct jt_service_pool *pool,
			      uint32_t zone_id, uint64_t now_ms)
{
	struct load_sum others = {0};
	double mean;

	for (size_t i = 0; i < pool->count; i++) {
		if (pool->members[i]->entry.zone_id != zone_id)
			load_sum_add(&others, chooser, pool->members[i],
				     now_ms);
	}
	mean = load_mean(&others);
	for (size_t i = 0; i < pool->count; i++) {
		if (pool->members[i]->entry.zone_id == zone_id)
			recent_load_raise(pool->members[i], mean, now_ms);
	}
}

void jt_chooser_welcome_zone(const struct jt_chooser *chooser,
			     const struct jt_endpoint_table *table,
			     uint32_t zone_id, uint64_t now_ms)
{
	const struct jt_service_pool *pool;

	if (!jt_mechanism_on(chooser->without, JT_MECHANISM_NEWCOMER_SHARE))
		return;
	for (pool = table->pools; pool != NULL; pool = pool->hh.next)
		pool_welcome_zone(chooser, pool, zone_id, now_ms);
}
