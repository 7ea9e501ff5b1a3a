/*
 * A node's part of the operations that the store allows all of them, and the
 * spread of its tries over time.
 */
#ifndef JT_STORE_BUDGET_H
#define JT_STORE_BUDGET_H

#include "jt_node.h"

struct jt_store_budget {
	const struct jt_node *node;
	uint64_t tokens_milli;
	uint64_t refilled_ms;
};

void jt_store_budget_init(struct jt_store_budget *budget,
			  const struct jt_node *node);
/* Take one operation; false when none is left. */
bool jt_store_budget_take(struct jt_store_budget *budget);
/* A random time from half of @ms to all of it, so that nodes don't come to the
 * store together. */
uint32_t jt_store_jitter(uint32_t ms);

#endif
