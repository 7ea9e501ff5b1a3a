/* Handles changes from the store and messages from peers. */
#include "jt_director_log.h"
#include "jt_director_node_private.h"
#include "jt_snapshot.h"
#include "jt_net.h"

/* The store */

static void routing_apply(struct jt_director_node *node,
			  struct jt_routing *routing, const char *source)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_ROUTING};

	event.u.routing = routing;
	jt_director_node_event_handle(node, &event);
	if (jt_director_routing(node->director) != routing)
		return;
	jt_log_line(node->log, LOG_NOTICE,
		    "event=routing version=%llu routes=%zu source=%s",
		    (unsigned long long)routing->version, routing->route_count,
		    source);
	jt_peer_exchange_updates_schedule(node->peers);
}

static void endpoint_apply(struct jt_director_node *node,
			   const struct jt_endpoint_entry *entry)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_ENDPOINT};

	event.u.endpoint = *entry;
	jt_director_node_event_handle(node, &event);
}

/* Applies the removal of an entry (JT_DIRECTOR_ENTRY_REMOVED), or an entry that
 * can't be parsed. */
static void removal_apply(struct jt_director_node *node,
			  enum jt_director_event_kind kind,
			  const struct jt_directory_change *change)
{
	struct jt_director_event event = {.kind = kind};

	event.u.removed.id = change->endpoint.id;
	event.u.removed.revision = change->endpoint.revision;
	jt_director_node_event_handle(node, &event);
}

/* Reports an invalid item of the store, once for each key and reason. */
static void invalid_item_log(struct jt_director_node *node,
			     const struct jt_directory_change *change)
{
	if (change->endpoint.id != 0)
		removal_apply(node, JT_DIRECTOR_UNREADABLE, change);
	if (jt_refusals_first(&node->refusals, change->key, change->reason))
		jt_log_line(node->log, LOG_ERR,
			    "event=entry_refused key=%s field=%s reason=\"%s\"",
			    change->key, change->field, change->reason);
}

/* Applies zone drains that began or ended. @complete: @drains holds all of
 * them as of @revision. */
static void zone_drains_apply(struct jt_director_node *node,
			      const struct jt_zone_drain *drains, size_t count,
			      bool complete, uint64_t revision)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_ZONE_DRAINS};

	event.u.zones.drains = drains;
	event.u.zones.count = count;
	event.u.zones.complete = complete;
	event.u.zones.revision = revision;
	jt_director_node_event_handle(node, &event);
}

static void on_change(const struct jt_directory_change *change,
		      void *private_data)
{
	struct jt_director_node *node = private_data;

	switch (change->kind) {
	case JT_DIRECTORY_CHANGE_ROUTING:
		routing_apply(node, change->routing, "store");
		break;
	case JT_DIRECTORY_CHANGE_ENDPOINT:
		endpoint_apply(node, &change->endpoint);
		break;
	case JT_DIRECTORY_CHANGE_REMOVED:
		removal_apply(node, JT_DIRECTOR_ENTRY_REMOVED, change);
		break;
	case JT_DIRECTORY_CHANGE_ZONE:
		zone_drains_apply(node, &change->zone, 1, false,
				  change->revision);
		break;
	case JT_DIRECTORY_CHANGE_INVALID:
		invalid_item_log(node, change);
		break;
	}
}

/* Applies @event, after which all changes up to its revision are known. */
static void revision_apply(struct jt_director_node *node,
			   struct jt_director_event *event)
{
	uint64_t before = jt_director_revision(node->director);
	uint64_t revision = event->u.listed.revision;

	jt_director_node_event_handle(node, event);
	if (revision > before)
		jt_peer_exchange_updates_schedule(node->peers);
	jt_director_node_progress_update(node);
}

static void on_caught_up(uint64_t revision, void *private_data)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_CAUGHT_UP};

	event.u.listed.revision = revision;
	revision_apply(private_data, &event);
}

static void on_listing(void *private_data)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_LISTING};

	jt_director_node_event_handle(private_data, &event);
}

static void on_listed(uint64_t revision, void *private_data)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_LISTED};
	struct jt_director_node *node = private_data;

	event.u.listed.revision = revision;
	revision_apply(node, &event);
	jt_log_line(node->log, LOG_NOTICE, "event=store_listed revision=%llu",
		    (unsigned long long)revision);
}

/* Some endpoints and all zone drains are known. */
static void on_partial_listing(void *private_data)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_PARTIAL_STATE};
	struct jt_director_node *node = private_data;

	jt_director_node_event_handle(node, &event);
	jt_director_node_progress_update(node);
}

static void on_reachable(bool reachable, enum jt_kv_status status,
			 void *private_data)
{
	struct jt_director_node *node = private_data;

	jt_log_line(node->log, reachable ? LOG_NOTICE : LOG_WARNING,
		    "event=%s status=%s",
		    reachable ? "store_regained" : "store_lost",
		    jt_kv_status_name(status));
}

/* Reading the store */

/* Returns this node's capacity for reading the store; 0: it can't read it now.
 */
static uint32_t reader_capacity(const struct jt_director_node *node)
{
	if (!jt_director_started(node->director) ||
	    node->leave.stage != JT_LEAVE_STAYS ||
	    jt_directory_sync_unreachable(node->sync))
		return 0;
	return node->settings->reader_capacity;
}

void jt_director_node_read_mode_update(struct jt_director_node *node,
				       uint64_t now_ms)
{
	enum jt_read_mode previous = node->reader.read_mode, mode;
	uint64_t failures = jt_directory_sync_failures(node->sync);
	enum jt_reader_rank rank = jt_peer_exchange_reader_rank(
		node->peers, reader_capacity(node));

	jt_directory_sync_set_initial_sync(
		node->sync,
		jt_director_initial_sync_ms(node->director, now_ms) > 0);
	jt_directory_sync_set_others_watch(
		node->sync, jt_peer_exchange_many_watch(node->peers));
	jt_reader_read(&node->reader, jt_directory_sync_as_of_ms(node->sync));
	if (failures > node->store_failures)
		jt_reader_failed(&node->reader,
				 jt_peer_exchange_live_count(node->peers) + 1,
				 now_ms);
	node->store_failures = failures;
	mode = jt_reader_decide(&node->reader, rank,
				jt_director_started(node->director), now_ms);
	if (mode == previous)
		return;
	jt_log_line(node->log, LOG_NOTICE,
		    "event=reading how=%s turn=%d heard_age_ms=%llu "
		    "revision=%llu",
		    jt_read_mode_name(mode), rank,
		    (unsigned long long)(now_ms - node->reader.peers_as_of_ms),
		    (unsigned long long)jt_director_revision(node->director));
	jt_directory_sync_set_read_mode(node->sync, mode);
}

static uint64_t on_revision_query(void *private_data)
{
	const struct jt_director_node *node = private_data;

	return jt_director_revision(node->director);
}

static enum jt_peer_sync_state on_peer_sync_query(void *private_data)
{
	struct jt_director_node *node = private_data;

	/* A started node reads the store on behalf of others, too. */
	if (jt_director_started(node->director))
		return JT_PEER_SYNC_NONE;
	if (jt_peer_exchange_receiving(node->peers))
		return JT_PEER_SYNC_RECEIVING;
	if (jt_director_accepts_flows(node->director) &&
	    jt_reader_waits_for_listing(
		    &node->reader, jt_peer_exchange_live_count(node->peers) + 1,
		    jt_clock_ms()))
		return JT_PEER_SYNC_PARTIAL;
	return jt_peer_exchange_fetching(node->peers) ? JT_PEER_SYNC_PENDING
						      : JT_PEER_SYNC_NONE;
}

/* Peers */

static void on_own_state(struct jt_own_state *own, void *private_data)
{
	const struct jt_director_node *node = private_data;
	const struct jt_routing *routing = jt_director_routing(node->director);

	own->routing_version = routing ? routing->version : 0;
	own->revision = jt_director_revision(node->director);
	own->started = jt_director_started(node->director);
	own->accepts_flows = jt_director_accepts_flows(node->director);
	own->leaving = node->leave.stage != JT_LEAVE_STAYS;
	own->ready = node->ready_reported;
	own->reading = node->reader.read_mode == JT_READ_MODE_WATCH;
	own->reader_capacity = reader_capacity(node);
	own->store_as_of_ms =
		jt_reader_as_of(&node->reader, jt_peer_exchange_id(node->peers),
				&own->store_reader);
}

static bool
on_snapshot_query(TALLOC_CTX *mem_ctx,
		  const struct jt_snapshot_request *snapshot_request,
		  jt_wire_snapshot *snapshot, void *private_data)
{
	const struct jt_director_node *node = private_data;

	return jt_snapshot_write(mem_ctx, node->director, snapshot_request,
				 jt_clock_ms(), snapshot);
}

static void entries_apply(struct jt_director_node *node,
			  const jt_wire_entry *entries, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		struct jt_director_event event;

		if (jt_snapshot_entry_event(&entries[i], &event))
			jt_director_node_event_handle(node, &event);
	}
}

/* Applies the zone drains in a peer's message. */
static void wire_zone_drains_apply(struct jt_director_node *node,
				   const jt_wire_zone_drain *wire, size_t count,
				   bool complete, uint64_t revision)
{
	struct jt_zone_drain *drains =
		jt_snapshot_read_zone_drains(node, wire, count);

	if (drains != NULL)
		zone_drains_apply(node, drains, count, complete, revision);
	talloc_free(drains);
}

/* Applies whole slices, in which missing endpoints do not exist. */
static void slices_apply(struct jt_director_node *node,
			 const jt_wire_snapshot *snapshot)
{
	TALLOC_CTX *frame = talloc_new(node);
	struct jt_director_event event;

	if (jt_snapshot_slices_event(frame, snapshot, &event))
		jt_director_node_event_handle(node, &event);
	talloc_free(frame);
}

/* Applies a part of a peer's state snapshot: routing, endpoints and all zone
 * drains. */
static void on_snapshot_part(const jt_wire_snapshot *snapshot,
			     void *private_data)
{
	struct jt_director_node *node = private_data;
	struct jt_routing *routing =
		jt_snapshot_read_routing(node, &snapshot->routing);

	if (routing != NULL)
		routing_apply(node, routing, "peer");
	if (routing != NULL && jt_director_routing(node->director) != routing)
		talloc_free(routing);
	entries_apply(node, snapshot->entries.entries_val,
		      snapshot->entries.entries_len);
	slices_apply(node, snapshot);
	wire_zone_drains_apply(node, snapshot->zones.zones_val,
			       snapshot->zones.zones_len, true,
			       snapshot->revision);
	on_partial_listing(node);
}

/*
 * Completes a snapshot. Changes up to its revision are known, removals
 * included, except for the gap and the incomplete part in the event. The
 * peers' last read of the store counts as one of this node.
 */
static void on_snapshot_complete(const struct jt_snapshot_fetch *snapshot,
				 void *private_data)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_PEER_SNAPSHOT};
	struct jt_director_node *node = private_data;

	jt_log_line(node->log, LOG_NOTICE,
		    "event=knowledge_learned since=%llu revision=%llu "
		    "learning_ms=%u",
		    (unsigned long long)snapshot->since,
		    (unsigned long long)snapshot->revision,
		    snapshot->initial_sync_ms);
	event.u.listed.revision = snapshot->revision;
	event.u.listed.initial_sync_ms = snapshot->initial_sync_ms;
	event.u.listed.gap = snapshot->gap;
	event.u.listed.incomplete_before = snapshot->incomplete_before;
	revision_apply(node, &event);
	if (snapshot->store_reader != jt_peer_exchange_id(node->peers) &&
	    snapshot->store_as_of_ms > 0)
		jt_reader_record_peer(&node->reader, snapshot->store_as_of_ms,
				      snapshot->store_reader);
	jt_directory_sync_snapshot_received(node->sync, snapshot->revision);
}

static void on_updates(const jt_wire_update *update, void *private_data)
{
	struct jt_director_node *node = private_data;
	struct jt_director_event event = {.kind = JT_DIRECTOR_GOSSIP_UPDATES};
	uint64_t before = jt_director_revision(node->director);

	if (!jt_director_started(node->director))
		return;
	entries_apply(node, update->entries.entries_val,
		      update->entries.entries_len);
	wire_zone_drains_apply(node, update->zones.zones_val,
			       update->zones.zones_len, false,
			       update->digest.revision);
	event.u.updates.since = update->since;
	event.u.updates.revision = update->digest.revision;
	event.u.updates.routing_version = update->digest.routing_version;
	event.u.updates.gap =
		(struct jt_listing_gap){update->gap_from, update->gap_to};
	jt_director_node_event_handle(node, &event);
	if (jt_director_revision(node->director) > before)
		jt_peer_exchange_updates_schedule(node->peers);
	jt_director_node_progress_update(node);
}

static void on_store_age(uint64_t as_of_ms, uint64_t reader, void *private_data)
{
	struct jt_director_node *node = private_data;

	jt_reader_record_report(&node->reader, as_of_ms, reader, jt_clock_ms());
}

static size_t on_load_query(struct jt_endpoint_load loads[JT_LOAD_LIMIT],
			    void *private_data)
{
	struct jt_director_node *node = private_data;

	return jt_director_loads(node->director, jt_clock_ms(), loads);
}

static void on_peer_loads(uint64_t peer, const struct jt_endpoint_load *loads,
			  size_t count, void *private_data)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_LOADS};

	event.u.loads.peer = peer;
	event.u.loads.loads = loads;
	event.u.loads.count = count;
	jt_director_node_event_handle(private_data, &event);
}

static void on_suspicion(const jt_wire_suspicion *suspicion, void *private_data)
{
	struct jt_director_node *node = private_data;
	struct jt_director_event event = {.kind = JT_DIRECTOR_SUSPICION};
	bool overdue = suspicion->kind == JT_WIRE_RESPONSES_OVERDUE;

	if (overdue)
		event.kind = JT_DIRECTOR_OVERDUE;
	event.u.suspicion.id = suspicion->endpoint_id;
	event.u.suspicion.start_time_ms = suspicion->start_time_ms;
	jt_director_node_event_handle(node, &event);
	jt_log_line(node->log, LOG_NOTICE,
		    "event=peer_suspects endpoint=%llx born_ms=%llu cause=%s",
		    (unsigned long long)suspicion->endpoint_id,
		    (unsigned long long)suspicion->start_time_ms,
		    overdue ? "overdue" : "dead");
}

static void on_peer_failures(const struct jt_endpoint_failure *failures,
			     size_t count, void *private_data)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_FAILURE_REPORT};

	event.u.failures.items = failures;
	event.u.failures.count = count;
	jt_director_node_event_handle(private_data, &event);
}

static uint32_t on_flow_lookup(const struct jt_flow_key *key, uint32_t sequence,
			       void *private_data)
{
	const struct jt_director_node *node = private_data;

	return jt_director_flow_label(node->director, key, sequence);
}

static void on_flow_lookup_response(const struct jt_flow_key *key,
				    uint32_t sequence, uint32_t label,
				    void *private_data)
{
	struct jt_director_event event = {
		.kind = JT_DIRECTOR_FLOW_LOOKUP_RESPONSE};
	struct jt_director_node *node = private_data;

	event.u.flow_lookup_response.key = *key;
	event.u.flow_lookup_response.sequence = sequence;
	event.u.flow_lookup_response.label = label;
	jt_director_log_flow_lookup_response(node->log, key, label,
					     jt_clock_ms());
	jt_director_node_event_handle(node, &event);
	jt_director_node_held_retry(node);
}

void jt_director_node_callbacks_init(struct jt_director_node *node,
				     struct jt_directory_watcher *watcher,
				     struct jt_peer_handler *handler)
{
	*watcher = (struct jt_directory_watcher){
		.changed = on_change,
		.caught_up = on_caught_up,
		.listing = on_listing,
		.partly_listed = on_partial_listing,
		.listed = on_listed,
		.known_revision = on_revision_query,
		.peer_sync = on_peer_sync_query,
		.reachable = on_reachable,
		.private_data = node,
	};
	*handler = (struct jt_peer_handler){
		.own_state = on_own_state,
		.snapshot = on_snapshot_query,
		.snapshot_part = on_snapshot_part,
		.snapshot_complete = on_snapshot_complete,
		.updates = on_updates,
		.store_age = on_store_age,
		.suspicion = on_suspicion,
		.own_loads = on_load_query,
		.loads = on_peer_loads,
		.failures = on_peer_failures,
		.flows =
			{
				.label = on_flow_lookup,
				.answered = on_flow_lookup_response,
				.private_data = node,
			},
		.private_data = node,
	};
}
