/* Recent load of an endpoint: an exponentially decayed count of requests. The
 * number of open flows is a poor measure of load: some carry one request, some
 * hundreds, some are idle. */
#ifndef JT_WORK_H
#define JT_WORK_H

#include <stdint.h>

/* Time constant of the decay, milliseconds: at a steady rate the decayed count
 * is the rate times this. */
#define JT_WORK_MEMORY_MS 721.0

struct jt_work {
	double requests; /* decayed count at @as_of_ms */
	uint64_t as_of_ms;
};

/* Returns the decayed count of requests at @now_ms. */
double jt_work_now(const struct jt_work *work, uint64_t now_ms);
/* Returns the steady rate per second that keeps the decayed count at
 * @requests. */
double jt_work_per_s(double requests);
/* Adds @requests to the count. */
void jt_work_add(struct jt_work *work, double requests, uint64_t now_ms);

#endif
