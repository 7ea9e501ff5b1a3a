/*
 * How much a node tells peers that are behind: as much as half of its link
 * carries. Beyond that it refuses at once, and who asks turns to another peer;
 * an answer that waits behind many others comes too late for all of them.
 */
#ifndef JT_SERVE_BUDGET_H
#define JT_SERVE_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct jt_serve_budget {
	uint64_t bytes_per_ms;	/* may be told; 0: any number */
	uint64_t busy_until_ms; /* the link carries earlier answers so long */
};

void jt_serve_budget_init(struct jt_serve_budget *budget, uint32_t link_mbps);
/* Whether one more answer may be given. */
bool jt_serve_budget_allows(const struct jt_serve_budget *budget,
			    uint64_t now_ms);
/* An answer of so many bytes was given. */
void jt_serve_budget_given(struct jt_serve_budget *budget, size_t bytes,
			   uint64_t now_ms);

#endif
