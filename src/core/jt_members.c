/*
 * Heartbeats, the lease, failure detection and joining.
 *
 * A node forwards only while it holds a lease granted by a majority of its
 * cell. A heartbeat from a peer that has accepted no newer epoch is a grant;
 * it echoes the send time of this node's heartbeat. The lease is measured by
 * this node's clock only, so clocks need not be synchronised.
 */
#include "jt_core_private.h"

#include <string.h>

struct jt_core_peer *jt_peer_find(const struct jt_core *core, uint64_t id)
{
	struct jt_core_peer *peer = core->peers;

	while (peer != NULL && peer->member.id != id)
		peer = peer->next;
	return peer;
}

struct jt_core_peer *jt_peer_get(struct jt_core *core,
				 const struct jt_member *member)
{
	struct jt_core_peer *peer = jt_peer_find(core, member->id);

	if (peer != NULL) {
		peer->member = *member;
		return peer;
	}
	peer = talloc_zero(core, struct jt_core_peer);
	if (peer == NULL)
		return NULL;
	peer->member = *member;
	peer->last_heartbeat_ms = core->now_ms;
	peer->next = core->peers;
	core->peers = peer;
	return peer;
}

bool jt_peer_is_suspect(const struct jt_core *core, uint64_t id)
{
	const struct jt_core_peer *peer;

	if (id == core->options.node_id)
		return false;
	peer = jt_peer_find(core, id);
	if (peer == NULL)
		return true;
	return core->now_ms >
	       peer->last_heartbeat_ms + core->options.suspect_ms;
}

bool jt_peer_reports_suspect(const struct jt_core *core, uint64_t by,
			     uint64_t id)
{
	const struct jt_core_peer *peer = jt_peer_find(core, by);

	if (peer == NULL)
		return true;
	for (size_t i = 0; i < peer->suspect_count; i++) {
		if (peer->suspects[i] == id)
			return true;
	}
	return false;
}

bool jt_members_evictable(const struct jt_core *core, uint64_t id)
{
	const struct jt_cell_state *state = core->current;

	if (!jt_peer_is_suspect(core, id))
		return false;
	for (size_t i = 0; i < state->member_count; i++) {
		uint64_t other = state->members[i].id;

		if (other == id || other == core->options.node_id ||
		    jt_peer_is_suspect(core, other))
			continue;
		if (!jt_peer_reports_suspect(core, other, id))
			return false;
	}
	return true;
}

bool jt_members_coordinator(const struct jt_core *core)
{
	const struct jt_cell_state *state = core->current;

	if (state == NULL || jt_core_own_index(core, state) == JT_NO_MEMBER)
		return false;
	for (size_t i = 0; i < state->member_count; i++) {
		const struct jt_core_peer *peer;

		if (state->members[i].id == core->options.node_id)
			return true;
		peer = jt_peer_find(core, state->members[i].id);
		if (!jt_peer_is_suspect(core, state->members[i].id) &&
		    !(peer != NULL && peer->leaving))
			return false;
	}
	return false;
}

bool jt_lease_valid(const struct jt_core *core)
{
	if (core->current == NULL ||
	    jt_core_own_index(core, core->current) == JT_NO_MEMBER)
		return false;
	if (core->options.injected_faults & JT_FAULT_NO_LEASE)
		return true;
	return core->now_ms < core->lease_until_ms;
}

/* Extends the lease, which starts at the oldest of the most recent grants of a
 * majority. */
static void lease_renew(struct jt_core *core)
{
	const struct jt_cell_state *state = core->current;
	uint64_t grants[JT_MAX_MEMBERS];
	size_t count = 0, majority;

	if (state == NULL || jt_core_own_index(core, state) == JT_NO_MEMBER)
		return;
	for (size_t i = 0; i < state->member_count; i++) {
		const struct jt_core_peer *peer =
			jt_peer_find(core, state->members[i].id);
		uint64_t grant = peer ? peer->grant_ms : 0;
		size_t at = count++;

		if (state->members[i].id == core->options.node_id)
			grant = core->now_ms;
		for (; at > 0 && grants[at - 1] < grant; at--)
			grants[at] = grants[at - 1];
		grants[at] = grant;
	}
	majority = state->member_count / 2 + 1;
	if (majority > count)
		return;
	if (grants[majority - 1] == 0)
		return;
	if (grants[majority - 1] + core->options.lease_ms >
	    core->lease_until_ms)
		core->lease_until_ms =
			grants[majority - 1] + core->options.lease_ms;
}

static void heartbeat_send(struct jt_core *core, struct jt_core_peer *peer,
			   struct jt_actions *actions)
{
	jt_wire_body *body =
		jt_core_send(core, actions, &peer->member, JT_WIRE_HEARTBEAT);
	jt_wire_heartbeat *heartbeat = &body->jt_wire_body_u.heartbeat;
	const struct jt_cell_state *state = core->current;
	u_int count = 0;

	heartbeat->cell = state ? (u_int)state->cell : 0;
	heartbeat->epoch = state ? state->epoch : 0;
	heartbeat->accepted_ahead =
		(u_int)(jt_accepted_epoch(core) - heartbeat->epoch);
	heartbeat->transferred =
		core->transferred_epoch >= jt_accepted_epoch(core);
	heartbeat->config_revision = core->newest ? core->newest->revision : 0;
	heartbeat->revision_behind_active =
		(u_int)(heartbeat->config_revision -
			core->revision_active_on_all);
	heartbeat->sent_ms = (u_int)core->now_ms;
	heartbeat->echo_ms = peer->echo_ms;
	heartbeat->leaving = core->leaving;
	heartbeat->activated = core->activated;
	if (state == NULL)
		return;
	heartbeat->suspects.suspects_val =
		talloc_array(actions->messages, u_quad_t, state->member_count);
	for (size_t i = 0; i < state->member_count; i++) {
		if (jt_peer_is_suspect(core, state->members[i].id))
			heartbeat->suspects.suspects_val[count++] =
				state->members[i].id;
	}
	heartbeat->suspects.suspects_len = count;
}

/* Returns the heartbeat interval in ms: longer in large cells to stay within
 * the bandwidth budget, but short enough to keep the lease. */
static uint64_t heartbeat_interval(const struct jt_core *core)
{
	uint64_t scaled = core->current->member_count * JT_HEARTBEAT_BYTES *
			  1000 / JT_HEARTBEAT_BUDGET;
	uint64_t longest = core->options.lease_ms * 2 / 5;

	if (scaled > longest)
		scaled = longest;
	return scaled > core->options.heartbeat_ms ? scaled
						   : core->options.heartbeat_ms;
}

static void heartbeat_all(struct jt_core *core, struct jt_actions *actions)
{
	for (struct jt_core_peer *peer = core->peers; peer; peer = peer->next)
		heartbeat_send(core, peer, actions);
}

/* Returns the latest time up to @now whose low 32 bits are @low. */
static uint64_t clock_from_low(uint64_t now, uint32_t low)
{
	uint64_t time = (now & ~(uint64_t)UINT32_MAX) | low;

	return time > now && time > UINT32_MAX ? time - UINT32_MAX - 1 : time;
}

static void heartbeat_record(struct jt_core *core, struct jt_core_peer *peer,
			     const jt_wire_heartbeat *heartbeat)
{
	uint64_t echo = clock_from_low(core->now_ms, heartbeat->echo_ms);

	peer->last_heartbeat_ms = core->now_ms;
	peer->epoch = heartbeat->epoch;
	peer->accepted_epoch = heartbeat->epoch + heartbeat->accepted_ahead;
	if (heartbeat->transferred && heartbeat->accepted_ahead == 0)
		peer->transferred_epoch = peer->epoch;
	if (heartbeat->activated)
		peer->activated_epoch = peer->epoch;
	peer->config_revision = heartbeat->config_revision;
	peer->echo_ms = heartbeat->sent_ms;
	peer->leaving = heartbeat->leaving;
	talloc_free(peer->suspects);
	peer->suspects = talloc_memdup(
		peer, heartbeat->suspects.suspects_val,
		sizeof(uint64_t) * heartbeat->suspects.suspects_len);
	peer->suspect_count =
		peer->suspects ? heartbeat->suspects.suspects_len : 0;
	if (heartbeat->echo_ms != 0 &&
	    peer->accepted_epoch <= jt_accepted_epoch(core) &&
	    echo > peer->grant_ms && echo <= core->now_ms)
		peer->grant_ms = echo;
}

/* Answers a former member at an older epoch, which learns of its removal from
 * the newer epoch. */
static void heartbeat_answer_former_member(struct jt_core *core, uint64_t from,
					   const jt_wire_heartbeat *heartbeat,
					   struct jt_actions *actions)
{
	struct jt_core_peer *peer = jt_peer_find(core, from);

	if (peer == NULL || core->current == NULL ||
	    heartbeat->epoch >= core->current->epoch)
		return;
	heartbeat_send(core, peer, actions);
}

static void request_state(struct jt_core *core, const struct jt_member *to,
			  struct jt_actions *actions)
{
	jt_wire_body *body;

	if (core->state_request_ms != 0 &&
	    core->now_ms < core->state_request_ms + JT_RETRANSMIT_MS)
		return;
	core->state_request_ms = core->now_ms;
	body = jt_core_send(core, actions, to, JT_WIRE_STATE_REQUEST);
	body->jt_wire_body_u.state_request.epoch =
		core->current ? core->current->epoch : 0;
}

void jt_members_heartbeat(struct jt_core *core, uint64_t from,
			  const jt_wire_heartbeat *heartbeat,
			  struct jt_actions *actions)
{
	struct jt_core_peer *peer = jt_peer_find(core, from);
	uint64_t active_on_all =
		heartbeat->config_revision - heartbeat->revision_behind_active;

	if (core->current == NULL || peer == NULL)
		return;
	if (heartbeat->cell != 0 &&
	    heartbeat->cell != (u_int)core->current->cell)
		return;
	heartbeat_record(core, peer, heartbeat);
	lease_renew(core);
	if (jt_cell_member(core->current, from) == JT_NO_MEMBER)
		heartbeat_answer_former_member(core, from, heartbeat, actions);
	if (heartbeat->epoch > core->current->epoch)
		request_state(core, &peer->member, actions);
	if (core->newest == NULL ||
	    heartbeat->config_revision > core->newest->revision)
		jt_core_request_config(core, actions, peer->member.address,
				       heartbeat->config_revision);
	if (active_on_all > core->revision_active_on_all)
		core->revision_active_on_all = active_on_all;
}

static bool own_address(const struct jt_core *core, struct jt_address address)
{
	return jt_address_same(address, core->options.address);
}

/* Selects the next node to send a join request to, in turn: known members,
 * then candidates. Returns false if there is none. */
static bool join_target(struct jt_core *core, struct jt_address *to)
{
	size_t members = core->current ? core->current->member_count : 0;
	size_t total = members + core->candidate_count;

	for (size_t i = 0; i < total; i++) {
		size_t at = core->candidate_next++ % total;

		*to = at < members ? core->current->members[at].address
				   : core->candidates[at - members];
		if (!own_address(core, *to))
			return true;
	}
	return false;
}

static void join_request(struct jt_core *core, struct jt_actions *actions)
{
	struct jt_member to = {0};
	jt_wire_member *member;
	jt_wire_body *body;

	if (core->now_ms < core->join_due_ms || !join_target(core, &to.address))
		return;
	core->join_due_ms = core->now_ms + JT_JOIN_MS;
	body = jt_core_send(core, actions, &to, JT_WIRE_JOIN);
	body->jt_wire_body_u.join.lease_lost =
		core->current != NULL &&
		jt_core_own_index(core, core->current) != JT_NO_MEMBER;
	member = &body->jt_wire_body_u.join.member;
	member->id = core->options.node_id;
	member->zone = core->options.zone;
	member->address = core->options.address.ip;
	member->port = core->options.address.port;
	core->state_request_ms = 0;
	request_state(core, &to, actions);
}

static void joiner_add(struct jt_core *core, const struct jt_member *member)
{
	for (size_t i = 0; i < core->joiner_count; i++) {
		if (core->joiners[i].id == member->id) {
			core->joiner_ms[i] = core->now_ms;
			return;
		}
	}
	if (core->joiner_count >= JT_MAX_MEMBERS)
		return;
	core->joiners = talloc_realloc(core, core->joiners, struct jt_member,
				       core->joiner_count + 1);
	core->joiner_ms = talloc_realloc(core, core->joiner_ms, uint64_t,
					 core->joiner_count + 1);
	core->joiners[core->joiner_count] = *member;
	core->joiner_ms[core->joiner_count++] = core->now_ms;
}

static const struct jt_member *coordinator_member(const struct jt_core *core)
{
	for (size_t i = 0; i < core->current->member_count; i++) {
		uint64_t id = core->current->members[i].id;

		if (id != core->options.node_id &&
		    !jt_peer_is_suspect(core, id))
			return &core->current->members[i];
	}
	return NULL;
}

void jt_members_join(struct jt_core *core, const jt_wire_join *join,
		     struct jt_actions *actions)
{
	const struct jt_member member = {
		.id = join->member.id,
		.zone = join->member.zone,
		.address = {join->member.address, (uint16_t)join->member.port},
	};
	const struct jt_member *coordinator;
	jt_wire_body *body;

	if (core->current == NULL ||
	    jt_core_own_index(core, core->current) == JT_NO_MEMBER)
		return;
	if (jt_peer_get(core, &member) == NULL || join->lease_lost ||
	    jt_cell_member(core->current, member.id) != JT_NO_MEMBER)
		return;
	if (jt_members_coordinator(core)) {
		joiner_add(core, &member);
		return;
	}
	coordinator = coordinator_member(core);
	if (coordinator == NULL)
		return;
	body = jt_core_send(core, actions, coordinator, JT_WIRE_JOIN);
	body->jt_wire_body_u.join = *join;
}

/* Returns true if the peer is a member in a live state, or sent a heartbeat
 * recently. */
static bool peer_needed(const struct jt_core *core,
			const struct jt_core_peer *peer)
{
	const struct jt_cell_state *states[3];
	size_t count = jt_live_states(core, states);

	for (size_t i = 0; i < count; i++) {
		if (jt_cell_member(states[i], peer->member.id) != JT_NO_MEMBER)
			return true;
	}
	return core->now_ms <
	       peer->last_heartbeat_ms + 4 * core->options.suspect_ms;
}

void jt_members_update_peers(struct jt_core *core)
{
	const struct jt_cell_state *states[3];
	size_t count = jt_live_states(core, states);
	struct jt_core_peer **link = &core->peers;

	for (size_t i = 0; i < count; i++) {
		for (size_t m = 0; m < states[i]->member_count; m++) {
			const struct jt_member *member = &states[i]->members[m];

			if (member->id != core->options.node_id)
				jt_peer_get(core, member);
		}
	}
	while (*link != NULL) {
		struct jt_core_peer *peer = *link;

		if (peer_needed(core, peer)) {
			link = &peer->next;
			continue;
		}
		*link = peer->next;
		talloc_free(peer);
	}
}

static void lease_update(struct jt_core *core)
{
	bool held;

	lease_renew(core);
	held = jt_lease_valid(core);
	if (core->lease_held && !held)
		core->counters.lease_lost++;
	core->lease_held = held;
}

/* Returns true if this node belongs to no cell, or lost its lease so long ago
 * that it may have been evicted. */
static bool must_join(const struct jt_core *core)
{
	if (core->leaving)
		return false;
	if (core->current == NULL ||
	    jt_core_own_index(core, core->current) == JT_NO_MEMBER)
		return true;
	return core->now_ms >
	       core->lease_until_ms + 2 * core->options.suspect_ms;
}

void jt_members_tick(struct jt_core *core, struct jt_actions *actions)
{
	if (must_join(core))
		join_request(core, actions);
	if (core->current == NULL)
		return;
	lease_update(core);
	if (core->now_ms >= core->heartbeat_due_ms) {
		core->heartbeat_due_ms =
			core->now_ms + heartbeat_interval(core);
		heartbeat_all(core, actions);
	}
}
