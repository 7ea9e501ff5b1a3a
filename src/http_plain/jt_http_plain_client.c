/*
 * jt_http_client.h without TLS and streams, on libevent's evhttp: a process
 * that uses it starts in a fraction of the time. Connections are kept and used
 * again.
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
	ANSWER_LIMIT = 16 << 20,
	KEPT_MOST = 8, /* connections at rest */
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
	struct connections kept; /* at rest, the one used last first */
	unsigned kept_count;
	struct connections retired; /* to be freed outside libevent */
	struct jt_timer *retire_timer;
};

struct http_state {
	struct tevent_req *req;
	struct jt_http_client *client;
	struct connection *connection;
	struct evhttp_request *request; /* under way, NULL: not any more */
	struct jt_timer *timer;
	bool starting; /* inside evhttp_make_request() */
	long status;
	char *body;
	size_t length;
	char *want; /* header's name */
	char *wanted;
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
	evhttp_connection_set_max_body_size(connection->http, ANSWER_LIMIT);
	return connection;
}

/* A connection at rest to the address, or a new one. */
static struct connection *connection_take(struct jt_http_client *client,
					  const char *host, uint16_t port)
{
	struct connection *connection;

	for (connection = TAILQ_FIRST(&client->kept); connection != NULL;
	     connection = TAILQ_NEXT(connection, next)) {
		if (connection->port != port ||
		    strcmp(connection->host, host) != 0)
			continue;
		TAILQ_REMOVE(&client->kept, connection, next);
		client->kept_count--;
		return connection;
	}
	return connection_create(client, host, port);
}

static void connection_keep(struct connection *connection)
{
	struct jt_http_client *client = connection->client;
	struct connection *oldest;

	TAILQ_INSERT_HEAD(&client->kept, connection, next);
	client->kept_count++;
	if (client->kept_count <= KEPT_MOST)
		return;
	oldest = TAILQ_LAST(&client->kept, connections);
	TAILQ_REMOVE(&client->kept, oldest, next);
	client->kept_count--;
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

static void on_retire(void *private_data)
{
	struct jt_http_client *client = private_data;

	connections_free(&client->retired);
	jt_event_loop_wake(client->events);
}

/* Free the connection soon: libevent may be in the middle of using it. */
static void connection_retire(struct connection *connection)
{
	struct jt_http_client *client = connection->client;

	TAILQ_INSERT_TAIL(&client->retired, connection, next);
	jt_timer_set(client->retire_timer, 0);
}

/* Connections go before the base that they use. */
static int client_destructor(struct jt_http_client *client)
{
	connections_free(&client->kept);
	connections_free(&client->retired);
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
	TAILQ_INIT(&client->kept);
	TAILQ_INIT(&client->retired);
	client->events = jt_event_loop_create(client, loop);
	client->retire_timer = jt_timer_create(client, loop, on_retire, client);
	if (client->events == NULL || client->retire_timer == NULL) {
		talloc_free(client);
		return NULL;
	}
	talloc_set_destructor(client, client_destructor);
	return client;
}

static void answer_take(struct http_state *state)
{
	struct evbuffer *input =
		evhttp_request_get_input_buffer(state->request);
	const char *wanted = NULL;

	state->status = evhttp_request_get_response_code(state->request);
	state->length = evbuffer_get_length(input);
	state->body = talloc_zero_size(state, state->length + 1);
	if (state->body != NULL)
		evbuffer_remove(input, state->body, state->length);
	if (state->want != NULL)
		wanted = evhttp_find_header(
			evhttp_request_get_input_headers(state->request),
			state->want);
	if (wanted != NULL)
		state->wanted = talloc_strdup(state, wanted);
}

/* The request is over; libevent frees it afterwards. */
static void on_done(struct evhttp_request *request, void *private_data)
{
	struct http_state *state = private_data;
	struct connection *connection = state->connection;
	bool answered = request != NULL &&
			evhttp_request_get_response_code(request) != 0;

	if (answered)
		answer_take(state);
	state->request = NULL;
	/* Then jt_http_send() sees that it has failed. */
	if (state->starting)
		return;
	if (answered && state->body != NULL) {
		state->connection = NULL;
		connection_keep(connection);
		tevent_req_done(state->req);
	} else {
		tevent_req_error(state->req, EIO);
	}
}

/* Connections at rest to the same address may have fallen silent with it. */
static void connections_drop(struct jt_http_client *client,
			     const struct connection *silent)
{
	struct connection *connection = TAILQ_FIRST(&client->kept), *next;

	for (; connection != NULL; connection = next) {
		next = TAILQ_NEXT(connection, next);
		if (connection->port != silent->port ||
		    strcmp(connection->host, silent->host) != 0)
			continue;
		TAILQ_REMOVE(&client->kept, connection, next);
		client->kept_count--;
		connection_retire(connection);
	}
}

static void on_timeout(void *private_data)
{
	struct http_state *state = private_data;

	if (state->connection != NULL)
		connections_drop(state->client, state->connection);
	tevent_req_error(state->req, ETIMEDOUT);
}

/* Whatever is under way ends with its connection. */
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
		connection_retire(state->connection);
	state->connection = NULL;
}

static bool request_headers(struct evhttp_request *request,
			    const struct jt_http_call *call, const char *host,
			    TALLOC_CTX *frame)
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

static bool method_of(const char *name, enum evhttp_cmd_type *method)
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

/* The request to send; its connection is taken. NULL when something is missing
 * or memory runs out. */
static struct evhttp_request *request_build(struct http_state *state,
					    const struct jt_http_call *call,
					    const struct evhttp_uri *uri)
{
	const char *host = evhttp_uri_get_host(uri);
	int port = evhttp_uri_get_port(uri);
	struct evhttp_request *request;

	if (host == NULL || port <= 0 || port > UINT16_MAX)
		return NULL;
	state->connection =
		connection_take(state->client, host, (uint16_t)port);
	request = evhttp_request_new(on_done, state);
	if (state->connection == NULL || request == NULL ||
	    !request_headers(request, call, host, state))
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

/* What comes after the authority in the URL. */
static const char *target_of(const char *url)
{
	const char *at = strstr(url, "://");

	at = at != NULL ? strchr(at + strlen("://"), '/') : NULL;
	return at != NULL ? at : "/";
}

static bool request_start(struct http_state *state,
			  const struct jt_http_call *call)
{
	struct evhttp_uri *uri = evhttp_uri_parse(call->url);
	enum evhttp_cmd_type method = EVHTTP_REQ_GET;

	if (uri == NULL)
		return false;
	if (method_of(call->method, &method))
		state->request = request_build(state, call, uri);
	evhttp_uri_free(uri);
	if (state->request == NULL)
		return false;
	jt_event_loop_socket_opened(state->client->events);
	state->starting = true;
	if (evhttp_make_request(state->connection->http, state->request, method,
				target_of(call->url)) != 0)
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
		state->want = talloc_strdup(state, call->want);
	state->timer = jt_timer_create(state, client->loop, on_timeout, state);
	if (call->ca != NULL || call->on_part != NULL || state->timer == NULL ||
	    !request_start(state, call)) {
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

	return state->wanted;
}

int jt_http_recv_bytes(struct tevent_req *req, TALLOC_CTX *mem_ctx,
		       long *status, char **body, size_t *length)
{
	struct http_state *state = tevent_req_data(req, struct http_state);

	*length = state->length;
	return jt_http_recv(req, mem_ctx, status, body, NULL);
}
