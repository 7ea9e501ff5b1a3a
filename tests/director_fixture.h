/* One director in virtual time, with routes and endpoints by name. */
#ifndef DIRECTOR_FIXTURE_H
#define DIRECTOR_FIXTURE_H

#include "test.h"

#include "jaspertrack/director.h"
#include "jt_knowledge.h"
#include "jt_routing.h"

#include <stdlib.h>

enum {
	SERVICE_BOARD = 11,
	SERVICE_EXPORT = 12,
	ZONE_A = 1,
	ZONE_B = 2,
	CALLER = 0x64400007,
	ROUTE_IP = 0xc6120001,
	BOARD_PORT = 443,
	SPLIT_PORT = 8443,
	/* After the first list of a node's life no entry is missing by then. */
	LEARNED_MS = 2500,
};

struct bench {
	struct jt_director *director;
	struct jt_director_actions *actions;
	uint64_t now_ms;
	uint32_t next_port;
};

/* A director with faults of tests in it, and without some mechanisms. */
static inline struct bench *bench_create_without(unsigned break_mechanism,
						 uint32_t without)
{
	struct bench *bench = talloc_zero(NULL, struct bench);
	struct jt_director_options options;

	jt_director_options_init(&options);
	options.zone_id = ZONE_A;
	options.break_mechanism = break_mechanism;
	options.without = without;
	bench->director = jt_director_create(bench, &options);
	bench->actions = jt_director_actions_create(bench);
	bench->now_ms = 100000;
	bench->next_port = 20000;
	return bench;
}

static inline struct bench *bench_create(unsigned break_mechanism)
{
	return bench_create_without(break_mechanism, 0);
}

/* Handle @event alone; its actions stay until the next one. */
static inline void bench_event(struct bench *bench,
			       struct jt_director_event *event)
{
	jt_director_actions_clear(bench->actions);
	event->now_ms = bench->now_ms;
	jt_director_handle(bench->director, event, bench->actions);
}

/* The first action of that kind, NULL when there is none. */
static inline const struct jt_director_action *
bench_find(const struct bench *bench, enum jt_director_action_kind kind)
{
	for (size_t i = 0; i < bench->actions->count; i++) {
		if (bench->actions->items[i].kind == kind)
			return &bench->actions->items[i];
	}
	return NULL;
}

static inline size_t bench_count(const struct bench *bench,
				 enum jt_director_action_kind kind)
{
	size_t count = 0;

	for (size_t i = 0; i < bench->actions->count; i++)
		count += bench->actions->items[i].kind == kind;
	return count;
}

/* A routing of one plain route and one that two services share. */
static inline void bench_routing(struct bench *bench, uint64_t version,
				 uint32_t board_weight, uint32_t export_weight)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_ROUTING};
	struct jt_routing *routing = talloc_zero(bench, struct jt_routing);

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
	bench_event(bench, &event);
}

static inline struct jt_endpoint_entry
entry_of(uint64_t id, uint32_t service, uint32_t zone, uint64_t revision)
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

static inline void bench_entry(struct bench *bench,
			       struct jt_endpoint_entry entry)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_ENDPOINT};

	event.u.endpoint = entry;
	bench_event(bench, &event);
}

static inline void bench_endpoint(struct bench *bench, uint64_t id,
				  uint32_t service, uint32_t zone,
				  uint64_t revision)
{
	bench_entry(bench, entry_of(id, service, zone, revision));
}

static inline void bench_gone(struct bench *bench, uint64_t id,
			      uint64_t revision)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_GONE};

	event.u.gone.id = id;
	event.u.gone.revision = revision;
	bench_event(bench, &event);
}

static inline void bench_listed(struct bench *bench, uint64_t revision)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_LISTED};

	event.u.listed.revision = revision;
	bench_event(bench, &event);
}

static inline void bench_probed(struct bench *bench, uint64_t id,
				enum jt_probe_outcome outcome)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_PROBED};

	event.u.probed.id = id;
	event.u.probed.outcome = outcome;
	bench_event(bench, &event);
}

static inline void bench_identified(struct bench *bench, uint64_t id,
				    uint64_t found)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_IDENTIFIED};

	event.u.identified.id = id;
	event.u.identified.found = found;
	bench_event(bench, &event);
}

/* A peer has found the endpoint dead. */
static inline void bench_suspicion(struct bench *bench, uint64_t id)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_SUSPICION};

	event.u.suspicion.id = id;
	bench_event(bench, &event);
}

static inline void bench_tick(struct bench *bench, uint64_t later_ms)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_TICK};

	bench->now_ms += later_ms;
	bench_event(bench, &event);
}

/* A caller's flow as the test follows it. */
struct caller_flow {
	struct jt_flow_key key;
	uint32_t sequence;
	uint32_t acknowledged;
	uint32_t label;
	uint64_t endpoint_id;
};

static inline struct caller_flow flow_new(struct bench *bench, uint32_t caller,
					  uint16_t port)
{
	return (struct caller_flow){
		.key = {.source = caller,
			.destination = ROUTE_IP,
			.source_port = (uint16_t)bench->next_port++,
			.destination_port = port,
			.protocol = JT_PROTOCOL_TCP},
		.sequence = 1000,
	};
}

/* A packet of the flow; one that the node had held for @held_ms. */
static inline const struct jt_director_action *
flow_offer(struct bench *bench, const struct caller_flow *flow, uint8_t flags,
	   uint32_t length, uint32_t held_ms)
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
	bench_event(bench, &event);
	return bench_find(bench, JT_DIRECTOR_FORWARD);
}

static inline const struct jt_director_action *
flow_send(struct bench *bench, const struct caller_flow *flow, uint8_t flags,
	  uint32_t length)
{
	return flow_offer(bench, flow, flags, length, 0);
}

/* The first packet; the endpoint that got it, 0 when none did. */
static inline uint64_t flow_syn(struct bench *bench, struct caller_flow *flow)
{
	const struct jt_director_action *forward =
		flow_send(bench, flow, JT_PACKET_SYN, 0);

	if (forward == NULL)
		return 0;
	flow->endpoint_id = forward->endpoint_id;
	return forward->endpoint_id;
}

/* The endpoint answered the first packet; the caller acknowledges that. */
static inline void flow_open(struct bench *bench, struct caller_flow *flow)
{
	assert_int_not_equal(flow_syn(bench, flow), 0);
	flow->label = jt_flow_label(flow->endpoint_id);
	flow->sequence++;
	flow->acknowledged = 5000;
	bench->now_ms += 2;
	flow_send(bench, flow, JT_PACKET_ACK, 0);
}

/* One request and its answer of so many bytes. */
static inline void flow_request_of(struct bench *bench,
				   struct caller_flow *flow, uint64_t took_ms,
				   uint32_t bytes)
{
	flow_send(bench, flow, JT_PACKET_ACK, 100);
	flow->sequence += 100;
	flow->acknowledged += bytes;
	bench->now_ms += took_ms;
	flow_send(bench, flow, JT_PACKET_ACK, 0);
}

static inline void flow_request(struct bench *bench, struct caller_flow *flow,
				uint64_t took_ms)
{
	flow_request_of(bench, flow, took_ms, 600);
}

static inline struct bench *two_endpoints_of(struct bench *bench)
{
	bench_routing(bench, 1, 50, 50);
	bench_endpoint(bench, 0x101, SERVICE_BOARD, ZONE_A, 2);
	bench_endpoint(bench, 0x102, SERVICE_BOARD, ZONE_A, 3);
	bench_listed(bench, 3);
	/* Long enough to have seen the flows that were open before. */
	bench_tick(bench, 20000);
	return bench;
}

static inline struct bench *two_endpoints(unsigned break_mechanism)
{
	return two_endpoints_of(bench_create(break_mechanism));
}

/* Open so many new flows; returns how many came to the endpoint. */
static inline unsigned flows_at(struct bench *bench, int count,
				uint64_t endpoint_id)
{
	unsigned there = 0;

	for (int i = 0; i < count; i++) {
		struct caller_flow flow =
			flow_new(bench, CALLER + (uint32_t)i, BOARD_PORT);

		flow_open(bench, &flow);
		there += flow.endpoint_id == endpoint_id;
	}
	return there;
}

static inline enum jt_incarnation_state state_of(const struct bench *bench,
						 uint64_t id)
{
	struct jt_endpoint_entry entry;
	enum jt_incarnation_state state;

	for (size_t i = 0;
	     jt_director_endpoint_at(bench->director, i, &entry, &state); i++) {
		if (entry.id == id)
			return state;
	}
	fail_msg("no endpoint %llx", (unsigned long long)id);
	return JT_INCARNATION_DEAD;
}

/* A flow at each endpoint. */
static inline void flow_at_each(struct bench *bench, struct caller_flow *first,
				struct caller_flow *second)
{
	do {
		*first = flow_new(bench, CALLER, BOARD_PORT);
		flow_open(bench, first);
	} while (first->endpoint_id != 0x101);
	do {
		*second = flow_new(bench, CALLER + 1, BOARD_PORT);
		flow_open(bench, second);
	} while (second->endpoint_id != 0x102);
}

/* The routing says this of one service, and nothing of others. */
static inline void bench_service(struct bench *bench,
				 const struct jt_routed_service *service)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_ROUTING};
	const struct jt_routing *old = jt_director_routing(bench->director);
	struct jt_routing *routing = talloc_zero(bench, struct jt_routing);

	*routing = *old;
	routing->version++;
	routing->services =
		talloc_memdup(routing, service, sizeof(*routing->services));
	routing->service_count = 1;
	routing->routes = talloc_memdup(
		routing, old->routes, old->route_count * sizeof(*old->routes));
	event.u.routing = routing;
	bench_event(bench, &event);
}

/* The service's endpoints hold so many flows each. */
static inline void limit_connections(struct bench *bench, uint32_t limit)
{
	const struct jt_routed_service service = {.id = SERVICE_BOARD,
						  .connection_limit = limit};

	bench_service(bench, &service);
}

#endif
