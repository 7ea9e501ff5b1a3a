#include "jt_answer_profile.h"
#include "jt_routing.h"

#include <math.h>
#include <string.h>

/* Where more than this part of a route's answers is short, that may be the
 * route's way; below, a short one counts the more the less usual it is. */
#define SHORT_PART_MOST 0.25
/* The usual length is one that this part of the answers does not exceed: also
 * where most of the first answers are failures, it is that of good ones. It
 * moves by such steps of its logarithm. */
#define USUAL_QUANTILE 0.75
#define LENGTH_STEP 0.05

enum {
	/* The longest of the first answers is the first idea of what is usual;
	 * fewer answers than the other tell nothing of failures. */
	FIRST = 8,
	LEARN_LEAST = 24,
	/* The part of short ones changes slowly after so many, so that trouble
	 * at some endpoints does not become usual before somebody has looked
	 * after it. */
	USUAL_ANSWERS = 48,
	SHORT_MS = 60 * 1000,
	/* Shorter than the usual by this factor is short, and by so many
	 * thousandths where it also came so many times sooner. */
	SHORT_TIMES = 3,
	SHORT_FAST_PERMILLE = 1500,
	FAST_TIMES = 4,
};

static int profiles_destructor(struct jt_answer_profiles *profiles)
{
	HASH_CLEAR(hh, profiles->profiles);
	return 0;
}

struct jt_answer_profiles *jt_answer_profiles_create(TALLOC_CTX *mem_ctx)
{
	struct jt_answer_profiles *profiles =
		talloc_zero(mem_ctx, struct jt_answer_profiles);

	if (profiles != NULL)
		talloc_set_destructor(profiles, profiles_destructor);
	return profiles;
}

struct jt_answer_profile *
jt_answer_profiles_find(struct jt_answer_profiles *profiles,
			const struct jt_route *route, uint32_t service_id)
{
	struct jt_answer_profile *profile, wanted;

	memset(&wanted, 0, sizeof(wanted));
	wanted.key.address.ip = route->address.ip;
	wanted.key.address.port = route->address.port;
	wanted.key.service_id = service_id;
	HASH_FIND(hh, profiles->profiles, &wanted.key, sizeof(wanted.key),
		  profile);
	if (profile != NULL)
		return profile;
	profile = talloc_zero(profiles, struct jt_answer_profile);
	if (profile == NULL)
		return NULL;
	memcpy(&profile->key, &wanted.key, sizeof(wanted.key));
	HASH_ADD(hh, profiles->profiles, key, sizeof(profile->key), profile);
	return profile;
}

void jt_answer_profiles_prune(struct jt_answer_profiles *profiles,
			      const struct jt_routing *routing)
{
	struct jt_answer_profile *profile, *next;

	for (profile = profiles->profiles; profile != NULL; profile = next) {
		struct jt_flow_key key = {
			.destination = profile->key.address.ip,
			.destination_port = profile->key.address.port,
		};

		next = profile->hh.next;
		if (jt_routing_route(routing, &key) != NULL)
			continue;
		HASH_DEL(profiles->profiles, profile);
		talloc_free(profile);
	}
}

bool jt_answer_is_short(const struct jt_answer_profile *profile, uint32_t bytes,
			uint64_t took_ms)
{
	double usual = exp(profile->log_bytes);

	if (bytes * (double)SHORT_TIMES < usual)
		return true;
	return bytes * (double)SHORT_FAST_PERMILLE < usual * 1000 &&
	       (double)took_ms * FAST_TIMES < profile->took_ms;
}

/* The part of short answers, and what chance may have left out of it. */
static double short_part_most(const struct jt_answer_profile *profile)
{
	double part = profile->short_part;

	return part + sqrt(part * (1 - part) / profile->answers);
}

double jt_answer_failure(const struct jt_answer_profile *profile)
{
	double unusual;

	if (profile->answers < LEARN_LEAST)
		return 0;
	unusual = 1 - short_part_most(profile) / SHORT_PART_MOST;
	return unusual > JT_FAILURE_UNSURE ? unusual : JT_FAILURE_UNSURE;
}

/* The part that the answer in hand has in what changes slowly. */
static double slow_part(const struct jt_answer_profile *profile,
			uint64_t now_ms)
{
	double part = (double)(now_ms - profile->learned_ms) / SHORT_MS;

	return part < 1 ? part : 1;
}

/* Short answers change what is usual as well, but slowly: the route may have
 * got another way of answering for good. */
static void length_learn(struct jt_answer_profile *profile, double log_bytes,
			 bool is_short, double slow)
{
	if (is_short)
		profile->log_bytes += (log_bytes - profile->log_bytes) * slow;
	else if (log_bytes > profile->log_bytes && profile->answers < FIRST)
		profile->log_bytes = log_bytes;
	else if (log_bytes > profile->log_bytes)
		profile->log_bytes += LENGTH_STEP * USUAL_QUANTILE;
	else
		profile->log_bytes -= LENGTH_STEP * (1 - USUAL_QUANTILE);
}

void jt_answer_learn(struct jt_answer_profile *profile, uint32_t bytes,
		     uint64_t took_ms, uint64_t now_ms)
{
	bool is_short = jt_answer_is_short(profile, bytes, took_ms);
	double slow = slow_part(profile, now_ms), part;

	profile->learned_ms = now_ms;
	length_learn(profile, log(bytes > 0 ? bytes : 1), is_short, slow);
	if (profile->answers < USUAL_ANSWERS) {
		profile->answers++;
		slow = 1.0 / profile->answers;
	}
	part = is_short ? slow : 1.0 / profile->answers;
	profile->took_ms += ((double)took_ms - profile->took_ms) * part;
	profile->short_part += (is_short - profile->short_part) * slow;
}
