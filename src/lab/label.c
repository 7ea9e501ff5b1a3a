/*
 * Placement by flow label in the emulated world: each node is a director, on
 * the same fabric, callers and endpoints as the other policies.
 *
 * Discovery is told as late as the health pages are, an endpoint that crashes
 * goes from it after DISCOVERY_LAPSE_US, and a node that starts lists what
 * there is. Probes take a moment and see what is true then.
 */
#include "world_private.h"

#include "jaspertrack/director.h"
#include "jt_flow_lookup.h"
#include "jt_routing.h"

#include <string.h>

enum {
	LOOK_US = 500000,	      /* between two looks at discovery */
	PROBE_US = 3000,	      /* until a connection is there, or not */
	PROBE_SILENT_US = 250000,     /* until silence is an answer */
	DISCOVERY_LAPSE_US = 3600000, /* three beats of an endpoint */
	REPORT_BYTES = 1100, /* digest and loads to two peers, each look */
	CALL_BYTES = 260,    /* a store call */
	QUESTION_BYTES = 90, /* where a flow is; the answer has as many */
	MESSAGE_SPAN = 4096, /* sequence numbers of one message */
};

/* A packet that a node holds until peers have answered. */
struct label_held {
	struct world *world;
	uint16_t node;
	struct jt_flow_key key;
	uint32_t sequence; /* of the flow's first packet */
	uint8_t tcp_flags;
	uint64_t packet;
	uint64_t since_us;
};

struct label_node {
	struct jt_director *director; /* NULL: not running */
	bool paused;
	uint64_t bytes;
};

/* What discovery holds of an endpoint. */
struct label_entry {
	struct jt_endpoint_entry entry;
	bool listed;
	uint64_t crashed_us; /* seen so, 0: alive */
};

struct label_world {
	struct label_node nodes[JT_CLUSTER_NODES];
	struct label_entry *entries;
	size_t entry_count;
	uint64_t revision;
	uint64_t routed; /* revision of the configuration that is routed */
	struct jt_director_actions *actions;
	uint64_t node_ids[JT_CLUSTER_NODES];
	/* The packet in hand. */
	uint16_t node;
	uint64_t packet;
	uint8_t tcp_flags;
	struct jt_flow_key key;
	bool in_hand;
	bool held; /* the packet that was last in hand */
};

struct label_probe {
	struct world *world;
	uint16_t node;
	uint64_t endpoint_id;
	bool identify;
};

static void label_event(struct world *world, uint16_t index,
			struct jt_director_event *event);

static uint64_t incarnation_id(const struct endpoint *endpoint)
{
	return (uint64_t)endpoint->id << 16 | (endpoint->incarnation & 0xffff);
}

/* The endpoint that an incarnation is, NULL once there is a later one. */
static struct endpoint *incarnation_find(const struct world *world, uint64_t id)
{
	for (size_t i = 0; i < world->endpoint_count; i++) {
		if (incarnation_id(world->endpoints[i]) == id)
			return world->endpoints[i];
	}
	return NULL;
}

/* Routing and discovery */

static struct jt_routing *routing_of(TALLOC_CTX *mem_ctx,
				     const struct world *world)
{
	const struct jt_config *config = world->config;
	struct jt_routing *routing = talloc_zero(mem_ctx, struct jt_routing);

	routing->version = world->revision;
	routing->flow_idle_ms = 600000;
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

static void tell_routing(struct world *world, uint16_t index)
{
	struct label_node *node = &world->label->nodes[index];
	struct jt_director_event event = {.kind = JT_DIRECTOR_ROUTING};
	struct jt_routing *routing = routing_of(world->label, world);

	event.u.routing = routing;
	label_event(world, index, &event);
	if (jt_director_routing(node->director) != routing)
		talloc_free(routing);
}

static void tell_entry(struct world *world, uint16_t index,
		       const struct label_entry *entry)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_ENDPOINT};

	event.u.endpoint = entry->entry;
	label_event(world, index, &event);
}

static void tell_all(struct world *world, const struct label_entry *entry)
{
	for (uint16_t n = 0; n < world->scenario->node_count; n++) {
		if (world->label->nodes[n].director == NULL)
			continue;
		world->label->nodes[n].bytes += CALL_BYTES;
		tell_entry(world, n, entry);
	}
}

/* What discovery holds of the endpoint now; true when that has changed. */
static bool entry_look(struct world *world, size_t index)
{
	const struct endpoint *endpoint = world->endpoints[index];
	struct label_entry *entry = &world->label->entries[index];
	uint64_t id = incarnation_id(endpoint), now = world_now(world);
	bool there = endpoint->configured && !endpoint->released;
	struct jt_endpoint_entry next;

	if (endpoint->alive)
		entry->crashed_us = 0;
	else if (entry->crashed_us == 0)
		entry->crashed_us = now;
	if (entry->crashed_us != 0 &&
	    now - entry->crashed_us >= DISCOVERY_LAPSE_US)
		there = false;
	if (!there) {
		if (!entry->listed)
			return false;
		entry->listed = false;
		entry->entry.gone_revision = ++world->label->revision;
		return true;
	}
	next = (struct jt_endpoint_entry){
		.id = id,
		.service_id = endpoint->service + 1,
		.zone_id = 1,
		.address = endpoint->address,
		.capacity = endpoint_capacity(world, endpoint),
		.draining = endpoint->draining,
		.cold_left_ms =
			endpoint->cold_until_us > now
				? (uint32_t)((endpoint->cold_until_us - now) /
					     1000)
				: 0,
	};
	if (entry->listed && entry->entry.id == id &&
	    entry->entry.draining == next.draining)
		return false;
	/* A crashed process writes nothing new. */
	if (!endpoint->alive)
		return false;
	next.revision = ++world->label->revision;
	entry->entry = next;
	entry->listed = true;
	return true;
}

/* Each node tells two others its share of the endpoints' flows. */
static void loads_tell(struct world *world)
{
	uint16_t count = (uint16_t)world->scenario->node_count;
	struct label_world *label = world->label;

	for (uint16_t n = 0; n < count; n++) {
		struct jt_endpoint_load loads[JT_LOAD_LIMIT];
		struct jt_director_event event = {.kind = JT_DIRECTOR_LOADS};

		if (!label_ready(world, n))
			continue;
		event.u.loads.peer = n + 1u;
		event.u.loads.loads = loads;
		event.u.loads.count =
			jt_director_loads(label->nodes[n].director,
					  world_now(world) / 1000, loads);
		for (int i = 0; i < 2; i++) {
			uint16_t to = (uint16_t)(world_uniform(world) * count);

			if (to != n && label_ready(world, to))
				label_event(world, to, &event);
		}
	}
}

static void look(void *object, uint64_t argument)
{
	struct world *world = object;
	struct label_world *label = world->label;

	(void)argument;
	if (label->entry_count < world->endpoint_count) {
		label->entries = talloc_realloc(label, label->entries,
						struct label_entry,
						world->endpoint_count);
		memset(label->entries + label->entry_count, 0,
		       (world->endpoint_count - label->entry_count) *
			       sizeof(*label->entries));
		label->entry_count = world->endpoint_count;
	}
	for (size_t i = 0; i < world->endpoint_count; i++) {
		if (entry_look(world, i))
			tell_all(world, &label->entries[i]);
	}
	for (uint16_t n = 0; n < world->scenario->node_count; n++) {
		struct jt_director_event tick = {.kind = JT_DIRECTOR_TICK};

		if (label->nodes[n].director == NULL || label->nodes[n].paused)
			continue;
		label->nodes[n].bytes += REPORT_BYTES;
		if (label->routed != world->revision)
			tell_routing(world, n);
		tick.u.tick.nodes = world->scenario->node_count;
		tick.u.tick.node_id = n + 1u;
		tick.u.tick.peers = label->node_ids;
		tick.u.tick.peer_count = world->scenario->node_count;
		label_event(world, n, &tick);
	}
	label->routed = world->revision;
	loads_tell(world);
	jt_scheduler_after(world->scheduler, LOOK_US, look, world, 0);
}

void label_create(struct world *world)
{
	world->label = talloc_zero(world, struct label_world);
	world->label->actions = jt_director_actions_create(world->label);
	for (uint64_t n = 0; n < JT_CLUSTER_NODES; n++)
		world->label->node_ids[n] = n + 1;
	look(world, 0);
}

/* Nodes */

void label_start(struct world *world, uint16_t index)
{
	struct label_node *node = &world->label->nodes[index];
	/* Discovery misses nothing here. */
	struct jt_director_event event = {.kind = JT_DIRECTOR_INFORMED};
	struct jt_director_options options;

	if (node->director != NULL)
		return;
	jt_director_options_init(&options);
	options.zone_id = 1;
	options.seed = world->options.seed * 1000 + index;
	options.flow_limit = 1 << 20;
	options.break_mechanism = world->options.break_mechanism;
	node->director = jt_director_create(world->label, &options);
	node->paused = false;
	node->bytes += CALL_BYTES;
	tell_routing(world, index);
	for (size_t i = 0; i < world->label->entry_count; i++) {
		if (world->label->entries[i].listed)
			tell_entry(world, index, &world->label->entries[i]);
	}
	event.u.listed.revision = world->label->revision;
	label_event(world, index, &event);
}

void label_stop(struct world *world, uint16_t index)
{
	TALLOC_FREE(world->label->nodes[index].director);
}

void label_pause(struct world *world, uint16_t index, bool paused)
{
	world->label->nodes[index].paused = paused;
}

bool label_ready(const struct world *world, uint16_t index)
{
	const struct label_node *node = &world->label->nodes[index];

	return node->director != NULL && !node->paused;
}

uint64_t label_bytes(const struct world *world, uint16_t index)
{
	return world->label->nodes[index].bytes;
}

/* Actions */

static void probe_done(void *object, uint64_t argument)
{
	struct label_probe *probe = object;
	struct world *world = probe->world;
	struct endpoint *endpoint = incarnation_find(world, probe->endpoint_id);
	bool alive = endpoint != NULL && endpoint->alive && !endpoint->released;
	struct jt_director_event event = {.kind = JT_DIRECTOR_PROBED};

	(void)argument;
	if (probe->identify) {
		event.kind = JT_DIRECTOR_IDENTIFIED;
		event.u.identified.id = probe->endpoint_id;
		event.u.identified.found = alive ? probe->endpoint_id : 0;
	} else {
		event.u.probed.id = probe->endpoint_id;
		event.u.probed.outcome =
			alive ? JT_PROBE_CONNECTED : JT_PROBE_SILENT;
	}
	if (label_ready(world, probe->node))
		label_event(world, probe->node, &event);
	talloc_free(probe);
}

static void probe_start(struct world *world, uint16_t index,
			const struct jt_director_action *action)
{
	struct label_probe *probe = talloc_zero(world, struct label_probe);
	struct endpoint *endpoint =
		incarnation_find(world, action->endpoint_id);
	bool alive = endpoint != NULL && endpoint->alive;

	probe->world = world;
	probe->node = index;
	probe->endpoint_id = action->endpoint_id;
	probe->identify = action->kind == JT_DIRECTOR_IDENTIFY;
	world->label->nodes[index].bytes += CALL_BYTES;
	jt_scheduler_after(world->scheduler, alive ? PROBE_US : PROBE_SILENT_US,
			   probe_done, probe, 0);
}

static bool same_key(const struct jt_flow_key *a, const struct jt_flow_key *b)
{
	return a->source == b->source && a->destination == b->destination &&
	       a->source_port == b->source_port &&
	       a->destination_port == b->destination_port;
}

/*
 * A reset of a flow that is not the packet in hand. A caller takes one of an
 * open flow only near what it has acknowledged: a reset meant for its first
 * packet, which went to another endpoint than the one that answered, is not.
 */
static void reset_other(struct world *world, const struct jt_flow_key *key,
			uint32_t sequence)
{
	for (size_t i = 0; i < world->flow_count; i++) {
		struct flow *flow = world->flows[i];

		if (!same_key(&flow->key, key))
			continue;
		if (flow->step == FLOW_CONNECTING ||
		    (flow->step == FLOW_OPEN && sequence != 0))
			flow_reset(world, flow);
	}
}

/* Questions about flows: all other nodes answer, and the packet is offered
 * again; once more when those that are down have had their time. */

static void packet_offer(struct world *world, uint16_t index,
			 const struct jt_flow_key *key, uint8_t tcp_flags,
			 uint64_t packet, uint32_t held_ms);

static void held_offer(struct label_held *held)
{
	uint64_t held_us = world_now(held->world) - held->since_us;

	packet_offer(held->world, held->node, &held->key, held->tcp_flags,
		     held->packet, (uint32_t)(held_us / 1000) + 1);
}

static void lookup_over(void *object, uint64_t argument)
{
	struct label_held *held = object;

	(void)argument;
	held_offer(held);
	talloc_free(held);
}

static void peer_answers(const struct label_held *held, uint16_t index)
{
	struct label_world *label = held->world->label;
	struct jt_director_event event = {.kind = JT_DIRECTOR_FLOW_TOLD};

	label->nodes[index].bytes += QUESTION_BYTES;
	event.u.flow_told.key = held->key;
	event.u.flow_told.sequence = held->sequence;
	event.u.flow_told.label = jt_director_flow_label(
		label->nodes[index].director, &held->key, held->sequence);
	label_event(held->world, held->node, &event);
}

static void peers_answer(void *object, uint64_t argument)
{
	struct label_held *held = object;
	struct world *world = held->world;

	(void)argument;
	for (uint16_t n = 0; n < world->scenario->node_count; n++) {
		if (n != held->node && label_ready(world, n) &&
		    label_ready(world, held->node))
			peer_answers(held, n);
	}
	world->label->held = false;
	held_offer(held);
	if (world->label->held)
		jt_scheduler_after(world->scheduler, JT_FLOW_LOOKUP_MS * 1000,
				   lookup_over, held, 0);
	else
		talloc_free(held);
}

/* Of the packet in hand, which is held meanwhile. */
static void peers_ask(struct world *world, uint16_t index,
		      const struct jt_director_action *action)
{
	struct label_world *label = world->label;
	struct label_held *held = talloc_zero(world, struct label_held);
	size_t peers = world->scenario->node_count - 1;

	*held = (struct label_held){
		.world = world,
		.node = index,
		.key = action->key,
		.sequence = action->first_sequence,
		.tcp_flags = label->tcp_flags,
		.packet = label->packet,
		.since_us = world_now(world),
	};
	label->nodes[index].bytes += peers * QUESTION_BYTES;
	jt_director_flow_asked(label->nodes[index].director, &action->key,
			       peers, world_now(world) / 1000);
	jt_scheduler_after(world->scheduler,
			   (uint64_t)(world->scenario->zone_to_zone_ms * 2000),
			   peers_answer, held, 0);
}

static void verdict_tell(struct world *world, enum jt_verdict_kind kind,
			 struct jt_address endpoint)
{
	struct jt_verdict verdict = {
		.kind = kind,
		.node = world->label->node,
		.packet = world->label->packet,
		.key = world->label->key,
		.endpoint = endpoint,
	};

	flows_verdict(world, &verdict);
}

static void label_act(struct world *world, uint16_t index,
		      const struct jt_director_action *action)
{
	struct label_world *label = world->label;
	bool in_hand = label->in_hand && same_key(&action->key, &label->key);

	switch (action->kind) {
	case JT_DIRECTOR_FORWARD:
		verdict_tell(world, JT_VERDICT_FORWARD, action->address);
		break;
	case JT_DIRECTOR_RESET:
		if (in_hand)
			verdict_tell(world, JT_VERDICT_REFUSE, action->address);
		else
			reset_other(world, &action->key,
				    action->reset_sequence);
		break;
	case JT_DIRECTOR_HOLD:
		label->held = true;
		break;
	case JT_DIRECTOR_FLOW_ASK:
		peers_ask(world, index, action);
		break;
	case JT_DIRECTOR_PROBE:
	case JT_DIRECTOR_IDENTIFY:
		probe_start(world, index, action);
		break;
	default:
		break;
	}
}

static void label_event(struct world *world, uint16_t index,
			struct jt_director_event *event)
{
	struct label_world *label = world->label;
	struct jt_director_action *items;
	size_t count;

	event->now_ms = world_now(world) / 1000;
	jt_director_actions_clear(label->actions);
	jt_director_handle(label->nodes[index].director, event, label->actions);
	/* What is done may bring the next event. */
	count = label->actions->count;
	if (count == 0)
		return;
	items = talloc_memdup(label, label->actions->items,
			      count * sizeof(*items));
	for (size_t i = 0; i < count; i++)
		label_act(world, index, &items[i]);
	talloc_free(items);
}

/* Packets */

/* The caller's label: what its endpoint's packets carried. */
static uint32_t flow_label(const struct world *world, const struct flow *flow)
{
	const struct endpoint *endpoint;

	if (flow->step == FLOW_CONNECTING || flow->endpoint == UINT32_MAX)
		return 0;
	endpoint = world->endpoints[flow->endpoint];
	return jt_flow_label((uint64_t)endpoint->id << 16 |
			     (flow->label_incarnation & 0xffff));
}

static void packet_offer(struct world *world, uint16_t index,
			 const struct jt_flow_key *key, uint8_t tcp_flags,
			 uint64_t packet, uint32_t held_ms)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_PACKET};
	struct flow *flow = world->flows[packet >> 36];
	struct label_world *label = world->label;
	uint32_t message = packet & 0xfffff;
	bool data = (packet >> 20 & 0xf) == PACKET_DATA;

	if (!label_ready(world, index))
		return;
	event.u.packet = (struct jt_label_packet){
		.key = *key,
		.flags =
			(uint8_t)((tcp_flags & JT_TCP_SYN ? JT_PACKET_SYN
							  : JT_PACKET_ACK) |
				  (tcp_flags & JT_TCP_FIN ? JT_PACKET_FIN : 0)),
		.label = flow_label(world, flow),
		.sequence =
			tcp_flags & JT_TCP_SYN ? 0 : message * MESSAGE_SPAN + 1,
		.acknowledged = tcp_flags & JT_TCP_SYN
					? flow->tries
					: (message - (flow->awaiting && data)) *
							  MESSAGE_SPAN +
						  flow->parts + 1,
		.length = data ? 100 : 0,
		.held_ms = held_ms,
	};
	label->node = index;
	label->packet = packet;
	label->tcp_flags = tcp_flags;
	label->key = *key;
	label->in_hand = true;
	label_event(world, index, &event);
	label->in_hand = false;
}

void label_packet(struct world *world, uint16_t index,
		  const struct jt_flow_key *key, uint8_t tcp_flags,
		  uint64_t packet)
{
	packet_offer(world, index, key, tcp_flags, packet, 0);
}
