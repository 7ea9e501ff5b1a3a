/*
 * Sampling of a service's endpoints; internal to the chooser.
 */
#ifndef JT_CHOOSE_POOL_H
#define JT_CHOOSE_POOL_H

#include "jt_choose.h"

enum {
	/* Endpoints examined by one choice. The best of a random sample of
	 * this size is nearly as good as the best of the pool, at a cost that
	 * does not depend on the pool's size. */
	JT_CHOOSE_SAMPLE_MAX = 64,
};

/* A set of incarnations of one service; the array is not owned. */
struct jt_incarnation_set {
	struct jt_incarnation *const *items;
	size_t count;
};

static inline struct jt_incarnation_set
jt_choose_pool_all(const struct jt_service_pool *pool)
{
	return (struct jt_incarnation_set){pool->members, pool->count};
}

/* Returns JT_CHOOSE_SAMPLE_MAX random members of the pool, possibly with
 * duplicates, or all members if there are no more than that. The result may
 * refer to @buffer. */
static inline struct jt_incarnation_set
jt_choose_pool_sample(struct jt_chooser *chooser,
		      const struct jt_service_pool *pool,
		      struct jt_incarnation *buffer[JT_CHOOSE_SAMPLE_MAX])
{
	if (pool->count <= JT_CHOOSE_SAMPLE_MAX)
		return jt_choose_pool_all(pool);
	for (size_t i = 0; i < JT_CHOOSE_SAMPLE_MAX; i++)
		buffer[i] = pool->members[jt_random_next(&chooser->random) %
					  pool->count];
	return (struct jt_incarnation_set){buffer, JT_CHOOSE_SAMPLE_MAX};
}

/* Returns true if an operator has drained the incarnation's zone. */
static inline bool jt_choose_zone_drained(const struct jt_chooser *chooser,
					  const struct jt_incarnation *in)
{
	if (chooser->injected_faults & JT_DIRECTOR_FAULT_ZONE_DRAIN)
		return false;
	return jt_zone_drains_is_drained(chooser->zone_drains,
					 in->entry.zone_id);
}

#endif
