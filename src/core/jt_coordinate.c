/*
 * Computes and proposes the next cell state.
 *
 * The coordinator does this: the live member with the lowest id. A proposal
 * takes effect only when it is agreed.
 */
#include "jt_core_private.h"

#include <stdlib.h>
#include <string.h>

enum {
	CLEAN_INTERVAL_MS =
		10000,		/* between proposals that only clean buckets */
	JOIN_FRESH_MS = 2000,	/* validity of a join request */
	STALE_ACCEPT_MS = 1500, /* an accepted state that isn't committed is
				   proposed again after this */
	SHEDDING_START_PERMILLE =
		970,		     /* utilisation at which shedding starts */
	SHEDDING_END_PERMILLE = 930, /* and below which it ends */
};

static uint32_t endpoint_capacity(const struct jt_config *config,
				  const struct jt_endpoint_config *endpoint)
{
	if (config->services[endpoint->service].kind == JT_SERVICE_REQUEST)
		return endpoint->slots;
	return endpoint->connections;
}

static bool is_down(const struct jt_core *core,
		    const struct jt_endpoint_view *view,
		    enum jt_endpoint_state current_state)
{
	if (view->fail_ms == 0)
		return false;
	if (core->now_ms > view->fail_ms + jt_health_valid_ms(core) &&
	    core->now_ms > view->ok_ms + jt_health_valid_ms(core))
		return current_state == JT_ENDPOINT_DOWN; /* no recent report */
	return view->fail_ms > view->ok_ms + JT_HEALTH_DOWN_MS;
}

static bool is_nearly_full(const struct jt_core *core, uint32_t id,
			   uint32_t capacity,
			   enum jt_endpoint_state current_state)
{
	uint64_t open = jt_counts_endpoint(core, id);
	uint64_t limit = current_state == JT_ENDPOINT_SHEDDING
				 ? SHEDDING_END_PERMILLE
				 : SHEDDING_START_PERMILLE;

	return open * 1000 >= (uint64_t)capacity * limit;
}

static enum jt_endpoint_state
next_endpoint_state(struct jt_core *core, const struct jt_config *config,
		    const struct jt_endpoint_config *endpoint,
		    enum jt_endpoint_state current_state)
{
	const struct jt_endpoint_view *view =
		jt_endpoint_view(core, endpoint->id);
	bool stream =
		config->services[endpoint->service].kind == JT_SERVICE_STREAM;

	if (is_down(core, view, current_state))
		return JT_ENDPOINT_DOWN;
	if (endpoint->draining || ((view->flags & JT_REPORT_OK) &&
				   (view->flags & JT_REPORT_DRAINING)))
		return JT_ENDPOINT_DRAINING;
	if (core->now_ms < view->shed_until_ms ||
	    (stream && is_nearly_full(core, endpoint->id, endpoint->connections,
				      current_state)))
		return JT_ENDPOINT_SHEDDING;
	return JT_ENDPOINT_UP;
}

static const struct jt_endpoint_config *
config_endpoint(const struct jt_config *config, uint32_t id)
{
	for (size_t i = 0; i < config->endpoint_count; i++) {
		if (config->endpoints[i].id == id)
			return &config->endpoints[i];
	}
	return NULL;
}

/* Returns the state of an endpoint that is not in the configuration. */
static enum jt_endpoint_state
next_removed_state(struct jt_core *core,
		   const struct jt_cell_endpoint *endpoint)
{
	struct jt_endpoint_view *view = jt_endpoint_view(core, endpoint->id);
	bool counted, reported;

	if (endpoint->state == JT_ENDPOINT_QUARANTINED)
		return JT_ENDPOINT_QUARANTINED;
	if (view->ok_ms == 0) /* unknown to this node: assume a recent report */
		view->ok_ms = core->now_ms;
	if (endpoint->state != JT_ENDPOINT_REMOVED) {
		view->emptied_ms = core->now_ms;
		return JT_ENDPOINT_REMOVED;
	}
	/* It is empty if the cell counts no flow and the endpoint reports no
	 * load, or has not answered for longer than a flow can be idle. */
	counted = jt_counts_endpoint(core, endpoint->id) != 0;
	reported =
		view->flags & JT_REPORT_OK
			? view->load != 0
			: core->now_ms <
				  view->ok_ms +
					  1000ull * core->options.flow_idle_s;
	if (view->emptied_ms == 0 || counted || reported)
		view->emptied_ms = core->now_ms;
	if (core->now_ms < view->emptied_ms + core->options.quarantine_ms)
		return JT_ENDPOINT_REMOVED;
	view->emptied_ms = core->now_ms;
	return JT_ENDPOINT_QUARANTINED;
}

static bool quarantine_expired(struct jt_core *core,
			       const struct jt_cell_endpoint *endpoint)
{
	struct jt_endpoint_view *view = jt_endpoint_view(core, endpoint->id);

	if (core->options.injected_faults & JT_FAULT_NO_QUARANTINE)
		return true;
	if (endpoint->state != JT_ENDPOINT_QUARANTINED)
		return false;
	if (view->emptied_ms == 0)
		view->emptied_ms = core->now_ms;
	return core->now_ms >= view->emptied_ms + core->options.quarantine_ms;
}

static void endpoint_to_wire(jt_wire_endpoint *wire, uint32_t id,
			     uint32_t service_id, struct jt_address address,
			     enum jt_endpoint_state state, uint32_t capacity)
{
	wire->id = id;
	wire->service_id = service_id;
	wire->address = address.ip;
	wire->port_state = (uint32_t)address.port << 16 | state;
	wire->capacity = capacity;
}

/* Returns true if another endpoint of @entries has the address. */
static bool address_taken(const jt_wire_endpoint *entries, u_int count,
			  struct jt_address address, uint32_t id)
{
	for (u_int i = 0; i < count; i++) {
		if (entries[i].id != id && entries[i].address == address.ip &&
		    entries[i].port_state >> 16 == address.port)
			return true;
	}
	return false;
}

static u_int list_removed(struct jt_core *core, const struct jt_config *config,
			  const struct jt_cell_state *state,
			  jt_wire_endpoint *entries)
{
	u_int count = 0;

	for (size_t i = 0; state && i < state->endpoint_count; i++) {
		const struct jt_cell_endpoint *endpoint = &state->endpoints[i];
		const struct jt_endpoint_config *entry =
			config_endpoint(config, endpoint->id);

		if (entry != NULL &&
		    jt_address_same(entry->address, endpoint->address) &&
		    config->services[entry->service].id == endpoint->service_id)
			continue;
		if (quarantine_expired(core, endpoint))
			continue;
		endpoint_to_wire(&entries[count++], endpoint->id,
				 endpoint->service_id, endpoint->address,
				 next_removed_state(core, endpoint),
				 endpoint->capacity);
	}
	return count;
}

static bool listed(const jt_wire_endpoint *entries, u_int count, uint32_t id)
{
	for (u_int i = 0; i < count; i++) {
		if (entries[i].id == id)
			return true;
	}
	return false;
}

static u_int list_endpoints(struct jt_core *core,
			    const struct jt_config *config,
			    const struct jt_cell_state *state,
			    jt_wire_endpoint *entries)
{
	u_int count = list_removed(core, config, state, entries);

	for (size_t i = 0; i < config->endpoint_count; i++) {
		const struct jt_endpoint_config *endpoint =
			&config->endpoints[i];
		enum jt_endpoint_state current_state = JT_ENDPOINT_UP;
		uint16_t e = state ? jt_cell_endpoint(state, endpoint->id)
				   : JT_NO_ENDPOINT;

		if (e != JT_NO_ENDPOINT)
			current_state = state->endpoints[e].state;
		if (listed(entries, count, endpoint->id) ||
		    address_taken(entries, count, endpoint->address,
				  endpoint->id))
			continue;
		endpoint_to_wire(&entries[count++], endpoint->id,
				 config->services[endpoint->service].id,
				 endpoint->address,
				 next_endpoint_state(core, config, endpoint,
						     current_state),
				 endpoint_capacity(config, endpoint));
	}
	return count;
}

static void member_to_wire(jt_wire_member *wire, const struct jt_member *member)
{
	wire->id = member->id;
	wire->zone = member->zone;
	wire->address = member->address.ip;
	wire->port = member->address.port;
}

static bool joiner_ready(const struct jt_core *core, size_t joiner)
{
	return core->now_ms <= core->joiner_ms[joiner] + JOIN_FRESH_MS &&
	       jt_cell_member(core->current, core->joiners[joiner].id) ==
		       JT_NO_MEMBER;
}

/* Returns true if a joiner has the member's address: the member's process was
 * restarted with a new id. */
static bool replaced_by_joiner(const struct jt_core *core,
			       const struct jt_member *member)
{
	for (size_t i = 0; i < core->joiner_count; i++) {
		const struct jt_member *joiner = &core->joiners[i];

		if (joiner_ready(core, i) &&
		    jt_address_same(joiner->address, member->address))
			return true;
	}
	return false;
}

static bool member_stays(const struct jt_core *core,
			 const struct jt_member *member)
{
	const struct jt_core_peer *peer = jt_peer_find(core, member->id);

	if (member->id == core->options.node_id)
		return !core->leaving;
	if (replaced_by_joiner(core, member) ||
	    (peer != NULL && peer->leaving &&
	     !jt_peer_is_suspect(core, member->id)))
		return false;
	return !jt_members_evictable(core, member->id);
}

/* Lists the members of the next state. Joiners are added only once the current
 * state has passed its barrier. */
static u_int list_members(struct jt_core *core, jt_wire_member *entries)
{
	const struct jt_cell_state *state = core->current;
	u_int count = 0;

	for (size_t i = 0; i < state->member_count; i++) {
		if (member_stays(core, &state->members[i]))
			member_to_wire(&entries[count++], &state->members[i]);
	}
	for (size_t i = 0; core->activated && i < core->joiner_count; i++) {
		if (joiner_ready(core, i) && count < JT_MAX_MEMBERS)
			member_to_wire(&entries[count++], &core->joiners[i]);
	}
	return count;
}

static jt_wire_proposal *
proposal_make(TALLOC_CTX *mem_ctx, const struct jt_core *core, size_t endpoints)
{
	jt_wire_proposal *proposal = talloc_zero(mem_ctx, jt_wire_proposal);

	if (proposal == NULL)
		return NULL;
	proposal->members.members_val =
		talloc_zero_array(proposal, jt_wire_member, JT_MAX_MEMBERS);
	proposal->endpoints.endpoints_val =
		talloc_zero_array(proposal, jt_wire_endpoint, endpoints + 1);
	proposal->clean_buckets.clean_buckets_val = talloc_zero_array(
		proposal, jt_wire_bucket,
		core->clean_received_count + core->clean_count + 1);
	if (proposal->members.members_val == NULL ||
	    proposal->endpoints.endpoints_val == NULL ||
	    proposal->clean_buckets.clean_buckets_val == NULL) {
		talloc_free(proposal);
		return NULL;
	}
	return proposal;
}

jt_wire_proposal *jt_coordinate_first(struct jt_core *core, TALLOC_CTX *mem_ctx)
{
	const struct jt_config *config = core->newest;
	const struct jt_member self = {core->options.node_id,
				       core->options.zone,
				       core->options.address};
	jt_wire_proposal *proposal =
		proposal_make(mem_ctx, core, config->endpoint_count);

	if (proposal == NULL)
		return NULL;
	proposal->epoch = 1;
	proposal->config_revision = config->revision;
	member_to_wire(&proposal->members.members_val[0], &self);
	proposal->members.members_len = 1;
	proposal->endpoints.endpoints_len = list_endpoints(
		core, config, NULL, proposal->endpoints.endpoints_val);
	return proposal;
}

static void add_clean(struct jt_core *core, jt_wire_proposal *proposal)
{
	u_int count = 0;

	for (size_t i = 0; i < core->clean_count; i++)
		proposal->clean_buckets.clean_buckets_val[count++] =
			core->clean[i];
	for (size_t i = 0; i < core->clean_received_count; i++)
		proposal->clean_buckets.clean_buckets_val[count++] =
			core->clean_received[i];
	if (count > JT_MAX_BUCKETS)
		count = JT_MAX_BUCKETS;
	proposal->clean_buckets.clean_buckets_len = count;
}

static bool same_members(const struct jt_cell_state *state,
			 const jt_wire_proposal *proposal)
{
	if (proposal->members.members_len != state->member_count)
		return false;
	for (u_int i = 0; i < proposal->members.members_len; i++) {
		if (jt_cell_member(state,
				   proposal->members.members_val[i].id) ==
		    JT_NO_MEMBER)
			return false;
	}
	return true;
}

static bool same_endpoints(const struct jt_cell_state *state,
			   const jt_wire_proposal *proposal)
{
	if (proposal->endpoints.endpoints_len != state->endpoint_count)
		return false;
	for (u_int i = 0; i < proposal->endpoints.endpoints_len; i++) {
		const jt_wire_endpoint *wire =
			&proposal->endpoints.endpoints_val[i];
		uint16_t e = jt_cell_endpoint(state, wire->id);

		if (e == JT_NO_ENDPOINT ||
		    state->endpoints[e].state != (wire->port_state & 0xffff) ||
		    state->endpoints[e].capacity != wire->capacity)
			return false;
	}
	return true;
}

/*
 * Returns true if this node can reach a majority of the members and holds a
 * lease, or reaches exactly half of them and needs the store's vote. A
 * partitioned node, which suspects all others, must not propose.
 */
static bool may_propose(const struct jt_core *core)
{
	const struct jt_cell_state *state = core->current;
	size_t reachable = 0;

	for (size_t i = 0; i < state->member_count; i++)
		reachable += !jt_members_evictable(core, state->members[i].id);
	if (reachable * 2 == state->member_count)
		return true;
	return reachable * 2 > state->member_count && jt_lease_valid(core);
}

static bool proposal_needed(const struct jt_core *core,
			    const jt_wire_proposal *proposal)
{
	const struct jt_cell_state *state = core->current;

	if (proposal->members.members_len == 0)
		return false;
	if (!same_members(state, proposal))
		return true;
	if (!core->activated)
		return false;
	if (proposal->config_revision != state->config->revision ||
	    !same_endpoints(state, proposal))
		return true;
	return proposal->clean_buckets.clean_buckets_len > 0 &&
	       core->now_ms >= core->committed_ms + CLEAN_INTERVAL_MS;
}

static jt_wire_proposal *next_proposal(struct jt_core *core)
{
	const struct jt_cell_state *state = core->current;
	const struct jt_config *config =
		core->activated ? core->newest : state->config;
	jt_wire_proposal *proposal = proposal_make(
		core, core, config->endpoint_count + state->endpoint_count);

	if (proposal == NULL)
		return NULL;
	proposal->epoch = state->epoch + 1;
	proposal->config_revision = config->revision;
	proposal->members.members_len =
		list_members(core, proposal->members.members_val);
	proposal->endpoints.endpoints_len = list_endpoints(
		core, config, state, proposal->endpoints.endpoints_val);
	add_clean(core, proposal);
	return proposal;
}

void jt_coordinate_tick(struct jt_core *core, struct jt_actions *actions)
{
	jt_wire_proposal *proposal;
	bool stalled;

	if (core->current == NULL || core->newest == NULL ||
	    core->proposer.phase != JT_PHASE_IDLE ||
	    core->now_ms < core->propose_after_ms ||
	    !jt_members_coordinator(core) || !may_propose(core))
		return;
	core->propose_after_ms = core->now_ms + JT_RETRANSMIT_MS;
	proposal = next_proposal(core);
	if (proposal == NULL)
		return;
	stalled = core->accepted_state != NULL &&
		  core->now_ms >= core->accepted_ms + STALE_ACCEPT_MS;
	if (!stalled && !proposal_needed(core, proposal)) {
		talloc_free(proposal);
		return;
	}
	jt_agree_propose(core, proposal, actions);
}
