/*
 * Settings of a director node, which places flows by label (`placement =
 * "label"`). Errors name file, line, key and the allowed values.
 */
#ifndef JT_DIRECTOR_SETTINGS_H
#define JT_DIRECTOR_SETTINGS_H

#include "jaspertrack/types-t.h"
#include "jt_settings.h"

struct jt_director_settings {
	const char *name;
	const char *zone;
	const char *environment;
	struct jt_address data;	     /* packets of clients */
	struct jt_address readiness; /* GET /ready */
	struct jt_address metrics;   /* GET /metrics; port 0: not served */
	struct jt_address peer;	     /* other nodes */
	struct jt_address store;
	/* Addresses of other nodes; may be outdated. Their ports are not used:
	 * all nodes have the same peer port. */
	struct jt_address seeds[JT_SEED_LIMIT];
	size_t seed_count;
	struct jt_keys keys;
	uint32_t drain_limit_ms;    /* for new flows to a leaving endpoint */
	uint32_t leave_limit_ms;    /* from SIGTERM to the exit */
	uint32_t flow_age_limit_ms; /* maximum age of a flow */
	uint32_t flow_limit;	    /* flows tracked at once */
	uint32_t endpoint_limit;    /* incarnations tracked at once */
	uint32_t link_mbps;	    /* capacity of the machine's link */
	/* Limit of a cold endpoint: its capacity times cold_overshoot_permille
	 * / 1000, plus cold_slack new flows per second. */
	uint32_t cold_overshoot_permille;
	uint32_t cold_slack;
	/* Minimum part of an overloaded service's capacity for each priority,
	 * in thousandths. */
	uint32_t admission_floor_permille;
	/* First start of the whole system: there is no traffic yet. */
	bool first_start;
	/* The node's capacity to read the store for other nodes. */
	uint32_t reader_weight;
	/* The node reads the store itself if its directory is older. */
	uint32_t store_age_limit_ms;
	uint32_t without; /* disabled features, for experiments */
	int log_threshold;
};

/* Reads and checks @file. Returns NULL with a message in @error, a talloc child
 * of @mem_ctx, if the file is invalid. */
struct jt_director_settings *
jt_director_settings_load(TALLOC_CTX *mem_ctx, const char *file, char **error);
/* Returns the name of the first setting that differs and cannot be changed by a
 * reload, or NULL if there is none. */
const char *
jt_director_settings_fixed_difference(const struct jt_director_settings *a,
				      const struct jt_director_settings *b);
/* Returns true if @file selects placement by label, false also if it cannot be
 * read. */
bool jt_director_settings_wanted(const char *file);

#endif
