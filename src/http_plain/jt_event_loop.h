/*
 * Runs a libevent base inside a tevent loop.
 *
 * libevent's HTTP needs an event base of its own. The base never waits: the
 * tevent loop lets it look whenever one of its sockets is ready. libevent's
 * timeouts are looked at on such occasions only; whoever needs an exact one
 * takes a jt_timer.
 */
#ifndef JT_EVENT_LOOP_H
#define JT_EVENT_LOOP_H

#include <event2/event.h>
#include <talloc.h>
#include <tevent.h>

struct jt_event_loop;

struct jt_event_loop *jt_event_loop_create(TALLOC_CTX *mem_ctx,
					   struct tevent_context *loop);
struct event_base *jt_event_loop_base(const struct jt_event_loop *events);
/* Something was asked of the base outside its callbacks: let it look soon. */
void jt_event_loop_wake(struct jt_event_loop *events);
/* A socket was opened, maybe under the number of one that was closed. */
void jt_event_loop_socket_opened(struct jt_event_loop *events);

#endif
