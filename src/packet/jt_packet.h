/*
 * Parsing of client packets: IPv4 (RFC 791) with TCP (RFC 9293) or UDP,
 * encapsulated in UDP by GUE variant 1 (draft-ietf-intarea-gue-09, section
 * 4), where the UDP payload is the IP packet itself.
 */
#ifndef JT_PACKET_H
#define JT_PACKET_H

#include "jaspertrack/types-t.h"

enum {
	JT_PACKET_MAX = 9000, /* bytes of the inner packet (jumbo frame) */
	JT_RESET_SIZE = 40,   /* bytes of a reset: IPv4 and TCP header */
};

/* Reasons for which the parser rejects a packet; each has a counter. */
enum jt_packet_error {
	JT_PACKET_OK,
	JT_PACKET_SHORT,
	JT_PACKET_VERSION, /* neither IPv4 nor IPv6 */
	JT_PACKET_IPV6,	   /* not supported */
	JT_PACKET_LENGTH,  /* lengths of header and datagram differ */
	JT_PACKET_OPTIONS, /* IP options */
	JT_PACKET_FRAGMENT,
	JT_PACKET_PROTOCOL, /* neither TCP nor UDP */
	JT_PACKET_CHECKSUM, /* IP header checksum */
	JT_PACKET_HEADER,   /* invalid TCP or UDP header length */
	JT_PACKET_FLAGS,    /* invalid TCP flags from a client */
	JT_PACKET_ERROR_COUNT,
};

/* The header fields of a client packet. */
struct jt_parsed_packet {
	struct jt_flow_key key;
	uint8_t tcp_flags; /* 0 for UDP */
	uint32_t sequence;
	uint32_t acknowledgment;
	uint32_t segment_length; /* payload, plus 1 each for SYN and FIN */
};

/* Validates @packet; @parsed is valid only if JT_PACKET_OK is returned. */
enum jt_packet_error jt_packet_parse(const uint8_t *packet, size_t length,
				     struct jt_parsed_packet *parsed);
/* Returns the name of the error as used in metrics. */
const char *jt_packet_error_name(enum jt_packet_error error);

/*
 * Writes the TCP reset that answers @parsed (RFC 9293, 3.10.7.1), sent from
 * the service address. Returns its length, or 0 if none may be sent.
 */
size_t jt_packet_make_reset(const struct jt_parsed_packet *parsed,
			    uint8_t reset[JT_RESET_SIZE]);

/* Computes the Internet checksum (RFC 1071) of @data with the initial @sum. */
uint16_t jt_checksum(const uint8_t *data, size_t length, uint32_t sum);

#endif
