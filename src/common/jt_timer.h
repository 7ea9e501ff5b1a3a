/*
 * A timer on the monotonic clock inside a tevent loop.
 *
 * tevent's own timers follow the time of day, which may jump on any machine;
 * these do not. All timers of a loop share one descriptor.
 */
#ifndef JT_TIMER_H
#define JT_TIMER_H

#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

struct jt_timer;

/* A timer that is not set; NULL when memory or descriptors run out. Freeing
 * it stops it. */
struct jt_timer *jt_timer_create(TALLOC_CTX *mem_ctx,
				 struct tevent_context *loop,
				 void (*callback)(void *private_data),
				 void *private_data);
/* Call back once, @delay_ms from now, whatever was set before. */
void jt_timer_set(struct jt_timer *timer, uint64_t delay_ms);
void jt_timer_stop(struct jt_timer *timer);

#endif
