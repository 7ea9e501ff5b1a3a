/*
 * Adaptive concurrency limit: how many requests of a service one node may have
 * in flight, derived from their response times.
 *
 * The limit is a window, as in delay-based congestion control (TCP Vegas;
 * Netflix' gradient limits): requests in flight beyond the endpoints' slots
 * wait in their queues, so that the delay follows the window. There is no limit
 * until responses take too long while the load fills the slots, and none once
 * the demand fits again.
 *
 * All nodes measure about the same delay. Each raises its limit in proportion
 * to the demand beyond it and lowers it in proportion to the limit itself, so
 * that the nodes' limits converge to the ratio of their demands (Chiu and
 * Jain).
 */
#ifndef JT_CONCURRENCY_LIMIT_H
#define JT_CONCURRENCY_LIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { JT_LIMIT_SAMPLES = 64 };

/* Measurements of the service since the last step. */
struct jt_limit_samples {
	uint16_t took_ms[JT_LIMIT_SAMPLES]; /* latest response times */
	uint32_t responses; /* responses to requests that were served */
	uint32_t rejected;  /* responses classified as rejections */
	/* Responses to requests on open flows, which are bound to an endpoint.
	 */
	uint32_t open_flow_responses;
	uint32_t begun;	  /* requests forwarded */
	uint32_t refused; /* first packets refused */
};

struct jt_concurrency_limit {
	struct jt_limit_samples samples;
	double limit;		   /* requests in flight; 0: no limit */
	double delay_ms;	   /* smoothed lower quartile */
	double allowed_ms;	   /* target of the control loop */
	double fast_delay_ms;	   /* smoothed lowest decile at low queueing */
	double rejection_delay_ms; /* faster responses count as rejections */
	double rejected_part;	   /* smoothed part of the requests */
	/* 0: endpoints reject few requests, 1: their queues are full. */
	double pressure;
	/* Smoothed length that a quarter of the responses exceed. */
	double usual_bytes;
	double begun_per_s; /* smoothed */
	double responses_per_s;
	double offered_per_s; /* including refused ones */
	uint64_t stepped_ms;
	uint64_t refused_ms; /* last refusal */
};

/* Properties of the service as a whole. */
struct jt_limit_service {
	uint32_t target_ms; /* target response time */
	/* Requests that the ready endpoints serve concurrently. */
	uint64_t slots;
	uint64_t nodes; /* nodes that share the endpoints */
};

enum jt_limit_change { JT_LIMIT_SAME, JT_LIMIT_BEGAN, JT_LIMIT_ENDED };

/* Records that the first @bytes of a response were acknowledged. Returns false
 * if the response is classified as a rejection by the endpoint. */
bool jt_concurrency_limit_answered(struct jt_concurrency_limit *limit,
				   uint64_t took_ms, uint32_t bytes);
/* Records the response to a request on an open flow, which is bound to its
 * endpoint. */
void jt_concurrency_limit_open_flow_answered(
	struct jt_concurrency_limit *limit);
/* Records that a request was forwarded. */
void jt_concurrency_limit_begun(struct jt_concurrency_limit *limit);
/* Records that a first packet was refused. */
void jt_concurrency_limit_refused(struct jt_concurrency_limit *limit,
				  uint64_t now_ms);
/* Runs one step of the control loop; call it about ten times a second. Returns
 * whether the limit began or ended in this step. */
enum jt_limit_change
jt_concurrency_limit_step(struct jt_concurrency_limit *limit,
			  const struct jt_limit_service *service,
			  uint64_t now_ms);

#endif
