/* Encoding and decoding of packets. */
#include "soak.h"

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

size_t soak_packet_encode(const struct soak_packet *packet, uint8_t *data)
{
	memset(data, 0, SOAK_HEADER_SIZE);
	write32(data, packet->source);
	write16(data + 4, packet->source_port);
	write16(data + 6, packet->destination_port);
	write32(data + 8, packet->destination);
	write32(data + 12, packet->label);
	write32(data + 16, packet->checksum);
	write32(data + 20, packet->sequence);
	write32(data + 24, packet->acknowledged);
	data[28] = packet->flags;
	write16(data + 30, (uint32_t)packet->length);
	memcpy(data + SOAK_HEADER_SIZE, packet->data, packet->length);
	return SOAK_HEADER_SIZE + packet->length;
}

bool soak_packet_decode(const uint8_t *data, size_t length,
			struct soak_packet *packet)
{
	if (length < SOAK_HEADER_SIZE ||
	    length >= SOAK_HEADER_SIZE + sizeof(packet->data))
		return false;
	packet->source = read32(data);
	packet->source_port = (uint16_t)read16(data + 4);
	packet->destination_port = (uint16_t)read16(data + 6);
	packet->destination = read32(data + 8);
	packet->label = read32(data + 12);
	packet->checksum = read32(data + 16);
	packet->sequence = read32(data + 20);
	packet->acknowledged = read32(data + 24);
	packet->flags = data[28];
	packet->length = length - SOAK_HEADER_SIZE;
	memcpy(packet->data, data + SOAK_HEADER_SIZE, packet->length);
	packet->data[packet->length] = '\0';
	return read16(data + 30) == packet->length;
}
