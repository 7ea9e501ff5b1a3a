/*
 * Types of placement by flow label: events in, actions out.
 *
 * A director node forwards the packets of a flow to the endpoint that the
 * flow's label names. Both ends of a flow return the label in each packet, so
 * that any node can forward any packet without records, owners or peers.
 *
 * The library has no clock, socket, thread or global. Every event carries the
 * driver's monotonic time in milliseconds.
 */
#ifndef JASPERTRACK_DIRECTOR_T_H
#define JASPERTRACK_DIRECTOR_T_H

#include "jaspertrack/types-t.h"

#include <talloc.h>

enum {
	JT_ROUTE_PART_LIMIT = 16, /* services that share one route */
	JT_LOAD_LIMIT = 96,	  /* endpoints in one report of loads */
	JT_ZONE_DRAIN_LIMIT = 64, /* zones whose drains are known */
	JT_FAILURE_LIMIT = 12,	  /* endpoints in one report of failures */
};

/* A service's part of a route's new flows. */
struct jt_route_part {
	uint32_t service_id;
	uint32_t weight;
};

/* New flows to @address go to @parts by weight. */
struct jt_route {
	char name[JT_NAME_SIZE];
	struct jt_address address;
	struct jt_route_part parts[JT_ROUTE_PART_LIMIT];
	size_t part_count;
	uint32_t priority;  /* 0 is the highest */
	uint32_t target_ms; /* in which callers want answers, 0: not said */
};

/* What the routing knows of a service. */
struct jt_routed_service {
	uint32_t id;		   /* jt_name_id() of the name */
	uint32_t connection_limit; /* flows at one endpoint */
	/* New flows a second that a cold endpoint bears, in thousandths; 0:
	 * any number. */
	uint32_t cold_permille;
	char health_path[JT_NAME_SIZE]; /* of the page that names it */
};

/* A whole routing configuration; immutable once built. */
struct jt_routing {
	uint64_t version;
	uint64_t revision;	 /* of its entry in the store */
	struct jt_route *routes; /* sorted by address */
	size_t route_count;
	struct jt_routed_service *services; /* sorted by id */
	size_t service_count;
	uint32_t flow_idle_ms; /* a flow at rest for so long may be forgotten */
};

/* What discovery tells of one incarnation of an endpoint. */
struct jt_endpoint_entry {
	uint64_t id; /* never 0; an endpoint may start again under its id */
	/* The endpoint's own time of its start, Unix milliseconds: tells its
	 * incarnations apart, and says nothing of which is newer. 0: the
	 * deployment gives each start an id of its own. */
	uint64_t born_ms;
	uint32_t service_id;
	uint32_t zone_id;
	struct jt_address address;
	uint32_t capacity; /* requests worked on at once */
	bool draining;
	uint32_t cold_left_ms; /* slow for so long after its start */
	uint64_t revision;     /* of the entry in discovery */
	uint64_t created; /* revision at which the entry came; 0: unknown */
	uint64_t gone_revision; /* when it went; 0: it is there */
	/* It did not go: its newest form, of gone_revision, can't be read. */
	bool unreadable;
};

/* What the store tells of a zone: whether operators drain it. */
struct jt_zone_drain {
	char zone[JT_NAME_SIZE];
	uint64_t revision; /* of the change in the store */
	bool draining;	   /* its endpoints get no new flows */
};

/* Between two revisions a whole list was taken: what came and went in between
 * is not known. Both 0: there is none. */
struct jt_list_gap {
	uint64_t from;
	uint64_t to;
};

/* Flows that a node has open at one endpoint. */
struct jt_endpoint_load {
	uint32_t label;
	uint32_t flows;
	uint32_t work_permille; /* requests lately, in thousandths */
	uint32_t speed;		/* jt_speed_told() */
};

enum { JT_WORK_UNIT = 1000 }; /* of work_permille in a request */

/* What became of requests at an endpoint that fails some, since the last
 * report, in thousandths of requests. */
struct jt_endpoint_failure {
	uint32_t label;
	uint32_t failed_permille;
	uint32_t served_permille;
	uint32_t share_permille; /* that the endpoint has at the teller */
};

/* How this node sees one incarnation. */
enum jt_incarnation_state {
	JT_INCARNATION_READY,
	JT_INCARNATION_DRAINING, /* said that it leaves: no new flows */
	JT_INCARNATION_LAPSED,	 /* its entry is gone, it may serve on */
	JT_INCARNATION_DEAD,	 /* surely ended: its flows are reset */
};

/* Why an incarnation is taken for dead. */
enum jt_death_cause {
	JT_DEATH_NONE,
	JT_DEATH_REFUSED,  /* its address refuses connections */
	JT_DEATH_SILENT,   /* no answer to flows and connections */
	JT_DEATH_REPLACED, /* another incarnation has its address */
	JT_DEATH_CAUSES,
};

/* What became of a connection that was opened to see if an endpoint lives. */
enum jt_probe_outcome {
	JT_PROBE_CONNECTED,
	JT_PROBE_REFUSED,
	JT_PROBE_SILENT,
	JT_PROBE_VOID, /* this node was held up: says nothing */
};

/* Flags of a flow's packet. */
enum {
	JT_PACKET_SYN = 1 << 0,
	JT_PACKET_ACK = 1 << 1,
	JT_PACKET_FIN = 1 << 2,
	JT_PACKET_RST = 1 << 3,
};

/* A caller's packet as any codec gives it. */
struct jt_label_packet {
	struct jt_flow_key key;
	uint8_t flags;
	uint32_t label; /* 0: none yet */
	uint32_t sequence;
	uint32_t acknowledged;
	uint32_t length;  /* of the data */
	uint32_t held_ms; /* since it came, 0: just now */
};

enum jt_director_event_kind {
	JT_DIRECTOR_PACKET,
	JT_DIRECTOR_ROUTING,	/* a newer routing configuration */
	JT_DIRECTOR_ENDPOINT,	/* discovery's entry of an endpoint */
	JT_DIRECTOR_GONE,	/* discovery has no such entry any more */
	JT_DIRECTOR_UNREADABLE, /* discovery's entry of it can't be read */
	JT_DIRECTOR_LISTING,	/* all that discovery has will be told */
	/* Some endpoints and all drains of zones were told, more will be. */
	JT_DIRECTOR_PARTLY_TOLD,
	JT_DIRECTOR_LISTED, /* all that discovery had at a revision is told */
	JT_DIRECTOR_CAUGHT_UP, /* all changes up to a revision are told */
	JT_DIRECTOR_INFORMED,  /* a peer told all it knows at a revision */
	/* All endpoints of some slices were told that a peer had at a
	 * revision. */
	JT_DIRECTOR_SLICES_TOLD,
	JT_DIRECTOR_NEWS, /* entries that changed up to a revision were told */
	JT_DIRECTOR_SUSPICION, /* a peer has found the endpoint dead */
	JT_DIRECTOR_OVERDUE,   /* a peer gets no answers from the endpoint */
	JT_DIRECTOR_FAILURES_TOLD, /* a peer tells of failed requests */
	JT_DIRECTOR_IDENTIFIED,	   /* who answers at an endpoint's address */
	JT_DIRECTOR_PROBED,	   /* the outcome of a probe */
	JT_DIRECTOR_LOADS,	   /* a peer's share of the endpoints' flows */
	JT_DIRECTOR_ZONE_DRAINS,   /* drains of zones that began or ended */
	JT_DIRECTOR_FLOW_TOLD,	   /* a peer's answer on a flow */
	JT_DIRECTOR_TICK,
};

struct jt_director_event {
	enum jt_director_event_kind kind;
	uint64_t now_ms;
	union {
		struct jt_label_packet packet;
		/* Taken over by reference: see jt_director_handle(). */
		const struct jt_routing *routing;
		struct jt_endpoint_entry endpoint;
		struct {
			uint64_t id;
			uint64_t revision;
		} gone; /* and unreadable */
		struct {
			uint64_t revision;
			/* Informed: the peer may lack entries for so long yet,
			 * 0: it knows all. */
			uint32_t learning_ms;
			/* Informed: in what the peer knows. */
			struct jt_list_gap gap;
			/* The same: before it the peer may lack changes. */
			uint64_t forgotten;
		} listed; /* and caught up, informed */
		struct {
			uint32_t first; /* slice */
			uint32_t end;	/* the one after the last */
			uint64_t revision;
			const uint64_t *ids; /* that were told, sorted */
			size_t count;
		} slices;
		struct {
			uint64_t since; /* all entries changed after it */
			uint64_t revision;
			uint64_t routing_version; /* in force at the teller */
			struct jt_list_gap gap;	  /* in what it knows */
		} news;
		struct {
			uint64_t id;
			uint64_t born_ms; /* of the incarnation it is about */
		} suspicion;		  /* and overdue */
		struct {
			uint64_t id;
			uint64_t born_ms; /* of the one that was probed */
			enum jt_probe_outcome outcome;
		} probed;
		struct {
			uint64_t id; /* that was asked for */
			uint64_t born_ms;
			uint64_t found; /* 0: nobody said */
		} identified;
		struct {
			uint64_t peer;
			const struct jt_endpoint_load *loads;
			size_t count;
		} loads;
		struct {
			const struct jt_endpoint_failure *items;
			size_t count;
		} failures;
		struct {
			const struct jt_zone_drain *drains;
			size_t count;
			/* All drains as of @revision: others have ended. */
			bool complete;
			uint64_t revision;
		} zones;
		struct {
			struct jt_flow_key key;
			uint32_t sequence; /* of its first packet */
			/* Of its endpoint; 0: the peer does not know it. */
			uint32_t label;
		} flow_told;
		struct {
			uint64_t nodes;	       /* known to live, this one too */
			uint64_t node_id;      /* of this node */
			const uint64_t *peers; /* other nodes known to live */
			size_t peer_count;
			uint64_t store_age_ms; /* all it had then is known */
		} tick;
	} u;
};

enum jt_director_action_kind {
	JT_DIRECTOR_FORWARD,  /* the packet in hand, to an endpoint */
	JT_DIRECTOR_RESET,    /* tell the caller that its flow is over */
	JT_DIRECTOR_DROP,     /* the packet in hand */
	JT_DIRECTOR_HOLD,     /* offer the packet again when more is known */
	JT_DIRECTOR_PROBE,    /* open a connection to an endpoint */
	JT_DIRECTOR_IDENTIFY, /* ask who answers at an endpoint's address */
	JT_DIRECTOR_VERDICT,  /* an endpoint is dead: tell peers */
	JT_DIRECTOR_FAILING, /* an endpoint's answers are overdue: tell peers */
	JT_DIRECTOR_FAILURES, /* tell peers what jt_director_failures() says */
	JT_DIRECTOR_SHARE_REDUCED,  /* an endpoint gets few new flows */
	JT_DIRECTOR_SHARE_RESTORED, /* or its whole part again */
	JT_DIRECTOR_REVIVED,	    /* a dead endpoint lives */
	JT_DIRECTOR_RESTARTED,	    /* an endpoint started again under its id */
	JT_DIRECTOR_SEEN,	    /* an endpoint's state changed */
	JT_DIRECTOR_ZONE_DRAINED,   /* a drain of a zone began */
	JT_DIRECTOR_ZONE_RESTORED,  /* and ended */
	JT_DIRECTOR_SERVICE_FULL,   /* new flows of a service are limited */
	JT_DIRECTOR_SERVICE_FREE,   /* and no more */
	JT_DIRECTOR_FLOW_ASK,	    /* ask peers for the flow of the packet */
};

enum jt_director_reason {
	JT_DIRECTOR_PLACED,	   /* a new flow got its endpoint */
	JT_DIRECTOR_PLACED_AGAIN,  /* its first endpoint has died */
	JT_DIRECTOR_LABELLED,	   /* the label names the endpoint */
	JT_DIRECTOR_REMEMBERED,	   /* this node placed the flow before */
	JT_DIRECTOR_NO_ROUTE,	   /* no route has this address */
	JT_DIRECTOR_NO_ENDPOINT,   /* no endpoint may take the flow */
	JT_DIRECTOR_ENDPOINT_DEAD, /* the flow's endpoint is dead */
	JT_DIRECTOR_UNKNOWN_LABEL, /* no endpoint known by that label */
	JT_DIRECTOR_NO_LABEL,	   /* not a first packet, and no label */
	JT_DIRECTOR_FORGED,	   /* only endpoints send such packets */
	JT_DIRECTOR_NO_CAPACITY,   /* all endpoints are full */
	JT_DIRECTOR_NOT_STARTED,   /* routing or endpoints not yet known */
	JT_DIRECTOR_NO_ZONE,	   /* the zones of all endpoints are drained */
	JT_DIRECTOR_COLD,	   /* what is left is cold and got its share */
	JT_DIRECTOR_LEARNING,	   /* endpoints are still coming to be known */
	JT_DIRECTOR_UNPROVEN,	 /* the dead endpoint may have started again */
	JT_DIRECTOR_OVERLOADED,	 /* its service has no room for it */
	JT_DIRECTOR_PEERS_ASKED, /* a peer may have placed it before */
	JT_DIRECTOR_REASONS,
};

/* What decides whether a service has room for a new flow. */
struct jt_director_room {
	const char *route; /* good until the next event; NULL: about none */
	uint32_t priority; /* of the route */
	uint32_t limit;	   /* requests in flight that it may have here */
	uint32_t in_flight;
	uint32_t delay_ms;   /* in which a quarter of the answers come */
	uint32_t allowed_ms; /* that the limit is steered to */
};

struct jt_director_action {
	enum jt_director_action_kind kind;
	enum jt_director_reason reason;
	struct jt_flow_key key; /* forward, reset, drop, hold, ask */
	uint64_t endpoint_id;
	uint64_t born_ms; /* of the endpoint's incarnation */
	uint32_t label;
	struct jt_address address; /* of the endpoint */
	uint32_t reset_sequence;
	uint32_t first_sequence; /* ask: of the flow's first packet */
	enum jt_incarnation_state state;
	enum jt_death_cause cause;
	uint64_t revision;   /* of the endpoint's entry */
	uint64_t age_ms;     /* of the belief that decided */
	uint64_t version;    /* of the routing that decided */
	uint32_t service_id; /* of the endpoint */
	bool peers_know;     /* of the verdict: a peer has told it to all */
	/* Of a share that was reduced or restored, in thousandths: the share,
	 * requests that failed and were served lately, and the failing part
	 * of the better endpoints of its service. */
	uint32_t share_permille;
	uint32_t failed_permille;
	uint32_t served_permille;
	uint32_t usual_permille;
	const char *zone; /* drained or restored; good until the next event */
	struct jt_director_room room; /* overloaded; service full or free */
};

/* A growing list of actions; clear it between events. */
struct jt_director_actions {
	struct jt_director_action *items;
	size_t count;
	size_t capacity;
};

/* Faults that tests put into the mechanism, to prove the proofs. */
enum jt_director_break {
	JT_DIRECTOR_BREAK_NONE = 0,
	JT_DIRECTOR_BREAK_GUESS_DEATH = 1 << 0,	 /* silence is proof */
	JT_DIRECTOR_BREAK_NO_DETECTOR = 1 << 1,	 /* the dead are kept */
	JT_DIRECTOR_BREAK_VERSION = 1 << 2,	 /* older routing is taken */
	JT_DIRECTOR_BREAK_PLACE_COPIES = 1 << 3, /* SYN copies placed anew */
	JT_DIRECTOR_BREAK_DRAINING = 1 << 4,	 /* leaving ones get flows */
	JT_DIRECTOR_BREAK_FORGET_GONE = 1 << 5,	 /* no entry, no endpoint */
	JT_DIRECTOR_BREAK_STALE_ENTRY = 1 << 6,	 /* older entries are taken */
	JT_DIRECTOR_BREAK_ZONE_DRAIN = 1 << 7,	 /* drains change nothing */
	JT_DIRECTOR_BREAK_COLD = 1 << 8,	 /* cold ones get any number */
	JT_DIRECTOR_BREAK_BIRTH = 1 << 9,	 /* births tell nothing */
	JT_DIRECTOR_BREAK_REFUSE_PLACED = 1 << 10, /* placed flows as well */
	/* Flows end where new ones are kept away. */
	JT_DIRECTOR_BREAK_END_FAILING = 1 << 11,
};

/* Limits and times; jt_director_options_init() gives the defaults. */
struct jt_director_options {
	uint32_t zone_id;
	size_t flow_limit;	    /* flows remembered */
	size_t endpoint_limit;	    /* incarnations known at once */
	uint64_t flow_age_limit_ms; /* no flow lives longer */
	uint32_t lapsed_grace_ms;   /* last resort after an entry went */
	/* The same for one that went while the store was away: a live endpoint
	 * is back by then. */
	uint32_t returned_grace_ms;
	uint32_t store_away_ms;	 /* knowledge that old: the store is away */
	uint32_t probe_pause_ms; /* between probes of one endpoint */
	uint32_t dead_probe_pause_ms;
	/* A cold endpoint may get what it bears times this much, in
	 * thousandths, and so many new flows a second more. */
	uint32_t cold_overshoot_permille;
	uint32_t cold_slack;
	/* Each priority of a full service gets at least this part of what it
	 * does, in thousandths. */
	uint32_t admission_floor_permille;
	uint64_t seed;		  /* breaks ties between equals */
	unsigned break_mechanism; /* enum jt_director_break, tests only */
	uint32_t without;	  /* mechanisms that are off, for experiments */
};

struct jt_director_counters {
	uint64_t by_reason[JT_DIRECTOR_REASONS];
	uint64_t probes;
	uint64_t probes_void; /* that said nothing, for a lack of this node's */
	uint64_t identifications;
	uint64_t deaths[JT_DEATH_CAUSES];
	uint64_t revived;
	uint64_t restarted;  /* endpoints, under the ids that they had */
	uint64_t unreadable; /* entries that were well before */
	uint64_t suspicions;
	uint64_t routing_refused; /* versions not above the one in force */
	uint64_t entries_refused; /* older than what is known, or no room */
	uint64_t resent;	  /* packets that were sent again */
	uint64_t overdue;	  /* requests whose answers were overdue */
	uint64_t short_answers;	  /* that were taken for failures */
	uint64_t failures_told;	  /* endpoints in reports to peers */
	uint64_t failures_heard;  /* and in theirs */
	uint64_t shares_reduced;
	uint64_t placed_far; /* new flows that went to another zone */
	/* Copies of first packets whose flows were sought at peers, and which
	 * of them a peer had placed. */
	uint64_t flows_sought;
	uint64_t flows_found;
};

struct jt_director;

#endif
