#include "jt_outlier.h"

#include <math.h>
#include <stdlib.h>

/* Requests added to an endpoint's total as a prior, so that a single failure
 * has little effect. */
#define PRIOR_REQUESTS 0.3
/* At the first failure, the endpoint is assumed to have served the requests of
 * this part of the averaging time (jt_recent_load.h). The number of failures
 * that makes it an outlier is then independent of the request rate. This
 * part is some 0.15 s. */
#define SERVED_BEFORE_PART 0.2
/* Weight of an overdue response in failures: it is detected late, and clients
 * wait long for the next ones. */
#define OVERDUE_WEIGHT 8.0
/* The share falls with this power of the success rate relative to others: what
 * others serve better is left to them. */
#define SHARE_POWER 4.0
/* Minimum weight of a failure, when the service has no free slots. */
#define FREE_SLOTS_WEIGHT_MIN 0.3
/* Weighted failures below this are reset to 0. */
#define FAILED_MIN 0.02

enum {
	/* A response is overdue after this multiple of the service's mean
	 * response time. */
	OVERDUE_FACTOR = 8,
	/* Divisor of the moving average of response times. */
	RESPONSE_TIME_DIVISOR = 16,
	/* Half-life of failures; longer for overdue responses, because each
	 * trial of such an endpoint makes a client wait. */
	HALF_LIFE_MS = 500,
	HALF_LIFE_OVERDUE_MS = 1000,
	/* The half-life doubles, up to the maximum, if failures continue for
	 * this time or recur after the share was restored. */
	HALF_LIFE_DOUBLE_MS = 500,
	HALF_LIFE_MAX_MS = 2000,
	/* Without failures for this time the half-life is reset. */
	FORGET_MS = 15000,
	/* Minimum time between reports of overdue responses to peers. */
	REPORT_INTERVAL_MS = 1000,
	/* Interval of the comparison of a service's endpoints. */
	COMPARE_INTERVAL_MS = 50,
	/* The reference is this quantile of failure rates, the lower
	 * quartile. */
	REFERENCE_QUANTILE = 4,
	/* Minimum share, which allows recovery to be detected. */
	SHARE_MIN_PERMILLE = 20,
	/* A share of at least this is treated as full. */
	TREAT_AS_FULL_PERMILLE = 850,
	/* A reduction is reported below the first value, a restoration above
	 * the second. */
	REDUCED_BELOW_PERMILLE = 500,
	RESTORED_ABOVE_PERMILLE = 900,
	/* An endpoint with a lower share is certain to fail requests. */
	LOW_SHARE_PERMILLE = 300,
};

/* Weighted failed and served requests, decayed to the present. */
struct counts {
	double failed;
	double served;
};

void jt_outlier_answered(struct jt_incarnation *incarnation, uint64_t took_ms)
{
	struct jt_service_pool *pool = incarnation->pool;

	if (pool == NULL)
		return;
	if (pool->response_time_ms == 0)
		pool->response_time_ms = (double)took_ms;
	else
		pool->response_time_ms +=
			((double)took_ms - pool->response_time_ms) /
			RESPONSE_TIME_DIVISOR;
}

uint64_t jt_outlier_limit_ms(const struct jt_incarnation *incarnation)
{
	const struct jt_service_pool *pool = incarnation->pool;
	uint64_t limit_ms = 0;

	if (pool != NULL)
		limit_ms = (uint64_t)(pool->response_time_ms * OVERDUE_FACTOR);
	return limit_ms > JT_OVERDUE_MIN_MS ? limit_ms : JT_OVERDUE_MIN_MS;
}

static struct counts counts_now(const struct jt_incarnation *in,
				uint64_t now_ms)
{
	const struct jt_outlier *outlier = &in->outlier;
	struct counts counts = {outlier->failed, outlier->served};
	double remaining;

	if (outlier->half_life_ms == 0 || now_ms <= outlier->as_of_ms)
		return counts;
	remaining = exp2(-(double)(now_ms - outlier->as_of_ms) /
			 outlier->half_life_ms);
	counts.failed *= remaining;
	counts.served *= remaining;
	return counts;
}

static double total_requests(struct counts counts)
{
	return counts.failed + counts.served + PRIOR_REQUESTS;
}

static double failure_rate(struct counts counts)
{
	return counts.failed / total_requests(counts);
}

/* Returns the failure rate less its standard error. */
static double failure_rate_lower_bound(struct counts counts)
{
	double rate = failure_rate(counts);
	double lower = rate - sqrt(rate * (1 - rate) / total_requests(counts));

	return lower > 0 ? lower : 0;
}

uint32_t jt_outlier_share_permille(const struct jt_incarnation *incarnation,
				   uint64_t now_ms)
{
	double served, reference_served, share;

	if (!jt_outlier_pending(incarnation) || incarnation->pool == NULL)
		return JT_FULL_SHARE_PERMILLE;
	served = 1 - failure_rate_lower_bound(counts_now(incarnation, now_ms));
	reference_served = 1 - incarnation->pool->outliers.reference_rate;
	if (served >= reference_served)
		return JT_FULL_SHARE_PERMILLE;
	share = JT_FULL_SHARE_PERMILLE *
		pow(served / reference_served, SHARE_POWER);
	if (share >= TREAT_AS_FULL_PERMILLE)
		return JT_FULL_SHARE_PERMILLE;
	return share > SHARE_MIN_PERMILLE ? (uint32_t)share
					  : SHARE_MIN_PERMILLE;
}

/* Decays the counts to the present. */
static void counts_advance(struct jt_incarnation *in, uint64_t now_ms)
{
	struct jt_outlier *outlier = &in->outlier;
	struct counts counts = counts_now(in, now_ms);

	outlier->failed = counts.failed;
	outlier->served = counts.served;
	outlier->as_of_ms = now_ms;
	if (outlier->low_since_ms == 0 &&
	    jt_outlier_share_permille(in, now_ms) < LOW_SHARE_PERMILLE)
		outlier->low_since_ms = now_ms;
}

/* Doubles the half-life of an endpoint that still fails, or fails again. */
static void half_life_lengthen(struct jt_outlier *outlier, uint64_t now_ms)
{
	if (outlier->low_since_ms == 0 ||
	    now_ms - outlier->low_since_ms < HALF_LIFE_DOUBLE_MS)
		return;
	outlier->low_since_ms = now_ms;
	if (outlier->half_life_ms < HALF_LIFE_MAX_MS)
		outlier->half_life_ms *= 2;
}

/* Starts counting at the first recorded failure, assuming earlier requests
 * served at the given share. */
static void counts_begin(struct jt_incarnation *in, uint32_t share_permille,
			 uint64_t now_ms)
{
	in->outlier.failed = 0;
	in->outlier.served = in->pool->outliers.requests * SERVED_BEFORE_PART *
			     share_permille / JT_FULL_SHARE_PERMILLE;
	in->outlier.as_of_ms = now_ms;
}

/* Returns the weight of a failure. When a service has few free slots, its
 * endpoints reject excess requests in turn, and a failure says little about
 * the endpoint; one that fails nearly all requests still stands out. */
static double failure_weight(const struct jt_service_pool *pool)
{
	return fmax(pool->outliers.free_slots_part, FREE_SLOTS_WEIGHT_MIN);
}

static void failure_record(struct jt_incarnation *in, double weight,
			   uint32_t share_permille, uint32_t half_life_ms,
			   uint64_t now_ms)
{
	struct jt_outlier *outlier = &in->outlier;

	if (in->pool == NULL)
		return;
	if (now_ms - outlier->failed_ms >= FORGET_MS) {
		outlier->half_life_ms = half_life_ms;
		outlier->low_since_ms = 0;
	}
	if (!jt_outlier_pending(in))
		counts_begin(in, share_permille, now_ms);
	counts_advance(in, now_ms);
	half_life_lengthen(outlier, now_ms);
	if (outlier->half_life_ms < half_life_ms)
		outlier->half_life_ms = half_life_ms;
	outlier->failed += weight * failure_weight(in->pool);
	outlier->failed_ms = now_ms;
}

void jt_outlier_failed(struct jt_incarnation *incarnation, double weight,
		       uint32_t share_permille, uint64_t now_ms)
{
	failure_record(incarnation, weight, share_permille, HALF_LIFE_MS,
		       now_ms);
}

void jt_outlier_served(struct jt_incarnation *incarnation, double requests,
		       uint64_t now_ms)
{
	if (!jt_outlier_pending(incarnation))
		return;
	counts_advance(incarnation, now_ms);
	incarnation->outlier.served += requests;
}

bool jt_outlier_overdue(struct jt_incarnation *incarnation, uint64_t now_ms)
{
	struct jt_outlier *outlier = &incarnation->outlier;
	bool report = outlier->reported_ms == 0 ||
		      now_ms - outlier->reported_ms >= REPORT_INTERVAL_MS;

	failure_record(incarnation, OVERDUE_WEIGHT, JT_FULL_SHARE_PERMILLE,
		       HALF_LIFE_OVERDUE_MS, now_ms);
	if (report)
		outlier->reported_ms = now_ms;
	return report;
}

void jt_outlier_peer_overdue(struct jt_incarnation *incarnation,
			     uint64_t now_ms)
{
	failure_record(incarnation, OVERDUE_WEIGHT, JT_FULL_SHARE_PERMILLE,
		       HALF_LIFE_OVERDUE_MS, now_ms);
	incarnation->outlier.reported_ms = now_ms;
}

bool jt_outlier_compare_due(const struct jt_service_pool *pool, uint64_t now_ms)
{
	return pool->outliers.compared_ms == 0 ||
	       now_ms - pool->outliers.compared_ms >= COMPARE_INTERVAL_MS;
}

static int rate_compare(const void *a, const void *b)
{
	double left = *(const double *)a, right = *(const double *)b;

	return (left > right) - (left < right);
}

/* Resets decayed failures of an endpoint whose share is full again. */
static void failures_reset(struct jt_incarnation *in, uint64_t now_ms)
{
	struct jt_outlier *outlier = &in->outlier;

	if (outlier->failed < FAILED_MIN && !outlier->reduced &&
	    jt_outlier_share_permille(in, now_ms) >= JT_FULL_SHARE_PERMILLE)
		outlier->failed = 0;
}

/* Returns the free part of the slots, given the mean recent requests and
 * failure rate of each endpoint. Rejected requests occupy no slot. */
static double free_slots_part(const struct jt_service_pool *pool,
			      double requests, double failing, double slots)
{
	double busy_slots = requests * (1 - failing) * pool->response_time_ms /
			    JT_RECENT_LOAD_DECAY_MS;

	return 1 - busy_slots / slots;
}

void jt_outlier_compare(struct jt_service_pool *pool,
			struct jt_incarnation *const *incarnations,
			size_t count, double requests, double slots,
			uint64_t now_ms)
{
	struct jt_outlier_service *outliers = &pool->outliers;
	double rates[JT_COMPARE_MAX], sum = 0;
	size_t compared = count < JT_COMPARE_MAX ? count : JT_COMPARE_MAX;

	outliers->requests = requests;
	outliers->compared_ms = now_ms;
	for (size_t i = 0; i < compared; i++) {
		rates[i] = 0;
		if (!jt_outlier_pending(incarnations[i]))
			continue;
		counts_advance(incarnations[i], now_ms);
		rates[i] = failure_rate(counts_now(incarnations[i], now_ms));
		sum += rates[i];
		failures_reset(incarnations[i], now_ms);
	}
	if (compared == 0)
		return;
	outliers->free_slots_part =
		free_slots_part(pool, requests, sum / (double)compared, slots);
	qsort(rates, compared, sizeof(rates[0]), rate_compare);
	outliers->reference_rate = rates[(compared - 1) / REFERENCE_QUANTILE];
}

struct jt_outlier_view jt_outlier_view(const struct jt_incarnation *incarnation,
				       uint64_t now_ms)
{
	struct jt_outlier_view view = {.share_permille =
					       JT_FULL_SHARE_PERMILLE};
	struct counts counts;

	if (incarnation->pool == NULL)
		return view;
	counts = counts_now(incarnation, now_ms);
	view.share_permille = jt_outlier_share_permille(incarnation, now_ms);
	view.failed_permille = (uint32_t)(counts.failed * 1000);
	view.served_permille = (uint32_t)(counts.served * 1000);
	view.reference_permille =
		(uint32_t)(incarnation->pool->outliers.reference_rate * 1000);
	return view;
}

bool jt_outlier_state_changed(struct jt_incarnation *incarnation,
			      uint64_t now_ms)
{
	struct jt_outlier *outlier = &incarnation->outlier;
	uint32_t share = jt_outlier_share_permille(incarnation, now_ms);
	bool reduced = outlier->reduced ? share < RESTORED_ABOVE_PERMILLE
					: share < REDUCED_BELOW_PERMILLE;

	if (reduced == outlier->reduced)
		return false;
	outlier->reduced = reduced;
	return true;
}

bool jt_outlier_pending(const struct jt_incarnation *incarnation)
{
	return incarnation->outlier.failed > 0;
}
