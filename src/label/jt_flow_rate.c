#include "jt_flow_rate.h"
#include "jt_random.h"

#include <string.h>

enum {
	PERMILLE = 1000,
	SECOND_MS = 1000,
	/* Margin for varying network delay on the spacing of new flows, in
	 * percent of the spacing that the rate requires. */
	SPACING_PERCENT = 110,
	/* New flows per second that one slot of an endpoint handles by default:
	 * one request of about 25 ms per flow. */
	SLOT_FLOWS_PER_S = 40,
	/* Groups of nodes that may not know of each other, as in a network
	 * partition. */
	PARTITIONS = 2,
	/* By then a started node knows most other nodes: they gossip at a
	 * higher rate for this long. */
	PEER_DISCOVERY_MS = 3000,
};

struct jt_flow_rate *
jt_flow_rate_create(TALLOC_CTX *mem_ctx,
		    const struct jt_director_options *options)
{
	struct jt_flow_rate *rate = talloc_zero(mem_ctx, struct jt_flow_rate);

	if (rate == NULL)
		return NULL;
	rate->overshoot_permille = options->cold_overshoot_permille;
	rate->slack = options->cold_slack;
	return rate;
}

void jt_flow_rate_nodes(struct jt_flow_rate *rate, uint64_t own_id,
			const uint64_t *peers, size_t count, uint64_t now_ms)
{
	uint64_t *copy;

	rate->own_id = own_id;
	if (rate->known_since_ms == 0)
		rate->known_since_ms = now_ms;
	copy = talloc_realloc(rate, rate->peers, uint64_t, count + 1);
	/* When out of memory the nodes known so far are kept. */
	if (copy == NULL)
		return;
	if (count > 0)
		memcpy(copy, peers, count * sizeof(*peers));
	rate->peers = copy;
	rate->peer_count = count;
}

uint32_t jt_flow_rate_cold(const struct jt_flow_rate *rate,
			   const struct jt_incarnation *in, uint32_t permille,
			   uint64_t now_ms)
{
	uint64_t accepted = ((uint64_t)permille + PERMILLE - 1) / PERMILLE;
	uint64_t limit =
		((uint64_t)permille * rate->overshoot_permille / PERMILLE +
		 (uint64_t)rate->slack * PERMILLE) /
		PERMILLE / PARTITIONS;

	if (permille == 0 || now_ms >= in->cold_until_ms)
		return JT_FLOW_RATE_UNLIMITED;
	if (rate->known_since_ms == 0 ||
	    now_ms - rate->known_since_ms < PEER_DISCOVERY_MS)
		return 0;
	return (uint32_t)(accepted < limit ? accepted : limit);
}

uint32_t jt_flow_rate_initial_sync(const struct jt_incarnation *in)
{
	uint32_t slots = jt_incarnation_slots(in);

	return slots < JT_FLOW_RATE_UNLIMITED / SLOT_FLOWS_PER_S
		       ? slots * SLOT_FLOWS_PER_S
		       : JT_FLOW_RATE_UNLIMITED;
}

/* Rank of a node for an endpoint; each endpoint orders the nodes
 * differently. */
static uint64_t node_rank(uint64_t node_id, uint64_t endpoint_id)
{
	struct jt_random random = {.seed = node_id ^ endpoint_id};

	return jt_random_next(&random);
}

/* Returns true if this node is among the first @count nodes for the
 * endpoint. */
static bool ranked_within(const struct jt_flow_rate *rate, uint64_t endpoint_id,
			  uint64_t count)
{
	uint64_t own = node_rank(rate->own_id, endpoint_id), lower = 0;

	for (size_t i = 0; i < rate->peer_count && lower < count; i++)
		lower += node_rank(rate->peers[i], endpoint_id) < own;
	return lower < count;
}

/* Returns the minimum milliseconds between two new flows of one eligible
 * node. */
static uint64_t spacing_ms(const struct jt_flow_rate *rate, uint32_t per_s)
{
	uint64_t nodes = rate->peer_count + 1;

	if (nodes > per_s)
		nodes = per_s;
	return SECOND_MS * nodes * SPACING_PERCENT / 100 / per_s;
}

void jt_flow_rate_stagger(const struct jt_flow_rate *rate,
			  struct jt_incarnation *in, uint32_t per_s,
			  uint64_t now_ms)
{
	if (per_s != JT_FLOW_RATE_UNLIMITED && per_s > 0)
		in->next_flow_ms =
			now_ms + node_rank(rate->own_id, in->entry.id) %
					 (spacing_ms(rate, per_s) + 1);
}

bool jt_flow_rate_allows(const struct jt_flow_rate *rate,
			 const struct jt_incarnation *in, uint32_t per_s,
			 uint64_t now_ms)
{
	if (per_s == JT_FLOW_RATE_UNLIMITED)
		return true;
	return per_s > 0 && now_ms >= in->next_flow_ms &&
	       ranked_within(rate, in->entry.id, per_s);
}

void jt_flow_rate_consume(const struct jt_flow_rate *rate,
			  struct jt_incarnation *in, uint32_t per_s,
			  uint64_t now_ms)
{
	if (per_s != JT_FLOW_RATE_UNLIMITED && per_s > 0)
		in->next_flow_ms = now_ms + spacing_ms(rate, per_s);
}
