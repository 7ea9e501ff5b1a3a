/* Handling of client packets. */
#ifndef JT_DIRECTOR_PACKET_H
#define JT_DIRECTOR_PACKET_H

#include "jt_director_private.h"

/* Assigns, forwards, resets, holds or drops one client packet. */
void jt_director_packet(struct jt_director *director,
			const struct jt_label_packet *packet, uint64_t now_ms,
			struct jt_director_actions *actions);

#endif
