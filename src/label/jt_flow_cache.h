/*
 * Cache of the flows that pass a node. It is soft state: a flow that is not
 * cached is forwarded by its label.
 *
 * The size is bounded: the flow idle for longest is evicted.
 */
#ifndef JT_FLOW_CACHE_H
#define JT_FLOW_CACHE_H

#include "jaspertrack/director-t.h"

#include <uthash.h>

/* What a node knows of one flow. */
struct jt_cached_flow {
	struct jt_flow_key key;
	uint32_t label;	       /* of its endpoint */
	uint32_t sequence_end; /* next sequence expected from the client */
	uint32_t copies;       /* retransmissions of the SYN */
	uint64_t sent_ms; /* when the client last sent or retransmitted data */
	uint32_t acknowledged; /* highest acknowledgement of the client */
	uint64_t first_seen_ms;
	uint64_t seen_ms;
	uint64_t waiting_ms;	/* since when a request is pending; 0: none */
	uint32_t response_from; /* acknowledgement when that request arrived */
	/* When the client last acknowledged more of a response that has not
	 * ended yet; 0: no response is in progress. */
	uint64_t response_seen_ms;
	/* From the request to the first response bytes. */
	uint32_t response_took_ms;
	bool response_counted; /* its response time has been recorded */
	/* The first response bytes fitted into one segment. */
	bool response_single_segment;
	bool overdue; /* the pending response is known to be overdue */
	/* When its first SYN arrived; 0: the flow is open. */
	uint64_t opening_ms;
	/* The pending request is the first since the flow was assigned. */
	bool first_since_assigned;
	bool expected;	 /* the first request is already counted as load */
	bool answered;	 /* a response arrived after the flow had opened */
	uint32_t resent; /* retransmissions of the same data */
	bool suspected;	 /* its endpoint was suspected for a missing SYN-ACK */
	bool closing;	 /* the client has sent a FIN */
	struct jt_cached_flow *newer, *older;
	struct jt_cached_flow *opening_next, *opening_prev;
	struct jt_cached_flow *waiting_next, *waiting_prev;
	struct jt_cached_flow *answering_next, *answering_prev;
	UT_hash_handle hh;
};

struct jt_flow_cache {
	struct jt_cached_flow *flows;	  /* hash by key */
	struct jt_cached_flow *idle;	  /* list, longest idle first */
	struct jt_cached_flow *opening;	  /* list, oldest first */
	struct jt_cached_flow *waiting;	  /* list, oldest first; not overdue */
	struct jt_cached_flow *answering; /* list, longest idle first */
	size_t count;
	size_t limit;
};

/* Copies the members of a key and zeroes its padding, which the hash covers. */
void jt_flow_key_copy(struct jt_flow_key *to, const struct jt_flow_key *from);
/* Creates a cache of at most @limit flows; returns NULL when out of memory. */
struct jt_flow_cache *jt_flow_cache_create(TALLOC_CTX *mem_ctx, size_t limit);
/* Returns the flow of @key; NULL if it is not cached. */
struct jt_cached_flow *jt_flow_cache_find(const struct jt_flow_cache *cache,
					  const struct jt_flow_key *key);
/* Adds a flow seen now. The key must be absent and the cache not full. Returns
 * NULL when out of memory. */
struct jt_cached_flow *jt_flow_cache_add(struct jt_flow_cache *cache,
					 const struct jt_flow_key *key,
					 uint64_t now_ms);
/* Records that a packet of the flow was seen now. */
void jt_flow_cache_touch(struct jt_flow_cache *cache,
			 struct jt_cached_flow *flow, uint64_t now_ms);
/* Marks the flow as opening: only SYNs were seen so far. */
void jt_flow_cache_opening(struct jt_flow_cache *cache,
			   struct jt_cached_flow *flow, uint64_t now_ms);
/* Marks the flow as open: its endpoint has responded. */
void jt_flow_cache_opened(struct jt_flow_cache *cache,
			  struct jt_cached_flow *flow);
/* Records that a request of the flow, which has none pending, arrived now. */
void jt_flow_cache_waits(struct jt_flow_cache *cache,
			 struct jt_cached_flow *flow, uint64_t now_ms);
/* Marks the pending response as overdue; called once per request. */
void jt_flow_cache_overdue(struct jt_flow_cache *cache,
			   struct jt_cached_flow *flow);
/* Marks the pending request as answered. */
void jt_flow_cache_answered(struct jt_flow_cache *cache,
			    struct jt_cached_flow *flow);
/* Records that the client acknowledged the first or further response bytes. */
void jt_flow_cache_answering(struct jt_flow_cache *cache,
			     struct jt_cached_flow *flow, uint64_t now_ms);
/* Marks the response as complete. */
void jt_flow_cache_response_end(struct jt_flow_cache *cache,
				struct jt_cached_flow *flow);
/* Removes and frees the flow. */
void jt_flow_cache_remove(struct jt_flow_cache *cache,
			  struct jt_cached_flow *flow);
/* Returns true if the cache has reached its limit. */
bool jt_flow_cache_full(const struct jt_flow_cache *cache);

#endif
