/*
 * Discrete-event scheduler: runs callbacks in virtual time.
 *
 * Callbacks with the same due time run in the order in which they were added,
 * so that a simulation is reproducible. Times are microseconds since the
 * start of the simulation.
 */
#ifndef JT_SCHEDULER_H
#define JT_SCHEDULER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

typedef void (*jt_scheduled)(void *object, uint64_t argument);

struct jt_scheduler;

/* Creates a scheduler at time 0; returns NULL if out of memory. */
struct jt_scheduler *jt_scheduler_create(TALLOC_CTX *mem_ctx);
/* Returns the current virtual time. */
uint64_t jt_scheduler_now(const struct jt_scheduler *scheduler);
/* Schedules @callback for @time_us, or for now if that is in the past. */
void jt_scheduler_at(struct jt_scheduler *scheduler, uint64_t time_us,
		     jt_scheduled callback, void *object, uint64_t argument);
/* Schedules @callback for @delay_us from now. */
void jt_scheduler_after(struct jt_scheduler *scheduler, uint64_t delay_us,
			jt_scheduled callback, void *object, uint64_t argument);
/* Runs all callbacks due up to and including @time_us and advances the time
 * to it. */
void jt_scheduler_run(struct jt_scheduler *scheduler, uint64_t time_us);

#endif
