/*
 * How fast an endpoint works, relative to what is usual of its service.
 *
 * Each answer's time is divided by the usual time of its kind of request (its
 * route), and the logarithms of the quotients are averaged: kinds that take
 * longer don't make an endpoint look slow, and one answer of several times the
 * usual time weighs little. Few answers say little: the average is drawn to
 * the usual speed.
 *
 * Each of many nodes sees a few answers of an endpoint only. Nodes tell each
 * other their averages, and average those (gossip averaging, Kempe, Dobra and
 * Gehrke 2003): sums and weights alike, so that what all hold tends to the
 * average over the answers of all.
 */
#ifndef JT_SPEED_H
#define JT_SPEED_H

#include <stdbool.h>
#include <stdint.h>

/* Of one endpoint; all zero: nothing is known. */
struct jt_speed {
	double log_sum; /* of logarithms of (time / usual time), as of then */
	double weight;	/* answers that it stands for, as of then */
	uint64_t as_of_ms;
};

/* Usual time of a kind of request; all zero: nothing is known. */
struct jt_usual {
	double log_ms; /* mean of the logarithms of milliseconds, and some */
	double answers;
	double prompt_part; /* of lone segments: acknowledged at once */
};

/* What a node sees of an answer, by the caller's acknowledgement of it. */
struct jt_answer {
	double took_ms; /* since the request, without the time on the way */
	bool lone;	/* a single segment */
};

/* How long the endpoint took for the answer: callers may wait for more before
 * they acknowledge a lone segment. */
double jt_usual_took_ms(struct jt_usual *usual, const struct jt_answer *answer);
/* An answer took so long, milliseconds. Returns the logarithm of its time over
 * the usual one, as it was before, within bounds. */
double jt_usual_answered(struct jt_usual *usual, double took_ms);
/* So much was an answer slower than usual, of @nodes that share the endpoint.
 */
void jt_speed_answered(struct jt_speed *speed, double log_ratio, uint64_t nodes,
		       uint64_t now_ms);
/* What a peer told, jt_speed_told() of its own. */
void jt_speed_take(struct jt_speed *speed, uint32_t told, uint64_t now_ms);
/* What peers are told of it. */
uint32_t jt_speed_told(const struct jt_speed *speed, uint64_t now_ms);
/* Time that a request takes there over the usual time of its kind; 1 where too
 * little is known or the difference is small. */
double jt_speed_slowness(const struct jt_speed *speed, uint64_t nodes,
			 uint64_t now_ms);

#endif
