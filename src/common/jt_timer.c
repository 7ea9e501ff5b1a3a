/*
 * All timers of a loop share one descriptor (timerfd_create(2)), which is set
 * to the earliest of them: descriptors are few, and most settings of a timer
 * need no system call.
 */
#include "jt_timer.h"

#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>
#include <utlist.h>

enum { NS_PER_MS = 1000000, NS_PER_S = 1000000000 };

struct jt_timer_queue;

struct jt_timer {
	struct jt_timer_queue *queue; /* NULL once the loop is gone */
	struct jt_timer **list;	      /* that holds it; NULL: it is not set */
	uint64_t due_ns;
	void (*callback)(void *);
	void *private_data;
	struct jt_timer *prev, *next;		    /* in the list */
	struct jt_timer *member_prev, *member_next; /* of the queue */
};

/* The timers of one loop; freed with it. */
struct jt_timer_queue {
	struct tevent_context *loop;
	int fd;
	struct tevent_fd *watch;
	struct jt_timer *members;
	struct jt_timer *set;	 /* the earliest first */
	struct jt_timer *firing; /* due, their callbacks not yet made */
	uint64_t armed_ns;	 /* what the descriptor is set to, 0: never */
	struct jt_timer_queue *prev, *next;
};

/* Loops are used by the thread that made them. */
static _Thread_local struct jt_timer_queue *queues;

static uint64_t clock_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * NS_PER_S + (uint64_t)now.tv_nsec;
}

/* Set the descriptor to the earliest timer. */
static void queue_arm(struct jt_timer_queue *queue)
{
	uint64_t due_ns = queue->set != NULL ? queue->set->due_ns : 0;
	struct itimerspec due = {
		.it_value = {.tv_sec = (time_t)(due_ns / NS_PER_S),
			     .tv_nsec = (long)(due_ns % NS_PER_S)},
	};

	if (due_ns == queue->armed_ns)
		return;
	queue->armed_ns = due_ns;
	timerfd_settime(queue->fd, TFD_TIMER_ABSTIME, &due, NULL);
}

static void timer_unset(struct jt_timer *timer)
{
	if (timer->list == NULL)
		return;
	DL_DELETE(*timer->list, timer);
	timer->list = NULL;
}

static void timer_put(struct jt_timer *timer, struct jt_timer **list)
{
	timer->list = list;
	DL_APPEND(*list, timer);
}

static void queue_due(struct tevent_context *loop, struct tevent_fd *watch,
		      uint16_t flags, void *private_data)
{
	struct jt_timer_queue *queue = private_data;
	uint64_t expirations, now_ns = clock_ns();
	struct jt_timer *timer;

	(void)loop;
	(void)watch;
	(void)flags;
	(void)!read(queue->fd, &expirations, sizeof(expirations));
	queue->armed_ns = 0;
	/* What a callback sets anew waits for the loop's next turn. */
	while (queue->set != NULL && queue->set->due_ns <= now_ns) {
		timer = queue->set;
		timer_unset(timer);
		timer_put(timer, &queue->firing);
	}
	while (queue->firing != NULL) {
		timer = queue->firing;
		timer_unset(timer);
		timer->callback(timer->private_data);
	}
	queue_arm(queue);
}

static int queue_destructor(struct jt_timer_queue *queue)
{
	struct jt_timer *timer;

	DL_FOREACH2(queue->members, timer, member_next)
	{
		timer->queue = NULL;
		timer->list = NULL;
	}
	DL_DELETE(queues, queue);
	TALLOC_FREE(queue->watch);
	close(queue->fd);
	return 0;
}

static struct jt_timer_queue *queue_create(struct tevent_context *loop)
{
	struct jt_timer_queue *queue = talloc_zero(loop, struct jt_timer_queue);

	if (queue == NULL)
		return NULL;
	queue->loop = loop;
	queue->fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	if (queue->fd < 0) {
		talloc_free(queue);
		return NULL;
	}
	DL_APPEND(queues, queue);
	talloc_set_destructor(queue, queue_destructor);
	queue->watch = tevent_add_fd(loop, queue, queue->fd, TEVENT_FD_READ,
				     queue_due, queue);
	if (queue->watch == NULL)
		TALLOC_FREE(queue);
	return queue;
}

static struct jt_timer_queue *queue_of(struct tevent_context *loop)
{
	struct jt_timer_queue *queue;

	DL_FOREACH(queues, queue)
	{
		if (queue->loop == loop)
			return queue;
	}
	return queue_create(loop);
}

static int timer_destructor(struct jt_timer *timer)
{
	if (timer->queue == NULL)
		return 0;
	timer_unset(timer);
	DL_DELETE2(timer->queue->members, timer, member_prev, member_next);
	return 0;
}

struct jt_timer *jt_timer_create(TALLOC_CTX *mem_ctx,
				 struct tevent_context *loop,
				 void (*callback)(void *private_data),
				 void *private_data)
{
	struct jt_timer_queue *queue = queue_of(loop);
	struct jt_timer *timer;

	if (queue == NULL)
		return NULL;
	timer = talloc_zero(mem_ctx, struct jt_timer);
	if (timer == NULL)
		return NULL;
	timer->queue = queue;
	timer->callback = callback;
	timer->private_data = private_data;
	DL_APPEND2(queue->members, timer, member_prev, member_next);
	talloc_set_destructor(timer, timer_destructor);
	return timer;
}

static int compare_due(const struct jt_timer *a, const struct jt_timer *b)
{
	return (a->due_ns > b->due_ns) - (a->due_ns < b->due_ns);
}

void jt_timer_set(struct jt_timer *timer, uint64_t delay_ms)
{
	struct jt_timer_queue *queue = timer->queue;

	if (queue == NULL)
		return;
	timer_unset(timer);
	timer->due_ns = clock_ns() + delay_ms * NS_PER_MS;
	timer->list = &queue->set;
	DL_INSERT_INORDER(queue->set, timer, compare_due);
	queue_arm(queue);
}

void jt_timer_stop(struct jt_timer *timer)
{
	if (timer->queue == NULL)
		return;
	timer_unset(timer);
	queue_arm(timer->queue);
}
