#include "jt_concurrency_limit.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* The controlled delay is the lower quartile of the response times, since
 * requests bound to slow endpoints do not reflect what a new flow meets. It
 * may reach this part of the target: the slowest requests of a mix take about
 * four times as long, and are still in time. */
#define DELAY_QUANTILE 4
#define DELAY_PART 0.23
/* Maximum of that part, for services whose service time is long relative to
 * the target. */
#define DELAY_PART_MAX 0.32
/* Allowed part while endpoints reject few requests: a late response is better
 * than a refusal. */
#define DELAY_PART_RELAXED 0.5
/* Endpoints that reject more than this part of the requests have full queues,
 * and what waits there costs others their responses. */
#define REJECTED_PART_MAX 0.05
/* Each step, the pressure rises by the first amount while endpoints reject too
 * much, and falls by the second once there is no limit. It does not fall under
 * a limit, since refusals keep the endpoints from rejecting. */
#define PRESSURE_INCREASE 0.35
#define PRESSURE_DECREASE 0.01
/* Allowed delay and estimated mean service time, as multiples of the lowest
 * decile. Without queueing, the lower quartile is one and a half times the
 * lowest decile, and queueing may add as much. */
#define ALLOWED_TO_FAST_DELAY 2
#define SERVICE_TO_FAST_DELAY 2
/* A response within this part of the lowest decile, or this part of the target,
 * is classified as a rejection. The second applies to services whose responses
 * are all so fast that nothing queues. */
#define REJECTION_DELAY_PART 0.33
#define REJECTION_TARGET_PART 0.02
/* A response shorter than this part of the usual length is classified as a
 * rejection, such as a status without a body. */
#define REJECTION_LENGTH_PART 0.2
/* Step of the usual length per response, and the weight of rejections in it. */
#define LENGTH_STEP 0.02
#define LENGTH_REJECTION_WEIGHT 0.1
/* Part of the difference by which the lowest decile follows a lower and a
 * higher value per step. The higher value may include queueing. */
#define FAST_DELAY_FALL_FACTOR 0.2
#define FAST_DELAY_RISE_FACTOR 0.02
/* With a lower utilisation of the slots, a long delay is not due to load. */
#define BEGIN_UTILISATION_MIN 0.5
/* With a lower utilisation, the limit ends. */
#define END_UTILISATION 0.2
/* Smoothing factor of rates per step. */
#define RATE_SMOOTHING 0.4
/* Bounds of the change of the limit per step. */
#define LIMIT_FACTOR_MIN 0.7
#define LIMIT_FACTOR_MAX 1.2
/* Upper bound of the change at low delay, and the delay, relative to the
 * allowed one, below which it applies: the demand has fallen. */
#define LOW_DELAY_FACTOR_MAX 1.5
#define LOW_DELAY_PART 0.5
/* A step raises the limit by this part of the geometric mean of limit and
 * demand, which keeps the nodes' limits in proportion to their demands. The
 * increase is bounded, since refused clients that retry inflate the demand. */
#define DEMAND_PART 0.03
#define DEMAND_INCREASE_MAX 0.08
#define LIMIT_MIN 1.0
/* Minimum limit of all nodes together, in requests for each slot: one in
 * service and one queued, so that no slot is idle. */
#define IN_FLIGHT_PER_SLOT_MIN 2.0

enum {
	/* A step needs this many responses, but waits STEP_MAX_MS at most. */
	SAMPLES_MIN = 6,
	/* Responses needed to begin a limit; fewer may be late by chance. */
	SAMPLES_TO_BEGIN = 16,
	STEP_MS = 80,
	STEP_MAX_MS = 400,
	/* Number of responses at which a new delay gets half of the weight. */
	SMOOTH_SAMPLES = 8,
	/* Without refusals for this time the demand fits, and the limit
	 * ends. */
	END_WITHOUT_REFUSALS_MS = 1000,
	MS_PER_S = 1000,
};

/* Updates the estimate of the length that a quarter of the responses exceed. */
static void usual_bytes_update(struct jt_concurrency_limit *limit, double bytes,
			       bool rejected)
{
	double weight = rejected ? LENGTH_REJECTION_WEIGHT : 1;

	if (limit->usual_bytes == 0)
		limit->usual_bytes = bytes;
	if (bytes > limit->usual_bytes)
		limit->usual_bytes *= 1 + 3 * LENGTH_STEP;
	else
		limit->usual_bytes *= 1 - weight * LENGTH_STEP;
}

bool jt_concurrency_limit_answered(struct jt_concurrency_limit *limit,
				   uint64_t took_ms, uint32_t bytes)
{
	struct jt_limit_samples *samples = &limit->samples;
	bool rejected = (double)took_ms < limit->rejection_delay_ms ||
			bytes < limit->usual_bytes * REJECTION_LENGTH_PART;

	usual_bytes_update(limit, bytes, rejected);
	if (rejected) {
		samples->rejected++;
		return false;
	}
	if (took_ms > UINT16_MAX)
		took_ms = UINT16_MAX;
	samples->took_ms[samples->responses % JT_LIMIT_SAMPLES] =
		(uint16_t)took_ms;
	samples->responses++;
	return true;
}

void jt_concurrency_limit_open_flow_answered(struct jt_concurrency_limit *limit)
{
	limit->samples.open_flow_responses++;
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

/* Updates the lowest decile. The initial value is capped, as if the service
 * were fast relative to the target. */
static void fast_delay_update(struct jt_concurrency_limit *limit,
			      double delay_ms, uint32_t target_ms)
{
	double difference_ms;

	if (limit->fast_delay_ms == 0)
		limit->fast_delay_ms =
			fmin(delay_ms,
			     target_ms * DELAY_PART / ALLOWED_TO_FAST_DELAY);
	difference_ms = delay_ms - limit->fast_delay_ms;
	/* Under a limit even the fastest responses include queueing. */
	if (difference_ms < 0)
		limit->fast_delay_ms += difference_ms * FAST_DELAY_FALL_FACTOR;
	else if (limit->limit == 0)
		limit->fast_delay_ms += difference_ms * FAST_DELAY_RISE_FACTOR;
}

static double sample_at(const struct jt_limit_samples *samples, size_t index)
{
	return samples->took_ms[index];
}

/* Updates the delay. It is smoothed under a limit, since a few responses are
 * noisy. */
static void delay_update(struct jt_concurrency_limit *limit, double delay_ms,
			 size_t count)
{
	double part = 1;

	if (limit->limit != 0)
		part = (double)count / (double)(count + SMOOTH_SAMPLES);
	limit->delay_ms += (delay_ms - limit->delay_ms) * part;
}

static void responses_process(struct jt_concurrency_limit *limit,
			      uint32_t target_ms)
{
	struct jt_limit_samples *samples = &limit->samples;
	size_t count = samples->responses < JT_LIMIT_SAMPLES
			       ? samples->responses
			       : JT_LIMIT_SAMPLES;

	if (count > 0) {
		qsort(samples->took_ms, count, sizeof(samples->took_ms[0]),
		      compare_delays);
		delay_update(limit, sample_at(samples, count / DELAY_QUANTILE),
			     count);
		fast_delay_update(limit, sample_at(samples, count / 10),
				  target_ms);
	} else if (samples->rejected >= SAMPLES_MIN) {
		/* All responses were so fast that the service itself may be
		 * faster now. */
		fast_delay_update(limit, 0, target_ms);
	}
	limit->rejection_delay_ms =
		fmax(limit->fast_delay_ms * REJECTION_DELAY_PART,
		     target_ms * REJECTION_TARGET_PART);
}

static void rate_update(double *rate, uint32_t count, uint64_t elapsed_ms)
{
	double now = (double)count * MS_PER_S / (double)elapsed_ms;

	*rate += (now - *rate) * RATE_SMOOTHING;
}

/* Updates the pressure on the endpoints from the rate of rejections. */
static void pressure_update(struct jt_concurrency_limit *limit)
{
	const struct jt_limit_samples *samples = &limit->samples;
	double ended = (double)samples->responses + samples->rejected;

	if (ended > 0)
		limit->rejected_part +=
			(samples->rejected / ended - limit->rejected_part) *
			RATE_SMOOTHING;
	if (limit->rejected_part > REJECTED_PART_MAX)
		limit->pressure = fmin(1, limit->pressure + PRESSURE_INCREASE);
	else if (limit->limit == 0)
		limit->pressure = fmax(0, limit->pressure - PRESSURE_DECREASE);
}

static double allowed_ms(const struct jt_concurrency_limit *limit,
			 uint32_t target_ms)
{
	double relaxed_ms = target_ms * DELAY_PART_RELAXED;
	double strict_ms = limit->fast_delay_ms * ALLOWED_TO_FAST_DELAY;

	strict_ms = fmin(fmax(strict_ms, target_ms * DELAY_PART),
			 target_ms * DELAY_PART_MAX);
	return relaxed_ms - (relaxed_ms - strict_ms) * limit->pressure;
}

/* Returns the estimated utilisation of the slots, assuming that each node
 * forwards as much as this one. */
static double slots_utilisation(const struct jt_concurrency_limit *limit,
				const struct jt_limit_service *service)
{
	double service_time_s =
		limit->fast_delay_ms * SERVICE_TO_FAST_DELAY / MS_PER_S;

	return limit->begun_per_s * (double)service->nodes * service_time_s /
	       fmax((double)service->slots, 1);
}

/* Returns the requests in flight at @per_s requests per second and the allowed
 * delay. */
static double in_flight_at(const struct jt_concurrency_limit *limit,
			   double per_s)
{
	return per_s * limit->allowed_ms / MS_PER_S;
}

/* Returns true if there are enough responses for a step. */
static bool has_enough_samples(const struct jt_concurrency_limit *limit)
{
	const struct jt_limit_samples *samples = &limit->samples;

	if (samples->responses < SAMPLES_MIN)
		return false;
	return limit->limit != 0 ||
	       samples->responses + samples->rejected >= SAMPLES_TO_BEGIN;
}

/* Returns the minimum limit of this node. */
static double limit_min(const struct jt_limit_service *service)
{
	return fmax(LIMIT_MIN, IN_FLIGHT_PER_SLOT_MIN * (double)service->slots /
				       fmax((double)service->nodes, 1));
}

static enum jt_limit_change limit_try_begin(struct jt_concurrency_limit *limit,
					    double utilisation, double minimum)
{
	if (utilisation < BEGIN_UTILISATION_MIN ||
	    limit->delay_ms <= limit->allowed_ms || !has_enough_samples(limit))
		return JT_LIMIT_SAME;
	limit->limit =
		fmax(minimum, in_flight_at(limit, limit->responses_per_s));
	return JT_LIMIT_BEGAN;
}

/* Returns the limit adjusted by the delay alone. */
static double delay_adjusted_limit(const struct jt_concurrency_limit *limit)
{
	bool low_delay = limit->delay_ms < limit->allowed_ms * LOW_DELAY_PART;
	double factor = sqrt(limit->allowed_ms / fmax(limit->delay_ms, 1));
	double max_factor = low_delay ? LOW_DELAY_FACTOR_MAX : LIMIT_FACTOR_MAX;
	double adjusted;

	/* Without refusals, the limit did not cause the low delay. */
	if (factor > 1 && limit->samples.refused == 0)
		factor = 1;
	adjusted =
		limit->limit * fmin(fmax(factor, LIMIT_FACTOR_MIN), max_factor);
	/* At low delay, the current throughput has headroom for about twice as
	 * much in flight. */
	if (low_delay)
		adjusted = fmax(adjusted,
				in_flight_at(limit, limit->responses_per_s));
	return adjusted;
}

static enum jt_limit_change limit_adjust(struct jt_concurrency_limit *limit,
					 double utilisation, double minimum,
					 uint64_t now_ms)
{
	double demand;

	if (utilisation < END_UTILISATION ||
	    (limit->delay_ms <= limit->allowed_ms &&
	     now_ms - limit->refused_ms >= END_WITHOUT_REFUSALS_MS)) {
		limit->limit = 0;
		return JT_LIMIT_ENDED;
	}
	limit->limit = delay_adjusted_limit(limit);
	demand = in_flight_at(limit, limit->offered_per_s) / limit->limit;
	if (demand > 1)
		limit->limit *= 1 + fmin(sqrt(demand) * DEMAND_PART,
					 DEMAND_INCREASE_MAX);
	limit->limit = fmax(limit->limit, minimum);
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
	double utilisation, minimum;

	if (elapsed_ms < STEP_MS ||
	    (!has_enough_samples(limit) && elapsed_ms < STEP_MAX_MS))
		return JT_LIMIT_SAME;
	responses_process(limit, service->target_ms);
	rate_update(&limit->begun_per_s, samples->begun, elapsed_ms);
	rate_update(&limit->responses_per_s,
		    samples->responses + samples->open_flow_responses,
		    elapsed_ms);
	rate_update(&limit->offered_per_s, samples->begun + samples->refused,
		    elapsed_ms);
	pressure_update(limit);
	limit->allowed_ms = allowed_ms(limit, service->target_ms);
	utilisation = slots_utilisation(limit, service);
	minimum = limit_min(service);
	change = limit->limit == 0
			 ? limit_try_begin(limit, utilisation, minimum)
			 : limit_adjust(limit, utilisation, minimum, now_ms);
	memset(samples, 0, sizeof(*samples));
	limit->stepped_ms = now_ms;
	return change;
}
