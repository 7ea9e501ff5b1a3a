#include "log_lines.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Prefixes of the process id in the lines that are read. */
static const char *const program_prefixes[] = {"jaspertrackd[",
					       "jaspertrack-director["};
enum { PROGRAM_COUNT = sizeof(program_prefixes) / sizeof(program_prefixes[0]) };

struct log_lines *log_lines_create(TALLOC_CTX *mem_ctx)
{
	return talloc_zero(mem_ctx, struct log_lines);
}

char *log_line_field(TALLOC_CTX *mem_ctx, const struct log_line *line,
		     const char *field)
{
	size_t length = strlen(field);
	const char *at = line->text;

	while (at != NULL) {
		if (strncmp(at, field, length) == 0 && at[length] == '=') {
			at += length + 1;
			return talloc_strndup(mem_ctx, at, strcspn(at, " \n"));
		}
		at = strchr(at, ' ');
		if (at != NULL)
			at++;
	}
	return NULL;
}

bool log_line_has_event(const struct log_line *line, const char *event)
{
	size_t length = strlen(event);

	return strncmp(line->text, "event=", 6) == 0 &&
	       strncmp(line->text + 6, event, length) == 0 &&
	       (line->text[6 + length] == ' ' ||
		line->text[6 + length] == '\0');
}

const char *log_line_node_name(const struct log_line *line)
{
	const struct log_process *process = line->process;

	return process->node != NULL ? process->node : process->key;
}

static struct log_process *process_get(struct log_lines *lines,
				       const char *file, int pid)
{
	char *key = talloc_asprintf(lines, "%s[%d]", file, pid);
	struct log_process *process;

	for (size_t i = 0; i < lines->process_count; i++) {
		if (strcmp(lines->processes[i]->key, key) == 0) {
			talloc_free(key);
			return lines->processes[i];
		}
	}
	process = talloc_zero(lines, struct log_process);
	process->key = talloc_steal(process, key);
	lines->processes =
		talloc_realloc(lines, lines->processes, struct log_process *,
			       lines->process_count + 1);
	lines->processes[lines->process_count++] = process;
	return process;
}

/* Converts "2026-12-02T09:46:16.272Z" to milliseconds since the epoch, or -1
 * if @text has another format. */
static int64_t parse_timestamp(const char *text)
{
	struct tm fields = {0};
	const char *end = strptime(text, "%Y-%m-%dT%H:%M:%S", &fields);
	int64_t seconds;

	if (end == NULL || *end != '.')
		return -1;
	seconds = timegm(&fields);
	return seconds * 1000 + strtol(end + 1, NULL, 10);
}

/* Returns the line's timestamp, two words before @program, or -1. */
static int64_t find_timestamp(const char *text, const char *program)
{
	const char *at = program;

	for (int words = 0; words < 2; words++) {
		while (at > text && at[-1] == ' ')
			at--;
		while (at > text && at[-1] != ' ')
			at--;
	}
	return parse_timestamp(at);
}

static struct log_line *line_add(struct log_lines *lines)
{
	if (lines->count == lines->capacity) {
		lines->capacity = lines->capacity ? lines->capacity * 2 : 1024;
		lines->items = talloc_realloc(lines, lines->items,
					      struct log_line, lines->capacity);
	}
	memset(&lines->items[lines->count], 0, sizeof(struct log_line));
	return &lines->items[lines->count++];
}

/* Returns the position of the program's name and sets *pid, or NULL. */
static const char *find_program(const char *text, int *pid)
{
	for (size_t i = 0; i < PROGRAM_COUNT; i++) {
		const char *at = strstr(text, program_prefixes[i]);

		if (at == NULL)
			continue;
		*pid = atoi(at + strlen(program_prefixes[i]));
		return at;
	}
	return NULL;
}

static void line_parse(struct log_lines *lines, const char *text,
		       const char *name)
{
	int pid = 0;
	const char *program = find_program(text, &pid);
	const char *event = strstr(text, "event=");
	struct log_line *line;
	int64_t wall_ms;
	char *uptime, *node;

	if (program == NULL || event == NULL || event < program)
		return;
	wall_ms = find_timestamp(text, program);
	if (wall_ms < 0)
		return;
	line = line_add(lines);
	line->wall_ms = wall_ms;
	line->text = talloc_strndup(lines, event, strcspn(event, "\n"));
	line->process = process_get(lines, name, pid);
	uptime = log_line_field(lines, line, "up_ms");
	line->up_ms = uptime != NULL ? strtoll(uptime, NULL, 10) : wall_ms;
	node = log_line_field(line->process, line, "node");
	if (strncmp(line->text, "event=started", 13) == 0 && node != NULL)
		line->process->node = node;
}

void log_lines_read(struct log_lines *lines, FILE *file, const char *name)
{
	char *text = NULL;
	size_t buffer_size = 0;

	while (getline(&text, &buffer_size, file) >= 0)
		line_parse(lines, text, name);
	free(text);
}

static int compare_numbers(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a, right = *(const int64_t *)b;

	return (left > right) - (left < right);
}

static int compare_lines(const void *a, const void *b)
{
	const struct log_line *left = a, *right = b;

	if (left->time_ms != right->time_ms)
		return left->time_ms < right->time_ms ? -1 : 1;
	return (left->up_ms > right->up_ms) - (left->up_ms < right->up_ms);
}

static void process_set_offset(struct log_lines *lines,
			       struct log_process *process)
{
	int64_t *offsets = talloc_array(lines, int64_t, lines->count + 1);
	size_t count = 0;

	for (size_t i = 0; i < lines->count; i++) {
		const struct log_line *line = &lines->items[i];

		if (line->process == process)
			offsets[count++] = line->wall_ms - line->up_ms;
	}
	qsort(offsets, count, sizeof(*offsets), compare_numbers);
	process->offset_ms = offsets[count / 2];
	talloc_free(offsets);
}

void log_lines_sort(struct log_lines *lines)
{
	for (size_t i = 0; i < lines->process_count; i++)
		process_set_offset(lines, lines->processes[i]);
	for (size_t i = 0; i < lines->count; i++)
		lines->items[i].time_ms = lines->items[i].up_ms +
					  lines->items[i].process->offset_ms;
	if (lines->count > 0)
		qsort(lines->items, lines->count, sizeof(*lines->items),
		      compare_lines);
}
