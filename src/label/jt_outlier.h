/*
 * Outlier detection: finds endpoints that seem alive but fail requests. They
 * leave requests unanswered, or answer with far less data than the route's
 * usual response (jt_response_profile.h).
 *
 * Failures seen by all nodes are added up for each endpoint and decay with
 * time. An endpoint's failure rate is compared with that of the better quarter
 * of its service. If most endpoints fail alike, the cause lies elsewhere
 * (overload, this node's link) and no share is reduced. A failure rate above
 * that of the better quarter reduces the endpoint's share of new flows. A small
 * share is kept to detect recovery. Open flows are never closed.
 */
#ifndef JT_OUTLIER_H
#define JT_OUTLIER_H

#include "jt_endpoint_table.h"

/* Minimum time until a response is overdue, milliseconds. The longest requests
 * of services with a mean of 20 to 50 ms take up to 180 ms, and longer just
 * after the endpoint's start. */
enum { JT_OVERDUE_MIN_MS = 300 };

enum { JT_FULL_SHARE_PERMILLE = 1000 };

/* An endpoint's failure statistics, for logs. */
struct jt_outlier_view {
	uint32_t share_permille;
	uint32_t failed_permille; /* recent failed requests, in thousandths */
	uint32_t served_permille; /* recent served requests, in thousandths */
	uint32_t reference_permille; /* lower quartile of failure rates */
};

/* Records the response time of a request served by the incarnation. */
void jt_outlier_answered(struct jt_incarnation *incarnation, uint64_t took_ms);
/* Returns the response time beyond which a response is overdue, milliseconds.
 */
uint64_t jt_outlier_limit_ms(const struct jt_incarnation *incarnation);
/* Records an overdue response. Returns true if it must be reported to peers. */
bool jt_outlier_overdue(struct jt_incarnation *incarnation, uint64_t now_ms);
/* Records a peer's report of overdue responses. */
void jt_outlier_peer_overdue(struct jt_incarnation *incarnation,
			     uint64_t now_ms);
/* Records failed requests by weight. @share_permille is the incarnation's
 * traffic share: the full share if recorded locally, or as reported by a peer
 * that knew of earlier failures. */
void jt_outlier_failed(struct jt_incarnation *incarnation, double weight,
		       uint32_t share_permille, uint64_t now_ms);

/* Records requests served here or at a peer. Ignored unless failures of the
 * incarnation are recorded. */
void jt_outlier_served(struct jt_incarnation *incarnation, double requests,
		       uint64_t now_ms);

/* Maximum number of endpoints of a service compared at once. */
enum { JT_COMPARE_MAX = 256 };

/* Returns true if a comparison of the service's incarnations is due. */
bool jt_outlier_compare_due(const struct jt_service_pool *pool,
			    uint64_t now_ms);
/* Compares incarnations of @pool. @requests and @slots are means per
 * incarnation: recent requests from all nodes (jt_recent_load.h), and requests
 * served concurrently. */
void jt_outlier_compare(struct jt_service_pool *pool,
			struct jt_incarnation *const *incarnations,
			size_t count, double requests, double slots,
			uint64_t now_ms);

/* Returns the incarnation's traffic share relative to an ordinary one, in
 * thousandths; JT_FULL_SHARE_PERMILLE if it is no outlier. */
uint32_t jt_outlier_share_permille(const struct jt_incarnation *incarnation,
				   uint64_t now_ms);
/* Returns the incarnation's failure statistics. */
struct jt_outlier_view jt_outlier_view(const struct jt_incarnation *incarnation,
				       uint64_t now_ms);
/* Returns true if the share has been reduced considerably, or restored, since
 * the last call; outlier.reduced of the incarnation is the new state. */
bool jt_outlier_state_changed(struct jt_incarnation *incarnation,
			      uint64_t now_ms);
/* Returns true if failures are recorded, so that the share may change with
 * time. */
bool jt_outlier_pending(const struct jt_incarnation *incarnation);

#endif
