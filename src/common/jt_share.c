#include "jt_share.h"

bool jt_share_admit(const struct jt_share_use *uses, size_t count, size_t index,
		    uint64_t capacity, uint32_t reserve_permille)
{
	uint64_t weight_sum = 0, open = 0, reserved = 0;
	uint64_t own_share;
	size_t i;

	for (i = 0; i < count; i++) {
		weight_sum += uses[i].weight;
		open += uses[i].open;
	}
	if (open >= capacity || weight_sum == 0)
		return false;
	own_share = capacity * uses[index].weight / weight_sum;
	if (uses[index].open < own_share)
		return true;
	for (i = 0; i < count; i++) {
		uint64_t share = capacity * uses[i].weight / weight_sum;

		if (i == index || uses[i].open >= share)
			continue;
		reserved += (share - uses[i].open) * reserve_permille / 1000;
	}
	return open + reserved < capacity;
}
