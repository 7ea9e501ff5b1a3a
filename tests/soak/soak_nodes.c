/* The nodes: real processes, each with an address and a settings file. */
#include "soak.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

enum { READY_EVERY_MS = 500, READY_TIMEOUT_MS = 400, RESTART_MS = 300 };

extern char **environ;

struct ready_call {
	struct soak *soak;
	int node;
	pid_t pid;
};

struct jt_address soak_node_address(int node, uint16_t port)
{
	return (struct jt_address){SOAK_NODE_NET + 2 + (uint32_t)node, port};
}

static const char *address_text(TALLOC_CTX *mem_ctx, struct jt_address address)
{
	char text[JT_ADDRESS_TEXT];

	return talloc_strdup(mem_ctx, jt_address_format(address, text));
}

static struct jt_address store_address(int node)
{
	return (struct jt_address){SOAK_STORE_NET + 2 + (uint32_t)node,
				   SOAK_STORE_PORT};
}

static char *settings_write(struct soak *soak, int node)
{
	char *name =
		talloc_asprintf(soak, "%s/node-%d.cfg", soak->folder, node);
	FILE *file = fopen(name, "w");

	if (file == NULL) {
		perror(name);
		exit(1);
	}
	fprintf(file,
		"placement = \"label\";\nenvironment = \"platform\";\n"
		"node = { name = \"node-%d\"; zone = \"zone-%u\"; };\n"
		"listen = {\n  data = \"%s\";\n  readiness = \"%s\";\n"
		"  peer = \"%s\";\n};\nstore = \"%s\";\n"
		"seeds = ( \"%s\", \"%s\" );\n"
		"keys = ( { id = 1; secret = \"6a6173706572747261636b2d706c6174"
		"666f726d2d706565722d6b65792d3031\"; } );\n"
		"limits = { drain_ms = %d; config_ms = %d; zone_drain_ms = %d; "
		"leave_s = %d; flow_age_s = 60; };\n",
		node, soak->nodes[node].zone,
		address_text(name, soak_node_address(node, SOAK_PACKET_PORT)),
		address_text(name, soak_node_address(node, SOAK_READY_PORT)),
		address_text(name, soak_node_address(node, SOAK_PEER_PORT)),
		address_text(name, store_address(node)),
		address_text(name, soak_node_address(0, SOAK_PEER_PORT)),
		address_text(name, soak_node_address(1, SOAK_PEER_PORT)),
		SOAK_DRAIN_MS, SOAK_CONFIG_MS, SOAK_ZONE_DRAIN_MS,
		SOAK_GRACE_MS / 1000);
	fclose(file);
	return name;
}

void soak_node_start(struct soak *soak, int index)
{
	struct soak_node *node = &soak->nodes[index];
	char *settings = settings_write(soak, index);
	char *log = talloc_asprintf(settings, "%s/node-%d.log", soak->folder,
				    index);
	char *arguments[] = {(char *)soak->program, "-c", settings, NULL};
	posix_spawn_file_actions_t actions;

	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log,
					 O_WRONLY | O_CREAT | O_APPEND, 0644);
	posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO,
					 STDERR_FILENO);
	if (posix_spawn(&node->pid, soak->program, &actions, NULL, arguments,
			environ) != 0) {
		fprintf(stderr, "jaspertrack-soak: %s: can't be started\n",
			soak->program);
		exit(1);
	}
	posix_spawn_file_actions_destroy(&actions);
	talloc_free(settings);
	node->started_ms = jt_clock_ms();
	node->disturbed_ms = node->started_ms;
	node->restart_ms = 0;
	node->stopped = node->leaving = node->ready = false;
	node->missed = 0;
	node->version_seen = 0;
}

void soak_node_signal(struct soak *soak, int index, int signum)
{
	struct soak_node *node = &soak->nodes[index];

	if (node->pid == 0)
		return;
	node->disturbed_ms = jt_clock_ms();
	node->stopped =
		signum == SIGSTOP || (node->stopped && signum != SIGCONT);
	if (signum == SIGTERM) {
		node->leaving = true;
		node->term_ms = node->disturbed_ms;
	}
	kill(node->pid, signum);
	if (signum == SIGKILL) {
		waitpid(node->pid, NULL, 0);
		node->pid = 0;
		node->ready = false;
		node->restart_ms = node->disturbed_ms + RESTART_MS +
				   soak_random(soak, 1500);
	}
}

static void on_ready(struct tevent_req *req)
{
	struct ready_call *call =
		tevent_req_callback_data(req, struct ready_call);
	struct soak_node *node = &call->soak->nodes[call->node];
	long status = 0;
	char *body = NULL;
	bool ready;

	ready = jt_http_recv(req, call, &status, &body, NULL) == 0 &&
		status == 200;
	talloc_free(req);
	if (node->pid == call->pid && ready) {
		node->ready = true;
		node->missed = 0;
	} else if (node->pid == call->pid && ++node->missed >= 2) {
		node->ready = false;
	}
	talloc_free(call);
}

static void ready_ask(struct soak *soak, int index)
{
	struct ready_call *call = talloc_zero(soak, struct ready_call);
	struct jt_http_call http = {.method = "GET",
				    .timeout_ms = READY_TIMEOUT_MS};
	struct tevent_req *req;

	*call = (struct ready_call){soak, index, soak->nodes[index].pid};
	http.url = talloc_asprintf(
		call, "http://%s/ready",
		address_text(call, soak_node_address(index, SOAK_READY_PORT)));
	req = jt_http_send(call, soak->client, &http);
	if (req == NULL)
		talloc_free(call);
	else
		tevent_req_set_callback(req, on_ready, call);
}

/* A process has ended: by SIGTERM, or by itself, which it must not. */
static void node_ended(struct soak *soak, int index, int status,
		       uint64_t now_ms)
{
	struct soak_node *node = &soak->nodes[index];

	if (!node->leaving || !WIFEXITED(status) || WEXITSTATUS(status) != 0) {
		soak->own_ends++;
		soak_broken(soak, "END", "node %d ended by itself, status %d",
			    index, status);
	}
	node->pid = 0;
	node->ready = false;
	node->disturbed_ms = now_ms;
	node->restart_ms = now_ms + RESTART_MS;
}

static void node_tick(struct soak *soak, int index, uint64_t now_ms)
{
	struct soak_node *node = &soak->nodes[index];
	int status;

	if (node->pid != 0 && waitpid(node->pid, &status, WNOHANG) > 0)
		node_ended(soak, index, status, now_ms);
	if (node->pid != 0 && node->leaving && !node->stopped &&
	    now_ms - node->term_ms > SOAK_GRACE_MS) {
		soak_broken(soak, "END", "node %d outlived its SIGTERM", index);
		soak_node_signal(soak, index, SIGKILL);
	}
	if (node->pid == 0 && now_ms >= node->restart_ms)
		soak_node_start(soak, index);
	if (node->heal_ms != 0 && now_ms >= node->heal_ms) {
		node->heal_ms = 0;
		if (node->stopped)
			soak_node_signal(soak, index, SIGCONT);
		soak_proxy_set(node->proxy, SOAK_LINK_PASS);
		node->disturbed_ms = now_ms;
	}
}

void soak_nodes_tick(struct soak *soak)
{
	uint64_t now_ms = jt_clock_ms();
	static uint64_t asked_ms;
	bool ask = now_ms - asked_ms >= READY_EVERY_MS;

	for (int i = 0; i < SOAK_NODES; i++) {
		node_tick(soak, i, now_ms);
		if (ask && soak->nodes[i].pid != 0)
			ready_ask(soak, i);
	}
	if (ask)
		asked_ms = now_ms;
}

void soak_nodes_create(struct soak *soak)
{
	struct jt_address store = {SOAK_STORE_NET + 1, SOAK_STORE_PORT};

	for (int i = 0; i < SOAK_NODES; i++) {
		struct soak_node *node = &soak->nodes[i];

		node->zone = (uint32_t)i % SOAK_ZONES;
		node->proxy = soak_proxy_create(soak, store_address(i), store);
		if (node->proxy == NULL) {
			perror("jaspertrack-soak: proxy");
			exit(1);
		}
		soak_node_start(soak, i);
	}
}

void soak_nodes_end(struct soak *soak)
{
	for (int i = 0; i < SOAK_NODES; i++) {
		if (soak->nodes[i].pid == 0)
			continue;
		kill(soak->nodes[i].pid, SIGKILL);
		waitpid(soak->nodes[i].pid, NULL, 0);
		soak->nodes[i].pid = 0;
	}
}

/* Nodes of the zone that are in; all of it when fewer than half are. */
static unsigned zone_nodes(const struct soak *soak, uint32_t zone)
{
	unsigned in = 0, all = 0, in_count = 0, all_count = 0;

	for (int i = 0; i < SOAK_NODES; i++) {
		if (soak->nodes[i].zone != zone)
			continue;
		all |= 1u << i;
		all_count++;
		if (soak->nodes[i].ready) {
			in |= 1u << i;
			in_count++;
		}
	}
	if (in_count == 0)
		return 0;
	return in_count * 2 < all_count ? all : in;
}

int soak_node_route(const struct soak *soak, uint32_t zone, uint32_t hash)
{
	unsigned nodes = 0;
	uint64_t best = 0;
	int picked = 0;

	for (uint32_t i = 0; i < SOAK_ZONES && nodes == 0; i++)
		nodes = zone_nodes(soak, (zone + i) % SOAK_ZONES);
	if (nodes == 0)
		nodes = (1u << SOAK_NODES) - 1;
	for (int i = 0; i < SOAK_NODES; i++) {
		uint64_t key = (uint64_t)hash << 8 | (uint64_t)i;
		uint64_t weight = XXH64(&key, sizeof(key), 1) | 1;

		if ((nodes >> i & 1) && weight > best) {
			best = weight;
			picked = i;
		}
	}
	return picked;
}

bool soak_node_in_touch(const struct soak *soak, int index, uint64_t since_ms)
{
	const struct soak_node *node = &soak->nodes[index];

	if (node->pid == 0 || node->stopped || node->leaving ||
	    node->heal_ms != 0)
		return false;
	return node->disturbed_ms + SOAK_CONTACT_MS <= since_ms;
}
