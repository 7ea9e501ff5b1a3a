/* What becomes of a caller's packet. */
#ifndef JT_DIRECTOR_PACKET_H
#define JT_DIRECTOR_PACKET_H

#include "jt_director_private.h"

/* Place, forward, reset, hold or drop one packet of a caller. */
void jt_director_packet(struct jt_director *director,
			const struct jt_label_packet *packet, uint64_t now_ms,
			struct jt_director_actions *actions);

#endif
