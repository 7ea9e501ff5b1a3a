#include "jt_group_shares.h"
#include "jt_net.h"
#include "jt_share.h"

enum {
	/* A group without requests for this time has no share. */
	ACTIVE_MS = 1000,
	/* Part of the unused shares, in thousandths, that is reserved for the
	 * groups they belong to, so that they can use them at once. */
	RESERVE_PERMILLE = 800,
	/* Unit of requests in flight, in thousandths. */
	REQUEST_UNIT = 1000,
	GROUP_WEIGHT = 1,
};

static bool group_is_active(const struct jt_group *group, uint64_t now_ms)
{
	return now_ms - group->requested_ms < ACTIVE_MS;
}

/* Returns a slot for a new group: a free one, or that of an inactive group. */
static struct jt_group *slot_find(struct jt_group_shares *shares,
				  uint64_t now_ms)
{
	if (shares->count < JT_GROUPS_MAX)
		return &shares->groups[shares->count++];
	for (size_t i = 0; i < shares->count; i++) {
		if (!group_is_active(&shares->groups[i], now_ms))
			return &shares->groups[i];
	}
	return NULL;
}

struct jt_group *jt_group_shares_request(struct jt_group_shares *shares,
					 struct jt_address address,
					 uint64_t now_ms)
{
	struct jt_group *group = NULL;

	for (size_t i = 0; i < shares->count && group == NULL; i++) {
		if (jt_address_same(shares->groups[i].address, address))
			group = &shares->groups[i];
	}
	if (group == NULL) {
		group = slot_find(shares, now_ms);
		if (group == NULL)
			return NULL;
		*group = (struct jt_group){.address = address};
	}
	group->requested_ms = now_ms;
	return group;
}

bool jt_group_shares_admit(const struct jt_group_shares *shares,
			   const struct jt_group *group, double in_flight,
			   double limit, uint64_t now_ms)
{
	struct jt_share_usage uses[JT_GROUPS_MAX];
	size_t count = 0, index = 0;
	double admitted = 0;

	for (size_t i = 0; i < shares->count; i++)
		admitted +=
			jt_recent_load_at(&shares->groups[i].admitted, now_ms);
	for (size_t i = 0; i < shares->count; i++) {
		const struct jt_group *entry = &shares->groups[i];
		double part = 0;

		if (!group_is_active(entry, now_ms))
			continue;
		if (admitted > 0)
			part = jt_recent_load_at(&entry->admitted, now_ms) /
			       admitted;
		if (entry == group)
			index = count;
		uses[count++] = (struct jt_share_usage){
			.weight = GROUP_WEIGHT,
			.open = (uint32_t)(in_flight * part * REQUEST_UNIT),
		};
	}
	return jt_share_admit(uses, count, index,
			      (uint64_t)(limit * REQUEST_UNIT),
			      RESERVE_PERMILLE);
}

void jt_group_admitted(struct jt_group *group, uint64_t now_ms)
{
	jt_recent_load_add(&group->admitted, 1, now_ms);
}
