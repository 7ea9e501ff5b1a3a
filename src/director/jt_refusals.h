/*
 * Suppresses repeated log lines about invalid documents: one that stays
 * invalid is reported on each read of the store, and logged once.
 */
#ifndef JT_REFUSALS_H
#define JT_REFUSALS_H

#include <stdbool.h>
#include <stdint.h>

enum { JT_REFUSALS = 1024 }; /* distinct refusals logged in a process */

struct jt_refusals {
	uint64_t hashes[JT_REFUSALS]; /* of key and reason; 0: free */
};

/* Returns true for the first refusal of @key for @reason. Returns false, too,
 * if the table is full: such refusals are only counted. */
bool jt_refusals_first(struct jt_refusals *refusals, const char *key,
		       const char *reason);

#endif
