#include "jt_latency.h"

/* Bucket bounds in milliseconds; the last one stands for infinity. */
static const double bounds_ms[] = {0,	5,    10,   20,	  50,	 100, 200,
				   500, 1000, 2000, 5000, 10000, 1e12};

enum { BOUNDS = sizeof(bounds_ms) / sizeof(bounds_ms[0]) };

static int latency_destructor(struct jt_latency *latency)
{
	gsl_histogram_free(latency->histogram);
	return 0;
}

struct jt_latency *jt_latency_create(TALLOC_CTX *mem_ctx)
{
	struct jt_latency *latency = talloc_zero(mem_ctx, struct jt_latency);

	if (latency == NULL)
		return NULL;
	latency->histogram = gsl_histogram_alloc(BOUNDS - 1);
	if (latency->histogram == NULL) {
		talloc_free(latency);
		return NULL;
	}
	gsl_histogram_set_ranges(latency->histogram, bounds_ms, BOUNDS);
	talloc_set_destructor(latency, latency_destructor);
	return latency;
}

void jt_latency_add(struct jt_latency *latency, uint64_t took_ms)
{
	gsl_histogram_increment(latency->histogram, (double)took_ms);
	latency->sum_ms += (double)took_ms;
	latency->count++;
}

size_t jt_latency_buckets(const struct jt_latency *latency)
{
	return gsl_histogram_bins(latency->histogram);
}

uint64_t jt_latency_up_to(const struct jt_latency *latency, size_t index,
			  uint64_t *bound_ms)
{
	double sum = 0;

	for (size_t i = 0; i <= index; i++)
		sum += gsl_histogram_get(latency->histogram, i);
	*bound_ms = index + 2 < BOUNDS ? (uint64_t)bounds_ms[index + 1] : 0;
	return (uint64_t)sum;
}
