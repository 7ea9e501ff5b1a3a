#include "jt_event_loop.h"
#include "jt_timer.h"

#include <sys/queue.h>
#include <unistd.h>

/*
 * One socket of the base. tevent watches a duplicate of its descriptor:
 * libevent closes sockets as it likes, and tevent would go on watching a
 * number that somebody else has got since.
 */
struct socket_watch {
	struct jt_event_loop *events;
	evutil_socket_t socket;
	uint16_t wanted; /* tevent flags that the base waits for */
	struct tevent_fd *duplicate;
	LIST_ENTRY(socket_watch) next;
};

struct jt_event_loop {
	struct tevent_context *loop;
	struct event_base *base;
	struct jt_timer *timer;
	LIST_HEAD(socket_watches, socket_watch) watches;
	bool opened; /* a socket, since the watches were last set */
};

static void base_look(struct jt_event_loop *events);

static void on_socket(struct tevent_context *loop, struct tevent_fd *fd,
		      uint16_t flags, void *private_data)
{
	(void)loop;
	(void)fd;
	(void)flags;
	base_look(private_data);
}

static void on_wake(void *private_data)
{
	base_look(private_data);
}

static struct socket_watch *watch_find(struct jt_event_loop *events,
				       evutil_socket_t socket)
{
	struct socket_watch *watch;

	for (watch = LIST_FIRST(&events->watches); watch != NULL;
	     watch = LIST_NEXT(watch, next)) {
		if (watch->socket == socket)
			return watch;
	}
	watch = talloc_zero(events, struct socket_watch);
	if (watch == NULL)
		return NULL;
	watch->events = events;
	watch->socket = socket;
	LIST_INSERT_HEAD(&events->watches, watch, next);
	return watch;
}

static int on_event(const struct event_base *base, const struct event *event,
		    void *private_data)
{
	struct jt_event_loop *events = private_data;
	evutil_socket_t socket = event_get_fd(event);
	int pending = event_pending(event, EV_READ | EV_WRITE, NULL);
	struct socket_watch *watch;

	(void)base;
	if (socket < 0 || pending == 0)
		return 0;
	watch = watch_find(events, socket);
	if (watch == NULL)
		return 0;
	if (pending & EV_READ)
		watch->wanted |= TEVENT_FD_READ;
	if (pending & EV_WRITE)
		watch->wanted |= TEVENT_FD_WRITE;
	return 0;
}

static void watch_begin(struct socket_watch *watch)
{
	struct jt_event_loop *events = watch->events;
	int duplicate = dup(watch->socket);

	if (duplicate < 0)
		return;
	watch->duplicate = tevent_add_fd(events->loop, watch, duplicate,
					 watch->wanted, on_socket, events);
	if (watch->duplicate == NULL)
		close(duplicate);
	else
		tevent_fd_set_auto_close(watch->duplicate);
}

static void watch_set(struct socket_watch *watch)
{
	/* The number may stand for another socket by now. */
	if (watch->events->opened)
		TALLOC_FREE(watch->duplicate);
	if (watch->duplicate == NULL)
		watch_begin(watch);
	else if (tevent_fd_get_flags(watch->duplicate) != watch->wanted)
		tevent_fd_set_flags(watch->duplicate, watch->wanted);
}

static void watch_drop(struct socket_watch *watch)
{
	LIST_REMOVE(watch, next);
	talloc_free(watch);
}

/* Watch what the base waits for, and nothing else. */
static void watches_set(struct jt_event_loop *events)
{
	struct socket_watch *watch, *next;

	for (watch = LIST_FIRST(&events->watches); watch != NULL;
	     watch = LIST_NEXT(watch, next))
		watch->wanted = 0;
	event_base_foreach_event(events->base, on_event, events);
	for (watch = LIST_FIRST(&events->watches); watch != NULL;
	     watch = next) {
		next = LIST_NEXT(watch, next);
		if (watch->wanted != 0)
			watch_set(watch);
		else
			watch_drop(watch);
	}
	events->opened = false;
}

static void base_look(struct jt_event_loop *events)
{
	do {
		event_base_loop(events->base, EVLOOP_NONBLOCK);
	} while (event_base_get_num_events(events->base,
					   EVENT_BASE_COUNT_ACTIVE) > 0);
	watches_set(events);
}

static int events_destructor(struct jt_event_loop *events)
{
	if (events->base != NULL)
		event_base_free(events->base);
	return 0;
}

static struct event_base *base_create(void)
{
	struct event_config *config = event_config_new();
	struct event_base *base;

	if (config == NULL)
		return NULL;
	/* It looks at a few sockets, and only when one of them is ready: there
	 * is no use in one more set that the kernel keeps. */
	event_config_avoid_method(config, "epoll");
	base = event_base_new_with_config(config);
	event_config_free(config);
	return base;
}

struct jt_event_loop *jt_event_loop_create(TALLOC_CTX *mem_ctx,
					   struct tevent_context *loop)
{
	struct jt_event_loop *events =
		talloc_zero(mem_ctx, struct jt_event_loop);

	if (events == NULL)
		return NULL;
	events->loop = loop;
	LIST_INIT(&events->watches);
	events->base = base_create();
	talloc_set_destructor(events, events_destructor);
	events->timer = jt_timer_create(events, loop, on_wake, events);
	if (events->base == NULL || events->timer == NULL)
		TALLOC_FREE(events);
	return events;
}

struct event_base *jt_event_loop_base(const struct jt_event_loop *events)
{
	return events->base;
}

void jt_event_loop_wake(struct jt_event_loop *events)
{
	jt_timer_set(events->timer, 0);
}

void jt_event_loop_socket_opened(struct jt_event_loop *events)
{
	events->opened = true;
}
