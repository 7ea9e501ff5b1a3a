/*
 * The incarnations of endpoints that a node knows, each with what discovery
 * told, what the data path showed, and how old that is.
 *
 * An endpoint that starts again under its id is another incarnation, told by
 * its birth: it takes the place of the earlier one, with a label of its own.
 * Packets with the earlier label follow it, for its own reset.
 *
 * An incarnation whose entry has gone is kept as long as one of its flows may
 * live: its flows still need its address.
 */
#ifndef JT_ENDPOINT_TABLE_H
#define JT_ENDPOINT_TABLE_H

#include "jaspertrack/director-t.h"

#include "jt_director_proto.h"
#include "jt_outlier_state.h"
#include "jt_speed.h"
#include "jt_work.h"

#include <uthash.h>

struct jt_service_pool;

struct jt_incarnation {
	/* What discovery told. */
	struct jt_endpoint_entry entry;
	uint32_t label;
	uint32_t earlier_label; /* before it started again, 0: it has not */
	uint64_t learned_ms;	/* when the entry was last taken */
	uint64_t cold_until_ms;
	bool told; /* since the last complete list */

	/*
	 * What this node and its peers observed of it, from here to `pool`:
	 * nothing of that holds for the next incarnation (observed_clear()).
	 */
	enum jt_incarnation_state state;
	enum jt_death_cause cause; /* of JT_INCARNATION_DEAD */
	uint64_t state_ms;	   /* when the state was entered */
	uint64_t next_flow_ms; /* none from this node before, where limited */
	bool away_lapsed;      /* its entry went while the store was away */

	/* Load, by this node's own flows. */
	uint32_t flows;
	struct jt_work work;
	uint32_t waiting; /* flows with a request not yet answered */
	struct jt_speed speed;

	/* The failure detector's view. */
	uint64_t progress_ms;	 /* last sign of life on a flow */
	uint64_t suspected_ms;	 /* an open flow gets nothing, since when */
	bool flow_dead;		 /* surely nothing, not only late */
	uint32_t unanswered;	 /* first packets without an answer, in a row */
	uint64_t avoid_until_ms; /* no new flows until then, for that */
	uint64_t peer_verdict_ms; /* a peer found it dead then, 0: none did */
	uint64_t probe_sent_ms;	  /* of the probe under way */
	uint64_t probe_next_ms;	  /* not before */
	uint32_t vain_connects;	  /* since the last sign of life on a flow */
	uint32_t failed_probes;	  /* in a row, since the last sign of life */
	bool probing;
	bool probe_owed;    /* the last one said nothing, and is made up for */
	uint64_t proven_ms; /* the probe that showed it dead was sent then */
	bool proof_wanted;  /* flows came since: they may be the next one's */

	struct jt_outlier outlier; /* failed requests (jt_outlier.h) */

	struct jt_service_pool *pool;
	size_t pool_place; /* among the pool's members */
	uint64_t address_key;
	UT_hash_handle by_earlier_label;
	/* Others that have or had the same address. */
	struct jt_incarnation *address_next, *address_prev;
	UT_hash_handle by_address; /* the first of each address alone */
	struct jt_incarnation *slice_next, *slice_prev;
	struct jt_incarnation *watched_next, *watched_prev;
	bool watched; /* something is due there some time */
	UT_hash_handle by_id;
	/*
	 * Ids are folded to labels, so that two may have the same one. The one
	 * that came first to discovery has it, and flows follow it there; the
	 * others get no new flows as long as it is known.
	 */
	struct jt_incarnation *label_next, *label_prev; /* oldest first */
	UT_hash_handle by_label; /* the oldest of each label alone */
};

/* The incarnations of one service. */
struct jt_service_pool {
	uint32_t service_id;
	struct jt_incarnation **members; /* in no order */
	size_t count;
	size_t room;
	double answer_ms; /* smoothed time to an answer; 0: unknown */
	double serve_ms;  /* the same without the way, over more answers */
	struct jt_outlier_peers outliers;
	UT_hash_handle hh;
};

/*
 * A part of the table, the same incarnations at every node: it is fetched from
 * peers slice by slice, and what is new in it is found without the rest.
 */
struct jt_endpoint_slice {
	struct jt_incarnation *members;
	uint64_t newest; /* no member was told at a later revision */
};

struct jt_endpoint_table {
	size_t limit; /* incarnations known at once */
	struct jt_endpoint_slice slices[JT_DIRECTOR_SLICES];
	struct jt_incarnation *ids;
	struct jt_incarnation *labels;
	struct jt_incarnation *earlier_labels;
	struct jt_incarnation *addresses; /* the first of each */
	struct jt_incarnation *watched;	  /* by watched_next, in no order */
	struct jt_service_pool *pools;
	size_t count;
};

/* Of the newest that discovery told of it. */
static inline uint64_t jt_incarnation_revision(const struct jt_incarnation *in)
{
	if (in->entry.gone_revision > in->entry.revision)
		return in->entry.gone_revision;
	return in->entry.revision;
}

/* Requests that it works on at once: one where its entry says nothing. */
static inline uint32_t jt_incarnation_slots(const struct jt_incarnation *in)
{
	return in->entry.capacity > 0 ? in->entry.capacity : 1;
}

/* A flow that got on so lately shows that its endpoint lives. */
enum { JT_LIVES_MS = 1000 };

/* Whether its entry went just because the store was away. */
static inline bool jt_incarnation_outlives(const struct jt_incarnation *in,
					   uint64_t now_ms)
{
	return in->away_lapsed && now_ms - in->progress_ms < JT_LIVES_MS;
}

enum jt_entry_result {
	JT_ENTRY_NEW,
	JT_ENTRY_CHANGED,
	JT_ENTRY_RESTARTED, /* of another incarnation under the same id */
	JT_ENTRY_OLD,	    /* not newer than what is known */
	JT_ENTRY_NO_ROOM,
};

/* Orders ids, uint64_t, for qsort() and bsearch(). */
int jt_endpoint_id_compare(const void *one, const void *other);

struct jt_endpoint_table *jt_endpoint_table_create(TALLOC_CTX *mem_ctx,
						   size_t limit);
/*
 * Take discovery's @entry over, but for when it went. @stale takes older
 * entries as well (tests). @incarnation is set where the entry is taken. State
 * changes are the caller's.
 */
enum jt_entry_result
jt_endpoint_table_take(struct jt_endpoint_table *table,
		       const struct jt_endpoint_entry *entry, bool stale,
		       uint64_t now_ms, struct jt_incarnation **incarnation);
/* Its entry went at @revision, as discovery told at @now_ms. */
void jt_endpoint_table_gone(struct jt_endpoint_table *table,
			    struct jt_incarnation *incarnation,
			    uint64_t revision, uint64_t now_ms);
/* Something may be due at the incarnation some time: a probe, or its end. Once
 * nothing is, jt_endpoint_table_unwatch() takes it off the list. */
void jt_endpoint_table_watch(struct jt_endpoint_table *table,
			     struct jt_incarnation *incarnation);
void jt_endpoint_table_unwatch(struct jt_endpoint_table *table,
			       struct jt_incarnation *incarnation);
void jt_endpoint_table_remove(struct jt_endpoint_table *table,
			      struct jt_incarnation *incarnation);
struct jt_incarnation *
jt_endpoint_table_by_id(const struct jt_endpoint_table *table, uint64_t id);
/* The one of those with @label that flows with it follow; where none has it,
 * the one whose earlier incarnation had. */
struct jt_incarnation *
jt_endpoint_table_by_label(const struct jt_endpoint_table *table,
			   uint32_t label);
/* The one of those that have @label now: what is told of an earlier incarnation
 * is not about the one in its place. */
struct jt_incarnation *
jt_endpoint_table_labelled(const struct jt_endpoint_table *table,
			   uint32_t label);
/* Whether the flow was placed at this incarnation, not at an earlier one. */
static inline bool jt_incarnation_placed(const struct jt_incarnation *in,
					 uint32_t flow_label)
{
	return in->label == flow_label;
}

/* Whether flows can be told from those of all others by its label. */
bool jt_endpoint_table_has_label(const struct jt_incarnation *incarnation);
/* The first incarnation that discovery told at @address; the others follow by
 * address_next. */
struct jt_incarnation *
jt_endpoint_table_at(const struct jt_endpoint_table *table,
		     struct jt_address address);
/* Any order: for (in = first(table); in != NULL; in = next(in)). The one at
 * hand may be removed once the next is known. */
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

/* NULL when no incarnation of the service is known. */
struct jt_service_pool *
jt_endpoint_table_pool(const struct jt_endpoint_table *table,
		       uint32_t service_id);

#endif
