#include "jt_fill.h"

#include <math.h>

enum { BISECTION_STEPS = 16 };

/* Maximum planned utilisation of an endpoint; queues grow without bound as it
 * approaches 1. */
#define UTILISATION_MAX 0.95
/* Minimum utilisation of an endpoint, so that its optimal load is never 0. */
#define UTILISATION_MIN 0.01
/* Minimum utilisation of all endpoints together. Keeps the load from
 * concentrating on the very fastest when there is little of it. */
#define TOTAL_UTILISATION_MIN 0.2
/* Upper bound of the marginal response time at UTILISATION_MAX with one
 * slot. */
#define LEVEL_MAX 500.0

/* Returns the utilisation at which the marginal response time is @times that
 * of an idle endpoint. */
static double utilisation(double times, double slots)
{
	double b = 2 * times + slots - 1;
	double u_to_slots;

	if (times <= 1)
		return UTILISATION_MIN;
	u_to_slots = (b - sqrt(b * b - 4 * times * (times - 1))) / (2 * times);
	return fmin(fmax(pow(u_to_slots, 1 / slots), UTILISATION_MIN),
		    UTILISATION_MAX);
}

double jt_fill_share(const struct jt_fill_endpoint *endpoint, double level)
{
	double planned = isinf(level) ? UTILISATION_MAX
				      : utilisation(level / endpoint->slowness,
						    endpoint->slots);

	return planned * endpoint->slots / endpoint->slowness;
}

static double loads_sum(const struct jt_fill_endpoint *endpoints, size_t count,
			double level)
{
	double sum = 0;

	for (size_t i = 0; i < count; i++)
		sum += jt_fill_share(&endpoints[i], level);
	return sum;
}

double jt_fill_level(const struct jt_fill_endpoint *endpoints, size_t count,
		     double load_slots)
{
	double low = 0, high = log(LEVEL_MAX), capacity = 0;

	for (size_t i = 0; i < count; i++) {
		low = fmin(low, log(endpoints[i].slowness));
		capacity += endpoints[i].slots / endpoints[i].slowness;
	}
	load_slots = fmax(load_slots, capacity * TOTAL_UTILISATION_MIN);
	if (loads_sum(endpoints, count, LEVEL_MAX) <= load_slots)
		return INFINITY;
	for (int step = 0; step < BISECTION_STEPS; step++) {
		double middle = (low + high) / 2;

		if (loads_sum(endpoints, count, exp(middle)) < load_slots)
			low = middle;
		else
			high = middle;
	}
	return exp(high);
}
