/*
 * The platform's store: ranges and watches over HTTP for nodes; the operator
 * and the endpoints of this process change it directly. Each node has an
 * address of its own for it, which shows who calls.
 */
#include "world.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	EVENT_LIMIT = 20000,
	KEY_SIZE = 64,
	INPUT_SIZE = 4096,
	LONG_WATCH_MS = 5000,
	BACKLOG = 128,
	CONNECTION_LIMIT = 512,
};

/* A change; the whole history is kept. */
struct event {
	char key[KEY_SIZE];
	char *value; /* base64; NULL: removed */
	uint64_t revision, created, at_ms;
};

struct connection {
	int fd; /* -1: free */
	int node;
	char input[INPUT_SIZE];
	size_t used;
	bool watching;
	uint64_t after, due_ms, since_ms, wait_ms;
};

static struct event events[EVENT_LIMIT];
static size_t event_count;
static uint64_t stale_lag_ms;
static struct connection connections[CONNECTION_LIMIT];
static int listeners[NODES];

static char *base64(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t length = strlen(text), out = 0;
	char *encoded = malloc(length * 4 / 3 + 8);

	for (size_t i = 0; i < length; i += 3) {
		uint32_t bits = (uint32_t)(uint8_t)text[i] << 16;

		if (i + 1 < length)
			bits |= (uint32_t)(uint8_t)text[i + 1] << 8;
		if (i + 2 < length)
			bits |= (uint8_t)text[i + 2];
		encoded[out++] = digits[bits >> 18];
		encoded[out++] = digits[bits >> 12 & 63];
		encoded[out++] = i + 1 < length ? digits[bits >> 6 & 63] : '=';
		encoded[out++] = i + 2 < length ? digits[bits & 63] : '=';
	}
	encoded[out] = '\0';
	return encoded;
}

/* Returns the latest change of the key among the first @count, or NULL. */
static const struct event *event_latest(const char *key, size_t count)
{
	while (count-- > 0) {
		if (strcmp(events[count].key, key) == 0)
			return &events[count];
	}
	return NULL;
}

bool store_has(const char *key)
{
	const struct event *event = event_latest(key, event_count);

	return event != NULL && event->value != NULL;
}

void store_stale_lag(uint64_t lag_ms)
{
	stale_lag_ms = lag_ms;
}

/* Output */

struct text {
	char *bytes;
	size_t used, size;
};

static void text_add(struct text *text, const char *format, const char *a,
		     unsigned long long b, unsigned long long c, const char *d)
{
	size_t need = strlen(format) + strlen(a) + strlen(d) + 64;

	if (text->used + need > text->size) {
		text->size = (text->used + need) * 2;
		text->bytes = realloc(text->bytes, text->size);
	}
	text->used +=
		(size_t)snprintf(text->bytes + text->used,
				 text->size - text->used, format, a, b, c, d);
}

static void event_add(struct text *text, const struct event *event, bool first)
{
	if (!first)
		text_add(text, ",%s", "", 0, 0, "");
	if (event->value == NULL)
		text_add(text,
			 "{\"tlsKey\":\"%s\",\"revision\":%llu,\"gone\":true}",
			 event->key, event->revision, 0, "");
	else
		text_add(text,
			 "{\"tlsKey\":\"%s\",\"revision\":%llu,"
			 "\"created\":%llu,\"lease\":0,\"value\":\"%s\"}",
			 event->key, event->revision, event->created,
			 event->value);
}

static void connection_close(struct connection *connection)
{
	fd_unwatch(connection->fd);
	close(connection->fd);
	connection->fd = -1;
	connection->watching = false;
}

static void reply(struct connection *connection, const char *status,
		  const char *body, size_t length)
{
	char head[256];
	int size = snprintf(head, sizeof(head),
			    "HTTP/1.1 %s\r\nContent-Type: application/json\r\n"
			    "Content-Length: %zu\r\n\r\n",
			    status, length);

	if (send(connection->fd, head, (size_t)size, MSG_NOSIGNAL) < 0 ||
	    send(connection->fd, body, length, MSG_NOSIGNAL) < 0)
		connection_close(connection);
}

/* Calls */

static const char *query(const char *target, const char *name, char *value,
			 size_t size)
{
	const char *at = strchr(target, '?');
	size_t length = strlen(name), out = 0;

	value[0] = '\0';
	while (at != NULL) {
		at++;
		if (strncmp(at, name, length) != 0 || at[length] != '=') {
			at = strchr(at, '&');
			continue;
		}
		for (at += length + 1; *at != '\0' && *at != '&'; at++) {
			char digits[3] = {0};

			if (out + 1 == size)
				break;
			if (*at == '%' && isxdigit((unsigned char)at[1]) &&
			    isxdigit((unsigned char)at[2])) {
				memcpy(digits, at + 1, 2);
				value[out++] = (char)strtol(digits, NULL, 16);
				at += 2;
			} else {
				value[out++] = *at;
			}
		}
		value[out] = '\0';
		return value;
	}
	return NULL;
}

static void range_reply(struct connection *connection, const char *target)
{
	char prefix[KEY_SIZE], after[KEY_SIZE], stale[8];
	bool is_stale = query(target, "stale", stale, sizeof(stale)) != NULL &&
			stale[0] == '1';
	struct text text = {0};
	size_t count = event_count;
	bool first = true;

	query(target, "pathPrefix", prefix, sizeof(prefix));
	query(target, "after", after, sizeof(after));
	while (is_stale && count > 0 &&
	       events[count - 1].at_ms + stale_lag_ms > now_ms())
		count--;
	text_add(&text, "{\"items\":[%s", "", 0, 0, "");
	for (size_t i = 0; i < count; i++) {
		const struct event *event = &events[i];

		if (event->value == NULL ||
		    event_latest(event->key, count) != event ||
		    strncmp(event->key, prefix, strlen(prefix)) != 0 ||
		    strcmp(event->key, after) <= 0)
			continue;
		event_add(&text, event, first);
		first = false;
	}
	text_add(&text, "],\"more\":false,%s\"at\":%llu}", "",
		 count > 0 ? events[count - 1].revision : 1, 0, "");
	reply(connection, "200 OK", text.bytes, text.used);
	free(text.bytes);
}

/* Answers a watch if it has changes or is due. */
static void watch_serve(struct connection *connection)
{
	uint64_t newest =
		event_count > 0 ? events[event_count - 1].revision : 1;
	struct text text = {0};
	bool first = true;

	if (newest <= connection->after && now_ms() < connection->due_ms)
		return;
	connection->watching = false;
	text_add(&text, "{\"events\":[%s", "", 0, 0, "");
	for (size_t i = 0; i < event_count; i++) {
		if (events[i].revision <= connection->after)
			continue;
		event_add(&text, &events[i], first);
		first = false;
	}
	text_add(&text, "],%s\"at\":%llu}", "", newest, 0, "");
	reply(connection, "200 OK", text.bytes, text.used);
	free(text.bytes);
}

static void watches_serve(void)
{
	for (int i = 0; i < CONNECTION_LIMIT; i++) {
		if (connections[i].fd >= 0 && connections[i].watching)
			watch_serve(&connections[i]);
	}
}

int store_watcher(void)
{
	const struct connection *oldest = NULL;

	for (int i = 0; i < CONNECTION_LIMIT; i++) {
		const struct connection *at = &connections[i];

		if (at->fd >= 0 && at->watching &&
		    at->wait_ms >= LONG_WATCH_MS &&
		    (oldest == NULL || at->since_ms < oldest->since_ms))
			oldest = at;
	}
	return oldest != NULL ? oldest->node : -1;
}

static void request_serve(struct connection *connection, const char *target)
{
	char value[32];

	if (strncmp(target, "/kv-range?", 10) == 0) {
		range_reply(connection, target);
	} else if (strncmp(target, "/kv-watch?", 10) == 0) {
		query(target, "after", value, sizeof(value));
		connection->after = strtoull(value, NULL, 10);
		query(target, "waitMs", value, sizeof(value));
		connection->wait_ms = strtoull(value, NULL, 10);
		connection->since_ms = now_ms();
		connection->due_ms = now_ms() + connection->wait_ms;
		connection->watching = true;
		watch_serve(connection);
	} else {
		reply(connection, "404 Not Found", "{}", 2);
	}
}

static void on_input(int fd, short polled, void *argument)
{
	struct connection *connection = argument;
	char target[INPUT_SIZE], *end;
	ssize_t size;

	(void)polled;
	size = recv(fd, connection->input + connection->used,
		    sizeof(connection->input) - connection->used - 1, 0);
	if (size <= 0) {
		connection_close(connection);
		return;
	}
	connection->used += (size_t)size;
	connection->input[connection->used] = '\0';
	while (connection->fd >= 0 && !connection->watching &&
	       (end = strstr(connection->input, "\r\n\r\n")) != NULL) {
		size_t length = (size_t)(end + 4 - connection->input);
		bool get = sscanf(connection->input, "GET %4000s", target) == 1;

		memmove(connection->input, end + 4,
			connection->used - length + 1);
		connection->used -= length;
		if (get)
			request_serve(connection, target);
		else
			reply(connection, "404 Not Found", "{}", 2);
	}
}

static void on_accept(int listener, short polled, void *argument)
{
	int node = (int)(intptr_t)argument;
	int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);

	(void)polled;
	for (int i = 0; fd >= 0 && i < CONNECTION_LIMIT; i++) {
		if (connections[i].fd >= 0)
			continue;
		connections[i] = (struct connection){.fd = fd, .node = node};
		fd_watch(fd, 1 /* POLLIN */, on_input, &connections[i]);
		return;
	}
	if (fd >= 0)
		close(fd);
}

static void on_tick(void *argument)
{
	watches_serve();
	timer_add(20, on_tick, argument);
}

void store_start(void)
{
	for (int i = 0; i < CONNECTION_LIMIT; i++)
		connections[i].fd = -1;
	for (int i = 0; i < NODES; i++) {
		listeners[i] = tcp_listen(world_ip(2, (unsigned)(10 + i)),
					  STORE_PORT, BACKLOG);
		if (listeners[i] < 0)
			not_run("the store's address is taken");
		fd_watch(listeners[i], 1, on_accept, (void *)(intptr_t)i);
	}
	timer_add(20, on_tick, NULL);
}

uint64_t store_put(const char *key, const char *value)
{
	const struct event *before = event_latest(key, event_count);
	struct event *event;
	uint64_t revision =
		event_count > 0 ? events[event_count - 1].revision + 1 : 2;

	if (event_count == EVENT_LIMIT)
		not_run("too many changes");
	event = &events[event_count];
	snprintf(event->key, sizeof(event->key), "%s", key);
	event->value = value != NULL ? base64(value) : NULL;
	event->revision = revision;
	event->created = before != NULL && before->value != NULL
				 ? before->created
				 : revision;
	event->at_ms = now_ms();
	event_count++;
	watches_serve();
	return revision;
}

/* Configuration */

const char *const service_names[SERVICES] = {"planilla", "informes"};

uint64_t config_put(const struct route *routes, size_t count)
{
	static unsigned version = 4;
	char text[8192];
	size_t used;

	version += 3;
	used = (size_t)snprintf(text, sizeof(text),
				"{\"version\":%u,\"routes\":[", version);
	for (size_t i = 0; i < count; i++)
		used += (size_t)snprintf(
			text + used, sizeof(text) - used,
			"%s{\"name\":\"r-%u\",\"host\":\"%u.%u.%u.%u\","
			"\"pathPrefix\":\"/%u/\",\"type\":\"unsafe\","
			"\"timeoutMs\":2500,\"targetLatencyMs\":150,"
			"\"priority\":1,\"service\":\"%s\",\"maxAttempts\":2}",
			i > 0 ? "," : "", routes[i].port, routes[i].ip >> 24,
			routes[i].ip >> 16 & 255, routes[i].ip >> 8 & 255,
			routes[i].ip & 255, routes[i].port,
			service_names[routes[i].service]);
	used += (size_t)snprintf(text + used, sizeof(text) - used,
				 "],\"services\":[");
	for (int i = 0; i < SERVICES; i++)
		used += (size_t)snprintf(
			text + used, sizeof(text) - used,
			"%s{\"name\":\"%s\",\"healthPath\":\"/health\","
			"\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false}",
			i > 0 ? "," : "", service_names[i]);
	snprintf(text + used, sizeof(text) - used,
		 "],\"limits\":{\"maxHeaderBytes\":16384,"
		 "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
		 "\"idleTimeoutMs\":15000}}");
	store_put("op/config", text);
	record("operator: configuration %u written and acknowledged", version);
	return now_ms();
}
