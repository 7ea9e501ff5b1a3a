/* What discovery tells of an endpoint. */
#ifndef JT_DIRECTOR_ENTRY_H
#define JT_DIRECTOR_ENTRY_H

#include "jt_director_private.h"

/* Its entry, of an endpoint that is new, goes on, or has started again. */
void jt_director_entry(struct jt_director *director,
		       const struct jt_endpoint_entry *entry, uint64_t now_ms,
		       struct jt_director_actions *actions);
/* Its entry went at @revision. */
void jt_director_entry_gone(struct jt_director *director, uint64_t id,
			    uint64_t revision, uint64_t now_ms,
			    struct jt_director_actions *actions);
/*
 * The newest form of the entry can't be read: it names no endpoint to use. The
 * endpoint may be well, and its open flows go on until it is known to be dead.
 */
void jt_director_entry_unreadable(struct jt_director *director, uint64_t id,
				  uint64_t revision, uint64_t now_ms,
				  struct jt_director_actions *actions);

#endif
