/*
 * Table of the known incarnations of endpoints: what discovery reported, what
 * was observed of them on the data path, and the age of both.
 *
 * An endpoint that restarts under the same id is a new incarnation, identified
 * by its start time. It replaces the earlier one and gets its own label.
 * Packets with the earlier label are still forwarded to it, so that it resets
 * their flows.
 *
 * An incarnation whose discovery entry was removed is kept as long as one of
 * its flows may be open, because its address is still needed.
 */
#ifndef JT_ENDPOINT_TABLE_H
#define JT_ENDPOINT_TABLE_H

#include "jaspertrack/director-t.h"

#include "jt_director_proto.h"
#include "jt_outlier_state.h"
#include "jt_response_ratio.h"
#include "jt_recent_load.h"

#include <uthash.h>

struct jt_service_pool;

struct jt_incarnation {
	/* Reported by discovery. */
	struct jt_endpoint_entry entry;
	uint32_t label;
	uint32_t earlier_label;	    /* label before the last restart; 0: none */
	uint64_t entry_received_ms; /* when the entry was last updated */
	/* When the entry was removed, by the earliest report of any node; valid
	 * if entry.removed_revision is set. It may lie before the zero of this
	 * node's clock: use jt_incarnation_removed_age_ms(). */
	uint64_t removed_ms;
	uint64_t cold_until_ms;
	/* Reported since the last full listing began. */
	bool listed;

	/* Observations of this node and its peers, from here to `pool`. All
	 * of them are cleared when the endpoint restarts
	 * (observations_clear()). */
	enum jt_incarnation_state state;
	enum jt_death_cause cause; /* valid in JT_INCARNATION_DEAD */
	uint64_t state_ms;	   /* when the state was entered */
	/* No new flow from this node before that time, if the rate is
	 * limited. */
	uint64_t next_flow_ms;
	/* The entry expired during an outage of the store. */
	bool expired_in_outage;

	/* Load of this node's own flows. */
	uint32_t flows;
	struct jt_recent_load recent_load;
	uint32_t waiting; /* flows with an unanswered request */
	struct jt_response_ratio response_ratio;

	/* State of the failure detector. */
	uint64_t progress_ms; /* last progress on a flow */
	/* An open flow has had no progress since then; 0: no suspicion. */
	uint64_t suspected_ms;
	/* Retransmissions on an open flow were not acknowledged, or a peer
	 * has reported the endpoint dead. */
	bool flow_unacknowledged;
	/* Consecutive first packets without a response. */
	uint32_t unanswered;
	/* No new flows until then because of unanswered first packets. */
	uint64_t avoid_until_ms;
	/* When a peer reported the endpoint dead; 0: not reported. */
	uint64_t peer_report_ms;
	uint64_t probe_sent_ms; /* when the last probe was sent */
	uint64_t probe_next_ms; /* earliest time of the next probe */
	/* Successful probes since the last progress on a flow. */
	uint32_t probe_connects;
	/* Consecutive failures since the last progress. */
	uint32_t failed_probes;
	bool probing;
	/* Repeat the last probe, which was inconclusive. */
	bool probe_pending;
	/* When the probe was sent that confirmed the death. */
	uint64_t death_confirmed_ms;
	/* Flows have arrived that may belong to the next incarnation; confirm
	 * again whether the endpoint is dead. */
	bool confirmation_wanted;

	struct jt_outlier outlier; /* failed requests (jt_outlier.h) */

	struct jt_service_pool *pool;
	size_t pool_place; /* index in the pool's members */
	uint64_t address_key;
	UT_hash_handle by_earlier_label;
	/* Other incarnations that have or had the same address. */
	struct jt_incarnation *address_next, *address_prev;
	UT_hash_handle by_address; /* only the first of each address */
	struct jt_incarnation *slice_next, *slice_prev;
	struct jt_incarnation *scheduled_next, *scheduled_prev;
	bool scheduled; /* true if in the table's scheduled list */
	UT_hash_handle by_id;
	/* Labels are hashes of ids and may collide. The incarnation that
	 * was registered with discovery first owns the label and gets its
	 * flows; the others are not eligible for new flows while the first
	 * is known. */
	struct jt_incarnation *label_next, *label_prev; /* oldest first */
	UT_hash_handle by_label; /* only the oldest of each label */
};

/* The incarnations of one service. */
struct jt_service_pool {
	uint32_t service_id;
	struct jt_incarnation **members; /* unordered */
	size_t count;
	size_t capacity;
	double response_time_ms; /* smoothed response time; 0: unknown */
	/* Smoothed service time: without the network path, averaged over more
	 * responses. */
	double service_time_ms;
	struct jt_outlier_service outliers;
	UT_hash_handle hh;
};

/* A slice of the table, which has the same members on every node. Nodes fetch
 * slices from peers one by one, and only the members that changed since a
 * revision. */
struct jt_endpoint_slice {
	struct jt_incarnation *members;
	uint64_t newest; /* latest revision of any member */
};

struct jt_endpoint_table {
	size_t limit; /* maximum number of incarnations */
	struct jt_endpoint_slice slices[JT_DIRECTOR_SLICES];
	struct jt_incarnation *ids;
	struct jt_incarnation *labels;
	struct jt_incarnation *earlier_labels;
	struct jt_incarnation *addresses; /* only the first of each address */
	struct jt_incarnation *scheduled; /* unordered, by scheduled_next */
	struct jt_service_pool *pools;
	size_t count;
};

/* Returns the latest revision that discovery reported for the incarnation. */
static inline uint64_t jt_incarnation_revision(const struct jt_incarnation *in)
{
	if (in->entry.removed_revision > in->entry.revision)
		return in->entry.removed_revision;
	return in->entry.revision;
}

/* Returns the time since the entry was removed, which nodes agree on except for
 * delays of messages. */
static inline uint64_t
jt_incarnation_removed_age_ms(const struct jt_incarnation *in, uint64_t now_ms)
{
	return now_ms - in->removed_ms;
}

/* Returns the number of requests served concurrently; 1 if the entry has no
 * capacity. */
static inline uint32_t jt_incarnation_slots(const struct jt_incarnation *in)
{
	return in->entry.capacity > 0 ? in->entry.capacity : 1;
}

/* Progress on a flow within this time shows that the endpoint is alive. */
enum { JT_PROGRESS_RECENT_MS = 1000 };

/* Returns true if the entry expired during an outage of the store and the
 * endpoint is known to be alive. */
static inline bool
jt_incarnation_alive_after_outage(const struct jt_incarnation *in,
				  uint64_t now_ms)
{
	return in->expired_in_outage &&
	       now_ms - in->progress_ms < JT_PROGRESS_RECENT_MS;
}

enum jt_entry_result {
	JT_ENTRY_NEW,
	JT_ENTRY_CHANGED,
	JT_ENTRY_RESTARTED,	/* new incarnation under the same id */
	JT_ENTRY_OLD,		/* not newer than the known entry */
	JT_ENTRY_LIMIT_REACHED, /* table full, or out of memory */
};

/* Comparison function for uint64_t ids, for qsort() and bsearch(). */
int jt_endpoint_id_compare(const void *one, const void *other);

/* Creates a table of at most @limit incarnations. Returns NULL if out of
 * memory. */
struct jt_endpoint_table *jt_endpoint_table_create(TALLOC_CTX *mem_ctx,
						   size_t limit);
/* Adds or updates the incarnation from a discovery @entry; does not apply the
 * entry's removal. @stale accepts older revisions too (for tests). Sets
 * @incarnation if the entry was accepted. The caller must handle state changes.
 */
enum jt_entry_result
jt_endpoint_table_update(struct jt_endpoint_table *table,
			 const struct jt_endpoint_entry *entry, bool stale,
			 uint64_t now_ms, struct jt_incarnation **incarnation);
/* Records that the entry was removed at @revision, @age_ms before @now_ms. If
 * it is known to be removed, the earlier time is kept. */
void jt_endpoint_table_record_removal(struct jt_endpoint_table *table,
				      struct jt_incarnation *incarnation,
				      uint64_t revision, uint32_t age_ms,
				      uint64_t now_ms);
/* Takes over an earlier time of a known removal, @age_ms before @now_ms. */
void jt_endpoint_table_removed_earlier(struct jt_incarnation *incarnation,
				       uint32_t age_ms, uint64_t now_ms);
/* Adds the incarnation to the list of those that need timed work, such as a
 * probe or their removal. Call jt_endpoint_table_unschedule() when there is
 * none left. */
void jt_endpoint_table_schedule(struct jt_endpoint_table *table,
				struct jt_incarnation *incarnation);
void jt_endpoint_table_unschedule(struct jt_endpoint_table *table,
				  struct jt_incarnation *incarnation);
/* Removes and frees the incarnation. */
void jt_endpoint_table_remove(struct jt_endpoint_table *table,
			      struct jt_incarnation *incarnation);
/* Returns the incarnation of the endpoint @id, or NULL. */
struct jt_incarnation *
jt_endpoint_table_by_id(const struct jt_endpoint_table *table, uint64_t id);
/* Returns the incarnation to which flows with @label are forwarded: its owner,
 * or otherwise the one whose earlier incarnation had the label. Returns NULL
 * if there is none. */
struct jt_incarnation *
jt_endpoint_table_by_label(const struct jt_endpoint_table *table,
			   uint32_t label);
/* Returns the incarnation at which flows with @label may be open: that of
 * jt_endpoint_table_by_label(), unless it is dead and a later owner of the
 * label is not. A node that forgets the dead one before this node does assigns
 * flows to the later owner. */
struct jt_incarnation *
jt_endpoint_table_flow_holder(const struct jt_endpoint_table *table,
			      uint32_t label);
/* Returns the current owner of @label, or NULL. Ignores the labels of earlier
 * incarnations, so that a report about one is not applied to its successor. */
struct jt_incarnation *
jt_endpoint_table_label_owner(const struct jt_endpoint_table *table,
			      uint32_t label);
/* Returns true if the flow was assigned to this incarnation and not to an
 * earlier one. */
static inline bool jt_incarnation_owns_flow(const struct jt_incarnation *in,
					    uint32_t flow_label)
{
	return in->label == flow_label;
}

/* Returns true if the incarnation owns its label, so that its flows can be
 * identified by it. */
bool jt_incarnation_owns_label(const struct jt_incarnation *incarnation);
/* Returns true if another known incarnation has the same label. */
bool jt_incarnation_shares_label(const struct jt_incarnation *incarnation);
/* Returns the first incarnation with @address, or NULL; the others follow by
 * address_next. */
struct jt_incarnation *
jt_endpoint_table_at(const struct jt_endpoint_table *table,
		     struct jt_address address);
/* Iterates in any order: for (in = first(table); in != NULL; in = next(in)).
 * The current incarnation may be removed after its successor was read. */
static inline struct jt_incarnation *
jt_endpoint_table_first(const struct jt_endpoint_table *table)
{
	return table->ids;
}

static inline struct jt_incarnation *
jt_endpoint_table_next(const struct jt_incarnation *incarnation)
{
	return incarnation->by_id.next;
}

/* Returns the pool of the service; NULL if none of its incarnations is
 * known. */
struct jt_service_pool *
jt_endpoint_table_pool(const struct jt_endpoint_table *table,
		       uint32_t service_id);

#endif
