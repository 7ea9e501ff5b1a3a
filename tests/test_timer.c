/* Tests of timers on the monotonic clock: order, resetting and stopping. The
 * results don't depend on execution time. */
#include "test.h"

#include "jt_timer.h"

#include <unistd.h>

struct trace {
	char order[16];
	size_t count;
	struct jt_timer *other;
};

struct timer_mark {
	struct trace *trace;
	char name;
};

static void on_due(void *private_data)
{
	struct timer_mark *timer_mark = private_data;

	timer_mark->trace->order[timer_mark->trace->count++] = timer_mark->name;
}

static void test_order_reset_and_stop(void **state)
{
	TALLOC_CTX *mem_ctx = talloc_new(NULL);
	struct tevent_context *loop = tevent_context_init(mem_ctx);
	struct trace trace = {{0}, 0, NULL};
	struct timer_mark late = {&trace, 'L'}, soon = {&trace, 'S'},
			  stopped = {&trace, 'N'};
	struct jt_timer *late_timer =
		jt_timer_create(mem_ctx, loop, on_due, &late);
	struct jt_timer *soon_timer =
		jt_timer_create(mem_ctx, loop, on_due, &soon);
	struct jt_timer *stopped_timer =
		jt_timer_create(mem_ctx, loop, on_due, &stopped);

	(void)state;
	jt_timer_set(stopped_timer, 0);
	jt_timer_stop(stopped_timer);
	jt_timer_set(late_timer, 0);
	jt_timer_set(late_timer, 50); /* replaces the earlier time */
	jt_timer_set(soon_timer, 0);
	while (trace.count < 2)
		tevent_loop_once(loop);
	assert_string_equal(trace.order, "SL");
	talloc_free(mem_ctx);
}

/* Guards against running out of descriptors with many timers. */
static void test_many_timers_share_a_descriptor(void **state)
{
	enum { TIMERS = 2000 };
	TALLOC_CTX *mem_ctx = talloc_new(NULL);
	struct tevent_context *loop = tevent_context_init(mem_ctx);
	struct trace trace = {{0}, 0, NULL};
	struct timer_mark timer_mark = {&trace, 'x'};
	int before = dup(0), after;

	(void)state;
	assert_true(before >= 0);
	close(before);
	for (int i = 0; i < TIMERS; i++)
		assert_non_null(
			jt_timer_create(mem_ctx, loop, on_due, &timer_mark));
	after = dup(0);
	assert_in_range(after - before, 0, 2);
	close(after);
	talloc_free(mem_ctx);
}

static void on_due_again(void *private_data)
{
	struct timer_mark *timer_mark = private_data;

	on_due(timer_mark);
	if (timer_mark->trace->count < 4)
		jt_timer_set(timer_mark->trace->other, 0);
}

/* A timer that sets itself again must not starve other timers. */
static void test_zero_delay_lets_others_run(void **state)
{
	TALLOC_CTX *mem_ctx = talloc_new(NULL);
	struct tevent_context *loop = tevent_context_init(mem_ctx);
	struct trace trace = {{0}, 0, NULL};
	struct timer_mark repeating = {&trace, 'A'}, other = {&trace, 'B'};
	struct jt_timer *second;

	(void)state;
	trace.other = jt_timer_create(mem_ctx, loop, on_due_again, &repeating);
	second = jt_timer_create(mem_ctx, loop, on_due, &other);
	jt_timer_set(trace.other, 0);
	jt_timer_set(second, 0);
	while (trace.count < 4)
		tevent_loop_once(loop);
	assert_memory_equal(trace.order, "AB", 2);
	talloc_free(mem_ctx);
}

/* Frees another due timer in a callback. */
static void on_due_frees(void *private_data)
{
	struct timer_mark *timer_mark = private_data;

	on_due(timer_mark);
	TALLOC_FREE(timer_mark->trace->other);
}

/* Guards against use of a freed loop, or of a timer that a callback freed. */
static void test_timers_outlive_their_loop_and_each_other(void **state)
{
	TALLOC_CTX *mem_ctx = talloc_new(NULL);
	struct tevent_context *loop = tevent_context_init(NULL);
	struct trace trace = {{0}, 0, NULL};
	struct timer_mark frees = {&trace, 'F'}, freed = {&trace, 'X'};
	struct jt_timer *timer;

	(void)state;
	timer = jt_timer_create(mem_ctx, loop, on_due_frees, &frees);
	trace.other = jt_timer_create(mem_ctx, loop, on_due, &freed);
	jt_timer_set(timer, 0);
	jt_timer_set(trace.other, 0);
	while (trace.count < 1)
		tevent_loop_once(loop);
	assert_string_equal(trace.order, "F");
	talloc_free(loop);
	jt_timer_set(timer, 0);
	jt_timer_stop(timer);
	talloc_free(mem_ctx);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_order_reset_and_stop),
		cmocka_unit_test(test_many_timers_share_a_descriptor),
		cmocka_unit_test(test_zero_delay_lets_others_run),
		cmocka_unit_test(test_timers_outlive_their_loop_and_each_other),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
