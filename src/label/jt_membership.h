/*
 * Gossip membership: tracks the other nodes and the revisions they have
 * reached.
 *
 * Several times a second every node sends a digest of its own state, with a few
 * of the peers that it knows, to a small number of peers. Updates reach all
 * nodes in a number of rounds logarithmic in the cluster size, while the
 * traffic of each node stays constant. A node that learns that a peer has a
 * later revision, and does not receive the change from the store in time,
 * fetches it from that peer.
 *
 * This module does no I/O: the driver sends the messages and reports the ones
 * received.
 */
#ifndef JT_MEMBERSHIP_H
#define JT_MEMBERSHIP_H

#include "jaspertrack/types-t.h"
#include "jt_director_proto.h"
#include "jt_leave.h"
#include "jt_random.h"
#include "jt_reader.h"

#include <talloc.h>

enum {
	/* Maximum number of known peers, twice the nodes to design for; bounds
	 * the memory of the list. */
	JT_PEER_LIMIT = 38000,
	JT_DIGEST_FANOUT = 2, /* peers that get a digest in each round */
	JT_UPDATE_FANOUT = 4, /* peers to which a gossip update is forwarded */
	/* Maximum number of peers queried for the endpoint of a flow. */
	JT_FLOW_LOOKUP_FANOUT = 24,
	/* With fewer targets than this, peers of other zones are added. */
	JT_FLOW_LOOKUP_FANOUT_OTHER_ZONES = 6,
};

/* What is known of another node. Times are in milliseconds of this node's
 * monotonic clock. */
struct jt_peer {
	uint64_t id; /* of the process; 0: a seed that has not sent yet */
	struct jt_address address;
	uint32_t zone_id;
	uint32_t reader_capacity; /* capacity to read the store; 0: it can't now
				   */
	uint64_t last_heard_ms;	  /* last time that any node received from it */
	uint64_t routing_version;
	uint64_t revision;
	bool heard_directly; /* a message came from it since it was last lost */
	bool started;
	bool accepts_flows; /* accepts new flows: it knows some endpoints */
	bool leaving;
	bool ready; /* answers readiness checks with "ready" */
	bool lost;
	/* A fetch failed, and no message has come since then. */
	bool fetch_failed;
};

/* Result of a fetch from a peer. */
enum jt_fetch_end {
	JT_FETCH_SUCCEEDED,
	JT_FETCH_BUSY, /* the peer is serving too many fetches */
	JT_FETCH_FAILED,
};

/* Returns true if this node or another one received from the peer recently. */
static inline bool jt_peer_is_alive(const struct jt_peer *peer)
{
	return peer->id != 0 && !peer->lost;
}

/* State of this node as it is sent to peers. Times are in milliseconds of this
 * node's monotonic clock. */
struct jt_own_state {
	uint64_t routing_version;
	uint64_t revision;
	bool started;
	bool accepts_flows; /* accepts new flows: it knows some endpoints */
	bool leaving;
	bool ready;		  /* answers readiness checks with "ready" */
	bool reading;		  /* receives changes from the store itself */
	uint32_t reader_capacity; /* capacity to read the store; 0: it can't now
				   */
	uint64_t store_as_of_ms;  /* the state is complete as of this time */
	uint64_t store_reader;	  /* id of the node that read the store then */
};

/* Returns the age in milliseconds of this node's view of the store, capped at
 * UINT32_MAX as in messages. */
static inline uint32_t jt_own_store_age_ms(const struct jt_own_state *own,
					   uint64_t now_ms)
{
	uint64_t age_ms = now_ms - own->store_as_of_ms;

	return age_ms < UINT32_MAX ? (uint32_t)age_ms : UINT32_MAX;
}

struct jt_membership {
	uint64_t id;
	struct jt_address address;
	uint32_t zone_id;
	struct jt_peer *peers;
	size_t count;
	size_t capacity;
	struct jt_random random;
	uint64_t behind_ms; /* when a peer was first seen ahead; 0: none is */
	uint64_t fetch_next_ms;
	bool fetching;
	uint64_t fetching_from;	    /* id of the peer of the current fetch */
	uint64_t leave_limit_ms;    /* maximum duration of a leave */
	uint32_t disabled_features; /* bit set of features that are off */
};

/* Creates the membership of the node @id at @address, as a talloc child of
 * @mem_ctx. Returns NULL if memory runs out. */
struct jt_membership *jt_membership_create(TALLOC_CTX *mem_ctx, uint64_t id,
					   struct jt_address address,
					   uint32_t zone_id);
/* Adds a seed: an address at which a node may be reached. */
void jt_membership_seed(struct jt_membership *membership,
			struct jt_address address);
/* Records a digest received from @from. Returns true if the peer was new or had
 * been lost. */
bool jt_membership_digest(struct jt_membership *membership, uint64_t from,
			  struct jt_address address,
			  const jt_wire_digest *digest, uint64_t now_ms);
/* Records an availability message; returns the same as jt_membership_digest. */
bool jt_membership_record_availability(struct jt_membership *membership,
				       uint64_t from, struct jt_address address,
				       const jt_wire_availability *availability,
				       uint64_t now_ms);
/*
 * Chooses the peers that get a digest in this round. Returns the number of
 * @targets set.
 */
size_t
jt_membership_digest_targets(struct jt_membership *membership,
			     struct jt_address targets[JT_DIGEST_FANOUT]);
/* Chooses the peers to which a gossip update is forwarded, most of them in this
 * node's zone. Returns the number of @targets set. */
size_t
jt_membership_update_targets(struct jt_membership *membership,
			     struct jt_address targets[JT_UPDATE_FANOUT]);
/* Chooses the peers to query for a flow that routers may have moved to this
 * node: first peers of this node's zone that routers no longer use, then its
 * other peers, then peers of other zones. Returns the number of @targets
 * set. */
size_t jt_membership_flow_lookup_targets(
	struct jt_membership *membership,
	struct jt_address targets[JT_FLOW_LOOKUP_FANOUT]);
/* Fills in the part of a digest that describes this node, without peers. */
void jt_membership_own_state(const struct jt_membership *membership,
			     const struct jt_own_state *own, uint64_t now_ms,
			     jt_wire_digest *digest);
/* Returns true if this node is one of the preferred store readers of its zone.
 * There is at least one in each zone, and at least three in total. */
bool jt_membership_is_preferred_reader(const struct jt_membership *membership,
				       uint32_t own_capacity);
/* Returns true if several nodes watch the store, and not a single one. */
bool jt_membership_many_watch(const struct jt_membership *membership);
/* Returns the rank of this node among the store readers: of its zone, or of all
 * nodes. In a large cluster each zone has its own watchers. */
enum jt_reader_rank
jt_membership_reader_rank(const struct jt_membership *membership,
			  uint32_t own_capacity);
/* Returns the counts of other nodes on which a leaving node bases its steps. */
struct jt_zone_view jt_membership_zone(const struct jt_membership *membership,
				       uint64_t now_ms);
/* Builds the digest for this round; its peers are talloc children of
 * @mem_ctx. */
void jt_membership_own_digest(struct jt_membership *membership,
			      TALLOC_CTX *mem_ctx,
			      const struct jt_own_state *own, uint64_t now_ms,
			      jt_wire_digest *digest);
/* Builds a digest for a node of @zone_id that has just started. Its peers are
 * the best sources for a state transfer: high capacity, a recent message.
 * They are talloc children of @mem_ctx. */
void jt_membership_source_digest(struct jt_membership *membership,
				 TALLOC_CTX *mem_ctx,
				 const struct jt_own_state *own,
				 uint32_t zone_id, uint64_t now_ms,
				 jt_wire_digest *digest);
/* Returns true if at least one live peer is known to have started. */
bool jt_membership_knows_source(const struct jt_membership *membership);
/* Returns the next peer that timed out and was not yet reported, NULL if there
 * is none. Marks it as lost, and removes peers lost long ago. */
const struct jt_peer *jt_membership_next_lost(struct jt_membership *membership,
					      uint64_t now_ms);
/*
 * Returns the peer to fetch from now, NULL if no peer is ahead or no fetch is
 * due. The driver must report the end with jt_membership_fetched.
 */
const struct jt_peer *jt_membership_fetch(struct jt_membership *membership,
					  const struct jt_own_state *own,
					  uint64_t now_ms);
/* Records the end of the fetch that jt_membership_fetch started. */
void jt_membership_fetched(struct jt_membership *membership,
			   enum jt_fetch_end end, uint64_t now_ms);
/* Returns the number of live peers. */
size_t jt_membership_live(const struct jt_membership *membership);
/* Returns the number of live peers and sets @ids to their ids, an array owned
 * by @mem_ctx. Returns 0 with NULL if memory runs out. */
size_t jt_membership_ids(const struct jt_membership *membership,
			 TALLOC_CTX *mem_ctx, uint64_t **ids);

#endif
