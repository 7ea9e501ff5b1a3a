/* Clients: flows, requests and what reaches them. */
#include "world.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum {
	FIRST_COPY_MS = 200,
	SECOND_COPY_MS = 600,
	ATTEMPT_MS = 1400,
	RESEND_MS = 200,
	RESEND_MAX_MS = 1600,
	DEADLINE_MS = 2500,
	RESET_WINDOW = 76800,
	TICK_MS = 5,
	FIRST_PORT = 1024,
};

static struct {
	int fd, zone;
	uint16_t next_port;
	int *flow_at_port; /* -1: none */
} clients[CLIENT_LIMIT];
static int client_count, router_fd = -1;

struct flow flows[FLOW_LIMIT];
int flow_count;
static uint32_t next_request = 1;

uint32_t client_ip(int client)
{
	return world_ip(128, (unsigned)(1 + client));
}

int flow_find(uint32_t ip, uint16_t port)
{
	for (int i = 0; i < client_count; i++) {
		if (client_ip(i) == ip)
			return clients[i].flow_at_port[port];
	}
	return -1;
}

/* Sends the client's packet to the node that routers pick. */
static void client_send(struct flow *flow, uint8_t flags, uint32_t sequence,
			uint32_t acknowledged, const char *data,
			uint16_t length)
{
	struct packet packet = {
		.source = client_ip(flow->client),
		.source_port = flow->port,
		.destination = flow->route.ip,
		.destination_port = flow->route.port,
		.label = flags & SYN ? 0 : flow->label,
		.sequence = sequence,
		.acknowledged = acknowledged,
		.flags = flags,
		.length = length,
	};
	int node = route_flow(clients[flow->client].zone, packet.source,
			      packet.source_port, packet.destination,
			      packet.destination_port);
	uint8_t bytes[HEADER + DATA_MAX];
	struct sockaddr_in to;

	if (node < 0)
		return;
	memcpy(packet.data, data, length);
	world_address(world_ip(1, (unsigned)(10 + node)), DATA_PORT, &to);
	(void)sendto(router_fd, bytes, packet_encode(&packet, bytes), 0,
		     (struct sockaddr *)&to, sizeof(to));
}

static void request_data(const struct flow *flow, char *text, size_t size)
{
	snprintf(text, size,
		 "POST /swap HTTP/1.1\r\nHost: roster\r\nRequest-Id: %u\r\n"
		 "Content-Length: 0\r\n\r\n",
		 flow->request_id);
}

static void request_send(struct flow *flow, bool again)
{
	char text[256];

	if (!again) {
		flow->request_id = next_request++;
		flow->requests++;
		flow->waiting = true;
		flow->first_ms = now_ms();
		flow->wait_ms = RESEND_MS;
		record("client %d port %u: sends request %u on flow %d",
		       flow->client, flow->port, flow->request_id,
		       (int)(flow - flows));
	} else {
		flow->wait_ms = flow->wait_ms * 2 > RESEND_MAX_MS
					? RESEND_MAX_MS
					: flow->wait_ms * 2;
	}
	flow->sent_ms = now_ms();
	request_data(flow, text, sizeof(text));
	client_send(flow, ACK, flow->sequence, flow->received, text,
		    (uint16_t)strlen(text));
}

void flow_request_now(int number)
{
	struct flow *flow = &flows[number];

	if (flow->state == FLOW_OPEN && !flow->waiting)
		request_send(flow, false);
}

int flow_open(int client, struct route route, unsigned requests,
	      uint32_t pause_ms, uint16_t port)
{
	int number = flow_count++;
	struct flow *flow = &flows[number];

	if (number >= FLOW_LIMIT)
		not_run("too many flows");
	if (port == 0)
		port = clients[client].next_port;
	if (port >= clients[client].next_port)
		clients[client].next_port = (uint16_t)(port + 1);
	*flow = (struct flow){
		.client = client,
		.port = port,
		.route = route,
		.limit = requests,
		.pause_ms = pause_ms,
		.sequence = draw(1u << 30),
		.via = -1,
	};
	for (int i = 0; i < ENDS; i++)
		flow->ends[i].endpoint = -1;
	clients[client].flow_at_port[port] = number;
	flow->first_ms = flow->sent_ms = now_ms();
	record("client %d port %u: sends the SYN of flow %d to route %u",
	       client, port, number, route.port);
	client_send(flow, SYN, flow->sequence, 0, "", 0);
	return number;
}

static void flow_end(struct flow *flow, enum flow_state state, const char *why)
{
	flow->state = state;
	flow->waiting = false;
	if (state != FLOW_CLOSED)
		record("client %d port %u: flow %d ends: %s", flow->client,
		       flow->port, (int)(flow - flows), why);
}

static void reset_receive(struct flow *flow, const struct packet *packet,
			  int node)
{
	int number = (int)(flow - flows);
	bool open = flow->state == FLOW_OPEN;
	uint32_t distance = packet->sequence - flow->received;

	/* A reset of an open flow counts only near its last acknowledgement. */
	if (open && distance + RESET_WINDOW > 2 * RESET_WINDOW)
		return;
	if (node >= 0)
		on_node_reset(number, node, open, flow_holder(flow));
	flow_end(flow, open ? FLOW_RESET : FLOW_FAILED,
		 node >= 0 ? "a node's reset" : "an endpoint's reset");
}

static void syn_ack_receive(struct flow *flow, const struct packet *packet)
{
	flow->label = packet->label;
	if (flow->state != FLOW_OPENING)
		return;
	flow->state = FLOW_OPEN;
	flow->sequence++;
	flow->received = packet->sequence + 1;
	client_send(flow, ACK, flow->sequence, flow->received, "", 0);
	flow->next_ms = now_ms();
}

static void data_receive(struct flow *flow, const struct packet *packet)
{
	const char *id = strstr(packet->data, "Request-Id: ");

	flow->packets++;
	if (packet->sequence == flow->received) {
		flow->received += packet->length;
		flow->sequence = packet->acknowledged;
		flow->waiting = false;
		flow->next_ms = now_ms() + flow->pause_ms;
		record("client %d port %u: request %u is answered: %.15s",
		       flow->client, flow->port, flow->request_id,
		       packet->data);
		if (id == NULL || (uint32_t)atoi(id + 12) != flow->request_id) {
			record("MIXED: an answer to another request");
			violations++;
		}
	}
	/* Every second packet is acknowledged. */
	if (flow->packets % 2 == 0)
		client_send(flow, ACK, flow->sequence, flow->received, "", 0);
}

static void on_datagram(int fd, short events, void *argument)
{
	int client = (int)(intptr_t)argument;
	uint8_t bytes[HEADER + DATA_MAX + 1];
	struct sockaddr_in from;
	socklen_t size = sizeof(from);
	struct packet packet;
	struct flow *flow;
	int number, node;
	ssize_t length = recvfrom(fd, bytes, sizeof(bytes), 0,
				  (struct sockaddr *)&from, &size);

	(void)events;
	if (length < 0 || !packet_decode(bytes, (size_t)length, &packet))
		return;
	number = clients[client].flow_at_port[packet.destination_port];
	if (number < 0)
		return;
	flow = &flows[number];
	node = node_by_ip(ntohl(from.sin_addr.s_addr));
	if (flow->state != FLOW_OPENING && flow->state != FLOW_OPEN)
		return;
	if (packet.flags & RST) {
		reset_receive(flow, &packet, node);
		return;
	}
	if (packet.flags & SYN) {
		syn_ack_receive(flow, &packet);
		return;
	}
	flow->label = packet.label;
	if (packet.length > 0)
		data_receive(flow, &packet);
}

int client_add(int zone)
{
	int client = client_count++;

	if (client >= CLIENT_LIMIT)
		not_run("too many clients");
	if (router_fd < 0)
		router_fd = udp_open(world_ip(3, 1), DATA_PORT);
	clients[client].zone = zone;
	clients[client].next_port = FIRST_PORT;
	clients[client].flow_at_port = malloc(65536 * sizeof(int));
	for (int i = 0; i < 65536; i++)
		clients[client].flow_at_port[i] = -1;
	clients[client].fd = udp_open(client_ip(client), DATA_PORT);
	if (router_fd < 0 || clients[client].fd < 0)
		not_run("a client's address is taken");
	fd_watch(clients[client].fd, POLLIN, on_datagram,
		 (void *)(intptr_t)client);
	return client;
}

static void opening_tick(struct flow *flow, uint64_t now)
{
	uint64_t age = now - flow->first_ms;

	if (age >= ATTEMPT_MS) {
		flow_end(flow, FLOW_FAILED, "no answer to its SYN");
	} else if ((flow->copies == 0 && age >= FIRST_COPY_MS) ||
		   (flow->copies == 1 && age >= SECOND_COPY_MS)) {
		flow->copies++;
		flow->sent_ms = now;
		client_send(flow, SYN, flow->sequence, flow->copies, "", 0);
	}
}

static void open_tick(struct flow *flow, uint64_t now)
{
	if (flow->waiting && now - flow->first_ms >= DEADLINE_MS) {
		flow_end(flow, FLOW_FAILED, "deadline");
	} else if (flow->waiting && now - flow->sent_ms >= flow->wait_ms) {
		request_send(flow, true);
	} else if (!flow->waiting && now >= flow->next_ms) {
		if (flow->requests < flow->limit) {
			request_send(flow, false);
			return;
		}
		client_send(flow, ACK | FIN, flow->sequence, flow->received, "",
			    0);
		flow_end(flow, FLOW_CLOSED, "closed");
	}
}

static void on_tick(void *argument)
{
	uint64_t now = now_ms();

	for (int i = 0; i < flow_count; i++) {
		if (flows[i].state == FLOW_OPENING)
			opening_tick(&flows[i], now);
		else if (flows[i].state == FLOW_OPEN)
			open_tick(&flows[i], now);
	}
	endpoints_tick();
	timer_add(TICK_MS, on_tick, argument);
}

void endpoints_prepare(void)
{
	timer_add(TICK_MS, on_tick, NULL);
}
