#include "jt_serve_budget.h"

enum {
	/* Answers that wait for the link together keep it busy for no longer:
	 * who asks waits for 250 ms. */
	QUEUE_MOST_MS = 100,
	BYTES_PER_MS_OF_MBPS = 125,
	/* The rest of the link is for callers' packets. */
	LINK_PART = 2,
};

void jt_serve_budget_init(struct jt_serve_budget *budget, uint32_t link_mbps)
{
	budget->bytes_per_ms =
		(uint64_t)link_mbps * BYTES_PER_MS_OF_MBPS / LINK_PART;
}

bool jt_serve_budget_allows(const struct jt_serve_budget *budget,
			    uint64_t now_ms)
{
	return budget->bytes_per_ms == 0 ||
	       budget->busy_until_ms < now_ms + QUEUE_MOST_MS;
}

void jt_serve_budget_given(struct jt_serve_budget *budget, size_t bytes,
			   uint64_t now_ms)
{
	if (budget->bytes_per_ms == 0)
		return;
	if (budget->busy_until_ms < now_ms)
		budget->busy_until_ms = now_ms;
	budget->busy_until_ms += bytes / budget->bytes_per_ms;
}
