/*
 * Scenarios of the emulator, in libconfig syntax.
 *
 * Times are in seconds unless a name has another unit. An invalid or unknown
 * key is an error that names file, line and key.
 */
#ifndef SCENARIO_H
#define SCENARIO_H

#include "jaspertrack/types-t.h"

#include <talloc.h>

enum {
	SCENARIO_ZONES = 32,
	SCENARIO_SERVICES = 4096,
	SCENARIO_GROUPS = 256,
};

struct scenario_zone {
	const char *name;
	unsigned nodes;
};

struct scenario_service {
	const char *name;
	enum jt_service_kind kind;
	unsigned endpoints;
	unsigned slots;
	unsigned connections;
	double health_lag_s;
	double service_time_ms;
	unsigned free_permille;
};

struct scenario_demand {
	unsigned service;
	unsigned share;
	double new_flows_per_s;
	double flow_s;
	bool repeatable;
};

struct scenario_group {
	const char *name;
	struct scenario_demand *demands;
	size_t demand_count;
};

enum scenario_event_kind {
	EVENT_NODE_CRASH,
	EVENT_NODE_JOIN,
	EVENT_NODE_LEAVE,
	EVENT_NODE_PAUSE,
	EVENT_ENDPOINT_DRAIN,
	EVENT_ENDPOINT_CRASH,
	EVENT_ENDPOINT_JOIN,
	EVENT_ENDPOINT_COLD_START,
	EVENT_ENDPOINT_SHED,
	EVENT_ENDPOINT_MOVE,	   /* drains, then moves the address to "to" */
	EVENT_ENDPOINT_FALSE_LOAD, /* the health page reports "load" */
	EVENT_STORE_DOWN,
	EVENT_STORE_SLOW,
	EVENT_STORE_ANSWER_LOST,
	EVENT_PARTITION,
	EVENT_ZONE_CRASH,
	EVENT_CONFIG_CHANGE,
	EVENT_MACHINE_LIST_LAG,
	EVENT_HEALTH_LAG,
	EVENT_DEMAND, /* sets new_flows_per_s of a group at a service */
	EVENT_KINDS,
};

struct scenario_event {
	double at_s;
	double for_s; /* 0: until the end of the run */
	enum scenario_event_kind kind;
	/* Resolved from the target; the fields used depend on the kind. */
	unsigned node;	       /* index over all zones */
	unsigned zone, zone_b; /* zone_b: SCENARIO_ZONES for all others */
	unsigned service, endpoint;
	unsigned group;
	unsigned to_service;
	double value; /* share, answer_ms, count, lag_s, load or flows/s */
	int line;
};

struct scenario {
	const char *name;
	double duration_s;
	struct scenario_zone zones[SCENARIO_ZONES];
	size_t zone_count;
	unsigned node_count;
	double zone_to_zone_ms;
	double client_ms;
	double loss;
	double reorder;
	double store_operations_per_s;
	double store_answer_ms;
	double machine_list_lag_s;
	double packet_interval_s; /* mean interval of a stream's messages */
	unsigned cell_nodes;
	struct scenario_service *services;
	size_t service_count;
	struct scenario_group *groups;
	size_t group_count;
	struct scenario_event *events;
	size_t event_count;
};

/*
 * Loads a scenario below @mem_ctx. On an error, returns NULL and sets @error to
 * a message, also below @mem_ctx.
 */
struct scenario *scenario_load(TALLOC_CTX *mem_ctx, const char *file,
			       char **error);
const char *scenario_event_name(enum scenario_event_kind kind);
/* Returns the index over all zones of node @number of a zone. */
unsigned scenario_node_index(const struct scenario *scenario, unsigned zone,
			     unsigned number);
/* Returns the zone of a node, given its index over all zones. */
unsigned scenario_node_zone(const struct scenario *scenario, unsigned node);

#endif
