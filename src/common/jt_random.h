/*
 * Random numbers that repeat for a seed: XXH64 of a counter. For jitter and
 * for breaking ties; not for secrets.
 */
#ifndef JT_RANDOM_H
#define JT_RANDOM_H

#include <stdint.h>
#include <xxhash.h>

struct jt_random {
	uint64_t seed;
	uint64_t counter;
};

static inline uint64_t jt_random_next(struct jt_random *random)
{
	uint64_t counter = random->counter++;

	return XXH64(&counter, sizeof(counter), random->seed);
}

#endif
