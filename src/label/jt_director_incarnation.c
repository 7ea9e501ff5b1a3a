/* How incarnations begin and end for a node, and who has an address. */
#include "jt_director_incarnation.h"
#include "jt_director_flow.h"

enum {
	/* When callers send copies of a first packet. */
	FIRST_COPY_MS = 200,
	SECOND_COPY_MS = 600,
	COPY_SLACK_MS = 100,
};

void jt_director_state_enter(struct jt_incarnation *incarnation,
			     enum jt_incarnation_state state, uint64_t now_ms,
			     struct jt_director_actions *actions)
{
	if (incarnation->state == state)
		return;
	incarnation->state = state;
	incarnation->state_ms = now_ms;
	jt_director_action_about(actions, JT_DIRECTOR_SEEN, 0, incarnation,
				 now_ms);
}

enum jt_incarnation_state
jt_director_listed_state(const struct jt_incarnation *incarnation)
{
	if (incarnation->entry.gone_revision != 0)
		return JT_INCARNATION_LAPSED;
	if (incarnation->entry.draining)
		return JT_INCARNATION_DRAINING;
	return JT_INCARNATION_READY;
}

/*
 * Whether a flow without an answer has left this node: a copy of its first
 * packet was due and has not come here. Another node may have opened it.
 */
static bool opening_moved_on(const struct jt_cached_flow *flow, uint64_t now_ms)
{
	uint64_t age_ms = now_ms - flow->opening_ms;

	if (flow->opening_ms == 0)
		return false;
	if (flow->copies == 0)
		return age_ms >= FIRST_COPY_MS + COPY_SLACK_MS;
	if (flow->copies == 1)
		return age_ms >= SECOND_COPY_MS + COPY_SLACK_MS;
	return age_ms >= JT_CALLER_ENDS_MS;
}

void jt_director_flows_reset(struct jt_director *director,
			     const struct jt_incarnation *incarnation,
			     uint64_t now_ms,
			     struct jt_director_actions *actions)
{
	struct jt_cached_flow *flow = director->flows->rested;

	/* Flows with its label are another's. */
	if (!jt_endpoint_table_has_label(incarnation))
		return;
	while (flow != NULL) {
		struct jt_cached_flow *newer = flow->newer;

		/* A caller that has closed its flow needs no reset. */
		if (flow->label == incarnation->label && !flow->closing &&
		    !opening_moved_on(flow, now_ms) &&
		    (flow->opening_ms != 0 ||
		     jt_director_flow_ended(flow, incarnation)))
			jt_director_flow_reset(director, flow, incarnation,
					       now_ms, actions);
		flow = newer;
	}
}

void jt_director_incarnation_dies(struct jt_director *director,
				  struct jt_incarnation *incarnation,
				  enum jt_death_cause cause, uint64_t now_ms,
				  struct jt_director_actions *actions)
{
	struct jt_director_action *action;

	if (incarnation->state == JT_INCARNATION_DEAD) {
		if (cause == JT_DEATH_REPLACED)
			incarnation->cause = cause;
		return;
	}
	incarnation->state = JT_INCARNATION_DEAD;
	jt_endpoint_table_watch(director->endpoints, incarnation);
	incarnation->state_ms = now_ms;
	incarnation->cause = cause;
	director->counters.deaths[cause]++;
	action = jt_director_action_about(actions, JT_DIRECTOR_VERDICT, 0,
					  incarnation, now_ms);
	if (action != NULL)
		action->peers_know =
			jt_detector_peer_found_dead(incarnation, now_ms);
	jt_director_flows_reset(director, incarnation, now_ms, actions);
	/* Another's entry tells that it has lost its address, not that it has
	 * not started there again since: ask who answers. */
	if (cause == JT_DEATH_REPLACED && incarnation->flows > 0 &&
	    incarnation->entry.born_ms != 0)
		incarnation->proof_wanted = true;
}

void jt_director_incarnation_revives(struct jt_director *director,
				     struct jt_incarnation *incarnation,
				     uint64_t now_ms,
				     struct jt_director_actions *actions)
{
	incarnation->state = jt_director_listed_state(incarnation);
	incarnation->state_ms = now_ms;
	incarnation->cause = JT_DEATH_NONE;
	director->counters.revived++;
	jt_director_action_about(actions, JT_DIRECTOR_REVIVED, 0, incarnation,
				 now_ms);
}

/* Whether another has got the incarnation's address for good: an entry of the
 * same birth that comes later is no sign of life, but was written late. */
static bool address_lost(const struct jt_incarnation *incarnation)
{
	return incarnation->entry.born_ms != 0 &&
	       incarnation->state == JT_INCARNATION_DEAD &&
	       incarnation->cause == JT_DEATH_REPLACED;
}

void jt_director_address_settle(struct jt_director *director,
				struct jt_incarnation *taken, uint64_t now_ms,
				struct jt_director_actions *actions)
{
	struct jt_incarnation *first =
		jt_endpoint_table_at(director->endpoints, taken->entry.address);
	struct jt_incarnation *newest = taken, *other;

	if (address_lost(taken))
		return;
	for (other = first; other != NULL; other = other->address_next) {
		if (!address_lost(other) &&
		    other->entry.revision > newest->entry.revision)
			newest = other;
	}
	for (other = first; other != NULL; other = other->address_next) {
		if (other != newest)
			jt_director_incarnation_dies(director, other,
						     JT_DEATH_REPLACED, now_ms,
						     actions);
	}
}

void jt_director_address_found(struct jt_director *director,
			       struct jt_incarnation *found, uint64_t now_ms,
			       struct jt_director_actions *actions)
{
	struct jt_incarnation *other =
		jt_endpoint_table_at(director->endpoints, found->entry.address);

	if (!address_lost(found) || found->entry.gone_revision != 0)
		return;
	jt_director_incarnation_revives(director, found, now_ms, actions);
	for (; other != NULL; other = other->address_next) {
		if (other != found)
			jt_director_incarnation_dies(director, other,
						     JT_DEATH_REPLACED, now_ms,
						     actions);
	}
}

void jt_director_address_given_back(struct jt_director *director,
				    const struct jt_incarnation *gone,
				    uint64_t now_ms,
				    struct jt_director_actions *actions)
{
	struct jt_incarnation *newest = NULL, *other;

	if (gone->entry.born_ms == 0 || address_lost(gone))
		return;
	other = jt_endpoint_table_at(director->endpoints, gone->entry.address);
	for (; other != NULL; other = other->address_next) {
		if (address_lost(other) && other->entry.gone_revision == 0 &&
		    (newest == NULL ||
		     other->entry.revision > newest->entry.revision))
			newest = other;
	}
	if (newest != NULL)
		jt_director_incarnation_revives(director, newest, now_ms,
						actions);
}
