#include "jt_director_settings.h"
#include "jt_log.h"
#include "jt_feature.h"
#include "jt_settings_keys.h"
#include "jt_settings_reader.h"

#include <stdlib.h>
#include <string.h>

enum {
	TIME_MAX_S = 24 * 3600,
	DEFAULT_DRAIN_MS = 3000,
	DEFAULT_LEAVE_S = 5,
	DEFAULT_FLOW_AGE_S = 3600,
	DEFAULT_FLOW_LIMIT = 1 << 16,
	DEFAULT_CONFIG_MS = 3000,
	DEFAULT_ZONE_DRAIN_MS = 5000,
	CORES_MAX = 4096,
	DEFAULT_CORES = 1,
	DEFAULT_MEMORY_MB = 128,
	MEMORY_MIN_MB = 8,
	MEMORY_MAX_MB = 1 << 20,
	/* Endpoints may use a quarter of the memory of a node; ENDPOINT_BYTES
	 * is an upper bound for one with its index entries. */
	ENDPOINT_MEMORY_DIVISOR = 4,
	ENDPOINT_BYTES = 840,
	DEFAULT_LINK_MBPS = 100,
	LINK_MIN_MBPS = 0,
	LINK_MAX_MBPS = 1000000,
	/* Capacity to read the store, in thousandths of a core. */
	READER_CAPACITY_PER_CORE = 1000,
	/* The directory may be as old as half of the time limit for a change to
	 * take effect; the rest is for reading and distributing it. */
	STORE_AGE_DIVISOR = 2,
	PERMILLE = 1000,
	COLD_OVERSHOOT_MAX = 100,
	COLD_SLACK_MAX = 100000,
};

/* Lets clients of the lowest priority succeed within seconds by retrying. */
static const double default_admission_floor = 0.05;
/* Keeps part of the capacity for admission by priority. */
static const double admission_floor_max = 0.2;

static int read_node(struct jt_settings_reader *r, const config_setting_t *root,
		     struct jt_director_settings *s)
{
	static const char *const known[] = {"name",	 "zone",      "cores",
					    "memory_mb", "link_mbps", NULL};
	const config_setting_t *node =
		jt_settings_require_group(r, root, "node");
	double cores = 0, memory_mb = 0, link_mbps = 0;

	if (node == NULL || jt_settings_check_keys(r, node, known) != 0 ||
	    jt_settings_read_text(r, node, "name", true, &s->name) != 0 ||
	    jt_settings_read_real(r, node, "cores", 0, CORES_MAX, DEFAULT_CORES,
				  &cores) != 0 ||
	    jt_settings_read_real(r, node, "memory_mb", MEMORY_MIN_MB,
				  MEMORY_MAX_MB, DEFAULT_MEMORY_MB,
				  &memory_mb) != 0 ||
	    jt_settings_read_real(r, node, "link_mbps", LINK_MIN_MBPS,
				  LINK_MAX_MBPS, DEFAULT_LINK_MBPS,
				  &link_mbps) != 0)
		return -1;
	s->endpoint_limit =
		(uint32_t)(memory_mb * (1 << 20) / ENDPOINT_MEMORY_DIVISOR /
			   ENDPOINT_BYTES);
	s->link_mbps = (uint32_t)link_mbps + 1;
	s->reader_capacity = (uint32_t)(cores * READER_CAPACITY_PER_CORE) + 1;
	return jt_settings_read_text(r, node, "zone", true, &s->zone);
}

static int read_listen(struct jt_settings_reader *r,
		       const config_setting_t *root,
		       struct jt_director_settings *s)
{
	static const char *const known[] = {"data", "readiness", "peer",
					    "metrics", NULL};
	const config_setting_t *listen =
		jt_settings_require_group(r, root, "listen");

	if (listen == NULL || jt_settings_check_keys(r, listen, known) != 0 ||
	    jt_settings_read_address(r, listen, "data", &s->data) != 0 ||
	    jt_settings_read_address(r, listen, "readiness", &s->readiness) !=
		    0)
		return -1;
	if (config_setting_get_member(listen, "metrics") != NULL &&
	    jt_settings_read_address(r, listen, "metrics", &s->metrics) != 0)
		return -1;
	return jt_settings_read_address(r, listen, "peer", &s->peer);
}

static double smaller_of(double a, double b)
{
	return a < b ? a : b;
}

static int read_limits(struct jt_settings_reader *r,
		       const config_setting_t *root,
		       struct jt_director_settings *s)
{
	static const char *const known[] = {
		"drain_ms",	   "config_ms", "zone_drain_ms",  "leave_s",
		"flow_age_s",	   "flows",	"cold_overshoot", "cold_slack",
		"admission_floor", NULL};
	const config_setting_t *limits =
		jt_settings_require_group(r, root, "limits");
	double drain_ms = 0, config_ms = 0, zone_drain_ms = 0, leave_s = 0,
	       flow_age_s = 0, cold_overshoot = 0, admission_floor = 0;

	if (limits == NULL || jt_settings_check_keys(r, limits, known) != 0 ||
	    jt_settings_read_real(r, limits, "drain_ms", 0, TIME_MAX_S * 1000.0,
				  DEFAULT_DRAIN_MS, &drain_ms) != 0 ||
	    jt_settings_read_real(r, limits, "config_ms", 0,
				  TIME_MAX_S * 1000.0, DEFAULT_CONFIG_MS,
				  &config_ms) != 0 ||
	    jt_settings_read_real(r, limits, "zone_drain_ms", 0,
				  TIME_MAX_S * 1000.0, DEFAULT_ZONE_DRAIN_MS,
				  &zone_drain_ms) != 0 ||
	    jt_settings_read_real(r, limits, "leave_s", 0, TIME_MAX_S,
				  DEFAULT_LEAVE_S, &leave_s) != 0 ||
	    jt_settings_read_real(r, limits, "flow_age_s", 0, TIME_MAX_S,
				  DEFAULT_FLOW_AGE_S, &flow_age_s) != 0 ||
	    jt_settings_read_number(r, limits, "flows", 16, 100000000,
				    DEFAULT_FLOW_LIMIT, &s->flow_limit) != 0 ||
	    jt_settings_read_real(r, limits, "cold_overshoot", 1,
				  COLD_OVERSHOOT_MAX, 1,
				  &cold_overshoot) != 0 ||
	    jt_settings_read_number(r, limits, "cold_slack", 0, COLD_SLACK_MAX,
				    0, &s->cold_slack) != 0 ||
	    jt_settings_read_real(r, limits, "admission_floor", 0,
				  admission_floor_max, default_admission_floor,
				  &admission_floor) != 0)
		return -1;
	s->drain_limit_ms = (uint32_t)drain_ms;
	s->cold_overshoot_permille = (uint32_t)(cold_overshoot * PERMILLE);
	s->admission_floor_permille =
		(uint32_t)(admission_floor * PERMILLE + 0.5);
	s->store_age_limit_ms =
		(uint32_t)smaller_of(drain_ms,
				     smaller_of(config_ms, zone_drain_ms)) /
		STORE_AGE_DIVISOR;
	s->leave_limit_ms = (uint32_t)(leave_s * 1000);
	s->flow_age_limit_ms = (uint32_t)(flow_age_s * 1000);
	return 0;
}

static int read_log_level(struct jt_settings_reader *r,
			  const config_setting_t *root,
			  struct jt_director_settings *s)
{
	const char *level = "info";

	if (jt_settings_read_text(r, root, "log_level", false, &level) != 0)
		return -1;
	s->log_threshold = jt_log_severity(level);
	if (s->log_threshold < 0)
		return jt_settings_set_error(
			r, config_setting_get_member(root, "log_level"),
			"log_level",
			"must be a syslog severity such as \"info\"");
	return 0;
}

static int read_disabled_features(struct jt_settings_reader *r,
				  const config_setting_t *root,
				  struct jt_director_settings *s)
{
	const config_setting_t *list =
		config_setting_get_member(root, "without");

	if (list == NULL)
		return 0;
	if (!config_setting_is_list(list) && !config_setting_is_array(list))
		return jt_settings_set_error(r, list, "without",
					     "must be a list of features");
	for (int i = 0; i < config_setting_length(list); i++) {
		const char *name = config_setting_get_string_elem(list, i);
		uint32_t feature = name ? jt_feature_find(name) : 0;

		if (feature == 0)
			return jt_settings_set_error(
				r, list, "without",
				talloc_asprintf(r->error_ctx,
						"unknown feature '%s'",
						name ? name : "?"));
		s->disabled_features |= feature;
	}
	return 0;
}

static int read_root(struct jt_settings_reader *r, const config_setting_t *root,
		     struct jt_director_settings *s)
{
	static const char *const known[] = {
		"placement", "environment", "node",    "listen",
		"store",     "seeds",	    "keys",    "limits",
		"log_level", "first_start", "without", NULL};

	if (jt_settings_check_keys(r, root, known) != 0 ||
	    jt_settings_read_text(r, root, "environment", true,
				  &s->environment) != 0 ||
	    read_node(r, root, s) != 0 || read_listen(r, root, s) != 0 ||
	    jt_settings_read_address(r, root, "store", &s->store) != 0 ||
	    jt_settings_read_addresses(r, root, "seeds", s->seeds,
				       JT_SEED_LIMIT, &s->seed_count) != 0 ||
	    jt_settings_read_keys(r, root, &s->keys) != 0 ||
	    read_limits(r, root, s) != 0)
		return -1;
	if (jt_settings_read_bool(r, root, "first_start", &s->first_start) !=
		    0 ||
	    read_disabled_features(r, root, s) != 0)
		return -1;
	return read_log_level(r, root, s);
}

struct jt_director_settings *
jt_director_settings_load(TALLOC_CTX *mem_ctx, const char *file, char **error)
{
	struct jt_settings_reader reader = {
		.file = file, .error = error, .error_ctx = mem_ctx};
	struct jt_director_settings *settings;
	const config_setting_t *root;
	config_t config;

	*error = NULL;
	settings = talloc_zero(mem_ctx, struct jt_director_settings);
	if (settings == NULL)
		return NULL;
	reader.values_ctx = settings;
	root = jt_settings_parse(&reader, &config);
	if (root == NULL || read_root(&reader, root, settings) != 0)
		TALLOC_FREE(settings);
	config_destroy(&config);
	return settings;
}

const char *
jt_director_settings_find_fixed_change(const struct jt_director_settings *a,
				       const struct jt_director_settings *b)
{
	if (strcmp(a->name, b->name) != 0)
		return "node.name";
	if (strcmp(a->zone, b->zone) != 0)
		return "node.zone";
	if (strcmp(a->environment, b->environment) != 0)
		return "environment";
	if (!jt_address_same(a->data, b->data))
		return "listen.data";
	if (!jt_address_same(a->readiness, b->readiness))
		return "listen.readiness";
	if (!jt_address_same(a->peer, b->peer))
		return "listen.peer";
	if (!jt_address_same(a->metrics, b->metrics))
		return "listen.metrics";
	if (a->flow_limit != b->flow_limit)
		return "limits.flows";
	if (a->endpoint_limit != b->endpoint_limit)
		return "node.memory_mb";
	return NULL;
}

bool jt_director_settings_selected(const char *file)
{
	const char *placement = NULL;
	bool selected = false;
	config_t config;

	config_init(&config);
	if (config_read_file(&config, file) == CONFIG_TRUE &&
	    config_lookup_string(&config, "placement", &placement) ==
		    CONFIG_TRUE)
		selected = strcmp(placement, "label") == 0;
	config_destroy(&config);
	return selected;
}
