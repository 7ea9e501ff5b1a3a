/* Ranking of peers as sources of a state transfer. */
#ifndef JT_MEMBERSHIP_SOURCE_H
#define JT_MEMBERSHIP_SOURCE_H

#include "jt_membership.h"

enum {
	/* A peer whose last message is this old has half the rank of one with a
	 * new message: it may have ended since then. Where there are many
	 * peers, each one is heard of every few seconds. */
	SOURCE_HALF_RANK_AGE_MS = 2000,
	/* Factor by which a source of the same zone is preferred. */
	SOURCE_OWN_ZONE_FACTOR = 32,
	/* Scales ranks so that the lowest one stays above 0. */
	SOURCE_RANK_SCALE = 1000,
};

/* Returns true if the peer has started. For a peer known only through others, a
 * capacity above 0 implies it. */
static inline bool jt_peer_started(const struct jt_peer *peer)
{
	return jt_peer_is_alive(peer) &&
	       (peer->heard_directly ? peer->started
				     : peer->reader_capacity > 0);
}

/*
 * Returns the rank of the peer as a source for a node of @zone_id that has no
 * state: higher capacity, a recent message and the same zone raise it.
 */
static inline uint64_t jt_source_rank(const struct jt_peer *peer,
				      uint32_t zone_id, uint64_t now_ms)
{
	uint64_t scaled_capacity =
		peer->reader_capacity > 0 ? peer->reader_capacity : 1;
	uint64_t age_ms = now_ms - peer->last_heard_ms;

	if (peer->zone_id == zone_id)
		scaled_capacity *= SOURCE_OWN_ZONE_FACTOR;
	return 1 + scaled_capacity * SOURCE_RANK_SCALE *
			   SOURCE_HALF_RANK_AGE_MS /
			   (SOURCE_HALF_RANK_AGE_MS + age_ms);
}

#endif
