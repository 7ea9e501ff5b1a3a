/* Evidence from cached flows that endpoints may be dead, and probes. */
#include "jt_director_suspicion.h"
#include "jt_director_flow.h"
#include "jt_feature.h"
#include "jt_outlier.h"

enum {
	/* The response to a SYN is overdue after this multiple of the usual
	 * time, but not before the minimum. */
	OPENING_FACTOR = 4,
	OPENING_MIN_MS = 20,
	OPENING_CHECK_MS = 5,
	/* The client has given up by then: the flow never opened. */
	OPENING_END_MS = 3000,
};

void jt_director_probe(struct jt_director *director,
		       struct jt_incarnation *incarnation, uint64_t now_ms,
		       struct jt_director_actions *actions)
{
	jt_detector_probe_sent(incarnation, now_ms);
	jt_endpoint_table_schedule(director->endpoints, incarnation);
	director->counters.probes++;
	jt_director_action_about(actions, JT_DIRECTOR_PROBE, 0, incarnation,
				 now_ms);
}

static bool evidence_enabled(const struct jt_director *director,
			     enum jt_evidence evidence)
{
	return jt_feature_enabled(director->options.disabled_features,
				  evidence == JT_EVIDENCE_NO_RESPONSE
					  ? JT_FEATURE_SUSPECT_UNANSWERED
					  : JT_FEATURE_SUSPECT_RETRANSMISSION);
}

void jt_director_suspect(struct jt_director *director,
			 struct jt_incarnation *incarnation,
			 enum jt_evidence evidence, uint64_t now_ms,
			 struct jt_director_actions *actions)
{
	if (!evidence_enabled(director, evidence))
		return;
	director->counters.suspicions++;
	if (jt_detector_suspect(&director->detector, incarnation, evidence,
				now_ms))
		jt_director_probe(director, incarnation, now_ms, actions);
}

void jt_director_flow_suspect(struct jt_director *director,
			      struct jt_cached_flow *flow, uint64_t now_ms,
			      struct jt_director_actions *actions)
{
	struct jt_incarnation *incarnation =
		jt_endpoint_table_by_label(director->endpoints, flow->label);

	flow->suspected = true;
	if (incarnation != NULL)
		jt_director_suspect(director, incarnation,
				    JT_EVIDENCE_NO_RESPONSE, now_ms, actions);
}

/* Returns the time after which the response to a SYN is overdue. */
static double opening_limit_ms(const struct jt_director *director)
{
	double limit_ms = director->open_ms * OPENING_FACTOR;

	return limit_ms > OPENING_MIN_MS ? limit_ms : OPENING_MIN_MS;
}

void jt_director_openings_check(struct jt_director *director, uint64_t now_ms,
				struct jt_director_actions *actions)
{
	struct jt_cached_flow *flow = director->flows->opening;
	double limit_ms = opening_limit_ms(director);

	/* Few packets find an overdue response: checks at most once per
	 * interval. */
	if (now_ms - director->openings_checked_ms < OPENING_CHECK_MS)
		return;
	director->openings_checked_ms = now_ms;
	while (flow != NULL &&
	       (double)(now_ms - flow->opening_ms) >= limit_ms) {
		struct jt_cached_flow *next = flow->opening_next;

		if (now_ms - flow->opening_ms >= OPENING_END_MS)
			jt_director_flow_forget(director, flow);
		else if (!flow->suspected)
			jt_director_flow_suspect(director, flow, now_ms,
						 actions);
		flow = next;
	}
}

/* Records an overdue response: the endpoint may fail requests. If the client
 * retransmits, the failure detector handles the flow. */
static void overdue_record(struct jt_director *director,
			   struct jt_cached_flow *flow,
			   struct jt_incarnation *incarnation, uint64_t now_ms,
			   struct jt_director_actions *actions)
{
	jt_flow_cache_overdue(director->flows, flow);
	if (incarnation == NULL || flow->resent > 0 ||
	    incarnation->state == JT_INCARNATION_DEAD)
		return;
	director->counters.overdue++;
	jt_chooser_compare(director->chooser, incarnation->pool, now_ms);
	jt_endpoint_table_schedule(director->endpoints, incarnation);
	if (jt_outlier_overdue(incarnation, now_ms))
		jt_director_action_about(actions, JT_DIRECTOR_OVERDUE_REPORT, 0,
					 incarnation, now_ms);
}

void jt_director_requests_check(struct jt_director *director, uint64_t now_ms,
				struct jt_director_actions *actions)
{
	struct jt_cached_flow *flow = director->flows->waiting;

	while (flow != NULL && now_ms - flow->waiting_ms >= JT_OVERDUE_MIN_MS) {
		struct jt_cached_flow *next = flow->waiting_next;
		struct jt_incarnation *incarnation =
			jt_endpoint_table_flow_holder(director->endpoints,
						      flow->label);

		if (incarnation == NULL ||
		    now_ms - flow->waiting_ms >=
			    jt_outlier_limit_ms(incarnation))
			overdue_record(director, flow, incarnation, now_ms,
				       actions);
		flow = next;
	}
}
