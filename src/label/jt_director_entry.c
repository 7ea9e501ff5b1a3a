/* Discovery entries of endpoints: creation, update and removal. */
#include "jt_director_entry.h"
#include "jt_director_flow.h"
#include "jt_director_incarnation.h"
#include "jt_director_suspicion.h"
#include "jt_feature.h"

enum {
	/* Time after a store outage within which entries that expired in it are
	 * reported. */
	OUTAGE_REPORT_MS = 1000,
};

/* Enters the state of an incarnation without an entry, as of its removal: a
 * node that learns of the removal later than others must not assign flows to
 * the endpoint for longer than they do. */
static void expired_enter(struct jt_incarnation *incarnation, uint64_t now_ms,
			  struct jt_director_actions *actions)
{
	jt_director_state_enter(incarnation, JT_INCARNATION_EXPIRED, now_ms,
				actions);
	incarnation->state_ms = incarnation->removed_ms;
}

void jt_director_entry_removed(struct jt_director *director, uint64_t id,
			       uint64_t revision, uint32_t age_ms,
			       uint64_t now_ms,
			       struct jt_director_actions *actions)
{
	struct jt_incarnation *incarnation =
		jt_endpoint_table_by_id(director->endpoints, id);

	if (incarnation == NULL ||
	    revision <= jt_incarnation_revision(incarnation))
		return;
	jt_endpoint_table_record_removal(director->endpoints, incarnation,
					 revision, age_ms, now_ms);
	if (director->options.injected_faults &
	    JT_DIRECTOR_FAULT_FORGET_REMOVED) {
		jt_endpoint_table_remove(director->endpoints, incarnation);
		return;
	}
	jt_director_address_release(director, incarnation, now_ms, actions);
	if (incarnation->state == JT_INCARNATION_DEAD)
		return;
	incarnation->expired_in_outage =
		director->store_unreachable_ms != 0 &&
		jt_feature_enabled(director->options.disabled_features,
				   JT_FEATURE_OUTAGE_EXPIRY) &&
		now_ms - director->store_unreachable_ms < OUTAGE_REPORT_MS;
	expired_enter(incarnation, now_ms, actions);
	/* The endpoint may be dead: a probe finds out, so that idle flows are
	 * reset, too. */
	if (incarnation->flows > 0 &&
	    !jt_incarnation_alive_after_outage(incarnation, now_ms))
		jt_director_suspect(director, incarnation,
				    JT_EVIDENCE_NO_RESPONSE, now_ms, actions);
}

void jt_director_entry_unreadable(struct jt_director *director, uint64_t id,
				  uint64_t revision, uint32_t age_ms,
				  uint64_t now_ms,
				  struct jt_director_actions *actions)
{
	struct jt_incarnation *incarnation =
		jt_endpoint_table_by_id(director->endpoints, id);

	if (incarnation == NULL)
		return;
	incarnation->listed = true;
	if (revision <= jt_incarnation_revision(incarnation))
		return;
	jt_endpoint_table_record_removal(director->endpoints, incarnation,
					 revision, age_ms, now_ms);
	incarnation->entry.unreadable = true;
	director->counters.unreadable++;
	if (incarnation->state != JT_INCARNATION_DEAD)
		expired_enter(incarnation, now_ms, actions);
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
		jt_chooser_equalise_load(director->chooser, incarnation->pool,
					 incarnation, now_ms);
	jt_chooser_stagger_start(director->chooser, incarnation, now_ms);
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
		jt_director_flows_supersede(director, incarnation,
					    earliest_label);
		incarnation_start(director, incarnation, JT_DIRECTOR_RESTARTED,
				  now_ms, actions);
	} else if (incarnation->state == JT_INCARNATION_DEAD) {
		/* An entry written after it was declared dead shows that it is
		 * alive. */
		if (incarnation->cause != JT_DEATH_REPLACED &&
		    incarnation->entry.removed_revision == 0)
			jt_director_incarnation_revives(director, incarnation,
							now_ms, actions);
	} else if (result == JT_ENTRY_NEW) {
		incarnation_start(director, incarnation,
				  JT_DIRECTOR_STATE_CHANGED, now_ms, actions);
	} else {
		jt_director_state_enter(incarnation,
					jt_director_listed_state(incarnation),
					now_ms, actions);
	}
	jt_director_address_assign(director, incarnation, now_ms, actions);
}

/* Applies the removal that a peer reports with @entry. */
static void entry_removal_apply(struct jt_director *director,
				const struct jt_endpoint_entry *entry,
				uint64_t now_ms,
				struct jt_director_actions *actions)
{
	struct jt_incarnation *known =
		jt_endpoint_table_by_id(director->endpoints, entry->id);

	/* Known already, perhaps from a listing, which doesn't tell when. */
	if (known != NULL && known->entry.removed_revision != 0 &&
	    known->entry.revision == entry->revision)
		jt_endpoint_table_removed_earlier(known, entry->removed_age_ms,
						  now_ms);
	if (entry->unreadable)
		jt_director_entry_unreadable(
			director, entry->id, entry->removed_revision,
			entry->removed_age_ms, now_ms, actions);
	else
		jt_director_entry_removed(
			director, entry->id, entry->removed_revision,
			entry->removed_age_ms, now_ms, actions);
}

void jt_director_entry(struct jt_director *director,
		       const struct jt_endpoint_entry *entry, uint64_t now_ms,
		       struct jt_director_actions *actions)
{
	bool stale = director->options.injected_faults &
		     JT_DIRECTOR_FAULT_STALE_ENTRY;
	const struct jt_incarnation *known =
		jt_endpoint_table_by_id(director->endpoints, entry->id);
	uint32_t earliest_label = known != NULL ? known->earlier_label : 0;
	struct jt_incarnation *incarnation = NULL;
	enum jt_entry_result result;

	/* An endpoint that publishes its start time never stops doing so. */
	if (known != NULL && known->entry.start_time_ms != 0 &&
	    entry->start_time_ms == 0) {
		jt_director_entry_unreadable(director, entry->id,
					     entry->revision, 0, now_ms,
					     actions);
		return;
	}
	result = jt_endpoint_table_update(director->endpoints, entry, stale,
					  now_ms, &incarnation);
	if (incarnation != NULL)
		entry_apply(director, incarnation, result, earliest_label,
			    now_ms, actions);
	else if (result != JT_ENTRY_OLD)
		director->counters.entries_refused++;
	if (entry->removed_revision != 0)
		entry_removal_apply(director, entry, now_ms, actions);
}
