/*
 * Placement: admission control of a group's new flow, and selection of its
 * endpoint.
 */
#include "jt_core_private.h"
#include "jt_share.h"

enum {
	/* The default endpoint is preferred unless its utilisation exceeds the
	 * lowest one by more than this, in thousandths of the capacity. */
	KEEP_DEFAULT_PERMILLE = 10,
	COLD_START_PERMILLE = 100, /* initial part of the capacity */
	SHARE_LIMIT = 256,	   /* groups of a service */
};

/* Admission */

static uint64_t service_capacity(const struct jt_core *core,
				 uint32_t service_id)
{
	uint64_t capacity = 0;

	for (size_t i = 0; i < core->current->endpoint_count; i++) {
		const struct jt_cell_endpoint *endpoint =
			&core->current->endpoints[i];

		if (endpoint->service_id == service_id &&
		    endpoint->state <= JT_ENDPOINT_DRAINING)
			capacity += endpoint->capacity;
	}
	return capacity;
}

static bool group_admitted(struct jt_core *core,
			   const struct jt_address_config *address)
{
	const struct jt_config *config = core->current->config;
	uint32_t service_id = jt_service_id(core, address);
	struct jt_share_usage uses[SHARE_LIMIT];
	size_t count = 0, index = SIZE_MAX;

	if (core->options.injected_faults & JT_FAULT_NO_ADMISSION)
		return true;
	for (size_t i = 0; i < config->share_count; i++) {
		const struct jt_share_config *share = &config->shares[i];

		if (share->service != address->service || count == SHARE_LIMIT)
			continue;
		if (share->group == address->group)
			index = count;
		uses[count].weight = share->weight;
		uses[count++].open = jt_counts_share(
			core, service_id, config->groups[share->group].id);
	}
	if (index == SIZE_MAX)
		return false;
	return jt_share_admit(uses, count, index,
			      service_capacity(core, service_id),
			      core->options.reserve_permille);
}

/* Endpoint selection */

uint64_t jt_place_slow_start_permille(const struct jt_core *core,
				      uint32_t endpoint_id)
{
	uint64_t age, span = core->options.cold_start_ms;

	for (size_t i = 0; i < core->endpoint_count; i++) {
		const struct jt_endpoint_view *view = &core->endpoints[i];

		if (view->id != endpoint_id)
			continue;
		if (view->flags & JT_REPORT_COLD)
			return 2 * COLD_START_PERMILLE;
		if (view->up_since_ms == 0)
			return 1000;
		age = core->now_ms - view->up_since_ms;
		if (age >= span)
			return 1000;
		return COLD_START_PERMILLE +
		       (1000 - COLD_START_PERMILLE) * age / span;
	}
	return 1000;
}

struct candidate {
	uint32_t id;
	uint32_t open;
	uint64_t capacity; /* in thousandths of a flow, limited by slow start */
};

/* Returns true if the endpoint has capacity for another flow. */
static bool candidate_init(const struct jt_core *core,
			   const struct jt_cell_endpoint *endpoint,
			   struct candidate *candidate)
{
	candidate->id = endpoint->id;
	candidate->open = jt_counts_endpoint(core, endpoint->id);
	candidate->capacity = (uint64_t)endpoint->capacity *
			      jt_place_slow_start_permille(core, endpoint->id);
	/* At least one flow is allowed, so that a cold endpoint can warm up. */
	if (candidate->capacity < 1000)
		candidate->capacity = 1000;
	if (core->options.injected_faults & JT_FAULT_NO_ADMISSION)
		return true;
	return (uint64_t)(candidate->open + 1) * 1000 <= candidate->capacity;
}

bool jt_place_has_capacity(const struct jt_core *core, uint32_t endpoint_id)
{
	uint16_t e = jt_cell_endpoint(core->current, endpoint_id);
	struct candidate candidate;

	return e != JT_NO_ENDPOINT &&
	       candidate_init(core, &core->current->endpoints[e], &candidate);
}

/* Returns true if @a would have the lower utilisation with one more flow. */
static bool less_loaded(const struct candidate *a, const struct candidate *b)
{
	return (a->open + 1) * b->capacity < (b->open + 1) * a->capacity;
}

/* Finds the endpoint of the service with the lowest utilisation among those in
 * state @worst or better. Returns false if none has capacity. */
static bool least_loaded(struct jt_core *core, uint32_t service_id,
			 enum jt_endpoint_state worst, struct candidate *best)
{
	bool found = false;

	for (size_t i = 0; i < core->current->endpoint_count; i++) {
		const struct jt_cell_endpoint *endpoint =
			&core->current->endpoints[i];
		struct candidate candidate;

		if (endpoint->service_id != service_id ||
		    endpoint->state > worst ||
		    jt_endpoint_view(core, endpoint->id)->undesired ||
		    !candidate_init(core, endpoint, &candidate))
			continue;
		if (!found || less_loaded(&candidate, best))
			*best = candidate;
		found = true;
	}
	return found;
}

enum jt_endpoint_state jt_place_worst_state(const struct jt_core *core,
					    uint32_t endpoint_id)
{
	const struct jt_cell_state *states[3];
	size_t count = jt_live_states(core, states);
	enum jt_endpoint_state worst = JT_ENDPOINT_UP;

	for (size_t i = 0; i < count; i++) {
		uint16_t e = jt_cell_endpoint(states[i], endpoint_id);

		if (e == JT_NO_ENDPOINT)
			return JT_ENDPOINT_QUARANTINED;
		if (states[i]->endpoints[e].state > worst)
			worst = states[i]->endpoints[e].state;
	}
	return worst;
}

static bool same_default_everywhere(const struct jt_core *core,
				    uint32_t service_id, uint16_t bucket,
				    uint32_t endpoint_id)
{
	const struct jt_cell_state *states[3];
	size_t count = jt_live_states(core, states);

	for (size_t i = 0; i < count; i++) {
		const struct jt_table *table =
			jt_cell_table(states[i], service_id);

		if (table == NULL || table->defaults[bucket] != endpoint_id)
			return false;
	}
	return true;
}

void jt_place_record_draining(struct jt_core *core,
			      const struct jt_cell_state *state)
{
	for (size_t e = 0; e < state->endpoint_count; e++) {
		struct jt_endpoint_view *view =
			jt_endpoint_view(core, state->endpoints[e].id);

		if (state->endpoints[e].state < JT_ENDPOINT_DRAINING &&
		    !view->undesired)
			view->draining_since_ms = 0;
		else if (view->draining_since_ms == 0)
			view->draining_since_ms = core->now_ms;
	}
}

void jt_place_mark_undesired(struct jt_core *core)
{
	for (size_t i = 0; i < core->endpoint_count; i++) {
		struct jt_endpoint_view *view = &core->endpoints[i];
		bool wanted = false;

		for (size_t e = 0; e < core->newest->endpoint_count; e++) {
			if (core->newest->endpoints[e].id == view->id)
				wanted = !core->newest->endpoints[e].draining;
		}
		view->undesired = !wanted;
		if (view->undesired && view->draining_since_ms == 0)
			view->draining_since_ms = core->now_ms;
	}
}

/* Selects the default endpoint, the only one allowed while the bucket is not
 * exceptional in all live states. */
static bool choose_default(struct jt_core *core, uint32_t service_id,
			   uint16_t bucket, uint32_t *endpoint_id,
			   enum jt_reason *reason)
{
	const struct jt_table *table = jt_cell_table(core->current, service_id);
	uint32_t id = table->defaults[bucket];
	uint64_t since = jt_endpoint_view(core, id)->draining_since_ms;
	enum jt_endpoint_state state;
	struct candidate candidate;

	*reason = JT_REASON_OWNERSHIP_CHANGE;
	if (id == 0 || !same_default_everywhere(core, service_id, bucket, id))
		return false;
	state = jt_place_worst_state(core, id);
	if (state >= JT_ENDPOINT_DOWN ||
	    ((state == JT_ENDPOINT_DRAINING ||
	      jt_endpoint_view(core, id)->undesired) &&
	     core->now_ms > since + JT_DRAIN_LIMIT_MS))
		return false;
	*reason = JT_REASON_NO_CAPACITY;
	if (!candidate_init(core,
			    &core->current->endpoints[jt_cell_endpoint(
				    core->current, id)],
			    &candidate))
		return false;
	*endpoint_id = id;
	return true;
}

static bool replica_lost(const struct jt_core *core, uint32_t service_id,
			 uint16_t bucket)
{
	const struct jt_table *table = jt_cell_table(core->current, service_id);
	uint16_t replica = table->replica[bucket];

	return replica != JT_NO_MEMBER &&
	       jt_peer_is_suspect(core, core->current->members[replica].id);
}

/* Selects the least loaded endpoint, with preference for the default one. */
static bool choose_by_load(struct jt_core *core, uint32_t service_id,
			   uint16_t bucket, uint32_t *endpoint_id,
			   enum jt_reason *reason)
{
	const struct jt_table *table = jt_cell_table(core->current, service_id);
	const struct jt_bucket_mark *mark =
		jt_owner_bucket_marks(core, service_id);
	uint16_t index = table->default_index[bucket];
	const struct jt_cell_endpoint *default_endpoint;
	struct candidate best, candidate;
	uint64_t taken_over_ms = mark->taken_over_ms[bucket];

	*reason = JT_REASON_NO_CAPACITY;
	if (!least_loaded(core, service_id, JT_ENDPOINT_UP, &best) &&
	    !least_loaded(core, service_id, JT_ENDPOINT_SHEDDING, &best))
		return false;
	*endpoint_id = best.id;
	if (index == JT_NO_ENDPOINT)
		return true;
	default_endpoint = &core->current->endpoints[index];
	if (default_endpoint->state != JT_ENDPOINT_UP ||
	    jt_endpoint_view(core, default_endpoint->id)->undesired ||
	    !candidate_init(core, default_endpoint, &candidate))
		return true;
	/* A crashed owner may already have placed this flow on the default
	 * endpoint. While the replica is unreachable, records can't be
	 * replicated, and the default endpoint needs none. */
	if ((taken_over_ms != 0 &&
	     core->now_ms < taken_over_ms + JT_TAKEOVER_DEFAULTS_MS) ||
	    replica_lost(core, service_id, bucket)) {
		*endpoint_id = default_endpoint->id;
		return true;
	}
	if (!less_loaded(&best, &candidate) ||
	    (candidate.open * best.capacity <=
	     best.open * candidate.capacity +
		     best.capacity * candidate.capacity / 1000 *
			     KEEP_DEFAULT_PERMILLE / 1000))
		*endpoint_id = default_endpoint->id;
	return true;
}

bool jt_place_select_endpoint(struct jt_core *core,
			      const struct jt_address_config *address,
			      uint16_t bucket, uint32_t *endpoint_id,
			      enum jt_reason *reason)
{
	uint32_t service_id = jt_service_id(core, address);
	const struct jt_bucket_mark *mark =
		jt_owner_bucket_marks(core, service_id);

	if (!group_admitted(core, address)) {
		*reason = JT_REASON_OVER_SHARE;
		return false;
	}
	if (jt_bit_get(mark->declared_clean, bucket) ||
	    !jt_bucket_exceptional_all(core, service_id, bucket))
		return choose_default(core, service_id, bucket, endpoint_id,
				      reason);
	return choose_by_load(core, service_id, bucket, endpoint_id, reason);
}
