/*
 * Types of the decision library, which turns events into actions.
 *
 * The library uses no clock, socket, thread or global variable. Every event
 * carries the driver's monotonic time in milliseconds.
 */
#ifndef JASPERTRACK_CORE_T_H
#define JASPERTRACK_CORE_T_H

#include "jaspertrack/types-t.h"
#include "jt_proto.h"

#include <talloc.h>

/* Agreed state of an endpoint. */
enum jt_endpoint_state {
	JT_ENDPOINT_UP = 0,
	JT_ENDPOINT_SHEDDING = 1, /* reports overload, or is nearly full */
	JT_ENDPOINT_DRAINING = 2, /* keeps its flows, accepts no new ones */
	JT_ENDPOINT_DOWN = 3,	  /* health checks fail */
	JT_ENDPOINT_REMOVED = 4,  /* not in the configuration, flows remain */
	JT_ENDPOINT_QUARANTINED = 5, /* no flows left, address quarantined */
};

/* Flags of a health report. */
enum {
	JT_REPORT_OK = 1 << 0,
	JT_REPORT_DRAINING = 1 << 1,
	JT_REPORT_SHEDDING = 1 << 2,
	JT_REPORT_COLD = 1 << 3,
};

/* Fault injection: tests disable a protection to check that they detect it. */
enum jt_fault {
	JT_FAULT_NONE = 0,
	JT_FAULT_NO_REPLICA = 1 << 0,	 /* records are not replicated */
	JT_FAULT_NO_BARRIER = 1 << 1,	 /* agreed states are served at once */
	JT_FAULT_NO_LEASE = 1 << 2,	 /* nodes forward without a lease */
	JT_FAULT_NO_STICKY = 1 << 3,	 /* sticky bits are not carried over */
	JT_FAULT_NO_QUARANTINE = 1 << 4, /* addresses are reused immediately */
	JT_FAULT_MOVE_DEFAULTS = 1 << 5, /* a down endpoint loses its buckets */
	JT_FAULT_NO_HANDOVER = 1 << 6,	 /* records are not transferred */
	JT_FAULT_NO_ADMISSION = 1 << 7,	 /* shares and capacity are ignored */
	JT_FAULT_SINGLE_VOTE = 1 << 8,	 /* a single vote commits a state */
};

/* Settings of a node; jt_core_options_init() sets the defaults. */
struct jt_core_options {
	uint64_t node_id; /* unique; a restarted process uses a new one */
	uint32_t zone;	  /* hash of the zone's name */
	struct jt_address address;
	uint32_t heartbeat_ms;	/* minimum interval of heartbeats */
	uint32_t counts_ms;	/* minimum interval of counts messages */
	uint32_t lease_ms;	/* validity of a lease after its grant */
	uint32_t suspect_ms;	/* a peer silent for longer is suspected */
	uint32_t quarantine_ms; /* quarantine of a removed endpoint's address */
	uint32_t flow_idle_s;	/* idle time after which a record is removed */
	uint32_t cold_start_ms; /* slow-start time of an endpoint that is up */
	/* Fraction of an idle group's share that is reserved, thousandths. */
	uint32_t reserve_permille;
	size_t flow_limit;	  /* records of the flow table */
	unsigned injected_faults; /* enum jt_fault, tests only */
};

enum jt_event_kind {
	JT_EVENT_TICK,
	JT_EVENT_PACKET,      /* from a client */
	JT_EVENT_RELAYED,     /* relayed by a peer */
	JT_EVENT_MESSAGE,     /* authenticated and decoded, from a peer */
	JT_EVENT_CONFIG,      /* new validated configuration */
	JT_EVENT_HEALTH,      /* result of a health probe */
	JT_EVENT_CANDIDATES,  /* addresses of possible peers */
	JT_EVENT_CREATE_CELL, /* this node may create the cell */
	JT_EVENT_LEAVE,	      /* planned shutdown */
	JT_EVENT_WITNESS,     /* reply of the store acting as witness */
};

struct jt_packet {
	struct jt_flow_key key;
	uint8_t tcp_flags;
	uint8_t hops;	/* number of relays so far */
	uint64_t token; /* identifies the packet to the driver */
};

struct jt_health {
	uint32_t endpoint_id;
	unsigned flags;	     /* JT_REPORT_* */
	uint32_t load;	     /* connections or slots in use */
	uint8_t incarnation; /* incarnation of the endpoint; 0: not reported */
};

/*
 * Acceptor state kept in the store, which votes as a witness when exactly
 * half of an even number of members answers: the highest promised ballot and
 * the accepted proposal of one epoch. The driver applies a request to the
 * record by compare-and-swap; see jt_witness_apply().
 */
struct jt_witness_record {
	uint64_t epoch; /* 0: no record */
	uint32_t promised_round;
	uint64_t promised_node;
	uint32_t accepted_round;
	uint64_t accepted_node;
	jt_wire_proposal *accepted; /* NULL: none */
};

struct jt_witness_request {
	bool accept; /* true: accept, false: prepare */
	uint64_t epoch;
	uint32_t round;
	uint64_t node;
	const jt_wire_proposal *proposal; /* of an accept request */
};

struct jt_witness_reply {
	struct jt_witness_request request;
	bool granted;
	struct jt_witness_record record; /* after the request was applied */
};

struct jt_event {
	enum jt_event_kind kind;
	uint64_t now_ms;
	union {
		struct jt_packet packet;
		const jt_wire_message *message;
		const struct jt_config *config;
		struct jt_health health;
		struct {
			const struct jt_address *addresses;
			size_t count;
		} candidates;
		uint64_t cell; /* id of the cell to create */
		const struct jt_witness_reply *witness;
	} u;
};

enum jt_action_kind {
	JT_ACTION_FORWARD,	/* send the packet to an endpoint */
	JT_ACTION_RELAY,	/* send the packet to a peer */
	JT_ACTION_REFUSE,	/* reject the flow; it was not started */
	JT_ACTION_DROP,		/* discard the packet */
	JT_ACTION_HOLD,		/* keep the packet for a later action */
	JT_ACTION_SEND,		/* send a message to a peer */
	JT_ACTION_FETCH_CONFIG, /* request a configuration from a peer */
	JT_ACTION_PUBLISH,	/* forwarding tables changed */
	JT_ACTION_LEFT,		/* the planned shutdown is complete */
	JT_ACTION_WITNESS,	/* request the vote of the store */
};

enum jt_reason {
	JT_REASON_NONE,
	JT_REASON_UNKNOWN_DESTINATION,
	JT_REASON_NO_LEASE,
	JT_REASON_OWNERSHIP_CHANGE, /* the bucket's ownership is changing */
	JT_REASON_HOPS,		    /* relayed too often */
	JT_REASON_NO_ENDPOINT,
	JT_REASON_OVER_SHARE,
	JT_REASON_NO_CAPACITY,
	JT_REASON_FLOW_LIMIT,
	JT_REASON_PENDING, /* the record is not replicated yet */
	JT_REASON_COUNT,
};

struct jt_action {
	enum jt_action_kind kind;
	uint64_t token;
	struct jt_address address; /* endpoint or peer */
	uint32_t endpoint_id;
	enum jt_reason reason;
	uint32_t retry_after_ms;
	uint8_t hops;
	uint64_t revision;	  /* of the configuration to fetch */
	jt_wire_message *message; /* owned by the action list */
	struct jt_witness_request witness;
};

/* A list of actions; the driver clears it between events. */
struct jt_actions {
	struct jt_action *items; /* talloc child of the list */
	size_t count;
	size_t capacity;
	TALLOC_CTX *messages; /* parent of every message in the list */
};

/* Event counters since the start of the process. */
struct jt_core_counters {
	uint64_t forwarded;
	uint64_t relayed;
	uint64_t refused;
	uint64_t held;
	uint64_t dropped[JT_REASON_COUNT];
	uint64_t flows_opened;
	uint64_t flows_closed;
	uint64_t records_sent;
	uint64_t records_unreplicated;
	uint64_t epochs;
	uint64_t proposals;
	uint64_t lease_lost;
	uint64_t evictions;
	uint64_t state_resets;
};

struct jt_core;

#endif
