#include "jt_log_sink.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum {
	BUFFER_BYTES = 256 * 1024,
	UNUSUAL_PER_S = 400,
	ORDINARY_PER_S = 300,
	REPORT_INTERVAL_MS = 1000,
	US_PER_S = 1000000,
};

/* Lines used of the rate limit in the current second. */
struct rate_usage {
	uint64_t second;
	uint32_t used;
};

struct jt_log_sink {
	int fd;
	size_t used;
	struct rate_usage rate_usages[JT_LOG_CLASS_COUNT];
	struct jt_log_counters counters;
	uint64_t reported_lines; /* suppressed and lost, at the last report */
	uint64_t reported_ms;
	char buffer[BUFFER_BYTES];
};

struct jt_log_sink *jt_log_sink_create(TALLOC_CTX *mem_ctx, int fd)
{
	struct jt_log_sink *sink = talloc_zero(mem_ctx, struct jt_log_sink);
	int flags = fcntl(fd, F_GETFL);

	if (sink == NULL)
		return NULL;
	sink->fd = fd;
	/* If this fails, writes block. */
	if (flags >= 0)
		(void)fcntl(fd, F_SETFL, flags | O_NONBLOCK);
	return sink;
}

static uint32_t class_limit(enum jt_log_class class)
{
	switch (class) {
	case JT_LOG_UNUSUAL:
		return UNUSUAL_PER_S;
	case JT_LOG_ORDINARY:
		return ORDINARY_PER_S;
	default:
		return UINT32_MAX;
	}
}

bool jt_log_sink_allow(struct jt_log_sink *sink, enum jt_log_class class,
		       uint64_t now_ms)
{
	struct rate_usage *rate_usage = &sink->rate_usages[class];
	uint64_t second = now_ms / 1000;

	if (rate_usage->second != second)
		*rate_usage = (struct rate_usage){.second = second};
	if (rate_usage->used >= class_limit(class)) {
		sink->counters.suppressed[class]++;
		return false;
	}
	rate_usage->used++;
	return true;
}

void jt_log_sink_add(struct jt_log_sink *sink, const char *line, size_t length)
{
	if (sink->used + length > BUFFER_BYTES)
		jt_log_sink_flush(sink);
	if (sink->used + length > BUFFER_BYTES) {
		sink->counters.lost++;
		return;
	}
	memcpy(sink->buffer + sink->used, line, length);
	sink->used += length;
	sink->counters.written++;
}

static uint64_t clock_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * US_PER_S + (uint64_t)now.tv_nsec / 1000;
}

static ssize_t timed_write(struct jt_log_sink *sink)
{
	uint64_t start_us = clock_us();
	ssize_t written = write(sink->fd, sink->buffer, sink->used);

	sink->counters.write_us += clock_us() - start_us;
	return written;
}

void jt_log_sink_flush(struct jt_log_sink *sink)
{
	while (sink->used > 0) {
		ssize_t written = timed_write(sink);

		if (written < 0 && errno == EINTR)
			continue;
		if (written < 0 && errno == EAGAIN)
			return;
		/* Discards the buffer if the reader closed its end. */
		if (written < 0)
			written = (ssize_t)sink->used;
		sink->used -= (size_t)written;
		memmove(sink->buffer, sink->buffer + written, sink->used);
	}
}

bool jt_log_sink_report_due(struct jt_log_sink *sink, uint64_t now_ms)
{
	uint64_t sum = sink->counters.lost;

	for (int i = 0; i < JT_LOG_CLASS_COUNT; i++)
		sum += sink->counters.suppressed[i];
	if (sum == sink->reported_lines ||
	    now_ms - sink->reported_ms < REPORT_INTERVAL_MS)
		return false;
	sink->reported_lines = sum;
	sink->reported_ms = now_ms;
	return true;
}

const struct jt_log_counters *
jt_log_sink_counters(const struct jt_log_sink *sink)
{
	return &sink->counters;
}
