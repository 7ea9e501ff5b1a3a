#include "jt_api.h"
#include "jt_api_access.h"
#include "jt_api_reply.h"
#include "jt_http_server.h"
#include "jt_net.h"
#include "jt_status.h"

#include <errno.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

enum {
	CONNECTION_LIMIT = 256,
	WATCH_TIMEOUT_MS = 30000,
	RATE_PER_S = 200, /* requests of all API users together */
	RATE_BURST = 400,
};

struct pending_watch {
	struct pending_watch *next;
	struct jt_api *api;
	struct jt_http_request *request;
	uint64_t after_revision;
	uint64_t deadline_ms;
};

struct jt_api {
	struct jt_node *node;
	struct jt_config_sync *sync;
	struct jt_http_server *server;
	struct pending_watch *watches;
	uint64_t tokens_milli;
	uint64_t refilled_ms;
};

/* A write whose HTTP request waits for the outcome. */
struct api_write {
	struct jt_api *api;
	struct jt_http_request *request;
	char *id;
};

static bool rate_allows(struct jt_api *api)
{
	uint64_t now = jt_clock_ms();

	api->tokens_milli += (now - api->refilled_ms) * RATE_PER_S;
	api->refilled_ms = now;
	if (api->tokens_milli > (uint64_t)RATE_BURST * 1000)
		api->tokens_milli = (uint64_t)RATE_BURST * 1000;
	if (api->tokens_milli < 1000)
		return false;
	api->tokens_milli -= 1000;
	return true;
}

/* Returns the document active on this node, without the write ids. */
static json_t *active_document(const struct jt_node *node, uint64_t *revision)
{
	const struct jt_cell_state *state = jt_core_state(node->core);
	const struct jt_document *document = NULL;
	json_t *root;

	if (state != NULL)
		document = jt_node_find_document(node, state->config->revision);
	if (document == NULL)
		document = jt_node_newest_document(node);
	*revision = document ? document->revision : 0;
	root = document ? json_loads(document->text, 0, NULL) : json_object();
	json_object_del(root, "write_ids");
	return root;
}

/* Writes */

static void on_written(enum jt_write_outcome outcome, uint64_t revision,
		       const struct jt_resource_error *error,
		       void *private_data)
{
	struct api_write *write = private_data;
	struct jt_http_request *request = write->request;

	jt_http_on_close(request, NULL, NULL);
	jt_api_reply_outcome(request, write->id, outcome, revision, error);
	talloc_free(write);
}

static void on_write_closed(void *private_data)
{
	struct api_write *write = private_data;

	jt_config_write_cancel_callback(write->api->sync, write);
	talloc_free(write);
}

static struct api_write *write_create(struct jt_api *api,
				      struct jt_http_request *request,
				      const char *id)
{
	struct api_write *write = talloc_zero(api, struct api_write);
	uint8_t bytes[12];
	char hex[2 * sizeof(bytes) + 1];

	if (write == NULL)
		return NULL;
	if (id == NULL) {
		randombytes_buf(bytes, sizeof(bytes));
		id = sodium_bin2hex(hex, sizeof(hex), bytes, sizeof(bytes));
	}
	write->api = api;
	write->request = request;
	write->id = talloc_strdup(write, id);
	jt_http_on_close(request, on_write_closed, write);
	return write;
}

static int change_status(enum jt_change_result result)
{
	switch (result) {
	case JT_CHANGE_CONFLICT:
		return 409;
	case JT_CHANGE_NOT_FOUND:
		return 404;
	case JT_CHANGE_FORBIDDEN:
		return 403;
	default:
		return 422;
	}
}

static void dry_run(struct jt_api *api, struct jt_http_request *request,
		    const struct jt_change *changes, size_t count)
{
	struct jt_resource_error error = {0};
	uint64_t revision;
	json_t *current = active_document(api->node, &revision);
	json_t *new_document;
	enum jt_change_result result = jt_change_apply(
		current, changes, count, "dry-run", &new_document, &error);

	json_decref(current);
	if (result != JT_CHANGE_OK) {
		jt_api_reply_resource_error(request, change_status(result),
					    &error);
		return;
	}
	jt_api_reply_json(
		request, 200,
		json_pack("{s:s,s:I,s:o}", "outcome", "valid", "revision",
			  (json_int_t)revision, "plan",
			  jt_status_dry_run(api->node, new_document)));
	json_decref(new_document);
}

/* Checks and submits @changes. Takes ownership of @changes and @posted. */
static void changes_submit(struct jt_api *api, struct jt_http_request *request,
			   const struct jt_token *token,
			   struct jt_change *changes, size_t count,
			   json_t *posted)
{
	const char *id = jt_http_header(request, "X-Request-Id");
	const char *dry_run_query = jt_http_query(request, "dry_run");
	struct jt_resource_error error = {0};
	struct api_write *write;

	for (size_t i = 0; i < count; i++) {
		if (token->role == JT_ROLE_OPERATE)
			changes[i].required_group =
				talloc_strdup(changes, token->group);
		if (!jt_api_change_allowed(token, &changes[i])) {
			jt_api_reply_error(
				request, 403,
				"the token does not allow this change");
			goto release;
		}
		if (jt_api_deletion_breaks_flows(api->node->core, &changes[i],
						 &error)) {
			jt_api_reply_resource_error(request, 409, &error);
			goto release;
		}
	}
	if (dry_run_query != NULL && strcmp(dry_run_query, "1") == 0) {
		dry_run(api, request, changes, count);
		goto release;
	}
	if (id != NULL && (strlen(id) == 0 || strlen(id) > JT_WRITE_ID_BYTES)) {
		jt_api_reply_error(
			request, 400,
			"X-Request-Id must have 1 to 128 characters");
		goto release;
	}
	write = write_create(api, request, id);
	if (write == NULL)
		goto release;
	jt_config_write(api->sync, write->id, changes, count, posted,
			on_written, write);
	return;
release:
	talloc_free(changes);
	json_decref(posted);
}

static json_t *parse_body(struct jt_http_request *request)
{
	json_error_t error;
	char reason[256];
	json_t *posted = json_loads(jt_http_body(request, NULL),
				    JSON_REJECT_DUPLICATES, &error);

	if (posted != NULL)
		return posted;
	snprintf(reason, sizeof(reason), "body: line %d: %s", error.line,
		 error.text);
	jt_api_reply_error(request, 400, reason);
	return NULL;
}

static void handle_apply(struct jt_api *api, struct jt_http_request *request,
			 const struct jt_token *token)
{
	struct jt_resource_error error;
	struct jt_change *changes;
	json_t *posted = parse_body(request);
	size_t count;

	if (posted == NULL)
		return;
	if (jt_change_from_document(api, posted, &changes, &count, &error) !=
	    0) {
		jt_api_reply_resource_error(request, 422, &error);
		json_decref(posted);
		return;
	}
	changes_submit(api, request, token, changes, count, posted);
}

static void handle_put(struct jt_api *api, struct jt_http_request *request,
		       const struct jt_token *token, enum jt_resource_kind kind,
		       const char *name)
{
	json_t *posted = parse_body(request);
	struct jt_change *change;
	const char *resource_name;

	if (posted == NULL)
		return;
	change = talloc_zero(api, struct jt_change);
	resource_name = jt_resource_name(change, kind, posted);
	if (resource_name == NULL || strcmp(resource_name, name) != 0) {
		jt_api_reply_json(request, 422,
				  json_pack("{s:s,s:s}", "error",
					    "differs from the name in the path",
					    "field", "name"));
		talloc_free(change);
		json_decref(posted);
		return;
	}
	change->kind = kind;
	change->name = resource_name;
	change->resource = posted;
	change->has_version =
		json_is_integer(json_object_get(posted, "version"));
	change->version = (uint64_t)json_integer_value(
		json_object_get(posted, "version"));
	changes_submit(api, request, token, change, 1, posted);
}

static void handle_delete(struct jt_api *api, struct jt_http_request *request,
			  const struct jt_token *token,
			  enum jt_resource_kind kind, const char *name)
{
	struct jt_change *change = talloc_zero(api, struct jt_change);
	const char *version = jt_http_query(request, "version");

	change->kind = kind;
	change->name = talloc_strdup(change, name);
	if (version != NULL) {
		change->has_version = true;
		change->version = strtoull(version, NULL, 10);
	}
	changes_submit(api, request, token, change, 1, NULL);
}

static void handle_get(struct jt_api *api, struct jt_http_request *request,
		       enum jt_resource_kind kind, const char *name)
{
	uint64_t revision;
	json_t *root = active_document(api->node, &revision);
	json_t *list = json_object_get(root, jt_resource_kind_name(kind));
	size_t at;

	if (name == NULL) {
		jt_api_reply_json(request, 200,
				  json_pack("{s:I,s:O}", "revision",
					    (json_int_t)revision, "items",
					    list ? list : json_array()));
	} else {
		at = jt_resource_find(root, kind, name);
		if (at == SIZE_MAX)
			jt_api_reply_error(request, 404, "resource not found");
		else
			jt_api_reply_json(
				request, 200,
				json_incref(json_array_get(list, at)));
	}
	json_decref(root);
}

/* Watching */

static void watch_remove(struct pending_watch *watch)
{
	struct pending_watch **link = &watch->api->watches;

	while (*link != NULL && *link != watch)
		link = &(*link)->next;
	if (*link == watch)
		*link = watch->next;
	talloc_free(watch);
}

static void on_watch_closed(void *private_data)
{
	watch_remove(private_data);
}

static void watch_answer(struct pending_watch *watch)
{
	struct jt_http_request *request = watch->request;
	uint64_t revision;
	json_t *root = active_document(watch->api->node, &revision);

	jt_http_on_close(request, NULL, NULL);
	watch_remove(watch);
	jt_api_reply_json(request, 200,
			  json_pack("{s:I,s:o}", "revision",
				    (json_int_t)revision, "resources", root));
}

static uint64_t active_revision(const struct jt_node *node)
{
	const struct jt_cell_state *state = jt_core_state(node->core);

	return state ? state->config->revision : 0;
}

void jt_api_answer_watches(struct jt_api *api)
{
	struct pending_watch *watch, *next;
	uint64_t revision;

	revision = active_revision(api->node);
	for (watch = api->watches; watch != NULL; watch = next) {
		next = watch->next;
		if (revision > watch->after_revision)
			watch_answer(watch);
	}
}

void jt_api_tick(struct jt_api *api)
{
	struct pending_watch *watch, *next;
	uint64_t now = jt_clock_ms();

	for (watch = api->watches; watch != NULL; watch = next) {
		next = watch->next;
		if (now >= watch->deadline_ms)
			watch_answer(watch);
	}
}

static void handle_watch(struct jt_api *api, struct jt_http_request *request)
{
	const char *after_revision = jt_http_query(request, "after");
	struct pending_watch *watch = talloc_zero(api, struct pending_watch);

	watch->api = api;
	watch->request = request;
	watch->after_revision =
		after_revision ? strtoull(after_revision, NULL, 10) : 0;
	watch->deadline_ms = jt_clock_ms() + WATCH_TIMEOUT_MS;
	watch->next = api->watches;
	api->watches = watch;
	jt_http_on_close(request, on_watch_closed, watch);
	if (active_revision(api->node) > watch->after_revision)
		watch_answer(watch);
}

static void handle_explain(struct jt_api *api, struct jt_http_request *request)
{
	const char *source = jt_http_query(request, "source");
	const char *destination = jt_http_query(request, "destination");
	struct jt_address from, to;
	struct jt_flow_key key = {.protocol = JT_PROTOCOL_TCP};

	if (source == NULL || jt_address_parse(source, &from) != 0) {
		jt_api_reply_error(request, 400, "source: must be IPV4:PORT");
		return;
	}
	if (destination == NULL || jt_address_parse(destination, &to) != 0) {
		jt_api_reply_error(request, 400,
				   "destination: must be IPV4:PORT");
		return;
	}
	key.source = from.ip;
	key.source_port = from.port;
	key.destination = to.ip;
	key.destination_port = to.port;
	jt_api_reply_json(request, 200, jt_status_lookup_flow(api->node, &key));
}

static void handle_resources(struct jt_api *api,
			     struct jt_http_request *request)
{
	uint64_t revision;
	json_t *root = active_document(api->node, &revision);

	jt_api_reply_json(request, 200,
			  json_pack("{s:I,s:o}", "revision",
				    (json_int_t)revision, "resources", root));
}

static void handle_outcome(struct jt_api *api, struct jt_http_request *request,
			   const char *id)
{
	struct api_write *write = write_create(api, request, id);

	if (write != NULL)
		jt_config_write_query(api->sync, write->id, on_written, write);
}

/* Returns true if @path is a kind of resources or one resource; *name is NULL
 * for a kind. */
static bool parse_resource_path(const char *path, enum jt_resource_kind *kind,
				const char **name)
{
	static const char prefix[] = "/v1/";
	char kind_name[16];
	const char *end;
	size_t length;

	if (strncmp(path, prefix, strlen(prefix)) != 0)
		return false;
	path += strlen(prefix);
	end = strchrnul(path, '/');
	length = (size_t)(end - path);
	if (length >= sizeof(kind_name))
		return false;
	memcpy(kind_name, path, length);
	kind_name[length] = '\0';
	*kind = jt_resource_kind_parse(kind_name);
	*name = *end == '/' && end[1] != '\0' ? end + 1 : NULL;
	return *kind != JT_RESOURCE_KIND_COUNT;
}

static void handle_v1(struct jt_api *api, struct jt_http_request *request,
		      const struct jt_token *token)
{
	const char *path = jt_http_path(request);
	const char *method = jt_http_method(request);
	static const char writes[] = "/v1/writes/";
	enum jt_resource_kind kind;
	const char *name;
	bool get = strcmp(method, "GET") == 0;

	if (get && strcmp(path, "/v1/resources") == 0)
		handle_resources(api, request);
	else if (get && strcmp(path, "/v1/status") == 0)
		jt_api_reply_json(request, 200,
				  jt_status_json(api->node, api->sync));
	else if (get && strcmp(path, "/v1/watch") == 0)
		handle_watch(api, request);
	else if (get && strcmp(path, "/v1/explain") == 0)
		handle_explain(api, request);
	else if (get && strncmp(path, writes, strlen(writes)) == 0)
		handle_outcome(api, request, path + strlen(writes));
	else if (strcmp(method, "POST") == 0 && strcmp(path, "/v1/apply") == 0)
		handle_apply(api, request, token);
	else if (!parse_resource_path(path, &kind, &name))
		jt_api_reply_error(request, 404, "path not found");
	else if (get)
		handle_get(api, request, kind, name);
	else if (name != NULL && strcmp(method, "PUT") == 0)
		handle_put(api, request, token, kind, name);
	else if (name != NULL && strcmp(method, "DELETE") == 0)
		handle_delete(api, request, token, kind, name);
	else
		jt_api_reply_error(request, 405, "method not allowed");
}

static void handle_unauthenticated(struct jt_api *api,
				   struct jt_http_request *request)
{
	const char *path = jt_http_path(request);
	char *text;

	if (strcmp(path, "/healthz") == 0) {
		jt_http_reply(request, 200, "text/plain", "ok\n");
	} else if (strcmp(path, "/ready") == 0) {
		bool ready = jt_node_ready(api->node);

		jt_http_reply(request, ready ? 200 : 503, "text/plain",
			      ready ? "ready\n" : "not ready\n");
	} else if (strcmp(path, "/metrics") == 0) {
		text = jt_status_metrics(api, api->node, api->sync);
		jt_http_reply(request, 200, "text/plain; version=0.0.4", text);
		talloc_free(text);
	} else {
		jt_api_reply_error(request, 404, "path not found");
	}
}

static void on_request(struct jt_http_request *request, void *private_data)
{
	struct jt_api *api = private_data;
	const char *path = jt_http_path(request);
	const struct jt_token *token;

	if (strncmp(path, "/v1/", 4) != 0) {
		handle_unauthenticated(api, request);
		return;
	}
	if (!rate_allows(api)) {
		jt_api_reply_error(request, 429,
				   "too many requests, try later");
		return;
	}
	token = jt_api_find_token(api->node->settings, request);
	if (token == NULL) {
		jt_api_reply_error(request, 401, "a bearer token is required");
		return;
	}
	if (token->role < JT_ROLE_OPERATE &&
	    strcmp(jt_http_method(request), "GET") != 0) {
		jt_api_reply_error(request, 403,
				   "the token only allows reading");
		return;
	}
	handle_v1(api, request, token);
}

struct jt_api *jt_api_create(TALLOC_CTX *mem_ctx, struct jt_node *node,
			     struct jt_config_sync *sync)
{
	const struct jt_settings *settings = node->settings;
	const struct jt_http_options options = {
		.address = settings->api,
		.certificate = settings->certificate,
		.key = settings->certificate_key,
		.connection_limit = CONNECTION_LIMIT,
	};
	struct jt_api *api = talloc_zero(mem_ctx, struct jt_api);

	if (api == NULL)
		return NULL;
	api->node = node;
	api->sync = sync;
	api->refilled_ms = jt_clock_ms();
	api->tokens_milli = (uint64_t)RATE_BURST * 1000;
	api->server = jt_http_server_create(api, node->loop, &options,
					    on_request, api);
	if (api->server == NULL)
		TALLOC_FREE(api);
	return api;
}
