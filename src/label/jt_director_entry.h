/* Discovery entries of endpoints: creation, update and removal. */
#ifndef JT_DIRECTOR_ENTRY_H
#define JT_DIRECTOR_ENTRY_H

#include "jt_director_private.h"

/* Applies the entry of a new, updated or restarted endpoint. */
void jt_director_entry(struct jt_director *director,
		       const struct jt_endpoint_entry *entry, uint64_t now_ms,
		       struct jt_director_actions *actions);
/* Records that the entry was removed at @revision, @age_ms before @now_ms (0:
 * just now, or unknown). */
void jt_director_entry_removed(struct jt_director *director, uint64_t id,
			       uint64_t revision, uint32_t age_ms,
			       uint64_t now_ms,
			       struct jt_director_actions *actions);
/* Records that the newest revision of the entry, which was written @age_ms
 * before @now_ms, can't be decoded, so that it accepts no new flows. The
 * endpoint may still serve: its open flows continue until it is declared dead.
 */
void jt_director_entry_unreadable(struct jt_director *director, uint64_t id,
				  uint64_t revision, uint32_t age_ms,
				  uint64_t now_ms,
				  struct jt_director_actions *actions);

#endif
