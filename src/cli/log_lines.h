/*
 * Reads log lines of several processes, parses their fields and merges them
 * into one timeline.
 *
 * A node's wall clock may jump. Each line also carries the process's monotonic
 * clock (up_ms), so the time of a line is up_ms plus the median difference
 * between wall clock and up_ms over all lines of the process.
 */
#ifndef LOG_LINES_H
#define LOG_LINES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <talloc.h>

struct log_process {
	char *key;	   /* FILE[PID] */
	char *node;	   /* name from event=started, NULL if not seen */
	int64_t offset_ms; /* wall clock minus up_ms */
};

struct log_line {
	char *text; /* the line from "event=" on */
	struct log_process *process;
	int64_t wall_ms;
	int64_t up_ms;
	int64_t time_ms; /* corrected time, set by log_lines_sort() */
};

struct log_lines {
	struct log_line *items;
	size_t count;
	size_t capacity;
	struct log_process **processes;
	size_t process_count;
};

/* Creates an empty list of lines, owned by @mem_ctx. */
struct log_lines *log_lines_create(TALLOC_CTX *mem_ctx);
/* Adds the lines of @file, skipping lines of other programs. @name is the
 * file's name, which distinguishes processes of different files. */
void log_lines_read(struct log_lines *lines, FILE *file, const char *name);
/* Computes the corrected times and sorts the lines by them. */
void log_lines_sort(struct log_lines *lines);
/* Returns the value of @field, owned by @mem_ctx, or NULL if absent. */
char *log_line_field(TALLOC_CTX *mem_ctx, const struct log_line *line,
		     const char *field);
/* Returns true if the line's event is @event. */
bool log_line_has_event(const struct log_line *line, const char *event);
/* Returns the name of the line's node, or FILE[PID] if it is unknown. */
const char *log_line_node_name(const struct log_line *line);

#endif
