/*
 * What the answers of a route are like: how long they usually are, and how
 * often a far shorter one comes. A refusal or an error is a page of a few dozen
 * bytes, and a node sees of an answer only how many bytes the caller
 * acknowledges. Where short answers are nothing unusual they say nothing.
 *
 * The time alone says nothing either: one that answers fast may just be free.
 */
#ifndef JT_ANSWER_PROFILE_H
#define JT_ANSWER_PROFILE_H

#include "jaspertrack/director-t.h"

#include <uthash.h>

/* Of the answers of one service on one route. */
struct jt_answer_profile {
	struct {
		struct jt_address address; /* of the route */
		uint32_t service_id;
	} key;
	uint32_t answers;    /* seen so far, up to a limit */
	uint64_t learned_ms; /* the last one */
	double log_bytes;    /* smoothed logarithm of usual lengths */
	double took_ms;	     /* smoothed time of usual answers */
	double short_part;   /* of all answers, over some minutes */
	UT_hash_handle hh;
};

struct jt_answer_profiles {
	struct jt_answer_profile *profiles; /* hash by key */
};

struct jt_answer_profiles *jt_answer_profiles_create(TALLOC_CTX *mem_ctx);
/* NULL when memory runs out. */
struct jt_answer_profile *
jt_answer_profiles_find(struct jt_answer_profiles *profiles,
			const struct jt_route *route, uint32_t service_id);
/* Forget what is known of routes that @routing has no more. */
void jt_answer_profiles_prune(struct jt_answer_profiles *profiles,
			      const struct jt_routing *routing);

/* Whether an answer of so many bytes, after that time, is far shorter than the
 * usual one, as far as that is known. */
bool jt_answer_is_short(const struct jt_answer_profile *profile, uint32_t bytes,
			uint64_t took_ms);
/* How surely a short answer is a failure, up to 1; 0 before enough is known.
 * JT_FAILURE_UNSURE where short ones are common: that still shows an endpoint
 * which has nothing else, and says little of others. */
#define JT_FAILURE_UNSURE 0.2
double jt_answer_failure(const struct jt_answer_profile *profile);
/* Learn from a whole answer. */
void jt_answer_learn(struct jt_answer_profile *profile, uint32_t bytes,
		     uint64_t took_ms, uint64_t now_ms);

#endif
