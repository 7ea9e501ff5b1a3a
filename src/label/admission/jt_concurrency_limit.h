/*
 * How many requests of a service one node may have in flight, learned from how
 * long their answers take.
 *
 * The limit is a window as that of a congestion control by delay (TCP Vegas;
 * Netflix' gradient limits): what is in flight beyond the endpoints' slots
 * waits in their queues, so that the delay follows the window and not its
 * integral. There is no limit until answers wait too long although the load
 * fills the slots, and none once the demand fits again.
 *
 * All nodes see about the same delay. Each raises its limit by a part of what
 * it was offered beyond it, and lowers it by a part of itself: so the limits
 * come to stand to each other as the nodes' demands do (Chiu and Jain).
 */
#ifndef JT_CONCURRENCY_LIMIT_H
#define JT_CONCURRENCY_LIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { JT_LIMIT_SAMPLES = 64 };

/* What the node saw of the service since the last step. */
struct jt_limit_samples {
	uint16_t took_ms[JT_LIMIT_SAMPLES]; /* the latest answers */
	uint32_t answers;		    /* after work */
	uint32_t rejected;		    /* answers too quick for that */
	uint32_t bound; /* answers to requests that had no choice of endpoint */
	uint32_t begun; /* requests that were let pass */
	uint32_t refused; /* first packets that were not */
};

struct jt_concurrency_limit {
	struct jt_limit_samples samples;
	double limit;	      /* requests in flight, 0: any number */
	double delay_ms;      /* of the quickest quarter, smoothed */
	double allowed_ms;    /* the delay that the limit is steered to */
	double quick_ms;      /* the quickest tenth, when little waits */
	double work_least_ms; /* no work is done in less */
	double rejected_part; /* of the requests, smoothed */
	double pressure;      /* 0: endpoints take what they get, 1: full */
	double usual_bytes;   /* that a quarter of the answers exceed */
	double begun_per_s;   /* smoothed */
	double answers_per_s;
	double offered_per_s; /* with what was refused */
	uint64_t stepped_ms;
	uint64_t refused_ms; /* when something was refused last */
};

/* What a step must know of the service as a whole. */
struct jt_limit_service {
	uint32_t target_ms; /* in which callers want their answers */
	uint64_t slots;	    /* requests that ready endpoints work on at once */
	uint64_t nodes;	    /* that share them */
};

enum jt_limit_change { JT_LIMIT_SAME, JT_LIMIT_BEGAN, JT_LIMIT_ENDED };

/* The first @bytes of a request's answer were acknowledged. False: by all signs
 * the endpoint has rejected the request. */
bool jt_concurrency_limit_answered(struct jt_concurrency_limit *limit,
				   uint64_t took_ms, uint32_t bytes);
/* A request that was bound to its open flow's endpoint was answered. */
void jt_concurrency_limit_bound(struct jt_concurrency_limit *limit);
void jt_concurrency_limit_begun(struct jt_concurrency_limit *limit);
void jt_concurrency_limit_refused(struct jt_concurrency_limit *limit,
				  uint64_t now_ms);
/* Call it about ten times a second. */
enum jt_limit_change
jt_concurrency_limit_step(struct jt_concurrency_limit *limit,
			  const struct jt_limit_service *service,
			  uint64_t now_ms);

#endif
