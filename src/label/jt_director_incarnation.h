/* State changes of incarnations and ownership of addresses. */
#ifndef JT_DIRECTOR_INCARNATION_H
#define JT_DIRECTOR_INCARNATION_H

#include "jt_director_private.h"

/* Changes the state of the incarnation and reports the change. */
void jt_director_state_enter(struct jt_incarnation *incarnation,
			     enum jt_incarnation_state state, uint64_t now_ms,
			     struct jt_director_actions *actions);
/* Returns the state according to the discovery entry alone. */
enum jt_incarnation_state
jt_director_listed_state(const struct jt_incarnation *incarnation);
/* Resets the incarnation's flows that have certainly ended. An open flow has
 * not if a living incarnation has the same label: that one resets the flows
 * that it does not hold. */
void jt_director_flows_reset(struct jt_director *director,
			     const struct jt_incarnation *incarnation,
			     uint64_t now_ms,
			     struct jt_director_actions *actions);
/* Declares the incarnation dead. */
void jt_director_incarnation_declare_dead(struct jt_director *director,
					  struct jt_incarnation *incarnation,
					  enum jt_death_cause cause,
					  uint64_t now_ms,
					  struct jt_director_actions *actions);
/* Marks an incarnation that was declared dead as alive again. */
void jt_director_incarnation_revives(struct jt_director *director,
				     struct jt_incarnation *incarnation,
				     uint64_t now_ms,
				     struct jt_director_actions *actions);
/* Assigns the address of @updated, whose entry is new, to the incarnation with
 * the newest entry and declares the others at that address dead. */
void jt_director_address_assign(struct jt_director *director,
				struct jt_incarnation *updated, uint64_t now_ms,
				struct jt_director_actions *actions);
/* Assigns the address to @found, which responded at it, regardless of other
 * entries. */
void jt_director_address_confirm(struct jt_director *director,
				 struct jt_incarnation *found, uint64_t now_ms,
				 struct jt_director_actions *actions);
/* Handles the removal of the entry of @removed, which seemed to own its
 * address. Revives the incarnation that it replaced by mistake, because of a
 * delayed write, if that one still has its entry. */
void jt_director_address_release(struct jt_director *director,
				 const struct jt_incarnation *removed,
				 uint64_t now_ms,
				 struct jt_director_actions *actions);

#endif
