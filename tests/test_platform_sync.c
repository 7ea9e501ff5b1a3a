/* Keeping in step with a store whose stale reads lag behind, in one loop with a
 * stand-in for the store. */
#include "test.h"

#include "jt_directory_sync.h"
#include "jt_http_server.h"
#include "jt_net.h"
#include "jt_platform.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	LOOPBACK = 0x7f000001,
	OLD_REVISION = 10,
	NEW_REVISION = 11,
	/* Checks after which a change must have been found. */
	CHECKS_MAX = 4,
	CPU_PERMILLE = 1000,
};

struct fixture {
	struct tevent_context *loop;
	struct jt_http_client *client;
	struct jt_http_server *server;
	struct jt_directory_sync *sync;
	struct jt_address store;
	bool changed;		    /* the store is at NEW_REVISION */
	bool first_watch_is_silent; /* the first watch gets no response */
	unsigned watches;
	uint64_t known_revision;
};

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

/* The store */

static void reply(struct jt_http_request *request, const char *kind,
		  const char *items, int revision)
{
	char body[256];

	snprintf(body, sizeof(body), "{\"%s\":[%s],\"more\":false,\"at\":%d}",
		 kind, items, revision);
	jt_http_reply(request, 200, "application/json", body);
}

static void watch_reply(struct fixture *fixture,
			struct jt_http_request *request)
{
	const char *after = jt_http_query(request, "after");

	fixture->watches++;
	if ((fixture->watches == 1 && fixture->first_watch_is_silent) ||
	    !fixture->changed || atoi(after) >= NEW_REVISION)
		return;
	reply(request, "events",
	      "{\"tlsKey\":\"servers/aa\",\"revision\":11,\"gone\":true}",
	      NEW_REVISION);
}

/* Stale reads show the store as it was before the change. */
static void check_reply(struct fixture *fixture,
			struct jt_http_request *request)
{
	bool stale = jt_http_query(request, "stale") != NULL;

	reply(request, "items", "",
	      fixture->changed && !stale ? NEW_REVISION : OLD_REVISION);
}

static void on_request(struct jt_http_request *request, void *private_data)
{
	struct fixture *fixture = private_data;
	const char *prefix = jt_http_query(request, "pathPrefix");

	if (strcmp(jt_http_path(request), "/kv-watch") == 0) {
		watch_reply(fixture, request);
	} else if (prefix != NULL && *prefix != '\0') {
		check_reply(fixture, request);
	} else {
		reply(request, "items", "", OLD_REVISION);
		fixture->changed = true;
	}
}

/* The node */

static void on_change(const struct jt_directory_change *change,
		      void *private_data)
{
	(void)change;
	(void)private_data;
}

static void on_revision(uint64_t revision, void *private_data)
{
	struct fixture *fixture = private_data;

	fixture->known_revision = revision;
}

static void on_event(void *private_data)
{
	(void)private_data;
}

static uint64_t known_revision(void *private_data)
{
	const struct fixture *fixture = private_data;

	return fixture->known_revision;
}

static enum jt_peer_sync_state peer_sync(void *private_data)
{
	(void)private_data;
	return JT_PEER_SYNC_NONE;
}

static void on_reachable(bool reachable, enum jt_kv_status status,
			 void *private_data)
{
	(void)reachable;
	(void)status;
	(void)private_data;
}

static struct fixture *fixture_create(enum jt_read_mode mode)
{
	struct fixture *fixture = talloc_zero(NULL, struct fixture);
	struct jt_http_options options = {0};
	const struct jt_directory_watcher watcher = {
		.changed = on_change,
		.caught_up = on_revision,
		.listing = on_event,
		.listed = on_revision,
		.partly_listed = on_event,
		.known_revision = known_revision,
		.peer_sync = peer_sync,
		.reachable = on_reachable,
		.private_data = fixture,
	};

	fixture->loop = tevent_context_init(fixture);
	fixture->store = (struct jt_address){LOOPBACK, free_port()};
	options.address = fixture->store;
	fixture->server = jt_http_server_create(fixture, fixture->loop,
						&options, on_request, fixture);
	assert_non_null(fixture->server);
	fixture->client = jt_http_client_create(fixture, fixture->loop);
	fixture->sync = jt_directory_sync_create(
		fixture, fixture->loop, fixture->client, &jt_platform_directory,
		fixture->store, &watcher, 0, CPU_PERMILLE, 1);
	jt_directory_sync_set_read_mode(fixture->sync, mode);
	return fixture;
}

/* Runs the node until it has all changes, or has had the responses of so many
 * checks that it should have found them. */
static void run(struct fixture *fixture)
{
	const struct jt_directory_counters *counters =
		jt_directory_sync_counters(fixture->sync);

	while (fixture->known_revision < NEW_REVISION &&
	       counters->checks[JT_KV_OK] <= CHECKS_MAX)
		assert_int_equal(tevent_loop_once(fixture->loop), 0);
}

/* Guards against a node that checks the store by stale reads, takes its state
 * for fresh and misses a change for as long as these reads lag. */
static void test_check_finds_a_change_that_stale_reads_hide(void **state)
{
	struct fixture *fixture = fixture_create(JT_READ_MODE_CHECK);

	(void)state;
	run(fixture);
	assert_int_equal(fixture->known_revision, NEW_REVISION);
	talloc_free(fixture);
}

/* Guards against a watching node whose watch has died without a sign, and which
 * stale reads tell that nothing has changed. */
static void test_dead_watch_is_found_though_stale_reads_lag(void **state)
{
	struct fixture *fixture = fixture_create(JT_READ_MODE_WATCH);

	(void)state;
	fixture->first_watch_is_silent = true;
	run(fixture);
	assert_int_equal(fixture->known_revision, NEW_REVISION);
	assert_int_equal(fixture->watches, 2);
	talloc_free(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_check_finds_a_change_that_stale_reads_hide),
		cmocka_unit_test(
			test_dead_watch_is_found_though_stale_reads_lag),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
