#include "jt_refusals.h"

#include <string.h>
#include <xxhash.h>

bool jt_refusals_first(struct jt_refusals *refusals, const char *key,
		       const char *reason)
{
	uint64_t hash =
		XXH64(key, strlen(key), XXH64(reason, strlen(reason), 0));

	if (hash == 0)
		hash = 1;
	for (unsigned i = 0; i < JT_REFUSALS_LIMIT; i++) {
		uint64_t *slot =
			&refusals->hashes[(hash + i) % JT_REFUSALS_LIMIT];

		if (*slot == hash)
			return false;
		if (*slot == 0) {
			*slot = hash;
			return true;
		}
	}
	return false;
}
