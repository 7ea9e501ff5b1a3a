#include "jt_flow_lookup.h"
#include "jt_flow_cache.h"

#include <uthash.h>

enum {
	/* Message budget: burst size and long-term rate per second. With their
	 * frames this rate is some 3 KB/s, of the 7 KB/s that a node may use
	 * for control. */
	MESSAGES_BURST = 512,
	MESSAGES_PER_S = 32,
	LOOKUPS_MAX = 128, /* concurrent lookups */
	MS_PER_S = 1000,
};

struct flow_lookup {
	struct jt_flow_key key;
	struct jt_label_packet packet;
	uint64_t started_ms;
	size_t pending_peers; /* peers that have not responded */
	bool finished;	      /* a peer knew the flow, or all have responded */
	UT_hash_handle hh;
};

struct jt_flow_lookups {
	struct flow_lookup *flows; /* hash by key, oldest first */
	uint64_t budget;	   /* in thousandths of a message */
	uint64_t budget_ms;	   /* when the budget was last replenished */
};

static int lookups_destructor(struct jt_flow_lookups *lookups)
{
	HASH_CLEAR(hh, lookups->flows);
	return 0;
}

struct jt_flow_lookups *jt_flow_lookups_create(TALLOC_CTX *mem_ctx)
{
	struct jt_flow_lookups *lookups =
		talloc_zero(mem_ctx, struct jt_flow_lookups);

	if (lookups == NULL)
		return NULL;
	lookups->budget = MESSAGES_BURST * MS_PER_S;
	talloc_set_destructor(lookups, lookups_destructor);
	return lookups;
}

static struct flow_lookup *lookup_find(const struct jt_flow_lookups *lookups,
				       const struct jt_flow_key *key)
{
	struct flow_lookup *found;
	struct jt_flow_key normalized;

	jt_flow_key_copy(&normalized, key);
	HASH_FIND(hh, lookups->flows, &normalized, sizeof(normalized), found);
	return found;
}

static void lookup_remove(struct jt_flow_lookups *lookups,
			  struct flow_lookup *lookup)
{
	HASH_DEL(lookups->flows, lookup);
	talloc_free(lookup);
}

/* Removes lookups that have timed out; the oldest come first. */
static void lookups_expire(struct jt_flow_lookups *lookups, uint64_t now_ms)
{
	struct flow_lookup *lookup = lookups->flows, *next;

	for (;
	     lookup != NULL && now_ms - lookup->started_ms >= JT_FLOW_LOOKUP_MS;
	     lookup = next) {
		next = lookup->hh.next;
		lookup_remove(lookups, lookup);
	}
}

static void budget_replenish(struct jt_flow_lookups *lookups, uint64_t now_ms)
{
	uint64_t elapsed_ms = now_ms - lookups->budget_ms;

	lookups->budget_ms = now_ms;
	lookups->budget += elapsed_ms * MESSAGES_PER_S;
	if (lookups->budget > MESSAGES_BURST * MS_PER_S)
		lookups->budget = MESSAGES_BURST * MS_PER_S;
}

bool jt_flow_lookup_begin(struct jt_flow_lookups *lookups,
			  const struct jt_label_packet *packet, uint64_t now_ms)
{
	struct flow_lookup *lookup;

	lookups_expire(lookups, now_ms);
	budget_replenish(lookups, now_ms);
	if (lookup_find(lookups, &packet->key) != NULL ||
	    lookups->budget < MS_PER_S ||
	    HASH_COUNT(lookups->flows) >= LOOKUPS_MAX)
		return false;
	lookup = talloc_zero(lookups, struct flow_lookup);
	if (lookup == NULL)
		return false;
	jt_flow_key_copy(&lookup->key, &packet->key);
	lookup->packet = *packet;
	lookup->started_ms = now_ms;
	HASH_ADD(hh, lookups->flows, key, sizeof(lookup->key), lookup);
	return true;
}

void jt_flow_lookup_sent(struct jt_flow_lookups *lookups,
			 const struct jt_flow_key *key, size_t peers,
			 uint64_t now_ms)
{
	struct flow_lookup *lookup = lookup_find(lookups, key);
	uint64_t cost = peers * MS_PER_S;

	budget_replenish(lookups, now_ms);
	lookups->budget -= cost < lookups->budget ? cost : lookups->budget;
	if (lookup == NULL)
		return;
	lookup->pending_peers = peers;
	lookup->finished = peers == 0;
}

bool jt_flow_lookup_waits(const struct jt_flow_lookups *lookups,
			  const struct jt_flow_key *key, uint64_t now_ms)
{
	const struct flow_lookup *lookup = lookup_find(lookups, key);

	return lookup != NULL && !lookup->finished &&
	       now_ms - lookup->started_ms < JT_FLOW_LOOKUP_MS;
}

const struct jt_label_packet *
jt_flow_lookup_answered(struct jt_flow_lookups *lookups,
			const struct jt_flow_key *key, uint32_t sequence,
			bool known, uint64_t now_ms)
{
	struct flow_lookup *lookup = lookup_find(lookups, key);

	if (!jt_flow_lookup_waits(lookups, key, now_ms) ||
	    lookup->packet.sequence != sequence)
		return NULL;
	if (lookup->pending_peers > 0)
		lookup->pending_peers--;
	lookup->finished = known || lookup->pending_peers == 0;
	return &lookup->packet;
}
