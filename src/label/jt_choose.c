#include "jt_choose.h"
#include "jt_choose_pool.h"
#include "jt_choose_share.h"
#include "jt_detector.h"
#include "jt_mechanism.h"
#include "jt_outlier.h"
#include "jt_routing.h"
#include "jt_target.h"
#include "jt_zone_choice.h"

#include <string.h>

enum {
	/* Load of an endpoint of another zone must be this much lower, in
	 * thousandths of the load of one of the own zone. */
	REMOTE_PERMILLE = 1500,
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
	chooser->lapsed_grace_ms = opts->lapsed_grace_ms;
	chooser->returned_grace_ms = opts->returned_grace_ms;
	chooser->random.seed = opts->seed;
	chooser->break_mechanism = opts->break_mechanism;
	chooser->without = opts->without;
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

/* Whether a ready incarnation holds as many flows, by this node's count of all
 * nodes', as its service allows; a limit of 0 allows any number. */
static bool incarnation_full(const struct jt_chooser *chooser,
			     const struct jt_incarnation *in,
			     const struct jt_routed_service *service,
			     uint64_t now_ms)
{
	uint32_t connection_limit = service->connection_limit;

	return connection_limit > 0 && in->state == JT_INCARNATION_READY &&
	       jt_mechanism_on(chooser->without, JT_MECHANISM_REFUSE_FULL) &&
	       jt_chooser_flows(chooser, in, now_ms) >= connection_limit;
}

/* How willing an incarnation is to take a new flow; lower is better. */
enum willingness { WILLING, SUSPECTED, FULL, LAST_RESORT, UNWILLING };

/* Of one that may take new flows: whether something speaks against it. */
static enum willingness suspected_or_willing(const struct jt_incarnation *in,
					     uint64_t now_ms)
{
	if (in->suspected_ms != 0 || now_ms < in->avoid_until_ms ||
	    jt_detector_peer_found_dead(in, now_ms))
		return SUSPECTED;
	return WILLING;
}

/*
 * An entry that went while the store was away says little: live endpoints are
 * back soon after it, and one that answers is as good as before. Otherwise the
 * endpoint has crashed or is leaving.
 */
static enum willingness lapsed_willing(const struct jt_chooser *chooser,
				       const struct jt_incarnation *in,
				       uint64_t now_ms)
{
	uint32_t grace_ms = in->away_lapsed ? chooser->returned_grace_ms
					    : chooser->lapsed_grace_ms;

	if (in->entry.draining || in->entry.unreadable ||
	    now_ms - in->state_ms >= grace_ms)
		return UNWILLING;
	if (!jt_incarnation_outlives(in, now_ms))
		return LAST_RESORT;
	return suspected_or_willing(in, now_ms);
}

/* Whether entries may be missing, so that the few known endpoints share the
 * flows by what they bear. */
static bool is_learning(const struct jt_chooser *chooser, uint64_t now_ms)
{
	return now_ms < chooser->learning_until_ms &&
	       jt_mechanism_on(chooser->without, JT_MECHANISM_SPREAD_LEARNING);
}

void jt_chooser_spread(const struct jt_chooser *chooser,
		       struct jt_incarnation *newcomer, uint64_t now_ms)
{
	if (is_learning(chooser, now_ms))
		jt_flow_rate_spread(chooser->rate, newcomer,
				    jt_flow_rate_learning(newcomer), now_ms);
}

/* New flows a second that the incarnation may get from all nodes. */
static uint32_t incarnation_rate(const struct jt_chooser *chooser,
				 const struct jt_incarnation *in,
				 const struct jt_routed_service *service,
				 uint64_t now_ms)
{
	uint32_t per_s = JT_FLOW_RATE_ANY, learning;

	if (!(chooser->break_mechanism & JT_DIRECTOR_BREAK_COLD))
		per_s = jt_flow_rate_cold(chooser->rate, in,
					  service->cold_permille, now_ms);
	if (!is_learning(chooser, now_ms))
		return per_s;
	learning = jt_flow_rate_learning(in);
	return learning < per_s ? learning : per_s;
}

/* Whether this node has to leave the incarnation alone for now. */
static bool rate_exceeded(const struct jt_chooser *chooser,
			  const struct jt_incarnation *in,
			  const struct jt_routed_service *service,
			  uint64_t now_ms)
{
	return !jt_flow_rate_allows(
		chooser->rate, in,
		incarnation_rate(chooser, in, service, now_ms), now_ms);
}

static enum willingness
incarnation_willing(const struct jt_chooser *chooser,
		    const struct jt_incarnation *in,
		    const struct jt_routed_service *service, uint64_t now_ms)
{
	if (!jt_endpoint_table_has_label(in) || zone_drained(chooser, in) ||
	    rate_exceeded(chooser, in, service, now_ms))
		return UNWILLING;
	if (incarnation_full(chooser, in, service, now_ms))
		return now_ms < in->avoid_until_ms ||
				       in->flows >= service->connection_limit
			       ? UNWILLING
			       : FULL;
	switch (in->state) {
	case JT_INCARNATION_READY:
		return suspected_or_willing(in, now_ms);
	case JT_INCARNATION_LAPSED:
		return lapsed_willing(chooser, in, now_ms);
	case JT_INCARNATION_DRAINING:
		if (chooser->break_mechanism & JT_DIRECTOR_BREAK_DRAINING)
			return WILLING;
		return UNWILLING;
	default:
		return UNWILLING;
	}
}

static bool is_near(const struct jt_chooser *chooser,
		    const struct jt_incarnation *in)
{
	return in->entry.zone_id == chooser->zone_id ||
	       !jt_mechanism_on(chooser->without, JT_MECHANISM_ZONE_FIRST);
}

/* What a choice must know of the ready ones among some together. */
struct pool_view {
	struct jt_target near, far; /* of the own zone, and of all others */
	/* One that fails requests and is tried nevertheless, in proportion to
	 * its share; NULL: none. */
	struct jt_incarnation *tried;
};

static struct jt_target target_of(const struct jt_chooser *chooser)
{
	return (struct jt_target){
		.peer_loads = chooser->peer_loads,
		.nodes = chooser->nodes,
		.without = chooser->without,
	};
}

/* Some incarnations whose work should be spread over them. */
struct aimed_at {
	struct jt_incarnation *items[JT_TARGET_LOOK_MOST];
	size_t count;
};

static void aimed_add(struct aimed_at *aimed, struct jt_incarnation *in)
{
	if (aimed->count < JT_TARGET_LOOK_MOST)
		aimed->items[aimed->count++] = in;
}

static struct jt_target target_aim(const struct jt_chooser *chooser,
				   const struct aimed_at *aimed,
				   uint64_t now_ms)
{
	struct jt_target target = target_of(chooser);

	jt_target_aim(&target, aimed->items, aimed->count, now_ms);
	return target;
}

void jt_chooser_answered(struct jt_chooser *chooser,
			 const struct jt_route *route,
			 struct jt_incarnation *incarnation,
			 const struct jt_answer *answer, uint64_t now_ms)
{
	struct jt_split *split =
		route != NULL ? jt_splits_find(chooser->splits, route) : NULL;
	struct jt_target target = target_of(chooser);
	struct jt_usual *usual = NULL;

	if (split != NULL)
		usual = jt_split_usual(split, incarnation->entry.service_id);
	if (usual != NULL)
		jt_target_answered(&target, usual, incarnation, answer, now_ms);
}

/* True for so large a @part of the times that it is asked. */
static bool happens(struct jt_chooser *chooser, double part)
{
	return (double)(jt_random_next(&chooser->random) % 1000) < 1000 * part;
}

/* Whether one that was drawn to be tried is fast enough for that now: a slow
 * one is drawn as often as others, but should have less of the work. */
static bool is_wanted(struct jt_chooser *chooser,
		      const struct jt_target *target,
		      const struct jt_incarnation *in, uint64_t now_ms)
{
	return happens(chooser, jt_target_part(target, in, now_ms));
}

static struct pool_view pool_look(struct jt_chooser *chooser,
				  struct incarnations some, uint64_t now_ms)
{
	struct pool_view view = {0};
	struct jt_incarnation *tried_of[JT_COMPARE_MOST];
	struct aimed_at near = {.count = 0}, far = {.count = 0};
	size_t tried_count = 0, reduced = 0;

	for (size_t i = 0; i < some.count; i++) {
		struct jt_incarnation *in = some.items[i];
		bool is_local = is_near(chooser, in);

		if (in->state != JT_INCARNATION_READY ||
		    zone_drained(chooser, in))
			continue;
		if (is_local && tried_count < JT_COMPARE_MOST)
			tried_of[tried_count++] = in;
		if (jt_choose_is_reduced(chooser, in, now_ms))
			reduced++;
		else
			aimed_add(is_local ? &near : &far, in);
	}
	view.near = target_aim(chooser, &near, now_ms);
	view.far = target_aim(chooser, &far, now_ms);
	if (reduced > 0 && tried_count > 0)
		view.tried = jt_choose_draw_tried(chooser, tried_of,
						  tried_count, now_ms);
	if (view.tried != NULL &&
	    !is_wanted(chooser, &view.near, view.tried, now_ms))
		view.tried = NULL;
	return view;
}

struct candidate {
	struct jt_incarnation *incarnation;
	double load;
	uint32_t equals; /* candidates with the same load so far */
};

static void candidate_offer(struct jt_chooser *chooser, struct candidate *best,
			    struct jt_incarnation *in, double load)
{
	if (best->incarnation != NULL && load > best->load)
		return;
	if (best->incarnation == NULL || load < best->load) {
		*best = (struct candidate){in, load, 1};
		return;
	}
	best->equals++;
	if (jt_random_next(&chooser->random) % best->equals == 0)
		best->incarnation = in;
}

/* Whether a flow goes to the best one of other zones, not of the own. */
static bool goes_far(struct jt_chooser *chooser, const struct pool_view *view,
		     const struct candidate *local,
		     const struct candidate *remote)
{
	if (!view->near.measured ||
	    !jt_mechanism_on(chooser->without, JT_MECHANISM_ZONE_ROOM))
		return remote->load * REMOTE_PERMILLE / 1000 < local->load;
	return happens(chooser, jt_zone_spill(&view->near, &view->far));
}

static struct jt_incarnation *best_of(struct jt_chooser *chooser,
				      struct incarnations some,
				      const struct jt_routed_service *service,
				      enum willingness most, uint64_t now_ms)
{
	struct candidate local = {0}, remote = {0};
	enum willingness lowest = most;
	struct pool_view view = pool_look(chooser, some, now_ms);

	for (size_t i = 0; i < some.count; i++) {
		struct jt_incarnation *in = some.items[i];
		enum willingness willing =
			incarnation_willing(chooser, in, service, now_ms);
		double load;

		if (willing == WILLING && in == view.tried)
			return in;
		if (willing == WILLING &&
		    jt_choose_is_reduced(chooser, in, now_ms))
			willing = SUSPECTED;
		if (willing > lowest)
			continue;
		if (willing < lowest) {
			memset(&local, 0, sizeof(local));
			memset(&remote, 0, sizeof(remote));
			lowest = willing;
		}
		load = jt_target_load(is_near(chooser, in) ? &view.near
							   : &view.far,
				      in, now_ms) *
		       JT_FULL_SHARE_PERMILLE /
		       jt_choose_share_permille(chooser, in, now_ms);
		candidate_offer(chooser,
				is_near(chooser, in) ? &local : &remote, in,
				load);
	}
	if (local.incarnation == NULL)
		return remote.incarnation;
	if (remote.incarnation == NULL)
		return local.incarnation;
	return goes_far(chooser, &view, &local, &remote) ? remote.incarnation
							 : local.incarnation;
}

/* An endpoint that is as willing as @most: of a sample, or of all where that
 * has none that is willing without reserve. */
static struct jt_incarnation *
pool_choose(struct jt_chooser *chooser, const struct jt_service_pool *pool,
	    const struct jt_routed_service *service, enum willingness most,
	    uint64_t now_ms)
{
	struct jt_incarnation *room[SAMPLE_MOST];
	struct incarnations some = pool_sample(chooser, pool, room);
	struct jt_incarnation *chosen =
		best_of(chooser, some, service, WILLING, now_ms);

	if (chosen != NULL || (most == WILLING && some.count == pool->count))
		return chosen;
	return best_of(chooser, pool_all(pool), service, most, now_ms);
}

/* What the routing says of the service; no limits where it says nothing. */
static const struct jt_routed_service *
service_limits(const struct jt_routing *routing, uint32_t service_id)
{
	static const struct jt_routed_service unlimited;
	const struct jt_routed_service *service =
		jt_routing_service(routing, service_id);

	return service != NULL ? service : &unlimited;
}

/* An endpoint of the first part, by weight, that has one that is as willing
 * as @most. */
static struct jt_incarnation *
parts_choose(struct jt_chooser *chooser, const struct jt_endpoint_table *table,
	     const struct jt_routing *routing, struct jt_split *split,
	     enum willingness most, uint64_t now_ms)
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
			chosen = pool_choose(chooser, pool, service, most,
					     now_ms);
		if (chosen != NULL) {
			jt_split_give(split, (size_t)part);
			jt_flow_rate_given(chooser->rate, chosen,
					   incarnation_rate(chooser, chosen,
							    service, now_ms),
					   now_ms);
			return chosen;
		}
		tried |= 1u << part;
	}
	return NULL;
}

/* What keeps a new flow from the incarnation. */
static enum jt_director_reason
incarnation_refusal(const struct jt_chooser *chooser,
		    const struct jt_incarnation *in,
		    const struct jt_routed_service *service, uint64_t now_ms)
{
	if (zone_drained(chooser, in))
		return in->state == JT_INCARNATION_READY
			       ? JT_DIRECTOR_NO_ZONE
			       : JT_DIRECTOR_NO_ENDPOINT;
	if (incarnation_full(chooser, in, service, now_ms))
		return JT_DIRECTOR_NO_CAPACITY;
	if (in->state == JT_INCARNATION_READY &&
	    rate_exceeded(chooser, in, service, now_ms))
		return JT_DIRECTOR_COLD;
	return JT_DIRECTOR_NO_ENDPOINT;
}

/* Why no endpoint of the route takes a new flow: one that is full comes first,
 * then one that is cold or whose zone is drained. */
static enum jt_director_reason
parts_refusal(const struct jt_chooser *chooser,
	      const struct jt_endpoint_table *table,
	      const struct jt_routing *routing, const struct jt_route *route,
	      uint64_t now_ms)
{
	enum jt_director_reason refusal = JT_DIRECTOR_NO_ENDPOINT, one;

	for (size_t i = 0; i < route->part_count; i++) {
		uint32_t service_id = route->parts[i].service_id;
		const struct jt_routed_service *service =
			service_limits(routing, service_id);
		const struct jt_service_pool *pool =
			jt_endpoint_table_pool(table, service_id);
		size_t members = pool != NULL ? pool->count : 0;

		for (size_t k = 0; k < members; k++) {
			one = incarnation_refusal(chooser, pool->members[k],
						  service, now_ms);
			if (one == JT_DIRECTOR_NO_CAPACITY)
				return one;
			if (one != JT_DIRECTOR_NO_ENDPOINT)
				refusal = one;
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
	int least =
		jt_mechanism_on(chooser->without, JT_MECHANISM_PARTS_GIVE_WAY)
			? WILLING
			: LAST_RESORT;

	*refusal = JT_DIRECTOR_NO_ENDPOINT;
	if (split == NULL)
		return NULL;
	/* A part whose endpoints all seem to have ended gives way to others. */
	for (int most = least; most < UNWILLING && chosen == NULL; most++)
		chosen = parts_choose(chooser, table, routing, split,
				      (enum willingness)most, now_ms);
	if (chosen == NULL)
		*refusal =
			parts_refusal(chooser, table, routing, route, now_ms);
	return chosen;
}
