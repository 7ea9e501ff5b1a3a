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
	REPORT_MS = 1000,
	US_PER_S = 1000000,
};

/* Lines that may still be written in the second at hand. */
struct allowance {
	uint64_t second;
	uint32_t used;
};

struct jt_log_sink {
	int fd;
	size_t used;
	struct allowance allowances[JT_LOG_CLASSES];
	struct jt_log_counters counters;
	uint64_t reported; /* sum of what was left out, as told last */
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
	/* Where that fails, writes wait: still better than no log. */
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
	struct allowance *allowance = &sink->allowances[class];
	uint64_t second = now_ms / 1000;

	if (allowance->second != second)
		*allowance = (struct allowance){.second = second};
	if (allowance->used >= class_limit(class)) {
		sink->counters.left_out[class]++;
		return false;
	}
	allowance->used++;
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
	uint64_t began_us = clock_us();
	ssize_t done = write(sink->fd, sink->buffer, sink->used);

	sink->counters.write_us += clock_us() - began_us;
	return done;
}

void jt_log_sink_flush(struct jt_log_sink *sink)
{
	while (sink->used > 0) {
		ssize_t done = timed_write(sink);

		if (done < 0 && errno == EINTR)
			continue;
		if (done < 0 && errno == EAGAIN)
			return;
		if (done < 0)
			done = (ssize_t)sink->used; /* nobody reads any more */
		sink->used -= (size_t)done;
		memmove(sink->buffer, sink->buffer + done, sink->used);
	}
}

bool jt_log_sink_shortened(struct jt_log_sink *sink, uint64_t now_ms)
{
	uint64_t sum = sink->counters.lost;

	for (int i = 0; i < JT_LOG_CLASSES; i++)
		sum += sink->counters.left_out[i];
	if (sum == sink->reported || now_ms - sink->reported_ms < REPORT_MS)
		return false;
	sink->reported = sum;
	sink->reported_ms = now_ms;
	return true;
}

const struct jt_log_counters *
jt_log_sink_counters(const struct jt_log_sink *sink)
{
	return &sink->counters;
}
