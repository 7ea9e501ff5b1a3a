/* Guards against reuse of kept connections after one of them stopped answering
 * without being closed; built once for each HTTP client. */
#include "test.h"

#include "jt_http_client.h"
#include "jt_net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	LOOPBACK = 0x7f000001,
	SHORT_MS = 100,
	LONG_MS = 5000,
	CONNECTIONS = 3, /* idle when all stop answering */
	REQUEST_MAX = 2048,
};

/* A server that sends the same reply to every request. */
struct server {
	struct tevent_context *loop;
	int fd;
	struct jt_address address;
	bool replies; /* false: requests get no reply yet */
	unsigned accepted;
	struct connection *connections;
};

struct connection {
	struct server *server;
	struct connection *next;
	int fd;
	bool pending; /* a request has no reply yet */
	bool silent;  /* never replies again */
};

static void reply(struct connection *connection)
{
	static const char text[] =
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

	connection->pending = false;
	assert_int_equal(
		send(connection->fd, text, sizeof(text) - 1, MSG_NOSIGNAL),
		sizeof(text) - 1);
}

static void on_request(struct tevent_context *loop, struct tevent_fd *event,
		       uint16_t flags, void *private_data)
{
	struct connection *connection = private_data;
	char request[REQUEST_MAX];
	ssize_t length = recv(connection->fd, request, sizeof(request), 0);

	(void)loop;
	(void)flags;
	if (length <= 0) {
		tevent_fd_set_flags(event, 0);
		return;
	}
	if (connection->silent)
		return;
	connection->pending = true;
	if (connection->server->replies)
		reply(connection);
}

static void on_connection(struct tevent_context *loop, struct tevent_fd *event,
			  uint16_t flags, void *private_data)
{
	struct server *server = private_data;
	struct connection *connection = talloc_zero(server, struct connection);

	(void)event;
	(void)flags;
	connection->server = server;
	connection->fd = accept4(server->fd, NULL, NULL, SOCK_CLOEXEC);
	assert_true(connection->fd >= 0);
	connection->next = server->connections;
	server->connections = connection;
	server->accepted++;
	tevent_add_fd(loop, connection, connection->fd, TEVENT_FD_READ,
		      on_request, connection);
}

static struct server *server_create(TALLOC_CTX *mem_ctx,
				    struct tevent_context *loop)
{
	struct server *server = talloc_zero(mem_ctx, struct server);
	struct sockaddr_in name = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(LOOPBACK),
	};
	socklen_t size = sizeof(name);

	server->loop = loop;
	server->replies = true;
	server->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	assert_int_equal(bind(server->fd, (struct sockaddr *)&name, size), 0);
	assert_int_equal(listen(server->fd, CONNECTIONS * 2), 0);
	assert_int_equal(
		getsockname(server->fd, (struct sockaddr *)&name, &size), 0);
	server->address = jt_address_from_socket(&name);
	tevent_add_fd(loop, server, server->fd, TEVENT_FD_READ, on_connection,
		      server);
	return server;
}

static struct tevent_req *send_request(const struct server *server,
				       struct jt_http_client *client,
				       long timeout_ms)
{
	struct jt_http_call request = {.method = "GET",
				       .timeout_ms = timeout_ms};
	char address[JT_ADDRESS_TEXT], url[64];

	snprintf(url, sizeof(url), "http://%s/",
		 jt_address_format(server->address, address));
	request.url = url;
	return jt_http_send(client, client, &request);
}

/* Waits for the end of the request; returns true if a reply arrived. */
static bool wait_for_reply(const struct server *server, struct tevent_req *req)
{
	char *body = NULL;
	long status = 0;
	bool replied;

	assert_true(tevent_req_poll(req, server->loop));
	replied = jt_http_recv(req, req, &status, &body, NULL) == 0;
	talloc_free(req);
	return replied;
}

/* Opens CONNECTIONS idle connections that have each carried a reply. */
static void connections_open(struct server *server,
			     struct jt_http_client *client)
{
	struct tevent_req *requests[CONNECTIONS];

	server->replies = false;
	for (int i = 0; i < CONNECTIONS; i++)
		requests[i] = send_request(server, client, LONG_MS);
	while (server->accepted < CONNECTIONS)
		tevent_loop_once(server->loop);
	for (struct connection *connection = server->connections;
	     connection != NULL; connection = connection->next) {
		while (!connection->pending)
			tevent_loop_once(server->loop);
		reply(connection);
	}
	server->replies = true;
	for (int i = 0; i < CONNECTIONS; i++)
		assert_true(wait_for_reply(server, requests[i]));
}

/* After one request without a reply the next one opens a new connection instead
 * of taking another one that was idle as long. */
static void test_silent_connection_ends_reuse_of_others(void **state)
{
	struct tevent_context *loop = tevent_context_init(NULL);
	struct jt_http_client *client = jt_http_client_create(loop, loop);
	struct server *server = server_create(loop, loop);

	(void)state;
	signal(SIGPIPE, SIG_IGN);
	connections_open(server, client);
	for (struct connection *connection = server->connections;
	     connection != NULL; connection = connection->next)
		connection->silent = true;
	assert_false(
		wait_for_reply(server, send_request(server, client, SHORT_MS)));
	assert_true(
		wait_for_reply(server, send_request(server, client, SHORT_MS)));
	talloc_free(loop);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_silent_connection_ends_reuse_of_others),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
