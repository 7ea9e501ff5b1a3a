#include "jt_follower.h"

enum {
	DEFAULT_WAIT_MS = 15000,
	DEFAULT_RETRY_WAIT_MS = 500,
	/* Time within which a watch reports a change; later, it has missed
	 * it. */
	WATCH_DELAY_MS = 500,
	DEFAULT_PAUSE_MS = 400,
	/* Pause during the initial synchronisation, when flows wait for
	 * entries. */
	SYNC_PAUSE_MS = 50,
	DEFAULT_RETRY_MIN_MS = 100,
	DEFAULT_RETRY_MAX_MS = 1600,
	MAX_DOUBLINGS = 16,
	/* A page that takes this long shows that many nodes list at once. Some
	 * of them continue; the others pause for about YIELD_MS, while nodes
	 * with more CPU capacity complete the listing and send it to their
	 * peers. */
	SLOW_PAGE_MS = 100,
	MIN_CONTINUE_PERMILLE = 125,
	PERMILLE = 1000,
	YIELD_MS = 600,
	/* Pause between two checks of a node that does not watch, and the time
	 * that a change found by a check may take to arrive from peers. */
	CHECK_PAUSE_MS = 700,
	/* Interval of the checks beside a watch that show the revision, where
	 * other nodes watch as well. */
	CONFIRM_PAUSE_MS = 20000,
	/* A check without a watch shows the revision if the state was complete
	 * longer ago than this. */
	CONFIRM_AGE_MS = 1000,
	GOSSIP_DELAY_MS = 150,
};

void jt_follower_init(struct jt_follower *follower, uint64_t seed)
{
	*follower = (struct jt_follower){
		.read_mode = JT_READ_MODE_WATCH,
		.wait_ms = DEFAULT_WAIT_MS,
		.retry_wait_ms = DEFAULT_RETRY_WAIT_MS,
		.pause_ms = DEFAULT_PAUSE_MS,
		.retry_min_ms = DEFAULT_RETRY_MIN_MS,
		.retry_max_ms = DEFAULT_RETRY_MAX_MS,
		.random = {.seed = seed},
	};
}

enum jt_follower_step jt_follower_next(const struct jt_follower *follower,
				       uint64_t now_ms)
{
	if (now_ms < follower->due_ms)
		return JT_FOLLOWER_WAIT;
	if (!follower->listed)
		return JT_FOLLOWER_LIST;
	if (follower->read_mode == JT_READ_MODE_WATCH || follower->catching_up)
		return JT_FOLLOWER_WATCH;
	return JT_FOLLOWER_CHECK;
}

void jt_follower_set_initial_sync(struct jt_follower *follower,
				  bool initial_sync)
{
	follower->pause_ms = initial_sync ? SYNC_PAUSE_MS : DEFAULT_PAUSE_MS;
}

uint32_t jt_follower_wait_ms(const struct jt_follower *follower)
{
	return follower->failures > 0 || follower->catching_up
		       ? follower->retry_wait_ms
		       : follower->wait_ms;
}

void jt_follower_resume(struct jt_follower *follower, uint64_t revision,
			uint64_t now_ms)
{
	if (revision > follower->revision)
		follower->revision = revision;
	follower->unreported_revision = 0;
	if (follower->due_ms < now_ms)
		follower->due_ms = now_ms;
}

/* Records that the state is complete as of @as_of_ms. */
static void complete_as_of(struct jt_follower *follower, uint64_t as_of_ms)
{
	if (as_of_ms > follower->as_of_ms)
		follower->as_of_ms = as_of_ms;
}

/* Records a valid response of the store. */
static void record_response(struct jt_follower *follower, uint64_t now_ms)
{
	follower->failures = 0;
	follower->answered_ms = now_ms;
	follower->unreported_revision = 0;
}

bool jt_follower_check_confirms(struct jt_follower *follower, bool watching,
				uint64_t now_ms)
{
	if (!watching)
		return now_ms - follower->as_of_ms >= CONFIRM_AGE_MS;
	if (follower->others_watch && now_ms < follower->confirm_due_ms)
		return false;
	follower->confirm_due_ms = now_ms + CONFIRM_PAUSE_MS;
	return true;
}

bool jt_follower_record_watch_check(struct jt_follower *follower,
				    enum jt_kv_status status,
				    uint64_t store_revision, uint64_t watch_ms,
				    uint64_t sent_ms, uint64_t now_ms)
{
	/* One rejected call shows that all nodes make too many, not that the
	 * watch is dead. */
	if (status == JT_KV_THROTTLED && !follower->check_throttled) {
		follower->check_throttled = true;
		return false;
	}
	follower->check_throttled = false;
	if (status != JT_KV_OK)
		return true;
	follower->answered_ms = now_ms;
	if (store_revision <= follower->revision) {
		complete_as_of(follower, sent_ms);
		return false;
	}
	if (follower->unreported_revision != 0 &&
	    follower->unreported_revision <= store_revision &&
	    now_ms - watch_ms >= WATCH_DELAY_MS)
		return true;
	follower->unreported_revision = store_revision;
	return false;
}

/* Schedules a retry with exponential backoff and jitter, between half of the
 * delay and all of it. */
static void back_off(struct jt_follower *follower, uint64_t now_ms)
{
	uint32_t doublings = follower->failures;
	uint64_t wait_ms;

	if (doublings > MAX_DOUBLINGS)
		doublings = MAX_DOUBLINGS;
	wait_ms = (uint64_t)follower->retry_min_ms << doublings;
	if (wait_ms > follower->retry_max_ms)
		wait_ms = follower->retry_max_ms;
	wait_ms = wait_ms / 2 +
		  jt_random_next(&follower->random) % (wait_ms / 2 + 1);
	follower->failures++;
	follower->failures_ever++;
	follower->due_ms = now_ms + wait_ms;
}

void jt_follower_set_read_mode(struct jt_follower *follower,
			       enum jt_read_mode mode, uint64_t now_ms)
{
	follower->read_mode = mode;
	follower->catching_up = false;
	follower->unreported_revision = 0;
	if (follower->failures == 0 && follower->due_ms > now_ms &&
	    follower->listed)
		follower->due_ms = now_ms;
}

void jt_follower_record_check(struct jt_follower *follower,
			      enum jt_kv_status status, uint64_t store_revision,
			      uint64_t known_revision, uint64_t sent_ms,
			      uint64_t now_ms)
{
	if (status != JT_KV_OK) {
		back_off(follower, now_ms);
		return;
	}
	follower->failures = 0;
	follower->answered_ms = now_ms;
	if (known_revision > follower->revision)
		follower->revision = known_revision;
	if (store_revision <= follower->revision) {
		follower->unreported_revision = 0;
		complete_as_of(follower, sent_ms);
		follower->due_ms = now_ms + CHECK_PAUSE_MS;
		return;
	}
	follower->catching_up =
		follower->unreported_revision > follower->revision;
	follower->unreported_revision = store_revision;
	follower->due_ms =
		now_ms + (follower->catching_up ? 0 : GOSSIP_DELAY_MS);
}

static void restart_listing(struct jt_follower *follower)
{
	follower->listed = false;
	follower->paging = false;
}

/* Decides at random, by its capacity, whether this node continues its listing
 * while others pause. */
static bool continues_listing(struct jt_follower *follower)
{
	uint32_t permille = follower->cpu_permille;

	if (permille < MIN_CONTINUE_PERMILLE)
		permille = MIN_CONTINUE_PERMILLE;
	return jt_random_next(&follower->random) % PERMILLE < permille;
}

/* Pauses the listing: peers that list will send the result soon. */
static void yield_listing(struct jt_follower *follower, uint64_t now_ms)
{
	follower->yielded = true;
	follower->due_ms = now_ms + YIELD_MS / 2 +
			   jt_random_next(&follower->random) % YIELD_MS;
}

bool jt_follower_page(struct jt_follower *follower, enum jt_kv_status status,
		      uint64_t store_revision, bool more, uint64_t took_ms,
		      uint64_t now_ms)
{
	bool first;

	follower->page_check_lost = false;
	if (status != JT_KV_OK) {
		back_off(follower, now_ms);
		return false;
	}
	record_response(follower, now_ms);
	first = !follower->paging;
	/* Pages are no consistent snapshot: watch from the first one's
	 * revision. */
	if (first) {
		follower->listing = store_revision;
		follower->listing_ms = now_ms - took_ms;
	}
	follower->paging = more;
	follower->due_ms = now_ms;
	if (more) {
		/* A node that continues past the first page continues to the
		 * end. */
		if (first && took_ms >= SLOW_PAGE_MS &&
		    !continues_listing(follower))
			yield_listing(follower, now_ms);
		return false;
	}
	follower->listed = true;
	follower->revision = follower->listing;
	complete_as_of(follower, follower->listing_ms);
	if (follower->read_mode == JT_READ_MODE_CHECK)
		follower->due_ms = follower->listing_ms + CHECK_PAUSE_MS;
	return true;
}

bool jt_follower_yields_listing(struct jt_follower *follower, uint64_t now_ms)
{
	/* A node that was synchronised before also reads the store on behalf of
	 * others. */
	if (follower->revision != 0 || follower->paging || follower->page_late)
		return false;
	follower->page_late = true;
	if (continues_listing(follower))
		return false;
	yield_listing(follower, now_ms);
	return true;
}

bool jt_follower_record_page_check(struct jt_follower *follower,
				   enum jt_kv_status status)
{
	bool retry = status == JT_KV_OK && follower->page_check_lost;

	follower->page_check_lost = status == JT_KV_LOST;
	return retry;
}

bool jt_follower_record_snapshot(struct jt_follower *follower,
				 uint64_t revision, uint64_t now_ms)
{
	if (follower->listed)
		return false;
	follower->listed = true;
	follower->paging = false;
	follower->revision = revision;
	follower->failures = 0;
	follower->due_ms = now_ms;
	if (follower->read_mode == JT_READ_MODE_CHECK)
		follower->due_ms = now_ms + CHECK_PAUSE_MS;
	return true;
}

void jt_follower_watched(struct jt_follower *follower, enum jt_kv_status status,
			 uint64_t store_revision, bool changes,
			 uint64_t sent_ms, uint64_t now_ms)
{
	follower->catching_up = false;
	switch (status) {
	case JT_KV_OK:
		record_response(follower, now_ms);
		complete_as_of(follower, sent_ms);
		if (store_revision > follower->revision)
			follower->revision = store_revision;
		follower->due_ms = now_ms + (changes ? follower->pause_ms : 0);
		break;
	case JT_KV_COMPACTED:
		restart_listing(follower);
		follower->due_ms = now_ms;
		break;
	default:
		back_off(follower, now_ms);
		break;
	}
}

const char *jt_kv_status_name(enum jt_kv_status status)
{
	static const char *const names[] = {
		[JT_KV_OK] = "ok",
		[JT_KV_COMPACTED] = "compacted",
		[JT_KV_THROTTLED] = "throttled",
		[JT_KV_UNAVAILABLE] = "unavailable",
		[JT_KV_LOST] = "lost",
		[JT_KV_INVALID] = "invalid",
	};

	return names[status];
}
