/*
 * Barrier and handover between two cell states.
 *
 * A new state is served once every node that could still use an older one
 * has committed it and transferred its records, or must have lost its lease.
 * Until then a node makes only decisions that are the same in all live
 * states; buckets whose owner changes are frozen.
 */
#include "jt_core_private.h"

#include <string.h>
#include <xxhash.h>

static const struct jt_cell_state *served_state(const struct jt_core *core)
{
	return core->activated ? core->current : core->previous;
}

static uint64_t member_id(const struct jt_cell_state *state, uint16_t index)
{
	return index == JT_NO_MEMBER ? 0 : state->members[index].id;
}

static void transfer_send(struct jt_core *core, const struct jt_flow *flow,
			  uint64_t to)
{
	struct jt_core_peer *peer = jt_peer_find(core, to);
	jt_wire_record record;

	if (to == 0 || to == core->options.node_id || peer == NULL)
		return;
	jt_flow_to_wire(core, flow, &record);
	jt_channel_add(core, peer, &record, true);
}

static void transfer_flow(struct jt_core *core, const struct jt_flow *flow,
			  const struct jt_cell_state *base,
			  const struct jt_table *base_table,
			  const struct jt_cell_state *target,
			  const struct jt_table *target_table)
{
	uint64_t self = core->options.node_id;
	uint64_t owner = member_id(base, base_table->owner[flow->bucket]);
	uint64_t replica = member_id(base, base_table->replica[flow->bucket]);
	uint64_t to = member_id(target, target_table->owner[flow->bucket]);
	uint64_t to_replica =
		member_id(target, target_table->replica[flow->bucket]);
	bool replicated = flow->flags & JT_FLOW_REPLICATED;

	if (owner == self) {
		if (to != replica || !replicated)
			transfer_send(core, flow, to);
		if (replicated && to_replica != replica)
			transfer_send(core, flow, to_replica);
		return;
	}
	if (replica != self || !replicated ||
	    jt_cell_member(target, owner) != JT_NO_MEMBER)
		return;
	transfer_send(core, flow, to);
	transfer_send(core, flow, to_replica);
}

/* Transfers the records that this node holds in @base to their owners and
 * replicas in @target. */
static void transfer_from(struct jt_core *core,
			  const struct jt_cell_state *base,
			  const struct jt_cell_state *target)
{
	if (base == NULL || base == target ||
	    (core->options.injected_faults & JT_FAULT_NO_HANDOVER))
		return;
	for (size_t i = 0; i < core->flows->capacity; i++) {
		const struct jt_flow *flow = &core->flows->slots[i];
		const struct jt_table *from, *to;

		if (!(flow->flags & JT_FLOW_USED))
			continue;
		from = jt_records_table(base, flow);
		to = jt_records_table(target, flow);
		if (from != NULL && to != NULL)
			transfer_flow(core, flow, base, from, target, to);
	}
}

/*
 * Starts the transfer from the served state and, if it still waits for its
 * barrier, from the current one: other members may already serve that.
 */
static void transfer_start(struct jt_core *core,
			   const struct jt_cell_state *target)
{
	core->transfer_target = target->epoch;
	/* Another proposal for the same epoch restarts the transfer. */
	if (core->transferred_epoch >= target->epoch)
		core->transferred_epoch = target->epoch - 1;
	transfer_from(core, served_state(core), target);
	if (!core->activated)
		transfer_from(core, core->current, target);
}

void jt_activate_forward_record(struct jt_core *core,
				const struct jt_flow *flow)
{
	const struct jt_cell_state *target = core->accepted_state;
	const struct jt_table *table;
	uint64_t owner, replica;

	if (target == NULL)
		return;
	table = jt_records_table(target, flow);
	if (table == NULL)
		return;
	owner = member_id(target, table->owner[flow->bucket]);
	replica = member_id(target, table->replica[flow->bucket]);
	if (owner == core->options.node_id || replica == core->options.node_id)
		return; /* the record is where it belongs */
	transfer_send(core, flow, owner);
	transfer_send(core, flow, replica);
}

static bool transfer_done(const struct jt_core *core)
{
	const struct jt_cell_state *target =
		core->accepted_state ? core->accepted_state : core->current;

	for (const struct jt_core_peer *peer = core->peers; peer;
	     peer = peer->next) {
		if (peer->queue != NULL &&
		    jt_cell_member(target, peer->member.id) != JT_NO_MEMBER)
			return false;
	}
	return true;
}

void jt_activate_set_accepted(struct jt_core *core, struct jt_cell_state *state)
{
	talloc_free(core->accepted_state);
	core->accepted_state = state;
	jt_place_record_draining(core, state);
	jt_members_update_peers(core);
	transfer_start(core, state);
	core->heartbeat_due_ms = 0;
}

void jt_activate_reset(struct jt_core *core, struct jt_actions *actions)
{
	struct jt_core_options options = core->options;
	struct jt_core_counters counters = core->counters;
	struct jt_pending_packet *held;

	for (held = core->held; held != NULL; held = held->next)
		jt_core_drop(core, actions, held->token, JT_REASON_NO_LEASE);
	while (core->peers != NULL) {
		struct jt_core_peer *peer = core->peers;

		core->peers = peer->next;
		talloc_free(peer);
	}
	while (core->held != NULL) {
		held = core->held;
		core->held = held->next;
		talloc_free(held);
	}
	jt_agree_reset(core);
	talloc_free(core->flows);
	talloc_free(core->previous);
	talloc_free(core->current);
	talloc_free(core->accepted_state);
	talloc_free(core->endpoints);
	talloc_free(core->shares);
	talloc_free(core->marks);
	talloc_free(core->clean);
	talloc_free(core->clean_received);
	talloc_free(core->joiners);
	talloc_free(core->joiner_ms);
	options.node_id = XXH64(&options.node_id, sizeof(uint64_t), 1);
	{
		struct jt_core initial = {
			.options = options,
			.counters = counters,
			.now_ms = core->now_ms,
			.newest = core->newest,
			.revision_active_on_all = core->revision_active_on_all,
			.candidates = core->candidates,
			.candidate_count = core->candidate_count,
		};

		memcpy(initial.configs, core->configs, sizeof(initial.configs));
		*core = initial;
	}
	core->flows = jt_flow_table_create(core, options.flow_limit);
	core->counters.state_resets++;
	jt_core_publish(actions);
}

/* Starts the transfer for a state that this node received as a whole, without
 * having accepted it. */
static void transfer_for_skipped(struct jt_core *core,
				 struct jt_cell_state *state)
{
	struct jt_cell_state *previous = core->accepted_state;

	if (core->current == NULL) {
		core->transfer_target = state->epoch;
		return;
	}
	core->accepted_state = state; /* adds its members as peers */
	jt_members_update_peers(core);
	core->accepted_state = previous;
	transfer_start(core, state);
}

static void discard_cell_state(struct jt_cell_state **state)
{
	talloc_free(*state);
	*state = NULL;
}

/* Resets the clean declarations, which are valid for one epoch. */
static void marks_reset(struct jt_core *core)
{
	for (size_t i = 0; i < core->mark_count; i++)
		memset(core->marks[i].declared_clean, 0,
		       sizeof(core->marks[i].declared_clean));
	core->clean_count = 0;
	core->clean_received_count = 0;
}

static void activate(struct jt_core *core, struct jt_actions *actions)
{
	core->activated = true;
	core->counters.epochs++;
	if (core->revision_active_on_all < core->current->config->revision)
		core->revision_active_on_all = core->current->config->revision;
	jt_records_recount(core, core->previous);
	discard_cell_state(&core->previous);
	jt_core_publish(actions);
	core->heartbeat_due_ms = 0;
}

void jt_activate_commit(struct jt_core *core, struct jt_cell_state *state,
			struct jt_actions *actions)
{
	bool was_member =
		core->current != NULL &&
		jt_core_own_index(core, core->current) != JT_NO_MEMBER;

	if (was_member && !core->leaving &&
	    jt_core_own_index(core, state) == JT_NO_MEMBER) {
		core->counters.evictions++;
		talloc_free(state);
		jt_activate_reset(core, actions);
		return;
	}
	core->epochs_skipped = core->current != NULL &&
			       state->epoch != core->current->epoch + 1;
	/* Starts the transfer before the states are replaced. */
	if (core->transfer_target != state->epoch)
		transfer_for_skipped(core, state);
	jt_agree_reset(core);
	if (core->activated || core->previous == NULL) {
		discard_cell_state(&core->previous);
		core->previous = core->current;
	} else {
		talloc_free(core->current);
	}
	if (core->accepted_state != NULL)
		discard_cell_state(&core->accepted_state);
	core->current = state;
	jt_place_record_draining(core, state);
	core->activated = false;
	core->committed_ms = core->now_ms;
	marks_reset(core);
	jt_members_update_peers(core);
	core->heartbeat_due_ms = 0;
	jt_core_publish(actions);
	if (core->options.injected_faults & JT_FAULT_NO_BARRIER)
		activate(core, actions);
	else
		jt_activate_tick(core, actions);
}

static bool member_ready(const struct jt_core *core, uint64_t id)
{
	uint64_t epoch = core->current ? core->current->epoch : 0;
	const struct jt_core_peer *peer;

	if (id == core->options.node_id)
		return core->transferred_epoch >= epoch;
	peer = jt_peer_find(core, id);
	/* The peer must know the state as agreed; otherwise its transfer may
	 * have been for another proposal of the same epoch. */
	if (peer != NULL && peer->epoch >= epoch &&
	    peer->transferred_epoch >= epoch)
		return true;
	if (jt_cell_member(core->current, id) != JT_NO_MEMBER)
		return false;
	return core->now_ms >= core->committed_ms + core->options.lease_ms;
}

/*
 * Returns true if another member has passed the barrier. That implies that
 * all members are ready, also those whose heartbeats this node doesn't receive.
 */
static bool another_activated(const struct jt_core *core)
{
	for (const struct jt_core_peer *peer = core->peers; peer;
	     peer = peer->next) {
		if (peer->activated_epoch >= core->current->epoch &&
		    jt_cell_member(core->current, peer->member.id) !=
			    JT_NO_MEMBER)
			return true;
	}
	return false;
}

static bool barrier_passed(const struct jt_core *core)
{
	const struct jt_cell_state *states[2] = {core->current, core->previous};

	if (core->epochs_skipped &&
	    core->now_ms < core->committed_ms + core->options.lease_ms)
		return false;
	if (another_activated(core) &&
	    core->transferred_epoch >= core->current->epoch)
		return true;
	for (size_t s = 0; s < 2; s++) {
		for (size_t i = 0; states[s] && i < states[s]->member_count;
		     i++) {
			if (!member_ready(core, states[s]->members[i].id))
				return false;
		}
	}
	return true;
}

static void leave_update(struct jt_core *core, struct jt_actions *actions)
{
	bool last_member, removed, partitioned;

	if (!core->leaving || core->left)
		return;
	last_member = core->activated && core->current->member_count == 1;
	removed = core->activated &&
		  jt_core_own_index(core, core->current) == JT_NO_MEMBER;
	/* The other members have removed this node, or will. */
	partitioned = core->now_ms >
		      core->lease_until_ms + 4 * core->options.suspect_ms;
	if (last_member || removed || partitioned) {
		core->left = true;
		jt_core_add_action(actions, JT_ACTION_LEFT);
	}
}

void jt_activate_tick(struct jt_core *core, struct jt_actions *actions)
{
	if (core->current == NULL) {
		if (core->leaving && !core->left) {
			core->left = true;
			jt_core_add_action(actions, JT_ACTION_LEFT);
		}
		return;
	}
	for (struct jt_core_peer *peer = core->peers; peer; peer = peer->next)
		jt_channel_flush(core, peer, actions);
	if (core->transferred_epoch < core->transfer_target &&
	    transfer_done(core)) {
		core->transferred_epoch = core->transfer_target;
		core->heartbeat_due_ms = 0;
	}
	if (!core->activated && barrier_passed(core))
		activate(core, actions);
	leave_update(core, actions);
}
