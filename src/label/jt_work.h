/*
 * How much work an endpoint got lately: requests, each of which counts for less
 * the longer ago it came. Open flows say little of it: some carry one request,
 * some hundreds, some rest.
 */
#ifndef JT_WORK_H
#define JT_WORK_H

#include <stdint.h>

/* The mean age of the requests that count, milliseconds: at a steady rate they
 * are that rate times this. */
#define JT_WORK_MEMORY_MS 721.0

struct jt_work {
	double requests; /* as of @as_of_ms */
	uint64_t as_of_ms;
};

/* Requests lately, at @now_ms. */
double jt_work_now(const struct jt_work *work, uint64_t now_ms);
/* Requests a second at a steady rate that has so many of them lately. */
double jt_work_per_s(double requests);
/* So many requests more. */
void jt_work_add(struct jt_work *work, double requests, uint64_t now_ms);

#endif
