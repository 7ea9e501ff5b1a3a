/* Applies faults to endpoints, nodes, the store and packets. */
#include "soak.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

/* Depth of an odd entry; more than the JSON parser allows. */
enum { NESTED_LISTS = 3000 };

/* Returns true if enough endpoints remain for another to fail. */
static bool enough_endpoints(const struct soak *soak)
{
	int alive = 0;

	for (int i = 0; i < soak->endpoint_count; i++)
		alive += soak->endpoints[i].state == SOAK_ALIVE &&
			 soak->endpoints[i].listed;
	return alive > SOAK_ADDRESSES / 2;
}

/* Returns the endpoint at the fault's target, or -1 if it can't have the
 * fault now. */
static int target_endpoint(const struct soak *soak,
			   const struct soak_fault *fault)
{
	int index = soak_endpoint_at(soak, fault->target);
	const struct soak_endpoint *endpoint;

	if (index < 0)
		return -1;
	endpoint = &soak->endpoints[index];
	if (endpoint->state != SOAK_ALIVE || endpoint->no_new_flows_ms != 0 ||
	    !endpoint->listed)
		return -1;
	if (fault->kind <= SOAK_ENDPOINT_DISCONNECT && !enough_endpoints(soak))
		return -1;
	return index;
}

static bool apply_endpoint_fault(struct soak *soak,
				 const struct soak_fault *fault)
{
	int index = target_endpoint(soak, fault);

	if (index < 0)
		return false;
	soak_log(soak, "endpoint %llx",
		 (unsigned long long)soak->endpoints[index].id);
	switch (fault->kind) {
	case SOAK_ENDPOINT_DRAINS:
	case SOAK_ENDPOINT_UNLISTED:
		soak_endpoint_drain(soak, index,
				    fault->kind == SOAK_ENDPOINT_UNLISTED);
		break;
	case SOAK_ENDPOINT_CRASHES:
	case SOAK_ENDPOINT_BLACKHOLE:
		soak_endpoint_crash(soak, index,
				    fault->kind == SOAK_ENDPOINT_BLACKHOLE);
		break;
	case SOAK_ENDPOINT_DISCONNECT:
		soak_endpoint_disconnect(soak, index, fault->for_ms);
		break;
	case SOAK_ENDPOINT_RESTARTS:
		soak_endpoint_restart(soak, index);
		break;
	default:
		soak_endpoint_corrupt_entry(soak, index, fault->strength,
					    jt_clock_ms() + fault->for_ms);
		break;
	}
	return true;
}

/* Puts an entry that differs from a valid one in its port and capacity. */
static void put_odd_entry(struct soak *soak, const char *key, const char *port,
			  const char *capacity)
{
	char text[256];

	snprintf(text, sizeof(text),
		 "{\"service\":\"planilla\",\"address\":\"127.0.0.1:%s\","
		 "\"zone\":\"odd\",\"version\":\"v1\",\"capacity\":%s,"
		 "\"state\":\"ready\",\"coldLeftMs\":0,\"callCount\":1}",
		 port, capacity);
	soak_store_put(soak->store, key, text);
}

static bool apply_foreign_entries(struct soak *soak)
{
	char deep[NESTED_LISTS + 1];

	memset(deep, '[', NESTED_LISTS);
	deep[NESTED_LISTS] = '\0';
	soak_store_put(soak->store, "servers/none", "{}");
	soak_store_put(soak->store, "servers/i-77/more", "no JSON");
	soak_store_put(soak->store, "servers/i-78", deep);
	put_odd_entry(soak, "servers/i-79", "1", "1e999");
	put_odd_entry(soak, "servers/i-7a", "65536", "2");
	return true;
}

/* Signals are sent to any running process, even one that is leaving or
 * paused. */
static bool apply_node_fault(struct soak *soak, const struct soak_fault *fault)
{
	int index = (int)fault->target;
	struct soak_node *node = &soak->nodes[index];
	uint64_t until_ms = jt_clock_ms() + fault->for_ms;

	if (fault->kind == SOAK_NODE_UNROUTED) {
		node->unrouted_until_ms = until_ms;
		return true;
	}
	if (node->pid == 0)
		return false;
	switch (fault->kind) {
	case SOAK_NODE_KILLED:
		soak_node_signal(soak, index, SIGKILL);
		break;
	case SOAK_NODE_TERMINATES:
		soak_node_signal(soak, index, SIGTERM);
		break;
	case SOAK_NODE_PAUSES:
		soak_node_pause(soak, index, until_ms);
		break;
	case SOAK_NODE_RELOADS:
		soak_node_reload(soak, index);
		break;
	default:
		soak_log(soak, "store link: %s",
			 soak_link_name((enum soak_link)fault->strength));
		soak_node_link(soak, index, (enum soak_link)fault->strength,
			       until_ms);
		break;
	}
	return true;
}

static bool apply_all_nodes_fault(struct soak *soak, enum soak_fault_kind kind)
{
	for (int i = 0; i < soak->node_count; i++) {
		if (kind == SOAK_ALL_KILLED)
			soak_node_signal(soak, i, SIGKILL);
		else if (soak->nodes[i].link_fault_until_ms == 0)
			soak_node_link(soak, i, SOAK_LINK_STALE, 0);
	}
	return true;
}

static bool apply_store_fault(struct soak *soak, const struct soak_fault *fault)
{
	uint64_t until_ms = jt_clock_ms() + fault->for_ms;

	switch (fault->kind) {
	case SOAK_STORE_DOWN:
		soak_store_down(soak->store, until_ms);
		break;
	case SOAK_STORE_THROTTLES:
		for (int i = (int)fault->target; i < soak->node_count; i++)
			soak_store_throttle(soak->store, i, until_ms);
		break;
	case SOAK_STORE_LAGS:
		soak_store_lag(soak->store,
			       (uint64_t)fault->strength * SOAK_LAG_UNIT_MS,
			       until_ms);
		break;
	default:
		soak_store_compact(soak->store);
		break;
	}
	return true;
}

static bool apply_packet_fault(struct soak *soak,
			       const struct soak_fault *fault)
{
	soak->drop_percent = fault->strength;
	soak->duplicate_percent = fault->doubled;
	soak->packet_faults_until_ms = jt_clock_ms() + fault->for_ms;
	return true;
}

/* Keeps one zone undrained, so that new flows have endpoints. */
static bool apply_zone_fault(struct soak *soak, unsigned zone)
{
	unsigned drained = 0;

	for (int i = 0; i < SOAK_ZONES; i++)
		drained += soak->zones[i].drained;
	if (!soak->zones[zone].drained && drained + 1 >= SOAK_ZONES)
		return false;
	soak_zone_toggle(soak, zone);
	return true;
}

static bool apply_fault(struct soak *soak, const struct soak_fault *fault)
{
	switch (fault->kind) {
	case SOAK_ENTRY_FOREIGN:
		return apply_foreign_entries(soak);
	case SOAK_NODE_KILLED:
	case SOAK_NODE_TERMINATES:
	case SOAK_NODE_PAUSES:
	case SOAK_NODE_RELOADS:
	case SOAK_NODE_UNROUTED:
	case SOAK_STORE_LINK:
		return apply_node_fault(soak, fault);
	case SOAK_ALL_KILLED:
	case SOAK_ALL_STALE:
		return apply_all_nodes_fault(soak, fault->kind);
	case SOAK_STORE_DOWN:
	case SOAK_STORE_THROTTLES:
	case SOAK_STORE_COMPACTS:
	case SOAK_STORE_LAGS:
		return apply_store_fault(soak, fault);
	case SOAK_PACKETS:
		return apply_packet_fault(soak, fault);
	case SOAK_VERSION:
		soak_version_publish(soak);
		return true;
	case SOAK_ZONE_TOGGLED:
		return apply_zone_fault(soak, fault->target);
	default:
		return apply_endpoint_fault(soak, fault);
	}
}

void soak_fault_apply(struct soak *soak, const struct soak_fault *fault)
{
	soak_log(soak, "%s target=%u for_ms=%llu strength=%u doubled=%u",
		 soak_fault_name(fault->kind), fault->target,
		 (unsigned long long)fault->for_ms, fault->strength,
		 fault->doubled);
	if (apply_fault(soak, fault))
		soak->faults++;
	else
		soak_log(soak, "skipped: not applicable to its target now");
}

void soak_faults_end(struct soak *soak)
{
	uint64_t now_ms = jt_clock_ms();

	soak->faults_ended_ms = now_ms;
	soak->drop_percent = soak->duplicate_percent = 0;
	soak->packet_faults_until_ms = 0;
	soak_store_lag(soak->store, 0, 0);
	soak_log(soak, "faults end");
	for (uint32_t zone = 0; zone < SOAK_ZONES; zone++) {
		if (soak->zones[zone].drained)
			soak_zone_toggle(soak, zone);
	}
	for (int i = 0; i < soak->node_count; i++) {
		soak_node_end_faults(soak, i, now_ms);
		soak_store_throttle(soak->store, i, 0);
	}
}
