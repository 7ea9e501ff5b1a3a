#include "jt_speed.h"

#include <math.h>

enum {
	/* Answers of all nodes together that an average spans: enough to tell a
	 * half as fast endpoint from chance, few enough to follow one that
	 * turns slow within some seconds. */
	MEMORY_ANSWERS = 24,
	/* The usual speed counts as so many answers of it. */
	PRIOR_ANSWERS = 1,
	/* Averages of more nodes are hardly of more answers. */
	SHARING_NODES_MOST = 16,
	/* Answers of one node that the usual time spans. */
	USUAL_ANSWERS = 256,
	/* Without answers, what is known counts for half after so long: an
	 * endpoint that is avoided gets another chance some time. */
	HALF_MS = 20000,
	/* A receiver acknowledges a segment that comes alone so much later
	 * (delayed acknowledgement, RFC 9293), milliseconds. */
	ACKNOWLEDGE_DELAY_MS = 40,
	/* New part of the part that is acknowledged sooner: one in so many. */
	PROMPT_PART = 32,
	/* Scale of both halves of what is told. */
	TOLD_LOG_UNIT = 1000,
	TOLD_WEIGHT_UNIT = 100,
	TOLD_BITS = 16,
	TOLD_MASK = 0xffff,
};

/* So little more or less is nothing to a caller, milliseconds. */
#define TOOK_SLACK_MS 5.0
/* No answer counts as slower or faster than this, a factor of 8. */
#define LOG_MOST 2.08
/* An endpoint that differs by less, a factor of 1.28, counts as any other. */
#define LOG_LEAST 0.25

/* Where more of the lone segments are acknowledged sooner than that, callers
 * don't wait. */
#define PROMPT_PART_MOST 0.1

static double bounded(double value, double most)
{
	return fmax(-most, fmin(most, value));
}

double jt_usual_took_ms(struct jt_usual *usual, const struct jt_answer *answer)
{
	bool prompt = answer->took_ms < ACKNOWLEDGE_DELAY_MS;

	if (!answer->lone)
		return answer->took_ms;
	usual->prompt_part += (prompt - usual->prompt_part) / PROMPT_PART;
	if (prompt || usual->prompt_part > PROMPT_PART_MOST)
		return answer->took_ms;
	return answer->took_ms - ACKNOWLEDGE_DELAY_MS;
}

double jt_usual_answered(struct jt_usual *usual, double took_ms)
{
	double log_ms = log(fmax(took_ms, 0) + TOOK_SLACK_MS);
	double ratio = 0;

	if (usual->answers > 0)
		ratio = bounded(log_ms - usual->log_ms, LOG_MOST);
	else
		usual->log_ms = log_ms;
	if (usual->answers < USUAL_ANSWERS)
		usual->answers++;
	usual->log_ms += ratio / usual->answers;
	return ratio;
}

static uint64_t sharing_nodes(uint64_t nodes)
{
	return nodes < SHARING_NODES_MOST ? nodes : SHARING_NODES_MOST;
}

static double forgotten(const struct jt_speed *speed, uint64_t now_ms)
{
	if (now_ms <= speed->as_of_ms || speed->weight == 0)
		return 1;
	return exp2(-(double)(now_ms - speed->as_of_ms) / HALF_MS);
}

static void scale(struct jt_speed *speed, double factor)
{
	speed->log_sum *= factor;
	speed->weight *= factor;
}

void jt_speed_answered(struct jt_speed *speed, double log_ratio, uint64_t nodes,
		       uint64_t now_ms)
{
	double most = (double)MEMORY_ANSWERS / (double)sharing_nodes(nodes);

	scale(speed, forgotten(speed, now_ms));
	speed->as_of_ms = now_ms;
	speed->log_sum += log_ratio;
	speed->weight += 1;
	if (speed->weight > most)
		scale(speed, most / speed->weight);
}

uint32_t jt_speed_told(const struct jt_speed *speed, uint64_t now_ms)
{
	double weight =
		speed->weight * forgotten(speed, now_ms) * TOLD_WEIGHT_UNIT;
	int32_t log_permille;

	if (weight < 1)
		return 0;
	log_permille =
		(int32_t)lround(speed->log_sum / speed->weight * TOLD_LOG_UNIT);
	return (uint32_t)fmin(weight, TOLD_MASK) << TOLD_BITS |
	       ((uint32_t)log_permille & TOLD_MASK);
}

void jt_speed_take(struct jt_speed *speed, uint32_t told, uint64_t now_ms)
{
	double weight = (double)(told >> TOLD_BITS) / TOLD_WEIGHT_UNIT;
	double log_mean = bounded(
		(double)(int16_t)(told & TOLD_MASK) / TOLD_LOG_UNIT, LOG_MOST);

	weight = fmin(weight, MEMORY_ANSWERS);
	if (weight == 0)
		return;
	scale(speed, forgotten(speed, now_ms));
	speed->as_of_ms = now_ms;
	speed->log_sum += weight * log_mean;
	speed->weight += weight;
	scale(speed, 0.5);
}

double jt_speed_slowness(const struct jt_speed *speed, uint64_t nodes,
			 uint64_t now_ms)
{
	double fade = forgotten(speed, now_ms);
	double prior = (double)PRIOR_ANSWERS / (double)sharing_nodes(nodes);
	double log_mean =
		speed->log_sum * fade / (speed->weight * fade + prior);

	return fabs(log_mean) < LOG_LEAST ? 1 : exp(log_mean);
}
