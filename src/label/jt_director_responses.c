#include "jt_director_responses.h"
#include "jt_feature.h"
#include "jt_outlier.h"

#define PERMILLE 1000.0

enum {
	/* A longer response takes several segments. */
	SEGMENT_BYTES = 1200,
	/* A response is complete when no data arrived for this long: its
	 * packets follow each other within a round trip. */
	RESPONSE_IDLE_MS = 40,
	RESPONSES_CHECK_MS = 5,
};

/* Records the response time of a served request for the endpoint. */
static void response_time_record(struct jt_director *director,
				 const struct jt_cached_flow *flow,
				 struct jt_incarnation *incarnation,
				 uint64_t now_ms)
{
	const struct jt_response response = {
		.took_ms = (double)flow->response_took_ms - director->open_ms,
		.single_segment = flow->response_single_segment,
	};

	jt_outlier_answered(incarnation, flow->response_took_ms);
	jt_chooser_answered(director->chooser,
			    jt_routing_route(director->routing, &flow->key),
			    incarnation, &response, now_ms);
}

/* Returns NULL if response lengths are not evaluated. */
static struct jt_response_profile *
profile_find(struct jt_director *director, const struct jt_cached_flow *flow,
	     const struct jt_incarnation *incarnation)
{
	const struct jt_route *route =
		jt_routing_route(director->routing, &flow->key);

	if (route == NULL ||
	    !jt_feature_enabled(director->options.disabled_features,
				JT_FEATURE_SHORT_RESPONSES))
		return NULL;
	return jt_response_profiles_find(director->response_profiles, route,
					 incarnation->entry.service_id);
}

static uint32_t response_bytes(const struct jt_cached_flow *flow)
{
	return flow->acknowledged - flow->response_from;
}

/* Records the response time once the response is too long to be an error: an
 * endpoint that fails immediately is not fast. */
static void response_time_check(struct jt_director *director,
				struct jt_cached_flow *flow,
				struct jt_incarnation *incarnation,
				uint64_t now_ms)
{
	const struct jt_response_profile *profile;

	if (flow->response_counted)
		return;
	profile = profile_find(director, flow, incarnation);
	if (profile != NULL &&
	    jt_response_is_short(profile, response_bytes(flow),
				 flow->response_took_ms))
		return;
	flow->response_counted = true;
	response_time_record(director, flow, incarnation, now_ms);
}

void jt_director_response_progress(struct jt_director *director,
				   struct jt_cached_flow *flow,
				   struct jt_incarnation *incarnation,
				   const struct jt_label_packet *packet,
				   uint64_t now_ms)
{
	if (flow->waiting_ms != 0) {
		flow->response_took_ms = (uint32_t)(now_ms - flow->waiting_ms);
		flow->response_single_segment =
			packet->length == 0 &&
			response_bytes(flow) <= SEGMENT_BYTES;
		flow->response_counted = false;
		jt_latency_add(director->latency, flow->response_took_ms);
		jt_admission_answered(director->admission,
				      incarnation->entry.service_id,
				      flow->waiting_ms, response_bytes(flow),
				      flow->first_since_assigned, now_ms);
		jt_flow_cache_answered(director->flows, flow);
		if (incarnation->waiting > 0)
			incarnation->waiting--;
	} else if (flow->response_seen_ms == 0) {
		return;
	}
	jt_flow_cache_answering(director->flows, flow, now_ms);
	response_time_check(director, flow, incarnation, now_ms);
}

static void failure_record(struct jt_director *director,
			   struct jt_incarnation *incarnation, double weight,
			   uint32_t share_permille, uint64_t now_ms)
{
	jt_chooser_compare(director->chooser, incarnation->pool, now_ms);
	jt_outlier_failed(incarnation, weight, share_permille, now_ms);
	jt_endpoint_table_schedule(director->endpoints, incarnation);
}

/* Once failures are known, served requests are reported to peers as well. */
static void served_record(struct jt_director *director,
			  struct jt_incarnation *incarnation, uint64_t now_ms)
{
	if (!jt_outlier_pending(incarnation))
		return;
	jt_outlier_served(incarnation, 1, now_ms);
	jt_failure_reports_add_served(&director->failure_reports,
				      incarnation->label);
}

/* Responses of an endpoint that is known to fail don't count as usual. */
static void profile_update(struct jt_response_profile *profile,
			   const struct jt_cached_flow *flow,
			   const struct jt_incarnation *incarnation,
			   uint64_t now_ms)
{
	if (profile != NULL && jt_outlier_share_permille(incarnation, now_ms) ==
				       JT_FULL_SHARE_PERMILLE)
		jt_response_profile_update(profile, response_bytes(flow),
					   flow->response_took_ms, now_ms);
}

void jt_director_response_end(struct jt_director *director,
			      struct jt_cached_flow *flow,
			      struct jt_incarnation *incarnation,
			      uint64_t now_ms)
{
	struct jt_response_profile *profile;
	double weight, served_weight;

	if (flow->response_seen_ms == 0)
		return;
	profile = profile_find(director, flow, incarnation);
	jt_flow_cache_response_end(director->flows, flow);
	if (profile == NULL ||
	    !jt_response_is_short(profile, response_bytes(flow),
				  flow->response_took_ms)) {
		profile_update(profile, flow, incarnation, now_ms);
		served_record(director, incarnation, now_ms);
		return;
	}
	weight = jt_response_failure(profile);
	profile_update(profile, flow, incarnation, now_ms);
	if (weight == 0)
		return;
	director->counters.short_responses++;
	/* The less certain a failure is, the more it counts as served too. */
	served_weight = weight < 1 - weight ? weight : 1 - weight;
	failure_record(director, incarnation, weight, JT_FULL_SHARE_PERMILLE,
		       now_ms);
	jt_outlier_served(incarnation, served_weight, now_ms);
	if (weight > JT_FAILURE_UNSURE)
		jt_failure_reports_add_failed(&director->failure_reports,
					      incarnation->label, weight);
}

/* Requests a failure report to peers when one is due. */
static void failure_report_check(struct jt_director *director, uint64_t now_ms,
				 struct jt_director_actions *actions)
{
	if (jt_failure_reports_due(&director->failure_reports, director->nodes,
				   now_ms))
		jt_director_action_add(actions, JT_DIRECTOR_FAILURES, 0);
}

void jt_director_responses_check(struct jt_director *director, uint64_t now_ms,
				 struct jt_director_actions *actions)
{
	struct jt_cached_flow *flow = director->flows->answering;

	/* Most packets end no response: checks at most once per interval. */
	if (now_ms - director->responses_checked_ms < RESPONSES_CHECK_MS)
		return;
	director->responses_checked_ms = now_ms;
	while (flow != NULL &&
	       now_ms - flow->response_seen_ms >= RESPONSE_IDLE_MS) {
		struct jt_cached_flow *next = flow->answering_next;
		struct jt_incarnation *incarnation =
			jt_endpoint_table_flow_holder(director->endpoints,
						      flow->label);

		if (incarnation != NULL)
			jt_director_response_end(director, flow, incarnation,
						 now_ms);
		else
			jt_flow_cache_response_end(director->flows, flow);
		flow = next;
	}
	failure_report_check(director, now_ms, actions);
}

static void failure_receive(struct jt_director *director,
			    const struct jt_endpoint_failure *failure,
			    uint64_t now_ms)
{
	struct jt_incarnation *incarnation = jt_endpoint_table_label_owner(
		director->endpoints, failure->label);

	director->counters.failures_received++;
	if (incarnation == NULL)
		return;
	if (failure->failed_permille > 0)
		failure_record(director, incarnation,
			       failure->failed_permille / PERMILLE,
			       failure->share_permille, now_ms);
	jt_outlier_served(incarnation, failure->served_permille / PERMILLE,
			  now_ms);
}

void jt_director_failures_received(struct jt_director *director,
				   const struct jt_endpoint_failure *failures,
				   size_t count, uint64_t now_ms)
{
	for (size_t i = 0; i < count; i++)
		failure_receive(director, &failures[i], now_ms);
}

size_t
jt_director_failures(struct jt_director *director, uint64_t now_ms,
		     struct jt_endpoint_failure failures[JT_FAILURE_LIMIT],
		     size_t *peers)
{
	size_t count = jt_failure_reports_collect(&director->failure_reports,
						  director->nodes, now_ms,
						  failures, peers);

	director->counters.failures_sent += count;
	for (size_t i = 0; i < count; i++) {
		const struct jt_incarnation *incarnation =
			jt_endpoint_table_flow_holder(director->endpoints,
						      failures[i].label);

		failures[i].share_permille = JT_FULL_SHARE_PERMILLE;
		if (incarnation != NULL)
			failures[i].share_permille =
				jt_outlier_share_permille(incarnation, now_ms);
	}
	return count;
}

void jt_director_share_check(struct jt_director *director,
			     struct jt_incarnation *incarnation,
			     uint64_t now_ms,
			     struct jt_director_actions *actions)
{
	struct jt_director_action *action;
	struct jt_outlier_view view;

	jt_chooser_compare(director->chooser, incarnation->pool, now_ms);
	if (!jt_outlier_state_changed(incarnation, now_ms))
		return;
	director->counters.shares_reduced += incarnation->outlier.reduced;
	if (!incarnation->outlier.reduced && incarnation->pool != NULL)
		jt_chooser_equalise_load(director->chooser, incarnation->pool,
					 incarnation, now_ms);
	action = jt_director_action_about(actions,
					  incarnation->outlier.reduced
						  ? JT_DIRECTOR_SHARE_REDUCED
						  : JT_DIRECTOR_SHARE_RESTORED,
					  0, incarnation, now_ms);
	if (action == NULL)
		return;
	view = jt_outlier_view(incarnation, now_ms);
	action->share_permille = view.share_permille;
	action->failed_permille = view.failed_permille;
	action->served_permille = view.served_permille;
	action->reference_permille = view.reference_permille;
}

size_t jt_director_reduced_count(const struct jt_director *director,
				 uint64_t now_ms)
{
	const struct jt_incarnation *in =
		jt_endpoint_table_first(director->endpoints);
	size_t count = 0;

	for (; in != NULL; in = jt_endpoint_table_next(in))
		count += jt_outlier_share_permille(in, now_ms) <
			 JT_FULL_SHARE_PERMILLE;
	return count;
}
