/*
 * The cell state and the pure function that computes the next one.
 *
 * Owners are assigned by rendezvous hashing (Thaler and Ravishankar, 1998): a
 * membership change moves only the buckets of the member that joins or leaves.
 */
#include "jaspertrack/cell.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Permutes the buckets; odd, because JT_BUCKETS is a power of two. */
enum { LOAD_PLACED_STRIDE = 661 };

static int member_compare(const void *left, const void *right)
{
	const struct jt_member *a = left;
	const struct jt_member *b = right;

	return (a->id > b->id) - (a->id < b->id);
}

static int endpoint_compare(const void *left, const void *right)
{
	const struct jt_cell_endpoint *a = left;
	const struct jt_cell_endpoint *b = right;

	return (a->id > b->id) - (a->id < b->id);
}

uint16_t jt_cell_member(const struct jt_cell_state *state, uint64_t id)
{
	struct jt_member key = {.id = id};
	struct jt_member *found;

	if (state->member_count == 0)
		return JT_NO_MEMBER;
	found = bsearch(&key, state->members, state->member_count, sizeof(key),
			member_compare);
	return found ? (uint16_t)(found - state->members) : JT_NO_MEMBER;
}

uint16_t jt_cell_endpoint(const struct jt_cell_state *state, uint32_t id)
{
	struct jt_cell_endpoint key = {.id = id};
	struct jt_cell_endpoint *found;

	if (id == 0 || state->endpoint_count == 0)
		return JT_NO_ENDPOINT;
	found = bsearch(&key, state->endpoints, state->endpoint_count,
			sizeof(key), endpoint_compare);
	return found ? (uint16_t)(found - state->endpoints) : JT_NO_ENDPOINT;
}

const struct jt_table *jt_cell_table(const struct jt_cell_state *state,
				     uint32_t service_id)
{
	for (size_t i = 0; i < state->table_count; i++) {
		if (state->tables[i].service_id == service_id)
			return &state->tables[i];
	}
	return NULL;
}

static uint64_t rendezvous_weight(uint64_t key, uint64_t id)
{
	uint64_t input[2] = {key, id};

	return XXH64(input, sizeof(input), 0);
}

void jt_cell_owners(const struct jt_cell_state *state, uint64_t key,
		    uint16_t *owner, uint16_t *replica)
{
	uint64_t best = 0, best_other = 0, best_any = 0;
	uint16_t other = JT_NO_MEMBER, any = JT_NO_MEMBER;
	size_t i;

	*owner = JT_NO_MEMBER;
	for (i = 0; i < state->member_count; i++) {
		uint64_t weight = rendezvous_weight(key, state->members[i].id);

		if (*owner == JT_NO_MEMBER || weight > best) {
			best = weight;
			*owner = (uint16_t)i;
		}
	}
	for (i = 0; i < state->member_count; i++) {
		uint64_t weight = rendezvous_weight(key, state->members[i].id);

		if (i == *owner)
			continue;
		if (any == JT_NO_MEMBER || weight > best_any) {
			best_any = weight;
			any = (uint16_t)i;
		}
		if (state->members[i].zone == state->members[*owner].zone)
			continue;
		if (other == JT_NO_MEMBER || weight > best_other) {
			best_other = weight;
			other = (uint16_t)i;
		}
	}
	*replica = other != JT_NO_MEMBER ? other : any;
}

/* Orders addresses as struct jt_config.addresses is sorted. */
static int address_key_compare(const void *left, const void *right)
{
	const struct jt_flow_key *key = left;
	const struct jt_address_config *entry = right;

	if (key->destination != entry->address.ip)
		return key->destination < entry->address.ip ? -1 : 1;
	if (key->destination_port != entry->address.port)
		return key->destination_port < entry->address.port ? -1 : 1;
	return key->protocol - entry->protocol;
}

const struct jt_address_config *
jt_config_address(const struct jt_config *config, const struct jt_flow_key *key)
{
	if (config->address_count == 0)
		return NULL;
	return bsearch(key, config->addresses, config->address_count,
		       sizeof(struct jt_address_config), address_key_compare);
}

uint16_t jt_flow_bucket(const struct jt_flow_key *key)
{
	uint32_t words[4] = {
		key->source,
		key->destination,
		(uint32_t)key->source_port << 16 | key->destination_port,
		key->protocol,
	};

	return (uint16_t)(XXH64(words, sizeof(words), 0) % JT_BUCKETS);
}

const struct jt_service_config *
jt_config_service(const struct jt_config *config, uint32_t service_id)
{
	for (size_t i = 0; i < config->service_count; i++) {
		if (config->services[i].id == service_id)
			return &config->services[i];
	}
	return NULL;
}

/*
 * The multiplier spreads the buckets placed by load, so that they don't
 * correlate with the order in which default endpoints are assigned.
 */
bool jt_bucket_is_load_placed(size_t bucket, uint32_t load_placed_permille)
{
	size_t position = bucket * LOAD_PLACED_STRIDE % JT_BUCKETS;

	return position * 1000 < (size_t)load_placed_permille * JT_BUCKETS;
}

/*
 * Counts the default buckets of each endpoint: the ordinary ones in the first
 * half of @default_counts, those placed by load in the second. Each kind is
 * balanced separately, because selection by load, not the default endpoint,
 * determines the load of the second kind.
 */
static void count_defaults(const struct jt_table *table,
			   const struct jt_cell_state *state,
			   uint32_t load_placed_permille,
			   uint32_t *default_counts)
{
	memset(default_counts, 0,
	       2 * sizeof(*default_counts) * state->endpoint_count);
	for (size_t b = 0; b < JT_BUCKETS; b++) {
		uint16_t e = jt_cell_endpoint(state, table->defaults[b]);

		if (e == JT_NO_ENDPOINT)
			continue;
		if (jt_bucket_is_load_placed(b, load_placed_permille))
			default_counts[state->endpoint_count + e]++;
		else
			default_counts[e]++;
	}
}

/* Returns the endpoint of the service with the fewest default buckets per
 * capacity, preferring endpoints that are up; JT_NO_ENDPOINT if none. */
static uint16_t least_assigned_endpoint(const struct jt_cell_state *state,
					uint32_t service_id,
					const uint32_t *default_counts)
{
	uint16_t best = JT_NO_ENDPOINT;

	for (size_t e = 0; e < state->endpoint_count; e++) {
		const struct jt_cell_endpoint *candidate = &state->endpoints[e];
		const struct jt_cell_endpoint *best_endpoint;
		uint64_t candidate_cost, best_cost;

		if (candidate->service_id != service_id ||
		    candidate->state >= JT_ENDPOINT_REMOVED)
			continue;
		if (best == JT_NO_ENDPOINT) {
			best = (uint16_t)e;
			continue;
		}
		best_endpoint = &state->endpoints[best];
		if ((candidate->state != JT_ENDPOINT_UP) !=
		    (best_endpoint->state != JT_ENDPOINT_UP)) {
			if (candidate->state == JT_ENDPOINT_UP)
				best = (uint16_t)e;
			continue;
		}
		candidate_cost = (uint64_t)(default_counts[e] + 1) *
				 best_endpoint->capacity;
		best_cost = (uint64_t)(default_counts[best] + 1) *
			    candidate->capacity;
		if (candidate_cost < best_cost)
			best = (uint16_t)e;
	}
	return best;
}

static bool default_is_valid(const struct jt_cell_state *state,
			     const struct jt_table *table, size_t bucket,
			     unsigned injected_faults)
{
	uint16_t e = jt_cell_endpoint(state, table->defaults[bucket]);

	if (e == JT_NO_ENDPOINT ||
	    state->endpoints[e].service_id != table->service_id ||
	    state->endpoints[e].state == JT_ENDPOINT_QUARANTINED)
		return false;
	if ((injected_faults & JT_FAULT_MOVE_DEFAULTS) &&
	    state->endpoints[e].state == JT_ENDPOINT_DOWN)
		return false;
	return true;
}

static void table_assign_defaults(const struct jt_cell_state *state,
				  struct jt_table *table,
				  uint32_t load_placed_permille,
				  uint32_t *default_counts, uint8_t *changed,
				  unsigned injected_faults)
{
	count_defaults(table, state, load_placed_permille, default_counts);
	for (size_t b = 0; b < JT_BUCKETS; b++) {
		uint32_t *counts =
			jt_bucket_is_load_placed(b, load_placed_permille)
				? default_counts + state->endpoint_count
				: default_counts;
		uint16_t e;

		if (default_is_valid(state, table, b, injected_faults))
			continue;
		e = least_assigned_endpoint(state, table->service_id, counts);
		if (table->defaults[b] != 0)
			jt_bit_set(changed, b, true);
		table->defaults[b] =
			e == JT_NO_ENDPOINT ? 0 : state->endpoints[e].id;
		if (e != JT_NO_ENDPOINT)
			counts[e]++;
	}
}

static void table_derive(const struct jt_cell_state *state,
			 struct jt_table *table,
			 const struct jt_service_config *service)
{
	uint16_t owner = JT_NO_MEMBER, replica = JT_NO_MEMBER;
	bool single_owner = service->kind == JT_SERVICE_REQUEST;

	if (single_owner)
		jt_cell_owners(state, service->id, &owner, &replica);
	for (size_t b = 0; b < JT_BUCKETS; b++) {
		uint16_t e = jt_cell_endpoint(state, table->defaults[b]);
		bool exceptional;

		table->default_index[b] = e;
		if (!single_owner)
			jt_cell_owners(state, (uint64_t)service->id << 16 | b,
				       &owner, &replica);
		table->owner[b] = owner;
		table->replica[b] = replica;
		exceptional = single_owner || e == JT_NO_ENDPOINT ||
			      state->endpoints[e].state != JT_ENDPOINT_UP ||
			      jt_bit_get(table->sticky, b) ||
			      jt_bucket_is_load_placed(
				      b, service->load_placed_permille);
		jt_bit_set(table->exceptional, b, exceptional);
	}
}

static bool proposal_cleans(const jt_wire_proposal *proposal,
			    uint32_t service_id, size_t bucket)
{
	for (u_int i = 0; i < proposal->clean_buckets.clean_buckets_len; i++) {
		const jt_wire_bucket *entry =
			&proposal->clean_buckets.clean_buckets_val[i];

		if (entry->service_id == service_id && entry->bucket == bucket)
			return true;
	}
	return false;
}

/* A bucket that was exceptional stays sticky until it is declared clean. */
static void table_carry_sticky(struct jt_table *table,
			       const struct jt_table *old,
			       const uint8_t *changed,
			       const jt_wire_proposal *proposal)
{
	for (size_t b = 0; b < JT_BUCKETS; b++) {
		bool sticky = jt_bit_get(changed, b) ||
			      (old && jt_bit_get(old->exceptional, b));

		if (sticky && proposal_cleans(proposal, table->service_id, b))
			sticky = false;
		jt_bit_set(table->sticky, b, sticky);
	}
}

static int state_set_members(struct jt_cell_state *state,
			     const jt_wire_member *members, u_int count)
{
	state->members = talloc_zero_array(state, struct jt_member, count);
	if (state->members == NULL)
		return -1;
	for (u_int i = 0; i < count; i++) {
		state->members[i].id = members[i].id;
		state->members[i].zone = members[i].zone;
		state->members[i].address.ip = members[i].address;
		state->members[i].address.port = (uint16_t)members[i].port;
	}
	state->member_count = count;
	qsort(state->members, count, sizeof(struct jt_member), member_compare);
	return 0;
}

static int state_set_endpoints(struct jt_cell_state *state,
			       const jt_wire_endpoint *endpoints, u_int count)
{
	state->endpoints =
		talloc_zero_array(state, struct jt_cell_endpoint, count);
	if (state->endpoints == NULL)
		return -1;
	for (u_int i = 0; i < count; i++) {
		struct jt_cell_endpoint *e = &state->endpoints[i];

		e->id = endpoints[i].id;
		e->service_id = endpoints[i].service_id;
		e->address.ip = endpoints[i].address;
		e->address.port = (uint16_t)(endpoints[i].port_state >> 16);
		e->state = endpoints[i].port_state & 0xffff;
		e->capacity = endpoints[i].capacity ? endpoints[i].capacity : 1;
	}
	state->endpoint_count = count;
	qsort(state->endpoints, count, sizeof(struct jt_cell_endpoint),
	      endpoint_compare);
	return 0;
}

static int state_build_tables(struct jt_cell_state *state,
			      const struct jt_cell_state *base,
			      const jt_wire_proposal *proposal,
			      unsigned injected_faults)
{
	const struct jt_config *config = state->config;
	uint32_t *default_counts;

	default_counts = talloc_zero_array(state, uint32_t,
					   2 * state->endpoint_count + 1);
	state->tables = talloc_zero_array(state, struct jt_table,
					  config->service_count);
	if (state->tables == NULL || default_counts == NULL)
		return -1;
	state->table_count = config->service_count;
	for (size_t s = 0; s < config->service_count; s++) {
		const struct jt_service_config *service = &config->services[s];
		struct jt_table *table = &state->tables[s];
		uint8_t changed[JT_BUCKET_BITMAP] = {0};
		const struct jt_table *old =
			base ? jt_cell_table(base, service->id) : NULL;

		table->service_id = service->id;
		if (old)
			memcpy(table->defaults, old->defaults,
			       sizeof(table->defaults));
		table_assign_defaults(state, table,
				      service->load_placed_permille,
				      default_counts, changed, injected_faults);
		if (!(injected_faults & JT_FAULT_NO_STICKY))
			table_carry_sticky(table, old, changed, proposal);
		table_derive(state, table, service);
	}
	talloc_free(default_counts);
	return 0;
}

struct jt_cell_state *jt_cell_apply(TALLOC_CTX *mem_ctx, uint64_t cell,
				    const struct jt_cell_state *base,
				    const jt_wire_proposal *proposal,
				    const struct jt_config *config,
				    unsigned injected_faults)
{
	struct jt_cell_state *state;

	state = talloc_zero(mem_ctx, struct jt_cell_state);
	if (state == NULL)
		return NULL;
	state->cell = cell;
	state->epoch = proposal->epoch;
	state->config = config;
	if (state_set_members(state, proposal->members.members_val,
			      proposal->members.members_len) != 0)
		goto fail;
	if (state_set_endpoints(state, proposal->endpoints.endpoints_val,
				proposal->endpoints.endpoints_len) != 0)
		goto fail;
	if (state_build_tables(state, base, proposal, injected_faults) != 0)
		goto fail;
	return state;
fail:
	talloc_free(state);
	return NULL;
}

static char *defaults_to_wire(TALLOC_CTX *mem_ctx, const struct jt_table *table)
{
	uint8_t *bytes = talloc_array(mem_ctx, uint8_t, 2 * JT_BUCKETS);

	for (size_t b = 0; bytes && b < JT_BUCKETS; b++) {
		bytes[2 * b] = (uint8_t)(table->default_index[b] >> 8);
		bytes[2 * b + 1] = (uint8_t)table->default_index[b];
	}
	return (char *)bytes;
}

static int tables_to_wire(TALLOC_CTX *mem_ctx,
			  const struct jt_cell_state *state,
			  jt_wire_state *wire)
{
	jt_wire_table *tables;

	tables = talloc_zero_array(mem_ctx, jt_wire_table, state->table_count);
	if (tables == NULL)
		return -1;
	for (size_t i = 0; i < state->table_count; i++) {
		const struct jt_table *table = &state->tables[i];

		tables[i].service_id = table->service_id;
		tables[i].defaults.defaults_len = 2 * JT_BUCKETS;
		tables[i].defaults.defaults_val =
			defaults_to_wire(mem_ctx, table);
		tables[i].sticky.sticky_len = JT_BUCKET_BITMAP;
		tables[i].sticky.sticky_val = talloc_memdup(
			mem_ctx, table->sticky, sizeof(table->sticky));
		if (tables[i].defaults.defaults_val == NULL ||
		    tables[i].sticky.sticky_val == NULL)
			return -1;
	}
	wire->tables.tables_len = (u_int)state->table_count;
	wire->tables.tables_val = tables;
	return 0;
}

int jt_cell_to_wire(TALLOC_CTX *mem_ctx, const struct jt_cell_state *state,
		    jt_wire_state *wire)
{
	jt_wire_member *members;
	jt_wire_endpoint *endpoints;

	members =
		talloc_zero_array(mem_ctx, jt_wire_member, state->member_count);
	endpoints = talloc_zero_array(mem_ctx, jt_wire_endpoint,
				      state->endpoint_count);
	if (members == NULL || endpoints == NULL)
		return -1;
	for (size_t i = 0; i < state->member_count; i++) {
		members[i].id = state->members[i].id;
		members[i].zone = state->members[i].zone;
		members[i].address = state->members[i].address.ip;
		members[i].port = state->members[i].address.port;
	}
	for (size_t i = 0; i < state->endpoint_count; i++) {
		const struct jt_cell_endpoint *e = &state->endpoints[i];

		endpoints[i].id = e->id;
		endpoints[i].service_id = e->service_id;
		endpoints[i].address = e->address.ip;
		endpoints[i].port_state =
			(uint32_t)e->address.port << 16 | e->state;
		endpoints[i].capacity = e->capacity;
	}
	wire->cell = state->cell;
	wire->epoch = state->epoch;
	wire->config_revision = state->config->revision;
	wire->members.members_len = (u_int)state->member_count;
	wire->members.members_val = members;
	wire->endpoints.endpoints_len = (u_int)state->endpoint_count;
	wire->endpoints.endpoints_val = endpoints;
	return tables_to_wire(mem_ctx, state, wire);
}

static void defaults_from_wire(const struct jt_cell_state *state,
			       const jt_wire_table *from,
			       struct jt_table *table)
{
	const uint8_t *bytes = (const uint8_t *)from->defaults.defaults_val;

	for (size_t b = 0; b < JT_BUCKETS; b++) {
		size_t e = (size_t)bytes[2 * b] << 8 | bytes[2 * b + 1];

		table->defaults[b] =
			e < state->endpoint_count ? state->endpoints[e].id : 0;
	}
}

static int tables_from_wire(struct jt_cell_state *state,
			    const jt_wire_state *wire)
{
	const struct jt_config *config = state->config;

	state->tables = talloc_zero_array(state, struct jt_table,
					  wire->tables.tables_len);
	if (state->tables == NULL)
		return -1;
	state->table_count = wire->tables.tables_len;
	for (u_int i = 0; i < wire->tables.tables_len; i++) {
		const jt_wire_table *from = &wire->tables.tables_val[i];
		struct jt_table *table = &state->tables[i];
		const struct jt_service_config *service =
			jt_config_service(config, from->service_id);

		if (service == NULL ||
		    from->defaults.defaults_len != 2 * JT_BUCKETS ||
		    from->sticky.sticky_len != JT_BUCKET_BITMAP)
			return -1;
		table->service_id = from->service_id;
		defaults_from_wire(state, from, table);
		memcpy(table->sticky, from->sticky.sticky_val,
		       sizeof(table->sticky));
		table_derive(state, table, service);
	}
	return 0;
}

struct jt_cell_state *jt_cell_from_wire(TALLOC_CTX *mem_ctx,
					const jt_wire_state *wire,
					const struct jt_config *config)
{
	struct jt_cell_state *state;

	state = talloc_zero(mem_ctx, struct jt_cell_state);
	if (state == NULL)
		return NULL;
	state->cell = wire->cell;
	state->epoch = wire->epoch;
	state->config = config;
	if (state_set_members(state, wire->members.members_val,
			      wire->members.members_len) != 0 ||
	    state_set_endpoints(state, wire->endpoints.endpoints_val,
				wire->endpoints.endpoints_len) != 0 ||
	    tables_from_wire(state, wire) != 0)
		goto fail;
	return state;
fail:
	talloc_free(state);
	return NULL;
}
