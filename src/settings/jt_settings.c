#include "jt_settings.h"
#include "jt_log.h"
#include "jt_net.h"
#include "jt_settings_keys.h"
#include "jt_settings_reader.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

enum {
	DEFAULT_TRAFFIC_THREADS = 2,
	DEFAULT_LEAVE_DELAY_MS = 2000,
	DEFAULT_FLOW_LIMIT = 1 << 20,
	DEFAULT_STORE_OPERATIONS = 20,
	TOKEN_LENGTH_MIN = 16,
};

struct reader {
	struct jt_settings_reader input;
	struct jt_settings *settings;
};

static int read_node(struct reader *r, const config_setting_t *root)
{
	static const char *const known[] = {"name", "zone", "cell", NULL};
	const config_setting_t *node =
		jt_settings_need_group(&r->input, root, "node");
	struct jt_settings *s = r->settings;

	s->cell = "main";
	if (node == NULL || jt_settings_check_keys(&r->input, node, known) != 0)
		return -1;
	if (jt_settings_read_text(&r->input, node, "name", true, &s->name) !=
		    0 ||
	    jt_settings_read_text(&r->input, node, "zone", true, &s->zone) !=
		    0 ||
	    jt_settings_read_text(&r->input, node, "cell", false, &s->cell) !=
		    0)
		return -1;
	return 0;
}

static int read_listen(struct reader *r, const config_setting_t *root)
{
	static const char *const known[] = {"data", "peer", "api", NULL};
	const config_setting_t *listen =
		jt_settings_need_group(&r->input, root, "listen");
	struct jt_settings *s = r->settings;

	if (listen == NULL ||
	    jt_settings_check_keys(&r->input, listen, known) != 0)
		return -1;
	if (jt_settings_read_address(&r->input, listen, "data", &s->data) !=
		    0 ||
	    jt_settings_read_address(&r->input, listen, "peer", &s->peer) !=
		    0 ||
	    jt_settings_read_address(&r->input, listen, "api", &s->api) != 0)
		return -1;
	return 0;
}

static int read_store(struct reader *r, const config_setting_t *root)
{
	static const char *const known[] = {"url", "operations_per_s", NULL};
	const config_setting_t *store =
		jt_settings_need_group(&r->input, root, "store");
	struct jt_settings *s = r->settings;

	if (store == NULL ||
	    jt_settings_check_keys(&r->input, store, known) != 0)
		return -1;
	if (jt_settings_read_text(&r->input, store, "url", true,
				  &s->store_url) != 0)
		return -1;
	return jt_settings_read_number(&r->input, store, "operations_per_s", 1,
				       1000000, DEFAULT_STORE_OPERATIONS,
				       &s->store_operations_per_s);
}

static int read_role(struct reader *r, const config_setting_t *entry,
		     enum jt_role *role)
{
	static const char *const names[] = {NULL, "read", "operate", "admin"};
	const char *text = NULL;

	if (jt_settings_read_text(&r->input, entry, "role", true, &text) != 0)
		return -1;
	for (int i = JT_ROLE_READ; i <= JT_ROLE_ADMIN; i++) {
		if (strcmp(names[i], text) == 0) {
			*role = i;
			return 0;
		}
	}
	return jt_settings_wrong(
		&r->input, entry, "role",
		"allowed are \"read\", \"operate\" and \"admin\"");
}

static int read_token(struct reader *r, const config_setting_t *entry,
		      struct jt_token *token)
{
	static const char *const known[] = {"token", "role", "group", NULL};

	if (!config_setting_is_group(entry))
		return jt_settings_wrong(&r->input, entry, "tokens",
					 "each must be a group");
	if (jt_settings_check_keys(&r->input, entry, known) != 0 ||
	    jt_settings_read_text(&r->input, entry, "token", true,
				  &token->token) != 0 ||
	    read_role(r, entry, &token->role) != 0 ||
	    jt_settings_read_text(&r->input, entry, "group",
				  token->role == JT_ROLE_OPERATE,
				  &token->group) != 0)
		return -1;
	if (strlen(token->token) < TOKEN_LENGTH_MIN)
		return jt_settings_wrong(&r->input, entry, "token",
					 "must have 16 characters or more");
	return 0;
}

static char *read_file(struct reader *r, const char *name)
{
	char *text = talloc_strdup(r->settings, "");
	char chunk[4096];
	FILE *file = fopen(name, "r");
	size_t count;

	if (file == NULL)
		return NULL;
	while ((count = fread(chunk, 1, sizeof(chunk), file)) > 0)
		text = talloc_strndup_append(text, chunk, count);
	fclose(file);
	return text;
}

static int read_certificate(struct reader *r, const config_setting_t *api,
			    const char *key, const char **text)
{
	const char *name = NULL;

	if (jt_settings_read_text(&r->input, api, key, false, &name) != 0)
		return -1;
	if (name == NULL)
		return 0;
	*text = read_file(r, name);
	if (*text == NULL)
		return jt_settings_wrong(&r->input, api, key,
					 "names a file that cannot be read");
	return 0;
}

static int read_api(struct reader *r, const config_setting_t *root)
{
	static const char *const known[] = {"tokens", "certificate",
					    "certificate_key", NULL};
	const config_setting_t *api =
		jt_settings_need_group(&r->input, root, "api");
	struct jt_settings *s = r->settings;
	const config_setting_t *tokens;

	if (api == NULL || jt_settings_check_keys(&r->input, api, known) != 0 ||
	    read_certificate(r, api, "certificate", &s->certificate) != 0 ||
	    read_certificate(r, api, "certificate_key", &s->certificate_key) !=
		    0)
		return -1;
	if ((s->certificate == NULL) != (s->certificate_key == NULL))
		return jt_settings_wrong(
			&r->input, api, "certificate",
			"must be set together with certificate_key");
	tokens = config_setting_get_member(api, "tokens");
	if (tokens == NULL || !config_setting_is_list(tokens) ||
	    config_setting_length(tokens) < 1 ||
	    config_setting_length(tokens) > JT_TOKEN_LIMIT)
		return jt_settings_wrong(&r->input, tokens ? tokens : api,
					 "tokens",
					 "must be a list of 1 to 64 groups");
	for (int i = 0; i < config_setting_length(tokens); i++) {
		if (read_token(r, config_setting_get_elem(tokens, (unsigned)i),
			       &s->tokens[i]) != 0)
			return -1;
		s->token_count++;
	}
	return 0;
}

static int read_limits(struct reader *r, const config_setting_t *root)
{
	struct jt_settings *s = r->settings;
	const char *level = "info";

	if (jt_settings_read_number(&r->input, root, "traffic_threads", 1,
				    JT_TRAFFIC_THREAD_LIMIT,
				    DEFAULT_TRAFFIC_THREADS,
				    &s->traffic_threads) != 0 ||
	    jt_settings_read_number(&r->input, root, "leave_delay_ms", 0,
				    600000, DEFAULT_LEAVE_DELAY_MS,
				    &s->leave_delay_ms) != 0 ||
	    jt_settings_read_number(&r->input, root, "flow_limit", 1000,
				    100000000, DEFAULT_FLOW_LIMIT,
				    &s->flow_limit) != 0 ||
	    jt_settings_read_text(&r->input, root, "log_level", false,
				  &level) != 0)
		return -1;
	s->log_threshold = jt_log_severity(level);
	if (s->log_threshold < 0)
		return jt_settings_wrong(
			&r->input, config_setting_get_member(root, "log_level"),
			"log_level",
			"must be a syslog severity such as \"info\"");
	return 0;
}

static int read_root(struct reader *r, const config_setting_t *root)
{
	static const char *const known[] = {"node",
					    "listen",
					    "store",
					    "seeds",
					    "keys",
					    "api",
					    "traffic_threads",
					    "machines",
					    "caller_gateway",
					    "leave_delay_ms",
					    "flow_limit",
					    "log_level",
					    NULL};
	struct jt_settings *s = r->settings;

	if (jt_settings_check_keys(&r->input, root, known) != 0 ||
	    read_node(r, root) != 0 || read_listen(r, root) != 0 ||
	    read_store(r, root) != 0 ||
	    jt_settings_read_addresses(&r->input, root, "seeds", s->seeds,
				       JT_SEED_LIMIT, &s->seed_count) != 0 ||
	    jt_settings_read_keys(&r->input, root, &s->keys) != 0 ||
	    read_api(r, root) != 0 || read_limits(r, root) != 0)
		return -1;
	if (jt_settings_read_text(&r->input, root, "machines", false,
				  &s->machines_url) != 0)
		return -1;
	return jt_settings_read_address(&r->input, root, "caller_gateway",
					&s->caller_gateway);
}

struct jt_settings *jt_settings_load(TALLOC_CTX *mem_ctx, const char *file,
				     char **error)
{
	struct reader r = {
		.input = {.file = file, .error = error, .error_ctx = mem_ctx}};
	const config_setting_t *root;
	config_t config;

	*error = NULL;
	r.settings = talloc_zero(mem_ctx, struct jt_settings);
	if (r.settings == NULL)
		return NULL;
	r.input.values_ctx = r.settings;
	root = jt_settings_parse(&r.input, &config);
	if (root == NULL || read_root(&r, root) != 0)
		TALLOC_FREE(r.settings);
	config_destroy(&config);
	return r.settings;
}

const char *jt_settings_fixed_difference(const struct jt_settings *current,
					 const struct jt_settings *changed)
{
	if (strcmp(current->name, changed->name) != 0)
		return "node.name";
	if (strcmp(current->zone, changed->zone) != 0)
		return "node.zone";
	if (strcmp(current->cell, changed->cell) != 0)
		return "node.cell";
	if (!jt_address_same(current->data, changed->data))
		return "listen.data";
	if (!jt_address_same(current->peer, changed->peer))
		return "listen.peer";
	if (!jt_address_same(current->api, changed->api))
		return "listen.api";
	if (current->traffic_threads != changed->traffic_threads)
		return "traffic_threads";
	if (current->flow_limit != changed->flow_limit)
		return "flow_limit";
	return NULL;
}
