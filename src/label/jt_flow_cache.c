#include "jt_flow_cache.h"

#include <string.h>
#include <utlist.h>

static int cache_destructor(struct jt_flow_cache *cache)
{
	HASH_CLEAR(hh, cache->flows);
	return 0;
}

struct jt_flow_cache *jt_flow_cache_create(TALLOC_CTX *mem_ctx, size_t limit)
{
	struct jt_flow_cache *cache =
		talloc_zero(mem_ctx, struct jt_flow_cache);

	if (cache == NULL)
		return NULL;
	cache->limit = limit;
	talloc_set_destructor(cache, cache_destructor);
	return cache;
}

void jt_flow_key_copy(struct jt_flow_key *to, const struct jt_flow_key *from)
{
	memset(to, 0, sizeof(*to));
	to->source = from->source;
	to->destination = from->destination;
	to->source_port = from->source_port;
	to->destination_port = from->destination_port;
	to->protocol = from->protocol;
}

struct jt_cached_flow *jt_flow_cache_find(const struct jt_flow_cache *cache,
					  const struct jt_flow_key *key)
{
	struct jt_cached_flow *found;
	struct jt_flow_key normalized;

	jt_flow_key_copy(&normalized, key);
	HASH_FIND(hh, cache->flows, &normalized, sizeof(normalized), found);
	return found;
}

struct jt_cached_flow *jt_flow_cache_add(struct jt_flow_cache *cache,
					 const struct jt_flow_key *key,
					 uint64_t now_ms)
{
	struct jt_cached_flow *flow = talloc_zero(cache, struct jt_cached_flow);

	if (flow == NULL)
		return NULL;
	jt_flow_key_copy(&flow->key, key);
	flow->first_seen_ms = now_ms;
	flow->seen_ms = now_ms;
	HASH_ADD(hh, cache->flows, key, sizeof(flow->key), flow);
	DL_APPEND2(cache->idle, flow, older, newer);
	cache->count++;
	return flow;
}

void jt_flow_cache_touch(struct jt_flow_cache *cache,
			 struct jt_cached_flow *flow, uint64_t now_ms)
{
	flow->seen_ms = now_ms;
	if (flow->newer == NULL)
		return;
	DL_DELETE2(cache->idle, flow, older, newer);
	DL_APPEND2(cache->idle, flow, older, newer);
}

void jt_flow_cache_opening(struct jt_flow_cache *cache,
			   struct jt_cached_flow *flow, uint64_t now_ms)
{
	flow->opening_ms = now_ms;
	DL_APPEND2(cache->opening, flow, opening_prev, opening_next);
}

void jt_flow_cache_opened(struct jt_flow_cache *cache,
			  struct jt_cached_flow *flow)
{
	if (flow->opening_ms == 0)
		return;
	flow->opening_ms = 0;
	DL_DELETE2(cache->opening, flow, opening_prev, opening_next);
}

void jt_flow_cache_waits(struct jt_flow_cache *cache,
			 struct jt_cached_flow *flow, uint64_t now_ms)
{
	flow->waiting_ms = now_ms;
	flow->overdue = false;
	DL_APPEND2(cache->waiting, flow, waiting_prev, waiting_next);
}

void jt_flow_cache_overdue(struct jt_flow_cache *cache,
			   struct jt_cached_flow *flow)
{
	flow->overdue = true;
	DL_DELETE2(cache->waiting, flow, waiting_prev, waiting_next);
}

void jt_flow_cache_answered(struct jt_flow_cache *cache,
			    struct jt_cached_flow *flow)
{
	if (flow->waiting_ms == 0)
		return;
	flow->waiting_ms = 0;
	if (!flow->overdue)
		DL_DELETE2(cache->waiting, flow, waiting_prev, waiting_next);
}

void jt_flow_cache_answering(struct jt_flow_cache *cache,
			     struct jt_cached_flow *flow, uint64_t now_ms)
{
	jt_flow_cache_response_end(cache, flow);
	flow->response_seen_ms = now_ms;
	DL_APPEND2(cache->answering, flow, answering_prev, answering_next);
}

void jt_flow_cache_response_end(struct jt_flow_cache *cache,
				struct jt_cached_flow *flow)
{
	if (flow->response_seen_ms == 0)
		return;
	flow->response_seen_ms = 0;
	DL_DELETE2(cache->answering, flow, answering_prev, answering_next);
}

void jt_flow_cache_remove(struct jt_flow_cache *cache,
			  struct jt_cached_flow *flow)
{
	jt_flow_cache_opened(cache, flow);
	jt_flow_cache_answered(cache, flow);
	jt_flow_cache_response_end(cache, flow);
	HASH_DEL(cache->flows, flow);
	DL_DELETE2(cache->idle, flow, older, newer);
	cache->count--;
	talloc_free(flow);
}

bool jt_flow_cache_full(const struct jt_flow_cache *cache)
{
	return cache->count >= cache->limit;
}
