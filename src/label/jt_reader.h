/*
 * Decides which nodes read the store, without agreement among them.
 *
 * One node watches the store and passes changes on by gossip; digests cover
 * lost messages. A few nodes in each zone check the store's revision and fetch
 * changes that were missed. Every node decides from its own
 * view of its peers. Nodes with different views may both read for a while,
 * which is harmless because revisions order all changes.
 *
 * Each node also tracks the age of its state: a reader reports when the store
 * last answered, and digests carry that time. A node whose state grows too old
 * checks the store itself.
 *
 * This module does no I/O: the driver reports events and asks for decisions.
 * Times are in milliseconds of the monotonic clock.
 */
#ifndef JT_READER_H
#define JT_READER_H

#include "jt_follower.h"
#include "jt_random.h"

#include <stdbool.h>
#include <stdint.h>

/* Rank of a node among those that can read the store. */
enum jt_reader_rank {
	JT_READER_RANK_NONE,
	JT_READER_RANK_ZONE,	/* one of the preferred readers of its zone */
	JT_READER_RANK_WATCHER, /* the preferred watcher */
};

struct jt_reader {
	uint64_t limit_ms;	    /* maximum age of the state */
	uint64_t jitter_ms;	    /* random addition to limit_ms */
	uint64_t own_ms;	    /* this node read the store as of then */
	uint64_t peers_as_of_ms;    /* peers read the store as of then */
	uint64_t peers_reader;	    /* id of the node that read it then */
	uint64_t began_ms;	    /* when this node began to read */
	uint64_t watch_after_ms;    /* initial time without a watch */
	uint64_t peers_no_newer_ms; /* when a peer last reported no newer state
				     */
	uint64_t hold_until_ms;	    /* keep watching until then */
	uint64_t try_after_ms;	    /* don't read before then */
	uint64_t stalled_until_ms;  /* ignore peers' reports until then */
	enum jt_read_mode read_mode;
	/* A node that knows some endpoints doesn't list the store before
	 * list_after_ms; listing_staggered is set once that time is randomised
	 * over all nodes. */
	uint64_t list_after_ms;
	bool listing_staggered;
	struct jt_random random;
};

/* Initialises the reader. State older than @limit_ms is too old; @seed seeds
 * the random delays. */
void jt_reader_init(struct jt_reader *reader, uint64_t limit_ms, uint64_t seed);
/* Records that this node has read the store as of @as_of_ms. */
void jt_reader_read(struct jt_reader *reader, uint64_t as_of_ms);
/* Records a report of a peer that is not ahead of this node: this node has
 * all that @from had read as of @as_of_ms. */
void jt_reader_record_peer(struct jt_reader *reader, uint64_t as_of_ms,
			   uint64_t from);
/* The same for a report of a peer that is received at @now_ms. A report that is
 * not newer shows that peers are no more up to date than this node. */
void jt_reader_record_report(struct jt_reader *reader, uint64_t as_of_ms,
			     uint64_t from, uint64_t now_ms);
/* Records that this node did not run for some time. The reports of peers that
 * it receives before @until_ms may have waited for it: how old they are is
 * unknown, and they are ignored. */
void jt_reader_stalled(struct jt_reader *reader, uint64_t until_ms);
/*
 * Records that the store did not answer. While its state is fresh, a watching
 * node keeps watching for some time. If the state is old and peers have no
 * newer one, the store is unreachable for all: the nodes, @nodes in number,
 * spread their retries, and the first that succeeds informs the others.
 */
void jt_reader_failed(struct jt_reader *reader, size_t nodes, uint64_t now_ms);
/*
 * Decides how to read the store now. @rank: the rank of this node among the
 * readers; @started: it knows the routing and the endpoints.
 */
enum jt_read_mode jt_reader_decide(struct jt_reader *reader,
				   enum jt_reader_rank rank, bool started,
				   uint64_t now_ms);
/*
 * Returns the time in milliseconds that a starting node waits for peers that
 * have the full state before it lists the store. A full listing costs a
 * node with little CPU far more than a transfer from a peer. @cpu_permille: CPU
 * capacity in thousandths of a core.
 */
uint64_t jt_reader_start_wait_ms(uint32_t cpu_permille);
/*
 * The same with a minimum: long enough for a live peer to answer and, when the
 * whole system starts for the first time (@first_start), for a node that has
 * listed the store to report. Seeds (@is_seed) list the store first.
 */
uint64_t jt_reader_first_wait_ms(struct jt_reader *reader,
				 uint32_t cpu_permille, bool first_start,
				 bool is_seed);
/* Returns "not", "checks" or "watches". */
const char *jt_read_mode_name(enum jt_read_mode mode);
/* Returns the time as of which this node knows the store's content, and sets
 * @from to the id of the node that read it. */
uint64_t jt_reader_as_of(const struct jt_reader *reader, uint64_t own_id,
			 uint64_t *from);

/*
 * Returns true if a node that has not started, but knows some endpoints from
 * peers, still waits for peers to list the store. After that time the nodes,
 * @nodes in number, list it at random times.
 */
bool jt_reader_waits_for_listing(struct jt_reader *reader, size_t nodes,
				 uint64_t now_ms);

#endif
