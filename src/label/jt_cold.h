/*
 * How many new flows a cold endpoint gets in a second, over all nodes together.
 *
 * The routing may say what a cold endpoint of a service bears. Nodes agree on
 * nothing; each works out from the nodes that it knows which few of them may
 * use the endpoint while it is cold (rendezvous hashing), and one of those
 * few sends it a new flow at most once a second. The few are so few that two
 * sets of nodes that know nothing of each other stay within the limit.
 */
#ifndef JT_COLD_H
#define JT_COLD_H

#include "jt_endpoint_table.h"

struct jt_cold {
	uint32_t overshoot_permille; /* of what a cold endpoint bears */
	uint32_t slack;		     /* flows a second beyond that */
	uint64_t own_id;
	uint64_t known_since_ms; /* this node has heard of peers since then */
	uint64_t *peers;	 /* ids of the other live nodes */
	size_t peer_count;
};

struct jt_cold *jt_cold_create(TALLOC_CTX *mem_ctx,
			       const struct jt_director_options *options);
/* The nodes that live, as this one believes at @now_ms. */
void jt_cold_nodes(struct jt_cold *cold, uint64_t own_id, const uint64_t *peers,
		   size_t count, uint64_t now_ms);
/* Whether this node may send the incarnation a new flow now, as far as its
 * coldness goes. @permille: what one bears, see jt_routed_service. */
bool jt_cold_allows(const struct jt_cold *cold, const struct jt_incarnation *in,
		    uint32_t permille, uint64_t now_ms);
/* It gets one. */
void jt_cold_given(const struct jt_cold *cold, struct jt_incarnation *in,
		   uint32_t permille, uint64_t now_ms);

#endif
