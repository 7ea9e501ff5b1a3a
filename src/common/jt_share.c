#include "jt_share.h"

bool jt_share_admit(const struct jt_share_use *uses, size_t count, size_t index,
		    uint64_t capacity, uint32_t reserve_permille)
{
	uint64_t weights = 0, open = 0, kept = 0;
	uint64_t own;
	size_t i;

	for (i = 0; i < count; i++) {
		weights += uses[i].weight;
		open += uses[i].open;
	}
	if (open >= capacity || weights == 0)
		return false;
	own = capacity * uses[index].weight / weights;
	if (uses[index].open < own)
		return true;
	for (i = 0; i < count; i++) {
		uint64_t share = capacity * uses[i].weight / weights;

		if (i == index || uses[i].open >= share)
			continue;
		kept += (share - uses[i].open) * reserve_permille / 1000;
	}
	return open + kept < capacity;
}
