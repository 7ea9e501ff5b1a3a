/* Tests the plain HTTP client against the plain HTTP server in one loop. */
#include "test_net.h"

#include "jt_http_client.h"
#include "jt_http_server.h"
#include "jt_net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

enum { SHORT_MS = 50, LONG_MS = 5000 };

struct fixture {
	struct tevent_context *loop;
	struct jt_http_server *server;
	struct jt_http_client *client;
	struct jt_address address;
	struct jt_http_request *held; /* without a reply yet */
	unsigned closed;	      /* requests that ended */
	unsigned served;
};

static void on_close(void *private_data)
{
	struct fixture *fixture = private_data;

	fixture->closed++;
}

static void on_request(struct jt_http_request *request, void *private_data)
{
	struct fixture *fixture = private_data;
	const char *path = jt_http_path(request);
	const char *name = jt_http_query(request, "name");
	const char *id = jt_http_header(request, "X-Request-Id");
	char text[128];

	fixture->served++;
	jt_http_on_close(request, on_close, fixture);
	if (strcmp(path, "/hold") == 0) {
		fixture->held = request;
		return;
	}
	if (strcmp(path, "/bytes") == 0) {
		jt_http_reply_bytes(request, 200, "application/octet-stream",
				    "a\0b", 3);
		return;
	}
	if (strcmp(path, "/none") == 0) {
		jt_http_reply(request, 404, "text/plain", "none\n");
		return;
	}
	snprintf(text, sizeof(text), "%s %s %s %s %s", jt_http_method(request),
		 path, name ? name : "-", id ? id : "-",
		 jt_http_body(request, NULL));
	jt_http_reply(request, 200, "text/plain", text);
}

static void server_start(struct fixture *fixture)
{
	const struct jt_http_options options = {.address = fixture->address};

	fixture->server = jt_http_server_create(fixture, fixture->loop,
						&options, on_request, fixture);
	assert_non_null(fixture->server);
}

static struct fixture *fixture_create(void)
{
	struct fixture *fixture = talloc_zero(NULL, struct fixture);

	signal(SIGPIPE, SIG_IGN);
	fixture->loop = tevent_context_init(fixture);
	fixture->address = (struct jt_address){LOOPBACK, test_free_port()};
	fixture->client = jt_http_client_create(fixture, fixture->loop);
	server_start(fixture);
	return fixture;
}

static struct tevent_req *fixture_send(struct fixture *fixture,
				       const char *path,
				       struct jt_http_call call)
{
	char text[JT_ADDRESS_TEXT_SIZE];
	struct tevent_req *req;
	char *url = talloc_asprintf(fixture, "http://%s%s",
				    jt_address_format(fixture->address, text),
				    path);

	call.url = url;
	if (call.method == NULL)
		call.method = "GET";
	if (call.timeout_ms == 0)
		call.timeout_ms = LONG_MS;
	req = jt_http_send(fixture, fixture->client, &call);
	talloc_free(url);
	assert_non_null(req);
	return req;
}

/* Sends a request and returns when the server holds it without a reply. */
static struct tevent_req *fixture_hold(struct fixture *fixture)
{
	struct tevent_req *req =
		fixture_send(fixture, "/hold", (struct jt_http_call){0});

	while (fixture->held == NULL)
		tevent_loop_once(fixture->loop);
	return req;
}

/* Waits for the reply; returns its body, or NULL if the request failed. */
static char *fixture_finish(struct fixture *fixture, struct tevent_req *req,
			    long *status)
{
	char *body = NULL;

	assert_true(tevent_req_poll(req, fixture->loop));
	if (jt_http_recv(req, fixture, status, &body, NULL) != 0)
		body = NULL;
	talloc_free(req);
	return body;
}

static char *fixture_get(struct fixture *fixture, const char *path,
			 long *status)
{
	return fixture_finish(
		fixture, fixture_send(fixture, path, (struct jt_http_call){0}),
		status);
}

static void test_request_and_reply(void **state)
{
	struct fixture *fixture = fixture_create();
	struct jt_http_call call = {
		.method = "POST", .body = "text", .request_id = "r-1"};
	long status = 0;

	(void)state;
	assert_string_equal(
		fixture_get(fixture, "/a/b?name=x%20y&z=1", &status),
		"GET /a/b x y - ");
	assert_int_equal(status, 200);
	assert_string_equal(fixture_finish(fixture,
					   fixture_send(fixture, "/", call),
					   &status),
			    "POST / - r-1 text");
	assert_string_equal(fixture_get(fixture, "/none", &status), "none\n");
	assert_int_equal(status, 404);
	assert_int_equal(fixture->closed, 3);
	talloc_free(fixture);
}

static void test_binary_body_and_header_of_reply(void **state)
{
	struct fixture *fixture = fixture_create();
	struct jt_http_call call = {.response_header = "content-type"};
	struct tevent_req *req = fixture_send(fixture, "/bytes", call);
	size_t length = 0;
	char *body = NULL;
	long status = 0;

	(void)state;
	assert_true(tevent_req_poll(req, fixture->loop));
	assert_string_equal(jt_http_response_header(req),
			    "application/octet-stream");
	assert_int_equal(
		jt_http_recv_bytes(req, fixture, &status, &body, &length), 0);
	assert_int_equal(length, 3);
	assert_memory_equal(body, "a\0b", 3);
	talloc_free(fixture);
}

static void test_concurrent_requests(void **state)
{
	enum { CALLS = 40 };
	struct fixture *fixture = fixture_create();
	struct tevent_req *calls[CALLS];
	long status = 0;

	(void)state;
	for (int i = 0; i < CALLS; i++)
		calls[i] = fixture_send(fixture, "/", (struct jt_http_call){0});
	for (int i = 0; i < CALLS; i++)
		assert_string_equal(fixture_finish(fixture, calls[i], &status),
				    "GET / - - ");
	assert_int_equal(fixture->served, CALLS);
	talloc_free(fixture);
}

static void test_late_reply_is_discarded(void **state)
{
	struct fixture *fixture = fixture_create();
	struct jt_http_call call = {.timeout_ms = SHORT_MS};
	long status = 0;

	(void)state;
	assert_null(fixture_finish(
		fixture, fixture_send(fixture, "/hold", call), &status));
	/* The next request is not delayed by it. */
	assert_non_null(fixture_get(fixture, "/", &status));
	assert_int_equal(fixture->closed, 1);
	/* A reply to a closed request is discarded. */
	jt_http_reply(fixture->held, 200, "text/plain", "late\n");
	assert_non_null(fixture_get(fixture, "/", &status));
	assert_int_equal(fixture->closed, 3);
	talloc_free(fixture);
}

static void test_deferred_reply(void **state)
{
	struct fixture *fixture = fixture_create();
	struct tevent_req *req = fixture_hold(fixture);
	long status = 0;

	(void)state;
	jt_http_reply(fixture->held, 503, "text/plain", "later\n");
	assert_string_equal(fixture_finish(fixture, req, &status), "later\n");
	assert_int_equal(status, 503);
	talloc_free(fixture);
}

static void test_freed_request_is_closed(void **state)
{
	struct fixture *fixture = fixture_create();
	struct tevent_req *req = fixture_hold(fixture);
	long status = 0;

	(void)state;
	talloc_free(req);
	assert_non_null(fixture_get(fixture, "/", &status));
	assert_int_equal(fixture->closed, 1);
	/* A request without a reply is closed with the server. */
	TALLOC_FREE(fixture->server);
	assert_int_equal(fixture->closed, 2);
	talloc_free(fixture);
}

static void test_refused_connection_fails(void **state)
{
	struct fixture *fixture = fixture_create();
	long status = 0;

	(void)state;
	TALLOC_FREE(fixture->server);
	assert_null(fixture_get(fixture, "/", &status));
	talloc_free(fixture);
}

/* Kept connections are dead after a restart of the server, and descriptors of
 * closed sockets are reused. */
static void test_restarted_server_is_reached(void **state)
{
	struct fixture *fixture = fixture_create();
	long status = 0;

	(void)state;
	for (int i = 0; i < 5; i++) {
		assert_non_null(fixture_get(fixture, "/", &status));
		TALLOC_FREE(fixture->server);
		server_start(fixture);
		/* The end of the kept connection may fail this request. */
		if (fixture_get(fixture, "/", &status) == NULL)
			assert_non_null(fixture_get(fixture, "/", &status));
	}
	talloc_free(fixture);
}

/* Unrelated sockets that reuse descriptors which libevent closed. */

enum { PAIRS = 4 };

struct pairs {
	struct fixture *fixture;
	int ends[PAIRS][2];
	unsigned readable;
};

static void on_readable(struct tevent_context *loop, struct tevent_fd *fd,
			uint16_t flags, void *private_data)
{
	struct pairs *pairs = private_data;

	(void)loop;
	(void)flags;
	pairs->readable++;
	tevent_fd_set_flags(fd, 0);
}

static void pairs_open(struct pairs *pairs)
{
	for (int i = 0; i < PAIRS; i++) {
		assert_int_equal(
			socketpair(AF_UNIX, SOCK_STREAM, 0, pairs->ends[i]), 0);
		for (int end = 0; end < 2; end++)
			assert_non_null(tevent_add_fd(
				pairs->fixture->loop, pairs,
				pairs->ends[i][end], TEVENT_FD_READ,
				on_readable, pairs));
	}
}

static void test_reused_descriptors_of_closed_sockets(void **state)
{
	struct fixture *fixture = fixture_create();
	struct pairs *pairs = talloc_zero(fixture, struct pairs);
	struct tevent_req *req = fixture_hold(fixture);
	long status = 0;

	(void)state;
	pairs->fixture = fixture;
	/* Closes its connection just before the pairs are opened. */
	talloc_free(req);
	pairs_open(pairs);
	assert_non_null(fixture_get(fixture, "/", &status));
	for (int i = 0; i < PAIRS; i++) {
		assert_int_equal(write(pairs->ends[i][0], "x", 1), 1);
		assert_int_equal(write(pairs->ends[i][1], "x", 1), 1);
	}
	while (pairs->readable < 2 * PAIRS)
		tevent_loop_once(fixture->loop);
	for (int i = 0; i < PAIRS; i++) {
		close(pairs->ends[i][0]);
		close(pairs->ends[i][1]);
	}
	talloc_free(fixture);
}

static void test_tls_and_streams_are_refused(void **state)
{
	struct fixture *fixture = fixture_create();
	const struct jt_http_options options = {
		.address = fixture->address, .certificate = "-", .key = "-"};
	struct jt_http_call call = {.ca = "ca.pem"};
	long status = 0;

	(void)state;
	assert_null(jt_http_server_create(fixture, fixture->loop, &options,
					  on_request, fixture));
	assert_int_equal(errno, ENOTSUP);
	assert_null(fixture_finish(fixture, fixture_send(fixture, "/", call),
				   &status));
	talloc_free(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_request_and_reply),
		cmocka_unit_test(test_binary_body_and_header_of_reply),
		cmocka_unit_test(test_concurrent_requests),
		cmocka_unit_test(test_late_reply_is_discarded),
		cmocka_unit_test(test_deferred_reply),
		cmocka_unit_test(test_freed_request_is_closed),
		cmocka_unit_test(test_refused_connection_fails),
		cmocka_unit_test(test_restarted_server_is_reached),
		cmocka_unit_test(test_reused_descriptors_of_closed_sockets),
		cmocka_unit_test(test_tls_and_streams_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
