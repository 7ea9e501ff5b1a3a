/*
 * Outlier detection: endpoints that fail requests while they look alive. They
 * leave requests unanswered, or answer them with far less than the route's
 * usual answer (jt_answer_profile.h).
 *
 * Signs of all nodes are added up for each endpoint and forgotten with time.
 * The failing part of its requests is compared with that of the better quarter
 * of its service: where most fail alike, the cause is not theirs (load, this
 * node's link), and none is set back. What an endpoint fails more than those
 * reduces its share of new flows. A small share is left, which shows when it
 * serves again. Open flows stay: nothing here ends a flow.
 */
#ifndef JT_OUTLIER_H
#define JT_OUTLIER_H

#include "jt_endpoint_table.h"

/* No answer is overdue sooner, whatever its service, milliseconds: the longest
 * requests of services whose mean is 20 to 50 ms take up to 180 ms, and longer
 * after the endpoint's start (journal, packet traces of turnos-scl-large). */
enum { JT_OVERDUE_LEAST_MS = 300 };

enum { JT_FULL_SHARE_PERMILLE = 1000 };

/* What is known of an endpoint's failures, for logs. */
struct jt_outlier_view {
	uint32_t share_permille;
	uint32_t failed_permille; /* requests lately, in thousandths */
	uint32_t served_permille; /* requests lately, in thousandths */
	uint32_t usual_permille;  /* failing part of the better ones */
};

/* A request of the incarnation's service was served after that. */
void jt_outlier_answered(struct jt_incarnation *incarnation, uint64_t took_ms);
/* An answer that takes longer than this is overdue there, milliseconds. */
uint64_t jt_outlier_limit_ms(const struct jt_incarnation *incarnation);
/* An answer is overdue. True: tell peers. */
bool jt_outlier_overdue(struct jt_incarnation *incarnation, uint64_t now_ms);
/* A peer tells that answers are overdue there. */
void jt_outlier_told(struct jt_incarnation *incarnation, uint64_t now_ms);
/* Requests failed at once, by weight, where the incarnation has that share:
 * here the full one, or what a peer says that knew of failures before. */
void jt_outlier_failed(struct jt_incarnation *incarnation, double weight,
		       uint32_t share_permille, uint64_t now_ms);

/* Served so many, here or at a peer: counts where failures are remembered. */
void jt_outlier_served(struct jt_incarnation *incarnation, double requests,
		       uint64_t now_ms);

/* Endpoints of a service that are compared at once. */
enum { JT_COMPARE_MOST = 256 };

/* Whether it is time to compare the incarnations of a service that fail. */
bool jt_outlier_compare_due(const struct jt_service_pool *pool,
			    uint64_t now_ms);
/* Compare some incarnations of @pool. From all nodes they got so many
 * @requests each lately (jt_work.h), and have so many @slots each. */
void jt_outlier_compare(struct jt_service_pool *pool,
			struct jt_incarnation *const *some, size_t count,
			double requests, double slots, uint64_t now_ms);

/* The part of an ordinary share of new flows that the incarnation is worth, in
 * thousandths; JT_FULL_SHARE_PERMILLE for nearly all. */
uint32_t jt_outlier_share_permille(const struct jt_incarnation *incarnation,
				   uint64_t now_ms);
struct jt_outlier_view jt_outlier_view(const struct jt_incarnation *incarnation,
				       uint64_t now_ms);
/* Whether it just lost much of its share, or got it back, since the last call;
 * jt_incarnation's outlier.reduced tells which. */
bool jt_outlier_turned(struct jt_incarnation *incarnation, uint64_t now_ms);
/* Whether a failure is remembered, so that its share may change by itself. */
bool jt_outlier_pending(const struct jt_incarnation *incarnation);

#endif
