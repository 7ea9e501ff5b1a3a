#include "jt_routing.h"

#include <stdlib.h>

static int compare_numbers(uint64_t a, uint64_t b)
{
	if (a < b)
		return -1;
	return a > b;
}

static uint64_t address_number(struct jt_address address)
{
	return (uint64_t)address.ip << 16 | address.port;
}

static int compare_routes(const void *a, const void *b)
{
	const struct jt_route *left = a, *right = b;

	return compare_numbers(address_number(left->address),
			       address_number(right->address));
}

static int compare_services(const void *a, const void *b)
{
	const struct jt_routed_service *left = a, *right = b;

	return compare_numbers(left->id, right->id);
}

const struct jt_route *jt_routing_route(const struct jt_routing *routing,
					const struct jt_flow_key *key)
{
	struct jt_route wanted = {
		.address = {key->destination, key->destination_port}};

	if (routing == NULL || routing->route_count == 0)
		return NULL;
	return bsearch(&wanted, routing->routes, routing->route_count,
		       sizeof(wanted), compare_routes);
}

const struct jt_routed_service *
jt_routing_service(const struct jt_routing *routing, uint32_t service_id)
{
	struct jt_routed_service wanted = {.id = service_id};

	if (routing == NULL || routing->service_count == 0)
		return NULL;
	return bsearch(&wanted, routing->services, routing->service_count,
		       sizeof(wanted), compare_services);
}

const char *jt_routing_sort(struct jt_routing *routing)
{
	if (routing->service_count > 0)
		qsort(routing->services, routing->service_count,
		      sizeof(*routing->services), compare_services);
	if (routing->route_count == 0)
		return NULL;
	qsort(routing->routes, routing->route_count, sizeof(*routing->routes),
	      compare_routes);
	for (size_t i = 1; i < routing->route_count; i++) {
		if (compare_routes(&routing->routes[i - 1],
				   &routing->routes[i]) == 0)
			return routing->routes[i].name;
	}
	return NULL;
}

bool jt_route_same_parts(const struct jt_route *a, const struct jt_route *b)
{
	if (a->part_count != b->part_count)
		return false;
	for (size_t i = 0; i < a->part_count; i++) {
		if (a->parts[i].service_id != b->parts[i].service_id ||
		    a->parts[i].weight != b->parts[i].weight)
			return false;
	}
	return true;
}

bool jt_route_names_service(const struct jt_route *route, uint32_t service_id)
{
	for (size_t i = 0; i < route->part_count; i++) {
		if (route->parts[i].service_id == service_id &&
		    route->parts[i].weight > 0)
			return true;
	}
	return false;
}
