#include "jt_group_shares.h"
#include "jt_net.h"
#include "jt_share.h"

enum {
	/* A group that has not asked for so long has no share. */
	ASKS_MS = 1000,
	/* Of what groups below their share leave idle, so much is kept for
	 * them, in thousandths: they get it at once when they want it. */
	RESERVE_PERMILLE = 800,
	/* Requests are counted in thousandths. */
	REQUEST_UNIT = 1000,
	GROUP_WEIGHT = 1,
};

static bool group_asks(const struct jt_group *group, uint64_t now_ms)
{
	return now_ms - group->asked_ms < ASKS_MS;
}

/* A place for another group: a free one, or of one that asks no more. */
static struct jt_group *place_find(struct jt_group_shares *shares,
				   uint64_t now_ms)
{
	if (shares->count < JT_GROUPS_MOST)
		return &shares->groups[shares->count++];
	for (size_t i = 0; i < shares->count; i++) {
		if (!group_asks(&shares->groups[i], now_ms))
			return &shares->groups[i];
	}
	return NULL;
}

struct jt_group *jt_group_shares_ask(struct jt_group_shares *shares,
				     struct jt_address address, uint64_t now_ms)
{
	struct jt_group *group = NULL;

	for (size_t i = 0; i < shares->count && group == NULL; i++) {
		if (jt_address_same(shares->groups[i].address, address))
			group = &shares->groups[i];
	}
	if (group == NULL) {
		group = place_find(shares, now_ms);
		if (group == NULL)
			return NULL;
		*group = (struct jt_group){.address = address};
	}
	group->asked_ms = now_ms;
	return group;
}

bool jt_group_shares_admit(const struct jt_group_shares *shares,
			   const struct jt_group *group, double in_flight,
			   double limit, uint64_t now_ms)
{
	struct jt_share_use uses[JT_GROUPS_MOST];
	size_t count = 0, index = 0;
	double admitted = 0;

	for (size_t i = 0; i < shares->count; i++)
		admitted += jt_work_now(&shares->groups[i].admitted, now_ms);
	for (size_t i = 0; i < shares->count; i++) {
		const struct jt_group *one = &shares->groups[i];
		double part = 0;

		if (!group_asks(one, now_ms))
			continue;
		if (admitted > 0)
			part = jt_work_now(&one->admitted, now_ms) / admitted;
		if (one == group)
			index = count;
		uses[count++] = (struct jt_share_use){
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
	jt_work_add(&group->admitted, 1, now_ms);
}
