/*
 * State of the emulated world, shared by its modules:
 *
 * world.c     life cycle, events of the scenario, operators
 * flows.c     callers and their flows
 * endpoints.c back ends
 * baseline.c  the policies that are compared with
 * label.c     placement by flow label
 * oracle.c    what must hold, and the figures
 */
#ifndef WORLD_PRIVATE_H
#define WORLD_PRIVATE_H

#include "world.h"

#include <gsl/gsl_rng.h>

enum {
	SECOND_US = 1000000,
	BOOT_US = 15 * SECOND_US,  /* before the scenario's second 0 */
	QUIET_US = 30 * SECOND_US, /* no new flows before the end */
	FLOW_SEEN = 4,
	HEALTH_SAMPLES = 128, /* of SAMPLE_US each, per endpoint */
	HEALTH_SAMPLE_US = 500000,
	ANSWER_PARTS = 4,
	VIOLATION_LIMIT = 100,
};

struct endpoint {
	uint32_t id; /* of the resource's name */
	char name[JT_NAME_SIZE];
	unsigned service;
	struct jt_address address;
	bool configured;
	bool alive;
	bool draining; /* by the operator */
	bool released; /* moved away; the address has another process */
	uint32_t incarnation;
	uint64_t drain_revision; /* that tells of it, until accepted */
	uint64_t drain_since_us; /* accepted then; 0: not draining */
	uint64_t cold_until_us;
	uint64_t shed_until_us;
	double lie; /* load shown, below 0: the truth */
	unsigned open;
	unsigned slots_used;
	struct flow_ref *queue; /* requests waiting for a slot */
	struct flow_ref **queue_tail;
	struct jt_health history[HEALTH_SAMPLES];
	uint64_t history_count;
	struct jt_health traced; /* the page as last traced */
};

struct flow_ref {
	struct flow_ref *next;
	uint32_t flow;
	uint32_t generation;
};

enum flow_step {
	FLOW_FREE,
	FLOW_CONNECTING,
	FLOW_OPEN,
	FLOW_CLOSING,
	FLOW_DONE,
};

enum packet_kind { PACKET_SYN, PACKET_DATA, PACKET_FIN };

/* An endpoint's memory of one flow. */
struct flow_seen {
	uint32_t endpoint; /* index */
	uint32_t incarnation;
	bool open;
	bool established;
	uint32_t ran; /* highest message that ran here */
};

struct flow {
	struct jt_flow_key key;
	uint32_t index;
	uint32_t generation;
	enum flow_step step;
	unsigned group;
	unsigned demand;
	unsigned service;
	uint64_t end_us;
	uint64_t waiting_us; /* when the unanswered message was first sent */
	uint32_t tries;
	uint32_t timer;	  /* a newer timer makes older ones void */
	uint32_t message; /* number of the last message sent */
	bool awaiting;
	bool answered;
	uint32_t parts; /* bitmap of the answer's parts that came */
	uint32_t parts_acked;
	bool cut;
	uint32_t endpoint; /* where it was established, UINT32_MAX: nowhere */
	uint32_t label_incarnation; /* of that endpoint, then */
	struct flow_seen seen[FLOW_SEEN];
	unsigned seen_count;
};

/* One row for each demand of the scenario. */
struct demand_state {
	unsigned group;
	unsigned index;
	unsigned service;
	double rate;
	unsigned share;
	unsigned open;
	unsigned refused_lately; /* since the last sample */
	uint32_t timer;
};

struct samples {
	double *values;
	size_t count;
	size_t capacity;
};

struct pending_revision {
	uint64_t revision;
	uint64_t accepted_us;
	bool in_force;
};

struct figures {
	uint64_t flows_opened, flows_broken, flows_lost_to_endpoint;
	uint64_t connects_timed_out, misdelivered, two_endpoints;
	uint64_t requests_sent, answered_whole, refused, refused_but_run;
	uint64_t run_twice, unresolved, new_to_leaving, config_reverts;
	uint64_t packets, relayed;
	double config_lag_max_ms;
	double overloaded_seconds;
	double slot_spread_max;
	double control_mean, control_max_minute;
	uint64_t store_operations;
	struct samples imbalance, deficit, config_lags;
};

struct baseline;
struct label_world;

struct world {
	const struct scenario *scenario;
	struct world_options options;
	struct jt_scheduler *scheduler;
	struct jt_cluster *cluster; /* NULL with a baseline */
	struct baseline *baseline;
	struct label_world *label;
	gsl_rng *random;
	struct endpoint **endpoints;
	size_t endpoint_count;
	struct flow **flows;
	size_t flow_count;
	uint32_t *free_flows;
	size_t free_count;
	uint64_t next_key;
	struct demand_state *demands;
	size_t demand_count;
	/* Fabric. */
	uint16_t live[JT_CLUSTER_NODES];
	size_t live_count;
	uint8_t *unready_polls;
	/* Configuration as the operators want it. */
	struct jt_config *config;
	uint64_t revision;
	struct pending_revision *revisions;
	size_t revision_count;
	uint64_t *node_revision; /* highest seen on each node's process */
	/* Control bytes. */
	uint64_t *bytes_at_minute;
	uint64_t *node_bytes;
	double node_seconds;
	uint64_t bytes_total;
	double health_lag_s[SCENARIO_SERVICES];
	struct figures figures;
	json_t *violations;
	size_t violation_count;
	uint64_t load_end_us;
	uint64_t end_us;
};

/* world.c */
uint64_t world_now(const struct world *world);
double world_second(const struct world *world); /* of the scenario */
double world_uniform(struct world *world);
double world_exponential(struct world *world, double mean);
void world_configure(struct world *world);
void world_note(struct world *world, const char *kind, const char *target);

/* flows.c */
void flows_start(struct world *world);
void flows_verdict(void *private_data, const struct jt_verdict *verdict);
void flow_reset(struct world *world, struct flow *flow);
void flow_syn_answered(struct world *world, struct flow *flow,
		       uint32_t endpoint);
void flow_message_answered(struct world *world, struct flow *flow,
			   uint32_t message);
void flow_part_came(struct world *world, struct flow *flow, unsigned part);
void flow_closed(struct world *world, struct flow *flow);
void flows_finish(struct world *world);
void flows_demand_changed(struct world *world, struct demand_state *demand);
uint64_t client_delay(struct world *world);

/* endpoints.c */
struct endpoint *endpoint_add(struct world *world, unsigned service,
			      struct jt_address address);
void endpoints_create(struct world *world);
struct endpoint *endpoint_at(struct world *world, struct jt_address address);
void endpoint_packet(struct world *world, struct endpoint *endpoint,
		     struct flow *flow, enum packet_kind kind,
		     uint32_t message);
void endpoint_crash(struct world *world, struct endpoint *endpoint);
void endpoint_restart(struct world *world, struct endpoint *endpoint);
bool endpoint_health(void *private_data, uint32_t endpoint_id,
		     struct jt_health *health);
void endpoints_sample_health(struct world *world);
void endpoints_trace(struct world *world);
unsigned endpoint_capacity(const struct world *world,
			   const struct endpoint *endpoint);
unsigned endpoint_load(const struct world *world,
		       const struct endpoint *endpoint);
bool endpoint_takes_flows(const struct world *world,
			  const struct endpoint *endpoint);

void fabric_poll(struct world *world);
/* A packet to a balancer picked at random. */
void fabric_send(struct world *world, struct flow *flow, uint8_t tcp_flags,
		 enum packet_kind kind, uint32_t message);

/* baseline.c */
struct baseline *baseline_create(struct world *world);
void baseline_packet(struct world *world, uint16_t node,
		     const struct jt_flow_key *key, uint8_t tcp_flags,
		     uint64_t packet);
void baseline_start(struct world *world, uint16_t node);
void baseline_stop(struct world *world, uint16_t node);
void baseline_pause(struct world *world, uint16_t node, bool paused);
bool baseline_ready(const struct world *world, uint16_t node);
uint64_t baseline_bytes(const struct world *world, uint16_t node);

/* label.c */
void label_create(struct world *world);
void label_packet(struct world *world, uint16_t node,
		  const struct jt_flow_key *key, uint8_t tcp_flags,
		  uint64_t packet);
void label_start(struct world *world, uint16_t node);
void label_stop(struct world *world, uint16_t node);
void label_pause(struct world *world, uint16_t node, bool paused);
bool label_ready(const struct world *world, uint16_t node);
uint64_t label_bytes(const struct world *world, uint16_t node);

/* oracle.c */
__attribute__((format(printf, 3, 4))) void
oracle_violation(struct world *world, const char *property, const char *format,
		 ...);
void oracle_second(struct world *world);
/* Look at revisions in force; more often than once a second. */
void oracle_configuration(struct world *world);
void oracle_accepted(void *object, uint64_t revision);
json_t *oracle_result(struct world *world);
void samples_add(struct samples *samples, TALLOC_CTX *mem_ctx, double value);

#endif
