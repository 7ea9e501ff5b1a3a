/*
 * Timers of a tevent loop on the monotonic clock; the timers of tevent follow
 * the time of day, which may be set. All timers of a loop share one descriptor.
 */
#ifndef JT_TIMER_H
#define JT_TIMER_H

#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

struct jt_timer;

/* Creates a stopped timer. Returns NULL when out of memory or descriptors.
 * Freeing the timer stops it. */
struct jt_timer *jt_timer_create(TALLOC_CTX *mem_ctx,
				 struct tevent_context *loop,
				 void (*callback)(void *private_data),
				 void *private_data);
/* Schedules one call of the callback in @delay_ms; replaces an earlier
 * schedule. */
void jt_timer_set(struct jt_timer *timer, uint64_t delay_ms);
/* Cancels the schedule, if any. */
void jt_timer_stop(struct jt_timer *timer);

#endif
