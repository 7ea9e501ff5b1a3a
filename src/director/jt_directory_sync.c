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
	FAILURES_LOST = 2,
	/* While a watch is open, a short call checks that the store answers. */
	CHECK_MS = 500,
	CHECK_TIMEOUT_MS = 800,
	/* The same while a page is pending. */
	PAGE_CHECK_MS = 250,
	PAGE_CHECK_TIMEOUT_MS = 400,
	/* A first page later than this means that many nodes request one, or
	 * that the store is slow. */
	FIRST_PAGE_MS = 150,
	/* A node that relies on peers checks whether the store is reachable
	 * again. */
	LOST_CHECK_MS = 2500,
	/* Before the first listing, while a peer may send a snapshot. */
	PEER_TELLS_MS = 20,
	PEERS_KEEP_MS = 300,
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
	bool watching;		  /* the pending call is a watch */
	bool asking;		  /* the pending check is the follower's step */
	bool first_page_due;	  /* the check timer waits for a first page */
	uint64_t peers_until_ms;  /* latest time at which a pending peer request
				     delays the first listing */
	uint64_t asked_ms;	  /* when the pending page was requested */
	char *page_key;		  /* last key of the previous page */
	bool lost;
	struct jt_directory_counters counters;
};

static void sync_step(struct jt_directory_sync *sync);

static void on_due(void *private_data)
{
	sync_step(private_data);
}

static void watch_store(struct jt_directory_sync *sync,
			enum jt_kv_status status)
{
	bool lost = sync->follower.failures >= FAILURES_LOST;

	if (lost == sync->lost)
		return;
	sync->lost = lost;
	sync->watcher.reachable(!lost, status, sync->watcher.private_data);
}

static void hand_over(struct jt_directory_sync *sync,
		      const struct jt_kv_answer *answer)
{
	for (size_t i = 0; i < answer->change_count; i++) {
		if (answer->changes[i].kind == JT_CHANGE_INVALID)
			sync->counters.invalid_items++;
		sync->watcher.changed(&answer->changes[i],
				      sync->watcher.private_data);
	}
}

/* Reports the newest revision of a watch, whose changes come in order. */
static void tell_caught_up(struct jt_directory_sync *sync,
			   const struct jt_kv_answer *answer)
{
	uint64_t newest = 0;

	for (size_t i = 0; i < answer->change_count; i++) {
		if (answer->changes[i].revision > newest)
			newest = answer->changes[i].revision;
	}
	if (newest > 0)
		sync->watcher.caught_up(newest, sync->watcher.private_data);
}

static struct jt_kv_answer *call_finish(struct jt_directory_sync *sync,
					struct tevent_req *req)
{
	struct jt_kv_answer *answer = sync->directory->recv(req, sync);

	TALLOC_FREE(sync->call);
	sync->watching = false;
	sync->first_page_due = false;
	return answer;
}

static void calls_end(struct jt_directory_sync *sync)
{
	TALLOC_FREE(sync->call);
	TALLOC_FREE(sync->check);
	sync->watching = false;
	sync->asking = false;
	sync->first_page_due = false;
	jt_timer_stop(sync->check_timer);
}

static void on_page(struct tevent_req *req)
{
	struct jt_directory_sync *sync =
		tevent_req_callback_data(req, struct jt_directory_sync);
	struct jt_kv_answer *answer = call_finish(sync, req);
	uint64_t now_ms = jt_clock_ms();
	bool complete;

	if (answer == NULL)
		return;
	sync->counters.lists[answer->status]++;
	hand_over(sync, answer);
	complete = jt_follower_page(&sync->follower, answer->status,
				    answer->revision, answer->more,
				    now_ms - sync->asked_ms, now_ms);
	if (answer->status == JT_KV_OK)
		TALLOC_FREE(sync->page_key);
	if (answer->status == JT_KV_OK && answer->more)
		sync->page_key = talloc_strdup(sync, answer->last_key);
	if (answer->status == JT_KV_OK && answer->zones_told && !complete)
		sync->watcher.partly_told(sync->watcher.private_data);
	if (complete)
		sync->watcher.listed(sync->follower.listing,
				     sync->watcher.private_data);
	watch_store(sync, answer->status);
	talloc_free(answer);
	sync_step(sync);
}

static void on_watched(struct tevent_req *req)
{
	struct jt_directory_sync *sync =
		tevent_req_callback_data(req, struct jt_directory_sync);
	struct jt_kv_answer *answer = call_finish(sync, req);

	if (answer == NULL)
		return;
	sync->counters.watches[answer->status]++;
	hand_over(sync, answer);
	tell_caught_up(sync, answer);
	jt_follower_watched(&sync->follower, answer->status, answer->revision,
			    answer->change_count > 0, jt_clock_ms());
	watch_store(sync, answer->status);
	talloc_free(answer);
	sync_step(sync);
}

/* Checks */

/* Ends the open watch as failed, with @status. */
static void watch_give_up(struct jt_directory_sync *sync,
			  enum jt_kv_status status)
{
	TALLOC_FREE(sync->call);
	sync->watching = false;
	sync->counters.watches_given_up++;
	jt_follower_watched(&sync->follower, status, 0, false, jt_clock_ms());
	watch_store(sync, status);
	sync_step(sync);
}

/* Handles a check by a node that relies on peers. */
static void check_take_idle(struct jt_directory_sync *sync,
			    enum jt_kv_status status)
{
	if (status == JT_KV_OK)
		sync->follower.failures = 0;
	watch_store(sync, status);
}

static void list_start(struct jt_directory_sync *sync);

static void page_checked(struct jt_directory_sync *sync,
			 enum jt_kv_status status)
{
	if (!jt_follower_page_checked(&sync->follower, status))
		return;
	TALLOC_FREE(sync->call);
	list_start(sync);
}

/* Handles a check that was the follower's step. */
static void asked_take(struct jt_directory_sync *sync, enum jt_kv_status status,
		       uint64_t at)
{
	sync->asking = false;
	jt_follower_asked(&sync->follower, status, at,
			  sync->watcher.known(sync->watcher.private_data),
			  jt_clock_ms());
	watch_store(sync, status);
	sync_step(sync);
}

static void on_checked(struct tevent_req *req)
{
	struct jt_directory_sync *sync =
		tevent_req_callback_data(req, struct jt_directory_sync);
	struct jt_kv_answer *answer = sync->directory->recv(req, sync);
	enum jt_kv_status status;
	uint64_t at;

	TALLOC_FREE(sync->check);
	if (answer == NULL)
		return;
	status = answer->status;
	at = answer->revision;
	talloc_free(answer);
	sync->counters.checks[status]++;
	if (sync->asking)
		asked_take(sync, status, at);
	else if (sync->follower.reading == JT_READING_NOT)
		check_take_idle(sync, status);
	else if (sync->call != NULL && !sync->watching)
		page_checked(sync, status);
	else if (sync->watching &&
		 jt_follower_checked(&sync->follower, status, at,
				     sync->watch_ms, jt_clock_ms()))
		watch_give_up(sync, status == JT_KV_OK ? JT_KV_LOST : status);
}

static void check_start(struct jt_directory_sync *sync)
{
	bool beside_page = sync->call != NULL && !sync->watching;

	sync->check = sync->directory->check_send(
		sync, sync->client, sync->store,
		beside_page ? PAGE_CHECK_TIMEOUT_MS : CHECK_TIMEOUT_MS);
	if (sync->check != NULL)
		tevent_req_set_callback(sync->check, on_checked, sync);
}

/* Handles a first page that is late. */
static void first_page_late(struct jt_directory_sync *sync)
{
	sync->first_page_due = false;
	if (sync->call == NULL || sync->watching)
		return;
	jt_timer_set(sync->check_timer, PAGE_CHECK_MS - FIRST_PAGE_MS);
	if (!jt_follower_gives_way(&sync->follower, jt_clock_ms()))
		return;
	calls_end(sync);
	sync_step(sync);
}

static void on_check_due(void *private_data)
{
	struct jt_directory_sync *sync = private_data;

	if (sync->first_page_due) {
		first_page_late(sync);
		return;
	}
	if (sync->call != NULL) {
		jt_timer_set(sync->check_timer,
			     sync->watching ? CHECK_MS : PAGE_CHECK_MS);
	} else if (sync->follower.reading == JT_READING_NOT && sync->lost) {
		jt_timer_set(sync->check_timer, LOST_CHECK_MS);
	} else {
		return;
	}
	if (sync->check == NULL)
		check_start(sync);
}

static void list_start(struct jt_directory_sync *sync)
{
	sync->first_page_due = !sync->follower.paging;
	if (sync->first_page_due)
		sync->watcher.listing(sync->watcher.private_data);
	sync->asked_ms = jt_clock_ms();
	jt_timer_set(sync->check_timer,
		     sync->first_page_due ? FIRST_PAGE_MS : PAGE_CHECK_MS);
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
	jt_follower_resume(&sync->follower,
			   sync->watcher.known(sync->watcher.private_data),
			   sync->watch_ms);
	jt_timer_set(sync->check_timer, CHECK_MS);
	sync->call = sync->directory->watch_send(
		sync, sync->client, sync->store, sync->follower.revision,
		wait_ms, wait_ms + WATCH_SLACK_MS);
	if (sync->call != NULL)
		tevent_req_set_callback(sync->call, on_watched, sync);
}

/* Returns true if peers may provide the state sooner than a listing. */
static bool list_can_wait(const struct jt_directory_sync *sync, uint64_t now_ms)
{
	switch (sync->watcher.peers_tell(sync->watcher.private_data)) {
	case JT_PEERS_ASKED:
		return now_ms < sync->peers_until_ms;
	case JT_PEERS_TOLD_SOME:
		return sync->follower.gave_way || !sync->follower.paging;
	case JT_PEERS_TELL:
		return true;
	default:
		return false;
	}
}

static void ask_start(struct jt_directory_sync *sync)
{
	if (sync->check == NULL)
		check_start(sync);
	sync->asking = sync->check != NULL;
}

static void sync_step(struct jt_directory_sync *sync)
{
	uint64_t now_ms = jt_clock_ms();

	if (sync->call != NULL || sync->asking ||
	    sync->follower.reading == JT_READING_NOT)
		return;
	switch (jt_follower_next(&sync->follower, now_ms)) {
	case JT_FOLLOWER_LIST:
		if (list_can_wait(sync, now_ms))
			jt_timer_set(sync->timer, PEER_TELLS_MS);
		else
			list_start(sync);
		break;
	case JT_FOLLOWER_WATCH:
		watch_start(sync);
		break;
	case JT_FOLLOWER_CHECK:
		ask_start(sync);
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
	uint64_t start_wait_ms, uint32_t strength_permille, uint64_t seed)
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
	sync->follower.reading = JT_READING_CHECKS;
	sync->follower.strength_permille = strength_permille;
	sync->timer = jt_timer_create(sync, loop, on_due, sync);
	sync->check_timer = jt_timer_create(sync, loop, on_check_due, sync);
	if (sync->timer == NULL || sync->check_timer == NULL) {
		talloc_free(sync);
		return NULL;
	}
	sync->follower.due_ms = jt_clock_ms() + start_wait_ms;
	sync->peers_until_ms = sync->follower.due_ms + PEERS_KEEP_MS;
	jt_timer_set(sync->timer, start_wait_ms);
	return sync;
}

void jt_directory_sync_informed(struct jt_directory_sync *sync,
				uint64_t revision)
{
	if (!jt_follower_informed(&sync->follower, revision, jt_clock_ms()))
		return;
	calls_end(sync);
	TALLOC_FREE(sync->page_key);
	sync_step(sync);
}

void jt_directory_sync_read(struct jt_directory_sync *sync,
			    enum jt_reading reading)
{
	if (reading == sync->follower.reading)
		return;
	/* A listing under way goes on, unless the store is no longer read. */
	if (sync->follower.listed || reading == JT_READING_NOT)
		calls_end(sync);
	jt_follower_read(&sync->follower, reading, jt_clock_ms());
	if (reading != JT_READING_NOT) {
		sync_step(sync);
		return;
	}
	/* An aborted listing starts over. */
	sync->follower.paging = false;
	TALLOC_FREE(sync->page_key);
	jt_timer_stop(sync->timer);
	if (sync->lost)
		jt_timer_set(sync->check_timer, LOST_CHECK_MS);
}

void jt_directory_sync_learning(struct jt_directory_sync *sync, bool learning)
{
	jt_follower_learning(&sync->follower, learning);
}

bool jt_directory_sync_lost(const struct jt_directory_sync *sync)
{
	return sync->lost;
}

uint64_t jt_directory_sync_failures(const struct jt_directory_sync *sync)
{
	return sync->follower.failures_ever;
}

uint64_t jt_directory_sync_as_of_ms(const struct jt_directory_sync *sync)
{
	return sync->follower.as_of_ms;
}

void jt_directory_sync_move(struct jt_directory_sync *sync,
			    struct jt_address store)
{
	if (jt_address_same(sync->store, store))
		return;
	sync->store = store;
	calls_end(sync);
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
