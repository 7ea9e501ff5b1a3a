/*
 * The faults of a run, drawn from the seed alone before the run begins, so that
 * they don't depend on the timing of processes, and written to a file that can
 * be replayed.
 */
#ifndef SOAK_SCHEDULE_H
#define SOAK_SCHEDULE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

enum soak_fault_kind {
	/* Target: the endpoint at an address. */
	SOAK_ENDPOINT_DRAINS,
	SOAK_ENDPOINT_UNLISTED, /* entry removed; it serves on */
	SOAK_ENDPOINT_CRASHES,
	SOAK_ENDPOINT_BLACKHOLE, /* crashes; its address doesn't respond */
	SOAK_ENDPOINT_DISCONNECT,
	SOAK_ENDPOINT_RESTARTS, /* at once, under the same id */
	SOAK_ENTRY_CORRUPTED,	/* overwritten by another writer */
	SOAK_ENTRY_FOREIGN,	/* entries of no endpoint by another writer */
	/* Target: a node. */
	SOAK_NODE_KILLED,
	SOAK_NODE_TERMINATES, /* SIGTERM */
	SOAK_NODE_PAUSES,
	SOAK_NODE_RELOADS,  /* SIGHUP after a change of its settings */
	SOAK_NODE_UNROUTED, /* routers leave it out although it is ready */
	SOAK_STORE_LINK,    /* its connections to the store */
	/* Target: all nodes. */
	SOAK_ALL_KILLED,
	SOAK_ALL_STALE, /* open store connections fall silent */
	/* Target: the store. */
	SOAK_STORE_DOWN,
	SOAK_STORE_THROTTLES, /* the nodes from the target on */
	SOAK_STORE_COMPACTS,
	SOAK_STORE_LAGS, /* stale reads show its content of some time ago */
	/* Other targets. */
	SOAK_PACKETS,	   /* loss and duplication */
	SOAK_VERSION,	   /* a new configuration version */
	SOAK_ZONE_TOGGLED, /* a drain starts or ends */
	SOAK_FAULT_KINDS,
};

enum { SOAK_LAG_UNIT_MS = 100 };

struct soak_fault {
	uint64_t at_ms; /* since the run began */
	enum soak_fault_kind kind;
	unsigned target; /* index of an endpoint address, node or zone */
	uint64_t for_ms; /* duration, 0 if it doesn't end by itself */
	/* SOAK_STORE_LINK: enum soak_link; SOAK_ENTRY_CORRUPTED: kind of
	 * entry; SOAK_PACKETS: percentage lost; SOAK_STORE_LAGS: lag in units
	 * of SOAK_LAG_UNIT_MS. */
	unsigned strength;
	unsigned doubled; /* SOAK_PACKETS: percentage duplicated */
};

struct soak_schedule {
	struct soak_fault *faults; /* ordered by time */
	size_t count;
};

/* Parameters from which the faults of a run are drawn. */
struct soak_schedule_plan {
	uint64_t seed;
	unsigned nodes;
	unsigned addresses; /* endpoint addresses */
	unsigned zones;
	uint64_t start_ms; /* start of the faults */
	uint64_t end_ms;   /* end of the faults */
};

/* Appends a fault; ends the process if memory runs out. */
void soak_schedule_add(struct soak_schedule *schedule, struct soak_fault fault);
/* Orders the faults by time. */
void soak_schedule_sort(struct soak_schedule *schedule);
/* Returns the drawn faults, a talloc child of @mem_ctx; NULL if out of
 * memory. */
struct soak_schedule *soak_schedule_draw(TALLOC_CTX *mem_ctx,
					 const struct soak_schedule_plan *plan);
/* Reads a file written by soak_schedule_write(). Returns NULL on error and
 * sets *@error to a message; both results are talloc children of @mem_ctx. */
struct soak_schedule *soak_schedule_read(TALLOC_CTX *mem_ctx, const char *file,
					 const struct soak_schedule_plan *plan,
					 char **error);
bool soak_schedule_write(const struct soak_schedule *schedule,
			 const char *file);
const char *soak_fault_name(enum soak_fault_kind kind);

#endif
