/*
 * The refusals that were logged: a document of the store that stays wrong is
 * told each time that the store is read, and logged once.
 */
#ifndef JT_REFUSALS_H
#define JT_REFUSALS_H

#include <stdbool.h>
#include <stdint.h>

enum { JT_REFUSALS = 1024 }; /* lines at most in a process's life */

struct jt_refusals {
	uint64_t hashes[JT_REFUSALS]; /* by key and reason; 0: free */
};

/* Whether this is the first refusal of @key for that reason. False as well
 * where there were too many: counters still tell of them. */
bool jt_refusals_first(struct jt_refusals *refusals, const char *key,
		       const char *reason);

#endif
