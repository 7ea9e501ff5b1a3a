/* Drawing the faults of a run. */
#include "soak_schedule.h"
#include "jt_random.h"
#include "soak.h"

#include <stdlib.h>

enum {
	GROWTH = 64, /* faults allocated at once */
	/* Interval between single faults. */
	SINGLE_EVERY_MIN_MS = 150,
	SINGLE_EVERY_MAX_MS = 1500,
	/* Interval between zone faults; one in ZONE_FAULTS_PER_STALE
	 * silences open connections instead. */
	ZONE_EVERY_MIN_MS = 500,
	ZONE_EVERY_MAX_MS = 5000,
	ZONE_FAULTS_PER_STALE = 4,
	/* Interval between endpoint restarts or invalid entries. */
	RESTART_EVERY_MIN_MS = 400,
	RESTART_EVERY_MAX_MS = 3000,
	CORRUPTED_MAX_MS = 2000,
	ENTRY_KINDS = 8,
	/* Interval between nodes that routers leave out, and its duration. */
	UNROUTED_EVERY_MIN_MS = 500,
	UNROUTED_EVERY_MAX_MS = 3000,
	UNROUTED_MIN_MS = 600,
	UNROUTED_MAX_MS = 2500,
	/* Interval between series, their length, and the interval within
	 * one. */
	SERIES_EVERY_MIN_MS = 1500,
	SERIES_EVERY_MAX_MS = 5000,
	SERIES_MIN = 3,
	SERIES_MAX = 6,
	SERIES_STEP_MIN_MS = 20,
	SERIES_STEP_MAX_MS = 1200,
	/* Durations of faults that end by themselves. */
	LINK_MIN_MS = 300,
	LINK_MAX_MS = 6000,
	NODE_PAUSE_MIN_MS = 200,
	NODE_PAUSE_MAX_MS = 5000,
	ENDPOINT_CUT_MIN_MS = 300,
	ENDPOINT_CUT_MAX_MS = 3000,
	STORE_MIN_MS = 200,
	STORE_MAX_MS = 4000,
	PACKETS_MIN_MS = 500,
	PACKETS_MAX_MS = 4000,
	PACKETS_PERCENT = 10,
	/* Interval between lags of the store, and their duration. While it
	 * lags, one node pauses, and a new version comes soon after. */
	LAG_EVERY_MIN_MS = 5000,
	LAG_EVERY_MAX_MS = 9000,
	LAG_FOR_MS = 7000,
	LAG_UNITS_MIN = 30,
	LAG_UNITS_MAX = 60,
	LAG_PAUSE_AFTER_MS = 500,
	LAG_PAUSE_MIN_MS = 3000,
	LAG_VERSION_MAX_MS = 500,
	/* Seeds with all of these bits have these faults; none of the seeds
	 * kept from before does. */
	LAG_SEED_BITS = 5,
};

/* Each group of faults has its own random stream. */
enum stream {
	STREAM_SINGLE,
	STREAM_ZONES,
	STREAM_RESTARTS,
	STREAM_ROUTERS,
	STREAM_SERIES,
	STREAM_PROFILE,
	STREAM_LAG
};

/* Optional groups of faults of a seed; the others always apply. */
enum profile { PROFILE_ROUTERS = 1 << 0, PROFILE_SERIES = 1 << 1 };

static const char *const fault_names[SOAK_FAULT_KINDS] = {
	[SOAK_ENDPOINT_DRAINS] = "endpoint_drains",
	[SOAK_ENDPOINT_UNLISTED] = "endpoint_goes",
	[SOAK_ENDPOINT_CRASHES] = "endpoint_crashes",
	[SOAK_ENDPOINT_BLACKHOLE] = "endpoint_dark",
	[SOAK_ENDPOINT_DISCONNECT] = "endpoint_cut",
	[SOAK_ENDPOINT_RESTARTS] = "endpoint_restarts",
	[SOAK_ENTRY_CORRUPTED] = "entry_spoiled",
	[SOAK_ENTRY_FOREIGN] = "entry_foreign",
	[SOAK_NODE_KILLED] = "node_killed",
	[SOAK_NODE_TERMINATES] = "node_stops",
	[SOAK_NODE_PAUSES] = "node_pauses",
	[SOAK_NODE_RELOADS] = "node_reloads",
	[SOAK_NODE_UNROUTED] = "node_unrouted",
	[SOAK_STORE_LINK] = "store_link",
	[SOAK_ALL_KILLED] = "all_killed",
	[SOAK_ALL_STALE] = "all_stale",
	[SOAK_STORE_DOWN] = "store_down",
	[SOAK_STORE_THROTTLES] = "store_throttles",
	[SOAK_STORE_COMPACTS] = "store_forgets",
	[SOAK_STORE_LAGS] = "store_lags",
	[SOAK_PACKETS] = "packets",
	[SOAK_VERSION] = "version",
	[SOAK_ZONE_TOGGLED] = "zone_turns",
};

const char *soak_fault_name(enum soak_fault_kind kind)
{
	return fault_names[kind];
}

static struct jt_random stream_random(const struct soak_schedule_plan *plan,
				      enum stream stream)
{
	uint64_t key = stream;

	return (struct jt_random){.seed = XXH64(&key, sizeof(key), plan->seed)};
}

static uint64_t random_below(struct jt_random *random, uint64_t limit)
{
	return jt_random_next(random) % limit;
}

static uint64_t random_between(struct jt_random *random, uint64_t min,
			       uint64_t max)
{
	return min + random_below(random, max - min);
}

void soak_schedule_add(struct soak_schedule *schedule, struct soak_fault fault)
{
	if (schedule->count % GROWTH == 0)
		schedule->faults = talloc_realloc(schedule, schedule->faults,
						  struct soak_fault,
						  schedule->count + GROWTH);
	if (schedule->faults == NULL)
		abort();
	schedule->faults[schedule->count++] = fault;
}

/* Single faults */

static void add_endpoint_fault(struct soak_schedule *schedule,
			       const struct soak_schedule_plan *plan,
			       struct jt_random *random, uint64_t at_ms)
{
	struct soak_fault fault = {
		.at_ms = at_ms,
		.kind = SOAK_ENDPOINT_DRAINS +
			(unsigned)random_below(random, SOAK_ENDPOINT_RESTARTS),
		.target = (unsigned)random_below(random, plan->addresses),
	};

	if (fault.kind == SOAK_ENDPOINT_DISCONNECT)
		fault.for_ms = random_between(random, ENDPOINT_CUT_MIN_MS,
					      ENDPOINT_CUT_MAX_MS);
	soak_schedule_add(schedule, fault);
}

static void add_link_fault(struct soak_schedule *schedule, unsigned node,
			   struct jt_random *random, uint64_t at_ms)
{
	soak_schedule_add(
		schedule,
		(struct soak_fault){
			.at_ms = at_ms,
			.kind = SOAK_STORE_LINK,
			.target = node,
			.for_ms = random_between(random, LINK_MIN_MS,
						 LINK_MAX_MS),
			.strength = 1 + (unsigned)random_below(
						random, SOAK_LINK_STALE - 1),
		});
}

static void add_node_fault(struct soak_schedule *schedule,
			   const struct soak_schedule_plan *plan,
			   struct jt_random *random, uint64_t at_ms)
{
	static const enum soak_fault_kind kinds[] = {
		SOAK_NODE_KILLED, SOAK_NODE_TERMINATES, SOAK_NODE_PAUSES,
		SOAK_STORE_LINK,  SOAK_STORE_LINK,
	};
	unsigned node = (unsigned)random_below(random, plan->nodes);
	struct soak_fault fault = {
		.at_ms = at_ms,
		.kind = kinds[random_below(random,
					   sizeof(kinds) / sizeof(kinds[0]))],
		.target = node,
	};

	if (fault.kind == SOAK_STORE_LINK) {
		add_link_fault(schedule, node, random, at_ms);
		return;
	}
	if (fault.kind == SOAK_NODE_PAUSES)
		fault.for_ms = random_between(random, NODE_PAUSE_MIN_MS,
					      NODE_PAUSE_MAX_MS);
	soak_schedule_add(schedule, fault);
}

static void add_store_fault(struct soak_schedule *schedule,
			    const struct soak_schedule_plan *plan,
			    struct jt_random *random, uint64_t at_ms)
{
	static const enum soak_fault_kind kinds[] = {
		SOAK_STORE_DOWN, SOAK_STORE_THROTTLES, SOAK_STORE_COMPACTS};
	struct soak_fault fault = {
		.at_ms = at_ms,
		.kind = kinds[random_below(random,
					   sizeof(kinds) / sizeof(kinds[0]))],
		.target = (unsigned)random_below(random, plan->nodes),
		.for_ms = random_between(random, STORE_MIN_MS, STORE_MAX_MS),
	};

	soak_schedule_add(schedule, fault);
}

static void add_packet_faults(struct soak_schedule *schedule,
			      struct jt_random *random, uint64_t at_ms)
{
	soak_schedule_add(
		schedule,
		(struct soak_fault){
			.at_ms = at_ms,
			.kind = SOAK_PACKETS,
			.for_ms = random_between(random, PACKETS_MIN_MS,
						 PACKETS_MAX_MS),
			.strength =
				(unsigned)random_below(random, PACKETS_PERCENT),
			.doubled =
				(unsigned)random_below(random, PACKETS_PERCENT),
		});
}

static void draw_single(struct soak_schedule *schedule,
			const struct soak_schedule_plan *plan)
{
	struct jt_random random = stream_random(plan, STREAM_SINGLE);
	uint64_t at_ms = plan->start_ms;

	for (; at_ms < plan->end_ms;
	     at_ms += random_between(&random, SINGLE_EVERY_MIN_MS,
				     SINGLE_EVERY_MAX_MS)) {
		unsigned kind = (unsigned)random_below(&random, 20);

		if (kind < 6)
			add_endpoint_fault(schedule, plan, &random, at_ms);
		else if (kind < 12)
			add_node_fault(schedule, plan, &random, at_ms);
		else if (kind < 14)
			add_store_fault(schedule, plan, &random, at_ms);
		else if (kind < 16)
			add_packet_faults(schedule, &random, at_ms);
		else
			soak_schedule_add(
				schedule,
				(struct soak_fault){
					.at_ms = at_ms,
					.kind = kind < 19 ? SOAK_VERSION
							  : SOAK_ALL_KILLED});
	}
}

static void draw_zones(struct soak_schedule *schedule,
		       const struct soak_schedule_plan *plan)
{
	struct jt_random random = stream_random(plan, STREAM_ZONES);
	uint64_t at_ms = plan->start_ms;

	for (; at_ms < plan->end_ms;
	     at_ms +=
	     random_between(&random, ZONE_EVERY_MIN_MS, ZONE_EVERY_MAX_MS)) {
		struct soak_fault fault = {
			.at_ms = at_ms,
			.kind = random_below(&random, ZONE_FAULTS_PER_STALE) ==
						0
					? SOAK_ALL_STALE
					: SOAK_ZONE_TOGGLED,
			.target = (unsigned)random_below(&random, plan->zones),
		};

		soak_schedule_add(schedule, fault);
	}
}

static void draw_restarts(struct soak_schedule *schedule,
			  const struct soak_schedule_plan *plan)
{
	static const enum soak_fault_kind kinds[] = {
		SOAK_ENTRY_FOREIGN,	SOAK_ENTRY_CORRUPTED,
		SOAK_ENTRY_CORRUPTED,	SOAK_ENTRY_CORRUPTED,
		SOAK_ENDPOINT_RESTARTS, SOAK_ENDPOINT_RESTARTS,
		SOAK_ENDPOINT_RESTARTS, SOAK_ENDPOINT_RESTARTS,
	};
	struct jt_random random = stream_random(plan, STREAM_RESTARTS);
	uint64_t at_ms = plan->start_ms;

	for (; at_ms < plan->end_ms;
	     at_ms += random_between(&random, RESTART_EVERY_MIN_MS,
				     RESTART_EVERY_MAX_MS)) {
		struct soak_fault fault = {
			.at_ms = at_ms,
			.kind = kinds[random_below(
				&random, sizeof(kinds) / sizeof(kinds[0]))],
			.target = (unsigned)random_below(&random,
							 plan->addresses),
		};

		if (fault.kind == SOAK_ENTRY_CORRUPTED) {
			fault.for_ms = random_below(&random, CORRUPTED_MAX_MS);
			fault.strength =
				(unsigned)random_below(&random, ENTRY_KINDS);
		}
		soak_schedule_add(schedule, fault);
	}
}

static void draw_routers(struct soak_schedule *schedule,
			 const struct soak_schedule_plan *plan)
{
	struct jt_random random = stream_random(plan, STREAM_ROUTERS);
	uint64_t at_ms = plan->start_ms;

	for (; at_ms < plan->end_ms;
	     at_ms += random_between(&random, UNROUTED_EVERY_MIN_MS,
				     UNROUTED_EVERY_MAX_MS))
		soak_schedule_add(
			schedule,
			(struct soak_fault){.at_ms = at_ms,
					    .kind = SOAK_NODE_UNROUTED,
					    .target = (unsigned)random_below(
						    &random, plan->nodes),
					    .for_ms = random_between(
						    &random, UNROUTED_MIN_MS,
						    UNROUTED_MAX_MS)});
}

/* Series: a fault repeated before the previous one has ended, or several at
 * one target */

enum series {
	SERIES_STOPS_IN_TURN,
	SERIES_KILLS_OF_ONE,
	SERIES_SIGNALS_TO_ONE,
	SERIES_RELOADS_IN_TURN,
	SERIES_VERSIONS,
	SERIES_RESTARTS_IN_TURN,
	SERIES_KINDS,
};

static struct soak_fault series_fault(enum series series, unsigned first,
				      unsigned number,
				      const struct soak_schedule_plan *plan,
				      struct jt_random *random)
{
	static const enum soak_fault_kind signals[] = {
		SOAK_NODE_RELOADS,    SOAK_NODE_TERMINATES, SOAK_NODE_PAUSES,
		SOAK_NODE_TERMINATES, SOAK_NODE_KILLED,
	};
	unsigned in_turn = first + number;

	switch (series) {
	case SERIES_STOPS_IN_TURN:
		return (struct soak_fault){.kind = SOAK_NODE_TERMINATES,
					   .target = in_turn % plan->nodes};
	case SERIES_KILLS_OF_ONE:
		return (struct soak_fault){.kind = SOAK_NODE_KILLED,
					   .target = first % plan->nodes};
	case SERIES_SIGNALS_TO_ONE:
		return (struct soak_fault){
			.kind = signals[random_below(
				random, sizeof(signals) / sizeof(signals[0]))],
			.target = first % plan->nodes,
			.for_ms = random_between(random, NODE_PAUSE_MIN_MS,
						 NODE_PAUSE_MAX_MS)};
	case SERIES_RELOADS_IN_TURN:
		return (struct soak_fault){.kind = SOAK_NODE_RELOADS,
					   .target = in_turn % plan->nodes};
	case SERIES_RESTARTS_IN_TURN:
		return (struct soak_fault){.kind = SOAK_ENDPOINT_RESTARTS,
					   .target = in_turn % plan->addresses};
	default:
		return (struct soak_fault){.kind = SOAK_VERSION};
	}
}

static void draw_series(struct soak_schedule *schedule,
			const struct soak_schedule_plan *plan)
{
	struct jt_random random = stream_random(plan, STREAM_SERIES);
	uint64_t begin_ms = plan->start_ms;

	for (; begin_ms < plan->end_ms;
	     begin_ms += random_between(&random, SERIES_EVERY_MIN_MS,
					SERIES_EVERY_MAX_MS)) {
		enum series series =
			(enum series)random_below(&random, SERIES_KINDS);
		unsigned first = (unsigned)random_below(&random, plan->nodes);
		uint64_t count =
			random_between(&random, SERIES_MIN, SERIES_MAX);
		uint64_t pause_ms = random_between(&random, SERIES_STEP_MIN_MS,
						   SERIES_STEP_MAX_MS);

		for (unsigned i = 0; i < count; i++) {
			struct soak_fault fault =
				series_fault(series, first, i, plan, &random);

			fault.at_ms = begin_ms + i * pause_ms;
			if (fault.at_ms < plan->end_ms)
				soak_schedule_add(schedule, fault);
		}
	}
}

/* Stale reads lag while a node pauses, which may be the one that watches the
 * store, and the configuration changes. */
static void draw_lags(struct soak_schedule *schedule,
		      const struct soak_schedule_plan *plan,
		      struct jt_random *random)
{
	uint64_t at_ms = plan->start_ms;

	for (; at_ms < plan->end_ms;
	     at_ms +=
	     random_between(random, LAG_EVERY_MIN_MS, LAG_EVERY_MAX_MS)) {
		struct soak_fault lag = {
			.at_ms = at_ms,
			.kind = SOAK_STORE_LAGS,
			.for_ms = LAG_FOR_MS,
			.strength = (unsigned)random_between(
				random, LAG_UNITS_MIN, LAG_UNITS_MAX),
		};
		struct soak_fault pause = {
			.at_ms = at_ms + LAG_PAUSE_AFTER_MS,
			.kind = SOAK_NODE_PAUSES,
			.target = (unsigned)random_below(random, plan->nodes),
			.for_ms = random_between(random, LAG_PAUSE_MIN_MS,
						 NODE_PAUSE_MAX_MS),
		};
		struct soak_fault version = {
			.at_ms = pause.at_ms +
				 random_between(random, 1, LAG_VERSION_MAX_MS),
			.kind = SOAK_VERSION,
		};

		soak_schedule_add(schedule, lag);
		soak_schedule_add(schedule, pause);
		soak_schedule_add(schedule, version);
	}
}

static int compare_faults(const void *one, const void *other)
{
	const struct soak_fault *a = one, *b = other;

	if (a->at_ms != b->at_ms)
		return a->at_ms < b->at_ms ? -1 : 1;
	/* qsort() is not stable: order equal times as well. */
	if (a->kind != b->kind)
		return a->kind < b->kind ? -1 : 1;
	return (a->target > b->target) - (a->target < b->target);
}

void soak_schedule_sort(struct soak_schedule *schedule)
{
	if (schedule->count > 0)
		qsort(schedule->faults, schedule->count,
		      sizeof(schedule->faults[0]), compare_faults);
}

struct soak_schedule *soak_schedule_draw(TALLOC_CTX *mem_ctx,
					 const struct soak_schedule_plan *plan)
{
	struct soak_schedule *schedule =
		talloc_zero(mem_ctx, struct soak_schedule);
	struct jt_random random = stream_random(plan, STREAM_PROFILE);
	uint64_t profile = jt_random_next(&random);
	struct jt_random lag_random = stream_random(plan, STREAM_LAG);

	if (schedule == NULL)
		return NULL;
	draw_single(schedule, plan);
	draw_zones(schedule, plan);
	draw_restarts(schedule, plan);
	if (profile & PROFILE_ROUTERS)
		draw_routers(schedule, plan);
	if (profile & PROFILE_SERIES)
		draw_series(schedule, plan);
	if ((plan->seed & LAG_SEED_BITS) == LAG_SEED_BITS)
		draw_lags(schedule, plan, &lag_random);
	soak_schedule_sort(schedule);
	return schedule;
}
