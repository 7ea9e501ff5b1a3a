/*
 * Computes how the load of a service should be distributed over its endpoints,
 * and how loaded each endpoint is relative to that target. The least loaded
 * endpoint gets the next flow.
 */
#ifndef JT_TARGET_H
#define JT_TARGET_H

#include "jt_endpoint_table.h"
#include "jt_peer_loads.h"

struct jt_target {
	struct jt_peer_loads *peer_loads;
	/* Nodes that share the endpoints, including this one. */
	uint64_t nodes;
	uint32_t disabled_features; /* bit set of features that are off */
	/* Results of jt_target_compute() for a set of endpoints: */
	double marginal_time; /* marginal response time, jt_load_marginal_time()
			       */
	double slots;	      /* total slots of the endpoints */
	double mean_load;     /* mean optimal load per endpoint */
	bool measured;	      /* true if the service time is known */
};

/* Endpoints of one service that are considered; further ones are ignored. */
enum { JT_TARGET_SAMPLE_MAX = 64 };

/* Computes the optimal load distribution over endpoints of one service. Ignores
 * those beyond JT_TARGET_SAMPLE_MAX. */
void jt_target_compute(struct jt_target *target,
		       struct jt_incarnation *const *endpoints, size_t count,
		       uint64_t now_ms);
/* Returns the endpoint's load, with one more flow of this node, relative to
 * its optimal load; the endpoint with the lowest value is the least loaded. */
double jt_target_load_ratio(const struct jt_target *target,
			    const struct jt_incarnation *in, uint64_t now_ms);
/* Returns the endpoint's optimal load relative to the mean, at most 1. It is
 * low for a slow endpoint while others have headroom. */
double jt_target_relative_load(const struct jt_target *target,
			       const struct jt_incarnation *in,
			       uint64_t now_ms);
/* Records the response to a request of the given kind at the endpoint. */
void jt_target_answered(const struct jt_target *target,
			struct jt_usual_response_time *kind,
			struct jt_incarnation *in,
			const struct jt_response *response, uint64_t now_ms);

#endif
