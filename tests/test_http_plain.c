/* The plain HTTP client and server talk with each other inside one loop. */
#include "test.h"

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

enum { LOOPBACK = 0x7f000001, SHORT_MS = 50, LONG_MS = 5000 };

struct bench {
	struct tevent_context *loop;
	struct jt_http_server *server;
	struct jt_http_client *client;
	struct jt_address address;
	struct jt_http_request *held; /* its answer waits */
	unsigned closed;	      /* requests that ended */
	unsigned served;
};

/* A port that nobody listens at. */
static uint16_t free_port(void)
{
	struct sockaddr_in name = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(LOOPBACK),
	};
	socklen_t size = sizeof(name);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_true(fd >= 0);
	assert_int_equal(bind(fd, (struct sockaddr *)&name, size), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&name, &size), 0);
	close(fd);
	return ntohs(name.sin_port);
}

static void on_close(void *private_data)
{
	struct bench *bench = private_data;

	bench->closed++;
}

static void on_request(struct jt_http_request *request, void *private_data)
{
	struct bench *bench = private_data;
	const char *path = jt_http_path(request);
	const char *name = jt_http_query(request, "name");
	const char *id = jt_http_header(request, "X-Request-Id");
	char text[128];

	bench->served++;
	jt_http_on_close(request, on_close, bench);
	if (strcmp(path, "/hold") == 0) {
		bench->held = request;
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

static void server_start(struct bench *bench)
{
	const struct jt_http_options options = {.address = bench->address};

	bench->server = jt_http_server_create(bench, bench->loop, &options,
					      on_request, bench);
	assert_non_null(bench->server);
}

static struct bench *bench_create(void)
{
	struct bench *bench = talloc_zero(NULL, struct bench);

	signal(SIGPIPE, SIG_IGN);
	bench->loop = tevent_context_init(bench);
	bench->address = (struct jt_address){LOOPBACK, free_port()};
	bench->client = jt_http_client_create(bench, bench->loop);
	server_start(bench);
	return bench;
}

static struct tevent_req *bench_send(struct bench *bench, const char *path,
				     struct jt_http_call call)
{
	char text[JT_ADDRESS_TEXT];
	struct tevent_req *req;
	char *url =
		talloc_asprintf(bench, "http://%s%s",
				jt_address_format(bench->address, text), path);

	call.url = url;
	if (call.method == NULL)
		call.method = "GET";
	if (call.timeout_ms == 0)
		call.timeout_ms = LONG_MS;
	req = jt_http_send(bench, bench->client, &call);
	talloc_free(url);
	assert_non_null(req);
	return req;
}

/* A call whose answer waits at the server. */
static struct tevent_req *bench_hold(struct bench *bench)
{
	struct tevent_req *req =
		bench_send(bench, "/hold", (struct jt_http_call){0});

	while (bench->held == NULL)
		tevent_loop_once(bench->loop);
	return req;
}

/* The answer's body, NULL where none came. */
static char *bench_finish(struct bench *bench, struct tevent_req *req,
			  long *status)
{
	char *body = NULL;

	assert_true(tevent_req_poll(req, bench->loop));
	if (jt_http_recv(req, bench, status, &body, NULL) != 0)
		body = NULL;
	talloc_free(req);
	return body;
}

static char *bench_get(struct bench *bench, const char *path, long *status)
{
	return bench_finish(bench,
			    bench_send(bench, path, (struct jt_http_call){0}),
			    status);
}

static void test_what_is_asked_arrives(void **state)
{
	struct bench *bench = bench_create();
	struct jt_http_call call = {
		.method = "POST", .body = "text", .request_id = "r-1"};
	long status = 0;

	(void)state;
	assert_string_equal(bench_get(bench, "/a/b?name=x%20y&z=1", &status),
			    "GET /a/b x y - ");
	assert_int_equal(status, 200);
	assert_string_equal(
		bench_finish(bench, bench_send(bench, "/", call), &status),
		"POST / - r-1 text");
	assert_string_equal(bench_get(bench, "/none", &status), "none\n");
	assert_int_equal(status, 404);
	assert_int_equal(bench->closed, 3);
	talloc_free(bench);
}

static void test_bytes_and_headers_come_back(void **state)
{
	struct bench *bench = bench_create();
	struct jt_http_call call = {.want = "content-type"};
	struct tevent_req *req = bench_send(bench, "/bytes", call);
	size_t length = 0;
	char *body = NULL;
	long status = 0;

	(void)state;
	assert_true(tevent_req_poll(req, bench->loop));
	assert_string_equal(jt_http_wanted(req), "application/octet-stream");
	assert_int_equal(
		jt_http_recv_bytes(req, bench, &status, &body, &length), 0);
	assert_int_equal(length, 3);
	assert_memory_equal(body, "a\0b", 3);
	talloc_free(bench);
}

static void test_many_at_once(void **state)
{
	enum { CALLS = 40 };
	struct bench *bench = bench_create();
	struct tevent_req *calls[CALLS];
	long status = 0;

	(void)state;
	for (int i = 0; i < CALLS; i++)
		calls[i] = bench_send(bench, "/", (struct jt_http_call){0});
	for (int i = 0; i < CALLS; i++)
		assert_string_equal(bench_finish(bench, calls[i], &status),
				    "GET / - - ");
	assert_int_equal(bench->served, CALLS);
	talloc_free(bench);
}

static void test_late_answer_is_none(void **state)
{
	struct bench *bench = bench_create();
	struct jt_http_call call = {.timeout_ms = SHORT_MS};
	long status = 0;

	(void)state;
	assert_null(
		bench_finish(bench, bench_send(bench, "/hold", call), &status));
	/* The next call is not held up by it. */
	assert_non_null(bench_get(bench, "/", &status));
	assert_int_equal(bench->closed, 1);
	/* Its caller has gone: the answer goes nowhere. */
	jt_http_reply(bench->held, 200, "text/plain", "late\n");
	assert_non_null(bench_get(bench, "/", &status));
	assert_int_equal(bench->closed, 3);
	talloc_free(bench);
}

static void test_answer_may_come_later(void **state)
{
	struct bench *bench = bench_create();
	struct tevent_req *req = bench_hold(bench);
	long status = 0;

	(void)state;
	jt_http_reply(bench->held, 503, "text/plain", "later\n");
	assert_string_equal(bench_finish(bench, req, &status), "later\n");
	assert_int_equal(status, 503);
	talloc_free(bench);
}

static void test_call_that_is_freed_ends(void **state)
{
	struct bench *bench = bench_create();
	struct tevent_req *req = bench_hold(bench);
	long status = 0;

	(void)state;
	talloc_free(req);
	assert_non_null(bench_get(bench, "/", &status));
	assert_int_equal(bench->closed, 1);
	/* What was never answered ends with the server. */
	TALLOC_FREE(bench->server);
	assert_int_equal(bench->closed, 2);
	talloc_free(bench);
}

static void test_refused_connection_is_an_error(void **state)
{
	struct bench *bench = bench_create();
	long status = 0;

	(void)state;
	TALLOC_FREE(bench->server);
	assert_null(bench_get(bench, "/", &status));
	talloc_free(bench);
}

/* A connection that was kept is of no use after the server's restart; numbers
 * of closed sockets are used again. */
static void test_server_that_starts_again_is_reached(void **state)
{
	struct bench *bench = bench_create();
	long status = 0;

	(void)state;
	for (int i = 0; i < 5; i++) {
		assert_non_null(bench_get(bench, "/", &status));
		TALLOC_FREE(bench->server);
		server_start(bench);
		/* The kept connection's end may come with this call. */
		if (bench_get(bench, "/", &status) == NULL)
			assert_non_null(bench_get(bench, "/", &status));
	}
	talloc_free(bench);
}

/* Sockets of others that get the numbers of those that libevent closed. */

enum { PAIRS = 4 };

struct pairs {
	struct bench *bench;
	int ends[PAIRS][2];
	unsigned heard;
};

static void on_readable(struct tevent_context *loop, struct tevent_fd *fd,
			uint16_t flags, void *private_data)
{
	struct pairs *pairs = private_data;

	(void)loop;
	(void)flags;
	pairs->heard++;
	tevent_fd_set_flags(fd, 0);
}

static void pairs_open(struct pairs *pairs)
{
	for (int i = 0; i < PAIRS; i++) {
		assert_int_equal(
			socketpair(AF_UNIX, SOCK_STREAM, 0, pairs->ends[i]), 0);
		for (int end = 0; end < 2; end++)
			assert_non_null(tevent_add_fd(
				pairs->bench->loop, pairs, pairs->ends[i][end],
				TEVENT_FD_READ, on_readable, pairs));
	}
}

static void test_closed_numbers_belong_to_others(void **state)
{
	struct bench *bench = bench_create();
	struct pairs *pairs = talloc_zero(bench, struct pairs);
	struct tevent_req *req = bench_hold(bench);
	long status = 0;

	(void)state;
	pairs->bench = bench;
	/* Its connection is closed just before the pairs are opened. */
	talloc_free(req);
	pairs_open(pairs);
	assert_non_null(bench_get(bench, "/", &status));
	for (int i = 0; i < PAIRS; i++) {
		assert_int_equal(write(pairs->ends[i][0], "x", 1), 1);
		assert_int_equal(write(pairs->ends[i][1], "x", 1), 1);
	}
	while (pairs->heard < 2 * PAIRS)
		tevent_loop_once(bench->loop);
	for (int i = 0; i < PAIRS; i++) {
		close(pairs->ends[i][0]);
		close(pairs->ends[i][1]);
	}
	talloc_free(bench);
}

static void test_tls_and_streams_are_refused(void **state)
{
	struct bench *bench = bench_create();
	const struct jt_http_options options = {
		.address = bench->address, .certificate = "-", .key = "-"};
	struct jt_http_call call = {.ca = "ca.pem"};
	long status = 0;

	(void)state;
	assert_null(jt_http_server_create(bench, bench->loop, &options,
					  on_request, bench));
	assert_int_equal(errno, ENOTSUP);
	assert_null(bench_finish(bench, bench_send(bench, "/", call), &status));
	talloc_free(bench);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_what_is_asked_arrives),
		cmocka_unit_test(test_bytes_and_headers_come_back),
		cmocka_unit_test(test_many_at_once),
		cmocka_unit_test(test_late_answer_is_none),
		cmocka_unit_test(test_answer_may_come_later),
		cmocka_unit_test(test_call_that_is_freed_ends),
		cmocka_unit_test(test_refused_connection_is_an_error),
		cmocka_unit_test(test_server_that_starts_again_is_reached),
		cmocka_unit_test(test_closed_numbers_belong_to_others),
		cmocka_unit_test(test_tls_and_streams_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
