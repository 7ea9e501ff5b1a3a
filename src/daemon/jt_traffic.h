/*
 * Traffic threads: receive packets of clients and forward them to endpoints.
 *
 * Each thread has its own data socket and reads an immutable forwarding table
 * under RCU (liburcu, QSBR). Packets without a direct entry in the table pass
 * to the control thread through a bounded queue.
 */
#ifndef JT_TRAFFIC_H
#define JT_TRAFFIC_H

#include "jaspertrack/core.h"
#include "jt_packet.h"

#include <stdatomic.h>
#include <talloc.h>

/* A packet for the control thread. The receiver frees it with free(). */
struct jt_slow_packet {
	size_t length;
	uint8_t data[];
};

struct jt_traffic_counters {
	uint64_t received;
	uint64_t forwarded; /* without the control thread */
	uint64_t to_control;
	uint64_t queue_full;
	uint64_t send_failed;
	uint64_t no_lease;
	uint64_t bad[JT_PACKET_ERROR_COUNT];
};

struct jt_traffic;

/*
 * Opens the sockets and starts @threads threads. @wake_fd, an eventfd, is
 * written when the queue to the control thread becomes non-empty. Returns NULL
 * with errno on failure.
 */
struct jt_traffic *jt_traffic_create(TALLOC_CTX *mem_ctx,
				     struct jt_address data, unsigned threads,
				     int wake_fd);
/* Stops and joins the threads; freeing @traffic does so too. */
void jt_traffic_stop(struct jt_traffic *traffic);

/* Publishes the current tables of @core to the threads. Control thread only. */
void jt_traffic_publish(struct jt_traffic *traffic, const struct jt_core *core);
/* Sets the time, by jt_clock_ms(), until which the table may be used. */
void jt_traffic_set_lease(struct jt_traffic *traffic, uint64_t until_ms);
/* Removes and returns the next queued packet, or NULL if there is none. Control
 * thread only. */
struct jt_slow_packet *jt_traffic_next(struct jt_traffic *traffic);
/* Sends one packet to an endpoint or to the client gateway; callable from any
 * thread. */
void jt_traffic_send(struct jt_traffic *traffic, struct jt_address to,
		     const uint8_t *packet, size_t length);
/* Writes the sums of the counters of all threads to @sum. */
void jt_traffic_counters(const struct jt_traffic *traffic,
			 struct jt_traffic_counters *sum);

#endif
