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
	SAMPLE_MOST = 64,
};

/* A set of incarnations of one service; the array is not owned. */
struct incarnations {
	struct jt_incarnation *const *items;
	size_t count;
};

static inline struct incarnations pool_all(const struct jt_service_pool *pool)
{
	return (struct incarnations){pool->members, pool->count};
}

/* Returns SAMPLE_MOST random members of the pool, possibly with duplicates,
 * or all members if there are no more than that. The result may refer to
 * @buffer. */
static inline struct incarnations
pool_sample(struct jt_chooser *chooser, const struct jt_service_pool *pool,
	    struct jt_incarnation *buffer[SAMPLE_MOST])
{
	if (pool->count <= SAMPLE_MOST)
		return pool_all(pool);
	for (size_t i = 0; i < SAMPLE_MOST; i++)
		buffer[i] = pool->members[jt_random_next(&chooser->random) %
					  pool->count];
	return (struct incarnations){buffer, SAMPLE_MOST};
}

/* Returns true if an operator has drained the incarnation's zone. */
static inline bool zone_drained(const struct jt_chooser *chooser,
				const struct jt_incarnation *in)
{
	if (chooser->break_mechanism & JT_DIRECTOR_BREAK_ZONE_DRAIN)
		return false;
	return jt_zone_drains_has(chooser->zone_drains, in->entry.zone_id);
}

#endif
