/*
 * What a node remembers of the flows whose packets pass: soft state only. A
 * flow that is forgotten, or never seen here, is forwarded by its label.
 *
 * Bounded: the flow that rested longest gives way.
 */
#ifndef JT_FLOW_CACHE_H
#define JT_FLOW_CACHE_H

#include "jaspertrack/director-t.h"

#include <uthash.h>

struct jt_cached_flow {
	struct jt_flow_key key;
	uint32_t label;	       /* of its endpoint */
	uint32_t sequence_end; /* first byte the caller has not sent yet */
	uint32_t copies;       /* of its first packet that the caller sent */
	uint64_t sent_ms;      /* when the caller last sent data, or again */
	uint32_t acknowledged; /* highest that the caller acknowledged */
	uint64_t first_seen_ms;
	uint64_t seen_ms;
	uint64_t waiting_ms;  /* since when a request waits, 0: none */
	uint32_t answer_from; /* acknowledged when that request came */
	/* When the caller last acknowledged more of an answer whose end is not
	 * seen yet, 0: none is under way. */
	uint64_t answer_seen_ms;
	uint32_t answer_took_ms; /* from the request to its first bytes */
	bool answer_counted;	 /* it is long enough to be one that serves */
	bool answer_lone;	 /* its first bytes were a single segment */
	bool overdue;	     /* that request's answer is known to be overdue */
	uint64_t opening_ms; /* when its first SYN came, 0: it is open */
	bool placing;	     /* its request under way is the first one since
			      * this node placed it */
	bool expected;	     /* its first request counts as work already */
	bool answered;	     /* got an answer after it had opened */
	uint32_t resent;     /* times that the same data came again */
	bool doubted;	     /* the endpoint was suspected for its silence */
	bool closing;	     /* the caller has sent FIN */
	struct jt_cached_flow *newer, *older;
	struct jt_cached_flow *opening_next, *opening_prev;
	struct jt_cached_flow *waiting_next, *waiting_prev;
	struct jt_cached_flow *answering_next, *answering_prev;
	UT_hash_handle hh;
};

struct jt_flow_cache {
	struct jt_cached_flow *flows;	  /* hash by key */
	struct jt_cached_flow *rested;	  /* list, longest at rest first */
	struct jt_cached_flow *opening;	  /* list, oldest first */
	struct jt_cached_flow *waiting;	  /* list, oldest first; not overdue */
	struct jt_cached_flow *answering; /* list, longest at rest first */
	size_t count;
	size_t limit;
};

/* The key without padding bytes, which a hash must not read. */
void jt_flow_key_copy(struct jt_flow_key *to, const struct jt_flow_key *from);
struct jt_flow_cache *jt_flow_cache_create(TALLOC_CTX *mem_ctx, size_t limit);
struct jt_cached_flow *jt_flow_cache_find(const struct jt_flow_cache *cache,
					  const struct jt_flow_key *key);
/* A new flow, seen now. The key must be absent and the cache not full. NULL
 * when memory runs out. */
struct jt_cached_flow *jt_flow_cache_add(struct jt_flow_cache *cache,
					 const struct jt_flow_key *key,
					 uint64_t now_ms);
/* The flow's packet was seen now. */
void jt_flow_cache_touch(struct jt_flow_cache *cache,
			 struct jt_cached_flow *flow, uint64_t now_ms);
/* Only a SYN of the flow was seen so far. */
void jt_flow_cache_opening(struct jt_flow_cache *cache,
			   struct jt_cached_flow *flow, uint64_t now_ms);
/* The flow's endpoint has answered. */
void jt_flow_cache_opened(struct jt_flow_cache *cache,
			  struct jt_cached_flow *flow);
/* A request of the flow, which has none, waits for its answer from now on. */
void jt_flow_cache_waits(struct jt_flow_cache *cache,
			 struct jt_cached_flow *flow, uint64_t now_ms);
/* The answer is overdue: noted once for each request. */
void jt_flow_cache_overdue(struct jt_flow_cache *cache,
			   struct jt_cached_flow *flow);
/* The answer has come. */
void jt_flow_cache_answered(struct jt_flow_cache *cache,
			    struct jt_cached_flow *flow);
/* The caller acknowledges the first bytes of an answer, or more of one. */
void jt_flow_cache_answering(struct jt_flow_cache *cache,
			     struct jt_cached_flow *flow, uint64_t now_ms);
/* The answer is whole. */
void jt_flow_cache_answer_end(struct jt_flow_cache *cache,
			      struct jt_cached_flow *flow);
void jt_flow_cache_remove(struct jt_flow_cache *cache,
			  struct jt_cached_flow *flow);
bool jt_flow_cache_full(const struct jt_flow_cache *cache);

#endif
