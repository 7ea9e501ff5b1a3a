/*
 * How the new flows of a route are split over its parts: each goes to the part
 * that is furthest behind its weight, so that shares are exact over any run.
 */
#ifndef JT_SPLIT_H
#define JT_SPLIT_H

#include "jaspertrack/director-t.h"

#include "jt_speed.h"

#include <uthash.h>

/* Flows and requests that a route's parts got so far. */
struct jt_split {
	struct jt_address address; /* of the route */
	struct jt_route route;	   /* as it was when counting began */
	uint64_t given[JT_ROUTE_PART_LIMIT];
	struct jt_usual usual[JT_ROUTE_PART_LIMIT]; /* time of requests */
	UT_hash_handle hh;
};

struct jt_splits {
	struct jt_split *routes; /* hash by address */
};

struct jt_splits *jt_splits_create(TALLOC_CTX *mem_ctx);
/* The split of the route, which begins anew when the route's parts have
 * changed. NULL when memory runs out. */
struct jt_split *jt_splits_find(struct jt_splits *splits,
				const struct jt_route *route);
/* A flow or request went to the part. */
void jt_split_give(struct jt_split *split, size_t part);
/* The part furthest behind its weight of those not in @tried (bits), or -1. */
int jt_split_next(const struct jt_split *split, unsigned tried);
/* A request of the route went to @service_id on a flow that is open. */
void jt_splits_count(struct jt_splits *splits, const struct jt_route *route,
		     uint32_t service_id);
/* Time of requests of the route at @service_id, NULL when it is no part. */
struct jt_usual *jt_split_usual(struct jt_split *split, uint32_t service_id);
/* Forget the splits of routes that @routing has no more. */
void jt_splits_prune(struct jt_splits *splits,
		     const struct jt_routing *routing);

#endif
