#include "jt_event_loop.h"
#include "jt_timer.h"

#include <sys/queue.h>
#include <unistd.h>

/*
 * A socket of the base. tevent watches a duplicate of its descriptor, since
 * libevent closes sockets without notice and the descriptor may then be reused
 * for another file.
 */
struct socket_watch {
	struct jt_event_loop *events;
	evutil_socket_t socket;
	uint16_t flags; /* tevent flags that the base waits for */
	struct tevent_fd *duplicate;
	LIST_ENTRY(socket_watch) next;
};

struct jt_event_loop {
	struct tevent_context *loop;
	struct event_base *base;
	struct jt_timer *timer;
	LIST_HEAD(socket_watches, socket_watch) watches;
	bool socket_opened; /* since the last update of the watches */
};

static void poll_base(struct jt_event_loop *events);

static void on_socket_ready(struct tevent_context *loop, struct tevent_fd *fd,
			    uint16_t flags, void *private_data)
{
	(void)loop;
	(void)fd;
	(void)flags;
	poll_base(private_data);
}

static void on_wake(void *private_data)
{
	poll_base(private_data);
}

static struct socket_watch *find_or_create_watch(struct jt_event_loop *events,
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

static int add_event_flags(const struct event_base *base,
			   const struct event *event, void *private_data)
{
	struct jt_event_loop *events = private_data;
	evutil_socket_t socket = event_get_fd(event);
	int pending = event_pending(event, EV_READ | EV_WRITE, NULL);
	struct socket_watch *watch;

	(void)base;
	if (socket < 0 || pending == 0)
		return 0;
	watch = find_or_create_watch(events, socket);
	if (watch == NULL)
		return 0;
	if (pending & EV_READ)
		watch->flags |= TEVENT_FD_READ;
	if (pending & EV_WRITE)
		watch->flags |= TEVENT_FD_WRITE;
	return 0;
}

static void start_watch(struct socket_watch *watch)
{
	struct jt_event_loop *events = watch->events;
	int duplicate = dup(watch->socket);

	if (duplicate < 0)
		return;
	watch->duplicate = tevent_add_fd(events->loop, watch, duplicate,
					 watch->flags, on_socket_ready, events);
	if (watch->duplicate == NULL)
		close(duplicate);
	else
		tevent_fd_set_auto_close(watch->duplicate);
}

static void update_watch(struct socket_watch *watch)
{
	/* The descriptor may belong to another socket now. */
	if (watch->events->socket_opened)
		TALLOC_FREE(watch->duplicate);
	if (watch->duplicate == NULL)
		start_watch(watch);
	else if (tevent_fd_get_flags(watch->duplicate) != watch->flags)
		tevent_fd_set_flags(watch->duplicate, watch->flags);
}

static void remove_watch(struct socket_watch *watch)
{
	LIST_REMOVE(watch, next);
	talloc_free(watch);
}

/* Makes tevent watch exactly the sockets that the base waits for. */
static void update_watches(struct jt_event_loop *events)
{
	struct socket_watch *watch, *next;

	for (watch = LIST_FIRST(&events->watches); watch != NULL;
	     watch = LIST_NEXT(watch, next))
		watch->flags = 0;
	event_base_foreach_event(events->base, add_event_flags, events);
	for (watch = LIST_FIRST(&events->watches); watch != NULL;
	     watch = next) {
		next = LIST_NEXT(watch, next);
		if (watch->flags != 0)
			update_watch(watch);
		else
			remove_watch(watch);
	}
	events->socket_opened = false;
}

static void poll_base(struct jt_event_loop *events)
{
	do {
		event_base_loop(events->base, EVLOOP_NONBLOCK);
	} while (event_base_get_num_events(events->base,
					   EVENT_BASE_COUNT_ACTIVE) > 0);
	update_watches(events);
}

static int events_destructor(struct jt_event_loop *events)
{
	if (events->base != NULL)
		event_base_free(events->base);
	return 0;
}

static struct event_base *create_base(void)
{
	struct event_config *config = event_config_new();
	struct event_base *base;

	if (config == NULL)
		return NULL;
	/* The base polls a few sockets, and only when one is ready: an epoll
	 * descriptor has no benefit. */
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
	events->base = create_base();
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
	events->socket_opened = true;
}
