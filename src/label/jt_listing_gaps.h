/*
 * Tracks listing gaps: revision ranges whose changes this node did not observe
 * one by one. A node that takes a full listing knows the current entries, but
 * not those created and removed since its last complete state. A peer that has
 * such an entry must not be informed that no other entry has changed.
 *
 * This module does no I/O. Revisions are those of the store.
 */
#ifndef JT_LISTING_GAPS_H
#define JT_LISTING_GAPS_H

#include "jaspertrack/director-t.h"

struct jt_listing_gaps {
	struct jt_listing_gap newest;
	uint64_t incomplete_before; /* before this revision, changes may be
				       missing */
};

/* Adds a gap of this node, or of a peer whose state it takes over. */
void jt_listing_gaps_add(struct jt_listing_gaps *gaps,
			 struct jt_listing_gap gap);
/* Records that an entry last changed at @revision was dropped. */
void jt_listing_gaps_discard_before(struct jt_listing_gaps *gaps,
				    uint64_t revision);
/* Returns true if all changes after @since are known one by one. */
bool jt_listing_gaps_covers(const struct jt_listing_gaps *gaps, uint64_t since);
/* Returns the gap that a peer with all changes up to @since takes over with
 * this node's state; both bounds are 0 if there is none. */
struct jt_listing_gap jt_listing_gaps_after(const struct jt_listing_gaps *gaps,
					    uint64_t since);

#endif
