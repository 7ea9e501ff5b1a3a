#include "jt_director_lookup.h"
#include "jt_director_flow.h"
#include "jt_feature.h"

/* Returns true if the packet's flow should be looked up: the packet is a
 * retransmitted SYN, so the first one went to another node or was lost. Held
 * packets have waited already. */
static bool lookup_needed(const struct jt_director *director,
			  const struct jt_label_packet *packet, uint64_t now_ms)
{
	return packet->acknowledged > 0 && packet->held_ms == 0 &&
	       director->peer_count > 0 &&
	       jt_director_initial_sync_ms(director, now_ms) == 0 &&
	       jt_feature_enabled(director->options.disabled_features,
				  JT_FEATURE_FLOW_LOOKUP);
}

bool jt_director_lookup_waits(struct jt_director *director,
			      const struct jt_label_packet *packet,
			      uint64_t now_ms,
			      struct jt_director_actions *actions)
{
	struct jt_director_action *action;

	if (jt_flow_lookup_waits(director->lookups, &packet->key, now_ms))
		return true;
	if (!lookup_needed(director, packet, now_ms) ||
	    !jt_flow_lookup_begin(director->lookups, packet, now_ms))
		return false;
	action = jt_director_action_add(actions, JT_DIRECTOR_FLOW_LOOKUP,
					JT_DIRECTOR_FLOW_LOOKUP_PENDING);
	if (action == NULL)
		return false;
	director->counters.flow_lookups++;
	action->key = packet->key;
	action->first_sequence = packet->sequence;
	return true;
}

void jt_director_flow_lookup_sent(struct jt_director *director,
				  const struct jt_flow_key *key, size_t peers,
				  uint64_t now_ms)
{
	jt_flow_lookup_sent(director->lookups, key, peers, now_ms);
}

void jt_director_flow_lookup_response(struct jt_director *director,
				      const struct jt_director_event *event)
{
	uint32_t label = event->u.flow_lookup_response.label;
	uint64_t now_ms = event->now_ms;
	struct jt_incarnation *incarnation =
		label != 0
			? jt_endpoint_table_by_label(director->endpoints, label)
			: NULL;
	bool known = incarnation != NULL &&
		     incarnation->state != JT_INCARNATION_DEAD;
	const struct jt_label_packet *packet = jt_flow_lookup_answered(
		director->lookups, &event->u.flow_lookup_response.key,
		event->u.flow_lookup_response.sequence, known, now_ms);
	struct jt_cached_flow *flow;

	if (packet == NULL || !known ||
	    jt_flow_cache_find(director->flows, &packet->key) != NULL)
		return;
	director->counters.flows_found++;
	flow = jt_director_flow_add(director, packet, incarnation, label,
				    now_ms);
	if (flow == NULL)
		return;
	flow->copies = packet->acknowledged;
	jt_flow_cache_opening(director->flows, flow, now_ms);
}

uint32_t jt_director_flow_label(const struct jt_director *director,
				const struct jt_flow_key *key,
				uint32_t sequence)
{
	const struct jt_cached_flow *flow =
		jt_flow_cache_find(director->flows, key);
	const struct jt_incarnation *incarnation;

	if (flow == NULL || !jt_director_flow_has_first(flow, sequence))
		return 0;
	incarnation =
		jt_endpoint_table_by_label(director->endpoints, flow->label);
	if (incarnation == NULL || incarnation->state == JT_INCARNATION_DEAD)
		return 0;
	return flow->label;
}
