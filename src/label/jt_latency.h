/*
 * How long requests took, in a histogram of GSL: from the request's bytes to
 * the caller's acknowledgement of the answer, as this node sees it.
 */
#ifndef JT_LATENCY_H
#define JT_LATENCY_H

#include <gsl/gsl_histogram.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

struct jt_latency {
	gsl_histogram *histogram; /* of milliseconds */
	double sum_ms;
	uint64_t count;
};

/* NULL when memory runs out. */
struct jt_latency *jt_latency_create(TALLOC_CTX *mem_ctx);
void jt_latency_add(struct jt_latency *latency, uint64_t took_ms);
/* How many buckets there are; the last one holds all that took longer. */
size_t jt_latency_buckets(const struct jt_latency *latency);
/* Requests that took @most_ms of bucket @index at the most; the last bucket
 * has no bound, and @most_ms is 0. */
uint64_t jt_latency_up_to(const struct jt_latency *latency, size_t index,
			  uint64_t *most_ms);

#endif
