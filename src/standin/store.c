/*
 * Key-value store: the part of the etcd v3 JSON API that the balancers use
 * (range, put, txn with MOD compares, lease, watch), with fault injection.
 *
 * POST /fault {"down": bool, "slow_ms": N, "lose_answers": N} sets the faults:
 * reject all requests, delay each by slow_ms, and execute the next
 * lose_answers transactions but answer them with an error.
 */
#include "standin.h"

#include "jt_net.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char usage[] =
	"Usage: jaspertrack-standin store --listen IP:PORT\n"
	"         [--operations-per-s N]\n";

struct entry {
	char *key; /* base64, as received */
	char *value;
	uint64_t create_revision;
	uint64_t mod_revision;
	uint64_t lease;
};

struct lease {
	uint64_t id;
	uint64_t ttl_ms;
	uint64_t expires_ms; /* 0: expired */
};

struct watcher {
	struct watcher *next;
	struct store *store;
	struct jt_http_request *request;
	char *key;
};

struct store {
	struct tevent_context *loop;
	struct entry *entries;
	size_t entry_count;
	struct lease *leases;
	size_t lease_count;
	struct watcher *watchers;
	uint64_t revision;
	uint64_t last_lease_id;
	double operations_per_s;
	double tokens;
	uint64_t last_refill_ms;
	bool down;
	uint64_t slow_ms;
	uint64_t lose_answers;
	uint64_t operations;
	uint64_t rate_limited;
};

struct delayed_request {
	struct store *store;
	struct jt_http_request *request;
	bool closed;
};

static void reply(struct jt_http_request *request, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	jt_http_reply(request, 200, "application/json", text);
	free(text);
	json_decref(body);
}

static json_t *uint64_json(uint64_t value)
{
	char text[24];

	snprintf(text, sizeof(text), "%llu", (unsigned long long)value);
	return json_string(text);
}

static uint64_t uint64_field(const json_t *object, const char *field)
{
	const json_t *value = json_object_get(object, field);

	if (json_is_string(value))
		return strtoull(json_string_value(value), NULL, 10);
	return (uint64_t)json_integer_value(value);
}

static json_t *header_json(const struct store *store)
{
	return json_pack("{s:o}", "revision", uint64_json(store->revision));
}

static struct entry *entry_find(struct store *store, const char *key)
{
	for (size_t i = 0; i < store->entry_count; i++) {
		if (strcmp(store->entries[i].key, key) == 0)
			return &store->entries[i];
	}
	return NULL;
}

static json_t *entry_json(const struct entry *entry)
{
	return json_pack("{s:s,s:s,s:o,s:o,s:o}", "key", entry->key, "value",
			 entry->value, "create_revision",
			 uint64_json(entry->create_revision), "mod_revision",
			 uint64_json(entry->mod_revision), "lease",
			 uint64_json(entry->lease));
}

static void notify_watchers(struct store *store, const struct entry *entry,
			    const char *type)
{
	for (struct watcher *w = store->watchers; w; w = w->next) {
		json_t *message;
		char *text;

		if (strcmp(w->key, entry->key) != 0)
			continue;
		message = json_pack("{s:{s:o,s:[{s:s,s:o}]}}", "result",
				    "header", header_json(store), "events",
				    "type", type, "kv", entry_json(entry));
		text = json_dumps(message, JSON_COMPACT);
		jt_http_stream(w->request, text);
		jt_http_stream(w->request, "\n");
		free(text);
		json_decref(message);
	}
}

static void entry_put(struct store *store, const json_t *request)
{
	const char *key = json_string_value(json_object_get(request, "key"));
	const char *value =
		json_string_value(json_object_get(request, "value"));
	struct entry *entry = entry_find(store, key);

	store->revision++;
	if (entry == NULL) {
		store->entries =
			talloc_realloc(store, store->entries, struct entry,
				       store->entry_count + 1);
		entry = &store->entries[store->entry_count++];
		memset(entry, 0, sizeof(*entry));
		entry->key = talloc_strdup(store, key);
		entry->create_revision = store->revision;
	}
	talloc_free(entry->value);
	entry->value = talloc_strdup(store, value ? value : "");
	entry->mod_revision = store->revision;
	entry->lease = uint64_field(request, "lease");
	notify_watchers(store, entry, "PUT");
}

static void entry_delete(struct store *store, size_t index)
{
	store->revision++;
	notify_watchers(store, &store->entries[index], "DELETE");
	talloc_free(store->entries[index].key);
	talloc_free(store->entries[index].value);
	store->entries[index] = store->entries[--store->entry_count];
}

static void expire_leases(struct store *store)
{
	uint64_t now = jt_clock_ms();

	for (size_t i = 0; i < store->lease_count; i++) {
		struct lease *lease = &store->leases[i];

		if (lease->expires_ms == 0 || now < lease->expires_ms)
			continue;
		lease->expires_ms = 0;
		for (size_t e = 0; e < store->entry_count;) {
			if (store->entries[e].lease == lease->id)
				entry_delete(store, e);
			else
				e++;
		}
	}
}

static void handle_range(struct store *store, struct jt_http_request *request,
			 const json_t *body)
{
	const char *key = json_string_value(json_object_get(body, "key"));
	struct entry *entry = key ? entry_find(store, key) : NULL;
	json_t *kvs = json_array();

	if (entry != NULL)
		json_array_append_new(kvs, entry_json(entry));
	reply(request,
	      json_pack("{s:o,s:o,s:o}", "header", header_json(store), "kvs",
			kvs, "count", uint64_json(entry != NULL)));
}

static bool compares_hold(struct store *store, const json_t *list)
{
	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *compare = json_array_get(list, i);
		const char *key =
			json_string_value(json_object_get(compare, "key"));
		struct entry *entry = key ? entry_find(store, key) : NULL;

		if (uint64_field(compare, "mod_revision") !=
		    (entry ? entry->mod_revision : 0))
			return false;
	}
	return true;
}

static void handle_txn(struct store *store, struct jt_http_request *request,
		       const json_t *body)
{
	bool succeeded = compares_hold(store, json_object_get(body, "compare"));
	const json_t *operations =
		json_object_get(body, succeeded ? "success" : "failure");

	for (size_t i = 0; i < json_array_size(operations); i++) {
		const json_t *operation = json_object_get(
			json_array_get(operations, i), "request_put");

		if (json_is_string(json_object_get(operation, "key")))
			entry_put(store, operation);
	}
	if (store->lose_answers > 0) {
		store->lose_answers--;
		jt_http_reply(request, 504, "text/plain", "answer lost\n");
		return;
	}
	reply(request, json_pack("{s:o,s:b}", "header", header_json(store),
				 "succeeded", (int)succeeded));
}

static void handle_put(struct store *store, struct jt_http_request *request,
		       const json_t *body)
{
	if (json_is_string(json_object_get(body, "key")))
		entry_put(store, body);
	reply(request, json_pack("{s:o}", "header", header_json(store)));
}

static void handle_grant(struct store *store, struct jt_http_request *request,
			 const json_t *body)
{
	struct lease *lease;

	store->leases = talloc_realloc(store, store->leases, struct lease,
				       store->lease_count + 1);
	lease = &store->leases[store->lease_count++];
	lease->id = ++store->last_lease_id;
	lease->ttl_ms = uint64_field(body, "TTL") * 1000;
	lease->expires_ms = jt_clock_ms() + lease->ttl_ms;
	reply(request, json_pack("{s:o,s:o,s:o}", "header", header_json(store),
				 "ID", uint64_json(lease->id), "TTL",
				 uint64_json(lease->ttl_ms / 1000)));
}

static void handle_keepalive(struct store *store,
			     struct jt_http_request *request,
			     const json_t *body)
{
	uint64_t id = uint64_field(body, "ID");
	uint64_t ttl = 0;

	for (size_t i = 0; i < store->lease_count; i++) {
		struct lease *lease = &store->leases[i];

		if (lease->id != id || lease->expires_ms == 0)
			continue;
		lease->expires_ms = jt_clock_ms() + lease->ttl_ms;
		ttl = lease->ttl_ms / 1000;
	}
	reply(request, json_pack("{s:{s:o,s:o,s:o}}", "result", "header",
				 header_json(store), "ID", uint64_json(id),
				 "TTL", uint64_json(ttl)));
}

static void on_watcher_closed(void *private_data)
{
	struct watcher *watcher = private_data;
	struct watcher **link = &watcher->store->watchers;

	while (*link != watcher)
		link = &(*link)->next;
	*link = watcher->next;
	talloc_free(watcher);
}

static void handle_watch(struct store *store, struct jt_http_request *request,
			 const json_t *body)
{
	const json_t *create = json_object_get(body, "create_request");
	const char *key = json_string_value(json_object_get(create, "key"));
	struct watcher *watcher;
	struct entry *entry;

	if (key == NULL) {
		jt_http_reply(request, 400, "text/plain", "no key\n");
		return;
	}
	watcher = talloc_zero(store, struct watcher);
	watcher->store = store;
	watcher->request = request;
	watcher->key = talloc_strdup(watcher, key);
	watcher->next = store->watchers;
	store->watchers = watcher;
	jt_http_on_close(request, on_watcher_closed, watcher);
	jt_http_stream_start(request, "application/json");
	jt_http_stream(request, "{\"result\":{\"created\":true}}\n");
	entry = entry_find(store, key);
	if (entry != NULL &&
	    entry->mod_revision >= uint64_field(create, "start_revision"))
		notify_watchers(store, entry, "PUT");
}

static void handle_fault(struct store *store, struct jt_http_request *request,
			 const json_t *body)
{
	store->down = json_is_true(json_object_get(body, "down"));
	store->slow_ms = uint64_field(body, "slow_ms");
	store->lose_answers = uint64_field(body, "lose_answers");
	reply(request, json_pack("{s:I,s:I}", "operations",
				 (json_int_t)store->operations, "limited",
				 (json_int_t)store->rate_limited));
}

static bool rate_limit_take(struct store *store)
{
	uint64_t now = jt_clock_ms();

	store->tokens += (double)(now - store->last_refill_ms) *
			 store->operations_per_s / 1000.0;
	store->last_refill_ms = now;
	if (store->tokens > 2 * store->operations_per_s)
		store->tokens = 2 * store->operations_per_s;
	if (store->tokens < 1)
		return false;
	store->tokens -= 1;
	return true;
}

static void dispatch(struct store *store, struct jt_http_request *request)
{
	static const struct {
		const char *path;
		void (*handle)(struct store *, struct jt_http_request *,
			       const json_t *);
	} routes[] = {
		{"/v3/kv/range", handle_range},
		{"/v3/kv/put", handle_put},
		{"/v3/kv/txn", handle_txn},
		{"/v3/lease/grant", handle_grant},
		{"/v3/lease/keepalive", handle_keepalive},
		{"/v3/watch", handle_watch},
	};
	json_t *body = json_loads(jt_http_body(request, NULL), 0, NULL);

	expire_leases(store);
	store->operations++;
	if (!rate_limit_take(store)) {
		store->rate_limited++;
		jt_http_reply(request, 429, "text/plain", "rate limit\n");
		json_decref(body);
		return;
	}
	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		if (strcmp(routes[i].path, jt_http_path(request)) == 0) {
			routes[i].handle(store, request, body);
			json_decref(body);
			return;
		}
	}
	json_decref(body);
	jt_http_reply(request, 404, "text/plain", "no such page\n");
}

static void on_delay_over(struct tevent_context *loop,
			  struct tevent_timer *timer, struct timeval now,
			  void *private_data)
{
	struct delayed_request *delayed_request = private_data;

	(void)loop;
	(void)timer;
	(void)now;
	if (!delayed_request->closed) {
		jt_http_on_close(delayed_request->request, NULL, NULL);
		dispatch(delayed_request->store, delayed_request->request);
	}
	talloc_free(delayed_request);
}

static void on_delayed_closed(void *private_data)
{
	((struct delayed_request *)private_data)->closed = true;
}

static void on_request(struct jt_http_request *request, void *private_data)
{
	struct store *store = private_data;
	struct delayed_request *delayed_request;
	json_t *body;

	if (strcmp(jt_http_path(request), "/fault") == 0) {
		body = json_loads(jt_http_body(request, NULL), 0, NULL);
		handle_fault(store, request, body);
		json_decref(body);
		return;
	}
	if (store->down) {
		jt_http_reply(request, 503, "text/plain", "down\n");
		return;
	}
	if (store->slow_ms == 0) {
		dispatch(store, request);
		return;
	}
	delayed_request = talloc_zero(store, struct delayed_request);
	delayed_request->store = store;
	delayed_request->request = request;
	jt_http_on_close(request, on_delayed_closed, delayed_request);
	tevent_add_timer(store->loop, delayed_request,
			 tevent_timeval_current_ofs(
				 (uint32_t)(store->slow_ms / 1000),
				 (uint32_t)(store->slow_ms % 1000) * 1000),
			 on_delay_over, delayed_request);
}

int store_main(int argc, char **argv)
{
	struct jt_http_options options = {0};
	struct store *store;
	bool finished;

	if (standin_help_requested(argc, argv, usage))
		return EXIT_OK;
	if (!standin_address_option(argc, argv, "--listen", &options.address))
		return EXIT_USAGE;
	store = talloc_zero(NULL, struct store);
	store->loop = standin_loop_create(store, &finished);
	store->operations_per_s =
		standin_number_option(argc, argv, "--operations-per-s", 50);
	store->tokens = store->operations_per_s;
	store->last_refill_ms = jt_clock_ms();
	if (jt_http_server_create(store, store->loop, &options, on_request,
				  store) == NULL) {
		perror("store");
		talloc_free(store);
		return EXIT_FAILED;
	}
	while (!finished)
		tevent_loop_once(store->loop);
	talloc_free(store);
	return EXIT_OK;
}
