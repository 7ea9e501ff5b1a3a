#include "jt_failure_news.h"

#include <string.h>

enum {
	PERMILLE = 1000,
	/* What is seen in so long goes into one message. */
	GATHER_MS = 50,
	/* The same where not all peers can be told. */
	GATHER_LONG_MS = 200,
	/* Datagrams a second for long, and at once after a quiet time: of 60 to
	 * 200 bytes, beside some 5 KB/s of other messages. */
	DATAGRAMS_PER_S = 60,
	DATAGRAMS_AT_ONCE = 400,
};

/* The place of the endpoint with the fewest failures. */
static size_t least_owed(const struct jt_failure_news *news)
{
	size_t least = 0;

	for (size_t i = 1; i < news->count; i++) {
		if (news->owed[i].failed_permille <
		    news->owed[least].failed_permille)
			least = i;
	}
	return least;
}

/* The place of the endpoint, or where it may stand. */
static size_t owed_place(const struct jt_failure_news *news, uint32_t label)
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
	size_t place = owed_place(news, label);

	if (place == JT_FAILURE_LIMIT)
		place = least_owed(news);
	if (place == news->count)
		news->count++;
	if (news->owed[place].label != label)
		news->owed[place] =
			(struct jt_endpoint_failure){.label = label};
	news->owed[place].failed_permille += (uint32_t)(requests * PERMILLE);
	news->failed = true;
}

void jt_failure_news_served(struct jt_failure_news *news, uint32_t label)
{
	size_t place = owed_place(news, label);

	if (place == JT_FAILURE_LIMIT)
		return;
	if (place == news->count)
		news->owed[news->count++] =
			(struct jt_endpoint_failure){.label = label};
	news->owed[place].served_permille += PERMILLE;
}

bool jt_failure_news_due(struct jt_failure_news *news, uint64_t nodes,
			 uint64_t now_ms)
{
	uint64_t gathered_ms = now_ms - news->told_ms;

	if (!news->failed || nodes < 2 || gathered_ms < GATHER_MS)
		return false;
	news->datagrams +=
		(double)(now_ms - news->as_of_ms) * DATAGRAMS_PER_S / 1000;
	news->as_of_ms = now_ms;
	if (news->datagrams > DATAGRAMS_AT_ONCE)
		news->datagrams = DATAGRAMS_AT_ONCE;
	return news->datagrams >= (double)(nodes - 1) ||
	       (gathered_ms >= GATHER_LONG_MS && news->datagrams >= 1);
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
