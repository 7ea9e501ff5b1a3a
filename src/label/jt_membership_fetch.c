/* Chooses when to fetch state and from which peer. */
#include "jt_membership_source.h"

enum {
	/* Time to wait for a change that a peer already has: from the store for
	 * a node that reads it, by gossip for the others. */
	STORE_DELAY_MS = 900,
	GOSSIP_DELAY_MS = 60,
	FETCH_PAUSE_MS = 100,
	FETCH_FAILED_PAUSE_MS = 200,
	/* Average pause after a peer reported that it is busy. */
	FETCH_BUSY_PAUSE_MS = 60,
};

/* Returns true if the peer can send some endpoints, even if it has not
 * started. */
static bool has_some_endpoints(const struct jt_peer *peer)
{
	return peer->heard_directly && peer->accepts_flows && !peer->lost;
}

static bool is_ahead(const struct jt_peer *peer, const struct jt_own_state *own)
{
	if (!own->started)
		return jt_peer_started(peer) ||
		       (!own->accepts_flows && has_some_endpoints(peer));
	if (!peer->heard_directly || peer->lost || !peer->started)
		return false;
	return peer->revision > own->revision ||
	       peer->routing_version > own->routing_version;
}

/*
 * Returns a peer for a full state transfer. The choice is random, weighted by
 * rank, so that many nodes starting together spread their load.
 */
static const struct jt_peer *pick_source(struct jt_membership *membership,
					 const struct jt_own_state *own,
					 uint64_t now_ms)
{
	const struct jt_peer *selected = NULL;
	uint64_t total = 0;

	for (size_t i = 0; i < membership->count; i++) {
		const struct jt_peer *peer = &membership->peers[i];
		uint64_t rank;

		if (!is_ahead(peer, own) || peer->fetch_failed)
			continue;
		rank = jt_source_rank(peer, membership->zone_id, now_ms);
		total += rank;
		if (jt_random_next(&membership->random) % total < rank)
			selected = peer;
	}
	return selected;
}

/* Ranks peers to fetch from: those that answer first, then those of this
 * zone. */
static int fetch_rank(const struct jt_membership *membership,
		      const struct jt_peer *peer)
{
	return (peer->fetch_failed ? 0 : 2) +
	       (peer->zone_id == membership->zone_id ? 1 : 0);
}

/* Returns a random one of the best-ranked live peers that are ahead of this
 * node, to spread the load. */
static const struct jt_peer *pick_peer_ahead(struct jt_membership *membership,
					     const struct jt_own_state *own)
{
	const struct jt_peer *best = NULL;
	size_t start = 0;

	if (membership->count > 0)
		start = jt_random_next(&membership->random) % membership->count;
	for (size_t i = 0; i < membership->count; i++) {
		const struct jt_peer *peer =
			&membership->peers[(start + i) % membership->count];

		if (!is_ahead(peer, own))
			continue;
		if (best == NULL ||
		    fetch_rank(membership, peer) > fetch_rank(membership, best))
			best = peer;
	}
	return best;
}

const struct jt_peer *jt_membership_fetch(struct jt_membership *membership,
					  const struct jt_own_state *own,
					  uint64_t now_ms)
{
	const struct jt_peer *peer = NULL;

	if (!own->started)
		peer = pick_source(membership, own, now_ms);
	if (peer == NULL)
		peer = pick_peer_ahead(membership, own);
	if (peer == NULL) {
		membership->behind_ms = 0;
		return NULL;
	}
	if (membership->behind_ms == 0)
		membership->behind_ms = now_ms;
	if (membership->fetching || now_ms < membership->fetch_next_ms)
		return NULL;
	if (own->started &&
	    now_ms - membership->behind_ms <
		    (own->reading ? STORE_DELAY_MS : GOSSIP_DELAY_MS))
		return NULL;
	membership->fetching = true;
	membership->fetching_from = peer->id;
	return peer;
}

/* Marks a peer that did not answer, so that others are preferred until a
 * message comes from it. */
static void mark_no_response(struct jt_membership *membership, uint64_t id)
{
	for (size_t i = 0; i < membership->count; i++) {
		if (membership->peers[i].id == id)
			membership->peers[i].fetch_failed = true;
	}
}

static uint64_t fetch_pause_ms(struct jt_membership *membership,
			       enum jt_fetch_end end)
{
	switch (end) {
	case JT_FETCH_SUCCEEDED:
		return FETCH_PAUSE_MS;
	case JT_FETCH_BUSY:
		return FETCH_BUSY_PAUSE_MS / 2 +
		       jt_random_next(&membership->random) %
			       FETCH_BUSY_PAUSE_MS;
	default:
		return FETCH_FAILED_PAUSE_MS;
	}
}

void jt_membership_fetched(struct jt_membership *membership,
			   enum jt_fetch_end end, uint64_t now_ms)
{
	membership->fetching = false;
	membership->fetch_next_ms = now_ms + fetch_pause_ms(membership, end);
	if (end == JT_FETCH_SUCCEEDED)
		membership->behind_ms = 0;
	if (end == JT_FETCH_FAILED)
		mark_no_response(membership, membership->fetching_from);
}
