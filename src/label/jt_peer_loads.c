#include "jt_peer_loads.h"

#include <stdlib.h>
#include <string.h>

enum { REPORT_AGE_MS = 10000 };

struct jt_peer_loads *jt_peer_loads_create(TALLOC_CTX *mem_ctx)
{
	return talloc_zero(mem_ctx, struct jt_peer_loads);
}

static int compare_loads(const void *a, const void *b)
{
	const struct jt_endpoint_load *left = a, *right = b;

	return (left->label > right->label) - (left->label < right->label);
}

/* The peer's report, or the place of the one that is oldest. */
static size_t report_place(const struct jt_peer_loads *peers, uint64_t peer)
{
	size_t oldest = 0;

	for (size_t i = 0; i < JT_PEER_LOADS_LIMIT; i++) {
		const struct jt_peer_report *report = peers->reports[i];

		if (report != NULL && report->peer == peer)
			return i;
		if (peers->reports[oldest] == NULL)
			continue;
		if (report == NULL ||
		    report->told_ms < peers->reports[oldest]->told_ms)
			oldest = i;
	}
	return oldest;
}

void jt_peer_loads_take(struct jt_peer_loads *peers, uint64_t peer,
			const struct jt_endpoint_load *loads, size_t count,
			uint64_t now_ms)
{
	size_t place = report_place(peers, peer);
	struct jt_peer_report *report = peers->reports[place];

	if (report == NULL) {
		report = talloc_zero(peers, struct jt_peer_report);
		if (report == NULL)
			return;
		peers->reports[place] = report;
	}
	if (count > JT_LOAD_LIMIT)
		count = JT_LOAD_LIMIT;
	report->peer = peer;
	report->told_ms = now_ms;
	report->count = count;
	if (count == 0)
		return;
	memcpy(report->loads, loads, count * sizeof(*loads));
	qsort(report->loads, count, sizeof(*loads), compare_loads);
}

double jt_peer_loads_mean(const struct jt_peer_loads *peers, uint32_t label,
			  uint64_t now_ms)
{
	struct jt_endpoint_load wanted = {.label = label};
	uint64_t flows = 0, reports = 0;

	for (size_t i = 0; i < JT_PEER_LOADS_LIMIT; i++) {
		const struct jt_peer_report *report = peers->reports[i];
		const struct jt_endpoint_load *load;

		if (report == NULL || now_ms - report->told_ms > REPORT_AGE_MS)
			continue;
		reports++;
		load = bsearch(&wanted, report->loads, report->count,
			       sizeof(wanted), compare_loads);
		if (load != NULL)
			flows += load->flows;
	}
	return reports > 0 ? (double)flows / (double)reports : 0;
}
