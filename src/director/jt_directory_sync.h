/*
 * Keeps a node in step with the store: makes the calls that the follower
 * decides on and reports every change.
 */
#ifndef JT_DIRECTORY_SYNC_H
#define JT_DIRECTORY_SYNC_H

#include "jt_environment.h"
#include "jt_log.h"

/* What a node that has not started can expect from peers. */
enum jt_peer_sync_state {
	JT_PEER_SYNC_NONE,
	JT_PEER_SYNC_PENDING, /* a peer's response is pending */
	JT_PEER_SYNC_PARTIAL, /* a peer sent enough endpoints to accept flows */
	JT_PEER_SYNC_RECEIVING, /* a peer is sending a snapshot in parts */
};

/* Callbacks of the owner of a directory sync. */
struct jt_directory_watcher {
	/* A change, in the order of the store's revisions. */
	void (*changed)(const struct jt_directory_change *change,
			void *private_data);
	/* All changes up to @revision have been reported. */
	void (*caught_up)(uint64_t revision, void *private_data);
	/* A full listing begins. */
	void (*listing)(void *private_data);
	/* A full listing is complete: entries that it lacked do not exist as
	 * of @revision. */
	void (*listed)(uint64_t revision, void *private_data);
	/* A page and all zone drains were reported; more pages follow. */
	void (*partly_listed)(void *private_data);
	/* Returns the revision up to which all changes are known, from any
	 * source. */
	uint64_t (*known_revision)(void *private_data);
	/* Returns whether peers may provide the state instead of a listing. */
	enum jt_peer_sync_state (*peer_sync)(void *private_data);
	/* The store became unreachable, or reachable again. */
	void (*reachable)(bool reachable, enum jt_kv_status status,
			  void *private_data);
	void *private_data;
};

struct jt_directory_counters {
	uint64_t lists[JT_KV_STATUSES];
	uint64_t watches[JT_KV_STATUSES];
	uint64_t checks[JT_KV_STATUSES]; /* while a watch is open */
	uint64_t watches_abandoned;	 /* a check showed them to be dead */
	uint64_t invalid_items;
};

struct jt_directory_sync;

/* Creates a directory sync. The first listing is delayed by @start_wait_ms,
 * as a peer may send a snapshot before. @cpu_permille is the node's CPU in
 * thousandths of a core, @seed that of its random delays. */
struct jt_directory_sync *jt_directory_sync_create(
	TALLOC_CTX *mem_ctx, struct tevent_context *loop,
	struct jt_http_client *client, const struct jt_directory *directory,
	struct jt_address store, const struct jt_directory_watcher *watcher,
	uint64_t start_wait_ms, uint32_t cpu_permille, uint64_t seed);
/* A snapshot of a peer is complete up to @revision: no listing is needed. */
void jt_directory_sync_snapshot_received(struct jt_directory_sync *sync,
					 uint64_t revision);
/* Sets how the store is read. A node that relies on peers and had found the
 * store unreachable checks it periodically. */
void jt_directory_sync_set_read_mode(struct jt_directory_sync *sync,
				     enum jt_read_mode mode);
/* Sets whether this node is in its initial synchronisation, during which
 * changes are requested sooner, a few at a time. */
void jt_directory_sync_set_initial_sync(struct jt_directory_sync *sync,
					bool initial_sync);
/* Sets whether other nodes watch the store, too: then most checks beside a
 * watch show only that the store answers. */
void jt_directory_sync_set_others_watch(struct jt_directory_sync *sync,
					bool others_watch);
/* Returns true if the store is unreachable for this node. */
bool jt_directory_sync_unreachable(const struct jt_directory_sync *sync);
/* Returns the number of failed calls since the start. */
uint64_t jt_directory_sync_failures(const struct jt_directory_sync *sync);
/* Returns when this node last knew all that the store held; 0: never. */
uint64_t jt_directory_sync_as_of_ms(const struct jt_directory_sync *sync);
/* Switches to another address of the store. */
void jt_directory_sync_set_address(struct jt_directory_sync *sync,
				   struct jt_address store);
/* Returns the revision up to which this node has read the store. */
uint64_t jt_directory_sync_revision(const struct jt_directory_sync *sync);
/* Returns the milliseconds since the store's last valid response. */
uint64_t jt_directory_sync_age_ms(const struct jt_directory_sync *sync);
const struct jt_directory_counters *
jt_directory_sync_counters(const struct jt_directory_sync *sync);

#endif
