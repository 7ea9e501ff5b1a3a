#include "jt_recent_load.h"

#include <math.h>

/* Half-life of a request's weight, milliseconds. */
#define HALF_LIFE_MS 500.0

double jt_recent_load_at(const struct jt_recent_load *load, uint64_t now_ms)
{
	if (load->requests == 0 || now_ms <= load->as_of_ms)
		return load->requests;
	return load->requests *
	       exp2(-(double)(now_ms - load->as_of_ms) / HALF_LIFE_MS);
}

double jt_recent_load_rate(double requests)
{
	return requests * M_LN2 * 1000 / HALF_LIFE_MS;
}

void jt_recent_load_add(struct jt_recent_load *load, double requests,
			uint64_t now_ms)
{
	load->requests = jt_recent_load_at(load, now_ms) + requests;
	load->as_of_ms = now_ms;
}
