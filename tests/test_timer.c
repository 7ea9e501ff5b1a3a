/* Timers on the monotonic clock: order, re-setting, stopping. Nothing here
 * depends on how long anything takes. */
#include "test.h"

#include "jt_timer.h"

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

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_order_reset_and_stop),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
