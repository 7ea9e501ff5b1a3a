/*
 * Placement by flow label in the emulated world: each node runs a director,
 * with the same fabric, clients and endpoints as the other policies.
 *
 * Discovery is polled every DISCOVERY_POLL_US, the entry of a crashed endpoint
 * expires after DISCOVERY_EXPIRY_US, and a node that starts gets the full
 * listing. A probe returns the state of the endpoint at the time of its
 * completion.
 */
#include "label_routing.h"
#include "world_private.h"

#include "jaspertrack/director.h"
#include "jt_flow_lookup.h"

#include <string.h>

enum {
	DISCOVERY_POLL_US = 500000, /* also the tick interval */
	PROBE_CONNECT_US = 3000,    /* duration of a probe of a live endpoint */
	PROBE_TIMEOUT_US = 1250000, /* timeout of a probe */
	DISCOVERY_EXPIRY_US = 3600000, /* three announcement intervals */
	REPORT_BYTES = 1100,	       /* digest and loads to two peers */
	STORE_CALL_BYTES = 260,	       /* store call or probe */
	FLOW_LOOKUP_BYTES = 90, /* flow lookup; same size for the response */
	MESSAGE_SPAN = 4096,	/* sequence numbers per message */
};

/* A packet held by a node until its peers have responded. */
struct label_held_packet {
	struct world *world;
	uint16_t node;
	struct jt_flow_key key;
	uint32_t sequence; /* initial sequence number of the flow */
	uint8_t tcp_flags;
	uint64_t packet;
	uint64_t since_us;
};

struct label_node {
	struct jt_director *director; /* NULL: not running */
	bool paused;
	uint64_t bytes;
};

/* Discovery entry of an endpoint. */
struct label_entry {
	struct jt_endpoint_entry entry;
	bool listed;
	uint64_t crashed_us; /* when the crash was observed; 0: alive */
};

struct label_world {
	struct label_node nodes[JT_CLUSTER_MAX_NODES];
	struct label_entry *entries;
	size_t entry_count;
	uint64_t revision;
	uint64_t routed_revision; /* revision last sent to the nodes */
	struct jt_director_actions *actions;
	uint64_t node_ids[JT_CLUSTER_MAX_NODES];
	/* The packet being processed. */
	uint16_t node;
	uint64_t packet;
	uint8_t tcp_flags;
	struct jt_flow_key key;
	bool processing;
	bool packet_held; /* the director holds the packet processed last */
};

struct label_probe {
	struct world *world;
	uint16_t node;
	uint64_t endpoint_id;
	bool identify;
};

static void handle_event(struct world *world, uint16_t index,
			 struct jt_director_event *event);

static uint64_t incarnation_id(const struct endpoint *endpoint)
{
	return (uint64_t)endpoint->id << 16 | (endpoint->incarnation & 0xffff);
}

/* Returns the endpoint of an incarnation, or NULL if it was restarted. */
static struct endpoint *find_incarnation(const struct world *world, uint64_t id)
{
	for (size_t i = 0; i < world->endpoint_count; i++) {
		if (incarnation_id(world->endpoints[i]) == id)
			return world->endpoints[i];
	}
	return NULL;
}

/* Routing and discovery */

static void send_routing(struct world *world, uint16_t index)
{
	struct label_node *node = &world->label->nodes[index];
	struct jt_director_event event = {.kind = JT_DIRECTOR_ROUTING};
	struct jt_routing *routing = label_routing_create(world->label, world);

	event.u.routing = routing;
	handle_event(world, index, &event);
	if (jt_director_routing(node->director) != routing)
		talloc_free(routing);
}

static void send_entry(struct world *world, uint16_t index,
		       const struct label_entry *entry)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_ENDPOINT};

	event.u.endpoint = entry->entry;
	handle_event(world, index, &event);
}

static void broadcast_entry(struct world *world,
			    const struct label_entry *entry)
{
	for (uint16_t n = 0; n < world->scenario->node_count; n++) {
		if (world->label->nodes[n].director == NULL)
			continue;
		world->label->nodes[n].bytes += STORE_CALL_BYTES;
		send_entry(world, n, entry);
	}
}

/* Updates the discovery entry of an endpoint; returns true if it changed. */
static bool update_entry(struct world *world, size_t index)
{
	const struct endpoint *endpoint = world->endpoints[index];
	struct label_entry *entry = &world->label->entries[index];
	uint64_t id = incarnation_id(endpoint), now = world_now(world);
	bool present = endpoint->configured && !endpoint->released;
	struct jt_endpoint_entry next;

	if (endpoint->alive)
		entry->crashed_us = 0;
	else if (entry->crashed_us == 0)
		entry->crashed_us = now;
	if (entry->crashed_us != 0 &&
	    now - entry->crashed_us >= DISCOVERY_EXPIRY_US)
		present = false;
	if (!present) {
		if (!entry->listed)
			return false;
		entry->listed = false;
		entry->entry.removed_revision = ++world->label->revision;
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
	/* A crashed endpoint does not update its entry. */
	if (!endpoint->alive)
		return false;
	next.revision = ++world->label->revision;
	entry->entry = next;
	entry->listed = true;
	return true;
}

/* Sends the endpoint loads of each node to up to two random peers. */
static void send_loads(struct world *world)
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
				handle_event(world, to, &event);
		}
	}
}

static void on_discovery_poll(void *object, uint64_t argument)
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
		if (update_entry(world, i))
			broadcast_entry(world, &label->entries[i]);
	}
	for (uint16_t n = 0; n < world->scenario->node_count; n++) {
		struct jt_director_event tick = {.kind = JT_DIRECTOR_TICK};

		if (label->nodes[n].director == NULL || label->nodes[n].paused)
			continue;
		label->nodes[n].bytes += REPORT_BYTES;
		if (label->routed_revision != world->revision)
			send_routing(world, n);
		tick.u.tick.nodes = world->scenario->node_count;
		tick.u.tick.node_id = n + 1u;
		tick.u.tick.peers = label->node_ids;
		tick.u.tick.peer_count = world->scenario->node_count;
		handle_event(world, n, &tick);
	}
	label->routed_revision = world->revision;
	send_loads(world);
	jt_scheduler_after(world->scheduler, DISCOVERY_POLL_US,
			   on_discovery_poll, world, 0);
}

void label_create(struct world *world)
{
	world->label = talloc_zero(world, struct label_world);
	world->label->actions = jt_director_actions_create(world->label);
	for (uint64_t n = 0; n < JT_CLUSTER_MAX_NODES; n++)
		world->label->node_ids[n] = n + 1;
	on_discovery_poll(world, 0);
}

/* Nodes */

void label_start(struct world *world, uint16_t index)
{
	struct label_node *node = &world->label->nodes[index];
	/* The full listing is complete: there is no gap. */
	struct jt_director_event event = {.kind = JT_DIRECTOR_PEER_SNAPSHOT};
	struct jt_director_options options;

	if (node->director != NULL)
		return;
	jt_director_options_init(&options);
	options.zone_id = 1;
	options.seed = world->options.seed * 1000 + index;
	options.flow_limit = 1 << 20;
	options.injected_faults = world->options.injected_faults;
	node->director = jt_director_create(world->label, &options);
	node->paused = false;
	node->bytes += STORE_CALL_BYTES;
	send_routing(world, index);
	for (size_t i = 0; i < world->label->entry_count; i++) {
		if (world->label->entries[i].listed)
			send_entry(world, index, &world->label->entries[i]);
	}
	event.u.listed.revision = world->label->revision;
	handle_event(world, index, &event);
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

static void on_probe_done(void *object, uint64_t argument)
{
	struct label_probe *probe = object;
	struct world *world = probe->world;
	struct endpoint *endpoint = find_incarnation(world, probe->endpoint_id);
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
		handle_event(world, probe->node, &event);
	talloc_free(probe);
}

static void probe_start(struct world *world, uint16_t index,
			const struct jt_director_action *action)
{
	struct label_probe *probe = talloc_zero(world, struct label_probe);
	struct endpoint *endpoint =
		find_incarnation(world, action->endpoint_id);
	bool alive = endpoint != NULL && endpoint->alive;

	probe->world = world;
	probe->node = index;
	probe->endpoint_id = action->endpoint_id;
	probe->identify = action->kind == JT_DIRECTOR_IDENTIFY;
	world->label->nodes[index].bytes += STORE_CALL_BYTES;
	jt_scheduler_after(world->scheduler,
			   alive ? PROBE_CONNECT_US : PROBE_TIMEOUT_US,
			   on_probe_done, probe, 0);
}

static bool same_key(const struct jt_flow_key *a, const struct jt_flow_key *b)
{
	return a->source == b->source && a->destination == b->destination &&
	       a->source_port == b->source_port &&
	       a->destination_port == b->destination_port;
}

/*
 * Delivers a reset of a flow other than that of the current packet. An open
 * flow ignores a reset with sequence 0: it is for a SYN that was placed on
 * another endpoint, and lies outside the client's window.
 */
static void reset_other_flow(struct world *world, const struct jt_flow_key *key,
			     uint32_t sequence)
{
	for (size_t i = 0; i < world->flow_count; i++) {
		struct flow *flow = world->flows[i];

		if (!same_key(&flow->key, key))
			continue;
		if (flow->step == FLOW_CONNECTING ||
		    (flow->step == FLOW_OPEN && sequence != 0))
			flow_on_reset(world, flow);
	}
}

/*
 * Flow lookups. The packet is processed again after the responses of all live
 * peers, and once more after JT_FLOW_LOOKUP_MS if it is still held.
 */

static void process_packet(struct world *world, uint16_t index,
			   const struct jt_flow_key *key, uint8_t tcp_flags,
			   uint64_t packet, uint32_t held_ms);

static void process_held_packet(struct label_held_packet *held)
{
	uint64_t held_us = world_now(held->world) - held->since_us;

	process_packet(held->world, held->node, &held->key, held->tcp_flags,
		       held->packet, (uint32_t)(held_us / 1000) + 1);
}

static void on_lookup_timeout(void *object, uint64_t argument)
{
	struct label_held_packet *held = object;

	(void)argument;
	process_held_packet(held);
	talloc_free(held);
}

static void handle_peer_response(const struct label_held_packet *held,
				 uint16_t index)
{
	struct label_world *label = held->world->label;
	struct jt_director_event event = {
		.kind = JT_DIRECTOR_FLOW_LOOKUP_RESPONSE};

	label->nodes[index].bytes += FLOW_LOOKUP_BYTES;
	event.u.flow_lookup_response.key = held->key;
	event.u.flow_lookup_response.sequence = held->sequence;
	event.u.flow_lookup_response.label = jt_director_flow_label(
		label->nodes[index].director, &held->key, held->sequence);
	handle_event(held->world, held->node, &event);
}

static void on_peer_responses(void *object, uint64_t argument)
{
	struct label_held_packet *held = object;
	struct world *world = held->world;

	(void)argument;
	for (uint16_t n = 0; n < world->scenario->node_count; n++) {
		if (n != held->node && label_ready(world, n) &&
		    label_ready(world, held->node))
			handle_peer_response(held, n);
	}
	world->label->packet_held = false;
	process_held_packet(held);
	if (world->label->packet_held)
		jt_scheduler_after(world->scheduler, JT_FLOW_LOOKUP_MS * 1000,
				   on_lookup_timeout, held, 0);
	else
		talloc_free(held);
}

/* Looks up the flow of the current packet at all peers and holds the packet. */
static void query_peers(struct world *world, uint16_t index,
			const struct jt_director_action *action)
{
	struct label_world *label = world->label;
	struct label_held_packet *held =
		talloc_zero(world, struct label_held_packet);
	size_t peers = world->scenario->node_count - 1;

	*held = (struct label_held_packet){
		.world = world,
		.node = index,
		.key = action->key,
		.sequence = action->first_sequence,
		.tcp_flags = label->tcp_flags,
		.packet = label->packet,
		.since_us = world_now(world),
	};
	label->nodes[index].bytes += peers * FLOW_LOOKUP_BYTES;
	jt_director_flow_lookup_sent(label->nodes[index].director, &action->key,
				     peers, world_now(world) / 1000);
	jt_scheduler_after(world->scheduler,
			   (uint64_t)(world->scenario->zone_to_zone_ms * 2000),
			   on_peer_responses, held, 0);
}

static void report_outcome(struct world *world,
			   enum jt_packet_outcome_kind kind,
			   struct jt_address endpoint)
{
	struct jt_packet_outcome outcome = {
		.kind = kind,
		.node = world->label->node,
		.packet = world->label->packet,
		.key = world->label->key,
		.endpoint = endpoint,
	};

	flows_on_outcome(world, &outcome);
}

static void perform_action(struct world *world, uint16_t index,
			   const struct jt_director_action *action)
{
	struct label_world *label = world->label;
	bool processing =
		label->processing && same_key(&action->key, &label->key);

	switch (action->kind) {
	case JT_DIRECTOR_FORWARD:
		report_outcome(world, JT_PACKET_FORWARDED, action->address);
		break;
	case JT_DIRECTOR_RESET:
		if (processing)
			report_outcome(world, JT_PACKET_REFUSED,
				       action->address);
		else
			reset_other_flow(world, &action->key,
					 action->reset_sequence);
		break;
	case JT_DIRECTOR_HOLD:
		label->packet_held = true;
		break;
	case JT_DIRECTOR_FLOW_LOOKUP:
		query_peers(world, index, action);
		break;
	case JT_DIRECTOR_PROBE:
	case JT_DIRECTOR_IDENTIFY:
		probe_start(world, index, action);
		break;
	default:
		break;
	}
}

static void handle_event(struct world *world, uint16_t index,
			 struct jt_director_event *event)
{
	struct label_world *label = world->label;
	struct jt_director_action *items;
	size_t count;

	event->now_ms = world_now(world) / 1000;
	jt_director_actions_clear(label->actions);
	jt_director_handle(label->nodes[index].director, event, label->actions);
	/* An action may trigger further events, which reuse the list. */
	count = label->actions->count;
	if (count == 0)
		return;
	items = talloc_memdup(label, label->actions->items,
			      count * sizeof(*items));
	for (size_t i = 0; i < count; i++)
		perform_action(world, index, &items[i]);
	talloc_free(items);
}

/* Packets */

/* Returns the label that the client echoes; 0 before the flow is open. */
static uint32_t flow_label(const struct world *world, const struct flow *flow)
{
	const struct endpoint *endpoint;

	if (flow->step == FLOW_CONNECTING || flow->endpoint == UINT32_MAX)
		return 0;
	endpoint = world->endpoints[flow->endpoint];
	return jt_flow_label((uint64_t)endpoint->id << 16 |
			     (flow->label_incarnation & 0xffff));
}

static void process_packet(struct world *world, uint16_t index,
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
					: (message -
					   (flow->awaiting_response && data)) *
							  MESSAGE_SPAN +
						  flow->parts + 1,
		.length = data ? 100 : 0,
		.held_ms = held_ms,
	};
	label->node = index;
	label->packet = packet;
	label->tcp_flags = tcp_flags;
	label->key = *key;
	label->processing = true;
	handle_event(world, index, &event);
	label->processing = false;
}

void label_packet(struct world *world, uint16_t index,
		  const struct jt_flow_key *key, uint8_t tcp_flags,
		  uint64_t packet)
{
	process_packet(world, index, key, tcp_flags, packet, 0);
}
