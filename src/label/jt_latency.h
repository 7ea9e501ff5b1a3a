/* Histogram of response times, from the arrival of a request to the client's
 * acknowledgement of the response, as seen by this node. */
#ifndef JT_LATENCY_H
#define JT_LATENCY_H

#include <gsl/gsl_histogram.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

struct jt_latency {
	gsl_histogram *histogram; /* in milliseconds */
	double sum_ms;
	uint64_t count;
};

/* Returns NULL when out of memory. */
struct jt_latency *jt_latency_create(TALLOC_CTX *mem_ctx);
/* Records a response time of @took_ms milliseconds. */
void jt_latency_add(struct jt_latency *latency, uint64_t took_ms);
/* Returns the number of buckets; the last one is unbounded. */
size_t jt_latency_buckets(const struct jt_latency *latency);
/* Returns the cumulative count of bucket @index and sets @bound_ms to its upper
 * bound; 0 for the last bucket. */
uint64_t jt_latency_up_to(const struct jt_latency *latency, size_t index,
			  uint64_t *bound_ms);

#endif
