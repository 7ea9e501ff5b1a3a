/*
 * Stateful fuzzing of several nodes against a simple oracle.
 *
 * Bytes become operations: flows open, send and close through any node; nodes
 * crash, pause, leave and join; zones are partitioned; endpoints drain, crash,
 * return, are removed and stop reporting their health; the store fails. The
 * oracle tracks only flows and endpoints, not the state of nodes.
 *
 * Failures stay within the guarantee: one node or one zone at a time, and the
 * cell gets time to recover before the next.
 */
#include "jt_cluster.h"
#include "jt_net.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	SECOND = 1000000,
	NODES = 5,
	ZONES = 3,
	FLOWS = 96,
	STREAM_ENDPOINTS = 4,
	ENDPOINTS = 7, /* the last three belong to the request service */
	SLOTS = 2,
	CONNECTIONS = 40,
	RECOVERY_US = 12 * SECOND,
	DRAIN_LIMIT_US = 3 * SECOND,
	CONFIGS = 64,
	PACKET_TRIES = 12,
	READY_TRIES = 4,
};

struct fuzz_endpoint {
	uint32_t id;
	unsigned service;
	bool alive, silent, configured;
	bool draining;
	uint64_t drain_us; /* when the drain was accepted; 0: never */
	uint32_t incarnation;
	unsigned open;
};

struct fuzz_flow {
	struct jt_flow_key key;
	unsigned service;
	bool used, data_sent, closed, refused;
	bool placed;  /* its first packet was forwarded to some endpoint */
	int endpoint; /* -1: not assigned */
	uint32_t incarnation;
	bool delivered; /* the last packet reached its endpoint */
};

struct fuzz {
	struct jt_scheduler *scheduler;
	struct jt_cluster *cluster;
	struct fuzz_endpoint endpoints[ENDPOINTS];
	struct fuzz_flow flows[FLOWS];
	unsigned flow_count;
	uint64_t revision;
	unsigned shares[2];
	uint64_t last_failure_us; /* last failure of a node or zone */
	unsigned last_failure_zone;
	bool partitioned;
	uint64_t node_revision[NODES];
	enum jt_node_state node_states[NODES];
	/* Revision that began each endpoint's drain; 0 once it is accepted. */
	uint64_t drain_revision[ENDPOINTS];
};

/* Set by the driver: the faults to inject, with which runs must fail,
 * and whether to log each step to stderr. */
unsigned fuzz_injected_faults;
int fuzz_verbose;

__attribute__((format(printf, 2, 3))) static void trace(const struct fuzz *fuzz,
							const char *format, ...)
{
	va_list arguments;

	if (!fuzz_verbose)
		return;
	fprintf(stderr, "%9.3f ",
		(double)jt_scheduler_now(fuzz->scheduler) / SECOND);
	va_start(arguments, format);
	vfprintf(stderr, format, arguments);
	va_end(arguments);
	fputc('\n', stderr);
}

__attribute__((format(printf, 2, 3), noreturn)) static void
fail(const struct fuzz *fuzz, const char *format, ...)
{
	va_list arguments;

	fprintf(stderr, "oracle at %.3f s: ",
		(double)jt_scheduler_now(fuzz->scheduler) / SECOND);
	va_start(arguments, format);
	vfprintf(stderr, format, arguments);
	va_end(arguments);
	fputc('\n', stderr);
	abort();
}

/* Oracle */

static int endpoint_index(struct jt_address address)
{
	return (int)(address.ip - 0x0a200000u);
}

static bool endpoint_alive(const struct fuzz *fuzz,
			   const struct fuzz_flow *flow)
{
	const struct fuzz_endpoint *e = &fuzz->endpoints[flow->endpoint];

	return e->alive && e->incarnation == flow->incarnation;
}

static void check_first_packet(struct fuzz *fuzz, struct fuzz_flow *flow,
			       int to)
{
	struct fuzz_endpoint *e = &fuzz->endpoints[to];
	uint64_t now = jt_scheduler_now(fuzz->scheduler);

	/* A retransmitted first packet stays with its endpoint. */
	if (!flow->placed && e->drain_us != 0 &&
	    now > e->drain_us + DRAIN_LIMIT_US)
		fail(fuzz,
		     "flow %ld assigned to endpoint %d, draining for %.3f s",
		     flow - fuzz->flows, to,
		     (double)(now - e->drain_us) / SECOND);
	flow->placed = true;
	if (!e->alive)
		return;
	flow->endpoint = to;
	flow->incarnation = e->incarnation;
	e->open++;
	if (e->open > (e->service == 0 ? CONNECTIONS : SLOTS))
		fail(fuzz, "endpoint %d holds %u flows", to, e->open);
}

static void check_forward(struct fuzz *fuzz, struct fuzz_flow *flow,
			  struct jt_address address)
{
	int to = endpoint_index(address);

	if (to < 0 || to >= ENDPOINTS ||
	    fuzz->endpoints[to].service != flow->service)
		fail(fuzz, "flow %ld of service %u reached endpoint %d",
		     flow - fuzz->flows, flow->service, to);
	if (flow->refused)
		fail(fuzz, "flow %ld was refused and reached endpoint %d",
		     flow - fuzz->flows, to);
	if (flow->endpoint < 0) {
		check_first_packet(fuzz, flow, to);
	} else if (flow->endpoint != to && endpoint_alive(fuzz, flow)) {
		fail(fuzz, "flow %ld moved from endpoint %d to %d",
		     flow - fuzz->flows, flow->endpoint, to);
	}
	flow->delivered = flow->endpoint == to;
}

static void on_outcome(void *private_data,
		       const struct jt_packet_outcome *outcome)
{
	struct fuzz *fuzz = private_data;
	struct fuzz_flow *flow = &fuzz->flows[outcome->packet];

	trace(fuzz, "flow %ld at node %u: verdict %d endpoint %d reason %d",
	      flow - fuzz->flows, outcome->node, outcome->kind,
	      outcome->kind ? -1 : endpoint_index(outcome->endpoint),
	      outcome->reason);
	if (outcome->kind == JT_PACKET_FORWARDED)
		check_forward(fuzz, flow, outcome->endpoint);
	if (outcome->kind == JT_PACKET_REFUSED) {
		if (flow->endpoint >= 0)
			fail(fuzz,
			     "flow %ld refused after endpoint %d accepted it",
			     flow - fuzz->flows, flow->endpoint);
		flow->refused = true;
	}
}

static void check_revisions(struct fuzz *fuzz)
{
	for (uint16_t n = 0; n < NODES; n++) {
		struct jt_cluster_node_info info;

		jt_cluster_info(fuzz->cluster, n, &info);
		if (!info.ready)
			continue;
		if (info.revision < fuzz->node_revision[n])
			fail(fuzz,
			     "revision of node %u decreased from %lu to %lu", n,
			     (unsigned long)fuzz->node_revision[n],
			     (unsigned long)info.revision);
		fuzz->node_revision[n] = info.revision;
	}
}

/* Environment */

static bool read_health(void *private_data, uint32_t endpoint_id,
			struct jt_health *health)
{
	struct fuzz *fuzz = private_data;

	for (int i = 0; i < ENDPOINTS; i++) {
		const struct fuzz_endpoint *e = &fuzz->endpoints[i];

		if (e->id != endpoint_id)
			continue;
		*health = (struct jt_health){.endpoint_id = endpoint_id};
		if (!e->alive || e->silent)
			return true;
		health->flags = JT_REPORT_OK;
		health->load = e->open;
		health->incarnation = (uint8_t)(e->incarnation % 255 + 1);
		return true;
	}
	return false;
}

/* The drain begins when the store has accepted its revision. */
static void on_accepted(void *object, uint64_t revision)
{
	struct fuzz *fuzz = object;

	for (int i = 0; i < ENDPOINTS; i++) {
		struct fuzz_endpoint *e = &fuzz->endpoints[i];

		if (fuzz->drain_revision[i] == 0 ||
		    revision < fuzz->drain_revision[i])
			continue;
		fuzz->drain_revision[i] = 0;
		e->drain_us = e->draining || !e->configured
				      ? jt_scheduler_now(fuzz->scheduler)
				      : 0;
	}
}

static struct jt_config *create_config(struct fuzz *fuzz)
{
	static const char *const services[2] = {"roster", "export"};
	static const char *const groups[2] = {"clinics", "bakeries"};
	struct jt_config *c = talloc_zero(fuzz, struct jt_config);

	c->revision = ++fuzz->revision;
	c->services = talloc_zero_array(c, struct jt_service_config, 2);
	c->groups = talloc_zero_array(c, struct jt_group_config, 2);
	c->addresses = talloc_zero_array(c, struct jt_address_config, 4);
	c->shares = talloc_zero_array(c, struct jt_share_config, 4);
	c->endpoints =
		talloc_zero_array(c, struct jt_endpoint_config, ENDPOINTS);
	for (uint32_t s = 0; s < 2; s++) {
		c->services[s].id = jt_name_id(services[s]);
		c->services[s].kind =
			s ? JT_SERVICE_REQUEST : JT_SERVICE_STREAM;
		c->services[s].load_placed_permille = 200;
		c->groups[s].id = jt_name_id(groups[s]);
		for (uint32_t g = 0; g < 2; g++) {
			uint32_t i = 2 * s + g;

			c->addresses[i].address.ip = 0x0a140000u + i;
			c->addresses[i].address.port = 80;
			c->addresses[i].protocol = JT_PROTOCOL_TCP;
			c->addresses[i].service = c->shares[i].service = s;
			c->addresses[i].group = c->shares[i].group = g;
			c->shares[i].weight = fuzz->shares[g];
		}
	}
	c->service_count = c->group_count = 2;
	c->address_count = c->share_count = 4;
	for (uint32_t i = 0; i < ENDPOINTS; i++) {
		struct jt_endpoint_config *e = &c->endpoints[c->endpoint_count];

		if (!fuzz->endpoints[i].configured)
			continue;
		e->id = fuzz->endpoints[i].id;
		e->service = fuzz->endpoints[i].service;
		e->address = (struct jt_address){0x0a200000u + i, 6080};
		e->slots = SLOTS;
		e->connections = CONNECTIONS;
		e->draining = fuzz->endpoints[i].draining;
		c->endpoint_count++;
	}
	return c;
}

static void configure(struct fuzz *fuzz)
{
	if (fuzz->revision >= CONFIGS)
		return;
	jt_cluster_configure(fuzz->cluster, create_config(fuzz), on_accepted,
			     fuzz);
}

static void run(struct fuzz *fuzz, uint64_t us)
{
	while (us > 0) {
		uint64_t step = us < SECOND / 4 ? us : SECOND / 4;

		jt_scheduler_run(fuzz->scheduler,
				 jt_scheduler_now(fuzz->scheduler) + step);
		check_revisions(fuzz);
		us -= step;
	}
}

/* Operations */

static void send_packet(struct fuzz *fuzz, struct fuzz_flow *flow, uint8_t node,
			uint8_t tcp_flags)
{
	struct jt_cluster_node_info info;
	uint16_t index = node % NODES;

	jt_cluster_info(fuzz->cluster, index, &info);
	flow->delivered = false;
	if (info.state == JT_NODE_RUNNING || info.state == JT_NODE_LEAVING)
		jt_cluster_packet(fuzz->cluster, index, &flow->key, tcp_flags,
				  (uint64_t)(flow - fuzz->flows));
}

static void open_flow(struct fuzz *fuzz, uint8_t node, uint8_t choice)
{
	struct fuzz_flow *flow;

	if (fuzz->flow_count == FLOWS)
		return;
	flow = &fuzz->flows[fuzz->flow_count];
	flow->used = true;
	flow->endpoint = -1;
	flow->service = (choice >> 1) % 4 == 3;
	flow->key.source = 0x0b000000u + choice * 77u;
	flow->key.source_port = (uint16_t)(1024 + fuzz->flow_count);
	flow->key.destination = 0x0a140000u + 2 * flow->service + (choice & 1u);
	flow->key.destination_port = 80;
	flow->key.protocol = JT_PROTOCOL_TCP;
	fuzz->flow_count++;
	trace(fuzz, "flow %ld of service %u opens", flow - fuzz->flows,
	      flow->service);
	send_packet(fuzz, flow, node, JT_TCP_SYN);
}

static struct fuzz_flow *flow_pick(struct fuzz *fuzz, uint8_t choice)
{
	return fuzz->flow_count ? &fuzz->flows[choice % fuzz->flow_count]
				: NULL;
}

static void send_data(struct fuzz *fuzz, uint8_t node, uint8_t choice)
{
	struct fuzz_flow *flow = flow_pick(fuzz, choice);

	if (flow == NULL || flow->closed || flow->refused)
		return;
	if (flow->endpoint < 0) { /* not answered yet: retransmit the SYN */
		send_packet(fuzz, flow, node, JT_TCP_SYN);
		return;
	}
	flow->data_sent = true;
	send_packet(fuzz, flow, node, JT_TCP_ACK);
}

/* Closes a flow, which has effect once a packet reaches the endpoint. */
static void close_flow(struct fuzz *fuzz, uint8_t node, uint8_t choice)
{
	struct fuzz_flow *flow = flow_pick(fuzz, choice);

	if (flow == NULL || flow->closed || flow->endpoint < 0)
		return;
	for (int i = 0; i < PACKET_TRIES && !flow->delivered; i++) {
		send_packet(fuzz, flow, (uint8_t)(node + i),
			    JT_TCP_FIN | JT_TCP_ACK);
		run(fuzz, SECOND / 20);
	}
	if (!flow->delivered)
		return;
	flow->closed = true;
	if (endpoint_alive(fuzz, flow))
		fuzz->endpoints[flow->endpoint].open--;
}

static unsigned zone_of(uint8_t node)
{
	return node % NODES % ZONES;
}

/* Returns true if the zone may fail now, and records that failure: one node
 * or one zone at a time, with time to recover in between. */
static bool failure_allowed(struct fuzz *fuzz, unsigned zone)
{
	uint64_t now = jt_scheduler_now(fuzz->scheduler);

	if (fuzz->partitioned)
		return false;
	if (now < fuzz->last_failure_us + RECOVERY_US &&
	    (zone != fuzz->last_failure_zone || now != fuzz->last_failure_us))
		return false;
	for (uint16_t n = 0; n < NODES; n++) {
		struct jt_cluster_node_info info;

		jt_cluster_info(fuzz->cluster, n, &info);
		if (info.state != JT_NODE_RUNNING &&
		    zone_of((uint8_t)n) != zone)
			return false;
	}
	fuzz->last_failure_us = now;
	fuzz->last_failure_zone = zone;
	return true;
}

static void start_node(struct fuzz *fuzz, uint8_t node)
{
	struct jt_cluster_node_info info;
	uint16_t index = node % NODES;

	jt_cluster_info(fuzz->cluster, index, &info);
	if (info.state == JT_NODE_RUNNING || info.state == JT_NODE_LEAVING ||
	    info.state == JT_NODE_PAUSED)
		return;
	/* A new process may begin at an older revision until a peer or the
	 * store sends it a newer one, before it is ready. */
	jt_cluster_start(fuzz->cluster, index, zone_of(node));
	fuzz->last_failure_us = jt_scheduler_now(fuzz->scheduler);
	fuzz->last_failure_zone = ZONES; /* no zone may fail at this time */
}

static void node_operation(struct fuzz *fuzz, uint8_t operation_code,
			   uint8_t node)
{
	uint16_t index = node % NODES;
	unsigned zone = zone_of(node);

	trace(fuzz, "node operation %d on %u", operation_code % 6, index);
	switch (operation_code % 6) {
	case 0:
		if (failure_allowed(fuzz, zone))
			jt_cluster_crash(fuzz->cluster, index);
		break;
	case 1:
		for (uint8_t n = 0; failure_allowed(fuzz, zone) && n < NODES;
		     n++) {
			if (zone_of(n) == zone)
				jt_cluster_crash(fuzz->cluster, n);
		}
		break;
	case 2:
		if (failure_allowed(fuzz, zone))
			jt_cluster_pause(fuzz->cluster, index);
		break;
	case 3:
		jt_cluster_resume(fuzz->cluster, index);
		break;
	case 4:
		if (failure_allowed(fuzz, zone))
			jt_cluster_leave(fuzz->cluster, index);
		break;
	default:
		start_node(fuzz, node);
		break;
	}
}

static void partition_operation(struct fuzz *fuzz, uint8_t choice)
{
	unsigned a = choice % ZONES, b = (choice + 1) % ZONES;

	if (!fuzz->partitioned && !failure_allowed(fuzz, a))
		return;
	fuzz->partitioned = !fuzz->partitioned;
	trace(fuzz, "zones %u and %u %s", a, b,
	      fuzz->partitioned ? "partitioned" : "reconnected");
	for (unsigned z = 0; !fuzz->partitioned && z < ZONES; z++)
		jt_cluster_set_partition(fuzz->cluster, z, (z + 1) % ZONES,
					 false);
	if (fuzz->partitioned)
		jt_cluster_set_partition(fuzz->cluster, a, b, true);
	/* Isolate one zone from all others. */
	if (fuzz->partitioned && choice & 0x80)
		jt_cluster_set_partition(fuzz->cluster, a, (a + 2) % ZONES,
					 true);
	fuzz->last_failure_us = jt_scheduler_now(fuzz->scheduler);
	fuzz->last_failure_zone = ZONES;
}

static unsigned usable_endpoints(const struct fuzz *fuzz, unsigned service)
{
	unsigned count = 0;

	for (int i = 0; i < ENDPOINTS; i++) {
		const struct fuzz_endpoint *e = &fuzz->endpoints[i];

		count += e->service == service && e->alive && e->configured &&
			 !e->draining;
	}
	return count;
}

static void endpoint_operation(struct fuzz *fuzz, uint8_t operation_code,
			       uint8_t choice)
{
	int index = choice % ENDPOINTS;
	struct fuzz_endpoint *e = &fuzz->endpoints[index];

	trace(fuzz, "endpoint operation %d on %d, revision %lu",
	      operation_code % 5, index, (unsigned long)fuzz->revision);
	switch (operation_code % 5) {
	case 0: /* start or cancel a drain */
		if (!e->configured)
			return;
		e->draining = !e->draining;
		fuzz->drain_revision[index] = fuzz->revision + 1;
		if (!e->draining)
			e->drain_us = 0;
		configure(fuzz);
		break;
	case 1: /* crash; its flows end */
		if (usable_endpoints(fuzz, e->service) < 2)
			return;
		e->alive = false;
		e->incarnation++;
		e->open = 0;
		break;
	case 2:
		e->alive = true;
		break;
	case 3:
		e->silent = !e->silent;
		break;
	default: /* remove from or add to the configuration */
		if (e->configured && usable_endpoints(fuzz, e->service) < 2)
			return;
		e->configured = !e->configured;
		fuzz->drain_revision[index] = fuzz->revision + 1;
		if (e->configured && !e->draining)
			e->drain_us = 0;
		configure(fuzz);
		break;
	}
}

static void store_operation(struct fuzz *fuzz, uint8_t operation_code)
{
	trace(fuzz, "store operation %d", operation_code % 4);
	switch (operation_code % 4) {
	case 0:
		jt_cluster_set_store_down(fuzz->cluster, true);
		break;
	case 1:
		jt_cluster_set_store_down(fuzz->cluster, false);
		break;
	case 2:
		jt_cluster_drop_store_responses(fuzz->cluster, 1);
		break;
	default:
		fuzz->shares[operation_code / 4 % 2] =
			1 + operation_code / 8 % 4;
		configure(fuzz);
		break;
	}
}

static void operation(struct fuzz *fuzz, const uint8_t bytes[3])
{
	switch (bytes[0] % 16) {
	case 0:
	case 1:
	case 2:
	case 3:
		open_flow(fuzz, bytes[1], bytes[2]);
		run(fuzz, 1000u * (bytes[1] >> 4));
		break;
	case 4:
	case 5:
	case 6:
		send_data(fuzz, bytes[1], bytes[2]);
		run(fuzz, 1000u * (bytes[1] >> 4));
		break;
	case 7:
		close_flow(fuzz, bytes[1], bytes[2]);
		break;
	case 8:
	case 9:
		node_operation(fuzz, bytes[1], bytes[2]);
		break;
	case 10:
		partition_operation(fuzz, bytes[1]);
		break;
	case 11:
	case 12:
		endpoint_operation(fuzz, bytes[1], bytes[2]);
		break;
	case 13:
		store_operation(fuzz, bytes[1]);
		break;
	case 14:
		run(fuzz, 10000u * bytes[1]);
		break;
	default:
		run(fuzz, 100000u * bytes[1]);
		break;
	}
}

/* Ends all faults and waits until every open flow must reach its endpoint. */
static void recover(struct fuzz *fuzz)
{
	jt_cluster_set_store_down(fuzz->cluster, false);
	for (unsigned z = 0; z < ZONES; z++)
		jt_cluster_set_partition(fuzz->cluster, z, (z + 1) % ZONES,
					 false);
	run(fuzz, SECOND);
	for (uint8_t n = 0; n < NODES; n++) {
		jt_cluster_resume(fuzz->cluster, n);
		start_node(fuzz, n);
	}
	run(fuzz, 20 * SECOND);
	for (uint8_t n = 0; n < NODES; n++)
		start_node(fuzz, n); /* those that were leaving before */
	run(fuzz, 20 * SECOND);
}

/* Checks that every node is ready at the newest revision. A lost heartbeat
 * may make a node briefly unready. */
static void check_nodes(struct fuzz *fuzz)
{
	for (uint16_t n = 0; n < NODES; n++) {
		struct jt_cluster_node_info info;

		jt_cluster_info(fuzz->cluster, n, &info);
		for (int i = 0; i < READY_TRIES && !info.ready; i++) {
			run(fuzz, SECOND / 2);
			jt_cluster_info(fuzz->cluster, n, &info);
		}
		if (!info.ready || info.revision != fuzz->revision)
			fail(fuzz, "node %u: ready %d, revision %lu of %lu", n,
			     info.ready, (unsigned long)info.revision,
			     (unsigned long)fuzz->revision);
	}
}

static void check_all(struct fuzz *fuzz)
{
	for (unsigned i = 0; i < fuzz->flow_count; i++) {
		struct fuzz_flow *flow = &fuzz->flows[i];

		if (flow->closed || flow->endpoint < 0 ||
		    !endpoint_alive(fuzz, flow))
			continue;
		flow->delivered = false;
		for (int t = 0; t < PACKET_TRIES && !flow->delivered; t++) {
			send_packet(fuzz, flow, (uint8_t)t, JT_TCP_ACK);
			run(fuzz, SECOND / 10);
		}
		if (!flow->delivered)
			fail(fuzz, "flow %u no longer reaches endpoint %d", i,
			     flow->endpoint);
	}
	check_nodes(fuzz);
}

static void start(struct fuzz *fuzz, uint8_t seed)
{
	struct jt_cluster_options options;

	jt_cluster_options_init(&options);
	options.seed = seed;
	options.zone_count = ZONES;
	options.loss_per_million = seed & 1 ? 20000 : 0;
	options.reorder_per_million = seed & 2 ? 50000 : 0;
	options.duplicate_per_million = seed & 4 ? 50000 : 0;
	options.machine_list_lag_us = SECOND;
	options.store_operations_per_s = 50;
	options.injected_faults = fuzz_injected_faults;
	options.on_outcome = on_outcome;
	options.read_health = read_health;
	options.private_data = fuzz;
	fuzz->scheduler = jt_scheduler_create(fuzz);
	fuzz->cluster = jt_cluster_create(fuzz, fuzz->scheduler, &options);
	fuzz->shares[0] = fuzz->shares[1] = 1;
	for (int i = 0; i < ENDPOINTS; i++) {
		char name[16];

		snprintf(name, sizeof(name), "e%d", i);
		fuzz->endpoints[i] = (struct fuzz_endpoint){
			.id = jt_name_id(name),
			.service = i >= STREAM_ENDPOINTS,
			.alive = true,
			.configured = true,
		};
	}
	configure(fuzz);
	for (uint8_t n = 0; n < NODES; n++)
		start_node(fuzz, n);
	run(fuzz, 10 * SECOND);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct fuzz *fuzz;

	if (size < 4 || size > 400)
		return 0;
	fuzz = talloc_zero(NULL, struct fuzz);
	start(fuzz, data[0]);
	for (size_t i = 1; i + 3 <= size; i += 3)
		operation(fuzz, data + i);
	recover(fuzz);
	check_all(fuzz);
	talloc_free(fuzz);
	return 0;
}
