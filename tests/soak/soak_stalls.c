/*
 * Times in which this process stood still. It plays routers, the store, callers
 * and endpoints: while it stands still, all of these do, which no node can tell
 * from a fault. What the kernel counts tells a wait for a processor from one
 * for the disk or for memory, and whether the nodes waited as well.
 */
#include "soak.h"

#include <inttypes.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

enum {
	STALL_MS = 100, /* between two ticks: worth a line */
	CALL_MS = 50,	/* the same of one call */
	NAME = 64,
	LINE = 1024,
	/* Field of /proc/PID/stat: time waited for the disk, in ticks. */
	STAT_DISK_FIELD = 42,
};

/* What the kernel has counted for a process up to now. */
struct usage {
	uint64_t run_ms;
	uint64_t wait_ms; /* for a processor, though it could have run */
	uint64_t disk_ms;
	uint64_t faults;    /* of pages that came from the disk */
	uint64_t events_ms; /* that writing events took */
	uint64_t steal_ms;  /* that the host took from all processors */
};

struct soak_stalls {
	struct soak *soak;
	uint64_t ticked_ms;
	struct usage own;
	uint64_t node_waited_ms[SOAK_NODES_MOST];
};

static void schedule_read(const char *process, struct usage *usage)
{
	uint64_t run_ns = 0, wait_ns = 0;
	char name[NAME];
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

static uint64_t disk_read(void)
{
	FILE *file = fopen("/proc/self/stat", "r");
	char line[LINE] = "";
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
	schedule_read("self", &usage);
	usage.disk_ms = disk_read();
	if (getrusage(RUSAGE_SELF, &counted) == 0)
		usage.faults = (uint64_t)counted.ru_majflt;
	return usage;
}

/* The longest that a node has waited for a processor since the last stall. */
static uint64_t nodes_waited_ms(struct soak_stalls *stalls)
{
	const struct soak *soak = stalls->soak;
	uint64_t most_ms = 0;

	for (int i = 0; i < soak->node_count; i++) {
		struct usage usage = {0};
		char process[NAME];

		if (soak->nodes[i].pid == 0)
			continue;
		snprintf(process, sizeof(process), "%d",
			 (int)soak->nodes[i].pid);
		schedule_read(process, &usage);
		if (usage.wait_ms > stalls->node_waited_ms[i] + most_ms)
			most_ms = usage.wait_ms - stalls->node_waited_ms[i];
		stalls->node_waited_ms[i] = usage.wait_ms;
	}
	return most_ms;
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

static void stall_note(struct soak_stalls *stalls, uint64_t stood_ms)
{
	struct usage now = usage_read(stalls->soak);
	const struct usage *then = &stalls->own;

	soak_note(stalls->soak,
		  "stall: the soak stood still for %" PRIu64
		  " ms; since the one before: run_ms=%" PRIu64
		  " wait_ms=%" PRIu64 " disk_ms=%" PRIu64
		  " page_faults=%" PRIu64 " events_ms=%" PRIu64
		  " steal_ms=%" PRIu64 " node_wait_ms=%" PRIu64,
		  stood_ms, now.run_ms - then->run_ms,
		  now.wait_ms - then->wait_ms, now.disk_ms - then->disk_ms,
		  now.faults - then->faults, now.events_ms - then->events_ms,
		  now.steal_ms - then->steal_ms, nodes_waited_ms(stalls));
	stalls->own = now;
}

void soak_stalls_tick(struct soak_stalls *stalls, uint64_t now_ms)
{
	struct soak *soak = stalls->soak;
	uint64_t stood_ms =
		stalls->ticked_ms != 0 ? now_ms - stalls->ticked_ms : 0;

	stalls->ticked_ms = now_ms;
	if (stood_ms > soak->lag_ms)
		soak->lag_ms = stood_ms;
	if (stood_ms >= STALL_MS)
		stall_note(stalls, stood_ms);
}

void soak_stalls_call(struct soak *soak, const char *call, uint64_t began_ms)
{
	uint64_t took_ms = jt_clock_ms() - began_ms;

	if (took_ms >= CALL_MS)
		soak_note(soak, "stall: %s took %" PRIu64 " ms", call, took_ms);
}
