/*
 * Log lines on stderr, or into a sink: severity, program, then key=value pairs.
 *
 * Lines are written for changes of state only; everything that happens often
 * is a counter. The caller passes the log about; there is no global.
 */
#ifndef JT_LOG_H
#define JT_LOG_H

#include "jt_log_sink.h"

#include <stdio.h>
#include <syslog.h>

struct jt_log {
	const char *program;
	int threshold; /* LOG_ERR .. LOG_DEBUG of syslog(3) */
	/* Where lines go instead of stderr, NULL: stderr. With a sink, each
	 * line ends with the process's monotonic clock, up_ms, which puts the
	 * lines of a process in order whatever its time of day does. */
	struct jt_log_sink *sink;
};

/* Write one line; @format yields key=value pairs, "event=..." first. */
__attribute__((format(printf, 3, 4))) void
jt_log_line(const struct jt_log *log, int severity, const char *format, ...);

/* LOG_* value of a severity's name, -1 for an unknown one. */
int jt_log_severity(const char *name);

#endif
