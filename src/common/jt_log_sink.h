/*
 * Log lines of a process that must never wait for whoever reads them.
 *
 * Lines are gathered and written together; what a full pipe does not take is
 * kept up to a limit, then lost and counted. Lines of a class that come too
 * fast are left out and counted: the unusual has a larger allowance than the
 * ordinary, and changes of state are never left out. Once a second at most, a
 * line tells how many lines were left out or lost.
 */
#ifndef JT_LOG_SINK_H
#define JT_LOG_SINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

enum jt_log_class {
	JT_LOG_CHANGE,	 /* what the process believes has changed */
	JT_LOG_UNUSUAL,	 /* a flow was refused, reset, dropped, moved */
	JT_LOG_ORDINARY, /* a flow or request went its way */
	JT_LOG_CLASSES,
};

struct jt_log_counters {
	uint64_t written;
	uint64_t left_out[JT_LOG_CLASSES];
	uint64_t lost;	   /* the reader was too slow */
	uint64_t write_us; /* spent on writing */
};

struct jt_log_sink;

/* Writes to @fd, which becomes non-blocking. */
struct jt_log_sink *jt_log_sink_create(TALLOC_CTX *mem_ctx, int fd);
/* Whether a line of the class may be written now; counts those that may
 * not. */
bool jt_log_sink_allow(struct jt_log_sink *sink, enum jt_log_class class,
		       uint64_t now_ms);
/* Take one line, with its end. */
void jt_log_sink_add(struct jt_log_sink *sink, const char *line, size_t length);
/* Write what the reader takes. */
void jt_log_sink_flush(struct jt_log_sink *sink);
/* True when lines were left out or lost since the last time this was true,
 * and that is a second ago; the counters tell how many. */
bool jt_log_sink_shortened(struct jt_log_sink *sink, uint64_t now_ms);
const struct jt_log_counters *
jt_log_sink_counters(const struct jt_log_sink *sink);

#endif
