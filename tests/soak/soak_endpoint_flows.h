/* What the two halves of the endpoints share: their flows, and their lives. */
#ifndef SOAK_ENDPOINT_FLOWS_H
#define SOAK_ENDPOINT_FLOWS_H

#include "soak.h"

/* The socket of an address, and who listens there for connections. */
struct soak_listener {
	struct soak *soak;
	int endpoint;
	int udp_fd;
	int tcp_fd;
	struct tevent_fd *udp_event, *tcp_event;
};

/* Whether the endpoint takes packets and connections now. */
bool soak_endpoint_hears(const struct soak_endpoint *endpoint);
/* No flow is held yet. */
void soak_flows_create(void);
/* A datagram came to a listener (a tevent_fd_handler_t). */
void soak_flows_on_datagram(struct tevent_context *loop,
			    struct tevent_fd *event, uint16_t flags,
			    void *private_data);
/* Send the answers that are due. */
void soak_flows_tick(struct soak *soak, uint64_t now_ms);
/* The endpoint has ended, and its flows with it. */
void soak_flows_drop(int endpoint);

#endif
