/*
 * Flow records: expiry, records received from peers, changes of ownership and
 * detection of buckets without records.
 */
#include "jt_core_private.h"

enum { EXPIRE_STEP = 256 }; /* table slots checked per tick */

const struct jt_table *jt_records_table(const struct jt_cell_state *state,
					const struct jt_flow *flow)
{
	const struct jt_address_config *address;
	struct jt_flow_key key;

	jt_flow_key_of(flow, &key);
	address = jt_config_address(state->config, &key);
	return address ? &state->tables[address->service] : NULL;
}

/* Expiry */

/*
 * Returns true if the slot of an idle request can be reclaimed, because the
 * endpoint has reported fewer slots in use than are counted for longer than
 * a flow may be pending. Restarts that period, so that slots are reclaimed
 * one at a time.
 */
static bool reclaim_slot(struct jt_core *core,
			 const struct jt_address_config *address,
			 const struct jt_flow *flow, uint32_t idle_s)
{
	struct jt_endpoint_view *view =
		jt_endpoint_view(core, flow->endpoint_id);

	if (!(flow->flags & JT_FLOW_COUNTED) || idle_s < JT_SLOT_IDLE_S ||
	    !jt_service_counts_slots(core, address) ||
	    view->overcounted_since_ms == 0 ||
	    core->now_ms < view->overcounted_since_ms + JT_SLOT_OVERCOUNT_MS)
		return false;
	view->overcounted_since_ms = 0;
	return true;
}

static uint32_t record_lifetime_s(const struct jt_core *core,
				  const struct jt_flow *flow)
{
	if (flow->flags & JT_FLOW_UNASSIGNED)
		return JT_UNASSIGNED_EXPIRY_S;
	if (flow->flags & JT_FLOW_CLOSING)
		return JT_CLOSED_EXPIRY_S;
	return core->options.flow_idle_s;
}

static void expire_flow(struct jt_core *core, struct jt_flow *flow)
{
	uint32_t idle_s = (uint32_t)(core->now_ms / 1000) - flow->seen_s;
	const struct jt_address_config *address;
	struct jt_flow_key key;

	if (idle_s < JT_PENDING_S)
		return;
	jt_flow_key_of(flow, &key);
	address = jt_config_address(core->current->config, &key);
	/* The flow never started and the client stopped retrying. */
	if ((flow->flags & JT_FLOW_PENDING) && address != NULL) {
		flow->flags &= (uint8_t)~JT_FLOW_PENDING;
		jt_owner_close_flow(core, flow, jt_service_id(core, address));
		return;
	}
	if (address != NULL && reclaim_slot(core, address, flow, idle_s))
		jt_counts_remove_flow(core, jt_service_id(core, address), flow);
	if (idle_s < record_lifetime_s(core, flow))
		return;
	if (address != NULL)
		jt_counts_remove_flow(core, jt_service_id(core, address), flow);
	jt_flow_table_remove(core->flows, flow);
}

void jt_records_expire(struct jt_core *core)
{
	size_t steps = core->flows->capacity;

	if (steps > EXPIRE_STEP)
		steps = EXPIRE_STEP;
	for (size_t i = 0; i < steps; i++) {
		struct jt_flow *flow;

		core->expire_cursor++;
		core->expire_cursor &= core->flows->capacity - 1;
		flow = &core->flows->slots[core->expire_cursor];
		if (flow->flags & JT_FLOW_USED)
			expire_flow(core, flow);
	}
}

/* Records from peers */

void jt_records_store(struct jt_core *core, const jt_wire_record *record)
{
	const struct jt_flow_key key = {
		.source = record->source,
		.destination = record->destination,
		.source_port = (uint16_t)(record->ports >> 16),
		.destination_port = (uint16_t)record->ports,
		.protocol = (uint8_t)(record->bucket_protocol_flags >> 8),
	};
	struct jt_flow *flow = jt_flow_table_find(core->flows, &key);
	const struct jt_address_config *address = NULL;
	uint32_t service_id;

	if (core->current != NULL)
		address = jt_config_address(core->current->config, &key);
	if (address == NULL)
		return;
	if (flow != NULL && (flow->flags & JT_FLOW_COUNTED))
		return; /* this node owns the flow; its record is newer */
	if (flow == NULL)
		flow = jt_flow_table_add(core->flows, &key);
	if (flow == NULL)
		return;
	flow->endpoint_id = record->endpoint_id;
	flow->bucket = jt_flow_bucket(&key);
	flow->group_id = core->current->config->groups[address->group].id;
	flow->seen_s = (uint32_t)(core->now_ms / 1000) - record->idle_s;
	flow->flags = (uint8_t)(JT_FLOW_USED |
				(record->bucket_protocol_flags &
				 (JT_FLOW_REPLICATED | JT_FLOW_CLOSING)));
	jt_activate_forward_record(core, flow);
	service_id = jt_service_id(core, address);
	if (!(flow->flags & JT_FLOW_CLOSING) && core->activated &&
	    jt_owner_owns_bucket(core, service_id, flow->bucket))
		jt_counts_add_flow(core, service_id, flow);
}

/* Change of owners */

static void inherit_crashed_counts(struct jt_core *core,
				   const struct jt_cell_state *before)
{
	size_t rank = jt_core_own_index(core, core->current);

	if (before == NULL || rank == JT_NO_MEMBER)
		return;
	for (size_t i = 0; i < before->member_count; i++) {
		uint64_t id = before->members[i].id;
		struct jt_core_peer *peer = jt_peer_find(core, id);

		if (peer == NULL ||
		    jt_cell_member(core->current, id) != JT_NO_MEMBER)
			continue;
		if (!peer->leaving)
			jt_counts_inherit_crashed(core, peer, rank,
						  core->current->member_count);
		jt_counts_clear_peer(peer);
	}
	jt_counts_sum_peers(core);
}

/* Returns true if the bucket's owner was removed without a handover. */
static bool owner_crashed(const struct jt_core *core,
			  const struct jt_cell_state *before,
			  uint32_t service_id, uint16_t bucket)
{
	const struct jt_table *table =
		before ? jt_cell_table(before, service_id) : NULL;
	const struct jt_core_peer *peer;
	uint64_t id;

	if (table == NULL || table->owner[bucket] == JT_NO_MEMBER)
		return false;
	id = before->members[table->owner[bucket]].id;
	if (id == core->options.node_id ||
	    jt_cell_member(core->current, id) != JT_NO_MEMBER)
		return false;
	peer = jt_peer_find(core, id);
	return peer == NULL || !peer->leaving;
}

static void mark_taken_over_buckets(struct jt_core *core,
				    const struct jt_cell_state *before)
{
	for (size_t t = 0; t < core->current->table_count; t++) {
		const struct jt_table *table = &core->current->tables[t];
		struct jt_bucket_mark *mark =
			jt_owner_bucket_marks(core, table->service_id);

		for (size_t b = 0; b < JT_BUCKETS; b++) {
			if (owner_crashed(core, before, table->service_id,
					  (uint16_t)b))
				mark->taken_over_ms[b] = core->now_ms;
		}
	}
}

/* Counts a record whose bucket this node owns now. */
static void recount_owned(struct jt_core *core,
			  const struct jt_cell_state *before,
			  uint32_t service_id, struct jt_flow *flow)
{
	bool counted = flow->flags & JT_FLOW_COUNTED;

	flow->flags &= (uint8_t)~JT_FLOW_UNASSIGNED;
	if (flow->flags & JT_FLOW_CLOSING)
		return;
	if (!counted && owner_crashed(core, before, service_id, flow->bucket))
		jt_counts_inherited_recounted(core, service_id, flow);
	jt_counts_add_flow(core, service_id, flow);
}

/* Counts a record if this node owns its bucket, or marks it as unassigned if
 * this node is neither owner nor replica. */
static void recount_flow(struct jt_core *core,
			 const struct jt_cell_state *before,
			 struct jt_flow *flow)
{
	const struct jt_table *table = jt_records_table(core->current, flow);
	uint16_t self = jt_core_own_index(core, core->current);
	bool member = table != NULL && self != JT_NO_MEMBER;

	if (member && table->owner[flow->bucket] == self) {
		recount_owned(core, before, table->service_id, flow);
		return;
	}
	flow->flags &= (uint8_t)~JT_FLOW_COUNTED;
	if (member && table->replica[flow->bucket] == self &&
	    (flow->flags & JT_FLOW_REPLICATED)) {
		flow->flags &= (uint8_t)~JT_FLOW_UNASSIGNED;
		return;
	}
	/* It may belong to a state that this node hasn't received yet. */
	if (!(flow->flags & JT_FLOW_UNASSIGNED))
		flow->seen_s = (uint32_t)(core->now_ms / 1000);
	flow->flags |= JT_FLOW_UNASSIGNED;
}

void jt_records_recount(struct jt_core *core,
			const struct jt_cell_state *before)
{
	inherit_crashed_counts(core, before);
	mark_taken_over_buckets(core, before);
	for (size_t i = 0; i < core->endpoint_count; i++)
		core->endpoints[i].own_open = 0;
	for (size_t i = 0; i < core->share_count; i++)
		core->shares[i].own = 0;
	for (size_t i = 0; i < core->flows->capacity; i++) {
		if (core->flows->slots[i].flags & JT_FLOW_USED)
			recount_flow(core, before, &core->flows->slots[i]);
	}
}

/* Clean buckets */

static void declare_table(struct jt_core *core, const struct jt_table *table,
			  const struct jt_service_config *service,
			  const uint8_t *recorded)
{
	struct jt_bucket_mark *mark =
		jt_owner_bucket_marks(core, table->service_id);

	for (size_t b = 0; b < JT_BUCKETS; b++) {
		uint16_t e = table->default_index[b];

		if (core->clean_count >= JT_CLEAN_MAX)
			return;
		if (jt_bucket_is_load_placed(b,
					     service->load_placed_permille) ||
		    !jt_bit_get(table->sticky, b) || e == JT_NO_ENDPOINT ||
		    jt_bit_get(mark->declared_clean, b) ||
		    jt_bit_get(recorded, b) ||
		    core->current->endpoints[e].state != JT_ENDPOINT_UP ||
		    jt_place_slow_start_permille(core, table->defaults[b]) <
			    1000 ||
		    !jt_owner_owns_bucket(core, table->service_id, (uint16_t)b))
			continue;
		jt_bit_set(mark->declared_clean, b, true);
		core->clean[core->clean_count].service_id = table->service_id;
		core->clean[core->clean_count++].bucket = (u_int)b;
	}
}

/* Sets the bits of the buckets, of any service, that have a record. */
static void mark_recorded_buckets(const struct jt_core *core, uint8_t *recorded)
{
	for (size_t i = 0; i < core->flows->capacity; i++) {
		const struct jt_flow *flow = &core->flows->slots[i];

		if (flow->flags & JT_FLOW_REPLICATED)
			jt_bit_set(recorded, flow->bucket, true);
	}
}

void jt_records_declare_empty_buckets(struct jt_core *core)
{
	uint8_t recorded[JT_BUCKET_BITMAP] = {0};

	if (!core->activated || core->accepted_state != NULL ||
	    core->now_ms < core->clean_due_ms)
		return;
	core->clean_due_ms = core->now_ms + JT_CLEAN_SCAN_MS;
	if (core->clean == NULL)
		core->clean = talloc_array(core, jt_wire_bucket, JT_CLEAN_MAX);
	if (core->clean == NULL)
		return;
	mark_recorded_buckets(core, recorded);
	for (size_t t = 0; t < core->current->table_count; t++) {
		const struct jt_table *table = &core->current->tables[t];
		const struct jt_service_config *service = jt_config_service(
			core->current->config, table->service_id);

		/* Buckets of a request service are always exceptional. */
		if (service != NULL && service->kind == JT_SERVICE_STREAM)
			declare_table(core, table, service, recorded);
	}
}
