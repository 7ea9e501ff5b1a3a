#include "label_routing.h"
#include "jt_routing.h"
#include "world_private.h"

enum { FLOW_IDLE_MS = 600000 };

struct jt_routing *label_routing_create(TALLOC_CTX *mem_ctx,
					const struct world *world)
{
	const struct jt_config *config = world->config;
	struct jt_routing *routing = talloc_zero(mem_ctx, struct jt_routing);

	routing->version = world->revision;
	routing->flow_idle_ms = FLOW_IDLE_MS;
	routing->routes = talloc_zero_array(routing, struct jt_route,
					    config->address_count);
	for (size_t i = 0; i < config->address_count; i++) {
		struct jt_route *route = &routing->routes[i];

		route->address = config->addresses[i].address;
		route->parts[0].service_id = config->addresses[i].service + 1;
		route->parts[0].weight = 1;
		route->part_count = 1;
	}
	routing->route_count = config->address_count;
	routing->services = talloc_zero_array(routing, struct jt_routed_service,
					      config->service_count);
	routing->service_count = config->service_count;
	for (size_t i = 0; i < config->service_count; i++)
		routing->services[i].id = (uint32_t)i + 1;
	for (size_t i = 0; i < config->endpoint_count; i++) {
		const struct jt_endpoint_config *endpoint =
			&config->endpoints[i];
		const struct jt_service_config *service =
			&config->services[endpoint->service];

		routing->services[endpoint->service].connection_limit =
			service->kind == JT_SERVICE_REQUEST
				? endpoint->slots
				: endpoint->connections;
	}
	jt_routing_sort(routing);
	return routing;
}
