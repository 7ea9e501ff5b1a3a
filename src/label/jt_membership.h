/*
 * Which other nodes there are, and what each of them knows.
 *
 * Every node sends a digest to a few others several times a second, with some
 * of the peers it knows; so news of a node reaches all in a number of rounds
 * that grows with the logarithm of their number, and what one node sends does
 * not grow at all. A node that learns that a peer knows a later change, and
 * does not hear of it from the store in time, fetches it from that peer.
 *
 * Pure: the driver sends what it is told to and reports what comes.
 */
#ifndef JT_MEMBERSHIP_H
#define JT_MEMBERSHIP_H

#include "jaspertrack/types-t.h"
#include "jt_director_proto.h"
#include "jt_random.h"

#include <talloc.h>

enum {
	JT_PEER_LIMIT = 512,  /* peers known at once */
	JT_DIGEST_FANOUT = 2, /* peers told in each round */
};

struct jt_peer {
	uint64_t id; /* of the process; 0: a seed that was not heard yet */
	struct jt_address address;
	uint32_t zone_id;
	uint64_t heard_ms; /* by anybody */
	uint64_t routing_version;
	uint64_t revision;
	bool heard; /* directly, since it was last lost */
	bool started;
	bool leaving;
	bool lost;
};

/* Whether the peer was heard lately, by this node or by another. */
static inline bool jt_peer_lives(const struct jt_peer *peer)
{
	return peer->id != 0 && !peer->lost;
}

/* What this node tells of itself. */
struct jt_own_state {
	uint64_t routing_version;
	uint64_t revision;
	bool started;
	bool leaving;
};

struct jt_membership {
	uint64_t id;
	struct jt_address address;
	uint32_t zone_id;
	struct jt_peer *peers;
	size_t count;
	size_t capacity;
	struct jt_random random;
	uint64_t behind_ms; /* since when a peer knows more, 0: none does */
	uint64_t fetch_next_ms;
	bool fetching;
};

struct jt_membership *jt_membership_create(TALLOC_CTX *mem_ctx, uint64_t id,
					   struct jt_address address,
					   uint32_t zone_id);
/* A node may be at @address. */
void jt_membership_seed(struct jt_membership *membership,
			struct jt_address address);
/* A digest came from @from. True when the peer was new, or had been lost. */
bool jt_membership_digest(struct jt_membership *membership, uint64_t from,
			  struct jt_address address,
			  const jt_wire_digest *digest, uint64_t now_ms);
/*
 * Choose whom to tell in this round; returns how many of @targets were set.
 */
size_t jt_membership_round(struct jt_membership *membership,
			   struct jt_address targets[JT_DIGEST_FANOUT]);
/* The digest for this round; its peers are talloc children of @mem_ctx. */
void jt_membership_own_digest(struct jt_membership *membership,
			      TALLOC_CTX *mem_ctx,
			      const struct jt_own_state *own, uint64_t now_ms,
			      jt_wire_digest *digest);
/* The next peer that was lost and not yet told, NULL when there is none. */
const struct jt_peer *jt_membership_next_lost(struct jt_membership *membership,
					      uint64_t now_ms);
/*
 * The peer to fetch from now, NULL where none knows more or it is not due.
 * The driver must report the end of a fetch.
 */
const struct jt_peer *jt_membership_fetch(struct jt_membership *membership,
					  const struct jt_own_state *own,
					  uint64_t now_ms);
void jt_membership_fetched(struct jt_membership *membership, bool worked,
			   uint64_t now_ms);
/* Peers that were heard lately. */
size_t jt_membership_live(const struct jt_membership *membership);

#endif
