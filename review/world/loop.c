/* Event loop, addresses and the record of a run. */
#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum { FD_LIMIT = 1024, TIMER_LIMIT = 4096, BASE_FIRST = 80, BASE_TRIES = 40 };

static struct pollfd polled[FD_LIMIT];
static struct {
	fd_callback callback;
	void *argument;
} watchers[FD_LIMIT];
static int polled_count;

static struct {
	uint64_t due_ms;
	timer_callback callback; /* NULL: free */
	void *argument;
} timers[TIMER_LIMIT];

static uint64_t started_ns;
static uint8_t base;
static FILE *record_file;
static uint64_t random_state = 0x2545f4914f6cdd1d;

const char *world_scratch, *world_program;
bool trouble = true;
int violations;

static uint64_t clock_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000000000u + (uint64_t)now.tv_nsec;
}

uint64_t now_ms(void)
{
	return (clock_ns() - started_ns) / 1000000u;
}

uint32_t draw(uint32_t below)
{
	random_state ^= random_state << 13;
	random_state ^= random_state >> 7;
	random_state ^= random_state << 17;
	return (uint32_t)(random_state >> 33) % below;
}

void record(const char *format, ...)
{
	va_list arguments;

	fprintf(record_file, "%9.3f ", (double)now_ms() / 1000);
	va_start(arguments, format);
	vfprintf(record_file, format, arguments);
	va_end(arguments);
	fputc('\n', record_file);
	fflush(record_file);
}

void not_run(const char *format, ...)
{
	va_list arguments;

	fputs("not run: ", stderr);
	va_start(arguments, format);
	vfprintf(stderr, format, arguments);
	va_end(arguments);
	fputc('\n', stderr);
	nodes_stop();
	exit(EXIT_NOT_RUN);
}

void fd_watch(int fd, short events, fd_callback callback, void *argument)
{
	if (polled_count == FD_LIMIT)
		not_run("too many sockets");
	polled[polled_count] = (struct pollfd){.fd = fd, .events = events};
	watchers[polled_count].callback = callback;
	watchers[polled_count].argument = argument;
	polled_count++;
}

void fd_unwatch(int fd)
{
	for (int i = 0; i < polled_count; i++) {
		if (polled[i].fd != fd)
			continue;
		polled[i] = polled[--polled_count];
		watchers[i] = watchers[polled_count];
		return;
	}
}

void timer_add(uint64_t delay_ms, timer_callback callback, void *argument)
{
	for (int i = 0; i < TIMER_LIMIT; i++) {
		if (timers[i].callback != NULL)
			continue;
		timers[i].due_ms = now_ms() + delay_ms;
		timers[i].callback = callback;
		timers[i].argument = argument;
		return;
	}
	not_run("too many timers");
}

static void timers_run(void)
{
	uint64_t now = now_ms();

	for (int i = 0; i < TIMER_LIMIT; i++) {
		timer_callback callback = timers[i].callback;

		if (callback == NULL || timers[i].due_ms > now)
			continue;
		timers[i].callback = NULL;
		callback(timers[i].argument);
	}
}

static void sockets_run(void)
{
	int fds[FD_LIMIT], count = 0;
	short events[FD_LIMIT];

	for (int i = 0; i < polled_count; i++) {
		if (polled[i].revents == 0)
			continue;
		fds[count] = polled[i].fd;
		events[count++] = polled[i].revents;
	}
	/* A callback may change the list: find each socket again. */
	for (int k = 0; k < count; k++) {
		for (int i = 0; i < polled_count; i++) {
			if (polled[i].fd != fds[k])
				continue;
			watchers[i].callback(fds[k], events[k],
					     watchers[i].argument);
			break;
		}
	}
}

void run_until(uint64_t until_ms)
{
	while (now_ms() < until_ms) {
		if (poll(polled, (nfds_t)polled_count, 1) > 0)
			sockets_run();
		timers_run();
	}
}

uint32_t world_ip(unsigned network, unsigned host)
{
	return 127u << 24 | (uint32_t)base << 16 | network << 8 | host;
}

void world_address(uint32_t ip, uint16_t port, struct sockaddr_in *address)
{
	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	address->sin_addr.s_addr = htonl(ip);
	address->sin_port = htons(port);
}

int udp_open(uint32_t ip, uint16_t port)
{
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	struct sockaddr_in address;

	world_address(ip, port, &address);
	if (fd >= 0 &&
	    bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	if (fd >= 0)
		close(fd);
	return -1;
}

int tcp_listen(uint32_t ip, uint16_t port, int backlog)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	struct sockaddr_in address;
	int on = 1;

	world_address(ip, port, &address);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (fd >= 0 &&
	    bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0 &&
	    listen(fd, backlog) == 0)
		return fd;
	if (fd >= 0)
		close(fd);
	return -1;
}

/* Picks the second byte of the addresses, so that runs don't meet. */
static void base_pick(void)
{
	for (int i = 0; i < BASE_TRIES; i++) {
		int fd;

		base = (uint8_t)(BASE_FIRST + (getpid() + i) % BASE_TRIES);
		fd = udp_open(world_ip(2, 1), STORE_PORT);
		if (fd < 0)
			continue;
		/* Kept open: it marks the addresses as taken. */
		return;
	}
	not_run("no free loopback addresses");
}

void world_start(const char *folder, const char *scratch, const char *program)
{
	char name[4096];

	started_ns = clock_ns();
	snprintf(name, sizeof(name), "%s/record.txt", folder);
	record_file = fopen(name, "w");
	if (record_file == NULL) {
		perror(name);
		exit(EXIT_NOT_RUN);
	}
	world_scratch = scratch;
	world_program = program;
	base_pick();
}
