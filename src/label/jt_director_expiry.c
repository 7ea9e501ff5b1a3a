#include "jt_director_expiry.h"
#include "jt_director_responses.h"
#include "jt_director_flow.h"
#include "jt_director_suspicion.h"
#include "jt_outlier.h"

enum {
	DEFAULT_FLOW_IDLE_MS = 60 * 1000,
	/* How long a flow with a FIN stays cached for its last packets. */
	CLOSING_MS = 2000,
};

uint64_t jt_director_flow_idle_ms(const struct jt_director *director)
{
	if (director->routing != NULL && director->routing->flow_idle_ms > 0)
		return director->routing->flow_idle_ms;
	return DEFAULT_FLOW_IDLE_MS;
}

void jt_director_flows_expire(struct jt_director *director, uint64_t now_ms)
{
	uint64_t idle_ms = jt_director_flow_idle_ms(director);

	while (director->flows->idle != NULL) {
		struct jt_cached_flow *flow = director->flows->idle;
		uint64_t limit_ms = flow->closing && idle_ms > CLOSING_MS
					    ? CLOSING_MS
					    : idle_ms;

		if (now_ms - flow->seen_ms < limit_ms)
			break;
		jt_director_flow_forget(director, flow);
	}
}

static bool incarnation_outdated(const struct jt_director *director,
				 const struct jt_incarnation *incarnation,
				 uint64_t now_ms)
{
	return incarnation->entry.removed_revision != 0 &&
	       jt_incarnation_removed_age_ms(incarnation, now_ms) >
		       director->options.flow_age_limit_ms;
}

static void incarnation_forget(struct jt_director *director,
			       struct jt_incarnation *incarnation)
{
	uint32_t label = incarnation->label;
	bool shared = jt_incarnation_shares_label(incarnation);

	jt_listing_gaps_discard_before(&director->gaps,
				       jt_incarnation_revision(incarnation));
	jt_endpoint_table_remove(director->endpoints, incarnation);
	if (shared)
		jt_director_flows_recount(director, label);
}

/* Returns true if a probe, the removal of the incarnation, or a change of its
 * traffic share is pending. */
static bool incarnation_pending(const struct jt_incarnation *incarnation)
{
	return incarnation->entry.removed_revision != 0 ||
	       jt_detector_pending(incarnation) ||
	       jt_outlier_pending(incarnation);
}

void jt_director_endpoints_tick(struct jt_director *director, uint64_t now_ms,
				struct jt_director_actions *actions)
{
	struct jt_incarnation *incarnation, *next;

	/* Only endpoints with pending work are visited. */
	incarnation = director->endpoints->scheduled;
	for (; incarnation != NULL; incarnation = next) {
		next = incarnation->scheduled_next;
		if (jt_detector_probe_due(&director->detector, incarnation,
					  now_ms))
			jt_director_probe(director, incarnation, now_ms,
					  actions);
		if (jt_outlier_pending(incarnation))
			jt_director_share_check(director, incarnation, now_ms,
						actions);
		if (incarnation_outdated(director, incarnation, now_ms))
			incarnation_forget(director, incarnation);
		else if (!incarnation_pending(incarnation))
			jt_endpoint_table_unschedule(director->endpoints,
						     incarnation);
	}
}
