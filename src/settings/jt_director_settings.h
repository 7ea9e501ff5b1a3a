/*
 * Settings of a node that places flows by label (`placement = "label"`).
 *
 * Errors name file, line, key and what is allowed, as for the other nodes.
 */
#ifndef JT_DIRECTOR_SETTINGS_H
#define JT_DIRECTOR_SETTINGS_H

#include "jaspertrack/types-t.h"
#include "jt_settings.h"

struct jt_director_settings {
	const char *name;
	const char *zone;
	const char *environment;
	struct jt_address data;	     /* callers' packets */
	struct jt_address readiness; /* GET /ready */
	struct jt_address metrics;   /* GET /metrics; port 0: not served */
	struct jt_address peer;	     /* other nodes */
	struct jt_address store;
	/* Other nodes, may be stale. All nodes have one peer port: the ports of
	 * seeds are not used. */
	struct jt_address seeds[JT_SEED_LIMIT];
	size_t seed_count;
	struct jt_keys keys;
	uint32_t drain_limit_ms;    /* a leaving endpoint gets none after */
	uint32_t leave_limit_ms;    /* from SIGTERM to the end */
	uint32_t flow_age_limit_ms; /* no flow lives longer */
	uint32_t flow_limit;	    /* flows remembered */
	uint32_t endpoint_limit;    /* incarnations known at once */
	uint32_t link_mbps;	    /* of the machine's own link */
	/* A cold endpoint may get what it bears times this much, in
	 * thousandths, and so many new flows a second more. */
	uint32_t cold_overshoot_permille;
	uint32_t cold_slack;
	/* Each priority of a full service gets at least this part of what it
	 * does, in thousandths. */
	uint32_t admission_floor_permille;
	/* The whole system starts for the first time: nobody sends packets. */
	bool first_start;
	/* How able the node is to read the store for others. */
	uint32_t reader_weight;
	/* Knowledge of the store that is older makes a node read it. */
	uint32_t store_age_limit_ms;
	uint32_t without; /* mechanisms that are off, for experiments */
	int log_threshold;
};

/* NULL with a line for people in @error, a talloc child of @mem_ctx. */
struct jt_director_settings *
jt_director_settings_load(TALLOC_CTX *mem_ctx, const char *file, char **error);
/* The first setting that can't change while a node runs, NULL if none. */
const char *
jt_director_settings_fixed_difference(const struct jt_director_settings *a,
				      const struct jt_director_settings *b);
/* Whether @file asks for placement by label; unreadable ones do not. */
bool jt_director_settings_wanted(const char *file);

#endif
