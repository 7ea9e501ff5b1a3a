/*
 * All timers of a loop share one descriptor (timerfd_create(2)), which is set
 * to the earliest of them. This saves descriptors, and setting a timer needs no
 * system call unless it becomes the earliest.
 */
#include "jt_timer.h"

#include <sys/queue.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

enum { NS_PER_MS = 1000000, NS_PER_S = 1000000000 };

struct jt_timer_queue;

TAILQ_HEAD(timer_list, jt_timer);

struct jt_timer {
	struct jt_timer_queue *queue; /* NULL after the loop is freed */
	struct timer_list *list;      /* set or firing; NULL: not set */
	uint64_t due_ns;
	void (*callback)(void *);
	void *private_data;
	TAILQ_ENTRY(jt_timer) link;   /* in @list */
	TAILQ_ENTRY(jt_timer) member; /* in the members of the queue */
};

/* The timers of one loop; freed with it. */
struct jt_timer_queue {
	struct tevent_context *loop;
	int fd;
	struct tevent_fd *watch;
	struct timer_list members;
	struct timer_list set;	  /* ordered by due time */
	struct timer_list firing; /* due, callback not called yet */
	uint64_t armed_ns;	  /* expiry of the descriptor; 0: none */
	TAILQ_ENTRY(jt_timer_queue) link;
};

TAILQ_HEAD(queue_list, jt_timer_queue);

/* Per thread: a loop is used only by the thread that created it. */
static _Thread_local struct queue_list queues;

static uint64_t clock_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * NS_PER_S + (uint64_t)now.tv_nsec;
}

/* Sets the descriptor to the earliest timer. */
static void queue_arm(struct jt_timer_queue *queue)
{
	const struct jt_timer *first = TAILQ_FIRST(&queue->set);
	uint64_t due_ns = first != NULL ? first->due_ns : 0;
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
	TAILQ_REMOVE(timer->list, timer, link);
	timer->list = NULL;
}

static void on_queue_due(struct tevent_context *loop, struct tevent_fd *watch,
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
	/* Timers set by a callback fire in the next iteration of the loop. */
	while ((timer = TAILQ_FIRST(&queue->set)) != NULL &&
	       timer->due_ns <= now_ns) {
		TAILQ_REMOVE(&queue->set, timer, link);
		TAILQ_INSERT_TAIL(&queue->firing, timer, link);
		timer->list = &queue->firing;
	}
	while ((timer = TAILQ_FIRST(&queue->firing)) != NULL) {
		timer_unset(timer);
		timer->callback(timer->private_data);
	}
	queue_arm(queue);
}

static int queue_destructor(struct jt_timer_queue *queue)
{
	struct jt_timer *timer;

	TAILQ_FOREACH(timer, &queue->members, member)
	{
		timer->queue = NULL;
		timer->list = NULL;
	}
	TAILQ_REMOVE(&queues, queue, link);
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
	TAILQ_INIT(&queue->members);
	TAILQ_INIT(&queue->set);
	TAILQ_INIT(&queue->firing);
	queue->fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	if (queue->fd < 0) {
		talloc_free(queue);
		return NULL;
	}
	if (queues.tqh_last == NULL)
		TAILQ_INIT(&queues);
	TAILQ_INSERT_TAIL(&queues, queue, link);
	talloc_set_destructor(queue, queue_destructor);
	queue->watch = tevent_add_fd(loop, queue, queue->fd, TEVENT_FD_READ,
				     on_queue_due, queue);
	if (queue->watch == NULL)
		TALLOC_FREE(queue);
	return queue;
}

static struct jt_timer_queue *queue_get(struct tevent_context *loop)
{
	struct jt_timer_queue *queue;

	TAILQ_FOREACH(queue, &queues, link)
	{
		/* cppcheck-suppress uninitvar ; it doesn't follow the list */
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
	TAILQ_REMOVE(&timer->queue->members, timer, member);
	return 0;
}

struct jt_timer *jt_timer_create(TALLOC_CTX *mem_ctx,
				 struct tevent_context *loop,
				 void (*callback)(void *private_data),
				 void *private_data)
{
	struct jt_timer_queue *queue = queue_get(loop);
	struct jt_timer *timer;

	if (queue == NULL)
		return NULL;
	timer = talloc_zero(mem_ctx, struct jt_timer);
	if (timer == NULL)
		return NULL;
	timer->queue = queue;
	timer->callback = callback;
	timer->private_data = private_data;
	TAILQ_INSERT_TAIL(&queue->members, timer, member);
	talloc_set_destructor(timer, timer_destructor);
	return timer;
}

/* Inserts @timer before the first one that is due later. */
static void timer_insert(struct jt_timer_queue *queue, struct jt_timer *timer)
{
	struct jt_timer *later;

	timer->list = &queue->set;
	TAILQ_FOREACH(later, &queue->set, link)
	{
		/* cppcheck-suppress uninitvar ; it doesn't follow the list */
		if (later->due_ns > timer->due_ns) {
			TAILQ_INSERT_BEFORE(later, timer, link);
			return;
		}
	}
	TAILQ_INSERT_TAIL(&queue->set, timer, link);
}

void jt_timer_set(struct jt_timer *timer, uint64_t delay_ms)
{
	struct jt_timer_queue *queue = timer->queue;

	if (queue == NULL)
		return;
	timer_unset(timer);
	timer->due_ns = clock_ns() + delay_ms * NS_PER_MS;
	timer_insert(queue, timer);
	queue_arm(queue);
}

void jt_timer_stop(struct jt_timer *timer)
{
	if (timer->queue == NULL)
		return;
	timer_unset(timer);
	queue_arm(timer->queue);
}
