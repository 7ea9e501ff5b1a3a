#include "jt_serve_budget.h"

enum {
	/* Maximum queueing delay of state snapshots on the link; below the
	 * timeout of a requesting peer, 250 ms while it starts. */
	QUEUE_MAX_MS = 100,
	BYTES_PER_MS_PER_MBPS = 125,
	/* Snapshots use at most 1/2 of the link; the rest is for client
	 * packets. */
	LINK_DIVISOR = 2,
};

void jt_serve_budget_init(struct jt_serve_budget *budget, uint32_t link_mbps)
{
	budget->bytes_per_ms =
		(uint64_t)link_mbps * BYTES_PER_MS_PER_MBPS / LINK_DIVISOR;
}

bool jt_serve_budget_allows(const struct jt_serve_budget *budget,
			    uint64_t now_ms)
{
	return budget->bytes_per_ms == 0 ||
	       budget->busy_until_ms < now_ms + QUEUE_MAX_MS;
}

void jt_serve_budget_consume(struct jt_serve_budget *budget, size_t bytes,
			     uint64_t now_ms)
{
	if (budget->bytes_per_ms == 0)
		return;
	if (budget->busy_until_ms < now_ms)
		budget->busy_until_ms = now_ms;
	budget->busy_until_ms += bytes / budget->bytes_per_ms;
}
