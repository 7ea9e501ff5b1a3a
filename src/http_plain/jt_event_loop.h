/*
 * Runs a libevent base inside a tevent loop.
 *
 * libevent's HTTP code needs an event base. The tevent loop polls the base,
 * without blocking, whenever one of its sockets is ready. libevent's timeouts
 * are processed only then; use a jt_timer where a timeout must be exact.
 */
#ifndef JT_EVENT_LOOP_H
#define JT_EVENT_LOOP_H

#include <event2/event.h>
#include <talloc.h>
#include <tevent.h>

struct jt_event_loop;

/* Creates a base on @loop; returns NULL on failure. */
struct jt_event_loop *jt_event_loop_create(TALLOC_CTX *mem_ctx,
					   struct tevent_context *loop);
/* Returns the base, which @events owns. */
struct event_base *jt_event_loop_base(const struct jt_event_loop *events);
/* Schedules a poll of the base; needed after calls to libevent from outside
 * its callbacks. */
void jt_event_loop_wake(struct jt_event_loop *events);
/* Must be called when libevent opens a socket, since it may have got the
 * descriptor of a closed one. */
void jt_event_loop_socket_opened(struct jt_event_loop *events);

#endif
