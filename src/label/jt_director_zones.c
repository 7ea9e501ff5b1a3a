#include "jt_director_zones.h"

#include <string.h>

static void zone_drain_apply(struct jt_director *director,
			     const struct jt_zone_drain *drain, uint64_t now_ms,
			     struct jt_director_actions *actions)
{
	enum jt_director_action_kind kind = JT_DIRECTOR_ZONE_DRAINED;
	const struct jt_zone_state *state = NULL;
	struct jt_director_action *action;
	enum jt_zone_result result;

	result = jt_zone_drains_update(&director->zone_drains, drain, now_ms,
				       &state);
	if (result == JT_ZONE_LIMIT_REACHED)
		director->counters.entries_refused++;
	if (result != JT_ZONE_BEGAN && result != JT_ZONE_ENDED)
		return;
	if (result == JT_ZONE_ENDED) {
		kind = JT_DIRECTOR_ZONE_RESTORED;
		jt_chooser_equalise_zone_load(director->chooser,
					      director->endpoints,
					      state->zone_id, now_ms);
	}
	action = jt_director_action_add(actions, kind, 0);
	if (action == NULL)
		return;
	action->zone = state->drain.zone;
	action->revision = state->drain.revision;
}

/* Ends the drain of a zone that a full listing does not contain. */
static void zone_drain_end(struct jt_director *director,
			   const struct jt_zone_state *state, uint64_t revision,
			   uint64_t now_ms, struct jt_director_actions *actions)
{
	struct jt_zone_drain ended = state->drain;

	ended.draining = false;
	ended.revision = revision;
	zone_drain_apply(director, &ended, now_ms, actions);
}

static bool drains_contain(const struct jt_zone_drain *drains, size_t count,
			   const char *zone)
{
	for (size_t i = 0; i < count; i++) {
		if (strcmp(drains[i].zone, zone) == 0)
			return true;
	}
	return false;
}

void jt_director_zones(struct jt_director *director,
		       const struct jt_director_event *event,
		       struct jt_director_actions *actions)
{
	const struct jt_zone_drain *drains = event->u.zones.drains;
	size_t count = event->u.zones.count;

	for (size_t i = 0; i < count; i++)
		zone_drain_apply(director, &drains[i], event->now_ms, actions);
	for (size_t i = 0;
	     event->u.zones.complete && i < director->zone_drains.count; i++) {
		const struct jt_zone_state *state =
			&director->zone_drains.zones[i];

		if (state->drain.draining &&
		    !drains_contain(drains, count, state->drain.zone))
			zone_drain_end(director, state, event->u.zones.revision,
				       event->now_ms, actions);
	}
}

void jt_director_zones_listed(struct jt_director *director, uint64_t revision,
			      uint64_t now_ms,
			      struct jt_director_actions *actions)
{
	for (size_t i = 0; i < director->zone_drains.count; i++) {
		const struct jt_zone_state *state =
			&director->zone_drains.zones[i];

		if (!state->listed)
			zone_drain_end(director, state, revision, now_ms,
				       actions);
	}
}
