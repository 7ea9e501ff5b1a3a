#include "jt_http_server.h"
#include "jt_net.h"
#include "jt_timer.h"

#include <errno.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>

enum { IDLE_TIMEOUT_S = 60 };

struct jt_http_server {
	struct MHD_Daemon *daemon;
	struct tevent_context *loop;
	struct tevent_fd *fd;
	struct jt_timer *timer;
	jt_http_handler handler;
	void *private_data;
	bool running; /* inside MHD_run() */
};

struct jt_http_request {
	struct jt_http_server *server;
	struct MHD_Connection *connection;
	char *method;
	char *path;
	char *body;
	size_t length;
	bool too_large;
	bool handled;
	bool suspended;
	struct MHD_Response *response;
	unsigned status;
	bool streaming;
	char *pending;
	size_t pending_length;
	void (*on_close)(void *);
	void *close_data;
};

static void server_run(struct jt_http_server *server);

static void server_timer(void *private_data)
{
	server_run(private_data);
}

static void server_run(struct jt_http_server *server)
{
	MHD_UNSIGNED_LONG_LONG wait_ms;

	server->running = true;
	MHD_run(server->daemon);
	server->running = false;
	if (MHD_get_timeout(server->daemon, &wait_ms) == MHD_YES)
		jt_timer_set(server->timer, wait_ms);
}

static void server_readable(struct tevent_context *loop, struct tevent_fd *fd,
			    uint16_t flags, void *private_data)
{
	(void)loop;
	(void)fd;
	(void)flags;
	server_run(private_data);
}

static enum MHD_Result append_body(struct jt_http_request *request,
				   const char *data, size_t *size)
{
	if (request->length + *size > JT_HTTP_BODY_LIMIT) {
		request->too_large = true;
	} else {
		request->body = talloc_realloc(request, request->body, char,
					       request->length + *size + 1);
		if (request->body == NULL)
			return MHD_NO;
		memcpy(request->body + request->length, data, *size);
		request->length += *size;
		request->body[request->length] = '\0';
	}
	*size = 0;
	return MHD_YES;
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *upload,
				  size_t *upload_size, void **con_cls)
{
	struct jt_http_server *server = cls;
	struct jt_http_request *request = *con_cls;

	(void)version;
	if (request == NULL) {
		request = talloc_zero(server, struct jt_http_request);
		if (request == NULL)
			return MHD_NO;
		request->server = server;
		request->connection = connection;
		request->method = talloc_strdup(request, method);
		request->path = talloc_strdup(request, url);
		request->body = talloc_strdup(request, "");
		*con_cls = request;
		return MHD_YES;
	}
	if (*upload_size > 0)
		return append_body(request, upload, upload_size);
	if (!request->handled) {
		request->handled = true;
		if (request->too_large)
			jt_http_reply(request, MHD_HTTP_CONTENT_TOO_LARGE,
				      "application/json",
				      "{\"error\":\"body too large\"}\n");
		else
			server->handler(request, server->private_data);
	}
	if (request->response != NULL) {
		struct MHD_Response *response = request->response;
		enum MHD_Result result = MHD_queue_response(
			connection, request->status, response);

		request->response = NULL;
		MHD_destroy_response(response);
		return result;
	}
	request->suspended = true;
	MHD_suspend_connection(connection);
	return MHD_YES;
}

static void on_completed(void *cls, struct MHD_Connection *connection,
			 void **con_cls, enum MHD_RequestTerminationCode code)
{
	struct jt_http_request *request = *con_cls;

	(void)cls;
	(void)connection;
	(void)code;
	if (request == NULL)
		return;
	*con_cls = NULL;
	if (request->on_close != NULL)
		request->on_close(request->close_data);
	if (request->response != NULL)
		MHD_destroy_response(request->response);
	talloc_free(request);
}

static int server_destructor(struct jt_http_server *server)
{
	if (server->daemon != NULL)
		MHD_stop_daemon(server->daemon);
	return 0;
}

struct jt_http_server *jt_http_server_create(TALLOC_CTX *mem_ctx,
					     struct tevent_context *loop,
					     const struct jt_http_options *opts,
					     jt_http_handler handler,
					     void *private_data)
{
	unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
	const union MHD_DaemonInfo *info;
	struct jt_http_server *server;
	struct sockaddr_in socket_address;
	unsigned limit = opts->connection_limit ? opts->connection_limit : 256;

	server = talloc_zero(mem_ctx, struct jt_http_server);
	if (server == NULL)
		return NULL;
	server->loop = loop;
	server->handler = handler;
	server->private_data = private_data;
	server->timer = jt_timer_create(server, loop, server_timer, server);
	if (server->timer == NULL)
		goto fail;
	jt_address_to_socket(opts->address, &socket_address);
	if (opts->certificate != NULL)
		server->daemon = MHD_start_daemon(
			flags | MHD_USE_TLS, opts->address.port, NULL, NULL,
			on_request, server, MHD_OPTION_SOCK_ADDR,
			&socket_address, MHD_OPTION_NOTIFY_COMPLETED,
			on_completed, server, MHD_OPTION_CONNECTION_LIMIT,
			limit, MHD_OPTION_CONNECTION_TIMEOUT,
			(unsigned)IDLE_TIMEOUT_S, MHD_OPTION_HTTPS_MEM_CERT,
			opts->certificate, MHD_OPTION_HTTPS_MEM_KEY, opts->key,
			MHD_OPTION_END);
	else
		server->daemon = MHD_start_daemon(
			flags, opts->address.port, NULL, NULL, on_request,
			server, MHD_OPTION_SOCK_ADDR, &socket_address,
			MHD_OPTION_NOTIFY_COMPLETED, on_completed, server,
			MHD_OPTION_CONNECTION_LIMIT, limit,
			MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_TIMEOUT_S,
			MHD_OPTION_END);
	if (server->daemon == NULL)
		goto fail;
	talloc_set_destructor(server, server_destructor);
	info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	server->fd = tevent_add_fd(loop, server, info->epoll_fd, TEVENT_FD_READ,
				   server_readable, server);
	if (server->fd == NULL)
		goto fail;
	return server;
fail:
	talloc_free(server);
	return NULL;
}

const char *jt_http_method(const struct jt_http_request *request)
{
	return request->method;
}

const char *jt_http_path(const struct jt_http_request *request)
{
	return request->path;
}

const char *jt_http_body(const struct jt_http_request *request, size_t *length)
{
	if (length != NULL)
		*length = request->length;
	return request->body;
}

const char *jt_http_query(const struct jt_http_request *request,
			  const char *name)
{
	return MHD_lookup_connection_value(request->connection,
					   MHD_GET_ARGUMENT_KIND, name);
}

const char *jt_http_header(const struct jt_http_request *request,
			   const char *name)
{
	return MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND,
					   name);
}

static void request_resume(struct jt_http_request *request)
{
	if (!request->suspended)
		return;
	request->suspended = false;
	MHD_resume_connection(request->connection);
	if (!request->server->running)
		jt_timer_set(request->server->timer, 0);
}

void jt_http_reply_bytes(struct jt_http_request *request, unsigned status,
			 const char *type, const void *body, size_t length)
{
	request->response = MHD_create_response_from_buffer(
		length, (void *)body, MHD_RESPMEM_MUST_COPY);
	if (request->response == NULL)
		return;
	MHD_add_response_header(request->response, "Content-Type", type);
	request->status = status;
	request_resume(request);
}

static ssize_t stream_read(void *cls, uint64_t position, char *buffer,
			   size_t size)
{
	struct jt_http_request *request = cls;

	(void)position;
	if (request->pending_length == 0) {
		request->suspended = true;
		MHD_suspend_connection(request->connection);
		return 0;
	}
	if (size > request->pending_length)
		size = request->pending_length;
	memcpy(buffer, request->pending, size);
	request->pending_length -= size;
	memmove(request->pending, request->pending + size,
		request->pending_length);
	return (ssize_t)size;
}

void jt_http_stream_start(struct jt_http_request *request, const char *type)
{
	request->streaming = true;
	request->response = MHD_create_response_from_callback(
		MHD_SIZE_UNKNOWN, 4096, stream_read, request, NULL);
	if (request->response == NULL)
		return;
	MHD_add_response_header(request->response, "Content-Type", type);
	request->status = MHD_HTTP_OK;
	request_resume(request);
}

void jt_http_stream(struct jt_http_request *request, const char *part)
{
	size_t length = strlen(part);

	request->pending = talloc_realloc(request, request->pending, char,
					  request->pending_length + length + 1);
	if (request->pending == NULL)
		return;
	memcpy(request->pending + request->pending_length, part, length);
	request->pending_length += length;
	request_resume(request);
}

void jt_http_on_close(struct jt_http_request *request,
		      void (*callback)(void *private_data), void *private_data)
{
	request->on_close = callback;
	request->close_data = private_data;
}
