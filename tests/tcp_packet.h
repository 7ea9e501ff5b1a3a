/* Builds minimal TCP over IPv4 packets for tests and benchmarks. */
#ifndef TCP_PACKET_H
#define TCP_PACKET_H

#include "jaspertrack/types-t.h"
#include "jt_packet.h"

#include <string.h>

/*
 * Writes a packet of @size bytes (40 to 255) from 10.0.0.0:@port to
 * 10.0.0.2:80 with the TCP @flags, no header options and a zero payload.
 */
static inline void tcp_packet_make(uint8_t *packet, uint8_t size, uint16_t port,
				   uint8_t flags)
{
	uint16_t sum;

	memset(packet, 0, size);
	packet[0] = 0x45;
	packet[3] = size;
	packet[8] = 64;
	packet[9] = JT_PROTOCOL_TCP;
	packet[12] = packet[16] = 10;
	packet[19] = 2;
	sum = jt_checksum(packet, 20, 0);
	packet[10] = (uint8_t)(sum >> 8);
	packet[11] = (uint8_t)sum;
	packet[20] = (uint8_t)(port >> 8);
	packet[21] = (uint8_t)port;
	packet[23] = 80;
	packet[32] = 5 << 4;
	packet[33] = flags;
}

#endif
