/*
 * Baseline policies with the same fabric, clients and endpoints:
 *
 * modulo      hash over the live endpoints, stateless
 * maglev      consistent hashing and a flow table in each node (after
 *             Eisenbud et al., "Maglev", NSDI 2016, with rendezvous hashing)
 * full-relay  every packet is relayed to its owner node, which places new
 *             flows on the least loaded endpoint and keeps the only record
 *
 * Their view of endpoints and nodes has the lag of the health pages and the
 * machine list. They have no admission control.
 */
#include "world_private.h"

#include "jaspertrack/cell.h"
#include "jt_flow_table.h"

#include <string.h>
#include <xxhash.h>

enum {
	HEALTH_POLL_US = 1000000,
	PROBE_BYTES = 260,
	LIST_BYTES = 260,
	FLOW_LIMIT = 1 << 22,
	CRASH_DETECTION_US = 2000000, /* failure detection time for a node */
};

struct baseline_node {
	bool running;
	bool paused;
	bool unready;
	uint64_t stopped_us;
	uint64_t started_us;
	struct jt_flow_table *flows;
	uint64_t bytes;
	uint32_t *open; /* open flows that this node owns, by endpoint */
	size_t open_count;
};

struct baseline {
	struct baseline_node nodes[JT_CLUSTER_MAX_NODES];
	bool *usable; /* by endpoint: up according to its health page */
	size_t usable_count;
};

static void on_health_poll(void *object, uint64_t argument)
{
	struct world *world = object;
	struct baseline *baseline = world->baseline;

	(void)argument;
	if (baseline->usable_count < world->endpoint_count) {
		baseline->usable = talloc_realloc(baseline, baseline->usable,
						  bool, world->endpoint_count);
		baseline->usable_count = world->endpoint_count;
	}
	for (size_t i = 0; i < world->endpoint_count; i++) {
		const struct endpoint *e = world->endpoints[i];
		struct jt_health health;

		endpoint_health(world, e->id, &health);
		baseline->usable[i] = e->configured && !e->released &&
				      (health.flags & JT_REPORT_OK) &&
				      !e->draining;
	}
	for (size_t n = 0; n < JT_CLUSTER_MAX_NODES; n++) {
		if (baseline->nodes[n].running && !baseline->nodes[n].paused)
			baseline->nodes[n].bytes +=
				PROBE_BYTES * world->endpoint_count +
				LIST_BYTES;
	}
	jt_scheduler_after(world->scheduler, HEALTH_POLL_US, on_health_poll,
			   world, 0);
}

struct baseline *baseline_create(struct world *world)
{
	if (world->options.policy == POLICY_LABEL) {
		label_create(world);
		return NULL;
	}
	world->baseline = talloc_zero(world, struct baseline);
	on_health_poll(world, 0);
	return world->baseline;
}

void baseline_start(struct world *world, uint16_t index)
{
	struct baseline_node *node;

	if (world->options.policy == POLICY_LABEL) {
		label_start(world, index);
		return;
	}
	node = &world->baseline->nodes[index];
	if (node->running)
		return;
	TALLOC_FREE(node->flows);
	TALLOC_FREE(node->open);
	node->open_count = 0;
	node->running = true;
	node->paused = false;
	node->started_us = world_now(world);
	node->flows = jt_flow_table_create(world->baseline, FLOW_LIMIT);
}

void baseline_stop(struct world *world, uint16_t index)
{
	if (world->options.policy == POLICY_LABEL) {
		label_stop(world, index);
		return;
	}
	world->baseline->nodes[index].running = false;
	world->baseline->nodes[index].stopped_us = world_now(world);
}

void baseline_pause(struct world *world, uint16_t index, bool paused)
{
	if (world->options.policy == POLICY_LABEL) {
		label_pause(world, index, paused);
		return;
	}
	world->baseline->nodes[index].paused = paused;
}

bool baseline_ready(const struct world *world, uint16_t index)
{
	const struct baseline_node *node;

	if (world->options.policy == POLICY_LABEL)
		return label_ready(world, index);
	node = &world->baseline->nodes[index];
	return node->running && !node->paused;
}

uint64_t baseline_bytes(const struct world *world, uint16_t index)
{
	if (world->options.policy == POLICY_LABEL)
		return label_bytes(world, index);
	return world->baseline->nodes[index].bytes;
}

static uint64_t key_hash(const struct jt_flow_key *key, uint64_t seed)
{
	uint32_t words[4] = {key->source, key->destination,
			     (uint32_t)key->source_port << 16 |
				     key->destination_port,
			     key->protocol};

	return XXH64(words, sizeof(words), seed);
}

static unsigned service_of(const struct world *world,
			   const struct jt_flow_key *key)
{
	return world->demands[key->destination - 0x0a140000u].service;
}

static bool is_candidate(const struct world *world, size_t endpoint,
			 unsigned service)
{
	return endpoint < world->baseline->usable_count &&
	       world->baseline->usable[endpoint] &&
	       world->endpoints[endpoint]->service == service;
}

static uint32_t choose_modulo(const struct world *world,
			      const struct jt_flow_key *key)
{
	unsigned service = service_of(world, key);
	uint64_t hash = key_hash(key, 0);
	size_t count = 0;

	for (size_t i = 0; i < world->endpoint_count; i++)
		count += is_candidate(world, i, service);
	if (count == 0)
		return UINT32_MAX;
	hash %= count;
	for (size_t i = 0; i < world->endpoint_count; i++) {
		if (is_candidate(world, i, service) && hash-- == 0)
			return (uint32_t)i;
	}
	return UINT32_MAX;
}

static uint32_t choose_consistent(const struct world *world,
				  const struct jt_flow_key *key)
{
	unsigned service = service_of(world, key);
	uint64_t bucket = key_hash(key, 0) % JT_BUCKETS;
	uint64_t best_weight = 0;
	uint32_t best = UINT32_MAX;

	for (size_t i = 0; i < world->endpoint_count; i++) {
		uint64_t input[2] = {bucket, world->endpoints[i]->id};
		uint64_t weight;

		if (!is_candidate(world, i, service))
			continue;
		weight = XXH64(input, sizeof(input), 0);
		if (best == UINT32_MAX || weight > best_weight) {
			best_weight = weight;
			best = (uint32_t)i;
		}
	}
	return best;
}

static uint32_t choose_least_loaded(struct world *world,
				    struct baseline_node *node,
				    const struct jt_flow_key *key)
{
	unsigned service = service_of(world, key);
	uint32_t best = UINT32_MAX;

	if (node->open_count < world->endpoint_count) {
		node->open = talloc_realloc(world->baseline, node->open,
					    uint32_t, world->endpoint_count);
		for (size_t i = node->open_count; i < world->endpoint_count;
		     i++)
			node->open[i] = 0;
		node->open_count = world->endpoint_count;
	}
	for (size_t i = 0; i < world->endpoint_count; i++) {
		if (!is_candidate(world, i, service))
			continue;
		if (best == UINT32_MAX || node->open[i] < node->open[best])
			best = (uint32_t)i;
	}
	return best;
}

static void report_outcome(struct world *world, uint16_t node,
			   const struct jt_flow_key *key, uint64_t packet,
			   uint32_t endpoint, uint8_t hops)
{
	struct jt_packet_outcome outcome = {
		.node = node, .packet = packet, .key = *key, .hops = hops};

	if (endpoint == UINT32_MAX) {
		outcome.kind = JT_PACKET_DROPPED;
	} else {
		outcome.kind = JT_PACKET_FORWARDED;
		outcome.endpoint = world->endpoints[endpoint]->address;
	}
	flows_on_outcome(world, &outcome);
}

/* Returns the recorded endpoint of a flow, or chooses and records one. */
static uint32_t find_or_choose_endpoint(struct world *world,
					struct baseline_node *node,
					const struct jt_flow_key *key,
					uint8_t tcp_flags, bool least_loaded)
{
	struct jt_flow *flow = jt_flow_table_find(node->flows, key);
	bool ends = tcp_flags & (JT_TCP_FIN | JT_TCP_RST);
	uint32_t endpoint;

	if (flow != NULL) {
		endpoint = flow->endpoint_id - 1;
		if (ends) {
			if (least_loaded && endpoint < node->open_count &&
			    node->open[endpoint] > 0)
				node->open[endpoint]--;
			jt_flow_table_remove(node->flows, flow);
		}
		return endpoint;
	}
	endpoint = least_loaded && (tcp_flags & JT_TCP_SYN)
			   ? choose_least_loaded(world, node, key)
			   : choose_consistent(world, key);
	if (endpoint == UINT32_MAX || ends)
		return endpoint;
	flow = jt_flow_table_add(node->flows, key);
	if (flow != NULL) {
		flow->endpoint_id = endpoint + 1;
		if (least_loaded && endpoint < node->open_count)
			node->open[endpoint]++;
	}
	return endpoint;
}

static uint16_t find_relay_owner(const struct world *world,
				 const struct jt_flow_key *key)
{
	uint64_t now = world_now(world);
	uint64_t list_lag =
		(uint64_t)(world->scenario->machine_list_lag_s * SECOND_US);
	uint64_t best_weight = 0;
	uint16_t best = JT_NO_NODE;

	for (uint16_t n = 0; n < world->scenario->node_count; n++) {
		const struct baseline_node *node = &world->baseline->nodes[n];
		uint64_t input[2] = {key_hash(key, 0) % JT_BUCKETS, n};
		uint64_t weight = XXH64(input, sizeof(input), 1);
		bool listed =
			node->running
				? now >= node->started_us + list_lag ||
					  node->started_us < BOOT_US
				: node->stopped_us != 0 &&
					  now < node->stopped_us +
							  CRASH_DETECTION_US;

		if (!listed || (best != JT_NO_NODE && weight <= best_weight))
			continue;
		best = n;
		best_weight = weight;
	}
	return best;
}

void baseline_packet(struct world *world, uint16_t index,
		     const struct jt_flow_key *key, uint8_t tcp_flags,
		     uint64_t packet)
{
	struct baseline_node *node;
	uint16_t owner;

	if (world->options.policy == POLICY_LABEL) {
		label_packet(world, index, key, tcp_flags, packet);
		return;
	}
	node = &world->baseline->nodes[index];
	if (!node->running || node->paused)
		return;
	switch (world->options.policy) {
	case POLICY_MODULO:
		report_outcome(world, index, key, packet,
			       choose_modulo(world, key), 0);
		break;
	case POLICY_MAGLEV:
		report_outcome(world, index, key, packet,
			       find_or_choose_endpoint(world, node, key,
						       tcp_flags, false),
			       0);
		break;
	default:
		owner = find_relay_owner(world, key);
		if (owner == JT_NO_NODE)
			return;
		node = &world->baseline->nodes[owner];
		if (!node->running || node->paused)
			return;
		report_outcome(world, owner, key, packet,
			       find_or_choose_endpoint(world, node, key,
						       tcp_flags, true),
			       owner != index);
		break;
	}
}
