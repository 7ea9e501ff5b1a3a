#include "jt_zone_choice.h"

#include <math.h>

/* A remote endpoint is used only if the local marginal response time exceeds
 * the remote one by this factor, since traffic between zones is costly. */
#define REMOTE_TIME_FACTOR 1.5

double jt_zone_spill(const struct jt_target *near, const struct jt_target *far)
{
	double max_spill = far->slots / (near->slots + far->slots);
	double spill;

	if (isinf(far->level))
		return 0;
	if (isinf(near->level))
		return max_spill;
	spill = 1 - REMOTE_TIME_FACTOR * far->level / near->level;
	return fmax(0, fmin(spill, max_spill));
}
