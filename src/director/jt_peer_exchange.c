#include "jt_peer_exchange.h"
#include "jt_http_server.h"
#include "jt_feature.h"
#include "jt_net.h"
#include "jt_peer_flows.h"
#include "jt_peer_snapshots.h"
#include "jt_peer_updates.h"
#include "jt_peer_sender.h"
#include "jt_timer.h"

#include <errno.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	ROUND_MS = 500,
	/* Nodes gossip faster after their start, to find peers with newer
	 * state. */
	FAST_ROUND_MS = 100,
	FAST_ROUNDS_TOTAL_MS = 3000,
	DATAGRAM_BATCH = 32,
};

struct jt_peer_exchange {
	struct tevent_context *loop;
	const struct jt_log *log;
	struct jt_peer_handler handler;
	struct jt_peer_sender sender;
	struct jt_membership *membership;
	struct jt_peer_snapshots *snapshots;
	struct jt_http_server *server;
	struct jt_timer *timer;
	struct jt_peer_updates *updates;
	uint64_t created_ms;
};

static void loads_send(struct jt_peer_exchange *exchange,
		       const struct jt_address *targets, size_t count)
{
	struct jt_endpoint_load own[JT_LOAD_LIMIT];
	jt_wire_load wire[JT_LOAD_LIMIT];
	jt_wire_director_message message = {
		.from = exchange->membership->id,
		.body.kind = JT_WIRE_LOADS,
	};
	jt_wire_loads *loads = &message.body.jt_wire_director_body_u.loads;
	size_t own_count = exchange->handler.own_loads(
		own, exchange->handler.private_data);

	for (size_t i = 0; i < own_count; i++)
		wire[i] = (jt_wire_load){own[i].label, own[i].flows,
					 own[i].recent_load_permille,
					 own[i].response_ratio};
	loads->loads.loads_val = wire;
	loads->loads.loads_len = (u_int)own_count;
	for (size_t i = 0; i < count; i++)
		jt_peer_sender_send(&exchange->sender, targets[i], &message);
}

static void loads_receive(struct jt_peer_exchange *exchange, uint64_t peer,
			  const jt_wire_loads *wire)
{
	struct jt_endpoint_load loads[JT_LOAD_LIMIT];

	for (u_int i = 0; i < wire->loads.loads_len; i++) {
		loads[i].label = wire->loads.loads_val[i].label;
		loads[i].flows = wire->loads.loads_val[i].flows;
		loads[i].recent_load_permille =
			wire->loads.loads_val[i].recent_load_permille;
		loads[i].response_ratio =
			wire->loads.loads_val[i].response_ratio;
	}
	exchange->handler.loads(peer, loads, wire->loads.loads_len,
				exchange->handler.private_data);
}

static void digest_send(struct jt_peer_exchange *exchange,
			const struct jt_address *targets, size_t count,
			const jt_wire_digest *digest)
{
	jt_wire_director_message message = {
		.from = exchange->membership->id,
		.body.kind = JT_WIRE_DIGEST,
	};

	message.body.jt_wire_director_body_u.digest = *digest;
	for (size_t i = 0; i < count; i++) {
		jt_peer_sender_send(&exchange->sender, targets[i], &message);
	}
}

/* Sends the digest of a gossip round. */
static void round_digest_send(struct jt_peer_exchange *exchange,
			      const struct jt_address *targets, size_t count,
			      uint64_t now_ms)
{
	TALLOC_CTX *frame = talloc_new(exchange);
	struct jt_own_state own = {0};
	jt_wire_digest digest;

	exchange->handler.own_state(&own, exchange->handler.private_data);
	jt_membership_own_digest(exchange->membership, frame, &own, now_ms,
				 &digest);
	digest_send(exchange, targets, count, &digest);
	talloc_free(frame);
}

/* Sends a digest to a node that looks for a peer to synchronise from. */
static void source_digest_send(struct jt_peer_exchange *exchange,
			       struct jt_address to, uint32_t zone_id,
			       const struct jt_own_state *own, uint64_t now_ms)
{
	TALLOC_CTX *frame = talloc_new(exchange);
	jt_wire_digest digest;

	jt_membership_source_digest(exchange->membership, frame, own, zone_id,
				    now_ms, &digest);
	digest_send(exchange, &to, 1, &digest);
	talloc_free(frame);
}

/* Sends this node's availability to all live peers. */
static void availability_send(struct jt_peer_exchange *exchange, bool only_zone)
{
	jt_wire_director_message message = {
		.from = exchange->membership->id,
		.body.kind = JT_WIRE_AVAILABILITY,
	};
	struct jt_own_state own = {0};

	exchange->handler.own_state(&own, exchange->handler.private_data);
	message.body.jt_wire_director_body_u.availability =
		(jt_wire_availability){
			.zone = exchange->membership->zone_id,
			.started = own.started,
			.leaving = own.leaving,
			.ready = own.ready,
			.weight = own.reader_capacity,
		};
	jt_peer_sender_send_all(&exchange->sender, &message, only_zone);
}

void jt_peer_exchange_availability_send(struct jt_peer_exchange *exchange)
{
	availability_send(exchange, false);
}

struct jt_zone_view
jt_peer_exchange_zone(const struct jt_peer_exchange *exchange)
{
	return jt_membership_zone(exchange->membership, jt_clock_ms());
}

void jt_peer_exchange_updates_schedule(struct jt_peer_exchange *exchange)
{
	jt_peer_updates_schedule(exchange->updates);
}

void jt_peer_exchange_suspicion_send(struct jt_peer_exchange *exchange,
				     jt_wire_suspicion_kind kind,
				     uint64_t endpoint_id,
				     uint64_t start_time_ms)
{
	jt_wire_director_message message = {
		.from = exchange->membership->id,
		.body.kind = JT_WIRE_SUSPICION,
	};

	message.body.jt_wire_director_body_u.suspicion = (jt_wire_suspicion){
		.kind = kind,
		.endpoint_id = endpoint_id,
		.start_time_ms = start_time_ms,
	};
	jt_peer_sender_send_all(&exchange->sender, &message, false);
}

void jt_peer_exchange_failures_send(struct jt_peer_exchange *exchange,
				    const struct jt_endpoint_failure *failures,
				    size_t count, size_t peers)
{
	jt_wire_failure wire[JT_FAILURE_LIMIT];
	jt_wire_director_message message = {
		.from = exchange->membership->id,
		.body.kind = JT_WIRE_FAILURES,
	};
	jt_wire_failures *report =
		&message.body.jt_wire_director_body_u.failures;

	for (size_t i = 0; i < count; i++)
		wire[i] = (jt_wire_failure){failures[i].label,
					    failures[i].failed_permille,
					    failures[i].served_permille,
					    failures[i].share_permille};
	report->failures.failures_val = wire;
	report->failures.failures_len = (u_int)count;
	jt_peer_sender_send_rotating(&exchange->sender, &message, peers);
}

/* Datagrams */

static void peer_discovered_log(const struct jt_peer_exchange *exchange,
				struct jt_address address)
{
	char text[JT_ADDRESS_TEXT_SIZE];

	jt_log_line(exchange->log, LOG_NOTICE, "event=peer_seen peer=%s",
		    jt_address_format(address, text));
}

static void digest_receive(struct jt_peer_exchange *exchange, uint64_t peer,
			   struct jt_address from, const jt_wire_digest *digest)
{
	struct jt_own_state own = {0};
	uint64_t now_ms = jt_clock_ms();

	if (jt_membership_digest(exchange->membership, peer, from, digest,
				 now_ms))
		peer_discovered_log(exchange, from);
	exchange->handler.own_state(&own, exchange->handler.private_data);
	/* The sender looks for a peer to synchronise from. */
	if (!digest->started &&
	    (own.started || (own.accepts_flows && !digest->accepts_flows) ||
	     jt_membership_knows_source(exchange->membership)))
		source_digest_send(exchange, from, digest->zone, &own, now_ms);
	if (digest->revision <= own.revision &&
	    digest->routing_version <= own.routing_version &&
	    digest->store_reader != exchange->membership->id &&
	    digest->store_age_ms < now_ms)
		exchange->handler.store_age(now_ms - digest->store_age_ms,
					    digest->store_reader,
					    exchange->handler.private_data);
	jt_peer_snapshots_fetch_if_due(exchange->snapshots, now_ms);
}

static void failures_receive(struct jt_peer_exchange *exchange,
			     const jt_wire_failures *wire)
{
	struct jt_endpoint_failure failures[JT_FAILURE_LIMIT];

	for (u_int i = 0; i < wire->failures.failures_len; i++)
		failures[i] = (struct jt_endpoint_failure){
			wire->failures.failures_val[i].label,
			wire->failures.failures_val[i].failed_permille,
			wire->failures.failures_val[i].served_permille,
			wire->failures.failures_val[i].share_permille};
	exchange->handler.failures(failures, wire->failures.failures_len,
				   exchange->handler.private_data);
}

static void message_dispatch(struct jt_peer_exchange *exchange,
			     struct jt_address from,
			     const jt_wire_director_message *message)
{
	const jt_wire_update *update;

	switch (message->body.kind) {
	case JT_WIRE_DIGEST:
		digest_receive(exchange, message->from, from,
			       &message->body.jt_wire_director_body_u.digest);
		break;
	case JT_WIRE_UPDATE:
		update = &message->body.jt_wire_director_body_u.update;
		exchange->handler.updates(update,
					  exchange->handler.private_data);
		digest_receive(exchange, message->from, from, &update->digest);
		break;
	case JT_WIRE_AVAILABILITY:
		if (jt_membership_record_availability(
			    exchange->membership, message->from, from,
			    &message->body.jt_wire_director_body_u.availability,
			    jt_clock_ms()))
			peer_discovered_log(exchange, from);
		break;
	case JT_WIRE_LOADS:
		loads_receive(exchange, message->from,
			      &message->body.jt_wire_director_body_u.loads);
		break;
	case JT_WIRE_FAILURES:
		failures_receive(
			exchange,
			&message->body.jt_wire_director_body_u.failures);
		break;
	case JT_WIRE_SUSPICION:
		exchange->handler.suspicion(
			&message->body.jt_wire_director_body_u.suspicion,
			exchange->handler.private_data);
		break;
	case JT_WIRE_FLOW_LOOKUP:
		jt_peer_flows_reply(
			&exchange->sender, &exchange->handler.flows, from,
			&message->body.jt_wire_director_body_u.flow_lookup);
		break;
	case JT_WIRE_FLOW_LOOKUP_RESPONSE:
		jt_peer_flows_response_handle(
			&exchange->handler.flows,
			&message->body.jt_wire_director_body_u
				 .flow_lookup_response);
		break;
	default:
		break;
	}
}

static void datagram_receive(struct jt_peer_exchange *exchange,
			     struct jt_address from, const uint8_t *data,
			     size_t length)
{
	jt_wire_director_message message = {0};

	if (!jt_peer_frames_open(&exchange->sender.frames, data, length,
				 &message))
		return;
	message_dispatch(exchange, from, &message);
	jt_peer_frames_free(&message);
}

static void on_datagrams(struct tevent_context *loop, struct tevent_fd *fd,
			 uint16_t flags, void *private_data)
{
	struct jt_peer_exchange *exchange = private_data;
	uint8_t data[JT_PEER_DATAGRAM_MAX];

	(void)loop;
	(void)fd;
	(void)flags;
	for (int i = 0; i < DATAGRAM_BATCH; i++) {
		struct sockaddr_in name;
		socklen_t size = sizeof(name);
		ssize_t length =
			recvfrom(exchange->sender.fd, data, sizeof(data),
				 MSG_DONTWAIT, (struct sockaddr *)&name, &size);

		if (length < 0)
			return;
		datagram_receive(exchange, jt_address_from_socket(&name), data,
				 (size_t)length);
	}
}

static void on_round(void *private_data)
{
	struct jt_peer_exchange *exchange = private_data;
	uint64_t now_ms = jt_clock_ms();
	struct jt_address targets[JT_DIGEST_FANOUT];
	struct jt_own_state own = {0};
	const struct jt_peer *lost;
	char text[JT_ADDRESS_TEXT_SIZE];
	size_t count;

	while ((lost = jt_membership_next_lost(exchange->membership, now_ms)) !=
	       NULL)
		jt_log_line(exchange->log, LOG_WARNING,
			    "event=peer_lost peer=%s silent_ms=%llu",
			    jt_address_format(lost->address, text),
			    (unsigned long long)(now_ms - lost->last_heard_ms));
	count = jt_membership_digest_targets(exchange->membership, targets);
	round_digest_send(exchange, targets, count, now_ms);
	loads_send(exchange, targets, count);
	exchange->handler.own_state(&own, exchange->handler.private_data);
	/* Repeated against datagram loss: the leaving order relies on it. */
	if (own.leaving)
		availability_send(exchange, true);
	jt_peer_snapshots_fetch_if_due(exchange->snapshots, now_ms);
	jt_timer_set(exchange->timer,
		     now_ms - exchange->created_ms < FAST_ROUNDS_TOTAL_MS
			     ? FAST_ROUND_MS
			     : ROUND_MS);
}

/* Start */

static int exchange_destructor(struct jt_peer_exchange *exchange)
{
	if (exchange->sender.fd >= 0)
		close(exchange->sender.fd);
	return 0;
}

static void seeds_add(struct jt_peer_exchange *exchange,
		      const struct jt_director_settings *settings)
{
	for (size_t i = 0; i < settings->seed_count; i++) {
		struct jt_address seed = {settings->seeds[i].ip,
					  settings->peer.port};

		jt_membership_seed(exchange->membership, seed);
	}
}

void jt_peer_exchange_reload(struct jt_peer_exchange *exchange,
			     const struct jt_director_settings *settings)
{
	exchange->sender.frames.keys = settings->keys;
	jt_peer_snapshots_set_link(exchange->snapshots, settings->link_mbps);
	if (settings->leave_limit_ms > 0)
		exchange->membership->leave_limit_ms = settings->leave_limit_ms;
	seeds_add(exchange, settings);
}

static bool peer_address_open(struct jt_peer_exchange *exchange)
{
	struct jt_http_options options = {
		.address = exchange->sender.frames.address};

	exchange->sender.fd =
		jt_udp_open(exchange->sender.frames.address, false);
	if (exchange->sender.fd < 0)
		return false;
	exchange->server = jt_http_server_create(
		exchange, exchange->loop, &options,
		jt_peer_snapshots_request_serve, exchange->snapshots);
	return exchange->server != NULL &&
	       tevent_add_fd(exchange->loop, exchange, exchange->sender.fd,
			     TEVENT_FD_READ, on_datagrams, exchange) != NULL;
}

/* Returns the callbacks that concern this node's state and snapshots of it. */
static struct jt_snapshot_handler
snapshot_handler(const struct jt_peer_exchange *exchange)
{
	return (struct jt_snapshot_handler){
		.own_state = exchange->handler.own_state,
		.snapshot = exchange->handler.snapshot,
		.snapshot_part = exchange->handler.snapshot_part,
		.snapshot_complete = exchange->handler.snapshot_complete,
		.private_data = exchange->handler.private_data,
	};
}

static struct jt_peer_snapshots *
snapshots_create(struct jt_peer_exchange *exchange,
		 struct jt_http_client *client)
{
	const struct jt_peer_snapshots_options options = {
		.loop = exchange->loop,
		.client = client,
		.log = exchange->log,
		.membership = exchange->membership,
		.frames = &exchange->sender.frames,
		.handler = snapshot_handler(exchange),
	};

	return jt_peer_snapshots_create(exchange, &options);
}

static struct jt_peer_updates *updates_create(struct jt_peer_exchange *exchange)
{
	const struct jt_peer_updates_options options = {
		.loop = exchange->loop,
		.sender = &exchange->sender,
		.membership = exchange->membership,
		.handler = snapshot_handler(exchange),
	};

	return jt_peer_updates_create(exchange, &options);
}

struct jt_peer_exchange *
jt_peer_exchange_create(TALLOC_CTX *mem_ctx, struct tevent_context *loop,
			struct jt_http_client *client, const struct jt_log *log,
			const struct jt_director_settings *settings,
			const struct jt_peer_handler *handler, char **error)
{
	struct jt_peer_exchange *exchange =
		talloc_zero(mem_ctx, struct jt_peer_exchange);
	char text[JT_ADDRESS_TEXT_SIZE];
	uint64_t id;

	if (exchange == NULL)
		return NULL;
	exchange->sender.fd = -1;
	talloc_set_destructor(exchange, exchange_destructor);
	exchange->loop = loop;
	exchange->log = log;
	exchange->sender.frames.address = settings->peer;
	exchange->handler = *handler;
	exchange->created_ms = jt_clock_ms();
	randombytes_buf(&id, sizeof(id));
	exchange->membership = jt_membership_create(
		exchange, id, settings->peer, jt_name_id(settings->zone));
	exchange->sender.membership = exchange->membership;
	if (exchange->membership != NULL)
		exchange->membership->disabled_features =
			settings->disabled_features;
	exchange->timer = jt_timer_create(exchange, loop, on_round, exchange);
	exchange->updates = updates_create(exchange);
	exchange->snapshots = snapshots_create(exchange, client);
	if (exchange->membership == NULL || exchange->timer == NULL ||
	    exchange->updates == NULL || exchange->snapshots == NULL)
		goto fail;
	if (!peer_address_open(exchange)) {
		*error = talloc_asprintf(
			talloc_parent(mem_ctx), "listen.peer: %s: %s",
			jt_address_format(settings->peer, text),
			strerror(errno));
		goto fail;
	}
	jt_peer_exchange_reload(exchange, settings);
	jt_timer_set(exchange->timer, 0);
	return exchange;
fail:
	talloc_free(exchange);
	return NULL;
}

enum jt_reader_rank
jt_peer_exchange_reader_rank(const struct jt_peer_exchange *exchange,
			     uint32_t own_capacity)
{
	return jt_membership_reader_rank(exchange->membership, own_capacity);
}

bool jt_peer_exchange_many_watch(const struct jt_peer_exchange *exchange)
{
	return jt_membership_many_watch(exchange->membership);
}

bool jt_peer_exchange_fetching(const struct jt_peer_exchange *exchange)
{
	return jt_peer_snapshots_fetching(exchange->snapshots);
}

bool jt_peer_exchange_receiving(const struct jt_peer_exchange *exchange)
{
	return jt_peer_snapshots_receiving(exchange->snapshots);
}

uint64_t jt_peer_exchange_id(const struct jt_peer_exchange *exchange)
{
	return exchange->membership->id;
}

size_t jt_peer_exchange_flow_lookup_send(struct jt_peer_exchange *exchange,
					 const struct jt_flow_key *key,
					 uint32_t sequence)
{
	return jt_peer_flows_lookup_send(&exchange->sender,
					 exchange->membership, key, sequence);
}

size_t jt_peer_exchange_live_count(const struct jt_peer_exchange *exchange)
{
	return jt_membership_live(exchange->membership);
}

size_t jt_peer_exchange_ids(const struct jt_peer_exchange *exchange,
			    TALLOC_CTX *mem_ctx, uint64_t **ids)
{
	return jt_membership_ids(exchange->membership, mem_ctx, ids);
}

const char *jt_message_kind_name(jt_wire_director_kind kind)
{
	static const char *const names[] = {
		[JT_WIRE_DIGEST] = "digest",
		[JT_WIRE_SUSPICION] = "suspicion",
		[JT_WIRE_SNAPSHOT] = "knowledge",
		[JT_WIRE_LOADS] = "loads",
		[JT_WIRE_UPDATE] = "news",
		[JT_WIRE_AVAILABILITY] = "standing",
		[JT_WIRE_FAILURES] = "failures",
		[JT_WIRE_FLOW_LOOKUP] = "flow_question",
		[JT_WIRE_FLOW_LOOKUP_RESPONSE] = "flow_answer",
	};

	return names[kind];
}

const struct jt_peer_counters *
jt_peer_exchange_counters(const struct jt_peer_exchange *exchange)
{
	return &exchange->sender.frames.counters;
}
