/* Shared by the lifecycle of endpoints and their flows. */
#ifndef SOAK_ENDPOINT_FLOWS_H
#define SOAK_ENDPOINT_FLOWS_H

#include "soak.h"

/* Sockets of an address and the endpoint that uses them. */
struct soak_listener {
	struct soak *soak;
	int endpoint;
	int udp_fd;
	int tcp_fd;
	struct tevent_fd *udp_event, *tcp_event;
};

/* Returns true if the endpoint accepts packets and connections now. */
bool soak_endpoint_reachable(const struct soak_endpoint *endpoint);
/* Initialises the flow table. */
void soak_flows_create(void);
/* Receives a datagram at a listener (a tevent_fd_handler_t). */
void soak_flows_on_datagram(struct tevent_context *loop,
			    struct tevent_fd *event, uint16_t flags,
			    void *private_data);
/* Sends the responses that are due. */
void soak_flows_tick(struct soak *soak, uint64_t now_ms);
/* Removes the flows of an ended endpoint. */
void soak_flows_drop(int endpoint);

#endif
