/*
 * Raises the recent load of endpoints that are new or accept flows again to the
 * mean of the others.
 */
#include "jt_choose_pool.h"
#include "jt_feature.h"

/* Sum of the recent load of some incarnations. */
struct load_sum {
	double load;
	size_t count;
};

static void load_sum_add(struct load_sum *sum, const struct jt_chooser *chooser,
			 const struct jt_incarnation *in, uint64_t now_ms)
{
	if (in->state != JT_INCARNATION_READY ||
	    jt_choose_zone_drained(chooser, in))
		return;
	sum->load += jt_recent_load_at(&in->recent_load, now_ms);
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
	double missing = requests - jt_recent_load_at(&in->recent_load, now_ms);

	if (missing > 0)
		jt_recent_load_add(&in->recent_load, missing, now_ms);
}

void jt_chooser_equalise_load(struct jt_chooser *chooser,
			      const struct jt_service_pool *pool,
			      struct jt_incarnation *incarnation,
			      uint64_t now_ms)
{
	struct jt_incarnation *buffer[JT_CHOOSE_SAMPLE_MAX];
	struct jt_incarnation_set sample;
	struct load_sum others = {0};

	if (!jt_feature_enabled(chooser->disabled_features,
				JT_FEATURE_NEW_ENDPOINT_SHARE))
		return;
	sample = jt_choose_pool_sample(chooser, pool, buffer);
	for (size_t i = 0; i < sample.count; i++) {
		if (sample.items[i] != incarnation)
			load_sum_add(&others, chooser, sample.items[i], now_ms);
	}
	recent_load_raise(incarnation, load_mean(&others), now_ms);
}

static void pool_equalise_zone_load(const struct jt_chooser *chooser,
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

void jt_chooser_equalise_zone_load(const struct jt_chooser *chooser,
				   const struct jt_endpoint_table *table,
				   uint32_t zone_id, uint64_t now_ms)
{
	const struct jt_service_pool *pool;

	if (!jt_feature_enabled(chooser->disabled_features,
				JT_FEATURE_NEW_ENDPOINT_SHARE))
		return;
	for (pool = table->pools; pool != NULL; pool = pool->hh.next)
		pool_equalise_zone_load(chooser, pool, zone_id, now_ms);
}
