/* Event dispatch, actions, configurations and accessors for drivers. */
#include "jt_core_private.h"

#include <stdlib.h>
#include <string.h>

void jt_core_options_init(struct jt_core_options *options)
{
	*options = (struct jt_core_options){
		.heartbeat_ms = 500,
		.counts_ms = 1000,
		.lease_ms = 2000,
		.suspect_ms = 2400,
		.quarantine_ms = 5000,
		.flow_idle_s = 2 * 3600 + 4 * 60, /* RFC 5382, REQ-5 */
		.cold_start_ms = 30000,
		.reserve_permille = 500,
		.flow_limit = 1u << 20,
	};
}

struct jt_core *jt_core_create(TALLOC_CTX *mem_ctx,
			       const struct jt_core_options *options)
{
	struct jt_core *core;

	core = talloc_zero(mem_ctx, struct jt_core);
	if (core == NULL)
		return NULL;
	core->options = *options;
	core->flows = jt_flow_table_create(core, options->flow_limit);
	if (core->flows == NULL) {
		talloc_free(core);
		return NULL;
	}
	return core;
}

struct jt_actions *jt_actions_create(TALLOC_CTX *mem_ctx)
{
	struct jt_actions *actions;

	actions = talloc_zero(mem_ctx, struct jt_actions);
	if (actions == NULL)
		return NULL;
	actions->messages = talloc_new(actions);
	if (actions->messages == NULL) {
		talloc_free(actions);
		return NULL;
	}
	return actions;
}

void jt_actions_clear(struct jt_actions *actions)
{
	actions->count = 0;
	talloc_free_children(actions->messages);
}

struct jt_action *jt_core_add_action(struct jt_actions *actions,
				     enum jt_action_kind kind)
{
	struct jt_action *action;

	if (actions->count == actions->capacity) {
		size_t capacity =
			actions->capacity ? actions->capacity * 2 : 16;
		struct jt_action *items = talloc_realloc(
			actions, actions->items, struct jt_action, capacity);

		if (items == NULL)
			abort(); /* no memory to report the error */
		actions->items = items;
		actions->capacity = capacity;
	}
	action = &actions->items[actions->count++];
	memset(action, 0, sizeof(*action));
	action->kind = kind;
	return action;
}

void jt_core_drop(struct jt_core *core, struct jt_actions *actions,
		  uint64_t token, enum jt_reason reason)
{
	struct jt_action *action = jt_core_add_action(actions, JT_ACTION_DROP);

	action->token = token;
	action->reason = reason;
	core->counters.dropped[reason]++;
}

jt_wire_body *jt_core_send(struct jt_core *core, struct jt_actions *actions,
			   const struct jt_member *to, jt_wire_kind kind)
{
	struct jt_action *action = jt_core_add_action(actions, JT_ACTION_SEND);
	jt_wire_message *message =
		talloc_zero(actions->messages, jt_wire_message);

	if (message == NULL)
		abort();
	message->from = core->options.node_id;
	message->to = (u_int)to->id;
	message->body.kind = kind;
	action->address = to->address;
	action->message = message;
	return &message->body;
}

/*
 * As jt_core_send(), but through a member that can reach @to if this node
 * suspects it. For messages that are retransmitted until acknowledged.
 */
jt_wire_body *jt_core_send_relayed(struct jt_core *core,
				   struct jt_actions *actions,
				   const struct jt_member *to,
				   jt_wire_kind kind)
{
	const struct jt_member *through = jt_relay_member(core, to->id);
	jt_wire_message *message;
	jt_wire_relayed *relayed;

	if (through == NULL)
		return jt_core_send(core, actions, to, kind);
	message = talloc_zero(actions->messages, jt_wire_message);
	if (message == NULL)
		abort();
	message->from = core->options.node_id;
	message->to = (u_int)to->id;
	message->body.kind = kind;
	relayed = &jt_core_send(core, actions, through, JT_WIRE_RELAYED)
			   ->jt_wire_body_u.relayed;
	relayed->to = to->id;
	relayed->message = message;
	return &message->body;
}

void jt_core_publish(struct jt_actions *actions)
{
	jt_core_add_action(actions, JT_ACTION_PUBLISH);
}

const struct jt_config *jt_core_config(const struct jt_core *core,
				       uint64_t revision)
{
	for (size_t i = 0; i < JT_CONFIG_CACHE; i++) {
		if (core->configs[i] != NULL &&
		    core->configs[i]->revision == revision)
			return core->configs[i];
	}
	return NULL;
}

const struct jt_config *jt_core_newest_config(const struct jt_core *core)
{
	return core->newest;
}

void jt_core_request_config(struct jt_core *core, struct jt_actions *actions,
			    struct jt_address from, uint64_t revision)
{
	struct jt_action *action;

	if (core->fetch_ms != 0 &&
	    core->now_ms < core->fetch_ms + JT_RETRANSMIT_MS)
		return;
	core->fetch_ms = core->now_ms;
	action = jt_core_add_action(actions, JT_ACTION_FETCH_CONFIG);
	action->address = from;
	action->revision = revision;
}

static bool config_in_use(const struct jt_core *core,
			  const struct jt_config *config)
{
	return config == core->newest ||
	       (core->previous && core->previous->config == config) ||
	       (core->current && core->current->config == config) ||
	       (core->accepted_state && core->accepted_state->config == config);
}

/* Adds a configuration to the cache, evicting the oldest unused one. Keeps a
 * reference to @config. */
static void core_add_config(struct jt_core *core,
			    const struct jt_config *config)
{
	size_t slot = JT_CONFIG_CACHE;

	if (jt_core_config(core, config->revision) != NULL)
		return;
	for (size_t i = 0; i < JT_CONFIG_CACHE; i++) {
		if (core->configs[i] == NULL) {
			slot = i;
			break;
		}
		if (config_in_use(core, core->configs[i]))
			continue;
		if (slot == JT_CONFIG_CACHE ||
		    core->configs[i]->revision < core->configs[slot]->revision)
			slot = i;
	}
	if (slot == JT_CONFIG_CACHE)
		return;
	if (core->configs[slot] != NULL)
		talloc_unlink(core, (void *)core->configs[slot]);
	core->configs[slot] = talloc_reference(core, config);
	if (core->newest == NULL || core->newest->revision < config->revision) {
		core->newest = config;
		jt_place_mark_undesired(core);
	}
	core->fetch_ms = 0;
}

static void core_create_cell(struct jt_core *core, uint64_t cell,
			     struct jt_actions *actions)
{
	jt_wire_proposal *proposal;
	struct jt_cell_state *state;

	if (core->current != NULL || core->newest == NULL)
		return;
	proposal = jt_coordinate_first(core, core);
	if (proposal == NULL)
		return;
	state = jt_cell_apply(core, cell, NULL, proposal, core->newest,
			      core->options.injected_faults);
	talloc_free(proposal);
	if (state == NULL)
		return;
	jt_activate_commit(core, state, actions);
}

static void core_candidates(struct jt_core *core,
			    const struct jt_address *addresses, size_t count)
{
	talloc_free(core->candidates);
	core->candidates =
		talloc_memdup(core, addresses, sizeof(*addresses) * count);
	core->candidate_count = core->candidates ? count : 0;
}

static void core_message(struct jt_core *core, const jt_wire_message *message,
			 struct jt_actions *actions);

/* Copies a message, since the event's one is freed after the event. */
static jt_wire_message *message_copy(TALLOC_CTX *mem_ctx,
				     const jt_wire_message *from)
{
	jt_wire_message *copy = talloc_memdup(mem_ctx, from, sizeof(*from));
	jt_wire_records *records;

	if (copy == NULL)
		abort();
	if (copy->body.kind != JT_WIRE_RECORDS)
		return copy;
	records = &copy->body.jt_wire_body_u.records;
	records->records.records_val = talloc_memdup(
		mem_ctx, records->records.records_val,
		sizeof(jt_wire_record) * records->records.records_len);
	if (records->records.records_val == NULL)
		records->records.records_len = 0;
	return copy;
}

/* Relays a message to a member that its sender can't reach, one hop only. */
static void core_relay_message(struct jt_core *core,
			       const jt_wire_relayed *relayed,
			       struct jt_actions *actions)
{
	const struct jt_core_peer *peer = jt_peer_find(core, relayed->to);
	jt_wire_body *body;

	if (relayed->message == NULL ||
	    relayed->message->body.kind == JT_WIRE_RELAYED)
		return;
	if (relayed->to == core->options.node_id) {
		core_message(core, relayed->message, actions);
		return;
	}
	if (peer == NULL ||
	    (relayed->message->body.kind != JT_WIRE_RECORDS &&
	     relayed->message->body.kind != JT_WIRE_RECORDS_ACK))
		return;
	body = jt_core_send(core, actions, &peer->member, JT_WIRE_RELAYED);
	body->jt_wire_body_u.relayed.to = relayed->to;
	body->jt_wire_body_u.relayed.message =
		message_copy(actions->messages, relayed->message);
}

static void core_message(struct jt_core *core, const jt_wire_message *message,
			 struct jt_actions *actions)
{
	const jt_wire_body *body = &message->body;
	struct jt_core_peer *peer = jt_peer_find(core, message->from);

	if (message->from == core->options.node_id ||
	    (message->to != 0 && message->to != (u_int)core->options.node_id))
		return;
	switch (body->kind) {
	case JT_WIRE_HEARTBEAT:
		jt_members_heartbeat(core, message->from,
				     &body->jt_wire_body_u.heartbeat, actions);
		break;
	case JT_WIRE_JOIN:
		jt_members_join(core, &body->jt_wire_body_u.join, actions);
		break;
	case JT_WIRE_COUNTS:
		if (peer != NULL)
			jt_counts_message(core, peer,
					  &body->jt_wire_body_u.counts);
		break;
	case JT_WIRE_RECORDS:
		if (peer != NULL)
			jt_channel_records(core, peer,
					   &body->jt_wire_body_u.records,
					   actions);
		break;
	case JT_WIRE_RECORDS_ACK:
		if (peer != NULL)
			jt_channel_ack(core, peer,
				       &body->jt_wire_body_u.records_ack,
				       actions);
		break;
	case JT_WIRE_PREPARE:
	case JT_WIRE_PROMISE:
	case JT_WIRE_ACCEPT:
	case JT_WIRE_ACCEPTED:
	case JT_WIRE_COMMIT:
	case JT_WIRE_STATE_REQUEST:
	case JT_WIRE_STATE:
		jt_agree_message(core, message->from, body, actions);
		break;
	case JT_WIRE_RELAYED:
		core_relay_message(core, &body->jt_wire_body_u.relayed,
				   actions);
		break;
	case JT_WIRE_RELAY:
	case JT_WIRE_CONFIG_REQUEST:
	case JT_WIRE_CONFIG:
		break; /* handled by the driver */
	}
}

static void core_tick(struct jt_core *core, struct jt_actions *actions)
{
	jt_members_tick(core, actions);
	jt_owner_tick(core, actions);
	jt_counts_tick(core, actions);
	jt_agree_tick(core, actions);
	jt_activate_tick(core, actions);
	jt_coordinate_tick(core, actions);
}

void jt_core_handle(struct jt_core *core, const struct jt_event *event,
		    struct jt_actions *actions)
{
	core->now_ms = event->now_ms;
	switch (event->kind) {
	case JT_EVENT_TICK:
		core_tick(core, actions);
		break;
	case JT_EVENT_PACKET:
	case JT_EVENT_RELAYED:
		jt_forward_packet(core, &event->u.packet, actions);
		break;
	case JT_EVENT_MESSAGE:
		core_message(core, event->u.message, actions);
		break;
	case JT_EVENT_CONFIG:
		core_add_config(core, event->u.config);
		break;
	case JT_EVENT_HEALTH:
		jt_counts_health(core, &event->u.health, 0);
		break;
	case JT_EVENT_CANDIDATES:
		core_candidates(core, event->u.candidates.addresses,
				event->u.candidates.count);
		break;
	case JT_EVENT_CREATE_CELL:
		core_create_cell(core, event->u.cell, actions);
		break;
	case JT_EVENT_WITNESS:
		jt_agree_witness(core, event->u.witness, actions);
		break;
	case JT_EVENT_LEAVE:
		core->leaving = true;
		core->heartbeat_due_ms = 0;
		break;
	}
}

uint16_t jt_core_own_index(const struct jt_core *core,
			   const struct jt_cell_state *state)
{
	return jt_cell_member(state, core->options.node_id);
}

const struct jt_cell_state *jt_core_state(const struct jt_core *core)
{
	return core->current;
}

const struct jt_core_counters *jt_core_counters(const struct jt_core *core)
{
	return &core->counters;
}

uint64_t jt_core_node_id(const struct jt_core *core)
{
	return core->options.node_id;
}

bool jt_core_ready(const struct jt_core *core, uint64_t now_ms)
{
	if (core->current == NULL ||
	    jt_core_own_index(core, core->current) == JT_NO_MEMBER)
		return false;
	return now_ms < core->lease_until_ms;
}

uint64_t jt_core_lease_until(const struct jt_core *core)
{
	return core->lease_until_ms;
}

bool jt_core_coordinator(const struct jt_core *core)
{
	return jt_members_coordinator(core);
}

bool jt_core_bucket_needs_owner(const struct jt_core *core, size_t service,
				size_t bucket)
{
	return jt_bucket_exceptional_any(
		core, core->current->tables[service].service_id,
		(uint16_t)bucket);
}

uint64_t jt_core_revision_active_on_all(const struct jt_core *core)
{
	return core->revision_active_on_all;
}

size_t jt_core_flow_count(const struct jt_core *core)
{
	return core->flows->count;
}

uint32_t jt_core_endpoint_open(const struct jt_core *core, uint32_t endpoint_id)
{
	return jt_counts_endpoint(core, endpoint_id);
}

uint32_t jt_core_share_open(const struct jt_core *core, uint32_t service_id,
			    uint32_t group_id)
{
	return jt_counts_share(core, service_id, group_id);
}

bool jt_core_is_store_reader(const struct jt_core *core)
{
	const struct jt_cell_state *state = core->current;

	if (state == NULL || jt_core_own_index(core, state) == JT_NO_MEMBER)
		return true;
	for (size_t i = 0; i < state->member_count; i++) {
		const struct jt_member *member = &state->members[i];

		if (member->id == core->options.node_id)
			return true;
		if (member->zone == core->options.zone &&
		    !jt_peer_is_suspect(core, member->id))
			return false;
	}
	return false;
}

bool jt_core_is_prober(const struct jt_core *core, uint32_t endpoint_id)
{
	uint16_t owner, replica, self;

	if (core->current == NULL)
		return false;
	self = jt_core_own_index(core, core->current);
	if (self == JT_NO_MEMBER)
		return false;
	jt_cell_owners(core->current, endpoint_id, &owner, &replica);
	return self == owner || self == replica;
}

uint64_t jt_core_probe_interval(const struct jt_core *core, uint64_t min_ms)
{
	const struct jt_cell_state *state = core->current;
	uint64_t scaled;

	if (state == NULL || state->member_count == 0)
		return min_ms;
	scaled = 2 * state->endpoint_count * JT_PROBE_BYTES * 1000 /
		 (state->member_count * JT_PROBE_BUDGET);
	return scaled > min_ms ? scaled : min_ms;
}

uint32_t jt_core_lookup_flow(const struct jt_core *core,
			     const struct jt_flow_key *key, bool *recorded,
			     uint64_t *owner)
{
	const struct jt_address_config *address;
	const struct jt_table *table;
	const struct jt_flow *flow;
	uint16_t bucket = jt_flow_bucket(key);

	*recorded = false;
	*owner = 0;
	if (core->current == NULL)
		return 0;
	address = jt_config_address(core->current->config, key);
	if (address == NULL)
		return 0;
	table = &core->current->tables[address->service];
	if (table->owner[bucket] != JT_NO_MEMBER)
		*owner = core->current->members[table->owner[bucket]].id;
	flow = jt_flow_table_find(core->flows, key);
	if (flow != NULL) {
		*recorded = true;
		return flow->endpoint_id;
	}
	return table->defaults[bucket];
}
