/*
 * Types of the flow-label director: events in, actions out.
 *
 * A director node forwards each packet to the endpoint that the packet's flow
 * label identifies. Both ends of a flow echo the label in every packet, so any
 * node can forward any packet without shared flow state.
 *
 * The library has no clock, socket, thread or global state. Every event carries
 * the driver's monotonic time in milliseconds.
 */
#ifndef JASPERTRACK_DIRECTOR_T_H
#define JASPERTRACK_DIRECTOR_T_H

#include "jaspertrack/types-t.h"

#include <talloc.h>

enum {
	JT_ROUTE_PART_LIMIT = 16, /* services on one route */
	JT_LOAD_LIMIT = 96,	  /* endpoints in one load report */
	JT_ZONE_DRAIN_LIMIT = 64, /* zones whose drain state is stored */
	JT_FAILURE_LIMIT = 12,	  /* endpoints in one failure report */
};

/* The weight of a service on a route. */
struct jt_route_part {
	uint32_t service_id;
	uint32_t weight;
};

/* A virtual address whose new flows are distributed to services by weight. */
struct jt_route {
	char name[JT_NAME_SIZE];
	struct jt_address address;
	struct jt_route_part parts[JT_ROUTE_PART_LIMIT];
	size_t part_count;
	uint32_t priority;  /* 0 is the highest */
	uint32_t target_ms; /* expected response time; 0: unset */
};

/* The routing parameters of a service. */
struct jt_routed_service {
	uint32_t id;		   /* jt_name_id() of the service name */
	uint32_t connection_limit; /* flows per endpoint */
	/* New flows per second, in thousandths, that a cold endpoint accepts;
	 * 0: unlimited. */
	uint32_t cold_permille;
	/* HTTP path whose response identifies the endpoint */
	char health_path[JT_NAME_SIZE];
};

/* A complete routing configuration; immutable once built. */
struct jt_routing {
	uint64_t version;
	uint64_t revision;	 /* revision of its entry in the store */
	struct jt_route *routes; /* sorted by address */
	size_t route_count;
	struct jt_routed_service *services; /* sorted by id */
	size_t service_count;
	uint32_t flow_idle_ms; /* a flow idle for this long may be evicted */
};

/* The discovery entry of one incarnation of an endpoint. */
struct jt_endpoint_entry {
	uint64_t id; /* never 0; kept when an endpoint restarts */
	/* Start time of the incarnation by the endpoint's own clock, Unix
	 * milliseconds. It distinguishes incarnations but does not order them.
	 * 0: every start has an id of its own. */
	uint64_t start_time_ms;
	uint32_t service_id;
	uint32_t zone_id;
	struct jt_address address;
	uint32_t capacity; /* requests processed concurrently */
	bool draining;
	uint32_t cold_left_ms;	   /* remaining slow-start time */
	uint64_t revision;	   /* revision of the discovery entry */
	uint64_t created_revision; /* revision that created the entry; 0:
				      unknown */
	/* Revision that removed the entry; 0: present. */
	uint64_t removed_revision;
	/* Time since the removal when a peer sent the entry; 0: just removed.
	 */
	uint32_t removed_age_ms;
	/* The entry still exists, but its revision removed_revision can't be
	 * decoded. */
	bool unreadable;
};

/* The administrative drain state of a zone. */
struct jt_zone_drain {
	char zone[JT_NAME_SIZE];
	uint64_t revision; /* revision of the change in the store */
	bool draining;	   /* its endpoints accept no new flows */
};

/* A revision range that was skipped by a full listing: entries created and
 * removed in it were not observed. Both 0: no gap. */
struct jt_listing_gap {
	uint64_t from;
	uint64_t to;
};

/* The load of one node at one endpoint. */
struct jt_endpoint_load {
	uint32_t label;
	uint32_t flows;
	/* Decayed count of recent requests, in thousandths. */
	uint32_t recent_load_permille;
	uint32_t response_ratio; /* encoded by jt_response_ratio_encode() */
};

enum { JT_RECENT_LOAD_UNIT = 1000 }; /* recent_load_permille of one request */

/* Failed and served requests of an endpoint since the last report, in
 * thousandths. */
struct jt_endpoint_failure {
	uint32_t label;
	uint32_t failed_permille;
	uint32_t served_permille;
	uint32_t share_permille; /* traffic share at the sending peer */
};

/* The state of an incarnation as seen by this node. */
enum jt_incarnation_state {
	JT_INCARNATION_READY,
	/* Announced that it leaves: accepts no new flows. */
	JT_INCARNATION_DRAINING,
	JT_INCARNATION_EXPIRED, /* entry removed; may still be serving */
	JT_INCARNATION_DEAD,	/* declared dead: its flows are reset */
};

/* Why an incarnation was declared dead. */
enum jt_death_cause {
	JT_DEATH_NONE,
	JT_DEATH_REFUSED,  /* its address refuses connections */
	JT_DEATH_SILENT,   /* flows and probes got no response */
	JT_DEATH_REPLACED, /* another incarnation uses its address */
	JT_DEATH_CAUSES,
};

/* The outcome of a probe connection to an endpoint. */
enum jt_probe_outcome {
	JT_PROBE_CONNECTED,
	JT_PROBE_REFUSED,
	JT_PROBE_SILENT,
	JT_PROBE_INCONCLUSIVE, /* inconclusive: this node was delayed */
};

/* TCP flags of a packet. */
enum {
	JT_PACKET_SYN = 1 << 0,
	JT_PACKET_ACK = 1 << 1,
	JT_PACKET_FIN = 1 << 2,
	JT_PACKET_RST = 1 << 3,
};

/* A client's packet, decoded. */
struct jt_label_packet {
	struct jt_flow_key key;
	uint8_t flags;
	uint32_t label; /* 0: none */
	uint32_t sequence;
	uint32_t acknowledged;
	uint32_t length;  /* payload bytes */
	uint32_t held_ms; /* time since arrival; 0: just received */
};

enum jt_director_event_kind {
	JT_DIRECTOR_PACKET,
	JT_DIRECTOR_ROUTING,	   /* a new routing configuration */
	JT_DIRECTOR_ENDPOINT,	   /* a discovery entry of an endpoint */
	JT_DIRECTOR_ENTRY_REMOVED, /* a discovery entry was removed */
	JT_DIRECTOR_UNREADABLE,	   /* a discovery entry can't be decoded */
	JT_DIRECTOR_LISTING,	   /* a full listing of discovery begins */
	/* Some endpoints and all zone drains were received; the rest
	 * follows. */
	JT_DIRECTOR_PARTIAL_STATE,
	JT_DIRECTOR_LISTED, /* the full listing is complete as of a revision */
	JT_DIRECTOR_CAUGHT_UP, /* all changes up to a revision were received */
	JT_DIRECTOR_PEER_SNAPSHOT, /* a peer's full state snapshot was received
				    */
	/* All endpoints in some slices of a peer's state snapshot were
	 * received. */
	JT_DIRECTOR_SLICES_RECEIVED,
	JT_DIRECTOR_GOSSIP_UPDATES, /* gossip updates up to a revision were
				       received */
	JT_DIRECTOR_SUSPICION,	    /* a peer declared the endpoint dead */
	/* A peer reports overdue responses of the endpoint. */
	JT_DIRECTOR_OVERDUE,
	JT_DIRECTOR_FAILURE_REPORT, /* a peer's failure report */
	JT_DIRECTOR_IDENTIFIED,	    /* which endpoint responds at an address */
	JT_DIRECTOR_PROBED,	    /* the outcome of a probe */
	JT_DIRECTOR_LOADS,	    /* a peer's load report */
	JT_DIRECTOR_ZONE_DRAINS,    /* zone drains that began or ended */
	JT_DIRECTOR_FLOW_LOOKUP_RESPONSE, /* a peer's response to a flow lookup
					   */
	JT_DIRECTOR_TICK,
};

struct jt_director_event {
	enum jt_director_event_kind kind;
	uint64_t now_ms;
	union {
		struct jt_label_packet packet;
		/* The director takes ownership if it accepts the routing; see
		 * jt_director_handle(). */
		const struct jt_routing *routing;
		struct jt_endpoint_entry endpoint;
		struct {
			uint64_t id;
			uint64_t revision;
		} removed; /* also JT_DIRECTOR_UNREADABLE */
		struct {
			uint64_t revision;
			/* JT_DIRECTOR_PEER_SNAPSHOT: remaining initial
			 * synchronisation time of the peer; 0: complete. */
			uint32_t initial_sync_ms;
			/* JT_DIRECTOR_PEER_SNAPSHOT: listing gap in the peer's
			 * state. */
			struct jt_listing_gap gap;
			/* JT_DIRECTOR_PEER_SNAPSHOT: the peer may lack changes
			 * before this revision. */
			uint64_t incomplete_before;
		} listed; /* also JT_DIRECTOR_CAUGHT_UP,
			     JT_DIRECTOR_PEER_SNAPSHOT */
		struct {
			uint32_t first; /* first slice */
			uint32_t end;	/* one past the last slice */
			uint64_t revision;
			/* Ids of the received endpoints, sorted. */
			const uint64_t *ids;
			size_t count;
		} slices;
		struct {
			/* Covers all entries changed after it. */
			uint64_t since;
			uint64_t revision;
			/* In force at the sending peer. */
			uint64_t routing_version;
			/* Listing gap in the peer's state. */
			struct jt_listing_gap gap;
		} updates;
		struct {
			uint64_t id;
			/* Of the reported incarnation. */
			uint64_t start_time_ms;
		} suspicion; /* also JT_DIRECTOR_OVERDUE */
		struct {
			uint64_t id;
			uint64_t start_time_ms; /* of the probed incarnation */
			enum jt_probe_outcome outcome;
		} probed;
		struct {
			uint64_t id; /* the requested endpoint */
			uint64_t start_time_ms;
			/* Id of the endpoint that responded; 0: none. */
			uint64_t found;
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
			/* @drains holds all drains as of @revision; any other
			 * drain has ended. */
			bool complete;
			uint64_t revision;
		} zones;
		struct {
			struct jt_flow_key key;
			uint32_t sequence; /* of the flow's SYN */
			/* Label of the flow's endpoint; 0: the peer does not
			 * know the flow. */
			uint32_t label;
		} flow_lookup_response;
		struct {
			uint64_t nodes;	  /* live nodes, including this one */
			uint64_t node_id; /* id of this node */
			const uint64_t *peers; /* other live nodes */
			size_t peer_count;
			/* Age of the newest complete state of the store. */
			uint64_t store_age_ms;
		} tick;
	} u;
};

enum jt_director_action_kind {
	JT_DIRECTOR_FORWARD,  /* forward the current packet to an endpoint */
	JT_DIRECTOR_RESET,    /* send a reset for the flow to the client */
	JT_DIRECTOR_DROP,     /* drop the current packet */
	JT_DIRECTOR_HOLD,     /* queue the current packet and retry it later */
	JT_DIRECTOR_PROBE,    /* open a connection to an endpoint */
	JT_DIRECTOR_IDENTIFY, /* query which endpoint responds at an address */
	/* An endpoint was declared dead: report to peers. */
	JT_DIRECTOR_DEATH_REPORT,
	/* Responses of an endpoint are overdue: report to peers. */
	JT_DIRECTOR_OVERDUE_REPORT,
	JT_DIRECTOR_FAILURES,	   /* send jt_director_failures() to peers */
	JT_DIRECTOR_SHARE_REDUCED, /* an endpoint's traffic share was reduced */
	/* An endpoint's full traffic share was restored. */
	JT_DIRECTOR_SHARE_RESTORED,
	JT_DIRECTOR_REVIVED,	   /* an endpoint declared dead is alive */
	JT_DIRECTOR_RESTARTED,	   /* an endpoint restarted under the same id */
	JT_DIRECTOR_STATE_CHANGED, /* an endpoint's state changed */
	JT_DIRECTOR_ZONE_DRAINED,  /* a zone drain began */
	JT_DIRECTOR_ZONE_RESTORED, /* a zone drain ended */
	JT_DIRECTOR_SERVICE_FULL,  /* admission control limits a service */
	/* Admission control no longer limits a service. */
	JT_DIRECTOR_SERVICE_FREE,
	JT_DIRECTOR_FLOW_LOOKUP, /* look up the packet's flow at peers */
};

enum jt_director_reason {
	JT_DIRECTOR_PLACED,	   /* a new flow was assigned to an endpoint */
	JT_DIRECTOR_PLACED_AGAIN,  /* reassigned: its first endpoint is dead */
	JT_DIRECTOR_LABELLED,	   /* the label identifies the endpoint */
	JT_DIRECTOR_REMEMBERED,	   /* found in the flow cache */
	JT_DIRECTOR_NO_ROUTE,	   /* no route has this address */
	JT_DIRECTOR_NO_ENDPOINT,   /* no endpoint is eligible */
	JT_DIRECTOR_ENDPOINT_DEAD, /* the flow's endpoint is dead */
	JT_DIRECTOR_UNKNOWN_LABEL, /* no known endpoint has this label */
	JT_DIRECTOR_NO_LABEL,	   /* not a SYN and without a label */
	JT_DIRECTOR_FORGED,	   /* SYN-ACK, which only endpoints send */
	/* All endpoints are at their connection limit. */
	JT_DIRECTOR_NO_CAPACITY,
	JT_DIRECTOR_NOT_STARTED, /* routing or endpoints not yet received */
	JT_DIRECTOR_NO_ZONE,	 /* the zones of all endpoints are drained */
	JT_DIRECTOR_COLD, /* only cold endpoints at their rate limit are left */
	JT_DIRECTOR_INITIAL_SYNC, /* initial synchronisation is not complete */
	JT_DIRECTOR_DEATH_UNCONFIRMED,	 /* the endpoint may have restarted */
	JT_DIRECTOR_OVERLOADED,		 /* rejected by admission control */
	JT_DIRECTOR_FLOW_LOOKUP_PENDING, /* waits for a flow lookup at peers */
	/* The SYN is sent again after the route's service has changed. */
	JT_DIRECTOR_ROUTE_CHANGED,
	JT_DIRECTOR_REASONS,
};

/* The state behind an admission decision of a service. */
struct jt_admission_state {
	const char *route; /* valid until the next event; NULL: no route */
	uint32_t priority; /* of the route */
	uint32_t limit;	   /* requests in flight allowed through this node */
	uint32_t in_flight;
	uint32_t delay_ms;   /* first quartile of the response time */
	uint32_t allowed_ms; /* delay that the limit is adjusted to */
};

struct jt_director_action {
	enum jt_director_action_kind kind;
	enum jt_director_reason reason;
	struct jt_flow_key key; /* forward, reset, drop, hold, flow lookup */
	uint64_t endpoint_id;
	uint64_t start_time_ms; /* of the endpoint's incarnation */
	uint32_t label;
	struct jt_address address; /* of the endpoint */
	uint32_t reset_sequence;
	uint32_t first_sequence; /* flow lookup: of the flow's SYN */
	enum jt_incarnation_state state;
	enum jt_death_cause cause;
	uint64_t revision; /* of the endpoint's entry */
	/* Time since the endpoint's entry was received, or was removed. */
	uint64_t age_ms;
	uint64_t version;    /* of the routing in force */
	uint32_t service_id; /* of the endpoint */
	bool peers_know;     /* death report: already sent by a peer */
	/* Share reduced or restored, in thousandths: the traffic share,
	 * recently failed and served requests, and the failure rate of the
	 * better endpoints of the service. */
	uint32_t share_permille;
	uint32_t failed_permille;
	uint32_t served_permille;
	uint32_t reference_permille;
	/* Drained or restored zone; valid until the next event. */
	const char *zone;
	struct jt_admission_state
		admission; /* overloaded; service full or free */
};

/* A growable array of actions; clear it between events. */
struct jt_director_actions {
	struct jt_director_action *items;
	size_t count;
	size_t capacity;
};

/* Fault injection: tests disable a protection to check that they detect it. */
enum jt_director_fault {
	JT_DIRECTOR_FAULT_NONE = 0,
	/* A single failed probe declares an endpoint dead. */
	JT_DIRECTOR_FAULT_DEATH_UNCONFIRMED = 1 << 0,
	JT_DIRECTOR_FAULT_NO_DETECTOR =
		1 << 1,			    /* never declares endpoints dead */
	JT_DIRECTOR_FAULT_VERSION = 1 << 2, /* accepts older routing */
	/* Reassigns retransmitted SYNs. */
	JT_DIRECTOR_FAULT_REASSIGN_RETRANSMITTED = 1 << 3,
	/* Assigns flows to draining endpoints. */
	JT_DIRECTOR_FAULT_DRAINING = 1 << 4,
	JT_DIRECTOR_FAULT_FORGET_REMOVED = 1 << 5, /* forgets removed entries */
	JT_DIRECTOR_FAULT_STALE_ENTRY = 1 << 6,	   /* accepts older entries */
	JT_DIRECTOR_FAULT_ZONE_DRAIN = 1 << 7,	   /* ignores zone drains */
	JT_DIRECTOR_FAULT_COLD = 1 << 8,	   /* no cold rate limit */
	JT_DIRECTOR_FAULT_START_TIME = 1 << 9,	   /* ignores start times */
	/* Rejects assigned flows. */
	JT_DIRECTOR_FAULT_REJECT_ASSIGNED = 1 << 10,
	/* Resets flows at endpoints with a reduced traffic share. */
	JT_DIRECTOR_FAULT_RESET_REDUCED = 1 << 11,
};

/* Limits and durations; jt_director_options_init() sets the defaults. */
struct jt_director_options {
	uint32_t zone_id;
	size_t flow_limit;	    /* cached flows */
	size_t endpoint_limit;	    /* known incarnations */
	uint64_t flow_age_limit_ms; /* maximum lifetime of a flow */
	/* An expired endpoint stays eligible as a fallback for this long. */
	uint32_t expired_grace_ms;
	/* The same for an endpoint that expired during a store outage. */
	uint32_t outage_grace_ms;
	/* The store is unreachable when its state is older. */
	uint32_t store_outage_ms;
	uint32_t probe_pause_ms; /* between probes of one endpoint */
	uint32_t dead_probe_pause_ms;
	/* A cold endpoint gets at most its accepted rate times the overshoot,
	 * in thousandths, plus the slack in new flows per second. */
	uint32_t cold_overshoot_permille;
	uint32_t cold_slack;
	/* Minimum part, in thousandths, of a full service's admitted requests
	 * that each priority gets. */
	uint32_t admission_floor_permille;
	uint64_t seed;		    /* of the pseudo-random generator */
	unsigned injected_faults;   /* enum jt_director_fault; tests only */
	uint32_t disabled_features; /* bit set of features that are off */
};

struct jt_director_counters {
	uint64_t by_reason[JT_DIRECTOR_REASONS];
	uint64_t probes;
	uint64_t probes_inconclusive; /* this node was delayed */
	uint64_t identifications;
	uint64_t deaths[JT_DEATH_CAUSES];
	uint64_t revived;
	uint64_t restarted;  /* endpoints that restarted under the same id */
	uint64_t unreadable; /* entries that can no longer be decoded */
	uint64_t suspicions;
	uint64_t routing_refused; /* versions not above the one in force */
	/* Endpoint entries and zone drains beyond a table limit. */
	uint64_t entries_refused;
	uint64_t resent;	    /* retransmitted packets */
	uint64_t overdue;	    /* requests with overdue responses */
	uint64_t short_responses;   /* short responses counted as failures */
	uint64_t failures_sent;	    /* endpoints in failure reports sent */
	uint64_t failures_received; /* endpoints in failure reports received */
	uint64_t shares_reduced;
	uint64_t placed_cross_zone; /* new flows assigned to another zone */
	/* Retransmitted SYNs looked up at peers, and those that a peer knew. */
	uint64_t flow_lookups;
	uint64_t flows_found;
};

struct jt_director;

#endif
