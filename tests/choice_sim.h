/* Simulation in virtual time: directors, endpoints with slots and queues, and
 * clients with flows of several requests. It measures what clients get from the
 * choice of endpoints. */
#ifndef CHOICE_SIM_H
#define CHOICE_SIM_H

#include "director_fixture.h"
#include "jt_director_private.h"
#include "jt_random.h"

#include <math.h>

enum {
	SIM_NODES = 24,
	SIM_ENDPOINTS = 60,
	SIM_SLOTS = 2,
	SIM_FLOWS = 20000,
	SIM_ZONES = 3,
	SIM_HORIZON_MS = 8192, /* longest delay that can be scheduled */
	SIM_WARMUP_MS = 8000,  /* requests before this are not counted */
	SIM_END_MS = 28000,
	SIM_REPORT_MS = 500,
	SIM_LATE_MS = 400,
	SIM_RTT_MS = 7, /* network round trip */
	SIM_PORT = 443,
};

enum sim_step {
	STEP_OPEN,
	STEP_OPENED,
	STEP_REQUEST,
	STEP_DONE,
	STEP_ANSWERED
};

struct sim_flow {
	struct client_flow flow;
	size_t node, endpoint, kind;
	int requests_left;
	double work_ms;
	uint64_t requested_ms;
	enum sim_step step;
	struct sim_flow *next; /* in the same timer slot or queue */
};

struct sim_endpoint {
	double speed;
	uint32_t zone;
	int busy_slots;
	struct sim_flow *queue, **queue_end;
	uint64_t requests;
};

/* A kind of request, on its own route. */
struct sim_kind {
	double work_ms;
	double requests_per_flow;      /* mean count */
	double think_time_ms;	       /* mean time between two requests */
	double weight;		       /* share of all requests */
	double zone_demand[SIM_ZONES]; /* flow rate, 1: as configured */
};

struct sim {
	struct fixture *nodes[SIM_NODES];
	struct sim_endpoint endpoints[SIM_ENDPOINTS];
	struct sim_flow flows[SIM_FLOWS];
	size_t flow_count;
	struct sim_flow *timer_slots[SIM_HORIZON_MS];
	struct sim_kind kinds[2];
	double load; /* offered load as a fraction of total capacity */
	uint64_t now_ms;
	struct jt_random random;
	/* Results. */
	uint64_t requests, late, cross_zone, refused;
	double latency_ms;
};

static inline double sim_uniform(struct sim *sim)
{
	return ((double)(jt_random_next(&sim->random) >> 11) + 0.5) /
	       (double)(1ull << 53);
}

static inline double sim_normal(struct sim *sim)
{
	return sqrt(-2 * log(sim_uniform(sim))) *
	       cos(2 * M_PI * sim_uniform(sim));
}

/* Draws the work of a request: spread around the mean, one in thirty takes 7
 * times as long. */
static inline double sim_draw_work(struct sim *sim, double mean_ms)
{
	double work = mean_ms / 1.2 * exp(0.5 * sim_normal(sim) - 0.125);

	return sim_uniform(sim) < 1 / 30.0 ? 7 * work : work;
}

static inline void sim_schedule(struct sim *sim, struct sim_flow *flow,
				enum sim_step step, double delay_ms)
{
	uint64_t at_ms =
		sim->now_ms + 1 + (uint64_t)fmin(delay_ms, SIM_HORIZON_MS - 2);

	flow->step = step;
	flow->next = sim->timer_slots[at_ms % SIM_HORIZON_MS];
	sim->timer_slots[at_ms % SIM_HORIZON_MS] = flow;
}

static inline void sim_start_work(struct sim *sim, struct sim_flow *flow)
{
	struct sim_endpoint *endpoint = &sim->endpoints[flow->endpoint];

	endpoint->busy_slots++;
	sim_schedule(sim, flow, STEP_DONE, flow->work_ms / endpoint->speed);
}

static inline void sim_send_request(struct sim *sim, struct sim_flow *flow)
{
	struct sim_endpoint *endpoint = &sim->endpoints[flow->endpoint];

	flow_send(sim->nodes[flow->node], &flow->flow, JT_PACKET_ACK, 100);
	flow->requested_ms = sim->now_ms;
	flow->work_ms = sim_draw_work(sim, sim->kinds[flow->kind].work_ms);
	if (sim->now_ms >= SIM_WARMUP_MS)
		endpoint->requests++;
	if (endpoint->busy_slots < SIM_SLOTS) {
		sim_start_work(sim, flow);
		return;
	}
	flow->next = NULL;
	*endpoint->queue_end = flow;
	endpoint->queue_end = &flow->next;
}

static inline void sim_finish_work(struct sim *sim, struct sim_flow *flow)
{
	struct sim_endpoint *endpoint = &sim->endpoints[flow->endpoint];
	struct sim_flow *waiting = endpoint->queue;

	endpoint->busy_slots--;
	if (waiting != NULL) {
		endpoint->queue = waiting->next;
		if (endpoint->queue == NULL)
			endpoint->queue_end = &endpoint->queue;
		sim_start_work(sim, waiting);
	}
	sim_schedule(sim, flow, STEP_ANSWERED, SIM_RTT_MS);
}

static inline void sim_receive_response(struct sim *sim, struct sim_flow *flow)
{
	const struct sim_kind *kind = &sim->kinds[flow->kind];
	double latency_ms = (double)(sim->now_ms - flow->requested_ms);

	flow->flow.sequence += 100;
	flow->flow.acknowledged += 600;
	flow_send(sim->nodes[flow->node], &flow->flow, JT_PACKET_ACK, 0);
	if (flow->requested_ms >= SIM_WARMUP_MS) {
		sim->requests++;
		sim->latency_ms += latency_ms;
		sim->late += latency_ms > SIM_LATE_MS;
		sim->cross_zone += sim->endpoints[flow->endpoint].zone !=
				   flow->node % SIM_ZONES;
	}
	if (--flow->requests_left > 0) {
		sim_schedule(sim, flow, STEP_REQUEST,
			     -kind->think_time_ms * log(sim_uniform(sim)));
		return;
	}
	flow_send(sim->nodes[flow->node], &flow->flow,
		  JT_PACKET_ACK | JT_PACKET_FIN, 0);
}

static inline void sim_open_flow(struct sim *sim, struct sim_flow *flow)
{
	uint64_t id = flow_send_syn(sim->nodes[flow->node], &flow->flow);

	if (id == 0) {
		sim->refused++;
		return;
	}
	flow->endpoint = id - 1;
	flow->flow.label = jt_flow_label(id);
	flow->flow.sequence++;
	flow->flow.acknowledged = 5000;
	sim_schedule(sim, flow, STEP_OPENED, SIM_RTT_MS);
}

static inline void sim_step(struct sim *sim, struct sim_flow *flow)
{
	switch (flow->step) {
	case STEP_OPEN:
		sim_open_flow(sim, flow);
		break;
	case STEP_OPENED:
		flow_send(sim->nodes[flow->node], &flow->flow, JT_PACKET_ACK,
			  0);
		sim_send_request(sim, flow);
		break;
	case STEP_REQUEST:
		sim_send_request(sim, flow);
		break;
	case STEP_DONE:
		sim_finish_work(sim, flow);
		break;
	case STEP_ANSWERED:
		sim_receive_response(sim, flow);
		break;
	}
}

/* Starts the flows that arrive in this millisecond. */
static inline void sim_start_flows(struct sim *sim)
{
	double total_speed = 0, mean_ms = 0;

	for (size_t e = 0; e < SIM_ENDPOINTS; e++)
		total_speed += sim->endpoints[e].speed * SIM_SLOTS;
	for (size_t k = 0; k < 2; k++)
		mean_ms += sim->kinds[k].weight * sim->kinds[k].work_ms;
	for (size_t n = 0; n < SIM_NODES; n++) {
		for (size_t k = 0; k < 2; k++) {
			const struct sim_kind *kind = &sim->kinds[k];
			double flows = sim->load * total_speed / mean_ms *
				       kind->weight / kind->requests_per_flow /
				       SIM_NODES *
				       kind->zone_demand[n % SIM_ZONES];
			struct sim_flow *flow;

			if (sim_uniform(sim) >= flows)
				continue;
			assert_true(sim->flow_count < SIM_FLOWS);
			flow = &sim->flows[sim->flow_count++];
			flow->node = n;
			flow->kind = k;
			flow->flow = flow_new(sim->nodes[n], CLIENT_IP,
					      (uint16_t)(SIM_PORT + k));
			flow->flow.key.source_port = (uint16_t)sim->flow_count;
			flow->requests_left =
				1 + (int)(log(sim_uniform(sim)) /
					  log1p(-1 / kind->requests_per_flow));
			sim_schedule(sim, flow, STEP_OPEN, 0);
		}
	}
}

static inline void sim_tick(struct sim *sim, size_t n)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_TICK};

	event.u.tick.nodes = SIM_NODES;
	event.u.tick.node_id = n + 1;
	fixture_handle(sim->nodes[n], &event);
}

/* Sends a node's loads to two peer nodes. */
static inline void sim_send_loads(struct sim *sim, size_t n)
{
	struct jt_endpoint_load loads[JT_LOAD_LIMIT];
	struct jt_director_event event = {.kind = JT_DIRECTOR_LOADS};

	event.u.loads.peer = n + 1;
	event.u.loads.loads = loads;
	event.u.loads.count =
		jt_director_loads(sim->nodes[n]->director, sim->now_ms, loads);
	for (int i = 0; i < 2; i++) {
		size_t to = jt_random_next(&sim->random) % SIM_NODES;

		if (to != n)
			fixture_handle(sim->nodes[to], &event);
	}
}

static inline void sim_run(struct sim *sim, uint64_t end_ms)
{
	while (++sim->now_ms < end_ms) {
		struct sim_flow *flow =
			sim->timer_slots[sim->now_ms % SIM_HORIZON_MS];

		sim->timer_slots[sim->now_ms % SIM_HORIZON_MS] = NULL;
		for (size_t n = 0; n < SIM_NODES; n++) {
			uint64_t phase = (sim->now_ms + n * 37) % SIM_REPORT_MS;

			sim->nodes[n]->now_ms = sim->now_ms;
			if (phase == 0)
				sim_send_loads(sim, n);
			if (phase % 250 == 100)
				sim_tick(sim, n);
		}
		while (flow != NULL) {
			struct sim_flow *next = flow->next;

			sim_step(sim, flow);
			flow = next;
		}
		sim_start_flows(sim);
	}
}

static inline void sim_set_routing(struct fixture *node)
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
			.address = {ROUTE_IP, (uint16_t)(SIM_PORT + k)},
			.parts = {{SERVICE_BOARD, 1}},
			.part_count = 1,
		};
	assert_null(jt_routing_sort(routing));
	event.u.routing = routing;
	fixture_handle(node, &event);
}

static inline struct fixture *sim_create_node(size_t n, uint64_t seed,
					      uint32_t disabled_features)
{
	struct fixture *node = talloc_zero(NULL, struct fixture);
	struct jt_director_options options;

	jt_director_options_init(&options);
	options.zone_id = 1 + (uint32_t)(n % SIM_ZONES);
	options.disabled_features = disabled_features;
	options.seed = seed * SIM_NODES + n;
	node->director = jt_director_create(node, &options);
	node->actions = jt_director_actions_create(node);
	sim_set_routing(node);
	for (uint32_t e = 0; e < SIM_ENDPOINTS; e++)
		fixture_add_endpoint(node, e + 1, SERVICE_BOARD,
				     1 + e % SIM_ZONES, 2 + e);
	fixture_end_listing(node, 2 + SIM_ENDPOINTS);
	return node;
}

/* A request takes 0.55 times the mean at one endpoint in four, 1.2 times at the
 * others. */
static inline struct sim *sim_create(double load, uint64_t seed,
				     uint32_t disabled_features)
{
	struct sim *sim = talloc_zero(NULL, struct sim);

	sim->load = load;
	sim->random.seed = seed;
	sim->kinds[0] = (struct sim_kind){47, 4, 800, .78, {1, 1, 1}};
	sim->kinds[1] = (struct sim_kind){61, 4, 800, .22, {1, 1, 1}};
	for (size_t n = 0; n < SIM_NODES; n++)
		sim->nodes[n] = sim_create_node(n, seed, disabled_features);
	for (uint32_t e = 0; e < SIM_ENDPOINTS; e++) {
		struct sim_endpoint *endpoint = &sim->endpoints[e];

		endpoint->speed = 1 / (e / SIM_ZONES % 4 == 0 ? 0.55 : 1.2);
		endpoint->zone = e % SIM_ZONES;
		endpoint->queue_end = &endpoint->queue;
	}
	return sim;
}

static inline void sim_free(struct sim *sim)
{
	for (size_t n = 0; n < SIM_NODES; n++)
		talloc_free(sim->nodes[n]);
	talloc_free(sim);
}

/* Returns the requests of the busiest endpoint over the mean. */
static inline double sim_imbalance(const struct sim *sim)
{
	uint64_t sum = 0, most = 0;

	for (size_t e = 0; e < SIM_ENDPOINTS; e++) {
		sum += sim->endpoints[e].requests;
		if (sim->endpoints[e].requests > most)
			most = sim->endpoints[e].requests;
	}
	return (double)most * SIM_ENDPOINTS / (double)sum;
}

/* Returns the share of requests that slow endpoints got. */
static inline double sim_slow_share(const struct sim *sim)
{
	uint64_t sum = 0, slow = 0;

	for (size_t e = 0; e < SIM_ENDPOINTS; e++) {
		sum += sim->endpoints[e].requests;
		if (sim->endpoints[e].speed < 1)
			slow += sim->endpoints[e].requests;
	}
	return (double)slow / (double)sum;
}

#endif
