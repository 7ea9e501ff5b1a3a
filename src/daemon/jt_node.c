#include "jt_node.h"
#include "jt_net.h"
#include "jt_timer.h"

#include <errno.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	TICK_MS = 25,
	LEAVE_LIMIT_S = 15,  /* timeout of a leave that no peer confirms */
	HELD_LIMIT = 8192,   /* first packets waiting for replication */
	PEER_BATCH = 64,     /* datagrams per run of the event handler */
	CONTROL_BATCH = 256, /* queued packets per run of the handler */
	PEER_FRAME_MIN = 28,
};

struct jt_held_packet {
	struct jt_held_packet *next;
	uint64_t token;
	struct jt_parsed_packet parsed;
	size_t length;
	uint8_t data[];
};

/* Documents */

const struct jt_document *jt_node_find_document(const struct jt_node *node,
						uint64_t revision)
{
	return jt_document_cache_find(&node->documents, revision);
}

const struct jt_document *jt_node_newest_document(const struct jt_node *node)
{
	return jt_document_cache_newest(&node->documents);
}

/* Logs the endpoints that were left out of a document. */
static void rejected_log(const struct jt_node *node,
			 const struct jt_document *document)
{
	const struct jt_resource_rejected *rejected = &document->rejected;

	for (size_t i = 0; i < rejected->count; i++)
		jt_log_line(node->log, LOG_ERR,
			    "event=endpoint_rejected revision=%llu resource=%s "
			    "field=%s reason=\"%s\"",
			    (unsigned long long)document->revision,
			    rejected->errors[i].resource,
			    rejected->errors[i].field,
			    rejected->errors[i].reason);
	if (rejected->more > 0)
		jt_log_line(node->log, LOG_ERR,
			    "event=endpoints_rejected revision=%llu more=%zu",
			    (unsigned long long)document->revision,
			    rejected->more);
}

bool jt_node_add_document(struct jt_node *node, uint64_t revision,
			  const char *text)
{
	struct jt_event event = {.kind = JT_EVENT_CONFIG};
	struct jt_resource_error error;
	struct jt_document *document;

	if (jt_node_find_document(node, revision) != NULL)
		return true;
	document = jt_document_create(node, revision, text, &error);
	if (document == NULL)
		return false;
	if (document->config == NULL) {
		jt_log_line(node->log, LOG_ERR,
			    "event=config_rejected revision=%llu resource=%s "
			    "field=%s reason=\"%s\"",
			    (unsigned long long)revision, error.resource,
			    error.field, error.reason);
		talloc_free(document);
		return false;
	}
	rejected_log(node, document);
	event.u.config = document->config;
	jt_node_handle_event(node, &event);
	jt_document_cache_add(&node->documents, document);
	jt_log_line(node->log, LOG_INFO, "event=config_known revision=%llu",
		    (unsigned long long)revision);
	node->handler.changed(node->handler.private_data);
	return true;
}

/* Messages to peers */

static void peer_send(struct jt_node *node, struct jt_address to,
		      const jt_wire_message *message)
{
	static _Thread_local uint8_t frame[JT_FRAME_MAX];
	struct sockaddr_in name;
	size_t length = jt_codec_encode(&node->settings->keys, to,
					++node->sequence, message, frame);

	if (length == 0) {
		node->counters.peer_rejected[JT_CODEC_SIZE]++;
		return;
	}
	jt_address_to_socket(to, &name);
	(void)sendto(node->peer_fd, frame, length, MSG_DONTWAIT,
		     (struct sockaddr *)&name, sizeof(name));
	if (message->body.kind == JT_WIRE_RELAY) {
		node->counters.relay_bytes_sent += length;
		return;
	}
	node->counters.peer_messages_sent++;
	node->counters.peer_bytes_sent += length;
}

static void relay_send(struct jt_node *node, const struct jt_action *action,
		       const uint8_t *packet, size_t length)
{
	jt_wire_message message = {
		.from = jt_core_node_id(node->core),
		.body.kind = JT_WIRE_RELAY,
	};
	jt_wire_relay *relay = &message.body.jt_wire_body_u.relay;

	relay->hops = action->hops;
	relay->packet.packet_len = (u_int)length;
	relay->packet.packet_val = (char *)packet;
	peer_send(node, action->address, &message);
}

static void config_request_send(struct jt_node *node,
				const struct jt_action *action)
{
	jt_wire_message message = {
		.from = jt_core_node_id(node->core),
		.body.kind = JT_WIRE_CONFIG_REQUEST,
	};

	message.body.jt_wire_body_u.config_request.revision = action->revision;
	peer_send(node, action->address, &message);
}

static void config_reply(struct jt_node *node, struct jt_address to,
			 uint64_t revision)
{
	const struct jt_document *document =
		jt_node_find_document(node, revision);
	jt_wire_message message = {
		.from = jt_core_node_id(node->core),
		.body.kind = JT_WIRE_CONFIG,
	};
	jt_wire_config *config = &message.body.jt_wire_body_u.config;

	if (document == NULL)
		document = jt_node_newest_document(node);
	if (document == NULL)
		return;
	config->revision = document->revision;
	config->document.document_len = (u_int)strlen(document->text);
	config->document.document_val = document->text;
	peer_send(node, to, &message);
}

/* Actions */

static struct jt_held_packet **held_find(struct jt_node *node, uint64_t token)
{
	struct jt_held_packet **link = &node->held;

	while (*link != NULL && (*link)->token != token)
		link = &(*link)->next;
	return link;
}

static void packet_hold(struct jt_node *node)
{
	struct jt_held_packet *held;

	if (node->held_count >= HELD_LIMIT) {
		node->counters.held_overflow++;
		return;
	}
	held = talloc_size(node, sizeof(*held) + node->packet_length);
	if (held == NULL)
		return;
	held->token = node->packet_token;
	held->parsed = node->packet_parsed;
	held->length = node->packet_length;
	memcpy(held->data, node->packet, node->packet_length);
	held->next = node->held;
	node->held = held;
	node->held_count++;
}

static void packet_refuse(struct jt_node *node,
			  const struct jt_parsed_packet *parsed)
{
	uint8_t reset[JT_RESET_SIZE];
	size_t length = jt_packet_make_reset(parsed, reset);

	if (length == 0)
		return;
	node->counters.resets_sent++;
	jt_traffic_send(node->traffic, node->settings->caller_gateway, reset,
			length);
}

static void packet_execute(struct jt_node *node, const struct jt_action *action,
			   const struct jt_parsed_packet *parsed,
			   const uint8_t *packet, size_t length)
{
	switch (action->kind) {
	case JT_ACTION_FORWARD:
		jt_traffic_send(node->traffic, action->address, packet, length);
		break;
	case JT_ACTION_RELAY:
		relay_send(node, action, packet, length);
		break;
	case JT_ACTION_REFUSE:
		packet_refuse(node, parsed);
		break;
	default:
		break;
	}
}

static void packet_action(struct jt_node *node, const struct jt_action *action)
{
	struct jt_held_packet **link;
	struct jt_held_packet *held;

	if (action->token == node->packet_token && node->packet != NULL) {
		if (action->kind == JT_ACTION_HOLD)
			packet_hold(node);
		else
			packet_execute(node, action, &node->packet_parsed,
				       node->packet, node->packet_length);
		return;
	}
	link = held_find(node, action->token);
	held = *link;
	if (held == NULL)
		return;
	*link = held->next;
	node->held_count--;
	packet_execute(node, action, &held->parsed, held->data, held->length);
	talloc_free(held);
}

static void action_execute(struct jt_node *node, const struct jt_action *action)
{
	switch (action->kind) {
	case JT_ACTION_FORWARD:
	case JT_ACTION_RELAY:
	case JT_ACTION_REFUSE:
	case JT_ACTION_DROP:
	case JT_ACTION_HOLD:
		packet_action(node, action);
		break;
	case JT_ACTION_SEND:
		peer_send(node, action->address, action->message);
		break;
	case JT_ACTION_FETCH_CONFIG:
		config_request_send(node, action);
		break;
	case JT_ACTION_PUBLISH:
		node->publish_pending = true;
		break;
	case JT_ACTION_LEFT:
		node->left = true;
		break;
	case JT_ACTION_WITNESS:
		node->handler.witness(&action->witness,
				      node->handler.private_data);
		break;
	}
}

static void log_state(struct jt_node *node)
{
	const struct jt_cell_state *state = jt_core_state(node->core);

	if (state == NULL) {
		jt_log_line(node->log, LOG_NOTICE, "event=cell_left");
		return;
	}
	jt_log_line(node->log, LOG_INFO,
		    "event=epoch epoch=%llu members=%zu revision=%llu",
		    (unsigned long long)state->epoch, state->member_count,
		    (unsigned long long)state->config->revision);
}

static void tables_publish(struct jt_node *node)
{
	node->publish_pending = false;
	jt_traffic_publish(node->traffic, node->core);
	log_state(node);
	node->handler.changed(node->handler.private_data);
}

static void left_report(struct jt_node *node)
{
	if (node->left_reported)
		return;
	node->left_reported = true;
	node->handler.left(node->handler.private_data);
}

static void ready_update(struct jt_node *node)
{
	bool ready = jt_node_ready(node);

	if (ready == node->was_ready)
		return;
	node->was_ready = ready;
	jt_log_line(node->log, ready ? LOG_NOTICE : LOG_WARNING, "event=%s",
		    ready ? "ready" : "not_ready");
}

void jt_node_handle_event(struct jt_node *node, struct jt_event *event)
{
	event->now_ms = jt_clock_ms();
	jt_core_handle(node->core, event, node->actions);
	for (size_t i = 0; i < node->actions->count; i++)
		action_execute(node, &node->actions->items[i]);
	jt_actions_clear(node->actions);
	if (node->publish_pending)
		tables_publish(node);
	jt_traffic_set_lease(node->traffic, jt_core_lease_until(node->core));
	if (node->left)
		left_report(node);
}

/* Input */

static void packet_event(struct jt_node *node, enum jt_event_kind kind,
			 const uint8_t *packet, size_t length, uint8_t hops)
{
	struct jt_event event = {.kind = kind};
	struct jt_parsed_packet *parsed = &node->packet_parsed;

	if (jt_packet_parse(packet, length, parsed) != JT_PACKET_OK)
		return;
	node->packet = packet;
	node->packet_length = length;
	node->packet_token = ++node->next_token;
	event.u.packet.key = parsed->key;
	event.u.packet.tcp_flags = parsed->tcp_flags;
	event.u.packet.hops = hops;
	event.u.packet.token = node->packet_token;
	jt_node_handle_event(node, &event);
	node->packet = NULL;
}

static void on_wake(struct tevent_context *loop, struct tevent_fd *fd,
		    uint16_t flags, void *private_data)
{
	struct jt_node *node = private_data;
	struct jt_control_packet *packet;
	uint64_t value = 1;
	int handled = 0;

	(void)loop;
	(void)fd;
	(void)flags;
	(void)!read(node->wake_fd, &value, sizeof(value));
	while (handled < CONTROL_BATCH &&
	       (packet = jt_traffic_dequeue(node->traffic)) != NULL) {
		packet_event(node, JT_EVENT_PACKET, packet->data,
			     packet->length, 0);
		free(packet);
		handled++;
	}
	value = 1;
	if (handled == CONTROL_BATCH)
		(void)!write(node->wake_fd, &value, sizeof(value));
}

static void peer_message(struct jt_node *node, struct jt_address from,
			 const jt_wire_message *message)
{
	const jt_wire_body *body = &message->body;
	struct jt_event event = {.kind = JT_EVENT_MESSAGE};
	const jt_wire_relay *relay = &body->jt_wire_body_u.relay;
	const jt_wire_config *config = &body->jt_wire_body_u.config;
	char *text;

	switch (body->kind) {
	case JT_WIRE_RELAY:
		packet_event(node, JT_EVENT_RELAYED,
			     (const uint8_t *)relay->packet.packet_val,
			     relay->packet.packet_len,
			     (uint8_t)(relay->hops > 255 ? 255 : relay->hops));
		break;
	case JT_WIRE_CONFIG_REQUEST:
		config_reply(node, from,
			     body->jt_wire_body_u.config_request.revision);
		break;
	case JT_WIRE_CONFIG:
		text = talloc_strndup(node, config->document.document_val,
				      config->document.document_len);
		if (text != NULL)
			jt_node_add_document(node, config->revision, text);
		talloc_free(text);
		break;
	default:
		event.u.message = message;
		jt_node_handle_event(node, &event);
		break;
	}
}

static void peer_frame(struct jt_node *node, struct jt_address from,
		       const uint8_t *frame, size_t length)
{
	jt_wire_message message;
	enum jt_codec_error error;
	uint64_t sequence;

	node->counters.peer_bytes_received += length;
	error = jt_codec_decode(&node->settings->keys, node->settings->peer,
				frame, length, &sequence, &message);
	if (error != JT_CODEC_OK) {
		node->counters.peer_rejected[error]++;
		return;
	}
	if (jt_replay_table_accept(node->replay_table, message.from, sequence,
				   jt_clock_ms()))
		peer_message(node, from, &message);
	else
		node->counters.peer_rejected[JT_CODEC_REPLAY]++;
	jt_codec_free(&message);
}

static void on_peer(struct tevent_context *loop, struct tevent_fd *fd,
		    uint16_t flags, void *private_data)
{
	static _Thread_local uint8_t frame[JT_FRAME_MAX];
	struct jt_node *node = private_data;

	(void)loop;
	(void)fd;
	(void)flags;
	for (int i = 0; i < PEER_BATCH; i++) {
		struct sockaddr_in name;
		socklen_t size = sizeof(name);
		ssize_t length =
			recvfrom(node->peer_fd, frame, sizeof(frame),
				 MSG_DONTWAIT, (struct sockaddr *)&name, &size);

		if (length < 0)
			return;
		peer_frame(node, jt_address_from_socket(&name), frame,
			   (size_t)length);
	}
}

static void on_tick(void *private_data)
{
	struct jt_node *node = private_data;
	struct jt_event event = {.kind = JT_EVENT_TICK};

	jt_node_handle_event(node, &event);
	ready_update(node);
	node->handler.tick(node->handler.private_data);
	jt_timer_set(node->tick_timer, TICK_MS);
}

bool jt_node_ready(const struct jt_node *node)
{
	return !node->draining && jt_core_ready(node->core, jt_clock_ms());
}

/* Ends the leave if the cell has not confirmed it in time. */
static void on_leave_limit(void *private_data)
{
	struct jt_node *node = private_data;

	if (node->left_reported)
		return;
	jt_log_line(node->log, LOG_WARNING, "event=leave_unconfirmed");
	left_report(node);
}

static void on_leave(void *private_data)
{
	struct jt_event event = {.kind = JT_EVENT_LEAVE};

	jt_node_handle_event(private_data, &event);
}

void jt_node_leave(struct jt_node *node)
{
	uint32_t delay = node->settings->leave_delay_ms;

	if (node->draining)
		return;
	node->draining = true;
	jt_log_line(node->log, LOG_NOTICE, "event=leaving delay_ms=%u", delay);
	jt_timer_set(node->leave_timer, delay);
	jt_timer_set(node->leave_limit_timer, delay + LEAVE_LIMIT_S * 1000);
}

static int node_destructor(struct jt_node *node)
{
	if (node->peer_fd >= 0)
		close(node->peer_fd);
	return 0;
}

static struct jt_core *core_create(struct jt_node *node)
{
	const struct jt_settings *settings = node->settings;
	struct jt_core_options options;

	jt_core_options_init(&options);
	randombytes_buf(&options.node_id, sizeof(options.node_id));
	options.zone = jt_name_id(settings->zone);
	options.address = settings->peer;
	options.flow_limit = settings->flow_limit;
	return jt_core_create(node, &options);
}

static void seeds_submit(struct jt_node *node)
{
	struct jt_event event = {.kind = JT_EVENT_CANDIDATES};

	event.u.candidates.addresses = node->settings->seeds;
	event.u.candidates.count = node->settings->seed_count;
	jt_node_handle_event(node, &event);
}

struct jt_node *jt_node_create(TALLOC_CTX *mem_ctx, struct tevent_context *loop,
			       const struct jt_log *log,
			       struct jt_settings *settings,
			       const struct jt_node_handler *handler,
			       char **error)
{
	struct jt_node *node = talloc_zero(mem_ctx, struct jt_node);
	char text[JT_ADDRESS_TEXT_SIZE];

	node->loop = loop;
	node->handler = *handler;
	node->log = log;
	node->settings = talloc_steal(node, settings);
	node->peer_fd = -1;
	node->started_ms = jt_clock_ms();
	talloc_set_destructor(node, node_destructor);
	node->replay_table = jt_replay_table_create(node);
	node->core = core_create(node);
	node->actions = jt_actions_create(node);
	node->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	node->peer_fd = jt_udp_open(settings->peer, false);
	if (node->peer_fd < 0) {
		*error =
			talloc_asprintf(mem_ctx, "listen.peer %s: %s",
					jt_address_format(settings->peer, text),
					strerror(errno));
		goto fail;
	}
	node->traffic = jt_traffic_create(
		node, settings->data, settings->traffic_threads, node->wake_fd);
	if (node->traffic == NULL) {
		*error =
			talloc_asprintf(mem_ctx, "listen.data %s: %s",
					jt_address_format(settings->data, text),
					strerror(errno));
		goto fail;
	}
	node->tick_timer = jt_timer_create(node, loop, on_tick, node);
	node->leave_timer = jt_timer_create(node, loop, on_leave, node);
	node->leave_limit_timer =
		jt_timer_create(node, loop, on_leave_limit, node);
	if (node->tick_timer == NULL || node->leave_timer == NULL ||
	    node->leave_limit_timer == NULL) {
		*error = talloc_strdup(mem_ctx, "out of file descriptors");
		goto fail;
	}
	seeds_submit(node);
	tevent_add_fd(loop, node, node->wake_fd, TEVENT_FD_READ, on_wake, node);
	tevent_add_fd(loop, node, node->peer_fd, TEVENT_FD_READ, on_peer, node);
	jt_timer_set(node->tick_timer, 0);
	return node;
fail:
	talloc_free(node);
	return NULL;
}

void jt_node_reload(struct jt_node *node, struct jt_settings *settings)
{
	talloc_unlink(node, node->settings);
	node->settings = talloc_steal(node, settings);
	seeds_submit(node);
}
