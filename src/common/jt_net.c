#include "jt_net.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>
#include <xxhash.h>

enum { SOCKET_BUFFER_BYTES = 4 << 20 };

int jt_address_parse(const char *text, struct jt_address *address)
{
	const char *colon = strrchr(text, ':');
	char host[16];
	struct in_addr ip;
	char *end;
	unsigned long port;

	if (colon == NULL || colon == text ||
	    (size_t)(colon - text) >= sizeof(host) || colon[1] == '\0')
		return -1;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	if (inet_pton(AF_INET, host, &ip) != 1)
		return -1;
	port = strtoul(colon + 1, &end, 10);
	if (*end != '\0' || port == 0 || port > UINT16_MAX ||
	    !isdigit((unsigned char)colon[1]))
		return -1;
	address->ip = ntohl(ip.s_addr);
	address->port = (uint16_t)port;
	return 0;
}

const char *jt_address_format(struct jt_address address,
			      char text[JT_ADDRESS_TEXT_SIZE])
{
	snprintf(text, JT_ADDRESS_TEXT_SIZE, "%u.%u.%u.%u:%u", address.ip >> 24,
		 address.ip >> 16 & 0xff, address.ip >> 8 & 0xff,
		 address.ip & 0xff, address.port);
	return text;
}

void jt_address_to_socket(struct jt_address address, struct sockaddr_in *out)
{
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_addr.s_addr = htonl(address.ip);
	out->sin_port = htons(address.port);
}

struct jt_address jt_address_from_socket(const struct sockaddr_in *in)
{
	return (struct jt_address){ntohl(in->sin_addr.s_addr),
				   ntohs(in->sin_port)};
}

int jt_udp_open(struct jt_address address, bool reuse_port)
{
	int size = SOCKET_BUFFER_BYTES, one = 1, saved_errno;
	struct sockaddr_in socket_address;
	int fd;

	fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	if (reuse_port &&
	    setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &one, sizeof(one)) != 0)
		goto fail;
	/* Failure is harmless: the system default applies. */
	(void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	(void)setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
	jt_address_to_socket(address, &socket_address);
	if (bind(fd, (struct sockaddr *)&socket_address,
		 sizeof(socket_address)) != 0)
		goto fail;
	return fd;
fail:
	saved_errno = errno;
	close(fd);
	errno = saved_errno;
	return -1;
}

uint64_t jt_clock_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

uint32_t jt_name_id(const char *name)
{
	uint32_t id = XXH32(name, strlen(name), 0);

	return id ? id : 1;
}
