/*
 * Open flows by endpoint and by (service, group), and health reports.
 *
 * An owner counts the flows that it opens and closes, and sends its totals to
 * the cell. The counts of a crashed owner are divided among the remaining
 * members and decrease as its flows are seen to end.
 */
#include "jt_core_private.h"

#include <string.h>

enum { INHERITED_DECAY = 64 }; /* 1/64 is removed per counts interval */

struct jt_endpoint_view *jt_endpoint_view(struct jt_core *core, uint32_t id)
{
	struct jt_endpoint_view *view;

	for (size_t i = 0; i < core->endpoint_count; i++) {
		if (core->endpoints[i].id == id)
			return &core->endpoints[i];
	}
	core->endpoints =
		talloc_realloc(core, core->endpoints, struct jt_endpoint_view,
			       core->endpoint_count + 1);
	view = &core->endpoints[core->endpoint_count++];
	memset(view, 0, sizeof(*view));
	view->id = id;
	return view;
}

struct jt_share_view *jt_share_view(struct jt_core *core, uint32_t service_id,
				    uint32_t group_id)
{
	struct jt_share_view *view;

	for (size_t i = 0; i < core->share_count; i++) {
		if (core->shares[i].service_id == service_id &&
		    core->shares[i].group_id == group_id)
			return &core->shares[i];
	}
	core->shares = talloc_realloc(core, core->shares, struct jt_share_view,
				      core->share_count + 1);
	view = &core->shares[core->share_count++];
	memset(view, 0, sizeof(*view));
	view->service_id = service_id;
	view->group_id = group_id;
	return view;
}

void jt_counts_add_flow(struct jt_core *core, uint32_t service_id,
			struct jt_flow *flow)
{
	flow->flags |= JT_FLOW_COUNTED;
	jt_endpoint_view(core, flow->endpoint_id)->own_open++;
	jt_share_view(core, service_id, flow->group_id)->own++;
}

static bool is_request_service(const struct jt_core *core, uint32_t service_id)
{
	const struct jt_service_config *service =
		jt_config_service(core->current->config, service_id);

	return service != NULL && service->kind == JT_SERVICE_REQUEST;
}

static uint32_t open_local(uint32_t own, int32_t inherited)
{
	int64_t sum = (int64_t)own + inherited;

	return sum > 0 ? (uint32_t)sum : 0;
}

static void decrement(uint32_t *count)
{
	if (*count > 0)
		(*count)--;
}

void jt_counts_remove_flow(struct jt_core *core, uint32_t service_id,
			   struct jt_flow *flow)
{
	if (!(flow->flags & JT_FLOW_COUNTED))
		return;
	flow->flags &= (uint8_t)~JT_FLOW_COUNTED;
	decrement(&jt_endpoint_view(core, flow->endpoint_id)->own_open);
	decrement(&jt_share_view(core, service_id, flow->group_id)->own);
}

uint32_t jt_counts_endpoint(const struct jt_core *core, uint32_t id)
{
	for (size_t i = 0; i < core->endpoint_count; i++) {
		const struct jt_endpoint_view *view = &core->endpoints[i];

		if (view->id == id)
			return open_local(view->own_open, view->inherited) +
			       view->peers_open;
	}
	return 0;
}

uint32_t jt_counts_share(const struct jt_core *core, uint32_t service_id,
			 uint32_t group_id)
{
	for (size_t i = 0; i < core->share_count; i++) {
		const struct jt_share_view *view = &core->shares[i];

		if (view->service_id == service_id &&
		    view->group_id == group_id)
			return open_local(view->own, view->inherited) +
			       view->peers;
	}
	return 0;
}

void jt_counts_sum_peers(struct jt_core *core)
{
	for (size_t i = 0; i < core->endpoint_count; i++)
		core->endpoints[i].peers_open = 0;
	for (size_t i = 0; i < core->share_count; i++)
		core->shares[i].peers = 0;
	for (const struct jt_core_peer *peer = core->peers; peer;
	     peer = peer->next) {
		for (size_t i = 0; i < peer->endpoint_count; i++) {
			const struct jt_open_count *entry =
				&peer->endpoint_counts[i];

			jt_endpoint_view(core, entry->id)->peers_open +=
				entry->count;
		}
		for (size_t i = 0; i < peer->share_count; i++) {
			const struct jt_open_count *entry =
				&peer->share_counts[i];

			jt_share_view(core, entry->id, entry->group_id)
				->peers += entry->count;
		}
	}
}

void jt_counts_health(struct jt_core *core, const struct jt_health *health,
		      uint64_t age_ms)
{
	struct jt_endpoint_view *view =
		jt_endpoint_view(core, health->endpoint_id);
	uint64_t measured_ms =
		core->now_ms > age_ms ? core->now_ms - age_ms : 0;

	if (age_ms == 0)
		view->own_report = true;
	if (health->flags & JT_REPORT_OK) {
		if (measured_ms > view->ok_ms)
			view->ok_ms = measured_ms;
	} else if (measured_ms > view->fail_ms) {
		view->fail_ms = measured_ms;
	}
	if (measured_ms < view->report_ms)
		return;
	if (health->incarnation != 0) {
		view->restarted |= view->incarnation != 0 &&
				   view->incarnation != health->incarnation;
		view->incarnation = health->incarnation;
	}
	view->report_ms = measured_ms;
	view->flags = health->flags;
	view->load = health->load;
	if ((health->flags & JT_REPORT_OK) &&
	    (health->flags & JT_REPORT_SHEDDING))
		view->shed_until_ms = measured_ms + JT_HEALTH_VALID_MS / 2;
}

static void encode_endpoints(struct jt_core *core, jt_wire_counts *counts,
			     TALLOC_CTX *mem_ctx)
{
	const struct jt_cell_state *state = core->current;
	u_int reports = 0;

	counts->endpoints.endpoints_val =
		talloc_zero_array(mem_ctx, u_int, state->endpoint_count + 1);
	counts->reports.reports_val = talloc_zero_array(
		mem_ctx, jt_wire_report, state->endpoint_count + 1);
	if (counts->endpoints.endpoints_val == NULL ||
	    counts->reports.reports_val == NULL)
		return;
	for (size_t e = 0; e < state->endpoint_count; e++) {
		const struct jt_endpoint_view *view =
			jt_endpoint_view(core, state->endpoints[e].id);

		counts->endpoints.endpoints_val[e] =
			open_local(view->own_open, view->inherited);
		if (!view->own_report)
			continue;
		counts->reports.reports_val[reports++] = (jt_wire_report){
			(u_int)e << 16 | (u_int)view->incarnation << 8 |
				view->flags,
			view->load};
	}
	counts->endpoints.endpoints_len = (u_int)state->endpoint_count;
	counts->reports.reports_len = reports;
}

static void encode_shares(struct jt_core *core, jt_wire_counts *counts,
			  TALLOC_CTX *mem_ctx)
{
	const struct jt_config *config = core->current->config;

	counts->shares.shares_val =
		talloc_zero_array(mem_ctx, u_int, config->share_count + 1);
	if (counts->shares.shares_val == NULL)
		return;
	for (size_t i = 0; i < config->share_count; i++) {
		const struct jt_share_config *share = &config->shares[i];
		const struct jt_share_view *view =
			jt_share_view(core, config->services[share->service].id,
				      config->groups[share->group].id);

		counts->shares.shares_val[i] =
			open_local(view->own, view->inherited);
	}
	counts->shares.shares_len = (u_int)config->share_count;
}

static void clear_own_reports(struct jt_core *core)
{
	for (size_t i = 0; i < core->endpoint_count; i++)
		core->endpoints[i].own_report = false;
}

/* Returns the interval between counts messages in ms: longer with more members
 * or longer messages, to stay within the bandwidth budget. */
static uint64_t counts_interval(const struct jt_core *core)
{
	const struct jt_cell_state *state = core->current;
	uint64_t bytes = state->member_count *
			 (JT_COUNTS_BYTES + 4 * (state->endpoint_count +
						 state->config->share_count));
	uint64_t scaled = bytes * 1000 / JT_COUNTS_BUDGET;

	return scaled > core->options.counts_ms ? scaled
						: core->options.counts_ms;
}

uint64_t jt_health_valid_ms(const struct jt_core *core)
{
	uint64_t round =
		jt_core_probe_interval(core, 0) + counts_interval(core);

	return 2 * round > JT_HEALTH_VALID_MS ? 2 * round : JT_HEALTH_VALID_MS;
}

static void uncount_flow(struct jt_core *core, struct jt_flow *flow)
{
	const struct jt_table *table = jt_records_table(core->current, flow);

	if (table != NULL)
		jt_counts_remove_flow(core, table->service_id, flow);
	flow->flags &= (uint8_t)~JT_FLOW_COUNTED;
}

/* Returns the counted flow of endpoint @id that has been idle longest and was
 * last seen before @before_s, or NULL. */
static struct jt_flow *oldest_counted(struct jt_core *core, uint32_t id,
				      uint32_t before_s)
{
	struct jt_flow *oldest = NULL;

	for (size_t i = 0; i < core->flows->capacity; i++) {
		struct jt_flow *flow = &core->flows->slots[i];

		if (!(flow->flags & JT_FLOW_COUNTED) ||
		    flow->endpoint_id != id || flow->seen_s >= before_s)
			continue;
		if (oldest == NULL || flow->seen_s < oldest->seen_s)
			oldest = flow;
	}
	return oldest;
}

/* Uncounts all flows of endpoint @id that were last seen before @before_s. */
static void uncount_all(struct jt_core *core, uint32_t id, uint32_t before_s)
{
	for (size_t i = 0; i < core->flows->capacity; i++) {
		struct jt_flow *flow = &core->flows->slots[i];

		if ((flow->flags & JT_FLOW_COUNTED) &&
		    flow->endpoint_id == id && flow->seen_s < before_s)
			uncount_flow(core, flow);
	}
}

/*
 * Uncounts the flows that a restarted endpoint has lost; their records stay.
 * Flows that may belong to the new incarnation stay counted: those seen
 * recently and, of a request service, as many as the endpoint reports.
 */
static void uncount_endpoint(struct jt_core *core,
			     const struct jt_cell_endpoint *endpoint,
			     struct jt_endpoint_view *view)
{
	uint32_t now_s = (uint32_t)(core->now_ms / 1000);
	uint32_t before_s =
		now_s > JT_RESTART_KEEP_S ? now_s - JT_RESTART_KEEP_S : 0;
	struct jt_flow *flow;

	view->inherited = 0;
	if (!is_request_service(core, endpoint->service_id)) {
		uncount_all(core, endpoint->id, before_s);
		return;
	}
	while (view->own_open > view->load) {
		flow = oldest_counted(core, endpoint->id, before_s);
		if (flow == NULL)
			return;
		uncount_flow(core, flow);
		view = jt_endpoint_view(core, endpoint->id);
	}
}

/* Updates since when the endpoint has reported less than is counted. */
static void update_overcount(const struct jt_core *core,
			     struct jt_endpoint_view *view)
{
	if (!(view->flags & JT_REPORT_OK) ||
	    core->now_ms > view->report_ms + jt_health_valid_ms(core) ||
	    view->load >= jt_counts_endpoint(core, view->id))
		view->overcounted_since_ms = 0;
	else if (view->overcounted_since_ms == 0)
		view->overcounted_since_ms = core->now_ms;
}

/*
 * Decreases the counts inherited from crashed owners if the endpoint has
 * reported clearly less load for longer than a report can be delayed.
 */
static void decay_inherited(const struct jt_core *core,
			    struct jt_endpoint_view *view)
{
	uint64_t counted = jt_counts_endpoint(core, view->id);

	if (view->inherited <= 0 || !(view->flags & JT_REPORT_OK) ||
	    core->now_ms > view->report_ms + jt_health_valid_ms(core) ||
	    counted * 10 <= (uint64_t)view->load * 11 + 80 ||
	    view->overcounted_since_ms == 0 ||
	    core->now_ms <
		    view->overcounted_since_ms + JT_INHERITED_OVERCOUNT_MS)
		return;
	view->inherited -= 1 + view->inherited / INHERITED_DECAY;
}

static void update_endpoints(struct jt_core *core)
{
	for (size_t i = 0; i < core->current->endpoint_count; i++) {
		const struct jt_cell_endpoint *endpoint =
			&core->current->endpoints[i];
		struct jt_endpoint_view *view =
			jt_endpoint_view(core, endpoint->id);

		update_overcount(core, view);
		decay_inherited(core, view);
		if (endpoint->state == JT_ENDPOINT_DOWN) {
			view->was_down = true;
			view->up_since_ms = 0;
			continue;
		}
		if (view->was_down && (view->flags & JT_REPORT_OK) &&
		    view->report_ms > view->fail_ms) {
			view->was_down = false;
			view->up_since_ms = core->now_ms;
			view->restarted |= view->load == 0;
		}
		if (view->restarted) {
			view->restarted = false;
			view->up_since_ms = core->now_ms;
			uncount_endpoint(core, endpoint, view);
		}
	}
}

void jt_counts_tick(struct jt_core *core, struct jt_actions *actions)
{
	const struct jt_cell_state *state = core->current;
	struct jt_core_peer *coordinator = NULL;
	jt_wire_counts shared = {0};

	if (state == NULL || jt_core_own_index(core, state) == JT_NO_MEMBER ||
	    core->now_ms < core->counts_due_ms)
		return;
	core->counts_due_ms = core->now_ms + counts_interval(core);
	update_endpoints(core);
	jt_records_declare_empty_buckets(core);
	/* The messages to all peers share the same lists. */
	shared.epoch = state->epoch;
	encode_endpoints(core, &shared, actions->messages);
	encode_shares(core, &shared, actions->messages);
	for (size_t i = 0; i < state->member_count; i++) {
		struct jt_core_peer *peer =
			jt_peer_find(core, state->members[i].id);
		jt_wire_body *body;
		jt_wire_counts *counts;

		if (peer == NULL)
			continue;
		body = jt_core_send(core, actions, &peer->member,
				    JT_WIRE_COUNTS);
		counts = &body->jt_wire_body_u.counts;
		*counts = shared;
		if (coordinator != NULL ||
		    jt_peer_is_suspect(core, peer->member.id))
			continue;
		coordinator = peer;
		counts->clean_buckets.clean_buckets_val = talloc_memdup(
			actions->messages, core->clean,
			sizeof(jt_wire_bucket) * core->clean_count);
		counts->clean_buckets.clean_buckets_len =
			counts->clean_buckets.clean_buckets_val
				? (u_int)core->clean_count
				: 0;
	}
	clear_own_reports(core);
}

static void collect_clean(struct jt_core *core, const jt_wire_counts *counts)
{
	for (u_int i = 0; i < counts->clean_buckets.clean_buckets_len; i++) {
		const jt_wire_bucket *entry =
			&counts->clean_buckets.clean_buckets_val[i];
		bool known = false;

		for (size_t k = 0; k < core->clean_received_count; k++) {
			if (memcmp(&core->clean_received[k], entry,
				   sizeof(*entry)) == 0)
				known = true;
		}
		if (known || core->clean_received_count >= JT_MAX_BUCKETS)
			continue;
		core->clean_received = talloc_realloc(
			core, core->clean_received, jt_wire_bucket,
			core->clean_received_count + 1);
		core->clean_received[core->clean_received_count++] = *entry;
	}
}

static void store_endpoint_counts(struct jt_core *core,
				  struct jt_core_peer *peer,
				  const jt_wire_counts *counts)
{
	const struct jt_cell_state *state = core->current;

	talloc_free(peer->endpoint_counts);
	peer->endpoint_counts = talloc_zero_array(peer, struct jt_open_count,
						  state->endpoint_count + 1);
	peer->endpoint_count = 0;
	for (size_t e = 0;
	     peer->endpoint_counts != NULL && e < state->endpoint_count &&
	     e < counts->endpoints.endpoints_len;
	     e++) {
		peer->endpoint_counts[e].id = state->endpoints[e].id;
		peer->endpoint_counts[e].count =
			counts->endpoints.endpoints_val[e];
		peer->endpoint_count++;
	}
}

static void store_share_counts(struct jt_core *core, struct jt_core_peer *peer,
			       const jt_wire_counts *counts)
{
	const struct jt_config *config = core->current->config;

	talloc_free(peer->share_counts);
	peer->share_counts = talloc_zero_array(peer, struct jt_open_count,
					       config->share_count + 1);
	peer->share_count = 0;
	for (size_t i = 0;
	     peer->share_counts != NULL && i < config->share_count &&
	     i < counts->shares.shares_len;
	     i++) {
		const struct jt_share_config *share = &config->shares[i];
		struct jt_open_count *count = &peer->share_counts[i];

		count->id = config->services[share->service].id;
		count->group_id = config->groups[share->group].id;
		count->count = counts->shares.shares_val[i];
		peer->share_count++;
	}
}

static void store_reports(struct jt_core *core, const jt_wire_counts *counts)
{
	for (u_int i = 0; i < counts->reports.reports_len; i++) {
		const jt_wire_report *report = &counts->reports.reports_val[i];
		size_t position = report->position_flags >> 16;
		struct jt_health health = {
			.flags = report->position_flags & 0xff,
			.incarnation = (uint8_t)(report->position_flags >> 8),
			.load = report->load,
		};

		if (position >= core->current->endpoint_count)
			continue;
		health.endpoint_id = core->current->endpoints[position].id;
		jt_counts_health(core, &health, core->options.counts_ms / 2);
	}
}

void jt_counts_message(struct jt_core *core, struct jt_core_peer *peer,
		       const jt_wire_counts *counts)
{
	/* Positions in the lists are valid in the same epoch only. */
	if (core->current == NULL || counts->epoch != core->current->epoch)
		return;
	store_endpoint_counts(core, peer, counts);
	store_share_counts(core, peer, counts);
	store_reports(core, counts);
	jt_counts_sum_peers(core);
	collect_clean(core, counts);
}

static int32_t divide_count(uint32_t count, size_t rank, size_t survivors)
{
	return (int32_t)(count / (uint32_t)survivors +
			 (rank < count % survivors ? 1 : 0));
}

void jt_counts_clear_peer(struct jt_core_peer *peer)
{
	peer->endpoint_count = 0;
	peer->share_count = 0;
}

/* Request services are skipped: all their flows have records, which the next
 * owner counts. */
void jt_counts_inherit_crashed(struct jt_core *core,
			       const struct jt_core_peer *peer, size_t rank,
			       size_t survivors)
{
	for (size_t i = 0; i < peer->endpoint_count; i++) {
		const struct jt_open_count *count = &peer->endpoint_counts[i];
		uint16_t e = jt_cell_endpoint(core->current, count->id);

		if (e == JT_NO_ENDPOINT ||
		    is_request_service(core,
				       core->current->endpoints[e].service_id))
			continue;
		jt_endpoint_view(core, count->id)->inherited +=
			divide_count(count->count, rank, survivors);
	}
	for (size_t i = 0; i < peer->share_count; i++) {
		const struct jt_open_count *count = &peer->share_counts[i];

		if (is_request_service(core, count->id))
			continue;
		jt_share_view(core, count->id, count->group_id)->inherited +=
			divide_count(count->count, rank, survivors);
	}
}

/* Removes an ended flow without a record from the inherited counts. */
void jt_counts_inherited_closed(struct jt_core *core, uint32_t service_id,
				uint32_t group_id, uint32_t endpoint_id)
{
	struct jt_endpoint_view *endpoint = jt_endpoint_view(core, endpoint_id);
	struct jt_share_view *share = jt_share_view(core, service_id, group_id);

	if (open_local(endpoint->own_open, endpoint->inherited) > 0)
		endpoint->inherited--;
	if (open_local(share->own, share->inherited) > 0)
		share->inherited--;
}

/* Removes a flow from the inherited counts that this node counts itself now. */
void jt_counts_inherited_recounted(struct jt_core *core, uint32_t service_id,
				   const struct jt_flow *flow)
{
	if (is_request_service(core, service_id))
		return;
	jt_endpoint_view(core, flow->endpoint_id)->inherited--;
	jt_share_view(core, service_id, flow->group_id)->inherited--;
}
