/* Creates the core of a single-node cell for tests and benchmarks. */
#ifndef LONE_CORE_H
#define LONE_CORE_H

#include "jaspertrack/core.h"

enum { LONE_ENDPOINT_ID = 100 }; /* of the first endpoint; others follow */

/*
 * Returns a configuration with one stream service at 10.0.0.2:80, one group and
 * @endpoints endpoints at @address, each with a limit of @connections.
 */
static inline struct jt_config *lone_config_make(TALLOC_CTX *mem_ctx,
						 unsigned endpoints,
						 struct jt_address address,
						 unsigned connections,
						 unsigned free_permille)
{
	struct jt_config *c = talloc_zero(mem_ctx, struct jt_config);

	c->revision = 1;
	c->services = talloc_zero(c, struct jt_service_config);
	c->services[0].id = 5;
	c->services[0].free_permille = free_permille;
	c->service_count = 1;
	c->endpoints =
		talloc_zero_array(c, struct jt_endpoint_config, endpoints);
	for (unsigned i = 0; i < endpoints; i++) {
		c->endpoints[i].id = LONE_ENDPOINT_ID + i;
		c->endpoints[i].address = address;
		c->endpoints[i].connections = connections;
	}
	c->endpoint_count = endpoints;
	c->groups = talloc_zero(c, struct jt_group_config);
	c->groups[0].id = 6;
	c->group_count = 1;
	c->addresses = talloc_zero(c, struct jt_address_config);
	c->addresses[0].address = (struct jt_address){0x0a000002, 80};
	c->addresses[0].protocol = JT_PROTOCOL_TCP;
	c->address_count = 1;
	c->shares = talloc_zero(c, struct jt_share_config);
	c->shares[0].weight = 1;
	c->share_count = 1;
	return c;
}

/* Returns a core that has created its cell and serves @config at 1,000 ms. */
static inline struct jt_core *lone_core_make(TALLOC_CTX *mem_ctx,
					     struct jt_actions *actions,
					     const struct jt_config *config,
					     uint32_t flow_limit)
{
	struct jt_event event = {.kind = JT_EVENT_CONFIG, .now_ms = 1000};
	struct jt_core_options options;
	struct jt_core *core;

	jt_core_options_init(&options);
	options.node_id = 1;
	options.flow_limit = flow_limit;
	core = jt_core_create(mem_ctx, &options);
	event.u.config = config;
	jt_core_handle(core, &event, actions);
	event.kind = JT_EVENT_FOUND;
	event.u.cell = 3;
	jt_core_handle(core, &event, actions);
	event.kind = JT_EVENT_TICK;
	jt_core_handle(core, &event, actions);
	jt_actions_clear(actions);
	return core;
}

#endif
