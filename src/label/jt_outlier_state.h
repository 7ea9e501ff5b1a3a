/* What is remembered of the failures of an endpoint and of its service
 * (jt_outlier.h). */
#ifndef JT_OUTLIER_STATE_H
#define JT_OUTLIER_STATE_H

#include <stdbool.h>
#include <stdint.h>

/* Of one incarnation; all zero where no failure is known. */
struct jt_outlier {
	/* Requests that failed lately, by the weight of the signs, and that
	 * were served, both as this node saw them and was told. */
	double failed;
	double served;
	uint64_t as_of_ms;     /* of both */
	uint32_t half_life_ms; /* of both; 0: no failure is known */
	uint64_t failed_ms;    /* the last sign */
	uint64_t told_ms;      /* when this node or a peer told all */
	uint64_t
		low_since_ms; /* the share was low then, and signs came since */
	bool reduced;	      /* it is told as reduced */
};

/* Of all incarnations of one service. */
struct jt_outlier_peers {
	uint64_t compared_ms; /* the last look at all */
	double requests;      /* lately at one of them, from all nodes */
	double room;	      /* part of their slots that is free, if known */
	double usual;	      /* failing part of the better ones */
};

#endif
