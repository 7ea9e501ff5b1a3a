#include "jt_work.h"

#include <math.h>

/* Half-life of a request's weight, milliseconds. */
#define HALF_LIFE_MS 500.0

double jt_work_now(const struct jt_work *work, uint64_t now_ms)
{
	if (work->requests == 0 || now_ms <= work->as_of_ms)
		return work->requests;
	return work->requests *
	       exp2(-(double)(now_ms - work->as_of_ms) / HALF_LIFE_MS);
}

double jt_work_per_s(double requests)
{
	return requests * M_LN2 * 1000 / HALF_LIFE_MS;
}

void jt_work_add(struct jt_work *work, double requests, uint64_t now_ms)
{
	work->requests = jt_work_now(work, now_ms) + requests;
	work->as_of_ms = now_ms;
}
