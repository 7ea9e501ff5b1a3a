/* Accessors of a director's state, the action list, and names. */
#include "jt_director_private.h"

#include <string.h>

/* Action list */

struct jt_director_actions *jt_director_actions_create(TALLOC_CTX *mem_ctx)
{
	return talloc_zero(mem_ctx, struct jt_director_actions);
}

void jt_director_actions_clear(struct jt_director_actions *actions)
{
	actions->count = 0;
}

struct jt_director_action *
jt_director_action_add(struct jt_director_actions *actions,
		       enum jt_director_action_kind kind,
		       enum jt_director_reason reason)
{
	struct jt_director_action *action;

	if (actions->count == actions->capacity) {
		size_t capacity = actions->capacity ? actions->capacity * 2 : 8;
		struct jt_director_action *items =
			talloc_realloc(actions, actions->items,
				       struct jt_director_action, capacity);

		if (items == NULL)
			return NULL;
		actions->items = items;
		actions->capacity = capacity;
	}
	action = &actions->items[actions->count++];
	memset(action, 0, sizeof(*action));
	action->kind = kind;
	action->reason = reason;
	return action;
}

struct jt_director_action *jt_director_action_about(
	struct jt_director_actions *actions, enum jt_director_action_kind kind,
	enum jt_director_reason reason,
	const struct jt_incarnation *incarnation, uint64_t now_ms)
{
	struct jt_director_action *action =
		jt_director_action_add(actions, kind, reason);

	if (action == NULL)
		return NULL;
	action->endpoint_id = incarnation->entry.id;
	action->start_time_ms = incarnation->entry.start_time_ms;
	action->label = incarnation->label;
	action->address = incarnation->entry.address;
	action->state = incarnation->state;
	action->cause = incarnation->cause;
	action->revision = incarnation->entry.revision;
	action->service_id = incarnation->entry.service_id;
	action->age_ms =
		incarnation->entry.removed_revision != 0
			? jt_incarnation_removed_age_ms(incarnation, now_ms)
			: now_ms - incarnation->entry_received_ms;
	return action;
}

/* Accessors */

bool jt_director_started(const struct jt_director *director)
{
	return director->routing != NULL && director->listed;
}

bool jt_director_accepts_flows(const struct jt_director *director)
{
	return director->routing != NULL &&
	       (director->listed || director->partly_listed);
}

uint32_t jt_director_initial_sync_ms(const struct jt_director *director,
				     uint64_t now_ms)
{
	uint64_t until_ms = director->chooser->initial_sync_until_ms;

	return now_ms < until_ms ? (uint32_t)(until_ms - now_ms) : 0;
}

const struct jt_routing *jt_director_routing(const struct jt_director *director)
{
	return director->routing;
}

const struct jt_director_counters *
jt_director_counters(const struct jt_director *director)
{
	return &director->counters;
}

uint64_t jt_director_revision(const struct jt_director *director)
{
	return director->revision;
}

const struct jt_latency *jt_director_latency(const struct jt_director *director)
{
	return director->latency;
}

const struct jt_admission *
jt_director_admission(const struct jt_director *director)
{
	return director->admission;
}

size_t jt_director_flow_count(const struct jt_director *director)
{
	return director->flows->count;
}

size_t jt_director_endpoint_count(const struct jt_director *director,
				  enum jt_incarnation_state state)
{
	struct jt_incarnation *incarnation;
	size_t count = 0;

	for (incarnation = jt_endpoint_table_first(director->endpoints);
	     incarnation != NULL;
	     incarnation = jt_endpoint_table_next(incarnation)) {
		if (incarnation->state == state)
			count++;
	}
	return count;
}

/* Counts ready incarnations that are slower (@sign +1) or faster (-1) than
 * usual. */
static size_t unusual_count(const struct jt_director *director, int sign,
			    uint64_t now_ms)
{
	const struct jt_incarnation *in =
		jt_endpoint_table_first(director->endpoints);
	size_t count = 0;

	for (; in != NULL; in = jt_endpoint_table_next(in)) {
		double ratio = jt_response_ratio_get(&in->response_ratio,
						     director->nodes, now_ms);

		if (in->state == JT_INCARNATION_READY && (ratio - 1) * sign > 0)
			count++;
	}
	return count;
}

size_t jt_director_slow_count(const struct jt_director *director,
			      uint64_t now_ms)
{
	return unusual_count(director, 1, now_ms);
}

size_t jt_director_fast_count(const struct jt_director *director,
			      uint64_t now_ms)
{
	return unusual_count(director, -1, now_ms);
}

/* Fills @load; returns false if there is nothing to report. */
static bool load_fill(const struct jt_incarnation *in, uint64_t now_ms,
		      struct jt_endpoint_load *load)
{
	double recent = jt_recent_load_at(&in->recent_load, now_ms) *
			JT_RECENT_LOAD_UNIT;

	*load = (struct jt_endpoint_load){
		.label = in->label,
		.flows = in->flows,
		.recent_load_permille =
			recent < UINT32_MAX ? (uint32_t)recent : UINT32_MAX,
		.response_ratio =
			jt_response_ratio_encode(&in->response_ratio, now_ms),
	};
	return load->flows > 0 || load->recent_load_permille > 0;
}

size_t jt_director_loads(struct jt_director *director, uint64_t now_ms,
			 struct jt_endpoint_load loads[JT_LOAD_LIMIT])
{
	struct jt_incarnation *in =
		jt_endpoint_table_first(director->endpoints);
	size_t count = 0, index = 0;

	for (; in != NULL && count < JT_LOAD_LIMIT;
	     in = jt_endpoint_table_next(in), index++) {
		if (index >= director->loads_next &&
		    load_fill(in, now_ms, &loads[count]))
			count++;
	}
	director->loads_next = in != NULL ? index : 0;
	return count;
}

bool jt_director_endpoint_at(const struct jt_director *director, size_t index,
			     struct jt_endpoint_entry *entry,
			     enum jt_incarnation_state *state)
{
	struct jt_incarnation *incarnation;

	for (incarnation = jt_endpoint_table_first(director->endpoints);
	     incarnation != NULL;
	     incarnation = jt_endpoint_table_next(incarnation)) {
		if (index-- > 0)
			continue;
		*entry = incarnation->entry;
		*state = incarnation->state;
		return true;
	}
	return false;
}

const struct jt_zone_drain *
jt_director_zone_drain_at(const struct jt_director *director, size_t index,
			  uint64_t *since_ms)
{
	for (size_t i = 0; i < director->zone_drains.count; i++) {
		const struct jt_zone_state *state =
			&director->zone_drains.zones[i];

		if (!state->drain.draining || index-- > 0)
			continue;
		*since_ms = state->since_ms;
		return &state->drain;
	}
	return NULL;
}

const char *jt_director_reason_name(enum jt_director_reason reason)
{
	static const char *const names[] = {
		[JT_DIRECTOR_PLACED] = "placed",
		[JT_DIRECTOR_PLACED_AGAIN] = "placed_again",
		[JT_DIRECTOR_LABELLED] = "labelled",
		[JT_DIRECTOR_REMEMBERED] = "remembered",
		[JT_DIRECTOR_NO_ROUTE] = "no_route",
		[JT_DIRECTOR_NO_ENDPOINT] = "no_endpoint",
		[JT_DIRECTOR_ENDPOINT_DEAD] = "endpoint_dead",
		[JT_DIRECTOR_UNKNOWN_LABEL] = "unknown_label",
		[JT_DIRECTOR_NO_LABEL] = "no_label",
		[JT_DIRECTOR_FORGED] = "forged",
		[JT_DIRECTOR_NO_CAPACITY] = "no_capacity",
		[JT_DIRECTOR_NOT_STARTED] = "not_started",
		[JT_DIRECTOR_NO_ZONE] = "no_zone",
		[JT_DIRECTOR_COLD] = "cold",
		[JT_DIRECTOR_INITIAL_SYNC] = "learning",
		[JT_DIRECTOR_DEATH_UNCONFIRMED] = "death_unproven",
		[JT_DIRECTOR_OVERLOADED] = "overloaded",
		[JT_DIRECTOR_FLOW_LOOKUP_PENDING] = "peers_asked",
		[JT_DIRECTOR_ROUTE_CHANGED] = "route_changed",
	};

	return names[reason];
}

const char *jt_incarnation_state_name(enum jt_incarnation_state state)
{
	static const char *const names[] = {
		[JT_INCARNATION_READY] = "ready",
		[JT_INCARNATION_DRAINING] = "draining",
		[JT_INCARNATION_EXPIRED] = "lapsed",
		[JT_INCARNATION_DEAD] = "dead",
	};

	return names[state];
}

const char *jt_death_cause_name(enum jt_death_cause cause)
{
	static const char *const names[] = {
		[JT_DEATH_NONE] = "none",
		[JT_DEATH_REFUSED] = "refused",
		[JT_DEATH_SILENT] = "silent",
		[JT_DEATH_REPLACED] = "replaced",
	};

	return names[cause];
}
