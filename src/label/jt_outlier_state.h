/*
 * Failure statistics of an endpoint and of its service (jt_outlier.h).
 */
#ifndef JT_OUTLIER_STATE_H
#define JT_OUTLIER_STATE_H

#include <stdbool.h>
#include <stdint.h>

/* Statistics of one incarnation; all zero if no failure is known. */
struct jt_outlier {
	/* Recent requests that failed, by weight, and that were served, as
	 * seen by this node and reported by peers. */
	double failed;
	double served;
	uint64_t as_of_ms;     /* time of both counts */
	uint32_t half_life_ms; /* of both counts; 0: no failure known */
	uint64_t failed_ms;    /* last failure */
	uint64_t reported_ms;  /* last report to or from peers */
	/* When the share was first low, or the half-life last doubled; 0: the
	 * share was not low. */
	uint64_t low_since_ms;
	bool reduced; /* the last reported state */
};

/* Statistics of all incarnations of one service. */
struct jt_outlier_service {
	uint64_t compared_ms;	/* last comparison */
	double requests;	/* mean recent requests, all nodes */
	double free_slots_part; /* free part of their slots, if known */
	double reference_rate;	/* lower quartile of failure rates */
};

#endif
