#include "jt_packet.h"

#include <string.h>

enum {
	IPV4_HEADER = 20,
	TCP_HEADER = 20,
	UDP_HEADER = 8,
	IPV4_MORE_FRAGMENTS = 0x2000,
	IPV4_FRAGMENT_OFFSET = 0x1fff,
	RESET_TTL = 64,
};

static uint16_t read16(const uint8_t *at)
{
	return (uint16_t)(at[0] << 8 | at[1]);
}

static uint32_t read32(const uint8_t *at)
{
	return (uint32_t)read16(at) << 16 | read16(at + 2);
}

static void write16(uint8_t *at, uint16_t value)
{
	at[0] = (uint8_t)(value >> 8);
	at[1] = (uint8_t)value;
}

static void write32(uint8_t *at, uint32_t value)
{
	write16(at, (uint16_t)(value >> 16));
	write16(at + 2, (uint16_t)value);
}

uint16_t jt_checksum(const uint8_t *data, size_t length, uint32_t sum)
{
	for (size_t i = 0; i + 1 < length; i += 2)
		sum += read16(data + i);
	if (length & 1)
		sum += (uint32_t)data[length - 1] << 8;
	while (sum >> 16)
		sum = (sum & 0xffff) + (sum >> 16);
	return (uint16_t)~sum;
}

static enum jt_packet_error parse_ipv4(const uint8_t *packet, size_t length)
{
	if (length < 1)
		return JT_PACKET_SHORT;
	if (packet[0] >> 4 == 6)
		return JT_PACKET_IPV6;
	if (packet[0] >> 4 != 4)
		return JT_PACKET_VERSION;
	if (length < IPV4_HEADER)
		return JT_PACKET_SHORT;
	if ((packet[0] & 0x0f) < 5)
		return JT_PACKET_LENGTH;
	if ((packet[0] & 0x0f) > 5)
		return JT_PACKET_OPTIONS;
	if (read16(packet + 2) != length)
		return JT_PACKET_LENGTH;
	if (read16(packet + 6) & (IPV4_MORE_FRAGMENTS | IPV4_FRAGMENT_OFFSET))
		return JT_PACKET_FRAGMENT;
	if (jt_checksum(packet, IPV4_HEADER, 0) != 0)
		return JT_PACKET_CHECKSUM;
	return JT_PACKET_OK;
}

static enum jt_packet_error parse_tcp(const uint8_t *tcp, size_t length,
				      struct jt_parsed_packet *parsed)
{
	size_t header;
	uint8_t flags;

	if (length < TCP_HEADER)
		return JT_PACKET_HEADER;
	header = (size_t)(tcp[12] >> 4) * 4;
	if (header < TCP_HEADER || header > length)
		return JT_PACKET_HEADER;
	flags = tcp[13];
	if ((flags & JT_TCP_SYN) && (flags & (JT_TCP_FIN | JT_TCP_RST)))
		return JT_PACKET_FLAGS;
	if (!(flags & (JT_TCP_SYN | JT_TCP_RST | JT_TCP_ACK)))
		return JT_PACKET_FLAGS;
	/* Clients don't send SYN-ACK; only endpoints do. */
	if ((flags & JT_TCP_SYN) && (flags & JT_TCP_ACK))
		return JT_PACKET_FLAGS;
	parsed->tcp_flags = flags;
	parsed->sequence = read32(tcp + 4);
	parsed->acknowledgment = read32(tcp + 8);
	parsed->segment_length = (uint32_t)(length - header) +
				 ((flags & JT_TCP_SYN) != 0) +
				 ((flags & JT_TCP_FIN) != 0);
	return JT_PACKET_OK;
}

enum jt_packet_error jt_packet_parse(const uint8_t *packet, size_t length,
				     struct jt_parsed_packet *parsed)
{
	enum jt_packet_error error = parse_ipv4(packet, length);
	const uint8_t *payload = packet + IPV4_HEADER;

	if (error != JT_PACKET_OK)
		return error;
	memset(parsed, 0, sizeof(*parsed));
	parsed->key.protocol = packet[9];
	parsed->key.source = read32(packet + 12);
	parsed->key.destination = read32(packet + 16);
	length -= IPV4_HEADER;
	switch (parsed->key.protocol) {
	case JT_PROTOCOL_TCP:
		error = parse_tcp(payload, length, parsed);
		if (error != JT_PACKET_OK)
			return error;
		break;
	case JT_PROTOCOL_UDP:
		if (length < UDP_HEADER || read16(payload + 4) != length)
			return JT_PACKET_HEADER;
		break;
	default:
		return JT_PACKET_PROTOCOL;
	}
	parsed->key.source_port = read16(payload);
	parsed->key.destination_port = read16(payload + 2);
	return JT_PACKET_OK;
}

const char *jt_packet_error_name(enum jt_packet_error error)
{
	static const char *const names[JT_PACKET_ERROR_COUNT] = {
		[JT_PACKET_OK] = "ok",
		[JT_PACKET_SHORT] = "short",
		[JT_PACKET_VERSION] = "version",
		[JT_PACKET_IPV6] = "ipv6",
		[JT_PACKET_LENGTH] = "length",
		[JT_PACKET_OPTIONS] = "options",
		[JT_PACKET_FRAGMENT] = "fragment",
		[JT_PACKET_PROTOCOL] = "protocol",
		[JT_PACKET_CHECKSUM] = "checksum",
		[JT_PACKET_HEADER] = "header",
		[JT_PACKET_FLAGS] = "flags",
	};

	return error < JT_PACKET_ERROR_COUNT ? names[error] : "unknown";
}

static uint32_t pseudo_header_sum(uint32_t source, uint32_t destination,
				  size_t length)
{
	return (source >> 16) + (source & 0xffff) + (destination >> 16) +
	       (destination & 0xffff) + JT_PROTOCOL_TCP + (uint32_t)length;
}

size_t jt_packet_make_reset(const struct jt_parsed_packet *parsed,
			    uint8_t reset[JT_RESET_SIZE])
{
	uint8_t *tcp = reset + IPV4_HEADER;

	if (parsed->key.protocol != JT_PROTOCOL_TCP ||
	    (parsed->tcp_flags & JT_TCP_RST))
		return 0;
	memset(reset, 0, JT_RESET_SIZE);
	reset[0] = 0x45;
	write16(reset + 2, JT_RESET_SIZE);
	reset[8] = RESET_TTL;
	reset[9] = JT_PROTOCOL_TCP;
	write32(reset + 12, parsed->key.destination);
	write32(reset + 16, parsed->key.source);
	write16(reset + 10, jt_checksum(reset, IPV4_HEADER, 0));
	write16(tcp, parsed->key.destination_port);
	write16(tcp + 2, parsed->key.source_port);
	tcp[12] = (TCP_HEADER / 4) << 4;
	if (parsed->tcp_flags & JT_TCP_ACK) {
		write32(tcp + 4, parsed->acknowledgment);
		tcp[13] = JT_TCP_RST;
	} else {
		write32(tcp + 8, parsed->sequence + parsed->segment_length);
		tcp[13] = JT_TCP_RST | JT_TCP_ACK;
	}
	write16(tcp + 16,
		jt_checksum(tcp, TCP_HEADER,
			    pseudo_header_sum(parsed->key.destination,
					      parsed->key.source, TCP_HEADER)));
	return JT_RESET_SIZE;
}
