/*
 * Implements jt_http_client.h with libevent's evhttp, without TLS and streams.
 * A process that uses it starts faster than with libcurl. Idle connections are
 * kept and reused.
 */
#include "jt_event_loop.h"
#include "jt_http_client.h"
#include "jt_timer.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <string.h>
#include <sys/queue.h>

enum {
	BODY_LIMIT = 16 << 20,
	MAX_IDLE = 8, /* idle connections */
};

/* A connection to one address. */
struct connection {
	struct jt_http_client *client;
	struct evhttp_connection *http;
	char *host;
	uint16_t port;
	TAILQ_ENTRY(connection) next;
};

TAILQ_HEAD(connections, connection);

struct jt_http_client {
	struct tevent_context *loop;
	struct jt_event_loop *events;
	struct connections idle; /* most recently used first */
	unsigned idle_count;
	struct connections closing; /* freed by close_timer */
	struct jt_timer *close_timer;
};

struct http_state {
	struct tevent_req *req;
	struct jt_http_client *client;
	struct connection *connection;
	struct evhttp_request *request; /* NULL: not in progress */
	struct jt_timer *timer;
	bool starting; /* inside evhttp_make_request() */
	long status;
	char *body;
	size_t length;
	char *header_name; /* header to return, NULL: none */
	char *header_value;
};

static int connection_destructor(struct connection *connection)
{
	if (connection->http != NULL)
		evhttp_connection_free(connection->http);
	return 0;
}

static struct connection *connection_create(struct jt_http_client *client,
					    const char *host, uint16_t port)
{
	struct event_base *base = jt_event_loop_base(client->events);
	struct connection *connection = talloc_zero(client, struct connection);

	if (connection == NULL)
		return NULL;
	connection->client = client;
	connection->host = talloc_strdup(connection, host);
	connection->port = port;
	connection->http = evhttp_connection_base_new(base, NULL, host, port);
	if (connection->http == NULL) {
		talloc_free(connection);
		return NULL;
	}
	talloc_set_destructor(connection, connection_destructor);
	evhttp_connection_set_max_body_size(connection->http, BODY_LIMIT);
	return connection;
}

/* Returns an idle connection to the address, or a new one. */
static struct connection *connection_acquire(struct jt_http_client *client,
					     const char *host, uint16_t port)
{
	struct connection *connection;

	for (connection = TAILQ_FIRST(&client->idle); connection != NULL;
	     connection = TAILQ_NEXT(connection, next)) {
		if (connection->port != port ||
		    strcmp(connection->host, host) != 0)
			continue;
		TAILQ_REMOVE(&client->idle, connection, next);
		client->idle_count--;
		return connection;
	}
	return connection_create(client, host, port);
}

static void connection_release(struct connection *connection)
{
	struct jt_http_client *client = connection->client;
	struct connection *oldest;

	TAILQ_INSERT_HEAD(&client->idle, connection, next);
	client->idle_count++;
	if (client->idle_count <= MAX_IDLE)
		return;
	oldest = TAILQ_LAST(&client->idle, connections);
	TAILQ_REMOVE(&client->idle, oldest, next);
	client->idle_count--;
	talloc_free(oldest);
}

static void connections_free(struct connections *list)
{
	while (!TAILQ_EMPTY(list)) {
		struct connection *connection = TAILQ_FIRST(list);

		TAILQ_REMOVE(list, connection, next);
		talloc_free(connection);
	}
}

static void on_close_timer(void *private_data)
{
	struct jt_http_client *client = private_data;

	connections_free(&client->closing);
	jt_event_loop_wake(client->events);
}

/* Frees the connection from a timer, since libevent may be using it. */
static void connection_close(struct connection *connection)
{
	struct jt_http_client *client = connection->client;

	TAILQ_INSERT_TAIL(&client->closing, connection, next);
	jt_timer_set(client->close_timer, 0);
}

/* The connections must be freed before their event base. */
static int client_destructor(struct jt_http_client *client)
{
	connections_free(&client->idle);
	connections_free(&client->closing);
	return 0;
}

struct jt_http_client *jt_http_client_create(TALLOC_CTX *mem_ctx,
					     struct tevent_context *loop)
{
	struct jt_http_client *client =
		talloc_zero(mem_ctx, struct jt_http_client);

	if (client == NULL)
		return NULL;
	client->loop = loop;
	TAILQ_INIT(&client->idle);
	TAILQ_INIT(&client->closing);
	client->events = jt_event_loop_create(client, loop);
	client->close_timer =
		jt_timer_create(client, loop, on_close_timer, client);
	if (client->events == NULL || client->close_timer == NULL) {
		talloc_free(client);
		return NULL;
	}
	talloc_set_destructor(client, client_destructor);
	return client;
}

static void read_response(struct http_state *state)
{
	struct evbuffer *input =
		evhttp_request_get_input_buffer(state->request);
	const char *header_value = NULL;

	state->status = evhttp_request_get_response_code(state->request);
	state->length = evbuffer_get_length(input);
	state->body = talloc_zero_size(state, state->length + 1);
	if (state->body != NULL)
		evbuffer_remove(input, state->body, state->length);
	if (state->header_name != NULL)
		header_value = evhttp_find_header(
			evhttp_request_get_input_headers(state->request),
			state->header_name);
	if (header_value != NULL)
		state->header_value = talloc_strdup(state, header_value);
}

/* Completes a request; libevent frees @request afterwards. */
static void on_done(struct evhttp_request *request, void *private_data)
{
	struct http_state *state = private_data;
	struct connection *connection = state->connection;
	bool responded = request != NULL &&
			 evhttp_request_get_response_code(request) != 0;

	if (responded)
		read_response(state);
	state->request = NULL;
	/* Inside evhttp_make_request(): jt_http_send() reports the error. */
	if (state->starting)
		return;
	if (responded && state->body != NULL) {
		state->connection = NULL;
		connection_release(connection);
		tevent_req_done(state->req);
	} else {
		tevent_req_error(state->req, EIO);
	}
}

/* Closes the idle connections to the address of a connection that timed out:
 * the same fault may affect them. */
static void close_idle_connections(struct jt_http_client *client,
				   const struct connection *timed_out)
{
	struct connection *connection = TAILQ_FIRST(&client->idle), *next;

	for (; connection != NULL; connection = next) {
		next = TAILQ_NEXT(connection, next);
		if (connection->port != timed_out->port ||
		    strcmp(connection->host, timed_out->host) != 0)
			continue;
		TAILQ_REMOVE(&client->idle, connection, next);
		client->idle_count--;
		connection_close(connection);
	}
}

static void on_timeout(void *private_data)
{
	struct http_state *state = private_data;

	if (state->connection != NULL)
		close_idle_connections(state->client, state->connection);
	tevent_req_error(state->req, ETIMEDOUT);
}

/* Cancels a request that is in progress and closes its connection. */
static void state_cleanup(struct tevent_req *req,
			  enum tevent_req_state req_state)
{
	struct http_state *state = tevent_req_data(req, struct http_state);
	struct evhttp_request *request = state->request;

	(void)req_state;
	TALLOC_FREE(state->timer);
	state->request = NULL;
	if (request != NULL)
		evhttp_cancel_request(request);
	if (state->connection != NULL)
		connection_close(state->connection);
	state->connection = NULL;
}

static bool add_request_headers(struct evhttp_request *request,
				const struct jt_http_call *call,
				const char *host, TALLOC_CTX *frame)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
	const char *bearer;

	if (evhttp_add_header(headers, "Host", host) != 0 ||
	    evhttp_add_header(headers, "Content-Type", "application/json") != 0)
		return false;
	if (call->request_id != NULL &&
	    evhttp_add_header(headers, "X-Request-Id", call->request_id) != 0)
		return false;
	if (call->token == NULL)
		return true;
	bearer = talloc_asprintf(frame, "Bearer %s", call->token);
	return bearer != NULL &&
	       evhttp_add_header(headers, "Authorization", bearer) == 0;
}

static bool parse_method(const char *name, enum evhttp_cmd_type *method)
{
	static const struct {
		const char *name;
		enum evhttp_cmd_type method;
	} methods[] = {
		{"GET", EVHTTP_REQ_GET},
		{"POST", EVHTTP_REQ_POST},
		{"PUT", EVHTTP_REQ_PUT},
		{"DELETE", EVHTTP_REQ_DELETE},
	};

	for (size_t i = 0; i < sizeof(methods) / sizeof(methods[0]); i++) {
		if (strcmp(methods[i].name, name) != 0)
			continue;
		*method = methods[i].method;
		return true;
	}
	return false;
}

/* Builds the request and acquires its connection. Returns NULL if the URL lacks
 * host or port, or on failure. */
static struct evhttp_request *build_request(struct http_state *state,
					    const struct jt_http_call *call,
					    const struct evhttp_uri *uri)
{
	const char *host = evhttp_uri_get_host(uri);
	int port = evhttp_uri_get_port(uri);
	struct evhttp_request *request;

	if (host == NULL || port <= 0 || port > UINT16_MAX)
		return NULL;
	state->connection =
		connection_acquire(state->client, host, (uint16_t)port);
	request = evhttp_request_new(on_done, state);
	if (state->connection == NULL || request == NULL ||
	    !add_request_headers(request, call, host, state))
		goto fail;
	if (call->body != NULL &&
	    evbuffer_add(evhttp_request_get_output_buffer(request), call->body,
			 strlen(call->body)) != 0)
		goto fail;
	return request;
fail:
	if (request != NULL)
		evhttp_request_free(request);
	return NULL;
}

/* Returns the request target: the part of the URL after the authority. */
static const char *request_target(const char *url)
{
	const char *path = strstr(url, "://");

	path = path != NULL ? strchr(path + strlen("://"), '/') : NULL;
	return path != NULL ? path : "/";
}

static bool start_request(struct http_state *state,
			  const struct jt_http_call *call)
{
	struct evhttp_uri *uri = evhttp_uri_parse(call->url);
	enum evhttp_cmd_type method = EVHTTP_REQ_GET;

	if (uri == NULL)
		return false;
	if (parse_method(call->method, &method))
		state->request = build_request(state, call, uri);
	evhttp_uri_free(uri);
	if (state->request == NULL)
		return false;
	jt_event_loop_socket_opened(state->client->events);
	state->starting = true;
	if (evhttp_make_request(state->connection->http, state->request, method,
				request_target(call->url)) != 0)
		state->request = NULL;
	state->starting = false;
	jt_event_loop_wake(state->client->events);
	return state->request != NULL;
}

struct tevent_req *jt_http_send(TALLOC_CTX *mem_ctx,
				struct jt_http_client *client,
				const struct jt_http_call *call)
{
	struct http_state *state;
	struct tevent_req *req;

	req = tevent_req_create(mem_ctx, &state, struct http_state);
	if (req == NULL)
		return NULL;
	state->req = req;
	state->client = client;
	tevent_req_set_cleanup_fn(req, state_cleanup);
	if (call->want != NULL)
		state->header_name = talloc_strdup(state, call->want);
	state->timer = jt_timer_create(state, client->loop, on_timeout, state);
	if (call->ca != NULL || call->on_part != NULL || state->timer == NULL ||
	    !start_request(state, call)) {
		tevent_req_error(req, EIO);
		return tevent_req_post(req, client->loop);
	}
	if (call->timeout_ms > 0)
		jt_timer_set(state->timer, (uint64_t)call->timeout_ms);
	return req;
}

int jt_http_recv(struct tevent_req *req, TALLOC_CTX *mem_ctx, long *status,
		 char **body, size_t *bytes)
{
	struct http_state *state = tevent_req_data(req, struct http_state);
	enum tevent_req_state req_state;
	uint64_t error;
	bool failed = tevent_req_is_error(req, &req_state, &error);

	if (bytes != NULL)
		*bytes = state->length;
	if (!failed) {
		*status = state->status;
		*body = talloc_steal(mem_ctx, state->body);
	}
	tevent_req_received(req);
	return failed ? -1 : 0;
}

const char *jt_http_wanted(struct tevent_req *req)
{
	struct http_state *state = tevent_req_data(req, struct http_state);

	return state->header_value;
}

int jt_http_recv_bytes(struct tevent_req *req, TALLOC_CTX *mem_ctx,
		       long *status, char **body, size_t *length)
{
	struct http_state *state = tevent_req_data(req, struct http_state);

	*length = state->length;
	return jt_http_recv(req, mem_ctx, status, body, NULL);
}
