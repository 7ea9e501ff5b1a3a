/* Director nodes, one process each, and the routers in front of them. */
#include "world.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum {
	READY_EVERY_MS = 500,
	READY_TIMEOUT_MS = 400,
	READY_MISSES = 2,
	RESTART_MS = 500,
	GRACE_MS = 6000,
	TICK_MS = 10,
};

struct node nodes[NODES];
const char *const zone_names[ZONES] = {"scl-quilicura", "scl-renca",
				       "scl-maipu"};
const int node_zones[NODES] = {0, 0, 0, 1, 1, 2, 2};

/* The pending readiness check of each node. */
static struct {
	int fd; /* -1: none */
	bool sent;
} checks[NODES];
static uint64_t term_ms[NODES];

static uint32_t node_ip(int node)
{
	return world_ip(1, (unsigned)(10 + node));
}

int node_by_ip(uint32_t ip)
{
	for (int i = 0; i < NODES; i++) {
		if (node_ip(i) == ip)
			return i;
	}
	return -1;
}

static void address_text(uint32_t ip, char text[16])
{
	snprintf(text, 16, "%u.%u.%u.%u", ip >> 24, ip >> 16 & 255,
		 ip >> 8 & 255, ip & 255);
}

/* Writes the settings that the platform fills into platform/settings.cfg. */
static void settings_write(int node, bool first_start)
{
	char name[4096], ip[16], store[16], seeds[3][16];
	FILE *file;

	snprintf(name, sizeof(name), "%s/node-%d.cfg", world_scratch, node);
	file = fopen(name, "w");
	if (file == NULL)
		not_run("%s: %s", name, strerror(errno));
	address_text(node_ip(node), ip);
	address_text(world_ip(2, (unsigned)(10 + node)), store);
	address_text(node_ip(0), seeds[0]);
	address_text(node_ip(3), seeds[1]);
	address_text(node_ip(5), seeds[2]);
	fprintf(file,
		"placement = \"label\";\nenvironment = \"platform\";\n"
		"node = {\n  name = \"edge-%s-%d\"; zone = \"%s\";\n"
		"  cores = 0.18; memory_mb = 260; link_mbps = 1000.0;\n};\n"
		"listen = {\n  data = \"%s:%d\";\n  readiness = \"%s:%d\";\n"
		"  peer = \"%s:%d\";\n  metrics = \"%s:9464\";\n};\n"
		"store = \"%s:%d\";\n"
		"seeds = ( \"%s:8166\", \"%s:8166\", \"%s:8166\" );\n"
		"keys = (\n  { id = 1;\n    secret = \"6a6173706572747261636b2d"
		"706c6174666f726d2d706565722d6b65792d3031\"; }\n);\n"
		"limits = {\n  drain_ms = 3000;\n  config_ms = 3000;\n"
		"  leave_s = 6;\n  flow_age_s = 60;\n};\n"
		"%slog_level = \"info\";\n",
		zone_names[node_zones[node]], node,
		zone_names[node_zones[node]], ip, DATA_PORT, ip, READY_PORT, ip,
		PEER_PORT, ip, store, STORE_PORT, seeds[0], seeds[1], seeds[2],
		first_start ? "first_start = true;\n" : "");
	fclose(file);
}

static void node_start(int node, bool first_start)
{
	char variable[4200], log[4096], *arguments[2], *environment[4];
	int output;

	settings_write(node, first_start);
	snprintf(variable, sizeof(variable),
		 "JASPERTRACK_SETTINGS=%s/node-%d.cfg", world_scratch, node);
	snprintf(log, sizeof(log), "%s/node-%d.log", world_scratch, node);
	arguments[0] = (char *)world_program;
	arguments[1] = NULL;
	environment[0] = variable;
	environment[1] = "PATH=/usr/bin:/bin";
	environment[2] = "LANG=C";
	environment[3] = NULL;
	output = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	nodes[node].pid = fork();
	if (output < 0 || nodes[node].pid < 0)
		not_run("a node can't be started");
	if (nodes[node].pid == 0) {
		/* The node ends with this process, however that ends. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(output, STDOUT_FILENO);
		dup2(output, STDERR_FILENO);
		execve(world_program, arguments, environment);
		_exit(EXIT_NOT_RUN);
	}
	close(output);
	nodes[node].restart_ms = 0;
	nodes[node].stopped = false;
	nodes[node].disturbed_ms = now_ms();
	term_ms[node] = 0;
	record("node %d: process started", node);
}

void node_signal(int node, int signal)
{
	static const char *const names[] = {
		[SIGKILL] = "SIGKILL",
		[SIGTERM] = "SIGTERM",
		[SIGSTOP] = "SIGSTOP",
		[SIGCONT] = "SIGCONT",
	};

	record("node %d: %s", node, names[signal]);
	nodes[node].disturbed_ms = now_ms();
	if (signal == SIGSTOP)
		nodes[node].stopped = true;
	if (signal == SIGCONT)
		nodes[node].stopped = false;
	if (signal == SIGTERM)
		term_ms[node] = now_ms();
	kill(nodes[node].pid, signal);
}

void nodes_stop(void)
{
	for (int i = 0; i < NODES; i++) {
		if (nodes[i].pid <= 0)
			continue;
		kill(nodes[i].pid, SIGKILL);
		waitpid(nodes[i].pid, NULL, 0);
		nodes[i].pid = 0;
	}
}

bool node_in_touch(int node, uint64_t at_ms)
{
	return nodes[node].pid > 0 && !nodes[node].stopped &&
	       term_ms[node] == 0 &&
	       at_ms >= nodes[node].disturbed_ms + CONTACT_MS;
}

/* Readiness */

static void check_end(int node, bool ready)
{
	if (checks[node].fd >= 0) {
		fd_unwatch(checks[node].fd);
		close(checks[node].fd);
	}
	checks[node].fd = -1;
	if (ready) {
		if (!nodes[node].in)
			record("routers: node %d is in", node);
		nodes[node].in = true;
		nodes[node].missed = 0;
	} else if (++nodes[node].missed >= READY_MISSES && nodes[node].in) {
		nodes[node].in = false;
		record("routers: node %d is out", node);
	}
}

static void on_check(int fd, short polled, void *argument)
{
	static const char request[] = "GET /ready HTTP/1.1\r\nHost: node\r\n"
				      "Connection: close\r\n\r\n";
	int node = (int)(intptr_t)argument;
	char answer[512];
	ssize_t size;

	(void)polled;
	if (!checks[node].sent) {
		checks[node].sent = true;
		fd_unwatch(fd);
		if (send(fd, request, sizeof(request) - 1, MSG_NOSIGNAL) < 0) {
			close(fd);
			checks[node].fd = -1;
			check_end(node, false);
			return;
		}
		fd_watch(fd, POLLIN, on_check, argument);
		return;
	}
	size = recv(fd, answer, sizeof(answer) - 1, 0);
	answer[size > 0 ? size : 0] = '\0';
	check_end(node, strstr(answer, " 200 ") != NULL);
}

static void check_start(int node)
{
	struct sockaddr_in address;
	int fd;

	if (checks[node].fd >= 0)
		check_end(node, false);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	world_address(node_ip(node), READY_PORT, &address);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		check_end(node, false);
		return;
	}
	checks[node].fd = fd;
	checks[node].sent = false;
	fd_watch(fd, POLLOUT, on_check, (void *)(intptr_t)node);
}

static void on_ready_tick(void *argument)
{
	for (int i = 0; i < NODES; i++)
		check_start(i);
	timer_add(READY_EVERY_MS, on_ready_tick, argument);
}

/* Collects ended processes and starts those that are due. */
static void on_tick(void *argument)
{
	for (int i = 0; i < NODES; i++) {
		int status;

		if (nodes[i].pid > 0 &&
		    waitpid(nodes[i].pid, &status, WNOHANG) > 0) {
			record("node %d: process ended, status %d", i, status);
			nodes[i].pid = 0;
			nodes[i].restart_ms = now_ms() + RESTART_MS;
			term_ms[i] = 0;
		}
		if (nodes[i].pid > 0 && term_ms[i] != 0 &&
		    now_ms() > term_ms[i] + GRACE_MS)
			node_signal(i, SIGKILL);
		if (nodes[i].restart_ms != 0 && now_ms() >= nodes[i].restart_ms)
			node_start(i, false);
	}
	timer_add(TICK_MS, on_tick, argument);
}

void nodes_start(void)
{
	for (int i = 0; i < NODES; i++) {
		nodes[i].zone = node_zones[i];
		checks[i].fd = -1;
		node_start(i, true);
	}
	timer_add(READY_EVERY_MS, on_ready_tick, NULL);
	timer_add(TICK_MS, on_tick, NULL);
}

/* Routers */

static uint64_t mix(uint64_t value)
{
	value ^= value >> 30;
	value *= 0xbf58476d1ce4e5b9u;
	value ^= value >> 27;
	value *= 0x94d049bb133111ebu;
	return value ^ value >> 31;
}

/* Lists the nodes of the zone that routers use: those that are in, or all if
 * fewer than half are. */
static int zone_nodes(int zone, int list[NODES])
{
	int in = 0, all = 0, count = 0;

	for (int i = 0; i < NODES; i++) {
		all += nodes[i].zone == zone;
		in += nodes[i].zone == zone && nodes[i].in;
	}
	for (int i = 0; i < NODES && in > 0; i++) {
		if (nodes[i].zone == zone && (nodes[i].in || in * 2 < all))
			list[count++] = i;
	}
	return count;
}

int route_flow(int zone, uint32_t ip, uint16_t port, uint32_t to,
	       uint16_t to_port)
{
	int list[NODES], count = 0, picked = -1;
	uint64_t flow = mix((uint64_t)ip << 32 | to) ^
			mix((uint64_t)port << 16 | to_port);
	uint64_t best = 0;

	for (int i = 0; i < ZONES && count == 0; i++)
		count = zone_nodes((zone + i) % ZONES, list);
	for (int i = 0; i < count; i++) {
		uint64_t weight =
			mix(flow + (uint64_t)list[i] * 0x9e3779b97f4a7c15u) | 1;

		if (weight > best) {
			best = weight;
			picked = list[i];
		}
	}
	return picked;
}
