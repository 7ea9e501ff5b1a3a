/*
 * Follows a key-value store: lists it once, then watches from that revision on,
 * or only checks from time to time that no change was missed. This module does
 * no I/O: the driver asks for the next step and reports its result. Times are
 * in milliseconds of the monotonic clock.
 *
 * Each kind of failure has its own recovery: a lost or late response is
 * requested again from the same revision, a refused call is retried with
 * exponential backoff and jitter, and a compacted history leads to a new full
 * listing.
 */
#ifndef JT_FOLLOWER_H
#define JT_FOLLOWER_H

#include "jt_random.h"

#include <stdbool.h>
#include <stdint.h>

/* Result of a call to the store. */
enum jt_kv_status {
	JT_KV_OK,
	JT_KV_COMPACTED,   /* the requested history was compacted */
	JT_KV_THROTTLED,   /* rejected: too many calls */
	JT_KV_UNAVAILABLE, /* the store did not execute the call */
	JT_KV_LOST,	   /* no response was received */
	JT_KV_INVALID,	   /* the response is malformed */
	JT_KV_STATUSES,
};

/* What the driver has to do next. */
enum jt_follower_step {
	JT_FOLLOWER_WAIT, /* until due_ms */
	JT_FOLLOWER_LIST,
	JT_FOLLOWER_WATCH,
	JT_FOLLOWER_CHECK, /* request only the store's revision */
};

/* Mode in which a node reads the store. */
enum jt_read_mode {
	JT_READ_MODE_NONE,  /* gets changes only from peers */
	JT_READ_MODE_CHECK, /* gets changes from peers, checks the revision */
	JT_READ_MODE_WATCH, /* watches the store and sends changes to peers */
};

struct jt_follower {
	enum jt_read_mode read_mode;
	bool catching_up;	/* a check found a change that no peer sent */
	uint32_t wait_ms;	/* timeout of a watch at the store */
	uint32_t retry_wait_ms; /* the same after a failure */
	uint32_t pause_ms;	/* pause before the next watch */
	uint32_t retry_min_ms;
	uint32_t retry_max_ms;
	uint64_t revision; /* all changes up to here are known */
	uint64_t listing;  /* the revision of the listing's first page */
	bool listed;	   /* a listing is complete */
	bool paging;	   /* a listing has begun */
	bool page_late;	   /* its first page was late at least once */
	bool yielded;	   /* has paused in favour of other nodes that list */
	uint32_t cpu_permille; /* CPU capacity, 1000: one core */
	uint32_t failures;     /* consecutive */
	uint64_t failures_ever;
	uint64_t due_ms;
	uint64_t answered_ms; /* time of the last valid response */
	/* The state is complete as of this time: when the call was sent whose
	 * response last showed so. The response may have been on its way for
	 * long. */
	uint64_t as_of_ms;
	uint64_t listing_ms; /* when the listing's first page was requested */
	/* A revision seen by a check but not yet reported; 0: none. */
	uint64_t unreported_revision;
	/* Other nodes watch the store, too, so that a watch that has died is
	 * noticed by their changes. */
	bool others_watch;
	uint64_t confirm_due_ms; /* when a check must show the revision again */
	bool check_throttled; /* the last check beside a watch was throttled */
	bool page_check_lost; /* the last check beside a page request was lost
			       */
	struct jt_random random;
};

/* Initialises the follower to watch the store; @seed seeds the jitter. */
void jt_follower_init(struct jt_follower *follower, uint64_t seed);
/* Returns the next step to take at @now_ms. */
enum jt_follower_step jt_follower_next(const struct jt_follower *follower,
				       uint64_t now_ms);
/* Selects the shorter pause between watches during the initial synchronisation,
 * when packets wait for entries. */
void jt_follower_set_initial_sync(struct jt_follower *follower,
				  bool initial_sync);
/* Returns the timeout in milliseconds of the next watch. It is short after a
 * failure, to detect the recovery soon. */
uint32_t jt_follower_wait_ms(const struct jt_follower *follower);
/* Resumes after a pause; all changes up to @revision are known from
 * elsewhere. */
void jt_follower_resume(struct jt_follower *follower, uint64_t revision,
			uint64_t now_ms);
/* Returns true if a check sent at @now_ms must show the store's revision, and
 * not only that the store answers: without a pending watch if the state is not
 * fresh, beside one at times where other nodes watch, too, and otherwise
 * always. Between two such checks a pending watch counts as alive. */
bool jt_follower_check_confirms(struct jt_follower *follower, bool watching,
				uint64_t now_ms);
/*
 * Records the result of a revision check, sent at @sent_ms, made while a watch
 * is pending; the watch began at @watch_ms. @store_revision is the store's
 * revision at some time after @sent_ms, or an older one if the check did not
 * have to show it (jt_follower_check_confirms()). Returns true if the watch has
 * missed a change and should be cancelled.
 */
bool jt_follower_record_watch_check(struct jt_follower *follower,
				    enum jt_kv_status status,
				    uint64_t store_revision, uint64_t watch_ms,
				    uint64_t sent_ms, uint64_t now_ms);
/* Records a page of a listing that took @took_ms. Slow pages indicate that many
 * nodes list at once; then most of them pause to get the state from peers
 * instead. Returns true if this page completes the listing. */
bool jt_follower_page(struct jt_follower *follower, enum jt_kv_status status,
		      uint64_t store_revision, bool more, uint64_t took_ms,
		      uint64_t now_ms);
/* Records that a peer sent its full state at @revision, which replaces a
 * listing. Returns true if the follower continues from there. */
bool jt_follower_record_snapshot(struct jt_follower *follower,
				 uint64_t revision, uint64_t now_ms);
/* Records the result of a revision check sent at @sent_ms. @store_revision is
 * the store's revision at some time after that. All changes up to
 * @known_revision are known, from any source. */
void jt_follower_record_check(struct jt_follower *follower,
			      enum jt_kv_status status, uint64_t store_revision,
			      uint64_t known_revision, uint64_t sent_ms,
			      uint64_t now_ms);
/* Changes the read mode. */
void jt_follower_set_read_mode(struct jt_follower *follower,
			       enum jt_read_mode mode, uint64_t now_ms);
/* Records the response at @store_revision of a watch sent at @sent_ms; @changes
 * is true if it reported any. */
void jt_follower_watched(struct jt_follower *follower, enum jt_kv_status status,
			 uint64_t store_revision, bool changes,
			 uint64_t sent_ms, uint64_t now_ms);
/*
 * Records that the first page of a listing is late, a sign that many nodes
 * start and list at once. Returns true if the call should be cancelled. Most
 * nodes do so, at most once each; the remaining ones send the result to their
 * peers.
 */
bool jt_follower_yields_listing(struct jt_follower *follower, uint64_t now_ms);
/*
 * Records the result of a revision check made while a page is late. Returns
 * true if the page should be requested again: a request sent during an outage
 * gets no response even after the store is back.
 */
bool jt_follower_record_page_check(struct jt_follower *follower,
				   enum jt_kv_status status);
/* Returns the name of the status, for logs. */
const char *jt_kv_status_name(enum jt_kv_status status);

#endif
