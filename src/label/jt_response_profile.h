/*
 * Response profile of a route: the usual response length and the fraction of
 * much shorter ones. A node sees only how many bytes of a response the client
 * acknowledges, and a rejection or error is a page of a few dozen bytes. Where
 * short responses are common they don't indicate failures.
 *
 * The response time alone is no indication either: a fast endpoint may just be
 * idle.
 */
#ifndef JT_RESPONSE_PROFILE_H
#define JT_RESPONSE_PROFILE_H

#include "jaspertrack/director-t.h"

#include <uthash.h>

/* Profile of the responses of one service on one route. */
struct jt_response_profile {
	struct {
		struct jt_address address; /* of the route */
		uint32_t service_id;
	} key;
	uint32_t responses;  /* number of responses, up to a limit */
	uint64_t updated_ms; /* time of the last update */
	double log_bytes;    /* smoothed logarithm of the usual length */
	double took_ms;	     /* smoothed time of usual responses */
	double short_part;   /* fraction of short responses, over a minute */
	UT_hash_handle hh;
};

struct jt_response_profiles {
	struct jt_response_profile *profiles; /* hash by key */
};

/* Returns NULL when out of memory. */
struct jt_response_profiles *jt_response_profiles_create(TALLOC_CTX *mem_ctx);
/* Returns the profile, creating it if needed; NULL when out of memory. */
struct jt_response_profile *
jt_response_profiles_find(struct jt_response_profiles *profiles,
			  const struct jt_route *route, uint32_t service_id);
/* Removes the profiles of routes that are not in @routing. */
void jt_response_profiles_prune(struct jt_response_profiles *profiles,
				const struct jt_routing *routing);

/* Returns true if a response of @bytes after @took_ms is much shorter than
 * usual. */
bool jt_response_is_short(const struct jt_response_profile *profile,
			  uint32_t bytes, uint64_t took_ms);
/*
 * Returns the probability, up to 1, that a short response is a failure; 0 while
 * there are too few responses. JT_FAILURE_UNSURE where short ones are common:
 * enough to detect an endpoint that sends nothing else, with little effect on
 * others.
 */
#define JT_FAILURE_UNSURE 0.2
double jt_response_failure(const struct jt_response_profile *profile);
/* Updates the profile with a complete response. */
void jt_response_profile_update(struct jt_response_profile *profile,
				uint32_t bytes, uint64_t took_ms,
				uint64_t now_ms);

#endif
