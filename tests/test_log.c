/* Tests that the log is rate-limited and never blocks on its reader. */
#include "test.h"

#include "jt_director_log.h"

#include <fcntl.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

enum { LINES = 20000 };

static char *read_available(int fd)
{
	char *text = calloc(1, 1 << 20);
	size_t used = 0;
	ssize_t count;

	while ((count = read(fd, text + used, (1 << 20) - 1 - used)) > 0)
		used += (size_t)count;
	return text;
}

static void test_flood_is_limited_and_counted(void **state)
{
	struct jt_log_sink *sink;
	int pipe_fds[2], ordinary = 0, unusual = 0;

	(void)state;
	assert_int_equal(pipe(pipe_fds), 0);
	sink = jt_log_sink_create(NULL, pipe_fds[1]);
	for (int i = 0; i < LINES; i++) {
		ordinary += jt_log_sink_allow(sink, JT_LOG_ORDINARY, 5000);
		unusual += jt_log_sink_allow(sink, JT_LOG_UNUSUAL, 5000);
		assert_true(jt_log_sink_allow(sink, JT_LOG_CHANGE, 5000));
	}
	assert_in_range(ordinary, 1, LINES / 20);
	assert_true(unusual > ordinary);
	assert_int_equal(jt_log_sink_counters(sink)->left_out[JT_LOG_ORDINARY],
			 LINES - ordinary);
	/* The limit applies to each second. */
	assert_true(jt_log_sink_allow(sink, JT_LOG_ORDINARY, 6000));
	assert_true(jt_log_sink_shortened(sink, 6000));
	assert_false(jt_log_sink_shortened(sink, 6500));
	talloc_free(sink);
	close(pipe_fds[0]);
	close(pipe_fds[1]);
}

static void test_stalled_reader_does_not_block(void **state)
{
	struct jt_log_sink *sink;
	static const char line[] = "event=test value=0123456789abcdef\n";
	int pipe_fds[2];
	char *text;

	(void)state;
	assert_int_equal(pipe(pipe_fds), 0);
	sink = jt_log_sink_create(NULL, pipe_fds[1]);
	for (int i = 0; i < LINES; i++) {
		jt_log_sink_add(sink, line, sizeof(line) - 1);
		jt_log_sink_flush(sink); /* must not block */
	}
	assert_true(jt_log_sink_counters(sink)->lost > 0);
	assert_int_equal(jt_log_sink_counters(sink)->lost +
				 jt_log_sink_counters(sink)->written,
			 LINES);
	assert_true(jt_log_sink_shortened(sink, 10000));
	/* A reader that resumes gets complete lines. */
	fcntl(pipe_fds[0], F_SETFL, O_NONBLOCK);
	text = read_available(pipe_fds[0]);
	jt_log_sink_flush(sink);
	for (size_t at = 0; at + sizeof(line) - 1 <= strlen(text);
	     at += sizeof(line) - 1)
		assert_memory_equal(text + at, line, sizeof(line) - 1);
	free(text);
	talloc_free(sink);
	close(pipe_fds[0]);
	close(pipe_fds[1]);
}

/* Every event has the fields that docs/LOGS.md specifies. */
static void expect_fields(const char *line, const char *const *fields)
{
	for (; *fields != NULL; fields++) {
		char wanted[64];

		snprintf(wanted, sizeof(wanted), " %s=", *fields);
		if (strstr(line, wanted) == NULL)
			fail_msg("no %s in %s", *fields, line);
	}
}

static void test_event_fields(void **state)
{
	static const char *const flow_fields[] = {
		"event",    "flow",    "decision", "reason",   "version",
		"endpoint", "address", "state",	   "revision", "age_ms",
		"label",    "request", "up_ms",	   NULL};
	static const char *const endpoint_fields[] = {
		"event",    "endpoint", "address", "state", "cause",
		"revision", "age_ms",	"up_ms",   NULL};
	struct jt_director_action action = {
		.kind = JT_DIRECTOR_RESET,
		.reason = JT_DIRECTOR_ENDPOINT_DEAD,
		.endpoint_id = 0x7f3a91c2,
	};
	struct jt_log log = {.program = "test", .threshold = LOG_INFO};
	int pipe_fds[2];
	char *text;

	(void)state;
	assert_int_equal(pipe(pipe_fds), 0);
	log.sink = jt_log_sink_create(NULL, pipe_fds[1]);
	jt_director_log_flow(&log, &action, "", 1000);
	jt_director_log_endpoint(&log, &action, "endpoint_dead");
	jt_director_log_flush(&log, 1000);
	close(pipe_fds[1]);
	text = read_available(pipe_fds[0]);
	expect_fields(text, flow_fields);
	expect_fields(strchr(text, '\n'), endpoint_fields);
	free(text);
	talloc_free(log.sink);
	close(pipe_fds[0]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_flood_is_limited_and_counted),
		cmocka_unit_test(test_stalled_reader_does_not_block),
		cmocka_unit_test(test_event_fields),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
