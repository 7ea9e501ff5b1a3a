/*
 * Which service and which endpoint of it a new flow gets.
 *
 * Parts of a route are kept exact: each new flow goes to the part that is
 * furthest behind its weight. In a service, the endpoint that got the least
 * work lately for its capacity and measured speed is chosen, one of this node's
 * zone as long as its load is not clearly higher than elsewhere.
 */
#ifndef JT_CHOOSE_H
#define JT_CHOOSE_H

#include "jt_endpoint_table.h"
#include "jt_flow_rate.h"
#include "jt_peer_loads.h"
#include "jt_random.h"
#include "jt_split.h"
#include "jt_zone_drains.h"

struct jt_chooser {
	struct jt_splits *splits;
	uint32_t zone_id;
	uint32_t lapsed_grace_ms;
	uint32_t returned_grace_ms;
	struct jt_peer_loads *peer_loads;
	const struct jt_zone_drains *zone_drains;
	struct jt_flow_rate *rate;
	uint64_t learning_until_ms; /* endpoints may be missing so long */
	uint64_t nodes;		    /* that share the endpoints, this one too */
	struct jt_random random;
	unsigned break_mechanism;
	uint32_t without; /* mechanisms that are off */
};

struct jt_chooser *jt_chooser_create(TALLOC_CTX *mem_ctx,
				     const struct jt_director_options *opts,
				     struct jt_peer_loads *peer_loads,
				     const struct jt_zone_drains *zone_drains);
/* NULL when no endpoint of any part may take a new flow; @refusal then says
 * why. */
struct jt_incarnation *jt_chooser_choose(struct jt_chooser *chooser,
					 const struct jt_endpoint_table *table,
					 const struct jt_routing *routing,
					 const struct jt_route *route,
					 uint64_t now_ms,
					 enum jt_director_reason *refusal);
/* A request of the route was answered there. */
void jt_chooser_answered(struct jt_chooser *chooser,
			 const struct jt_route *route,
			 struct jt_incarnation *incarnation,
			 const struct jt_answer *answer, uint64_t now_ms);
/* Flows of all nodes together at the incarnation, as far as is known. */
double jt_chooser_flows(const struct jt_chooser *chooser,
			const struct jt_incarnation *incarnation,
			uint64_t now_ms);
/* An incarnation that has just come, or whose share of new flows is whole
 * again, counts as one that got as much work as the others of its service: it
 * gets its share of new flows, not all of them. */
void jt_chooser_welcome(struct jt_chooser *chooser,
			const struct jt_service_pool *pool,
			struct jt_incarnation *newcomer, uint64_t now_ms);
/* The same while other endpoints may be missing: it gets its first new flow
 * from each node at another time. */
void jt_chooser_spread(const struct jt_chooser *chooser,
		       struct jt_incarnation *newcomer, uint64_t now_ms);
/* Compare the failures of the pool's incarnations, where it is time. */
void jt_chooser_compare(struct jt_chooser *chooser,
			struct jt_service_pool *pool, uint64_t now_ms);
/* The drain of a zone has ended: its endpoints count as ones that got as much
 * work as those of other zones. */
void jt_chooser_welcome_zone(const struct jt_chooser *chooser,
			     const struct jt_endpoint_table *table,
			     uint32_t zone_id, uint64_t now_ms);
#endif
