/* Copies of first packets whose flows peers may have placed: when peers are
 * asked, and what follows from their answers. */
#ifndef JT_DIRECTOR_LOOKUP_H
#define JT_DIRECTOR_LOOKUP_H

#include "jt_director_private.h"

/* Whether the first packet, whose flow this node does not know, must wait for
 * peers; they are asked for it if that has not been done. */
bool jt_director_lookup_waits(struct jt_director *director,
			      const struct jt_label_packet *packet,
			      uint64_t now_ms,
			      struct jt_director_actions *actions);
/* A peer's answer: JT_DIRECTOR_FLOW_TOLD. */
void jt_director_flow_told(struct jt_director *director,
			   const struct jt_director_event *event);

#endif
