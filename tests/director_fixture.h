/* Test fixture: one director in virtual time, with routes and endpoints by
 * name. */
#ifndef DIRECTOR_FIXTURE_H
#define DIRECTOR_FIXTURE_H

#include "test.h"

#include "jaspertrack/director.h"
#include "jt_snapshot.h"
#include "jt_routing.h"

#include <stdlib.h>

enum {
	SERVICE_BOARD = 11,
	SERVICE_EXPORT = 12,
	ZONE_A = 1,
	ZONE_B = 2,
	CLIENT_IP = 0x64400007,
	ROUTE_IP = 0xc6120001,
	BOARD_PORT = 443,
	SPLIT_PORT = 8443,
	/* No entry is missing this long after a node's first full listing. */
	INITIAL_SYNC_MS = 2500,
};

struct fixture {
	struct jt_director *director;
	struct jt_director_actions *actions;
	uint64_t now_ms;
	uint32_t next_port;
};

/* Creates a director with injected faults and without the given features. */
static inline struct fixture *
fixture_create_with_disabled(unsigned injected_fault,
			     uint32_t disabled_features)
{
	struct fixture *fixture = talloc_zero(NULL, struct fixture);
	struct jt_director_options options;

	jt_director_options_init(&options);
	options.zone_id = ZONE_A;
	options.injected_faults = injected_fault;
	options.disabled_features = disabled_features;
	fixture->director = jt_director_create(fixture, &options);
	fixture->actions = jt_director_actions_create(fixture);
	fixture->now_ms = 100000;
	fixture->next_port = 20000;
	return fixture;
}

static inline struct fixture *fixture_create(unsigned injected_fault)
{
	return fixture_create_with_disabled(injected_fault, 0);
}

/* Handles @event; its actions are kept until the next event. */
static inline void fixture_handle(struct fixture *fixture,
				  struct jt_director_event *event)
{
	jt_director_actions_clear(fixture->actions);
	event->now_ms = fixture->now_ms;
	jt_director_handle(fixture->director, event, fixture->actions);
}

/* Returns the first action of that kind, NULL if there is none. */
static inline const struct jt_director_action *
fixture_find_action(const struct fixture *fixture,
		    enum jt_director_action_kind kind)
{
	for (size_t i = 0; i < fixture->actions->count; i++) {
		if (fixture->actions->items[i].kind == kind)
			return &fixture->actions->items[i];
	}
	return NULL;
}

static inline size_t fixture_count_actions(const struct fixture *fixture,
					   enum jt_director_action_kind kind)
{
	size_t count = 0;

	for (size_t i = 0; i < fixture->actions->count; i++)
		count += fixture->actions->items[i].kind == kind;
	return count;
}

/* Sets a routing with one plain route and one split over two services. */
static inline void fixture_set_routing(struct fixture *fixture,
				       uint64_t version, uint32_t board_weight,
				       uint32_t export_weight)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_ROUTING};
	struct jt_routing *routing = talloc_zero(fixture, struct jt_routing);

	routing->version = version;
	routing->revision = version;
	routing->flow_idle_ms = 15000;
	routing->routes = talloc_zero_array(routing, struct jt_route, 2);
	routing->route_count = 2;
	routing->routes[0] = (struct jt_route){
		.name = "board",
		.address = {ROUTE_IP, BOARD_PORT},
		.parts = {{SERVICE_BOARD, 1}},
		.part_count = 1,
	};
	routing->routes[1] = (struct jt_route){
		.name = "split",
		.address = {ROUTE_IP, SPLIT_PORT},
		.parts = {{SERVICE_BOARD, board_weight},
			  {SERVICE_EXPORT, export_weight}},
		.part_count = 2,
	};
	assert_null(jt_routing_sort(routing));
	event.u.routing = routing;
	fixture_handle(fixture, &event);
}

static inline struct jt_endpoint_entry
make_entry(uint64_t id, uint32_t service, uint32_t zone, uint64_t revision)
{
	return (struct jt_endpoint_entry){
		.id = id,
		.service_id = service,
		.zone_id = zone,
		.address = {0x0a000000 + (uint32_t)(id & 0xff), 8080},
		.capacity = 2,
		.revision = revision,
	};
}

static inline void fixture_set_entry(struct fixture *fixture,
				     struct jt_endpoint_entry entry)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_ENDPOINT};

	event.u.endpoint = entry;
	fixture_handle(fixture, &event);
}

static inline void fixture_add_endpoint(struct fixture *fixture, uint64_t id,
					uint32_t service, uint32_t zone,
					uint64_t revision)
{
	fixture_set_entry(fixture, make_entry(id, service, zone, revision));
}

static inline void fixture_remove_entry(struct fixture *fixture, uint64_t id,
					uint64_t revision)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_ENTRY_REMOVED};

	event.u.removed.id = id;
	event.u.removed.revision = revision;
	fixture_handle(fixture, &event);
}

static inline void fixture_end_listing(struct fixture *fixture,
				       uint64_t revision)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_LISTED};

	event.u.listed.revision = revision;
	fixture_handle(fixture, &event);
}

static inline void fixture_deliver_probe_result(struct fixture *fixture,
						uint64_t id,
						enum jt_probe_outcome outcome)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_PROBED};

	event.u.probed.id = id;
	event.u.probed.outcome = outcome;
	fixture_handle(fixture, &event);
}

static inline void fixture_deliver_identity(struct fixture *fixture,
					    uint64_t id, uint64_t found)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_IDENTIFIED};

	event.u.identified.id = id;
	event.u.identified.found = found;
	fixture_handle(fixture, &event);
}

/* Delivers a peer's report that the endpoint is dead. */
static inline void fixture_deliver_death_report(struct fixture *fixture,
						uint64_t id)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_SUSPICION};

	event.u.suspicion.id = id;
	fixture_handle(fixture, &event);
}

static inline void fixture_tick(struct fixture *fixture, uint64_t advance_ms)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_TICK};

	fixture->now_ms += advance_ms;
	fixture_handle(fixture, &event);
}

/* A client's flow as the test case follows it. */
struct client_flow {
	struct jt_flow_key key;
	uint32_t sequence;
	uint32_t acknowledged;
	uint32_t label;
	uint64_t endpoint_id;
};

static inline struct client_flow flow_new(struct fixture *fixture,
					  uint32_t client_ip, uint16_t port)
{
	return (struct client_flow){
		.key = {.source = client_ip,
			.destination = ROUTE_IP,
			.source_port = (uint16_t)fixture->next_port++,
			.destination_port = port,
			.protocol = JT_PROTOCOL_TCP},
		.sequence = 1000,
	};
}

/* Sends a packet of the flow that the node has held for @held_ms; returns the
 * forward action, if any. */
static inline const struct jt_director_action *
flow_send_held(struct fixture *fixture, const struct client_flow *flow,
	       uint8_t flags, uint32_t length, uint32_t held_ms)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_PACKET};

	event.u.packet = (struct jt_label_packet){
		.key = flow->key,
		.flags = flags,
		.label = flow->label,
		.sequence = flow->sequence,
		.acknowledged = flow->acknowledged,
		.length = length,
		.held_ms = held_ms,
	};
	fixture_handle(fixture, &event);
	return fixture_find_action(fixture, JT_DIRECTOR_FORWARD);
}

static inline const struct jt_director_action *
flow_send(struct fixture *fixture, const struct client_flow *flow,
	  uint8_t flags, uint32_t length)
{
	return flow_send_held(fixture, flow, flags, length, 0);
}

/* Sends the first packet; returns the chosen endpoint's id, 0 if none. */
static inline uint64_t flow_send_syn(struct fixture *fixture,
				     struct client_flow *flow)
{
	const struct jt_director_action *forward =
		flow_send(fixture, flow, JT_PACKET_SYN, 0);

	if (forward == NULL)
		return 0;
	flow->endpoint_id = forward->endpoint_id;
	return forward->endpoint_id;
}

/* Opens the flow: sends the first packet and the client's acknowledgement of
 * the endpoint's response. */
static inline void flow_open(struct fixture *fixture, struct client_flow *flow)
{
	assert_int_not_equal(flow_send_syn(fixture, flow), 0);
	flow->label = jt_flow_label(flow->endpoint_id);
	flow->sequence++;
	flow->acknowledged = 5000;
	fixture->now_ms += 2;
	flow_send(fixture, flow, JT_PACKET_ACK, 0);
}

/* Sends a request; its response of @bytes bytes is acknowledged after
 * @latency_ms. */
static inline void flow_request_sized(struct fixture *fixture,
				      struct client_flow *flow,
				      uint64_t latency_ms, uint32_t bytes)
{
	flow_send(fixture, flow, JT_PACKET_ACK, 100);
	flow->sequence += 100;
	flow->acknowledged += bytes;
	fixture->now_ms += latency_ms;
	flow_send(fixture, flow, JT_PACKET_ACK, 0);
}

static inline void flow_request(struct fixture *fixture,
				struct client_flow *flow, uint64_t latency_ms)
{
	flow_request_sized(fixture, flow, latency_ms, 600);
}

static inline struct fixture *fixture_add_two_endpoints(struct fixture *fixture)
{
	fixture_set_routing(fixture, 1, 50, 50);
	fixture_add_endpoint(fixture, 0x101, SERVICE_BOARD, ZONE_A, 2);
	fixture_add_endpoint(fixture, 0x102, SERVICE_BOARD, ZONE_A, 3);
	fixture_end_listing(fixture, 3);
	/* Flows that were open before the start are known by now. */
	fixture_tick(fixture, 20000);
	return fixture;
}

static inline struct fixture *
fixture_with_two_endpoints(unsigned injected_fault)
{
	return fixture_add_two_endpoints(fixture_create(injected_fault));
}

/* Opens @count new flows; returns how many went to the endpoint. */
static inline unsigned count_flows_to(struct fixture *fixture, int count,
				      uint64_t endpoint_id)
{
	unsigned matching = 0;

	for (int i = 0; i < count; i++) {
		struct client_flow flow =
			flow_new(fixture, CLIENT_IP + (uint32_t)i, BOARD_PORT);

		flow_open(fixture, &flow);
		matching += flow.endpoint_id == endpoint_id;
	}
	return matching;
}

static inline enum jt_incarnation_state
endpoint_state(const struct fixture *fixture, uint64_t id)
{
	struct jt_endpoint_entry entry;
	enum jt_incarnation_state state;

	for (size_t i = 0;
	     jt_director_endpoint_at(fixture->director, i, &entry, &state);
	     i++) {
		if (entry.id == id)
			return state;
	}
	fail_msg("no endpoint %llx", (unsigned long long)id);
	return JT_INCARNATION_DEAD;
}

/* Opens a flow at each of the two endpoints. */
static inline void open_flow_at_each(struct fixture *fixture,
				     struct client_flow *first,
				     struct client_flow *second)
{
	do {
		*first = flow_new(fixture, CLIENT_IP, BOARD_PORT);
		flow_open(fixture, first);
	} while (first->endpoint_id != 0x101);
	do {
		*second = flow_new(fixture, CLIENT_IP + 1, BOARD_PORT);
		flow_open(fixture, second);
	} while (second->endpoint_id != 0x102);
}

/* Replaces the routing's service settings by @service alone. */
static inline void fixture_set_service(struct fixture *fixture,
				       const struct jt_routed_service *service)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_ROUTING};
	const struct jt_routing *current =
		jt_director_routing(fixture->director);
	struct jt_routing *routing = talloc_zero(fixture, struct jt_routing);

	*routing = *current;
	routing->version++;
	routing->services =
		talloc_memdup(routing, service, sizeof(*routing->services));
	routing->service_count = 1;
	routing->routes =
		talloc_memdup(routing, current->routes,
			      current->route_count * sizeof(*current->routes));
	event.u.routing = routing;
	fixture_handle(fixture, &event);
}

/* Limits the connections of each endpoint of the service. */
static inline void limit_connections(struct fixture *fixture, uint32_t limit)
{
	const struct jt_routed_service service = {.id = SERVICE_BOARD,
						  .connection_limit = limit};

	fixture_set_service(fixture, &service);
}

#endif
