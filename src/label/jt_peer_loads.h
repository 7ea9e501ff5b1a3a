/*
 * What peers told of their shares of the endpoints' flows.
 *
 * A node balances its own flows plus the mean of its peers': where an endpoint
 * has less than others by some flows of each node, each node gives it just its
 * part of the difference, so that late reports make no herd.
 */
#ifndef JT_PEER_LOADS_H
#define JT_PEER_LOADS_H

#include "jaspertrack/director-t.h"

#include <uthash.h>

enum { JT_PEER_LOADS_LIMIT = 16 }; /* peers remembered, the newest ones */

struct jt_peer_report {
	uint64_t peer;
	uint64_t told_ms;
	size_t count;
	struct jt_endpoint_load loads[JT_LOAD_LIMIT];
};

/* The flows of all reports at one endpoint. */
struct jt_load_sum {
	uint32_t label;
	uint64_t flows;
	uint64_t work_permille;
	UT_hash_handle hh;
};

struct jt_peer_loads {
	struct jt_peer_report *reports[JT_PEER_LOADS_LIMIT];
	size_t report_count;
	uint64_t outdated_ms;	  /* when the oldest report will be */
	struct jt_load_sum *sums; /* hash by label; kept with the reports, since
				   * each new flow asks for every endpoint */
};

struct jt_peer_loads *jt_peer_loads_create(TALLOC_CTX *mem_ctx);
void jt_peer_loads_take(struct jt_peer_loads *peers, uint64_t peer,
			const struct jt_endpoint_load *loads, size_t count,
			uint64_t now_ms);
/* The mean of the peers' flows at the endpoint, by reports that are not
 * outdated; 0 when there are none. */
double jt_peer_loads_mean(struct jt_peer_loads *peers, uint32_t label,
			  uint64_t now_ms);
/* The same for the requests that the endpoint got from them lately. */
double jt_peer_loads_work(struct jt_peer_loads *peers, uint32_t label,
			  uint64_t now_ms);

#endif
