/* jaspertrack-soak: options, the course of a run, the report. */
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
	TICK_MS = 5,
	START_MS = 3000,     /* before the first fault */
	CALM_MS = 4000,	     /* measured after the recovery */
	SERVED_PERCENT = 90, /* of it that must be answered */
	SECONDS_LEAST = 5,
	SECONDS_MOST = 3600,
};

/* A run under way. */
struct course {
	struct soak *soak;
	struct soak_schedule *schedule;
	size_t next; /* fault */
	struct soak_stalls *stalls;
	struct jt_timer *timer;
	bool over;
};

/* The faults that are due, and the end of all. */
static void faults_look(struct course *course, uint64_t now_ms)
{
	struct soak *soak = course->soak;
	const struct soak_schedule *schedule = course->schedule;
	uint64_t run_ms = now_ms - soak->began_ms;

	if (soak->calm_ms != 0)
		return;
	if (soak->packets_until_ms != 0 && now_ms >= soak->packets_until_ms) {
		soak->drop_percent = soak->copy_percent = 0;
		soak->packets_until_ms = 0;
	}
	while (course->next < schedule->count &&
	       run_ms >= schedule->faults[course->next].at_ms)
		soak_fault_strike(soak, &schedule->faults[course->next++]);
	if (run_ms >= START_MS + soak->options.seconds * 1000ull)
		soak_faults_end(soak);
}

static void on_tick(void *private_data)
{
	struct course *course = private_data;
	struct soak *soak = course->soak;
	uint64_t now_ms = jt_clock_ms();

	soak_stalls_tick(course->stalls, now_ms);
	soak_network_tick(soak, now_ms);
	soak_nodes_tick(soak);
	soak_endpoints_tick(soak);
	soak_callers_tick(soak);
	faults_look(course, now_ms);
	course->over = course->over ||
		       (soak->calm_ms != 0 &&
			now_ms > soak->calm_ms + SOAK_RECOVERY_MS + CALM_MS);
	jt_timer_set(course->timer, TICK_MS);
}

static void recovery_check(struct soak *soak)
{
	if (soak->calm_requests == 0 ||
	    soak->calm_answered * 100 < soak->calm_requests * SERVED_PERCENT)
		soak_broken(soak, "RECOVER", "%llu of %llu answered",
			    (unsigned long long)soak->calm_answered,
			    (unsigned long long)soak->calm_requests);
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
	struct course *course = private_data;

	(void)loop;
	(void)signal;
	(void)signum;
	(void)count;
	(void)info;
	course->over = true;
}

static struct soak *soak_create(const struct soak_options *options)
{
	struct soak *soak = talloc_zero(NULL, struct soak);
	char *events = talloc_asprintf(soak, "%s/events.log", options->folder);

	soak->loop = tevent_context_init(soak);
	soak->client = jt_http_client_create(soak, soak->loop);
	soak->options = *options;
	soak->node_count = (int)options->nodes;
	soak->flows_stay = soak_draw(soak, SOAK_DRAW_RUN, 0, 0, 2) == 0;
	soak->began_ms = jt_clock_ms();
	soak->events = fopen(events, "w");
	soak->store = soak_store_create(soak);
	soak->network = soak_network_create(soak);
	if (soak->events == NULL || soak->store == NULL) {
		fprintf(stderr,
			"jaspertrack-soak: %s: can't be written, or "
			"another soak runs in slot %u\n",
			events, options->slot);
		talloc_free(soak);
		return NULL;
	}
	return soak;
}

/* The faults of the run, drawn or read; kept in its folder. */
static struct soak_schedule *schedule_create(struct soak *soak)
{
	const struct soak_options *options = &soak->options;
	const struct soak_schedule_plan plan = {
		.seed = options->seed,
		.nodes = options->nodes,
		.places = SOAK_ADDRESSES,
		.zones = SOAK_ZONES,
		.start_ms = START_MS,
		.end_ms = START_MS + options->seconds * 1000ull,
	};
	char *kept = talloc_asprintf(soak, "%s/faults.log", options->folder);
	struct soak_schedule *schedule;
	char *error = NULL;

	if (options->faults != NULL)
		schedule = soak_schedule_read(soak, options->faults, &plan,
					      &error);
	else
		schedule = soak_schedule_draw(soak, &plan);
	if (schedule == NULL || !soak_schedule_write(schedule, kept)) {
		fprintf(stderr, "jaspertrack-soak: --faults: %s\n",
			error != NULL ? error : kept);
		return NULL;
	}
	return schedule;
}

static int soak_run(const struct soak_options *options)
{
	struct soak *soak = soak_create(options);
	struct course course = {.soak = soak};
	int result;

	if (soak == NULL)
		return SOAK_EXIT_UNABLE;
	course.schedule = schedule_create(soak);
	if (course.schedule == NULL)
		return SOAK_EXIT_UNABLE;
	soak_note(soak, "open flows %s",
		  soak->flows_stay ? "stay at their nodes to the end"
				   : "follow the routers");
	soak_version_next(soak);
	soak_endpoints_create(soak);
	soak_nodes_create(soak);
	soak_callers_create(soak);
	course.stalls = soak_stalls_create(soak);
	course.timer = jt_timer_create(soak, soak->loop, on_tick, &course);
	jt_timer_set(course.timer, TICK_MS);
	tevent_add_signal(soak->loop, soak, SIGTERM, 0, on_stop, &course);
	tevent_add_signal(soak->loop, soak, SIGINT, 0, on_stop, &course);
	while (!course.over)
		tevent_loop_once(soak->loop);
	soak_nodes_end(soak);
	recovery_check(soak);
	result = report(soak);
	/* The rest goes with the process: watches are held at this moment,
	 * and the HTTP server can't be stopped in the middle of them. */
	fclose(soak->events);
	return result;
}

/* Whether the option lies within its limits; tells the user otherwise. */
static bool within(const char *option, int value, int least, int most)
{
	if (value >= least && value <= most)
		return true;
	fprintf(stderr, "jaspertrack-soak: --%s: allowed are %d to %d\n",
		option, least, most);
	return false;
}

int main(int argc, char **argv)
{
	struct arg_int *seed = arg_int0("s", "seed", "N",
					"of the faults and of all else drawn");
	struct arg_int *seconds =
		arg_int0("t", "seconds", "S", "of faults, 5 to 3600 (60)");
	struct arg_int *nodes =
		arg_int0("n", "nodes", "N", "processes, 5 to 200 (5)");
	struct arg_int *slot = arg_int0(
		NULL, "slot", "N", "0 to 15: runs side by side need others");
	struct arg_file *faults =
		arg_file0(NULL, "faults", "FILE",
			  "play these in place of the seed's (faults.log)");
	struct arg_file *program = arg_file0("p", "program", "FILE",
					     "jaspertrack-director of a build");
	struct arg_file *folder = arg_file0(
		"o", "output", "DIR", "settings, logs and events go there");
	struct arg_lit *help = arg_lit0("h", "help", "print this and end");
	struct arg_lit *version = arg_lit0(NULL, "version", "print it and end");
	struct arg_end *end = arg_end(8);
	void *table[] = {seed,	  seconds, nodes, slot,	   faults,
			 program, folder,  help,  version, end};
	struct soak_options options;

	seconds->ival[0] = 60;
	seed->ival[0] = (int)(time(NULL) & 0x7fffffff);
	nodes->ival[0] = SOAK_NODES_LEAST;
	slot->ival[0] = 0;
	program->filename[0] = "build/jaspertrack-director";
	folder->filename[0] = "/tmp/jaspertrack-soak";
	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "jaspertrack-soak");
		return SOAK_EXIT_UNABLE;
	}
	if (!within("seconds", seconds->ival[0], SECONDS_LEAST, SECONDS_MOST) ||
	    !within("nodes", nodes->ival[0], SOAK_NODES_LEAST,
		    SOAK_NODES_MOST) ||
	    !within("slot", slot->ival[0], 0, SOAK_SLOTS - 1))
		return SOAK_EXIT_UNABLE;
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
		return SOAK_EXIT_UNABLE;
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
