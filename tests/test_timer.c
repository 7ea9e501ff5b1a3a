/* Timers on the monotonic clock: order, re-setting, stopping. Nothing here
 * depends on how long anything takes. */
#include "test.h"

#include "jt_timer.h"

#include <unistd.h>

struct trace {
	char order[16];
	size_t count;
	struct jt_timer *other;
};

struct mark {
	struct trace *trace;
	char name;
};

static void on_due(void *private_data)
{
	struct mark *mark = private_data;

	mark->trace->order[mark->trace->count++] = mark->name;
}

static void test_order_reset_and_stop(void **state)
{
	TALLOC_CTX *mem_ctx = talloc_new(NULL);
	struct tevent_context *loop = tevent_context_init(mem_ctx);
	struct trace trace = {{0}, 0, NULL};
	struct mark late = {&trace, 'L'}, soon = {&trace, 'S'},
		    never = {&trace, 'N'};
	struct jt_timer *late_timer =
		jt_timer_create(mem_ctx, loop, on_due, &late);
	struct jt_timer *soon_timer =
		jt_timer_create(mem_ctx, loop, on_due, &soon);
	struct jt_timer *never_timer =
		jt_timer_create(mem_ctx, loop, on_due, &never);

	(void)state;
	jt_timer_set(never_timer, 0);
	jt_timer_stop(never_timer);
	jt_timer_set(late_timer, 0);
	jt_timer_set(late_timer, 50); /* whatever was set before */
	jt_timer_set(soon_timer, 0);
	while (trace.count < 2)
		tevent_loop_once(loop);
	assert_string_equal(trace.order, "SL");
	talloc_free(mem_ctx);
}

/* Failure 35: a descriptor for each timer ran out of them. */
static void test_many_timers_share_a_descriptor(void **state)
{
	enum { TIMERS = 2000 };
	TALLOC_CTX *mem_ctx = talloc_new(NULL);
	struct tevent_context *loop = tevent_context_init(mem_ctx);
	struct trace trace = {{0}, 0, NULL};
	struct mark mark = {&trace, 'x'};
	int before = dup(0), after;

	(void)state;
	assert_true(before >= 0);
	close(before);
	for (int i = 0; i < TIMERS; i++)
		assert_non_null(jt_timer_create(mem_ctx, loop, on_due, &mark));
	after = dup(0);
	assert_in_range(after - before, 0, 2);
	close(after);
	talloc_free(mem_ctx);
}

static void on_due_again(void *private_data)
{
	struct mark *mark = private_data;

	on_due(mark);
	if (mark->trace->count < 4)
		jt_timer_set(mark->trace->other, 0);
}

/* A timer that sets itself anew gives others their turn. */
static void test_zero_delay_lets_others_run(void **state)
{
	TALLOC_CTX *mem_ctx = talloc_new(NULL);
	struct tevent_context *loop = tevent_context_init(mem_ctx);
	struct trace trace = {{0}, 0, NULL};
	struct mark again = {&trace, 'A'}, other = {&trace, 'B'};
	struct jt_timer *second;

	(void)state;
	trace.other = jt_timer_create(mem_ctx, loop, on_due_again, &again);
	second = jt_timer_create(mem_ctx, loop, on_due, &other);
	jt_timer_set(trace.other, 0);
	jt_timer_set(second, 0);
	while (trace.count < 4)
		tevent_loop_once(loop);
	assert_memory_equal(trace.order, "AB", 2);
	talloc_free(mem_ctx);
}

/* The loop may go before its timers, and a callback may free another timer
 * that is due. */
static void on_due_frees(void *private_data)
{
	struct mark *mark = private_data;

	on_due(mark);
	TALLOC_FREE(mark->trace->other);
}

static void test_timers_outlive_their_loop_and_each_other(void **state)
{
	TALLOC_CTX *mem_ctx = talloc_new(NULL);
	struct tevent_context *loop = tevent_context_init(NULL);
	struct trace trace = {{0}, 0, NULL};
	struct mark frees = {&trace, 'F'}, freed = {&trace, 'X'};
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
