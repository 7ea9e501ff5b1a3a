/*
 * Counts what is in flight: begun, not ended, and not too long ago.
 *
 * A node sees no end of much that it passes on (the caller has gone, or the
 * endpoint has answered it directly). What began longer ago than a horizon
 * counts no more, so that nothing is counted for ever.
 */
#ifndef JT_IN_FLIGHT_H
#define JT_IN_FLIGHT_H

#include <stdint.h>

enum {
	JT_IN_FLIGHT_BUCKETS = 64,
	JT_IN_FLIGHT_BUCKET_MS = 25,
};

struct jt_in_flight {
	uint32_t counts[JT_IN_FLIGHT_BUCKETS]; /* by when it began */
	uint64_t newest;  /* number of the bucket of the last event */
	uint32_t horizon; /* buckets that count */
	uint32_t total;
};

/* Nothing in flight. Longer horizons than the buckets cover are cut. */
void jt_in_flight_init(struct jt_in_flight *flight, uint32_t horizon_ms);
void jt_in_flight_begin(struct jt_in_flight *flight, uint64_t now_ms);
/* What began at @began_ms has ended. */
void jt_in_flight_end(struct jt_in_flight *flight, uint64_t began_ms,
		      uint64_t now_ms);
uint32_t jt_in_flight_count(struct jt_in_flight *flight, uint64_t now_ms);

#endif
