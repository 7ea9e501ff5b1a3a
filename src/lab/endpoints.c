/* Endpoints: connections, request slots and health pages. */
#include "world_private.h"

#include "jt_net.h"

#include <stdio.h>
#include <string.h>

enum {
	HALF_OPEN_TIMEOUT_US = 10000000,
	PART_RETRY_US = 300000,
	PART_SEND_LIMIT = 60,
	DRAIN_GRACE_US = 3000000,
	COLD_FACTOR = 3, /* service time of a cold endpoint, relative */
};

struct endpoint *endpoint_add(struct world *world, unsigned service,
			      struct jt_address address)
{
	struct endpoint *e = talloc_zero(world, struct endpoint);
	size_t number = 0;

	for (size_t i = 0; i < world->endpoint_count; i++)
		number += world->endpoints[i]->service == service;
	world->endpoints =
		talloc_realloc(world, world->endpoints, struct endpoint *,
			       world->endpoint_count + 1);
	world->endpoints[world->endpoint_count++] = e;
	snprintf(e->name, sizeof(e->name), "%s-%zu",
		 world->scenario->services[service].name, number);
	e->id = jt_name_id(e->name);
	e->service = service;
	e->address = address;
	e->alive = true;
	e->configured = true;
	e->incarnation = 1;
	e->load_override = -1;
	e->queue_tail = &e->queue;
	return e;
}

void endpoints_create(struct world *world)
{
	uint32_t next = 0x0a200000u;

	for (unsigned s = 0; s < world->scenario->service_count; s++) {
		unsigned count = world->scenario->services[s].endpoints;

		for (unsigned i = 0; i < count; i++)
			endpoint_add(world, s,
				     (struct jt_address){next++, 6080});
	}
}

struct endpoint *endpoint_at(struct world *world, struct jt_address address)
{
	size_t index = address.ip - 0x0a200000u;
	struct endpoint *found = NULL;

	if (index < world->endpoint_count &&
	    world->endpoints[index]->address.ip == address.ip &&
	    !world->endpoints[index]->released)
		return world->endpoints[index];
	for (size_t i = 0; i < world->endpoint_count; i++) {
		if (world->endpoints[i]->address.ip == address.ip &&
		    !world->endpoints[i]->released)
			found = world->endpoints[i];
	}
	return found;
}

unsigned endpoint_capacity(const struct world *world, const struct endpoint *e)
{
	const struct scenario_service *service =
		&world->scenario->services[e->service];

	return service->kind == JT_SERVICE_REQUEST ? service->slots
						   : service->connections;
}

unsigned endpoint_load(const struct world *world, const struct endpoint *e)
{
	return world->scenario->services[e->service].kind == JT_SERVICE_REQUEST
		       ? e->slots_used
		       : e->open;
}

bool endpoint_accepts_flows(const struct world *world, const struct endpoint *e)
{
	uint64_t now = world_now(world);

	return e->alive && e->configured && !e->released && !e->draining &&
	       now >= e->shed_until_us && now >= e->cold_until_us;
}

static struct endpoint_connection *find_connection(const struct world *world,
						   struct flow *flow,
						   const struct endpoint *e)
{
	for (unsigned i = 0; i < flow->connection_count; i++) {
		if (world->endpoints[flow->connections[i].endpoint] == e &&
		    flow->connections[i].incarnation == e->incarnation)
			return &flow->connections[i];
	}
	return NULL;
}

static uint32_t endpoint_index(const struct world *world,
			       const struct endpoint *e)
{
	for (size_t i = 0; i < world->endpoint_count; i++) {
		if (world->endpoints[i] == e)
			return (uint32_t)i;
	}
	return UINT32_MAX;
}

/* Replies, sent directly to the client (direct server return) */

enum reply_kind {
	REPLY_SYN_ACK,
	REPLY_ACK,
	REPLY_PART,
	REPLY_CLOSED,
	REPLY_RESET
};

struct reply {
	struct world *world;
	struct flow *flow;
	uint32_t generation;
	enum reply_kind kind;
	uint32_t value;
};

static void on_reply_arrival(void *object, uint64_t argument)
{
	struct reply *reply = object;
	struct flow *flow = reply->flow;
	struct world *world = reply->world;

	(void)argument;
	if (flow->generation == reply->generation && flow->step != FLOW_FREE) {
		switch (reply->kind) {
		case REPLY_SYN_ACK:
			flow_on_syn_ack(world, flow, reply->value);
			break;
		case REPLY_ACK:
			flow_on_ack(world, flow, reply->value);
			break;
		case REPLY_PART:
			flow_on_response_part(world, flow, reply->value);
			break;
		case REPLY_CLOSED:
			flow_on_closed(world, flow);
			break;
		case REPLY_RESET:
			flow_on_reset(world, flow);
			break;
		}
	}
	talloc_free(reply);
}

static void send_reply(struct world *world, struct flow *flow,
		       enum reply_kind kind, uint32_t value, uint64_t after_us)
{
	struct reply *reply;

	if (world_uniform(world) < world->scenario->loss)
		return;
	reply = talloc_zero(world, struct reply);
	reply->world = world;
	reply->flow = flow;
	reply->generation = flow->generation;
	reply->kind = kind;
	reply->value = value;
	jt_scheduler_after(world->scheduler, client_delay(world) + after_us,
			   on_reply_arrival, reply, 0);
}

/* Requests and slots */

/* A pending timer of a flow at an endpoint. */
struct flow_task {
	struct world *world;
	struct endpoint *endpoint;
	uint32_t incarnation;
	struct flow *flow;
	uint32_t generation;
	unsigned tries;
};

static void start_request(struct world *world, struct endpoint *endpoint,
			  struct flow *flow);

static void serve_queue(struct world *world, struct endpoint *endpoint)
{
	while (endpoint->queue != NULL &&
	       endpoint->slots_used < endpoint_capacity(world, endpoint)) {
		struct flow_ref *ref = endpoint->queue;
		struct flow *flow = world->flows[ref->flow];

		endpoint->queue = ref->next;
		if (endpoint->queue == NULL)
			endpoint->queue_tail = &endpoint->queue;
		if (flow->generation == ref->generation &&
		    flow->step != FLOW_FREE)
			start_request(world, endpoint, flow);
		talloc_free(ref);
	}
}

static void send_response_parts(void *object, uint64_t argument)
{
	struct flow_task *task = object;
	struct flow *flow = task->flow;

	(void)argument;
	if (flow->generation != task->generation || flow->step != FLOW_OPEN ||
	    flow->parts_acked == (1u << RESPONSE_PARTS) - 1 ||
	    !task->endpoint->alive ||
	    task->endpoint->incarnation != task->incarnation ||
	    task->tries++ >= PART_SEND_LIMIT) {
		talloc_free(task);
		return;
	}
	for (unsigned i = 0; i < RESPONSE_PARTS; i++) {
		if (!(flow->parts_acked >> i & 1))
			send_reply(
				task->world, flow, REPLY_PART, i,
				(uint64_t)(world_uniform(task->world) * 4000));
	}
	jt_scheduler_after(task->world->scheduler, PART_RETRY_US,
			   send_response_parts, task, 0);
}

static void on_service_end(void *object, uint64_t argument)
{
	struct flow_task *task = object;

	(void)argument;
	if (task->endpoint->incarnation == task->incarnation) {
		task->endpoint->slots_used--;
		serve_queue(task->world, task->endpoint);
	}
	send_response_parts(task, 0);
}

static void start_request(struct world *world, struct endpoint *endpoint,
			  struct flow *flow)
{
	const struct scenario_service *service =
		&world->scenario->services[endpoint->service];
	struct flow_task *task = talloc_zero(world, struct flow_task);
	double ms = service->service_time_ms * (0.5 + world_uniform(world));

	if (world_now(world) < endpoint->cold_until_us)
		ms *= COLD_FACTOR;
	endpoint->slots_used++;
	task->world = world;
	task->endpoint = endpoint;
	task->incarnation = endpoint->incarnation;
	task->flow = flow;
	task->generation = flow->generation;
	jt_scheduler_after(world->scheduler, (uint64_t)(ms * 1000),
			   on_service_end, task, 0);
}

static void accept_request(struct world *world, struct endpoint *endpoint,
			   struct flow *flow)
{
	struct flow_ref *ref;

	if (endpoint->slots_used < endpoint_capacity(world, endpoint)) {
		start_request(world, endpoint, flow);
		return;
	}
	ref = talloc_zero(world, struct flow_ref);
	ref->flow = flow->index;
	ref->generation = flow->generation;
	*endpoint->queue_tail = ref;
	endpoint->queue_tail = &ref->next;
}

static void handle_message(struct world *world, struct endpoint *endpoint,
			   struct flow *flow,
			   struct endpoint_connection *connection,
			   uint32_t message)
{
	if (message <= connection->last_message)
		return;
	for (unsigned i = 0; i < flow->connection_count; i++) {
		if (&flow->connections[i] == connection ||
		    flow->connections[i].last_message < message)
			continue;
		world->metrics.executed_twice++;
		oracle_violation(world, "runs at most once",
				 "message %u of flow %u/%u on %s", message,
				 flow->index, flow->generation, endpoint->name);
	}
	connection->last_message = message;
	if (world->scenario->services[flow->service].kind == JT_SERVICE_REQUEST)
		accept_request(world, endpoint, flow);
}

/* Packets */

static void on_half_open_timeout(void *object, uint64_t argument)
{
	struct flow_task *task = object;
	struct endpoint_connection *connection;

	(void)argument;
	if (task->flow->generation == task->generation &&
	    task->flow->step != FLOW_FREE) {
		connection = find_connection(task->world, task->flow,
					     task->endpoint);
		if (connection != NULL && connection->open &&
		    !connection->established) {
			connection->open = false;
			task->endpoint->open--;
		}
	}
	talloc_free(task);
}

static void check_placement(struct world *world, struct endpoint *endpoint,
			    struct flow *flow)
{
	for (unsigned i = 0; i < flow->connection_count; i++) {
		const struct endpoint *other =
			world->endpoints[flow->connections[i].endpoint];

		if (other == endpoint || !other->alive ||
		    other->incarnation != flow->connections[i].incarnation)
			continue;
		world->metrics.at_two_endpoints++;
		oracle_violation(world, "one endpoint for a flow",
				 "flow %u/%u reached %s after %s", flow->index,
				 flow->generation, endpoint->name, other->name);
	}
	if (endpoint->drain_since_us == 0 ||
	    world_now(world) < endpoint->drain_since_us + DRAIN_GRACE_US)
		return;
	world->metrics.new_flows_to_draining++;
	oracle_violation(world, "no new flows to leaving endpoints",
			 "flow %u/%u to %s", flow->index, flow->generation,
			 endpoint->name);
}

static void start_half_open(struct world *world, struct endpoint *endpoint,
			    struct flow *flow,
			    struct endpoint_connection *connection)
{
	struct flow_task *task = talloc_zero(world, struct flow_task);

	connection->open = true;
	endpoint->open++;
	task->world = world;
	task->endpoint = endpoint;
	task->flow = flow;
	task->generation = flow->generation;
	jt_scheduler_after(world->scheduler, HALF_OPEN_TIMEOUT_US,
			   on_half_open_timeout, task, 0);
}

/* A SYN reopens a half-open connection that timed out. */
static void endpoint_syn(struct world *world, struct endpoint *endpoint,
			 struct flow *flow)
{
	struct endpoint_connection *connection =
		find_connection(world, flow, endpoint);

	if (connection == NULL) {
		check_placement(world, endpoint, flow);
		if (flow->connection_count == FLOW_ENDPOINTS_MAX)
			return;
		connection = &flow->connections[flow->connection_count++];
		*connection = (struct endpoint_connection){
			.endpoint = endpoint_index(world, endpoint),
			.incarnation = endpoint->incarnation,
		};
		start_half_open(world, endpoint, flow, connection);
	} else if (!connection->open && !connection->established) {
		start_half_open(world, endpoint, flow, connection);
	}
	send_reply(world, flow, REPLY_SYN_ACK, connection->endpoint, 0);
}

void endpoint_packet(struct world *world, struct endpoint *endpoint,
		     struct flow *flow, enum packet_kind kind, uint32_t message)
{
	struct endpoint_connection *connection;

	if (!endpoint->alive)
		return;
	if (endpoint->service != flow->service) {
		world->metrics.misdelivered++;
		oracle_violation(world, "packets stay in their service",
				 "flow %u/%u of %s reached %s", flow->index,
				 flow->generation,
				 world->scenario->services[flow->service].name,
				 endpoint->name);
	}
	if (kind == PACKET_SYN && endpoint->service == flow->service) {
		endpoint_syn(world, endpoint, flow);
		return;
	}
	connection = find_connection(world, flow, endpoint);
	if (connection == NULL || !connection->open) {
		send_reply(world, flow,
			   kind == PACKET_FIN ? REPLY_CLOSED : REPLY_RESET, 0,
			   0);
		return;
	}
	connection->established = true;
	if (kind == PACKET_FIN) {
		connection->open = false;
		endpoint->open--;
		send_reply(world, flow, REPLY_CLOSED, 0, 0);
	} else if (message & 0x80000u) {
		flow->parts_acked |= message & ((1u << RESPONSE_PARTS) - 1);
	} else {
		handle_message(world, endpoint, flow, connection, message);
		send_reply(world, flow, REPLY_ACK, message, 0);
	}
}

void endpoint_crash(struct world *world, struct endpoint *endpoint)
{
	(void)world;
	endpoint->alive = false;
	endpoint->incarnation++;
	endpoint->open = 0;
	endpoint->slots_used = 0;
	while (endpoint->queue != NULL) {
		struct flow_ref *ref = endpoint->queue;

		endpoint->queue = ref->next;
		talloc_free(ref);
	}
	endpoint->queue_tail = &endpoint->queue;
}

void endpoint_restart(struct world *world, struct endpoint *endpoint)
{
	if (endpoint->alive)
		endpoint_crash(world, endpoint);
	endpoint->alive = true;
	endpoint->history_count = 0;
}

/* Health pages */

void endpoints_sample_health(struct world *world)
{
	uint64_t now = world_now(world);

	for (size_t i = 0; i < world->endpoint_count; i++) {
		struct endpoint *e = world->endpoints[i];
		struct jt_health *sample =
			&e->history[e->history_count++ % HEALTH_SAMPLES];

		sample->endpoint_id = e->id;
		sample->instance = (uint8_t)(e->incarnation % 255 + 1);
		sample->flags = JT_REPORT_OK;
		if (e->draining)
			sample->flags |= JT_REPORT_DRAINING;
		if (now < e->shed_until_us)
			sample->flags |= JT_REPORT_SHEDDING;
		if (now < e->cold_until_us)
			sample->flags |= JT_REPORT_COLD;
		sample->load = e->load_override >= 0
				       ? (uint32_t)e->load_override
				       : endpoint_load(world, e);
	}
}

bool endpoint_health(void *private_data, uint32_t endpoint_id,
		     struct jt_health *health)
{
	struct world *world = private_data;
	struct endpoint *e = NULL;
	uint64_t age_samples;

	for (size_t i = 0; i < world->endpoint_count; i++) {
		if (world->endpoints[i]->id == endpoint_id)
			e = world->endpoints[i];
	}
	if (e == NULL)
		return false;
	*health = (struct jt_health){.endpoint_id = endpoint_id};
	if (!e->alive || e->released || e->history_count == 0)
		return true; /* the health page does not respond */
	age_samples = (uint64_t)(world->health_lag_s[e->service] * SECOND_US /
				 HEALTH_SAMPLE_US);
	if (age_samples >= HEALTH_SAMPLES)
		age_samples = HEALTH_SAMPLES - 1;
	if (age_samples >= e->history_count)
		age_samples = e->history_count - 1;
	*health = e->history[(e->history_count - 1 - age_samples) %
			     HEALTH_SAMPLES];
	return true;
}

/* Writes a health page to the trace if more than its load has changed. */
static void trace_health_page(struct world *world, struct endpoint *e)
{
	struct jt_health page = {0};

	endpoint_health(world, e->id, &page);
	if (page.flags == e->traced.flags &&
	    page.instance == e->traced.instance && e->traced.endpoint_id)
		return;
	e->traced = page;
	e->traced.endpoint_id = e->id;
	fprintf(world->options.trace,
		"{\"t\":%llu,\"page\":[\"%u\",[%u,%u,%u]]}\n",
		(unsigned long long)world_now(world), e->id, page.flags,
		page.load, page.instance);
}

void endpoints_trace(struct world *world)
{
	for (size_t i = 0; world->options.trace && i < world->endpoint_count;
	     i++)
		trace_health_page(world, world->endpoints[i]);
}
