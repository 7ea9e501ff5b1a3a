#include "jt_failure_reports.h"

#include <string.h>

enum {
	PERMILLE = 1000,
	/* Time over which failures are collected for one message. */
	COLLECT_MS = 50,
	/* The same if the rate limit doesn't allow a message to all peers. */
	COLLECT_MAX_MS = 200,
	/* Rate and burst of the limit on datagrams sent, of 60 to 250 bytes:
	 * some 7 KB/s at most. */
	DATAGRAMS_PER_S = 30,
	DATAGRAMS_BURST = 400,
};

/* Returns the index of the pending report with the fewest failures. */
static size_t fewest_failures_slot(const struct jt_failure_reports *reports)
{
	size_t least = 0;

	for (size_t i = 1; i < reports->count; i++) {
		if (reports->pending[i].failed_permille <
		    reports->pending[least].failed_permille)
			least = i;
	}
	return least;
}

/* Returns the index of the endpoint's pending report, or of a free slot; the
 * latter is JT_FAILURE_LIMIT if all are in use. */
static size_t pending_slot(const struct jt_failure_reports *reports,
			   uint32_t label)
{
	for (size_t i = 0; i < reports->count; i++) {
		if (reports->pending[i].label == label)
			return i;
	}
	return reports->count;
}

void jt_failure_reports_add_failed(struct jt_failure_reports *reports,
				   uint32_t label, double requests)
{
	size_t slot = pending_slot(reports, label);

	if (slot == JT_FAILURE_LIMIT)
		slot = fewest_failures_slot(reports);
	if (slot == reports->count)
		reports->count++;
	if (reports->pending[slot].label != label)
		reports->pending[slot] =
			(struct jt_endpoint_failure){.label = label};
	reports->pending[slot].failed_permille +=
		(uint32_t)(requests * PERMILLE);
	reports->failed = true;
}

void jt_failure_reports_add_served(struct jt_failure_reports *reports,
				   uint32_t label)
{
	size_t slot = pending_slot(reports, label);

	if (slot == JT_FAILURE_LIMIT)
		return;
	if (slot == reports->count)
		reports->pending[reports->count++] =
			(struct jt_endpoint_failure){.label = label};
	reports->pending[slot].served_permille += PERMILLE;
}

bool jt_failure_reports_due(struct jt_failure_reports *reports, uint64_t nodes,
			    uint64_t now_ms)
{
	uint64_t collected_ms = now_ms - reports->reported_ms;

	if (!reports->failed || nodes < 2 || collected_ms < COLLECT_MS)
		return false;
	reports->datagrams +=
		(double)(now_ms - reports->as_of_ms) * DATAGRAMS_PER_S / 1000;
	reports->as_of_ms = now_ms;
	if (reports->datagrams > DATAGRAMS_BURST)
		reports->datagrams = DATAGRAMS_BURST;
	return reports->datagrams >= (double)(nodes - 1) ||
	       (collected_ms >= COLLECT_MAX_MS && reports->datagrams >= 1);
}

size_t jt_failure_reports_collect(
	struct jt_failure_reports *reports, uint64_t nodes, uint64_t now_ms,
	struct jt_endpoint_failure failures[JT_FAILURE_LIMIT], size_t *peers)
{
	size_t count = reports->count;

	*peers = nodes - 1;
	if ((double)*peers > reports->datagrams)
		*peers = (size_t)reports->datagrams;
	memcpy(failures, reports->pending, count * sizeof(*failures));
	reports->count = 0;
	reports->failed = false;
	memset(reports->pending, 0, sizeof(reports->pending));
	reports->reported_ms = now_ms;
	reports->datagrams -= (double)*peers;
	return count;
}
