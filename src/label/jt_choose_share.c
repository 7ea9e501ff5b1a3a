#include "jt_choose_share.h"
#include "jt_feature.h"

uint32_t jt_choose_share_permille(const struct jt_chooser *chooser,
				  const struct jt_incarnation *in,
				  uint64_t now_ms)
{
	if (!jt_feature_enabled(chooser->disabled_features,
				JT_FEATURE_OUTLIER_DETECTION))
		return JT_FULL_SHARE_PERMILLE;
	return jt_outlier_share_permille(in, now_ms);
}

bool jt_choose_is_reduced(const struct jt_chooser *chooser,
			  const struct jt_incarnation *in, uint64_t now_ms)
{
	return jt_choose_share_permille(chooser, in, now_ms) <
	       JT_FULL_SHARE_PERMILLE;
}

/* With equal shares each of @count endpoints would get one of @count new
 * flows. Each choice draws one endpoint at random and selects it with a
 * probability equal to its reduced share. Comparing loads would not enforce
 * the share: a node that sends each endpoint less than one recent request
 * would find the unused endpoints least loaded. */
struct jt_incarnation *
jt_choose_draw_trial(struct jt_chooser *chooser,
		     struct jt_incarnation *const *candidates, size_t count,
		     uint64_t now_ms)
{
	struct jt_incarnation *drawn =
		candidates[jt_random_next(&chooser->random) % count];
	uint32_t share = jt_choose_share_permille(chooser, drawn, now_ms);

	if (share < JT_FULL_SHARE_PERMILLE &&
	    jt_random_next(&chooser->random) % JT_FULL_SHARE_PERMILLE < share)
		return drawn;
	return NULL;
}

/* Returns the estimated recent requests of all nodes at the incarnation. */
static double recent_requests(const struct jt_chooser *chooser,
			      const struct jt_incarnation *in, uint64_t now_ms)
{
	return jt_recent_load_at(&in->recent_load, now_ms) +
	       jt_peer_loads_mean_load(chooser->peer_loads, in->label, now_ms) *
		       (double)(chooser->nodes - 1);
}

/* Compares at most JT_COMPARE_MAX members, from a random position in a larger
 * pool. */
void jt_chooser_compare(struct jt_chooser *chooser,
			struct jt_service_pool *pool, uint64_t now_ms)
{
	struct jt_incarnation *ready[JT_COMPARE_MAX];
	size_t count = 0, start = 0;
	double requests = 0, slots = 0;

	if (pool == NULL || !jt_outlier_compare_due(pool, now_ms))
		return;
	if (pool->count > JT_COMPARE_MAX)
		start = jt_random_next(&chooser->random) % pool->count;
	for (size_t i = 0; i < pool->count && i < JT_COMPARE_MAX; i++) {
		struct jt_incarnation *in =
			pool->members[(start + i) % pool->count];

		if (in->state != JT_INCARNATION_READY ||
		    jt_zone_drains_is_drained(chooser->zone_drains,
					      in->entry.zone_id))
			continue;
		requests += recent_requests(chooser, in, now_ms);
		slots += jt_incarnation_slots(in);
		ready[count++] = in;
	}
	if (count > 0)
		jt_outlier_compare(pool, ready, count, requests / (double)count,
				   slots / (double)count, now_ms);
}
