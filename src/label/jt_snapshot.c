#include "jt_snapshot.h"
#include "jt_director_private.h"

#include <stdio.h>
#include <string.h>

enum {
	/* Maximum number of entries in one message, unless a single slice has
	 * more. It keeps messages small, so that peers that fetch at the same
	 * time share the link fairly. */
	MAX_ENTRIES_PER_MESSAGE = 512,
};

static bool parts_write(TALLOC_CTX *mem_ctx, const struct jt_route *route,
			jt_wire_route *wire)
{
	jt_wire_part *parts =
		talloc_array(mem_ctx, jt_wire_part, route->part_count + 1);

	if (parts == NULL)
		return false;
	for (size_t i = 0; i < route->part_count; i++) {
		parts[i].service_id = route->parts[i].service_id;
		parts[i].weight = route->parts[i].weight;
	}
	wire->parts.parts_val = parts;
	wire->parts.parts_len = (u_int)route->part_count;
	return true;
}

static bool routing_write(TALLOC_CTX *mem_ctx, const struct jt_routing *routing,
			  jt_wire_routing *wire)
{
	wire->routing_version = routing->version;
	wire->flow_idle_ms = routing->flow_idle_ms;
	wire->routes.routes_val = talloc_zero_array(mem_ctx, jt_wire_route,
						    routing->route_count + 1);
	wire->services.services_val = talloc_zero_array(
		mem_ctx, jt_wire_service, routing->service_count + 1);
	if (wire->routes.routes_val == NULL ||
	    wire->services.services_val == NULL)
		return false;
	for (size_t i = 0; i < routing->route_count; i++) {
		const struct jt_route *route = &routing->routes[i];
		jt_wire_route *wire_route = &wire->routes.routes_val[i];

		wire_route->name = (char *)route->name;
		wire_route->address = route->address.ip;
		wire_route->port = route->address.port;
		wire_route->priority = route->priority;
		wire_route->target_ms = route->target_ms;
		if (!parts_write(mem_ctx, route, wire_route))
			return false;
	}
	for (size_t i = 0; i < routing->service_count; i++) {
		wire->services.services_val[i].id = routing->services[i].id;
		wire->services.services_val[i].health_path =
			(char *)routing->services[i].health_path;
		wire->services.services_val[i].connection_limit =
			routing->services[i].connection_limit;
		wire->services.services_val[i].cold_permille =
			routing->services[i].cold_permille;
	}
	wire->routes.routes_len = (u_int)routing->route_count;
	wire->services.services_len = (u_int)routing->service_count;
	return true;
}

/* Returns the remaining time in milliseconds for which the incarnation is
 * cold. */
static uint32_t cold_left_ms(const struct jt_incarnation *in, uint64_t now_ms)
{
	return now_ms < in->cold_until_ms
		       ? (uint32_t)(in->cold_until_ms - now_ms)
		       : 0;
}

/* Returns the number of entries of the slice that changed after @since. */
static size_t slice_changed_count(const struct jt_endpoint_slice *slice,
				  uint64_t since)
{
	const struct jt_incarnation *in;
	size_t count = 0;

	if (slice->newest <= since)
		return 0;
	for (in = slice->members; in != NULL; in = in->slice_next)
		count += jt_incarnation_revision(in) > since;
	return count;
}

/* Returns the time in milliseconds since the entry was removed; 0 if it was
 * not. */
static uint32_t removed_age_ms(const struct jt_incarnation *in, uint64_t now_ms)
{
	uint64_t age_ms;

	if (in->entry.removed_revision == 0)
		return 0;
	age_ms = jt_incarnation_removed_age_ms(in, now_ms);
	return age_ms < UINT32_MAX ? (uint32_t)age_ms : UINT32_MAX;
}

static u_int entry_flags(const struct jt_endpoint_entry *entry)
{
	u_int flags = 0;

	if (entry->draining)
		flags |= JT_WIRE_ENTRY_DRAINING;
	if (entry->unreadable)
		flags |= JT_WIRE_ENTRY_UNREADABLE;
	return flags;
}

static jt_wire_entry entry_write(const struct jt_incarnation *in,
				 uint64_t now_ms)
{
	const struct jt_endpoint_entry *entry = &in->entry;

	return (jt_wire_entry){
		.id = entry->id,
		.start_time_ms = entry->start_time_ms,
		.service_id = entry->service_id,
		.zone_id = entry->zone_id,
		.address = entry->address.ip,
		.port = entry->address.port,
		.capacity = entry->capacity,
		.cold_left_ms = cold_left_ms(in, now_ms),
		.revision = entry->revision,
		.created_revision = entry->created_revision,
		.removed_revision = entry->removed_revision,
		.removed_age_ms = removed_age_ms(in, now_ms),
		.flags = entry_flags(entry),
	};
}

/* Writes the slice's entries that changed after @since; returns their
 * number. */
static size_t slice_write(const struct jt_endpoint_slice *slice, uint64_t since,
			  uint64_t now_ms, jt_wire_entry *entries)
{
	const struct jt_incarnation *in;
	size_t count = 0;

	if (slice->newest <= since)
		return 0;
	for (in = slice->members; in != NULL && count < JT_DIRECTOR_MAX_ENTRIES;
	     in = in->slice_next) {
		if (jt_incarnation_revision(in) > since)
			entries[count++] = entry_write(in, now_ms);
	}
	return count;
}

/* Returns the end of the range of slices from @first on that fits into one
 * message, and sets @entries to the number of its entries. */
static uint32_t slices_end(const struct jt_endpoint_table *table,
			   uint32_t first, uint64_t since, size_t *entries)
{
	uint32_t end = first;

	*entries = 0;
	while (end < JT_DIRECTOR_SLICES) {
		size_t slice_entries =
			slice_changed_count(&table->slices[end], since);

		if (*entries > 0 &&
		    *entries + slice_entries > MAX_ENTRIES_PER_MESSAGE)
			break;
		*entries += slice_entries;
		end++;
	}
	return end;
}

/* Writes the entries that changed after @since, from slice @first on, as far as
 * they fit into one message. Sets @end to the slice after the last one. Returns
 * false if memory runs out. */
static bool entries_write(TALLOC_CTX *mem_ctx,
			  const struct jt_endpoint_table *table, uint32_t first,
			  uint64_t since, uint64_t now_ms,
			  jt_wire_snapshot *snapshot, uint32_t *end)
{
	jt_wire_entry *entries;
	size_t max_count, count = 0;

	*end = slices_end(table, first, since, &max_count);
	entries = talloc_zero_array(mem_ctx, jt_wire_entry, max_count + 1);
	if (entries == NULL)
		return false;
	for (uint32_t i = first; i < *end; i++)
		count += slice_write(&table->slices[i], since, now_ms,
				     &entries[count]);
	snapshot->entries.entries_val = entries;
	snapshot->entries.entries_len = (u_int)count;
	return true;
}

/* Writes some entries of a node that has not started. The first slice is one of
 * the first half and varies with time, so that requests get different entries,
 * but always the second half of a small table. */
static bool partial_entries_write(TALLOC_CTX *mem_ctx,
				  const struct jt_director *director,
				  uint64_t now_ms, jt_wire_snapshot *snapshot)
{
	uint32_t first = (uint32_t)(now_ms % (JT_DIRECTOR_SLICES / 2)), end;

	snapshot->slice_next = snapshot->slice;
	return entries_write(mem_ctx, director->endpoints, first, 0, now_ms,
			     snapshot, &end);
}

static bool zones_write(TALLOC_CTX *mem_ctx, const struct jt_zone_drains *zones,
			jt_wire_snapshot *snapshot)
{
	jt_wire_zone_drain *wire =
		talloc_array(mem_ctx, jt_wire_zone_drain, zones->count + 1);

	if (wire == NULL)
		return false;
	for (size_t i = 0; i < zones->count; i++) {
		const struct jt_zone_drain *drain = &zones->zones[i].drain;

		wire[i] = (jt_wire_zone_drain){
			.zone = (char *)drain->zone,
			.revision = drain->revision,
			.draining = drain->draining,
		};
	}
	snapshot->zones.zones_val = wire;
	snapshot->zones.zones_len = (u_int)zones->count;
	return true;
}

bool jt_snapshot_write(TALLOC_CTX *mem_ctx, const struct jt_director *director,
		       const struct jt_snapshot_request *request,
		       uint64_t now_ms, jt_wire_snapshot *snapshot)
{
	const struct jt_routing *routing = jt_director_routing(director);
	struct jt_listing_gap gap;

	memset(snapshot, 0, sizeof(*snapshot));
	snapshot->revision = jt_director_revision(director);
	snapshot->initial_sync_ms =
		jt_director_initial_sync_ms(director, now_ms);
	if (jt_listing_gaps_covers(&director->gaps, request->since))
		snapshot->since = request->since;
	gap = jt_listing_gaps_after(&director->gaps, snapshot->since);
	snapshot->gap_from = gap.from;
	snapshot->gap_to = gap.to;
	snapshot->incomplete_before = director->gaps.incomplete_before;
	snapshot->complete = director->counters.entries_refused == 0;
	snapshot->slice = request->slice < JT_DIRECTOR_SLICES
				  ? request->slice
				  : JT_DIRECTOR_SLICES;
	if (routing != NULL && routing->version > request->version &&
	    !routing_write(mem_ctx, routing, &snapshot->routing))
		return false;
	if (!zones_write(mem_ctx, &director->zone_drains, snapshot))
		return false;
	return jt_director_started(director)
		       ? entries_write(mem_ctx, director->endpoints,
				       snapshot->slice, snapshot->since, now_ms,
				       snapshot, &snapshot->slice_next)
		       : partial_entries_write(mem_ctx, director, now_ms,
					       snapshot);
}

bool jt_snapshot_slices_event(TALLOC_CTX *mem_ctx,
			      const jt_wire_snapshot *snapshot,
			      struct jt_director_event *event)
{
	size_t count = snapshot->entries.entries_len;
	uint64_t *ids;

	if (snapshot->since != 0 || !snapshot->complete ||
	    snapshot->slice_next <= snapshot->slice ||
	    snapshot->slice_next > JT_DIRECTOR_SLICES)
		return false;
	ids = talloc_array(mem_ctx, uint64_t, count + 1);
	if (ids == NULL)
		return false;
	for (size_t i = 0; i < count; i++)
		ids[i] = snapshot->entries.entries_val[i].id;
	qsort(ids, count, sizeof(*ids), jt_endpoint_id_compare);
	*event =
		(struct jt_director_event){.kind = JT_DIRECTOR_SLICES_RECEIVED};
	event->u.slices.first = snapshot->slice;
	event->u.slices.end = snapshot->slice_next;
	event->u.slices.revision = snapshot->revision;
	event->u.slices.ids = ids;
	event->u.slices.count = count;
	return true;
}

bool jt_snapshot_is_complete(const jt_wire_snapshot *snapshot)
{
	return snapshot->slice == 0 &&
	       snapshot->slice_next == JT_DIRECTOR_SLICES;
}

static bool route_read(const jt_wire_route *wire, struct jt_route *route)
{
	if (wire->port == 0 || wire->port > UINT16_MAX ||
	    wire->parts.parts_len == 0)
		return false;
	snprintf(route->name, sizeof(route->name), "%s", wire->name);
	route->address.ip = wire->address;
	route->address.port = (uint16_t)wire->port;
	route->priority = wire->priority;
	route->target_ms = wire->target_ms;
	for (u_int i = 0; i < wire->parts.parts_len; i++) {
		route->parts[i].service_id =
			wire->parts.parts_val[i].service_id;
		route->parts[i].weight = wire->parts.parts_val[i].weight;
	}
	route->part_count = wire->parts.parts_len;
	return true;
}

static void service_read(const jt_wire_service *wire,
			 struct jt_routed_service *service)
{
	service->id = wire->id;
	service->connection_limit = wire->connection_limit;
	service->cold_permille = wire->cold_permille;
	snprintf(service->health_path, sizeof(service->health_path), "%s",
		 wire->health_path);
}

static bool routing_fill(const jt_wire_routing *wire,
			 struct jt_routing *routing)
{
	routing->routes = talloc_zero_array(routing, struct jt_route,
					    wire->routes.routes_len + 1);
	routing->services = talloc_zero_array(routing, struct jt_routed_service,
					      wire->services.services_len + 1);
	if (routing->routes == NULL || routing->services == NULL)
		return false;
	for (u_int i = 0; i < wire->routes.routes_len; i++) {
		if (!route_read(&wire->routes.routes_val[i],
				&routing->routes[i]))
			return false;
	}
	for (u_int i = 0; i < wire->services.services_len; i++)
		service_read(&wire->services.services_val[i],
			     &routing->services[i]);
	routing->route_count = wire->routes.routes_len;
	routing->service_count = wire->services.services_len;
	return jt_routing_sort(routing) == NULL;
}

struct jt_routing *jt_snapshot_read_routing(TALLOC_CTX *mem_ctx,
					    const jt_wire_routing *wire)
{
	struct jt_routing *routing;

	if (wire->routing_version == 0)
		return NULL;
	routing = talloc_zero(mem_ctx, struct jt_routing);
	if (routing == NULL)
		return NULL;
	routing->version = wire->routing_version;
	routing->flow_idle_ms = wire->flow_idle_ms;
	if (!routing_fill(wire, routing))
		TALLOC_FREE(routing);
	return routing;
}

struct jt_zone_drain *
jt_snapshot_read_zone_drains(TALLOC_CTX *mem_ctx,
			     const jt_wire_zone_drain *wire, size_t count)
{
	struct jt_zone_drain *drains =
		talloc_zero_array(mem_ctx, struct jt_zone_drain, count + 1);

	for (size_t i = 0; drains != NULL && i < count; i++) {
		snprintf(drains[i].zone, sizeof(drains[i].zone), "%s",
			 wire[i].zone);
		drains[i].revision = wire[i].revision;
		drains[i].draining = wire[i].draining;
	}
	return drains;
}

bool jt_snapshot_entry_event(const jt_wire_entry *wire,
			     struct jt_director_event *event)
{
	if (wire->id == 0 || wire->port == 0 || wire->port > UINT16_MAX)
		return false;
	*event = (struct jt_director_event){.kind = JT_DIRECTOR_ENDPOINT};
	event->u.endpoint = (struct jt_endpoint_entry){
		.id = wire->id,
		.start_time_ms = wire->start_time_ms,
		.service_id = wire->service_id,
		.zone_id = wire->zone_id,
		.address = {wire->address, (uint16_t)wire->port},
		.capacity = wire->capacity,
		.draining = wire->flags & JT_WIRE_ENTRY_DRAINING,
		.cold_left_ms = wire->cold_left_ms,
		.revision = wire->revision,
		.created_revision = wire->created_revision,
		.removed_revision = wire->removed_revision,
		.removed_age_ms = wire->removed_age_ms,
		.unreadable = wire->flags & JT_WIRE_ENTRY_UNREADABLE,
	};
	return true;
}
