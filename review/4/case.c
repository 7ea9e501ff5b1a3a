/*
 * An endpoint ends as planned. Another endpoint's id gives the same flow label.
 * A node that is restarted less than a minute later keeps the ended endpoint as
 * owner of the label for longer than the other nodes do, and resets the open
 * flows of the endpoint that serves. Nothing but planned work happens.
 */
#include "../world2.h"

#include <signal.h>
#include <stdio.h>

enum {
	ZONE = 1, /* nodes 3 and 4 */
	RESTARTED = 3,
	OTHER = 4,
	/* Ids 1000000002 and 1100000003 (hexadecimal) of endpoints of planilla:
	 * the halves of each give 0x12 by XOR, as they do in the label. */
	ENDED_HIGH = 0x10,
	ENDED_LOW = 0x02,
	SERVING_HIGH = 0x11,
	SERVING_LOW = 0x03,
	ENDED_INDEX = 5,     /* the first of the zone to be started */
	HOST = 40,	     /* address of the endpoint that serves */
	DRAIN_MS = 4000,     /* `drainMs` and a little longer */
	RESTART_MS = 25000,  /* after the end */
	MAX_FLOW_MS = 60000, /* `maxFlowS` */
	FLOWS = 150,
};

static int started, ended = -1, serving = -1;
static bool start_serving;

uint32_t endpoint_draw(uint32_t below)
{
	bool high = below == ID_HIGH_DRAWS, low = below == ID_LOW_DRAWS;
	uint32_t drawn = draw(below);

	if (!high && !low)
		return drawn;
	if (start_serving)
		return high ? SERVING_HIGH - ID_HIGH_BASE : SERVING_LOW;
	/* Two draws for each endpoint of the deployment. */
	if (started++ / 2 == ENDED_INDEX)
		return high ? ENDED_HIGH - ID_HIGH_BASE : ENDED_LOW;
	return drawn;
}

bool endpoint_packet_decode(const uint8_t *bytes, size_t size,
			    struct packet *packet)
{
	return packet_decode(bytes, size, packet);
}

void on_syn_taken(int flow, int endpoint, int node, uint64_t sent_ms)
{
	(void)sent_ms;
	record("endpoint %llx: takes the SYN of flow %d from node %d",
	       (unsigned long long)endpoints[endpoint].id, flow, node);
}

void on_node_reset(int flow, int node, bool open, int endpoint)
{
	record("client: node %d resets flow %d (%s)", node, flow,
	       open ? "open" : "not open");
	if (open && endpoint >= 0 && endpoints[endpoint].alive &&
	    node_in_touch(node, now_ms()))
		broken("FLOW",
		       "node %d, in touch, resets flow %d, open for %.1f s at "
		       "endpoint %llx, which serves",
		       node, flow,
		       (double)(now_ms() - flows[flow].opened_ms) / 1000,
		       (unsigned long long)endpoints[endpoint].id);
}

/* Restarts the node as planned work and waits until routers use it again. */
static void restart(int node)
{
	uint64_t limit = now_ms() + 15000;

	record("planned: node %d is restarted", node);
	node_signal(node, SIGTERM);
	while (nodes[node].in && now_ms() < limit)
		run_until(now_ms() + 100);
	while (!nodes[node].in && now_ms() < limit)
		run_until(now_ms() + 100);
	if (!nodes[node].in)
		not_run("the restarted node did not come back");
}

/* The endpoint says that it drains, serves on for a while and leaves. */
static void endpoint_leave(int endpoint)
{
	char key[64], text[512];

	endpoints[endpoint].draining = true;
	endpoint_key(endpoint, key, sizeof(key));
	endpoint_document(endpoint, text, sizeof(text));
	store_put(key, text);
	record("planned: endpoint %llx says draining",
	       (unsigned long long)endpoints[endpoint].id);
	run_until(now_ms() + DRAIN_MS);
	endpoint_crash(endpoint);
	store_put(key, NULL);
	record("endpoint %llx has left, its entry goes",
	       (unsigned long long)endpoints[endpoint].id);
}

/* Returns the number of open flows at the endpoint that go through the node. */
static int held(int endpoint, int node)
{
	int count = 0;

	for (int i = 0; i < flow_count; i++)
		count += flows[i].state == FLOW_OPEN &&
			 flow_holder(&flows[i]) == endpoint &&
			 flows[i].via == node;
	return count;
}

void play(void)
{
	uint64_t left_ms;

	ended = ENDED_INDEX;
	if (endpoints[ended].zone != ZONE ||
	    endpoints[ended].service != SERVICE_PLANILLA)
		not_run("unexpected order of the endpoints");
	start_serving = true;
	serving = endpoint_start(SERVICE_PLANILLA, ZONE, HOST, 0,
				 ENDPOINT_BACKLOG);
	start_serving = false;
	traffic_set(route_planilla, 2, 50, 200);
	run_until(now_ms() + 1000);
	endpoint_leave(ended);
	left_ms = now_ms();
	run_until(left_ms + RESTART_MS);
	if (trouble)
		restart(RESTARTED);
	run_until(left_ms + MAX_FLOW_MS + 2000);
	for (int i = 0; i < FLOWS; i++) {
		flow_open(ZONE * 6 + i % 6, route_planilla, 100, 400, 0);
		run_until(now_ms() + 20);
	}
	run_until(now_ms() + 500);
	record("%d open flows at endpoint %llx go through node %d",
	       held(serving, OTHER), (unsigned long long)endpoints[serving].id,
	       OTHER);
	if (held(serving, OTHER) == 0)
		not_run("no flow opened at the endpoint");
	restart(OTHER);
	run_until(now_ms() + 2000);
}
