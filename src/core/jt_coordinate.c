/*
 * What the next cell state should be.
 *
 * Every node could compute this; the member with the lowest id that is
 * alive proposes it. Nothing here is binding until it is agreed.
 */
#include "jt_core_private.h"

#include <stdlib.h>
#include <string.h>

enum {
	CLEAN_PAUSE_MS = 10000,	 /* between states that only clean buckets */
	JOIN_FRESH_MS = 2000,	 /* a joiner must have asked this lately */
	STALE_ACCEPT_MS = 1500,	 /* an accepted proposal nobody finishes */
	FULL_PERMILLE = 970,	 /* an endpoint is nearly full from here */
	NOT_FULL_PERMILLE = 930, /* and has room again below this */
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
		    enum jt_endpoint_state now)
{
	if (view->fail_ms == 0)
		return false;
	if (core->now_ms > view->fail_ms + jt_health_fresh_ms(core) &&
	    core->now_ms > view->ok_ms + jt_health_fresh_ms(core))
		return now == JT_ENDPOINT_DOWN; /* no news */
	return view->fail_ms > view->ok_ms + JT_HEALTH_DOWN_MS;
}

static bool is_full(const struct jt_core *core, uint32_t id, uint32_t capacity,
		    enum jt_endpoint_state now)
{
	uint64_t open = jt_counts_endpoint(core, id);
	uint64_t limit =
		now == JT_ENDPOINT_SHEDDING ? NOT_FULL_PERMILLE : FULL_PERMILLE;

	return open * 1000 >= (uint64_t)capacity * limit;
}

static enum jt_endpoint_state
judge_endpoint(struct jt_core *core, const struct jt_config *config,
	       const struct jt_endpoint_config *endpoint,
	       enum jt_endpoint_state now)
{
	const struct jt_endpoint_view *view =
		jt_endpoint_view(core, endpoint->id);
	bool stream =
		config->services[endpoint->service].kind == JT_SERVICE_STREAM;

	if (is_down(core, view, now))
		return JT_ENDPOINT_DOWN;
	if (endpoint->draining || ((view->flags & JT_REPORT_OK) &&
				   (view->flags & JT_REPORT_DRAINING)))
		return JT_ENDPOINT_DRAINING;
	if (core->now_ms < view->shed_until_ms ||
	    (stream && is_full(core, endpoint->id, endpoint->connections, now)))
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

/* What becomes of an endpoint that has left the configuration. */
static enum jt_endpoint_state
judge_removed(struct jt_core *core, const struct jt_cell_endpoint *endpoint)
{
	struct jt_endpoint_view *view = jt_endpoint_view(core, endpoint->id);
	bool counted, shown;

	if (endpoint->state == JT_ENDPOINT_GONE)
		return JT_ENDPOINT_GONE;
	if (view->ok_ms == 0) /* never seen by this node: as if just now */
		view->ok_ms = core->now_ms;
	if (endpoint->state != JT_ENDPOINT_REMOVED) {
		view->gone_ms = core->now_ms;
		return JT_ENDPOINT_REMOVED;
	}
	/* Empty by the cell's counts and by its own page. A silent page says
	 * nothing until no flow can be left. */
	counted = jt_counts_endpoint(core, endpoint->id) != 0;
	shown = view->flags & JT_REPORT_OK
			? view->load != 0
			: core->now_ms <
				  view->ok_ms +
					  1000ull * core->options.flow_idle_s;
	if (view->gone_ms == 0 || counted || shown)
		view->gone_ms = core->now_ms;
	if (core->now_ms < view->gone_ms + core->options.quarantine_ms)
		return JT_ENDPOINT_REMOVED;
	view->gone_ms = core->now_ms;
	return JT_ENDPOINT_GONE;
}

static bool removed_expired(struct jt_core *core,
			    const struct jt_cell_endpoint *endpoint)
{
	struct jt_endpoint_view *view = jt_endpoint_view(core, endpoint->id);

	if (core->options.break_mechanism & JT_BREAK_NO_QUARANTINE)
		return true;
	if (endpoint->state != JT_ENDPOINT_GONE)
		return false;
	if (view->gone_ms == 0)
		view->gone_ms = core->now_ms;
	return core->now_ms >= view->gone_ms + core->options.quarantine_ms;
}

static void wire_endpoint(jt_wire_endpoint *wire, uint32_t id,
			  uint32_t service_id, struct jt_address address,
			  enum jt_endpoint_state state, uint32_t capacity)
{
	wire->id = id;
	wire->service_id = service_id;
	wire->address = address.ip;
	wire->port_state = (uint32_t)address.port << 16 | state;
	wire->capacity = capacity;
}

/* An address stays taken until its last holder has left the state. */
static bool address_taken(const jt_wire_endpoint *list, u_int count,
			  struct jt_address address, uint32_t id)
{
	for (u_int i = 0; i < count; i++) {
		if (list[i].id != id && list[i].address == address.ip &&
		    list[i].port_state >> 16 == address.port)
			return true;
	}
	return false;
}

static u_int list_removed(struct jt_core *core, const struct jt_config *config,
			  const struct jt_cell_state *state,
			  jt_wire_endpoint *list)
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
		if (removed_expired(core, endpoint))
			continue;
		wire_endpoint(&list[count++], endpoint->id,
			      endpoint->service_id, endpoint->address,
			      judge_removed(core, endpoint),
			      endpoint->capacity);
	}
	return count;
}

static bool listed(const jt_wire_endpoint *list, u_int count, uint32_t id)
{
	for (u_int i = 0; i < count; i++) {
		if (list[i].id == id)
			return true;
	}
	return false;
}

static u_int list_endpoints(struct jt_core *core,
			    const struct jt_config *config,
			    const struct jt_cell_state *state,
			    jt_wire_endpoint *list)
{
	u_int count = list_removed(core, config, state, list);

	for (size_t i = 0; i < config->endpoint_count; i++) {
		const struct jt_endpoint_config *endpoint =
			&config->endpoints[i];
		enum jt_endpoint_state now = JT_ENDPOINT_UP;
		uint16_t e = state ? jt_cell_endpoint(state, endpoint->id)
				   : JT_NO_ENDPOINT;

		if (e != JT_NO_ENDPOINT)
			now = state->endpoints[e].state;
		if (listed(list, count, endpoint->id) ||
		    address_taken(list, count, endpoint->address, endpoint->id))
			continue;
		wire_endpoint(&list[count++], endpoint->id,
			      config->services[endpoint->service].id,
			      endpoint->address,
			      judge_endpoint(core, config, endpoint, now),
			      endpoint_capacity(config, endpoint));
	}
	return count;
}

static void wire_member(jt_wire_member *wire, const struct jt_member *member)
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

/* A restarted process has a new id at an old address: the old one is dead. */
static bool replaced(const struct jt_core *core, const struct jt_member *member)
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
	const struct jt_peer *peer = jt_peer_find(core, member->id);

	if (member->id == core->options.node_id)
		return !core->leaving;
	if (replaced(core, member) || (peer != NULL && peer->leaving &&
				       !jt_peer_suspect(core, member->id)))
		return false;
	return !jt_members_evictable(core, member->id);
}

/* While a state waits for its barrier, only lost members may go. */
static u_int list_members(struct jt_core *core, jt_wire_member *list)
{
	const struct jt_cell_state *state = core->current;
	u_int count = 0;

	for (size_t i = 0; i < state->member_count; i++) {
		if (member_stays(core, &state->members[i]))
			wire_member(&list[count++], &state->members[i]);
	}
	for (size_t i = 0; core->activated && i < core->joiner_count; i++) {
		if (joiner_ready(core, i) && count < JT_MAX_MEMBERS)
			wire_member(&list[count++], &core->joiners[i]);
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
	proposal->clean.clean_val = talloc_zero_array(
		proposal, jt_wire_bucket,
		core->collected_count + core->clean_count + 1);
	if (proposal->members.members_val == NULL ||
	    proposal->endpoints.endpoints_val == NULL ||
	    proposal->clean.clean_val == NULL) {
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
	wire_member(&proposal->members.members_val[0], &self);
	proposal->members.members_len = 1;
	proposal->endpoints.endpoints_len = list_endpoints(
		core, config, NULL, proposal->endpoints.endpoints_val);
	return proposal;
}

static void add_clean(struct jt_core *core, jt_wire_proposal *proposal)
{
	u_int count = 0;

	for (size_t i = 0; i < core->clean_count; i++)
		proposal->clean.clean_val[count++] = core->clean[i];
	for (size_t i = 0; i < core->collected_count; i++)
		proposal->clean.clean_val[count++] = core->collected[i];
	if (count > JT_MAX_BUCKETS)
		count = JT_MAX_BUCKETS;
	proposal->clean.clean_len = count;
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
 * Whoever is cut off sees everyone else as lost, so it takes a majority that
 * is heard and a lease, or exactly half of them with the store's vote.
 */
static bool may_propose(const struct jt_core *core)
{
	const struct jt_cell_state *state = core->current;
	size_t heard = 0;

	for (size_t i = 0; i < state->member_count; i++)
		heard += !jt_members_evictable(core, state->members[i].id);
	if (heard * 2 == state->member_count)
		return true;
	return heard * 2 > state->member_count && jt_lease_valid(core);
}

static bool worth_proposing(const struct jt_core *core,
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
	return proposal->clean.clean_len > 0 &&
	       core->now_ms >= core->committed_ms + CLEAN_PAUSE_MS;
}

static jt_wire_proposal *desired(struct jt_core *core)
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
	bool stuck;

	if (core->current == NULL || core->newest == NULL ||
	    core->proposer.phase != JT_PHASE_IDLE ||
	    core->now_ms < core->propose_after_ms ||
	    !jt_members_coordinator(core) || !may_propose(core))
		return;
	core->propose_after_ms = core->now_ms + JT_RETRANSMIT_MS;
	proposal = desired(core);
	if (proposal == NULL)
		return;
	stuck = core->tentative != NULL &&
		core->now_ms >= core->accepted_ms + STALE_ACCEPT_MS;
	if (!stuck && !worth_proposing(core, proposal)) {
		talloc_free(proposal);
		return;
	}
	jt_agree_propose(core, proposal, actions);
}
