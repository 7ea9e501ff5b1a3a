/* Admission control of new flows for the director. */
#ifndef JT_DIRECTOR_ADMISSION_H
#define JT_DIRECTOR_ADMISSION_H

#include "jt_director_private.h"

/* Returns true if admission control accepts the flow whose SYN is @packet;
 * @room is set to the state that decided. Retransmitted SYNs are always
 * accepted, because another node may have assigned the flow. */
bool jt_director_admits(struct jt_director *director,
			const struct jt_label_packet *packet,
			const struct jt_route *route, uint64_t now_ms,
			struct jt_director_room *room);
/* Updates the admission limits and reports those that begin or end. */
void jt_director_admission_tick(struct jt_director *director, uint64_t now_ms,
				struct jt_director_actions *actions);

#endif
