/*
 * Counts operations in flight: begun, not ended, and not older than a horizon.
 *
 * A node does not see the end of every operation that it forwards: the client
 * may have vanished, or the endpoint may have replied directly. Operations
 * older than the horizon are therefore no longer counted.
 */
#ifndef JT_IN_FLIGHT_H
#define JT_IN_FLIGHT_H

#include <stdint.h>

enum {
	JT_IN_FLIGHT_BUCKETS = 64,
	JT_IN_FLIGHT_BUCKET_MS = 25,
};

struct jt_in_flight {
	uint32_t counts[JT_IN_FLIGHT_BUCKETS]; /* by start time */
	uint64_t newest;  /* bucket number of the last update */
	uint32_t horizon; /* buckets counted */
	uint32_t total;
};

/* Initialises an empty counter. The horizon is capped at the time that the
 * buckets cover. */
void jt_in_flight_init(struct jt_in_flight *flight, uint32_t horizon_ms);
/* Records that an operation begins. */
void jt_in_flight_begin(struct jt_in_flight *flight, uint64_t now_ms);
/* Records the end of an operation that began at @began_ms. */
void jt_in_flight_end(struct jt_in_flight *flight, uint64_t began_ms,
		      uint64_t now_ms);
/* Returns the number of operations in flight. */
uint32_t jt_in_flight_count(struct jt_in_flight *flight, uint64_t now_ms);

#endif
