#include "jt_zone_choice.h"

#include <math.h>

/* A remote endpoint is used only if the local marginal response time exceeds
 * the remote one by this factor, since traffic between zones is costly. */
#define REMOTE_TIME_FACTOR 1.5

double jt_zone_spill(const struct jt_target *local,
		     const struct jt_target *remote)
{
	double max_spill = remote->slots / (local->slots + remote->slots);
	double spill;

	if (isinf(remote->level))
		return 0;
	if (isinf(local->level))
		return max_spill;
	spill = 1 - REMOTE_TIME_FACTOR * remote->level / local->level;
	return fmax(0, fmin(spill, max_spill));
}
