/*
 * Forwarding of a packet.
 *
 * Any node forwards most packets directly to the default endpoint of their
 * bucket. Packets with SYN, FIN or RST, and all packets of exceptional
 * buckets, pass through the bucket's owner.
 */
#include "jt_core_private.h"

size_t jt_live_states(const struct jt_core *core,
		      const struct jt_cell_state **states)
{
	size_t count = 0;

	states[count++] = core->current;
	if (core->accepted_state != NULL)
		states[count++] = core->accepted_state;
	if (!core->activated && core->previous != NULL)
		states[count++] = core->previous;
	return count;
}

/* Returns the number of live states in which the bucket is exceptional;
 * @all is set to the number of live states. */
static size_t exceptional_states(const struct jt_core *core,
				 uint32_t service_id, uint16_t bucket,
				 size_t *all)
{
	const struct jt_cell_state *states[3];
	size_t count = 0;

	*all = jt_live_states(core, states);
	for (size_t i = 0; i < *all; i++) {
		const struct jt_table *table =
			jt_cell_table(states[i], service_id);

		count +=
			table != NULL && jt_bit_get(table->exceptional, bucket);
	}
	return count;
}

/* All buckets are exceptional in a state without the service. */
bool jt_bucket_exceptional_any(const struct jt_core *core, uint32_t service_id,
			       uint16_t bucket)
{
	const struct jt_cell_state *states[3];
	size_t count = jt_live_states(core, states);
	size_t all;

	for (size_t i = 0; i < count; i++) {
		if (jt_cell_table(states[i], service_id) == NULL)
			return true;
	}
	return exceptional_states(core, service_id, bucket, &all) > 0;
}

bool jt_bucket_exceptional_all(const struct jt_core *core, uint32_t service_id,
			       uint16_t bucket)
{
	size_t all;
	size_t count = exceptional_states(core, service_id, bucket, &all);

	return count == all;
}

static void forward_default(struct jt_core *core,
			    const struct jt_packet *packet,
			    const struct jt_table *table, uint16_t bucket,
			    struct jt_actions *actions)
{
	uint16_t index = table->default_index[bucket];
	struct jt_action *action;

	if (index == JT_NO_ENDPOINT ||
	    core->current->endpoints[index].state == JT_ENDPOINT_QUARANTINED) {
		jt_core_drop(core, actions, packet->token,
			     JT_REASON_NO_ENDPOINT);
		return;
	}
	action = jt_core_add_action(actions, JT_ACTION_FORWARD);
	action->token = packet->token;
	action->address = core->current->endpoints[index].address;
	action->endpoint_id = core->current->endpoints[index].id;
	core->counters.forwarded++;
}

static void relay_to(struct jt_core *core, const struct jt_packet *packet,
		     const struct jt_member *member, struct jt_actions *actions)
{
	struct jt_action *action;

	if (packet->hops >= JT_MAX_HOPS) {
		jt_core_drop(core, actions, packet->token, JT_REASON_HOPS);
		return;
	}
	action = jt_core_add_action(actions, JT_ACTION_RELAY);
	action->token = packet->token;
	action->address = member->address;
	action->hops = packet->hops + 1;
	core->counters.relayed++;
}

/* Returns a live member that does not suspect @unreachable, or NULL. @salt
 * spreads the choice among several members. */
static const struct jt_member *relay_member(const struct jt_core *core,
					    uint16_t unreachable, uint32_t salt)
{
	const struct jt_cell_state *state = core->current;

	for (size_t i = 0; i < state->member_count; i++) {
		size_t candidate = (i + salt) % state->member_count;
		uint64_t id = state->members[candidate].id;

		if (candidate == unreachable || id == core->options.node_id ||
		    jt_peer_is_suspect(core, id))
			continue;
		if (unreachable != JT_NO_MEMBER &&
		    jt_peer_reports_suspect(core, id,
					    state->members[unreachable].id))
			continue;
		return &state->members[candidate];
	}
	return NULL;
}

const struct jt_member *jt_relay_member(const struct jt_core *core, uint64_t id)
{
	uint16_t member = core->current ? jt_cell_member(core->current, id)
					: JT_NO_MEMBER;

	if (member == JT_NO_MEMBER || !jt_peer_is_suspect(core, id))
		return NULL;
	return relay_member(core, member, 0);
}

static void relay_to_owner(struct jt_core *core, const struct jt_packet *packet,
			   uint16_t owner, struct jt_actions *actions)
{
	const struct jt_member *member = &core->current->members[owner];

	if (jt_peer_is_suspect(core, member->id)) {
		const struct jt_member *through =
			relay_member(core, owner, packet->key.source_port);

		if (through != NULL)
			member = through;
	}
	relay_to(core, packet, member, actions);
}

/* Relays a packet to a member if this node is leaving, otherwise drops it. */
static void forward_without_lease(struct jt_core *core,
				  const struct jt_packet *packet,
				  struct jt_actions *actions)
{
	const struct jt_member *member;

	if (!core->leaving || core->current == NULL ||
	    core->current->member_count == 0) {
		jt_core_drop(core, actions, packet->token, JT_REASON_NO_LEASE);
		return;
	}
	member = relay_member(core, JT_NO_MEMBER, packet->key.source_port);
	if (member == NULL) {
		jt_core_drop(core, actions, packet->token, JT_REASON_NO_LEASE);
		return;
	}
	relay_to(core, packet, member, actions);
}

void jt_forward_packet(struct jt_core *core, const struct jt_packet *packet,
		       struct jt_actions *actions)
{
	const struct jt_address_config *address;
	const struct jt_table *table;
	uint16_t bucket, owner;
	bool exceptional, flow_boundary;

	if (!jt_lease_valid(core)) {
		forward_without_lease(core, packet, actions);
		return;
	}
	address = jt_config_address(core->current->config, &packet->key);
	if (address == NULL) {
		jt_core_drop(core, actions, packet->token,
			     JT_REASON_UNKNOWN_DESTINATION);
		return;
	}
	bucket = jt_flow_bucket(&packet->key);
	table = &core->current->tables[address->service];
	exceptional =
		jt_bucket_exceptional_any(core, table->service_id, bucket);
	flow_boundary =
		packet->tcp_flags & (JT_TCP_SYN | JT_TCP_FIN | JT_TCP_RST);
	if (!exceptional && !flow_boundary) {
		forward_default(core, packet, table, bucket, actions);
		return;
	}
	owner = table->owner[bucket];
	if (core->current->members[owner].id == core->options.node_id) {
		if (!exceptional && !(packet->tcp_flags & JT_TCP_SYN) &&
		    !jt_owner_owns_bucket(core, table->service_id, bucket)) {
			forward_default(core, packet, table, bucket, actions);
			return;
		}
		jt_owner_packet(core, packet, address, bucket, actions);
		return;
	}
	if (!exceptional && !(packet->tcp_flags & JT_TCP_SYN) &&
	    jt_peer_is_suspect(core, core->current->members[owner].id)) {
		forward_default(core, packet, table, bucket, actions);
		return;
	}
	relay_to_owner(core, packet, owner, actions);
}
