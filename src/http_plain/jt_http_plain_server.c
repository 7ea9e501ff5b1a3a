/*
 * Implements jt_http_server.h with libevent's evhttp, without TLS and streams.
 * A process that uses it starts faster than with libmicrohttpd. That a client
 * has disconnected is detected only when the response is written.
 */
#include "jt_event_loop.h"
#include "jt_http_server.h"
#include "jt_net.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <string.h>
#include <sys/queue.h>

enum {
	IDLE_TIMEOUT_S = 60,
	BACKLOG = 128,
	ALL_METHODS = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
		      EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE,
};

struct jt_http_server {
	struct jt_event_loop *events;
	struct evhttp *http;
	jt_http_handler handler;
	void *private_data;
};

struct jt_http_request {
	struct jt_http_server *server;
	struct evhttp_request *request;
	struct evkeyvalq query;
	char *body;
	size_t length;
	void (*on_close)(void *private_data);
	void *close_data;
};

static int request_destructor(struct jt_http_request *request)
{
	evhttp_clear_headers(&request->query);
	if (request->on_close != NULL)
		request->on_close(request->close_data);
	return 0;
}

static void on_connection_closed(struct evhttp_connection *connection,
				 void *private_data)
{
	(void)connection;
	talloc_free(private_data);
}

static void read_query(struct jt_http_request *request)
{
	const char *query = evhttp_uri_get_query(
		evhttp_request_get_evhttp_uri(request->request));

	TAILQ_INIT(&request->query);
	if (query != NULL)
		evhttp_parse_query_str(query, &request->query);
}

static void read_body(struct jt_http_request *request)
{
	struct evbuffer *input =
		evhttp_request_get_input_buffer(request->request);

	request->length = evbuffer_get_length(input);
	request->body = talloc_zero_size(request, request->length + 1);
	if (request->body == NULL)
		request->length = 0;
	else
		evbuffer_remove(input, request->body, request->length);
}

static void on_request(struct evhttp_request *http_request, void *private_data)
{
	struct jt_http_server *server = private_data;
	struct jt_http_request *request =
		talloc_zero(server, struct jt_http_request);

	if (request == NULL) {
		evhttp_send_error(http_request, HTTP_SERVUNAVAIL, NULL);
		return;
	}
	request->server = server;
	request->request = http_request;
	read_query(request);
	talloc_set_destructor(request, request_destructor);
	read_body(request);
	evhttp_connection_set_closecb(
		evhttp_request_get_connection(http_request),
		on_connection_closed, request);
	server->handler(request, server->private_data);
}

static struct bufferevent *on_connection(struct event_base *base,
					 void *private_data)
{
	struct jt_http_server *server = private_data;

	jt_event_loop_socket_opened(server->events);
	return bufferevent_socket_new(base, -1, 0);
}

static bool listen_at(struct jt_http_server *server, struct jt_address address)
{
	struct evconnlistener *listener;
	struct sockaddr_in socket_address;

	jt_address_to_socket(address, &socket_address);
	listener = evconnlistener_new_bind(
		jt_event_loop_base(server->events), NULL, NULL,
		LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE |
			LEV_OPT_CLOSE_ON_EXEC,
		BACKLOG, (const struct sockaddr *)&socket_address,
		sizeof(socket_address));
	if (listener == NULL)
		return false;
	if (evhttp_bind_listener(server->http, listener) != NULL)
		return true;
	evconnlistener_free(listener);
	return false;
}

static int server_destructor(struct jt_http_server *server)
{
	if (server->http != NULL)
		evhttp_free(server->http);
	server->http = NULL;
	return 0;
}

struct jt_http_server *jt_http_server_create(TALLOC_CTX *mem_ctx,
					     struct tevent_context *loop,
					     const struct jt_http_options *opts,
					     jt_http_handler handler,
					     void *private_data)
{
	struct jt_http_server *server;

	if (opts->certificate != NULL) {
		errno = ENOTSUP;
		return NULL;
	}
	server = talloc_zero(mem_ctx, struct jt_http_server);
	if (server == NULL)
		return NULL;
	server->handler = handler;
	server->private_data = private_data;
	server->events = jt_event_loop_create(server, loop);
	if (server->events == NULL)
		goto fail;
	server->http = evhttp_new(jt_event_loop_base(server->events));
	if (server->http == NULL)
		goto fail;
	talloc_set_destructor(server, server_destructor);
	evhttp_set_allowed_methods(server->http, ALL_METHODS);
	evhttp_set_max_body_size(server->http, JT_HTTP_BODY_LIMIT);
	evhttp_set_timeout(server->http, IDLE_TIMEOUT_S);
	evhttp_set_bevcb(server->http, on_connection, server);
	evhttp_set_gencb(server->http, on_request, server);
	if (!listen_at(server, opts->address))
		goto fail;
	jt_event_loop_wake(server->events);
	return server;
fail:
	talloc_free(server);
	return NULL;
}

const char *jt_http_method(const struct jt_http_request *request)
{
	switch (evhttp_request_get_command(request->request)) {
	case EVHTTP_REQ_GET:
		return "GET";
	case EVHTTP_REQ_POST:
		return "POST";
	case EVHTTP_REQ_HEAD:
		return "HEAD";
	case EVHTTP_REQ_PUT:
		return "PUT";
	case EVHTTP_REQ_DELETE:
		return "DELETE";
	default:
		return "";
	}
}

const char *jt_http_path(const struct jt_http_request *request)
{
	const char *path = evhttp_uri_get_path(
		evhttp_request_get_evhttp_uri(request->request));

	return path != NULL ? path : "";
}

const char *jt_http_body(const struct jt_http_request *request, size_t *length)
{
	if (length != NULL)
		*length = request->length;
	return request->body != NULL ? request->body : "";
}

const char *jt_http_query(const struct jt_http_request *request,
			  const char *name)
{
	return evhttp_find_header(&request->query, name);
}

const char *jt_http_header(const struct jt_http_request *request,
			   const char *name)
{
	return evhttp_find_header(
		evhttp_request_get_input_headers(request->request), name);
}

void jt_http_reply_bytes(struct jt_http_request *request, unsigned status,
			 const char *type, const void *body, size_t length)
{
	struct evhttp_request *http_request = request->request;
	struct jt_event_loop *events = request->server->events;
	struct evbuffer *output =
		evhttp_request_get_output_buffer(http_request);

	evhttp_connection_set_closecb(
		evhttp_request_get_connection(http_request), NULL, NULL);
	evhttp_add_header(evhttp_request_get_output_headers(http_request),
			  "Content-Type", type);
	evbuffer_add(output, body, length);
	evhttp_send_reply(http_request, (int)status, NULL, NULL);
	talloc_free(request);
	jt_event_loop_wake(events);
}

void jt_http_on_close(struct jt_http_request *request,
		      void (*callback)(void *private_data), void *private_data)
{
	request->on_close = callback;
	request->close_data = private_data;
}
