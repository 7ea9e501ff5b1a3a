#include "scenario.h"
#include "jt_settings_reader.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const event_names[EVENT_KINDS] = {
	[EVENT_NODE_CRASH] = "node_crash",
	[EVENT_NODE_JOIN] = "node_join",
	[EVENT_NODE_LEAVE] = "node_leave",
	[EVENT_NODE_PAUSE] = "node_pause",
	[EVENT_ENDPOINT_DRAIN] = "endpoint_drain",
	[EVENT_ENDPOINT_CRASH] = "endpoint_crash",
	[EVENT_ENDPOINT_JOIN] = "endpoint_join",
	[EVENT_ENDPOINT_COLD_START] = "endpoint_cold_start",
	[EVENT_ENDPOINT_SHED] = "endpoint_shed",
	[EVENT_ENDPOINT_MOVE] = "endpoint_move",
	[EVENT_ENDPOINT_FALSE_LOAD] = "endpoint_lie",
	[EVENT_STORE_DOWN] = "store_down",
	[EVENT_STORE_SLOW] = "store_slow",
	[EVENT_STORE_ANSWER_LOST] = "store_answer_lost",
	[EVENT_PARTITION] = "partition",
	[EVENT_ZONE_CRASH] = "zone_crash",
	[EVENT_CONFIG_CHANGE] = "config_change",
	[EVENT_MACHINE_LIST_LAG] = "machine_list_lag",
	[EVENT_HEALTH_LAG] = "health_lag",
	[EVENT_DEMAND] = "demand",
};

struct reader {
	struct jt_settings_reader input;
	struct scenario *scenario;
};

const char *scenario_event_name(enum scenario_event_kind kind)
{
	return event_names[kind];
}

static int read_real(struct reader *r, const config_setting_t *group,
		     const char *key, double min, double max,
		     double default_value, double *value)
{
	const config_setting_t *setting = config_setting_get_member(group, key);
	char problem[96];

	*value = default_value;
	if (setting == NULL) {
		if (default_value >= min)
			return 0;
		return jt_settings_wrong(&r->input, group, key, "is missing");
	}
	if (!config_setting_is_number(setting))
		return jt_settings_wrong(&r->input, setting, key,
					 "must be a number");
	*value = config_setting_type(setting) == CONFIG_TYPE_FLOAT
			 ? config_setting_get_float(setting)
			 : (double)config_setting_get_int64(setting);
	if (*value >= min && *value <= max)
		return 0;
	snprintf(problem, sizeof(problem), "is %g, allowed are %g to %g",
		 *value, min, max);
	return jt_settings_wrong(&r->input, setting, key, problem);
}

static int read_count(struct reader *r, const config_setting_t *group,
		      const char *key, double min, double max,
		      double default_value, unsigned *value)
{
	double real;

	if (read_real(r, group, key, min, max, default_value, &real) != 0)
		return -1;
	*value = (unsigned)real;
	if ((double)*value != real)
		return jt_settings_wrong(&r->input,
					 config_setting_get_member(group, key),
					 key, "must be a whole number");
	return 0;
}

static const config_setting_t *require_list(struct reader *r,
					    const config_setting_t *root,
					    const char *key, int max)
{
	const config_setting_t *list = config_setting_get_member(root, key);

	if (list == NULL || !config_setting_is_list(list) ||
	    config_setting_length(list) < 1 ||
	    config_setting_length(list) > max) {
		jt_settings_wrong(&r->input, list ? list : root, key,
				  "must be a list of at least one group");
		return NULL;
	}
	return list;
}

static int read_zones(struct reader *r, const config_setting_t *root)
{
	static const char *const known_keys[] = {"name", "nodes", NULL};
	const config_setting_t *list =
		require_list(r, root, "zones", SCENARIO_ZONES);
	struct scenario *s = r->scenario;

	for (int i = 0; list && i < config_setting_length(list); i++) {
		const config_setting_t *setting =
			config_setting_get_elem(list, (unsigned)i);
		struct scenario_zone *zone = &s->zones[s->zone_count];

		if (!config_setting_is_group(setting))
			return jt_settings_wrong(&r->input, setting, "zones",
						 "must contain groups");
		if (jt_settings_check_keys(&r->input, setting, known_keys) !=
			    0 ||
		    jt_settings_read_text(&r->input, setting, "name", true,
					  &zone->name) != 0 ||
		    read_count(r, setting, "nodes", 0, 2000, -1,
			       &zone->nodes) != 0)
			return -1;
		s->node_count += zone->nodes;
		s->zone_count++;
	}
	return list ? 0 : -1;
}

static int read_environment(struct reader *r, const config_setting_t *root)
{
	static const char *const network_keys[] = {
		"zone_to_zone_ms", "client_ms", "loss", "reorder", NULL};
	static const char *const store_keys[] = {"operations_per_s",
						 "answer_ms", NULL};
	static const char *const machine_list_keys[] = {"lag_s", NULL};
	const config_setting_t *network =
		config_setting_get_member(root, "network");
	const config_setting_t *store =
		config_setting_get_member(root, "store");
	const config_setting_t *machine_list =
		config_setting_get_member(root, "machine_list");
	struct scenario *s = r->scenario;

	if ((network &&
	     jt_settings_check_keys(&r->input, network, network_keys) != 0) ||
	    (store &&
	     jt_settings_check_keys(&r->input, store, store_keys) != 0) ||
	    (machine_list && jt_settings_check_keys(&r->input, machine_list,
						    machine_list_keys) != 0))
		return -1;
	network = network ? network : root;
	store = store ? store : root;
	machine_list = machine_list ? machine_list : root;
	if (read_real(r, network, "zone_to_zone_ms", 0, 10000, 1.5,
		      &s->zone_to_zone_ms) != 0 ||
	    read_real(r, network, "client_ms", 0, 10000, 1, &s->client_ms) !=
		    0 ||
	    read_real(r, network, "loss", 0, 0.5, 0, &s->loss) != 0 ||
	    read_real(r, network, "reorder", 0, 1, 0, &s->reorder) != 0 ||
	    read_real(r, store, "operations_per_s", 1, 1e6, 20,
		      &s->store_operations_per_s) != 0 ||
	    read_real(r, store, "answer_ms", 0, 60000, 5,
		      &s->store_answer_ms) != 0 ||
	    read_real(r, machine_list, "lag_s", 0, 3600, 10,
		      &s->machine_list_lag_s) != 0)
		return -1;
	return 0;
}

static int read_service(struct reader *r, const config_setting_t *setting,
			struct scenario_service *service)
{
	static const char *const known_keys[] = {"name",
						 "kind",
						 "endpoints",
						 "slots",
						 "connections",
						 "health_lag_s",
						 "service_time_ms",
						 "free_permille",
						 NULL};
	const char *kind = "";

	if (!config_setting_is_group(setting))
		return jt_settings_wrong(&r->input, setting, "services",
					 "must contain groups");
	if (jt_settings_check_keys(&r->input, setting, known_keys) != 0 ||
	    jt_settings_read_text(&r->input, setting, "name", true,
				  &service->name) != 0 ||
	    jt_settings_read_text(&r->input, setting, "kind", true, &kind) !=
		    0 ||
	    read_count(r, setting, "endpoints", 1, 100000, -1,
		       &service->endpoints) != 0 ||
	    read_count(r, setting, "slots", 1, 1e6, 2, &service->slots) != 0 ||
	    read_count(r, setting, "connections", 1, 1e7, 2000,
		       &service->connections) != 0 ||
	    read_real(r, setting, "health_lag_s", 0, 3600, 2,
		      &service->health_lag_s) != 0 ||
	    read_real(r, setting, "service_time_ms", 1, 3.6e6, 500,
		      &service->service_time_ms) != 0 ||
	    read_count(r, setting, "free_permille", 0, 1000, 200,
		       &service->free_permille) != 0)
		return -1;
	if (strcmp(kind, "stream") == 0)
		service->kind = JT_SERVICE_STREAM;
	else if (strcmp(kind, "request") == 0)
		service->kind = JT_SERVICE_REQUEST;
	else
		return jt_settings_wrong(
			&r->input, config_setting_get_member(setting, "kind"),
			"kind", "must be \"stream\" or \"request\"");
	return 0;
}

static int read_services(struct reader *r, const config_setting_t *root)
{
	const config_setting_t *list =
		require_list(r, root, "services", SCENARIO_SERVICES);
	struct scenario *s = r->scenario;
	int count = list ? config_setting_length(list) : 0;

	if (list == NULL)
		return -1;
	s->services =
		talloc_zero_array(s, struct scenario_service, (size_t)count);
	for (int i = 0; i < count; i++) {
		if (read_service(r, config_setting_get_elem(list, (unsigned)i),
				 &s->services[s->service_count]) != 0)
			return -1;
		s->service_count++;
	}
	return 0;
}

static unsigned find_service(const struct scenario *s, const char *name,
			     size_t length)
{
	for (size_t i = 0; i < s->service_count; i++) {
		if (strlen(s->services[i].name) == length &&
		    memcmp(s->services[i].name, name, length) == 0)
			return (unsigned)i;
	}
	return UINT32_MAX;
}

static unsigned find_group(const struct scenario *s, const char *name,
			   size_t length)
{
	for (size_t i = 0; i < s->group_count; i++) {
		if (strlen(s->groups[i].name) == length &&
		    memcmp(s->groups[i].name, name, length) == 0)
			return (unsigned)i;
	}
	return UINT32_MAX;
}

static unsigned find_zone(const struct scenario *s, const char *name,
			  size_t length)
{
	for (size_t i = 0; i < s->zone_count; i++) {
		if (strlen(s->zones[i].name) == length &&
		    memcmp(s->zones[i].name, name, length) == 0)
			return (unsigned)i;
	}
	return UINT32_MAX;
}

static int read_demand(struct reader *r, const config_setting_t *setting,
		       struct scenario_demand *demand)
{
	static const char *const known_keys[] = {"service",	    "share",
						 "new_flows_per_s", "flow_s",
						 "repeatable",	    NULL};
	const config_setting_t *repeatable;
	const char *service = "";

	if (!config_setting_is_group(setting))
		return jt_settings_wrong(&r->input, setting, "demand",
					 "must contain groups");
	if (jt_settings_check_keys(&r->input, setting, known_keys) != 0 ||
	    jt_settings_read_text(&r->input, setting, "service", true,
				  &service) != 0 ||
	    read_count(r, setting, "share", 1, 1e6, -1, &demand->share) != 0 ||
	    read_real(r, setting, "new_flows_per_s", 0, 1e7, -1,
		      &demand->new_flows_per_s) != 0 ||
	    read_real(r, setting, "flow_s", 0.001, 1e7, 60, &demand->flow_s) !=
		    0)
		return -1;
	demand->service = find_service(r->scenario, service, strlen(service));
	if (demand->service == UINT32_MAX)
		return jt_settings_wrong(
			&r->input,
			config_setting_get_member(setting, "service"),
			"service", "unknown service");
	repeatable = config_setting_get_member(setting, "repeatable");
	if (repeatable != NULL &&
	    config_setting_type(repeatable) != CONFIG_TYPE_BOOL)
		return jt_settings_wrong(&r->input, repeatable, "repeatable",
					 "must be true or false");
	demand->repeatable =
		repeatable == NULL || config_setting_get_bool(repeatable);
	return 0;
}

static int read_group(struct reader *r, const config_setting_t *setting,
		      struct scenario_group *group)
{
	static const char *const known_keys[] = {"name", "demand", NULL};
	const config_setting_t *list;
	int count;

	if (!config_setting_is_group(setting))
		return jt_settings_wrong(&r->input, setting, "groups",
					 "must contain groups");
	if (jt_settings_check_keys(&r->input, setting, known_keys) != 0 ||
	    jt_settings_read_text(&r->input, setting, "name", true,
				  &group->name) != 0)
		return -1;
	list = require_list(r, setting, "demand", SCENARIO_SERVICES);
	if (list == NULL)
		return -1;
	count = config_setting_length(list);
	group->demands = talloc_zero_array(r->scenario, struct scenario_demand,
					   (size_t)count);
	for (int i = 0; i < count; i++) {
		if (read_demand(r, config_setting_get_elem(list, (unsigned)i),
				&group->demands[i]) != 0)
			return -1;
		group->demand_count++;
	}
	return 0;
}

static int read_groups(struct reader *r, const config_setting_t *root)
{
	const config_setting_t *list =
		require_list(r, root, "groups", SCENARIO_GROUPS);
	struct scenario *s = r->scenario;
	int count = list ? config_setting_length(list) : 0;

	if (list == NULL)
		return -1;
	s->groups = talloc_zero_array(s, struct scenario_group, (size_t)count);
	for (int i = 0; i < count; i++) {
		if (read_group(r, config_setting_get_elem(list, (unsigned)i),
			       &s->groups[s->group_count]) != 0)
			return -1;
		s->group_count++;
	}
	return 0;
}

unsigned scenario_node_index(const struct scenario *s, unsigned zone,
			     unsigned number)
{
	unsigned index = number;

	for (unsigned z = 0; z < zone; z++)
		index += s->zones[z].nodes;
	return index;
}

unsigned scenario_node_zone(const struct scenario *s, unsigned node)
{
	unsigned zone = 0;

	while (zone + 1 < s->zone_count && node >= s->zones[zone].nodes) {
		node -= s->zones[zone].nodes;
		zone++;
	}
	return zone;
}

static bool parse_number(const char *text, unsigned *number)
{
	char *end;
	unsigned long value = strtoul(text, &end, 10);

	if (*text < '0' || *text > '9' || *end != '\0' || value > 1000000)
		return false;
	*number = (unsigned)value;
	return true;
}

/* Parses ZONE/NUMBER, or a node index over all zones. */
static bool parse_node_target(const struct scenario *s, const char *target,
			      struct scenario_event *event)
{
	const char *separator = strchr(target, '/');
	unsigned number;

	if (separator == NULL)
		return parse_number(target, &event->node) &&
		       event->node < s->node_count;
	event->zone = find_zone(s, target, (size_t)(separator - target));
	if (event->zone == UINT32_MAX ||
	    !parse_number(separator + 1, &number) ||
	    number >= s->zones[event->zone].nodes)
		return false;
	event->node = scenario_node_index(s, event->zone, number);
	return true;
}

static bool parse_endpoint_target(const struct scenario *s, const char *target,
				  bool allow_new, struct scenario_event *event)
{
	const char *separator = strchr(target, '/');
	size_t length =
		separator ? (size_t)(separator - target) : strlen(target);

	event->service = find_service(s, target, length);
	if (event->service == UINT32_MAX)
		return false;
	if (separator == NULL)
		return allow_new;
	return parse_number(separator + 1, &event->endpoint) &&
	       (allow_new ||
		event->endpoint < s->services[event->service].endpoints);
}

static bool parse_zones_target(const struct scenario *s, const char *target,
			       struct scenario_event *event)
{
	const char *separator = strchr(target, '|');

	if (separator == NULL)
		return false;
	event->zone = find_zone(s, target, (size_t)(separator - target));
	event->zone_b =
		strcmp(separator + 1, "*") == 0
			? SCENARIO_ZONES
			: find_zone(s, separator + 1, strlen(separator + 1));
	return event->zone != UINT32_MAX && event->zone_b != UINT32_MAX;
}

static bool parse_demand_target(const struct scenario *s, const char *target,
				struct scenario_event *event)
{
	const char *separator = strchr(target, '/');

	if (separator == NULL)
		return false;
	event->group = find_group(s, target, (size_t)(separator - target));
	event->service = find_service(s, separator + 1, strlen(separator + 1));
	return event->group != UINT32_MAX && event->service != UINT32_MAX;
}

static int resolve_target(struct reader *r, const config_setting_t *setting,
			  struct scenario_event *event)
{
	const struct scenario *s = r->scenario;
	const char *target = NULL;
	const char *expected = NULL;

	if (event->kind == EVENT_STORE_DOWN ||
	    event->kind == EVENT_STORE_SLOW ||
	    event->kind == EVENT_STORE_ANSWER_LOST ||
	    event->kind == EVENT_MACHINE_LIST_LAG)
		return 0;
	if (jt_settings_read_text(&r->input, setting, "target", true,
				  &target) != 0)
		return -1;
	switch (event->kind) {
	case EVENT_NODE_CRASH:
	case EVENT_NODE_JOIN:
	case EVENT_NODE_LEAVE:
	case EVENT_NODE_PAUSE:
		if (!parse_node_target(s, target, event))
			expected = "must be ZONE/NUMBER or a node's number";
		break;
	case EVENT_ZONE_CRASH:
		event->zone = find_zone(s, target, strlen(target));
		if (event->zone == UINT32_MAX)
			expected = "must be a zone";
		break;
	case EVENT_PARTITION:
		if (!parse_zones_target(s, target, event))
			expected = "must be ZONE|ZONE or ZONE|*";
		break;
	case EVENT_CONFIG_CHANGE:
	case EVENT_DEMAND:
		if (!parse_demand_target(s, target, event))
			expected = "must be GROUP/SERVICE";
		break;
	case EVENT_HEALTH_LAG:
	case EVENT_ENDPOINT_JOIN:
		if (!parse_endpoint_target(s, target, true, event))
			expected = "must be SERVICE or SERVICE/NUMBER";
		break;
	default:
		if (!parse_endpoint_target(s, target, false, event))
			expected = "must be SERVICE/NUMBER";
		break;
	}
	if (expected == NULL)
		return 0;
	return jt_settings_wrong(&r->input,
				 config_setting_get_member(setting, "target"),
				 "target", expected);
}

static int read_value(struct reader *r, const config_setting_t *setting,
		      struct scenario_event *event)
{
	const char *target = "";

	switch (event->kind) {
	case EVENT_CONFIG_CHANGE:
		return read_real(r, setting, "share", 1, 1e6, -1,
				 &event->value);
	case EVENT_STORE_SLOW:
		return read_real(r, setting, "answer_ms", 0, 60000, 2000,
				 &event->value);
	case EVENT_STORE_ANSWER_LOST:
		return read_real(r, setting, "count", 1, 1000, 1,
				 &event->value);
	case EVENT_MACHINE_LIST_LAG:
	case EVENT_HEALTH_LAG:
		return read_real(r, setting, "lag_s", 0, 3600, 30,
				 &event->value);
	case EVENT_ENDPOINT_FALSE_LOAD:
		return read_real(r, setting, "load", 0, 1e7, 0, &event->value);
	case EVENT_DEMAND:
		return read_real(r, setting, "new_flows_per_s", 0, 1e7, -1,
				 &event->value);
	case EVENT_ENDPOINT_MOVE:
		if (jt_settings_read_text(&r->input, setting, "to", true,
					  &target) != 0)
			return -1;
		event->to_service =
			find_service(r->scenario, target, strlen(target));
		if (event->to_service == UINT32_MAX)
			return jt_settings_wrong(
				&r->input,
				config_setting_get_member(setting, "to"), "to",
				"unknown service");
		return 0;
	default:
		return 0;
	}
}

static int read_event(struct reader *r, const config_setting_t *setting,
		      struct scenario_event *event)
{
	static const char *const known_keys[] = {
		"at_s",	 "kind",      "target",		 "for_s",
		"share", "answer_ms", "count",		 "lag_s",
		"load",	 "to",	      "new_flows_per_s", NULL};
	const char *kind = "";
	int found = 0;

	if (!config_setting_is_group(setting))
		return jt_settings_wrong(&r->input, setting, "events",
					 "must contain groups");
	if (jt_settings_check_keys(&r->input, setting, known_keys) != 0 ||
	    read_real(r, setting, "at_s", 0, 1e7, -1, &event->at_s) != 0 ||
	    read_real(r, setting, "for_s", 0, 1e7, 0, &event->for_s) != 0 ||
	    jt_settings_read_text(&r->input, setting, "kind", true, &kind) != 0)
		return -1;
	while (found < EVENT_KINDS && strcmp(event_names[found], kind) != 0)
		found++;
	if (found == EVENT_KINDS)
		return jt_settings_wrong(
			&r->input, config_setting_get_member(setting, "kind"),
			"kind", "unknown event kind");
	event->kind = found;
	event->line = (int)config_setting_source_line(setting);
	if (resolve_target(r, setting, event) != 0)
		return -1;
	return read_value(r, setting, event);
}

static int read_events(struct reader *r, const config_setting_t *root)
{
	const config_setting_t *list =
		config_setting_get_member(root, "events");
	struct scenario *s = r->scenario;
	int count = list ? config_setting_length(list) : 0;

	if (list != NULL && !config_setting_is_list(list))
		return jt_settings_wrong(&r->input, list, "events",
					 "must be a list of groups");
	s->events =
		talloc_zero_array(s, struct scenario_event, (size_t)count + 1);
	for (int i = 0; i < count; i++) {
		if (read_event(r, config_setting_get_elem(list, (unsigned)i),
			       &s->events[s->event_count]) != 0)
			return -1;
		s->event_count++;
	}
	return 0;
}

static int read_root(struct reader *r, const config_setting_t *root)
{
	static const char *const known_keys[] = {
		"name",	  "duration_s",	       "zones",	     "network",
		"store",  "machine_list",      "services",   "groups",
		"events", "packet_interval_s", "cell_nodes", NULL};
	struct scenario *s = r->scenario;

	if (jt_settings_check_keys(&r->input, root, known_keys) != 0 ||
	    jt_settings_read_text(&r->input, root, "name", true, &s->name) !=
		    0 ||
	    read_real(r, root, "duration_s", 40, 1e6, -1, &s->duration_s) !=
		    0 ||
	    read_real(r, root, "packet_interval_s", 0.05, 3600, 5,
		      &s->packet_interval_s) != 0 ||
	    read_count(r, root, "cell_nodes", 0, 500, 0, &s->cell_nodes) != 0)
		return -1;
	if (read_zones(r, root) != 0 || read_environment(r, root) != 0 ||
	    read_services(r, root) != 0 || read_groups(r, root) != 0)
		return -1;
	return read_events(r, root);
}

struct scenario *scenario_load(TALLOC_CTX *mem_ctx, const char *file,
			       char **error)
{
	struct reader r = {
		.input = {.file = file, .error = error, .error_ctx = mem_ctx}};
	const config_setting_t *root;
	config_t config;

	*error = NULL;
	r.scenario = talloc_zero(mem_ctx, struct scenario);
	if (r.scenario == NULL)
		return NULL;
	r.input.values_ctx = r.scenario;
	root = jt_settings_parse(&r.input, &config);
	if (root == NULL || read_root(&r, root) != 0)
		TALLOC_FREE(r.scenario);
	config_destroy(&config);
	return r.scenario;
}
