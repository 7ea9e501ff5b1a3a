/*
 * Value types shared by every layer: flow keys, socket addresses and the
 * validated configuration.
 *
 * Addresses are IPv4; addresses and ports are in host byte order.
 */
#ifndef JASPERTRACK_TYPES_T_H
#define JASPERTRACK_TYPES_T_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	JT_NAME_SIZE = 64,
	JT_BUCKETS = 1024,		   /* hash buckets of one service */
	JT_BUCKET_BITMAP = JT_BUCKETS / 8, /* bytes, one bit a bucket */
};

/* IANA protocol numbers of the forwarded protocols. */
enum { JT_PROTOCOL_TCP = 6, JT_PROTOCOL_UDP = 17 };

/* Flags of the TCP header (RFC 9293). */
enum {
	JT_TCP_FIN = 0x01,
	JT_TCP_SYN = 0x02,
	JT_TCP_RST = 0x04,
	JT_TCP_ACK = 0x10
};

struct jt_address {
	uint32_t ip;
	uint16_t port;
};

/* Compares the fields; padding bytes are ignored. */
static inline bool jt_address_same(struct jt_address a, struct jt_address b)
{
	return a.ip == b.ip && a.port == b.port;
}

/* The 5-tuple of a flow, as sent by the client. */
struct jt_flow_key {
	uint32_t source;
	uint32_t destination;
	uint16_t source_port;
	uint16_t destination_port;
	uint8_t protocol;
};

/* Which limit of its endpoint a flow of the service counts against. */
enum jt_service_kind {
	JT_SERVICE_STREAM,  /* the endpoint's connection limit */
	JT_SERVICE_REQUEST, /* the endpoint's request slots */
};

struct jt_service_config {
	uint32_t id; /* hash of the name; never 0 */
	char name[JT_NAME_SIZE];
	enum jt_service_kind kind;
	/* Fraction of the buckets placed by load, in thousandths. */
	uint32_t load_placed_permille;
};

struct jt_endpoint_config {
	uint32_t id;
	char name[JT_NAME_SIZE];
	uint32_t service; /* index into jt_config.services */
	struct jt_address address;
	struct jt_address health; /* HTTP page with its health and load */
	uint32_t slots;		  /* request limit */
	uint32_t connections;	  /* connection limit */
	bool draining;
};

struct jt_group_config {
	uint32_t id;
	char name[JT_NAME_SIZE];
};

/* A virtual address that clients connect to, for one service and group. */
struct jt_address_config {
	char name[JT_NAME_SIZE];
	struct jt_address address;
	uint8_t protocol;
	uint32_t service; /* index into jt_config.services */
	uint32_t group;	  /* index into jt_config.groups */
};

/* A group's weight in the shares of a service's capacity. */
struct jt_share_config {
	uint32_t service;
	uint32_t group;
	uint32_t weight;
};

/* A validated configuration; immutable once built. */
struct jt_config {
	uint64_t revision;
	struct jt_service_config *services;
	size_t service_count;
	struct jt_endpoint_config *endpoints;
	size_t endpoint_count;
	struct jt_group_config *groups;
	size_t group_count;
	/* Sorted by ip, port and protocol. */
	struct jt_address_config *addresses;
	size_t address_count;
	struct jt_share_config *shares;
	size_t share_count;
};

#endif
