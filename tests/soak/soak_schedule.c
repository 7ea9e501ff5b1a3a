/* Drawing, keeping and reading the faults of a run. */
#include "soak_schedule.h"
#include "jt_random.h"
#include "soak.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	GROWTH = 64, /* faults that room is made for at once */
	LINE = 256,
	/* Between single faults. */
	PAUSE_LEAST_MS = 150,
	PAUSE_MOST_MS = 1500,
	/* Between zones that are drained or restored; one time in so many,
	 * connections fall silent instead. */
	ZONE_LEAST_MS = 500,
	ZONE_MOST_MS = 5000,
	ZONE_FAULTS_A_STALE = 4,
	/* Between endpoints that start again, or entries by another writer. */
	RESTART_LEAST_MS = 400,
	RESTART_MOST_MS = 3000,
	SPOILED_MOST_MS = 2000,
	ENTRY_KINDS = 8,
	/* Between nodes that routers take out. */
	UNROUTED_EVERY_LEAST_MS = 500,
	UNROUTED_EVERY_MOST_MS = 3000,
	UNROUTED_LEAST_MS = 600,
	UNROUTED_MOST_MS = 2500,
	/* Between series, and between the faults of one. */
	SERIES_EVERY_LEAST_MS = 1500,
	SERIES_EVERY_MOST_MS = 5000,
	SERIES_LEAST = 3, /* faults */
	SERIES_MOST = 6,
	SERIES_PAUSE_LEAST_MS = 20,
	SERIES_PAUSE_MOST_MS = 1200,
	/* How long faults that end by themselves last. */
	LINK_LEAST_MS = 300,
	LINK_MOST_MS = 6000,
	NODE_PAUSE_LEAST_MS = 200,
	NODE_PAUSE_MOST_MS = 5000,
	ENDPOINT_CUT_LEAST_MS = 300,
	ENDPOINT_CUT_MOST_MS = 3000,
	STORE_LEAST_MS = 200,
	STORE_MOST_MS = 4000,
	PACKETS_LEAST_MS = 500,
	PACKETS_MOST_MS = 4000,
	PACKETS_PERCENT = 10,
	PERCENT = 100,
};

/* Each kind of faults is drawn from numbers of its own. */
enum stream {
	STREAM_SINGLE,
	STREAM_ZONES,
	STREAM_RESTARTS,
	STREAM_ROUTERS,
	STREAM_SERIES,
	STREAM_PROFILE
};

/* Which of them a seed has; single faults always come. */
enum profile { PROFILE_ROUTERS = 1 << 0, PROFILE_SERIES = 1 << 1 };

static const char *const names[SOAK_FAULT_KINDS] = {
	[SOAK_ENDPOINT_DRAINS] = "endpoint_drains",
	[SOAK_ENDPOINT_GOES] = "endpoint_goes",
	[SOAK_ENDPOINT_CRASHES] = "endpoint_crashes",
	[SOAK_ENDPOINT_DARK] = "endpoint_dark",
	[SOAK_ENDPOINT_CUT] = "endpoint_cut",
	[SOAK_ENDPOINT_RESTARTS] = "endpoint_restarts",
	[SOAK_ENTRY_SPOILED] = "entry_spoiled",
	[SOAK_ENTRY_FOREIGN] = "entry_foreign",
	[SOAK_NODE_KILLED] = "node_killed",
	[SOAK_NODE_STOPS] = "node_stops",
	[SOAK_NODE_PAUSES] = "node_pauses",
	[SOAK_NODE_RELOADS] = "node_reloads",
	[SOAK_NODE_UNROUTED] = "node_unrouted",
	[SOAK_STORE_LINK] = "store_link",
	[SOAK_ALL_KILLED] = "all_killed",
	[SOAK_ALL_STALE] = "all_stale",
	[SOAK_STORE_DOWN] = "store_down",
	[SOAK_STORE_THROTTLES] = "store_throttles",
	[SOAK_STORE_FORGETS] = "store_forgets",
	[SOAK_PACKETS] = "packets",
	[SOAK_VERSION] = "version",
	[SOAK_ZONE_TURNS] = "zone_turns",
};

const char *soak_fault_name(enum soak_fault_kind kind)
{
	return names[kind];
}

static struct jt_random stream_of(const struct soak_schedule_plan *plan,
				  enum stream stream)
{
	uint64_t of = stream;

	return (struct jt_random){.seed = XXH64(&of, sizeof(of), plan->seed)};
}

static uint64_t below(struct jt_random *random, uint64_t limit)
{
	return jt_random_next(random) % limit;
}

static uint64_t between(struct jt_random *random, uint64_t least, uint64_t most)
{
	return least + below(random, most - least);
}

static void add(struct soak_schedule *schedule, struct soak_fault fault)
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

static void add_endpoint(struct soak_schedule *schedule,
			 const struct soak_schedule_plan *plan,
			 struct jt_random *random, uint64_t at_ms)
{
	struct soak_fault fault = {
		.at_ms = at_ms,
		.kind = SOAK_ENDPOINT_DRAINS +
			(unsigned)below(random, SOAK_ENDPOINT_RESTARTS),
		.target = (unsigned)below(random, plan->places),
	};

	if (fault.kind == SOAK_ENDPOINT_CUT)
		fault.for_ms = between(random, ENDPOINT_CUT_LEAST_MS,
				       ENDPOINT_CUT_MOST_MS);
	add(schedule, fault);
}

static void add_link(struct soak_schedule *schedule, unsigned node,
		     struct jt_random *random, uint64_t at_ms)
{
	add(schedule,
	    (struct soak_fault){
		    .at_ms = at_ms,
		    .kind = SOAK_STORE_LINK,
		    .target = node,
		    .for_ms = between(random, LINK_LEAST_MS, LINK_MOST_MS),
		    .strength =
			    1 + (unsigned)below(random, SOAK_LINK_STALE - 1),
	    });
}

static void add_node(struct soak_schedule *schedule,
		     const struct soak_schedule_plan *plan,
		     struct jt_random *random, uint64_t at_ms)
{
	static const enum soak_fault_kind kinds[] = {
		SOAK_NODE_KILLED, SOAK_NODE_STOPS, SOAK_NODE_PAUSES,
		SOAK_STORE_LINK,  SOAK_STORE_LINK,
	};
	unsigned node = (unsigned)below(random, plan->nodes);
	struct soak_fault fault = {
		.at_ms = at_ms,
		.kind = kinds[below(random, sizeof(kinds) / sizeof(kinds[0]))],
		.target = node,
	};

	if (fault.kind == SOAK_STORE_LINK) {
		add_link(schedule, node, random, at_ms);
		return;
	}
	if (fault.kind == SOAK_NODE_PAUSES)
		fault.for_ms = between(random, NODE_PAUSE_LEAST_MS,
				       NODE_PAUSE_MOST_MS);
	add(schedule, fault);
}

static void add_store(struct soak_schedule *schedule,
		      const struct soak_schedule_plan *plan,
		      struct jt_random *random, uint64_t at_ms)
{
	static const enum soak_fault_kind kinds[] = {
		SOAK_STORE_DOWN, SOAK_STORE_THROTTLES, SOAK_STORE_FORGETS};
	struct soak_fault fault = {
		.at_ms = at_ms,
		.kind = kinds[below(random, sizeof(kinds) / sizeof(kinds[0]))],
		.target = (unsigned)below(random, plan->nodes),
		.for_ms = between(random, STORE_LEAST_MS, STORE_MOST_MS),
	};

	add(schedule, fault);
}

static void add_packets(struct soak_schedule *schedule,
			struct jt_random *random, uint64_t at_ms)
{
	add(schedule,
	    (struct soak_fault){
		    .at_ms = at_ms,
		    .kind = SOAK_PACKETS,
		    .for_ms =
			    between(random, PACKETS_LEAST_MS, PACKETS_MOST_MS),
		    .strength = (unsigned)below(random, PACKETS_PERCENT),
		    .doubled = (unsigned)below(random, PACKETS_PERCENT),
	    });
}

static void draw_single(struct soak_schedule *schedule,
			const struct soak_schedule_plan *plan)
{
	struct jt_random random = stream_of(plan, STREAM_SINGLE);
	uint64_t at_ms = plan->start_ms;

	for (; at_ms < plan->end_ms;
	     at_ms += between(&random, PAUSE_LEAST_MS, PAUSE_MOST_MS)) {
		unsigned kind = (unsigned)below(&random, 20);

		if (kind < 6)
			add_endpoint(schedule, plan, &random, at_ms);
		else if (kind < 12)
			add_node(schedule, plan, &random, at_ms);
		else if (kind < 14)
			add_store(schedule, plan, &random, at_ms);
		else if (kind < 16)
			add_packets(schedule, &random, at_ms);
		else
			add(schedule,
			    (struct soak_fault){
				    .at_ms = at_ms,
				    .kind = kind < 19 ? SOAK_VERSION
						      : SOAK_ALL_KILLED});
	}
}

static void draw_zones(struct soak_schedule *schedule,
		       const struct soak_schedule_plan *plan)
{
	struct jt_random random = stream_of(plan, STREAM_ZONES);
	uint64_t at_ms = plan->start_ms;

	for (; at_ms < plan->end_ms;
	     at_ms += between(&random, ZONE_LEAST_MS, ZONE_MOST_MS)) {
		struct soak_fault fault = {
			.at_ms = at_ms,
			.kind = below(&random, ZONE_FAULTS_A_STALE) == 0
					? SOAK_ALL_STALE
					: SOAK_ZONE_TURNS,
			.target = (unsigned)below(&random, plan->zones),
		};

		add(schedule, fault);
	}
}

static void draw_restarts(struct soak_schedule *schedule,
			  const struct soak_schedule_plan *plan)
{
	static const enum soak_fault_kind kinds[] = {
		SOAK_ENTRY_FOREIGN,	SOAK_ENTRY_SPOILED,
		SOAK_ENTRY_SPOILED,	SOAK_ENTRY_SPOILED,
		SOAK_ENDPOINT_RESTARTS, SOAK_ENDPOINT_RESTARTS,
		SOAK_ENDPOINT_RESTARTS, SOAK_ENDPOINT_RESTARTS,
	};
	struct jt_random random = stream_of(plan, STREAM_RESTARTS);
	uint64_t at_ms = plan->start_ms;

	for (; at_ms < plan->end_ms;
	     at_ms += between(&random, RESTART_LEAST_MS, RESTART_MOST_MS)) {
		struct soak_fault fault = {
			.at_ms = at_ms,
			.kind = kinds[below(&random,
					    sizeof(kinds) / sizeof(kinds[0]))],
			.target = (unsigned)below(&random, plan->places),
		};

		if (fault.kind == SOAK_ENTRY_SPOILED) {
			fault.for_ms = below(&random, SPOILED_MOST_MS);
			fault.strength = (unsigned)below(&random, ENTRY_KINDS);
		}
		add(schedule, fault);
	}
}

static void draw_routers(struct soak_schedule *schedule,
			 const struct soak_schedule_plan *plan)
{
	struct jt_random random = stream_of(plan, STREAM_ROUTERS);
	uint64_t at_ms = plan->start_ms;

	for (; at_ms < plan->end_ms;
	     at_ms +=
	     between(&random, UNROUTED_EVERY_LEAST_MS, UNROUTED_EVERY_MOST_MS))
		add(schedule,
		    (struct soak_fault){
			    .at_ms = at_ms,
			    .kind = SOAK_NODE_UNROUTED,
			    .target = (unsigned)below(&random, plan->nodes),
			    .for_ms = between(&random, UNROUTED_LEAST_MS,
					      UNROUTED_MOST_MS)});
}

/* Series: the same once more before it is over, or several at one place. */

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
		SOAK_NODE_RELOADS, SOAK_NODE_STOPS,  SOAK_NODE_PAUSES,
		SOAK_NODE_STOPS,   SOAK_NODE_KILLED,
	};
	unsigned in_turn = first + number;

	switch (series) {
	case SERIES_STOPS_IN_TURN:
		return (struct soak_fault){.kind = SOAK_NODE_STOPS,
					   .target = in_turn % plan->nodes};
	case SERIES_KILLS_OF_ONE:
		return (struct soak_fault){.kind = SOAK_NODE_KILLED,
					   .target = first % plan->nodes};
	case SERIES_SIGNALS_TO_ONE:
		return (struct soak_fault){
			.kind = signals[below(
				random, sizeof(signals) / sizeof(signals[0]))],
			.target = first % plan->nodes,
			.for_ms = between(random, NODE_PAUSE_LEAST_MS,
					  NODE_PAUSE_MOST_MS)};
	case SERIES_RELOADS_IN_TURN:
		return (struct soak_fault){.kind = SOAK_NODE_RELOADS,
					   .target = in_turn % plan->nodes};
	case SERIES_RESTARTS_IN_TURN:
		return (struct soak_fault){.kind = SOAK_ENDPOINT_RESTARTS,
					   .target = in_turn % plan->places};
	default:
		return (struct soak_fault){.kind = SOAK_VERSION};
	}
}

static void draw_series(struct soak_schedule *schedule,
			const struct soak_schedule_plan *plan)
{
	struct jt_random random = stream_of(plan, STREAM_SERIES);
	uint64_t begin_ms = plan->start_ms;

	for (; begin_ms < plan->end_ms;
	     begin_ms +=
	     between(&random, SERIES_EVERY_LEAST_MS, SERIES_EVERY_MOST_MS)) {
		enum series series = (enum series)below(&random, SERIES_KINDS);
		unsigned first = (unsigned)below(&random, plan->nodes);
		uint64_t count = between(&random, SERIES_LEAST, SERIES_MOST);
		uint64_t pause_ms = between(&random, SERIES_PAUSE_LEAST_MS,
					    SERIES_PAUSE_MOST_MS);

		for (unsigned i = 0; i < count; i++) {
			struct soak_fault fault =
				series_fault(series, first, i, plan, &random);

			fault.at_ms = begin_ms + i * pause_ms;
			if (fault.at_ms < plan->end_ms)
				add(schedule, fault);
		}
	}
}

static int by_time(const void *one, const void *other)
{
	const struct soak_fault *a = one, *b = other;

	if (a->at_ms != b->at_ms)
		return a->at_ms < b->at_ms ? -1 : 1;
	/* The order must not hang on how qsort() goes about equals. */
	if (a->kind != b->kind)
		return a->kind < b->kind ? -1 : 1;
	return (a->target > b->target) - (a->target < b->target);
}

static void sort(struct soak_schedule *schedule)
{
	if (schedule->count > 0)
		qsort(schedule->faults, schedule->count,
		      sizeof(schedule->faults[0]), by_time);
}

struct soak_schedule *soak_schedule_draw(TALLOC_CTX *mem_ctx,
					 const struct soak_schedule_plan *plan)
{
	struct soak_schedule *schedule =
		talloc_zero(mem_ctx, struct soak_schedule);
	struct jt_random random = stream_of(plan, STREAM_PROFILE);
	uint64_t profile = jt_random_next(&random);

	if (schedule == NULL)
		return NULL;
	draw_single(schedule, plan);
	draw_zones(schedule, plan);
	draw_restarts(schedule, plan);
	if (profile & PROFILE_ROUTERS)
		draw_routers(schedule, plan);
	if (profile & PROFILE_SERIES)
		draw_series(schedule, plan);
	sort(schedule);
	return schedule;
}

/* Files */

bool soak_schedule_write(const struct soak_schedule *schedule, const char *file)
{
	FILE *stream = fopen(file, "w");

	if (stream == NULL)
		return false;
	fprintf(stream, "# at_ms kind target for_ms strength doubled\n");
	for (size_t i = 0; i < schedule->count; i++) {
		const struct soak_fault *fault = &schedule->faults[i];

		fprintf(stream, "%llu %s %u %llu %u %u\n",
			(unsigned long long)fault->at_ms, names[fault->kind],
			fault->target, (unsigned long long)fault->for_ms,
			fault->strength, fault->doubled);
	}
	return fclose(stream) == 0;
}

static unsigned target_limit(enum soak_fault_kind kind,
			     const struct soak_schedule_plan *plan)
{
	if (kind <= SOAK_ENTRY_FOREIGN)
		return plan->places;
	return kind == SOAK_ZONE_TURNS ? plan->zones : plan->nodes;
}

static unsigned strength_limit(enum soak_fault_kind kind)
{
	return kind == SOAK_STORE_LINK ? SOAK_LINK_STALE : PERCENT;
}

/* NULL, or the field that is wrong. */
static const char *line_parse(const char *line,
			      const struct soak_schedule_plan *plan,
			      struct soak_fault *fault)
{
	unsigned long long at_ms, for_ms;
	char name[32];
	int kind = 0;

	if (sscanf(line, "%llu %31s %u %llu %u %u", &at_ms, name,
		   &fault->target, &for_ms, &fault->strength,
		   &fault->doubled) != 6)
		return "six fields are needed";
	while (kind < SOAK_FAULT_KINDS && strcmp(names[kind], name) != 0)
		kind++;
	if (kind == SOAK_FAULT_KINDS)
		return "kind: unknown";
	fault->kind = (enum soak_fault_kind)kind;
	fault->at_ms = at_ms;
	fault->for_ms = for_ms;
	if (fault->target >= target_limit(fault->kind, plan))
		return "target: there are not so many";
	if (fault->strength >= strength_limit(fault->kind))
		return "strength: too large";
	if (fault->doubled > PERCENT)
		return "doubled: a percentage";
	return NULL;
}

static bool lines_read(struct soak_schedule *schedule, FILE *stream,
		       const char *file, const struct soak_schedule_plan *plan,
		       char **error)
{
	struct soak_fault fault;
	const char *wrong;
	char line[LINE];

	for (unsigned number = 1; fgets(line, sizeof(line), stream) != NULL;
	     number++) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		wrong = line_parse(line, plan, &fault);
		if (wrong != NULL) {
			*error = talloc_asprintf(talloc_parent(schedule),
						 "%s: line %u: %s", file,
						 number, wrong);
			return false;
		}
		add(schedule, fault);
	}
	return true;
}

struct soak_schedule *soak_schedule_read(TALLOC_CTX *mem_ctx, const char *file,
					 const struct soak_schedule_plan *plan,
					 char **error)
{
	struct soak_schedule *schedule =
		talloc_zero(mem_ctx, struct soak_schedule);
	FILE *stream = fopen(file, "r");

	if (stream == NULL) {
		*error = talloc_asprintf(mem_ctx, "%s: %s", file,
					 strerror(errno));
		TALLOC_FREE(schedule);
		return NULL;
	}
	if (!lines_read(schedule, stream, file, plan, error))
		TALLOC_FREE(schedule);
	else
		sort(schedule);
	fclose(stream);
	return schedule;
}
