/*
 * Directors, endpoints with slots and queues, and callers with flows of several
 * requests, in virtual time: what callers get of a way to choose.
 */
#ifndef CHOICE_WORLD_H
#define CHOICE_WORLD_H

#include "director_fixture.h"
#include "jt_director_private.h"
#include "jt_random.h"

#include <math.h>

enum {
	WORLD_NODES = 24,
	WORLD_ENDPOINTS = 60,
	WORLD_SLOTS = 2,
	WORLD_FLOWS = 20000,
	WORLD_ZONES = 3,
	WORLD_HORIZON_MS = 8192, /* nothing is planned later than that */
	WORLD_WARM_MS = 8000,	 /* what comes sooner is not counted */
	WORLD_END_MS = 28000,
	WORLD_REPORT_MS = 500,
	WORLD_LATE_MS = 400,
	WORLD_WAY_MS = 7, /* of a request and its answer together */
	WORLD_PORT = 443,
};

enum world_step { STEP_OPEN, STEP_OPENED, STEP_ASK, STEP_DONE, STEP_ANSWERED };

struct world_flow {
	struct caller_flow flow;
	size_t node, endpoint, kind;
	int requests_left;
	double work_ms;
	uint64_t asked_ms;
	enum world_step step;
	struct world_flow *next; /* of the same moment, or in a queue */
};

struct world_endpoint {
	double speed;
	uint32_t zone;
	int working;
	struct world_flow *queue, **queue_end;
	uint64_t requests;
};

/* A kind of request, on a route of its own. */
struct world_kind {
	double work_ms;
	double per_flow;	       /* requests of a flow in the mean */
	double pause_ms;	       /* between two of them in the mean */
	double weight;		       /* its part of all requests */
	double zone_rate[WORLD_ZONES]; /* of its flows, 1: as planned */
};

struct world {
	struct bench *nodes[WORLD_NODES];
	struct world_endpoint endpoints[WORLD_ENDPOINTS];
	struct world_flow flows[WORLD_FLOWS];
	size_t flow_count;
	struct world_flow *moments[WORLD_HORIZON_MS];
	struct world_kind kinds[2];
	double load; /* work over what all endpoints can do */
	uint64_t now_ms;
	struct jt_random random;
	/* What callers got. */
	uint64_t requests, late, far, refused;
	double took_ms;
};

static inline double world_uniform(struct world *world)
{
	return ((double)(jt_random_next(&world->random) >> 11) + 0.5) /
	       (double)(1ull << 53);
}

static inline double world_normal(struct world *world)
{
	return sqrt(-2 * log(world_uniform(world))) *
	       cos(2 * M_PI * world_uniform(world));
}

/* Work of a request: spread around the mean, one in thirty 7 times as long. */
static inline double world_work(struct world *world, double mean_ms)
{
	double work = mean_ms / 1.2 * exp(0.5 * world_normal(world) - 0.125);

	return world_uniform(world) < 1 / 30.0 ? 7 * work : work;
}

static inline void world_plan(struct world *world, struct world_flow *flow,
			      enum world_step step, double later_ms)
{
	uint64_t at_ms = world->now_ms + 1 +
			 (uint64_t)fmin(later_ms, WORLD_HORIZON_MS - 2);

	flow->step = step;
	flow->next = world->moments[at_ms % WORLD_HORIZON_MS];
	world->moments[at_ms % WORLD_HORIZON_MS] = flow;
}

static inline void world_work_on(struct world *world, struct world_flow *flow)
{
	struct world_endpoint *endpoint = &world->endpoints[flow->endpoint];

	endpoint->working++;
	world_plan(world, flow, STEP_DONE, flow->work_ms / endpoint->speed);
}

static inline void world_ask(struct world *world, struct world_flow *flow)
{
	struct world_endpoint *endpoint = &world->endpoints[flow->endpoint];

	flow_send(world->nodes[flow->node], &flow->flow, JT_PACKET_ACK, 100);
	flow->asked_ms = world->now_ms;
	flow->work_ms = world_work(world, world->kinds[flow->kind].work_ms);
	if (world->now_ms >= WORLD_WARM_MS)
		endpoint->requests++;
	if (endpoint->working < WORLD_SLOTS) {
		world_work_on(world, flow);
		return;
	}
	flow->next = NULL;
	*endpoint->queue_end = flow;
	endpoint->queue_end = &flow->next;
}

static inline void world_done(struct world *world, struct world_flow *flow)
{
	struct world_endpoint *endpoint = &world->endpoints[flow->endpoint];
	struct world_flow *waiting = endpoint->queue;

	endpoint->working--;
	if (waiting != NULL) {
		endpoint->queue = waiting->next;
		if (endpoint->queue == NULL)
			endpoint->queue_end = &endpoint->queue;
		world_work_on(world, waiting);
	}
	world_plan(world, flow, STEP_ANSWERED, WORLD_WAY_MS);
}

static inline void world_answered(struct world *world, struct world_flow *flow)
{
	const struct world_kind *kind = &world->kinds[flow->kind];
	double took_ms = (double)(world->now_ms - flow->asked_ms);

	flow->flow.sequence += 100;
	flow->flow.acknowledged += 600;
	flow_send(world->nodes[flow->node], &flow->flow, JT_PACKET_ACK, 0);
	if (flow->asked_ms >= WORLD_WARM_MS) {
		world->requests++;
		world->took_ms += took_ms;
		world->late += took_ms > WORLD_LATE_MS;
		world->far += world->endpoints[flow->endpoint].zone !=
			      flow->node % WORLD_ZONES;
	}
	if (--flow->requests_left > 0) {
		world_plan(world, flow, STEP_ASK,
			   -kind->pause_ms * log(world_uniform(world)));
		return;
	}
	flow_send(world->nodes[flow->node], &flow->flow,
		  JT_PACKET_ACK | JT_PACKET_FIN, 0);
}

static inline void world_open(struct world *world, struct world_flow *flow)
{
	uint64_t id = flow_syn(world->nodes[flow->node], &flow->flow);

	if (id == 0) {
		world->refused++;
		return;
	}
	flow->endpoint = id - 1;
	flow->flow.label = jt_flow_label(id);
	flow->flow.sequence++;
	flow->flow.acknowledged = 5000;
	world_plan(world, flow, STEP_OPENED, WORLD_WAY_MS);
}

static inline void world_step(struct world *world, struct world_flow *flow)
{
	switch (flow->step) {
	case STEP_OPEN:
		world_open(world, flow);
		break;
	case STEP_OPENED:
		flow_send(world->nodes[flow->node], &flow->flow, JT_PACKET_ACK,
			  0);
		world_ask(world, flow);
		break;
	case STEP_ASK:
		world_ask(world, flow);
		break;
	case STEP_DONE:
		world_done(world, flow);
		break;
	case STEP_ANSWERED:
		world_answered(world, flow);
		break;
	}
}

/* Flows that begin in this millisecond. */
static inline void world_arrivals(struct world *world)
{
	double power = 0, mean_ms = 0;

	for (size_t e = 0; e < WORLD_ENDPOINTS; e++)
		power += world->endpoints[e].speed * WORLD_SLOTS;
	for (size_t k = 0; k < 2; k++)
		mean_ms += world->kinds[k].weight * world->kinds[k].work_ms;
	for (size_t n = 0; n < WORLD_NODES; n++) {
		for (size_t k = 0; k < 2; k++) {
			const struct world_kind *kind = &world->kinds[k];
			double flows = world->load * power / mean_ms *
				       kind->weight / kind->per_flow /
				       WORLD_NODES *
				       kind->zone_rate[n % WORLD_ZONES];
			struct world_flow *flow;

			if (world_uniform(world) >= flows)
				continue;
			assert_true(world->flow_count < WORLD_FLOWS);
			flow = &world->flows[world->flow_count++];
			flow->node = n;
			flow->kind = k;
			flow->flow = flow_new(world->nodes[n], CALLER,
					      (uint16_t)(WORLD_PORT + k));
			flow->flow.key.source_port =
				(uint16_t)world->flow_count;
			flow->requests_left =
				1 + (int)(log(world_uniform(world)) /
					  log1p(-1 / kind->per_flow));
			world_plan(world, flow, STEP_OPEN, 0);
		}
	}
}

static inline void world_tick(struct world *world, size_t n)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_TICK};

	event.u.tick.nodes = WORLD_NODES;
	event.u.tick.node_id = n + 1;
	bench_event(world->nodes[n], &event);
}

/* A node tells two others its loads. */
static inline void world_report(struct world *world, size_t n)
{
	struct jt_endpoint_load loads[JT_LOAD_LIMIT];
	struct jt_director_event event = {.kind = JT_DIRECTOR_LOADS};

	event.u.loads.peer = n + 1;
	event.u.loads.loads = loads;
	event.u.loads.count = jt_director_loads(world->nodes[n]->director,
						world->now_ms, loads);
	for (int i = 0; i < 2; i++) {
		size_t to = jt_random_next(&world->random) % WORLD_NODES;

		if (to != n)
			bench_event(world->nodes[to], &event);
	}
}

static inline void world_run(struct world *world, uint64_t until_ms)
{
	while (++world->now_ms < until_ms) {
		struct world_flow *flow =
			world->moments[world->now_ms % WORLD_HORIZON_MS];

		world->moments[world->now_ms % WORLD_HORIZON_MS] = NULL;
		for (size_t n = 0; n < WORLD_NODES; n++) {
			uint64_t phase =
				(world->now_ms + n * 37) % WORLD_REPORT_MS;

			world->nodes[n]->now_ms = world->now_ms;
			if (phase == 0)
				world_report(world, n);
			if (phase % 250 == 100)
				world_tick(world, n);
		}
		while (flow != NULL) {
			struct world_flow *next = flow->next;

			world_step(world, flow);
			flow = next;
		}
		world_arrivals(world);
	}
}

static inline void world_routing(struct bench *node)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_ROUTING};
	struct jt_routing *routing = talloc_zero(node, struct jt_routing);

	routing->version = 1;
	routing->revision = 1;
	routing->flow_idle_ms = 15000;
	routing->routes = talloc_zero_array(routing, struct jt_route, 2);
	routing->route_count = 2;
	for (uint16_t k = 0; k < 2; k++)
		routing->routes[k] = (struct jt_route){
			.address = {ROUTE_IP, (uint16_t)(WORLD_PORT + k)},
			.parts = {{SERVICE_BOARD, 1}},
			.part_count = 1,
		};
	assert_null(jt_routing_sort(routing));
	event.u.routing = routing;
	bench_event(node, &event);
}

static inline struct bench *world_node(size_t n, uint64_t seed,
				       uint32_t without)
{
	struct bench *node = talloc_zero(NULL, struct bench);
	struct jt_director_options options;

	jt_director_options_init(&options);
	options.zone_id = 1 + (uint32_t)(n % WORLD_ZONES);
	options.without = without;
	options.seed = seed * WORLD_NODES + n;
	node->director = jt_director_create(node, &options);
	node->actions = jt_director_actions_create(node);
	world_routing(node);
	for (uint32_t e = 0; e < WORLD_ENDPOINTS; e++)
		bench_endpoint(node, e + 1, SERVICE_BOARD, 1 + e % WORLD_ZONES,
			       2 + e);
	bench_listed(node, 2 + WORLD_ENDPOINTS);
	return node;
}

/* A request takes .55 times as long at one endpoint in four, 1.2 times at the
 * others. */
static inline struct world *world_create(double load, uint64_t seed,
					 uint32_t without)
{
	struct world *world = talloc_zero(NULL, struct world);

	world->load = load;
	world->random.seed = seed;
	world->kinds[0] = (struct world_kind){47, 4, 800, .78, {1, 1, 1}};
	world->kinds[1] = (struct world_kind){61, 4, 800, .22, {1, 1, 1}};
	for (size_t n = 0; n < WORLD_NODES; n++)
		world->nodes[n] = world_node(n, seed, without);
	for (uint32_t e = 0; e < WORLD_ENDPOINTS; e++) {
		struct world_endpoint *endpoint = &world->endpoints[e];

		endpoint->speed = 1 / (e / WORLD_ZONES % 4 == 0 ? 0.55 : 1.2);
		endpoint->zone = e % WORLD_ZONES;
		endpoint->queue_end = &endpoint->queue;
	}
	return world;
}

static inline void world_free(struct world *world)
{
	for (size_t n = 0; n < WORLD_NODES; n++)
		talloc_free(world->nodes[n]);
	talloc_free(world);
}

/* Requests of the busiest endpoint over the mean. */
static inline double world_imbalance(const struct world *world)
{
	uint64_t sum = 0, most = 0;

	for (size_t e = 0; e < WORLD_ENDPOINTS; e++) {
		sum += world->endpoints[e].requests;
		if (world->endpoints[e].requests > most)
			most = world->endpoints[e].requests;
	}
	return (double)most * WORLD_ENDPOINTS / (double)sum;
}

/* Part of the requests that went to slow endpoints. */
static inline double world_slow_share(const struct world *world)
{
	uint64_t sum = 0, slow = 0;

	for (size_t e = 0; e < WORLD_ENDPOINTS; e++) {
		sum += world->endpoints[e].requests;
		if (world->endpoints[e].speed < 1)
			slow += world->endpoints[e].requests;
	}
	return (double)slow / (double)sum;
}

#endif
