/* How good a peer is to learn from; shared by the files of membership. */
#ifndef JT_MEMBERSHIP_SOURCE_H
#define JT_MEMBERSHIP_SOURCE_H

#include "jt_membership.h"

enum {
	/* A peer that was heard of so long ago is half as good to learn from
	 * as one that was heard just now: it may have ended since. Of many
	 * peers each is heard of every few seconds. */
	SOURCE_HALF_MS = 2000,
	/* A source of the own zone counts for so many of other zones. */
	SOURCE_NEAR = 32,
	/* Keeps the rank of the weakest source above 0. */
	SOURCE_UNIT = 1000,
};

/* Who can read the store has started, even where only others tell of it. */
static inline bool jt_peer_started(const struct jt_peer *peer)
{
	return jt_peer_lives(peer) &&
	       (peer->heard ? peer->started : peer->weight > 0);
}

/*
 * How good a source the peer is for a node of @zone_id that knows nothing: to
 * tell all is work, so the stronger a peer and the likelier it lives, the
 * better.
 */
static inline uint64_t jt_source_rank(const struct jt_peer *peer,
				      uint32_t zone_id, uint64_t now_ms)
{
	uint64_t weight = peer->weight > 0 ? peer->weight : 1;
	uint64_t age_ms = now_ms - peer->heard_ms;

	if (peer->zone_id == zone_id)
		weight *= SOURCE_NEAR;
	return 1 + weight * SOURCE_UNIT * SOURCE_HALF_MS /
			   (SOURCE_HALF_MS + age_ms);
}

#endif
