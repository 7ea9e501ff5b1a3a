/* Discovery entries of endpoints: creation, update and removal. */
#include "jt_director_entry.h"
#include "jt_director_flow.h"
#include "jt_director_incarnation.h"
#include "jt_director_suspicion.h"
#include "jt_mechanism.h"

enum {
	/* Time after a store outage within which entries that expired in it are
	 * reported. */
	OUTAGE_REPORT_MS = 1000,
};

void jt_director_entry_gone(struct jt_director *director, uint64_t id,
			    uint64_t revision, uint64_t now_ms,
			    struct jt_director_actions *actions)
{
	struct jt_incarnation *incarnation =
		jt_endpoint_table_by_id(director->endpoints, id);

	if (incarnation == NULL ||
	    revision <= jt_incarnation_revision(incarnation))
		return;
	jt_endpoint_table_gone(director->endpoints, incarnation, revision,
			       now_ms);
	if (director->options.break_mechanism & JT_DIRECTOR_BREAK_FORGET_GONE) {
		jt_endpoint_table_remove(director->endpoints, incarnation);
		return;
	}
	jt_director_address_given_back(director, incarnation, now_ms, actions);
	if (incarnation->state == JT_INCARNATION_DEAD)
		return;
	incarnation->away_lapsed =
		director->store_away_until_ms != 0 &&
		jt_mechanism_on(director->options.without,
				JT_MECHANISM_OUTAGE_LAPSES) &&
		now_ms - director->store_away_until_ms < OUTAGE_REPORT_MS;
	jt_director_state_enter(incarnation, JT_INCARNATION_LAPSED, now_ms,
				actions);
	/* The endpoint may be dead: probe it for the sake of its idle flows. */
	if (incarnation->flows > 0 &&
	    !jt_incarnation_outlives(incarnation, now_ms))
		jt_director_suspect(director, incarnation, JT_EVIDENCE_OPENING,
				    now_ms, actions);
}

void jt_director_entry_unreadable(struct jt_director *director, uint64_t id,
				  uint64_t revision, uint64_t now_ms,
				  struct jt_director_actions *actions)
{
	struct jt_incarnation *incarnation =
		jt_endpoint_table_by_id(director->endpoints, id);

	if (incarnation == NULL)
		return;
	incarnation->told = true;
	if (revision <= jt_incarnation_revision(incarnation))
		return;
	jt_endpoint_table_gone(director->endpoints, incarnation, revision,
			       now_ms);
	incarnation->entry.unreadable = true;
	director->counters.unreadable++;
	if (incarnation->state != JT_INCARNATION_DEAD)
		jt_director_state_enter(incarnation, JT_INCARNATION_LAPSED,
					now_ms, actions);
}

/* Starts tracking an incarnation of a new or restarted endpoint. */
static void incarnation_start(struct jt_director *director,
			      struct jt_incarnation *incarnation,
			      enum jt_director_action_kind action_kind,
			      uint64_t now_ms,
			      struct jt_director_actions *actions)
{
	incarnation->state = jt_director_listed_state(incarnation);
	/* Before this node has started no endpoint has any load. */
	if (incarnation->pool != NULL && jt_director_started(director))
		jt_chooser_welcome(director->chooser, incarnation->pool,
				   incarnation, now_ms);
	jt_chooser_spread(director->chooser, incarnation, now_ms);
	jt_director_action_about(actions, action_kind, 0, incarnation, now_ms);
}

/* Applies an accepted entry. @earliest_label: label of the incarnation before
 * the previous one; 0: none. */
static void entry_apply(struct jt_director *director,
			struct jt_incarnation *incarnation,
			enum jt_entry_result result, uint32_t earliest_label,
			uint64_t now_ms, struct jt_director_actions *actions)
{
	if (result == JT_ENTRY_RESTARTED) {
		director->counters.restarted++;
		jt_director_flows_of_earlier(director, incarnation,
					     earliest_label);
		incarnation_start(director, incarnation, JT_DIRECTOR_RESTARTED,
				  now_ms, actions);
	} else if (incarnation->state == JT_INCARNATION_DEAD) {
		/* An entry written since its death shows that it lives. */
		if (incarnation->cause != JT_DEATH_REPLACED &&
		    incarnation->entry.gone_revision == 0)
			jt_director_incarnation_revives(director, incarnation,
							now_ms, actions);
	} else if (result == JT_ENTRY_NEW) {
		incarnation_start(director, incarnation, JT_DIRECTOR_SEEN,
				  now_ms, actions);
	} else {
		jt_director_state_enter(incarnation,
					jt_director_listed_state(incarnation),
					now_ms, actions);
	}
	jt_director_address_settle(director, incarnation, now_ms, actions);
}

void jt_director_entry(struct jt_director *director,
		       const struct jt_endpoint_entry *entry, uint64_t now_ms,
		       struct jt_director_actions *actions)
{
	bool stale = director->options.break_mechanism &
		     JT_DIRECTOR_BREAK_STALE_ENTRY;
	const struct jt_incarnation *known =
		jt_endpoint_table_by_id(director->endpoints, entry->id);
	uint32_t earliest_label = known != NULL ? known->earlier_label : 0;
	struct jt_incarnation *incarnation = NULL;
	enum jt_entry_result result;

	/* An endpoint that publishes its start time never stops doing so. */
	if (known != NULL && known->entry.born_ms != 0 && entry->born_ms == 0) {
		jt_director_entry_unreadable(director, entry->id,
					     entry->revision, now_ms, actions);
		return;
	}
	result = jt_endpoint_table_take(director->endpoints, entry, stale,
					now_ms, &incarnation);
	if (incarnation != NULL)
		entry_apply(director, incarnation, result, earliest_label,
			    now_ms, actions);
	else if (result != JT_ENTRY_OLD)
		director->counters.entries_refused++;
	if (entry->gone_revision != 0 && entry->unreadable)
		jt_director_entry_unreadable(director, entry->id,
					     entry->gone_revision, now_ms,
					     actions);
	else if (entry->gone_revision != 0)
		jt_director_entry_gone(director, entry->id,
				       entry->gone_revision, now_ms, actions);
}
