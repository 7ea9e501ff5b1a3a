/*
 * Stateful fuzzing of three director nodes against a simple oracle.
 *
 * Each pair of bytes is one step: clients open flows and send on them through
 * any node; endpoints drain, end, stop responding, reach their connection limit
 * and release their addresses; store entries expire; nodes miss gossip updates,
 * receive them late or twice, restart, and exchange state. The oracle tracks
 * clients, endpoints and what each node was sent, never the internal state of a
 * node. It checks that:
 *
 * - an open flow whose endpoint is alive is never reset by a node, even if the
 *   endpoint fails requests;
 * - a duplicated first packet opens no flow at a second endpoint;
 * - the packets of a flow reach only its own endpoint;
 * - a first packet reaches only a service that some configuration allowed;
 * - a node forwards no first packet to an endpoint after receiving an entry
 *   that marks it as leaving;
 * - a node forwards none to an endpoint of a zone while the newest state that
 *   it received for the zone is a drain;
 * - a node forwards none to an endpoint whose newest entry is unreadable to it;
 * - a first packet goes to the address in the newest entry that the node was
 *   sent, never to that of an earlier incarnation;
 * - a flow that has an endpoint is never refused for lack of capacity, nor is a
 *   retransmission of a first packet, which another node may have assigned;
 * - the routing version of a node never decreases.
 *
 * In some inputs half of the endpoints publish the start times of their
 * incarnations and restart under their ids, and another writer corrupts
 * entries.
 */
#include "jaspertrack/director.h"
#include "jt_snapshot.h"
#include "jt_net.h"
#include "jt_routing.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);
extern unsigned fuzz_injected_faults;
extern int fuzz_verbose;
unsigned fuzz_injected_faults;
int fuzz_verbose;

enum {
	NODES = 3,
	ENDPOINTS = 24, /* in the whole run */
	ADDRESSES = 6,
	FLOWS = 48,
	UPDATES = 256,
	DEATH_REPORTS = 4096,
	SERVICES = 2,
	ROUTES = 4, /* two of each service, with different priorities */
	/* Low enough that nodes find services overloaded at times. */
	TARGET_MS = 2000,
	BURST_FLOWS = 16, /* as many as a node keeps in its flow table */
	BURST_REQUESTS = 4,
	BURST_WAIT_MS = 1100,
	ZONES = 2,
	OPEN_ACKNOWLEDGED = 0x40000000, /* first one of an endpoint */
	RESET_WINDOW = 76800, /* sequence window in which a reset is accepted */
	CONNECTION_LIMIT = 6, /* open flows of an endpoint */
	CONNECTION_LIMIT_HIGH = 200, /* where start times are published */
	FLOW_IDLE_MS = 60000,
	FLOW_IDLE_SHORT_MS = 3000,     /* where start times are published */
	DUPLICATE_DELAY_MAX_MS = 1000, /* delay of a duplicated packet */
	FLOW_TABLE_SIZE = 16,	       /* of a node */
	START_TIMES_FROM = 0xa0,       /* lowest first byte with start times */
	RESPONSE_BYTES = 50,
	SHORT_RESPONSE_BYTES = 5,
};

#define NOT_LEAVING UINT64_MAX

enum endpoint_state { UNUSED, ALIVE, DRAINING, ENDED, ENDED_SILENT };

/* The newest state of an endpoint's entry that a node was sent. */
struct sent_entry {
	uint64_t revision;
	uint64_t removed_revision;
	uint64_t leaving_start_ms; /* of the leaving incarnation */
	uint32_t ip;
	bool unreadable; /* at removed_revision */
};

struct endpoint {
	enum endpoint_state state;
	struct jt_endpoint_entry entry;
	bool listed;
	bool unreadable; /* the listed entry can't be parsed */
	uint64_t corrupt_revision;
	bool slow;
	unsigned starts;
	unsigned flows;
	struct sent_entry sent[NODES];
};

struct flow {
	bool used;
	bool open;
	bool closed; /* the client has seen its end */
	struct jt_flow_key key;
	uint32_t label;
	uint32_t sequence;
	uint32_t acknowledged;
	uint32_t retransmissions;
	bool queued;	    /* a request is queued at a slow endpoint */
	int label_endpoint; /* endpoint that its label names */
	int endpoint;	    /* endpoint that has it open, or -1 */
	int half_open;	    /* endpoint that answered the first packet, or -1 */
	unsigned start;	    /* `starts` of that endpoint when it answered */
	int node;	    /* node that received the first packet */
	unsigned node_start;   /* `node_starts` of it at the first packet */
	uint64_t forwarded_ms; /* its last packet forwarded by that node */
	uint64_t packet;       /* `node_packets` of that node at that packet */
};

/* The newest drain state of a zone that a node was sent. */
struct sent_zone {
	uint64_t revision;
	bool draining;
};

struct update {
	struct jt_director_event event;
	struct jt_zone_drain zone; /* of JT_DIRECTOR_ZONE_DRAINS */
	uint64_t routing_version;  /* 0: the update is in the event */
};

struct world {
	struct jt_director *directors[NODES];
	struct jt_director_actions *actions;
	size_t updates_sent[NODES]; /* updates delivered to each node */
	uint64_t versions[NODES];
	struct jt_zone_drain zones[ZONES]; /* as stored */
	struct sent_zone sent_zones[NODES][ZONES];
	unsigned node_starts[NODES];
	uint64_t node_packets[NODES]; /* received by each node */
	unsigned connection_limit;
	uint32_t flow_idle_ms;
	bool start_times;    /* published by endpoints; entries get corrupted */
	bool late_duplicate; /* the current packet is a late duplicate */
	struct endpoint endpoints[ENDPOINTS];
	int endpoint_count;
	struct flow flows[FLOWS];
	struct update updates[UPDATES];
	size_t update_count;
	uint64_t revision;
	uint64_t now_ms;
	uint16_t next_port;
	uint32_t services_routed; /* bit set: named by any route so far */
	const uint8_t *data;
	size_t size;
};

static const char *const zone_names[ZONES] = {"zone-a", "zone-b"};

static uint8_t next_byte(struct world *world)
{
	if (world->size == 0)
		return 0;
	world->size--;
	return *world->data++;
}

static void fail(const struct world *world, const char *invariant)
{
	fprintf(stderr, "invariant violated at %llu ms: %s\n",
		(unsigned long long)world->now_ms, invariant);
	abort();
}

static bool is_alive(const struct endpoint *endpoint)
{
	return endpoint->state == ALIVE || endpoint->state == DRAINING;
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

static void endpoint_close_flows(struct world *world, int index)
{
	for (int i = 0; i < FLOWS; i++) {
		if (world->flows[i].used && world->flows[i].endpoint == index)
			world->flows[i].endpoint = -1;
	}
	world->endpoints[index].flows = 0;
}

static void update_add(struct world *world, const struct update *update)
{
	if (world->update_count < UPDATES)
		world->updates[world->update_count++] = *update;
}

static void entry_publish(struct world *world, struct endpoint *endpoint)
{
	struct update update = {.event.kind = JT_DIRECTOR_ENDPOINT};

	endpoint->entry.revision = ++world->revision;
	endpoint->listed = true;
	endpoint->unreadable = false;
	update.event.u.endpoint = endpoint->entry;
	update_add(world, &update);
}

static void entry_remove(struct world *world, struct endpoint *endpoint)
{
	struct update update = {.event.kind = JT_DIRECTOR_ENTRY_REMOVED};

	if (!endpoint->listed)
		return;
	endpoint->listed = false;
	update.event.u.removed.id = endpoint->entry.id;
	update.event.u.removed.revision = ++world->revision;
	update_add(world, &update);
}

/* Overwrites the entry with one that can't be parsed. */
static void entry_corrupt(struct world *world, struct endpoint *endpoint)
{
	struct update update = {.event.kind = JT_DIRECTOR_UNREADABLE};

	endpoint->listed = true;
	endpoint->unreadable = true;
	endpoint->corrupt_revision = ++world->revision;
	update.event.u.removed.id = endpoint->entry.id;
	update.event.u.removed.revision = endpoint->corrupt_revision;
	update_add(world, &update);
}

static bool address_in_use(const struct world *world, uint32_t address)
{
	for (int i = 0; i < world->endpoint_count; i++) {
		const struct endpoint *endpoint = &world->endpoints[i];

		if (endpoint->entry.address.ip == address && is_alive(endpoint))
			return true;
	}
	return false;
}

/* Crashes the endpoint if it is running and restarts it under its id. The
 * new start time may be lower than the previous one: clocks step back. */
static void endpoint_restart(struct world *world, struct endpoint *endpoint,
			     uint8_t choice)
{
	uint32_t address = endpoint->entry.address.ip;

	if (choice & 1)
		address = 0x0a000000 + choice / 4 % ADDRESSES;
	if (endpoint->entry.start_time_ms == 0)
		return;
	endpoint_close_flows(world, (int)(endpoint - world->endpoints));
	endpoint->state = ENDED;
	if (address_in_use(world, address))
		return;
	endpoint->state = ALIVE;
	endpoint->starts++;
	endpoint->entry.address.ip = address;
	endpoint->entry.draining = false;
	endpoint->entry.start_time_ms =
		world->now_ms * 8 + endpoint->starts % 8 - choice / 128 * 5000;
	entry_publish(world, endpoint);
}

static void endpoint_start(struct world *world, uint8_t choice)
{
	struct endpoint *endpoint;
	uint32_t address = 0x0a000000 + choice % ADDRESSES;

	if (world->endpoint_count == ENDPOINTS ||
	    address_in_use(world, address))
		return;
	endpoint = &world->endpoints[world->endpoint_count];
	endpoint->state = ALIVE;
	endpoint->entry = (struct jt_endpoint_entry){
		.id = 0x1000 + (uint64_t)world->endpoint_count,
		.service_id = 1 + choice / ADDRESSES % SERVICES,
		.zone_id = jt_name_id(zone_names[choice % ZONES]),
		.address = {address, 80},
		.capacity = 2,
		.start_time_ms = world->start_times && world->endpoint_count % 2
					 ? world->now_ms * 8
					 : 0,
	};
	world->endpoint_count++;
	entry_publish(world, endpoint);
}

static struct endpoint *endpoint_pick(struct world *world, uint8_t choice)
{
	if (world->endpoint_count == 0)
		return NULL;
	return &world->endpoints[choice % world->endpoint_count];
}

static void endpoint_change(struct world *world, uint8_t operation,
			    uint8_t choice)
{
	struct endpoint *endpoint = endpoint_pick(world, choice);

	if (endpoint == NULL)
		return;
	if (world->start_times && operation >= 11) {
		endpoint_restart(world, endpoint, choice);
		return;
	}
	if (world->start_times && operation == 10) {
		entry_corrupt(world, endpoint);
		return;
	}
	switch (operation % 6) {
	case 0: /* announces that it leaves */
		if (endpoint->state != ALIVE)
			return;
		endpoint->state = DRAINING;
		endpoint->entry.draining = true;
		entry_publish(world, endpoint);
		break;
	case 1: /* ends; its host refuses connections */
	case 2: /* ends; connections to it time out */
		if (!is_alive(endpoint))
			return;
		endpoint->state = operation % 6 == 1 ? ENDED : ENDED_SILENT;
		endpoint_close_flows(world, (int)(endpoint - world->endpoints));
		break;
	case 3: /* its entry expires, whether or not it runs */
		entry_remove(world, endpoint);
		break;
	case 4: /* publishes its entry again */
		if (is_alive(endpoint) &&
		    (!endpoint->listed || endpoint->unreadable))
			entry_publish(world, endpoint);
		break;
	case 5:
		endpoint->slow = !endpoint->slow;
		break;
	}
}

/* Routing */

static struct jt_routing *routing_create(struct world *world, uint64_t version)
{
	struct jt_routing *routing = talloc_zero(world, struct jt_routing);

	routing->version = version;
	routing->revision = version;
	routing->flow_idle_ms = world->flow_idle_ms;
	routing->routes = talloc_zero_array(routing, struct jt_route, ROUTES);
	for (uint16_t i = 0; i < ROUTES; i++) {
		struct jt_route *route = &routing->routes[routing->route_count];

		/* Only odd versions have routes of the second service. */
		if (i % SERVICES == 1 && version % 2 == 0)
			continue;
		route->address = (struct jt_address){0xc6120001, 443 + i};
		route->priority = 1 + i / SERVICES;
		route->target_ms = TARGET_MS;
		route->parts[0].service_id = 1 + i % SERVICES;
		route->parts[0].weight = 1;
		route->part_count = 1;
		routing->route_count++;
	}
	routing->services =
		talloc_zero_array(routing, struct jt_routed_service, SERVICES);
	for (uint32_t i = 0; i < SERVICES; i++) {
		routing->services[i].id = 1 + i;
		routing->services[i].connection_limit = world->connection_limit;
	}
	routing->service_count = SERVICES;
	jt_routing_sort(routing);
	return routing;
}

static void routing_publish(struct world *world)
{
	struct update update = {.routing_version = ++world->revision};

	update_add(world, &update);
	world->services_routed |= 3;
}

/* Nodes */

static void apply_actions(struct world *world, int node);

static void send_event(struct world *world, int node,
		       struct jt_director_event *event)
{
	event->now_ms = world->now_ms;
	jt_director_actions_clear(world->actions);
	jt_director_handle(world->directors[node], event, world->actions);
	apply_actions(world, node);
}

static void routing_send(struct world *world, int node,
			 struct jt_routing *routing)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_ROUTING};
	const struct jt_routing *now;

	event.u.routing = routing;
	send_event(world, node, &event);
	now = jt_director_routing(world->directors[node]);
	if (now != routing)
		talloc_free(routing);
	if (now->version < world->versions[node])
		fail(world, "the routing version decreased");
	world->versions[node] = now->version;
}

/* Zones */

static void zone_publish(struct world *world, uint8_t choice)
{
	struct update update = {.event.kind = JT_DIRECTOR_ZONE_DRAINS};
	struct jt_zone_drain *zone = &world->zones[choice % ZONES];

	snprintf(zone->zone, sizeof(zone->zone), "%s",
		 zone_names[choice % ZONES]);
	zone->draining = !zone->draining;
	zone->revision = ++world->revision;
	update.zone = *zone;
	update_add(world, &update);
}

static void zone_record(struct world *world, int node,
			const struct jt_zone_drain *drain)
{
	for (int i = 0; i < ZONES; i++) {
		struct sent_zone *sent = &world->sent_zones[node][i];

		if (strcmp(zone_names[i], drain->zone) == 0 &&
		    drain->revision > sent->revision)
			*sent = (struct sent_zone){drain->revision,
						   drain->draining};
	}
}

static void zones_send(struct world *world, int node,
		       const struct jt_zone_drain *drains, size_t count,
		       bool complete, uint64_t revision)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_ZONE_DRAINS};

	event.u.zones.drains = drains;
	event.u.zones.count = count;
	event.u.zones.complete = complete;
	event.u.zones.revision = revision;
	for (size_t i = 0; i < count; i++)
		zone_record(world, node, &drains[i]);
	send_event(world, node, &event);
}

/* Records that the node was sent all drains stored up to @revision. */
static void zones_record_all(struct world *world, int node, uint64_t revision)
{
	for (size_t i = 0; i < world->update_count; i++) {
		const struct update *update = &world->updates[i];

		if (update->event.kind == JT_DIRECTOR_ZONE_DRAINS &&
		    update->zone.revision <= revision)
			zone_record(world, node, &update->zone);
	}
}

/* Sends the drains of a listing; a drain missing from it has ended. */
static void listing_send_zones(struct world *world, int node)
{
	for (int i = 0; i < ZONES; i++) {
		if (world->zones[i].draining)
			zones_send(world, node, &world->zones[i], 1, false, 0);
	}
	zones_record_all(world, node, world->revision);
}

/* Records that the node was sent a removal or an unreadable entry. */
static void removal_record(struct world *world, int node, uint64_t id,
			   uint64_t revision, bool unreadable)
{
	struct sent_entry *sent =
		&world->endpoints[endpoint_index(world, id)].sent[node];

	/* A node ignores removals of endpoints that it doesn't know. */
	if (sent->revision == 0 || revision <= sent->revision ||
	    revision <= sent->removed_revision)
		return;
	sent->removed_revision = revision;
	sent->unreadable = unreadable;
}

/* Records that the node was sent an entry. */
static void entry_record(struct world *world, int node,
			 const struct jt_endpoint_entry *entry)
{
	struct sent_entry *sent =
		&world->endpoints[endpoint_index(world, entry->id)].sent[node];

	if (entry->revision > sent->revision) {
		sent->revision = entry->revision;
		sent->ip = entry->address.ip;
		sent->leaving_start_ms =
			entry->draining ? entry->start_time_ms : NOT_LEAVING;
	}
	if (entry->removed_revision > 0)
		removal_record(world, node, entry->id, entry->removed_revision,
			       entry->unreadable);
}

static void update_send(struct world *world, int node, size_t index)
{
	struct update *update = &world->updates[index];
	struct jt_director_event event = update->event;

	if (update->routing_version != 0) {
		routing_send(world, node,
			     routing_create(world, update->routing_version));
		return;
	}
	if (event.kind == JT_DIRECTOR_ZONE_DRAINS) {
		zones_send(world, node, &update->zone, 1, false, 0);
		return;
	}
	if (event.kind == JT_DIRECTOR_ENDPOINT)
		entry_record(world, node, &event.u.endpoint);
	else
		removal_record(world, node, event.u.removed.id,
			       event.u.removed.revision,
			       event.kind == JT_DIRECTOR_UNREADABLE);
	send_event(world, node, &event);
}

/* Delivers pending updates to the node, and sometimes an old one again. */
static void node_receive_updates(struct world *world, int node, uint8_t choice)
{
	size_t count = choice % 8;

	while (count-- > 0 && world->updates_sent[node] < world->update_count)
		update_send(world, node, world->updates_sent[node]++);
	if (choice & 0x80 && world->updates_sent[node] > 0)
		update_send(world, node, choice % world->updates_sent[node]);
}

/* Sends the node a full listing of the store. */
static void node_send_listing(struct world *world, int node)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_LISTING};
	uint64_t newest = 0;

	send_event(world, node, &event);
	for (int i = 0; i < world->endpoint_count; i++) {
		struct endpoint *endpoint = &world->endpoints[i];

		if (!endpoint->listed) {
			removal_record(world, node, endpoint->entry.id,
				       world->revision, false);
			continue;
		}
		if (endpoint->unreadable) {
			event.kind = JT_DIRECTOR_UNREADABLE;
			event.u.removed.id = endpoint->entry.id;
			event.u.removed.revision = endpoint->corrupt_revision;
			removal_record(world, node, event.u.removed.id,
				       event.u.removed.revision, true);
		} else {
			event.kind = JT_DIRECTOR_ENDPOINT;
			event.u.endpoint = endpoint->entry;
			entry_record(world, node, &endpoint->entry);
		}
		send_event(world, node, &event);
	}
	for (size_t i = 0; i < world->update_count; i++) {
		if (world->updates[i].routing_version > newest)
			newest = world->updates[i].routing_version;
	}
	if (newest > 0)
		routing_send(world, node, routing_create(world, newest));
	listing_send_zones(world, node);
	event.kind = JT_DIRECTOR_LISTED;
	event.u.listed.revision = world->revision;
	send_event(world, node, &event);
	world->updates_sent[node] = world->update_count;
}

static void node_start(struct world *world, int node)
{
	struct jt_director_options options;

	world->node_starts[node]++;
	talloc_free(world->directors[node]);
	jt_director_options_init(&options);
	options.zone_id = jt_name_id(zone_names[node % ZONES]);
	options.flow_limit = FLOW_TABLE_SIZE;
	options.flow_age_limit_ms = 600000;
	options.seed = (uint64_t)node + 1;
	options.injected_faults = fuzz_injected_faults;
	world->directors[node] = jt_director_create(world, &options);
	world->versions[node] = 0;
	world->updates_sent[node] = 0;
	for (int i = 0; i < ENDPOINTS; i++)
		world->endpoints[i].sent[node] = (struct sent_entry){0};
	memset(world->sent_zones[node], 0, sizeof(world->sent_zones[node]));
}

/* Sends @node a state snapshot of @from. */
static void node_fetch_snapshot(struct world *world, int node, int from)
{
	struct jt_director_event event;
	jt_wire_snapshot snapshot;
	TALLOC_CTX *frame = talloc_new(world);
	struct jt_routing *routing;

	if (node == from || !jt_director_started(world->directors[from]) ||
	    !jt_snapshot_write(frame, world->directors[from],
			       &(struct jt_snapshot_request){0}, world->now_ms,
			       &snapshot))
		goto out;
	routing = jt_snapshot_read_routing(world, &snapshot.routing);
	if (routing != NULL)
		routing_send(world, node, routing);
	for (u_int i = 0; i < snapshot.entries.entries_len; i++) {
		if (!jt_snapshot_entry_event(&snapshot.entries.entries_val[i],
					     &event))
			continue;
		entry_record(world, node, &event.u.endpoint);
		send_event(world, node, &event);
	}
	zones_send(world, node,
		   jt_snapshot_read_zone_drains(frame, snapshot.zones.zones_val,
						snapshot.zones.zones_len),
		   snapshot.zones.zones_len, true, snapshot.revision);
	zones_record_all(world, node, snapshot.revision);
	event = (struct jt_director_event){.kind = JT_DIRECTOR_PEER_SNAPSHOT};
	event.u.listed.revision = snapshot.revision;
	send_event(world, node, &event);
out:
	talloc_free(frame);
}

/* Packets */

static struct flow *flow_find(struct world *world,
			      const struct jt_flow_key *key)
{
	for (int i = 0; i < FLOWS; i++) {
		if (world->flows[i].used &&
		    world->flows[i].key.source_port == key->source_port)
			return &world->flows[i];
	}
	return NULL;
}

static void flow_close(struct world *world, struct flow *flow)
{
	if (flow->endpoint >= 0 && world->endpoints[flow->endpoint].flows > 0)
		world->endpoints[flow->endpoint].flows--;
	flow->endpoint = -1;
	flow->closed = true;
}

/* Returns true if the flow's node still has it in its table: since then
 * fewer packets have arrived there than the table has places. */
static bool node_has_flow(const struct world *world, const struct flow *flow)
{
	return world->node_starts[flow->node] == flow->node_start &&
	       world->node_packets[flow->node] - flow->packet < FLOW_TABLE_SIZE;
}

/* Handles a reset sent by a node. */
static void on_reset(struct world *world, int node,
		     const struct jt_director_action *a)
{
	struct flow *flow = flow_find(world, &a->key);

	if (flow == NULL || flow->closed)
		return;
	if (a->reason == JT_DIRECTOR_OVERLOADED && flow->retransmissions > 0)
		fail(world,
		     "a retransmission was refused for lack of capacity");
	if (a->reason == JT_DIRECTOR_OVERLOADED && flow->open &&
	    node == flow->node && node_has_flow(world, flow))
		fail(world, "a flow with an endpoint was refused");
	/* A client ignores a reset of an open flow outside its window, such
	 * as one meant for the first packet. */
	if (flow->open &&
	    a->reset_sequence - flow->acknowledged + RESET_WINDOW >
		    2 * RESET_WINDOW)
		return;
	if (flow->open && flow->endpoint >= 0 &&
	    is_alive(&world->endpoints[flow->endpoint]))
		fail(world, "an open flow of a live endpoint was reset");
	flow_close(world, flow);
}

/* Returns true if the node was sent that the zone is drained. */
static bool node_zone_drained(const struct world *world, int node,
			      uint32_t zone_id)
{
	for (int i = 0; i < ZONES; i++) {
		if (jt_name_id(zone_names[i]) == zone_id)
			return world->sent_zones[node][i].draining;
	}
	return false;
}

/* Returns true if a packet to the action's address reaches the endpoint. */
static bool reaches(const struct endpoint *endpoint,
		    const struct jt_director_action *a)
{
	return is_alive(endpoint) &&
	       a->address.ip == endpoint->entry.address.ip;
}

static void on_first_packet(struct world *world, struct flow *flow, int node,
			    int index, const struct jt_director_action *a)
{
	struct endpoint *endpoint = &world->endpoints[index];
	const struct sent_entry *sent = &endpoint->sent[node];
	uint32_t service = endpoint->entry.service_id;

	if (!(world->services_routed >> (service - 1) & 1) ||
	    service !=
		    (uint32_t)(flow->key.destination_port - 443) % SERVICES + 1)
		fail(world, "a first packet reached another service");
	if (a->address.ip != sent->ip)
		fail(world, "a first packet went to an outdated address");
	if (sent->unreadable && sent->removed_revision > sent->revision &&
	    flow->retransmissions == 0)
		fail(world,
		     "an endpoint with an unreadable entry got a first packet");
	if (sent->leaving_start_ms != NOT_LEAVING &&
	    a->label == jt_incarnation_label(a->endpoint_id,
					     sent->leaving_start_ms) &&
	    flow->retransmissions == 0)
		fail(world, "a leaving endpoint got a first packet");
	if (node_zone_drained(world, node, endpoint->entry.zone_id) &&
	    flow->retransmissions == 0)
		fail(world, "a drained zone got a first packet");
	if (!reaches(endpoint, a) || endpoint->flows >= world->connection_limit)
		return;
	flow->label_endpoint = index;
	flow->half_open = index;
	flow->start = endpoint->starts;
	flow->label = a->label;
	flow->open = true;
	flow->sequence++;
	flow->acknowledged = OPEN_ACKNOWLEDGED;
}

/* Handles the client's first packet after the endpoint's response. Returns
 * true if the flow is open; an endpoint that has reached its connection
 * limit ignores the packet. */
static bool flow_opens(struct world *world, struct flow *flow)
{
	struct endpoint *endpoint;

	if (flow->half_open < 0)
		return true;
	endpoint = &world->endpoints[flow->half_open];
	if (!is_alive(endpoint) || endpoint->flows >= world->connection_limit)
		return false;
	if (flow->start != endpoint->starts) {
		flow->closed = true; /* the new incarnation resets it */
		return false;
	}
	flow->endpoint = flow->half_open;
	flow->half_open = -1;
	endpoint->flows++;
	return true;
}

/* Returns the response length; some endpoints give some requests short error
 * responses. */
static uint32_t response_length(const struct world *world, int index)
{
	if (index % 4 == 1 && world->now_ms % 3 == 0)
		return SHORT_RESPONSE_BYTES;
	return RESPONSE_BYTES;
}

static void on_forward(struct world *world, int node,
		       const struct jt_director_action *a)
{
	struct flow *flow = flow_find(world, &a->key);
	int index = endpoint_index(world, a->endpoint_id);

	if (flow == NULL || index < 0)
		return;
	if (node == flow->node) {
		flow->forwarded_ms = world->now_ms;
		flow->packet = world->node_packets[node];
	}
	if (!flow->open) {
		on_first_packet(world, flow, node, index, a);
		return;
	}
	if (index != flow->label_endpoint)
		fail(world, "a flow's packet went to another endpoint");
	if (world->late_duplicate)
		return;
	if (is_alive(&world->endpoints[index]) &&
	    !reaches(&world->endpoints[index], a))
		return;
	if (!flow_opens(world, flow))
		return;
	if (flow->endpoint >= 0)
		flow->label = a->label; /* the endpoint echoes it */
	if (flow->endpoint >= 0 && world->endpoints[index].slow &&
	    !flow->queued) {
		/* It is queued, and acknowledged once it is sent again. */
		flow->queued = true;
	} else if (flow->endpoint >= 0) {
		flow->queued = false;
		flow->sequence += 10;
		flow->acknowledged += response_length(world, index);
	} else if (world->endpoints[index].state == ENDED ||
		   is_alive(&world->endpoints[index])) {
		/* The endpoint's host or its next incarnation resets it. */
		flow->closed = true;
	}
}

struct probe {
	int node;
	uint64_t id;
	uint64_t start_time_ms;
	uint32_t ip;
	bool identify;
};

/* Returns the result of a connection to the address that the node has for
 * the endpoint. */
static enum jt_probe_outcome probe_outcome(const struct world *world,
					   const struct probe *probe,
					   uint64_t *found)
{
	bool silent = false;

	*found = 0;
	for (int i = 0; i < world->endpoint_count; i++) {
		const struct endpoint *endpoint = &world->endpoints[i];

		if (endpoint->entry.address.ip != probe->ip)
			continue;
		silent = endpoint->state == ENDED_SILENT;
		if (!is_alive(endpoint))
			continue;
		if (endpoint->flows >= world->connection_limit)
			return probe->id % 2 ? JT_PROBE_REFUSED
					     : JT_PROBE_SILENT;
		*found = endpoint->entry.id;
		return JT_PROBE_CONNECTED;
	}
	return silent ? JT_PROBE_SILENT : JT_PROBE_REFUSED;
}

static struct probe probes[64];
static size_t probe_count;

struct incarnation {
	uint64_t id;
	uint64_t start_time_ms;
};

/* Death reports of nodes, for delivery to other nodes. */
static struct incarnation death_reports[DEATH_REPORTS];
static size_t death_report_count;
/* Endpoints that a node reported as failing, sent to all nodes at the next
 * step. */
static struct incarnation failing[DEATH_REPORTS];
static size_t failing_count;

/* Failed requests that a node reported, sent to all nodes at the next step. */
static struct jt_endpoint_failure failures[JT_FAILURE_LIMIT];
static size_t failures_count;

static void failures_collect(struct world *world, int node)
{
	size_t peers;

	failures_count = jt_director_failures(world->directors[node],
					      world->now_ms, failures, &peers);
	if (peers >= NODES)
		fail(world, "failures are reported to more peers than exist");
}

static void probe_record(int node, const struct jt_director_action *a,
			 bool identify)
{
	if (probe_count < sizeof(probes) / sizeof(probes[0]))
		probes[probe_count++] =
			(struct probe){node, a->endpoint_id, a->start_time_ms,
				       a->address.ip, identify};
}

static struct incarnation incarnation_of(const struct jt_director_action *a)
{
	return (struct incarnation){a->endpoint_id, a->start_time_ms};
}

static void apply_actions(struct world *world, int node)
{
	/* Events sent here may append to the list. */
	for (size_t i = 0; i < world->actions->count; i++) {
		const struct jt_director_action *a = &world->actions->items[i];

		if (fuzz_verbose)
			fprintf(stderr,
				"%llu node %d action %d reason %s endpoint "
				"%llx state %s cause %s port %u\n",
				(unsigned long long)world->now_ms, node,
				a->kind, jt_director_reason_name(a->reason),
				(unsigned long long)a->endpoint_id,
				jt_incarnation_state_name(a->state),
				jt_death_cause_name(a->cause),
				a->key.source_port);
		switch (a->kind) {
		case JT_DIRECTOR_FORWARD:
			on_forward(world, node, a);
			break;
		case JT_DIRECTOR_RESET:
			on_reset(world, node, a);
			break;
		case JT_DIRECTOR_PROBE:
			probe_record(node, a, false);
			break;
		case JT_DIRECTOR_OVERDUE_REPORT:
			if (failing_count < DEATH_REPORTS)
				failing[failing_count++] = incarnation_of(a);
			break;
		case JT_DIRECTOR_FAILURES:
			failures_collect(world, node);
			break;
		case JT_DIRECTOR_DEATH_REPORT:
			death_reports[death_report_count++ % DEATH_REPORTS] =
				incarnation_of(a);
			break;
		case JT_DIRECTOR_IDENTIFY:
			probe_record(node, a, true);
			break;
		default:
			break;
		}
	}
}

static void probe_finish(struct world *world, uint8_t choice)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_PROBED};
	struct probe probe;
	enum jt_probe_outcome outcome;
	uint64_t found;
	size_t at;

	if (probe_count == 0)
		return;
	at = choice % probe_count;
	probe = probes[at];
	probe_count--;
	probes[at] = probes[probe_count];
	outcome = probe_outcome(world, &probe, &found);
	if (probe.identify) {
		event.kind = JT_DIRECTOR_IDENTIFIED;
		event.u.identified.id = probe.id;
		event.u.identified.start_time_ms = probe.start_time_ms;
		event.u.identified.found = found;
	} else {
		event.u.probed.id = probe.id;
		event.u.probed.start_time_ms = probe.start_time_ms;
		event.u.probed.outcome =
			choice & 0x80 ? JT_PROBE_INCONCLUSIVE : outcome;
	}
	send_event(world, probe.node, &event);
}

/* Clients */

static void packet_send(struct world *world, int node, struct flow *flow,
			uint8_t flags, uint32_t length)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_PACKET};

	event.u.packet = (struct jt_label_packet){
		.key = flow->key,
		.flags = flags,
		.label = flow->open ? flow->label : 0,
		.sequence = flow->sequence,
		.acknowledged =
			flow->open ? flow->acknowledged : flow->retransmissions,
		.length = length,
	};
	world->node_packets[node]++;
	send_event(world, node, &event);
}

/* Delivers a late duplicate of the first packet through the node that
 * received the original and still has the flow. */
static void first_packet_duplicate(struct world *world, struct flow *flow)
{
	int index = flow->endpoint >= 0 ? flow->endpoint : flow->half_open;
	struct flow first = *flow;

	/* A flow ends with its endpoint. */
	if (index < 0 || !is_alive(&world->endpoints[index]) ||
	    flow->start != world->endpoints[index].starts)
		return;
	if (flow->retransmissions > 0 || !node_has_flow(world, flow) ||
	    world->now_ms - flow->forwarded_ms > DUPLICATE_DELAY_MAX_MS)
		return;
	first.open = false;
	first.sequence = 1;
	first.retransmissions = 0;
	world->late_duplicate = true;
	packet_send(world, flow->node, &first, JT_PACKET_SYN, 0);
	world->late_duplicate = false;
}

static void flow_start(struct world *world, int node, uint8_t choice)
{
	struct flow *flow = &world->flows[choice % FLOWS];

	if (flow->used && !flow->closed)
		flow_close(world, flow);
	*flow = (struct flow){
		.used = true, .endpoint = -1, .half_open = -1, .sequence = 1};
	flow->node = node;
	flow->node_start = world->node_starts[node];
	flow->key = (struct jt_flow_key){
		.source = 0x64400001 + choice % 5,
		.destination = 0xc6120001,
		.source_port = world->next_port++,
		.destination_port = 443 + choice / 8 % ROUTES,
		.protocol = JT_PROTOCOL_TCP,
	};
	packet_send(world, node, flow, JT_PACKET_SYN, 0);
}

static void flow_continue(struct world *world, int node, uint8_t choice)
{
	struct flow *flow = &world->flows[choice % FLOWS];

	if (!flow->used || flow->closed)
		return;
	if (!flow->open) {
		/* Retransmissions use the same node unless packets are sprayed.
		 */
		flow->retransmissions++;
		if (flow->retransmissions <= 2)
			packet_send(world, node, flow, JT_PACKET_SYN, 0);
		return;
	}
	if (choice & 0x80)
		first_packet_duplicate(world, flow);
	if (!flow->closed)
		packet_send(world, node, flow, JT_PACKET_ACK,
			    choice & 0x40 ? 10 : 0);
}

static void flow_end(struct world *world, int node, uint8_t choice)
{
	struct flow *flow = &world->flows[choice % FLOWS];

	if (!flow->used || flow->closed || !flow->open)
		return;
	packet_send(world, node, flow, JT_PACKET_FIN | JT_PACKET_ACK, 0);
	flow_close(world, flow);
}

static void advance_time(struct world *world, uint8_t choice)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_TICK};

	world->now_ms += 1 + (uint64_t)choice * 4;
	event.u.tick.nodes = NODES;
	for (int node = 0; node < NODES; node++)
		send_event(world, node, &event);
}

/* Sends a packet of a flow that the oracle doesn't track. Returns the label
 * of the forwarded packet, or 0. */
static uint32_t burst_send(struct world *world, int node,
			   const struct jt_label_packet *packet)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_PACKET};

	event.u.packet = *packet;
	world->node_packets[node]++;
	send_event(world, node, &event);
	for (size_t i = 0; i < world->actions->count; i++) {
		if (world->actions->items[i].kind == JT_DIRECTOR_FORWARD)
			return world->actions->items[i].label;
	}
	return 0;
}

/* Opens a new flow of a burst. Returns false if the node refuses it. */
static bool burst_flow_open(struct world *world, int node, uint8_t choice,
			    struct jt_label_packet *packet)
{
	*packet = (struct jt_label_packet){
		.key = {.source = 0x64400100,
			.destination = 0xc6120001,
			.source_port = world->next_port++,
			.destination_port = 443 + choice / 64 % ROUTES,
			.protocol = JT_PROTOCOL_TCP},
		.flags = JT_PACKET_SYN,
		.sequence = 1,
	};
	packet->label = burst_send(world, node, packet);
	packet->flags = JT_PACKET_ACK;
	packet->sequence = 2;
	packet->acknowledged = OPEN_ACKNOWLEDGED;
	if (packet->label != 0)
		burst_send(world, node, packet);
	return packet->label != 0;
}

/* Delivers a duplicate of the first packet of a flow in the node's table. */
static void burst_duplicate_first(struct world *world, int node,
				  const struct jt_label_packet *packet)
{
	struct jt_label_packet first = *packet;

	first.flags = JT_PACKET_SYN;
	first.sequence = 1;
	first.acknowledged = 0;
	first.label = 0;
	burst_send(world, node, &first);
	for (size_t i = 0; i < world->actions->count; i++) {
		if (world->actions->items[i].reason == JT_DIRECTOR_OVERLOADED)
			fail(world, "a flow with an endpoint was refused");
	}
}

/* Opens several flows at a node at once and sends requests on each.
 * Responses are late, and the last ones never arrive. */
static void burst_run(struct world *world, int node, uint8_t choice)
{
	struct jt_director_event tick = {.kind = JT_DIRECTOR_TICK};
	struct jt_label_packet packets[BURST_FLOWS];
	int count = 0;

	tick.u.tick.nodes = NODES;
	while (count < BURST_FLOWS &&
	       burst_flow_open(world, node, choice, &packets[count]))
		count++;
	for (int i = 0; i < count * BURST_REQUESTS; i++) {
		struct jt_label_packet *packet = &packets[i % count];

		if (i >= count) {
			packet->acknowledged += 600;
			burst_send(world, node, packet);
		}
		packet->length = 10;
		burst_send(world, node, packet);
		packet->sequence += 10;
		packet->length = 0;
		if (i % count == count - 1)
			world->now_ms += BURST_WAIT_MS;
	}
	send_event(world, node, &tick);
	if (count > 0)
		burst_duplicate_first(world, node, &packets[0]);
}

static void failures_send(struct world *world)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_OVERDUE};
	struct jt_endpoint_failure sent[JT_FAILURE_LIMIT];

	while (failing_count > 0) {
		failing_count--;
		event.u.suspicion.id = failing[failing_count].id;
		event.u.suspicion.start_time_ms =
			failing[failing_count].start_time_ms;
		for (int node = 0; node < NODES; node++)
			send_event(world, node, &event);
	}
	if (failures_count == 0)
		return;
	event.kind = JT_DIRECTOR_FAILURE_REPORT;
	memcpy(sent, failures, sizeof(sent));
	event.u.failures.items = sent;
	event.u.failures.count = failures_count;
	failures_count = 0;
	for (int node = 0; node < NODES; node++)
		send_event(world, node, &event);
}

static void step(struct world *world)
{
	uint8_t operation = next_byte(world), choice = next_byte(world);
	int node = operation / 16 % NODES;
	struct jt_director_event event = {.kind = JT_DIRECTOR_SUSPICION};

	failures_send(world);
	switch (operation % 16) {
	case 0:
	case 1:
		flow_start(world, node, choice);
		break;
	case 2:
	case 3:
	case 4:
	case 5:
		flow_continue(world, node, choice);
		break;
	case 6:
		flow_end(world, node, choice);
		break;
	case 7:
		advance_time(world, choice);
		break;
	case 8:
		endpoint_start(world, choice);
		break;
	case 9:
		endpoint_change(world, operation / 16, choice);
		break;
	case 10:
		node_receive_updates(world, node, choice);
		break;
	case 11:
		if (choice % 4 == 0)
			routing_publish(world);
		else if (choice % 4 == 1)
			node_send_listing(world, node);
		else if (choice % 16 == 2)
			zone_publish(world, choice / 16);
		else
			node_receive_updates(world, node, choice);
		break;
	case 12:
		probe_finish(world, choice);
		break;
	case 13:
		if (choice % 16 == 1)
			burst_run(world, node, choice);
		else
			probe_finish(world, choice);
		break;
	case 14:
		node_fetch_snapshot(world, node, choice % NODES);
		break;
	case 15:
		if (choice % 8 == 0)
			node_start(world, node);
		else if (death_report_count > 0) {
			const struct incarnation *dead =
				&death_reports[choice % death_report_count %
					       DEATH_REPORTS];

			event.u.suspicion.id = dead->id;
			event.u.suspicion.start_time_ms = dead->start_time_ms;
			send_event(world, node, &event);
		}
		break;
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct world *world = talloc_zero(NULL, struct world);

	probe_count = 0;
	death_report_count = 0;
	failing_count = 0;
	failures_count = 0;
	world->data = data;
	world->size = size;
	world->start_times = size > 0 && data[0] >= START_TIMES_FROM;
	/* With start times the limit is never reached, so that a refused
	 * connection confirms that the endpoint is dead. */
	world->connection_limit =
		world->start_times ? CONNECTION_LIMIT_HIGH : CONNECTION_LIMIT;
	world->flow_idle_ms =
		world->start_times ? FLOW_IDLE_SHORT_MS : FLOW_IDLE_MS;
	world->now_ms = 1000000;
	world->next_port = 1024;
	world->actions = jt_director_actions_create(world);
	for (int node = 0; node < NODES; node++)
		node_start(world, node);
	routing_publish(world);
	for (uint8_t i = 0; i < 4; i++)
		endpoint_start(world, (uint8_t)(i * 5));
	for (int node = 0; node < NODES; node++)
		node_send_listing(world, node);
	while (world->size > 0)
		step(world);
	talloc_free(world);
	return 0;
}
