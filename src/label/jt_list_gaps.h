/*
 * Which changes a node can't tell a peer one by one. Whoever takes a whole list
 * knows what is there, and not what came and went since it last knew all; a
 * peer that knows such an entry must not hear that nothing else has changed.
 *
 * Pure. Revisions are the store's.
 */
#ifndef JT_LIST_GAPS_H
#define JT_LIST_GAPS_H

#include "jaspertrack/director-t.h"

struct jt_list_gaps {
	struct jt_list_gap newest;
	uint64_t forgotten; /* before it, changes may be missing anywhere */
};

/* A gap of this node, or of a peer whose knowledge it takes over. */
void jt_list_gaps_add(struct jt_list_gaps *gaps, struct jt_list_gap gap);
/* An entry that had changed at that revision is forgotten. */
void jt_list_gaps_forget(struct jt_list_gaps *gaps, uint64_t revision);
/* Whether all changes after @since are known. */
bool jt_list_gaps_know(const struct jt_list_gaps *gaps, uint64_t since);
/* The gap that one who knew all up to @since takes over along with what this
 * node knows. */
struct jt_list_gap jt_list_gaps_after(const struct jt_list_gaps *gaps,
				      uint64_t since);

#endif
