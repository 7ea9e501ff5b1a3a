#include "jt_zone_choice.h"

#include <math.h>

/* Bytes between zones cost: a request goes there only if it saves so many times
 * what it would take there. */
#define FAR_TIMES 1.5

double jt_zone_spill(const struct jt_target *near, const struct jt_target *far)
{
	double most = far->slots / (near->slots + far->slots);
	double spill;

	if (isinf(far->level))
		return 0;
	if (isinf(near->level))
		return most;
	spill = 1 - FAR_TIMES * far->level / near->level;
	return fmax(0, fmin(spill, most));
}
