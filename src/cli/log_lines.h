/*
 * Log lines read back: fields, and one order for the lines of all processes.
 *
 * A node's time of day may jump. Each line also carries the process's
 * monotonic clock (up_ms), so a line's time is taken as up_ms plus the median
 * of what the process's times of day differ from it.
 */
#ifndef LOG_LINES_H
#define LOG_LINES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <talloc.h>

struct log_process {
	char *key;  /* file and process id */
	char *node; /* name, once its line event=started is read */
	int64_t offset_ms;
};

struct log_line {
	char *text; /* from "event=" on */
	struct log_process *process;
	int64_t wall_ms;
	int64_t up_ms;
	int64_t time_ms; /* corrected */
};

struct log_lines {
	struct log_line *items;
	size_t count;
	size_t capacity;
	struct log_process **processes;
	size_t process_count;
};

struct log_lines *log_lines_create(TALLOC_CTX *mem_ctx);
/* Add the lines of @file; others than this product's are passed over. */
void log_lines_read(struct log_lines *lines, FILE *file, const char *name);
/* Correct the times and sort by them. */
void log_lines_order(struct log_lines *lines);
/* The value of @field, NULL if the line has none; below @mem_ctx. */
char *log_line_field(TALLOC_CTX *mem_ctx, const struct log_line *line,
		     const char *field);
/* Whether the line is of that event. */
bool log_line_is(const struct log_line *line, const char *event);
const char *log_line_node(const struct log_line *line);

#endif
