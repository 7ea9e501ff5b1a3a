/*
 * Which nodes read the store, without any agreement on it.
 *
 * One node watches the store and tells the others (news at once, digests for
 * whoever missed them). A few in each zone check, for a tenth of the price,
 * that no change was missed, and fetch what was. Every node decides for
 * itself, from what it believes of its peers, so two nodes that believe
 * different things are two readers for a while, which does no harm: revisions
 * order everything.
 *
 * Each node also knows how old its knowledge is: a reader tells when the store
 * last answered it, and that time travels with the digests. A node whose
 * knowledge grows too old, for whatever reason, checks the store itself.
 *
 * Pure: the driver reports and asks.
 */
#ifndef JT_READER_H
#define JT_READER_H

#include "jt_follower.h"
#include "jt_random.h"

#include <stdbool.h>
#include <stdint.h>

/* Where a node stands among those that can read the store. */
enum jt_reading_turn {
	JT_TURN_NONE,
	JT_TURN_OF_ZONE, /* among the first of its zone */
	JT_TURN_OF_ALL,	 /* the first of all */
};

struct jt_reader {
	uint64_t limit_ms;   /* older knowledge makes a node read by itself */
	uint64_t jitter_ms;  /* of this node, so that not all begin at once */
	uint64_t own_ms;     /* all that the store had then was read here */
	uint64_t heard_ms;   /* all that it had then is known from peers */
	uint64_t heard_from; /* the node that read it */
	uint64_t began_ms;   /* since when this node reads */
	uint64_t watch_after_ms; /* and how long it only checks at first */
	uint64_t as_old_ms;	 /* a peer's knowledge was no newer then */
	uint64_t hold_until_ms; /* its watch failed: it watches on until then */
	uint64_t try_after_ms;	/* the store gave no answer: not before then */
	enum jt_reading reading;
	/* A node that knows some endpoints leaves the list to peers so long;
	 * and whether that is the time of its own among all nodes. */
	uint64_t list_after_ms;
	bool list_spread;
	struct jt_random random;
};

/* Knowledge older than @limit_ms is too old. */
void jt_reader_init(struct jt_reader *reader, uint64_t limit_ms, uint64_t seed);
/* This node has read all that the store had at @as_of_ms. */
void jt_reader_read(struct jt_reader *reader, uint64_t as_of_ms);
/* A peer that knows no more than this node has all that @from read then. */
void jt_reader_heard(struct jt_reader *reader, uint64_t as_of_ms,
		     uint64_t from);
/* The same, as a peer tells it now: one that has nothing newer to tell shows
 * that this node is no worse off than others. */
void jt_reader_told(struct jt_reader *reader, uint64_t as_of_ms, uint64_t from,
		    uint64_t now_ms);
/*
 * The store gave this node no answer. Where knowledge is still fresh a node
 * that watches does so for a while longer. Where it is old and peers are no
 * better off, the store is away from all: of @nodes nodes one tries in each
 * share of time, and tells the others when it answers again.
 */
void jt_reader_failed(struct jt_reader *reader, size_t nodes, uint64_t now_ms);
/*
 * How to read the store now. @turn: where this node stands among those that
 * can; @started: it knows routing and endpoints.
 */
enum jt_reading jt_reader_decide(struct jt_reader *reader,
				 enum jt_reading_turn turn, bool started,
				 uint64_t now_ms);
/*
 * How long a node that has just begun waits for peers that know everything
 * before it lists the store. To read a whole list costs a weak node far more
 * than to learn the same from a peer. @weight: in thousandths of a core.
 */
uint64_t jt_reader_start_wait_ms(uint32_t weight);
/*
 * The same for any node: long enough for a live peer to answer, and where the
 * whole system starts for the first time (@first_start), long enough for one
 * that has read the store to tell. Those that all others know (@is_seed) read
 * it first.
 */
uint64_t jt_reader_first_wait_ms(struct jt_reader *reader, uint32_t weight,
				 bool first_start, bool is_seed);
/* "not", "checks" or "watches". */
const char *jt_reading_name(enum jt_reading reading);
/* As of when the store is known, and by whose reading. */
uint64_t jt_reader_as_of(const struct jt_reader *reader, uint64_t own_id,
			 uint64_t *from);

/*
 * Whether a node that has not started, but knows some endpoints by its peers,
 * still leaves the list of all to them. After a while such nodes, of @nodes
 * that are known, begin one after the other.
 */
bool jt_reader_list_waits(struct jt_reader *reader, size_t nodes,
			  uint64_t now_ms);

#endif
