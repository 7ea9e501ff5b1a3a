/* IPv4 addresses as text, UDP sockets and the monotonic clock. */
#ifndef JT_NET_H
#define JT_NET_H

#include "jaspertrack/types-t.h"

#include <netinet/in.h>

/* Buffer size for "255.255.255.255:65535". */
enum { JT_ADDRESS_TEXT = 24 };

/* Parses "IPV4:PORT". Returns 0, or -1 if @text is invalid. */
int jt_address_parse(const char *text, struct jt_address *address);
/* Writes "IPV4:PORT" to @text and returns @text. */
const char *jt_address_format(struct jt_address address,
			      char text[JT_ADDRESS_TEXT]);
void jt_address_to_socket(struct jt_address address, struct sockaddr_in *out);
struct jt_address jt_address_from_socket(const struct sockaddr_in *in);
/* Returns a non-blocking UDP socket bound to @address, or -1 with errno. */
int jt_udp_open(struct jt_address address, bool reuse_port);
/* Returns the monotonic clock in milliseconds. */
uint64_t jt_clock_ms(void);
/* Returns a 32-bit hash of @name; never 0. */
uint32_t jt_name_id(const char *name);

#endif
