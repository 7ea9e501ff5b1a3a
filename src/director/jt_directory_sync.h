/*
 * Follows the store: drives the pure follower with an environment's calls and
 * hands every change on.
 */
#ifndef JT_DIRECTORY_SYNC_H
#define JT_DIRECTORY_SYNC_H

#include "jt_environment.h"
#include "jt_log.h"

/* What a node that has not started may expect of its peers. */
enum jt_peers_tell {
	JT_PEERS_SILENT,
	JT_PEERS_ASKED,	    /* one was asked and has not answered yet */
	JT_PEERS_TOLD_SOME, /* one has told enough endpoints to place flows */
	JT_PEERS_TELL,	    /* one tells part after part */
};

/* What the owner of a directory sync is told. */
struct jt_directory_watcher {
	/* One change, in the order of the store. */
	void (*changed)(const struct jt_change *change, void *private_data);
	/* All changes up to @revision have been handed on. */
	void (*caught_up)(uint64_t revision, void *private_data);
	/* A list begins. */
	void (*listing)(void *private_data);
	/* A list is complete: what it did not hold is gone as of @revision. */
	void (*listed)(uint64_t revision, void *private_data);
	/* A page of a list that goes on was told, and all drains of zones. */
	void (*partly_told)(void *private_data);
	/* Up to which revision all changes are known, from whomever. */
	uint64_t (*known)(void *private_data);
	/* Whether to leave a list to peers for now. */
	enum jt_peers_tell (*peers_tell)(void *private_data);
	/* The store was lost, or regained. */
	void (*reachable)(bool reachable, enum jt_kv_status status,
			  void *private_data);
	void *private_data;
};

struct jt_directory_counters {
	uint64_t lists[JT_KV_STATUSES];
	uint64_t watches[JT_KV_STATUSES];
	uint64_t checks[JT_KV_STATUSES]; /* of a store whose watch is held */
	uint64_t watches_given_up;
	uint64_t invalid_items;
};

struct jt_directory_sync;

/* The first list waits for @start_wait_ms: a peer may tell all until then. */
struct jt_directory_sync *jt_directory_sync_create(
	TALLOC_CTX *mem_ctx, struct tevent_context *loop,
	struct jt_http_client *client, const struct jt_directory *directory,
	struct jt_address store, const struct jt_directory_watcher *watcher,
	uint64_t start_wait_ms, uint32_t strength_permille, uint64_t seed);
/* A peer told all that it knew at @revision: no list is needed. */
void jt_directory_sync_informed(struct jt_directory_sync *sync,
				uint64_t revision);
/* Read the store in this way from now on. One that leaves it to peers and had
 * lost it looks now and then if it is back. */
void jt_directory_sync_read(struct jt_directory_sync *sync,
			    enum jt_reading reading);
/* Entries are coming back that packets wait for. */
void jt_directory_sync_learning(struct jt_directory_sync *sync, bool learning);
/* Whether the store does not answer this node. */
bool jt_directory_sync_lost(const struct jt_directory_sync *sync);
/* Calls that had no answer, or one that does not help, since the start. */
uint64_t jt_directory_sync_failures(const struct jt_directory_sync *sync);
/* When this node last knew all that the store had; 0: never. */
uint64_t jt_directory_sync_as_of_ms(const struct jt_directory_sync *sync);
/* The store's address has changed. */
void jt_directory_sync_move(struct jt_directory_sync *sync,
			    struct jt_address store);
uint64_t jt_directory_sync_revision(const struct jt_directory_sync *sync);
/* Milliseconds since the store's last answer that made sense. */
uint64_t jt_directory_sync_age_ms(const struct jt_directory_sync *sync);
const struct jt_directory_counters *
jt_directory_sync_counters(const struct jt_directory_sync *sync);

#endif
