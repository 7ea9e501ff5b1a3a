#include "jt_follower.h"

enum {
	DEFAULT_WAIT_MS = 15000,
	DEFAULT_RETRY_WAIT_MS = 500,
	/* A watch tells a change within this time, or has missed it. */
	WATCH_TELLS_MS = 500,
	DEFAULT_PAUSE_MS = 400,
	/* The same while many entries come back that flows wait for. */
	LEARNING_PAUSE_MS = 50,
	DEFAULT_RETRY_LEAST_MS = 100,
	DEFAULT_RETRY_MOST_MS = 1600,
	DOUBLINGS_MOST = 16,
	/* A page that took so long shows that many ask at once; then some go
	 * on, and the others give way for about so long. A list takes a strong
	 * node far less time, and it tells others faster. */
	SLOW_PAGE_MS = 100,
	GO_ON_LEAST_PERMILLE = 125,
	PERMILLE = 1000,
	GIVE_WAY_MS = 600,
	/* Between two checks of a node that does not watch, and for how long a
	 * change that one of them shows may be under way by peers. */
	CHECK_PAUSE_MS = 700,
	UNDER_WAY_MS = 150,
};

void jt_follower_init(struct jt_follower *follower, uint64_t seed)
{
	*follower = (struct jt_follower){
		.reading = JT_READING_WATCHES,
		.wait_ms = DEFAULT_WAIT_MS,
		.retry_wait_ms = DEFAULT_RETRY_WAIT_MS,
		.pause_ms = DEFAULT_PAUSE_MS,
		.retry_least_ms = DEFAULT_RETRY_LEAST_MS,
		.retry_most_ms = DEFAULT_RETRY_MOST_MS,
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
	if (follower->reading == JT_READING_WATCHES || follower->catching_up)
		return JT_FOLLOWER_WATCH;
	return JT_FOLLOWER_CHECK;
}

void jt_follower_learning(struct jt_follower *follower, bool learning)
{
	follower->pause_ms = learning ? LEARNING_PAUSE_MS : DEFAULT_PAUSE_MS;
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
	follower->missed = 0;
	if (follower->due_ms < now_ms)
		follower->due_ms = now_ms;
}

/* The store has answered. */
static void answered(struct jt_follower *follower, uint64_t now_ms)
{
	follower->failures = 0;
	follower->answered_ms = now_ms;
	follower->missed = 0;
}

bool jt_follower_checked(struct jt_follower *follower, enum jt_kv_status status,
			 uint64_t at, uint64_t watch_ms, uint64_t now_ms)
{
	if (status != JT_KV_OK)
		return true;
	follower->answered_ms = now_ms;
	if (at <= follower->revision) {
		follower->as_of_ms = now_ms;
		return false;
	}
	if (follower->missed != 0 && follower->missed <= at &&
	    now_ms - watch_ms >= WATCH_TELLS_MS)
		return true;
	follower->missed = at;
	return false;
}

/* Wait twice as long after each failure, between a half and the whole. */
static void back_off(struct jt_follower *follower, uint64_t now_ms)
{
	uint32_t doublings = follower->failures;
	uint64_t wait_ms;

	if (doublings > DOUBLINGS_MOST)
		doublings = DOUBLINGS_MOST;
	wait_ms = (uint64_t)follower->retry_least_ms << doublings;
	if (wait_ms > follower->retry_most_ms)
		wait_ms = follower->retry_most_ms;
	wait_ms = wait_ms / 2 +
		  jt_random_next(&follower->random) % (wait_ms / 2 + 1);
	follower->failures++;
	follower->failures_ever++;
	follower->due_ms = now_ms + wait_ms;
}

void jt_follower_read(struct jt_follower *follower, enum jt_reading reading,
		      uint64_t now_ms)
{
	follower->reading = reading;
	follower->catching_up = false;
	follower->missed = 0;
	if (follower->failures == 0 && follower->due_ms > now_ms &&
	    follower->listed)
		follower->due_ms = now_ms;
}

void jt_follower_asked(struct jt_follower *follower, enum jt_kv_status status,
		       uint64_t at, uint64_t known, uint64_t now_ms)
{
	if (status != JT_KV_OK) {
		back_off(follower, now_ms);
		return;
	}
	follower->failures = 0;
	follower->answered_ms = now_ms;
	if (known > follower->revision)
		follower->revision = known;
	if (at <= follower->revision) {
		follower->missed = 0;
		follower->as_of_ms = now_ms;
		follower->due_ms = now_ms + CHECK_PAUSE_MS;
		return;
	}
	follower->catching_up = follower->missed > follower->revision;
	follower->missed = at;
	follower->due_ms = now_ms + (follower->catching_up ? 0 : UNDER_WAY_MS);
}

static void list_anew(struct jt_follower *follower)
{
	follower->listed = false;
	follower->paging = false;
}

/* Whether this node is one of those that go on. */
static bool goes_on(struct jt_follower *follower)
{
	uint32_t permille = follower->strength_permille;

	if (permille < GO_ON_LEAST_PERMILLE)
		permille = GO_ON_LEAST_PERMILLE;
	return jt_random_next(&follower->random) % PERMILLE < permille;
}

/* Others ask for the same: what they learn comes from them soon. */
static void give_way(struct jt_follower *follower, uint64_t now_ms)
{
	follower->gave_way = true;
	follower->due_ms = now_ms + GIVE_WAY_MS / 2 +
			   jt_random_next(&follower->random) % GIVE_WAY_MS;
}

bool jt_follower_page(struct jt_follower *follower, enum jt_kv_status status,
		      uint64_t at, bool more, uint64_t took_ms, uint64_t now_ms)
{
	bool first;

	follower->page_doubted = false;
	if (status != JT_KV_OK) {
		back_off(follower, now_ms);
		return false;
	}
	answered(follower, now_ms);
	first = !follower->paging;
	/* Pages form no snapshot: watch from the first one's revision. */
	if (first)
		follower->listing = at;
	follower->paging = more;
	follower->due_ms = now_ms;
	if (more) {
		/* Whoever has gone on past the first page goes on to the end.
		 */
		if (first && took_ms >= SLOW_PAGE_MS && !goes_on(follower))
			give_way(follower, now_ms);
		return false;
	}
	follower->listed = true;
	follower->revision = follower->listing;
	follower->as_of_ms = now_ms;
	if (follower->reading == JT_READING_CHECKS)
		follower->due_ms = now_ms + CHECK_PAUSE_MS;
	return true;
}

bool jt_follower_gives_way(struct jt_follower *follower, uint64_t now_ms)
{
	/* One that knew all before reads the store for others as well. */
	if (follower->revision != 0 || follower->paging || follower->page_late)
		return false;
	follower->page_late = true;
	if (goes_on(follower))
		return false;
	give_way(follower, now_ms);
	return true;
}

bool jt_follower_page_checked(struct jt_follower *follower,
			      enum jt_kv_status status)
{
	bool again = status == JT_KV_OK && follower->page_doubted;

	follower->page_doubted = status == JT_KV_LOST;
	return again;
}

bool jt_follower_informed(struct jt_follower *follower, uint64_t revision,
			  uint64_t now_ms)
{
	if (follower->listed)
		return false;
	follower->listed = true;
	follower->paging = false;
	follower->revision = revision;
	follower->failures = 0;
	follower->due_ms = now_ms;
	if (follower->reading == JT_READING_CHECKS)
		follower->due_ms = now_ms + CHECK_PAUSE_MS;
	return true;
}

void jt_follower_watched(struct jt_follower *follower, enum jt_kv_status status,
			 uint64_t at, bool changes, uint64_t now_ms)
{
	follower->catching_up = false;
	switch (status) {
	case JT_KV_OK:
		answered(follower, now_ms);
		follower->as_of_ms = now_ms;
		if (at > follower->revision)
			follower->revision = at;
		follower->due_ms = now_ms + (changes ? follower->pause_ms : 0);
		break;
	case JT_KV_COMPACTED:
		list_anew(follower);
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
