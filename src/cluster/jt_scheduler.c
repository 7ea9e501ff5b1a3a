#include "jt_scheduler.h"

#include <stdlib.h>

struct entry {
	uint64_t time_us;
	uint64_t order; /* of insertion; breaks ties */
	jt_scheduled callback;
	void *object;
	uint64_t argument;
};

/* The heap is a binary heap ordered by (time_us, order). */
struct jt_scheduler {
	struct entry *heap;
	size_t count;
	size_t capacity;
	uint64_t now_us;
	uint64_t next_order;
};

struct jt_scheduler *jt_scheduler_create(TALLOC_CTX *mem_ctx)
{
	return talloc_zero(mem_ctx, struct jt_scheduler);
}

uint64_t jt_scheduler_now(const struct jt_scheduler *scheduler)
{
	return scheduler->now_us;
}

static bool runs_before(const struct entry *a, const struct entry *b)
{
	if (a->time_us != b->time_us)
		return a->time_us < b->time_us;
	return a->order < b->order;
}

static void heap_grow(struct jt_scheduler *scheduler)
{
	size_t capacity = scheduler->capacity ? scheduler->capacity * 2 : 1024;
	struct entry *heap = talloc_realloc(scheduler, scheduler->heap,
					    struct entry, capacity);

	if (heap == NULL)
		abort(); /* a simulation can't continue without memory */
	scheduler->heap = heap;
	scheduler->capacity = capacity;
}

void jt_scheduler_at(struct jt_scheduler *scheduler, uint64_t time_us,
		     jt_scheduled callback, void *object, uint64_t argument)
{
	struct entry entry = {time_us, scheduler->next_order++, callback,
			      object, argument};
	size_t index;

	if (scheduler->count == scheduler->capacity)
		heap_grow(scheduler);
	if (entry.time_us < scheduler->now_us)
		entry.time_us = scheduler->now_us;
	index = scheduler->count++;
	while (index > 0 &&
	       runs_before(&entry, &scheduler->heap[(index - 1) / 2])) {
		scheduler->heap[index] = scheduler->heap[(index - 1) / 2];
		index = (index - 1) / 2;
	}
	scheduler->heap[index] = entry;
}

void jt_scheduler_after(struct jt_scheduler *scheduler, uint64_t delay_us,
			jt_scheduled callback, void *object, uint64_t argument)
{
	jt_scheduler_at(scheduler, scheduler->now_us + delay_us, callback,
			object, argument);
}

static struct entry heap_pop(struct jt_scheduler *scheduler)
{
	struct entry first = scheduler->heap[0];
	struct entry last = scheduler->heap[--scheduler->count];
	size_t index = 0;

	for (;;) {
		size_t child = 2 * index + 1;

		if (child >= scheduler->count)
			break;
		if (child + 1 < scheduler->count &&
		    runs_before(&scheduler->heap[child + 1],
				&scheduler->heap[child]))
			child++;
		if (!runs_before(&scheduler->heap[child], &last))
			break;
		scheduler->heap[index] = scheduler->heap[child];
		index = child;
	}
	if (scheduler->count > 0)
		scheduler->heap[index] = last;
	return first;
}

void jt_scheduler_run(struct jt_scheduler *scheduler, uint64_t time_us)
{
	while (scheduler->count > 0 && scheduler->heap[0].time_us <= time_us) {
		struct entry entry = heap_pop(scheduler);

		scheduler->now_us = entry.time_us;
		entry.callback(entry.object, entry.argument);
	}
	scheduler->now_us = time_us;
}
