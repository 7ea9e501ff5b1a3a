/* Which peer a node that is behind fetches from, and when. */
#include "jt_membership_source.h"

enum {
	/* How long the store may take to tell what a peer knows already, and
	 * how long news of it may be under way to a node that does not read. */
	BEHIND_READING_MS = 900,
	BEHIND_MS = 60,
	FETCH_PAUSE_MS = 100,
	FETCH_FAILED_PAUSE_MS = 200,
	/* In the mean: about as long as a link is busy with what it serves. */
	FETCH_BUSY_PAUSE_MS = 60,
};

/* Whether the peer can tell a node that knows nothing some endpoints. */
static bool tells_some(const struct jt_peer *peer)
{
	return peer->heard && peer->places && !peer->lost;
}

static bool knows_more(const struct jt_peer *peer,
		       const struct jt_own_state *own)
{
	if (!own->started)
		return jt_peer_started(peer) ||
		       (!own->places && tells_some(peer));
	if (!peer->heard || peer->lost || !peer->started)
		return false;
	return peer->revision > own->revision ||
	       peer->routing_version > own->routing_version;
}

/*
 * A peer to learn everything from: at random, each as likely as it is good, so
 * that many nodes that start at once share the work among all that know.
 */
static const struct jt_peer *peer_source(struct jt_membership *membership,
					 const struct jt_own_state *own,
					 uint64_t now_ms)
{
	const struct jt_peer *chosen = NULL;
	uint64_t sum = 0;

	for (size_t i = 0; i < membership->count; i++) {
		const struct jt_peer *peer = &membership->peers[i];
		uint64_t rank;

		if (!knows_more(peer, own) || peer->no_answer)
			continue;
		rank = jt_source_rank(peer, membership->zone_id, now_ms);
		sum += rank;
		if (jt_random_next(&membership->random) % sum < rank)
			chosen = peer;
	}
	return chosen;
}

/* How gladly a peer is asked: one that answers, and of the own zone. */
static int fetch_rank(const struct jt_membership *membership,
		      const struct jt_peer *peer)
{
	return (peer->no_answer ? 0 : 2) +
	       (peer->zone_id == membership->zone_id ? 1 : 0);
}

/* A live peer that knows more than this node: any of the best, so that those
 * that know most are not asked by all. */
static const struct jt_peer *peer_ahead(struct jt_membership *membership,
					const struct jt_own_state *own)
{
	const struct jt_peer *best = NULL;
	size_t start = 0;

	if (membership->count > 0)
		start = jt_random_next(&membership->random) % membership->count;
	for (size_t i = 0; i < membership->count; i++) {
		const struct jt_peer *peer =
			&membership->peers[(start + i) % membership->count];

		if (!knows_more(peer, own))
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
		peer = peer_source(membership, own, now_ms);
	if (peer == NULL)
		peer = peer_ahead(membership, own);
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
		    (own->reading ? BEHIND_READING_MS : BEHIND_MS))
		return NULL;
	membership->fetching = true;
	membership->fetching_from = peer->id;
	return peer;
}

/* The peer gave no answer: rather ask others until it is heard again. */
static void peer_no_answer(struct jt_membership *membership, uint64_t id)
{
	for (size_t i = 0; i < membership->count; i++) {
		if (membership->peers[i].id == id)
			membership->peers[i].no_answer = true;
	}
}

static uint64_t fetch_pause_ms(struct jt_membership *membership,
			       enum jt_fetch_end end)
{
	switch (end) {
	case JT_FETCH_WORKED:
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
	if (end == JT_FETCH_WORKED)
		membership->behind_ms = 0;
	if (end == JT_FETCH_FAILED)
		peer_no_answer(membership, membership->fetching_from);
}
