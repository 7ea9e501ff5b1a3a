/*
 * The protocol between director nodes (XDR, RFC 4506).
 *
 * Generated code is committed; regenerate with `make proto`. Addresses are
 * IPv4 in host order. Versions and revisions order everything: a message
 * that comes late, twice or out of order changes nothing.
 */

const JT_DIRECTOR_MAX_PEERS = 16;
const JT_DIRECTOR_MAX_ROUTES = 1048576;
const JT_DIRECTOR_MAX_PARTS = 16;
const JT_DIRECTOR_MAX_SERVICES = 65536;
/* Endpoints are told in slices by a hash of their ids. A message holds whole
 * slices: a few hundred entries, or one slice where that has more. */
const JT_DIRECTOR_SLICES = 1024;
const JT_DIRECTOR_MAX_ENTRIES = 8192;
const JT_DIRECTOR_MAX_NAME = 63;
const JT_DIRECTOR_MAX_LOADS = 96;
const JT_DIRECTOR_MAX_FAILURES = 12;
const JT_DIRECTOR_MAX_ZONES = 64;
/* Entries and drains of zones that fit into one datagram. */
const JT_DIRECTOR_MAX_NEWS = 16;
const JT_DIRECTOR_MAX_NEWS_ZONES = 2;

struct jt_wire_peer {
	unsigned hyper id;
	unsigned int address;
	unsigned int port;
	unsigned int zone;
	unsigned int age_ms; /* since it was last heard, by the sender */
	unsigned int weight; /* as a reader of the store; 0: not now */
};

/* Sent to a few peers several times a second. */
struct jt_wire_digest {
	unsigned int zone;
	unsigned hyper routing_version; /* in force at the sender */
	unsigned hyper revision;        /* of the newest change it knows */
	bool started;
	bool leaving;
	bool ready;                  /* routers were told that it is */
	bool places;                 /* new flows: it knows some endpoints */
	unsigned int weight;         /* as a reader of the store; 0: not now */
	unsigned int store_age_ms;   /* all that the store had then is known */
	unsigned hyper store_reader; /* the node that read it */
	jt_wire_peer peers<JT_DIRECTOR_MAX_PEERS>;
};

/*
 * Sent to every peer at once when the sender starts or stops taking flows. It
 * tells nothing of what the sender knows: all that lack the same would fetch
 * it from this one node in the same moment.
 */
struct jt_wire_standing {
	unsigned int zone;
	bool started;
	bool leaving;
	bool ready;          /* routers were told that it is */
	unsigned int weight; /* as a reader of the store; 0: not now */
};

/* What speaks against an endpoint. */
enum jt_wire_suspicion_kind {
	JT_WIRE_FOUND_DEAD = 1,
	JT_WIRE_ANSWERS_OVERDUE = 2 /* it lives, but leaves requests waiting */
};

struct jt_wire_suspicion {
	jt_wire_suspicion_kind kind;
	unsigned hyper endpoint_id;
	unsigned hyper born_ms; /* of the incarnation it is about */
};

/* What the sender saw of requests at an endpoint that fails some, since the
 * last such message, in thousandths of requests. */
struct jt_wire_failure {
	unsigned int label; /* of the endpoint */
	unsigned int failed_permille;
	unsigned int served_permille;
	unsigned int share_permille; /* of new flows, at the sender */
};

/* Sent soon after the first failure: to every peer, or to some of them where
 * there are many failures. */
struct jt_wire_failures {
	jt_wire_failure failures<JT_DIRECTOR_MAX_FAILURES>;
};

struct jt_wire_load {
	unsigned int label; /* of the endpoint */
	unsigned int flows; /* open through the sender */
	unsigned int work_permille; /* its requests lately, in thousandths */
	unsigned int speed; /* answers in hundredths << 16 | slowness, the
			     * signed logarithm in thousandths */
};

/* The sender's share of the endpoints' flows and work; endpoints without any
 * are left out. */
struct jt_wire_loads {
	jt_wire_load loads<JT_DIRECTOR_MAX_LOADS>;
};

struct jt_wire_part {
	unsigned int service_id;
	unsigned int weight;
};

struct jt_wire_route {
	string name<JT_DIRECTOR_MAX_NAME>;
	unsigned int address;
	unsigned int port;
	unsigned int priority;
	unsigned int target_ms; /* in which callers want answers, 0: not said */
	jt_wire_part parts<JT_DIRECTOR_MAX_PARTS>;
};

struct jt_wire_service {
	unsigned int id;
	unsigned int connection_limit;
	string health_path<JT_DIRECTOR_MAX_NAME>;
	unsigned int cold_permille; /* new flows a second at a cold endpoint */
};

struct jt_wire_routing {
	unsigned hyper number; /* 0: none known */
	unsigned int flow_idle_ms;
	jt_wire_route routes<JT_DIRECTOR_MAX_ROUTES>;
	jt_wire_service services<JT_DIRECTOR_MAX_SERVICES>;
};

/* Flags of an entry. */
const JT_WIRE_ENTRY_DRAINING = 1;
const JT_WIRE_ENTRY_UNREADABLE = 2; /* since gone_revision, and still there */

struct jt_wire_entry {
	unsigned hyper id;
	unsigned hyper born_ms;       /* tells incarnations apart; 0: untold */
	unsigned int service_id;
	unsigned int zone_id;
	unsigned int address;
	unsigned int port;
	unsigned int capacity;
	unsigned int cold_left_ms;
	unsigned hyper revision;
	unsigned hyper created;       /* revision at which it came there */
	unsigned hyper gone_revision; /* 0: it is in discovery */
	unsigned int flags;
};

struct jt_wire_zone_drain {
	string zone<JT_DIRECTOR_MAX_NAME>;
	unsigned hyper revision;
	bool draining; /* false: the drain has ended */
};

/*
 * Sent on by each node that learns of it: all entries and drains of zones
 * that changed after `since`, up to the digest's revision. Whoever knows less than `since`, or an
 * older routing, fetches what it lacks.
 */
struct jt_wire_news {
	jt_wire_digest digest; /* without peers */
	unsigned hyper since;
	unsigned hyper gap_from;      /* as in jt_wire_knowledge */
	unsigned hyper gap_to;
	jt_wire_entry entries<JT_DIRECTOR_MAX_NEWS>;
	jt_wire_zone_drain zones<JT_DIRECTOR_MAX_NEWS_ZONES>;
};

/*
 * What a peer that is behind fetches: of some slices the entries that changed
 * after `since` (0: all), all drains of zones, and the routing unless the peer
 * has it. It asks for one slice after the other, of any peer, until it has all.
 */
struct jt_wire_knowledge {
	unsigned int slice;      /* the first one in it */
	/* The first one that is not. The same slice: the sender has not started
	 * and tells some of the endpoints that it knows so far. */
	unsigned int slice_next;
	/* 0: all entries of the slices. */
	unsigned hyper since;
	unsigned hyper revision;
	/* The sender took a whole list between these revisions after `since`,
	 * and knows nothing of what came and went there; 0: it did not. */
	unsigned hyper gap_from;
	unsigned hyper gap_to;
	unsigned hyper forgotten;    /* before it, it may lack changes */
	bool complete;               /* no entry was left out for want of room */
	unsigned int learning_ms;    /* entries may be missing so long yet */
	unsigned int store_age_ms;   /* all that the store had then is in it */
	unsigned hyper store_reader; /* the node that read it */
	jt_wire_routing routing;
	jt_wire_entry entries<JT_DIRECTOR_MAX_ENTRIES>;
	jt_wire_zone_drain zones<JT_DIRECTOR_MAX_ZONES>;
};

/* A caller's flow, and the sequence of its first packet. */
struct jt_wire_flow {
	unsigned int source;
	unsigned int destination;
	unsigned int source_port;
	unsigned int destination_port;
	unsigned int protocol;
	unsigned int sequence;
};

/*
 * A copy of a first packet came to the sender, which saw none before: asks
 * where the flow is, of the nodes that routers may have moved it from.
 */
struct jt_wire_flow_question {
	jt_wire_flow flow;
};

/* Sent back to the node that asked. */
struct jt_wire_flow_answer {
	jt_wire_flow flow;
	unsigned int label; /* of its endpoint; 0: not known here either */
};

enum jt_wire_director_kind {
	JT_WIRE_DIGEST = 1,
	JT_WIRE_SUSPICION = 2,
	JT_WIRE_KNOWLEDGE = 3,
	JT_WIRE_LOADS = 4,
	JT_WIRE_NEWS = 5,
	JT_WIRE_STANDING = 6,
	JT_WIRE_FAILURES = 7,
	JT_WIRE_FLOW_QUESTION = 8,
	JT_WIRE_FLOW_ANSWER = 9
};

union jt_wire_director_body switch (jt_wire_director_kind kind) {
case JT_WIRE_DIGEST:
	jt_wire_digest digest;
case JT_WIRE_SUSPICION:
	jt_wire_suspicion suspicion;
case JT_WIRE_KNOWLEDGE:
	jt_wire_knowledge knowledge;
case JT_WIRE_LOADS:
	jt_wire_loads loads;
case JT_WIRE_NEWS:
	jt_wire_news news;
case JT_WIRE_STANDING:
	jt_wire_standing standing;
case JT_WIRE_FAILURES:
	jt_wire_failures failures;
case JT_WIRE_FLOW_QUESTION:
	jt_wire_flow_question flow_question;
case JT_WIRE_FLOW_ANSWER:
	jt_wire_flow_answer flow_answer;
};

struct jt_wire_director_message {
	unsigned hyper from;
	jt_wire_director_body body;
};
