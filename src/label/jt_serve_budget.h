/* Budget for state snapshots sent to peers that are behind: half of the link.
 * Requests beyond it are rejected at once, so that the peer can ask another
 * node instead of waiting for a late response. */
#ifndef JT_SERVE_BUDGET_H
#define JT_SERVE_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct jt_serve_budget {
	uint64_t bytes_per_ms; /* 0: unlimited */
	/* Until then the link transmits earlier snapshots. */
	uint64_t busy_until_ms;
};

/* Sets the budget for a link of @link_mbps Mbit/s; 0: unlimited. */
void jt_serve_budget_init(struct jt_serve_budget *budget, uint32_t link_mbps);
/* Returns true if another snapshot may be sent. */
bool jt_serve_budget_allows(const struct jt_serve_budget *budget,
			    uint64_t now_ms);
/* Records that a snapshot of @bytes was sent. */
void jt_serve_budget_given(struct jt_serve_budget *budget, size_t bytes,
			   uint64_t now_ms);

#endif
