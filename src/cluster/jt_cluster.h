/*
 * Simulates a cluster of balancer nodes in one process and in virtual time.
 * Nodes run the real decision library and message encoding; the network has
 * latency, loss, reordering and partitions. Used by the emulator, the replay
 * and the fuzzer.
 *
 * Each node's clock starts at a random value, so that code which depends on
 * synchronised clocks fails.
 */
#ifndef JT_CLUSTER_H
#define JT_CLUSTER_H

#include "jaspertrack/core.h"
#include "jt_codec.h"
#include "jt_scheduler.h"

enum {
	JT_CLUSTER_MAX_NODES = 4096,
	JT_CLUSTER_MAX_ZONES = 32,
	JT_NO_NODE = 0xffff,
	JT_CLUSTER_KINDS = 17, /* enum jt_wire_kind, and 0 */
};

enum jt_packet_outcome_kind {
	JT_PACKET_FORWARDED,
	JT_PACKET_REFUSED,
	JT_PACKET_DROPPED,
};

/* Outcome of a packet, reported exactly once per packet. */
struct jt_packet_outcome {
	enum jt_packet_outcome_kind kind;
	uint16_t node;
	uint64_t packet; /* as passed to jt_cluster_packet() */
	struct jt_flow_key key;
	struct jt_address endpoint;
	enum jt_reason reason;
	uint8_t hops;
};

enum jt_node_state {
	JT_NODE_ABSENT,
	JT_NODE_RUNNING,
	JT_NODE_PAUSED,
	JT_NODE_LEAVING,
	JT_NODE_STOPPED, /* crashed or left */
};

struct jt_cluster_options {
	uint64_t seed;
	unsigned zone_count;
	/* One-way latency between and within zones, microseconds. */
	uint32_t zone_to_zone_us[JT_CLUSTER_MAX_ZONES][JT_CLUSTER_MAX_ZONES];
	uint32_t loss_per_million;
	uint32_t reorder_per_million;
	uint32_t duplicate_per_million;
	uint32_t machine_list_lag_us;
	uint32_t store_answer_us;
	uint32_t store_operations_per_s;
	unsigned cell_nodes; /* nodes per cell; 0: a single cell */
	unsigned injected_faults;
	unsigned probe_interval_us;
	uint32_t leave_delay_us; /* from SIGTERM to leaving the cell */
	void (*on_outcome)(void *private_data,
			   const struct jt_packet_outcome *outcome);
	/* Reads an endpoint's health page; returns false if there is no
	 * response. */
	bool (*read_health)(void *private_data, uint32_t endpoint_id,
			    struct jt_health *health);
	void *private_data;
};

struct jt_cluster_node_info {
	enum jt_node_state state;
	unsigned zone;
	unsigned cell;
	bool ready;		/* as reported to the fabric */
	uint64_t revision;	/* active at the node */
	uint64_t control_bytes; /* to peers, store, machine list, health */
	/* The same by enum jt_wire_kind; 0: store, machine list, health. */
	uint64_t bytes_by_kind[JT_CLUSTER_KINDS];
	uint64_t store_operations;
	const struct jt_core_counters *counters;
	size_t flows;
};

struct jt_cluster;

/* Sets the default options. */
void jt_cluster_options_init(struct jt_cluster_options *options);
/* Creates a cluster without nodes; returns NULL if out of memory. */
struct jt_cluster *jt_cluster_create(TALLOC_CTX *mem_ctx,
				     struct jt_scheduler *scheduler,
				     const struct jt_cluster_options *options);

/* Starts a process without any state at index @node; the other calls end it
 * without notice, suspend it and continue it. */
void jt_cluster_start(struct jt_cluster *cluster, uint16_t node, unsigned zone);
void jt_cluster_crash(struct jt_cluster *cluster, uint16_t node);
void jt_cluster_pause(struct jt_cluster *cluster, uint16_t node);
void jt_cluster_resume(struct jt_cluster *cluster, uint16_t node);
/* Shuts a node down as SIGTERM does: it becomes unready at once, leaves the
 * cell after leave_delay_us and then stops. */
void jt_cluster_leave(struct jt_cluster *cluster, uint16_t node);
/* Partitions two zones, or ends their partition. */
void jt_cluster_set_partition(struct jt_cluster *cluster, unsigned zone_a,
			      unsigned zone_b, bool partitioned);

/* Makes the store unreachable or reachable. */
void jt_cluster_set_store_down(struct jt_cluster *cluster, bool down);
void jt_cluster_set_store_latency(struct jt_cluster *cluster,
				  uint32_t answer_us);
/* Drops the responses to the next @count writes that the store applies. */
void jt_cluster_drop_store_responses(struct jt_cluster *cluster,
				     uint32_t count);
void jt_cluster_set_machine_list_lag(struct jt_cluster *cluster,
				     uint32_t lag_us);
/*
 * Writes a configuration through a node's API. @config must outlive the
 * cluster and have a higher revision than any before. @on_accepted runs when
 * the API responds, which may be long after the store applied the write; it
 * may be NULL.
 */
void jt_cluster_configure(struct jt_cluster *cluster,
			  const struct jt_config *config,
			  void (*on_accepted)(void *object, uint64_t revision),
			  void *object);
/* Returns the newest revision in the store and the time of its write in
 * microseconds. */
uint64_t jt_cluster_stored_revision(const struct jt_cluster *cluster,
				    uint64_t *when_us);

/* Delivers a client's packet to a node, as the fabric does. */
void jt_cluster_packet(struct jt_cluster *cluster, uint16_t node,
		       const struct jt_flow_key *key, uint8_t tcp_flags,
		       uint64_t packet);

/* Returns the highest index of a started node plus one. */
size_t jt_cluster_node_count(const struct jt_cluster *cluster);
/* Fills @info; it stays zero if the node was never started. Its counters are
 * valid while the node's process runs. */
void jt_cluster_info(const struct jt_cluster *cluster, uint16_t node,
		     struct jt_cluster_node_info *info);
/* Returns the decision library of a node, owned by the cluster; NULL if it has
 * no process. */
const struct jt_core *jt_cluster_core(const struct jt_cluster *cluster,
				      uint16_t node);
/* Returns the cell that handles the flows of a service. */
unsigned jt_cluster_service_cell(const struct jt_cluster *cluster,
				 uint32_t service_id);
/* Returns a pseudo-random number less than @below, 0 if @below is 0. */
uint32_t jt_cluster_random(struct jt_cluster *cluster, uint32_t below);

#endif
