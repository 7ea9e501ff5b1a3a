/*
 * Types and helpers shared by the files of the simulated cluster. It is
 * single-threaded, and all memory is owned by struct jt_cluster.
 */
#ifndef JT_CLUSTER_PRIVATE_H
#define JT_CLUSTER_PRIVATE_H

#include "jt_cluster.h"

enum {
	TICK_US = 25000,
	NODE_PORT = 6081,
	/* Index in bytes_by_kind of store, machine list and health traffic. */
	PLATFORM = 0,
};

/* A packet held by a node; freed when its outcome has been reported. */
struct waiting_packet {
	struct waiting_packet *next;
	uint64_t token;
	uint64_t packet;
	struct jt_flow_key key;
	uint8_t tcp_flags;
	uint8_t hops;
};

struct backlog_entry {
	struct backlog_entry *next;
	struct datagram *datagram;
};

struct node {
	struct jt_cluster *cluster;
	uint16_t index;
	enum jt_node_state state;
	unsigned zone;
	unsigned cell;
	/* Changes with each start and stop, so that callbacks scheduled for an
	 * earlier process are ignored. */
	uint32_t incarnation;
	uint64_t clock_offset_ms;
	uint64_t started_us;
	bool unready;
	struct jt_core *core;
	struct jt_replay *replays;
	uint64_t *replay_ids;
	size_t replay_count;
	uint64_t sequence;
	uint64_t next_token;
	struct waiting_packet *waiting;
	struct backlog_entry *backlog;
	struct backlog_entry **backlog_tail;
	size_t backlog_count;
	uint64_t candidates_us; /* next read of the machine list */
	uint64_t read_us;	/* next read of the store */
	uint64_t founder_us;	/* next access to the founder record */
	/* Since when the founder record has been unchanged; 0: unknown. */
	uint64_t observed_us;
	uint64_t founder_renewed_us; /* renewal time of the record observed then
				      */
	uint64_t bytes_by_kind[JT_CLUSTER_KINDS];
	uint64_t store_operations;
	uint64_t *probe_due_us; /* by endpoint index in the cell state */
	size_t probe_count;
};

/* A message, relayed packet or configuration in transit between nodes. */
struct datagram {
	struct jt_cluster *cluster;
	uint16_t to;
	uint16_t from;
	bool relay;
	struct waiting_packet packet;	/* if relay is set */
	const struct jt_config *config; /* NULL: not a configuration */
	size_t length;
	uint8_t frame[];
};

struct pending_write {
	struct jt_cluster *cluster;
	const struct jt_config *config;
	void (*on_accepted)(void *object, uint64_t revision);
	void *object;
	uint16_t writer;
	bool took_effect; /* the store has applied it */
};

struct cell {
	struct jt_witness_record witness; /* proposal owned by the cluster */
	uint64_t id;			  /* 0: not founded yet */
	uint64_t renewed_us;
};

struct jt_cluster {
	struct jt_cluster_options options;
	struct jt_scheduler *scheduler;
	uint64_t random_state;
	/* Handles an event for a node; called through node_handle_event(). */
	void (*handle_event)(struct node *node, struct jt_event *event);
	struct node *nodes[JT_CLUSTER_MAX_NODES];
	size_t node_count;
	bool partitioned[JT_CLUSTER_MAX_ZONES][JT_CLUSTER_MAX_ZONES];
	struct jt_keys keys;
	struct jt_actions *actions;
	bool in_event;
	/* The simulated store. */
	bool store_down;
	uint32_t responses_to_drop; /* responses still to be dropped */
	const struct jt_config *stored;
	uint64_t stored_us;
	double store_tokens;
	uint64_t store_refilled_us;
	struct cell cells[JT_CLUSTER_MAX_NODES];
	struct jt_address *listed; /* buffer for a node's machine list */
	uint8_t *frame;		   /* buffer for an encoded message */
};

static inline uint64_t cluster_now_us(const struct jt_cluster *cluster)
{
	return jt_scheduler_now(cluster->scheduler);
}

static inline struct jt_address node_address(uint16_t node)
{
	return (struct jt_address){0x0a640000u + node, NODE_PORT};
}

static inline bool node_running(const struct node *node)
{
	return node != NULL && (node->state == JT_NODE_RUNNING ||
				node->state == JT_NODE_LEAVING);
}

/* Adds to the control traffic of a message kind. */
static inline void node_add_control_bytes(struct node *node, int kind,
					  uint64_t bytes)
{
	node->bytes_by_kind[kind] += bytes;
}

/* Returns the next pseudo-random number of the cluster's generator. */
uint64_t cluster_random64(struct jt_cluster *cluster);

/* Delivers an event from the platform to a node. */
static inline void node_handle_event(struct node *node, struct jt_event *event)
{
	node->cluster->handle_event(node, event);
}

/* Runs the due reads of store, machine list and health pages for a node. */
void platform_tick(struct node *node);
/* Sends a witness request of a node to the store: a read and a
 * compare-and-swap. */
void platform_request_vote(struct node *node,
			   const struct jt_witness_request *request);
/* Returns the approximate encoded size of a configuration in bytes. */
size_t platform_document_bytes(const struct jt_config *config);

#endif
