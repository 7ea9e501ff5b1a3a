/* The nodes: processes, each with an address and a settings file. */
#include "soak.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

enum {
	READY_EVERY_MS = 500,
	READY_TIMEOUT_MS = 400,
	/* A check that ends later than this after its timeout is ignored:
	 * this process stalled, and the response may be unread. */
	READY_OVERRUN_MS = 50,
	READY_FAILURES = 2, /* failed checks until routers leave the node out */
	RESTART_MS = 300,
	RESTART_JITTER_MS = 1500, /* random part of the delay after a kill */
};

extern char **environ;

struct ready_request {
	struct soak *soak;
	int node;
	pid_t pid;
	uint64_t checked_ms;
};

struct jt_address soak_node_address(const struct soak *soak, int node,
				    uint16_t port)
{
	return (struct jt_address){
		soak_address(soak, SOAK_NODE_NET) + 2 + (uint32_t)node, port};
}

int soak_node_by_ip(const struct soak *soak, uint32_t ip)
{
	return (int)(ip - soak_address(soak, SOAK_NODE_NET)) - 2;
}

static const char *address_text(TALLOC_CTX *mem_ctx, struct jt_address address)
{
	char text[JT_ADDRESS_TEXT_SIZE];

	return talloc_strdup(mem_ctx, jt_address_format(address, text));
}

static struct jt_address store_address(const struct soak *soak, int node)
{
	return (struct jt_address){soak_address(soak, SOAK_STORE_NET) + 2 +
					   (uint32_t)node,
				   SOAK_STORE_PORT};
}

/* The seeds change with each version of the settings. */
static struct jt_address seed_address(const struct soak *soak, int node,
				      unsigned number)
{
	unsigned seed = soak->nodes[node].settings_version + number;

	return soak_node_address(soak, (int)(seed % (unsigned)soak->node_count),
				 SOAK_PEER_PORT);
}

static char *settings_link(const struct soak *soak, TALLOC_CTX *mem_ctx,
			   int node)
{
	return talloc_asprintf(mem_ctx, "%s/node-%d.cfg", soak->options.folder,
			       node);
}

/* Points the node's settings link to the file. Its name never changes, and
 * no file is overwritten, which could wait for the disk. */
static void settings_link_to(struct soak *soak, int node, const char *file)
{
	char *link = settings_link(soak, soak, node);
	char *next = talloc_asprintf(link, "%s.next", link);

	(void)unlink(next);
	if (symlink(strrchr(file, '/') + 1, next) != 0 ||
	    rename(next, link) != 0)
		soak_fatal(soak, link);
	talloc_free(link);
}

/* Writes a new settings file of the node and links to it. */
static void settings_write(struct soak *soak, int node)
{
	char *name =
		talloc_asprintf(soak, "%s/node-%d-%u.cfg", soak->options.folder,
				node, soak->nodes[node].settings_version);
	uint64_t began_ms = jt_clock_ms();
	FILE *file;

	(void)unlink(name);
	file = fopen(name, "w");
	if (file == NULL)
		soak_fatal(soak, name);
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
		address_text(name,
			     soak_node_address(soak, node, SOAK_PACKET_PORT)),
		address_text(name,
			     soak_node_address(soak, node, SOAK_READY_PORT)),
		address_text(name,
			     soak_node_address(soak, node, SOAK_PEER_PORT)),
		address_text(name, store_address(soak, node)),
		address_text(name, seed_address(soak, node, 0)),
		address_text(name, seed_address(soak, node, 1)), SOAK_DRAIN_MS,
		SOAK_CONFIG_MS, SOAK_ZONE_DRAIN_MS, SOAK_GRACE_MS / 1000);
	fclose(file);
	settings_link_to(soak, node, name);
	talloc_free(name);
	soak_stalls_call(soak, "writing settings", began_ms);
}

void soak_node_start(struct soak *soak, int index)
{
	struct soak_node *node = &soak->nodes[index];
	char *settings_file = settings_link(soak, soak, index);
	char *log = talloc_asprintf(settings_file, "%s/node-%d.log",
				    soak->options.folder, index);
	char *arguments[] = {(char *)soak->options.program, "-c", settings_file,
			     NULL};
	posix_spawn_file_actions_t actions;
	uint64_t began_ms = jt_clock_ms();

	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log,
					 O_WRONLY | O_CREAT | O_APPEND, 0644);
	posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO,
					 STDERR_FILENO);
	if (posix_spawn(&node->pid, soak->options.program, &actions, NULL,
			arguments, environ) != 0) {
		soak_fatal(soak, soak->options.program);
	}
	posix_spawn_file_actions_destroy(&actions);
	soak_stalls_call(soak, "starting a node", began_ms);
	talloc_free(settings_file);
	node->started_ms = jt_clock_ms();
	node->disturbed_ms = node->last_down_ms = node->started_ms;
	node->restart_ms = node->paused_until_ms = 0;
	node->starts++;
	node->paused = node->leaving = node->ready = node->was_ready = false;
	node->failed_checks = 0;
	node->version_seen = 0;
}

static void node_killed(struct soak *soak, int index)
{
	struct soak_node *node = &soak->nodes[index];

	waitpid(node->pid, NULL, 0);
	soak_stalls_call(soak, "the end of a node", node->disturbed_ms);
	node->pid = 0;
	node->ready = false;
	node->restart_ms =
		node->disturbed_ms + RESTART_MS +
		soak_draw(soak, SOAK_DRAW_RESTART_DELAY, (uint64_t)index,
			  node->starts, RESTART_JITTER_MS);
}

void soak_node_signal(struct soak *soak, int index, int signum)
{
	struct soak_node *node = &soak->nodes[index];

	if (node->pid == 0)
		return;
	node->disturbed_ms = jt_clock_ms();
	if (signum != SIGHUP && signum != SIGTERM)
		node->last_down_ms = node->disturbed_ms;
	/* A paused process handles the signal when it resumes. */
	if (signum == SIGTERM && !node->leaving) {
		node->leaving = true;
		node->sigterm_ms = node->disturbed_ms;
	}
	kill(node->pid, signum);
	if (signum == SIGKILL)
		node_killed(soak, index);
}

void soak_node_pause(struct soak *soak, int index, uint64_t until_ms)
{
	struct soak_node *node = &soak->nodes[index];

	soak_node_signal(soak, index, SIGSTOP);
	node->paused = true;
	if (until_ms > node->paused_until_ms)
		node->paused_until_ms = until_ms;
}

static void node_resume(struct soak *soak, int index)
{
	struct soak_node *node = &soak->nodes[index];

	node->paused_until_ms = 0;
	node->paused = false;
	soak_node_signal(soak, index, SIGCONT);
	/* The time to leave starts again. */
	node->sigterm_ms = node->disturbed_ms;
}

void soak_node_link(struct soak *soak, int index, enum soak_link link,
		    uint64_t until_ms)
{
	struct soak_node *node = &soak->nodes[index];

	soak_proxy_set(node->proxy, link);
	node->disturbed_ms = jt_clock_ms();
	node->link_fault_until_ms = until_ms;
}

void soak_node_reload(struct soak *soak, int index)
{
	struct soak_node *node = &soak->nodes[index];

	node->settings_version++;
	settings_write(soak, index);
	soak_node_signal(soak, index, SIGHUP);
}

void soak_node_end_faults(struct soak *soak, int index, uint64_t now_ms)
{
	struct soak_node *node = &soak->nodes[index];

	node->unrouted_until_ms = 0;
	if (node->paused_until_ms != 0)
		node->paused_until_ms = now_ms;
	if (node->link_fault_until_ms != 0)
		node->link_fault_until_ms = now_ms;
}

static void on_ready(struct tevent_req *req)
{
	struct ready_request *request =
		tevent_req_callback_data(req, struct ready_request);
	struct soak_node *node = &request->soak->nodes[request->node];
	long status = 0;
	char *body = NULL;
	uint64_t took_ms = jt_clock_ms() - request->checked_ms;
	bool ready;

	ready = jt_http_recv(req, request, &status, &body, NULL) == 0 &&
		status == 200;
	talloc_free(req);
	if (node->pid == request->pid && ready) {
		node->ready = node->was_ready = true;
		node->failed_checks = 0;
	} else if (node->pid == request->pid &&
		   took_ms <= READY_TIMEOUT_MS + READY_OVERRUN_MS &&
		   ++node->failed_checks >= READY_FAILURES) {
		node->ready = false;
	}
	talloc_free(request);
}

static void ready_check(struct soak *soak, int index)
{
	struct ready_request *request = talloc_zero(soak, struct ready_request);
	struct jt_http_call http = {.method = "GET",
				    .timeout_ms = READY_TIMEOUT_MS};
	struct tevent_req *req;

	*request = (struct ready_request){soak, index, soak->nodes[index].pid,
					  jt_clock_ms()};
	http.url = talloc_asprintf(
		request, "http://%s/ready",
		address_text(request,
			     soak_node_address(soak, index, SOAK_READY_PORT)));
	req = jt_http_send(request, soak->client, &http);
	if (req == NULL)
		talloc_free(request);
	else
		tevent_req_set_callback(req, on_ready, request);
}

/* Returns true if a process exited cleanly after SIGTERM; before it has set
 * up its handlers the signal itself ends it. */
static bool exited_cleanly(const struct soak_node *node, int status)
{
	if (!node->leaving)
		return false;
	if (WIFEXITED(status))
		return WEXITSTATUS(status) == 0;
	return !node->was_ready && WIFSIGNALED(status) &&
	       WTERMSIG(status) == SIGTERM;
}

/* Handles the end of a process; only SIGTERM may have ended it. */
static void node_exited(struct soak *soak, int index, int status,
			uint64_t now_ms)
{
	struct soak_node *node = &soak->nodes[index];

	if (!exited_cleanly(node, status)) {
		soak->unexpected_exits++;
		soak_guarantee_violated(
			soak, "END", "node %d exited unexpectedly, status %d",
			index, status);
	}
	node->pid = 0;
	node->ready = false;
	node->disturbed_ms = node->last_down_ms = now_ms;
	node->restart_ms = now_ms + RESTART_MS;
}

static void node_tick(struct soak *soak, int index, uint64_t now_ms)
{
	struct soak_node *node = &soak->nodes[index];
	int status;

	if (node->pid != 0 && waitpid(node->pid, &status, WNOHANG) > 0)
		node_exited(soak, index, status, now_ms);
	if (node->pid != 0 && node->leaving && !node->paused &&
	    now_ms - node->sigterm_ms > SOAK_GRACE_MS) {
		soak_guarantee_violated(
			soak, "END", "node %d still runs after SIGTERM", index);
		soak_node_signal(soak, index, SIGKILL);
	}
	if (node->pid == 0 && now_ms >= node->restart_ms)
		soak_node_start(soak, index);
	if (node->paused_until_ms != 0 && now_ms >= node->paused_until_ms)
		node_resume(soak, index);
	if (node->link_fault_until_ms != 0 &&
	    now_ms >= node->link_fault_until_ms) {
		node->link_fault_until_ms = 0;
		soak_proxy_set(node->proxy, SOAK_LINK_PASS);
		node->disturbed_ms = now_ms;
	}
}

void soak_nodes_tick(struct soak *soak)
{
	uint64_t now_ms = jt_clock_ms();
	static uint64_t checked_ms;
	bool check = now_ms - checked_ms >= READY_EVERY_MS;

	for (int i = 0; i < soak->node_count; i++) {
		node_tick(soak, i, now_ms);
		if (check && soak->nodes[i].pid != 0)
			ready_check(soak, i);
	}
	if (check)
		checked_ms = now_ms;
}

void soak_nodes_create(struct soak *soak)
{
	struct jt_address store = {soak_address(soak, SOAK_STORE_NET) + 1,
				   SOAK_STORE_PORT};

	for (int i = 0; i < soak->node_count; i++) {
		struct soak_node *node = &soak->nodes[i];

		node->zone = (uint32_t)i % SOAK_ZONES;
		node->proxy =
			soak_proxy_create(soak, store_address(soak, i), store);
		if (node->proxy == NULL)
			soak_fatal(soak, "proxy");
		settings_write(soak, i);
		soak_node_start(soak, i);
	}
}

void soak_fatal(struct soak *soak, const char *what)
{
	fprintf(stderr, "jaspertrack-soak: %s: %s\n", what, strerror(errno));
	soak_nodes_stop(soak);
	exit(SOAK_EXIT_ERROR);
}

void soak_nodes_stop(struct soak *soak)
{
	for (int i = 0; i < soak->node_count; i++) {
		if (soak->nodes[i].pid == 0)
			continue;
		kill(soak->nodes[i].pid, SIGKILL);
		waitpid(soak->nodes[i].pid, NULL, 0);
		soak->nodes[i].pid = 0;
	}
}

/* Returns true if routers send flows to the node. */
static bool node_routable(const struct soak_node *node, uint64_t now_ms)
{
	return node->ready && now_ms >= node->unrouted_until_ms;
}

/* Sets @nodes to the routable nodes of the zone, or to all of its nodes if
 * fewer than half are routable; none if none is. Returns their number. */
static unsigned zone_nodes(const struct soak *soak, uint32_t zone,
			   int nodes[SOAK_NODES_MAX])
{
	uint64_t now_ms = jt_clock_ms();
	unsigned routable_count = 0, all_count = 0, count = 0;

	for (int i = 0; i < soak->node_count; i++) {
		if (soak->nodes[i].zone != zone)
			continue;
		all_count++;
		routable_count += node_routable(&soak->nodes[i], now_ms);
	}
	for (int i = 0; i < soak->node_count && routable_count > 0; i++) {
		if (soak->nodes[i].zone == zone &&
		    (routable_count * 2 < all_count ||
		     node_routable(&soak->nodes[i], now_ms)))
			nodes[count++] = i;
	}
	return count;
}

int soak_node_route(const struct soak *soak, uint32_t zone, uint32_t hash)
{
	int nodes[SOAK_NODES_MAX] = {0};
	unsigned count = 0;
	uint64_t best = 0;
	int picked = 0;

	for (uint32_t i = 0; i < SOAK_ZONES && count == 0; i++)
		count = zone_nodes(soak, (zone + i) % SOAK_ZONES, nodes);
	for (int i = 0; i < soak->node_count && count == 0; i++)
		nodes[i] = i;
	if (count == 0)
		count = (unsigned)soak->node_count;
	for (unsigned i = 0; i < count; i++) {
		uint64_t key = (uint64_t)hash << 8 | (uint64_t)nodes[i];
		uint64_t weight = XXH64(&key, sizeof(key), 1) | 1;

		if (weight > best) {
			best = weight;
			picked = nodes[i];
		}
	}
	return picked;
}

bool soak_node_undisturbed(const struct soak *soak, int index,
			   uint64_t since_ms)
{
	const struct soak_node *node = &soak->nodes[index];

	if (node->pid == 0 || node->paused || node->leaving ||
	    node->link_fault_until_ms != 0)
		return false;
	return node->disturbed_ms + SOAK_SETTLE_MS <= since_ms;
}
