/*
 * Settings of a balancer node, read with libconfig and checked as a whole.
 *
 * An invalid setting is reported with file, line, key, value and the allowed
 * values; a file with an error is rejected as a whole.
 */
#ifndef JT_SETTINGS_H
#define JT_SETTINGS_H

#include "jaspertrack/types-t.h"
#include "jt_codec.h"

#include <talloc.h>

enum {
	JT_SEED_LIMIT = 64,
	JT_TOKEN_LIMIT = 64,
	JT_TRAFFIC_THREAD_LIMIT = 64,
};

/* Permissions of a bearer token; each role includes the ones before it. */
enum jt_role { JT_ROLE_NONE, JT_ROLE_READ, JT_ROLE_OPERATE, JT_ROLE_ADMIN };

struct jt_token {
	const char *token;
	enum jt_role role;
	const char *group; /* of JT_ROLE_OPERATE; NULL otherwise */
};

struct jt_settings {
	const char *name;
	const char *zone;
	const char *cell;
	struct jt_address data;
	struct jt_address peer;
	struct jt_address api;
	struct jt_address caller_gateway;
	uint32_t traffic_threads;
	uint32_t leave_delay_ms;
	uint32_t flow_limit;
	struct jt_address seeds[JT_SEED_LIMIT];
	size_t seed_count;
	const char *store_url;
	uint32_t store_operations_per_s; /* limit for all nodes together */
	const char *machines_url;	 /* NULL: no machine list */
	struct jt_keys keys;
	struct jt_token tokens[JT_TOKEN_LIMIT];
	size_t token_count;
	const char *certificate; /* PEM text, NULL: no TLS */
	const char *certificate_key;
	int log_threshold;
};

/*
 * Reads and checks @file. Returns NULL with a message in @error, a talloc child
 * of @mem_ctx, if the file is invalid.
 */
struct jt_settings *jt_settings_load(TALLOC_CTX *mem_ctx, const char *file,
				     char **error);

/*
 * Returns the name of the first setting that differs and cannot be changed by a
 * reload, or NULL if @changed may replace @current.
 */
const char *jt_settings_fixed_difference(const struct jt_settings *current,
					 const struct jt_settings *changed);

#endif
