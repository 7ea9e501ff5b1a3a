/* Expiry of idle flows and of endpoints without an entry. */
#ifndef JT_DIRECTOR_EXPIRY_H
#define JT_DIRECTOR_EXPIRY_H

#include "jt_director_private.h"

/* Returns the idle timeout of flows according to the routing. */
uint64_t jt_director_flow_idle_ms(const struct jt_director *director);
/* Removes flows that have exceeded the idle timeout. */
void jt_director_flows_expire(struct jt_director *director, uint64_t now_ms);
/* Sends due probes and removes endpoints whose entry was removed longer ago
 * than the maximum lifetime of a flow. */
void jt_director_endpoints_tick(struct jt_director *director, uint64_t now_ms,
				struct jt_director_actions *actions);

#endif
