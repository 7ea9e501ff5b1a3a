/*
 * Clients: open flows, send messages with retransmission, and close them.
 *
 * A simplified model of TCP: each packet may reach any balancer, may be lost
 * or delayed, and is retransmitted; an endpoint resets unknown flows.
 */
#include "world_private.h"

#include <math.h>
#include <string.h>

enum {
	SYN_SEND_LIMIT = 5,
	FIRST_RETRY_US = 300000,
	SYN_RETRY_US = 1000000,
	RETRY_MAX_US = 5000000,
	RESPONSE_TIMEOUT_US = 20000000, /* then the flow breaks */
	FIN_SEND_LIMIT = 6,
};

enum timer_kind { TIMER_RETRY, TIMER_MESSAGE, TIMER_RESPONSE };

/* Encodes flow index, generation, kind and message as a packet id. */
static uint64_t packet_id(const struct flow *flow, enum packet_kind kind,
			  uint32_t message)
{
	return (uint64_t)flow->index << 36 |
	       (uint64_t)(flow->generation & 0xfff) << 24 |
	       (uint64_t)kind << 20 | (message & 0xfffff);
}

uint64_t client_delay(struct world *world)
{
	return (uint64_t)(world->scenario->client_ms * 1000);
}

static void on_flow_timer(void *object, uint64_t argument);

/* argument: flow index, timer number, kind */
static void set_timer(struct world *world, struct flow *flow,
		      enum timer_kind kind, uint64_t delay_us)
{
	flow->timer++;
	jt_scheduler_after(world->scheduler, delay_us, on_flow_timer, world,
			   (uint64_t)flow->index << 32 |
				   (uint64_t)(flow->timer & 0xffffff) << 8 |
				   kind);
}

static struct flow *flow_allocate(struct world *world)
{
	struct flow *flow;

	if (world->free_count > 0) {
		flow = world->flows[world->free_flows[--world->free_count]];
	} else {
		world->flows =
			talloc_realloc(world, world->flows, struct flow *,
				       world->flow_count + 1);
		world->free_flows =
			talloc_realloc(world, world->free_flows, uint32_t,
				       world->flow_count + 1);
		flow = talloc_zero(world, struct flow);
		flow->index = (uint32_t)world->flow_count;
		world->flows[world->flow_count++] = flow;
	}
	*flow = (struct flow){.index = flow->index,
			      .generation = flow->generation + 1,
			      .timer = flow->timer,
			      .endpoint = UINT32_MAX};
	return flow;
}

static struct demand_state *flow_demand(struct world *world,
					const struct flow *flow)
{
	return &world->demands[flow->demand];
}

static void flow_free(struct world *world, struct flow *flow)
{
	flow->step = FLOW_FREE;
	flow->timer++;
	world->free_flows[world->free_count++] = flow->index;
}

/* Ends a flow and releases its connections at the endpoints. */
static void flow_end(struct world *world, struct flow *flow)
{
	if (flow->endpoint != UINT32_MAX)
		flow_demand(world, flow)->open--;
	flow->endpoint = UINT32_MAX;
	for (unsigned i = 0; i < flow->connection_count; i++) {
		struct endpoint_connection *connection = &flow->connections[i];
		struct endpoint *endpoint =
			world->endpoints[connection->endpoint];

		if (connection->open &&
		    endpoint->incarnation == connection->incarnation)
			endpoint->open--;
		connection->open = false;
	}
	flow_free(world, flow);
}

static bool flow_endpoint_alive(const struct world *world,
				const struct flow *flow)
{
	for (unsigned i = 0; i < flow->connection_count; i++) {
		const struct endpoint_connection *connection =
			&flow->connections[i];
		const struct endpoint *endpoint =
			world->endpoints[connection->endpoint];

		if (connection->endpoint == flow->endpoint && endpoint->alive &&
		    endpoint->incarnation == connection->incarnation)
			return true;
	}
	return false;
}

/* Ends an established flow that failed, and counts it as broken or lost. */
static void flow_break(struct world *world, struct flow *flow,
		       const char *reason)
{
	bool request = world->scenario->services[flow->service].kind ==
		       JT_SERVICE_REQUEST;

	if (!flow_endpoint_alive(world, flow)) {
		world->metrics.flows_lost_to_endpoint++;
	} else {
		world->metrics.flows_broken++;
		oracle_violation(world, "established flows stay",
				 "flow %u/%u of %s on %s: %s", flow->index,
				 flow->generation,
				 world->scenario->services[flow->service].name,
				 world->endpoints[flow->endpoint]->name,
				 reason);
		if (flow->awaiting_response && (request || !flow->acknowledged))
			world->metrics.unresolved++;
	}
	flow_end(world, flow);
}

static void send_syn(struct world *world, struct flow *flow)
{
	fabric_send(world, flow, JT_TCP_SYN, PACKET_SYN, 0);
	set_timer(world, flow, TIMER_RETRY,
		  (uint64_t)SYN_RETRY_US << flow->tries);
}

static uint64_t retry_delay(const struct flow *flow)
{
	uint64_t delay = (uint64_t)FIRST_RETRY_US
			 << (flow->tries < 6 ? flow->tries : 6);

	return delay > RETRY_MAX_US ? RETRY_MAX_US : delay;
}

static void send_message(struct world *world, struct flow *flow)
{
	fabric_send(world, flow, JT_TCP_ACK, PACKET_DATA, flow->message);
	set_timer(world, flow, TIMER_RETRY, retry_delay(flow));
}

static void send_next_message(struct world *world, struct flow *flow)
{
	flow->message++;
	flow->tries = 0;
	flow->awaiting_response = true;
	flow->acknowledged = false;
	flow->first_sent_us = world_now(world);
	world->metrics.requests_sent++;
	send_message(world, flow);
}

static void send_fin(struct world *world, struct flow *flow)
{
	fabric_send(world, flow, JT_TCP_FIN | JT_TCP_ACK, PACKET_FIN,
		    flow->message);
	set_timer(world, flow, TIMER_RETRY, retry_delay(flow));
}

static void start_closing(struct world *world, struct flow *flow)
{
	flow->step = FLOW_CLOSING;
	flow->tries = 0;
	flow->first_sent_us = world_now(world);
	send_fin(world, flow);
}

static void open_flow(struct world *world, struct demand_state *demand)
{
	const struct scenario_demand *spec =
		&world->scenario->groups[demand->group].demands[demand->index];
	struct flow *flow = flow_allocate(world);
	uint64_t number = world->next_key++;

	flow->group = demand->group;
	flow->demand = (unsigned)(demand - world->demands);
	flow->service = demand->service;
	flow->key.source = 0x0b000000u + (uint32_t)(number / 40000);
	flow->key.source_port = (uint16_t)(1024 + number % 40000);
	/* One service address for each demand of the scenario. */
	flow->key.destination = 0x0a140000u + flow->demand;
	flow->key.destination_port = 80;
	flow->key.protocol = JT_PROTOCOL_TCP;
	flow->step = FLOW_CONNECTING;
	flow->end_us =
		world_now(world) +
		(uint64_t)(world_exponential(world, spec->flow_s) * SECOND_US);
	if (flow->end_us > world->load_end_us + COOLDOWN_US / 2)
		flow->end_us = world->load_end_us + COOLDOWN_US / 2;
	send_syn(world, flow);
}

static void on_next_flow(void *object, uint64_t argument);

static void schedule_next_flow(struct world *world, struct demand_state *demand)
{
	uint32_t index = (uint32_t)(demand - world->demands);
	uint64_t delay;

	if (demand->rate <= 0)
		return;
	delay = (uint64_t)(world_exponential(world, 1 / demand->rate) *
			   SECOND_US);
	jt_scheduler_after(world->scheduler, delay, on_next_flow, world,
			   (uint64_t)index << 32 | demand->timer);
}

static void on_next_flow(void *object, uint64_t argument)
{
	struct world *world = object;
	struct demand_state *demand = &world->demands[argument >> 32];

	if (demand->timer != (uint32_t)argument ||
	    world_now(world) >= world->load_end_us)
		return;
	open_flow(world, demand);
	schedule_next_flow(world, demand);
}

void flows_demand_changed(struct world *world, struct demand_state *demand)
{
	demand->timer++;
	schedule_next_flow(world, demand);
}

void flows_start(struct world *world)
{
	for (size_t i = 0; i < world->demand_count; i++)
		schedule_next_flow(world, &world->demands[i]);
}

static void retry_connect(struct world *world, struct flow *flow)
{
	if (++flow->tries >= SYN_SEND_LIMIT) {
		world->metrics.connects_timed_out++;
		flow_end(world, flow);
		return;
	}
	send_syn(world, flow);
}

static void retry_message(struct world *world, struct flow *flow)
{
	if (!flow->awaiting_response)
		return;
	flow->tries++;
	if (world_now(world) > flow->first_sent_us + RESPONSE_TIMEOUT_US) {
		flow_break(world, flow, "response timeout");
		return;
	}
	send_message(world, flow);
}

static void retry_fin(struct world *world, struct flow *flow)
{
	if (++flow->tries >= FIN_SEND_LIMIT) {
		flow_end(world, flow);
		return;
	}
	send_fin(world, flow);
}

static void on_flow_timer(void *object, uint64_t argument)
{
	struct world *world = object;
	struct flow *flow = world->flows[argument >> 32];
	enum timer_kind kind = argument & 0xff;

	if (flow->step == FLOW_FREE ||
	    (flow->timer & 0xffffff) != (argument >> 8 & 0xffffff))
		return;
	if (kind == TIMER_MESSAGE) {
		if (world_now(world) >= flow->end_us)
			start_closing(world, flow);
		else
			send_next_message(world, flow);
		return;
	}
	if (kind == TIMER_RESPONSE) {
		flow_break(world, flow, "incomplete response");
		return;
	}
	if (flow->step == FLOW_CONNECTING)
		retry_connect(world, flow);
	else if (flow->step == FLOW_OPEN)
		retry_message(world, flow);
	else
		retry_fin(world, flow);
}

void flow_on_syn_ack(struct world *world, struct flow *flow, uint32_t endpoint)
{
	if (flow->step != FLOW_CONNECTING)
		return;
	flow->step = FLOW_OPEN;
	flow->endpoint = endpoint;
	flow->label_incarnation = world->endpoints[endpoint]->incarnation;
	flow_demand(world, flow)->open++;
	world->metrics.flows_opened++;
	send_next_message(world, flow);
}

static void schedule_next_message(struct world *world, struct flow *flow)
{
	double mean = world->scenario->packet_interval_s;
	uint64_t interval =
		(uint64_t)(world_exponential(world, mean) * SECOND_US);
	uint64_t now = world_now(world);

	if (now + interval > flow->end_us)
		interval = flow->end_us > now ? flow->end_us - now : 0;
	set_timer(world, flow, TIMER_MESSAGE, interval);
}

void flow_on_ack(struct world *world, struct flow *flow, uint32_t message)
{
	if (flow->step != FLOW_OPEN || !flow->awaiting_response ||
	    message != (flow->message & 0xfffff))
		return;
	if (world->scenario->services[flow->service].kind ==
	    JT_SERVICE_REQUEST) {
		/* Acknowledged; the response follows after execution. */
		flow->acknowledged = true;
		set_timer(world, flow, TIMER_RESPONSE, 3 * RESPONSE_TIMEOUT_US);
		return;
	}
	flow->awaiting_response = false;
	flow->acknowledged = true;
	world->metrics.responses_complete++;
	schedule_next_message(world, flow);
}

void flow_on_response_part(struct world *world, struct flow *flow,
			   unsigned part)
{
	if (flow->step != FLOW_OPEN)
		return;
	flow->parts |= 1u << part;
	/* Acknowledges the received segments, through a balancer. */
	fabric_send(world, flow, JT_TCP_ACK, PACKET_DATA,
		    0x80000u | flow->parts);
	if (flow->parts != (1u << RESPONSE_PARTS) - 1 ||
	    !flow->awaiting_response)
		return;
	flow->awaiting_response = false;
	world->metrics.responses_complete++;
	start_closing(world, flow);
}

void flow_on_closed(struct world *world, struct flow *flow)
{
	if (flow->step == FLOW_CLOSING)
		flow_end(world, flow);
}

void flow_on_reset(struct world *world, struct flow *flow)
{
	switch (flow->step) {
	case FLOW_OPEN:
		flow_break(world, flow, "reset");
		break;
	case FLOW_CLOSING:
	case FLOW_CONNECTING:
		flow_end(world, flow);
		break;
	default:
		break;
	}
}

static void flow_refused(struct world *world, struct flow *flow)
{
	bool delivered = false;

	if (flow->step != FLOW_CONNECTING)
		return;
	world->metrics.refused++;
	flow_demand(world, flow)->refused_since_sample++;
	for (unsigned i = 0; i < flow->connection_count; i++)
		delivered = true;
	if (delivered) {
		world->metrics.refused_after_delivery++;
		oracle_violation(
			world, "refused means not run",
			"flow %u/%u had reached %s", flow->index,
			flow->generation,
			world->endpoints[flow->connections[0].endpoint]->name);
	}
	flow_end(world, flow);
}

/* Packets in transit from a balancer. */

struct packet_arrival {
	struct world *world;
	struct flow *flow;
	uint32_t generation;
	enum packet_kind kind;
	uint32_t message;
	struct jt_address address;
	bool is_refusal;
};

static void on_packet_arrival(void *object, uint64_t argument)
{
	struct packet_arrival *arrival = object;
	struct flow *flow = arrival->flow;
	struct world *world = arrival->world;
	struct endpoint *endpoint;

	(void)argument;
	if (flow->generation != arrival->generation ||
	    flow->step == FLOW_FREE) {
		talloc_free(arrival);
		return;
	}
	if (arrival->is_refusal) {
		flow_refused(world, flow);
	} else {
		endpoint = endpoint_at(world, arrival->address);
		if (endpoint != NULL)
			endpoint_packet(world, endpoint, flow, arrival->kind,
					arrival->message);
	}
	talloc_free(arrival);
}

void flows_on_outcome(void *private_data,
		      const struct jt_packet_outcome *outcome)
{
	struct world *world = private_data;
	struct flow *flow = world->flows[outcome->packet >> 36];
	struct packet_arrival *arrival;
	uint64_t delay;

	world->metrics.packets++;
	world->metrics.relayed += outcome->hops > 0;
	if (outcome->kind == JT_PACKET_DROPPED ||
	    (flow->generation & 0xfff) != (outcome->packet >> 24 & 0xfff))
		return;
	arrival = talloc_zero(world, struct packet_arrival);
	arrival->world = world;
	arrival->flow = flow;
	arrival->generation = flow->generation;
	arrival->kind = outcome->packet >> 20 & 0xf;
	arrival->message = outcome->packet & 0xfffff;
	arrival->address = outcome->endpoint;
	arrival->is_refusal = outcome->kind == JT_PACKET_REFUSED;
	delay = arrival->is_refusal
			? client_delay(world)
			: (uint64_t)(world->scenario->zone_to_zone_ms * 700);
	jt_scheduler_after(world->scheduler, delay, on_packet_arrival, arrival,
			   0);
}

void fabric_send(struct world *world, struct flow *flow, uint8_t tcp_flags,
		 enum packet_kind kind, uint32_t message)
{
	uint64_t id = packet_id(flow, kind, message);
	uint16_t node;

	if (world->live_count == 0 ||
	    world_uniform(world) < world->scenario->loss)
		return;
	node = world->live[(size_t)(world_uniform(world) *
				    (double)world->live_count)];
	if (world->options.trace != NULL)
		fprintf(world->options.trace,
			"{\"t\":%llu,\"packet\":[%u,%u,%u,%u,%u,%u]}\n",
			(unsigned long long)world_now(world), node,
			flow->key.source, flow->key.source_port,
			flow->key.destination, flow->key.destination_port,
			tcp_flags);
	if (world->cluster != NULL)
		jt_cluster_packet(world->cluster, node, &flow->key, tcp_flags,
				  id);
	else
		baseline_packet(world, node, &flow->key, tcp_flags, id);
}

void flows_finish(struct world *world)
{
	for (size_t i = 0; i < world->flow_count; i++) {
		struct flow *flow = world->flows[i];

		if (flow->step == FLOW_OPEN && flow->awaiting_response &&
		    flow_endpoint_alive(world, flow))
			world->metrics.unresolved++;
	}
}
