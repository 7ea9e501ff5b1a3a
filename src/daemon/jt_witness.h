/*
 * Witness vote of the store, used when exactly half of a cell with an even
 * number of members remains. The witness record is read, changed by
 * jt_witness_apply() and written back by compare-and-swap. A lost response
 * counts as no vote; the proposer retries.
 */
#ifndef JT_WITNESS_H
#define JT_WITNESS_H

#include "jt_config_sync.h"

struct jt_witness;

/* Returns NULL when out of memory. @node and @sync must outlive the result. */
struct jt_witness *jt_witness_create(TALLOC_CTX *mem_ctx, struct jt_node *node,
				     struct jt_config_sync *sync);
/* Requests a vote and copies @request. The reply arrives as JT_EVENT_WITNESS;
 * there is none if a request is pending, the rate limit is reached or the store
 * does not answer. */
void jt_witness_request_vote(struct jt_witness *witness,
			     const struct jt_witness_request *request);

#endif
