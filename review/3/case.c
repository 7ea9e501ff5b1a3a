/*
 * The node that watches the store freezes, and the configuration changes.
 * Reads with stale=1 show what was so some seconds ago, as the pages allow.
 */
#include "../world/world.h"

#include <signal.h>

enum {
	STALE_MS = 5000,  /* "its data may be seconds old" */
	FREEZE_MS = 5000, /* the bench's default for node_freeze */
	FIRST_MS = 8000,  /* before the freeze */
	AFTER_MS = 6000,  /* after it */
	WATCHER_LIMIT_MS = 10000,
};

static uint64_t acknowledged_ms; /* of the change; 0: not yet */

void on_syn_taken(int flow, int endpoint, int node, uint64_t sent_ms)
{
	const struct endpoint *taker = &endpoints[endpoint];
	uint64_t age_ms;

	record("endpoint %llx of %s: takes the SYN of flow %d, route %u, from "
	       "node %d",
	       (unsigned long long)taker->id, service_names[taker->service],
	       flow, flows[flow].route.port, node);
	if (acknowledged_ms == 0 || sent_ms <= acknowledged_ms ||
	    flows[flow].route.port != route_switched.port ||
	    taker->service != SERVICE_PLANILLA)
		return;
	age_ms = sent_ms - acknowledged_ms;
	if (age_ms > CONFIG_APPLY_MS && node_in_touch(node, sent_ms))
		broken("CONFIG",
		       "node %d, in touch, sends flow %d to the old service "
		       "%.3f s after the store has acknowledged the change",
		       node, flow, (double)age_ms / 1000);
}

void on_node_reset(int flow, int node, bool open, int endpoint)
{
	(void)endpoint;
	record("client: node %d resets flow %d (%s)", node, flow,
	       open ? "open" : "not open");
}

void play(void)
{
	const struct route routes[] = {
		route_planilla,
		route_informes,
		{route_switched.ip, route_switched.port, SERVICE_INFORMES},
	};
	uint64_t limit = now_ms() + FIRST_MS + WATCHER_LIMIT_MS;
	int watcher;

	store_stale_lag(STALE_MS);
	traffic_set(route_switched, 1, 0, 50);
	run_until(now_ms() + FIRST_MS);
	while ((watcher = store_watcher()) < 0 && now_ms() < limit)
		run_until(now_ms() + 100);
	if (watcher < 0)
		not_run("no node watches the store");
	record("node %d watches the store", watcher);
	if (trouble)
		node_signal(watcher, SIGSTOP);
	run_until(now_ms() + 300);
	acknowledged_ms =
		config_put(routes, sizeof(routes) / sizeof(routes[0]));
	run_until(now_ms() + FREEZE_MS - 300);
	if (trouble)
		node_signal(watcher, SIGCONT);
	run_until(now_ms() + AFTER_MS);
}
