/*
 * Founding of a cell: the store's compare-and-swap lets one node alone begin.
 *
 * The mark has no lease, because an outage of the store would let a lease
 * lapse under a living cell. The coordinator renews the mark; a node without
 * a cell takes it over only after it has watched it stand still for long,
 * with the store answering all the time and no peer taking the node in.
 */
#ifndef JT_FOUNDING_H
#define JT_FOUNDING_H

#include "jt_node.h"
#include "jt_store.h"
#include "jt_store_budget.h"

struct jt_founding;

/* @node, @store and @budget outlive it. */
struct jt_founding *jt_founding_create(TALLOC_CTX *mem_ctx,
				       struct jt_node *node,
				       struct jt_store *store,
				       struct jt_store_budget *budget);
void jt_founding_tick(struct jt_founding *founding);

#endif
