/*
 * Fair shares: weighted max-min with a reserve. One rule for flows that have
 * records and for those that follow labels.
 *
 * A group below its own share is always let in. A group above it borrows
 * what others leave idle, less a reserve kept for groups below their share,
 * because a borrowed connection is never taken back by force.
 */
#ifndef JT_SHARE_H
#define JT_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct jt_share_use {
	uint32_t weight;
	uint32_t open; /* flows of the group at the service */
};

/* True when group @index of @uses may open one more flow. */
bool jt_share_admit(const struct jt_share_use *uses, size_t count, size_t index,
		    uint64_t capacity, uint32_t reserve_permille);

#endif
