/* The part of the platform's store that nodes use: ranges and watches. */
#include "soak.h"

#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

enum {
	ITEM_LIMIT = 512,
	HISTORY_LIMIT = 4096,
	WATCH_LIMIT = 1024,
	VALUE_SIZE = 8192,
	TIMER_MS = 50,
	/* Revisions of the recent past, one for each run of the timer. */
	PAST_LIMIT = 256,
};

struct item {
	char key[64];
	char *value; /* base64; NULL: removed */
	uint64_t revision;
};

struct watch {
	struct jt_http_request *request;
	struct soak_store *store;
	uint64_t after;
	uint64_t due_ms;
};

struct soak_store {
	struct soak *soak;
	struct item items[ITEM_LIMIT];
	size_t item_count;
	struct item history[HISTORY_LIMIT];
	size_t history_count;
	uint64_t compacted_revision; /* newest discarded revision */
	uint64_t revision;
	struct watch *watches[WATCH_LIMIT]; /* owned by their requests */
	uint64_t down_until_ms;
	uint64_t disturbed_ms;
	uint64_t throttled_until_ms[SOAK_NODES_MAX];
	uint64_t past_revisions[PAST_LIMIT]; /* a ring */
	size_t past_count;
	uint64_t lag_ms; /* of stale reads */
	uint64_t lag_until_ms;
	struct jt_http_server *server;
	struct jt_timer *timer;
};

static json_t *item_json(const struct item *item)
{
	if (item->value == NULL)
		return json_pack("{s:s, s:I, s:b}", "tlsKey", item->key,
				 "revision", (json_int_t)item->revision, "gone",
				 1);
	return json_pack("{s:s, s:s, s:I}", "tlsKey", item->key, "value",
			 item->value, "revision", (json_int_t)item->revision);
}

static void reply(struct jt_http_request *request, unsigned status,
		  json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	jt_http_reply(request, status, "application/json", text);
	free(text);
	json_decref(body);
}

static void reply_error(struct jt_http_request *request, unsigned status)
{
	reply(request, status, json_pack("{s:s}", "error", "not now"));
}

/* Returns the revision that a stale read shows. */
static uint64_t stale_revision(const struct soak_store *store)
{
	size_t steps = store->lag_ms / TIMER_MS;

	if (jt_clock_ms() >= store->lag_until_ms)
		return store->revision;
	if (steps >= store->past_count)
		steps = store->past_count - 1;
	if (steps >= PAST_LIMIT)
		steps = PAST_LIMIT - 1;
	return store
		->past_revisions[(store->past_count - 1 - steps) % PAST_LIMIT];
}

/* A stale read lags in its revision only: nodes read no items that way. */
static void range_reply(struct soak_store *store,
			struct jt_http_request *request)
{
	const char *prefix = jt_http_query(request, "pathPrefix");
	bool stale = jt_http_query(request, "stale") != NULL;
	json_t *items = json_array();

	for (size_t i = 0; i < store->item_count; i++) {
		const struct item *item = &store->items[i];

		if (item->value != NULL && prefix != NULL &&
		    strncmp(item->key, prefix, strlen(prefix)) == 0)
			json_array_append_new(items, item_json(item));
	}
	reply(request, 200,
	      json_pack("{s:o, s:b, s:I}", "items", items, "more", 0, "at",
			(json_int_t)(stale ? stale_revision(store)
					   : store->revision)));
}

static bool watch_reply(struct soak_store *store,
			struct jt_http_request *request, uint64_t after,
			bool due)
{
	json_t *events;

	if (after < store->compacted_revision) {
		reply_error(request, 410);
		return true;
	}
	if (after >= store->revision && !due)
		return false;
	events = json_array();
	for (size_t i = 0; i < store->history_count; i++) {
		if (store->history[i].revision > after)
			json_array_append_new(events,
					      item_json(&store->history[i]));
	}
	reply(request, 200,
	      json_pack("{s:o, s:I}", "events", events, "at",
			(json_int_t)store->revision));
	return true;
}

static void on_watch_closed(void *private_data)
{
	struct watch *watch = private_data;

	for (int i = 0; i < WATCH_LIMIT; i++) {
		if (watch->store->watches[i] == watch)
			watch->store->watches[i] = NULL;
	}
	talloc_free(watch);
}

static void watch_start(struct soak_store *store,
			struct jt_http_request *request)
{
	const char *after = jt_http_query(request, "after");
	const char *wait = jt_http_query(request, "waitMs");
	uint64_t from = after ? strtoull(after, NULL, 10) : 0;
	uint64_t wait_ms = wait ? strtoull(wait, NULL, 10) : 0;

	if (watch_reply(store, request, from, wait_ms == 0))
		return;
	for (int i = 0; i < WATCH_LIMIT; i++) {
		struct watch *watch;

		if (store->watches[i] != NULL)
			continue;
		watch = talloc_zero(store, struct watch);
		*watch = (struct watch){request, store, from,
					jt_clock_ms() + wait_ms};
		store->watches[i] = watch;
		jt_http_on_close(request, on_watch_closed, watch);
		return;
	}
	reply_error(request, 503);
}

/* Returns the node that sent the request, or -1. Each node reaches the store
 * through its own proxy, whose address is the Host header. */
static int request_node(const struct soak *soak,
			const struct jt_http_request *request)
{
	const char *host = jt_http_header(request, "Host");
	struct jt_address address;

	if (host == NULL || jt_address_parse(host, &address) != 0)
		return -1;
	return (int)(address.ip - soak_address(soak, SOAK_STORE_NET)) - 2;
}

static void on_request(struct jt_http_request *request, void *private_data)
{
	struct soak_store *store = private_data;
	const char *path = jt_http_path(request);
	int node = request_node(store->soak, request);
	uint64_t now_ms = jt_clock_ms();

	if (now_ms < store->down_until_ms)
		reply_error(request, 503);
	else if (node >= 0 && node < store->soak->node_count &&
		 now_ms < store->throttled_until_ms[node])
		reply_error(request, 429);
	else if (strcmp(path, "/kv-range") == 0)
		range_reply(store, request);
	else if (strcmp(path, "/kv-watch") == 0)
		watch_start(store, request);
	else
		reply_error(request, 404);
}

/* Answers the watches that are due, or all if @all. */
static void watches_serve(struct soak_store *store, bool all)
{
	uint64_t now_ms = jt_clock_ms();

	for (int i = 0; i < WATCH_LIMIT; i++) {
		struct watch *watch = store->watches[i];

		if (watch == NULL)
			continue;
		if (now_ms < store->down_until_ms) {
			store->watches[i] = NULL;
			reply_error(watch->request, 503);
		} else if (watch_reply(store, watch->request, watch->after,
				       all || now_ms >= watch->due_ms)) {
			store->watches[i] = NULL;
		}
	}
}

static void on_timer(void *private_data)
{
	struct soak_store *store = private_data;

	watches_serve(store, false);
	store->past_revisions[store->past_count++ % PAST_LIMIT] =
		store->revision;
	jt_timer_set(store->timer, TIMER_MS);
}

struct soak_store *soak_store_create(struct soak *soak)
{
	struct soak_store *store = talloc_zero(soak, struct soak_store);
	struct jt_http_options options = {
		.address = {soak_address(soak, SOAK_STORE_NET) + 1,
			    SOAK_STORE_PORT}};

	store->soak = soak;
	store->server = jt_http_server_create(store, soak->loop, &options,
					      on_request, store);
	if (store->server == NULL) {
		talloc_free(store);
		return NULL;
	}
	store->timer = jt_timer_create(store, soak->loop, on_timer, store);
	on_timer(store);
	return store;
}

static struct item *item_find(struct soak_store *store, const char *key)
{
	for (size_t i = 0; i < store->item_count; i++) {
		if (strcmp(store->items[i].key, key) == 0)
			return &store->items[i];
	}
	if (store->item_count == ITEM_LIMIT)
		return NULL;
	snprintf(store->items[store->item_count].key,
		 sizeof(store->items[0].key), "%s", key);
	return &store->items[store->item_count++];
}

/* Discards the older half of a full history. */
static void history_compact_half(struct soak_store *store)
{
	store->history_count = HISTORY_LIMIT / 2;
	store->compacted_revision =
		store->history[HISTORY_LIMIT / 2 - 1].revision;
	memmove(store->history, store->history + HISTORY_LIMIT / 2,
		store->history_count * sizeof(store->history[0]));
}

uint64_t soak_store_put(struct soak_store *store, const char *key,
			const char *value)
{
	struct item *item = item_find(store, key);
	char text[VALUE_SIZE];

	if (item == NULL)
		abort();
	if (store->history_count == HISTORY_LIMIT)
		history_compact_half(store);
	item->revision = ++store->revision;
	item->value = NULL;
	if (value != NULL) {
		sodium_bin2base64(text, sizeof(text), (const uint8_t *)value,
				  strlen(value),
				  sodium_base64_VARIANT_ORIGINAL);
		item->value = talloc_strdup(store, text);
	}
	store->history[store->history_count++] = *item;
	watches_serve(store, false);
	return store->revision;
}

void soak_store_down(struct soak_store *store, uint64_t until_ms)
{
	store->down_until_ms = until_ms;
	store->disturbed_ms = until_ms;
	watches_serve(store, true);
}

void soak_store_throttle(struct soak_store *store, int node, uint64_t until_ms)
{
	store->throttled_until_ms[node] = until_ms;
}

void soak_store_lag(struct soak_store *store, uint64_t lag_ms,
		    uint64_t until_ms)
{
	store->lag_ms = lag_ms;
	store->lag_until_ms = until_ms;
}

void soak_store_compact(struct soak_store *store)
{
	store->compacted_revision = store->revision;
	store->history_count = 0;
	store->disturbed_ms = jt_clock_ms();
	for (int i = 0; i < WATCH_LIMIT; i++) {
		struct watch *watch = store->watches[i];

		if (watch == NULL)
			continue;
		store->watches[i] = NULL;
		reply_error(watch->request, 410);
	}
}

uint64_t soak_store_disturbed_ms(const struct soak_store *store)
{
	return store->disturbed_ms;
}
