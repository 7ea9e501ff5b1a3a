#include "jt_failure_news.h"

#include <string.h>

enum {
	PERMILLE = 1000,
	/* Time over which failures are collected for one message. */
	COLLECT_MS = 50,
	/* The same if the rate limit doesn't allow a message to all peers. */
	COLLECT_MAX_MS = 200,
	/* Rate and burst of the limit on datagrams sent. */
	DATAGRAMS_PER_S = 30,
	DATAGRAMS_BURST = 400,
};

/* Returns the index of the pending report with the fewest failures. */
static size_t fewest_failures_slot(const struct jt_failure_news *news)
{
	size_t least = 0;

	for (size_t i = 1; i < news->count; i++) {
		if (news->owed[i].failed_permille <
		    news->owed[least].failed_permille)
			least = i;
	}
	return least;
}

/* Returns the index of the endpoint's pending report, or of a free slot; the
 * latter is JT_FAILURE_LIMIT if all are in use. */
static size_t pending_slot(const struct jt_failure_news *news, uint32_t label)
{
	for (size_t i = 0; i < news->count; i++) {
		if (news->owed[i].label == label)
			return i;
	}
	return news->count;
}

void jt_failure_news_failed(struct jt_failure_news *news, uint32_t label,
			    double requests)
{
	size_t slot = pending_slot(news, label);

	if (slot == JT_FAILURE_LIMIT)
		slot = fewest_failures_slot(news);
	if (slot == news->count)
		news->count++;
	if (news->owed[slot].label != label)
		news->owed[slot] = (struct jt_endpoint_failure){.label = label};
	news->owed[slot].failed_permille += (uint32_t)(requests * PERMILLE);
	news->failed = true;
}

void jt_failure_news_served(struct jt_failure_news *news, uint32_t label)
{
	size_t slot = pending_slot(news, label);

	if (slot == JT_FAILURE_LIMIT)
		return;
	if (slot == news->count)
		news->owed[news->count++] =
			(struct jt_endpoint_failure){.label = label};
	news->owed[slot].served_permille += PERMILLE;
}

bool jt_failure_news_due(struct jt_failure_news *news, uint64_t nodes,
			 uint64_t now_ms)
{
	uint64_t collected_ms = now_ms - news->told_ms;

	if (!news->failed || nodes < 2 || collected_ms < COLLECT_MS)
		return false;
	news->datagrams +=
		(double)(now_ms - news->as_of_ms) * DATAGRAMS_PER_S / 1000;
	news->as_of_ms = now_ms;
	if (news->datagrams > DATAGRAMS_BURST)
		news->datagrams = DATAGRAMS_BURST;
	return news->datagrams >= (double)(nodes - 1) ||
	       (collected_ms >= COLLECT_MAX_MS && news->datagrams >= 1);
}

size_t jt_failure_news_take(
	struct jt_failure_news *news, uint64_t nodes, uint64_t now_ms,
	struct jt_endpoint_failure failures[JT_FAILURE_LIMIT], size_t *peers)
{
	size_t count = news->count;

	*peers = nodes - 1;
	if ((double)*peers > news->datagrams)
		*peers = (size_t)news->datagrams;
	memcpy(failures, news->owed, count * sizeof(*failures));
	news->count = 0;
	news->failed = false;
	memset(news->owed, 0, sizeof(news->owed));
	news->told_ms = now_ms;
	news->datagrams -= (double)*peers;
	return count;
}
