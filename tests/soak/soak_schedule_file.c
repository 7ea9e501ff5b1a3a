/* Writing and reading the faults of a run. */
#include "soak_schedule.h"
#include "soak.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { LINE = 256, PERCENT = 100 };

bool soak_schedule_write(const struct soak_schedule *schedule, const char *file)
{
	FILE *stream = fopen(file, "w");

	if (stream == NULL)
		return false;
	fprintf(stream, "# at_ms kind target for_ms strength doubled\n");
	for (size_t i = 0; i < schedule->count; i++) {
		const struct soak_fault *fault = &schedule->faults[i];

		fprintf(stream, "%llu %s %u %llu %u %u\n",
			(unsigned long long)fault->at_ms,
			soak_fault_name(fault->kind), fault->target,
			(unsigned long long)fault->for_ms, fault->strength,
			fault->doubled);
	}
	return fclose(stream) == 0;
}

static unsigned target_limit(enum soak_fault_kind kind,
			     const struct soak_schedule_plan *plan)
{
	if (kind <= SOAK_ENTRY_FOREIGN)
		return plan->addresses;
	return kind == SOAK_ZONE_TOGGLED ? plan->zones : plan->nodes;
}

static unsigned strength_limit(enum soak_fault_kind kind)
{
	return kind == SOAK_STORE_LINK ? SOAK_LINK_STALE : PERCENT;
}

/* Returns NULL, or the reason why the line is invalid. */
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
		return "six fields expected";
	while (kind < SOAK_FAULT_KINDS &&
	       strcmp(soak_fault_name((enum soak_fault_kind)kind), name) != 0)
		kind++;
	if (kind == SOAK_FAULT_KINDS)
		return "kind: unknown fault";
	fault->kind = (enum soak_fault_kind)kind;
	fault->at_ms = at_ms;
	fault->for_ms = for_ms;
	if (fault->target >= target_limit(fault->kind, plan))
		return "target: out of range";
	if (fault->strength >= strength_limit(fault->kind))
		return "strength: too large";
	if (fault->doubled > PERCENT)
		return "doubled: must be a percentage";
	return NULL;
}

static bool lines_read(struct soak_schedule *schedule, FILE *stream,
		       const char *file, const struct soak_schedule_plan *plan,
		       char **error)
{
	struct soak_fault fault;
	const char *reason;
	char line[LINE];

	for (unsigned number = 1; fgets(line, sizeof(line), stream) != NULL;
	     number++) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		reason = line_parse(line, plan, &fault);
		if (reason != NULL) {
			*error = talloc_asprintf(talloc_parent(schedule),
						 "%s: line %u: %s", file,
						 number, reason);
			return false;
		}
		soak_schedule_add(schedule, fault);
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
		soak_schedule_sort(schedule);
	fclose(stream);
	return schedule;
}
