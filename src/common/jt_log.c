#include "jt_log.h"

#include <stdarg.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

static const char *const severity_names[] = {
	[LOG_EMERG] = "emerg",	   [LOG_ALERT] = "alert",
	[LOG_CRIT] = "crit",	   [LOG_ERR] = "err",
	[LOG_WARNING] = "warning", [LOG_NOTICE] = "notice",
	[LOG_INFO] = "info",	   [LOG_DEBUG] = "debug",
};

enum {
	SEVERITY_COUNT = sizeof(severity_names) / sizeof(severity_names[0]),
	LINE_BYTES = 1024,
	UPTIME_BYTES = 40, /* space for " up_ms=N\n" */
};

int jt_log_severity(const char *name)
{
	for (int i = 0; i < SEVERITY_COUNT; i++) {
		if (strcmp(severity_names[i], name) == 0)
			return i;
	}
	return -1;
}

void jt_log_line(const struct jt_log *log, int severity, const char *format,
		 ...)
{
	char text[LINE_BYTES], line[LINE_BYTES];
	char timestamp[32];
	struct timespec now;
	struct tm parts;
	va_list arguments;
	int length;

	if (severity > log->threshold)
		return;
	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &parts);
	strftime(timestamp, sizeof(timestamp), "%Y-%m-%dT%H:%M:%S", &parts);
	va_start(arguments, format);
	vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	length = snprintf(line, sizeof(line) - UPTIME_BYTES,
			  "%s.%03ldZ %s %s[%d]: %s", timestamp,
			  now.tv_nsec / 1000000, severity_names[severity],
			  log->program, (int)getpid(), text);
	if (length >= (int)sizeof(line) - UPTIME_BYTES)
		length = (int)sizeof(line) - UPTIME_BYTES - 1;
	if (log->sink == NULL) {
		fprintf(stderr, "%.*s\n", length, line);
		return;
	}
	clock_gettime(CLOCK_MONOTONIC, &now);
	length +=
		snprintf(line + length, UPTIME_BYTES, " up_ms=%lld\n",
			 (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000);
	jt_log_sink_add(log->sink, line, (size_t)length);
}
