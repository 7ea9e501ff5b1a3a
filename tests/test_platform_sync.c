/* Keeping in step with a store whose stale reads lag behind, or which has an
 * odd entry of another writer, in one loop with a stand-in for the store. */
#include "test_net.h"

#include "jt_directory_sync.h"
#include "jt_http_server.h"
#include "jt_net.h"
#include "jt_platform.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sodium.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

enum {

	OLD_REVISION = 10,
	NEW_REVISION = 11,
	/* Checks after which a change must have been found. */
	CHECKS_MAX = 4,
	CPU_PERMILLE = 1000,
	/* Endpoints in the store: the odd entry stands between two good ones.
	 */
	ENTRIES = 3,
	ODD_ENTRY = 1,
	/* Lists in a large or deeply nested entry. */
	NESTED = 3000,
	LISTS = 300000,
};

struct fixture {
	struct tevent_context *loop;
	struct jt_http_client *client;
	struct jt_http_server *server;
	struct jt_directory_sync *sync;
	struct jt_address store;
	bool changed;		    /* the store is at NEW_REVISION */
	bool first_watch_is_silent; /* the first watch gets no response */
	/* Values of the entries of endpoints, base64; NULL: there are none. */
	const char *values[ENTRIES];
	bool watched; /* the entries are written after the listing */
	uint64_t endpoints[ENTRIES]; /* ids of the entries that were read */
	unsigned endpoint_count;
	unsigned invalid_count;
	unsigned watches;
	uint64_t known_revision;
};

/* The store */

/* Replies with the entries of endpoints, or without any. */
static void reply(const struct fixture *fixture,
		  struct jt_http_request *request, const char *kind,
		  bool entries, int revision)
{
	json_t *items = json_array(), *body;
	char key[16], *text;

	for (int i = 0; entries && i < ENTRIES; i++) {
		snprintf(key, sizeof(key), "servers/i-%d", i + 1);
		json_array_append_new(
			items, json_pack("{s:s,s:s,s:i,s:i}", "tlsKey", key,
					 "value", fixture->values[i],
					 "revision", revision, "created", 1));
	}
	body = json_pack("{s:o,s:b,s:i}", kind, items, "more", false, "at",
			 revision);
	text = json_dumps(body, 0);
	jt_http_reply(request, 200, "application/json", text);
	free(text);
	json_decref(body);
}

static void watch_reply(struct fixture *fixture,
			struct jt_http_request *request)
{
	const char *after = jt_http_query(request, "after");

	fixture->watches++;
	if ((fixture->watches == 1 && fixture->first_watch_is_silent) ||
	    !fixture->changed || atoi(after) >= NEW_REVISION)
		return;
	reply(fixture, request, "events", true, NEW_REVISION);
}

/* Stale reads show the store as it was before the change. */
static void check_reply(struct fixture *fixture,
			struct jt_http_request *request)
{
	bool stale = jt_http_query(request, "stale") != NULL;

	reply(fixture, request, "items", false,
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
		reply(fixture, request, "items", !fixture->watched,
		      OLD_REVISION);
		fixture->changed = true;
	}
}

/* The node */

static void on_change(const struct jt_directory_change *change,
		      void *private_data)
{
	struct fixture *fixture = private_data;

	if (change->kind == JT_DIRECTORY_CHANGE_INVALID)
		fixture->invalid_count++;
	else if (change->kind == JT_DIRECTORY_CHANGE_ENDPOINT &&
		 fixture->endpoint_count < ENTRIES)
		fixture->endpoints[fixture->endpoint_count++] =
			change->endpoint.id;
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

/* Returns @text in base64, a talloc child of @mem_ctx. */
static char *to_base64(TALLOC_CTX *mem_ctx, const char *text)
{
	size_t length = strlen(text);
	size_t size = sodium_base64_ENCODED_LEN(length,
						sodium_base64_VARIANT_ORIGINAL);
	char *digits = talloc_size(mem_ctx, size);

	return sodium_bin2base64(digits, size, (const uint8_t *)text, length,
				 sodium_base64_VARIANT_ORIGINAL);
}

/* Returns an entry with the JSON text @address and @capacity, and @more after
 * its last field. */
static char *entry(TALLOC_CTX *mem_ctx, const char *address,
		   const char *capacity, const char *more)
{
	return talloc_asprintf(
		mem_ctx,
		"{\"service\":\"counter\",\"address\":%s,\"zone\":"
		"\"regina\",\"version\":\"v1\",\"capacity\":%s,"
		"\"state\":\"ready\",\"coldLeftMs\":0,\"callCount\":4%s}",
		address, capacity, more);
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

	for (int i = 0; i < ENTRIES; i++)
		fixture->values[i] =
			to_base64(fixture, entry(fixture, "\"10.128.0.9:8080\"",
						 "2", ""));
	fixture->watched = true;
	fixture->loop = tevent_context_init(fixture);
	fixture->store = (struct jt_address){LOOPBACK, test_free_port()};
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

/* Returns the text of the entry in each odd form; NULL after the last one. */
static char *odd_entry(TALLOC_CTX *mem_ctx, int form)
{
	static const char good[] = "\"10.128.0.9:8080\"";

	switch (form) {
	case 0:
		return test_repeat(mem_ctx, "[", NESTED);
	case 1: /* well-formed, and nested as deeply in one field */
		return entry(
			mem_ctx, good, "2",
			talloc_asprintf(mem_ctx, ",\"more\":%s%s",
					test_repeat(mem_ctx, "[", NESTED),
					test_repeat(mem_ctx, "]", NESTED)));
	case 2: /* many nested lists in one field */
		return entry(
			mem_ctx, good, "2",
			talloc_asprintf(mem_ctx, ",\"more\":[%s[]]",
					test_repeat(mem_ctx, "[],", LISTS)));
	case 3:
		return entry(mem_ctx, good, "1e999", "");
	case 4:
		return entry(mem_ctx, good, "123456789012345678901234", "");
	case 5:
		return entry(mem_ctx, good, "4294967296", "");
	case 6:
		return entry(mem_ctx, "\"10.128.0.9:65536\"", "2", "");
	case 7:
		return entry(mem_ctx, "\"10.128.0.9:99999999999999999999\"",
			     "2", "");
	default:
		return NULL;
	}
}

/* Guards against an odd entry of another writer, in a listing or in the
 * response to a watch, that hides the entries beside it or ends the node's
 * following of the store. */
static void test_odd_entry_does_not_affect_others(void **state)
{
	TALLOC_CTX *frame = talloc_new(NULL);
	char *text;

	(void)state;
	for (int form = 0; (text = odd_entry(frame, form)) != NULL; form++) {
		for (int watched = 0; watched < 2; watched++) {
			struct fixture *fixture =
				fixture_create(JT_READ_MODE_WATCH);

			fixture->watched = watched;
			fixture->values[ODD_ENTRY] = to_base64(fixture, text);
			run(fixture);
			/* What is listed is reported again by the watch. */
			assert_int_equal(fixture->endpoint_count,
					 watched ? 2 : ENTRIES);
			assert_int_equal(fixture->endpoints[0], 1);
			assert_int_equal(fixture->endpoints[1], 3);
			assert_int_equal(fixture->invalid_count,
					 watched ? 1 : 2);
			assert_int_equal(fixture->known_revision, NEW_REVISION);
			assert_false(
				jt_directory_sync_unreachable(fixture->sync));
			talloc_free(fixture);
		}
	}
	talloc_free(frame);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_check_finds_a_change_that_stale_reads_hide),
		cmocka_unit_test(
			test_dead_watch_is_found_though_stale_reads_lag),
		cmocka_unit_test(test_odd_entry_does_not_affect_others),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
