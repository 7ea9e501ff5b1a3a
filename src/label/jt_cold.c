#include "jt_cold.h"
#include "jt_random.h"

#include <string.h>

enum {
	PERMILLE = 1000,
	SECOND_MS = 1000,
	/* Spacing of new flows beyond what the rate asks for: packets may be
	 * under way for different times. */
	MARGIN_MS = 100,
	/* Sets of nodes that may not know of each other, as after a cut. */
	SETS = 2,
	/* By then a node that has started knows most of the others: they gossip
	 * fast for that long. */
	SETTLE_MS = 3000,
};

struct jt_cold *jt_cold_create(TALLOC_CTX *mem_ctx,
			       const struct jt_director_options *options)
{
	struct jt_cold *cold = talloc_zero(mem_ctx, struct jt_cold);

	if (cold == NULL)
		return NULL;
	cold->overshoot_permille = options->cold_overshoot_permille;
	cold->slack = options->cold_slack;
	return cold;
}

void jt_cold_nodes(struct jt_cold *cold, uint64_t own_id, const uint64_t *peers,
		   size_t count, uint64_t now_ms)
{
	uint64_t *copy;

	cold->own_id = own_id;
	if (cold->known_since_ms == 0)
		cold->known_since_ms = now_ms;
	copy = talloc_realloc(cold, cold->peers, uint64_t, count + 1);
	/* Without memory the nodes known so far stand in. */
	if (copy == NULL)
		return;
	if (count > 0)
		memcpy(copy, peers, count * sizeof(*peers));
	cold->peers = copy;
	cold->peer_count = count;
}

/* New flows a second that all nodes of one set together may send. */
static uint64_t set_rate(const struct jt_cold *cold, uint32_t permille)
{
	uint64_t bears = (permille + PERMILLE - 1) / PERMILLE;
	uint64_t limit =
		((uint64_t)permille * cold->overshoot_permille / PERMILLE +
		 (uint64_t)cold->slack * PERMILLE) /
		PERMILLE / SETS;

	return bears < limit ? bears : limit;
}

/* The order of nodes for an endpoint, different for each endpoint. */
static uint64_t node_rank(uint64_t node_id, uint64_t endpoint_id)
{
	struct jt_random random = {.seed = node_id ^ endpoint_id};

	return jt_random_next(&random);
}

/* Whether this node is among the first @count for the endpoint. */
static bool among_first(const struct jt_cold *cold, uint64_t endpoint_id,
			uint64_t count)
{
	uint64_t own = node_rank(cold->own_id, endpoint_id), before = 0;

	for (size_t i = 0; i < cold->peer_count && before < count; i++)
		before += node_rank(cold->peers[i], endpoint_id) < own;
	return before < count;
}

bool jt_cold_allows(const struct jt_cold *cold, const struct jt_incarnation *in,
		    uint32_t permille, uint64_t now_ms)
{
	uint64_t rate;

	if (permille == 0 || now_ms >= in->cold_until_ms)
		return true;
	if (cold->known_since_ms == 0 ||
	    now_ms - cold->known_since_ms < SETTLE_MS ||
	    now_ms < in->cold_next_ms)
		return false;
	rate = set_rate(cold, permille);
	return rate > 0 && among_first(cold, in->entry.id, rate);
}

void jt_cold_given(const struct jt_cold *cold, struct jt_incarnation *in,
		   uint32_t permille, uint64_t now_ms)
{
	uint64_t rate = set_rate(cold, permille);
	uint64_t nodes = cold->peer_count + 1;

	if (permille == 0 || rate == 0 || now_ms >= in->cold_until_ms)
		return;
	if (nodes > rate)
		nodes = rate;
	in->cold_next_ms = now_ms + SECOND_MS * nodes / rate + MARGIN_MS;
}
