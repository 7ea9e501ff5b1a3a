/* Clients: open flows, send requests and check every response. */
#include "soak.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	OPEN_FLOWS_MAX = 14, /* open flows of one client */
	FIRST_PORT = 10000,
	RETRY_1_MS = 200,
	RETRY_2_MS = 600,
	GIVE_UP_MS = 1400,
	DEADLINE_MS = 2500,
	RESEND_MIN_MS = 200,
	PAUSE_MAX_MS = 1500,
	REQUESTS_PER_FLOW = 8,
	/* One in this many flows is used until its endpoint ends it. */
	LONG_LIVED_ONE_IN = 4,
	FLOW_GAP_MAX_MS = 40, /* between new flows of a client */
	FIRST_SEQUENCE = 1000,
};

enum flow_state {
	FLOW_UNUSED,
	FLOW_OPENING,
	FLOW_WAITING,
	FLOW_IDLE,
	FLOW_CLOSED
};

struct caller_flow {
	enum flow_state state;
	uint16_t route_port;
	uint64_t first_ms; /* time of the first packet */
	uint64_t sent_ms;  /* time of the last packet */
	uint64_t due_ms;
	uint64_t deadline_ms;
	uint32_t resend_ms;
	unsigned attempts;
	unsigned packets;	/* sent so far, lost ones included */
	unsigned request_count; /* requests sent so far */
	int node;		/* that the last packet was sent to, -1: none */
	int endpoint;		/* at which it is open, -1: none */
	int accepted_by; /* endpoint that accepted its first packet, or -1 */
	bool duplicated; /* another endpoint accepted a copy of it */
	uint32_t label, sequence, acknowledged;
	unsigned request;
	bool request_ran;
	unsigned requests_left;
};

struct caller {
	struct soak *soak;
	uint32_t ip;
	uint32_t zone;
	int fd;
	unsigned next;
	unsigned open;
	uint64_t next_ms; /* earliest start of the next flow */
	struct caller_flow flows[SOAK_FLOWS];
};

struct soak_callers {
	struct caller callers[SOAK_CALLERS];
};

static struct caller *caller_find(const struct soak *soak, uint32_t ip)
{
	uint32_t index = ip - soak_address(soak, SOAK_CALLER_NET) - 2;

	return index < SOAK_CALLERS ? &soak->callers->callers[index] : NULL;
}

/* Returns the flow's key for random draws. */
static uint64_t flow_draw_id(const struct caller *caller,
			     const struct caller_flow *flow)
{
	uint64_t index = (uint64_t)(caller - caller->soak->callers->callers);

	return index * SOAK_FLOWS + (uint64_t)(flow - caller->flows);
}

static struct caller_flow *flow_find(const struct soak *soak, uint32_t ip,
				     uint16_t port)
{
	struct caller *caller = caller_find(soak, ip);
	int index = port - FIRST_PORT;

	if (caller == NULL || index < 0 || index >= (int)caller->next)
		return NULL;
	return &caller->flows[index];
}

int soak_flow_endpoint(const struct soak *soak, uint32_t ip, uint16_t port)
{
	const struct caller_flow *flow = flow_find(soak, ip, port);

	if (flow == NULL || flow->state == FLOW_CLOSED || flow->endpoint < 0 ||
	    flow->duplicated ||
	    soak->endpoints[flow->endpoint].state == SOAK_ENDED)
		return -1;
	return flow->endpoint;
}

void soak_flow_opened(struct soak *soak, uint32_t ip, uint16_t port,
		      int endpoint)
{
	struct caller_flow *flow = flow_find(soak, ip, port);

	if (flow != NULL)
		flow->endpoint = endpoint;
}

void soak_flow_accepted(struct soak *soak, uint32_t ip, uint16_t port,
			int endpoint)
{
	struct caller_flow *flow = flow_find(soak, ip, port);

	if (flow == NULL)
		return;
	if (flow->accepted_by >= 0)
		flow->duplicated = soak_check_second_endpoint(
					   soak, flow->accepted_by, endpoint,
					   ip, port, flow->first_ms) ||
				   flow->duplicated;
	flow->accepted_by = endpoint;
}

bool soak_flow_request_ran(struct soak *soak, uint32_t ip, uint16_t port,
			   unsigned request)
{
	struct caller_flow *flow = flow_find(soak, ip, port);
	bool first;

	if (flow == NULL || flow->request != request)
		return false;
	first = !flow->request_ran;
	flow->request_ran = true;
	return first;
}

bool soak_flow_first_sent(const struct soak *soak, uint32_t ip, uint16_t port,
			  uint64_t *sent_ms)
{
	const struct caller_flow *flow = flow_find(soak, ip, port);

	if (flow == NULL)
		return false;
	*sent_ms = flow->first_ms;
	return true;
}

/* Outgoing packets */

/* Returns the node that routers pick for a packet of the flow. */
static int route(const struct caller *caller, const struct caller_flow *flow,
		 uint16_t port)
{
	const struct soak *soak = caller->soak;

	if (soak->flows_sticky && flow->endpoint >= 0 && flow->node >= 0 &&
	    soak->nodes[flow->node].pid != 0)
		return flow->node;
	return soak_node_route(soak, caller->zone, caller->ip << 16 | port);
}

static void packet_send(struct caller *caller, struct caller_flow *flow,
			uint8_t flags, uint32_t acknowledged, const char *text)
{
	struct soak *soak = caller->soak;
	uint16_t port = (uint16_t)(FIRST_PORT + (flow - caller->flows));
	struct soak_packet packet = {
		.source = caller->ip,
		.destination = SOAK_ROUTE_IP,
		.source_port = port,
		.destination_port = flow->route_port,
		.label = flags & SOAK_SYN ? 0 : flow->label,
		.checksum = 1,
		.sequence = flow->sequence,
		.acknowledged = acknowledged,
		.flags = flags,
	};
	uint8_t data[SOAK_HEADER_SIZE + sizeof(packet.data)];
	struct soak_datagram datagram = {
		.fd = caller->fd,
		.data = data,
		.flow_id = flow_draw_id(caller, flow),
		.number = flow->packets++,
	};

	if (text != NULL) {
		packet.length = strlen(text);
		memcpy(packet.data, text, packet.length);
	}
	flow->node = route(caller, flow, port);
	flow->sent_ms = jt_clock_ms();
	datagram.to = soak_node_address(soak, flow->node, SOAK_PACKET_PORT);
	datagram.length = soak_packet_encode(&packet, data);
	soak_network_send(soak, &datagram);
}

/* Flows */

static void flow_end(struct caller *caller, struct caller_flow *flow)
{
	flow->state = FLOW_CLOSED;
	caller->open--;
}

static void flow_failed(struct caller *caller, struct caller_flow *flow)
{
	caller->soak->failed++;
	flow_end(caller, flow);
}

static void request_send(struct caller *caller, struct caller_flow *flow)
{
	char text[128];

	snprintf(text, sizeof(text),
		 "GET /%u HTTP/1.1\r\nHost: x\r\nRequest-Id: soak-%u\r\n\r\n",
		 flow->request, flow->request);
	packet_send(caller, flow, SOAK_ACK, flow->acknowledged, text);
	flow->due_ms = jt_clock_ms() + flow->resend_ms;
}

static void request_begin(struct caller *caller, struct caller_flow *flow)
{
	flow->state = FLOW_WAITING;
	flow->request =
		(unsigned)(flow_draw_id(caller, flow) * SOAK_FLOW_REQUESTS +
			   flow->request_count++);
	flow->request_ran = false;
	flow->resend_ms = RESEND_MIN_MS;
	flow->deadline_ms = jt_clock_ms() + DEADLINE_MS;
	flow->requests_left--;
	caller->soak->requests++;
	if (caller->soak->faults_ended_ms != 0 &&
	    jt_clock_ms() > caller->soak->faults_ended_ms + SOAK_RECOVERY_MS)
		caller->soak->recovered_requests++;
	request_send(caller, flow);
}

static void first_send(struct caller *caller, struct caller_flow *flow)
{
	static const uint32_t retry_ms[] = {RETRY_1_MS, RETRY_2_MS, GIVE_UP_MS};

	packet_send(caller, flow, SOAK_SYN, flow->attempts, NULL);
	flow->due_ms = flow->first_ms + retry_ms[flow->attempts];
	flow->attempts++;
}

/* Returns how many requests the client sends on the flow if it stays open. */
static unsigned draw_request_count(const struct soak *soak, uint64_t id)
{
	uint64_t draw = soak_draw(soak, SOAK_DRAW_FLOW_REQUESTS, id, 0,
				  REQUESTS_PER_FLOW * LONG_LIVED_ONE_IN);

	if (draw % LONG_LIVED_ONE_IN == 0)
		return SOAK_FLOW_REQUESTS;
	return 1 + (unsigned)(draw / LONG_LIVED_ONE_IN);
}

static void flow_begin(struct caller *caller)
{
	struct soak *soak = caller->soak;
	struct caller_flow *flow = &caller->flows[caller->next];
	uint64_t id = flow_draw_id(caller, flow);

	if (caller->next == SOAK_FLOWS)
		return;
	caller->next++;
	caller->open++;
	*flow = (struct caller_flow){
		.state = FLOW_OPENING,
		.route_port =
			soak_draw(soak, SOAK_DRAW_FLOW_ROUTE, id, 0, 2) == 0
				? SOAK_STEADY_PORT
				: SOAK_SWITCH_PORT,
		.first_ms = jt_clock_ms(),
		.node = -1,
		.endpoint = -1,
		.accepted_by = -1,
		.sequence = FIRST_SEQUENCE,
		.requests_left = draw_request_count(soak, id),
	};
	caller->next_ms = flow->first_ms + soak_draw(soak, SOAK_DRAW_FLOW_GAP,
						     id, 0, FLOW_GAP_MAX_MS);
	first_send(caller, flow);
}

static void flow_tick(struct caller *caller, struct caller_flow *flow,
		      uint64_t now_ms)
{
	if (now_ms < flow->due_ms)
		return;
	switch (flow->state) {
	case FLOW_OPENING:
		if (flow->attempts < 3)
			first_send(caller, flow);
		else
			flow_failed(caller, flow);
		break;
	case FLOW_WAITING:
		if (now_ms >= flow->deadline_ms) {
			flow_failed(caller, flow);
			break;
		}
		flow->resend_ms *= 2;
		request_send(caller, flow);
		break;
	case FLOW_IDLE:
		if (flow->requests_left > 0) {
			request_begin(caller, flow);
			break;
		}
		packet_send(caller, flow, SOAK_ACK | SOAK_FIN,
			    flow->acknowledged, NULL);
		flow_end(caller, flow);
		break;
	default:
		break;
	}
}

/* Incoming packets */

static void receive_reset(struct caller *caller, struct caller_flow *flow,
			  const struct soak_packet *packet, int node)
{
	struct soak *soak = caller->soak;

	if (packet->checksum == 0) {
		int32_t distance =
			(int32_t)(packet->sequence - flow->acknowledged);

		if (flow->state == FLOW_OPENING) {
			soak_check_refused(soak, node, flow->route_port,
					   flow->first_ms);
		} else if (distance < -76800 || distance > 76800) {
			return;
		} else if (flow->endpoint >= 0 && !flow->duplicated) {
			soak_check_reset(soak, node, flow->endpoint, caller->ip,
					 packet->destination_port);
		}
	}
	flow_failed(caller, flow);
}

static void receive_response(struct caller *caller, struct caller_flow *flow,
			     const struct soak_packet *packet)
{
	struct soak *soak = caller->soak;
	unsigned request = 0;
	const char *seal = strstr(packet->data, "Server-Seal: ");

	if (packet->sequence != flow->acknowledged)
		return; /* a duplicate response */
	if (seal == NULL || sscanf(seal, "Server-Seal: %u", &request) != 1 ||
	    request != flow->request) {
		soak_guarantee_violated(soak, "MIXED",
					"request %u got the response of %u",
					flow->request, request);
		return;
	}
	soak->answered++;
	if (soak->faults_ended_ms != 0 &&
	    flow->deadline_ms - DEADLINE_MS >
		    soak->faults_ended_ms + SOAK_RECOVERY_MS)
		soak->recovered_answered++;
	flow->acknowledged += (uint32_t)packet->length;
	flow->sequence = packet->acknowledged;
	flow->state = FLOW_IDLE;
	flow->due_ms = jt_clock_ms() + 1 +
		       soak_draw(soak, SOAK_DRAW_FLOW_PAUSE, flow->request, 0,
				 PAUSE_MAX_MS);
	if (packet->flags & SOAK_FIN) {
		flow->requests_left = 0;
		flow->due_ms = 0;
	}
	packet_send(caller, flow, SOAK_ACK, flow->acknowledged, NULL);
}

static void receive_syn_ack(struct caller *caller, struct caller_flow *flow,
			    const struct soak_packet *packet)
{
	flow->label = packet->label;
	if (flow->state != FLOW_OPENING)
		return;
	flow->sequence++;
	flow->acknowledged = packet->sequence + 1;
	request_begin(caller, flow);
}

static void on_packet(struct tevent_context *loop, struct tevent_fd *event,
		      uint16_t flags, void *private_data)
{
	struct caller *caller = private_data;
	uint8_t data[2048];
	struct sockaddr_in name;
	socklen_t size = sizeof(name);
	ssize_t length = recvfrom(caller->fd, data, sizeof(data), MSG_DONTWAIT,
				  (struct sockaddr *)&name, &size);
	struct soak_packet packet;
	struct caller_flow *flow;

	(void)loop;
	(void)event;
	(void)flags;
	if (length < 0 || !soak_packet_decode(data, (size_t)length, &packet))
		return;
	flow = flow_find(caller->soak, packet.destination,
			 packet.destination_port);
	if (flow == NULL || flow->state == FLOW_CLOSED ||
	    flow->state == FLOW_UNUSED)
		return;
	if (packet.flags & SOAK_RST) {
		receive_reset(
			caller, flow, &packet,
			soak_node_by_ip(caller->soak,
					jt_address_from_socket(&name).ip));
	} else if (packet.flags & SOAK_SYN) {
		receive_syn_ack(caller, flow, &packet);
	} else if (packet.length > 0 && flow->state == FLOW_WAITING) {
		flow->label = packet.label;
		receive_response(caller, flow, &packet);
	}
}

void soak_callers_tick(struct soak *soak)
{
	uint64_t now_ms = jt_clock_ms();

	for (int i = 0; i < SOAK_CALLERS; i++) {
		struct caller *caller = &soak->callers->callers[i];

		for (unsigned f = 0; f < caller->next; f++)
			flow_tick(caller, &caller->flows[f], now_ms);
		if (caller->open < OPEN_FLOWS_MAX && now_ms >= caller->next_ms)
			flow_begin(caller);
	}
}

void soak_callers_create(struct soak *soak)
{
	soak->callers = talloc_zero(soak, struct soak_callers);
	for (uint32_t i = 0; i < SOAK_CALLERS; i++) {
		struct caller *caller = &soak->callers->callers[i];

		caller->soak = soak;
		caller->ip = soak_address(soak, SOAK_CALLER_NET) + 2 + i;
		caller->zone = i % SOAK_ZONES;
		caller->fd = jt_udp_open(
			(struct jt_address){caller->ip, SOAK_PACKET_PORT},
			false);
		if (caller->fd < 0)
			soak_fatal(soak, "client");
		tevent_add_fd(soak->loop, soak->callers, caller->fd,
			      TEVENT_FD_READ, on_packet, caller);
	}
}
