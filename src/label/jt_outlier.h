/*
 * Outlier detection: endpoints that take requests and leave them unanswered,
 * or answer far later than their service does.
 *
 * Such an endpoint lives, and its health check may be good. A node sees
 * requests whose answers are overdue: no data is sent again, since the endpoint
 * has acknowledged it, but nothing of an answer is acknowledged either. New
 * flows avoid the endpoint for a while, twice as long each time that it
 * relapses. Open flows stay: nothing here ends a flow. Nodes tell each other,
 * since each of many sees a few requests of an endpoint only.
 *
 * Where many endpoints of a service seem to fail, the cause is not theirs
 * (load, this node's link): then none is avoided.
 */
#ifndef JT_OUTLIER_H
#define JT_OUTLIER_H

#include "jt_endpoint_table.h"

/* No answer is overdue sooner, whatever its service, milliseconds: the longest
 * requests of services whose mean is 20 to 50 ms take up to 180 ms, and longer
 * after the endpoint's start (journal, packet traces of turnos-scl-large). */
enum { JT_OVERDUE_LEAST_MS = 300 };

/* A request of the incarnation's service got its first answer after that. */
void jt_outlier_answered(struct jt_incarnation *incarnation, uint64_t took_ms);
/* An answer that takes longer than this is overdue there, milliseconds. */
uint64_t jt_outlier_limit_ms(const struct jt_incarnation *incarnation);
/* An answer is overdue. True: tell peers. */
bool jt_outlier_overdue(struct jt_incarnation *incarnation, uint64_t now_ms);
/* A peer tells that answers are overdue there. */
void jt_outlier_told(struct jt_incarnation *incarnation, uint64_t now_ms);
/* Whether the incarnation fails requests, as far as is known. */
bool jt_outlier_failing(const struct jt_incarnation *incarnation,
			uint64_t now_ms);
/* Whether so few of a service's @ready endpoints fail that new flows can do
 * without them. */
bool jt_outlier_few(size_t failing, size_t ready);

#endif
