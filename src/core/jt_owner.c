/*
 * Packets of the buckets that this node owns.
 *
 * The first packet of a flow reaches the owner of its bucket, which applies
 * admission control and selects the endpoint. If that is not the bucket's
 * default, the record is replicated before the packet is forwarded.
 */
#include "jt_core_private.h"

#include <string.h>

enum {
	RETRY_AFTER_SHARE_MS = 2000,
	RETRY_AFTER_CAPACITY_MS = 1000,
};

struct jt_bucket_mark *jt_owner_bucket_marks(struct jt_core *core,
					     uint32_t service_id)
{
	struct jt_bucket_mark *mark;

	for (size_t i = 0; i < core->mark_count; i++) {
		if (core->marks[i].service_id == service_id)
			return &core->marks[i];
	}
	core->marks = talloc_realloc(core, core->marks, struct jt_bucket_mark,
				     core->mark_count + 1);
	mark = &core->marks[core->mark_count++];
	memset(mark, 0, sizeof(*mark));
	mark->service_id = service_id;
	return mark;
}

bool jt_owner_owns_bucket(const struct jt_core *core, uint32_t service_id,
			  uint16_t bucket)
{
	const struct jt_cell_state *states[3];
	size_t count = jt_live_states(core, states);

	/* A node that just joined owns no bucket before its first barrier. */
	if (!core->activated && core->previous == NULL)
		return false;
	for (size_t i = 0; i < count; i++) {
		const struct jt_table *table =
			jt_cell_table(states[i], service_id);

		if (table == NULL || table->owner[bucket] == JT_NO_MEMBER ||
		    states[i]->members[table->owner[bucket]].id !=
			    core->options.node_id)
			return false;
	}
	return true;
}

uint32_t jt_service_id(const struct jt_core *core,
		       const struct jt_address_config *address)
{
	return core->current->config->services[address->service].id;
}

/* Each request has a replicated record, so that a new owner can count it. */
bool jt_service_counts_slots(const struct jt_core *core,
			     const struct jt_address_config *address)
{
	return core->current->config->services[address->service].kind ==
	       JT_SERVICE_REQUEST;
}

/* Packets */

static void forward_to(struct jt_core *core, uint64_t token,
		       uint32_t endpoint_id, struct jt_actions *actions)
{
	uint16_t e = jt_cell_endpoint(core->current, endpoint_id);
	struct jt_action *action;

	if (e == JT_NO_ENDPOINT ||
	    core->current->endpoints[e].state == JT_ENDPOINT_QUARANTINED) {
		jt_core_drop(core, actions, token, JT_REASON_NO_ENDPOINT);
		return;
	}
	action = jt_core_add_action(actions, JT_ACTION_FORWARD);
	action->token = token;
	action->address = core->current->endpoints[e].address;
	action->endpoint_id = endpoint_id;
	core->counters.forwarded++;
}

static void refuse(struct jt_core *core, uint64_t token, enum jt_reason reason,
		   struct jt_actions *actions)
{
	struct jt_action *action =
		jt_core_add_action(actions, JT_ACTION_REFUSE);

	action->token = token;
	action->reason = reason;
	action->retry_after_ms = reason == JT_REASON_OVER_SHARE
					 ? RETRY_AFTER_SHARE_MS
					 : RETRY_AFTER_CAPACITY_MS;
	core->counters.refused++;
}

static struct jt_core_peer *replica_peer(const struct jt_core *core,
					 uint32_t service_id, uint16_t bucket)
{
	const struct jt_cell_state *states[3];
	const struct jt_table *table;
	uint16_t replica;

	jt_live_states(core, states);
	table = jt_cell_table(states[0], service_id);
	replica = table->replica[bucket];
	if (replica == JT_NO_MEMBER ||
	    (core->options.injected_faults & JT_FAULT_NO_REPLICA))
		return NULL;
	return jt_peer_find(core, states[0]->members[replica].id);
}

/* Holds the packet until the replica acknowledges @sequence. */
static void hold_packet(struct jt_core *core, const struct jt_flow_key *key,
			uint64_t peer_id, uint32_t sequence, uint64_t token,
			struct jt_actions *actions)
{
	struct jt_pending_packet *held =
		talloc_zero(core, struct jt_pending_packet);
	struct jt_action *action;

	if (held == NULL) {
		jt_core_drop(core, actions, token, JT_REASON_FLOW_LIMIT);
		return;
	}
	held->key = *key;
	held->token = token;
	held->since_ms = core->now_ms;
	held->peer_id = peer_id;
	held->sequence = sequence;
	held->next = core->held;
	core->held = held;
	core->counters.held++;
	action = jt_core_add_action(actions, JT_ACTION_HOLD);
	action->token = token;
}

/*
 * Sends the record to the replica and holds the packet until it is
 * acknowledged. If the flow started earlier, it would lose its endpoint when
 * this node fails.
 */
static void replicate_and_hold(struct jt_core *core, struct jt_flow *flow,
			       struct jt_core_peer *peer,
			       const struct jt_packet *packet,
			       struct jt_actions *actions)
{
	jt_wire_record record;
	uint32_t sequence;

	jt_flow_to_wire(core, flow, &record);
	flow->flags |= JT_FLOW_PENDING;
	sequence = jt_channel_add(core, peer, &record, false);
	hold_packet(core, &packet->key, peer->member.id, sequence,
		    packet->token, actions);
}

/* Handles a retransmitted SYN whose record is not acknowledged yet. */
static void hold_retransmitted(struct jt_core *core, struct jt_flow *flow,
			       uint32_t service_id,
			       const struct jt_packet *packet,
			       struct jt_actions *actions)
{
	const struct jt_core_peer *peer =
		replica_peer(core, service_id, flow->bucket);

	flow->seen_s = (uint32_t)(core->now_ms / 1000);
	if (peer == NULL || peer->queue == NULL) {
		flow->flags &= (uint8_t)~JT_FLOW_PENDING;
		forward_to(core, packet->token, flow->endpoint_id, actions);
		return;
	}
	hold_packet(core, &packet->key, peer->member.id, peer->next_sequence,
		    packet->token, actions);
}

static void open_flow(struct jt_core *core, const struct jt_packet *packet,
		      const struct jt_address_config *address, uint16_t bucket,
		      struct jt_actions *actions)
{
	uint32_t service_id = jt_service_id(core, address);
	const struct jt_table *table = jt_cell_table(core->current, service_id);
	uint32_t group_id = core->current->config->groups[address->group].id;
	struct jt_core_peer *peer = replica_peer(core, service_id, bucket);
	enum jt_reason reason = JT_REASON_NONE;
	uint32_t endpoint_id = 0;
	jt_wire_record record;
	struct jt_flow *flow;

	if (!jt_place_select_endpoint(core, address, bucket, &endpoint_id,
				      &reason)) {
		if (reason == JT_REASON_OWNERSHIP_CHANGE)
			jt_core_drop(core, actions, packet->token, reason);
		else
			refuse(core, packet->token, reason, actions);
		return;
	}
	flow = jt_flow_table_add(core->flows, &packet->key);
	if (flow == NULL) {
		refuse(core, packet->token, JT_REASON_FLOW_LIMIT, actions);
		return;
	}
	flow->endpoint_id = endpoint_id;
	flow->group_id = group_id;
	flow->bucket = bucket;
	flow->seen_s = (uint32_t)(core->now_ms / 1000);
	core->counters.flows_opened++;
	jt_counts_add_flow(core, service_id, flow);
	if (endpoint_id == table->defaults[bucket] &&
	    !jt_service_counts_slots(core, address)) {
		forward_to(core, packet->token, endpoint_id, actions);
		return;
	}
	flow->flags |= JT_FLOW_REPLICATED;
	if (peer == NULL || jt_peer_is_suspect(core, peer->member.id)) {
		/* Queues the record, but doesn't wait for the replica. */
		if (peer != NULL) {
			jt_flow_to_wire(core, flow, &record);
			jt_channel_add(core, peer, &record, false);
		}
		core->counters.records_unreplicated++;
		forward_to(core, packet->token, endpoint_id, actions);
		return;
	}
	replicate_and_hold(core, flow, peer, packet, actions);
}

void jt_owner_close_flow(struct jt_core *core, struct jt_flow *flow,
			 uint32_t service_id)
{
	struct jt_core_peer *peer;
	jt_wire_record record;

	if (flow->flags & JT_FLOW_CLOSING)
		return;
	flow->flags |= JT_FLOW_CLOSING;
	core->counters.flows_closed++;
	jt_counts_remove_flow(core, service_id, flow);
	if (!(flow->flags & JT_FLOW_REPLICATED))
		return;
	peer = replica_peer(core, service_id, flow->bucket);
	if (peer == NULL)
		return;
	jt_flow_to_wire(core, flow, &record);
	jt_channel_add(core, peer, &record, false);
}

static bool is_opening(const struct jt_packet *packet)
{
	return (packet->tcp_flags & JT_TCP_SYN) &&
	       !(packet->tcp_flags & JT_TCP_ACK);
}

/*
 * Counts a flow again whose SYN is retransmitted after it was uncounted.
 * Returns false if its endpoint, which it must keep, has no capacity.
 */
static bool recount_reopened(struct jt_core *core, struct jt_flow *flow,
			     uint32_t service_id)
{
	if (!jt_place_has_capacity(core, flow->endpoint_id))
		return false;
	jt_counts_add_flow(core, service_id, flow);
	return true;
}

/*
 * Returns the record of the flow that a SYN opens, or NULL if it needs a
 * new one. Removes a closing record, and a pending one whose endpoint no longer
 * accepts new flows.
 */
static struct jt_flow *find_opening(struct jt_core *core, struct jt_flow *flow,
				    uint32_t service_id)
{
	if (flow == NULL)
		return NULL;
	if ((flow->flags & JT_FLOW_PENDING) &&
	    jt_place_worst_state(core, flow->endpoint_id) >=
		    JT_ENDPOINT_DRAINING) {
		flow->flags &= (uint8_t)~JT_FLOW_PENDING;
		jt_owner_close_flow(core, flow, service_id);
	}
	if ((flow->flags & JT_FLOW_CLOSING) == 0)
		return flow;
	jt_flow_table_remove(core->flows, flow);
	return NULL;
}

/* Forwards a packet of a flow without a record to the default endpoint. */
static void forward_unrecorded(struct jt_core *core,
			       const struct jt_packet *packet,
			       const struct jt_address_config *address,
			       uint16_t bucket, struct jt_actions *actions)
{
	const struct jt_config *config = core->current->config;
	uint32_t service_id = jt_service_id(core, address);
	uint32_t endpoint_id =
		jt_cell_table(core->current, service_id)->defaults[bucket];

	if (packet->tcp_flags & (JT_TCP_FIN | JT_TCP_RST))
		jt_counts_inherited_closed(core, service_id,
					   config->groups[address->group].id,
					   endpoint_id);
	forward_to(core, packet->token, endpoint_id, actions);
}

static void forward_by_record(struct jt_core *core,
			      const struct jt_packet *packet,
			      struct jt_flow *flow, uint32_t service_id,
			      struct jt_actions *actions)
{
	if (flow->flags & JT_FLOW_PENDING) {
		if (is_opening(packet))
			hold_retransmitted(core, flow, service_id, packet,
					   actions);
		else
			jt_core_drop(core, actions, packet->token,
				     JT_REASON_PENDING);
		return;
	}
	if (is_opening(packet) && !(flow->flags & JT_FLOW_COUNTED) &&
	    !recount_reopened(core, flow, service_id)) {
		jt_core_drop(core, actions, packet->token,
			     JT_REASON_NO_CAPACITY);
		return;
	}
	flow->seen_s = (uint32_t)(core->now_ms / 1000);
	forward_to(core, packet->token, flow->endpoint_id, actions);
	if (packet->tcp_flags & (JT_TCP_FIN | JT_TCP_RST))
		jt_owner_close_flow(core, flow, service_id);
}

void jt_owner_packet(struct jt_core *core, const struct jt_packet *packet,
		     const struct jt_address_config *address, uint16_t bucket,
		     struct jt_actions *actions)
{
	uint32_t service_id = jt_service_id(core, address);
	struct jt_flow *flow;

	if (!jt_owner_owns_bucket(core, service_id, bucket)) {
		jt_core_drop(core, actions, packet->token,
			     JT_REASON_OWNERSHIP_CHANGE);
		return;
	}
	flow = jt_flow_table_find(core->flows, &packet->key);
	if (is_opening(packet))
		flow = find_opening(core, flow, service_id);
	if (flow != NULL)
		forward_by_record(core, packet, flow, service_id, actions);
	else if (is_opening(packet))
		open_flow(core, packet, address, bucket, actions);
	else
		forward_unrecorded(core, packet, address, bucket, actions);
}

/* Held packets */

/* Forwards a held packet whose record the replica has acknowledged. */
static void release_held(struct jt_core *core,
			 const struct jt_pending_packet *held,
			 struct jt_actions *actions)
{
	struct jt_flow *flow = jt_flow_table_find(core->flows, &held->key);
	const struct jt_address_config *address;

	address = jt_config_address(core->current->config, &held->key);
	if (flow == NULL || address == NULL || !jt_lease_valid(core) ||
	    !jt_owner_owns_bucket(core, jt_service_id(core, address),
				  flow->bucket)) {
		if (flow != NULL)
			flow->flags &= (uint8_t)~JT_FLOW_PENDING;
		jt_core_drop(core, actions, held->token,
			     JT_REASON_OWNERSHIP_CHANGE);
		return;
	}
	flow->flags &= (uint8_t)~JT_FLOW_PENDING;
	forward_to(core, held->token, flow->endpoint_id, actions);
}

void jt_owner_acknowledged(struct jt_core *core, struct jt_core_peer *peer,
			   uint32_t sequence, struct jt_actions *actions)
{
	struct jt_pending_packet **link = &core->held;

	while (*link != NULL) {
		struct jt_pending_packet *held = *link;

		if (held->peer_id != peer->member.id ||
		    held->sequence > sequence) {
			link = &held->next;
			continue;
		}
		*link = held->next;
		release_held(core, held, actions);
		talloc_free(held);
	}
}

/* Drops packets held for too long. Their records stay pending, because the
 * client retransmits the packet. */
static void drop_timed_out(struct jt_core *core, struct jt_actions *actions)
{
	struct jt_pending_packet **link = &core->held;

	while (*link != NULL) {
		struct jt_pending_packet *held = *link;

		if (core->now_ms < held->since_ms + JT_HOLD_MS) {
			link = &held->next;
			continue;
		}
		*link = held->next;
		jt_core_drop(core, actions, held->token, JT_REASON_PENDING);
		talloc_free(held);
	}
}

void jt_owner_tick(struct jt_core *core, struct jt_actions *actions)
{
	if (core->current == NULL)
		return;
	drop_timed_out(core, actions);
	jt_records_expire(core);
}
