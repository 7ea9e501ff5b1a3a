#include "jt_concurrency_limit.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* The delay that counts is that of the quickest quarter: open flows that are
 * bound to slow endpoints say nothing of what a new flow meets. It may take
 * this part of the target: the slowest of a mixed lot take about four times
 * that, and are still in time. */
#define DELAY_QUANTILE 4
#define DELAY_PART 0.23
/* A service whose work takes long beside its target is left this part. */
#define DELAY_PART_MOST 0.32
/* While endpoints take what they get, this part: an answer that is late serves
 * its caller better than none, and nobody is turned away for it. */
#define DELAY_PART_PATIENT 0.5
/* Endpoints that reject more than this part of the requests have full queues:
 * what waits there costs others their answers. */
#define REJECTED_MOST 0.05
/* The allowed delay goes down by this part of the difference a step while they
 * do, and up by this part once there is no limit any more: what is refused
 * keeps them from rejecting. */
#define PRESSURE_RISE 0.35
#define PRESSURE_FALL 0.01
/* Work that does not wait: the quickest quarter take half as long again as the
 * quickest tenth, and the queue may add as much. The mean is about twice it. */
#define QUICK_TIMES 2
#define QUICK_TO_WORK 2
/* An answer in less than this part of the quickest tenth is no work done: an
 * endpoint has rejected the request. So is one in this part of the target,
 * whatever the quickest are: where all are so quick, nothing waits. */
#define REJECTED_PART 0.33
#define REJECTED_TARGET_PART 0.02
/* So has an endpoint that answers with so small a part of the usual length: a
 * status without a body. */
#define SHORT_PART 0.2
/* An answer moves the usual length by this part of it, one that was rejected by
 * this part of that. */
#define BYTES_STEP 0.02
#define REJECTED_WEIGHT 0.1
/* The quickest tenth follows a quicker one by this part a step, and a slower
 * one by this: that may have waited. */
#define QUICK_FALL 0.2
#define QUICK_RISE 0.02
/* With less of the slots at work than this, waiting has another cause. */
#define LOAD_LEAST 0.5
/* With less than this nothing keeps a service full. */
#define LOAD_FREE 0.2
/* Rates follow what was counted by this part a step. */
#define RATE_PART 0.4
/* A step moves the limit by no more than this. */
#define FALL_MOST 0.7
#define RISE_MOST 1.2
/* But by up to this where hardly anything waits: the demand has fallen. */
#define RISE_IDLE 1.5
#define IDLE_PART 0.5
/* A step raises the limit by this part of its geometric mean with the demand,
 * which keeps nodes' limits in proportion to their demands; and by no more than
 * this part of itself, however often callers come back. */
#define DEMAND_PART 0.03
#define DEMAND_RISE_MOST 0.08
#define LIMIT_LEAST 1.0
/* All nodes together may have so many in flight for each slot, whatever the
 * delay: one at work and one that waits, so that no slot is ever idle. */
#define IN_FLIGHT_A_SLOT 2.0

enum {
	/* Fewer answers say little: a step waits for more, but so long. */
	SAMPLES_LEAST = 6,
	/* A limit begins on so many: fewer are late by chance. */
	SAMPLES_TO_BEGIN = 16,
	STEP_MS = 80,
	STEP_MOST_MS = 400,
	/* So many answers count for half of the delay; few are noise. */
	SMOOTH_SAMPLES = 8,
	/* Nothing refused for so long: the demand fits. */
	FITS_MS = 1000,
	MS_PER_S = 1000,
};

/* Follows the length that a quarter of the answers exceed. */
static void usual_bytes_note(struct jt_concurrency_limit *limit, double bytes,
			     bool rejected)
{
	double weight = rejected ? REJECTED_WEIGHT : 1;

	if (limit->usual_bytes == 0)
		limit->usual_bytes = bytes;
	if (bytes > limit->usual_bytes)
		limit->usual_bytes *= 1 + 3 * BYTES_STEP;
	else
		limit->usual_bytes *= 1 - weight * BYTES_STEP;
}

bool jt_concurrency_limit_answered(struct jt_concurrency_limit *limit,
				   uint64_t took_ms, uint32_t bytes)
{
	struct jt_limit_samples *samples = &limit->samples;
	bool rejected = (double)took_ms < limit->work_least_ms ||
			bytes < limit->usual_bytes * SHORT_PART;

	usual_bytes_note(limit, bytes, rejected);
	if (rejected) {
		samples->rejected++;
		return false;
	}
	if (took_ms > UINT16_MAX)
		took_ms = UINT16_MAX;
	samples->took_ms[samples->answers % JT_LIMIT_SAMPLES] =
		(uint16_t)took_ms;
	samples->answers++;
	return true;
}

void jt_concurrency_limit_bound(struct jt_concurrency_limit *limit)
{
	limit->samples.bound++;
}

void jt_concurrency_limit_begun(struct jt_concurrency_limit *limit)
{
	limit->samples.begun++;
}

void jt_concurrency_limit_refused(struct jt_concurrency_limit *limit,
				  uint64_t now_ms)
{
	limit->samples.refused++;
	limit->refused_ms = now_ms;
}

static int compare_delays(const void *a, const void *b)
{
	const uint16_t *left = a, *right = b;

	return (int)*left - (int)*right;
}

/* What the quickest tenth is when little waits. A node that has just started
 * takes the service for one that is quick beside its target. */
static void quick_note(struct jt_concurrency_limit *limit, double quick_ms,
		       uint32_t target_ms)
{
	double more_ms;

	if (limit->quick_ms == 0)
		limit->quick_ms =
			fmin(quick_ms, target_ms * DELAY_PART / QUICK_TIMES);
	more_ms = quick_ms - limit->quick_ms;
	/* While there is a limit the quickest wait as well. */
	if (more_ms < 0)
		limit->quick_ms += more_ms * QUICK_FALL;
	else if (limit->limit == 0)
		limit->quick_ms += more_ms * QUICK_RISE;
}

static double sample_at(const struct jt_limit_samples *samples, size_t index)
{
	return samples->took_ms[index];
}

/* A limit is steered by a smoothed delay: that of a few answers is noise. */
static void delay_note(struct jt_concurrency_limit *limit, double delay_ms,
		       size_t count)
{
	double part = 1;

	if (limit->limit != 0)
		part = (double)count / (double)(count + SMOOTH_SAMPLES);
	limit->delay_ms += (delay_ms - limit->delay_ms) * part;
}

static void answers_note(struct jt_concurrency_limit *limit, uint32_t target_ms)
{
	struct jt_limit_samples *samples = &limit->samples;
	size_t count = samples->answers < JT_LIMIT_SAMPLES ? samples->answers
							   : JT_LIMIT_SAMPLES;

	if (count > 0) {
		qsort(samples->took_ms, count, sizeof(samples->took_ms[0]),
		      compare_delays);
		delay_note(limit, sample_at(samples, count / DELAY_QUANTILE),
			   count);
		quick_note(limit, sample_at(samples, count / 10), target_ms);
	} else if (samples->rejected >= SAMPLES_LEAST) {
		/* The service itself may have become so quick. */
		quick_note(limit, 0, target_ms);
	}
	limit->work_least_ms = fmax(limit->quick_ms * REJECTED_PART,
				    target_ms * REJECTED_TARGET_PART);
}

static void rate_note(double *rate, uint32_t count, uint64_t elapsed_ms)
{
	double now = (double)count * MS_PER_S / (double)elapsed_ms;

	*rate += (now - *rate) * RATE_PART;
}

/* How hard endpoints are pressed, by what they reject. */
static void pressure_note(struct jt_concurrency_limit *limit)
{
	const struct jt_limit_samples *samples = &limit->samples;
	double ended = (double)samples->answers + samples->rejected;

	if (ended > 0)
		limit->rejected_part +=
			(samples->rejected / ended - limit->rejected_part) *
			RATE_PART;
	if (limit->rejected_part > REJECTED_MOST)
		limit->pressure = fmin(1, limit->pressure + PRESSURE_RISE);
	else if (limit->limit == 0)
		limit->pressure = fmax(0, limit->pressure - PRESSURE_FALL);
}

static double allowed_ms(const struct jt_concurrency_limit *limit,
			 uint32_t target_ms)
{
	double patient = target_ms * DELAY_PART_PATIENT;
	double pressed = limit->quick_ms * QUICK_TIMES;

	pressed = fmin(fmax(pressed, target_ms * DELAY_PART),
		       target_ms * DELAY_PART_MOST);
	return patient - (patient - pressed) * limit->pressure;
}

/* What part of the slots is at work, if each node passes on as much as this
 * one. */
static double slots_load(const struct jt_concurrency_limit *limit,
			 const struct jt_limit_service *service)
{
	double work_s = limit->quick_ms * QUICK_TO_WORK / MS_PER_S;

	return limit->begun_per_s * (double)service->nodes * work_s /
	       fmax((double)service->slots, 1);
}

/* What @per_s requests a second have in flight at the allowed delay. */
static double in_flight_at(const struct jt_concurrency_limit *limit,
			   double per_s)
{
	return per_s * limit->allowed_ms / MS_PER_S;
}

/* Whether there are answers enough for a step. */
static bool samples_suffice(const struct jt_concurrency_limit *limit)
{
	const struct jt_limit_samples *samples = &limit->samples;

	if (samples->answers < SAMPLES_LEAST)
		return false;
	return limit->limit != 0 ||
	       samples->answers + samples->rejected >= SAMPLES_TO_BEGIN;
}

/* The limit is never lower. */
static double limit_least(const struct jt_limit_service *service)
{
	return fmax(LIMIT_LEAST, IN_FLIGHT_A_SLOT * (double)service->slots /
					 fmax((double)service->nodes, 1));
}

static enum jt_limit_change limit_begin(struct jt_concurrency_limit *limit,
					double load, double least)
{
	if (load < LOAD_LEAST || limit->delay_ms <= limit->allowed_ms ||
	    !samples_suffice(limit))
		return JT_LIMIT_SAME;
	limit->limit = fmax(least, in_flight_at(limit, limit->answers_per_s));
	return JT_LIMIT_BEGAN;
}

/* What the delay alone makes of the limit. */
static double limit_by_delay(const struct jt_concurrency_limit *limit)
{
	bool idle = limit->delay_ms < limit->allowed_ms * IDLE_PART;
	double factor = sqrt(limit->allowed_ms / fmax(limit->delay_ms, 1));
	double most = idle ? RISE_IDLE : RISE_MOST;
	double moved;

	/* A limit that kept nothing out is no reason for the short delay. */
	if (factor > 1 && limit->samples.refused == 0)
		factor = 1;
	moved = limit->limit * fmin(fmax(factor, FALL_MOST), most);
	/* What is done now may have twice as much in flight. */
	if (idle)
		moved = fmax(moved, in_flight_at(limit, limit->answers_per_s));
	return moved;
}

static enum jt_limit_change limit_move(struct jt_concurrency_limit *limit,
				       double load, double least,
				       uint64_t now_ms)
{
	double demand;

	if (load < LOAD_FREE || (limit->delay_ms <= limit->allowed_ms &&
				 now_ms - limit->refused_ms >= FITS_MS)) {
		limit->limit = 0;
		return JT_LIMIT_ENDED;
	}
	limit->limit = limit_by_delay(limit);
	demand = in_flight_at(limit, limit->offered_per_s) / limit->limit;
	if (demand > 1)
		limit->limit *=
			1 + fmin(sqrt(demand) * DEMAND_PART, DEMAND_RISE_MOST);
	limit->limit = fmax(limit->limit, least);
	return JT_LIMIT_SAME;
}

enum jt_limit_change
jt_concurrency_limit_step(struct jt_concurrency_limit *limit,
			  const struct jt_limit_service *service,
			  uint64_t now_ms)
{
	struct jt_limit_samples *samples = &limit->samples;
	uint64_t elapsed_ms = now_ms - limit->stepped_ms;
	enum jt_limit_change change;
	double load, least;

	if (elapsed_ms < STEP_MS ||
	    (!samples_suffice(limit) && elapsed_ms < STEP_MOST_MS))
		return JT_LIMIT_SAME;
	answers_note(limit, service->target_ms);
	rate_note(&limit->begun_per_s, samples->begun, elapsed_ms);
	rate_note(&limit->answers_per_s, samples->answers + samples->bound,
		  elapsed_ms);
	rate_note(&limit->offered_per_s, samples->begun + samples->refused,
		  elapsed_ms);
	pressure_note(limit);
	limit->allowed_ms = allowed_ms(limit, service->target_ms);
	load = slots_load(limit, service);
	least = limit_least(service);
	change = limit->limit == 0 ? limit_begin(limit, load, least)
				   : limit_move(limit, load, least, now_ms);
	memset(samples, 0, sizeof(*samples));
	limit->stepped_ms = now_ms;
	return change;
}
