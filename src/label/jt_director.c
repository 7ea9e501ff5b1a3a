#include "jt_director_admission.h"
#include "jt_director_responses.h"
#include "jt_director_expiry.h"
#include "jt_director_entry.h"
#include "jt_director_flow.h"
#include "jt_director_incarnation.h"
#include "jt_director_lookup.h"
#include "jt_director_packet.h"
#include "jt_director_suspicion.h"
#include "jt_director_zones.h"
#include "jt_feature.h"
#include "jt_outlier.h"

enum {
	DEFAULT_FLOW_LIMIT = 1 << 16,
	DEFAULT_ENDPOINT_LIMIT = 1 << 17,
	DEFAULT_FLOW_AGE_LIMIT_MS = 3600 * 1000,
	DEFAULT_EXPIRED_GRACE_MS = 2000,
	DEFAULT_OUTAGE_GRACE_MS = 2200,
	DEFAULT_STORE_OUTAGE_MS = 2500,
	DEFAULT_COLD_OVERSHOOT_PERMILLE = 1000,
	DEFAULT_ADMISSION_FLOOR_PERMILLE = 50,
	/* Upper bound of the initial synchronisation: live endpoints renew
	 * entries that expired in a store outage within about two seconds. */
	INITIAL_SYNC_MS = 2500,
	DEFAULT_PROBE_INTERVAL_MS = 500,
	DEFAULT_DEAD_PROBE_INTERVAL_MS = 1000,
	/* Safety factor and margin of the flow count estimated from this
	 * node's flows. */
	FLOWS_SAFETY_FACTOR = 4,
	FLOWS_MARGIN = 4,
};

void jt_director_options_init(struct jt_director_options *options)
{
	*options = (struct jt_director_options){
		.flow_limit = DEFAULT_FLOW_LIMIT,
		.endpoint_limit = DEFAULT_ENDPOINT_LIMIT,
		.flow_age_limit_ms = DEFAULT_FLOW_AGE_LIMIT_MS,
		.expired_grace_ms = DEFAULT_EXPIRED_GRACE_MS,
		.outage_grace_ms = DEFAULT_OUTAGE_GRACE_MS,
		.store_outage_ms = DEFAULT_STORE_OUTAGE_MS,
		.probe_pause_ms = DEFAULT_PROBE_INTERVAL_MS,
		.dead_probe_pause_ms = DEFAULT_DEAD_PROBE_INTERVAL_MS,
		.cold_overshoot_permille = DEFAULT_COLD_OVERSHOOT_PERMILLE,
		.admission_floor_permille = DEFAULT_ADMISSION_FLOOR_PERMILLE,
		.seed = 1,
	};
}

struct jt_director *jt_director_create(TALLOC_CTX *mem_ctx,
				       const struct jt_director_options *opts)
{
	struct jt_director *director = talloc_zero(mem_ctx, struct jt_director);

	if (director == NULL)
		return NULL;
	director->options = *opts;
	director->nodes = 1;
	director->random.seed = opts->seed;
	jt_detector_init(&director->detector, opts);
	director->endpoints =
		jt_endpoint_table_create(director, opts->endpoint_limit);
	director->flows = jt_flow_cache_create(director, opts->flow_limit);
	director->lookups = jt_flow_lookups_create(director);
	director->peer_loads = jt_peer_loads_create(director);
	director->chooser = jt_chooser_create(
		director, opts, director->peer_loads, &director->zone_drains);
	director->admission = jt_admission_create(director, opts);
	director->latency = jt_latency_create(director);
	director->response_profiles = jt_response_profiles_create(director);
	if (director->endpoints == NULL || director->flows == NULL ||
	    director->lookups == NULL || director->chooser == NULL ||
	    director->latency == NULL || director->peer_loads == NULL ||
	    director->admission == NULL || director->response_profiles == NULL)
		TALLOC_FREE(director);
	return director;
}

static void revision_advance(struct jt_director *director, uint64_t revision)
{
	if (revision > director->revision)
		director->revision = revision;
}

/* Marks the endpoints as known, except for those that arrive within
 * @initial_sync_ms: a node that reads its first full listing can't determine
 * whether a store outage has just ended. */
static void endpoints_mark_known(struct jt_director *director,
				 uint32_t initial_sync_ms, uint64_t now_ms)
{
	if (director->listed)
		return;
	director->listed = true;
	director->started_ms = now_ms;
	director->chooser->initial_sync_until_ms = now_ms + initial_sync_ms;
}

/* A starting node assigns new flows to the endpoints received so far. */
static void event_partial_state(struct jt_director *director, uint64_t now_ms)
{
	if (director->listed ||
	    !jt_feature_enabled(director->options.disabled_features,
				JT_FEATURE_PARTIAL_SYNC))
		return;
	director->partly_listed = true;
	director->chooser->initial_sync_until_ms = now_ms + INITIAL_SYNC_MS;
}

/* Adds a peer's listing gap to those of this node. */
static void peer_gap_add(struct jt_director *director,
			 struct jt_listing_gap gap)
{
	if (gap.from < director->revision)
		gap.from = director->revision;
	jt_listing_gaps_add(&director->gaps, gap);
}

/* Applies the end of a full state snapshot of a peer. */
static void event_peer_snapshot(struct jt_director *director,
				const struct jt_director_event *event)
{
	uint32_t initial_sync_ms = event->u.listed.initial_sync_ms;

	if (initial_sync_ms > INITIAL_SYNC_MS)
		initial_sync_ms = INITIAL_SYNC_MS;
	/* A starting node knows no more than the peer. */
	if (!director->listed)
		jt_listing_gaps_discard_before(
			&director->gaps, event->u.listed.incomplete_before);
	endpoints_mark_known(director, initial_sync_ms, event->now_ms);
	if (initial_sync_ms == 0)
		director->chooser->initial_sync_until_ms = 0;
	peer_gap_add(director, event->u.listed.gap);
	revision_advance(director, event->u.listed.revision);
}

static void event_listing_begin(struct jt_director *director)
{
	struct jt_incarnation *incarnation;

	jt_zone_drains_listing(&director->zone_drains);
	for (incarnation = jt_endpoint_table_first(director->endpoints);
	     incarnation != NULL;
	     incarnation = jt_endpoint_table_next(incarnation)) {
		incarnation->listed = false;
	}
}

/* Removes every endpoint that a full listing did not contain. */
static void event_listing_end(struct jt_director *director, uint64_t revision,
			      uint64_t now_ms,
			      struct jt_director_actions *actions)
{
	struct jt_incarnation *incarnation;

	endpoints_mark_known(director, INITIAL_SYNC_MS, now_ms);
	jt_listing_gaps_add(
		&director->gaps,
		(struct jt_listing_gap){director->revision, revision});
	revision_advance(director, revision);
	for (incarnation = jt_endpoint_table_first(director->endpoints);
	     incarnation != NULL;
	     incarnation = jt_endpoint_table_next(incarnation)) {
		if (!incarnation->listed)
			jt_director_entry_removed(director,
						  incarnation->entry.id,
						  revision, 0, now_ms, actions);
	}
	jt_director_zones_listed(director, revision, now_ms, actions);
}

/* Removes every endpoint in the received slices that the peer did not send. */
static void event_slices_received(struct jt_director *director,
				  const struct jt_director_event *event,
				  struct jt_director_actions *actions)
{
	for (uint32_t i = event->u.slices.first; i < event->u.slices.end; i++) {
		struct jt_incarnation *in =
			director->endpoints->slices[i].members;

		for (; in != NULL; in = in->slice_next) {
			if (in->entry.removed_revision == 0 &&
			    bsearch(&in->entry.id, event->u.slices.ids,
				    event->u.slices.count, sizeof(uint64_t),
				    jt_endpoint_id_compare) == NULL)
				jt_director_entry_removed(
					director, in->entry.id,
					event->u.slices.revision, 0,
					event->now_ms, actions);
		}
	}
}

/* Gossip updates are complete only for a node that knows all changes before
 * their start and has the routing, which updates don't contain. */
static void event_gossip_updates(struct jt_director *director,
				 const struct jt_director_event *event)
{
	if (!jt_director_started(director) ||
	    event->u.updates.since > director->revision ||
	    director->routing->version < event->u.updates.routing_version)
		return;
	peer_gap_add(director, event->u.updates.gap);
	revision_advance(director, event->u.updates.revision);
}

/* Returns the incarnation with this id and start time, or NULL: reports about
 * another incarnation of the endpoint don't apply. */
static struct jt_incarnation *
incarnation_find(const struct jt_director *director, uint64_t id,
		 uint64_t start_time_ms)
{
	struct jt_incarnation *found =
		jt_endpoint_table_by_id(director->endpoints, id);

	if (found != NULL && found->entry.start_time_ms != start_time_ms)
		return NULL;
	return found;
}

static void event_suspicion(struct jt_director *director, uint64_t id,
			    uint64_t start_time_ms, uint64_t now_ms,
			    struct jt_director_actions *actions)
{
	struct jt_incarnation *incarnation =
		incarnation_find(director, id, start_time_ms);

	if (incarnation == NULL || incarnation->state == JT_INCARNATION_DEAD ||
	    !jt_feature_enabled(director->options.disabled_features,
				JT_FEATURE_PEER_SUSPICION))
		return;
	jt_detector_peer_report(incarnation, now_ms);
	/* Without flows there, a confirmation by this node is not needed;
	 * skipping it saves one probe per node. */
	if (incarnation->flows > 0)
		jt_director_suspect(director, incarnation,
				    JT_EVIDENCE_UNACKNOWLEDGED, now_ms,
				    actions);
}

static void event_overdue_report(struct jt_director *director, uint64_t id,
				 uint64_t start_time_ms, uint64_t now_ms)
{
	struct jt_incarnation *incarnation =
		incarnation_find(director, id, start_time_ms);

	if (incarnation == NULL)
		return;
	jt_chooser_compare(director->chooser, incarnation->pool, now_ms);
	jt_outlier_peer_overdue(incarnation, now_ms);
	jt_endpoint_table_schedule(director->endpoints, incarnation);
}

/* Stores a peer's load report and merges its response time averages. */
static void event_loads(struct jt_director *director,
			const struct jt_director_event *event)
{
	jt_peer_loads_update(director->peer_loads, event->u.loads.peer,
			     event->u.loads.loads, event->u.loads.count,
			     event->now_ms);
	for (size_t i = 0; i < event->u.loads.count; i++) {
		const struct jt_endpoint_load *load = &event->u.loads.loads[i];
		struct jt_incarnation *incarnation =
			jt_endpoint_table_label_owner(director->endpoints,
						      load->label);

		if (incarnation != NULL)
			jt_response_ratio_merge(&incarnation->response_ratio,
						load->response_ratio,
						event->now_ms);
	}
}

static void detector_result_apply(struct jt_director *director,
				  struct jt_incarnation *incarnation,
				  enum jt_detector_result result,
				  enum jt_death_cause cause, uint64_t now_ms,
				  struct jt_director_actions *actions)
{
	switch (result) {
	case JT_DETECTOR_DEAD:
		jt_director_incarnation_declare_dead(director, incarnation,
						     cause, now_ms, actions);
		break;
	case JT_DETECTOR_STILL_DEAD:
		if (cause == JT_DEATH_REPLACED)
			incarnation->cause = cause;
		jt_director_flows_reset(director, incarnation, now_ms, actions);
		break;
	case JT_DETECTOR_ALIVE:
		jt_director_incarnation_revives(director, incarnation, now_ms,
						actions);
		break;
	case JT_DETECTOR_RETRY:
		if (incarnation->suspected_ms != 0)
			jt_director_probe(director, incarnation, now_ms,
					  actions);
		break;
	case JT_DETECTOR_IDENTIFY:
		director->counters.identifications++;
		jt_director_action_about(actions, JT_DIRECTOR_IDENTIFY, 0,
					 incarnation, now_ms);
		break;
	case JT_DETECTOR_NONE:
		break;
	}
}

/* Returns true if all nodes together are below the endpoint's connection limit,
 * estimated from this node's share of its flows. */
static bool below_connection_limit(const struct jt_director *director,
				   const struct jt_incarnation *incarnation,
				   uint64_t now_ms)
{
	const struct jt_routed_service *service = jt_routing_service(
		director->routing, incarnation->entry.service_id);
	uint64_t flows = incarnation->flows + FLOWS_MARGIN;

	/* Flows idle since before this node started are not known yet. */
	if (now_ms - director->started_ms < jt_director_flow_idle_ms(director))
		return false;
	if (service == NULL || service->connection_limit == 0)
		return true;
	return flows * director->nodes * FLOWS_SAFETY_FACTOR <
	       service->connection_limit;
}

static void event_probed(struct jt_director *director, uint64_t id,
			 uint64_t start_time_ms, enum jt_probe_outcome outcome,
			 uint64_t now_ms, struct jt_director_actions *actions)
{
	struct jt_incarnation *incarnation =
		incarnation_find(director, id, start_time_ms);
	enum jt_death_cause cause;
	enum jt_detector_result result;

	if (incarnation == NULL || !incarnation->probing)
		return;
	if (outcome == JT_PROBE_INCONCLUSIVE)
		director->counters.probes_inconclusive++;
	result = jt_detector_probed(
		&director->detector, incarnation, outcome,
		below_connection_limit(director, incarnation, now_ms), now_ms,
		&cause);
	detector_result_apply(director, incarnation, result, cause, now_ms,
			      actions);
}

static void event_identified(struct jt_director *director, uint64_t id,
			     uint64_t start_time_ms, uint64_t found,
			     uint64_t now_ms,
			     struct jt_director_actions *actions)
{
	struct jt_incarnation *incarnation =
		incarnation_find(director, id, start_time_ms);
	struct jt_incarnation *responder;
	enum jt_detector_result result;

	if (incarnation == NULL || !incarnation->probing)
		return;
	result = jt_detector_identified(&director->detector, incarnation, found,
					now_ms);
	detector_result_apply(director, incarnation, result, JT_DEATH_REPLACED,
			      now_ms, actions);
	responder = jt_endpoint_table_by_id(director->endpoints, found);
	if (responder != NULL && jt_address_same(responder->entry.address,
						 incarnation->entry.address))
		jt_director_address_confirm(director, responder, now_ms,
					    actions);
}

static void event_routing(struct jt_director *director,
			  const struct jt_routing *routing)
{
	const struct jt_routing *old = director->routing;

	if (old != NULL && routing->version <= old->version &&
	    !(director->options.injected_faults & JT_DIRECTOR_FAULT_VERSION)) {
		director->counters.routing_refused++;
		return;
	}
	director->routing = talloc_steal(director, routing);
	jt_splits_prune(director->chooser->splits, routing);
	jt_response_profiles_prune(director->response_profiles, routing);
	jt_admission_routing(director->admission, routing);
	talloc_free((void *)old);
}

void jt_director_handle(struct jt_director *director,
			struct jt_director_event *event,
			struct jt_director_actions *actions)
{
	uint64_t now_ms = event->now_ms;

	switch (event->kind) {
	case JT_DIRECTOR_PACKET:
		jt_director_packet(director, &event->u.packet, now_ms, actions);
		break;
	case JT_DIRECTOR_ROUTING:
		event_routing(director, event->u.routing);
		break;
	case JT_DIRECTOR_ENDPOINT:
		if (director->options.injected_faults &
		    JT_DIRECTOR_FAULT_START_TIME)
			event->u.endpoint.start_time_ms = 0;
		jt_director_entry(director, &event->u.endpoint, now_ms,
				  actions);
		break;
	case JT_DIRECTOR_ENTRY_REMOVED:
		jt_director_entry_removed(director, event->u.removed.id,
					  event->u.removed.revision, 0, now_ms,
					  actions);
		break;
	case JT_DIRECTOR_UNREADABLE:
		jt_director_entry_unreadable(director, event->u.removed.id,
					     event->u.removed.revision, 0,
					     now_ms, actions);
		break;
	case JT_DIRECTOR_LISTING:
		event_listing_begin(director);
		break;
	case JT_DIRECTOR_PARTIAL_STATE:
		event_partial_state(director, now_ms);
		break;
	case JT_DIRECTOR_LISTED:
		event_listing_end(director, event->u.listed.revision, now_ms,
				  actions);
		break;
	case JT_DIRECTOR_CAUGHT_UP:
		revision_advance(director, event->u.listed.revision);
		break;
	case JT_DIRECTOR_PEER_SNAPSHOT:
		event_peer_snapshot(director, event);
		break;
	case JT_DIRECTOR_SLICES_RECEIVED:
		event_slices_received(director, event, actions);
		break;
	case JT_DIRECTOR_GOSSIP_UPDATES:
		event_gossip_updates(director, event);
		break;
	case JT_DIRECTOR_SUSPICION:
		event_suspicion(director, event->u.suspicion.id,
				event->u.suspicion.start_time_ms, now_ms,
				actions);
		break;
	case JT_DIRECTOR_OVERDUE:
		event_overdue_report(director, event->u.suspicion.id,
				     event->u.suspicion.start_time_ms, now_ms);
		break;
	case JT_DIRECTOR_FAILURE_REPORT:
		jt_director_failures_received(director, event->u.failures.items,
					      event->u.failures.count, now_ms);
		break;
	case JT_DIRECTOR_PROBED:
		event_probed(director, event->u.probed.id,
			     event->u.probed.start_time_ms,
			     event->u.probed.outcome, now_ms, actions);
		break;
	case JT_DIRECTOR_IDENTIFIED:
		event_identified(director, event->u.identified.id,
				 event->u.identified.start_time_ms,
				 event->u.identified.found, now_ms, actions);
		break;
	case JT_DIRECTOR_LOADS:
		event_loads(director, event);
		break;
	case JT_DIRECTOR_ZONE_DRAINS:
		jt_director_zones(director, event, actions);
		break;
	case JT_DIRECTOR_FLOW_LOOKUP_RESPONSE:
		jt_director_flow_lookup_response(director, event);
		break;
	case JT_DIRECTOR_TICK:
		director->peer_count = event->u.tick.peer_count;
		director->nodes =
			event->u.tick.nodes > 0 ? event->u.tick.nodes : 1;
		director->chooser->nodes = director->nodes;
		jt_flow_rate_nodes(director->chooser->rate,
				   event->u.tick.node_id, event->u.tick.peers,
				   event->u.tick.peer_count, now_ms);
		if (event->u.tick.store_age_ms >=
		    director->options.store_outage_ms)
			director->store_unreachable_ms = now_ms;
		jt_director_flows_expire(director, now_ms);
		jt_director_openings_check(director, now_ms, actions);
		jt_director_requests_check(director, now_ms, actions);
		jt_director_responses_check(director, now_ms, actions);
		jt_director_endpoints_tick(director, now_ms, actions);
		jt_director_admission_tick(director, now_ms, actions);
		break;
	}
}
