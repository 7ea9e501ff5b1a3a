/*
 * Founding of a cell: the founder record in the store, written by
 * compare-and-swap, lets exactly one node found the cell.
 *
 * The record has no lease, because the lease would expire under a running cell
 * during an outage of the store. The coordinator renews the record. A node
 * without a cell replaces it only if the record was not renewed for a long time
 * in which the store was reachable and no peer admitted the node.
 */
#ifndef JT_FOUNDING_H
#define JT_FOUNDING_H

#include "jt_node.h"
#include "jt_store.h"
#include "jt_store_budget.h"

struct jt_founding;

/* Returns NULL when out of memory. @node, @store and @budget must outlive the
 * result. */
struct jt_founding *jt_founding_create(TALLOC_CTX *mem_ctx,
				       struct jt_node *node,
				       struct jt_store *store,
				       struct jt_store_budget *budget);
/* Reads, writes or renews the founder record when due; called periodically. */
void jt_founding_tick(struct jt_founding *founding);

#endif
