/*
 * Fair sharing of the capacity of a service among groups: weighted max-min with
 * a reserve.
 *
 * A group below its own share is admitted while there is capacity. A group
 * above it may use idle capacity of others, except for a reserve for the groups
 * below their share, because open flows are never preempted.
 */
#ifndef JT_SHARE_H
#define JT_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Usage of a service by one group. */
struct jt_share_use {
	uint32_t weight;
	uint32_t open; /* flows of the group at the service */
};

/* Returns true if group @index of @uses may open one more flow. @capacity is in
 * flows; @reserve_permille is the reserved part of unused shares. */
bool jt_share_admit(const struct jt_share_use *uses, size_t count, size_t index,
		    uint64_t capacity, uint32_t reserve_permille);

#endif
