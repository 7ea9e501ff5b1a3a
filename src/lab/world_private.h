/*
 * State of the emulated world, shared by its modules:
 *
 * world.c     life cycle, scenario events, operators
 * flows.c     clients and their flows
 * endpoints.c endpoints (back ends)
 * baseline.c  baseline policies for comparison
 * label.c     placement by flow label
 * oracle.c    property checks and metrics
 */
#ifndef WORLD_PRIVATE_H
#define WORLD_PRIVATE_H

#include "world.h"

#include <gsl/gsl_rng.h>

enum {
	SECOND_US = 1000000,
	BOOT_US = 15 * SECOND_US,     /* start-up time before scenario time 0 */
	COOLDOWN_US = 30 * SECOND_US, /* at the end, without new flows */
	FLOW_ENDPOINTS_MAX = 4,	      /* endpoints that one flow can reach */
	HEALTH_SAMPLES = 128,	      /* samples kept per endpoint */
	HEALTH_SAMPLE_US = 500000,
	RESPONSE_PARTS = 4,    /* segments of one response */
	VIOLATION_LIMIT = 100, /* violations listed in a result */
};

struct endpoint {
	uint32_t id; /* jt_name_id() of the name */
	char name[JT_NAME_SIZE];
	unsigned service;
	struct jt_address address;
	bool configured;
	bool alive;
	bool draining; /* drained by the operator */
	bool released; /* the address now belongs to another endpoint */
	uint32_t incarnation;
	uint64_t drain_revision; /* pending revision of the drain; 0: none */
	uint64_t drain_since_us; /* when it was accepted; 0: not draining */
	uint64_t cold_until_us;
	uint64_t shed_until_us;
	double load_override; /* reported load; below 0: the actual one */
	unsigned open;	      /* connections, half-open ones included */
	unsigned slots_used;
	struct flow_ref *queue; /* requests waiting for a slot */
	struct flow_ref **queue_tail;
	struct jt_health history[HEALTH_SAMPLES];
	uint64_t history_count;
	struct jt_health traced; /* health page as last written to the trace */
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

/* State that an endpoint keeps for one flow. */
struct endpoint_connection {
	uint32_t endpoint; /* index */
	uint32_t incarnation;
	bool open;
	bool established;
	uint32_t last_message; /* highest message number executed */
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
	uint64_t first_sent_us; /* first transmission of the pending message */
	uint32_t tries;
	uint32_t timer;	  /* number of the last timer; older ones are ignored */
	uint32_t message; /* number of the last message sent */
	bool awaiting_response;
	bool acknowledged;
	uint32_t parts; /* bitmap of the response segments received */
	uint32_t parts_acked;
	bool cut;
	uint32_t endpoint;	    /* index; UINT32_MAX: not established */
	uint32_t label_incarnation; /* the endpoint's when established */
	struct endpoint_connection connections[FLOW_ENDPOINTS_MAX];
	unsigned connection_count;
};

/* State of one demand of the scenario. */
struct demand_state {
	unsigned group;
	unsigned index;
	unsigned service;
	double rate;
	unsigned share;
	unsigned open;
	unsigned refused_since_sample; /* refused flows since the last sample */
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
	bool active;
};

struct metrics {
	uint64_t flows_opened, flows_broken, flows_lost_to_endpoint;
	uint64_t connects_timed_out, misdelivered, at_two_endpoints;
	uint64_t requests_sent, responses_complete, refused,
		refused_after_delivery;
	uint64_t executed_twice, unresolved, new_flows_to_draining,
		config_reverts;
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
	/* Nodes to which the fabric sends packets. */
	uint16_t live[JT_CLUSTER_MAX_NODES];
	size_t live_count;
	uint8_t *unready_polls;
	/* Latest configuration of the operators. */
	struct jt_config *config;
	uint64_t revision;
	struct pending_revision *revisions;
	size_t revision_count;
	uint64_t *node_revision; /* last revision observed on each node */
	/* Control traffic; node_bytes also holds store operations. */
	uint64_t *bytes_at_minute;
	uint64_t *node_bytes;
	double node_seconds;
	uint64_t bytes_total;
	double health_lag_s[SCENARIO_SERVICES];
	struct metrics metrics;
	json_t *violations;
	size_t violation_count;
	uint64_t load_end_us;
	uint64_t end_us;
};

/* world.c */
/* Returns the virtual time in microseconds. */
uint64_t world_now(const struct world *world);
/* Returns the scenario time in seconds; negative during start-up. */
double world_time_s(const struct world *world);
/* Returns a random number in [0, 1). */
double world_uniform(struct world *world);
double world_exponential(struct world *world, double mean);
/* Submits the operators' current configuration as a new revision. */
void world_configure(struct world *world);
/* Writes an event to the timeline, if there is one. */
void world_log_event(struct world *world, const char *kind, const char *target);

/* flows.c */
void flows_start(struct world *world);
/* Handles the decision of a balancer about one packet. */
void flows_on_outcome(void *private_data,
		      const struct jt_packet_outcome *outcome);
/* Events at the client side of a flow. */
void flow_on_reset(struct world *world, struct flow *flow);
void flow_on_syn_ack(struct world *world, struct flow *flow, uint32_t endpoint);
void flow_on_ack(struct world *world, struct flow *flow, uint32_t message);
void flow_on_response_part(struct world *world, struct flow *flow,
			   unsigned part);
void flow_on_closed(struct world *world, struct flow *flow);
/* Counts the requests that are still unresolved at the end of a run. */
void flows_finish(struct world *world);
/* Reschedules the next flow after a change of the demand's rate. */
void flows_demand_changed(struct world *world, struct demand_state *demand);
/* Returns the one-way delay to a client in microseconds. */
uint64_t client_delay(struct world *world);

/* endpoints.c */
struct endpoint *endpoint_add(struct world *world, unsigned service,
			      struct jt_address address);
/* Creates the endpoints that the scenario starts with. */
void endpoints_create(struct world *world);
/* Returns the endpoint that holds an address, or NULL. */
struct endpoint *endpoint_at(struct world *world, struct jt_address address);
/* Handles a packet that reaches an endpoint. */
void endpoint_packet(struct world *world, struct endpoint *endpoint,
		     struct flow *flow, enum packet_kind kind,
		     uint32_t message);
void endpoint_crash(struct world *world, struct endpoint *endpoint);
void endpoint_restart(struct world *world, struct endpoint *endpoint);
/*
 * Reads the health page of an endpoint as of health_lag_s ago. Returns false
 * if the endpoint does not exist; flags are 0 if the page does not respond.
 */
bool endpoint_health(void *private_data, uint32_t endpoint_id,
		     struct jt_health *health);
void endpoints_sample_health(struct world *world);
/* Writes health pages that changed to the trace. */
void endpoints_trace(struct world *world);
/* Returns the request slots or the connection limit, by kind of service. */
unsigned endpoint_capacity(const struct world *world,
			   const struct endpoint *endpoint);
/* Returns the slots in use or the open connections, by kind of service. */
unsigned endpoint_load(const struct world *world,
		       const struct endpoint *endpoint);
/* Returns true if the endpoint is available for new flows. */
bool endpoint_accepts_flows(const struct world *world,
			    const struct endpoint *endpoint);

/* Updates the nodes to which the fabric sends packets. */
void fabric_poll(struct world *world);
/* Sends a packet to a random live balancer; it may be lost. */
void fabric_send(struct world *world, struct flow *flow, uint8_t tcp_flags,
		 enum packet_kind kind, uint32_t message);

/* baseline.c: called for every policy but POLICY_JASPERTRACK. */
struct baseline *baseline_create(struct world *world);
void baseline_packet(struct world *world, uint16_t node,
		     const struct jt_flow_key *key, uint8_t tcp_flags,
		     uint64_t packet);
void baseline_start(struct world *world, uint16_t node);
void baseline_stop(struct world *world, uint16_t node);
void baseline_pause(struct world *world, uint16_t node, bool paused);
bool baseline_ready(const struct world *world, uint16_t node);
/* Returns the modelled control traffic of a node in bytes. */
uint64_t baseline_bytes(const struct world *world, uint16_t node);

/* label.c: as baseline.c, for POLICY_LABEL. */
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
/* Records a violation of a property, with a printf-style detail. */
__attribute__((format(printf, 3, 4))) void
oracle_violation(struct world *world, const char *property, const char *format,
		 ...);
/* Samples load, shares and control traffic; called once a second. */
void oracle_sample(struct world *world);
/* Checks which revisions are in force on the nodes. */
void oracle_check_config(struct world *world);
/* Called when the cluster has accepted a revision; @object is the world. */
void oracle_on_accepted(void *object, uint64_t revision);
/* Returns the metrics and violations of a run; the caller owns them. */
json_t *oracle_result(struct world *world);
void samples_add(struct samples *samples, TALLOC_CTX *mem_ctx, double value);

#endif
