/* Endpoints that have just come, or come back, count as ones that got as much
 * work as others. */
#include "jt_choose_pool.h"
#include "jt_mechanism.h"

/* The sum of the work of some incarnations. */
struct work_sum {
	double work;
	size_t count;
};

static void work_sum_add(struct work_sum *sum, const struct jt_chooser *chooser,
			 const struct jt_incarnation *in, uint64_t now_ms)
{
	if (in->state != JT_INCARNATION_READY || zone_drained(chooser, in))
		return;
	sum->work += jt_work_now(&in->work, now_ms);
	sum->count++;
}

static double work_mean(const struct work_sum *sum)
{
	return sum->count > 0 ? sum->work / (double)sum->count : 0;
}

/* Make up for what the incarnation lacks of so many requests. */
static void work_raise(struct jt_incarnation *in, double requests,
		       uint64_t now_ms)
{
	double lacks = requests - jt_work_now(&in->work, now_ms);

	if (lacks > 0)
		jt_work_add(&in->work, lacks, now_ms);
}

void jt_chooser_welcome(struct jt_chooser *chooser,
			const struct jt_service_pool *pool,
			struct jt_incarnation *newcomer, uint64_t now_ms)
{
	struct jt_incarnation *room[SAMPLE_MOST];
	struct incarnations some;
	struct work_sum others = {0};

	if (!jt_mechanism_on(chooser->without, JT_MECHANISM_NEWCOMER_SHARE))
		return;
	some = pool_sample(chooser, pool, room);
	for (size_t i = 0; i < some.count; i++) {
		if (some.items[i] != newcomer)
			work_sum_add(&others, chooser, some.items[i], now_ms);
	}
	work_raise(newcomer, work_mean(&others), now_ms);
}

static void pool_welcome_zone(const struct jt_chooser *chooser,
			      const struct jt_service_pool *pool,
			      uint32_t zone_id, uint64_t now_ms)
{
	struct work_sum others = {0};
	double mean;

	for (size_t i = 0; i < pool->count; i++) {
		if (pool->members[i]->entry.zone_id != zone_id)
			work_sum_add(&others, chooser, pool->members[i],
				     now_ms);
	}
	mean = work_mean(&others);
	for (size_t i = 0; i < pool->count; i++) {
		if (pool->members[i]->entry.zone_id == zone_id)
			work_raise(pool->members[i], mean, now_ms);
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
