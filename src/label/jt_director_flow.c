/* Lifecycle of cached flows: creation, removal and resets to clients. */
#include "jt_director_flow.h"

/* Upper bound of the bytes that a client sends in one flow. */
#define FLOW_BYTES_MAX (1u << 24)

struct jt_cached_flow *jt_director_flow_add(
	struct jt_director *director, const struct jt_label_packet *packet,
	struct jt_incarnation *incarnation, uint32_t label, uint64_t now_ms)
{
	struct jt_cached_flow *flow;

	if (jt_flow_cache_full(director->flows))
		jt_director_flow_forget(director, director->flows->idle);
	flow = jt_flow_cache_add(director->flows, &packet->key, now_ms);
	if (flow == NULL)
		return NULL;
	flow->label = label;
	flow->sequence_end = packet->sequence + packet->length;
	flow->acknowledged = packet->acknowledged;
	flow->sent_ms = now_ms;
	if (jt_incarnation_owns_flow(incarnation, label))
		incarnation->flows++;
	return flow;
}

bool jt_director_flow_has_first(const struct jt_cached_flow *flow,
				uint32_t sequence)
{
	return flow->sequence_end - sequence < FLOW_BYTES_MAX;
}

/* A client accepts any sequence for a flow that has not opened. A client that
 * opened the flow through another node accepts only sequences close to its last
 * acknowledgement, which a random one is not. */
uint32_t jt_director_opening_sequence(struct jt_director *director)
{
	return (uint32_t)jt_random_next(&director->random);
}

void jt_director_flow_forget(struct jt_director *director,
			     struct jt_cached_flow *flow)
{
	struct jt_incarnation *incarnation =
		jt_endpoint_table_flow_holder(director->endpoints, flow->label);

	if (incarnation != NULL &&
	    jt_incarnation_owns_flow(incarnation, flow->label)) {
		if (!flow->closing && incarnation->flows > 0)
			incarnation->flows--;
		if (flow->waiting_ms != 0 && incarnation->waiting > 0)
			incarnation->waiting--;
		if (flow->opening_ms != 0)
			jt_admission_opened(director->admission,
					    incarnation->entry.service_id,
					    flow->opening_ms, flow->seen_ms);
		if (flow->waiting_ms != 0)
			jt_admission_abandoned(director->admission,
					       incarnation->entry.service_id,
					       flow->waiting_ms, flow->seen_ms);
	}
	jt_flow_cache_remove(director->flows, flow);
}

void jt_director_reset_dead(struct jt_director *director,
			    const struct jt_flow_key *key,
			    uint32_t acknowledged,
			    const struct jt_incarnation *incarnation,
			    uint64_t now_ms,
			    struct jt_director_actions *actions)
{
	struct jt_director_action *action = jt_director_action_about(
		actions, JT_DIRECTOR_RESET, JT_DIRECTOR_ENDPOINT_DEAD,
		incarnation, now_ms);

	director->counters.by_reason[JT_DIRECTOR_ENDPOINT_DEAD]++;
	if (action == NULL)
		return;
	action->key = *key;
	action->reset_sequence = acknowledged;
}

void jt_director_flow_reset(struct jt_director *director,
			    struct jt_cached_flow *flow,
			    const struct jt_incarnation *incarnation,
			    uint64_t now_ms,
			    struct jt_director_actions *actions)
{
	uint32_t sequence = flow->opening_ms != 0
				    ? jt_director_opening_sequence(director)
				    : flow->acknowledged;

	jt_director_reset_dead(director, &flow->key, sequence, incarnation,
			       now_ms, actions);
	jt_director_flow_forget(director, flow);
}

void jt_director_flows_recount(struct jt_director *director, uint32_t label)
{
	struct jt_incarnation *owner =
		jt_endpoint_table_label_owner(director->endpoints, label);
	struct jt_incarnation *holder =
		jt_endpoint_table_flow_holder(director->endpoints, label);
	const struct jt_cached_flow *flow;

	for (; owner != NULL; owner = owner->label_next) {
		owner->flows = 0;
		owner->waiting = 0;
	}
	for (flow = director->flows->idle; flow != NULL; flow = flow->newer) {
		if (flow->label != label)
			continue;
		holder->flows += !flow->closing;
		holder->waiting += flow->waiting_ms != 0;
	}
}

bool jt_director_flow_ended(const struct jt_cached_flow *flow,
			    const struct jt_incarnation *incarnation)
{
	return incarnation->entry.start_time_ms == 0 ||
	       flow->first_seen_ms < incarnation->death_confirmed_ms;
}

void jt_director_flows_supersede(struct jt_director *director,
				 const struct jt_incarnation *incarnation,
				 uint32_t earliest_label)
{
	struct jt_cached_flow *flow = director->flows->idle;

	for (; flow != NULL; flow = flow->newer) {
		if (earliest_label != 0 && flow->label == earliest_label)
			flow->label = incarnation->earlier_label;
		if (flow->label != incarnation->earlier_label)
			continue;
		jt_flow_cache_answered(director->flows, flow);
		jt_flow_cache_response_end(director->flows, flow);
		flow->resent = 0;
		flow->expected = false;
		flow->suspected = true;
	}
}
