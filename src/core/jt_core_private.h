/*
 * Internal state of the decision library, shared by its modules only.
 *
 * jt_core.c       event dispatch, configurations, accessors for drivers
 * jt_forward.c    forwarding of a packet: default endpoint, owner or relay
 * jt_owner.c      packets of the buckets that this node owns
 * jt_placement.c  admission control and endpoint selection
 * jt_records.c    flow records: expiry, replication, change of owners
 * jt_channel.c    ordered delivery of records to each peer
 * jt_members.c    heartbeats, lease, failure detection, joining
 * jt_agree.c      agreement on the next cell state (single-decree Paxos)
 * jt_activate.c   barrier and handover between two cell states
 * jt_coordinate.c computes the proposal for the next cell state
 * jt_counts.c     open flows by endpoint and share, health reports
 */
#ifndef JT_CORE_PRIVATE_H
#define JT_CORE_PRIVATE_H

#include "jaspertrack/cell.h"
#include "jaspertrack/core.h"
#include "jt_flow_table.h"

enum {
	/* Bandwidth budgets of control traffic, bytes per second and node. */
	JT_HEARTBEAT_BUDGET = 1900,
	JT_COUNTS_BUDGET = 1500,
	JT_PROBE_BUDGET = 1000,
	/* Message sizes in bytes, headers included. */
	JT_HEARTBEAT_BYTES = 136,
	JT_COUNTS_BYTES = 130,
	JT_PROBE_BYTES = 260,
	JT_CONFIG_CACHE = 8,	/* cached configurations */
	JT_MAX_HOPS = 3,	/* relays of a packet */
	JT_RETRANSMIT_MS = 100, /* agreement and record messages */
	JT_RETRANSMIT_MAX_MS = 2000,
	JT_HOLD_MS =
		300, /* longest time that a packet is held for the replica */
	JT_BALLOT_TIMEOUT_MS = 1000,  /* timeout of a ballot */
	JT_PROPOSER_BACKOFF_MS = 500, /* backoff of a proposer, plus jitter */
	JT_JOIN_MS = 500,	      /* between two join requests */
	JT_WITNESS_DELAY_MS = 200,    /* before the witness is asked to vote */
	JT_WITNESS_INTERVAL_MS = 500, /* between two requests to the witness */
	JT_TAKEOVER_DEFAULTS_MS =
		10000,		  /* preference for defaults after a takeover */
	JT_CHANNEL_WINDOW = 32,	  /* unacknowledged messages to a peer */
	JT_CLEAN_MAX = 128,	  /* buckets declared clean in a message */
	JT_CLEAN_SCAN_MS = 2000,  /* between scans for clean buckets */
	JT_DRAIN_LIMIT_MS = 1500, /* a draining default still gets flows */
	JT_UNASSIGNED_EXPIRY_S = 10, /* lifetime of an unassigned record */
	JT_PENDING_S = 5, /* idle time after which a pending flow is closed */
	JT_RESTART_KEEP_S = 5, /* flows kept when an endpoint restarts */
	JT_SLOT_IDLE_S = 30,   /* idle time before a slot is reclaimed */
	/* How long an endpoint must report fewer flows than are counted. */
	JT_INHERITED_OVERCOUNT_MS = 60000,
	JT_SLOT_OVERCOUNT_MS = 10000,
	JT_CLOSED_EXPIRY_S = 60,  /* lifetime of a closed flow's record */
	JT_HEALTH_DOWN_MS = 2000, /* failing for longer: the endpoint is down */
	JT_HEALTH_VALID_MS = 6000, /* minimum validity of a health report */
};

/* A records message that the peer has not acknowledged. */
struct jt_records_outgoing {
	struct jt_records_outgoing *next;
	uint32_t sequence;
	uint64_t sent_ms; /* 0: not sent yet */
	bool handover;
	uint32_t count;
	jt_wire_record records[JT_MAX_RECORDS];
};

/* Open flows of an endpoint, or of a group at a service. */
struct jt_open_count {
	uint32_t id;	   /* endpoint or service */
	uint32_t group_id; /* 0 for an endpoint */
	uint32_t count;
};

/* A member, former member or joiner, as known to this node. */
struct jt_core_peer {
	struct jt_core_peer *next;
	struct jt_member member;
	uint64_t last_heartbeat_ms;
	/* Epochs that the peer reported: agreed, accepted, records transferred,
	 * active. */
	uint64_t epoch;
	uint64_t accepted_epoch;
	uint64_t transferred_epoch;
	uint64_t activated_epoch;
	uint64_t config_revision;
	uint32_t echo_ms;  /* the peer's send time, echoed to it */
	uint64_t grant_ms; /* when the last lease grant was requested */
	bool leaving;
	uint64_t *suspects;
	size_t suspect_count;
	/* Channel of records to and from the peer. */
	struct jt_records_outgoing *queue;
	uint64_t retransmit_ms; /* current retransmission timeout */
	uint32_t next_sequence;
	uint32_t expected_sequence;
	/* Open flows of the buckets it owns, as last reported. */
	struct jt_open_count *endpoint_counts;
	size_t endpoint_count;
	struct jt_open_count *share_counts;
	size_t share_count;
};

/* Health and open flows of an endpoint, as known to this node. */
struct jt_endpoint_view {
	uint32_t id;
	uint32_t own_open; /* open flows of the buckets this node owns */
	/* This node's part of the flows counted by crashed owners; negative if
	 * it took over more records than its part. */
	int32_t inherited;
	uint32_t peers_open; /* open flows last reported by the other members */
	uint32_t load;	     /* last load that the endpoint reported */
	unsigned flags;	     /* JT_REPORT_* of the newest report */
	uint64_t report_ms;
	uint64_t ok_ms;	      /* last successful probe */
	uint64_t fail_ms;     /* last failed probe */
	uint64_t up_since_ms; /* start of the slow start; 0: none */
	uint64_t emptied_ms;  /* since when it is empty or quarantined */
	uint64_t shed_until_ms;
	uint64_t overcounted_since_ms; /* since when more is counted than
					  reported */
	uint64_t draining_since_ms;    /* since when it drains; 0: it doesn't */
	uint8_t incarnation;
	bool undesired; /* removed or drained by the newest configuration */
	bool restarted; /* a new incarnation answers; its flows are lost */
	bool was_down;
	bool own_report; /* probed by this node since its last counts message */
};

/* Open flows of a group at a service, counted as for an endpoint. */
struct jt_share_view {
	uint32_t service_id;
	uint32_t group_id;
	uint32_t own;
	int32_t inherited;
	uint32_t peers;
};

/* A held first packet whose record is being replicated. */
struct jt_pending_packet {
	struct jt_pending_packet *next;
	struct jt_flow_key key;
	uint64_t token;
	uint64_t since_ms;
	uint64_t peer_id;  /* the replica */
	uint32_t sequence; /* of the records message to be acknowledged */
};

/* A Paxos ballot number, ordered by round, then by node id. */
struct jt_ballot {
	uint32_t round;
	uint64_t node;
};

enum jt_phase { JT_PHASE_IDLE, JT_PHASE_PREPARE, JT_PHASE_ACCEPT };

struct jt_proposer {
	enum jt_phase phase;
	struct jt_ballot ballot;
	uint64_t started_ms;
	uint64_t sent_ms;
	jt_wire_proposal *proposal;
	struct jt_ballot adopted; /* ballot of the adopted proposal */
	uint8_t *answered;	  /* a flag for each current member */
	bool witness_answered;
	uint64_t witness_requested_ms;
};

/* Ownership changes and clean declarations for the buckets of a service. */
struct jt_bucket_mark {
	uint32_t service_id;
	uint8_t declared_clean[JT_BUCKET_BITMAP]; /* declared clean this epoch
						   */
	uint64_t taken_over_ms[JT_BUCKETS]; /* taken from a crashed owner */
};

struct jt_core {
	struct jt_core_options options;
	uint64_t now_ms;
	const struct jt_config *configs[JT_CONFIG_CACHE];
	const struct jt_config *newest;
	uint64_t fetch_ms; /* last request for a configuration */

	/* Cell states: the one served until the barrier, the agreed one, and
	 * the accepted one. */
	struct jt_cell_state *previous;
	struct jt_cell_state *current;
	struct jt_cell_state *accepted_state;
	bool activated;
	bool epochs_skipped; /* the current state isn't the successor of the one
				before it */
	uint64_t committed_ms;
	uint64_t transfer_target; /* epoch for which records are transferred */
	uint64_t transferred_epoch;
	uint64_t revision_active_on_all;

	/* Paxos acceptor and proposer for the next epoch. */
	struct jt_ballot promised;
	struct jt_ballot accepted_ballot;
	jt_wire_proposal *accepted;
	uint64_t accepted_ms;
	uint32_t highest_round;
	struct jt_proposer proposer;
	uint64_t propose_after_ms;

	struct jt_core_peer *peers;
	struct jt_member *joiners;
	uint64_t *joiner_ms;
	size_t joiner_count;
	struct jt_address *candidates;
	size_t candidate_count;
	size_t candidate_next;
	uint64_t heartbeat_due_ms;
	uint64_t counts_due_ms;
	uint64_t join_due_ms;
	uint64_t state_request_ms;
	uint64_t lease_until_ms;
	bool lease_held;
	bool leaving;
	bool left;

	struct jt_flow_table *flows;
	size_t expire_cursor;
	struct jt_pending_packet *held;
	struct jt_endpoint_view *endpoints;
	size_t endpoint_count;
	struct jt_share_view *shares;
	size_t share_count;
	struct jt_bucket_mark *marks;
	size_t mark_count;
	uint64_t clean_due_ms;
	jt_wire_bucket *clean; /* declared by this node in this epoch */
	size_t clean_count;
	jt_wire_bucket *clean_received; /* declared by other members */
	size_t clean_received_count;

	struct jt_core_counters counters;
};

/* jt_core.c */
/* Appends a zeroed action; the pointer is valid until the next one. */
struct jt_action *jt_core_add_action(struct jt_actions *actions,
				     enum jt_action_kind kind);
void jt_core_drop(struct jt_core *core, struct jt_actions *actions,
		  uint64_t token, enum jt_reason reason);
/* Queues a message of @kind for @to; the caller fills in the returned body.
 * If the id of @to is 0, any node at its address accepts the message. */
jt_wire_body *jt_core_send(struct jt_core *core, struct jt_actions *actions,
			   const struct jt_member *to, jt_wire_kind kind);
/* As jt_core_send(), but through another member if @to is not reachable. */
jt_wire_body *jt_core_send_relayed(struct jt_core *core,
				   struct jt_actions *actions,
				   const struct jt_member *to,
				   jt_wire_kind kind);
/* Requests a configuration from a peer, at a limited rate. */
void jt_core_request_config(struct jt_core *core, struct jt_actions *actions,
			    struct jt_address from, uint64_t revision);
void jt_core_publish(struct jt_actions *actions);
/* Returns this node's index in @state, or JT_NO_MEMBER. */
uint16_t jt_core_own_index(const struct jt_core *core,
			   const struct jt_cell_state *state);

/* jt_forward.c */
void jt_forward_packet(struct jt_core *core, const struct jt_packet *packet,
		       struct jt_actions *actions);

/* Returns a member through which the suspected member @id can be reached, or
 * NULL if @id is not suspected or no such member is known. */
const struct jt_member *jt_relay_member(const struct jt_core *core,
					uint64_t id);

/* jt_owner.c */
void jt_owner_packet(struct jt_core *core, const struct jt_packet *packet,
		     const struct jt_address_config *address, uint16_t bucket,
		     struct jt_actions *actions);
/* Releases the packets held for records up to @sequence. */
void jt_owner_acknowledged(struct jt_core *core, struct jt_core_peer *peer,
			   uint32_t sequence, struct jt_actions *actions);
void jt_owner_tick(struct jt_core *core, struct jt_actions *actions);
/* Returns true if this node owns the bucket in all live states. */
bool jt_owner_owns_bucket(const struct jt_core *core, uint32_t service_id,
			  uint16_t bucket);
/* Returns the marks of a service, created if absent. */
struct jt_bucket_mark *jt_owner_bucket_marks(struct jt_core *core,
					     uint32_t service_id);

/* Return true if the bucket is exceptional in any, or in all live states. */
bool jt_bucket_exceptional_any(const struct jt_core *core, uint32_t service_id,
			       uint16_t bucket);
bool jt_bucket_exceptional_all(const struct jt_core *core, uint32_t service_id,
			       uint16_t bucket);
/* Stores the live states in @states (at most 3), those that some member may
 * use: the agreed one, then the accepted one and the one served until the
 * barrier, if any. Returns their number. */
size_t jt_live_states(const struct jt_core *core,
		      const struct jt_cell_state **states);

uint32_t jt_service_id(const struct jt_core *core,
		       const struct jt_address_config *address);
/* Returns true if the service's flows take request slots; each has a record. */
bool jt_service_counts_slots(const struct jt_core *core,
			     const struct jt_address_config *address);
/* Marks the flow as closed, removes it from the counts and informs the
 * replica. */
void jt_owner_close_flow(struct jt_core *core, struct jt_flow *flow,
			 uint32_t service_id);

/* jt_placement.c */
/* Selects the endpoint of a new flow. Returns false, and sets @reason, if the
 * flow is not admitted. */
bool jt_place_select_endpoint(struct jt_core *core,
			      const struct jt_address_config *address,
			      uint16_t bucket, uint32_t *endpoint_id,
			      enum jt_reason *reason);
/* Records since when each endpoint of @state has been draining or worse. */
void jt_place_record_draining(struct jt_core *core,
			      const struct jt_cell_state *state);
/* Marks the endpoints that the newest configuration removes or drains. They
 * receive no new flows even before that configuration is agreed. */
void jt_place_mark_undesired(struct jt_core *core);
/* Returns the worst state of an endpoint among all live states. */
enum jt_endpoint_state jt_place_worst_state(const struct jt_core *core,
					    uint32_t endpoint_id);
/* Returns the usable part of the capacity during slow start, in thousandths. */
uint64_t jt_place_slow_start_permille(const struct jt_core *core,
				      uint32_t endpoint_id);
/* Returns true if the endpoint has capacity for another flow. */
bool jt_place_has_capacity(const struct jt_core *core, uint32_t endpoint_id);

/* jt_records.c */
/* Returns the table of the record's service, or NULL if it isn't configured. */
const struct jt_table *jt_records_table(const struct jt_cell_state *state,
					const struct jt_flow *flow);
/* Stores a record that a peer sent. */
void jt_records_store(struct jt_core *core, const jt_wire_record *record);
/* Rebuilds this node's counts for the owners of the current state. */
void jt_records_recount(struct jt_core *core,
			const struct jt_cell_state *before);
/* Declares sticky buckets clean that no record refers to any more. */
void jt_records_declare_empty_buckets(struct jt_core *core);
/* Checks the next part of the table and removes expired records. */
void jt_records_expire(struct jt_core *core);

/* jt_channel.c */
void jt_flow_to_wire(const struct jt_core *core, const struct jt_flow *flow,
		     jt_wire_record *record);
/* Queues a record for @peer. Returns the message's sequence number. */
uint32_t jt_channel_add(struct jt_core *core, struct jt_core_peer *peer,
			const jt_wire_record *record, bool handover);
/* Sends queued messages, and those that are due for retransmission. */
void jt_channel_flush(struct jt_core *core, struct jt_core_peer *peer,
		      struct jt_actions *actions);
void jt_channel_records(struct jt_core *core, struct jt_core_peer *peer,
			const jt_wire_records *message,
			struct jt_actions *actions);
void jt_channel_ack(struct jt_core *core, struct jt_core_peer *peer,
		    const jt_wire_records_ack *message,
		    struct jt_actions *actions);

/* jt_members.c */
struct jt_core_peer *jt_peer_find(const struct jt_core *core, uint64_t id);
/* Returns the peer, created if absent; NULL if out of memory. */
struct jt_core_peer *jt_peer_get(struct jt_core *core,
				 const struct jt_member *member);
/* Returns true if @id sent no heartbeat within the suspicion timeout. */
bool jt_peer_is_suspect(const struct jt_core *core, uint64_t id);
/* Returns true if @by suspects @id according to its last heartbeat. */
bool jt_peer_reports_suspect(const struct jt_core *core, uint64_t by,
			     uint64_t id);
void jt_members_tick(struct jt_core *core, struct jt_actions *actions);
void jt_members_heartbeat(struct jt_core *core, uint64_t from,
			  const jt_wire_heartbeat *heartbeat,
			  struct jt_actions *actions);
void jt_members_join(struct jt_core *core, const jt_wire_join *join,
		     struct jt_actions *actions);
/* Adds the members of all live states as peers and removes unused peers. */
void jt_members_update_peers(struct jt_core *core);
/* Returns true if this node and all members that it does not suspect suspect
 * @id. */
bool jt_members_evictable(const struct jt_core *core, uint64_t id);
/* Returns true if this node is the coordinator: the member with the lowest id
 * that is neither suspected nor leaving. */
bool jt_members_coordinator(const struct jt_core *core);
bool jt_lease_valid(const struct jt_core *core);

/* jt_agree.c */
/* Returns the highest epoch that this node has accepted or knows as agreed. */
uint64_t jt_accepted_epoch(const struct jt_core *core);
void jt_agree_tick(struct jt_core *core, struct jt_actions *actions);
/* Starts a ballot for @proposal and takes ownership of it. */
void jt_agree_propose(struct jt_core *core, jt_wire_proposal *proposal,
		      struct jt_actions *actions);
void jt_agree_message(struct jt_core *core, uint64_t from,
		      const jt_wire_body *body, struct jt_actions *actions);
void jt_agree_witness(struct jt_core *core,
		      const struct jt_witness_reply *reply,
		      struct jt_actions *actions);
void jt_agree_reset(struct jt_core *core);

/* jt_activate.c */
/* Sets the accepted state, of which it takes ownership. */
void jt_activate_set_accepted(struct jt_core *core,
			      struct jt_cell_state *state);
/* Makes @state the current one and takes ownership of it. */
void jt_activate_commit(struct jt_core *core, struct jt_cell_state *state,
			struct jt_actions *actions);
void jt_activate_tick(struct jt_core *core, struct jt_actions *actions);
/* Forwards a record that arrived after the handover of its bucket began. */
void jt_activate_forward_record(struct jt_core *core,
				const struct jt_flow *flow);
/* Resets the node to one outside of any cell, with a new node id. */
void jt_activate_reset(struct jt_core *core, struct jt_actions *actions);

/* jt_coordinate.c */
/* Proposes the next cell state if this node is the coordinator. */
void jt_coordinate_tick(struct jt_core *core, struct jt_actions *actions);
/* Creates the proposal for the first state of a new cell. Returns NULL if out
 * of memory. */
jt_wire_proposal *jt_coordinate_first(struct jt_core *core,
				      TALLOC_CTX *mem_ctx);

/* jt_counts.c */
/* Return the view, created if absent; valid until the next one is created. */
struct jt_endpoint_view *jt_endpoint_view(struct jt_core *core, uint32_t id);
struct jt_share_view *jt_share_view(struct jt_core *core, uint32_t service_id,
				    uint32_t group_id);
/* Returns how long a health report is valid, depending on the probe rate. */
uint64_t jt_health_valid_ms(const struct jt_core *core);
/* Adds a flow to this owner's counts and sets JT_FLOW_COUNTED. */
void jt_counts_add_flow(struct jt_core *core, uint32_t service_id,
			struct jt_flow *flow);
/* Removes the flow from the counts if it is counted. */
void jt_counts_remove_flow(struct jt_core *core, uint32_t service_id,
			   struct jt_flow *flow);
/* Records a health report that is @age_ms old. */
void jt_counts_health(struct jt_core *core, const struct jt_health *health,
		      uint64_t age_ms);
void jt_counts_tick(struct jt_core *core, struct jt_actions *actions);
void jt_counts_message(struct jt_core *core, struct jt_core_peer *peer,
		       const jt_wire_counts *counts);
/* Adds this node's part of a crashed owner's counts; @rank is its index among
 * the @survivors. */
void jt_counts_inherit_crashed(struct jt_core *core,
			       const struct jt_core_peer *peer, size_t rank,
			       size_t survivors);
void jt_counts_inherited_closed(struct jt_core *core, uint32_t service_id,
				uint32_t group_id, uint32_t endpoint_id);
void jt_counts_inherited_recounted(struct jt_core *core, uint32_t service_id,
				   const struct jt_flow *flow);
/* Recomputes the sums of the peers' counts. */
void jt_counts_sum_peers(struct jt_core *core);
void jt_counts_clear_peer(struct jt_core_peer *peer);
/* Return the cell's open flows, as known to this node. */
uint32_t jt_counts_endpoint(const struct jt_core *core, uint32_t id);
uint32_t jt_counts_share(const struct jt_core *core, uint32_t service_id,
			 uint32_t group_id);

#endif
