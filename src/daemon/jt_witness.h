/*
 * The store's vote, where exactly half of an even cell is left: the witness
 * record is read, changed by jt_witness_apply() and written back by
 * compare-and-swap. A lost answer is no vote; the proposer asks again.
 */
#ifndef JT_WITNESS_H
#define JT_WITNESS_H

#include "jt_config_sync.h"

struct jt_witness;

struct jt_witness *jt_witness_create(TALLOC_CTX *mem_ctx, struct jt_node *node,
				     struct jt_config_sync *sync);
/* @request is copied; the reply comes as JT_EVENT_WITNESS, or never. */
void jt_witness_ask(struct jt_witness *witness,
		    const struct jt_witness_request *request);

#endif
