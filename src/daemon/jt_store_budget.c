#include "jt_store_budget.h"
#include "jt_net.h"

#include <sodium.h>

enum { BURST_OPERATIONS = 8 };

void jt_store_budget_init(struct jt_store_budget *budget,
			  const struct jt_node *node)
{
	*budget = (struct jt_store_budget){
		.node = node,
		.tokens_milli = BURST_OPERATIONS * 1000,
		.refilled_ms = jt_clock_ms(),
	};
}

static void refill(struct jt_store_budget *budget)
{
	const struct jt_cell_state *state = jt_core_state(budget->node->core);
	uint64_t members = state ? state->member_count : 4;
	uint64_t rate = budget->node->settings->store_operations_per_s;
	uint64_t now = jt_clock_ms();

	/* Half of the rate is divided evenly among the members; the other half
	 * is left for readers. */
	budget->tokens_milli += (now - budget->refilled_ms) * rate /
				(2 * (members ? members : 1));
	budget->refilled_ms = now;
	if (budget->tokens_milli > BURST_OPERATIONS * 1000)
		budget->tokens_milli = BURST_OPERATIONS * 1000;
}

bool jt_store_budget_take(struct jt_store_budget *budget)
{
	refill(budget);
	if (budget->tokens_milli < 1000)
		return false;
	budget->tokens_milli -= 1000;
	return true;
}

uint32_t jt_store_jitter(uint32_t ms)
{
	return ms / 2 + randombytes_uniform(ms / 2 + 1);
}
