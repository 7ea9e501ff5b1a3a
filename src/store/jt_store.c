#include "jt_store.h"

#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

enum { CALL_TIMEOUT_MS = 2000, WATCH_BUFFER_LIMIT = 16 << 20 };

struct jt_store {
	struct jt_http_client *http;
	struct tevent_context *loop;
	const char *url;
	uint64_t bytes;
	uint64_t operations;
};

struct call_state {
	struct jt_store *store;
	enum jt_store_result result;
	json_t *response;
};

struct jt_store *jt_store_create(TALLOC_CTX *mem_ctx,
				 struct tevent_context *loop, const char *url)
{
	struct jt_store *store = talloc_zero(mem_ctx, struct jt_store);

	if (store == NULL)
		return NULL;
	store->loop = loop;
	store->url = talloc_strdup(store, url);
	store->http = jt_http_client_create(store, loop);
	if (store->url == NULL || store->http == NULL)
		TALLOC_FREE(store);
	return store;
}

uint64_t jt_store_bytes(const struct jt_store *store)
{
	return store->bytes;
}

uint64_t jt_store_operations(const struct jt_store *store)
{
	return store->operations;
}

static char *to_base64(TALLOC_CTX *mem_ctx, const char *text)
{
	size_t length = strlen(text);
	size_t size = sodium_base64_ENCODED_LEN(length,
						sodium_base64_VARIANT_ORIGINAL);
	char *encoded = talloc_array(mem_ctx, char, size);

	if (encoded != NULL)
		sodium_bin2base64(encoded, size, (const uint8_t *)text, length,
				  sodium_base64_VARIANT_ORIGINAL);
	return encoded;
}

static char *from_base64(TALLOC_CTX *mem_ctx, const char *encoded)
{
	size_t length = strlen(encoded);
	char *text = talloc_array(mem_ctx, char, length + 1);
	size_t used;

	if (text == NULL)
		return NULL;
	if (sodium_base642bin((uint8_t *)text, length, encoded, length, NULL,
			      &used, NULL,
			      sodium_base64_VARIANT_ORIGINAL) != 0) {
		talloc_free(text);
		return NULL;
	}
	text[used] = '\0';
	return text;
}

/* The JSON mapping of protocol buffers encodes 64-bit numbers as strings. */
static uint64_t read_number(const json_t *object, const char *field)
{
	const json_t *value = json_object_get(object, field);

	if (json_is_string(value))
		return strtoull(json_string_value(value), NULL, 10);
	return (uint64_t)json_integer_value(value);
}

static int call_destructor(struct call_state *state)
{
	json_decref(state->response);
	state->response = NULL;
	return 0;
}

static void on_call_done(struct tevent_req *subreq)
{
	struct tevent_req *req =
		tevent_req_callback_data(subreq, struct tevent_req);
	struct call_state *state = tevent_req_data(req, struct call_state);
	char *body = NULL;
	size_t bytes = 0;
	long status = 0;
	int failed = jt_http_recv(subreq, state, &status, &body, &bytes);

	TALLOC_FREE(subreq);
	state->store->bytes += bytes;
	if (failed) {
		state->result = JT_STORE_LOST;
	} else if (status != 200) {
		/* A gateway's 5xx does not show whether the write was
		 * applied. */
		state->result = status == 429 || status == 400
					? JT_STORE_REFUSED
					: JT_STORE_LOST;
	} else {
		state->response = json_loads(body, 0, NULL);
		state->result =
			state->response ? JT_STORE_OK : JT_STORE_BAD_RESPONSE;
	}
	tevent_req_done(req);
}

/* Takes ownership of @body. */
static struct tevent_req *call_send(TALLOC_CTX *mem_ctx, struct jt_store *store,
				    const char *path, json_t *body)
{
	struct jt_http_call call = {.method = "POST",
				    .timeout_ms = CALL_TIMEOUT_MS};
	struct tevent_req *req, *subreq;
	struct call_state *state;
	char *text;

	req = tevent_req_create(mem_ctx, &state, struct call_state);
	if (req == NULL) {
		json_decref(body);
		return NULL;
	}
	state->store = store;
	state->result = JT_STORE_LOST;
	talloc_set_destructor(state, call_destructor);
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	call.url = talloc_asprintf(state, "%s%s", store->url, path);
	call.body = text;
	store->operations++;
	store->bytes += text ? strlen(text) : 0;
	subreq = jt_http_send(state, store->http, &call);
	free(text);
	if (tevent_req_nomem(subreq, req))
		return tevent_req_post(req, store->loop);
	tevent_req_set_callback(subreq, on_call_done, req);
	return req;
}

struct tevent_req *jt_store_get_send(TALLOC_CTX *mem_ctx,
				     struct jt_store *store, const char *key)
{
	char *encoded = to_base64(mem_ctx, key);
	json_t *body = json_pack("{s:s}", "key", encoded);

	talloc_free(encoded);
	return call_send(mem_ctx, store, "/v3/kv/range", body);
}

static bool value_from_json(TALLOC_CTX *mem_ctx, const json_t *kv,
			    struct jt_store_value *value)
{
	const char *encoded = json_string_value(json_object_get(kv, "value"));

	value->present = true;
	value->mod_revision = read_number(kv, "mod_revision");
	value->value = from_base64(mem_ctx, encoded ? encoded : "");
	return value->value != NULL;
}

enum jt_store_result jt_store_get_recv(struct tevent_req *req,
				       TALLOC_CTX *mem_ctx,
				       struct jt_store_value *value)
{
	struct call_state *state = tevent_req_data(req, struct call_state);
	enum jt_store_result result = state->result;
	const json_t *list;

	*value = (struct jt_store_value){0};
	if (result == JT_STORE_OK) {
		list = json_object_get(state->response, "kvs");
		if (json_array_size(list) > 0 &&
		    !value_from_json(mem_ctx, json_array_get(list, 0), value))
			result = JT_STORE_BAD_RESPONSE;
	}
	tevent_req_received(req);
	return result;
}

struct tevent_req *jt_store_put_send(TALLOC_CTX *mem_ctx,
				     struct jt_store *store, const char *key,
				     const char *value, uint64_t mod_revision)
{
	char *k = to_base64(mem_ctx, key);
	char *v = to_base64(mem_ctx, value);
	char *revision = talloc_asprintf(mem_ctx, "%llu",
					 (unsigned long long)mod_revision);
	json_t *body = json_pack("{s:[{s:s,s:s,s:s,s:s}],s:[{s:{s:s,s:s}}]}",
				 "compare", "result", "EQUAL", "target", "MOD",
				 "key", k, "mod_revision", revision, "success",
				 "request_put", "key", k, "value", v);

	talloc_free(k);
	talloc_free(v);
	talloc_free(revision);
	return call_send(mem_ctx, store, "/v3/kv/txn", body);
}

enum jt_store_result jt_store_put_recv(struct tevent_req *req,
				       uint64_t *revision)
{
	struct call_state *state = tevent_req_data(req, struct call_state);
	enum jt_store_result result = state->result;

	if (result == JT_STORE_OK) {
		*revision = read_number(
			json_object_get(state->response, "header"), "revision");
		if (!json_is_true(
			    json_object_get(state->response, "succeeded")))
			result = JT_STORE_FAILED_COMPARE;
	}
	tevent_req_received(req);
	return result;
}

struct watch_state {
	struct jt_store *store;
	void (*on_change)(const struct jt_store_value *, void *);
	void *private_data;
	char *buffer;
	size_t length;
};

static void watch_event(struct watch_state *state, const json_t *event)
{
	const char *type = json_string_value(json_object_get(event, "type"));
	struct jt_store_value value;
	TALLOC_CTX *frame;

	if (type != NULL && strcmp(type, "DELETE") == 0)
		return; /* a configuration is never deleted */
	frame = talloc_new(state);
	if (value_from_json(frame, json_object_get(event, "kv"), &value))
		state->on_change(&value, state->private_data);
	talloc_free(frame);
}

static void on_watch_data(const char *data, size_t length, void *private_data)
{
	struct watch_state *state = private_data;
	json_t *message;
	json_error_t error;

	if (state->length + length > WATCH_BUFFER_LIMIT)
		return;
	state->store->bytes += length;
	state->buffer = talloc_realloc(state, state->buffer, char,
				       state->length + length + 1);
	if (state->buffer == NULL)
		return;
	memcpy(state->buffer + state->length, data, length);
	state->length += length;
	while ((message = json_loadb(state->buffer, state->length,
				     JSON_DISABLE_EOF_CHECK, &error))) {
		const json_t *events = json_object_get(
			json_object_get(message, "result"), "events");
		size_t used = (size_t)error.position;

		for (size_t i = 0; i < json_array_size(events); i++)
			watch_event(state, json_array_get(events, i));
		json_decref(message);
		state->length -= used;
		memmove(state->buffer, state->buffer + used, state->length);
	}
}

static void on_watch_done(struct tevent_req *subreq)
{
	struct tevent_req *req =
		tevent_req_callback_data(subreq, struct tevent_req);
	struct watch_state *state = tevent_req_data(req, struct watch_state);
	long status;
	char *body;

	(void)jt_http_recv(subreq, state, &status, &body, NULL);
	TALLOC_FREE(subreq);
	tevent_req_done(req);
}

struct tevent_req *
jt_store_watch_send(TALLOC_CTX *mem_ctx, struct jt_store *store,
		    const char *key, uint64_t start_revision,
		    void (*on_change)(const struct jt_store_value *value,
				      void *private_data),
		    void *private_data)
{
	struct jt_http_call call = {.method = "POST"};
	struct tevent_req *req, *subreq;
	struct watch_state *state;
	json_t *body;
	char *text, *k, *revision;

	req = tevent_req_create(mem_ctx, &state, struct watch_state);
	if (req == NULL)
		return NULL;
	state->store = store;
	state->on_change = on_change;
	state->private_data = private_data;
	k = to_base64(state, key);
	revision = talloc_asprintf(state, "%llu",
				   (unsigned long long)start_revision);
	body = json_pack("{s:{s:s,s:s}}", "create_request", "key", k,
			 "start_revision", revision);
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	call.url = talloc_asprintf(state, "%s/v3/watch", store->url);
	call.body = text;
	call.on_body = on_watch_data;
	call.on_body_data = state;
	store->operations++;
	subreq = jt_http_send(state, store->http, &call);
	free(text);
	if (tevent_req_nomem(subreq, req))
		return tevent_req_post(req, store->loop);
	tevent_req_set_callback(subreq, on_watch_done, req);
	return req;
}

void jt_store_watch_recv(struct tevent_req *req)
{
	tevent_req_received(req);
}
