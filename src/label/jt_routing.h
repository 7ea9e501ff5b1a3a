/* Lookups in an immutable routing configuration. */
#ifndef JT_ROUTING_H
#define JT_ROUTING_H

#include "jaspertrack/director-t.h"

/* The route of the address that a flow's packets name, NULL if none. */
const struct jt_route *jt_routing_route(const struct jt_routing *routing,
					const struct jt_flow_key *key);
/* NULL when the routing has no service of that id. */
const struct jt_routed_service *
jt_routing_service(const struct jt_routing *routing, uint32_t service_id);

/*
 * Sort routes and services for lookup. Returns NULL, or the name of a route
 * whose address another route has too.
 */
const char *jt_routing_sort(struct jt_routing *routing);

/* Whether two routes have the same services with the same weights. */
bool jt_route_same_parts(const struct jt_route *a, const struct jt_route *b);

#endif
