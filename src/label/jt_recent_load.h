/* Recent load of an endpoint: an exponentially decayed count of requests. The
 * number of open flows is a poor measure of load: some carry one request, some
 * hundreds, some are idle. */
#ifndef JT_RECENT_LOAD_H
#define JT_RECENT_LOAD_H

#include <stdint.h>

/* Time constant of the decay, milliseconds: at a steady rate the decayed count
 * is the rate times this. */
#define JT_RECENT_LOAD_DECAY_MS 721.0

struct jt_recent_load {
	double requests; /* decayed count at @as_of_ms */
	uint64_t as_of_ms;
};

/* Returns the decayed count of requests at @now_ms. */
double jt_recent_load_at(const struct jt_recent_load *load, uint64_t now_ms);
/* Returns the steady rate per second that keeps the decayed count at
 * @requests. */
double jt_recent_load_rate(double requests);
/* Adds @requests to the count. */
void jt_recent_load_add(struct jt_recent_load *load, double requests,
			uint64_t now_ms);

#endif
