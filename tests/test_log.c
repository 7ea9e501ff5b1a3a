/* Logs are bounded and never wait for their reader. */
#include "test.h"

#include "jt_director_log.h"

#include <fcntl.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

enum { FLOOD = 20000 };

static char *read_all(int fd)
{
	char *text = calloc(1, 1 << 20);
	size_t used = 0;
	ssize_t count;

	while ((count = read(fd, text + used, (1 << 20) - 1 - used)) > 0)
		used += (size_t)count;
	return text;
}

static void test_flood_is_bounded_and_counted(void **state)
{
	struct jt_log_sink *sink;
	int ends[2], ordinary = 0, unusual = 0;

	(void)state;
	assert_int_equal(pipe(ends), 0);
	sink = jt_log_sink_create(NULL, ends[1]);
	for (int i = 0; i < FLOOD; i++) {
		ordinary += jt_log_sink_allow(sink, JT_LOG_ORDINARY, 5000);
		unusual += jt_log_sink_allow(sink, JT_LOG_UNUSUAL, 5000);
		assert_true(jt_log_sink_allow(sink, JT_LOG_CHANGE, 5000));
	}
	assert_in_range(ordinary, 1, FLOOD / 20);
	assert_true(unusual > ordinary);
	assert_int_equal(jt_log_sink_counters(sink)->left_out[JT_LOG_ORDINARY],
			 FLOOD - ordinary);
	/* The next second has its own allowance. */
	assert_true(jt_log_sink_allow(sink, JT_LOG_ORDINARY, 6000));
	assert_true(jt_log_sink_shortened(sink, 6000));
	assert_false(jt_log_sink_shortened(sink, 6500));
	talloc_free(sink);
	close(ends[0]);
	close(ends[1]);
}

static void test_reader_that_never_reads(void **state)
{
	struct jt_log_sink *sink;
	static const char line[] = "event=test value=0123456789abcdef\n";
	int ends[2];
	char *text;

	(void)state;
	assert_int_equal(pipe(ends), 0);
	sink = jt_log_sink_create(NULL, ends[1]);
	for (int i = 0; i < FLOOD; i++) {
		jt_log_sink_add(sink, line, sizeof(line) - 1);
		jt_log_sink_flush(sink); /* would hang if it waited */
	}
	assert_true(jt_log_sink_counters(sink)->lost > 0);
	assert_int_equal(jt_log_sink_counters(sink)->lost +
				 jt_log_sink_counters(sink)->written,
			 FLOOD);
	assert_true(jt_log_sink_shortened(sink, 10000));
	/* Once it reads, whole lines come. */
	fcntl(ends[0], F_SETFL, O_NONBLOCK);
	text = read_all(ends[0]);
	jt_log_sink_flush(sink);
	for (size_t at = 0; at + sizeof(line) - 1 <= strlen(text);
	     at += sizeof(line) - 1)
		assert_memory_equal(text + at, line, sizeof(line) - 1);
	free(text);
	talloc_free(sink);
	close(ends[0]);
	close(ends[1]);
}

/* Every event has the fields that docs/LOGS.md promises. */
static void expect_fields(const char *line, const char *const *fields)
{
	for (; *fields != NULL; fields++) {
		char wanted[64];

		snprintf(wanted, sizeof(wanted), " %s=", *fields);
		if (strstr(line, wanted) == NULL)
			fail_msg("no %s in %s", *fields, line);
	}
}

static void test_schema(void **state)
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
	int ends[2];
	char *text;

	(void)state;
	assert_int_equal(pipe(ends), 0);
	log.sink = jt_log_sink_create(NULL, ends[1]);
	jt_director_log_flow(&log, &action, "", 1000);
	jt_director_log_endpoint(&log, &action, "endpoint_dead");
	jt_director_log_flush(&log, 1000);
	close(ends[1]);
	text = read_all(ends[0]);
	expect_fields(text, flow_fields);
	expect_fields(strchr(text, '\n'), endpoint_fields);
	free(text);
	talloc_free(log.sink);
	close(ends[0]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_flood_is_bounded_and_counted),
		cmocka_unit_test(test_reader_that_never_reads),
		cmocka_unit_test(test_schema),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
