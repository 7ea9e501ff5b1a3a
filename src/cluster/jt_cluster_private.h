/*
 * What the parts of the hollow cluster share: its nodes and its platform.
 * One thread; everything is a child of struct jt_cluster.
 */
#ifndef JT_CLUSTER_PRIVATE_H
#define JT_CLUSTER_PRIVATE_H

#include "jt_cluster.h"

enum {
	TICK_US = 25000,
	NODE_PORT = 6081,
	PLATFORM = 0, /* kind of bytes to store, lists and pages */
};

/* A packet that waits inside a node; freed when its verdict is told. */
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
	enum jt_node_life life;
	unsigned zone;
	unsigned cell;
	uint32_t incarnation; /* stale callbacks are told by it */
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
	uint64_t candidates_us;
	uint64_t read_us;
	uint64_t founder_us;
	uint64_t observed_us; /* watching the founder's mark since */
	uint64_t mark_us;     /* its renewal as first observed */
	uint64_t bytes_by_kind[JT_CLUSTER_KINDS];
	uint64_t store_operations;
	uint64_t *probe_due_us; /* by position in the configuration */
	size_t probe_count;
};

/* Something on its way between nodes. */
struct datagram {
	struct jt_cluster *cluster;
	uint16_t to;
	uint16_t from;
	bool relay;
	/* A relayed packet, or a fetched configuration. */
	struct waiting_packet packet;
	const struct jt_config *config;
	size_t length;
	uint8_t frame[];
};

struct pending_write {
	struct jt_cluster *cluster;
	const struct jt_config *config;
	void (*on_accepted)(void *object, uint64_t revision);
	void *object;
	uint16_t writer;
	bool took_effect;
};

struct cell {
	struct jt_witness_record witness; /* proposal: child of the cluster */
	uint64_t id;			  /* 0: nobody has founded it */
	uint64_t renewed_us;
};

struct jt_cluster {
	struct jt_cluster_options options;
	struct jt_scheduler *scheduler;
	uint64_t random_state;
	/* What the platform has for a node: see node_tell(). */
	void (*handle_event)(struct node *node, struct jt_event *event);
	struct node *nodes[JT_CLUSTER_NODES];
	size_t node_count;
	bool cut[JT_CLUSTER_ZONES][JT_CLUSTER_ZONES];
	struct jt_keys keys;
	struct jt_actions *actions;
	bool in_event;
	/* The store. */
	bool store_down;
	uint32_t lose_answers;
	const struct jt_config *stored;
	uint64_t stored_us;
	double store_tokens;
	uint64_t store_refilled_us;
	struct cell cells[JT_CLUSTER_NODES];
	struct jt_address *listed;
	uint8_t *frame;
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
	return node != NULL &&
	       (node->life == JT_NODE_RUNNING || node->life == JT_NODE_LEAVING);
}

/* Count control bytes by the kind of message. */
static inline void node_spend(struct node *node, int kind, uint64_t bytes)
{
	node->bytes_by_kind[kind] += bytes;
}

/* The cluster's own random numbers, from its seed. */
uint64_t cluster_random64(struct jt_cluster *cluster);

/* Tell a node of an event, as jt_cluster.c handles it. */
static inline void node_tell(struct node *node, struct jt_event *event)
{
	node->cluster->handle_event(node, event);
}

/* Platform: store, machine list and health pages as one node sees them. */
void platform_tick(struct node *node);
/* The store's vote: a read and a compare-and-swap. */
void platform_ask_witness(struct node *node,
			  const struct jt_witness_request *request);
/* Bytes of a document in the store and on its way to a peer. */
size_t platform_document_bytes(const struct jt_config *config);

#endif
