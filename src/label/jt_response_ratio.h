/*
 * Relative response time of an endpoint compared with its service.
 *
 * Each response time is divided by the usual time of its kind of request (its
 * route), and the logarithms of the ratios are averaged: slower kinds of
 * requests don't make an endpoint look slow, and a single outlier has little
 * weight. With few responses the average stays close to the usual time.
 *
 * Each node sees only a few responses of an endpoint. Nodes send each other
 * their averages and merge them (gossip averaging, Kempe, Dobra and Gehrke
 * 2003): sums and weights alike, so that all nodes converge to the average over
 * all responses.
 */
#ifndef JT_RESPONSE_RATIO_H
#define JT_RESPONSE_RATIO_H

#include <stdbool.h>
#include <stdint.h>

/* Averaged response time ratio of one endpoint; all zero: no responses. */
struct jt_response_ratio {
	double log_sum; /* of log(time / usual time), at @as_of_ms */
	double weight;	/* number of responses, at @as_of_ms */
	uint64_t as_of_ms;
};

/* Usual response time of a kind of request; all zero: no responses. */
struct jt_usual_response_time {
	double log_ms; /* mean of log(milliseconds + slack) */
	double responses;
	/* Fraction of single segments acknowledged at once. */
	double prompt_part;
};

/* A response as seen through the client's acknowledgement. */
struct jt_response {
	double took_ms;	     /* since the request, without network delay */
	bool single_segment; /* true if it fitted into one segment */
};

/* Returns the time that the endpoint took for the response, corrected for the
 * delayed acknowledgement of a single segment. */
double jt_usual_response_time_correct(struct jt_usual_response_time *usual,
				      const struct jt_response *response);
/* Records a response time of @took_ms milliseconds. Returns the logarithm of
 * its ratio to the previous usual time, bounded. */
double jt_usual_response_time_update(struct jt_usual_response_time *usual,
				     double took_ms);
/* Records the log ratio of a response; @nodes nodes share the endpoint. */
void jt_response_ratio_update(struct jt_response_ratio *ratio, double log_ratio,
			      uint64_t nodes, uint64_t now_ms);
/* Merges a peer's average as encoded by its jt_response_ratio_encode(). */
void jt_response_ratio_merge(struct jt_response_ratio *ratio, uint32_t encoded,
			     uint64_t now_ms);
/* Returns the average encoded for peers; 0: no responses. */
uint32_t jt_response_ratio_encode(const struct jt_response_ratio *ratio,
				  uint64_t now_ms);
/* Returns the relative response time of the endpoint: the time of a request
 * over the usual time of its kind. 1 if there are too few responses or the
 * difference is small. */
double jt_response_ratio_get(const struct jt_response_ratio *ratio,
			     uint64_t nodes, uint64_t now_ms);

#endif
