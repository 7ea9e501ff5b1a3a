/* Flows as their endpoints hold them: packets that come, requests that run,
 * answers. */
#include "soak_endpoint_flows.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum {
	HELD = 8192, /* flows of all endpoints, by caller and port */
	RUN_LEAST_MS = 5,
	RUN_MOST_MS = 60,
	FIRST_SEQUENCE = 7000,
};

/* A flow as its endpoint holds it. */
struct held_flow {
	uint32_t caller;
	uint16_t port;
	int endpoint; /* -1: free */
	bool open;
	uint32_t echo;
	uint16_t route_port;
	uint32_t expected; /* of the caller's bytes */
	uint32_t sequence; /* of its own */
	unsigned packets;  /* sent to the caller, lost ones too */
	unsigned request;  /* that runs, or ran last */
	bool running;
	bool answered;
	uint64_t answer_ms;
	struct soak_packet answer;
};

static struct held_flow held[HELD];

static struct held_flow *held_find(uint32_t caller, uint16_t port, int endpoint)
{
	for (int i = 0; i < HELD; i++) {
		if (held[i].endpoint == endpoint && held[i].caller == caller &&
		    held[i].port == port)
			return &held[i];
	}
	return NULL;
}

static struct held_flow *held_add(const struct soak_packet *packet,
				  int endpoint)
{
	struct held_flow *flow = NULL;

	for (int i = 0; i < HELD && flow == NULL; i++) {
		if (held[i].endpoint == -1)
			flow = &held[i];
	}
	if (flow == NULL)
		abort();
	*flow = (struct held_flow){
		.caller = packet->source,
		.port = packet->source_port,
		.endpoint = endpoint,
		.route_port = packet->destination_port,
		.expected = packet->sequence + 1,
		.sequence = FIRST_SEQUENCE + 1000 * (uint32_t)endpoint,
	};
	return flow;
}

static void flow_drop(struct held_flow *flow)
{
	flow->endpoint = -1;
	flow->caller = 0;
	flow->port = 0;
}

static void send_to_caller(struct soak *soak, int endpoint,
			   const struct soak_packet *packet)
{
	struct soak_listener *listener = soak->endpoints[endpoint].listener;
	uint8_t data[SOAK_HEAD + sizeof(packet->data)];
	struct soak_datagram datagram = {
		.to = {packet->destination, SOAK_PACKET_PORT},
		.data = data,
		.name = (uint64_t)packet->destination << 16 |
			packet->destination_port,
		.is_answer = true,
	};
	struct held_flow *flow;

	if (listener == NULL ||
	    !soak_endpoint_hears(&soak->endpoints[endpoint]))
		return;
	flow = held_find(packet->destination, packet->destination_port,
			 endpoint);
	if (flow != NULL)
		datagram.number = flow->packets++;
	datagram.fd = listener->udp_fd;
	datagram.length = soak_packet_write(packet, data);
	soak_network_send(soak, &datagram);
}

static struct soak_packet answer_to(const struct soak_packet *packet,
				    uint8_t flags)
{
	return (struct soak_packet){
		.source = packet->destination,
		.source_port = packet->destination_port,
		.destination = packet->source,
		.destination_port = packet->source_port,
		.echo = packet->echo,
		.sum = 1, /* an endpoint's; a node's resets have 0 */
		.sequence = packet->acknowledged,
		.acknowledged = packet->sequence + (uint32_t)packet->length,
		.flags = flags,
	};
}

static void take_first(struct soak *soak, int index, int node,
		       const struct soak_packet *packet)
{
	struct held_flow *flow =
		held_find(packet->source, packet->source_port, index);
	struct soak_packet answer = answer_to(packet, SOAK_SYN | SOAK_ACK);
	uint64_t sent_ms;

	if (packet->flags & SOAK_ACK) {
		soak_broken(soak, "UNASKED", "node %d passed a forged packet",
			    node);
		return;
	}
	if (!soak_flow_first(soak, packet->source, packet->source_port,
			     &sent_ms)) {
		soak_broken(soak, "UNASKED", "node %d sent what nobody asked",
			    node);
		return;
	}
	if (flow == NULL) {
		flow = held_add(packet, index);
		soak_flow_taken(soak, packet->source, packet->source_port,
				index);
		soak_check_first(soak, index, node, packet->destination_port,
				 sent_ms);
	}
	flow->echo = packet->echo;
	answer.sequence = flow->sequence;
	answer.acknowledged = flow->expected;
	send_to_caller(soak, index, &answer);
}

static void run_request(struct soak *soak, int index, struct held_flow *flow,
			const struct soak_packet *packet)
{
	unsigned request = 0;

	flow->expected = packet->sequence + (uint32_t)packet->length;
	flow->running = true;
	flow->answered = false;
	if (sscanf(packet->data, "GET /%u ", &request) != 1 ||
	    !soak_flow_ran(soak, packet->source, packet->source_port, request))
		soak_broken(soak, "UNASKED",
			    "endpoint %llx ran what was not asked, or twice",
			    (unsigned long long)soak->endpoints[index].id);
	flow->request = request;
	flow->answer_ms = jt_clock_ms() + RUN_LEAST_MS +
			  soak_draw(soak, SOAK_DRAW_REQUEST_RUNS, request, 0,
				    RUN_MOST_MS - RUN_LEAST_MS);
	flow->answer = answer_to(packet, SOAK_ACK);
	flow->answer.sequence = flow->sequence;
	flow->answer.acknowledged = flow->expected;
}

static void take_data(struct soak *soak, int index, struct held_flow *flow,
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
	flow->echo = packet->echo;
	if (packet->flags & SOAK_FIN) {
		struct soak_packet answer = answer_to(packet, SOAK_ACK);

		send_to_caller(soak, index, &answer);
		flow_drop(flow);
		return;
	}
	if (packet->length == 0)
		return;
	if (packet->sequence == flow->expected && !flow->running)
		run_request(soak, index, flow, packet);
	else if (flow->answered)
		send_to_caller(soak, index, &flow->answer);
}

static void take_unknown(struct soak *soak, int index, int node,
			 const struct soak_packet *packet)
{
	int owner =
		soak_flow_endpoint(soak, packet->source, packet->source_port);
	struct soak_packet answer = answer_to(packet, SOAK_RST);

	if (packet->flags & SOAK_RST)
		return;
	/* One that started again gets its earlier flows, and resets them. */
	if (owner >= 0 && owner != index &&
	    soak->endpoints[owner].id != soak->endpoints[index].id)
		soak_check_astray(soak, index, owner, node);
	send_to_caller(soak, index, &answer);
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
	struct held_flow *flow;
	uint64_t meant = 0;
	int node;

	(void)loop;
	(void)event;
	(void)flags;
	if (length < 8 ||
	    !soak_endpoint_hears(&soak->endpoints[listener->endpoint]))
		return;
	for (int i = 0; i < 8; i++)
		meant = meant << 8 | data[i];
	node = soak_node_of(soak, jt_address_from_socket(&name).ip);
	if (!soak_packet_read(data + 8, (size_t)length - 8, &packet)) {
		soak_broken(soak, "UNASKED", "node %d changed a packet", node);
		return;
	}
	if (meant != 0 && meant != soak->endpoints[listener->endpoint].id)
		return;
	flow = held_find(packet.source, packet.source_port, listener->endpoint);
	if (packet.flags & SOAK_SYN)
		take_first(soak, listener->endpoint, node, &packet);
	else if (flow != NULL)
		take_data(soak, listener->endpoint, flow, &packet);
	else
		take_unknown(soak, listener->endpoint, node, &packet);
}

void soak_flows_tick(struct soak *soak, uint64_t now_ms)
{
	for (int i = 0; i < HELD; i++) {
		struct held_flow *flow = &held[i];

		if (flow->endpoint < 0 || !flow->running ||
		    now_ms < flow->answer_ms)
			continue;
		flow->running = false;
		flow->answered = true;
		flow->answer.echo = flow->echo;
		flow->answer.length = (size_t)snprintf(
			flow->answer.data, sizeof(flow->answer.data),
			"HTTP/1.1 200 OK\r\nServer-Seal: %u\r\n\r\n%llx",
			flow->request,
			(unsigned long long)soak->endpoints[flow->endpoint].id);
		flow->sequence += (uint32_t)flow->answer.length;
		/* One that leaves closes each flow after its answer. */
		if (soak->endpoints[flow->endpoint].life == SOAK_DRAINING)
			flow->answer.flags |= SOAK_FIN;
		send_to_caller(soak, flow->endpoint, &flow->answer);
	}
}

void soak_flows_drop(int endpoint)
{
	for (int i = 0; i < HELD; i++) {
		if (held[i].endpoint == endpoint)
			flow_drop(&held[i]);
	}
}

void soak_flows_create(void)
{
	for (int i = 0; i < HELD; i++)
		held[i].endpoint = -1;
}
