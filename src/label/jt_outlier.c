#include "jt_outlier.h"

enum {
	/* No answer is overdue before so many times the service's usual time.
	 */
	OVERDUE_TIMES = 8,
	/* The usual time moves by this part of the difference to each. */
	USUAL_PART = 16,
	/* New flows avoid the endpoint for so long, and twice as long after
	 * each relapse, up to so many doublings. */
	AVOID_MS = 2000,
	AVOID_DOUBLINGS = 2,
	/* Without any sign for so long, it starts anew. */
	FORGET_MS = 15000,
	/* Peers are told at most once in that time. */
	TELL_MS = 1000,
	/* At most one in so many ready endpoints of a service is avoided. */
	FEW_ONE_IN = 3,
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

/* Another sign that it fails. One that comes while it is avoided already is
 * about a request from before, and no relapse. */
static void failing_note(struct jt_incarnation *incarnation, uint64_t now_ms)
{
	uint64_t until_ms;

	if (now_ms - incarnation->failed_ms >= FORGET_MS)
		incarnation->relapses = 0;
	else if (!jt_outlier_failing(incarnation, now_ms) &&
		 incarnation->relapses < AVOID_DOUBLINGS)
		incarnation->relapses++;
	incarnation->failed_ms = now_ms;
	until_ms = now_ms + ((uint64_t)AVOID_MS << incarnation->relapses);
	if (until_ms > incarnation->failing_until_ms)
		incarnation->failing_until_ms = until_ms;
}

bool jt_outlier_overdue(struct jt_incarnation *incarnation, uint64_t now_ms)
{
	bool tell = incarnation->failing_told_ms == 0 ||
		    now_ms - incarnation->failing_told_ms >= TELL_MS;

	failing_note(incarnation, now_ms);
	if (tell)
		incarnation->failing_told_ms = now_ms;
	return tell;
}

void jt_outlier_told(struct jt_incarnation *incarnation, uint64_t now_ms)
{
	failing_note(incarnation, now_ms);
	incarnation->failing_told_ms = now_ms;
}

bool jt_outlier_failing(const struct jt_incarnation *incarnation,
			uint64_t now_ms)
{
	return now_ms < incarnation->failing_until_ms;
}

bool jt_outlier_few(size_t failing, size_t ready)
{
	return failing * FEW_ONE_IN <= ready;
}
