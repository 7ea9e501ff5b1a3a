/* Builds the digests that describe this node and its peers. */
#include "jt_membership_source.h"

#include <string.h>

void jt_membership_own_state(const struct jt_membership *membership,
			     const struct jt_own_state *own, uint64_t now_ms,
			     jt_wire_digest *digest)
{
	memset(digest, 0, sizeof(*digest));
	digest->zone = membership->zone_id;
	digest->routing_version = own->routing_version;
	digest->revision = own->revision;
	digest->started = own->started;
	digest->leaving = own->leaving;
	digest->ready = own->ready;
	digest->accepts_flows = own->accepts_flows;
	digest->weight = own->reader_capacity;
	digest->store_age_ms = jt_own_store_age_ms(own, now_ms);
	digest->store_reader = own->store_reader;
}

/* Starts a digest with this node's state and an array for peers owned by
 * @mem_ctx. Returns false if memory runs out; the digest then has no peers. */
static bool digest_begin(const struct jt_membership *membership,
			 TALLOC_CTX *mem_ctx, const struct jt_own_state *own,
			 uint64_t now_ms, jt_wire_digest *digest)
{
	jt_membership_own_state(membership, own, now_ms, digest);
	digest->peers.peers_val =
		talloc_zero_array(mem_ctx, jt_wire_peer, JT_DIRECTOR_MAX_PEERS);
	return digest->peers.peers_val != NULL;
}

static void digest_add(jt_wire_digest *digest, const struct jt_peer *peer,
		       uint64_t now_ms)
{
	digest->peers.peers_val[digest->peers.peers_len++] = (jt_wire_peer){
		.id = peer->id,
		.address = peer->address.ip,
		.port = peer->address.port,
		.zone = peer->zone_id,
		.age_ms = (uint32_t)(now_ms - peer->last_heard_ms),
		.weight = peer->reader_capacity,
	};
}

void jt_membership_own_digest(struct jt_membership *membership,
			      TALLOC_CTX *mem_ctx,
			      const struct jt_own_state *own, uint64_t now_ms,
			      jt_wire_digest *digest)
{
	size_t start;

	if (!digest_begin(membership, mem_ctx, own, now_ms, digest) ||
	    membership->count == 0)
		return;
	start = jt_random_next(&membership->random) % membership->count;
	for (size_t i = 0; i < membership->count &&
			   digest->peers.peers_len < JT_DIRECTOR_MAX_PEERS;
	     i++) {
		const struct jt_peer *peer =
			&membership->peers[(start + i) % membership->count];

		if (jt_peer_is_alive(peer))
			digest_add(digest, peer, now_ms);
	}
}

bool jt_membership_knows_source(const struct jt_membership *membership)
{
	for (size_t i = 0; i < membership->count; i++) {
		if (jt_peer_started(&membership->peers[i]))
			return true;
	}
	return false;
}

struct ranked_peer {
	const struct jt_peer *peer;
	uint64_t rank;
};

/* Inserts @peer into the list of the @count best sources, best first. Returns
 * the new length of the list. */
static size_t source_insert(struct ranked_peer *best, size_t count,
			    struct ranked_peer peer)
{
	size_t position = count;

	while (position > 0 && best[position - 1].rank < peer.rank)
		position--;
	if (position == JT_DIRECTOR_MAX_PEERS)
		return count;
	if (count < JT_DIRECTOR_MAX_PEERS)
		count++;
	for (size_t i = count - 1; i > position; i--)
		best[i] = best[i - 1];
	best[position] = peer;
	return count;
}

void jt_membership_source_digest(struct jt_membership *membership,
				 TALLOC_CTX *mem_ctx,
				 const struct jt_own_state *own,
				 uint32_t zone_id, uint64_t now_ms,
				 jt_wire_digest *digest)
{
	struct ranked_peer best[JT_DIRECTOR_MAX_PEERS];
	size_t count = 0;

	if (!digest_begin(membership, mem_ctx, own, now_ms, digest))
		return;
	for (size_t i = 0; i < membership->count; i++) {
		const struct jt_peer *peer = &membership->peers[i];

		if (!jt_peer_started(peer) || peer->fetch_failed)
			continue;
		count = source_insert(
			best, count,
			(struct ranked_peer){
				peer, jt_source_rank(peer, zone_id, now_ms)});
	}
	for (size_t i = 0; i < count; i++)
		digest_add(digest, best[i].peer, now_ms);
}
