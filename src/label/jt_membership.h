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
#include "jt_leave.h"
#include "jt_random.h"
#include "jt_reader.h"

#include <talloc.h>

enum {
	/* Peers known at once: twice the nodes to design for, 2.7 MB. */
	JT_PEER_LIMIT = 38000,
	JT_DIGEST_FANOUT = 2, /* peers told in each round */
	JT_NEWS_FANOUT = 4,   /* peers that news is sent on to at once */
	/* Peers that are asked where a flow is: whole zones up to some size,
	 * beyond that a part of them. */
	JT_FLOW_FANOUT = 24,
	JT_FLOW_FANOUT_FAR = 6, /* so many at least, of any zone */
};

struct jt_peer {
	uint64_t id; /* of the process; 0: a seed that was not heard yet */
	struct jt_address address;
	uint32_t zone_id;
	uint32_t weight;   /* as a reader of the store; 0: not now */
	uint64_t heard_ms; /* by anybody */
	uint64_t routing_version;
	uint64_t revision;
	bool heard; /* directly, since it was last lost */
	bool started;
	bool places; /* new flows: it knows some endpoints */
	bool leaving;
	bool ready; /* routers were told that it is */
	bool lost;
	bool no_answer; /* to a fetch, and not heard since then */
};

/* How a fetch from a peer ended. */
enum jt_fetch_end {
	JT_FETCH_WORKED,
	JT_FETCH_BUSY, /* the peer is asked by too many */
	JT_FETCH_FAILED,
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
	bool places; /* new flows: it knows some endpoints */
	bool leaving;
	bool ready;		 /* routers were told that it is */
	bool reading;		 /* the store tells it of changes */
	uint32_t weight;	 /* as a reader of the store; 0: not now */
	uint64_t store_as_of_ms; /* all that the store had then is known */
	uint64_t store_reader;	 /* the node that read it */
};

/* How old what this node knows of the store is, as a message tells it. */
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
	uint64_t behind_ms; /* since when a peer knows more, 0: none does */
	uint64_t fetch_next_ms;
	bool fetching;
	uint64_t fetching_from;	 /* the peer that is asked */
	uint64_t leave_limit_ms; /* a node that leaves has ended by then */
	uint32_t without;	 /* mechanisms that are off */
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
/* The same for a peer that tells whether it takes flows. */
bool jt_membership_standing(struct jt_membership *membership, uint64_t from,
			    struct jt_address address,
			    const jt_wire_standing *standing, uint64_t now_ms);
/*
 * Choose whom to tell in this round; returns how many of @targets were set.
 */
size_t jt_membership_round(struct jt_membership *membership,
			   struct jt_address targets[JT_DIGEST_FANOUT]);
/* Choose whom to send news on to, most of them in this node's zone; returns
 * how many of @targets were set. */
size_t jt_membership_news_targets(struct jt_membership *membership,
				  struct jt_address targets[JT_NEWS_FANOUT]);
/* Choose whom to ask for a flow that routers may have moved here: peers that
 * they do without, and others of this node's zone; of other zones where it has
 * few. Returns how many of @targets were set. */
size_t jt_membership_flow_targets(struct jt_membership *membership,
				  struct jt_address targets[JT_FLOW_FANOUT]);
/* What a digest tells of this node itself. */
void jt_membership_own_state(const struct jt_membership *membership,
			     const struct jt_own_state *own, uint64_t now_ms,
			     jt_wire_digest *digest);
/* Whether this node is among the first of its zone that can read the store.
 * There are three such nodes in all, and one in each zone, at the least. */
bool jt_membership_reads_first(const struct jt_membership *membership,
			       uint32_t own_weight);
/* The same, and whether it is the first of all, or of its zone where nodes are
 * many. */
enum jt_reading_turn
jt_membership_reading_turn(const struct jt_membership *membership,
			   uint32_t own_weight);
/* The other nodes, as one that leaves must see them. */
struct jt_zone_view jt_membership_zone(const struct jt_membership *membership,
				       uint64_t now_ms);
/* The digest for this round; its peers are talloc children of @mem_ctx. */
void jt_membership_own_digest(struct jt_membership *membership,
			      TALLOC_CTX *mem_ctx,
			      const struct jt_own_state *own, uint64_t now_ms,
			      jt_wire_digest *digest);
/* The digest for a node of @zone_id that has just started: its peers are the
 * best to learn from, the strongest and the last heard. */
void jt_membership_source_digest(struct jt_membership *membership,
				 TALLOC_CTX *mem_ctx,
				 const struct jt_own_state *own,
				 uint32_t zone_id, uint64_t now_ms,
				 jt_wire_digest *digest);
/* Whether a peer has started, as far as is known. */
bool jt_membership_knows_source(const struct jt_membership *membership);
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
void jt_membership_fetched(struct jt_membership *membership,
			   enum jt_fetch_end end, uint64_t now_ms);
/* Peers that were heard lately. */
size_t jt_membership_live(const struct jt_membership *membership);
/* Their ids, below @mem_ctx; returns how many, 0 when memory runs out. */
size_t jt_membership_ids(const struct jt_membership *membership,
			 TALLOC_CTX *mem_ctx, uint64_t **ids);

#endif
