/*
 * Fair shares of a concurrency limit among the groups of one priority. A group
 * is a route, identified by its address.
 *
 * Requests in flight are not counted by group: they are estimated from each
 * group's part of the recently admitted flows. Groups without recent requests
 * reserve nothing. At most JT_GROUPS_MAX groups are tracked; further ones are
 * not limited to a share.
 */
#ifndef JT_GROUP_SHARES_H
#define JT_GROUP_SHARES_H

#include "jaspertrack/types-t.h"
#include "jt_recent_load.h"

#include <stdbool.h>
#include <stddef.h>

enum { JT_GROUPS_MAX = 32 };

struct jt_group {
	struct jt_address address;
	struct jt_recent_load admitted; /* recently admitted flows */
	uint64_t requested_ms;		/* time of the last request */
};

struct jt_group_shares {
	struct jt_group groups[JT_GROUPS_MAX];
	size_t count;
};

/* Returns the group of the address and records a request for admission;
 * returns NULL if there is no free slot for a new group. */
struct jt_group *jt_group_shares_request(struct jt_group_shares *shares,
					 struct jt_address address,
					 uint64_t now_ms);
/* Returns true if the group may have one more request in flight, when
 * @in_flight of @limit are in use. */
bool jt_group_shares_admit(const struct jt_group_shares *shares,
			   const struct jt_group *group, double in_flight,
			   double limit, uint64_t now_ms);
/* Records an admitted flow of the group. */
void jt_group_admitted(struct jt_group *group, uint64_t now_ms);

#endif
