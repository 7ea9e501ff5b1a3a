/* jaspertrack-soak: options, main loop and report. */
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
	EXIT_PASSED = 0,
	EXIT_FAILED = 1,
	TICK_MS = 5,
	START_MS = 3000,       /* before the first fault */
	MEASURE_MS = 4000,     /* in which recovery is measured */
	ANSWERED_PERCENT = 90, /* requests that must be answered then */
	SECONDS_MIN = 5,
	SECONDS_MAX = 3600,
};

/* State of a run. */
struct run {
	struct soak *soak;
	struct soak_schedule *schedule;
	size_t next_fault;
	struct soak_stalls *stalls;
	struct jt_timer *timer;
	bool done;
};

/* Applies the faults that are due, and ends all at the end of the fault
 * phase. */
static void faults_tick(struct run *run, uint64_t now_ms)
{
	struct soak *soak = run->soak;
	const struct soak_schedule *schedule = run->schedule;
	uint64_t run_ms = now_ms - soak->began_ms;

	if (soak->faults_ended_ms != 0)
		return;
	if (soak->packet_faults_until_ms != 0 &&
	    now_ms >= soak->packet_faults_until_ms) {
		soak->drop_percent = soak->duplicate_percent = 0;
		soak->packet_faults_until_ms = 0;
	}
	while (run->next_fault < schedule->count &&
	       run_ms >= schedule->faults[run->next_fault].at_ms)
		soak_fault_apply(soak, &schedule->faults[run->next_fault++]);
	if (run_ms >= START_MS + soak->options.seconds * 1000ull)
		soak_faults_end(soak);
}

static void on_tick(void *private_data)
{
	struct run *run = private_data;
	struct soak *soak = run->soak;
	uint64_t now_ms = jt_clock_ms();

	soak_stalls_tick(run->stalls, now_ms);
	soak_network_tick(soak, now_ms);
	soak_nodes_tick(soak);
	soak_endpoints_tick(soak);
	soak_callers_tick(soak);
	faults_tick(run, now_ms);
	run->done =
		run->done || (soak->faults_ended_ms != 0 &&
			      now_ms > soak->faults_ended_ms +
					       SOAK_RECOVERY_MS + MEASURE_MS);
	jt_timer_set(run->timer, TICK_MS);
}

static void recovery_check(struct soak *soak)
{
	if (soak->recovered_requests == 0 ||
	    soak->recovered_answered * 100 <
		    soak->recovered_requests * ANSWERED_PERCENT)
		soak_guarantee_violated(
			soak, "RECOVER", "%llu of %llu answered",
			(unsigned long long)soak->recovered_answered,
			(unsigned long long)soak->recovered_requests);
}

static int report(const struct soak *soak)
{
	printf("seed=%llu nodes=%d faults=%u broken=%u requests=%llu "
	       "answered=%llu "
	       "failed=%llu resets=%llu refused=%llu versions=%llu "
	       "endpoints=%d own_ends=%llu calm=%llu/%llu lag_ms=%llu\n",
	       (unsigned long long)soak->options.seed, soak->node_count,
	       soak->faults, soak->broken, (unsigned long long)soak->requests,
	       (unsigned long long)soak->answered,
	       (unsigned long long)soak->failed,
	       (unsigned long long)soak->resets,
	       (unsigned long long)soak->refused,
	       (unsigned long long)soak->version, soak->endpoint_count,
	       (unsigned long long)soak->unexpected_exits,
	       (unsigned long long)soak->recovered_answered,
	       (unsigned long long)soak->recovered_requests,
	       (unsigned long long)soak->lag_ms);
	return soak->broken == 0 ? EXIT_PASSED : EXIT_FAILED;
}

/* Ends the run on SIGTERM and SIGINT, so that the nodes don't outlive this
 * process. */
static void on_stop(struct tevent_context *loop, struct tevent_signal *signal,
		    int signum, int count, void *info, void *private_data)
{
	struct run *run = private_data;

	(void)loop;
	(void)signal;
	(void)signum;
	(void)count;
	(void)info;
	run->done = true;
}

static struct soak *soak_create(const struct soak_options *options)
{
	struct soak *soak = talloc_zero(NULL, struct soak);
	char *events = talloc_asprintf(soak, "%s/events.log", options->folder);

	soak->loop = tevent_context_init(soak);
	soak->client = jt_http_client_create(soak, soak->loop);
	soak->options = *options;
	soak->node_count = (int)options->nodes;
	soak->flows_sticky = soak_draw(soak, SOAK_DRAW_RUN, 0, 0, 2) == 0;
	soak->began_ms = jt_clock_ms();
	soak->events = fopen(events, "w");
	soak->store = soak_store_create(soak);
	soak->network = soak_network_create(soak);
	if (soak->events == NULL || soak->store == NULL) {
		fprintf(stderr,
			"jaspertrack-soak: %s: can't be written, or "
			"another soak uses slot %u\n",
			events, options->slot);
		talloc_free(soak);
		return NULL;
	}
	return soak;
}

/* Draws or reads the faults of the run and writes them to its folder. */
static struct soak_schedule *schedule_create(struct soak *soak)
{
	const struct soak_options *options = &soak->options;
	const struct soak_schedule_plan plan = {
		.seed = options->seed,
		.nodes = options->nodes,
		.addresses = SOAK_ADDRESSES,
		.zones = SOAK_ZONES,
		.start_ms = START_MS,
		.end_ms = START_MS + options->seconds * 1000ull,
	};
	char *log_file =
		talloc_asprintf(soak, "%s/faults.log", options->folder);
	struct soak_schedule *schedule;
	char *error = NULL;

	if (options->faults != NULL)
		schedule = soak_schedule_read(soak, options->faults, &plan,
					      &error);
	else
		schedule = soak_schedule_draw(soak, &plan);
	if (schedule == NULL || !soak_schedule_write(schedule, log_file)) {
		fprintf(stderr, "jaspertrack-soak: --faults: %s\n",
			error != NULL ? error : log_file);
		return NULL;
	}
	return schedule;
}

static int soak_run(const struct soak_options *options)
{
	struct soak *soak = soak_create(options);
	struct run run = {.soak = soak};
	int result;

	if (soak == NULL)
		return SOAK_EXIT_ERROR;
	run.schedule = schedule_create(soak);
	if (run.schedule == NULL)
		return SOAK_EXIT_ERROR;
	soak_log(soak, "open flows %s",
		 soak->flows_sticky ? "stay at their nodes while these run"
				    : "follow the routers");
	soak_version_publish(soak);
	soak_endpoints_create(soak);
	soak_nodes_create(soak);
	soak_callers_create(soak);
	run.stalls = soak_stalls_create(soak);
	run.timer = jt_timer_create(soak, soak->loop, on_tick, &run);
	jt_timer_set(run.timer, TICK_MS);
	tevent_add_signal(soak->loop, soak, SIGTERM, 0, on_stop, &run);
	tevent_add_signal(soak->loop, soak, SIGINT, 0, on_stop, &run);
	while (!run.done)
		tevent_loop_once(soak->loop);
	soak_nodes_stop(soak);
	recovery_check(soak);
	result = report(soak);
	/* The rest is freed at exit: watches are pending, and the HTTP
	 * server can't be stopped while it serves them. */
	fclose(soak->events);
	return result;
}

/* Returns true if the option is in its range; prints an error otherwise. */
static bool option_in_range(const char *option, int value, int min, int max)
{
	if (value >= min && value <= max)
		return true;
	fprintf(stderr, "jaspertrack-soak: --%s: must be from %d to %d\n",
		option, min, max);
	return false;
}

int main(int argc, char **argv)
{
	struct arg_int *seed =
		arg_int0("s", "seed", "N",
			 "seed of the faults and all other random draws");
	struct arg_int *seconds = arg_int0(
		"t", "seconds", "S", "duration of the faults, 5 to 3600 (60)");
	struct arg_int *nodes =
		arg_int0("n", "nodes", "N", "number of nodes, 5 to 200 (5)");
	struct arg_int *slot =
		arg_int0(NULL, "slot", "N",
			 "0 to 15: concurrent runs need different slots");
	struct arg_file *faults =
		arg_file0(NULL, "faults", "FILE",
			  "apply the faults of this file, not the seed's");
	struct arg_file *program = arg_file0("p", "program", "FILE",
					     "jaspertrack-director of a build");
	struct arg_file *folder = arg_file0(
		"o", "output", "DIR", "directory of settings, logs and events");
	struct arg_lit *help =
		arg_lit0("h", "help", "print this help and exit");
	struct arg_lit *version =
		arg_lit0(NULL, "version", "print the version and exit");
	struct arg_end *end = arg_end(8);
	void *table[] = {seed,	  seconds, nodes, slot,	   faults,
			 program, folder,  help,  version, end};
	struct soak_options options;

	seconds->ival[0] = 60;
	seed->ival[0] = (int)(time(NULL) & 0x7fffffff);
	nodes->ival[0] = SOAK_NODES_MIN;
	slot->ival[0] = 0;
	program->filename[0] = "build/jaspertrack-director";
	folder->filename[0] = "/tmp/jaspertrack-soak";
	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "jaspertrack-soak");
		return SOAK_EXIT_ERROR;
	}
	if (!option_in_range("seconds", seconds->ival[0], SECONDS_MIN,
			     SECONDS_MAX) ||
	    !option_in_range("nodes", nodes->ival[0], SOAK_NODES_MIN,
			     SOAK_NODES_MAX) ||
	    !option_in_range("slot", slot->ival[0], 0, SOAK_SLOTS - 1))
		return SOAK_EXIT_ERROR;
	if (help->count > 0) {
		printf("Usage: jaspertrack-soak [OPTIONS]\n"
		       "Real nodes on loopback under random faults.\n");
		arg_print_glossary(stdout, table, "  %-22s %s\n");
		printf("Exit: 0 all guarantees held, 1 one was violated, 2 bad "
		       "usage.\n"
		       "Example: jaspertrack-soak --seconds 30 --seed 7\n");
		return EXIT_PASSED;
	}
	if (version->count > 0) {
		printf("jaspertrack-soak %s\n", JT_VERSION);
		return EXIT_PASSED;
	}
	if (sodium_init() < 0)
		return SOAK_EXIT_ERROR;
	options = (struct soak_options){
		.seed = (uint64_t)seed->ival[0],
		.seconds = (unsigned)seconds->ival[0],
		.nodes = (unsigned)nodes->ival[0],
		.slot = (unsigned)slot->ival[0],
		.program = program->filename[0],
		.folder = folder->filename[0],
		.faults = faults->count > 0 ? faults->filename[0] : NULL,
	};
	mkdir(options.folder, 0755);
	signal(SIGPIPE, SIG_IGN);
	return soak_run(&options);
}
