/*
 * Log lines on stderr or to a sink: severity, program, then key=value pairs.
 *
 * Lines report changes of state; frequent events are counted in metrics
 * instead. There is no global log: functions that log have a parameter for it.
 */
#ifndef JT_LOG_H
#define JT_LOG_H

#include "jt_log_sink.h"

#include <stdio.h>
#include <syslog.h>

/* A destination of log lines. */
struct jt_log {
	const char *program;
	int threshold; /* LOG_ERR .. LOG_DEBUG of syslog(3) */
	/* Destination of the lines; NULL: stderr. With a sink, each line ends
	 * with up_ms, the monotonic clock, which orders the lines of a process
	 * even if the time of day is set. */
	struct jt_log_sink *sink;
};

/* Writes one line if @severity is within the threshold; @format yields
 * key=value pairs, "event=..." first. Long lines are truncated. */
__attribute__((format(printf, 3, 4))) void
jt_log_line(const struct jt_log *log, int severity, const char *format, ...);

/* Returns the LOG_* value of a severity name, or -1 if it is unknown. */
int jt_log_severity(const char *name);

#endif
