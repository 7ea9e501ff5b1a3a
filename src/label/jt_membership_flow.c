/* Chooses the peers to query for a flow that routers may have moved to this
 * node. */
#include "jt_membership.h"

/* The order in which peers are queried. */
enum rank {
	RANK_OWN_ZONE_UNUSED, /* this node's zone, not used by routers */
	RANK_OWN_ZONE,
	RANK_OTHER_ZONE_UNUSED, /* another zone, not used by routers */
	/* Another zone; only up to JT_FLOW_LOOKUP_FANOUT_OTHER_ZONES targets in
	   total. */
	RANK_OTHER_ZONE,
	RANK_COUNT,
};

static enum rank peer_rank(const struct jt_membership *membership,
			   const struct jt_peer *peer)
{
	bool own_zone = peer->zone_id == membership->zone_id;

	if (peer->leaving || !peer->ready)
		return own_zone ? RANK_OWN_ZONE_UNUSED : RANK_OTHER_ZONE_UNUSED;
	return own_zone ? RANK_OWN_ZONE : RANK_OTHER_ZONE;
}

size_t jt_membership_flow_lookup_targets(
	struct jt_membership *membership,
	struct jt_address targets[JT_FLOW_LOOKUP_FANOUT])
{
	size_t start, count = 0;

	if (membership->count == 0)
		return 0;
	start = jt_random_next(&membership->random) % membership->count;
	for (int rank = 0; rank < RANK_COUNT; rank++) {
		size_t limit = rank == RANK_OTHER_ZONE
				       ? JT_FLOW_LOOKUP_FANOUT_OTHER_ZONES
				       : JT_FLOW_LOOKUP_FANOUT;

		for (size_t i = 0; i < membership->count && count < limit;
		     i++) {
			const struct jt_peer *peer =
				&membership->peers[(start + i) %
						   membership->count];

			/* A peer that has not started has assigned no flows. */
			if (jt_peer_is_alive(peer) && peer->started &&
			    peer_rank(membership, peer) == (enum rank)rank)
				targets[count++] = peer->address;
		}
	}
	return count;
}
