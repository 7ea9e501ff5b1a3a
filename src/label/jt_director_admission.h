/* Whether services have room, as the director asks and tells it. */
#ifndef JT_DIRECTOR_ADMISSION_H
#define JT_DIRECTOR_ADMISSION_H

#include "jt_director_private.h"

/*
 * Whether the route's service has room for the flow whose first packet is
 * @packet; @room tells what decided. A caller's copy of a first packet may have
 * been placed by another node: it is let pass.
 */
bool jt_director_admits(struct jt_director *director,
			const struct jt_label_packet *packet,
			const struct jt_route *route, uint64_t now_ms,
			struct jt_director_room *room);
/* Time has passed: limits move, and those that begin or end are told. */
void jt_director_admission_tick(struct jt_director *director, uint64_t now_ms,
				struct jt_director_actions *actions);

#endif
