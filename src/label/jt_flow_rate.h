/*
 * How many new flows one endpoint gets in a second, over all nodes together.
 *
 * Nodes agree on nothing; each works out from the nodes that it knows which few
 * of them may use an endpoint (rendezvous hashing), and one of those few sends
 * it a new flow at most once a second.
 *
 * Two cases need it. The routing may say what a cold endpoint of a service
 * bears: then the few are so few that two sets of nodes that know nothing of
 * each other stay within the limit. And while entries come back to the store,
 * the first endpoints that are known would get the flows of all.
 */
#ifndef JT_FLOW_RATE_H
#define JT_FLOW_RATE_H

#include "jt_endpoint_table.h"

/* A rate that bounds nothing. */
enum { JT_FLOW_RATE_ANY = UINT32_MAX >> 1 };

struct jt_flow_rate {
	uint32_t overshoot_permille; /* of what a cold endpoint bears */
	uint32_t slack;		     /* flows a second beyond that */
	uint64_t own_id;
	uint64_t known_since_ms; /* this node has heard of peers since then */
	uint64_t *peers;	 /* ids of the other live nodes */
	size_t peer_count;
};

struct jt_flow_rate *
jt_flow_rate_create(TALLOC_CTX *mem_ctx,
		    const struct jt_director_options *options);
/* The nodes that live, as this one believes at @now_ms. */
void jt_flow_rate_nodes(struct jt_flow_rate *rate, uint64_t own_id,
			const uint64_t *peers, size_t count, uint64_t now_ms);
/*
 * New flows a second that the incarnation may get from all nodes of one set
 * for its coldness. @permille: what a cold one bears, jt_routed_service.
 */
uint32_t jt_flow_rate_cold(const struct jt_flow_rate *rate,
			   const struct jt_incarnation *in, uint32_t permille,
			   uint64_t now_ms);
/* The same while other endpoints may be missing: what its slots bear. */
uint32_t jt_flow_rate_learning(const struct jt_incarnation *in);
/* The incarnation has just come: nodes that all learn of it in one moment send
 * it their first flows one after the other. */
void jt_flow_rate_spread(const struct jt_flow_rate *rate,
			 struct jt_incarnation *in, uint32_t per_s,
			 uint64_t now_ms);
/* Whether this node may send the incarnation a new flow now, where it gets
 * @per_s a second. */
bool jt_flow_rate_allows(const struct jt_flow_rate *rate,
			 const struct jt_incarnation *in, uint32_t per_s,
			 uint64_t now_ms);
/* It gets one. */
void jt_flow_rate_given(const struct jt_flow_rate *rate,
			struct jt_incarnation *in, uint32_t per_s,
			uint64_t now_ms);

#endif
