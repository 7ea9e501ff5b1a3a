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
#ifndef JT_SPEED_H
#define JT_SPEED_H

#include <stdbool.h>
#include <stdint.h>

/* Averaged response time ratio of one endpoint; all zero: no responses. */
struct jt_speed {
	double log_sum; /* of log(time / usual time), at @as_of_ms */
	double weight;	/* number of responses, at @as_of_ms */
	uint64_t as_of_ms;
};

/* Usual response time of a kind of request; all zero: no responses. */
struct jt_usual {
	double log_ms; /* mean of log(milliseconds + slack) */
	double answers;
	/* Fraction of single segments acknowledged at once. */
	double prompt_part;
};

/* A response as seen through the client's acknowledgement. */
struct jt_answer {
	double took_ms; /* since the request, without network delay */
	bool lone;	/* a single segment */
};

/* Returns the time that the endpoint took for the response, corrected for the
 * delayed acknowledgement of a single segment. */
double jt_usual_took_ms(struct jt_usual *usual, const struct jt_answer *answer);
/* Records a response time of @took_ms milliseconds. Returns the logarithm of
 * its ratio to the previous usual time, bounded. */
double jt_usual_answered(struct jt_usual *usual, double took_ms);
/* Records the log ratio of a response; @nodes nodes share the endpoint. */
void jt_speed_answered(struct jt_speed *speed, double log_ratio, uint64_t nodes,
		       uint64_t now_ms);
/* Merges a peer's average as encoded by its jt_speed_told(). */
void jt_speed_take(struct jt_speed *speed, uint32_t encoded, uint64_t now_ms);
/* Returns the average encoded for peers; 0: no responses. */
uint32_t jt_speed_told(const struct jt_speed *speed, uint64_t now_ms);
/* Returns the relative response time of the endpoint: the time of a request
 * over the usual time of its kind. 1 if there are too few responses or the
 * difference is small. */
double jt_speed_slowness(const struct jt_speed *speed, uint64_t nodes,
			 uint64_t now_ms);

#endif
