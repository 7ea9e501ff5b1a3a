#include "jt_zone_drains.h"
#include "jt_net.h"

#include <string.h>

bool jt_zone_drains_is_drained(const struct jt_zone_drains *drains,
			       uint32_t zone_id)
{
	for (size_t i = 0; i < drains->draining_count; i++) {
		if (drains->draining[i] == zone_id)
			return true;
	}
	return false;
}

static void draining_update(struct jt_zone_drains *drains)
{
	drains->draining_count = 0;
	for (size_t i = 0; i < drains->count; i++) {
		if (drains->zones[i].drain.draining)
			drains->draining[drains->draining_count++] =
				drains->zones[i].zone_id;
	}
}

static struct jt_zone_state *zone_find(struct jt_zone_drains *drains,
				       const char *zone)
{
	for (size_t i = 0; i < drains->count; i++) {
		if (strcmp(drains->zones[i].drain.zone, zone) == 0)
			return &drains->zones[i];
	}
	return NULL;
}

/* Returns the zone whose drain ended first, or NULL if all are drained. */
static struct jt_zone_state *zone_oldest_ended(struct jt_zone_drains *drains)
{
	struct jt_zone_state *oldest = NULL;

	for (size_t i = 0; i < drains->count; i++) {
		struct jt_zone_state *state = &drains->zones[i];

		if (!state->drain.draining &&
		    (oldest == NULL ||
		     state->drain.revision < oldest->drain.revision))
			oldest = state;
	}
	return oldest;
}

/* Returns a slot for a new zone, or NULL if all zones are drained. */
static struct jt_zone_state *zone_slot(struct jt_zone_drains *drains)
{
	struct jt_zone_state *oldest;

	if (drains->count < JT_ZONE_DRAIN_LIMIT)
		return &drains->zones[drains->count++];
	oldest = zone_oldest_ended(drains);
	if (oldest != NULL &&
	    oldest->drain.revision > drains->forgotten_revision)
		drains->forgotten_revision = oldest->drain.revision;
	return oldest;
}

static enum jt_zone_result zone_add(struct jt_zone_drains *drains,
				    const struct jt_zone_drain *drain,
				    uint64_t now_ms,
				    const struct jt_zone_state **state)
{
	struct jt_zone_state *added;

	if (drain->revision <= drains->forgotten_revision)
		return JT_ZONE_SAME;
	added = zone_slot(drains);
	if (added == NULL)
		return JT_ZONE_LIMIT_REACHED;
	*added = (struct jt_zone_state){
		.drain = *drain,
		.zone_id = jt_name_id(drain->zone),
		.since_ms = now_ms,
		.listed = true,
	};
	draining_update(drains);
	*state = added;
	return drain->draining ? JT_ZONE_BEGAN : JT_ZONE_SAME;
}

enum jt_zone_result jt_zone_drains_update(struct jt_zone_drains *drains,
					  const struct jt_zone_drain *drain,
					  uint64_t now_ms,
					  const struct jt_zone_state **state)
{
	struct jt_zone_state *known = zone_find(drains, drain->zone);
	bool was_draining;

	if (known == NULL)
		return zone_add(drains, drain, now_ms, state);
	known->listed = true;
	if (drain->revision <= known->drain.revision)
		return JT_ZONE_SAME;
	was_draining = known->drain.draining;
	known->drain = *drain;
	if (drain->draining == was_draining)
		return JT_ZONE_SAME;
	known->since_ms = now_ms;
	draining_update(drains);
	*state = known;
	return drain->draining ? JT_ZONE_BEGAN : JT_ZONE_ENDED;
}

void jt_zone_drains_listing(struct jt_zone_drains *drains)
{
	for (size_t i = 0; i < drains->count; i++)
		drains->zones[i].listed = false;
}
