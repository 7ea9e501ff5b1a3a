#include "jt_directory_sync.h"
#include "jt_net.h"
#include "jt_timer.h"

enum {
	/* Pages are slow when all nodes request them at once; retrying
	 * earlier would add to the load. */
	LIST_TIMEOUT_MS = 4000,
	/* Time that a watch may exceed its requested wait. */
	WATCH_SLACK_MS = 500,
	/* Consecutive failures after which the store counts as unreachable. */
	UNREACHABLE_FAILURES = 2,
	/* While a watch is open, a short call checks that the store answers. */
	CHECK_MS = 500,
	CHECK_TIMEOUT_MS = 800,
	/* The same while a page is pending. */
	PAGE_CHECK_MS = 250,
	PAGE_CHECK_TIMEOUT_MS = 400,
	/* A first page takes some 20 ms where few nodes request one. Later
	 * than this means that many do, or that the store is slow. */
	FIRST_PAGE_LATE_MS = 150,
	/* A node that relies on peers checks whether the store is reachable
	 * again. */
	OUTAGE_CHECK_MS = 2500,
	/* Before the first listing, while a peer may send a snapshot. */
	PEER_SYNC_RETRY_MS = 20,
	PEER_SYNC_WAIT_MS = 300,
};

struct jt_directory_sync {
	struct tevent_context *loop;
	struct jt_http_client *client;
	const struct jt_directory *directory;
	struct jt_address store;
	struct jt_directory_watcher watcher;
	struct jt_follower follower;
	struct jt_timer *timer;
	struct jt_timer *check_timer;
	struct tevent_req *call;  /* the pending list or watch */
	struct tevent_req *check; /* the pending check */
	uint64_t watch_ms;	  /* when the pending watch began */
	uint64_t check_ms;	  /* when the pending check was sent */
	enum jt_check_kind check_kind;
	bool check_of_watch;	 /* the pending check was sent beside a watch */
	bool watching;		 /* the pending call is a watch */
	bool polling;		 /* the pending check is the follower's step */
	bool first_page_pending; /* the check timer waits for a first page */
	uint64_t peer_wait_until_ms; /* limits the wait for peers */
	uint64_t page_sent_ms;	     /* when the pending page was requested */
	char *page_key;		     /* last key of the previous page */
	bool is_unreachable;
	struct jt_directory_counters counters;
};

static void sync_step(struct jt_directory_sync *sync);

static void on_step_due(void *private_data)
{
	sync_step(private_data);
}

static void reachability_update(struct jt_directory_sync *sync,
				enum jt_kv_status status)
{
	bool is_unreachable = sync->follower.failures >= UNREACHABLE_FAILURES;

	if (is_unreachable == sync->is_unreachable)
		return;
	sync->is_unreachable = is_unreachable;
	sync->watcher.reachable(!is_unreachable, status,
				sync->watcher.private_data);
}

static void changes_report(struct jt_directory_sync *sync,
			   const struct jt_kv_response *response)
{
	for (size_t i = 0; i < response->change_count; i++) {
		if (response->changes[i].kind == JT_DIRECTORY_CHANGE_INVALID)
			sync->counters.invalid_items++;
		sync->watcher.changed(&response->changes[i],
				      sync->watcher.private_data);
	}
}

/* Reports the newest revision of a watch, whose changes come in order. */
static void caught_up_report(struct jt_directory_sync *sync,
			     const struct jt_kv_response *response)
{
	uint64_t newest = 0;

	for (size_t i = 0; i < response->change_count; i++) {
		if (response->changes[i].revision > newest)
			newest = response->changes[i].revision;
	}
	if (newest > 0)
		sync->watcher.caught_up(newest, sync->watcher.private_data);
}

static struct jt_kv_response *call_finish(struct jt_directory_sync *sync,
					  struct tevent_req *req)
{
	struct jt_kv_response *response = sync->directory->recv(req, sync);

	TALLOC_FREE(sync->call);
	sync->watching = false;
	sync->first_page_pending = false;
	return response;
}

static void calls_cancel(struct jt_directory_sync *sync)
{
	TALLOC_FREE(sync->call);
	TALLOC_FREE(sync->check);
	sync->watching = false;
	sync->polling = false;
	sync->first_page_pending = false;
	jt_timer_stop(sync->check_timer);
}

static void on_page(struct tevent_req *req)
{
	struct jt_directory_sync *sync =
		tevent_req_callback_data(req, struct jt_directory_sync);
	struct jt_kv_response *response = call_finish(sync, req);
	uint64_t now_ms = jt_clock_ms();
	bool complete;

	if (response == NULL)
		return;
	sync->counters.lists[response->status]++;
	changes_report(sync, response);
	complete = jt_follower_page(&sync->follower, response->status,
				    response->revision, response->more,
				    now_ms - sync->page_sent_ms, now_ms);
	if (response->status == JT_KV_OK)
		TALLOC_FREE(sync->page_key);
	if (response->status == JT_KV_OK && response->more)
		sync->page_key = talloc_strdup(sync, response->last_key);
	if (response->status == JT_KV_OK && response->zones_complete &&
	    !complete)
		sync->watcher.partly_listed(sync->watcher.private_data);
	if (complete)
		sync->watcher.listed(sync->follower.listing,
				     sync->watcher.private_data);
	reachability_update(sync, response->status);
	talloc_free(response);
	sync_step(sync);
}

static void on_watched(struct tevent_req *req)
{
	struct jt_directory_sync *sync =
		tevent_req_callback_data(req, struct jt_directory_sync);
	struct jt_kv_response *response = call_finish(sync, req);

	if (response == NULL)
		return;
	sync->counters.watches[response->status]++;
	changes_report(sync, response);
	caught_up_report(sync, response);
	jt_follower_watched(&sync->follower, response->status,
			    response->revision, response->change_count > 0,
			    sync->watch_ms, jt_clock_ms());
	reachability_update(sync, response->status);
	talloc_free(response);
	sync_step(sync);
}

/* Checks */

/* Ends the open watch as failed, with @status. */
static void watch_abandon(struct jt_directory_sync *sync,
			  enum jt_kv_status status)
{
	TALLOC_FREE(sync->call);
	sync->watching = false;
	sync->counters.watches_abandoned++;
	jt_follower_watched(&sync->follower, status, 0, false, sync->watch_ms,
			    jt_clock_ms());
	reachability_update(sync, status);
	sync_step(sync);
}

/* Handles a check by a node that relies on peers. */
static void idle_check_apply(struct jt_directory_sync *sync,
			     enum jt_kv_status status)
{
	if (status == JT_KV_OK)
		sync->follower.failures = 0;
	reachability_update(sync, status);
}

static void list_start(struct jt_directory_sync *sync);

static void page_check_apply(struct jt_directory_sync *sync,
			     enum jt_kv_status status)
{
	if (!jt_follower_record_page_check(&sync->follower, status))
		return;
	TALLOC_FREE(sync->call);
	list_start(sync);
}

/* Handles a check that was the follower's step. */
static void poll_apply(struct jt_directory_sync *sync, enum jt_kv_status status,
		       uint64_t revision)
{
	/* A check that does not show the revision does not make the state
	 * fresh. */
	uint64_t as_of_ms =
		sync->check_kind == JT_CHECK_REVISION ? sync->check_ms : 0;

	sync->polling = false;
	jt_follower_record_check(
		&sync->follower, status, revision,
		sync->watcher.known_revision(sync->watcher.private_data),
		as_of_ms, jt_clock_ms());
	reachability_update(sync, status);
	sync_step(sync);
}

static void on_checked(struct tevent_req *req)
{
	struct jt_directory_sync *sync =
		tevent_req_callback_data(req, struct jt_directory_sync);
	struct jt_kv_response *response = sync->directory->recv(req, sync);
	enum jt_kv_status status;
	uint64_t revision;

	TALLOC_FREE(sync->check);
	if (response == NULL)
		return;
	status = response->status;
	revision = response->revision;
	talloc_free(response);
	sync->counters.checks[status]++;
	if (sync->polling)
		poll_apply(sync, status, revision);
	else if (sync->follower.read_mode == JT_READ_MODE_NONE)
		idle_check_apply(sync, status);
	else if (sync->call != NULL && !sync->watching)
		page_check_apply(sync, status);
	else if (sync->watching && sync->check_of_watch &&
		 jt_follower_record_watch_check(&sync->follower, status,
						revision, sync->watch_ms,
						sync->check_ms, jt_clock_ms()))
		watch_abandon(sync, status == JT_KV_OK ? JT_KV_LOST : status);
}

static void check_start(struct jt_directory_sync *sync)
{
	bool page_pending = sync->call != NULL && !sync->watching;
	bool idle = sync->follower.read_mode == JT_READ_MODE_NONE;

	sync->check_ms = jt_clock_ms();
	sync->check_of_watch = sync->watching;
	sync->check_kind = JT_CHECK_ANSWERS;
	if (!page_pending && !idle &&
	    jt_follower_check_confirms(&sync->follower, sync->watching,
				       sync->check_ms))
		sync->check_kind = JT_CHECK_REVISION;
	sync->check = sync->directory->check_send(
		sync, sync->client, sync->store, sync->check_kind,
		page_pending ? PAGE_CHECK_TIMEOUT_MS : CHECK_TIMEOUT_MS);
	if (sync->check != NULL)
		tevent_req_set_callback(sync->check, on_checked, sync);
}

/* Handles a first page that is late. */
static void on_first_page_late(struct jt_directory_sync *sync)
{
	sync->first_page_pending = false;
	if (sync->call == NULL || sync->watching)
		return;
	jt_timer_set(sync->check_timer, PAGE_CHECK_MS - FIRST_PAGE_LATE_MS);
	if (!jt_follower_yields_listing(&sync->follower, jt_clock_ms()))
		return;
	calls_cancel(sync);
	sync_step(sync);
}

static void on_check_due(void *private_data)
{
	struct jt_directory_sync *sync = private_data;

	if (sync->first_page_pending) {
		on_first_page_late(sync);
		return;
	}
	if (sync->call != NULL) {
		jt_timer_set(sync->check_timer,
			     sync->watching ? CHECK_MS : PAGE_CHECK_MS);
	} else if (sync->follower.read_mode == JT_READ_MODE_NONE &&
		   sync->is_unreachable) {
		jt_timer_set(sync->check_timer, OUTAGE_CHECK_MS);
	} else {
		return;
	}
	if (sync->check == NULL)
		check_start(sync);
}

static void list_start(struct jt_directory_sync *sync)
{
	sync->first_page_pending = !sync->follower.paging;
	if (sync->first_page_pending)
		sync->watcher.listing(sync->watcher.private_data);
	sync->page_sent_ms = jt_clock_ms();
	jt_timer_set(sync->check_timer, sync->first_page_pending
						? FIRST_PAGE_LATE_MS
						: PAGE_CHECK_MS);
	sync->call =
		sync->directory->list_send(sync, sync->client, sync->store,
					   sync->page_key, LIST_TIMEOUT_MS);
	if (sync->call != NULL)
		tevent_req_set_callback(sync->call, on_page, sync);
}

static void watch_start(struct jt_directory_sync *sync)
{
	uint32_t wait_ms = jt_follower_wait_ms(&sync->follower);

	sync->watching = true;
	sync->watch_ms = jt_clock_ms();
	jt_follower_resume(
		&sync->follower,
		sync->watcher.known_revision(sync->watcher.private_data),
		sync->watch_ms);
	jt_timer_set(sync->check_timer, CHECK_MS);
	sync->call = sync->directory->watch_send(
		sync, sync->client, sync->store, sync->follower.revision,
		wait_ms, wait_ms + WATCH_SLACK_MS);
	if (sync->call != NULL)
		tevent_req_set_callback(sync->call, on_watched, sync);
}

/* Returns true if peers may provide the state sooner than a listing. */
static bool list_may_wait(const struct jt_directory_sync *sync, uint64_t now_ms)
{
	switch (sync->watcher.peer_sync(sync->watcher.private_data)) {
	case JT_PEER_SYNC_PENDING:
		return now_ms < sync->peer_wait_until_ms;
	case JT_PEER_SYNC_PARTIAL:
		return sync->follower.yielded || !sync->follower.paging;
	case JT_PEER_SYNC_RECEIVING:
		return true;
	default:
		return false;
	}
}

static void poll_start(struct jt_directory_sync *sync)
{
	/* One beside a page that was late does not count. */
	TALLOC_FREE(sync->check);
	check_start(sync);
	sync->polling = sync->check != NULL;
}

static void sync_step(struct jt_directory_sync *sync)
{
	uint64_t now_ms = jt_clock_ms();

	if (sync->call != NULL || sync->polling ||
	    sync->follower.read_mode == JT_READ_MODE_NONE)
		return;
	switch (jt_follower_next(&sync->follower, now_ms)) {
	case JT_FOLLOWER_LIST:
		if (list_may_wait(sync, now_ms))
			jt_timer_set(sync->timer, PEER_SYNC_RETRY_MS);
		else
			list_start(sync);
		break;
	case JT_FOLLOWER_WATCH:
		watch_start(sync);
		break;
	case JT_FOLLOWER_CHECK:
		poll_start(sync);
		break;
	case JT_FOLLOWER_WAIT:
		jt_timer_set(sync->timer, sync->follower.due_ms - now_ms);
		break;
	}
}

struct jt_directory_sync *jt_directory_sync_create(
	TALLOC_CTX *mem_ctx, struct tevent_context *loop,
	struct jt_http_client *client, const struct jt_directory *directory,
	struct jt_address store, const struct jt_directory_watcher *watcher,
	uint64_t start_wait_ms, uint32_t cpu_permille, uint64_t seed)
{
	struct jt_directory_sync *sync =
		talloc_zero(mem_ctx, struct jt_directory_sync);

	if (sync == NULL)
		return NULL;
	sync->loop = loop;
	sync->client = client;
	sync->directory = directory;
	sync->store = store;
	sync->watcher = *watcher;
	jt_follower_init(&sync->follower, seed);
	sync->follower.read_mode = JT_READ_MODE_CHECK;
	sync->follower.cpu_permille = cpu_permille;
	sync->timer = jt_timer_create(sync, loop, on_step_due, sync);
	sync->check_timer = jt_timer_create(sync, loop, on_check_due, sync);
	if (sync->timer == NULL || sync->check_timer == NULL) {
		talloc_free(sync);
		return NULL;
	}
	sync->follower.due_ms = jt_clock_ms() + start_wait_ms;
	sync->peer_wait_until_ms = sync->follower.due_ms + PEER_SYNC_WAIT_MS;
	jt_timer_set(sync->timer, start_wait_ms);
	return sync;
}

void jt_directory_sync_snapshot_received(struct jt_directory_sync *sync,
					 uint64_t revision)
{
	if (!jt_follower_record_snapshot(&sync->follower, revision,
					 jt_clock_ms()))
		return;
	calls_cancel(sync);
	TALLOC_FREE(sync->page_key);
	sync_step(sync);
}

void jt_directory_sync_set_read_mode(struct jt_directory_sync *sync,
				     enum jt_read_mode mode)
{
	if (mode == sync->follower.read_mode)
		return;
	/* A listing under way goes on, unless the store is no longer read. */
	if (sync->follower.listed || mode == JT_READ_MODE_NONE)
		calls_cancel(sync);
	jt_follower_set_read_mode(&sync->follower, mode, jt_clock_ms());
	if (mode != JT_READ_MODE_NONE) {
		sync_step(sync);
		return;
	}
	/* An aborted listing starts over. */
	sync->follower.paging = false;
	TALLOC_FREE(sync->page_key);
	jt_timer_stop(sync->timer);
	if (sync->is_unreachable)
		jt_timer_set(sync->check_timer, OUTAGE_CHECK_MS);
}

void jt_directory_sync_set_initial_sync(struct jt_directory_sync *sync,
					bool initial_sync)
{
	jt_follower_set_initial_sync(&sync->follower, initial_sync);
}

void jt_directory_sync_set_others_watch(struct jt_directory_sync *sync,
					bool others_watch)
{
	sync->follower.others_watch = others_watch;
}

bool jt_directory_sync_unreachable(const struct jt_directory_sync *sync)
{
	return sync->is_unreachable;
}

uint64_t jt_directory_sync_failures(const struct jt_directory_sync *sync)
{
	return sync->follower.failures_ever;
}

uint64_t jt_directory_sync_as_of_ms(const struct jt_directory_sync *sync)
{
	return sync->follower.as_of_ms;
}

void jt_directory_sync_set_address(struct jt_directory_sync *sync,
				   struct jt_address store)
{
	if (jt_address_same(sync->store, store))
		return;
	sync->store = store;
	calls_cancel(sync);
	sync_step(sync);
}

uint64_t jt_directory_sync_revision(const struct jt_directory_sync *sync)
{
	return sync->follower.revision;
}

uint64_t jt_directory_sync_age_ms(const struct jt_directory_sync *sync)
{
	return jt_clock_ms() - sync->follower.answered_ms;
}

const struct jt_directory_counters *
jt_directory_sync_counters(const struct jt_directory_sync *sync)
{
	return &sync->counters;
}
