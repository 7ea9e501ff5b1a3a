/* jaspertrack-soak: options, the schedule of faults, the report. */
#include "jt_version.h"
#include "soak.h"

#include <argtable2.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

enum {
	EXIT_HELD = 0,
	EXIT_BROKEN = 1,
	EXIT_USAGE = 2,
	TICK_MS = 5,
	START_MS = 3000,     /* before the first fault */
	CALM_MS = 4000,	     /* measured after the recovery */
	SERVED_PERCENT = 90, /* of it that must be answered */
	SECONDS_LEAST = 5,
	SECONDS_MOST = 3600,
	/* Between zones that are drained or restored; one time in so many,
	 * connections fall silent instead. */
	ZONE_LEAST_MS = 500,
	ZONE_MOST_MS = 5000,
	ZONE_FAULTS_A_STALE = 4,
	/* Between endpoints that start again, or entries by another writer. */
	RESTART_LEAST_MS = 400,
	RESTART_MOST_MS = 3000,
	SPOILED_MOST_MS = 2000,
};

struct schedule {
	struct soak *soak;
	struct jt_timer *timer;
	uint64_t due_ms;
	/* Zones and stale connections are drawn on their own, so that a seed's
	 * other faults stay as they were before there were these. */
	struct jt_random random;
	uint64_t zone_due_ms;
	struct jt_random restarts; /* the same for these */
	uint64_t restart_due_ms;
	uint64_t packets_until_ms;
	uint64_t end_ms;
	bool over;
};

/* A random endpoint that serves and is not told to leave, -1: too few do. */
static int endpoint_pick(struct soak *soak)
{
	int start = (int)soak_random(soak, (uint64_t)soak->endpoint_count);
	int picked = -1, alive = 0;

	for (int i = 0; i < soak->endpoint_count; i++) {
		int index = (start + i) % soak->endpoint_count;
		const struct soak_endpoint *endpoint = &soak->endpoints[index];

		if (endpoint->life != SOAK_ALIVE || !endpoint->listed)
			continue;
		picked = index;
		alive++;
	}
	return alive > SOAK_ADDRESSES / 2 ? picked : -1;
}

static void fault_endpoint(struct soak *soak)
{
	int index = endpoint_pick(soak);
	uint64_t for_ms = 300 + soak_random(soak, 3000);
	unsigned kind = (unsigned)soak_random(soak, 5);
	static const char *const names[] = {"drains", "goes_silently",
					    "crashes", "goes_dark", "is_cut"};

	if (index < 0)
		return;
	soak_note(soak, "endpoint %llx %s",
		  (unsigned long long)soak->endpoints[index].id, names[kind]);
	if (kind < 2)
		soak_endpoint_drain(soak, index, kind == 1);
	else if (kind < 4)
		soak_endpoint_crash(soak, index, kind == 3);
	else
		soak_endpoint_cut(soak, index, for_ms);
}

static void fault_link(struct soak *soak, int node)
{
	enum soak_link link =
		(enum soak_link)(1 + soak_random(soak, SOAK_LINK_STALE - 1));

	soak_note(soak, "node %d: its way to the store: %s", node,
		  soak_link_name(link));
	soak_proxy_set(soak->nodes[node].proxy, link);
	soak->nodes[node].disturbed_ms = jt_clock_ms();
	soak->nodes[node].heal_ms =
		jt_clock_ms() + 300 + soak_random(soak, 6000);
}

static void fault_node(struct soak *soak)
{
	int node = (int)soak_random(soak, SOAK_NODES);
	unsigned kind = (unsigned)soak_random(soak, 5);

	if (soak->nodes[node].pid == 0 || soak->nodes[node].heal_ms != 0 ||
	    soak->nodes[node].leaving)
		return;
	if (kind >= 3) {
		fault_link(soak, node);
		return;
	}
	soak_note(soak, "node %d: %s", node,
		  kind == 0 ? "killed" : (kind == 1 ? "stops" : "pauses"));
	if (kind == 0) {
		soak_node_signal(soak, node, SIGKILL);
	} else if (kind == 1) {
		soak_node_signal(soak, node, SIGTERM);
	} else {
		soak_node_signal(soak, node, SIGSTOP);
		soak->nodes[node].heal_ms =
			jt_clock_ms() + 200 + soak_random(soak, 5000);
	}
}

static void fault_all_nodes(struct soak *soak)
{
	soak_note(soak, "all nodes: killed");
	for (int i = 0; i < SOAK_NODES; i++)
		soak_node_signal(soak, i, SIGKILL);
}

static void fault_store(struct soak *soak)
{
	uint64_t until_ms = jt_clock_ms() + 200 + soak_random(soak, 4000);
	int node = (int)soak_random(soak, SOAK_NODES);

	switch (soak_random(soak, 3)) {
	case 0:
		soak_note(soak, "store: answers 503");
		soak_store_down(soak->store, until_ms);
		break;
	case 1:
		soak_note(soak, "store: throttles nodes from %d on", node);
		for (; node < SOAK_NODES; node++)
			soak_store_throttle(soak->store, node, until_ms);
		break;
	default:
		soak_note(soak, "store: forgets its history");
		soak_store_compact(soak->store);
		break;
	}
}

/* All connections of all nodes to the store fall silent at once. */
static void fault_stale(struct soak *soak)
{
	soak_note(soak, "all nodes: open connections to the store are silent");
	for (int i = 0; i < SOAK_NODES; i++) {
		if (soak->nodes[i].heal_ms != 0)
			continue;
		soak_proxy_set(soak->nodes[i].proxy, SOAK_LINK_STALE);
		soak->nodes[i].disturbed_ms = jt_clock_ms();
	}
}

/* An endpoint starts again under its id, or another writer spoils an entry: of
 * an endpoint, or of none. */
static void fault_incarnation(struct schedule *schedule, uint64_t now_ms)
{
	struct soak *soak = schedule->soak;
	uint64_t draw = jt_random_next(&schedule->restarts);
	int index = (int)(draw / 16 % (uint64_t)soak->endpoint_count);
	const struct soak_endpoint *endpoint = &soak->endpoints[index];

	schedule->restart_due_ms =
		now_ms + RESTART_LEAST_MS + draw / 4096 % RESTART_MOST_MS;
	if (draw % 8 == 0) {
		soak_note(soak, "another writer: entries of no endpoint");
		soak_store_put(soak->store, "servers/none", "{}");
		soak_store_put(soak->store, "servers/i-77/more", "no JSON");
	} else if (endpoint->life != SOAK_ALIVE || endpoint->no_new_ms != 0 ||
		   !endpoint->listed) {
		return;
	} else if (draw % 8 < 4) {
		soak_note(soak, "another writer: the entry of %llx",
			  (unsigned long long)endpoint->id);
		soak_endpoint_spoil(soak, index, (unsigned)(draw / 65536 % 8),
				    now_ms + draw / 8192 % SPOILED_MOST_MS);
	} else {
		soak_note(soak, "endpoint %llx starts again",
			  (unsigned long long)endpoint->id);
		soak_endpoint_restart(soak, index);
	}
	soak->faults++;
}

/* One zone stays, so that there are endpoints for new flows. */
static void fault_zone(struct schedule *schedule)
{
	struct soak *soak = schedule->soak;
	uint32_t zone =
		(uint32_t)(jt_random_next(&schedule->random) % SOAK_ZONES);
	unsigned drained = 0;

	for (int i = 0; i < SOAK_ZONES; i++)
		drained += soak->zones[i].drained;
	if (soak->zones[zone].drained || drained + 1 < SOAK_ZONES)
		soak_zone_turn(soak, zone);
}

static void fault_zone_or_stale(struct schedule *schedule, uint64_t now_ms)
{
	if (jt_random_next(&schedule->random) % ZONE_FAULTS_A_STALE == 0)
		fault_stale(schedule->soak);
	else
		fault_zone(schedule);
	schedule->soak->faults++;
	schedule->zone_due_ms =
		now_ms + ZONE_LEAST_MS +
		jt_random_next(&schedule->random) % ZONE_MOST_MS;
}

static void fault_packets(struct schedule *schedule)
{
	struct soak *soak = schedule->soak;

	soak->drop_percent = (unsigned)soak_random(soak, 10);
	soak->copy_percent = (unsigned)soak_random(soak, 10);
	schedule->packets_until_ms =
		jt_clock_ms() + 500 + soak_random(soak, 4000);
	soak_note(soak, "packets: %u%% lost, %u%% doubled", soak->drop_percent,
		  soak->copy_percent);
}

static void fault_next(struct schedule *schedule)
{
	struct soak *soak = schedule->soak;
	unsigned kind = (unsigned)soak_random(soak, 20);

	soak->faults++;
	if (kind < 6)
		fault_endpoint(soak);
	else if (kind < 12)
		fault_node(soak);
	else if (kind < 14)
		fault_store(soak);
	else if (kind < 16)
		fault_packets(schedule);
	else if (kind < 19)
		soak_version_next(soak);
	else
		fault_all_nodes(soak);
}

/* All faults end; what runs on is the recovery. */
static void calm_begin(struct schedule *schedule, uint64_t now_ms)
{
	struct soak *soak = schedule->soak;

	soak->calm_ms = now_ms;
	soak->drop_percent = soak->copy_percent = 0;
	soak_note(soak, "faults end");
	for (uint32_t zone = 0; zone < SOAK_ZONES; zone++) {
		if (soak->zones[zone].drained)
			soak_zone_turn(soak, zone);
	}
	for (int i = 0; i < SOAK_NODES; i++) {
		if (soak->nodes[i].heal_ms != 0)
			soak->nodes[i].heal_ms = now_ms;
		soak_store_throttle(soak->store, i, 0);
	}
}

static void on_tick(void *private_data)
{
	struct schedule *schedule = private_data;
	struct soak *soak = schedule->soak;
	static uint64_t ticked_ms;
	uint64_t now_ms = jt_clock_ms();

	if (ticked_ms != 0 && now_ms - ticked_ms > soak->lag_ms + TICK_MS)
		soak->lag_ms = now_ms - ticked_ms - TICK_MS;
	ticked_ms = now_ms;
	soak_nodes_tick(soak);
	soak_endpoints_tick(soak);
	soak_callers_tick(soak);
	if (schedule->packets_until_ms != 0 &&
	    now_ms >= schedule->packets_until_ms) {
		soak->drop_percent = soak->copy_percent = 0;
		schedule->packets_until_ms = 0;
	}
	if (soak->calm_ms == 0 && now_ms >= schedule->end_ms)
		calm_begin(schedule, now_ms);
	if (soak->calm_ms == 0 && now_ms >= schedule->due_ms) {
		fault_next(schedule);
		schedule->due_ms = now_ms + 150 + soak_random(soak, 1500);
	}
	if (soak->calm_ms == 0 && now_ms >= schedule->zone_due_ms)
		fault_zone_or_stale(schedule, now_ms);
	if (soak->calm_ms == 0 && now_ms >= schedule->restart_due_ms)
		fault_incarnation(schedule, now_ms);
	schedule->over = soak->calm_ms != 0 &&
			 now_ms > soak->calm_ms + SOAK_RECOVERY_MS + CALM_MS;
	jt_timer_set(schedule->timer, TICK_MS);
}

static void recovery_check(struct soak *soak)
{
	if (soak->calm_requests == 0 ||
	    soak->calm_answered * 100 < soak->calm_requests * SERVED_PERCENT)
		soak_broken(soak, "RECOVER", "%llu of %llu answered",
			    (unsigned long long)soak->calm_answered,
			    (unsigned long long)soak->calm_requests);
}

static int report(struct soak *soak, unsigned long seed)
{
	printf("seed=%lu faults=%u broken=%u requests=%llu answered=%llu "
	       "failed=%llu resets=%llu refused=%llu versions=%llu "
	       "endpoints=%d own_ends=%llu calm=%llu/%llu lag_ms=%llu\n",
	       seed, soak->faults, soak->broken,
	       (unsigned long long)soak->requests,
	       (unsigned long long)soak->answered,
	       (unsigned long long)soak->failed,
	       (unsigned long long)soak->resets,
	       (unsigned long long)soak->refused,
	       (unsigned long long)soak->version, soak->endpoint_count,
	       (unsigned long long)soak->own_ends,
	       (unsigned long long)soak->calm_answered,
	       (unsigned long long)soak->calm_requests,
	       (unsigned long long)soak->lag_ms);
	return soak->broken == 0 ? EXIT_HELD : EXIT_BROKEN;
}

/* Asked to stop: the nodes must not outlive this process. */
static void on_stop(struct tevent_context *loop, struct tevent_signal *signal,
		    int signum, int count, void *info, void *private_data)
{
	struct schedule *schedule = private_data;

	(void)loop;
	(void)signal;
	(void)signum;
	(void)count;
	(void)info;
	schedule->over = true;
}

static struct soak *soak_create(unsigned long seed, const char *program,
				const char *folder)
{
	struct soak *soak = talloc_zero(NULL, struct soak);
	char *events = talloc_asprintf(soak, "%s/events.log", folder);

	soak->loop = tevent_context_init(soak);
	soak->client = jt_http_client_create(soak, soak->loop);
	soak->random.seed = seed;
	soak->program = program;
	soak->folder = folder;
	soak->began_ms = jt_clock_ms();
	soak->events = fopen(events, "w");
	soak->store = soak_store_create(soak);
	if (soak->events == NULL || soak->store == NULL) {
		fprintf(stderr,
			"jaspertrack-soak: %s: can't be written, or "
			"another soak runs\n",
			events);
		talloc_free(soak);
		return NULL;
	}
	return soak;
}

static int soak_run(unsigned long seed, unsigned seconds, const char *program,
		    const char *folder)
{
	struct soak *soak = soak_create(seed, program, folder);
	struct schedule schedule = {.soak = soak};
	int result;

	if (soak == NULL)
		return EXIT_USAGE;
	soak_version_next(soak);
	soak_endpoints_create(soak);
	soak_nodes_create(soak);
	soak_callers_create(soak);
	schedule.due_ms = jt_clock_ms() + START_MS;
	schedule.zone_due_ms = schedule.due_ms;
	schedule.random.seed = ~(uint64_t)seed;
	schedule.restart_due_ms = schedule.due_ms;
	schedule.restarts.seed = ~(uint64_t)seed * 3;
	schedule.end_ms = schedule.due_ms + seconds * 1000ull;
	schedule.timer = jt_timer_create(soak, soak->loop, on_tick, &schedule);
	jt_timer_set(schedule.timer, TICK_MS);
	tevent_add_signal(soak->loop, soak, SIGTERM, 0, on_stop, &schedule);
	tevent_add_signal(soak->loop, soak, SIGINT, 0, on_stop, &schedule);
	while (!schedule.over)
		tevent_loop_once(soak->loop);
	soak_nodes_end(soak);
	recovery_check(soak);
	result = report(soak, seed);
	/* The rest goes with the process: watches are held at this moment,
	 * and the HTTP server can't be stopped in the middle of them. */
	fclose(soak->events);
	return result;
}

int main(int argc, char **argv)
{
	struct arg_int *seed = arg_int0("s", "seed", "N", "repeat that run");
	struct arg_int *seconds =
		arg_int0("t", "seconds", "S", "of faults, 5 to 3600 (60)");
	struct arg_file *program = arg_file0("p", "program", "FILE",
					     "jaspertrack-director of a build");
	struct arg_file *folder = arg_file0(
		"o", "output", "DIR", "settings, logs and events go there");
	struct arg_lit *help = arg_lit0("h", "help", "print this and end");
	struct arg_lit *version = arg_lit0(NULL, "version", "print it and end");
	struct arg_end *end = arg_end(8);
	void *table[] = {seed, seconds, program, folder, help, version, end};

	seconds->ival[0] = 60;
	seed->ival[0] = (int)(time(NULL) & 0x7fffffff);
	program->filename[0] = "build/jaspertrack-director";
	folder->filename[0] = "/tmp/jaspertrack-soak";
	if (arg_parse(argc, argv, table) > 0 ||
	    seconds->ival[0] < SECONDS_LEAST ||
	    seconds->ival[0] > SECONDS_MOST) {
		arg_print_errors(stderr, end, "jaspertrack-soak");
		fprintf(stderr,
			"jaspertrack-soak: --seconds: allowed are %d "
			"to %d\n",
			SECONDS_LEAST, SECONDS_MOST);
		return EXIT_USAGE;
	}
	if (help->count > 0) {
		printf("Usage: jaspertrack-soak [OPTIONS]\n"
		       "Real nodes on loopback under random faults.\n");
		arg_print_glossary(stdout, table, "  %-22s %s\n");
		printf("Exit: 0 all promises held, 1 one was broken, 2 bad "
		       "usage.\n"
		       "Example: jaspertrack-soak --seconds 30 --seed 7\n");
		return EXIT_HELD;
	}
	if (version->count > 0) {
		printf("jaspertrack-soak %s\n", JT_VERSION);
		return EXIT_HELD;
	}
	if (sodium_init() < 0)
		return EXIT_USAGE;
	mkdir(folder->filename[0], 0755);
	signal(SIGPIPE, SIG_IGN);
	return soak_run((unsigned long)seed->ival[0],
			(unsigned)seconds->ival[0], program->filename[0],
			folder->filename[0]);
}
