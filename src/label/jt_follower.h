/*
 * How a node follows a key-value store: list once, then watch from that
 * revision on, or only check now and then that no change was missed. Pure: the
 * driver asks what to do next and tells what came of it.
 *
 * Every kind of failure has its own way back: an answer that is lost or late
 * is asked for again from the same revision, a refusal waits longer each time
 * (with jitter, so that nodes do not return together), and history that is
 * gone leads to a new list.
 */
#ifndef JT_FOLLOWER_H
#define JT_FOLLOWER_H

#include "jt_random.h"

#include <stdbool.h>
#include <stdint.h>

/* What a store call came to. */
enum jt_kv_status {
	JT_KV_OK,
	JT_KV_COMPACTED,   /* the history asked for is gone */
	JT_KV_THROTTLED,   /* too many calls */
	JT_KV_UNAVAILABLE, /* the store did nothing */
	JT_KV_LOST,	   /* no answer */
	JT_KV_INVALID,	   /* an answer that makes no sense */
	JT_KV_STATUSES,
};

enum jt_follower_step {
	JT_FOLLOWER_WAIT, /* until due_ms */
	JT_FOLLOWER_LIST,
	JT_FOLLOWER_WATCH,
	JT_FOLLOWER_CHECK, /* ask for the store's revision only */
};

/* How a node reads the store. */
enum jt_reading {
	JT_READING_NOT,	    /* peers tell it what changes */
	JT_READING_CHECKS,  /* they do, and it makes sure of it: cheap */
	JT_READING_WATCHES, /* it hears of each change, and tells peers */
};

struct jt_follower {
	enum jt_reading reading;
	bool catching_up;	/* checks showed a change that nobody told */
	uint32_t wait_ms;	/* how long the store may hold a watch */
	uint32_t retry_wait_ms; /* the same after a failure */
	uint32_t pause_ms; /* between a watch's answer and the next watch, so
			    * that changes come together */
	uint32_t retry_least_ms;
	uint32_t retry_most_ms;
	uint64_t revision;	    /* all changes up to here are known */
	uint64_t listing;	    /* the revision of a list's first page */
	bool listed;		    /* a list is complete */
	bool paging;		    /* a list has begun */
	bool page_late;		    /* its first page was, once */
	bool gave_way;		    /* to others that list */
	uint32_t strength_permille; /* of this node: thousandths of a core */
	uint32_t failures;	    /* in a row */
	uint64_t failures_ever;
	uint64_t due_ms;
	uint64_t answered_ms; /* last answer that made sense */
	uint64_t as_of_ms;    /* all that the store had then is known */
	uint64_t missed;      /* a revision that the watch has not told yet */
	bool page_doubted;    /* a check beside the page under way failed */
	struct jt_random random;
};

void jt_follower_init(struct jt_follower *follower, uint64_t seed);
enum jt_follower_step jt_follower_next(const struct jt_follower *follower,
				       uint64_t now_ms);
/* Entries are coming back that packets wait for: changes are told sooner, a few
 * at a time. */
void jt_follower_learning(struct jt_follower *follower, bool learning);
/* How long the next watch may be held: briefly after a failure, so that the
 * way back shows soon. */
uint32_t jt_follower_wait_ms(const struct jt_follower *follower);
/* Go on after a while without following; all changes up to @revision are
 * known from elsewhere. */
void jt_follower_resume(struct jt_follower *follower, uint64_t revision,
			uint64_t now_ms);
/*
 * A short call beside a watch that is held came to @status, and told the
 * store's revision @at; the watch began at @watch_ms. True: the watch is not
 * to be trusted: give it up.
 */
bool jt_follower_checked(struct jt_follower *follower, enum jt_kv_status status,
			 uint64_t at, uint64_t watch_ms, uint64_t now_ms);
/* A page of a list, that took @took_ms to come. Where pages come slowly, many
 * nodes ask at once: most of them wait for what peers will know. True when it
 * was the last of a complete list. */
bool jt_follower_page(struct jt_follower *follower, enum jt_kv_status status,
		      uint64_t at, bool more, uint64_t took_ms,
		      uint64_t now_ms);
/* A peer told all that it knew at @revision: as good as a list. True when the
 * follower goes on from there. */
bool jt_follower_informed(struct jt_follower *follower, uint64_t revision,
			  uint64_t now_ms);
/* What a node that checks asked for: the store's revision @at. All changes up
 * to @known are known, from whomever. */
void jt_follower_asked(struct jt_follower *follower, enum jt_kv_status status,
		       uint64_t at, uint64_t known, uint64_t now_ms);
/* Read in another way from now on. */
void jt_follower_read(struct jt_follower *follower, enum jt_reading reading,
		      uint64_t now_ms);
/* A watch's answer. */
void jt_follower_watched(struct jt_follower *follower, enum jt_kv_status status,
			 uint64_t at, bool changes, uint64_t now_ms);
/*
 * A list's first page is long in coming: many nodes start and ask for the same.
 * True: give the call up, most nodes do so, once in their lives; what the
 * others get they tell.
 */
bool jt_follower_gives_way(struct jt_follower *follower, uint64_t now_ms);
/*
 * A short call beside a page that is long in coming came to @status. True: ask
 * for the page again. One that was asked for while the store could not be
 * reached gets no answer, also after the store is back.
 */
bool jt_follower_page_checked(struct jt_follower *follower,
			      enum jt_kv_status status);
const char *jt_kv_status_name(enum jt_kv_status status);

#endif
