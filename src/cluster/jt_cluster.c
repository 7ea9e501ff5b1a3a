#include "jt_cluster_private.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
	UDP_OVERHEAD = 28,    /* bytes of IPv4 and UDP headers */
	PAUSE_BACKLOG = 2048, /* datagrams queued at a paused node's socket */
	REORDER_US = 4000,
	FRAME_BYTES = JT_FRAME_MAX,
	FIRST_ZONE_ID = 1,
};

void jt_cluster_options_init(struct jt_cluster_options *options)
{
	*options = (struct jt_cluster_options){
		.zone_count = 3,
		.machine_list_lag_us = 2000000,
		.store_answer_us = 5000,
		.store_operations_per_s = 20,
		.probe_interval_us = 2000000,
		.leave_delay_us = 2000000,
	};
	for (int a = 0; a < JT_CLUSTER_MAX_ZONES; a++) {
		for (int b = 0; b < JT_CLUSTER_MAX_ZONES; b++)
			options->zone_to_zone_us[a][b] = a == b ? 200 : 1500;
	}
}

static void node_event(struct node *node, struct jt_event *event);

struct jt_cluster *jt_cluster_create(TALLOC_CTX *mem_ctx,
				     struct jt_scheduler *scheduler,
				     const struct jt_cluster_options *options)
{
	struct jt_cluster *cluster = talloc_zero(mem_ctx, struct jt_cluster);

	if (cluster == NULL)
		return NULL;
	cluster->options = *options;
	cluster->scheduler = scheduler;
	cluster->random_state = options->seed;
	cluster->handle_event = node_event;
	cluster->keys.count = 1;
	cluster->keys.keys[0].id = 1;
	cluster->actions = jt_actions_create(cluster);
	cluster->frame = talloc_array(cluster, uint8_t, FRAME_BYTES);
	cluster->listed =
		talloc_array(cluster, struct jt_address, JT_CLUSTER_MAX_NODES);
	cluster->store_tokens = options->store_operations_per_s;
	return cluster;
}

static uint16_t node_index(struct jt_address address)
{
	return (uint16_t)(address.ip - 0x0a640000u);
}

static bool process_exists(const struct node *node)
{
	return node != NULL && (node->state == JT_NODE_RUNNING ||
				node->state == JT_NODE_PAUSED ||
				node->state == JT_NODE_LEAVING);
}

static bool reachable(const struct jt_cluster *cluster, unsigned a, unsigned b)
{
	return !cluster->partitioned[a][b];
}

unsigned jt_cluster_service_cell(const struct jt_cluster *cluster,
				 uint32_t service_id)
{
	unsigned cells;

	if (cluster->options.cell_nodes == 0)
		return 0;
	cells = (unsigned)((cluster->node_count + cluster->options.cell_nodes -
			    1) /
			   cluster->options.cell_nodes);
	return cells ? service_id % cells : 0;
}

/* Actions of a node */

static void report_outcome(struct node *node, struct waiting_packet *packet,
			   const struct jt_action *action)
{
	struct jt_cluster *cluster = node->cluster;
	struct jt_packet_outcome outcome = {
		.node = node->index,
		.packet = packet->packet,
		.key = packet->key,
		.endpoint = action->address,
		.reason = action->reason,
		.hops = packet->hops,
	};

	if (action->kind == JT_ACTION_FORWARD)
		outcome.kind = JT_PACKET_FORWARDED;
	else if (action->kind == JT_ACTION_REFUSE)
		outcome.kind = JT_PACKET_REFUSED;
	else
		outcome.kind = JT_PACKET_DROPPED;
	cluster->options.on_outcome(cluster->options.private_data, &outcome);
}

static uint64_t transit_us(struct jt_cluster *cluster, unsigned from,
			   unsigned to)
{
	uint64_t delay = cluster->options.zone_to_zone_us[from][to];

	if (jt_cluster_random(cluster, 1000000) <
	    cluster->options.reorder_per_million)
		delay += jt_cluster_random(cluster, REORDER_US);
	return delay;
}

static void on_datagram(void *object, uint64_t argument);

static void transmit(struct node *from, struct datagram *datagram)
{
	struct jt_cluster *cluster = from->cluster;
	struct node *to = datagram->to < JT_CLUSTER_MAX_NODES
				  ? cluster->nodes[datagram->to]
				  : NULL;

	if (to == NULL || !reachable(cluster, from->zone, to->zone) ||
	    jt_cluster_random(cluster, 1000000) <
		    cluster->options.loss_per_million) {
		talloc_free(datagram);
		return;
	}
	if (jt_cluster_random(cluster, 1000000) <
	    cluster->options.duplicate_per_million) {
		struct datagram *copy = talloc_memdup(
			cluster, datagram, talloc_get_size(datagram));

		if (copy != NULL)
			jt_scheduler_after(
				cluster->scheduler,
				transit_us(cluster, from->zone, to->zone),
				on_datagram, copy, 0);
	}
	jt_scheduler_after(cluster->scheduler,
			   transit_us(cluster, from->zone, to->zone),
			   on_datagram, datagram, 0);
}

static struct datagram *datagram_create(struct node *from, uint16_t to,
					size_t length)
{
	struct datagram *datagram =
		talloc_zero_size(from->cluster, sizeof(*datagram) + length);

	if (datagram == NULL)
		abort();
	datagram->cluster = from->cluster;
	datagram->from = from->index;
	datagram->to = to;
	datagram->length = length;
	return datagram;
}

static void node_send(struct node *node, const struct jt_action *action)
{
	struct jt_cluster *cluster = node->cluster;
	struct datagram *datagram;
	size_t length = jt_codec_encode(&cluster->keys, action->address,
					++node->sequence, action->message,
					cluster->frame);

	if (length == 0)
		return;
	node_add_control_bytes(node, action->message->body.kind,
			       length + UDP_OVERHEAD);
	datagram = datagram_create(node, node_index(action->address), length);
	memcpy(datagram->frame, cluster->frame, length);
	transmit(node, datagram);
}

static void relay(struct node *node, uint16_t to,
		  const struct waiting_packet *packet, uint8_t hops)
{
	struct datagram *datagram = datagram_create(node, to, 0);

	datagram->relay = true;
	datagram->packet = *packet;
	datagram->packet.hops = hops;
	transmit(node, datagram);
}

/* Requests a configuration from a peer; the response arrives after the
 * peer's one-way latency. */
static void fetch_config(struct node *node, const struct jt_action *action)
{
	struct jt_cluster *cluster = node->cluster;
	uint16_t index = node_index(action->address);
	struct node *peer =
		index < JT_CLUSTER_MAX_NODES ? cluster->nodes[index] : NULL;
	const struct jt_config *config;
	struct datagram *datagram;

	node_add_control_bytes(node, JT_WIRE_CONFIG_REQUEST, UDP_OVERHEAD + 48);
	if (peer == NULL || !node_running(peer) ||
	    !reachable(cluster, node->zone, peer->zone))
		return;
	config = jt_core_config(peer->core, action->revision);
	if (config == NULL)
		config = jt_core_newest_config(peer->core);
	if (config == NULL)
		return;
	node_add_control_bytes(peer, JT_WIRE_CONFIG,
			       platform_document_bytes(config) + UDP_OVERHEAD);
	datagram = datagram_create(peer, node->index, 0);
	datagram->config = config;
	transmit(peer, datagram);
}

static struct waiting_packet **find_waiting(struct node *node, uint64_t token)
{
	struct waiting_packet **link = &node->waiting;

	while (*link != NULL && (*link)->token != token)
		link = &(*link)->next;
	return link;
}

static void handle_packet_action(struct node *node,
				 const struct jt_action *action)
{
	struct waiting_packet **link = find_waiting(node, action->token);
	struct waiting_packet *packet = *link;

	if (packet == NULL || action->kind == JT_ACTION_HOLD)
		return;
	*link = packet->next;
	if (action->kind == JT_ACTION_RELAY)
		relay(node, node_index(action->address), packet, action->hops);
	else
		report_outcome(node, packet, action);
	talloc_free(packet);
}

static void node_stop(struct node *node)
{
	while (node->waiting != NULL) {
		struct waiting_packet *packet = node->waiting;

		node->waiting = packet->next;
		talloc_free(packet);
	}
	while (node->backlog != NULL) {
		struct backlog_entry *entry = node->backlog;

		node->backlog = entry->next;
		talloc_free(entry->datagram);
		talloc_free(entry);
	}
	node->backlog_tail = &node->backlog;
	node->backlog_count = 0;
	TALLOC_FREE(node->core);
	TALLOC_FREE(node->replays);
	TALLOC_FREE(node->replay_ids);
	TALLOC_FREE(node->probe_due_us);
	node->replay_count = 0;
	node->probe_count = 0;
	node->incarnation++;
	node->state = JT_NODE_STOPPED;
}

static void stop_after_leave(void *object, uint64_t incarnation)
{
	struct node *node = object;

	if (node->incarnation == incarnation)
		node_stop(node);
}

static void handle_action(struct node *node, const struct jt_action *action)
{
	switch (action->kind) {
	case JT_ACTION_FORWARD:
	case JT_ACTION_RELAY:
	case JT_ACTION_REFUSE:
	case JT_ACTION_DROP:
	case JT_ACTION_HOLD:
		handle_packet_action(node, action);
		break;
	case JT_ACTION_SEND:
		node_send(node, action);
		break;
	case JT_ACTION_FETCH_CONFIG:
		fetch_config(node, action);
		break;
	case JT_ACTION_PUBLISH:
		break;
	case JT_ACTION_WITNESS:
		platform_request_vote(node, &action->witness);
		break;
	case JT_ACTION_LEFT:
		/* Packets that the fabric still sends are relayed meanwhile. */
		jt_scheduler_after(node->cluster->scheduler, 1000000,
				   stop_after_leave, node, node->incarnation);
		break;
	}
}

static uint64_t node_clock_ms(const struct node *node)
{
	return node->clock_offset_ms + cluster_now_us(node->cluster) / 1000;
}

/* Passes an event to a node and executes the resulting actions. */
static void node_event(struct node *node, struct jt_event *event)
{
	struct jt_cluster *cluster = node->cluster;
	struct jt_actions *actions = cluster->actions;

	/* The outcome callback may inject a packet while this event is still
	 * being handled; a nested event needs an action list of its own. */
	if (cluster->in_event)
		actions = jt_actions_create(cluster);
	else
		cluster->in_event = true;
	event->now_ms = node_clock_ms(node);
	jt_core_handle(node->core, event, actions);
	for (size_t i = 0; i < actions->count; i++)
		handle_action(node, &actions->items[i]);
	if (actions != cluster->actions) {
		talloc_free(actions);
		return;
	}
	jt_actions_clear(actions);
	cluster->in_event = false;
}

/* Packets */

static uint16_t random_cell_member(struct jt_cluster *cluster, unsigned cell)
{
	uint16_t members[64];
	size_t count = 0;

	/* Nodes of other cells are known from the machine list. */
	for (size_t i = 0; i < cluster->node_count && count < 64; i++) {
		struct node *node = cluster->nodes[i];

		if (node_running(node) && node->cell == cell && !node->unready)
			members[count++] = (uint16_t)i;
	}
	if (count == 0)
		return JT_NO_NODE;
	return members[jt_cluster_random(cluster, (uint32_t)count)];
}

static bool belongs_to_other_cell(struct node *node,
				  const struct jt_flow_key *key, unsigned *cell)
{
	const struct jt_address_config *address;
	const struct jt_config *config;

	if (node->cluster->options.cell_nodes == 0)
		return false;
	config = jt_core_newest_config(node->core);
	address = config ? jt_config_address(config, key) : NULL;
	if (address == NULL)
		return false;
	*cell = jt_cluster_service_cell(node->cluster,
					config->services[address->service].id);
	return *cell != node->cell;
}

static void deliver_packet(struct node *node, struct waiting_packet packet,
			   enum jt_event_kind kind)
{
	struct jt_event event = {.kind = kind};
	struct waiting_packet *held;
	unsigned cell;

	if (belongs_to_other_cell(node, &packet.key, &cell)) {
		uint16_t to = random_cell_member(node->cluster, cell);

		if (to != JT_NO_NODE && packet.hops < 2)
			relay(node, to, &packet, packet.hops + 1);
		return;
	}
	held = talloc_memdup(node, &packet, sizeof(packet));
	if (held == NULL)
		abort();
	held->token = ++node->next_token;
	held->next = node->waiting;
	node->waiting = held;
	event.u.packet.key = packet.key;
	event.u.packet.tcp_flags = packet.tcp_flags;
	event.u.packet.hops = packet.hops;
	event.u.packet.token = held->token;
	node_event(node, &event);
}

void jt_cluster_packet(struct jt_cluster *cluster, uint16_t index,
		       const struct jt_flow_key *key, uint8_t tcp_flags,
		       uint64_t packet)
{
	struct node *node = cluster->nodes[index];
	struct waiting_packet new_packet = {
		.packet = packet, .key = *key, .tcp_flags = tcp_flags};
	struct datagram *datagram;

	if (!process_exists(node))
		return;
	if (node->state == JT_NODE_PAUSED) {
		datagram = datagram_create(node, index, 0);
		datagram->relay = true;
		datagram->packet = new_packet;
		on_datagram(datagram, 0);
		return;
	}
	deliver_packet(node, new_packet, JT_EVENT_PACKET);
}

static bool check_replay(struct node *node, uint64_t sender, uint64_t sequence)
{
	size_t i = 0;

	while (i < node->replay_count && node->replay_ids[i] != sender)
		i++;
	if (i == node->replay_count) {
		node->replay_ids =
			talloc_realloc(node, node->replay_ids, uint64_t, i + 1);
		node->replays = talloc_realloc(node, node->replays,
					       struct jt_replay, i + 1);
		memset(&node->replays[i], 0, sizeof(struct jt_replay));
		node->replay_ids[i] = sender;
		node->replay_count++;
	}
	return jt_replay_check(&node->replays[i], sequence);
}

static void deliver_message(struct node *node, const struct datagram *datagram)
{
	struct jt_event event = {.kind = JT_EVENT_MESSAGE};
	jt_wire_message message;
	uint64_t sequence;

	if (jt_codec_decode(&node->cluster->keys, node_address(node->index),
			    datagram->frame, datagram->length, &sequence,
			    &message) != JT_CODEC_OK)
		return;
	if (check_replay(node, message.from, sequence)) {
		event.u.message = &message;
		node_event(node, &event);
	}
	jt_codec_free(&message);
}

static void datagram_deliver(struct node *node, struct datagram *datagram)
{
	struct jt_event event = {.kind = JT_EVENT_CONFIG};

	if (datagram->relay) {
		deliver_packet(node, datagram->packet,
			       datagram->packet.hops ? JT_EVENT_RELAYED
						     : JT_EVENT_PACKET);
	} else if (datagram->config != NULL) {
		event.u.config = datagram->config;
		node_event(node, &event);
	} else {
		deliver_message(node, datagram);
	}
	talloc_free(datagram);
}

static void on_datagram(void *object, uint64_t argument)
{
	struct datagram *datagram = object;
	struct node *node = datagram->cluster->nodes[datagram->to];
	struct backlog_entry *entry;

	(void)argument;
	if (!process_exists(node) || (node->state == JT_NODE_PAUSED &&
				      node->backlog_count >= PAUSE_BACKLOG)) {
		talloc_free(datagram);
		return;
	}
	if (node->state != JT_NODE_PAUSED) {
		datagram_deliver(node, datagram);
		return;
	}
	entry = talloc_zero(node, struct backlog_entry);
	entry->datagram = datagram;
	*node->backlog_tail = entry;
	node->backlog_tail = &entry->next;
	node->backlog_count++;
}

static void node_tick(void *object, uint64_t incarnation)
{
	struct node *node = object;
	struct jt_event event = {.kind = JT_EVENT_TICK};

	if (node->incarnation != incarnation)
		return;
	jt_scheduler_after(node->cluster->scheduler, TICK_US, node_tick, node,
			   incarnation);
	if (node->state == JT_NODE_PAUSED)
		return;
	platform_tick(node);
	node_event(node, &event);
}

/* Node lifecycle */

void jt_cluster_start(struct jt_cluster *cluster, uint16_t index, unsigned zone)
{
	struct node *node = cluster->nodes[index];
	struct jt_core_options options;

	if (node == NULL) {
		node = talloc_zero(cluster, struct node);
		if (node == NULL)
			abort();
		cluster->nodes[index] = node;
		node->backlog_tail = &node->backlog;
		if (index >= cluster->node_count)
			cluster->node_count = index + 1u;
	} else if (process_exists(node)) {
		return;
	}
	node->cluster = cluster;
	node->index = index;
	node->zone = zone;
	node->cell = cluster->options.cell_nodes
			     ? index / cluster->options.cell_nodes
			     : 0;
	node->state = JT_NODE_RUNNING;
	node->unready = false;
	node->incarnation++;
	node->started_us = cluster_now_us(cluster);
	node->clock_offset_ms =
		1000000 + jt_cluster_random(cluster, 1000000000);
	node->founder_us = node->read_us = node->candidates_us = 0;
	node->observed_us = 0;
	jt_core_options_init(&options);
	options.node_id = cluster_random64(cluster);
	options.zone = zone + FIRST_ZONE_ID;
	options.address = node_address(index);
	options.injected_faults = cluster->options.injected_faults;
	node->core = jt_core_create(node, &options);
	if (node->core == NULL)
		abort();
	jt_scheduler_after(cluster->scheduler,
			   jt_cluster_random(cluster, TICK_US), node_tick, node,
			   node->incarnation);
}

void jt_cluster_crash(struct jt_cluster *cluster, uint16_t index)
{
	if (process_exists(cluster->nodes[index]))
		node_stop(cluster->nodes[index]);
}

void jt_cluster_pause(struct jt_cluster *cluster, uint16_t index)
{
	if (node_running(cluster->nodes[index]))
		cluster->nodes[index]->state = JT_NODE_PAUSED;
}

void jt_cluster_resume(struct jt_cluster *cluster, uint16_t index)
{
	struct node *node = cluster->nodes[index];
	uint32_t incarnation;

	if (node == NULL || node->state != JT_NODE_PAUSED)
		return;
	incarnation = node->incarnation;
	node->state = node->unready ? JT_NODE_LEAVING : JT_NODE_RUNNING;
	/* Queued datagrams are processed before any timer. */
	while (node->backlog != NULL && node->incarnation == incarnation) {
		struct backlog_entry *entry = node->backlog;

		node->backlog = entry->next;
		if (node->backlog == NULL)
			node->backlog_tail = &node->backlog;
		node->backlog_count--;
		datagram_deliver(node, entry->datagram);
		talloc_free(entry);
	}
}

static void on_leave_timer(void *object, uint64_t incarnation)
{
	struct node *node = object;
	struct jt_event event = {.kind = JT_EVENT_LEAVE};

	if (node->incarnation != incarnation)
		return;
	if (node->state == JT_NODE_PAUSED) /* retry until it is resumed */
		jt_scheduler_after(node->cluster->scheduler, TICK_US,
				   on_leave_timer, node, incarnation);
	else
		node_event(node, &event);
}

void jt_cluster_leave(struct jt_cluster *cluster, uint16_t index)
{
	struct node *node = cluster->nodes[index];

	if (!node_running(node) || node->unready)
		return;
	node->unready = true;
	node->state = JT_NODE_LEAVING;
	jt_scheduler_after(cluster->scheduler, cluster->options.leave_delay_us,
			   on_leave_timer, node, node->incarnation);
}

void jt_cluster_set_partition(struct jt_cluster *cluster, unsigned a,
			      unsigned b, bool partitioned)
{
	cluster->partitioned[a][b] = partitioned;
	cluster->partitioned[b][a] = partitioned;
}

/* Read access */

size_t jt_cluster_node_count(const struct jt_cluster *cluster)
{
	return cluster->node_count;
}

void jt_cluster_info(const struct jt_cluster *cluster, uint16_t index,
		     struct jt_cluster_node_info *info)
{
	const struct node *node = cluster->nodes[index];
	const struct jt_cell_state *state;

	memset(info, 0, sizeof(*info));
	if (node == NULL)
		return;
	info->state = node->state;
	info->zone = node->zone;
	info->cell = node->cell;
	for (int k = 0; k < JT_CLUSTER_KINDS; k++) {
		info->bytes_by_kind[k] = node->bytes_by_kind[k];
		info->control_bytes += node->bytes_by_kind[k];
	}
	info->store_operations = node->store_operations;
	if (node->core == NULL)
		return;
	state = jt_core_state(node->core);
	info->counters = jt_core_counters(node->core);
	info->flows = jt_core_flow_count(node->core);
	info->revision = state ? state->config->revision : 0;
	info->ready = node->state == JT_NODE_RUNNING && !node->unready &&
		      jt_core_ready(node->core, node_clock_ms(node));
}

const struct jt_core *jt_cluster_core(const struct jt_cluster *cluster,
				      uint16_t index)
{
	const struct node *node = cluster->nodes[index];

	return process_exists(node) ? node->core : NULL;
}
