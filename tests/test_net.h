/* Local sockets for tests. */
#ifndef TEST_NET_H
#define TEST_NET_H

#include "test.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

enum { LOOPBACK = 0x7f000001 };

/* Binds the socket to a free port of the loopback address, and returns it. */
static inline uint16_t test_bind(int fd)
{
	struct sockaddr_in name = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(LOOPBACK),
	};
	socklen_t size = sizeof(name);

	assert_true(fd >= 0);
	assert_int_equal(bind(fd, (struct sockaddr *)&name, size), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&name, &size), 0);
	return ntohs(name.sin_port);
}

/* Returns a local port without a listener. */
static inline uint16_t test_free_port(void)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	uint16_t port = test_bind(fd);

	close(fd);
	return port;
}

#endif
