#include "jt_knowledge_fetch.h"

static void fetch_begin(struct jt_knowledge_fetch *fetch,
			const struct jt_own_state *own)
{
	*fetch = (struct jt_knowledge_fetch){
		.begun = true,
		.since = own->started ? own->revision : 0,
		.revision = UINT64_MAX,
		.store_as_of_ms = UINT64_MAX,
	};
}

struct jt_knowledge_need
jt_knowledge_fetch_need(struct jt_knowledge_fetch *fetch,
			const struct jt_own_state *own)
{
	/* The slices received so far hold nothing new any more. */
	bool outdated = own->started && own->revision >= fetch->revision;

	if (!fetch->begun || outdated)
		fetch_begin(fetch, own);
	return (struct jt_knowledge_need){
		.since = fetch->since,
		.version = own->routing_version,
		.slice = fetch->slice,
	};
}

/* Adds the listing gap of a sender. A sender that sent all entries instead of
 * the changes did not send what was created and removed since the fetch began,
 * which is a gap as well. */
static void gap_merge(struct jt_knowledge_fetch *fetch,
		      const jt_wire_knowledge *knowledge)
{
	struct jt_listing_gap gap = {knowledge->gap_from, knowledge->gap_to};

	if (knowledge->since < fetch->since)
		gap = (struct jt_listing_gap){fetch->since,
					      knowledge->revision};
	if (knowledge->forgotten > fetch->forgotten)
		fetch->forgotten = knowledge->forgotten;
	if (gap.to == 0)
		return;
	if (fetch->gap.to == 0 || gap.from < fetch->gap.from)
		fetch->gap.from = gap.from;
	if (gap.to > fetch->gap.to)
		fetch->gap.to = gap.to;
}

bool jt_knowledge_fetch_took(struct jt_knowledge_fetch *fetch,
			     const jt_wire_knowledge *knowledge,
			     uint64_t now_ms)
{
	uint64_t as_of_ms = now_ms > knowledge->store_age_ms
				    ? now_ms - knowledge->store_age_ms
				    : 0;

	if (!fetch->begun || knowledge->slice != fetch->slice ||
	    knowledge->slice_next <= knowledge->slice ||
	    knowledge->since > fetch->since)
		return false;
	fetch->slice = knowledge->slice_next;
	if (knowledge->revision < fetch->revision)
		fetch->revision = knowledge->revision;
	if (knowledge->initial_sync_ms > fetch->initial_sync_ms)
		fetch->initial_sync_ms = knowledge->initial_sync_ms;
	gap_merge(fetch, knowledge);
	if (as_of_ms < fetch->store_as_of_ms) {
		fetch->store_as_of_ms = as_of_ms;
		fetch->store_reader = knowledge->store_reader;
	}
	fetch->begun = fetch->slice < JT_DIRECTOR_SLICES;
	return !fetch->begun;
}
