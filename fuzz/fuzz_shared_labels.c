/*
 * Stateful fuzzing of three director nodes with endpoints whose ids give the
 * same flow labels, over times that are long compared with the life of a flow.
 *
 * Each pair of bytes is one step: endpoints start, drain, leave as planned and
 * end; nodes receive the changes, up to LATE_MAX_MS late, list the store again,
 * and restart from the state of a peer; clients open flows and send on them
 * through any node. The oracle tracks clients and endpoints only. It checks
 * that no node resets an open flow whose endpoint is alive.
 */
#include "jaspertrack/director.h"
#include "jt_routing.h"
#include "jt_snapshot.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);
extern int fuzz_verbose;
int fuzz_verbose;

enum {
	NODES = 3,
	ENDPOINTS = 64, /* in the whole run */
	LABELS = 2,	/* shared by all endpoints */
	FLOWS = 32,
	FLOWS_AT_ONCE = 4,
	CHANGES = 256,
	PROBES = 64,
	SERVICE = 1,
	ZONE = 1,
	FLOW_AGE_LIMIT_MS = 60000,
	/* An endpoint serves on for at most this long after its entry has
	 * gone. */
	SERVES_ON_MS = 10000,
	LATE_MAX_MS = 3000,
	STEP_MS = 100, /* time unit of the driver's ticks */
	LONG_STEP_MS = 20000,
	START_MS = 1000000,
	OPEN_ACKNOWLEDGED = 0x40000000,
	RESET_WINDOW = 76800, /* in which a client accepts a reset */
};

struct endpoint {
	struct jt_endpoint_entry entry;
	bool alive;
	bool listed;
	uint64_t removed_ms;
};

struct change {
	struct jt_director_event event;
	uint64_t at_ms;
};

struct flow {
	bool open;
	struct jt_flow_key key;
	uint32_t label;
	uint32_t sequence;
	uint32_t acknowledged;
	uint64_t opened_ms;
	int endpoint;
};

struct probe {
	int node;
	uint64_t id;
};

struct world {
	struct jt_director *directors[NODES];
	size_t changes_sent[NODES];
	struct jt_director_actions *actions;
	struct endpoint endpoints[ENDPOINTS];
	int endpoint_count;
	struct change changes[CHANGES];
	size_t change_count;
	struct flow flows[FLOWS];
	struct probe probes[PROBES];
	size_t probe_count;
	uint64_t revision;
	uint64_t now_ms;
	uint16_t next_port;
	const uint8_t *data;
	size_t size;
};

static uint8_t next_byte(struct world *world)
{
	if (world->size == 0)
		return 0;
	world->size--;
	return *world->data++;
}

/* Returns an id whose halves give one of LABELS labels by XOR. */
static uint64_t id_of(int index)
{
	uint64_t high = 0x1000 + (uint64_t)index;

	return high << 32 | (high ^ (1 + (uint64_t)index % LABELS));
}

static int endpoint_index(const struct world *world, uint64_t id)
{
	for (int i = 0; i < world->endpoint_count; i++) {
		if (world->endpoints[i].entry.id == id)
			return i;
	}
	return -1;
}

/* Endpoints */

static void change_add(struct world *world,
		       const struct jt_director_event *event)
{
	if (world->change_count == CHANGES)
		return;
	world->changes[world->change_count++] =
		(struct change){*event, world->now_ms};
}

static void entry_publish(struct world *world, struct endpoint *endpoint)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_ENDPOINT};

	endpoint->entry.revision = ++world->revision;
	if (!endpoint->listed)
		endpoint->entry.created_revision = endpoint->entry.revision;
	endpoint->listed = true;
	event.u.endpoint = endpoint->entry;
	change_add(world, &event);
}

static void endpoint_start(struct world *world)
{
	struct endpoint *endpoint = &world->endpoints[world->endpoint_count];

	/* Each change must reach the nodes. */
	if (world->endpoint_count == ENDPOINTS ||
	    world->change_count + 2 >= CHANGES)
		return;
	*endpoint = (struct endpoint){.alive = true};
	endpoint->entry = (struct jt_endpoint_entry){
		.id = id_of(world->endpoint_count),
		.service_id = SERVICE,
		.zone_id = ZONE,
		.address = {0x0a000001 + (uint32_t)world->endpoint_count, 80},
		.capacity = 2,
	};
	world->endpoint_count++;
	entry_publish(world, endpoint);
}

static struct endpoint *endpoint_pick(struct world *world, uint8_t choice)
{
	return world->endpoint_count > 0
		       ? &world->endpoints[choice % world->endpoint_count]
		       : NULL;
}

/* Returns true if enough endpoints of each label remain for another to end. */
static bool enough_endpoints(const struct world *world)
{
	int ready = 0;

	for (int i = 0; i < world->endpoint_count; i++)
		ready += world->endpoints[i].listed &&
			 !world->endpoints[i].entry.draining;
	return ready > LABELS * 2;
}

static void endpoint_drain(struct world *world, uint8_t choice)
{
	struct endpoint *endpoint = endpoint_pick(world, choice);

	if (endpoint == NULL || !endpoint->listed || endpoint->entry.draining ||
	    !enough_endpoints(world) || world->change_count + 2 >= CHANGES)
		return;
	endpoint->entry.draining = true;
	entry_publish(world, endpoint);
}

/* The entry goes; the endpoint serves on for a while. */
static void endpoint_leave(struct world *world, uint8_t choice)
{
	struct endpoint *endpoint = endpoint_pick(world, choice);
	struct jt_director_event event = {.kind = JT_DIRECTOR_ENTRY_REMOVED};

	if (endpoint == NULL || !endpoint->listed || !enough_endpoints(world) ||
	    world->change_count + 1 >= CHANGES)
		return;
	endpoint->listed = false;
	endpoint->removed_ms = world->now_ms;
	event.u.removed.id = endpoint->entry.id;
	event.u.removed.revision = ++world->revision;
	change_add(world, &event);
}

static void endpoint_end(struct world *world, struct endpoint *endpoint)
{
	endpoint->alive = false;
	for (int i = 0; i < FLOWS; i++) {
		if (world->flows[i].endpoint ==
		    (int)(endpoint - world->endpoints))
			world->flows[i].open = false;
	}
}

static void endpoints_expire(struct world *world)
{
	for (int i = 0; i < world->endpoint_count; i++) {
		struct endpoint *endpoint = &world->endpoints[i];

		if (endpoint->alive && !endpoint->listed &&
		    world->now_ms - endpoint->removed_ms >= SERVES_ON_MS)
			endpoint_end(world, endpoint);
	}
}

/* Nodes */

static struct flow *flow_find(struct world *world,
			      const struct jt_flow_key *key)
{
	for (int i = 0; i < FLOWS; i++) {
		if (world->flows[i].key.source_port == key->source_port)
			return &world->flows[i];
	}
	return NULL;
}

static void on_reset(struct world *world, int node,
		     const struct jt_director_action *action)
{
	struct flow *flow = flow_find(world, &action->key);

	if (flow == NULL || !flow->open ||
	    action->reset_sequence - flow->acknowledged + RESET_WINDOW >
		    2 * RESET_WINDOW)
		return;
	if (world->endpoints[flow->endpoint].alive) {
		fprintf(stderr,
			"invariant violated at %llu ms: node %d resets an open "
			"flow of the live endpoint %llx\n",
			(unsigned long long)world->now_ms, node,
			(unsigned long long)world->endpoints[flow->endpoint]
				.entry.id);
		abort();
	}
	flow->open = false;
}

static void on_forward(struct world *world,
		       const struct jt_director_action *action)
{
	struct flow *flow = flow_find(world, &action->key);
	int index = endpoint_index(world, action->endpoint_id);

	if (flow == NULL || index < 0 || !world->endpoints[index].alive)
		return;
	if (flow->endpoint < 0) { /* its first packet */
		flow->endpoint = index;
		flow->open = true;
		flow->opened_ms = world->now_ms;
		flow->label = action->label;
		flow->sequence++;
		flow->acknowledged = OPEN_ACKNOWLEDGED;
	} else if (flow->open && flow->endpoint == index) {
		flow->sequence += 10;
		flow->acknowledged += 100;
	} else {
		flow->open = false; /* the other endpoint resets it */
	}
}

static void event_send(struct world *world, int node,
		       struct jt_director_event *event)
{
	event->now_ms = world->now_ms;
	jt_director_actions_clear(world->actions);
	jt_director_handle(world->directors[node], event, world->actions);
	for (size_t i = 0; i < world->actions->count; i++) {
		const struct jt_director_action *action =
			&world->actions->items[i];

		if (fuzz_verbose)
			fprintf(stderr,
				"%llu node %d action %d reason %s endpoint "
				"%llx state %s port %u\n",
				(unsigned long long)world->now_ms, node,
				action->kind,
				jt_director_reason_name(action->reason),
				(unsigned long long)action->endpoint_id,
				jt_incarnation_state_name(action->state),
				action->key.source_port);
		if (action->kind == JT_DIRECTOR_FORWARD)
			on_forward(world, action);
		else if (action->kind == JT_DIRECTOR_RESET)
			on_reset(world, node, action);
		else if (action->kind == JT_DIRECTOR_PROBE &&
			 world->probe_count < PROBES)
			world->probes[world->probe_count++] =
				(struct probe){node, action->endpoint_id};
	}
}

static void routing_send(struct world *world, int node)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_ROUTING};
	struct jt_routing *routing = talloc_zero(world, struct jt_routing);

	routing->version = 1;
	routing->revision = 1;
	routing->flow_idle_ms = FLOW_AGE_LIMIT_MS;
	routing->routes = talloc_zero(routing, struct jt_route);
	routing->routes[0] = (struct jt_route){
		.address = {0xc6120001, 443},
		.parts = {{SERVICE, 1}},
		.part_count = 1,
	};
	routing->route_count = 1;
	routing->services = talloc_zero(routing, struct jt_routed_service);
	event.u.routing = routing;
	event_send(world, node, &event);
}

/* Sends the node a full listing of the store. */
static void listing_send(struct world *world, int node)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_LISTING};

	event_send(world, node, &event);
	for (int i = 0; i < world->endpoint_count; i++) {
		if (!world->endpoints[i].listed)
			continue;
		event = (struct jt_director_event){
			.kind = JT_DIRECTOR_ENDPOINT};
		event.u.endpoint = world->endpoints[i].entry;
		event_send(world, node, &event);
	}
	event = (struct jt_director_event){.kind = JT_DIRECTOR_LISTED};
	event.u.listed.revision = world->revision;
	event_send(world, node, &event);
	world->changes_sent[node] = world->change_count;
}

static void director_create(struct world *world, int node)
{
	struct jt_director_options options;

	talloc_free(world->directors[node]);
	jt_director_options_init(&options);
	options.zone_id = ZONE;
	options.flow_age_limit_ms = FLOW_AGE_LIMIT_MS;
	options.seed = (uint64_t)node + 1;
	world->directors[node] = jt_director_create(world, &options);
	routing_send(world, node);
}

static void snapshot_send(struct world *world, int node, int from)
{
	const struct jt_snapshot_request request = {0};
	struct jt_director_event event;
	TALLOC_CTX *frame = talloc_new(world);
	jt_wire_snapshot snapshot;

	if (!jt_snapshot_write(frame, world->directors[from], &request,
			       world->now_ms, &snapshot))
		abort();
	for (u_int i = 0; i < snapshot.entries.entries_len; i++) {
		if (jt_snapshot_entry_event(&snapshot.entries.entries_val[i],
					    &event))
			event_send(world, node, &event);
	}
	event = (struct jt_director_event){.kind = JT_DIRECTOR_PEER_SNAPSHOT};
	event.u.listed.revision = snapshot.revision;
	event_send(world, node, &event);
	world->changes_sent[node] = world->changes_sent[from];
	talloc_free(frame);
}

static void node_restart(struct world *world, int node, uint8_t choice)
{
	int from = (node + 1 + choice % (NODES - 1)) % NODES;

	director_create(world, node);
	snapshot_send(world, node, from);
}

static void change_send(struct world *world, int node)
{
	struct jt_director_event event =
		world->changes[world->changes_sent[node]++].event;

	event_send(world, node, &event);
}

/* Delivers the changes that a node must know by now. */
static void overdue_changes_send(struct world *world)
{
	for (int node = 0; node < NODES; node++) {
		while (world->changes_sent[node] < world->change_count &&
		       world->now_ms - world->changes[world->changes_sent[node]]
					       .at_ms >=
			       LATE_MAX_MS)
			change_send(world, node);
	}
}

/* An endpoint accepts connections while it is alive; otherwise its host refuses
 * them. */
static void probes_finish(struct world *world)
{
	struct probe probes[PROBES];
	size_t count = world->probe_count;

	memcpy(probes, world->probes, count * sizeof(probes[0]));
	world->probe_count = 0;
	for (size_t i = 0; i < count; i++) {
		struct jt_director_event event = {.kind = JT_DIRECTOR_PROBED};
		int index = endpoint_index(world, probes[i].id);

		event.u.probed.id = probes[i].id;
		event.u.probed.outcome = world->endpoints[index].alive
						 ? JT_PROBE_CONNECTED
						 : JT_PROBE_REFUSED;
		event_send(world, probes[i].node, &event);
	}
}

static void time_advance(struct world *world, uint64_t by_ms)
{
	struct jt_director_event event;

	for (; by_ms >= STEP_MS; by_ms -= STEP_MS) {
		world->now_ms += STEP_MS;
		endpoints_expire(world);
		overdue_changes_send(world);
		probes_finish(world);
		for (int node = 0; node < NODES; node++) {
			event = (struct jt_director_event){
				.kind = JT_DIRECTOR_TICK};
			event.u.tick.nodes = NODES;
			event_send(world, node, &event);
		}
	}
	for (int i = 0; i < FLOWS; i++) {
		if (world->now_ms - world->flows[i].opened_ms >=
		    FLOW_AGE_LIMIT_MS)
			world->flows[i].open = false;
	}
}

/* Clients */

static void packet_send(struct world *world, int node, const struct flow *flow,
			uint8_t flags, uint32_t length)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_PACKET};

	event.u.packet = (struct jt_label_packet){
		.key = flow->key,
		.flags = flags,
		.label = flow->label,
		.sequence = flow->sequence,
		.acknowledged = flow->acknowledged,
		.length = length,
	};
	event_send(world, node, &event);
}

static void flow_start(struct world *world, int node, uint8_t choice)
{
	struct flow *flow = &world->flows[choice % FLOWS];

	if (flow->open)
		return;
	*flow = (struct flow){
		.endpoint = -1,
		.sequence = 1,
		.key = {.source = 0x64400001,
			.destination = 0xc6120001,
			.source_port = world->next_port++,
			.destination_port = 443,
			.protocol = JT_PROTOCOL_TCP},
	};
	packet_send(world, node, flow, JT_PACKET_SYN, 0);
}

static void flow_continue(struct world *world, int node, uint8_t choice)
{
	struct flow *flow = &world->flows[choice % FLOWS];

	if (flow->open)
		packet_send(world, node, flow, JT_PACKET_ACK, 10);
}

static void step(struct world *world)
{
	uint8_t operation = next_byte(world), choice = next_byte(world);
	int node = operation / 16 % NODES;

	switch (operation % 16) {
	case 0:
		endpoint_start(world);
		break;
	case 1:
		endpoint_drain(world, choice);
		break;
	case 2:
		endpoint_leave(world, choice);
		break;
	case 3:
		if (world->changes_sent[node] < world->change_count)
			change_send(world, node);
		break;
	case 4:
		if (choice % 4 == 0)
			listing_send(world, node);
		else
			node_restart(world, node, choice);
		break;
	case 5:
	case 6:
		for (uint8_t i = 0; i < FLOWS_AT_ONCE; i++)
			flow_start(world, node, choice + i);
		break;
	case 7:
		if (choice % 2 == 0)
			time_advance(world, LONG_STEP_MS);
		else
			time_advance(world, (uint64_t)choice * STEP_MS / 8);
		break;
	default:
		/* Clients retransmit after 200 ms. */
		flow_continue(world, node, choice);
		time_advance(world, 2 * STEP_MS);
		break;
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct world *world = talloc_zero(NULL, struct world);

	world->data = data;
	world->size = size;
	world->now_ms = START_MS;
	world->next_port = 1024;
	world->actions = jt_director_actions_create(world);
	for (int node = 0; node < NODES; node++)
		director_create(world, node);
	for (int i = 0; i < 2 * LABELS; i++)
		endpoint_start(world);
	for (int node = 0; node < NODES; node++)
		listing_send(world, node);
	while (world->size > 0)
		step(world);
	talloc_free(world);
	return 0;
}
