/* Flows of the endpoints: received packets, running requests and responses. */
#include "soak_endpoint_flows.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum {
	FLOW_LIMIT = 8192, /* of all endpoints */
	RUN_MIN_MS = 5,
	RUN_MAX_MS = 60,
	FIRST_SEQUENCE = 7000,
};

/* A flow at its endpoint. */
struct endpoint_flow {
	uint32_t caller;
	uint16_t port;
	int endpoint; /* -1: unused */
	bool open;
	uint32_t label;
	uint16_t route_port;
	uint32_t expected; /* next sequence number of the client */
	uint32_t sequence; /* next sequence number of the endpoint */
	unsigned packets;  /* sent to the client, lost ones included */
	unsigned request;  /* the running or last request */
	bool running;
	bool answered;
	uint64_t response_ms;
	struct soak_packet response;
};

static struct endpoint_flow flows[FLOW_LIMIT];

static struct endpoint_flow *flow_find(uint32_t caller, uint16_t port,
				       int endpoint)
{
	for (int i = 0; i < FLOW_LIMIT; i++) {
		if (flows[i].endpoint == endpoint &&
		    flows[i].caller == caller && flows[i].port == port)
			return &flows[i];
	}
	return NULL;
}

static struct endpoint_flow *flow_add(const struct soak_packet *packet,
				      int endpoint)
{
	struct endpoint_flow *flow = NULL;

	for (int i = 0; i < FLOW_LIMIT && flow == NULL; i++) {
		if (flows[i].endpoint == -1)
			flow = &flows[i];
	}
	if (flow == NULL)
		abort();
	*flow = (struct endpoint_flow){
		.caller = packet->source,
		.port = packet->source_port,
		.endpoint = endpoint,
		.route_port = packet->destination_port,
		.expected = packet->sequence + 1,
		.sequence = FIRST_SEQUENCE + 1000 * (uint32_t)endpoint,
	};
	return flow;
}

static void flow_remove(struct endpoint_flow *flow)
{
	flow->endpoint = -1;
	flow->caller = 0;
	flow->port = 0;
}

static void send_to_caller(struct soak *soak, int endpoint,
			   const struct soak_packet *packet)
{
	struct soak_listener *listener = soak->endpoints[endpoint].listener;
	uint8_t data[SOAK_HEADER_SIZE + sizeof(packet->data)];
	struct soak_datagram datagram = {
		.to = {packet->destination, SOAK_PACKET_PORT},
		.data = data,
		.flow_id = (uint64_t)packet->destination << 16 |
			   packet->destination_port,
		.is_response = true,
	};
	struct endpoint_flow *flow;

	if (listener == NULL ||
	    !soak_endpoint_reachable(&soak->endpoints[endpoint]))
		return;
	flow = flow_find(packet->destination, packet->destination_port,
			 endpoint);
	if (flow != NULL)
		datagram.number = flow->packets++;
	datagram.fd = listener->udp_fd;
	datagram.length = soak_packet_encode(packet, data);
	soak_network_send(soak, &datagram);
}

static struct soak_packet response_to(const struct soak_packet *packet,
				      uint8_t flags)
{
	return (struct soak_packet){
		.source = packet->destination,
		.source_port = packet->destination_port,
		.destination = packet->source,
		.destination_port = packet->source_port,
		.label = packet->label,
		.checksum = 1, /* nonzero, unlike a node's resets */
		.sequence = packet->acknowledged,
		.acknowledged = packet->sequence + (uint32_t)packet->length,
		.flags = flags,
	};
}

static void receive_first(struct soak *soak, int index, int node,
			  const struct soak_packet *packet)
{
	struct endpoint_flow *flow =
		flow_find(packet->source, packet->source_port, index);
	struct soak_packet response = response_to(packet, SOAK_SYN | SOAK_ACK);
	uint64_t sent_ms;

	if (packet->flags & SOAK_ACK) {
		soak_guarantee_violated(soak, "UNASKED",
					"node %d passed a forged packet", node);
		return;
	}
	if (!soak_flow_first_sent(soak, packet->source, packet->source_port,
				  &sent_ms)) {
		soak_guarantee_violated(
			soak, "UNASKED",
			"node %d sent a packet of an unknown flow", node);
		return;
	}
	if (flow == NULL) {
		flow = flow_add(packet, index);
		soak_flow_accepted(soak, packet->source, packet->source_port,
				   index);
		soak_check_first(soak, index, node, packet->destination_port,
				 sent_ms);
	}
	flow->label = packet->label;
	response.sequence = flow->sequence;
	response.acknowledged = flow->expected;
	send_to_caller(soak, index, &response);
}

static void run_request(struct soak *soak, int index,
			struct endpoint_flow *flow,
			const struct soak_packet *packet)
{
	unsigned request = 0;

	flow->expected = packet->sequence + (uint32_t)packet->length;
	flow->running = true;
	flow->answered = false;
	if (sscanf(packet->data, "GET /%u ", &request) != 1 ||
	    !soak_flow_request_ran(soak, packet->source, packet->source_port,
				   request))
		soak_guarantee_violated(
			soak, "UNASKED",
			"endpoint %llx ran an unknown request, or one twice",
			(unsigned long long)soak->endpoints[index].id);
	flow->request = request;
	flow->response_ms = jt_clock_ms() + RUN_MIN_MS +
			    soak_draw(soak, SOAK_DRAW_REQUEST_DURATION, request,
				      0, RUN_MAX_MS - RUN_MIN_MS);
	flow->response = response_to(packet, SOAK_ACK);
	flow->response.sequence = flow->sequence;
	flow->response.acknowledged = flow->expected;
}

static void receive_data(struct soak *soak, int index,
			 struct endpoint_flow *flow,
			 const struct soak_packet *packet)
{
	if (!flow->open && packet->acknowledged == flow->sequence + 1) {
		flow->open = true;
		flow->sequence++;
		soak_flow_opened(soak, packet->source, packet->source_port,
				 index);
	}
	if (!flow->open)
		return;
	flow->label = packet->label;
	if (packet->flags & SOAK_FIN) {
		struct soak_packet response = response_to(packet, SOAK_ACK);

		send_to_caller(soak, index, &response);
		flow_remove(flow);
		return;
	}
	if (packet->length == 0)
		return;
	if (packet->sequence == flow->expected && !flow->running)
		run_request(soak, index, flow, packet);
	else if (flow->answered)
		send_to_caller(soak, index, &flow->response);
}

static void receive_unknown(struct soak *soak, int index, int node,
			    const struct soak_packet *packet)
{
	int owner =
		soak_flow_endpoint(soak, packet->source, packet->source_port);
	struct soak_packet response = response_to(packet, SOAK_RST);

	if (packet->flags & SOAK_RST)
		return;
	/* A restarted endpoint may get flows of its previous incarnation and
	 * resets them. */
	if (owner >= 0 && owner != index &&
	    soak->endpoints[owner].id != soak->endpoints[index].id)
		soak_check_misrouted(soak, index, owner, node);
	send_to_caller(soak, index, &response);
}

void soak_flows_on_datagram(struct tevent_context *loop,
			    struct tevent_fd *event, uint16_t flags,
			    void *private_data)
{
	struct soak_listener *listener = private_data;
	struct soak *soak = listener->soak;
	uint8_t data[2048];
	struct sockaddr_in name;
	socklen_t size = sizeof(name);
	ssize_t length =
		recvfrom(listener->udp_fd, data, sizeof(data), MSG_DONTWAIT,
			 (struct sockaddr *)&name, &size);
	struct soak_packet packet;
	struct endpoint_flow *flow;
	uint64_t target_id = 0;
	int node;

	(void)loop;
	(void)event;
	(void)flags;
	if (length < 8 ||
	    !soak_endpoint_reachable(&soak->endpoints[listener->endpoint]))
		return;
	for (int i = 0; i < 8; i++)
		target_id = target_id << 8 | data[i];
	node = soak_node_by_ip(soak, jt_address_from_socket(&name).ip);
	if (!soak_packet_decode(data + 8, (size_t)length - 8, &packet)) {
		soak_guarantee_violated(soak, "UNASKED",
					"node %d changed a packet", node);
		return;
	}
	if (target_id != 0 &&
	    target_id != soak->endpoints[listener->endpoint].id)
		return;
	flow = flow_find(packet.source, packet.source_port, listener->endpoint);
	if (packet.flags & SOAK_SYN)
		receive_first(soak, listener->endpoint, node, &packet);
	else if (flow != NULL)
		receive_data(soak, listener->endpoint, flow, &packet);
	else
		receive_unknown(soak, listener->endpoint, node, &packet);
}

void soak_flows_tick(struct soak *soak, uint64_t now_ms)
{
	for (int i = 0; i < FLOW_LIMIT; i++) {
		struct endpoint_flow *flow = &flows[i];

		if (flow->endpoint < 0 || !flow->running ||
		    now_ms < flow->response_ms)
			continue;
		flow->running = false;
		flow->answered = true;
		flow->response.label = flow->label;
		flow->response.length = (size_t)snprintf(
			flow->response.data, sizeof(flow->response.data),
			"HTTP/1.1 200 OK\r\nServer-Seal: %u\r\n\r\n%llx",
			flow->request,
			(unsigned long long)soak->endpoints[flow->endpoint].id);
		flow->sequence += (uint32_t)flow->response.length;
		/* A leaving endpoint closes each flow after its response. */
		if (soak->endpoints[flow->endpoint].state == SOAK_DRAINING)
			flow->response.flags |= SOAK_FIN;
		send_to_caller(soak, flow->endpoint, &flow->response);
	}
}

void soak_flows_drop(int endpoint)
{
	for (int i = 0; i < FLOW_LIMIT; i++) {
		if (flows[i].endpoint == endpoint)
			flow_remove(&flows[i]);
	}
}

void soak_flows_create(void)
{
	for (int i = 0; i < FLOW_LIMIT; i++)
		flows[i].endpoint = -1;
}
