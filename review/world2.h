/*
 * What the cases of the second review add to the stand-ins of review/world/.
 * build-2.sh compiles the endpoints with these two functions in place of draw()
 * and packet_decode(); each case defines them.
 */
#ifndef WORLD2_H
#define WORLD2_H

#include "world/world.h"

/* Bounds of the draws from which an endpoint's id is made. */
enum { ID_HIGH_DRAWS = 200 };
#define ID_LOW_DRAWS (1u << 31)
/* Added to the high part of an id. */
enum { ID_HIGH_BASE = 0x10 };

/* Draws for the endpoints: ids and sequence numbers. */
uint32_t endpoint_draw(uint32_t below);

/* Decodes a packet that an endpoint got; false: the endpoint ignores it. The 8
 * bytes before @bytes name the endpoint. */
bool endpoint_packet_decode(const uint8_t *bytes, size_t size,
			    struct packet *packet);

#endif
