#include "jt_peer_loads.h"

#include <string.h>

enum { REPORT_MAX_AGE_MS = 10000 };

static int loads_destructor(struct jt_peer_loads *peers)
{
	HASH_CLEAR(hh, peers->sums);
	return 0;
}

struct jt_peer_loads *jt_peer_loads_create(TALLOC_CTX *mem_ctx)
{
	struct jt_peer_loads *peers =
		talloc_zero(mem_ctx, struct jt_peer_loads);

	if (peers != NULL)
		talloc_set_destructor(peers, loads_destructor);
	return peers;
}

static struct jt_load_sum *sum_find(const struct jt_peer_loads *peers,
				    uint32_t label)
{
	struct jt_load_sum *sum;

	HASH_FIND(hh, peers->sums, &label, sizeof(label), sum);
	return sum;
}

static void sum_add(struct jt_peer_loads *peers,
		    const struct jt_endpoint_load *load)
{
	struct jt_load_sum *sum = sum_find(peers, load->label);

	if (sum == NULL) {
		sum = talloc_zero(peers, struct jt_load_sum);
		if (sum == NULL)
			return;
		sum->label = load->label;
		HASH_ADD(hh, peers->sums, label, sizeof(sum->label), sum);
	}
	sum->flows += load->flows;
	sum->recent_load_permille += load->recent_load_permille;
}

static void sum_remove(struct jt_peer_loads *peers,
		       const struct jt_endpoint_load *load)
{
	struct jt_load_sum *sum = sum_find(peers, load->label);

	if (sum == NULL || peers->sums == NULL)
		return;
	sum->flows -= load->flows < sum->flows ? load->flows : sum->flows;
	sum->recent_load_permille -=
		load->recent_load_permille < sum->recent_load_permille
			? load->recent_load_permille
			: sum->recent_load_permille;
	if (sum->flows > 0 || sum->recent_load_permille > 0)
		return;
	HASH_DEL(peers->sums, sum);
	talloc_free(sum);
}

static void report_drop(struct jt_peer_loads *peers, size_t slot)
{
	struct jt_peer_report *report = peers->reports[slot];

	if (report == NULL)
		return;
	for (size_t i = 0; i < report->count; i++)
		sum_remove(peers, &report->loads[i]);
	TALLOC_FREE(peers->reports[slot]);
	peers->report_count--;
}

/* Drops expired reports and updates the next time of expiry. */
static void reports_expire(struct jt_peer_loads *peers, uint64_t now_ms)
{
	peers->outdated_ms = UINT64_MAX;
	for (size_t i = 0; i < JT_PEER_LOADS_LIMIT; i++) {
		const struct jt_peer_report *report = peers->reports[i];
		uint64_t outdated_ms;

		if (report == NULL)
			continue;
		outdated_ms = report->received_ms + REPORT_MAX_AGE_MS + 1;
		if (now_ms >= outdated_ms)
			report_drop(peers, i);
		else if (outdated_ms < peers->outdated_ms)
			peers->outdated_ms = outdated_ms;
	}
}

/* Returns the index of the peer's report, or else that of a free slot or of the
 * oldest report. */
static size_t report_slot(const struct jt_peer_loads *peers, uint64_t peer)
{
	size_t oldest = 0;

	for (size_t i = 0; i < JT_PEER_LOADS_LIMIT; i++) {
		const struct jt_peer_report *report = peers->reports[i];

		if (report != NULL && report->peer == peer)
			return i;
		if (peers->reports[oldest] == NULL)
			continue;
		if (report == NULL ||
		    report->received_ms < peers->reports[oldest]->received_ms)
			oldest = i;
	}
	return oldest;
}

void jt_peer_loads_update(struct jt_peer_loads *peers, uint64_t peer,
			  const struct jt_endpoint_load *loads, size_t count,
			  uint64_t now_ms)
{
	size_t slot = report_slot(peers, peer);
	struct jt_peer_report *report;

	report_drop(peers, slot);
	report = talloc_zero(peers, struct jt_peer_report);
	if (report == NULL)
		return;
	if (count > JT_LOAD_LIMIT)
		count = JT_LOAD_LIMIT;
	report->peer = peer;
	report->received_ms = now_ms;
	report->count = count;
	if (count > 0)
		memcpy(report->loads, loads, count * sizeof(*loads));
	peers->reports[slot] = report;
	peers->report_count++;
	for (size_t i = 0; i < count; i++)
		sum_add(peers, &report->loads[i]);
	reports_expire(peers, now_ms);
}

/* Returns the sum of the unexpired reports for the endpoint, NULL if there are
 * none. */
static const struct jt_load_sum *current_sum(struct jt_peer_loads *peers,
					     uint32_t label, uint64_t now_ms)
{
	if (now_ms >= peers->outdated_ms)
		reports_expire(peers, now_ms);
	return peers->report_count > 0 ? sum_find(peers, label) : NULL;
}

double jt_peer_loads_mean(struct jt_peer_loads *peers, uint32_t label,
			  uint64_t now_ms)
{
	const struct jt_load_sum *sum = current_sum(peers, label, now_ms);

	return sum != NULL ? (double)sum->flows / (double)peers->report_count
			   : 0;
}

double jt_peer_loads_mean_load(struct jt_peer_loads *peers, uint32_t label,
			       uint64_t now_ms)
{
	const struct jt_load_sum *sum = current_sum(peers, label, now_ms);

	return sum != NULL ? (double)sum->recent_load_permille /
				     JT_RECENT_LOAD_UNIT /
				     (double)peers->report_count
			   : 0;
}
