#include "jt_response_profile.h"
#include "jt_routing.h"

#include <math.h>
#include <string.h>

/* If a larger fraction of a route's responses is short, short ones may be
 * normal for the route; below it, they count more the rarer they are. */
#define SHORT_FRACTION_MAX 0.25
/* The usual length is this quantile of the lengths, so that it is one of good
 * responses even if most of the first ones are failures. It is adjusted by
 * steps of its logarithm. */
#define USUAL_QUANTILE 0.75
#define LENGTH_STEP 0.05

enum {
	/* The usual length starts as the longest of this many responses. */
	INITIAL_RESPONSES = 8,
	/* Responses needed before failures are detected. */
	DETECTION_MIN_RESPONSES = 24,
	/* After this many responses the short fraction is averaged over time,
	 * so that failures of some endpoints don't soon count as usual. */
	AVERAGED_RESPONSES = 48,
	SHORT_FRACTION_MS = 60 * 1000,
	/* A response is short if it is SHORT_FACTOR times shorter than usual,
	 * or SHORT_FAST_PERMILLE / 1000 times shorter and FAST_FACTOR times
	 * faster. */
	SHORT_FACTOR = 3,
	SHORT_FAST_PERMILLE = 1500,
	FAST_FACTOR = 4,
};

static int profiles_destructor(struct jt_response_profiles *profiles)
{
	HASH_CLEAR(hh, profiles->profiles);
	return 0;
}

struct jt_response_profiles *jt_response_profiles_create(TALLOC_CTX *mem_ctx)
{
	struct jt_response_profiles *profiles =
		talloc_zero(mem_ctx, struct jt_response_profiles);

	if (profiles != NULL)
		talloc_set_destructor(profiles, profiles_destructor);
	return profiles;
}

struct jt_response_profile *
jt_response_profiles_find(struct jt_response_profiles *profiles,
			  const struct jt_route *route, uint32_t service_id)
{
	struct jt_response_profile *profile, wanted;

	memset(&wanted, 0, sizeof(wanted));
	wanted.key.address.ip = route->address.ip;
	wanted.key.address.port = route->address.port;
	wanted.key.service_id = service_id;
	HASH_FIND(hh, profiles->profiles, &wanted.key, sizeof(wanted.key),
		  profile);
	if (profile != NULL)
		return profile;
	profile = talloc_zero(profiles, struct jt_response_profile);
	if (profile == NULL)
		return NULL;
	memcpy(&profile->key, &wanted.key, sizeof(wanted.key));
	HASH_ADD(hh, profiles->profiles, key, sizeof(profile->key), profile);
	return profile;
}

void jt_response_profiles_prune(struct jt_response_profiles *profiles,
				const struct jt_routing *routing)
{
	struct jt_response_profile *profile, *next;

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

bool jt_response_is_short(const struct jt_response_profile *profile,
			  uint32_t bytes, uint64_t took_ms)
{
	double usual = exp(profile->log_bytes);

	if (bytes * (double)SHORT_FACTOR < usual)
		return true;
	return bytes * (double)SHORT_FAST_PERMILLE < usual * 1000 &&
	       (double)took_ms * FAST_FACTOR < profile->took_ms;
}

/* Returns the upper confidence bound of the short fraction. */
static double short_fraction_bound(const struct jt_response_profile *profile)
{
	double part = profile->short_part;

	return part + sqrt(part * (1 - part) / profile->responses);
}

double jt_response_failure(const struct jt_response_profile *profile)
{
	double confidence;

	if (profile->responses < DETECTION_MIN_RESPONSES)
		return 0;
	confidence = 1 - short_fraction_bound(profile) / SHORT_FRACTION_MAX;
	return confidence > JT_FAILURE_UNSURE ? confidence : JT_FAILURE_UNSURE;
}

/* Returns the weight of the current response in slowly changing averages. */
static double averaging_weight(const struct jt_response_profile *profile,
			       uint64_t now_ms)
{
	double part =
		(double)(now_ms - profile->updated_ms) / SHORT_FRACTION_MS;

	return part < 1 ? part : 1;
}

/* Updates the usual length. Short responses change it slowly, because the
 * route's responses may have become shorter permanently. */
static void length_update(struct jt_response_profile *profile, double log_bytes,
			  bool is_short, double update_weight)
{
	if (is_short)
		profile->log_bytes +=
			(log_bytes - profile->log_bytes) * update_weight;
	else if (log_bytes > profile->log_bytes &&
		 profile->responses < INITIAL_RESPONSES)
		profile->log_bytes = log_bytes;
	else if (log_bytes > profile->log_bytes)
		profile->log_bytes += LENGTH_STEP * USUAL_QUANTILE;
	else
		profile->log_bytes -= LENGTH_STEP * (1 - USUAL_QUANTILE);
}

void jt_response_profile_update(struct jt_response_profile *profile,
				uint32_t bytes, uint64_t took_ms,
				uint64_t now_ms)
{
	bool is_short = jt_response_is_short(profile, bytes, took_ms);
	double update_weight = averaging_weight(profile, now_ms), part;

	profile->updated_ms = now_ms;
	length_update(profile, log(bytes > 0 ? bytes : 1), is_short,
		      update_weight);
	if (profile->responses < AVERAGED_RESPONSES) {
		profile->responses++;
		update_weight = 1.0 / profile->responses;
	}
	part = is_short ? update_weight : 1.0 / profile->responses;
	profile->took_ms += ((double)took_ms - profile->took_ms) * part;
	profile->short_part += (is_short - profile->short_part) * update_weight;
}
