/*
 * The faults of a run: drawn from the seed alone before the run begins, so that
 * a seed names them whatever the processes' timing is, and kept in a file that
 * can be played again.
 */
#ifndef SOAK_SCHEDULE_H
#define SOAK_SCHEDULE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

enum soak_fault_kind {
	/* Of the endpoint at an address. */
	SOAK_ENDPOINT_DRAINS,
	SOAK_ENDPOINT_GOES, /* its entry goes, it serves on for a while */
	SOAK_ENDPOINT_CRASHES,
	SOAK_ENDPOINT_DARK, /* it crashes, and nothing refuses what comes */
	SOAK_ENDPOINT_CUT,
	SOAK_ENDPOINT_RESTARTS, /* at once, under its id */
	SOAK_ENTRY_SPOILED,	/* by another writer */
	SOAK_ENTRY_FOREIGN,	/* another writer's, of no endpoint */
	/* Of a node. */
	SOAK_NODE_KILLED,
	SOAK_NODE_STOPS, /* SIGTERM */
	SOAK_NODE_PAUSES,
	SOAK_NODE_RELOADS,  /* SIGHUP, after its settings changed */
	SOAK_NODE_UNROUTED, /* routers take it out, though it is ready */
	SOAK_STORE_LINK,    /* its way to the store */
	/* Of all nodes. */
	SOAK_ALL_KILLED,
	SOAK_ALL_STALE, /* open connections to the store fall silent */
	/* Of the store. */
	SOAK_STORE_DOWN,
	SOAK_STORE_THROTTLES, /* the nodes from one on */
	SOAK_STORE_FORGETS,
	/* Of all else. */
	SOAK_PACKETS,	 /* are lost and doubled */
	SOAK_VERSION,	 /* the configuration changes */
	SOAK_ZONE_TURNS, /* it is drained, or restored */
	SOAK_FAULT_KINDS,
};

struct soak_fault {
	uint64_t at_ms; /* since the run began */
	enum soak_fault_kind kind;
	unsigned target; /* address of an endpoint, node or zone */
	uint64_t for_ms; /* where it ends by itself, otherwise 0 */
	/* SOAK_STORE_LINK: enum soak_link; SOAK_ENTRY_SPOILED: which entry;
	 * SOAK_PACKETS: percent that are lost. */
	unsigned strength;
	unsigned doubled; /* SOAK_PACKETS: percent of them */
};

struct soak_schedule {
	struct soak_fault *faults; /* in the order of time */
	size_t count;
};

/* What the faults of a run are drawn from. */
struct soak_schedule_plan {
	uint64_t seed;
	unsigned nodes;
	unsigned places; /* addresses of endpoints */
	unsigned zones;
	uint64_t start_ms; /* no fault before */
	uint64_t end_ms;   /* nor later */
};

/* NULL when memory runs out. */
struct soak_schedule *soak_schedule_draw(TALLOC_CTX *mem_ctx,
					 const struct soak_schedule_plan *plan);
/* The faults of a file as soak_schedule_write() leaves it; NULL with a line in
 * *@error (a talloc child of @mem_ctx) where it can't be read. */
struct soak_schedule *soak_schedule_read(TALLOC_CTX *mem_ctx, const char *file,
					 const struct soak_schedule_plan *plan,
					 char **error);
bool soak_schedule_write(const struct soak_schedule *schedule,
			 const char *file);
const char *soak_fault_name(enum soak_fault_kind kind);

#endif
