/* The oracle: checks the guarantees from what clients and endpoints observe. */
#include "soak.h"

#include <stdarg.h>
#include <stdlib.h>

enum {
	DOCUMENT_SIZE = 2048,
	/* Time until all nodes know an end: the entry was removed, or the
	 * address has a new owner. */
	END_KNOWN_MS = 6000,
};

uint64_t soak_draw(const struct soak *soak, enum soak_draw_kind kind,
		   uint64_t which, uint64_t number, uint64_t below)
{
	const uint64_t key[] = {kind, which, number};

	return XXH64(key, sizeof(key), soak->options.seed) % below;
}

uint32_t soak_address(const struct soak *soak, enum soak_net net)
{
	return (uint32_t)net + soak->options.slot * SOAK_SLOT_STRIDE;
}

static void event_write(struct soak *soak, const char *kind, const char *format,
			va_list list)
{
	char *text = talloc_vasprintf(soak, format, list);
	uint64_t now_ms = jt_clock_ms();

	fprintf(soak->events, "%8.3f %s %s\n",
		(double)(now_ms - soak->began_ms) / 1000.0, kind, text);
	fflush(soak->events);
	soak->events_ms += jt_clock_ms() - now_ms;
	talloc_free(text);
}

void soak_log(struct soak *soak, const char *format, ...)
{
	va_list list;

	va_start(list, format);
	event_write(soak, "fault", format, list);
	va_end(list);
}

void soak_guarantee_violated(struct soak *soak, const char *guarantee,
			     const char *format, ...)
{
	va_list list;
	char *kind = talloc_asprintf(soak, "BROKEN %s", guarantee);

	soak->broken++;
	va_start(list, format);
	event_write(soak, kind, format, list);
	va_end(list);
	talloc_free(kind);
}

/* Returns the newest version acknowledged by @at_ms, or 0. */
static uint64_t version_at(const struct soak *soak, uint64_t at_ms)
{
	uint64_t version = soak->version;

	while (version > 0 && soak->versions[version].acked_ms > at_ms)
		version--;
	return version;
}

/* Returns the oldest version that a node may use for a first packet sent at
 * @sent_ms; nodes need not know newer ones yet. */
static uint64_t version_oldest_allowed(const struct soak *soak,
				       uint64_t sent_ms)
{
	return version_at(
		soak, sent_ms > SOAK_CONFIG_MS ? sent_ms - SOAK_CONFIG_MS : 0);
}

/* Returns the oldest version, from @min on, that routes the switch route
 * to the service, or 0. */
static uint64_t version_find_service(const struct soak *soak, uint64_t min,
				     uint32_t service)
{
	uint64_t version = min > 0 ? min : 1;

	while (version <= soak->version &&
	       soak->versions[version].switch_service != service)
		version++;
	return version <= soak->version ? version : 0;
}

/* Returns true if the store had no fault for SOAK_SETTLE_MS before @at_ms. */
static bool store_stable(const struct soak *soak, uint64_t at_ms)
{
	uint64_t disturbed_ms = soak_store_disturbed_ms(soak->store);

	return disturbed_ms == 0 || disturbed_ms + SOAK_SETTLE_MS <= at_ms;
}

/* Returns true if the time bound applies to a packet sent at @sent_ms: the node
 * had no fault for SOAK_SETTLE_MS before it, the store none for as long before
 * the bound began. */
static bool bound_applies(const struct soak *soak, int node, uint64_t sent_ms,
			  uint64_t bound_ms)
{
	uint64_t from_ms = sent_ms > bound_ms ? sent_ms - bound_ms : 0;

	return soak_node_undisturbed(soak, node, sent_ms) &&
	       store_stable(soak, from_ms);
}

static void check_switch_route(struct soak *soak, int node, uint32_t service,
			       uint64_t sent_ms)
{
	struct soak_node *sender = &soak->nodes[node];
	uint64_t oldest = version_oldest_allowed(soak, sent_ms);
	uint64_t version;

	if (version_find_service(soak, oldest, service) == 0 &&
	    bound_applies(soak, node, sent_ms, SOAK_CONFIG_MS))
		soak_guarantee_violated(
			soak, "CONFIG",
			"node %d sent a new flow to service %u, which no "
			"version from %llu on allows",
			node, service, (unsigned long long)oldest);
	version = version_find_service(soak, sender->version_seen, service);
	if (version == 0 &&
	    sent_ms > sender->version_seen_ms + SOAK_ROLLBACK_MS)
		soak_guarantee_violated(
			soak, "CONFIG",
			"node %d used an older version: service %u after "
			"version %llu",
			node, service,
			(unsigned long long)sender->version_seen);
	if (version > sender->version_seen) {
		sender->version_seen = version;
		sender->version_seen_ms = jt_clock_ms();
	}
}

/* Returns true if all nodes must know by @sent_ms that the zone is drained. */
static bool zone_drain_known(const struct soak *soak, uint32_t zone,
			     uint64_t sent_ms)
{
	const struct soak_zone *state = &soak->zones[zone];

	return state->drained &&
	       sent_ms > state->changed_ms + SOAK_ZONE_DRAIN_MS;
}

/* Returns true if all nodes must know by @sent_ms that the zone isn't
 * drained. */
static bool zone_open_known(const struct soak *soak, uint32_t zone,
			    uint64_t sent_ms)
{
	const struct soak_zone *state = &soak->zones[zone];

	return !state->drained &&
	       (state->changed_ms == 0 ||
		sent_ms > state->changed_ms + SOAK_ZONE_DRAIN_MS);
}

void soak_check_first(struct soak *soak, int index, int node,
		      uint16_t route_port, uint64_t sent_ms)
{
	const struct soak_endpoint *endpoint = &soak->endpoints[index];

	if (route_port == SOAK_STEADY_PORT && endpoint->service != 0)
		soak_guarantee_violated(
			soak, "ROUTE",
			"node %d sent a flow of the steady route to "
			"service %u",
			node, endpoint->service);
	else if (route_port == SOAK_SWITCH_PORT)
		check_switch_route(soak, node, endpoint->service, sent_ms);
	else if (route_port != SOAK_STEADY_PORT)
		soak_guarantee_violated(soak, "ROUTE",
					"node %d forwarded to no route", node);
	if (endpoint->no_new_flows_ms != 0 &&
	    sent_ms > endpoint->no_new_flows_ms + SOAK_DRAIN_MS &&
	    bound_applies(soak, node, sent_ms, SOAK_DRAIN_MS))
		soak_guarantee_violated(
			soak, "DRAIN",
			"node %d sent a new flow to %llx, %llu ms after it "
			"was published as leaving",
			node, (unsigned long long)endpoint->id,
			(unsigned long long)(sent_ms -
					     endpoint->no_new_flows_ms));
	if (zone_drain_known(soak, endpoint->zone, sent_ms) &&
	    bound_applies(soak, node, sent_ms, SOAK_ZONE_DRAIN_MS))
		soak_guarantee_violated(
			soak, "ZONE",
			"node %d sent a new flow to %llx, %llu ms after "
			"zone %u was drained",
			node, (unsigned long long)endpoint->id,
			(unsigned long long)(sent_ms -
					     soak->zones[endpoint->zone]
						     .changed_ms),
			endpoint->zone);
}

void soak_zone_toggle(struct soak *soak, uint32_t zone)
{
	struct soak_zone *state = &soak->zones[zone];
	char key[64];

	state->drained = !state->drained;
	state->changed_ms = jt_clock_ms();
	snprintf(key, sizeof(key), "op/evacuate/zone-%u", zone);
	soak_log(soak, "zone %u: %s", zone,
		 state->drained ? "drained" : "restored");
	soak_store_put(soak->store, key, state->drained ? "{}" : NULL);
}

/* Returns true if a first packet sent at @sent_ms may have been routed to
 * the service, whatever the route is now. */
static bool route_allowed_service(const struct soak *soak, uint16_t route_port,
				  uint32_t service, uint64_t sent_ms)
{
	if (route_port == SOAK_STEADY_PORT)
		return service == 0;
	return version_find_service(soak, version_oldest_allowed(soak, sent_ms),
				    service) != 0;
}

/* Returns true if, by @sent_ms, all nodes must know an eligible endpoint of
 * the service. */
static bool service_has_eligible(const struct soak *soak, uint32_t service,
				 uint64_t sent_ms)
{
	for (int i = 0; i < soak->endpoint_count; i++) {
		const struct soak_endpoint *endpoint = &soak->endpoints[i];

		if (endpoint->service == service &&
		    endpoint->state == SOAK_ALIVE && endpoint->listed &&
		    zone_open_known(soak, endpoint->zone, sent_ms) &&
		    endpoint->disturbed_ms + SOAK_SETTLE_MS < sent_ms &&
		    endpoint->entry_valid_ms + SOAK_SETTLE_MS < sent_ms)
			return true;
	}
	return false;
}

/* Returns true if that holds for the route in each version that may be in
 * use. */
static bool route_has_eligible(const struct soak *soak, uint16_t route_port,
			       uint64_t sent_ms)
{
	uint64_t version = version_oldest_allowed(soak, sent_ms);

	if (route_port == SOAK_STEADY_PORT)
		return service_has_eligible(soak, 0, sent_ms);
	for (; version <= soak->version; version++) {
		if (!service_has_eligible(
			    soak, soak->versions[version].switch_service,
			    sent_ms))
			return false;
	}
	return true;
}

/* Returns true if the first packet may have reached an ended endpoint, whose
 * reset the client then gets. */
static bool route_has_ended_endpoint(const struct soak *soak,
				     uint16_t route_port, uint64_t sent_ms)
{
	for (int i = 0; i < soak->endpoint_count; i++) {
		const struct soak_endpoint *endpoint = &soak->endpoints[i];

		if (endpoint->state == SOAK_ENDED &&
		    endpoint->end_ms + END_KNOWN_MS > sent_ms &&
		    route_allowed_service(soak, route_port, endpoint->service,
					  sent_ms))
			return true;
	}
	return false;
}

void soak_check_refused(struct soak *soak, int node, uint16_t route_port,
			uint64_t sent_ms)
{
	soak->refused++;
	if (route_port != SOAK_STEADY_PORT && route_port != SOAK_SWITCH_PORT)
		return;
	if (route_has_eligible(soak, route_port, sent_ms) &&
	    !route_has_ended_endpoint(soak, route_port, sent_ms) &&
	    bound_applies(soak, node, sent_ms, SOAK_CONFIG_MS))
		soak_guarantee_violated(
			soak, "CONFIG",
			"node %d refused a flow of route %u with "
			"endpoints, begun %llu ms before",
			node, route_port,
			(unsigned long long)(jt_clock_ms() - sent_ms));
}

void soak_check_reset(struct soak *soak, int node, int index,
		      uint32_t caller_ip, uint16_t caller_port)
{
	const struct soak_endpoint *endpoint = &soak->endpoints[index];
	uint64_t now_ms = jt_clock_ms();
	char flow[JT_ADDRESS_TEXT_SIZE];

	soak->resets++;
	if (endpoint->state == SOAK_ENDED ||
	    endpoint->disturbed_ms + SOAK_SETTLE_MS > now_ms)
		return;
	soak_guarantee_violated(
		soak, "FLOW",
		"node %d reset the open flow of %s at %llx, which is alive",
		node,
		jt_address_format((struct jt_address){caller_ip, caller_port},
				  flow),
		(unsigned long long)endpoint->id);
}

/* Returns true if some node was down or paused since shortly before
 * @since_ms, so that other nodes may not know its assignments. */
static bool node_was_down(const struct soak *soak, uint64_t since_ms)
{
	for (int i = 0; i < soak->node_count; i++) {
		const struct soak_node *node = &soak->nodes[i];

		if (node->pid == 0 || node->paused ||
		    node->last_down_ms + SOAK_SETTLE_MS > since_ms)
			return true;
	}
	return false;
}

bool soak_check_second_endpoint(struct soak *soak, int accepted_by, int index,
				uint32_t caller_ip, uint16_t caller_port,
				uint64_t first_ms)
{
	char flow[JT_ADDRESS_TEXT_SIZE];

	/* The flow had ended there before a late copy came, or ended with
	 * its endpoint. */
	if (accepted_by == index ||
	    soak->endpoints[accepted_by].state == SOAK_ENDED)
		return false;
	if (node_was_down(soak, first_ms))
		return true;
	soak_guarantee_violated(
		soak, "FLOW",
		"copies of a first packet reached two endpoints: of %s at "
		"%llx and %llx",
		jt_address_format((struct jt_address){caller_ip, caller_port},
				  flow),
		(unsigned long long)soak->endpoints[accepted_by].id,
		(unsigned long long)soak->endpoints[index].id);
	return true;
}

void soak_check_misrouted(struct soak *soak, int index, int owner, int node)
{
	soak_guarantee_violated(
		soak, "FLOW",
		"node %d sent a packet of an open flow of %llx to %llx", node,
		(unsigned long long)soak->endpoints[owner].id,
		(unsigned long long)soak->endpoints[index].id);
}

void soak_version_publish(struct soak *soak)
{
	char document[DOCUMENT_SIZE];
	uint32_t service = (uint32_t)soak->version % SOAK_SERVICES;
	unsigned long long number = soak->version * 3ull + 1;

	if (soak->version + 1 >= SOAK_VERSIONS)
		return;
	snprintf(document, sizeof(document),
		 "{\"version\":%llu,\"routes\":["
		 "{\"name\":\"steady\",\"host\":\"198.18.0.1\",\"pathPrefix\":"
		 "\"/%d/\",\"service\":\"service-0\",\"priority\":1},"
		 "{\"name\":\"switch\",\"host\":\"198.18.0.1\",\"pathPrefix\":"
		 "\"/%d/\",\"service\":\"service-%u\",\"priority\":2}],"
		 "\"services\":["
		 "{\"name\":\"service-0\",\"healthPath\":\"/health\","
		 "\"maxConns\":2000},"
		 "{\"name\":\"service-1\",\"healthPath\":\"/health\","
		 "\"maxConns\":2000}],\"limits\":{\"idleTimeoutMs\":%d}}",
		 number, SOAK_STEADY_PORT, SOAK_SWITCH_PORT, service,
		 SOAK_IDLE_MS);
	soak->version++;
	soak->versions[soak->version].acked_ms = jt_clock_ms();
	soak->versions[soak->version].switch_service = service;
	soak_log(soak, "version %llu: the switch route goes to service %u",
		 number, service);
	soak_store_put(soak->store, "op/config", document);
}
