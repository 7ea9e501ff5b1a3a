/*
 * The protocol between director nodes (XDR, RFC 4506).
 *
 * Generated code is committed; regenerate with `make proto`. Addresses are
 * IPv4 in host order. Versions and revisions order all updates, so that
 * delayed, duplicated and reordered messages are harmless.
 */

const JT_DIRECTOR_MAX_PEERS = 16;
const JT_DIRECTOR_MAX_ROUTES = 1048576;
const JT_DIRECTOR_MAX_PARTS = 16;
const JT_DIRECTOR_MAX_SERVICES = 65536;
/* Endpoints are divided into slices by a hash of their ids. A message holds
 * complete slices: up to a few hundred entries, or one larger slice. */
const JT_DIRECTOR_SLICES = 1024;
const JT_DIRECTOR_MAX_ENTRIES = 8192;
const JT_DIRECTOR_MAX_NAME = 63;
const JT_DIRECTOR_MAX_LOADS = 96;
const JT_DIRECTOR_MAX_FAILURES = 12;
const JT_DIRECTOR_MAX_ZONES = 64;
/* Entries and zone drains of a gossip update; they fit into one datagram. */
const JT_DIRECTOR_MAX_UPDATE_ENTRIES = 15;
const JT_DIRECTOR_MAX_UPDATE_ZONES = 2;

struct jt_wire_peer {
	unsigned hyper id;
	unsigned int address;
	unsigned int port;
	unsigned int zone;
	unsigned int age_ms; /* since the sender last received from it */
	unsigned int weight; /* as store reader; 0: not eligible */
};

/* Sent to a few peers several times a second. */
struct jt_wire_digest {
	unsigned int zone;
	unsigned hyper routing_version; /* in use at the sender */
	unsigned hyper revision;        /* newest discovery revision known */
	bool started;
	bool leaving;
	bool ready;                  /* announced to the routers as ready */
	bool accepts_flows;          /* accepts new flows */
	unsigned int weight;         /* as store reader; 0: not eligible */
	unsigned int store_age_ms;   /* age of the newest store state known */
	unsigned hyper store_reader; /* node that read that state */
	jt_wire_peer peers<JT_DIRECTOR_MAX_PEERS>;
};

/*
 * Availability of the sender, sent to every peer as soon as the sender starts
 * or stops accepting flows. It carries no versions or revisions: otherwise all
 * peers that are behind would fetch the state from this node at once.
 */
struct jt_wire_availability {
	unsigned int zone;
	bool started;
	bool leaving;
	bool ready;          /* announced to the routers as ready */
	unsigned int weight; /* as store reader; 0: not eligible */
};

/* Kinds of failure reports about an endpoint. */
enum jt_wire_suspicion_kind {
	JT_WIRE_DECLARED_DEAD = 1,  /* by the sender */
	JT_WIRE_RESPONSES_OVERDUE = 2 /* alive, but responses are overdue */
};

struct jt_wire_suspicion {
	jt_wire_suspicion_kind kind;
	unsigned hyper endpoint_id;
	unsigned hyper start_time_ms; /* of the incarnation concerned */
};

/* Request results observed by the sender at an endpoint with failures, since
 * its last such message, in thousandths of requests. */
struct jt_wire_failure {
	unsigned int label; /* of the endpoint */
	unsigned int failed_permille;
	unsigned int served_permille;
	unsigned int share_permille; /* of the sender's new flows */
};

/* Sent shortly after the first failure: to every peer, or to some of them if
 * there are many failures. */
struct jt_wire_failures {
	jt_wire_failure failures<JT_DIRECTOR_MAX_FAILURES>;
};

struct jt_wire_load {
	unsigned int label; /* of the endpoint */
	unsigned int flows; /* open through the sender */
	/* Recent load through the sender, in thousandths of requests. */
	unsigned int recent_load_permille;
	/* Hundredths of responses << 16 | signed logarithm of the relative
	 * response time in thousandths. */
	unsigned int response_ratio;
};

/* Flows and recent load of endpoints through the sender. Endpoints without
 * either are omitted. */
struct jt_wire_loads {
	jt_wire_load loads<JT_DIRECTOR_MAX_LOADS>;
};

/* A service that receives part of a route's flows, by weight. */
struct jt_wire_part {
	unsigned int service_id;
	unsigned int weight;
};

struct jt_wire_route {
	string name<JT_DIRECTOR_MAX_NAME>;
	unsigned int address;
	unsigned int port;
	unsigned int priority;
	unsigned int target_ms; /* target response time, 0: none */
	jt_wire_part parts<JT_DIRECTOR_MAX_PARTS>;
};

struct jt_wire_service {
	unsigned int id;
	unsigned int connection_limit;
	string health_path<JT_DIRECTOR_MAX_NAME>;
	unsigned int cold_permille; /* thousandths of new flows per second to a
	                             * cold endpoint */
};

struct jt_wire_routing {
	unsigned hyper routing_version; /* 0: none known */
	unsigned int flow_idle_ms;
	jt_wire_route routes<JT_DIRECTOR_MAX_ROUTES>;
	jt_wire_service services<JT_DIRECTOR_MAX_SERVICES>;
};

/* Flags of an entry. */
const JT_WIRE_ENTRY_DRAINING = 1;
const JT_WIRE_ENTRY_UNREADABLE = 2; /* unreadable in the store since
                                     * removed_revision, but not removed */

struct jt_wire_entry {
	unsigned hyper id;
	unsigned hyper start_time_ms; /* of the incarnation; 0: unknown */
	unsigned int service_id;
	unsigned int zone_id;
	unsigned int address;
	unsigned int port;
	unsigned int capacity;
	unsigned int cold_left_ms;
	unsigned hyper revision;
	unsigned hyper created_revision; /* revision that added it to discovery */
	unsigned hyper removed_revision; /* that removed it; 0: still in discovery */
	unsigned int removed_age_ms;  /* time since its removal */
	unsigned int flags;
};

struct jt_wire_zone_drain {
	string zone<JT_DIRECTOR_MAX_NAME>;
	unsigned hyper revision;
	bool draining; /* false: the drain has ended */
};

/*
 * Gossip update, forwarded by each node to which it is new: all entries and
 * zone drains that changed after `since`, up to the digest's revision. A
 * receiver with a revision before `since`, or an older routing, fetches the
 * missing state.
 */
struct jt_wire_update {
	jt_wire_digest digest; /* without peers */
	unsigned hyper since;
	unsigned hyper gap_from;      /* as in jt_wire_snapshot */
	unsigned hyper gap_to;
	jt_wire_entry entries<JT_DIRECTOR_MAX_UPDATE_ENTRIES>;
	jt_wire_zone_drain zones<JT_DIRECTOR_MAX_UPDATE_ZONES>;
};

/*
 * State snapshot for a peer that is behind: the entries of some slices that
 * changed after `since` (0: all), all zone drains, and the routing unless the
 * peer has it. The peer requests slice after slice, from any peer, until it
 * has all of them.
 */
struct jt_wire_snapshot {
	unsigned int slice;      /* first slice contained */
	/* First slice after those contained. If equal to `slice`, the sender is
	 * not started and sends some of the endpoints known so far. */
	unsigned int slice_next;
	/* 0: all entries of the slices. */
	unsigned hyper since;
	unsigned hyper revision;
	/* Listing gap after `since`: the sender read a full listing and did not
	 * observe the changes between these revisions; 0: no gap. */
	unsigned hyper gap_from;
	unsigned hyper gap_to;
	unsigned hyper incomplete_before; /* changes before it may be missing */
	bool complete;               /* the sender dropped no entry or drain */
	/* Remaining time of the initial synchronisation, until which entries
	 * may be missing. */
	unsigned int initial_sync_ms;
	unsigned int store_age_ms;   /* age of the store state contained */
	unsigned hyper store_reader; /* node that read that state */
	jt_wire_routing routing;
	jt_wire_entry entries<JT_DIRECTOR_MAX_ENTRIES>;
	jt_wire_zone_drain zones<JT_DIRECTOR_MAX_ZONES>;
};

/* A client's flow and the TCP sequence number of its first packet. */
struct jt_wire_flow {
	unsigned int source;
	unsigned int destination;
	unsigned int source_port;
	unsigned int destination_port;
	unsigned int protocol;
	unsigned int sequence;
};

/*
 * Sent after a retransmitted first packet of a flow that is unknown to the
 * sender: asks the nodes from which routers may have moved the flow for its
 * endpoint.
 */
struct jt_wire_flow_lookup {
	jt_wire_flow flow;
};

/* Response to a jt_wire_flow_lookup. */
struct jt_wire_flow_lookup_response {
	jt_wire_flow flow;
	unsigned int label; /* of its endpoint; 0: unknown to the sender */
};

enum jt_wire_director_kind {
	JT_WIRE_DIGEST = 1,
	JT_WIRE_SUSPICION = 2,
	JT_WIRE_SNAPSHOT = 3,
	JT_WIRE_LOADS = 4,
	JT_WIRE_UPDATE = 5,
	JT_WIRE_AVAILABILITY = 6,
	JT_WIRE_FAILURES = 7,
	JT_WIRE_FLOW_LOOKUP = 8,
	JT_WIRE_FLOW_LOOKUP_RESPONSE = 9
};

union jt_wire_director_body switch (jt_wire_director_kind kind) {
case JT_WIRE_DIGEST:
	jt_wire_digest digest;
case JT_WIRE_SUSPICION:
	jt_wire_suspicion suspicion;
case JT_WIRE_SNAPSHOT:
	jt_wire_snapshot snapshot;
case JT_WIRE_LOADS:
	jt_wire_loads loads;
case JT_WIRE_UPDATE:
	jt_wire_update update;
case JT_WIRE_AVAILABILITY:
	jt_wire_availability availability;
case JT_WIRE_FAILURES:
	jt_wire_failures failures;
case JT_WIRE_FLOW_LOOKUP:
	jt_wire_flow_lookup flow_lookup;
case JT_WIRE_FLOW_LOOKUP_RESPONSE:
	jt_wire_flow_lookup_response flow_lookup_response;
};

struct jt_wire_director_message {
	unsigned hyper from;
	jt_wire_director_body body;
};
