/*
 * How much work each endpoint of a service should have, and how far from it
 * each is: the one that lacks most gets the next flow.
 */
#ifndef JT_TARGET_H
#define JT_TARGET_H

#include "jt_endpoint_table.h"
#include "jt_peer_loads.h"

struct jt_target {
	struct jt_peer_loads *peer_loads;
	uint64_t nodes;	  /* that share the endpoints, this one too */
	uint32_t without; /* mechanisms that are off */
	/* Of the endpoints at hand: */
	double level;  /* jt_fill_level() */
	double slots;  /* requests that all work on at once */
	double share;  /* of the work, at the mean of them */
	bool measured; /* it is known how long their requests take */
};

/* Endpoints of one service that may get new flows; more than
 * JT_TARGET_LOOK_MOST are judged by so many. */
enum { JT_TARGET_LOOK_MOST = 64 };

void jt_target_aim(struct jt_target *target,
		   struct jt_incarnation *const *endpoints, size_t count,
		   uint64_t now_ms);
/* Work there after one more flow, of this node's share, over what it should
 * have; lower is better. */
double jt_target_load(const struct jt_target *target,
		      const struct jt_incarnation *in, uint64_t now_ms);
/* What the endpoint should have of the mean share, 1 at the most: little where
 * it is slow and others have room. */
double jt_target_part(const struct jt_target *target,
		      const struct jt_incarnation *in, uint64_t now_ms);
/* A request of that kind was answered there. */
void jt_target_answered(const struct jt_target *target, struct jt_usual *kind,
			struct jt_incarnation *in,
			const struct jt_answer *answer, uint64_t now_ms);

#endif
