#include "jt_snapshot_fetch.h"

static void fetch_begin(struct jt_snapshot_fetch *fetch,
			const struct jt_own_state *own)
{
	*fetch = (struct jt_snapshot_fetch){
		.begun = true,
		.since = own->started ? own->revision : 0,
		.revision = UINT64_MAX,
		.store_as_of_ms = UINT64_MAX,
	};
}

struct jt_snapshot_request
jt_snapshot_fetch_request(struct jt_snapshot_fetch *fetch,
			  const struct jt_own_state *own)
{
	/* The slices received so far hold nothing new any more. */
	bool outdated = own->started && own->revision >= fetch->revision;

	if (!fetch->begun || outdated)
		fetch_begin(fetch, own);
	return (struct jt_snapshot_request){
		.since = fetch->since,
		.version = own->routing_version,
		.slice = fetch->slice,
	};
}

/* Adds the listing gap of a sender. A sender that sent all entries instead of
 * the changes did not send what was created and removed since the fetch began,
 * which is a gap as well. */
static void gap_merge(struct jt_snapshot_fetch *fetch,
		      const jt_wire_snapshot *snapshot)
{
	struct jt_listing_gap gap = {snapshot->gap_from, snapshot->gap_to};

	if (snapshot->since < fetch->since)
		gap = (struct jt_listing_gap){fetch->since, snapshot->revision};
	if (snapshot->incomplete_before > fetch->incomplete_before)
		fetch->incomplete_before = snapshot->incomplete_before;
	if (gap.to == 0)
		return;
	if (fetch->gap.to == 0 || gap.from < fetch->gap.from)
		fetch->gap.from = gap.from;
	if (gap.to > fetch->gap.to)
		fetch->gap.to = gap.to;
}

bool jt_snapshot_fetch_record(struct jt_snapshot_fetch *fetch,
			      const jt_wire_snapshot *snapshot,
			      uint64_t requested_ms)
{
	uint64_t as_of_ms = requested_ms > snapshot->store_age_ms
				    ? requested_ms - snapshot->store_age_ms
				    : 0;

	if (!fetch->begun || snapshot->slice != fetch->slice ||
	    snapshot->slice_next <= snapshot->slice ||
	    snapshot->since > fetch->since)
		return false;
	fetch->slice = snapshot->slice_next;
	if (snapshot->revision < fetch->revision)
		fetch->revision = snapshot->revision;
	if (snapshot->initial_sync_ms > fetch->initial_sync_ms)
		fetch->initial_sync_ms = snapshot->initial_sync_ms;
	gap_merge(fetch, snapshot);
	if (as_of_ms < fetch->store_as_of_ms) {
		fetch->store_as_of_ms = as_of_ms;
		fetch->store_reader = snapshot->store_reader;
	}
	fetch->begun = fetch->slice < JT_DIRECTOR_SLICES;
	return !fetch->begun;
}
