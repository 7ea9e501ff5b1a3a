/* Lookups at peers for retransmitted SYNs whose flow a peer may have
 * assigned. */
#ifndef JT_DIRECTOR_LOOKUP_H
#define JT_DIRECTOR_LOOKUP_H

#include "jt_director_private.h"

/* Returns true if the SYN, whose flow is unknown here, must wait for peers.
 * Starts a lookup if there is none. */
bool jt_director_lookup_waits(struct jt_director *director,
			      const struct jt_label_packet *packet,
			      uint64_t now_ms,
			      struct jt_director_actions *actions);
/* Handles a peer's response, JT_DIRECTOR_FLOW_TOLD. */
void jt_director_flow_told(struct jt_director *director,
			   const struct jt_director_event *event);

#endif
