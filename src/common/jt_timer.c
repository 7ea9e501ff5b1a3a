#include "jt_timer.h"

#include <sys/timerfd.h>
#include <unistd.h>

struct jt_timer {
	int fd;
	struct tevent_fd *watch;
	void (*callback)(void *);
	void *private_data;
};

static void timer_due(struct tevent_context *loop, struct tevent_fd *watch,
		      uint16_t flags, void *private_data)
{
	struct jt_timer *timer = private_data;
	uint64_t expirations;

	(void)loop;
	(void)watch;
	(void)flags;
	/* Nothing to read: the timer was set anew in the meantime. */
	if (read(timer->fd, &expirations, sizeof(expirations)) !=
	    sizeof(expirations))
		return;
	timer->callback(timer->private_data);
}

static int timer_destructor(struct jt_timer *timer)
{
	TALLOC_FREE(timer->watch);
	close(timer->fd);
	return 0;
}

struct jt_timer *jt_timer_create(TALLOC_CTX *mem_ctx,
				 struct tevent_context *loop,
				 void (*callback)(void *private_data),
				 void *private_data)
{
	struct jt_timer *timer = talloc_zero(mem_ctx, struct jt_timer);

	if (timer == NULL)
		return NULL;
	timer->callback = callback;
	timer->private_data = private_data;
	timer->fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	if (timer->fd < 0) {
		talloc_free(timer);
		return NULL;
	}
	talloc_set_destructor(timer, timer_destructor);
	timer->watch = tevent_add_fd(loop, timer, timer->fd, TEVENT_FD_READ,
				     timer_due, timer);
	if (timer->watch == NULL)
		TALLOC_FREE(timer);
	return timer;
}

void jt_timer_set(struct jt_timer *timer, uint64_t delay_ms)
{
	struct itimerspec due = {
		.it_value = {.tv_sec = (time_t)(delay_ms / 1000),
			     .tv_nsec = (long)(delay_ms % 1000) * 1000000},
	};

	/* All zero would stop the timer. */
	if (delay_ms == 0)
		due.it_value.tv_nsec = 1;
	timerfd_settime(timer->fd, 0, &due, NULL);
}

void jt_timer_stop(struct jt_timer *timer)
{
	struct itimerspec never = {{0}, {0}};

	timerfd_settime(timer->fd, 0, &never, NULL);
}
