/*
 * Fair shares among the groups of one priority: a group is a route, by its
 * address.
 *
 * No count of what each group has in flight is kept: its part of what was let
 * in lately stands for its part of what is in flight. Groups that ask for
 * nothing keep nothing free. There is room for the groups that asked last; with
 * more at once, those that find no place are not held to a share.
 */
#ifndef JT_GROUP_SHARES_H
#define JT_GROUP_SHARES_H

#include "jaspertrack/types-t.h"
#include "jt_work.h"

#include <stdbool.h>
#include <stddef.h>

enum { JT_GROUPS_MOST = 32 };

struct jt_group {
	struct jt_address address;
	struct jt_work admitted; /* lately */
	uint64_t asked_ms;
};

struct jt_group_shares {
	struct jt_group groups[JT_GROUPS_MOST];
	size_t count;
};

/* The group of that address, which asks now; NULL: there is no place. */
struct jt_group *jt_group_shares_ask(struct jt_group_shares *shares,
				     struct jt_address address,
				     uint64_t now_ms);
/* Whether the group may have one more where @in_flight of @limit are. */
bool jt_group_shares_admit(const struct jt_group_shares *shares,
			   const struct jt_group *group, double in_flight,
			   double limit, uint64_t now_ms);
/* It has got one more. */
void jt_group_admitted(struct jt_group *group, uint64_t now_ms);

#endif
