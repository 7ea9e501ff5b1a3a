#include "jt_director_node_private.h"
#include "jt_director_log.h"
#include "jt_mechanism.h"
#include "jt_net.h"
#include "jt_routing.h"
#include "jt_timer.h"

#include <errno.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	TICK_MS = 100,
	PACKET_BATCH = 64, /* datagrams before other events get a turn */
	HELD_LIMIT = 1024, /* packets that wait for what is not known yet */
	/* A leaving node ends so long before its limit, and longer by what its
	 * end costs: thousandths of a core times milliseconds. */
	LEAVE_MARGIN_MS = 400,
	LEAVE_COST = 10 * 1000,
	/* Part of the drain limit for which a lapsed endpoint may be used. */
	LAPSED_PERCENT = 60,
	/* The same where the entry went while the store was away, and live
	 * endpoints are back two seconds after it. */
	RETURNED_PERCENT = 75,
	RETURNED_MS = 2200,
	/* Knowledge older than this part of the limit at which a node reads
	 * the store itself: the store is away. */
	AWAY_PERCENT = 150,
};

static void watch_ready(struct jt_director_node *node);

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

/* The id of the request that begins in the packet in hand, or "". */
static void packet_request(const struct jt_director_node *node,
			   char request[JT_REQUEST_ID_SIZE])
{
	request[0] = '\0';
	node->environment->codec->request(node->buffer + JT_HEADROOM_MAX,
					  node->packet_length, request,
					  JT_REQUEST_ID_SIZE);
}

static void log_request(const struct jt_director_node *node,
			const struct jt_director_action *action)
{
	char request[JT_REQUEST_ID_SIZE];

	packet_request(node, request);
	if (request[0] != '\0')
		jt_director_log_request(node->log, action, request,
					node->event_ms);
}

static void act_forward(struct jt_director_node *node,
			const struct jt_director_action *action)
{
	uint8_t *packet = node->buffer + JT_HEADROOM_MAX;
	size_t before = node->environment->codec->wrap(
		packet, action->endpoint_id, action->label);

	datagram_send(node, action->address, packet - before,
		      node->packet_length + before);
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

static void on_probed(uint64_t endpoint_id, enum jt_probe_outcome outcome,
		      void *private_data)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_PROBED};

	event.u.probed.id = endpoint_id;
	event.u.probed.outcome = outcome;
	jt_director_node_event(private_data, &event);
}

static void on_identified(uint64_t endpoint_id, uint64_t found,
			  void *private_data)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_IDENTIFIED};

	event.u.identified.id = endpoint_id;
	event.u.identified.found = found;
	jt_director_node_event(private_data, &event);
}

static void act_identify(struct jt_director_node *node,
			 const struct jt_director_action *action)
{
	const struct jt_routed_service *service = jt_routing_service(
		jt_director_routing(node->director), action->service_id);

	jt_endpoint_probes_identify(node->probes, action->endpoint_id,
				    action->address,
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

	/* A reset may concern another flow than the packet in hand. */
	if (action->kind != JT_DIRECTOR_RESET)
		packet_request(node, request);
	jt_director_log_flow(node->log, action, request, node->event_ms);
}

static void node_act(struct jt_director_node *node,
		     const struct jt_director_action *action)
{
	switch (action->kind) {
	case JT_DIRECTOR_FORWARD:
	case JT_DIRECTOR_RESET:
	case JT_DIRECTOR_HOLD:
	case JT_DIRECTOR_DROP:
		if (action->reason != JT_DIRECTOR_LABELLED)
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
					   action->address);
		break;
	case JT_DIRECTOR_IDENTIFY:
		act_identify(node, action);
		break;
	case JT_DIRECTOR_VERDICT:
		jt_director_log_endpoint(node->log, action, "endpoint_dead");
		if (!action->peers_know)
			jt_peer_exchange_suspect(node->peers,
						 JT_WIRE_FOUND_DEAD,
						 action->endpoint_id);
		break;
	case JT_DIRECTOR_FAILING:
		jt_director_log_endpoint(node->log, action, "endpoint_failing");
		jt_peer_exchange_suspect(node->peers, JT_WIRE_ANSWERS_OVERDUE,
					 action->endpoint_id);
		break;
	case JT_DIRECTOR_REVIVED:
		jt_director_log_endpoint(node->log, action, "endpoint_back");
		break;
	case JT_DIRECTOR_SEEN:
		/* A whole list is told in one line. */
		if (jt_director_started(node->director))
			jt_director_log_endpoint(node->log, action,
						 "endpoint_state");
		break;
	case JT_DIRECTOR_ZONE_DRAINED:
	case JT_DIRECTOR_ZONE_RESTORED:
		jt_director_log_zone(node->log, action);
		break;
	case JT_DIRECTOR_HOLD:
		act_hold(node);
		break;
	case JT_DIRECTOR_DROP:
		break;
	}
}

void jt_director_node_event(struct jt_director_node *node,
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

static void packet_take(struct jt_director_node *node, size_t length)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_PACKET};

	if (!node->environment->codec->parse(node->buffer + JT_HEADROOM_MAX,
					     length, &event.u.packet)) {
		node->traffic.malformed++;
		return;
	}
	if (node->held_since_ms != 0)
		event.u.packet.held_ms =
			(uint32_t)(jt_clock_ms() - node->held_since_ms);
	node->packet_length = length;
	jt_director_node_event(node, &event);
	jt_leave_packet(&node->leave, event.now_ms);
}

/* Offer a held packet again: it may be held on, since when it was first. */
static void held_offer(struct jt_director_node *node,
		       const struct held_packet *held)
{
	memcpy(node->buffer + JT_HEADROOM_MAX, held->data, held->length);
	node->held_since_ms = held->since_ms;
	packet_take(node, held->length);
	node->held_since_ms = 0;
}

/* Offer held packets again once the node has started, each of them once. */
static void held_release(struct jt_director_node *node)
{
	size_t count = node->held_count;

	if (!jt_director_started(node->director))
		return;
	for (; count > 0; count--) {
		struct held_packet *held = STAILQ_FIRST(&node->held);

		STAILQ_REMOVE_HEAD(&node->held, next);
		node->held_count--;
		held_offer(node, held);
		talloc_free(held);
	}
}

static void on_packets(struct tevent_context *loop, struct tevent_fd *fd,
		       uint16_t flags, void *private_data)
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
		packet_take(node, (size_t)length);
	}
}

/* The node may have started just now. */
void jt_director_node_started_look(struct jt_director_node *node)
{
	watch_ready(node);
	held_release(node);
}

/* Readiness and the end */

static bool node_ready(const struct jt_director_node *node)
{
	return node->leave.stage <= JT_LEAVE_WAITS &&
	       jt_director_started(node->director);
}

static void watch_ready(struct jt_director_node *node)
{
	bool ready = node_ready(node);

	if (ready == node->was_ready)
		return;
	node->was_ready = ready;
	node->told_ready = false;
	jt_log_line(node->log, LOG_NOTICE, "event=%s",
		    ready ? "ready" : "not_ready");
}

/* A router checks whether this node is ready. */
static bool on_ready_check(void *private_data)
{
	struct jt_director_node *node = private_data;

	watch_ready(node);
	if (!node->was_ready) {
		jt_leave_refused(&node->leave);
		return false;
	}
	if (!node->told_ready) {
		node->told_ready = true;
		jt_peer_exchange_tell_all(node->peers);
	}
	return true;
}

/* When a leaving node must have ended, from the begin on. */
static uint64_t leave_limit_ms(const struct jt_director_node *node)
{
	uint64_t limit_ms = node->settings->leave_limit_ms;
	uint64_t margin_ms =
		LEAVE_MARGIN_MS + LEAVE_COST / node->settings->reader_weight;

	return limit_ms > margin_ms ? limit_ms - margin_ms : 0;
}

static void leave_log(const struct jt_director_node *node, const char *event,
		      const struct jt_zone_view *zone, uint64_t now_ms)
{
	jt_log_line(node->log, LOG_NOTICE,
		    "event=%s after_ms=%llu zone_nodes=%zu serving=%zu "
		    "waiting=%zu before=%zu elsewhere=%zu removed=%zu "
		    "refusals=%u quiet_ms=%llu",
		    event, (unsigned long long)(now_ms - node->leave.began_ms),
		    zone->nodes, zone->serving, zone->waiting, zone->before,
		    zone->elsewhere, zone->removed, node->leave.refusals,
		    (unsigned long long)(now_ms - node->leave.packet_ms));
}

/* Without its turn, a node that leaves sees a zone in which all others serve;
 * without an early end, one where nodes are removed. */
static struct jt_zone_view zone_view(const struct jt_director_node *node)
{
	struct jt_zone_view zone = jt_peer_exchange_zone(node->peers);
	uint32_t without = node->settings->without;

	if (!jt_mechanism_on(without, JT_MECHANISM_LEAVE_IN_TURN))
		zone.serving = zone.nodes;
	if (!jt_mechanism_on(without, JT_MECHANISM_EARLY_END))
		zone.removed = 1;
	return zone;
}

static void watch_leave(struct jt_director_node *node, uint64_t now_ms)
{
	enum jt_leave_stage before = node->leave.stage, stage;
	struct jt_zone_view zone;

	if (before == JT_LEAVE_STAYS || node->on_left == NULL)
		return;
	zone = zone_view(node);
	stage = jt_leave_step(&node->leave, &zone, leave_limit_ms(node),
			      now_ms);
	if (stage == before)
		return;
	watch_ready(node);
	jt_peer_exchange_tell_all(node->peers);
	if (stage != JT_LEAVE_ENDS) {
		leave_log(node, "leave_unready", &zone, now_ms);
		return;
	}
	leave_log(node, "left", &zone, now_ms);
	node->on_left(node->private_data);
	node->on_left = NULL;
}

/* How old the knowledge of the store is. */
static uint64_t store_age_ms(const struct jt_director_node *node)
{
	uint64_t from;

	return jt_clock_ms() - jt_reader_as_of(&node->reader,
					       jt_peer_exchange_id(node->peers),
					       &from);
}

static void on_tick(void *private_data)
{
	struct jt_director_node *node = private_data;
	struct jt_director_event event = {.kind = JT_DIRECTOR_TICK};
	uint64_t peers[JT_PEER_LIMIT];

	event.u.tick.peers = peers;
	event.u.tick.peer_count = jt_peer_exchange_ids(node->peers, peers);
	event.u.tick.nodes = event.u.tick.peer_count + 1;
	event.u.tick.node_id = jt_peer_exchange_id(node->peers);
	event.u.tick.store_age_ms = store_age_ms(node);
	jt_director_node_event(node, &event);
	watch_ready(node);
	held_release(node);
	jt_director_node_reader_look(node, event.now_ms);
	watch_leave(node, event.now_ms);
	jt_director_log_flush(node->log, event.now_ms);
	jt_timer_set(node->tick, TICK_MS);
}

void jt_director_node_leave(struct jt_director_node *node)
{
	if (node->leave.stage != JT_LEAVE_STAYS)
		return;
	jt_leave_begin(&node->leave, jt_clock_ms());
	jt_log_line(node->log, LOG_NOTICE, "event=leaving limit_ms=%u",
		    node->settings->leave_limit_ms);
	jt_peer_exchange_tell_all(node->peers);
}

void jt_director_node_reload(struct jt_director_node *node,
			     struct jt_director_settings *settings)
{
	struct jt_director_settings *old = node->settings;

	node->settings = talloc_steal(node, settings);
	node->reader.limit_ms = settings->store_age_limit_ms;
	jt_directory_sync_move(node->sync, settings->store);
	jt_peer_exchange_reload(node->peers, settings);
	talloc_free(old);
}

/* Start */

static int node_destructor(struct jt_director_node *node)
{
	if (node->data_fd >= 0)
		close(node->data_fd);
	return 0;
}

static bool open_data(struct jt_director_node *node, char **error)
{
	char address[JT_ADDRESS_TEXT];

	node->data_fd = jt_udp_open(node->settings->data, false);
	if (node->data_fd >= 0 &&
	    tevent_add_fd(node->loop, node, node->data_fd, TEVENT_FD_READ,
			  on_packets, node) != NULL)
		return true;
	*error = talloc_asprintf(
		talloc_parent(node), "listen.data: %s: %s",
		jt_address_format(node->settings->data, address),
		strerror(errno));
	return false;
}

/* Whether other nodes look for this one first. */
static bool is_seed(const struct jt_director_settings *settings)
{
	for (size_t i = 0; i < settings->seed_count; i++) {
		if (settings->seeds[i].ip == settings->peer.ip)
			return true;
	}
	return false;
}

/* How long the first list waits for what peers know. */
static uint64_t first_wait_ms(struct jt_director_node *node)
{
	const struct jt_director_settings *settings = node->settings;
	bool first_start =
		settings->first_start &&
		jt_mechanism_on(settings->without, JT_MECHANISM_FIRST_START);

	if (!jt_mechanism_on(settings->without, JT_MECHANISM_PEERS_FIRST))
		return 0;
	return jt_reader_first_wait_ms(&node->reader, settings->reader_weight,
				       first_start, is_seed(settings));
}

static bool start_parts(struct jt_director_node *node, uint64_t seed,
			char **error)
{
	const struct jt_probe_handler probe_handler = {
		.probed = on_probed,
		.identified = on_identified,
		.private_data = node,
	};
	struct jt_directory_watcher watcher;
	struct jt_peer_handler handler;

	jt_director_node_handlers(node, &watcher, &handler);
	node->client = jt_http_client_create(node, node->loop);
	if (node->client == NULL)
		return false;
	node->probes = jt_endpoint_probes_create(node, node->loop, node->client,
						 node->environment->identity,
						 &probe_handler);
	if (node->probes == NULL)
		return false;
	node->peers = jt_peer_exchange_create(node, node->loop, node->client,
					      node->log, node->settings,
					      &handler, error);
	if (node->peers == NULL)
		return false;
	node->sync = jt_directory_sync_create(
		node, node->loop, node->client, node->environment->directory,
		node->settings->store, &watcher, first_wait_ms(node), seed);
	node->tick = jt_timer_create(node, node->loop, on_tick, node);
	if (node->sync == NULL || node->tick == NULL)
		return false;
	node->pages = jt_director_pages_create(
		node, node->loop, node->log, node->settings, node->director,
		node->sync, node->peers, &node->traffic, on_ready_check, node,
		error);
	return node->pages != NULL;
}

struct jt_director_node *jt_director_node_create(
	TALLOC_CTX *mem_ctx, struct tevent_context *loop,
	const struct jt_log *log, struct jt_director_settings *settings,
	void (*on_left)(void *private_data), void *private_data, char **error)
{
	struct jt_director_node *node;
	struct jt_director_options options;

	*error = talloc_strdup(mem_ctx, "memory or descriptors run out");
	node = talloc_zero(mem_ctx, struct jt_director_node);
	if (node == NULL)
		return NULL;
	node->data_fd = -1;
	STAILQ_INIT(&node->held);
	talloc_set_destructor(node, node_destructor);
	node->loop = loop;
	node->log = log;
	node->settings = talloc_steal(node, settings);
	node->on_left = on_left;
	node->private_data = private_data;
	node->environment = jt_environment_find(settings->environment);
	if (node->environment == NULL) {
		*error = talloc_asprintf(mem_ctx, "environment: no '%s' here",
					 settings->environment);
		goto fail;
	}
	jt_director_options_init(&options);
	options.without = settings->without;
	options.zone_id = jt_name_id(settings->zone);
	options.flow_limit = settings->flow_limit;
	options.flow_age_limit_ms = settings->flow_age_limit_ms;
	options.cold_overshoot_permille = settings->cold_overshoot_permille;
	options.cold_slack = settings->cold_slack;
	options.lapsed_grace_ms =
		settings->drain_limit_ms / 100 * LAPSED_PERCENT;
	options.returned_grace_ms =
		settings->drain_limit_ms / 100 * RETURNED_PERCENT;
	if (options.returned_grace_ms > RETURNED_MS)
		options.returned_grace_ms = RETURNED_MS;
	options.store_away_ms =
		settings->store_age_limit_ms / 100 * AWAY_PERCENT;
	randombytes_buf(&options.seed, sizeof(options.seed));
	jt_reader_init(&node->reader, settings->store_age_limit_ms,
		       options.seed);
	node->director = jt_director_create(node, &options);
	node->actions = jt_director_actions_create(node);
	if (node->director == NULL || node->actions == NULL ||
	    !open_data(node, error) || !start_parts(node, options.seed, error))
		goto fail;
	jt_timer_set(node->tick, 0);
	return node;
fail:
	talloc_free(node);
	return NULL;
}
