/*
 * Token bucket for the operations of this node on the store, its part of the
 * rate limit of all nodes, and jitter for retries.
 */
#ifndef JT_STORE_BUDGET_H
#define JT_STORE_BUDGET_H

#include "jt_node.h"

/* tokens_milli holds the available operations, in thousandths. */
struct jt_store_budget {
	const struct jt_node *node;
	uint64_t tokens_milli;
	uint64_t refilled_ms;
};

/* Initialises a full budget. @node must outlive it. */
void jt_store_budget_init(struct jt_store_budget *budget,
			  const struct jt_node *node);
/* Consumes one operation; returns false if none is left. */
bool jt_store_budget_take(struct jt_store_budget *budget);
/* Returns a random time from half of @ms to @ms, which spreads the requests of
 * the nodes over time. */
uint32_t jt_store_jitter(uint32_t ms);

#endif
