#include "why_load.h"

#include <stdlib.h>
#include <string.h>

enum { WINDOW_MS = 1000 };

/* Returns "198.18.0.1:443" for "100.64.0.4:1072>198.18.0.1:443". */
static const char *destination_of(const char *flow)
{
	const char *separator = flow != NULL ? strchr(flow, '>') : NULL;

	return separator != NULL ? separator + 1 : "";
}

static int compare_ids(const void *a, const void *b)
{
	uint64_t left = *(const uint64_t *)a, right = *(const uint64_t *)b;

	return (left > right) - (left < right);
}

static unsigned count_distinct(uint64_t *ids, size_t count)
{
	unsigned distinct = 0;

	if (count == 0)
		return 0;
	qsort(ids, count, sizeof(*ids), compare_ids);
	for (size_t i = 0; i < count; i++)
		distinct += i == 0 || ids[i] != ids[i - 1];
	return distinct;
}

static uint64_t endpoint_of(TALLOC_CTX *mem_ctx, const struct log_line *line)
{
	char *text = log_line_field(mem_ctx, line, "endpoint");

	return text != NULL ? strtoull(text, NULL, 16) : 0;
}

struct why_load why_load_before(struct log_lines *lines,
				const struct log_line *request,
				int64_t until_ms)
{
	TALLOC_CTX *frame = talloc_new(lines);
	uint64_t *ids = talloc_array(frame, uint64_t, lines->count);
	uint64_t endpoint = endpoint_of(frame, request);
	const char *destination =
		destination_of(log_line_field(frame, request, "flow"));
	struct why_load load = {0};

	for (size_t i = 0; i < lines->count; i++) {
		const struct log_line *line = &lines->items[i];

		if (line->time_ms < until_ms - WINDOW_MS ||
		    line->time_ms >= until_ms)
			continue;
		if (log_line_has_event(line, "log_shortened"))
			load.lines_omitted = true;
		if (!log_line_has_event(line, "request") ||
		    strcmp(destination_of(log_line_field(frame, line, "flow")),
			   destination) != 0)
			continue;
		ids[load.service_requests++] = endpoint_of(frame, line);
		load.endpoint_requests +=
			ids[load.service_requests - 1] == endpoint;
	}
	load.endpoint_count = count_distinct(ids, load.service_requests);
	talloc_free(frame);
	return load;
}
