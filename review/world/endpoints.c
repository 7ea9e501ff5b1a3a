/* Endpoints: their entries, health pages, flows and requests. */
#include "world.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	RESEND_MS = 200,
	RESEND_MAX_MS = 1600,
	RESENDS = 8,
	TICK_MS = 5,
	LAPSE_BEATS = 3,
};

struct endpoint endpoints[ENDPOINT_LIMIT];
int endpoint_count;

/* Entries */

void endpoint_key(int index, char *text, size_t size)
{
	snprintf(text, size, "servers/i-%llx",
		 (unsigned long long)endpoints[index].id);
}

void endpoint_document(int index, char *text, size_t size)
{
	const struct endpoint *endpoint = &endpoints[index];
	uint64_t age_ms = now_ms() - endpoint->started_ms;
	uint64_t cold_left_ms =
		age_ms < endpoint->cold_ms ? endpoint->cold_ms - age_ms : 0;

	snprintf(text, size,
		 "{\"service\":\"%s\",\"address\":\"%u.%u.%u.%u:%d\","
		 "\"zone\":\"%s\",\"version\":\"v1\",\"capacity\":%d,"
		 "\"state\":\"%s\",\"coldLeftMs\":%llu,\"callCount\":%u}",
		 service_names[endpoint->service], endpoint->ip >> 24,
		 endpoint->ip >> 16 & 255, endpoint->ip >> 8 & 255,
		 endpoint->ip & 255, ENDPOINT_PORT, zone_names[endpoint->zone],
		 SLOTS, endpoint->draining ? "draining" : "ready",
		 (unsigned long long)cold_left_ms, endpoint->calls);
}

void endpoint_beat(int index)
{
	struct endpoint *endpoint = &endpoints[index];
	bool cold = now_ms() - endpoint->started_ms <
		    endpoint->cold_ms + 2 * HEARTBEAT_MS;
	char key[64], text[512];

	endpoint->last_beat_ms = now_ms();
	endpoint_key(index, key, sizeof(key));
	/* The entry changes only with a field other than callCount. */
	if (store_has(key) && !cold)
		return;
	endpoint_document(index, text, sizeof(text));
	store_put(key, text);
}

/* Health page */

static void on_connection(int fd, short events, void *argument)
{
	struct endpoint *endpoint = argument;
	char request[1024], answer[256];
	int accepted;

	(void)events;
	if (!endpoint->accepting)
		return;
	accepted = accept4(fd, NULL, NULL, SOCK_CLOEXEC);
	if (accepted < 0)
		return;
	usleep(1000);
	if (recv(accepted, request, sizeof(request), MSG_DONTWAIT) > 0) {
		snprintf(answer, sizeof(answer),
			 "HTTP/1.1 200 OK\r\nInstance-Id: i-%llx\r\n"
			 "Content-Length: 0\r\nConnection: close\r\n\r\n",
			 (unsigned long long)endpoint->id);
		(void)send(accepted, answer, strlen(answer), MSG_NOSIGNAL);
	}
	close(accepted);
}

/* Flows */

static struct flow_end *end_find(struct flow *flow, int endpoint)
{
	for (int i = 0; i < ENDS; i++) {
		if (flow->ends[i].endpoint == endpoint)
			return &flow->ends[i];
	}
	return NULL;
}

int flow_holder(const struct flow *flow)
{
	for (int i = 0; i < ENDS; i++) {
		if (flow->ends[i].endpoint >= 0 && flow->ends[i].open &&
		    !flow->ends[i].closed)
			return flow->ends[i].endpoint;
	}
	return -1;
}

void endpoint_send(struct flow *flow, struct flow_end *end, uint8_t flags,
		   const char *data, uint16_t length)
{
	const struct endpoint *endpoint = &endpoints[end->endpoint];
	struct packet packet = {
		.source = flow->route.ip,
		.source_port = flow->route.port,
		.destination = client_ip(flow->client),
		.destination_port = flow->port,
		.label = end->label,
		.sequence = end->sequence,
		.acknowledged = end->expected,
		.flags = flags,
		.length = length,
	};
	uint8_t bytes[HEADER + DATA_MAX];
	struct sockaddr_in to;

	memcpy(packet.data, data, length);
	world_address(client_ip(flow->client), DATA_PORT, &to);
	(void)sendto(endpoint->udp, bytes, packet_encode(&packet, bytes), 0,
		     (struct sockaddr *)&to, sizeof(to));
}

/* Answers a packet of a flow that the endpoint does not hold. */
static void reset_send(const struct endpoint *endpoint,
		       const struct packet *packet, uint32_t client)
{
	struct packet reset = {
		.source = packet->destination,
		.source_port = packet->destination_port,
		.destination = packet->source,
		.destination_port = packet->source_port,
		.sequence = packet->acknowledged,
		.flags = RST,
	};
	uint8_t bytes[HEADER + DATA_MAX];
	struct sockaddr_in to;

	world_address(client, DATA_PORT, &to);
	(void)sendto(endpoint->udp, bytes, packet_encode(&reset, bytes), 0,
		     (struct sockaddr *)&to, sizeof(to));
}

static void work_start(int index, int number, struct flow_end *end)
{
	struct endpoint *endpoint = &endpoints[index];

	endpoint->working++;
	end->working = true;
	end->queued = false;
	end->work_end_ms = now_ms() + endpoint->work_ms;
	record("endpoint %llx: runs request %u of flow %d",
	       (unsigned long long)endpoint->id, end->request_id, number);
}

static void request_take(int index, int number, struct flow_end *end,
			 const struct packet *packet)
{
	struct endpoint *endpoint = &endpoints[index];
	const char *id = strstr(packet->data, "Request-Id: ");

	end->expected += packet->length;
	end->request_id = id != NULL ? (uint32_t)atoi(id + 12) : 0;
	endpoint->calls++;
	if (endpoint->working < SLOTS) {
		work_start(index, number, end);
	} else if (endpoint->queued < QUEUE) {
		endpoint->queue[endpoint->queued++] = number;
		end->queued = true;
	} else {
		end->response_length = (uint16_t)snprintf(
			end->response, sizeof(end->response),
			"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n"
			"Request-Id: %u\r\nContent-Length: 0\r\n\r\n",
			end->request_id);
		end->sent_ms = now_ms();
		end->wait_ms = RESEND_MS;
		end->tries = 0;
		endpoint_send(&flows[number], end, ACK, end->response,
			      end->response_length);
	}
}

static void response_send(int index, int number, struct flow_end *end)
{
	struct endpoint *endpoint = &endpoints[index];

	endpoint->working--;
	end->working = false;
	end->response_length = (uint16_t)snprintf(
		end->response, sizeof(end->response),
		"HTTP/1.1 200 OK\r\nServer-Seal: %llx\r\nRequest-Id: %u\r\n"
		"Content-Length: 4\r\n\r\ndone",
		(unsigned long long)endpoint->id, end->request_id);
	end->sent_ms = now_ms();
	end->wait_ms = RESEND_MS;
	end->tries = 0;
	endpoint_send(&flows[number], end, ACK, end->response,
		      end->response_length);
	/* The longest waiting request gets the slot. */
	while (endpoint->queued > 0) {
		int next = endpoint->queue[0];
		struct flow_end *waiting = end_find(&flows[next], index);

		memmove(endpoint->queue, endpoint->queue + 1,
			sizeof(int) * (size_t)--endpoint->queued);
		if (waiting == NULL || waiting->closed)
			continue;
		work_start(index, next, waiting);
		return;
	}
}

static void syn_take(int index, int number, const struct packet *packet,
		     int node)
{
	struct flow *flow = &flows[number];
	struct flow_end *end = end_find(flow, index);

	if (end == NULL) {
		end = end_find(flow, -1);
		if (end == NULL)
			return;
		*end = (struct flow_end){.endpoint = index,
					 .sequence = draw(1u << 30),
					 .expected = packet->sequence + 1};
		on_syn_taken(number, index, node, flow->first_ms);
	}
	end->label = packet->label;
	endpoint_send(flow, end, SYN | ACK, "", 0);
}

static void established_take(int index, int number, struct flow_end *end,
			     const struct packet *packet)
{
	struct flow *flow = &flows[number];

	end->label = packet->label;
	if (!end->open) {
		if (packet->acknowledged != end->sequence + 1)
			return;
		end->open = true;
		end->sequence++;
		end->acknowledged = end->sequence;
		flow->opened_ms = now_ms();
	}
	if (end->response_length > 0 &&
	    packet->acknowledged == end->sequence + end->response_length) {
		end->sequence += end->response_length;
		end->response_length = 0;
	}
	if (packet->flags & FIN) {
		end->expected++;
		end->closed = true;
		endpoint_send(flow, end, ACK | FIN, "", 0);
		return;
	}
	if (packet->length == 0)
		return;
	end->packets++;
	if (packet->sequence == end->expected)
		request_take(index, number, end, packet);
	/* Every second packet is acknowledged. */
	if (end->packets % 2 == 0)
		endpoint_send(flow, end, ACK, "", 0);
}

static void on_datagram(int fd, short events, void *argument)
{
	struct endpoint *endpoint = argument;
	int index = (int)(endpoint - endpoints);
	uint8_t bytes[8 + HEADER + DATA_MAX + 1];
	struct sockaddr_in from;
	socklen_t size = sizeof(from);
	struct packet packet;
	struct flow_end *end;
	uint64_t meant = 0;
	int number, node;
	ssize_t length = recvfrom(fd, bytes, sizeof(bytes), 0,
				  (struct sockaddr *)&from, &size);

	(void)events;
	if (length < 8 ||
	    !packet_decode(bytes + 8, (size_t)length - 8, &packet))
		return;
	for (int i = 0; i < 8; i++)
		meant = meant << 8 | bytes[i];
	if (meant != 0 && meant != endpoint->id)
		return;
	node = node_by_ip(ntohl(from.sin_addr.s_addr));
	number = flow_find(packet.source, packet.source_port);
	if (number < 0 || !packet_sum_valid(&packet)) {
		record("UNASKED: a packet that no client wrote that way "
		       "reaches endpoint %llx from node %d",
		       (unsigned long long)endpoint->id, node);
		violations++;
		return;
	}
	flows[number].via = node;
	if (packet.flags & SYN) {
		syn_take(index, number, &packet, node);
		return;
	}
	end = end_find(&flows[number], index);
	if (end == NULL)
		reset_send(endpoint, &packet, packet.source);
	else if (!end->closed)
		established_take(index, number, end, &packet);
}

/* Lifecycle */

int endpoint_start(int service, int zone, unsigned host, uint32_t cold_ms,
		   int backlog)
{
	int index = endpoint_count++;
	struct endpoint *endpoint = &endpoints[index];

	if (index >= ENDPOINT_LIMIT)
		not_run("too many endpoints");
	*endpoint = (struct endpoint){
		.id = (uint64_t)(0x10 + draw(200)) << 32 | draw(1u << 31),
		.service = service,
		.zone = zone,
		.ip = world_ip(64, host),
		.alive = true,
		.beats = true,
		.accepting = true,
		.started_ms = now_ms(),
		.cold_ms = cold_ms,
		.work_ms = service == SERVICE_PLANILLA ? 25 : 5,
	};
	endpoint->udp = udp_open(endpoint->ip, ENDPOINT_PORT);
	endpoint->tcp = tcp_listen(endpoint->ip, ENDPOINT_PORT, backlog);
	if (endpoint->udp < 0 || endpoint->tcp < 0)
		not_run("an endpoint's address is taken");
	fd_watch(endpoint->udp, POLLIN, on_datagram, endpoint);
	fd_watch(endpoint->tcp, POLLIN, on_connection, endpoint);
	endpoint_beat(index);
	record("endpoint %llx of %s starts at address %u in %s",
	       (unsigned long long)endpoint->id, service_names[service], host,
	       zone_names[zone]);
	return index;
}

void endpoint_crash(int index)
{
	struct endpoint *endpoint = &endpoints[index];

	record("endpoint %llx crashes", (unsigned long long)endpoint->id);
	endpoint->alive = false;
	fd_unwatch(endpoint->udp);
	fd_unwatch(endpoint->tcp);
	close(endpoint->udp);
	close(endpoint->tcp);
	endpoint->udp = endpoint->tcp = -1;
	for (int i = 0; i < flow_count; i++) {
		struct flow_end *end = end_find(&flows[i], index);

		if (end != NULL)
			end->closed = true;
	}
}

/* Removes the entries of endpoints that have been silent for three
 * heartbeats. */
static void entries_lapse(void)
{
	for (int i = 0; i < endpoint_count; i++) {
		char key[64];

		if (now_ms() - endpoints[i].last_beat_ms <
		    LAPSE_BEATS * HEARTBEAT_MS)
			continue;
		endpoint_key(i, key, sizeof(key));
		if (!store_has(key))
			continue;
		store_put(key, NULL);
		record("store: the entry of endpoint %llx lapses",
		       (unsigned long long)endpoints[i].id);
	}
}

static void end_tick(int number, struct flow_end *end)
{
	uint64_t now = now_ms();

	if (end->working && now >= end->work_end_ms)
		response_send(end->endpoint, number, end);
	if (end->response_length == 0 || now - end->sent_ms < end->wait_ms)
		return;
	if (++end->tries > RESENDS) {
		end->closed = true;
		return;
	}
	end->sent_ms = now;
	end->wait_ms = end->wait_ms * 2 > RESEND_MAX_MS ? RESEND_MAX_MS
							: end->wait_ms * 2;
	endpoint_send(&flows[number], end, ACK, end->response,
		      end->response_length);
}

void endpoints_tick(void)
{
	for (int i = 0; i < endpoint_count; i++) {
		if (endpoints[i].alive && endpoints[i].beats &&
		    now_ms() - endpoints[i].last_beat_ms >= HEARTBEAT_MS)
			endpoint_beat(i);
	}
	entries_lapse();
	for (int i = 0; i < flow_count; i++) {
		for (int k = 0; k < ENDS; k++) {
			struct flow_end *end = &flows[i].ends[k];

			if (end->endpoint >= 0 && !end->closed &&
			    endpoints[end->endpoint].alive)
				end_tick(i, end);
		}
	}
}
