/* Whom to ask for a flow that routers may have moved to this node. */
#include "jt_membership.h"

/* The order in which peers are asked. */
enum rank {
	RANK_ZONE_UNUSED, /* of this node's zone; routers do without it */
	RANK_ZONE,
	RANK_FAR_UNUSED, /* of another zone */
	RANK_FAR,	 /* only where there are few others */
	RANKS,
};

static enum rank rank_of(const struct jt_membership *membership,
			 const struct jt_peer *peer)
{
	bool near = peer->zone_id == membership->zone_id;

	if (peer->leaving || !peer->ready)
		return near ? RANK_ZONE_UNUSED : RANK_FAR_UNUSED;
	return near ? RANK_ZONE : RANK_FAR;
}

size_t jt_membership_flow_targets(struct jt_membership *membership,
				  struct jt_address targets[JT_FLOW_FANOUT])
{
	size_t start, count = 0;

	if (membership->count == 0)
		return 0;
	start = jt_random_next(&membership->random) % membership->count;
	for (int rank = 0; rank < RANKS; rank++) {
		size_t most =
			rank == RANK_FAR ? JT_FLOW_FANOUT_FAR : JT_FLOW_FANOUT;

		for (size_t i = 0; i < membership->count && count < most; i++) {
			const struct jt_peer *peer =
				&membership->peers[(start + i) %
						   membership->count];

			/* One that has not started has placed nothing. */
			if (jt_peer_lives(peer) && peer->started &&
			    rank_of(membership, peer) == (enum rank)rank)
				targets[count++] = peer->address;
		}
	}
	return count;
}
