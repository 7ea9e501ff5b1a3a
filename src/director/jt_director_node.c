#include "jt_director_node_private.h"
#include "jt_director_log.h"
#include "jt_flow_lookup.h"
#include "jt_feature.h"
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
	/* A tick delayed by at least this is logged. */
	LATE_TICK_MS = 200,
	US_PER_MS = 1000,
	/* A leaving node ends this long before its limit, plus the time that
	 * its shutdown takes: LEAVE_CPU_COST is in milliseconds times
	 * thousandths of a core. */
	LEAVE_MARGIN_MS = 400,
	LEAVE_CPU_COST = 10 * 1000,
	/* Grace period of an endpoint whose entry expired, as a part of the
	 * drain limit. */
	EXPIRED_GRACE_PERCENT = 60,
	/* The same if the entry was removed during a store outage. Live
	 * endpoints have re-registered within RESTORED_GRACE_MS. */
	RESTORED_GRACE_PERCENT = 75,
	RESTORED_GRACE_MS = 2200,
	/* Store data older than this part of the age limit means a store
	 * outage. */
	OUTAGE_PERCENT = 150,
};

/* Readiness and shutdown */

/* Answers a router's readiness check. */
static bool on_readiness_check(void *private_data)
{
	struct jt_director_node *node = private_data;

	jt_director_node_ready_update(node);
	if (!node->was_ready) {
		jt_leave_refused(&node->leave);
		return false;
	}
	if (!node->ready_reported) {
		node->ready_reported = true;
		jt_peer_exchange_availability_send(node->peers);
	}
	return true;
}

/* Returns the limit of a shutdown, counted from its start. */
static uint64_t leave_limit_ms(const struct jt_director_node *node)
{
	uint64_t limit_ms = node->settings->leave_limit_ms;
	uint64_t margin_ms = LEAVE_MARGIN_MS +
			     LEAVE_CPU_COST / node->settings->reader_capacity;

	return limit_ms > margin_ms ? limit_ms - margin_ms : 0;
}

static void leave_stage_log(const struct jt_director_node *node,
			    const char *event, const struct jt_zone_view *zone,
			    uint64_t now_ms)
{
	jt_log_line(node->log, LOG_NOTICE,
		    "event=%s after_ms=%llu zone_nodes=%zu serving=%zu "
		    "waiting=%zu before=%zu elsewhere=%zu removed=%zu "
		    "refusals=%u quiet_ms=%llu",
		    event, (unsigned long long)(now_ms - node->leave.began_ms),
		    zone->nodes, zone->serving, zone->waiting,
		    zone->waiting_before, zone->serving_other_zones,
		    zone->removed, node->leave.refusals,
		    (unsigned long long)(now_ms - node->leave.packet_ms));
}

/* Returns the state of the zone. With leaving in turn disabled, all its nodes
 * count as serving; with early end disabled, one node counts as removed. */
static struct jt_zone_view zone_state(const struct jt_director_node *node)
{
	struct jt_zone_view zone = jt_peer_exchange_zone(node->peers);
	uint32_t disabled = node->settings->disabled_features;

	if (!jt_feature_enabled(disabled, JT_FEATURE_ORDERED_LEAVE))
		zone.serving = zone.nodes;
	if (!jt_feature_enabled(disabled, JT_FEATURE_EARLY_EXIT))
		zone.removed = 1;
	return zone;
}

static void leave_advance(struct jt_director_node *node, uint64_t now_ms)
{
	enum jt_leave_stage before = node->leave.stage, stage;
	struct jt_zone_view zone;

	if (before == JT_LEAVE_STAYS || node->on_left == NULL)
		return;
	zone = zone_state(node);
	stage = jt_leave_step(&node->leave, &zone, leave_limit_ms(node),
			      now_ms);
	if (stage == before)
		return;
	jt_director_node_ready_update(node);
	jt_peer_exchange_availability_send(node->peers);
	if (stage != JT_LEAVE_ENDS) {
		leave_stage_log(node, "leave_unready", &zone, now_ms);
		return;
	}
	leave_stage_log(node, "left", &zone, now_ms);
	node->on_left(node->private_data);
	node->on_left = NULL;
}

/* Returns the age of this node's store data. */
static uint64_t store_age_ms(const struct jt_director_node *node)
{
	uint64_t from;

	return jt_clock_ms() - jt_reader_as_of(&node->reader,
					       jt_peer_exchange_id(node->peers),
					       &from);
}

/* Handles a delayed tick. The time spent on logging distinguishes a slow disk
 * from a lack of CPU time. */
static void late_tick_handle(struct jt_director_node *node, uint64_t now_ms)
{
	uint64_t log_ms =
		node->log->sink != NULL
			? jt_log_sink_counters(node->log->sink)->write_us /
				  US_PER_MS
			: 0;
	uint64_t late_ms = now_ms - node->tick_due_ms;

	if (node->tick_due_ms != 0 && late_ms >= LATE_TICK_MS) {
		node->traffic.tick_delay_ms += late_ms;
		jt_reader_stalled(&node->reader, now_ms + TICK_MS);
		jt_log_line(node->log, LOG_NOTICE,
			    "event=stood_still late_ms=%llu log_ms=%llu",
			    (unsigned long long)late_ms,
			    (unsigned long long)(log_ms - node->log_ms));
	}
	node->log_ms = log_ms;
}

static void on_tick(void *private_data)
{
	struct jt_director_node *node = private_data;
	struct jt_director_event event = {.kind = JT_DIRECTOR_TICK};
	uint64_t *peers;

	late_tick_handle(node, jt_clock_ms());
	event.u.tick.peer_count =
		jt_peer_exchange_ids(node->peers, node, &peers);
	event.u.tick.peers = peers;
	event.u.tick.nodes = event.u.tick.peer_count + 1;
	event.u.tick.node_id = jt_peer_exchange_id(node->peers);
	event.u.tick.store_age_ms = store_age_ms(node);
	jt_director_node_event_handle(node, &event);
	talloc_free(peers);
	jt_director_node_progress_update(node);
	jt_director_node_read_mode_update(node, event.now_ms);
	leave_advance(node, event.now_ms);
	jt_director_log_flush(node->log, event.now_ms);
	node->tick_due_ms = event.now_ms + TICK_MS;
	jt_timer_set(node->tick_timer, TICK_MS);
}

void jt_director_node_leave(struct jt_director_node *node)
{
	if (node->leave.stage != JT_LEAVE_STAYS)
		return;
	jt_leave_begin(&node->leave, jt_clock_ms());
	jt_log_line(node->log, LOG_NOTICE, "event=leaving limit_ms=%u",
		    node->settings->leave_limit_ms);
	jt_peer_exchange_availability_send(node->peers);
}

void jt_director_node_reload(struct jt_director_node *node,
			     struct jt_director_settings *settings)
{
	struct jt_director_settings *old = node->settings;

	node->settings = talloc_steal(node, settings);
	node->reader.limit_ms = settings->store_age_limit_ms;
	jt_directory_sync_set_address(node->sync, settings->store);
	jt_peer_exchange_reload(node->peers, settings);
	talloc_free(old);
}

/* Retries held packets after the peers had time to respond to a flow lookup. */
static void on_lookup_timeout(void *private_data)
{
	struct jt_director_node *node = private_data;

	node->lookup_pending = node->lookup_again;
	node->lookup_again = false;
	if (node->lookup_pending)
		jt_timer_set(node->lookup_timer, JT_FLOW_LOOKUP_MS);
	jt_director_node_held_retry(node);
}

/* Probes */

static void on_probed(uint64_t endpoint_id, uint64_t start_time_ms,
		      enum jt_probe_outcome outcome, void *private_data)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_PROBED};

	event.u.probed.id = endpoint_id;
	event.u.probed.start_time_ms = start_time_ms;
	event.u.probed.outcome = outcome;
	jt_director_node_event_handle(private_data, &event);
}

static void on_identified(uint64_t endpoint_id, uint64_t start_time_ms,
			  uint64_t found, void *private_data)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_IDENTIFIED};

	event.u.identified.id = endpoint_id;
	event.u.identified.start_time_ms = start_time_ms;
	event.u.identified.found = found;
	jt_director_node_event_handle(private_data, &event);
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
	char address[JT_ADDRESS_TEXT_SIZE];

	node->data_fd = jt_udp_open(node->settings->data, false);
	if (node->data_fd >= 0 &&
	    tevent_add_fd(node->loop, node, node->data_fd, TEVENT_FD_READ,
			  jt_director_node_on_packets, node) != NULL)
		return true;
	*error = talloc_asprintf(
		talloc_parent(node), "listen.data: %s: %s",
		jt_address_format(node->settings->data, address),
		strerror(errno));
	return false;
}

/* Returns true if this node is one of the seeds. */
static bool is_seed(const struct jt_director_settings *settings)
{
	for (size_t i = 0; i < settings->seed_count; i++) {
		if (settings->seeds[i].ip == settings->peer.ip)
			return true;
	}
	return false;
}

/* Returns how long the first listing waits for state from peers. */
static uint64_t first_listing_delay_ms(struct jt_director_node *node)
{
	const struct jt_director_settings *settings = node->settings;
	bool first_start = settings->first_start &&
			   jt_feature_enabled(settings->disabled_features,
					      JT_FEATURE_FIRST_START);

	if (!jt_feature_enabled(settings->disabled_features,
				JT_FEATURE_SYNC_FROM_PEERS))
		return 0;
	return jt_reader_first_wait_ms(&node->reader, settings->reader_capacity,
				       first_start, is_seed(settings));
}

static bool components_start(struct jt_director_node *node, uint64_t seed,
			     char **error)
{
	const struct jt_probe_handler probe_handler = {
		.probed = on_probed,
		.identified = on_identified,
		.private_data = node,
	};
	struct jt_directory_watcher watcher;
	struct jt_peer_handler handler;

	jt_director_node_callbacks_init(node, &watcher, &handler);
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
		node->settings->store, &watcher, first_listing_delay_ms(node),
		node->settings->reader_capacity, seed);
	node->tick_timer = jt_timer_create(node, node->loop, on_tick, node);
	node->lookup_timer =
		jt_timer_create(node, node->loop, on_lookup_timeout, node);
	if (node->sync == NULL || node->tick_timer == NULL ||
	    node->lookup_timer == NULL)
		return false;
	node->pages = jt_director_pages_create(
		node, node->loop, node->log, node->settings, node->director,
		node->sync, node->peers, &node->traffic, on_readiness_check,
		node, error);
	return node->pages != NULL;
}

struct jt_director_node *jt_director_node_create(
	TALLOC_CTX *mem_ctx, struct tevent_context *loop,
	const struct jt_log *log, struct jt_director_settings *settings,
	void (*on_left)(void *private_data), void *private_data, char **error)
{
	struct jt_director_node *node;
	struct jt_director_options options;

	*error = talloc_strdup(mem_ctx, "out of memory or file descriptors");
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
		*error = talloc_asprintf(
			mem_ctx, "environment: '%s' is not in this build",
			settings->environment);
		goto fail;
	}
	jt_director_options_init(&options);
	options.disabled_features = settings->disabled_features;
	options.zone_id = jt_name_id(settings->zone);
	options.flow_limit = settings->flow_limit;
	options.endpoint_limit = settings->endpoint_limit;
	options.flow_age_limit_ms = settings->flow_age_limit_ms;
	options.cold_overshoot_permille = settings->cold_overshoot_permille;
	options.cold_slack = settings->cold_slack;
	options.admission_floor_permille = settings->admission_floor_permille;
	options.expired_grace_ms =
		settings->drain_limit_ms / 100 * EXPIRED_GRACE_PERCENT;
	options.outage_grace_ms =
		settings->drain_limit_ms / 100 * RESTORED_GRACE_PERCENT;
	if (options.outage_grace_ms > RESTORED_GRACE_MS)
		options.outage_grace_ms = RESTORED_GRACE_MS;
	options.store_outage_ms =
		settings->store_age_limit_ms / 100 * OUTAGE_PERCENT;
	randombytes_buf(&options.seed, sizeof(options.seed));
	jt_reader_init(&node->reader, settings->store_age_limit_ms,
		       options.seed);
	node->director = jt_director_create(node, &options);
	node->actions = jt_director_actions_create(node);
	if (node->director == NULL || node->actions == NULL ||
	    !open_data(node, error) ||
	    !components_start(node, options.seed, error))
		goto fail;
	jt_timer_set(node->tick_timer, 0);
	return node;
fail:
	talloc_free(node);
	return NULL;
}
