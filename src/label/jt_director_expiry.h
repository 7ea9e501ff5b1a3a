/* What a director forgets with time: flows at rest, endpoints long gone. */
#ifndef JT_DIRECTOR_EXPIRY_H
#define JT_DIRECTOR_EXPIRY_H

#include "jt_director_private.h"

/* How long a flow may rest, by the routing. */
uint64_t jt_director_flow_idle_ms(const struct jt_director *director);
/* Forget flows that rest for longer. */
void jt_director_flows_expire(struct jt_director *director, uint64_t now_ms);
/* Probe endpoints that are due for it, forget those whose entry has been gone
 * for longer than any flow lives. */
void jt_director_endpoints_tick(struct jt_director *director, uint64_t now_ms,
				struct jt_director_actions *actions);

#endif
