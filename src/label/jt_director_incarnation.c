/* State changes of incarnations and ownership of addresses. */
#include "jt_director_incarnation.h"
#include "jt_director_flow.h"

enum {
	/* Times at which clients retransmit a SYN. */
	FIRST_RETRANSMIT_MS = 200,
	SECOND_RETRANSMIT_MS = 600,
	RETRANSMIT_TOLERANCE_MS = 100,
};

void jt_director_state_enter(struct jt_incarnation *incarnation,
			     enum jt_incarnation_state state, uint64_t now_ms,
			     struct jt_director_actions *actions)
{
	if (incarnation->state == state)
		return;
	incarnation->state = state;
	incarnation->state_ms = now_ms;
	jt_director_action_about(actions, JT_DIRECTOR_STATE_CHANGED, 0,
				 incarnation, now_ms);
}

enum jt_incarnation_state
jt_director_listed_state(const struct jt_incarnation *incarnation)
{
	if (incarnation->entry.removed_revision != 0)
		return JT_INCARNATION_EXPIRED;
	if (incarnation->entry.draining)
		return JT_INCARNATION_DRAINING;
	return JT_INCARNATION_READY;
}

/* Returns true if an unanswered flow has probably moved to another node: a
 * retransmission of its SYN was due and did not arrive here. */
static bool opening_moved_away(const struct jt_cached_flow *flow,
			       uint64_t now_ms)
{
	uint64_t age_ms = now_ms - flow->opening_ms;

	if (flow->opening_ms == 0)
		return false;
	if (flow->copies == 0)
		return age_ms >= FIRST_RETRANSMIT_MS + RETRANSMIT_TOLERANCE_MS;
	if (flow->copies == 1)
		return age_ms >= SECOND_RETRANSMIT_MS + RETRANSMIT_TOLERANCE_MS;
	return age_ms >= JT_CLIENT_OPEN_TIMEOUT_MS;
}

void jt_director_flows_reset(struct jt_director *director,
			     const struct jt_incarnation *incarnation,
			     uint64_t now_ms,
			     struct jt_director_actions *actions)
{
	struct jt_cached_flow *flow = director->flows->idle;
	bool handed_over = jt_endpoint_table_flow_holder(director->endpoints,
							 incarnation->label) !=
			   incarnation;

	/* Flows with its label belong to another incarnation. */
	if (!jt_incarnation_owns_label(incarnation))
		return;
	while (flow != NULL) {
		struct jt_cached_flow *newer = flow->newer;

		/* A client that has closed its flow needs no reset. */
		if (flow->label == incarnation->label && !flow->closing &&
		    !opening_moved_away(flow, now_ms) &&
		    (flow->opening_ms != 0 ||
		     (!handed_over &&
		      jt_director_flow_ended(flow, incarnation))))
			jt_director_flow_reset(director, flow, incarnation,
					       now_ms, actions);
		flow = newer;
	}
}

void jt_director_incarnation_declare_dead(struct jt_director *director,
					  struct jt_incarnation *incarnation,
					  enum jt_death_cause cause,
					  uint64_t now_ms,
					  struct jt_director_actions *actions)
{
	struct jt_director_action *action;

	if (incarnation->state == JT_INCARNATION_DEAD) {
		if (cause == JT_DEATH_REPLACED)
			incarnation->cause = cause;
		return;
	}
	incarnation->state = JT_INCARNATION_DEAD;
	jt_endpoint_table_schedule(director->endpoints, incarnation);
	incarnation->state_ms = now_ms;
	incarnation->cause = cause;
	director->counters.deaths[cause]++;
	action = jt_director_action_about(actions, JT_DIRECTOR_DEATH_REPORT, 0,
					  incarnation, now_ms);
	if (action != NULL)
		action->peers_know =
			jt_detector_peer_reported_dead(incarnation, now_ms);
	jt_director_flows_reset(director, incarnation, now_ms, actions);
	if (jt_incarnation_shares_label(incarnation))
		jt_director_flows_recount(director, incarnation->label);
	/* Another endpoint's entry shows that the address was reassigned, but
	 * not whether this endpoint has restarted there since: identify who
	 * responds. */
	if (cause == JT_DEATH_REPLACED && incarnation->flows > 0 &&
	    incarnation->entry.start_time_ms != 0)
		incarnation->confirmation_wanted = true;
}

void jt_director_incarnation_revives(struct jt_director *director,
				     struct jt_incarnation *incarnation,
				     uint64_t now_ms,
				     struct jt_director_actions *actions)
{
	incarnation->state = jt_director_listed_state(incarnation);
	incarnation->state_ms = now_ms;
	incarnation->cause = JT_DEATH_NONE;
	if (jt_incarnation_shares_label(incarnation))
		jt_director_flows_recount(director, incarnation->label);
	director->counters.revived++;
	jt_director_action_about(actions, JT_DIRECTOR_REVIVED, 0, incarnation,
				 now_ms);
}

/* Returns true if another incarnation has taken over the address
 * permanently: a later entry with the same start time, or with the same id
 * where every start has an id of its own, is a delayed write and does not show
 * that the incarnation is alive. */
static bool address_lost(const struct jt_incarnation *incarnation)
{
	return incarnation->state == JT_INCARNATION_DEAD &&
	       incarnation->cause == JT_DEATH_REPLACED;
}

/* Returns true if @a was assigned the address later than @b. Where every start
 * has an id of its own, an incarnation has its address from the creation of its
 * entry on, and a later write may be a delayed one. Otherwise an entry may get
 * another address with each write. */
static bool assigned_later(const struct jt_incarnation *a,
			   const struct jt_incarnation *b)
{
	const struct jt_endpoint_entry *one = &a->entry, *other = &b->entry;

	if (one->start_time_ms == 0 && other->start_time_ms == 0 &&
	    one->created_revision != 0 && other->created_revision != 0)
		return one->created_revision > other->created_revision;
	return one->revision > other->revision;
}

void jt_director_address_assign(struct jt_director *director,
				struct jt_incarnation *updated, uint64_t now_ms,
				struct jt_director_actions *actions)
{
	struct jt_incarnation *first = jt_endpoint_table_at(
		director->endpoints, updated->entry.address);
	struct jt_incarnation *newest = updated, *other;

	if (address_lost(updated))
		return;
	for (other = first; other != NULL; other = other->address_next) {
		if (!address_lost(other) && assigned_later(other, newest))
			newest = other;
	}
	for (other = first; other != NULL; other = other->address_next) {
		if (other != newest)
			jt_director_incarnation_declare_dead(director, other,
							     JT_DEATH_REPLACED,
							     now_ms, actions);
	}
}

void jt_director_address_confirm(struct jt_director *director,
				 struct jt_incarnation *found, uint64_t now_ms,
				 struct jt_director_actions *actions)
{
	struct jt_incarnation *other =
		jt_endpoint_table_at(director->endpoints, found->entry.address);

	if (!address_lost(found) || found->entry.removed_revision != 0)
		return;
	jt_director_incarnation_revives(director, found, now_ms, actions);
	for (; other != NULL; other = other->address_next) {
		if (other != found)
			jt_director_incarnation_declare_dead(director, other,
							     JT_DEATH_REPLACED,
							     now_ms, actions);
	}
}

void jt_director_address_release(struct jt_director *director,
				 const struct jt_incarnation *removed,
				 uint64_t now_ms,
				 struct jt_director_actions *actions)
{
	struct jt_incarnation *newest = NULL, *other;

	if (address_lost(removed))
		return;
	other = jt_endpoint_table_at(director->endpoints,
				     removed->entry.address);
	for (; other != NULL; other = other->address_next) {
		if (address_lost(other) && other->entry.removed_revision == 0 &&
		    (newest == NULL || assigned_later(other, newest)))
			newest = other;
	}
	if (newest != NULL)
		jt_director_incarnation_revives(director, newest, now_ms,
						actions);
}
