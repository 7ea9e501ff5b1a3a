/* The endpoints that a choice looks at; for the files of the chooser alone. */
#ifndef JT_CHOOSE_POOL_H
#define JT_CHOOSE_POOL_H

#include "jt_choose.h"

enum {
	/* A choice looks at no more endpoints: the best of so many at random is
	 * hardly worse than the best of all, and costs the same in a pool of
	 * any size. Whoever looks at all finds one where few are willing. */
	SAMPLE_MOST = 64,
};

/* Some incarnations of one service. */
struct incarnations {
	struct jt_incarnation *const *items;
	size_t count;
};

static inline struct incarnations pool_all(const struct jt_service_pool *pool)
{
	return (struct incarnations){pool->members, pool->count};
}

/* So many members of the pool at random, which may be drawn twice; all where
 * there are no more. @room holds them. */
static inline struct incarnations
pool_sample(struct jt_chooser *chooser, const struct jt_service_pool *pool,
	    struct jt_incarnation *room[SAMPLE_MOST])
{
	if (pool->count <= SAMPLE_MOST)
		return pool_all(pool);
	for (size_t i = 0; i < SAMPLE_MOST; i++)
		room[i] = pool->members[jt_random_next(&chooser->random) %
					pool->count];
	return (struct incarnations){room, SAMPLE_MOST};
}

/* Whether operators keep new flows from the incarnation's zone. */
static inline bool zone_drained(const struct jt_chooser *chooser,
				const struct jt_incarnation *in)
{
	if (chooser->break_mechanism & JT_DIRECTOR_BREAK_ZONE_DRAIN)
		return false;
	return jt_zone_drains_has(chooser->zone_drains, in->entry.zone_id);
}

#endif
