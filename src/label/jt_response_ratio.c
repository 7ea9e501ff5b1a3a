#include "jt_response_ratio.h"

#include <math.h>

enum {
	/* Responses of all nodes together that an average covers; older ones
	 * decay. Enough to tell an endpoint that is half as fast from chance,
	 * and few enough to follow one that turns slow within some seconds. */
	WINDOW_RESPONSES = 24,
	/* Weight of the usual response time as a prior, in responses. */
	PRIOR_RESPONSES = 1,
	/* Upper bound of the nodes that contribute to an average: more nodes
	 * add hardly any responses. */
	SHARING_NODES_MAX = 16,
	/* Responses of one node that the usual time covers. */
	BASELINE_RESPONSES = 256,
	/* Half-life of an average without new responses, milliseconds: an
	 * endpoint that gets little traffic is retried eventually. */
	HALF_LIFE_MS = 20000,
	/* Delay after which a receiver acknowledges a single segment (delayed
	 * acknowledgement, RFC 9293), milliseconds. */
	DELAYED_ACK_MS = 40,
	/* Weight of a new sample of the prompt fraction: 1/32. */
	PROMPT_SMOOTHING = 32,
	/* Encoding of an average in a report: log mean in the low bits, weight
	 * in the high bits. */
	ENCODED_LOG_UNIT = 1000,
	ENCODED_WEIGHT_UNIT = 100,
	ENCODED_LOG_BITS = 16,
	ENCODED_MASK = 0xffff,
};

/* Differences below this are irrelevant to clients, milliseconds. */
#define RESPONSE_SLACK_MS 5.0
/* Bound of the log ratio of one response: a factor of 8. */
#define LOG_RATIO_MAX 2.08
/* Log ratio, a factor of 1.28, below which an endpoint counts as usual. */
#define LOG_RATIO_MIN 0.25

/* If a larger fraction of single segments is acknowledged promptly, the clients
 * don't delay acknowledgements. */
#define PROMPT_FRACTION_MAX 0.1

static double clamp(double value, double limit)
{
	return fmax(-limit, fmin(limit, value));
}

double jt_usual_response_time_correct(struct jt_usual_response_time *usual,
				      const struct jt_response *response)
{
	bool prompt = response->took_ms < DELAYED_ACK_MS;

	if (!response->single_segment)
		return response->took_ms;
	usual->prompt_part += (prompt - usual->prompt_part) / PROMPT_SMOOTHING;
	if (prompt || usual->prompt_part > PROMPT_FRACTION_MAX)
		return response->took_ms;
	return response->took_ms - DELAYED_ACK_MS;
}

double jt_usual_response_time_update(struct jt_usual_response_time *usual,
				     double took_ms)
{
	double log_ms = log(fmax(took_ms, 0) + RESPONSE_SLACK_MS);
	double ratio = 0;

	if (usual->responses > 0)
		ratio = clamp(log_ms - usual->log_ms, LOG_RATIO_MAX);
	else
		usual->log_ms = log_ms;
	if (usual->responses < BASELINE_RESPONSES)
		usual->responses++;
	usual->log_ms += ratio / usual->responses;
	return ratio;
}

static uint64_t sharing_nodes(uint64_t nodes)
{
	return nodes < SHARING_NODES_MAX ? nodes : SHARING_NODES_MAX;
}

static double decay_factor(const struct jt_response_ratio *ratio,
			   uint64_t now_ms)
{
	if (now_ms <= ratio->as_of_ms || ratio->weight == 0)
		return 1;
	return exp2(-(double)(now_ms - ratio->as_of_ms) / HALF_LIFE_MS);
}

static void scale(struct jt_response_ratio *ratio, double factor)
{
	ratio->log_sum *= factor;
	ratio->weight *= factor;
}

void jt_response_ratio_update(struct jt_response_ratio *ratio, double log_ratio,
			      uint64_t nodes, uint64_t now_ms)
{
	double limit = (double)WINDOW_RESPONSES / (double)sharing_nodes(nodes);

	scale(ratio, decay_factor(ratio, now_ms));
	ratio->as_of_ms = now_ms;
	ratio->log_sum += log_ratio;
	ratio->weight += 1;
	if (ratio->weight > limit)
		scale(ratio, limit / ratio->weight);
}

uint32_t jt_response_ratio_encode(const struct jt_response_ratio *ratio,
				  uint64_t now_ms)
{
	double weight = ratio->weight * decay_factor(ratio, now_ms) *
			ENCODED_WEIGHT_UNIT;
	int32_t log_permille;

	if (weight < 1)
		return 0;
	log_permille = (int32_t)lround(ratio->log_sum / ratio->weight *
				       ENCODED_LOG_UNIT);
	return (uint32_t)fmin(weight, ENCODED_MASK) << ENCODED_LOG_BITS |
	       ((uint32_t)log_permille & ENCODED_MASK);
}

void jt_response_ratio_merge(struct jt_response_ratio *ratio, uint32_t encoded,
			     uint64_t now_ms)
{
	double weight =
		(double)(encoded >> ENCODED_LOG_BITS) / ENCODED_WEIGHT_UNIT;
	double log_mean = clamp((double)(int16_t)(encoded & ENCODED_MASK) /
					ENCODED_LOG_UNIT,
				LOG_RATIO_MAX);

	weight = fmin(weight, WINDOW_RESPONSES);
	if (weight == 0)
		return;
	scale(ratio, decay_factor(ratio, now_ms));
	ratio->as_of_ms = now_ms;
	ratio->log_sum += weight * log_mean;
	ratio->weight += weight;
	scale(ratio, 0.5);
}

double jt_response_ratio_get(const struct jt_response_ratio *ratio,
			     uint64_t nodes, uint64_t now_ms)
{
	double decay = decay_factor(ratio, now_ms);
	double prior = (double)PRIOR_RESPONSES / (double)sharing_nodes(nodes);
	double log_mean =
		ratio->log_sum * decay / (ratio->weight * decay + prior);

	return fabs(log_mean) < LOG_RATIO_MIN ? 1 : exp(log_mean);
}
