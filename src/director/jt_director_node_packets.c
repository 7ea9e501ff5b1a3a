/* Passes events to the decision library and carries out the resulting
 * actions. */
#include "jt_director_log.h"
#include "jt_director_node_private.h"
#include "jt_flow_lookup.h"
#include "jt_net.h"
#include "jt_routing.h"
#include "jt_timer.h"

#include <string.h>
#include <sys/socket.h>

enum {
	PACKET_BATCH = 64, /* datagrams read before other events are handled */
	HELD_LIMIT = 1024, /* packets held at once */
};

/* Actions */

static void datagram_send(struct jt_director_node *node,
			  struct jt_address address, const uint8_t *data,
			  size_t length)
{
	struct sockaddr_in name;

	jt_address_to_socket(address, &name);
	if (sendto(node->data_fd, data, length, MSG_DONTWAIT,
		   (struct sockaddr *)&name, sizeof(name)) < 0)
		node->traffic.send_failed++;
}

/* Copies the id of the request that begins in the current packet; "" if there
 * is none. */
static void packet_request_id(const struct jt_director_node *node,
			      char request[JT_REQUEST_ID_SIZE])
{
	request[0] = '\0';
	node->environment->codec->request_id(node->buffer + JT_HEADROOM_MAX,
					     node->packet_length, request,
					     JT_REQUEST_ID_SIZE);
}

static void log_request(const struct jt_director_node *node,
			const struct jt_director_action *action)
{
	char request[JT_REQUEST_ID_SIZE];

	packet_request_id(node, request);
	if (request[0] != '\0')
		jt_director_log_request(node->log, action, request,
					node->event_ms);
}

static void act_forward(struct jt_director_node *node,
			const struct jt_director_action *action)
{
	uint8_t *packet = node->buffer + JT_HEADROOM_MAX;
	size_t prefix_length = node->environment->codec->wrap(
		packet, action->endpoint_id, action->label);

	datagram_send(node, action->address, packet - prefix_length,
		      node->packet_length + prefix_length);
	node->traffic.forwarded++;
	log_request(node, action);
}

static void act_reset(struct jt_director_node *node,
		      const struct jt_director_action *action)
{
	uint8_t reset[JT_RESET_MAX];
	size_t length = node->environment->codec->reset(
		&action->key, action->reset_sequence, reset);

	datagram_send(node,
		      node->environment->codec->caller(&action->key,
						       node->settings->data),
		      reset, length);
	node->traffic.resets++;
}

static void act_identify(struct jt_director_node *node,
			 const struct jt_director_action *action)
{
	const struct jt_routed_service *service = jt_routing_service(
		jt_director_routing(node->director), action->service_id);

	jt_endpoint_probes_identify(node->probes, action->endpoint_id,
				    action->start_time_ms, action->address,
				    service ? service->health_path : "/");
}

static void act_hold(struct jt_director_node *node)
{
	struct held_packet *held;

	if (node->held_count >= HELD_LIMIT) {
		node->traffic.held_overflow++;
		return;
	}
	held = talloc_size(node, sizeof(*held) + node->packet_length);
	if (held == NULL)
		return;
	held->length = node->packet_length;
	held->since_ms =
		node->held_since_ms != 0 ? node->held_since_ms : node->event_ms;
	memcpy(held->data, node->buffer + JT_HEADROOM_MAX, held->length);
	STAILQ_INSERT_TAIL(&node->held, held, next);
	node->held_count++;
}

static void log_flow(const struct jt_director_node *node,
		     const struct jt_director_action *action)
{
	char request[JT_REQUEST_ID_SIZE] = "";

	/* A reset may concern another flow than the current packet. */
	if (action->kind != JT_DIRECTOR_RESET)
		packet_request_id(node, request);
	jt_director_log_flow(node->log, action, request, node->event_ms);
}

/* Returns true if the decision is logged. Packets that follow their label are
 * not, and a held packet is logged only once. */
static bool is_logged(const struct jt_director_node *node,
		      const struct jt_director_action *action)
{
	if (action->kind == JT_DIRECTOR_HOLD)
		return node->held_since_ms == 0;
	return action->reason != JT_DIRECTOR_LABELLED;
}

static void act_failures(struct jt_director_node *node)
{
	struct jt_endpoint_failure failures[JT_FAILURE_LIMIT];
	size_t peers;
	size_t count = jt_director_failures(node->director, node->event_ms,
					    failures, &peers);

	if (count > 0)
		jt_peer_exchange_failures_send(node->peers, failures, count,
					       peers);
}

/* Looks up a flow at peers. A running timer is not restarted, so that repeated
 * lookups don't delay the retry of held packets. */
static void act_flow_lookup(struct jt_director_node *node,
			    const struct jt_director_action *action)
{
	size_t peers = jt_peer_exchange_flow_lookup_send(
		node->peers, &action->key, action->first_sequence);

	jt_director_flow_lookup_sent(node->director, &action->key, peers,
				     node->event_ms);
	if (node->lookup_pending) {
		node->lookup_again = true;
		return;
	}
	node->lookup_pending = true;
	jt_timer_set(node->lookup_timer, peers > 0 ? JT_FLOW_LOOKUP_MS : 0);
}

static void node_act(struct jt_director_node *node,
		     const struct jt_director_action *action)
{
	switch (action->kind) {
	case JT_DIRECTOR_FORWARD:
	case JT_DIRECTOR_RESET:
	case JT_DIRECTOR_HOLD:
	case JT_DIRECTOR_DROP:
		if (is_logged(node, action))
			log_flow(node, action);
		break;
	default:
		break;
	}
	switch (action->kind) {
	case JT_DIRECTOR_FORWARD:
		act_forward(node, action);
		break;
	case JT_DIRECTOR_RESET:
		act_reset(node, action);
		break;
	case JT_DIRECTOR_PROBE:
		jt_endpoint_probes_connect(node->probes, action->endpoint_id,
					   action->start_time_ms,
					   action->address);
		break;
	case JT_DIRECTOR_IDENTIFY:
		act_identify(node, action);
		break;
	case JT_DIRECTOR_DEATH_REPORT:
		jt_director_log_endpoint(node->log, action, "endpoint_dead");
		if (!action->peers_know)
			jt_peer_exchange_suspicion_send(
				node->peers, JT_WIRE_DECLARED_DEAD,
				action->endpoint_id, action->start_time_ms);
		break;
	case JT_DIRECTOR_OVERDUE_REPORT:
		jt_director_log_endpoint(node->log, action, "endpoint_failing");
		jt_peer_exchange_suspicion_send(
			node->peers, JT_WIRE_RESPONSES_OVERDUE,
			action->endpoint_id, action->start_time_ms);
		break;
	case JT_DIRECTOR_FAILURES:
		act_failures(node);
		break;
	case JT_DIRECTOR_SHARE_REDUCED:
		jt_director_log_share(node->log, action, "share_reduced",
				      node->event_ms);
		break;
	case JT_DIRECTOR_SHARE_RESTORED:
		jt_director_log_share(node->log, action, "share_restored",
				      node->event_ms);
		break;
	case JT_DIRECTOR_REVIVED:
		jt_director_log_endpoint(node->log, action, "endpoint_back");
		break;
	case JT_DIRECTOR_RESTARTED:
		jt_director_log_endpoint(node->log, action,
					 "endpoint_restarted");
		break;
	case JT_DIRECTOR_STATE_CHANGED:
		/* A full listing is logged in one line. */
		if (jt_director_started(node->director))
			jt_director_log_endpoint(node->log, action,
						 "endpoint_state");
		break;
	case JT_DIRECTOR_ZONE_DRAINED:
	case JT_DIRECTOR_ZONE_RESTORED:
		jt_director_log_zone(node->log, action);
		break;
	case JT_DIRECTOR_SERVICE_FULL:
	case JT_DIRECTOR_SERVICE_FREE:
		jt_director_log_admission(node->log, action);
		break;
	case JT_DIRECTOR_HOLD:
		act_hold(node);
		break;
	case JT_DIRECTOR_FLOW_LOOKUP:
		act_flow_lookup(node, action);
		break;
	case JT_DIRECTOR_DROP:
		break;
	}
}

void jt_director_node_event_handle(struct jt_director_node *node,
				   struct jt_director_event *event)
{
	event->now_ms = jt_clock_ms();
	node->event_ms = event->now_ms;
	jt_director_handle(node->director, event, node->actions);
	for (size_t i = 0; i < node->actions->count; i++)
		node_act(node, &node->actions->items[i]);
	jt_director_actions_clear(node->actions);
}

/* Packets */

/* Returns how long the current packet was held, at least 1: 0 means a new
 * packet. */
static uint32_t held_ms(const struct jt_director_node *node)
{
	uint64_t held_ms = jt_clock_ms() - node->held_since_ms;

	return held_ms > 0 ? (uint32_t)held_ms : 1;
}

static void packet_handle(struct jt_director_node *node, size_t length)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_PACKET};

	if (!node->environment->codec->parse(node->buffer + JT_HEADROOM_MAX,
					     length, &event.u.packet)) {
		node->traffic.malformed++;
		return;
	}
	if (node->held_since_ms != 0)
		event.u.packet.held_ms = held_ms(node);
	node->packet_length = length;
	jt_director_node_event_handle(node, &event);
	/* A held packet doesn't show that routers still send to this node. */
	if (node->held_since_ms == 0)
		jt_leave_packet(&node->leave, event.now_ms);
}

/* Retries a held packet. If it is held again, it keeps its original time. */
static void held_packet_retry(struct jt_director_node *node,
			      const struct held_packet *held)
{
	memcpy(node->buffer + JT_HEADROOM_MAX, held->data, held->length);
	node->held_since_ms = held->since_ms;
	packet_handle(node, held->length);
	node->held_since_ms = 0;
}

/* Retries each held packet once if the node accepts new flows. */
void jt_director_node_held_retry(struct jt_director_node *node)
{
	size_t count = node->held_count;

	if (!jt_director_accepts_flows(node->director))
		return;
	for (; count > 0; count--) {
		struct held_packet *held = STAILQ_FIRST(&node->held);

		STAILQ_REMOVE_HEAD(&node->held, next);
		node->held_count--;
		held_packet_retry(node, held);
		talloc_free(held);
	}
}

void jt_director_node_on_packets(struct tevent_context *loop,
				 struct tevent_fd *fd, uint16_t flags,
				 void *private_data)
{
	struct jt_director_node *node = private_data;

	(void)loop;
	(void)fd;
	(void)flags;
	for (int i = 0; i < PACKET_BATCH; i++) {
		ssize_t length =
			recv(node->data_fd, node->buffer + JT_HEADROOM_MAX,
			     JT_DATAGRAM_MAX, MSG_DONTWAIT);

		if (length < 0)
			return;
		node->traffic.received++;
		packet_handle(node, (size_t)length);
	}
}

/* Readiness */

static bool node_ready(const struct jt_director_node *node)
{
	return node->leave.stage <= JT_LEAVE_WAITS &&
	       jt_director_started(node->director);
}

void jt_director_node_ready_update(struct jt_director_node *node)
{
	bool ready = node_ready(node);

	if (ready == node->was_ready)
		return;
	node->was_ready = ready;
	node->ready_reported = false;
	jt_log_line(node->log, LOG_NOTICE, "event=%s",
		    ready ? "ready" : "not_ready");
}

void jt_director_node_progress_update(struct jt_director_node *node)
{
	jt_director_node_ready_update(node);
	jt_director_node_held_retry(node);
}
