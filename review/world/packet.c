/* Encoding and decoding of packets. */
#include "world.h"

#include <string.h>

static void write16(uint8_t *at, uint32_t value)
{
	at[0] = (uint8_t)value;
	at[1] = (uint8_t)(value >> 8);
}

static void write32(uint8_t *at, uint32_t value)
{
	write16(at, value);
	write16(at + 2, value >> 16);
}

static uint32_t read16(const uint8_t *at)
{
	return (uint32_t)at[0] | (uint32_t)at[1] << 8;
}

static uint32_t read32(const uint8_t *at)
{
	return read16(at) | read16(at + 2) << 16;
}

/* A keyed sum of everything but `echo`, `pad` and BOUNCED. */
static uint32_t packet_sum(const struct packet *packet)
{
	const uint32_t fields[] = {
		packet->source,	     packet->destination,
		packet->sequence,    packet->acknowledged,
		packet->source_port, packet->destination_port,
		packet->flags & ~8u, packet->length,
	};
	uint32_t sum = 0x9e3779b9;

	for (size_t i = 0; i < sizeof(fields) / sizeof(fields[0]); i++)
		sum = (sum ^ fields[i]) * 0x01000193;
	for (size_t i = 0; i < packet->length; i++)
		sum = (sum ^ (uint8_t)packet->data[i]) * 0x01000193;
	return sum | 1;
}

size_t packet_encode(struct packet *packet, uint8_t *bytes)
{
	packet->sum = packet_sum(packet);
	memset(bytes, 0, HEADER);
	write32(bytes, packet->source);
	write16(bytes + 4, packet->source_port);
	write16(bytes + 6, packet->destination_port);
	write32(bytes + 8, packet->destination);
	write32(bytes + 12, packet->label);
	write32(bytes + 16, packet->sum);
	write32(bytes + 20, packet->sequence);
	write32(bytes + 24, packet->acknowledged);
	bytes[28] = packet->flags;
	write16(bytes + 30, packet->length);
	memcpy(bytes + HEADER, packet->data, packet->length);
	return HEADER + packet->length;
}

bool packet_decode(const uint8_t *bytes, size_t size, struct packet *packet)
{
	if (size < HEADER || size > HEADER + DATA_MAX)
		return false;
	packet->source = read32(bytes);
	packet->source_port = (uint16_t)read16(bytes + 4);
	packet->destination_port = (uint16_t)read16(bytes + 6);
	packet->destination = read32(bytes + 8);
	packet->label = read32(bytes + 12);
	packet->sum = read32(bytes + 16);
	packet->sequence = read32(bytes + 20);
	packet->acknowledged = read32(bytes + 24);
	packet->flags = bytes[28];
	packet->length = (uint16_t)(size - HEADER);
	memcpy(packet->data, bytes + HEADER, packet->length);
	packet->data[packet->length] = '\0';
	return read16(bytes + 30) == packet->length;
}

bool packet_sum_valid(const struct packet *packet)
{
	return packet->sum == packet_sum(packet);
}
