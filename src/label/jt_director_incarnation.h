/* How incarnations begin and end for a node, and who has an address. */
#ifndef JT_DIRECTOR_INCARNATION_H
#define JT_DIRECTOR_INCARNATION_H

#include "jt_director_private.h"

/* The incarnation is in @state from now on; what changes is told. */
void jt_director_state_enter(struct jt_incarnation *incarnation,
			     enum jt_incarnation_state state, uint64_t now_ms,
			     struct jt_director_actions *actions);
/* The state that discovery's entry alone gives. */
enum jt_incarnation_state
jt_director_listed_state(const struct jt_incarnation *incarnation);
/* Reset the incarnation's flows, as far as it is sure that they are gone. */
void jt_director_flows_reset(struct jt_director *director,
			     const struct jt_incarnation *incarnation,
			     uint64_t now_ms,
			     struct jt_director_actions *actions);
/* It is dead, for this reason. */
void jt_director_incarnation_dies(struct jt_director *director,
				  struct jt_incarnation *incarnation,
				  enum jt_death_cause cause, uint64_t now_ms,
				  struct jt_director_actions *actions);
/* It was taken for dead, and lives. */
void jt_director_incarnation_revives(struct jt_director *director,
				     struct jt_incarnation *incarnation,
				     uint64_t now_ms,
				     struct jt_director_actions *actions);
/*
 * An address belongs to the incarnation whose entry is the newest; whoever
 * had it before is gone. The entry of @taken is new.
 */
void jt_director_address_settle(struct jt_director *director,
				struct jt_incarnation *taken, uint64_t now_ms,
				struct jt_director_actions *actions);
/*
 * The incarnation answers at its address: it has the address, whatever entries
 * there are of others.
 */
void jt_director_address_found(struct jt_director *director,
			       struct jt_incarnation *found, uint64_t now_ms,
			       struct jt_director_actions *actions);
/*
 * The entry went of the one that seemed to have the address. Another one whose
 * entry is still there was replaced by mistake: the other's was written late.
 */
void jt_director_address_given_back(struct jt_director *director,
				    const struct jt_incarnation *gone,
				    uint64_t now_ms,
				    struct jt_director_actions *actions);

#endif
