/*
 * Reproducible pseudo-random numbers: XXH64 of a counter with a seed. For
 * jitter and tie-breaking; not suitable for secrets.
 */
#ifndef JT_RANDOM_H
#define JT_RANDOM_H

#include <stdint.h>
#include <xxhash.h>

struct jt_random {
	uint64_t seed;
	uint64_t counter;
};

/* Returns the next number of the sequence. */
static inline uint64_t jt_random_next(struct jt_random *random)
{
	uint64_t counter = random->counter++;

	return XXH64(&counter, sizeof(counter), random->seed);
}

#endif
