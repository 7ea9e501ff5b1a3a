/*
 * How far a node has come in fetching what its peers know, slice by slice.
 *
 * Whatever has come counts: after a peer that fails, another one is asked for
 * the rest. What came of several peers is complete up to the lowest of their
 * revisions.
 *
 * Pure: the driver asks peers and reports their answers.
 */
#ifndef JT_KNOWLEDGE_FETCH_H
#define JT_KNOWLEDGE_FETCH_H

#include "jt_knowledge.h"
#include "jt_membership.h"

struct jt_knowledge_fetch {
	bool begun;
	uint64_t since;		 /* what was known when it began */
	uint32_t slice;		 /* the next one */
	uint64_t revision;	 /* the lowest of those that told */
	uint32_t learning_ms;	 /* one of them may have missed entries */
	struct jt_list_gap gap;	 /* in what they know, all taken together */
	uint64_t forgotten;	 /* before it, one of them may lack changes */
	uint64_t store_as_of_ms; /* the oldest reading of the store */
	uint64_t store_reader;	 /* the node that read it then */
};

/* What to ask the next peer for. */
struct jt_knowledge_need
jt_knowledge_fetch_need(struct jt_knowledge_fetch *fetch,
			const struct jt_own_state *own);
/* An answer came at @now_ms. True when it was the last one that was missing:
 * @fetch then says what all of them amount to until the next need is asked
 * for. An answer to another question changes nothing. */
bool jt_knowledge_fetch_took(struct jt_knowledge_fetch *fetch,
			     const jt_wire_knowledge *knowledge,
			     uint64_t now_ms);

#endif
