/*
 * Splits the new flows of a route over its parts: each flow goes to the part
 * that is furthest behind its weight, which keeps the shares exact over any
 * period.
 */
#ifndef JT_SPLIT_H
#define JT_SPLIT_H

#include "jaspertrack/director-t.h"

#include "jt_response_ratio.h"

#include <uthash.h>

/* Flows and requests assigned to the parts of a route so far. */
struct jt_split {
	struct jt_address address; /* address of the route */
	struct jt_route route;	   /* the route when counting began */
	uint64_t assigned[JT_ROUTE_PART_LIMIT];
	/* By part. */
	struct jt_usual_response_time response_times[JT_ROUTE_PART_LIMIT];
	UT_hash_handle hh;
};

struct jt_splits {
	struct jt_split *routes; /* hash by address */
};

/* Returns NULL if out of memory. */
struct jt_splits *jt_splits_create(TALLOC_CTX *mem_ctx);
/* Returns the split of the route, created if necessary. Its counts are reset
 * when the route's parts have changed. Returns NULL if out of memory. */
struct jt_split *jt_splits_find(struct jt_splits *splits,
				const struct jt_route *route);
/* Records a flow or request assigned to the part. */
void jt_split_assign(struct jt_split *split, size_t part);
/* Returns the part furthest behind its weight among those not in the bit set
 * @tried, or -1 if there is none. */
int jt_split_next(const struct jt_split *split, unsigned tried);
/* Records a request of the route to @service_id on an open flow. */
void jt_splits_count(struct jt_splits *splits, const struct jt_route *route,
		     uint32_t service_id);
/* Returns the response times of the route's requests at @service_id, or NULL
 * if the service is not a part of the route. */
struct jt_usual_response_time *jt_split_response_time(struct jt_split *split,
						      uint32_t service_id);
/* Removes the splits of routes that are not in @routing. */
void jt_splits_prune(struct jt_splits *splits,
		     const struct jt_routing *routing);

#endif
