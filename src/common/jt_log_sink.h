/*
 * Non-blocking output of log lines.
 *
 * Lines are buffered and written together. While the reader is slow they stay
 * in the buffer; when it is full, further lines are lost and counted. Each
 * class of lines has a rate limit, and lines above it are suppressed and
 * counted; changes of state have none. At most once a second, a line can report
 * how many lines were suppressed or lost.
 */
#ifndef JT_LOG_SINK_H
#define JT_LOG_SINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

enum jt_log_class {
	JT_LOG_CHANGE,	 /* a change of state */
	JT_LOG_UNUSUAL,	 /* a flow was refused, reset, dropped, moved */
	JT_LOG_ORDINARY, /* normal handling of a flow or request */
	JT_LOG_CLASS_COUNT,
};

struct jt_log_counters {
	uint64_t written;
	uint64_t suppressed[JT_LOG_CLASS_COUNT];
	uint64_t lost;	   /* the buffer was full */
	uint64_t write_us; /* time spent in write() */
};

struct jt_log_sink;

/* Creates a sink that writes to @fd, which becomes non-blocking and stays owned
 * by the calling function. Returns NULL when out of memory. */
struct jt_log_sink *jt_log_sink_create(TALLOC_CTX *mem_ctx, int fd);
/* Returns true if the rate limit of the class permits a line now; otherwise
 * counts the line as suppressed. */
bool jt_log_sink_allow(struct jt_log_sink *sink, enum jt_log_class class,
		       uint64_t now_ms);
/* Appends one line, which ends with a newline, to the buffer. */
void jt_log_sink_add(struct jt_log_sink *sink, const char *line, size_t length);
/* Writes as much of the buffer as possible without blocking. */
void jt_log_sink_flush(struct jt_log_sink *sink);
/* Returns true if lines were suppressed or lost since it last returned true, at
 * most once a second; the counters give the numbers. */
bool jt_log_sink_report_due(struct jt_log_sink *sink, uint64_t now_ms);
/* Returns the counters, valid as long as @sink. */
const struct jt_log_counters *
jt_log_sink_counters(const struct jt_log_sink *sink);

#endif
