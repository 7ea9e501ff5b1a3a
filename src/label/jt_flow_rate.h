/*
 * Rate limit of new flows to an endpoint, over all nodes together.
 *
 * Nodes don't coordinate. Each derives from the nodes that it knows which of
 * them may use an endpoint (rendezvous hashing), and each of these sends it at
 * most one new flow per second.
 *
 * The limit applies in two cases: to cold endpoints of a service whose routing
 * limits their rate, where two groups of nodes that don't know of each other
 * still stay within the limit; and during the initial synchronisation, when the
 * first known endpoints would otherwise receive all flows.
 */
#ifndef JT_FLOW_RATE_H
#define JT_FLOW_RATE_H

#include "jt_endpoint_table.h"

/* Unlimited rate. */
enum { JT_FLOW_RATE_UNLIMITED = UINT32_MAX >> 1 };

struct jt_flow_rate {
	/* Multiple of a cold endpoint's accepted rate, in thousandths. */
	uint32_t overshoot_permille;
	uint32_t slack; /* additional flows per second */
	uint64_t own_id;
	uint64_t known_since_ms; /* when peers first became known */
	uint64_t *peers;	 /* ids of the other live nodes */
	size_t peer_count;
};

/* Returns NULL when out of memory. */
struct jt_flow_rate *
jt_flow_rate_create(TALLOC_CTX *mem_ctx,
		    const struct jt_director_options *options);
/* Sets the live nodes as known at @now_ms. */
void jt_flow_rate_nodes(struct jt_flow_rate *rate, uint64_t own_id,
			const uint64_t *peers, size_t count, uint64_t now_ms);
/* Returns the new flows per second that the incarnation may get from all nodes
 * of one group while it is cold. @permille: the rate that a cold one accepts,
 * see jt_routed_service. */
uint32_t jt_flow_rate_cold(const struct jt_flow_rate *rate,
			   const struct jt_incarnation *in, uint32_t permille,
			   uint64_t now_ms);
/* Returns the rate during the initial synchronisation, when other endpoints may
 * be missing: what its slots can handle. */
uint32_t jt_flow_rate_initial_sync(const struct jt_incarnation *in);
/* Delays the first flow to a new incarnation by a different time at each node,
 * because many nodes learn of it at the same moment. */
void jt_flow_rate_stagger(const struct jt_flow_rate *rate,
			  struct jt_incarnation *in, uint32_t per_s,
			  uint64_t now_ms);
/* Returns true if this node may send the incarnation a new flow now, given its
 * rate of @per_s flows per second. */
bool jt_flow_rate_allows(const struct jt_flow_rate *rate,
			 const struct jt_incarnation *in, uint32_t per_s,
			 uint64_t now_ms);
/* Records that the incarnation was assigned a new flow. */
void jt_flow_rate_consume(const struct jt_flow_rate *rate,
			  struct jt_incarnation *in, uint32_t per_s,
			  uint64_t now_ms);

#endif
