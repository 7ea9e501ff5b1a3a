#include "jt_zone_choice.h"

#include <math.h>

/* A remote endpoint is used only if the local marginal response time exceeds
 * the remote one by this factor, since traffic between zones is costly. */
#define REMOTE_TIME_FACTOR 1.5

double jt_zone_remote_fraction(const struct jt_target *local,
			       const struct jt_target *remote)
{
	double max_fraction = remote->slots / (local->slots + remote->slots);
	double fraction;

	if (isinf(remote->marginal_time))
		return 0;
	if (isinf(local->marginal_time))
		return max_fraction;
	fraction = 1 - REMOTE_TIME_FACTOR * remote->marginal_time /
			       local->marginal_time;
	return fmax(0, fmin(fraction, max_fraction));
}
