/*
 * How busy each endpoint of a service should be, so that requests are done
 * soonest on average: the fastest alone while they are nearly idle, slower ones
 * as soon as a request would be done as soon there, all alike near overload.
 *
 * For endpoints of several slots the mean time at one with utilisation u is
 * taken as its time for a request / (1 - u^slots): exact for queues of one and
 * two slots (M/M/1, M/M/2). The optimum has the same marginal time at each
 * endpoint that gets any (Tantawi and Towsley 1985; for the threshold at which
 * a slow server is used, Lin and Kumar 1984).
 */
#ifndef JT_FILL_H
#define JT_FILL_H

#include <stddef.h>

struct jt_fill_endpoint {
	double slots;	 /* requests that it works on at once */
	double slowness; /* time for a request, 1: the usual one */
};

/* So much time at the margin, in usual times, is spent at each endpoint that
 * gets any request when all together have work for @busy_slots slots of usual
 * speed. INFINITY where they hardly bear it. */
double jt_fill_level(const struct jt_fill_endpoint *endpoints, size_t count,
		     double busy_slots);
/* Work that the endpoint then has, in slots of usual speed; never 0. */
double jt_fill_share(const struct jt_fill_endpoint *endpoint, double level);

#endif
