#include "jt_in_flight.h"

#include <string.h>

void jt_in_flight_init(struct jt_in_flight *flight, uint32_t horizon_ms)
{
	uint32_t horizon = horizon_ms / JT_IN_FLIGHT_BUCKET_MS;

	memset(flight, 0, sizeof(*flight));
	if (horizon < 1)
		horizon = 1;
	if (horizon > JT_IN_FLIGHT_BUCKETS)
		horizon = JT_IN_FLIGHT_BUCKETS;
	flight->horizon = horizon;
}

static uint32_t *bucket_at(struct jt_in_flight *flight, uint64_t number)
{
	return &flight->counts[number % JT_IN_FLIGHT_BUCKETS];
}

/* Drops operations that have passed the horizon by @now_ms. */
static void advance(struct jt_in_flight *flight, uint64_t now_ms)
{
	uint64_t number = now_ms / JT_IN_FLIGHT_BUCKET_MS;

	if (number >= flight->newest + flight->horizon) {
		memset(flight->counts, 0, sizeof(flight->counts));
		flight->total = 0;
		flight->newest = number;
	}
	while (flight->newest < number) {
		uint32_t *passed;

		flight->newest++;
		/* Bucket that has just left the horizon. */
		passed = bucket_at(flight, flight->newest +
						   JT_IN_FLIGHT_BUCKETS -
						   flight->horizon);
		flight->total -= *passed;
		*passed = 0;
	}
}

void jt_in_flight_begin(struct jt_in_flight *flight, uint64_t now_ms)
{
	advance(flight, now_ms);
	(*bucket_at(flight, flight->newest))++;
	flight->total++;
}

void jt_in_flight_end(struct jt_in_flight *flight, uint64_t began_ms,
		      uint64_t now_ms)
{
	uint64_t number = began_ms / JT_IN_FLIGHT_BUCKET_MS;
	uint32_t *began;

	advance(flight, now_ms);
	if (number > flight->newest ||
	    flight->newest - number >= flight->horizon)
		return;
	began = bucket_at(flight, number);
	if (*began == 0)
		return;
	(*began)--;
	flight->total--;
}

uint32_t jt_in_flight_count(struct jt_in_flight *flight, uint64_t now_ms)
{
	advance(flight, now_ms);
	return flight->total;
}
