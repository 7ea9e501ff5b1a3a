/*
 * Stateful fuzzing of three director nodes against a simple oracle.
 *
 * Each byte is one step of a small world: callers open flows and send on
 * them through any node, endpoints drain, end, fall silent, fill up and give
 * their addresses on, the store forgets entries, nodes miss news, hear it
 * late or twice, restart, tell each other. The oracle knows callers and
 * endpoints, never what a node believes:
 *
 *   an open flow whose endpoint lives is never reset by a node, also where the
 *   endpoint fails requests;
 *   a first packet that the network doubles leads to no second endpoint;
 *   a flow's packets reach no endpoint but its own;
 *   a first packet reaches a service that some configuration ever allowed;
 *   an endpoint that a node was told leaves gets no first packet from it;
 *   one of a zone that a node was told is drained gets none until it is told
 *   that the drain has ended;
 *   one whose newest entry, as the node was told, can't be read gets none;
 *   a first packet goes to the address of the newest entry that the node was
 *   told, never to one of an earlier incarnation;
 *   a flow that has got its endpoint is never refused for lack of room, nor is
 *   a caller's copy of a first packet, which may have got one elsewhere;
 *   routing never goes back on a node.
 *
 * In some worlds half of the endpoints tell their births and start again under
 * their ids, and another writer spoils entries.
 */
#include "jaspertrack/director.h"
#include "jt_knowledge.h"
#include "jt_net.h"
#include "jt_routing.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);
extern unsigned fuzz_break_mechanism;
extern int fuzz_verbose;
unsigned fuzz_break_mechanism;
int fuzz_verbose;

enum {
	NODES = 3,
	ENDPOINTS = 24, /* over the whole run */
	ADDRESSES = 6,
	FLOWS = 48,
	NEWS = 256,
	VERDICTS = 4096,
	SERVICES = 2,
	ROUTES = 4, /* two of each service, one more urgent */
	/* Answers that callers of this world would like: at the pace of its
	 * clock, nodes find services full at times. */
	TARGET_MS = 2000,
	CROWD = 16, /* callers, that a node remembers */
	CROWD_REQUESTS = 4,
	CROWD_WAITS_MS = 1100,
	ZONES = 2,
	OPEN_ACKNOWLEDGED = 0x40000000, /* of an endpoint's own choice */
	RESET_WINDOW = 76800,		/* in which a reset is taken */
	FULL_AT = 6,			/* flows that an endpoint holds */
	FULL_NEVER = 200,		/* the same, where births are told */
	FLOW_IDLE_MS = 60000,
	FLOW_IDLE_SHORT_MS = 3000, /* where births are told */
	LATE_MS = 1000,		   /* how late a doubled packet may come */
	FLOWS_REMEMBERED = 16,	   /* by a node */
	BIRTHS_FROM = 0xa0,	   /* the first byte of such worlds */
	ANSWER = 50,		   /* bytes */
	SHORT_ANSWER = 5,
};

#define LEAVING_NONE UINT64_MAX

enum life { UNUSED, ALIVE, DRAINING, ENDED, SILENT_END };

/* The newest that a node was told of an endpoint's entry. */
struct told_entry {
	uint64_t revision;
	uint64_t gone_revision;
	uint64_t leaving_born_ms; /* of the incarnation that leaves, or NONE */
	uint32_t ip;
	bool unreadable; /* as of gone_revision */
};

struct endpoint {
	enum life life;
	struct jt_endpoint_entry entry;
	bool listed;
	bool unreadable; /* what is listed */
	uint64_t spoiled_revision;
	bool slow;
	unsigned starts;
	unsigned flows;
	struct told_entry told[NODES];
};

struct flow {
	bool used;
	bool open;
	bool over; /* the caller knows that it has ended */
	struct jt_flow_key key;
	uint32_t label;
	uint32_t sequence;
	uint32_t acknowledged;
	uint32_t copies;
	bool queued;	  /* a request waits at a slow endpoint */
	int home;	  /* endpoint whose label it has */
	int endpoint;	  /* that has it, -1 while it is not open */
	int half_open;	  /* endpoint that answered the first packet, or -1 */
	unsigned start;	  /* of that endpoint, at which it answered */
	int node;	  /* that got the first packet */
	unsigned life;	  /* of that node, counted */
	uint64_t sent_ms; /* the last packet that this node passed on */
	uint64_t packet;  /* that packet, counted by the node */
};

/* What a node was told of the drain of a zone, by the newest revision. */
struct told_zone {
	uint64_t revision;
	bool draining;
};

struct news {
	struct jt_director_event event;
	struct jt_zone_drain zone; /* of JT_DIRECTOR_ZONE_DRAINS */
	uint64_t routing_version;  /* 0: the event says it */
};

struct world {
	struct jt_director *directors[NODES];
	struct jt_director_actions *actions;
	size_t heard[NODES]; /* news that each node was told so far */
	uint64_t versions[NODES];
	struct jt_zone_drain zones[ZONES]; /* as the store has them */
	struct told_zone told_zones[NODES][ZONES];
	unsigned node_lives[NODES];   /* starts of each node */
	uint64_t node_packets[NODES]; /* that each node got */
	unsigned full_at;
	uint32_t flow_idle_ms;
	bool births;	/* some endpoints tell theirs; bad entries */
	bool late_copy; /* the packet in hand was doubled by the network */
	struct endpoint endpoints[ENDPOINTS];
	int endpoint_count;
	struct flow flows[FLOWS];
	struct news news[NEWS];
	size_t news_count;
	uint64_t revision;
	uint64_t now_ms;
	uint16_t next_port;
	uint32_t services_ever; /* bits of services that routes ever named */
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

static void broken(const struct world *world, const char *promise)
{
	fprintf(stderr, "broken at %llu ms: %s\n",
		(unsigned long long)world->now_ms, promise);
	abort();
}

static bool lives(const struct endpoint *endpoint)
{
	return endpoint->life == ALIVE || endpoint->life == DRAINING;
}

static int endpoint_of(const struct world *world, uint64_t id)
{
	for (int i = 0; i < world->endpoint_count; i++) {
		if (world->endpoints[i].entry.id == id)
			return i;
	}
	return -1;
}

/* Endpoints */

static void endpoint_drop_flows(struct world *world, int index)
{
	for (int i = 0; i < FLOWS; i++) {
		if (world->flows[i].used && world->flows[i].endpoint == index)
			world->flows[i].endpoint = -1;
	}
	world->endpoints[index].flows = 0;
}

static void news_add(struct world *world, const struct news *news)
{
	if (world->news_count < NEWS)
		world->news[world->news_count++] = *news;
}

static void entry_publish(struct world *world, struct endpoint *endpoint)
{
	struct news news = {.event.kind = JT_DIRECTOR_ENDPOINT};

	endpoint->entry.revision = ++world->revision;
	endpoint->listed = true;
	endpoint->unreadable = false;
	news.event.u.endpoint = endpoint->entry;
	news_add(world, &news);
}

static void entry_remove(struct world *world, struct endpoint *endpoint)
{
	struct news news = {.event.kind = JT_DIRECTOR_GONE};

	if (!endpoint->listed)
		return;
	endpoint->listed = false;
	news.event.u.gone.id = endpoint->entry.id;
	news.event.u.gone.revision = ++world->revision;
	news_add(world, &news);
}

/* Another writer writes what can't be read. */
static void entry_spoil(struct world *world, struct endpoint *endpoint)
{
	struct news news = {.event.kind = JT_DIRECTOR_UNREADABLE};

	endpoint->listed = true;
	endpoint->unreadable = true;
	endpoint->spoiled_revision = ++world->revision;
	news.event.u.gone.id = endpoint->entry.id;
	news.event.u.gone.revision = endpoint->spoiled_revision;
	news_add(world, &news);
}

static bool address_taken(const struct world *world, uint32_t address)
{
	for (int i = 0; i < world->endpoint_count; i++) {
		const struct endpoint *endpoint = &world->endpoints[i];

		if (endpoint->entry.address.ip == address && lives(endpoint))
			return true;
	}
	return false;
}

/* The endpoint crashes, if it has not, and starts again under its id. Its birth
 * may be below the one before: its clock was set. */
static void endpoint_restart(struct world *world, struct endpoint *endpoint,
			     uint8_t choice)
{
	uint32_t address = endpoint->entry.address.ip;

	if (choice & 1)
		address = 0x0a000000 + choice / 4 % ADDRESSES;
	if (endpoint->entry.born_ms == 0)
		return;
	endpoint_drop_flows(world, (int)(endpoint - world->endpoints));
	endpoint->life = ENDED;
	if (address_taken(world, address))
		return;
	endpoint->life = ALIVE;
	endpoint->starts++;
	endpoint->entry.address.ip = address;
	endpoint->entry.draining = false;
	endpoint->entry.born_ms =
		world->now_ms * 8 + endpoint->starts % 8 - choice / 128 * 5000;
	entry_publish(world, endpoint);
}

static void endpoint_start(struct world *world, uint8_t choice)
{
	struct endpoint *endpoint;
	uint32_t address = 0x0a000000 + choice % ADDRESSES;

	if (world->endpoint_count == ENDPOINTS || address_taken(world, address))
		return;
	endpoint = &world->endpoints[world->endpoint_count];
	endpoint->life = ALIVE;
	endpoint->entry = (struct jt_endpoint_entry){
		.id = 0x1000 + (uint64_t)world->endpoint_count,
		.service_id = 1 + choice / ADDRESSES % SERVICES,
		.zone_id = jt_name_id(zone_names[choice % ZONES]),
		.address = {address, 80},
		.capacity = 2,
		.born_ms = world->births && world->endpoint_count % 2
				   ? world->now_ms * 8
				   : 0,
	};
	world->endpoint_count++;
	entry_publish(world, endpoint);
}

static struct endpoint *pick_endpoint(struct world *world, uint8_t choice)
{
	if (world->endpoint_count == 0)
		return NULL;
	return &world->endpoints[choice % world->endpoint_count];
}

static void endpoint_change(struct world *world, uint8_t what, uint8_t choice)
{
	struct endpoint *endpoint = pick_endpoint(world, choice);

	if (endpoint == NULL)
		return;
	if (world->births && what >= 11) {
		endpoint_restart(world, endpoint, choice);
		return;
	}
	if (world->births && what == 10) {
		entry_spoil(world, endpoint);
		return;
	}
	switch (what % 6) {
	case 0: /* says that it leaves */
		if (endpoint->life != ALIVE)
			return;
		endpoint->life = DRAINING;
		endpoint->entry.draining = true;
		entry_publish(world, endpoint);
		break;
	case 1: /* ends and refuses */
	case 2: /* ends and says nothing */
		if (!lives(endpoint))
			return;
		endpoint->life = what % 6 == 1 ? ENDED : SILENT_END;
		endpoint_drop_flows(world, (int)(endpoint - world->endpoints));
		break;
	case 3: /* its entry lapses, dead or alive */
		entry_remove(world, endpoint);
		break;
	case 4: /* and comes again with the next beat */
		if (lives(endpoint) &&
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

		/* The second service's come and go with the version. */
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
		routing->services[i].connection_limit = world->full_at;
	}
	routing->service_count = SERVICES;
	jt_routing_sort(routing);
	return routing;
}

static void routing_publish(struct world *world)
{
	struct news news = {.routing_version = ++world->revision};

	news_add(world, &news);
	world->services_ever |= 3;
}

/* Nodes */

static void act(struct world *world, int node);

static void tell(struct world *world, int node, struct jt_director_event *event)
{
	event->now_ms = world->now_ms;
	jt_director_actions_clear(world->actions);
	jt_director_handle(world->directors[node], event, world->actions);
	act(world, node);
}

static void routing_tell(struct world *world, int node,
			 struct jt_routing *routing)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_ROUTING};
	const struct jt_routing *now;

	event.u.routing = routing;
	tell(world, node, &event);
	now = jt_director_routing(world->directors[node]);
	if (now != routing)
		talloc_free(routing);
	if (now->version < world->versions[node])
		broken(world, "routing went back");
	world->versions[node] = now->version;
}

/* Zones */

static void zone_publish(struct world *world, uint8_t choice)
{
	struct news news = {.event.kind = JT_DIRECTOR_ZONE_DRAINS};
	struct jt_zone_drain *zone = &world->zones[choice % ZONES];

	snprintf(zone->zone, sizeof(zone->zone), "%s",
		 zone_names[choice % ZONES]);
	zone->draining = !zone->draining;
	zone->revision = ++world->revision;
	news.zone = *zone;
	news_add(world, &news);
}

static void zone_note(struct world *world, int node,
		      const struct jt_zone_drain *drain)
{
	for (int i = 0; i < ZONES; i++) {
		struct told_zone *told = &world->told_zones[node][i];

		if (strcmp(zone_names[i], drain->zone) == 0 &&
		    drain->revision > told->revision)
			*told = (struct told_zone){drain->revision,
						   drain->draining};
	}
}

static void zones_tell(struct world *world, int node,
		       const struct jt_zone_drain *drains, size_t count,
		       bool complete, uint64_t revision)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_ZONE_DRAINS};

	event.u.zones.drains = drains;
	event.u.zones.count = count;
	event.u.zones.complete = complete;
	event.u.zones.revision = revision;
	for (size_t i = 0; i < count; i++)
		zone_note(world, node, &drains[i]);
	tell(world, node, &event);
}

/* The node was told all that the store had at @revision. */
static void zones_note_all(struct world *world, int node, uint64_t revision)
{
	for (size_t i = 0; i < world->news_count; i++) {
		const struct news *news = &world->news[i];

		if (news->event.kind == JT_DIRECTOR_ZONE_DRAINS &&
		    news->zone.revision <= revision)
			zone_note(world, node, &news->zone);
	}
}

/* The drains that a list holds; one that it lacks has ended. */
static void zones_list(struct world *world, int node)
{
	for (int i = 0; i < ZONES; i++) {
		if (world->zones[i].draining)
			zones_tell(world, node, &world->zones[i], 1, false, 0);
	}
	zones_note_all(world, node, world->revision);
}

/* The node is told of an entry that went, or can't be read. */
static void gone_note(struct world *world, int node, uint64_t id,
		      uint64_t revision, bool unreadable)
{
	struct told_entry *told =
		&world->endpoints[endpoint_of(world, id)].told[node];

	/* A node that knows no such endpoint takes no note. */
	if (told->revision == 0 || revision <= told->revision ||
	    revision <= told->gone_revision)
		return;
	told->gone_revision = revision;
	told->unreadable = unreadable;
}

/* The node is told an entry. */
static void entry_note(struct world *world, int node,
		       const struct jt_endpoint_entry *entry)
{
	struct told_entry *told =
		&world->endpoints[endpoint_of(world, entry->id)].told[node];

	if (entry->revision > told->revision) {
		told->revision = entry->revision;
		told->ip = entry->address.ip;
		told->leaving_born_ms =
			entry->draining ? entry->born_ms : LEAVING_NONE;
	}
	if (entry->gone_revision > 0)
		gone_note(world, node, entry->id, entry->gone_revision,
			  entry->unreadable);
}

static void news_tell(struct world *world, int node, size_t index)
{
	struct news *news = &world->news[index];
	struct jt_director_event event = news->event;

	if (news->routing_version != 0) {
		routing_tell(world, node,
			     routing_create(world, news->routing_version));
		return;
	}
	if (event.kind == JT_DIRECTOR_ZONE_DRAINS) {
		zones_tell(world, node, &news->zone, 1, false, 0);
		return;
	}
	if (event.kind == JT_DIRECTOR_ENDPOINT)
		entry_note(world, node, &event.u.endpoint);
	else
		gone_note(world, node, event.u.gone.id, event.u.gone.revision,
			  event.kind == JT_DIRECTOR_UNREADABLE);
	tell(world, node, &event);
}

/* The node hears some of what it has not heard, and old news again. */
static void node_hears(struct world *world, int node, uint8_t choice)
{
	size_t count = choice % 8;

	while (count-- > 0 && world->heard[node] < world->news_count)
		news_tell(world, node, world->heard[node]++);
	if (choice & 0x80 && world->heard[node] > 0)
		news_tell(world, node, choice % world->heard[node]);
}

/* A list of all that the store holds now. */
static void node_lists(struct world *world, int node)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_LISTING};
	uint64_t newest = 0;

	tell(world, node, &event);
	for (int i = 0; i < world->endpoint_count; i++) {
		struct endpoint *endpoint = &world->endpoints[i];

		if (!endpoint->listed) {
			gone_note(world, node, endpoint->entry.id,
				  world->revision, false);
			continue;
		}
		if (endpoint->unreadable) {
			event.kind = JT_DIRECTOR_UNREADABLE;
			event.u.gone.id = endpoint->entry.id;
			event.u.gone.revision = endpoint->spoiled_revision;
			gone_note(world, node, event.u.gone.id,
				  event.u.gone.revision, true);
		} else {
			event.kind = JT_DIRECTOR_ENDPOINT;
			event.u.endpoint = endpoint->entry;
			entry_note(world, node, &endpoint->entry);
		}
		tell(world, node, &event);
	}
	for (size_t i = 0; i < world->news_count; i++) {
		if (world->news[i].routing_version > newest)
			newest = world->news[i].routing_version;
	}
	if (newest > 0)
		routing_tell(world, node, routing_create(world, newest));
	zones_list(world, node);
	event.kind = JT_DIRECTOR_LISTED;
	event.u.listed.revision = world->revision;
	tell(world, node, &event);
	world->heard[node] = world->news_count;
}

static void node_start(struct world *world, int node)
{
	struct jt_director_options options;

	world->node_lives[node]++;
	talloc_free(world->directors[node]);
	jt_director_options_init(&options);
	options.zone_id = jt_name_id(zone_names[node % ZONES]);
	options.flow_limit = FLOWS_REMEMBERED;
	options.flow_age_limit_ms = 600000;
	options.seed = (uint64_t)node + 1;
	options.break_mechanism = fuzz_break_mechanism;
	world->directors[node] = jt_director_create(world, &options);
	world->versions[node] = 0;
	world->heard[node] = 0;
	for (int i = 0; i < ENDPOINTS; i++)
		world->endpoints[i].told[node] = (struct told_entry){0};
	memset(world->told_zones[node], 0, sizeof(world->told_zones[node]));
}

/* @node learns all that @from knows. */
static void node_fetches(struct world *world, int node, int from)
{
	struct jt_director_event event;
	jt_wire_knowledge knowledge;
	TALLOC_CTX *frame = talloc_new(world);
	struct jt_routing *routing;

	if (node == from || !jt_director_started(world->directors[from]) ||
	    !jt_knowledge_write(frame, world->directors[from],
				&(struct jt_knowledge_need){0}, world->now_ms,
				&knowledge))
		goto out;
	routing = jt_knowledge_routing(world, &knowledge.routing);
	if (routing != NULL)
		routing_tell(world, node, routing);
	for (u_int i = 0; i < knowledge.entries.entries_len; i++) {
		if (!jt_knowledge_entry(&knowledge.entries.entries_val[i],
					&event))
			continue;
		entry_note(world, node, &event.u.endpoint);
		tell(world, node, &event);
	}
	zones_tell(world, node,
		   jt_knowledge_zones(frame, knowledge.zones.zones_val,
				      knowledge.zones.zones_len),
		   knowledge.zones.zones_len, true, knowledge.revision);
	zones_note_all(world, node, knowledge.revision);
	event = (struct jt_director_event){.kind = JT_DIRECTOR_INFORMED};
	event.u.listed.revision = knowledge.revision;
	tell(world, node, &event);
out:
	talloc_free(frame);
}

/* Packets */

static struct flow *flow_of(struct world *world, const struct jt_flow_key *key)
{
	for (int i = 0; i < FLOWS; i++) {
		if (world->flows[i].used &&
		    world->flows[i].key.source_port == key->source_port)
			return &world->flows[i];
	}
	return NULL;
}

static void flow_leave(struct world *world, struct flow *flow)
{
	if (flow->endpoint >= 0 && world->endpoints[flow->endpoint].flows > 0)
		world->endpoints[flow->endpoint].flows--;
	flow->endpoint = -1;
	flow->over = true;
}

/* Whether the flow's node still knows of it: fewer packets than it remembers
 * flows have come there since, so that no other flow took its place. */
static bool node_remembers(const struct world *world, const struct flow *flow)
{
	return world->node_lives[flow->node] == flow->life &&
	       world->node_packets[flow->node] - flow->packet <
		       FLOWS_REMEMBERED;
}

/* A node resets the flow. */
static void on_reset(struct world *world, int node,
		     const struct jt_director_action *a)
{
	struct flow *flow = flow_of(world, &a->key);

	if (flow == NULL || flow->over)
		return;
	if (a->reason == JT_DIRECTOR_OVERLOADED && flow->copies > 0)
		broken(world, "a copy was refused for lack of room");
	if (a->reason == JT_DIRECTOR_OVERLOADED && flow->open &&
	    node == flow->node && node_remembers(world, flow))
		broken(world, "a flow with an endpoint was refused");
	/* A caller takes a reset of an open flow only near what it has
	 * acknowledged; one meant for its first packet is not. */
	if (flow->open &&
	    a->reset_sequence - flow->acknowledged + RESET_WINDOW >
		    2 * RESET_WINDOW)
		return;
	if (flow->open && flow->endpoint >= 0 &&
	    lives(&world->endpoints[flow->endpoint]))
		broken(world, "an open flow was reset, its endpoint lives");
	flow_leave(world, flow);
}

/* Whether the node was told that new flows must keep away from the zone. */
static bool told_drained(const struct world *world, int node, uint32_t zone_id)
{
	for (int i = 0; i < ZONES; i++) {
		if (jt_name_id(zone_names[i]) == zone_id)
			return world->told_zones[node][i].draining;
	}
	return false;
}

/* Whether a packet to that address meets the endpoint. */
static bool reached(const struct endpoint *endpoint,
		    const struct jt_director_action *a)
{
	return lives(endpoint) && a->address.ip == endpoint->entry.address.ip;
}

static void on_first_packet(struct world *world, struct flow *flow, int node,
			    int index, const struct jt_director_action *a)
{
	struct endpoint *endpoint = &world->endpoints[index];
	const struct told_entry *told = &endpoint->told[node];
	uint32_t service = endpoint->entry.service_id;

	if (!(world->services_ever >> (service - 1) & 1) ||
	    service !=
		    (uint32_t)(flow->key.destination_port - 443) % SERVICES + 1)
		broken(world, "a first packet reached another service");
	if (a->address.ip != told->ip)
		broken(world, "a first packet went to an outdated address");
	if (told->unreadable && told->gone_revision > told->revision &&
	    flow->copies == 0)
		broken(world, "a first packet followed an unreadable entry");
	if (told->leaving_born_ms != LEAVING_NONE &&
	    a->label == jt_incarnation_label(a->endpoint_id,
					     told->leaving_born_ms) &&
	    flow->copies == 0)
		broken(world, "a leaving endpoint got a first packet");
	if (told_drained(world, node, endpoint->entry.zone_id) &&
	    flow->copies == 0)
		broken(world, "a drained zone got a first packet");
	if (!reached(endpoint, a) || endpoint->flows >= world->full_at)
		return;
	flow->home = index;
	flow->half_open = index;
	flow->start = endpoint->starts;
	flow->label = a->label;
	flow->open = true;
	flow->sequence++;
	flow->acknowledged = OPEN_ACKNOWLEDGED;
}

/* The caller's packet after the endpoint's answer: the flow opens, unless the
 * endpoint has become full in between. It says nothing then. */
static bool flow_opens(struct world *world, struct flow *flow)
{
	struct endpoint *endpoint;

	if (flow->half_open < 0)
		return true;
	endpoint = &world->endpoints[flow->half_open];
	if (!lives(endpoint) || endpoint->flows >= world->full_at)
		return false;
	if (flow->start != endpoint->starts) {
		flow->over = true; /* it knows of none, and resets it */
		return false;
	}
	flow->endpoint = flow->half_open;
	flow->half_open = -1;
	endpoint->flows++;
	return true;
}

/* Some endpoints answer part of the requests with a few bytes. */
static uint32_t answer_length(const struct world *world, int index)
{
	if (index % 4 == 1 && world->now_ms % 3 == 0)
		return SHORT_ANSWER;
	return ANSWER;
}

static void on_forward(struct world *world, int node,
		       const struct jt_director_action *a)
{
	struct flow *flow = flow_of(world, &a->key);
	int index = endpoint_of(world, a->endpoint_id);

	if (flow == NULL || index < 0)
		return;
	if (node == flow->node) {
		flow->sent_ms = world->now_ms;
		flow->packet = world->node_packets[node];
	}
	if (!flow->open) {
		on_first_packet(world, flow, node, index, a);
		return;
	}
	if (index != flow->home)
		broken(world, "a flow's packet went to another endpoint");
	if (world->late_copy)
		return;
	if (lives(&world->endpoints[index]) &&
	    !reached(&world->endpoints[index], a))
		return;
	if (!flow_opens(world, flow))
		return;
	if (flow->endpoint >= 0)
		flow->label = a->label; /* the endpoint returns it */
	if (flow->endpoint >= 0 && world->endpoints[index].slow &&
	    !flow->queued) {
		/* It waits there, and is not acknowledged until it comes
		 * again. */
		flow->queued = true;
	} else if (flow->endpoint >= 0) {
		flow->queued = false;
		flow->sequence += 10;
		flow->acknowledged += answer_length(world, index);
	} else if (world->endpoints[index].life == ENDED ||
		   lives(&world->endpoints[index])) {
		/* The endpoint's host resets it, or its next incarnation. */
		flow->over = true;
	}
}

struct pending {
	int node;
	uint64_t id;
	uint64_t born_ms;
	uint32_t ip;
	bool identify;
};

/* What a connection to the endpoint's address, as the node knows it, gets. */
static enum jt_probe_outcome probe_outcome(const struct world *world,
					   const struct pending *pending,
					   uint64_t *found)
{
	bool silent = false;

	*found = 0;
	for (int i = 0; i < world->endpoint_count; i++) {
		const struct endpoint *endpoint = &world->endpoints[i];

		if (endpoint->entry.address.ip != pending->ip)
			continue;
		silent = endpoint->life == SILENT_END;
		if (!lives(endpoint))
			continue;
		if (endpoint->flows >= world->full_at)
			return pending->id % 2 ? JT_PROBE_REFUSED
					       : JT_PROBE_SILENT;
		*found = endpoint->entry.id;
		return JT_PROBE_CONNECTED;
	}
	return silent ? JT_PROBE_SILENT : JT_PROBE_REFUSED;
}

static struct pending pendings[64];
static size_t pending_count;

struct incarnation_name {
	uint64_t id;
	uint64_t born_ms;
};

/* What nodes found dead, for them to tell each other. */
static struct incarnation_name verdicts[VERDICTS];
static size_t verdict_count;
/* Endpoints that a node finds failing; all nodes hear of it at the next step.
 */
static struct incarnation_name failing[VERDICTS];
static size_t failing_count;

/* Failed requests that a node tells of; all hear of them at the next step. */
static struct jt_endpoint_failure failures[JT_FAILURE_LIMIT];
static size_t failures_count;

static void failures_take(struct world *world, int node)
{
	size_t peers;

	failures_count = jt_director_failures(world->directors[node],
					      world->now_ms, failures, &peers);
	if (peers >= NODES)
		broken(world, "failures are told to more peers than there are");
}

static void probe_note(int node, const struct jt_director_action *a,
		       bool identify)
{
	if (pending_count < sizeof(pendings) / sizeof(pendings[0]))
		pendings[pending_count++] =
			(struct pending){node, a->endpoint_id, a->born_ms,
					 a->address.ip, identify};
}

static struct incarnation_name name_of(const struct jt_director_action *a)
{
	return (struct incarnation_name){a->endpoint_id, a->born_ms};
}

static void act(struct world *world, int node)
{
	/* Handling may add to the list: only what is there now. */
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
			probe_note(node, a, false);
			break;
		case JT_DIRECTOR_FAILING:
			if (failing_count < VERDICTS)
				failing[failing_count++] = name_of(a);
			break;
		case JT_DIRECTOR_FAILURES:
			failures_take(world, node);
			break;
		case JT_DIRECTOR_VERDICT:
			verdicts[verdict_count++ % VERDICTS] = name_of(a);
			break;
		case JT_DIRECTOR_IDENTIFY:
			probe_note(node, a, true);
			break;
		default:
			break;
		}
	}
}

static void probe_settle(struct world *world, uint8_t choice)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_PROBED};
	struct pending pending;
	enum jt_probe_outcome outcome;
	uint64_t found;
	size_t at;

	if (pending_count == 0)
		return;
	at = choice % pending_count;
	pending = pendings[at];
	pending_count--;
	pendings[at] = pendings[pending_count];
	outcome = probe_outcome(world, &pending, &found);
	if (pending.identify) {
		event.kind = JT_DIRECTOR_IDENTIFIED;
		event.u.identified.id = pending.id;
		event.u.identified.born_ms = pending.born_ms;
		event.u.identified.found = found;
	} else {
		event.u.probed.id = pending.id;
		event.u.probed.born_ms = pending.born_ms;
		event.u.probed.outcome =
			choice & 0x80 ? JT_PROBE_VOID : outcome;
	}
	tell(world, pending.node, &event);
}

/* Callers */

static void packet_send(struct world *world, int node, struct flow *flow,
			uint8_t flags, uint32_t length)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_PACKET};

	event.u.packet = (struct jt_label_packet){
		.key = flow->key,
		.flags = flags,
		.label = flow->open ? flow->label : 0,
		.sequence = flow->sequence,
		.acknowledged = flow->open ? flow->acknowledged : flow->copies,
		.length = length,
	};
	world->node_packets[node]++;
	tell(world, node, &event);
}

/* The network doubles the first packet, and the second comes late, through the
 * node that got the first and still knows of the flow. */
static void first_packet_again(struct world *world, struct flow *flow)
{
	int index = flow->endpoint >= 0 ? flow->endpoint : flow->half_open;
	struct flow first = *flow;

	/* Where its endpoint has ended, so has the flow. */
	if (index < 0 || !lives(&world->endpoints[index]) ||
	    flow->start != world->endpoints[index].starts)
		return;
	if (flow->copies > 0 || !node_remembers(world, flow) ||
	    world->now_ms - flow->sent_ms > LATE_MS)
		return;
	first.open = false;
	first.sequence = 1;
	first.copies = 0;
	world->late_copy = true;
	packet_send(world, flow->node, &first, JT_PACKET_SYN, 0);
	world->late_copy = false;
}

static void flow_start(struct world *world, int node, uint8_t choice)
{
	struct flow *flow = &world->flows[choice % FLOWS];

	if (flow->used && !flow->over)
		flow_leave(world, flow);
	*flow = (struct flow){
		.used = true, .endpoint = -1, .half_open = -1, .sequence = 1};
	flow->node = node;
	flow->life = world->node_lives[node];
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

	if (!flow->used || flow->over)
		return;
	if (!flow->open) {
		/* A copy goes through the same node, but for sprays. */
		flow->copies++;
		if (flow->copies <= 2)
			packet_send(world, node, flow, JT_PACKET_SYN, 0);
		return;
	}
	if (choice & 0x80)
		first_packet_again(world, flow);
	if (!flow->over)
		packet_send(world, node, flow, JT_PACKET_ACK,
			    choice & 0x40 ? 10 : 0);
}

static void flow_end(struct world *world, int node, uint8_t choice)
{
	struct flow *flow = &world->flows[choice % FLOWS];

	if (!flow->used || flow->over || !flow->open)
		return;
	packet_send(world, node, flow, JT_PACKET_FIN | JT_PACKET_ACK, 0);
	flow_leave(world, flow);
}

static void time_pass(struct world *world, uint8_t choice)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_TICK};

	world->now_ms += 1 + (uint64_t)choice * 4;
	event.u.tick.nodes = NODES;
	for (int node = 0; node < NODES; node++)
		tell(world, node, &event);
}

/* A packet of a caller that the oracle does not follow; its label, or 0. */
static uint32_t crowd_send(struct world *world, int node,
			   const struct jt_label_packet *packet)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_PACKET};

	event.u.packet = *packet;
	world->node_packets[node]++;
	tell(world, node, &event);
	for (size_t i = 0; i < world->actions->count; i++) {
		if (world->actions->items[i].kind == JT_DIRECTOR_FORWARD)
			return world->actions->items[i].label;
	}
	return 0;
}

/* A new flow of the crowd; false: the node has no place for it. */
static bool crowd_opens(struct world *world, int node, uint8_t choice,
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
	packet->label = crowd_send(world, node, packet);
	packet->flags = JT_PACKET_ACK;
	packet->sequence = 2;
	packet->acknowledged = OPEN_ACKNOWLEDGED;
	if (packet->label != 0)
		crowd_send(world, node, packet);
	return packet->label != 0;
}

/* The network doubles the first packet of a flow that its node remembers. */
static void crowd_doubles(struct world *world, int node,
			  const struct jt_label_packet *packet)
{
	struct jt_label_packet first = *packet;

	first.flags = JT_PACKET_SYN;
	first.sequence = 1;
	first.acknowledged = 0;
	first.label = 0;
	crowd_send(world, node, &first);
	for (size_t i = 0; i < world->actions->count; i++) {
		if (world->actions->items[i].reason == JT_DIRECTOR_OVERLOADED)
			broken(world, "a flow with an endpoint was refused");
	}
}

/* Some callers come to a node at once, each with one request after the other.
 * Answers are late, and the last ones never come. */
static void crowd_comes(struct world *world, int node, uint8_t choice)
{
	struct jt_director_event tick = {.kind = JT_DIRECTOR_TICK};
	struct jt_label_packet packets[CROWD];
	int count = 0;

	tick.u.tick.nodes = NODES;
	while (count < CROWD &&
	       crowd_opens(world, node, choice, &packets[count]))
		count++;
	for (int i = 0; i < count * CROWD_REQUESTS; i++) {
		struct jt_label_packet *packet = &packets[i % count];

		if (i >= count) {
			packet->acknowledged += 600;
			crowd_send(world, node, packet);
		}
		packet->length = 10;
		crowd_send(world, node, packet);
		packet->sequence += 10;
		packet->length = 0;
		if (i % count == count - 1)
			world->now_ms += CROWD_WAITS_MS;
	}
	tell(world, node, &tick);
	if (count > 0)
		crowd_doubles(world, node, &packets[0]);
}

static void failing_tell(struct world *world)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_OVERDUE};
	struct jt_endpoint_failure told[JT_FAILURE_LIMIT];

	while (failing_count > 0) {
		failing_count--;
		event.u.suspicion.id = failing[failing_count].id;
		event.u.suspicion.born_ms = failing[failing_count].born_ms;
		for (int node = 0; node < NODES; node++)
			tell(world, node, &event);
	}
	if (failures_count == 0)
		return;
	event.kind = JT_DIRECTOR_FAILURES_TOLD;
	memcpy(told, failures, sizeof(told));
	event.u.failures.items = told;
	event.u.failures.count = failures_count;
	failures_count = 0;
	for (int node = 0; node < NODES; node++)
		tell(world, node, &event);
}

static void step(struct world *world)
{
	uint8_t what = next_byte(world), choice = next_byte(world);
	int node = what / 16 % NODES;
	struct jt_director_event event = {.kind = JT_DIRECTOR_SUSPICION};

	failing_tell(world);
	switch (what % 16) {
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
		time_pass(world, choice);
		break;
	case 8:
		endpoint_start(world, choice);
		break;
	case 9:
		endpoint_change(world, what / 16, choice);
		break;
	case 10:
		node_hears(world, node, choice);
		break;
	case 11:
		if (choice % 4 == 0)
			routing_publish(world);
		else if (choice % 4 == 1)
			node_lists(world, node);
		else if (choice % 16 == 2)
			zone_publish(world, choice / 16);
		else
			node_hears(world, node, choice);
		break;
	case 12:
		probe_settle(world, choice);
		break;
	case 13:
		if (choice % 16 == 1)
			crowd_comes(world, node, choice);
		else
			probe_settle(world, choice);
		break;
	case 14:
		node_fetches(world, node, choice % NODES);
		break;
	case 15:
		if (choice % 8 == 0)
			node_start(world, node);
		else if (verdict_count > 0) {
			const struct incarnation_name *dead =
				&verdicts[choice % verdict_count % VERDICTS];

			event.u.suspicion.id = dead->id;
			event.u.suspicion.born_ms = dead->born_ms;
			tell(world, node, &event);
		}
		break;
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct world *world = talloc_zero(NULL, struct world);

	pending_count = 0;
	verdict_count = 0;
	failing_count = 0;
	failures_count = 0;
	world->data = data;
	world->size = size;
	world->births = size > 0 && data[0] >= BIRTHS_FROM;
	/* Few flows, and known for long enough: a refusal proves death. */
	world->full_at = world->births ? FULL_NEVER : FULL_AT;
	world->flow_idle_ms = world->births ? FLOW_IDLE_SHORT_MS : FLOW_IDLE_MS;
	world->now_ms = 1000000;
	world->next_port = 1024;
	world->actions = jt_director_actions_create(world);
	for (int node = 0; node < NODES; node++)
		node_start(world, node);
	routing_publish(world);
	for (uint8_t i = 0; i < 4; i++)
		endpoint_start(world, (uint8_t)(i * 5));
	for (int node = 0; node < NODES; node++)
		node_lists(world, node);
	while (world->size > 0)
		step(world);
	talloc_free(world);
	return 0;
}
