/*
 * What this node has seen of endpoints that fail requests, and peers are still
 * to be told of. Each of many nodes sees few requests of an endpoint: only
 * together they see soon which one fails.
 *
 * Messages are bounded: several endpoints go into one, and where there are more
 * of them than a node can bear, each is told to some of the peers. What was
 * served is told with what failed, so that who hears only a part of it still
 * learns the failing part.
 */
#ifndef JT_FAILURE_NEWS_H
#define JT_FAILURE_NEWS_H

#include "jaspertrack/director-t.h"

struct jt_failure_news {
	struct jt_endpoint_failure owed[JT_FAILURE_LIMIT];
	size_t count;
	bool failed;	  /* a failure is among them */
	double datagrams; /* that may be sent now */
	uint64_t as_of_ms;
	uint64_t told_ms;
};

/* So many requests failed at the endpoint. */
void jt_failure_news_failed(struct jt_failure_news *news, uint32_t label,
			    double requests);
/* One was served, which is told together with the next failure. */
void jt_failure_news_served(struct jt_failure_news *news, uint32_t label);
/* Whether peers of so many @nodes, this one too, are to be told now. */
bool jt_failure_news_due(struct jt_failure_news *news, uint64_t nodes,
			 uint64_t now_ms);
/* What so many @peers are to be told; returns how many of @failures were set.
 */
size_t jt_failure_news_take(
	struct jt_failure_news *news, uint64_t nodes, uint64_t now_ms,
	struct jt_endpoint_failure failures[JT_FAILURE_LIMIT], size_t *peers);

#endif
