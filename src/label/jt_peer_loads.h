/*
 * Keeps the reports of peers about their flows at each endpoint.
 *
 * A node balances the sum of its own flows and its peers' mean. If an endpoint
 * has fewer flows than others, each node assigns it only its own part of the
 * difference, so that delayed reports don't cause all nodes to overshoot at
 * once.
 */
#ifndef JT_PEER_LOADS_H
#define JT_PEER_LOADS_H

#include "jaspertrack/director-t.h"

#include <uthash.h>

/* Maximum number of reports; the newest are kept. */
enum { JT_PEER_LOADS_LIMIT = 16 };

/* The latest report of one peer. */
struct jt_peer_report {
	uint64_t peer;
	uint64_t received_ms; /* when it was received */
	size_t count;
	struct jt_endpoint_load loads[JT_LOAD_LIMIT];
};

/* Sum of all reports for one endpoint. */
struct jt_load_sum {
	uint32_t label;
	uint64_t flows;
	uint64_t recent_load_permille;
	UT_hash_handle hh;
};

struct jt_peer_loads {
	struct jt_peer_report *reports[JT_PEER_LOADS_LIMIT];
	size_t report_count;
	uint64_t outdated_ms; /* time at which the oldest report expires */
	/* Hash by label, updated with each report to make lookups cheap. */
	struct jt_load_sum *sums;
};

/* Creates an empty set of reports as a talloc child of @mem_ctx; NULL if memory
 * runs out. */
struct jt_peer_loads *jt_peer_loads_create(TALLOC_CTX *mem_ctx);
/* Replaces the report of @peer by a copy of @loads, at most JT_LOAD_LIMIT of
 * them. */
void jt_peer_loads_update(struct jt_peer_loads *peers, uint64_t peer,
			  const struct jt_endpoint_load *loads, size_t count,
			  uint64_t now_ms);
/* Returns the mean number of flows that peers have at the endpoint, from
 * reports that have not expired; 0 if there are none. */
double jt_peer_loads_mean(struct jt_peer_loads *peers, uint32_t label,
			  uint64_t now_ms);
/* The same for the recent load of the endpoint, in requests. */
double jt_peer_loads_mean_load(struct jt_peer_loads *peers, uint32_t label,
			       uint64_t now_ms);

#endif
