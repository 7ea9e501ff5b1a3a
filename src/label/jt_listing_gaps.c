#include "jt_listing_gaps.h"

/* Returns true if an entry can have been created and removed between the two
 * revisions. */
static bool is_gap(struct jt_listing_gap gap)
{
	return gap.to > gap.from + 1;
}

void jt_listing_gaps_discard_before(struct jt_listing_gaps *gaps,
				    uint64_t revision)
{
	if (revision > gaps->incomplete_before)
		gaps->incomplete_before = revision;
}

void jt_listing_gaps_add(struct jt_listing_gaps *gaps,
			 struct jt_listing_gap gap)
{
	if (!is_gap(gap))
		return;
	if (gap.to <= gaps->newest.to) {
		/* An older gap: if it begins before the newest one, changes up
		 * to its end may be missing. */
		if (gap.from < gaps->newest.from)
			jt_listing_gaps_discard_before(gaps, gap.to);
		return;
	}
	jt_listing_gaps_discard_before(gaps, gaps->newest.to);
	gaps->newest = gap;
}

bool jt_listing_gaps_covers(const struct jt_listing_gaps *gaps, uint64_t since)
{
	bool inside = since > gaps->newest.from && since < gaps->newest.to;

	return since >= gaps->incomplete_before && !inside;
}

struct jt_listing_gap jt_listing_gaps_after(const struct jt_listing_gaps *gaps,
					    uint64_t since)
{
	struct jt_listing_gap gap = gaps->newest;

	if (gap.to <= since)
		return (struct jt_listing_gap){0};
	if (gap.from < since)
		gap.from = since;
	return gap;
}
