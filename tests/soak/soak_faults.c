/* How each fault strikes: an endpoint, a node, the store, packets. */
#include "soak.h"

#include <signal.h>

/* So many endpoints of all are left in peace. */
static bool endpoints_enough(const struct soak *soak)
{
	int alive = 0;

	for (int i = 0; i < soak->endpoint_count; i++)
		alive += soak->endpoints[i].life == SOAK_ALIVE &&
			 soak->endpoints[i].listed;
	return alive > SOAK_ADDRESSES / 2;
}

/* The endpoint that the fault is for, -1: it can't have it now. */
static int endpoint_for(const struct soak *soak, const struct soak_fault *fault)
{
	int index = soak_endpoint_at(soak, fault->target);
	const struct soak_endpoint *endpoint;

	if (index < 0)
		return -1;
	endpoint = &soak->endpoints[index];
	if (endpoint->life != SOAK_ALIVE || endpoint->no_new_ms != 0 ||
	    !endpoint->listed)
		return -1;
	if (fault->kind <= SOAK_ENDPOINT_CUT && !endpoints_enough(soak))
		return -1;
	return index;
}

static bool strike_endpoint(struct soak *soak, const struct soak_fault *fault)
{
	int index = endpoint_for(soak, fault);

	if (index < 0)
		return false;
	soak_note(soak, "endpoint %llx",
		  (unsigned long long)soak->endpoints[index].id);
	switch (fault->kind) {
	case SOAK_ENDPOINT_DRAINS:
	case SOAK_ENDPOINT_GOES:
		soak_endpoint_drain(soak, index,
				    fault->kind == SOAK_ENDPOINT_GOES);
		break;
	case SOAK_ENDPOINT_CRASHES:
	case SOAK_ENDPOINT_DARK:
		soak_endpoint_crash(soak, index,
				    fault->kind == SOAK_ENDPOINT_DARK);
		break;
	case SOAK_ENDPOINT_CUT:
		soak_endpoint_cut(soak, index, fault->for_ms);
		break;
	case SOAK_ENDPOINT_RESTARTS:
		soak_endpoint_restart(soak, index);
		break;
	default:
		soak_endpoint_spoil(soak, index, fault->strength,
				    jt_clock_ms() + fault->for_ms);
		break;
	}
	return true;
}

static bool strike_entries(struct soak *soak)
{
	soak_store_put(soak->store, "servers/none", "{}");
	soak_store_put(soak->store, "servers/i-77/more", "no JSON");
	return true;
}

/* Signals go to whatever process there is, also to one that leaves or is
 * paused. */
static bool strike_node(struct soak *soak, const struct soak_fault *fault)
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
	case SOAK_NODE_STOPS:
		soak_node_signal(soak, index, SIGTERM);
		break;
	case SOAK_NODE_PAUSES:
		soak_node_pause(soak, index, until_ms);
		break;
	case SOAK_NODE_RELOADS:
		soak_node_reload(soak, index);
		break;
	default:
		soak_note(soak, "way to the store: %s",
			  soak_link_name((enum soak_link)fault->strength));
		soak_node_link(soak, index, (enum soak_link)fault->strength,
			       until_ms);
		break;
	}
	return true;
}

static bool strike_all(struct soak *soak, enum soak_fault_kind kind)
{
	for (int i = 0; i < soak->node_count; i++) {
		if (kind == SOAK_ALL_KILLED)
			soak_node_signal(soak, i, SIGKILL);
		else if (soak->nodes[i].link_heals_ms == 0)
			soak_node_link(soak, i, SOAK_LINK_STALE, 0);
	}
	return true;
}

static bool strike_store(struct soak *soak, const struct soak_fault *fault)
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
	default:
		soak_store_compact(soak->store);
		break;
	}
	return true;
}

static bool strike_packets(struct soak *soak, const struct soak_fault *fault)
{
	soak->drop_percent = fault->strength;
	soak->copy_percent = fault->doubled;
	soak->packets_until_ms = jt_clock_ms() + fault->for_ms;
	return true;
}

/* One zone stays, so that there are endpoints for new flows. */
static bool strike_zone(struct soak *soak, unsigned zone)
{
	unsigned drained = 0;

	for (int i = 0; i < SOAK_ZONES; i++)
		drained += soak->zones[i].drained;
	if (!soak->zones[zone].drained && drained + 1 >= SOAK_ZONES)
		return false;
	soak_zone_turn(soak, zone);
	return true;
}

static bool strike(struct soak *soak, const struct soak_fault *fault)
{
	switch (fault->kind) {
	case SOAK_ENTRY_FOREIGN:
		return strike_entries(soak);
	case SOAK_NODE_KILLED:
	case SOAK_NODE_STOPS:
	case SOAK_NODE_PAUSES:
	case SOAK_NODE_RELOADS:
	case SOAK_NODE_UNROUTED:
	case SOAK_STORE_LINK:
		return strike_node(soak, fault);
	case SOAK_ALL_KILLED:
	case SOAK_ALL_STALE:
		return strike_all(soak, fault->kind);
	case SOAK_STORE_DOWN:
	case SOAK_STORE_THROTTLES:
	case SOAK_STORE_FORGETS:
		return strike_store(soak, fault);
	case SOAK_PACKETS:
		return strike_packets(soak, fault);
	case SOAK_VERSION:
		soak_version_next(soak);
		return true;
	case SOAK_ZONE_TURNS:
		return strike_zone(soak, fault->target);
	default:
		return strike_endpoint(soak, fault);
	}
}

void soak_fault_strike(struct soak *soak, const struct soak_fault *fault)
{
	soak_note(soak, "%s target=%u for_ms=%llu strength=%u doubled=%u",
		  soak_fault_name(fault->kind), fault->target,
		  (unsigned long long)fault->for_ms, fault->strength,
		  fault->doubled);
	if (strike(soak, fault))
		soak->faults++;
	else
		soak_note(soak, "left out: its target can't have it now");
}

void soak_faults_end(struct soak *soak)
{
	uint64_t now_ms = jt_clock_ms();

	soak->calm_ms = now_ms;
	soak->drop_percent = soak->copy_percent = 0;
	soak->packets_until_ms = 0;
	soak_note(soak, "faults end");
	for (uint32_t zone = 0; zone < SOAK_ZONES; zone++) {
		if (soak->zones[zone].drained)
			soak_zone_turn(soak, zone);
	}
	for (int i = 0; i < soak->node_count; i++) {
		soak_node_heal(soak, i, now_ms);
		soak_store_throttle(soak->store, i, 0);
	}
}
