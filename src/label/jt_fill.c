#include "jt_fill.h"

#include <math.h>

enum { LEVEL_STEPS = 16 };

/* Nobody is planned to be busier than that part of the time: queues would grow
 * without bounds. */
#define BUSY_MOST 0.95
/* One that should rest counts as that busy, so that it is comparable. */
#define BUSY_LEAST 0.01
/* All together count as that busy at the least: with hardly any work the very
 * fastest would get all of it, and much would hang on few. */
#define BUSY_TOGETHER_LEAST 0.2
/* The marginal time at BUSY_MOST with one slot, rounded up. */
#define LEVEL_MOST 500.0

/* The utilisation at which the marginal time is @times that of an idle one. */
static double utilisation(double times, double slots)
{
	double b = 2 * times + slots - 1;
	double powered;

	if (times <= 1)
		return BUSY_LEAST;
	powered = (b - sqrt(b * b - 4 * times * (times - 1))) / (2 * times);
	return fmin(fmax(pow(powered, 1 / slots), BUSY_LEAST), BUSY_MOST);
}

double jt_fill_share(const struct jt_fill_endpoint *endpoint, double level)
{
	double busy = isinf(level) ? BUSY_MOST
				   : utilisation(level / endpoint->slowness,
						 endpoint->slots);

	return busy * endpoint->slots / endpoint->slowness;
}

static double shares_sum(const struct jt_fill_endpoint *endpoints, size_t count,
			 double level)
{
	double sum = 0;

	for (size_t i = 0; i < count; i++)
		sum += jt_fill_share(&endpoints[i], level);
	return sum;
}

double jt_fill_level(const struct jt_fill_endpoint *endpoints, size_t count,
		     double busy_slots)
{
	double low = 0, high = log(LEVEL_MOST), power = 0;

	for (size_t i = 0; i < count; i++) {
		low = fmin(low, log(endpoints[i].slowness));
		power += endpoints[i].slots / endpoints[i].slowness;
	}
	busy_slots = fmax(busy_slots, power * BUSY_TOGETHER_LEAST);
	if (shares_sum(endpoints, count, LEVEL_MOST) <= busy_slots)
		return INFINITY;
	for (int step = 0; step < LEVEL_STEPS; step++) {
		double middle = (low + high) / 2;

		if (shares_sum(endpoints, count, exp(middle)) < busy_slots)
			low = middle;
		else
			high = middle;
	}
	return exp(high);
}
