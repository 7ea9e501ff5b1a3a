#include "jt_choose.h"
#include "jt_choose_pool.h"
#include "jt_choose_share.h"
#include "jt_detector.h"
#include "jt_feature.h"
#include "jt_outlier.h"
#include "jt_routing.h"
#include "jt_target.h"
#include "jt_zone_choice.h"

#include <string.h>

enum {
	/* A remote endpoint's load is multiplied by this, in thousandths,
	 * before it is compared with a local one's. */
	REMOTE_LOAD_PERMILLE = 1500,
};

struct jt_chooser *jt_chooser_create(TALLOC_CTX *mem_ctx,
				     const struct jt_director_options *opts,
				     struct jt_peer_loads *peer_loads,
				     const struct jt_zone_drains *zone_drains)
{
	struct jt_chooser *chooser = talloc_zero(mem_ctx, struct jt_chooser);

	if (chooser == NULL)
		return NULL;
	chooser->splits = jt_splits_create(chooser);
	chooser->rate = jt_flow_rate_create(chooser, opts);
	if (chooser->splits == NULL || chooser->rate == NULL) {
		talloc_free(chooser);
		return NULL;
	}
	chooser->peer_loads = peer_loads;
	chooser->zone_drains = zone_drains;
	chooser->nodes = 1;
	chooser->zone_id = opts->zone_id;
	chooser->expired_grace_ms = opts->expired_grace_ms;
	chooser->outage_grace_ms = opts->outage_grace_ms;
	chooser->random.seed = opts->seed;
	chooser->injected_faults = opts->injected_faults;
	chooser->disabled_features = opts->disabled_features;
	return chooser;
}

double jt_chooser_flows(const struct jt_chooser *chooser,
			const struct jt_incarnation *incarnation,
			uint64_t now_ms)
{
	double mean = jt_peer_loads_mean(chooser->peer_loads,
					 incarnation->label, now_ms);

	return incarnation->flows + mean * (double)(chooser->nodes - 1);
}

/* Returns true if a ready incarnation has reached its service's connection
 * limit, by the estimated flows of all nodes. A limit of 0 means no limit. */
static bool incarnation_at_limit(const struct jt_chooser *chooser,
				 const struct jt_incarnation *in,
				 const struct jt_routed_service *service,
				 uint64_t now_ms)
{
	uint32_t connection_limit = service->connection_limit;

	return connection_limit > 0 && in->state == JT_INCARNATION_READY &&
	       jt_feature_enabled(chooser->disabled_features,
				  JT_FEATURE_CONNECTION_LIMIT) &&
	       jt_chooser_flows(chooser, in, now_ms) >= connection_limit;
}

/* Eligibility of an incarnation for a new flow, best first. */
enum eligibility { ELIGIBLE, SUSPECTED, AT_CAPACITY, LAST_RESORT, INELIGIBLE };

/* Returns SUSPECTED if local evidence or a peer's death report speaks against
 * the incarnation, ELIGIBLE otherwise. */
static enum eligibility suspected_or_eligible(const struct jt_incarnation *in,
					      uint64_t now_ms)
{
	if (in->suspected_ms != 0 || now_ms < in->avoid_until_ms ||
	    jt_detector_peer_reported_dead(in, now_ms))
		return SUSPECTED;
	return ELIGIBLE;
}

/* Eligibility of an incarnation whose discovery entry has expired. Entries
 * that expired during an outage of the store are usually renewed soon after
 * it, and an endpoint that still answers stays eligible. Otherwise the
 * endpoint has probably crashed or is shutting down. */
static enum eligibility expired_eligibility(const struct jt_chooser *chooser,
					    const struct jt_incarnation *in,
					    uint64_t now_ms)
{
	uint32_t grace_ms = in->expired_in_outage ? chooser->outage_grace_ms
						  : chooser->expired_grace_ms;

	if (in->entry.draining || in->entry.unreadable ||
	    now_ms - in->state_ms >= grace_ms)
		return INELIGIBLE;
	if (!jt_incarnation_alive_after_outage(in, now_ms))
		return LAST_RESORT;
	return suspected_or_eligible(in, now_ms);
}

/* Returns true during the initial synchronisation, when only some endpoints
 * may be known and their new flows are limited by their capacity. */
static bool initial_sync_active(const struct jt_chooser *chooser,
				uint64_t now_ms)
{
	return now_ms < chooser->initial_sync_until_ms &&
	       jt_feature_enabled(chooser->disabled_features,
				  JT_FEATURE_STAGGERED_INITIAL_SYNC);
}

void jt_chooser_stagger_start(const struct jt_chooser *chooser,
			      struct jt_incarnation *incarnation,
			      uint64_t now_ms)
{
	if (initial_sync_active(chooser, now_ms))
		jt_flow_rate_stagger(chooser->rate, incarnation,
				     jt_flow_rate_initial_sync(incarnation),
				     now_ms);
}

/* Returns the limit of new flows per second to the incarnation from all
 * nodes. */
static uint32_t incarnation_rate(const struct jt_chooser *chooser,
				 const struct jt_incarnation *in,
				 const struct jt_routed_service *service,
				 uint64_t now_ms)
{
	uint32_t per_s = JT_FLOW_RATE_UNLIMITED, sync_limit;

	if (!(chooser->injected_faults & JT_DIRECTOR_FAULT_COLD))
		per_s = jt_flow_rate_cold(chooser->rate, in,
					  service->cold_permille, now_ms);
	if (!initial_sync_active(chooser, now_ms))
		return per_s;
	sync_limit = jt_flow_rate_initial_sync(in);
	return sync_limit < per_s ? sync_limit : per_s;
}

/* Returns true if this node must not assign a new flow to the incarnation
 * yet. */
static bool rate_exceeded(const struct jt_chooser *chooser,
			  const struct jt_incarnation *in,
			  const struct jt_routed_service *service,
			  uint64_t now_ms)
{
	return !jt_flow_rate_allows(
		chooser->rate, in,
		incarnation_rate(chooser, in, service, now_ms), now_ms);
}

static enum eligibility incarnation_eligibility(
	const struct jt_chooser *chooser, const struct jt_incarnation *in,
	const struct jt_routed_service *service, uint64_t now_ms)
{
	if (!jt_incarnation_owns_label(in) ||
	    jt_choose_zone_drained(chooser, in) ||
	    rate_exceeded(chooser, in, service, now_ms))
		return INELIGIBLE;
	if (incarnation_at_limit(chooser, in, service, now_ms))
		return now_ms < in->avoid_until_ms ||
				       in->flows >= service->connection_limit
			       ? INELIGIBLE
			       : AT_CAPACITY;
	switch (in->state) {
	case JT_INCARNATION_READY:
		return suspected_or_eligible(in, now_ms);
	case JT_INCARNATION_EXPIRED:
		return expired_eligibility(chooser, in, now_ms);
	case JT_INCARNATION_DRAINING:
		if (chooser->injected_faults & JT_DIRECTOR_FAULT_DRAINING)
			return ELIGIBLE;
		return INELIGIBLE;
	default:
		return INELIGIBLE;
	}
}

static bool in_own_zone(const struct jt_chooser *chooser,
			const struct jt_incarnation *in)
{
	return in->entry.zone_id == chooser->zone_id ||
	       !jt_feature_enabled(chooser->disabled_features,
				   JT_FEATURE_PREFER_ZONE);
}

/* Summary of the ready incarnations among the candidates of a choice. */
struct pool_view {
	struct jt_target local, remote; /* own zone, and all other zones */
	/* An incarnation with a reduced traffic share that gets this flow as a
	 * trial; NULL: none. */
	struct jt_incarnation *trial;
};

static struct jt_target target_of(const struct jt_chooser *chooser)
{
	return (struct jt_target){
		.peer_loads = chooser->peer_loads,
		.nodes = chooser->nodes,
		.disabled_features = chooser->disabled_features,
	};
}

/* Incarnations over which the load is distributed. */
struct target_endpoints {
	struct jt_incarnation *items[JT_TARGET_SAMPLE_MAX];
	size_t count;
};

static void target_endpoints_add(struct target_endpoints *endpoints,
				 struct jt_incarnation *in)
{
	if (endpoints->count < JT_TARGET_SAMPLE_MAX)
		endpoints->items[endpoints->count++] = in;
}

static struct jt_target target_compute(const struct jt_chooser *chooser,
				       const struct target_endpoints *endpoints,
				       uint64_t now_ms)
{
	struct jt_target target = target_of(chooser);

	jt_target_compute(&target, endpoints->items, endpoints->count, now_ms);
	return target;
}

void jt_chooser_answered(struct jt_chooser *chooser,
			 const struct jt_route *route,
			 struct jt_incarnation *incarnation,
			 const struct jt_response *response, uint64_t now_ms)
{
	struct jt_split *split =
		route != NULL ? jt_splits_find(chooser->splits, route) : NULL;
	struct jt_target target = target_of(chooser);
	struct jt_usual_response_time *usual = NULL;

	if (split != NULL)
		usual = jt_split_response_time(split,
					       incarnation->entry.service_id);
	if (usual != NULL)
		jt_target_answered(&target, usual, incarnation, response,
				   now_ms);
}

/* Returns true with the given probability. */
static bool random_chance(struct jt_chooser *chooser, double probability)
{
	return (double)(jt_random_next(&chooser->random) % 1000) <
	       1000 * probability;
}

/* Returns true if an incarnation drawn for a trial should get it: the
 * probability is lower for a slow one, whose share of the load is smaller. */
static bool trial_allowed(struct jt_chooser *chooser,
			  const struct jt_target *target,
			  const struct jt_incarnation *in, uint64_t now_ms)
{
	return random_chance(chooser,
			     jt_target_relative_load(target, in, now_ms));
}

static struct pool_view pool_view_collect(struct jt_chooser *chooser,
					  struct jt_incarnation_set candidates,
					  uint64_t now_ms)
{
	struct pool_view view = {0};
	struct jt_incarnation *trial_candidates[JT_COMPARE_MAX];
	struct target_endpoints local = {.count = 0}, remote = {.count = 0};
	size_t trial_count = 0, reduced = 0;

	for (size_t i = 0; i < candidates.count; i++) {
		struct jt_incarnation *in = candidates.items[i];
		bool is_local = in_own_zone(chooser, in);

		if (in->state != JT_INCARNATION_READY ||
		    jt_choose_zone_drained(chooser, in))
			continue;
		if (is_local && trial_count < JT_COMPARE_MAX)
			trial_candidates[trial_count++] = in;
		if (jt_choose_is_reduced(chooser, in, now_ms))
			reduced++;
		else
			target_endpoints_add(is_local ? &local : &remote, in);
	}
	view.local = target_compute(chooser, &local, now_ms);
	view.remote = target_compute(chooser, &remote, now_ms);
	if (reduced > 0 && trial_count > 0)
		view.trial = jt_choose_draw_trial(chooser, trial_candidates,
						  trial_count, now_ms);
	if (view.trial != NULL &&
	    !trial_allowed(chooser, &view.local, view.trial, now_ms))
		view.trial = NULL;
	return view;
}

struct candidate {
	struct jt_incarnation *incarnation;
	double load;
	uint32_t ties; /* candidates with the same lowest load */
};

/* Replaces the best candidate if @in has a lower load; chooses one of equal
 * candidates at random. */
static void candidate_consider(struct jt_chooser *chooser,
			       struct candidate *best,
			       struct jt_incarnation *in, double load)
{
	if (best->incarnation != NULL && load > best->load)
		return;
	if (best->incarnation == NULL || load < best->load) {
		*best = (struct candidate){in, load, 1};
		return;
	}
	best->ties++;
	if (jt_random_next(&chooser->random) % best->ties == 0)
		best->incarnation = in;
}

/* Returns true if the flow should go to the best remote candidate. */
static bool prefer_remote(struct jt_chooser *chooser,
			  const struct pool_view *view,
			  const struct candidate *local,
			  const struct candidate *remote)
{
	if (!view->local.measured ||
	    !jt_feature_enabled(chooser->disabled_features,
				JT_FEATURE_ZONE_HEADROOM))
		return remote->load * REMOTE_LOAD_PERMILLE / 1000 < local->load;
	return random_chance(
		chooser, jt_zone_remote_fraction(&view->local, &view->remote));
}

static struct jt_incarnation *
best_candidate(struct jt_chooser *chooser, struct jt_incarnation_set candidates,
	       const struct jt_routed_service *service, enum eligibility worst,
	       uint64_t now_ms)
{
	struct candidate local = {0}, remote = {0};
	enum eligibility best_rank = worst;
	struct pool_view view = pool_view_collect(chooser, candidates, now_ms);

	for (size_t i = 0; i < candidates.count; i++) {
		struct jt_incarnation *in = candidates.items[i];
		enum eligibility rank =
			incarnation_eligibility(chooser, in, service, now_ms);
		double load;

		if (rank == ELIGIBLE && in == view.trial)
			return in;
		if (rank == ELIGIBLE &&
		    jt_choose_is_reduced(chooser, in, now_ms))
			rank = SUSPECTED;
		if (rank > best_rank)
			continue;
		if (rank < best_rank) {
			memset(&local, 0, sizeof(local));
			memset(&remote, 0, sizeof(remote));
			best_rank = rank;
		}
		load = jt_target_load_ratio(in_own_zone(chooser, in)
						    ? &view.local
						    : &view.remote,
					    in, now_ms) *
		       JT_FULL_SHARE_PERMILLE /
		       jt_choose_share_permille(chooser, in, now_ms);
		candidate_consider(chooser,
				   in_own_zone(chooser, in) ? &local : &remote,
				   in, load);
	}
	if (local.incarnation == NULL)
		return remote.incarnation;
	if (remote.incarnation == NULL)
		return local.incarnation;
	return prefer_remote(chooser, &view, &local, &remote)
		       ? remote.incarnation
		       : local.incarnation;
}

/* Returns an endpoint whose eligibility is @worst or better. Searches a random
 * sample first, then the whole pool if the sample has no ELIGIBLE one. */
static struct jt_incarnation *
pool_choose(struct jt_chooser *chooser, const struct jt_service_pool *pool,
	    const struct jt_routed_service *service, enum eligibility worst,
	    uint64_t now_ms)
{
	struct jt_incarnation *buffer[JT_CHOOSE_SAMPLE_MAX];
	struct jt_incarnation_set sample =
		jt_choose_pool_sample(chooser, pool, buffer);
	struct jt_incarnation *chosen =
		best_candidate(chooser, sample, service, ELIGIBLE, now_ms);

	if (chosen != NULL ||
	    (worst == ELIGIBLE && sample.count == pool->count))
		return chosen;
	return best_candidate(chooser, jt_choose_pool_all(pool), service, worst,
			      now_ms);
}

/* Returns the limits of the service; no limits if the routing has none for
 * it. */
static const struct jt_routed_service *
service_limits(const struct jt_routing *routing, uint32_t service_id)
{
	static const struct jt_routed_service no_limits;
	const struct jt_routed_service *service =
		jt_routing_service(routing, service_id);

	return service != NULL ? service : &no_limits;
}

/* Returns an endpoint, with eligibility @worst or better, of the first part in
 * order of weight that has one. */
static struct jt_incarnation *
parts_choose(struct jt_chooser *chooser, const struct jt_endpoint_table *table,
	     const struct jt_routing *routing, struct jt_split *split,
	     enum eligibility worst, uint64_t now_ms)
{
	unsigned tried = 0;
	int part;

	while ((part = jt_split_next(split, tried)) >= 0) {
		uint32_t service_id = split->route.parts[part].service_id;
		const struct jt_routed_service *service =
			service_limits(routing, service_id);
		struct jt_service_pool *pool =
			jt_endpoint_table_pool(table, service_id);
		struct jt_incarnation *chosen = NULL;

		if (pool != NULL)
			chosen = pool_choose(chooser, pool, service, worst,
					     now_ms);
		if (chosen != NULL) {
			jt_split_assign(split, (size_t)part);
			jt_flow_rate_consume(chooser->rate, chosen,
					     incarnation_rate(chooser, chosen,
							      service, now_ms),
					     now_ms);
			return chosen;
		}
		tried |= 1u << part;
	}
	return NULL;
}

/* Returns why the incarnation is not eligible for a new flow. */
static enum jt_director_reason
incarnation_refusal(const struct jt_chooser *chooser,
		    const struct jt_incarnation *in,
		    const struct jt_routed_service *service, uint64_t now_ms)
{
	if (jt_choose_zone_drained(chooser, in))
		return in->state == JT_INCARNATION_READY
			       ? JT_DIRECTOR_NO_ZONE
			       : JT_DIRECTOR_NO_ENDPOINT;
	if (incarnation_at_limit(chooser, in, service, now_ms))
		return JT_DIRECTOR_NO_CAPACITY;
	if (in->state == JT_INCARNATION_READY &&
	    rate_exceeded(chooser, in, service, now_ms))
		return JT_DIRECTOR_COLD;
	return JT_DIRECTOR_NO_ENDPOINT;
}

/* Returns why no endpoint of the route is eligible. A reached connection limit
 * takes precedence over a cold endpoint or a drained zone. */
static enum jt_director_reason
route_refusal(const struct jt_chooser *chooser,
	      const struct jt_endpoint_table *table,
	      const struct jt_routing *routing, const struct jt_route *route,
	      uint64_t now_ms)
{
	enum jt_director_reason refusal = JT_DIRECTOR_NO_ENDPOINT, reason;

	for (size_t i = 0; i < route->part_count; i++) {
		uint32_t service_id = route->parts[i].service_id;
		const struct jt_routed_service *service =
			service_limits(routing, service_id);
		const struct jt_service_pool *pool =
			jt_endpoint_table_pool(table, service_id);
		size_t member_count = pool != NULL ? pool->count : 0;

		for (size_t k = 0; k < member_count; k++) {
			reason = incarnation_refusal(chooser, pool->members[k],
						     service, now_ms);
			if (reason == JT_DIRECTOR_NO_CAPACITY)
				return reason;
			if (reason != JT_DIRECTOR_NO_ENDPOINT)
				refusal = reason;
		}
	}
	return refusal;
}

struct jt_incarnation *jt_chooser_choose(struct jt_chooser *chooser,
					 const struct jt_endpoint_table *table,
					 const struct jt_routing *routing,
					 const struct jt_route *route,
					 uint64_t now_ms,
					 enum jt_director_reason *refusal)
{
	struct jt_split *split = jt_splits_find(chooser->splits, route);
	struct jt_incarnation *chosen = NULL;
	int first_rank = jt_feature_enabled(chooser->disabled_features,
					    JT_FEATURE_SPLIT_FALLBACK)
				 ? ELIGIBLE
				 : LAST_RESORT;

	*refusal = JT_DIRECTOR_NO_ENDPOINT;
	if (split == NULL)
		return NULL;
	/* Prefers an eligible endpoint of any part to a less eligible one of
	 * the part furthest behind its weight. */
	for (int worst = first_rank; worst < INELIGIBLE && chosen == NULL;
	     worst++)
		chosen = parts_choose(chooser, table, routing, split,
				      (enum eligibility)worst, now_ms);
	if (chosen == NULL)
		*refusal =
			route_refusal(chooser, table, routing, route, now_ms);
	return chosen;
}
