/*
 * Chooses the service and the endpoint that a new flow is assigned to.
 *
 * New flows are split over the parts of a route by weight: each goes to the
 * part that is furthest behind its weight. Within a service the endpoint with
 * the lowest recent load, relative to its capacity and response ratio, is
 * chosen. Endpoints of this node's zone are preferred unless endpoints of other
 * zones are clearly less loaded.
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
	uint32_t expired_grace_ms;
	uint32_t outage_grace_ms;
	struct jt_peer_loads *peer_loads;
	const struct jt_zone_drains *zone_drains;
	struct jt_flow_rate *rate;
	/* End of the initial synchronisation; until then endpoints may be
	 * unknown. */
	uint64_t initial_sync_until_ms;
	/* Nodes that share the endpoints, including this one. */
	uint64_t nodes;
	struct jt_random random;
	unsigned injected_faults;
	uint32_t disabled_features; /* bit set of features that are off */
};

/* Returns NULL if out of memory. @peer_loads and @zone_drains are not owned and
 * must outlive the chooser. */
struct jt_chooser *jt_chooser_create(TALLOC_CTX *mem_ctx,
				     const struct jt_director_options *opts,
				     struct jt_peer_loads *peer_loads,
				     const struct jt_zone_drains *zone_drains);
/* Chooses an endpoint for a new flow. Returns NULL if no endpoint of any part
 * is eligible; @refusal is then the reason. */
struct jt_incarnation *jt_chooser_choose(struct jt_chooser *chooser,
					 const struct jt_endpoint_table *table,
					 const struct jt_routing *routing,
					 const struct jt_route *route,
					 uint64_t now_ms,
					 enum jt_director_reason *refusal);
/* Records the response to a request of @route at @incarnation. */
void jt_chooser_answered(struct jt_chooser *chooser,
			 const struct jt_route *route,
			 struct jt_incarnation *incarnation,
			 const struct jt_response *response, uint64_t now_ms);
/* Returns the estimated number of open flows of all nodes at the
 * incarnation. */
double jt_chooser_flows(const struct jt_chooser *chooser,
			const struct jt_incarnation *incarnation,
			uint64_t now_ms);
/* Raises the recent load of a new incarnation, or of one whose traffic share
 * has been restored, to the mean of its service, so that it gets its share of
 * new flows and not all of them. */
void jt_chooser_equalise_load(struct jt_chooser *chooser,
			      const struct jt_service_pool *pool,
			      struct jt_incarnation *incarnation,
			      uint64_t now_ms);
/* Staggers the first new flows of all nodes to a new incarnation during the
 * initial synchronisation. */
void jt_chooser_stagger_start(const struct jt_chooser *chooser,
			      struct jt_incarnation *incarnation,
			      uint64_t now_ms);
/* Compares the failure rates of the pool's incarnations if a comparison is
 * due. */
void jt_chooser_compare(struct jt_chooser *chooser,
			struct jt_service_pool *pool, uint64_t now_ms);
/* Raises the recent load of the zone's endpoints, whose drain has ended, to
 * the mean of the endpoints in other zones. */
void jt_chooser_equalise_zone_load(const struct jt_chooser *chooser,
				   const struct jt_endpoint_table *table,
				   uint32_t zone_id, uint64_t now_ms);
#endif
