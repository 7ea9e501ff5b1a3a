/* Lookups in an immutable routing configuration. */
#ifndef JT_ROUTING_H
#define JT_ROUTING_H

#include "jaspertrack/director-t.h"

/* Returns the route of the flow's destination address and port, NULL if there
 * is none. */
const struct jt_route *jt_routing_route(const struct jt_routing *routing,
					const struct jt_flow_key *key);
/* Returns the service with that id, NULL if there is none. */
const struct jt_routed_service *
jt_routing_service(const struct jt_routing *routing, uint32_t service_id);

/*
 * Sorts routes and services for lookup. Returns NULL, or the name of a route
 * whose address another route has too.
 */
const char *jt_routing_sort(struct jt_routing *routing);

/* Returns true if the route sends new flows to the service. */
bool jt_route_names_service(const struct jt_route *route, uint32_t service_id);

/* Returns true if both routes have the same services with the same weights. */
bool jt_route_same_parts(const struct jt_route *a, const struct jt_route *b);

#endif
