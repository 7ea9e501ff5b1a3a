/*
 * Detection of stalls of this process. It simulates routers, the store, clients
 * and endpoints, all of which stall with it, which nodes can't tell from a
 * fault. Kernel counters show whether it waited for a processor, the disk or
 * memory, and whether the nodes waited as well.
 */
#include "soak.h"

#include <inttypes.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

enum {
	STALL_MS = 100, /* least time between two ticks that is logged */
	CALL_MS = 50,	/* least duration of a call that is logged */
	NAME_SIZE = 64,
	LINE_SIZE = 1024,
	/* Field of /proc/PID/stat: time waited for the disk, in clock ticks. */
	STAT_DISK_FIELD = 42,
};

/* Counters of a process so far. */
struct usage {
	uint64_t run_ms;
	uint64_t wait_ms; /* runnable, but waiting for a processor */
	uint64_t disk_ms;
	uint64_t faults;    /* major page faults */
	uint64_t events_ms; /* time spent writing events */
	uint64_t steal_ms;  /* stolen by the host from all processors */
};

struct soak_stalls {
	struct soak *soak;
	uint64_t last_tick_ms;
	struct usage own;
	uint64_t node_wait_ms[SOAK_NODES_MAX];
};

static void schedstat_read(const char *process, struct usage *usage)
{
	uint64_t run_ns = 0, wait_ns = 0;
	char name[NAME_SIZE];
	FILE *file;

	snprintf(name, sizeof(name), "/proc/%s/schedstat", process);
	file = fopen(name, "r");
	if (file == NULL)
		return;
	if (fscanf(file, "%" SCNu64 " %" SCNu64, &run_ns, &wait_ns) == 2) {
		usage->run_ms = run_ns / 1000000;
		usage->wait_ms = wait_ns / 1000000;
	}
	fclose(file);
}

static uint64_t ticks_ms(unsigned long long ticks)
{
	return ticks * 1000 / (uint64_t)sysconf(_SC_CLK_TCK);
}

static uint64_t disk_wait_read(void)
{
	FILE *file = fopen("/proc/self/stat", "r");
	char line[LINE_SIZE] = "";
	unsigned long long ticks = 0;
	char *field, *rest = NULL;

	if (file == NULL)
		return 0;
	(void)!fgets(line, sizeof(line), file);
	fclose(file);
	field = strtok_r(line, " ", &rest);
	for (int i = 1; field != NULL && i < STAT_DISK_FIELD; i++)
		field = strtok_r(NULL, " ", &rest);
	if (field != NULL)
		(void)sscanf(field, "%llu", &ticks);
	return ticks_ms(ticks);
}

static uint64_t steal_read(void)
{
	FILE *file = fopen("/proc/stat", "r");
	unsigned long long steal = 0;

	if (file == NULL)
		return 0;
	(void)!fscanf(file, "cpu %*u %*u %*u %*u %*u %*u %*u %llu", &steal);
	fclose(file);
	return ticks_ms(steal);
}

static struct usage usage_read(const struct soak *soak)
{
	struct usage usage = {.events_ms = soak->events_ms};
	struct rusage counted;

	usage.steal_ms = steal_read();
	schedstat_read("self", &usage);
	usage.disk_ms = disk_wait_read();
	if (getrusage(RUSAGE_SELF, &counted) == 0)
		usage.faults = (uint64_t)counted.ru_majflt;
	return usage;
}

/* Returns the longest time that a node has waited for a processor since the
 * last stall. */
static uint64_t nodes_max_wait_ms(struct soak_stalls *stalls)
{
	const struct soak *soak = stalls->soak;
	uint64_t max_wait_ms = 0;

	for (int i = 0; i < soak->node_count; i++) {
		struct usage usage = {0};
		char process[NAME_SIZE];

		if (soak->nodes[i].pid == 0)
			continue;
		snprintf(process, sizeof(process), "%d",
			 (int)soak->nodes[i].pid);
		schedstat_read(process, &usage);
		if (usage.wait_ms > stalls->node_wait_ms[i] + max_wait_ms)
			max_wait_ms = usage.wait_ms - stalls->node_wait_ms[i];
		stalls->node_wait_ms[i] = usage.wait_ms;
	}
	return max_wait_ms;
}

struct soak_stalls *soak_stalls_create(struct soak *soak)
{
	struct soak_stalls *stalls = talloc_zero(soak, struct soak_stalls);

	if (stalls == NULL)
		return NULL;
	stalls->soak = soak;
	stalls->own = usage_read(soak);
	return stalls;
}

static void stall_log(struct soak_stalls *stalls, uint64_t stall_ms)
{
	struct usage now = usage_read(stalls->soak);
	const struct usage *before = &stalls->own;

	soak_log(stalls->soak,
		 "stall: this process stalled for %" PRIu64
		 " ms; since the previous stall: run_ms=%" PRIu64
		 " wait_ms=%" PRIu64 " disk_ms=%" PRIu64 " page_faults=%" PRIu64
		 " events_ms=%" PRIu64 " steal_ms=%" PRIu64
		 " node_wait_ms=%" PRIu64,
		 stall_ms, now.run_ms - before->run_ms,
		 now.wait_ms - before->wait_ms, now.disk_ms - before->disk_ms,
		 now.faults - before->faults, now.events_ms - before->events_ms,
		 now.steal_ms - before->steal_ms, nodes_max_wait_ms(stalls));
	stalls->own = now;
}

void soak_stalls_tick(struct soak_stalls *stalls, uint64_t now_ms)
{
	struct soak *soak = stalls->soak;
	uint64_t stall_ms =
		stalls->last_tick_ms != 0 ? now_ms - stalls->last_tick_ms : 0;

	stalls->last_tick_ms = now_ms;
	if (stall_ms > soak->lag_ms)
		soak->lag_ms = stall_ms;
	if (stall_ms >= STALL_MS)
		stall_log(stalls, stall_ms);
}

void soak_stalls_call(struct soak *soak, const char *call, uint64_t began_ms)
{
	uint64_t took_ms = jt_clock_ms() - began_ms;

	if (took_ms >= CALL_MS)
		soak_log(soak, "stall: %s took %" PRIu64 " ms", call, took_ms);
}
