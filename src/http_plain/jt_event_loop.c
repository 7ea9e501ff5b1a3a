#include "jt_event_loop.h"
#include "jt_timer.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <utlist.h>

/* One socket of the base. */
struct socket_watch {
	evutil_socket_t socket;
	uint32_t wanted; /* epoll flags that the base waits for */
	uint32_t set;	 /* those that the kernel was told */
	struct socket_watch *next, *prev;
};

/*
 * The base's sockets are in a set of their own, which the tevent loop watches
 * as one descriptor. libevent closes sockets as it likes; where tevent watched
 * each of them, it would go on watching a number that somebody else has got.
 */
struct jt_event_loop {
	struct event_base *base;
	struct jt_timer *timer;
	int set_fd; /* epoll */
	struct socket_watch *watches;
	bool opened; /* a socket, since the watches were last set */
};

static void base_look(struct jt_event_loop *events);

static void on_sockets(struct tevent_context *loop, struct tevent_fd *fd,
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

	DL_FOREACH(events->watches, watch)
	{
		if (watch->socket == socket)
			return watch;
	}
	watch = talloc_zero(events, struct socket_watch);
	if (watch == NULL)
		return NULL;
	watch->socket = socket;
	DL_APPEND(events->watches, watch);
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
		watch->wanted |= EPOLLIN;
	if (pending & EV_WRITE)
		watch->wanted |= EPOLLOUT;
	return 0;
}

/* Tell the kernel, which has forgotten a socket that was closed. */
static void watch_set(const struct jt_event_loop *events,
		      struct socket_watch *watch)
{
	struct epoll_event event = {.events = watch->wanted};

	if (watch->wanted == watch->set && !events->opened)
		return;
	if (epoll_ctl(events->set_fd, EPOLL_CTL_ADD, watch->socket, &event) !=
		    0 &&
	    errno == EEXIST)
		(void)epoll_ctl(events->set_fd, EPOLL_CTL_MOD, watch->socket,
				&event);
	watch->set = watch->wanted;
}

static void watch_drop(struct jt_event_loop *events, struct socket_watch *watch)
{
	struct epoll_event event = {0};

	/* Most often it is closed already. */
	(void)epoll_ctl(events->set_fd, EPOLL_CTL_DEL, watch->socket, &event);
	DL_DELETE(events->watches, watch);
	talloc_free(watch);
}

/* Watch what the base waits for, and nothing else. */
static void watches_set(struct jt_event_loop *events)
{
	struct socket_watch *watch, *next;

	DL_FOREACH(events->watches, watch)
	watch->wanted = 0;
	event_base_foreach_event(events->base, on_event, events);
	DL_FOREACH_SAFE(events->watches, watch, next)
	{
		if (watch->wanted != 0)
			watch_set(events, watch);
		else
			watch_drop(events, watch);
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
	if (events->set_fd >= 0)
		close(events->set_fd);
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
	events->set_fd = epoll_create1(EPOLL_CLOEXEC);
	events->base = base_create();
	talloc_set_destructor(events, events_destructor);
	events->timer = jt_timer_create(events, loop, on_wake, events);
	if (events->base == NULL || events->set_fd < 0 ||
	    events->timer == NULL ||
	    tevent_add_fd(loop, events, events->set_fd, TEVENT_FD_READ,
			  on_sockets, events) == NULL)
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
