/*
 * Optimal distribution of a service's load over its endpoints: the utilisation
 * of each endpoint that minimises the mean response time. At low load only the
 * fastest endpoints are used; slower ones are added as the response time of the
 * fast ones rises, and near overload all are utilised alike.
 *
 * The mean response time of an endpoint with utilisation u is modelled as
 * service time / (1 - u^slots), which is exact for M/M/1 and M/M/2 queues. In
 * the optimum the marginal response time is the same at every endpoint in use
 * (Tantawi and Towsley 1985; for the threshold at which a slow server is used,
 * Lin and Kumar 1984).
 */
#ifndef JT_FILL_H
#define JT_FILL_H

#include <stddef.h>

struct jt_fill_endpoint {
	double slots;	 /* requests served concurrently */
	double slowness; /* relative response time; 1: usual */
};

/* Returns the marginal response time, in units of the usual service time, at
 * which the endpoints together carry a load of @load_slots slots of usual
 * speed. Returns INFINITY if that load is close to their total capacity or
 * above it. */
double jt_fill_level(const struct jt_fill_endpoint *endpoints, size_t count,
		     double load_slots);
/* Returns the endpoint's optimal load at that marginal response time, in slots
 * of usual speed; always above 0. */
double jt_fill_share(const struct jt_fill_endpoint *endpoint, double level);

#endif
