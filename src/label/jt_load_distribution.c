#include "jt_load_distribution.h"

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
#define MARGINAL_TIME_MAX 500.0

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

double jt_load_optimal(const struct jt_load_endpoint *endpoint,
		       double marginal_time)
{
	double planned =
		isinf(marginal_time)
			? UTILISATION_MAX
			: utilisation(marginal_time / endpoint->relative_time,
				      endpoint->slots);

	return planned * endpoint->slots / endpoint->relative_time;
}

static double loads_sum(const struct jt_load_endpoint *endpoints, size_t count,
			double marginal_time)
{
	double sum = 0;

	for (size_t i = 0; i < count; i++)
		sum += jt_load_optimal(&endpoints[i], marginal_time);
	return sum;
}

double jt_load_marginal_time(const struct jt_load_endpoint *endpoints,
			     size_t count, double load_slots)
{
	double low = 0, high = log(MARGINAL_TIME_MAX), capacity = 0;

	for (size_t i = 0; i < count; i++) {
		low = fmin(low, log(endpoints[i].relative_time));
		capacity += endpoints[i].slots / endpoints[i].relative_time;
	}
	load_slots = fmax(load_slots, capacity * TOTAL_UTILISATION_MIN);
	if (loads_sum(endpoints, count, MARGINAL_TIME_MAX) <= load_slots)
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
