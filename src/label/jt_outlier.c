#include "jt_outlier.h"

#include <math.h>
#include <stdlib.h>

/* Failing requests that all endpoints are taken to have had before any is
 * known: one sign alone proves little where requests are many. */
#define PRIOR_REQUESTS 0.3
/* Before the first failure, as many were served as come in this part of the
 * time over which requests are counted (jt_work.h), some 0.15 s: so many
 * further failures make it doubtful, at any rate of requests. */
#define SERVED_BEFORE 0.2
/* An overdue answer stands for so many failures: it comes late, and whoever
 * waits for the next ones loses most. */
#define OVERDUE_WEIGHT 8.0
/* The share falls with this power of the part of requests that is served: what
 * others serve better is left to them. */
#define SHARE_POWER 4.0
/* A failure counts for that where the service is full. */
#define ROOM_WEIGHT_LEAST 0.3
/* Signs that count for less than this are forgotten. */
#define FAILED_LEAST 0.02

enum {
	/* No answer is overdue before so many times the service's usual time.
	 */
	OVERDUE_TIMES = 8,
	/* The usual time moves by this part of the difference to each. */
	USUAL_PART = 16,
	/* Signs count for half after so long, those of overdue answers longer:
	 * each try there costs a caller its patience. */
	HALF_LIFE_MS = 500,
	HALF_LIFE_OVERDUE_MS = 1000,
	/* Twice as long where it still fails after that, or fails again when
	 * its share is back, up to the other. */
	STILL_FAILING_MS = 500,
	HALF_LIFE_MOST_MS = 2000,
	/* Without any sign for so long, it starts anew. */
	FORGET_MS = 15000,
	/* Peers are told of overdue answers at most once in that time. */
	TELL_MS = 1000,
	/* The endpoints of a service are compared so often. */
	COMPARE_MS = 50,
	/* The better ones: the first of so many equal parts. */
	BETTER_PARTS = 4,
	/* What is always left, so that one that serves again is found. */
	LEAST_PERMILLE = 20,
	/* A smaller reduction is none. */
	FULL_FROM_PERMILLE = 850,
	/* Reduced is told below the one, restored above the other. */
	TOLD_BELOW_PERMILLE = 500,
	TOLD_ABOVE_PERMILLE = 900,
	/* One whose share is below that surely fails. */
	LOW_PERMILLE = 300,
};

/* Requests that failed and were served, as they count now. */
struct counts {
	double failed;
	double served;
};

void jt_outlier_answered(struct jt_incarnation *incarnation, uint64_t took_ms)
{
	struct jt_service_pool *pool = incarnation->pool;

	if (pool == NULL)
		return;
	if (pool->answer_ms == 0)
		pool->answer_ms = (double)took_ms;
	else
		pool->answer_ms +=
			((double)took_ms - pool->answer_ms) / USUAL_PART;
}

uint64_t jt_outlier_limit_ms(const struct jt_incarnation *incarnation)
{
	const struct jt_service_pool *pool = incarnation->pool;
	uint64_t limit_ms = 0;

	if (pool != NULL)
		limit_ms = (uint64_t)(pool->answer_ms * OVERDUE_TIMES);
	return limit_ms > JT_OVERDUE_LEAST_MS ? limit_ms : JT_OVERDUE_LEAST_MS;
}

static struct counts counts_now(const struct jt_incarnation *in,
				uint64_t now_ms)
{
	const struct jt_outlier *outlier = &in->outlier;
	struct counts counts = {outlier->failed, outlier->served};
	double left;

	if (outlier->half_life_ms == 0 || now_ms <= outlier->as_of_ms)
		return counts;
	left = exp2(-(double)(now_ms - outlier->as_of_ms) /
		    outlier->half_life_ms);
	counts.failed *= left;
	counts.served *= left;
	return counts;
}

static double requests_of(struct counts counts)
{
	return counts.failed + counts.served + PRIOR_REQUESTS;
}

static double failing_part(struct counts counts)
{
	return counts.failed / requests_of(counts);
}

/* The same, less what chance may have added: its standard error. */
static double surely_failing_part(struct counts counts)
{
	double part = failing_part(counts);
	double sure = part - sqrt(part * (1 - part) / requests_of(counts));

	return sure > 0 ? sure : 0;
}

uint32_t jt_outlier_share_permille(const struct jt_incarnation *incarnation,
				   uint64_t now_ms)
{
	double served, usually_served, share;

	if (!jt_outlier_pending(incarnation) || incarnation->pool == NULL)
		return JT_FULL_SHARE_PERMILLE;
	served = 1 - surely_failing_part(counts_now(incarnation, now_ms));
	usually_served = 1 - incarnation->pool->outliers.usual;
	if (served >= usually_served)
		return JT_FULL_SHARE_PERMILLE;
	share = JT_FULL_SHARE_PERMILLE *
		pow(served / usually_served, SHARE_POWER);
	if (share >= FULL_FROM_PERMILLE)
		return JT_FULL_SHARE_PERMILLE;
	return share > LEAST_PERMILLE ? (uint32_t)share : LEAST_PERMILLE;
}

/* Bring the counts up to now. */
static void counts_advance(struct jt_incarnation *in, uint64_t now_ms)
{
	struct jt_outlier *outlier = &in->outlier;
	struct counts counts = counts_now(in, now_ms);

	outlier->failed = counts.failed;
	outlier->served = counts.served;
	outlier->as_of_ms = now_ms;
	if (outlier->low_since_ms == 0 &&
	    jt_outlier_share_permille(in, now_ms) < LOW_PERMILLE)
		outlier->low_since_ms = now_ms;
}

/* One that still fails, or fails again, is forgiven later. */
static void half_life_lengthen(struct jt_outlier *outlier, uint64_t now_ms)
{
	if (outlier->low_since_ms == 0 ||
	    now_ms - outlier->low_since_ms < STILL_FAILING_MS)
		return;
	outlier->low_since_ms = now_ms;
	if (outlier->half_life_ms < HALF_LIFE_MOST_MS)
		outlier->half_life_ms *= 2;
}

/* The first failure for long: what came before it was served, as many as with
 * that share. */
static void counts_begin(struct jt_incarnation *in, uint32_t share_permille,
			 uint64_t now_ms)
{
	in->outlier.failed = 0;
	in->outlier.served = in->pool->outliers.requests * SERVED_BEFORE *
			     share_permille / JT_FULL_SHARE_PERMILLE;
	in->outlier.as_of_ms = now_ms;
}

/*
 * Where a service has hardly a free slot, endpoints refuse what they have no
 * room for, one now and another then: a failure says less of the one that it
 * came from. One that fails nearly all still stands out.
 */
static double room_weight(const struct jt_service_pool *pool)
{
	return fmax(pool->outliers.room, ROOM_WEIGHT_LEAST);
}

static void failure_note(struct jt_incarnation *in, double weight,
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
	outlier->failed += weight * room_weight(in->pool);
	outlier->failed_ms = now_ms;
}

void jt_outlier_failed(struct jt_incarnation *incarnation, double weight,
		       uint32_t share_permille, uint64_t now_ms)
{
	failure_note(incarnation, weight, share_permille, HALF_LIFE_MS, now_ms);
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
	bool tell =
		outlier->told_ms == 0 || now_ms - outlier->told_ms >= TELL_MS;

	failure_note(incarnation, OVERDUE_WEIGHT, JT_FULL_SHARE_PERMILLE,
		     HALF_LIFE_OVERDUE_MS, now_ms);
	if (tell)
		outlier->told_ms = now_ms;
	return tell;
}

void jt_outlier_told(struct jt_incarnation *incarnation, uint64_t now_ms)
{
	failure_note(incarnation, OVERDUE_WEIGHT, JT_FULL_SHARE_PERMILLE,
		     HALF_LIFE_OVERDUE_MS, now_ms);
	incarnation->outlier.told_ms = now_ms;
}

bool jt_outlier_compare_due(const struct jt_service_pool *pool, uint64_t now_ms)
{
	return pool->outliers.compared_ms == 0 ||
	       now_ms - pool->outliers.compared_ms >= COMPARE_MS;
}

static int part_compare(const void *a, const void *b)
{
	double left = *(const double *)a, right = *(const double *)b;

	return (left > right) - (left < right);
}

/* What is left of signs that nobody told of for long. */
static void signs_forget(struct jt_incarnation *in, uint64_t now_ms)
{
	struct jt_outlier *outlier = &in->outlier;

	if (outlier->failed < FAILED_LEAST && !outlier->reduced &&
	    jt_outlier_share_permille(in, now_ms) >= JT_FULL_SHARE_PERMILLE)
		outlier->failed = 0;
}

/* The part of their slots that is free, where each got so many @requests
 * lately and failed that part of them: who refuses works on nothing. */
static double room_of(const struct jt_service_pool *pool, double requests,
		      double failing, double slots)
{
	double busy =
		requests * (1 - failing) * pool->answer_ms / JT_WORK_MEMORY_MS;

	return 1 - busy / slots;
}

void jt_outlier_compare(struct jt_service_pool *pool,
			struct jt_incarnation *const *some, size_t count,
			double requests, double slots, uint64_t now_ms)
{
	struct jt_outlier_peers *outliers = &pool->outliers;
	double parts[JT_COMPARE_MOST], sum = 0;
	size_t compared = count < JT_COMPARE_MOST ? count : JT_COMPARE_MOST;

	outliers->requests = requests;
	outliers->compared_ms = now_ms;
	for (size_t i = 0; i < compared; i++) {
		parts[i] = 0;
		if (!jt_outlier_pending(some[i]))
			continue;
		counts_advance(some[i], now_ms);
		parts[i] = failing_part(counts_now(some[i], now_ms));
		sum += parts[i];
		signs_forget(some[i], now_ms);
	}
	if (compared == 0)
		return;
	outliers->room = room_of(pool, requests, sum / (double)compared, slots);
	qsort(parts, compared, sizeof(parts[0]), part_compare);
	outliers->usual = parts[(compared - 1) / BETTER_PARTS];
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
	view.usual_permille =
		(uint32_t)(incarnation->pool->outliers.usual * 1000);
	return view;
}

bool jt_outlier_turned(struct jt_incarnation *incarnation, uint64_t now_ms)
{
	struct jt_outlier *outlier = &incarnation->outlier;
	uint32_t share = jt_outlier_share_permille(incarnation, now_ms);
	bool reduced = outlier->reduced ? share < TOLD_ABOVE_PERMILLE
					: share < TOLD_BELOW_PERMILLE;

	if (reduced == outlier->reduced)
		return false;
	outlier->reduced = reduced;
	return true;
}

bool jt_outlier_pending(const struct jt_incarnation *incarnation)
{
	return incarnation->outlier.failed > 0;
}
