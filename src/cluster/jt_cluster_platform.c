/*
 * Platform of the simulated cluster: machine list, health pages, and a store
 * with a rate limit, lost responses and outages.
 */
#include "jt_cluster_private.h"

#include <stdlib.h>

enum {
	HTTP_OVERHEAD = 260,  /* bytes of a health request and response */
	STORE_OVERHEAD = 420, /* bytes of a store operation, no document */
	RESOURCE_BYTES = 110, /* average per resource of a document */
	WRITE_RETRY_US = 300000,
	FOUND_DELAY_US = 1500000,
	FOUNDER_TIMEOUT_US = 60000000, /* after the last renewal */
	FOUNDER_RENEWAL_US = 10000000,
	CANDIDATES_INTERVAL_US = 2000000,
	STORE_RETRY_US = 500000,
};

/* Store: token bucket shared by all nodes */

static bool take_store_token(struct jt_cluster *cluster)
{
	double rate = cluster->options.store_operations_per_s;
	uint64_t now = cluster_now_us(cluster);

	cluster->store_tokens +=
		(double)(now - cluster->store_refilled_us) * rate / 1e6;
	cluster->store_refilled_us = now;
	if (cluster->store_tokens > 2 * rate)
		cluster->store_tokens = 2 * rate;
	if (cluster->store_tokens < 1)
		return false;
	cluster->store_tokens -= 1;
	return true;
}

size_t platform_document_bytes(const struct jt_config *config)
{
	return RESOURCE_BYTES * (config->service_count +
				 config->endpoint_count + config->group_count +
				 config->address_count + config->share_count);
}

/* A witness request in progress. */
struct witness_call {
	struct node *node;
	struct jt_witness_reply reply;
};

static void on_witness_reply(void *object, uint64_t incarnation)
{
	struct witness_call *call = object;
	struct jt_event event = {.kind = JT_EVENT_WITNESS};

	if (call->node->incarnation == incarnation &&
	    node_running(call->node)) {
		event.u.witness = &call->reply;
		node_handle_event(call->node, &event);
	}
	talloc_free(call);
}

void platform_request_vote(struct node *node,
			   const struct jt_witness_request *request)
{
	struct jt_cluster *cluster = node->cluster;
	struct jt_witness_record *record = &cluster->cells[node->cell].witness;
	struct witness_call *call;

	if (cluster->store_down || request->proposal == NULL)
		return;
	node->store_operations += 2;
	node_add_control_bytes(node, PLATFORM, 2 * STORE_OVERHEAD);
	call = talloc_zero(cluster, struct witness_call);
	call->node = node;
	call->reply.request = *request;
	call->reply.request.proposal =
		jt_proposal_copy(cluster, request->proposal);
	call->reply.granted = jt_witness_apply(record, &call->reply.request);
	call->reply.record = *record;
	jt_scheduler_after(cluster->scheduler,
			   2 * cluster->options.store_answer_us,
			   on_witness_reply, call, node->incarnation);
}

/* Periodic work of a node */

static void report_candidates(struct node *node)
{
	struct jt_cluster *cluster = node->cluster;
	struct jt_event event = {.kind = JT_EVENT_CANDIDATES};
	uint64_t lag = cluster->options.machine_list_lag_us;
	size_t count = 0;

	if (cluster_now_us(cluster) < node->candidates_us)
		return;
	node->candidates_us = cluster_now_us(cluster) + CANDIDATES_INTERVAL_US;
	node_add_control_bytes(node, PLATFORM, HTTP_OVERHEAD);
	for (size_t i = 0; i < cluster->node_count; i++) {
		const struct node *other = cluster->nodes[i];

		if (other == NULL || other->cell != node->cell ||
		    other->started_us + lag >
			    cluster_now_us(cluster) + FOUND_DELAY_US)
			continue;
		cluster->listed[count++] = node_address((uint16_t)i);
	}
	event.u.candidates.addresses = cluster->listed;
	event.u.candidates.count = count;
	node_handle_event(node, &event);
}

static bool is_reader(const struct node *node)
{
	return jt_core_is_store_reader(node->core);
}

static void on_store_read(void *object, uint64_t incarnation)
{
	struct node *node = object;
	struct jt_cluster *cluster = node->cluster;
	struct jt_event event = {.kind = JT_EVENT_CONFIG};

	if (node->incarnation != incarnation || !node_running(node) ||
	    cluster->store_down || cluster->stored == NULL)
		return;
	node_add_control_bytes(node, PLATFORM,
			       platform_document_bytes(cluster->stored));
	event.u.config = cluster->stored;
	node_handle_event(node, &event);
}

/* Simulates a watch: the store responds when it has a newer revision. */
static void read_store(struct node *node)
{
	struct jt_cluster *cluster = node->cluster;
	const struct jt_config *known = jt_core_newest_config(node->core);

	if (cluster_now_us(cluster) < node->read_us || cluster->store_down ||
	    cluster->stored == NULL || !is_reader(node))
		return;
	if (known != NULL && known->revision >= cluster->stored->revision)
		return;
	node->read_us = cluster_now_us(cluster) + STORE_RETRY_US;
	if (known == NULL && !take_store_token(cluster))
		return;
	node->store_operations += known == NULL;
	node_add_control_bytes(node, PLATFORM, STORE_OVERHEAD);
	jt_scheduler_after(cluster->scheduler, cluster->options.store_answer_us,
			   on_store_read, node, node->incarnation);
}

/* Renews the founder record in the store if this node is the coordinator. */
static void renew_founder_record(struct node *node, struct cell *cell)
{
	uint64_t now = cluster_now_us(node->cluster);

	if (!jt_core_coordinator(node->core) || now < node->founder_us)
		return;
	node->founder_us = now + FOUNDER_RENEWAL_US;
	node->store_operations += 2;
	node_add_control_bytes(node, PLATFORM, 2 * STORE_OVERHEAD);
	cell->renewed_us = now;
}

/*
 * Returns true if a node may found the cell: there is no founder record, or
 * it was not renewed for FOUNDER_TIMEOUT_US while the store was reachable
 * without interruption. Time in which nobody could renew it does not count.
 */
static bool founder_record_expired(struct node *node, const struct cell *cell)
{
	uint64_t now = cluster_now_us(node->cluster);

	if (cell->id == 0)
		return true;
	if (node->observed_us == 0 ||
	    node->founder_renewed_us != cell->renewed_us) {
		node->observed_us = now;
		node->founder_renewed_us = cell->renewed_us;
	}
	return now >= node->observed_us + FOUNDER_TIMEOUT_US;
}

static void maintain_founder_record(struct node *node)
{
	struct jt_cluster *cluster = node->cluster;
	struct cell *cell = &cluster->cells[node->cell];
	struct jt_event event = {.kind = JT_EVENT_CREATE_CELL};
	uint64_t now = cluster_now_us(cluster);

	if (cluster->store_down || jt_core_state(node->core) != NULL)
		node->observed_us = 0;
	if (cluster->store_down)
		return;
	if (jt_core_state(node->core) != NULL) {
		renew_founder_record(node, cell);
		return;
	}
	if (now < node->started_us + FOUND_DELAY_US || now < node->founder_us ||
	    jt_core_newest_config(node->core) == NULL)
		return;
	node->founder_us = now + STORE_RETRY_US;
	if (!take_store_token(cluster))
		return;
	node->store_operations++;
	node_add_control_bytes(node, PLATFORM, STORE_OVERHEAD);
	if (!founder_record_expired(node, cell))
		return;
	cell->id = cluster_random64(cluster) | 1;
	cell->renewed_us = now;
	event.u.cell = cell->id;
	node_handle_event(node, &event);
}

static void probe_endpoints(struct node *node)
{
	struct jt_cluster *cluster = node->cluster;
	const struct jt_cell_state *state = jt_core_state(node->core);
	size_t count = state ? state->endpoint_count : 0;

	if (count > node->probe_count) {
		node->probe_due_us = talloc_realloc(node, node->probe_due_us,
						    uint64_t, count);
		for (size_t i = node->probe_count; i < count; i++)
			node->probe_due_us[i] = 0;
		node->probe_count = count;
	}
	for (size_t i = 0; i < count; i++) {
		struct jt_event event = {.kind = JT_EVENT_HEALTH};
		uint32_t id = state->endpoints[i].id;

		if (cluster_now_us(cluster) < node->probe_due_us[i] ||
		    !jt_core_is_prober(node->core, id))
			continue;
		node->probe_due_us[i] =
			cluster_now_us(cluster) +
			1000 * jt_core_probe_interval(
				       node->core,
				       cluster->options.probe_interval_us /
					       1000);
		node_add_control_bytes(node, PLATFORM, HTTP_OVERHEAD);
		event.u.health.endpoint_id = id;
		if (cluster->options.read_health(cluster->options.private_data,
						 id, &event.u.health))
			node_handle_event(node, &event);
		state = jt_core_state(node->core);
		count = state ? state->endpoint_count : 0;
	}
}

void platform_tick(struct node *node)
{
	report_candidates(node);
	read_store(node);
	maintain_founder_record(node);
	probe_endpoints(node);
}

/* Configuration writes and fault injection */

void jt_cluster_set_store_down(struct jt_cluster *cluster, bool down)
{
	cluster->store_down = down;
}

void jt_cluster_set_store_latency(struct jt_cluster *cluster,
				  uint32_t answer_us)
{
	cluster->options.store_answer_us = answer_us;
}

void jt_cluster_drop_store_responses(struct jt_cluster *cluster, uint32_t count)
{
	cluster->responses_to_drop = count;
}

void jt_cluster_set_machine_list_lag(struct jt_cluster *cluster,
				     uint32_t lag_us)
{
	cluster->options.machine_list_lag_us = lag_us;
}

uint64_t jt_cluster_stored_revision(const struct jt_cluster *cluster,
				    uint64_t *when_us)
{
	*when_us = cluster->stored_us;
	return cluster->stored ? cluster->stored->revision : 0;
}

static uint16_t random_running_node(struct jt_cluster *cluster)
{
	uint16_t chosen = JT_NO_NODE;
	uint32_t candidate_count = 0;

	for (size_t i = 0; i < cluster->node_count; i++) {
		const struct node *node = cluster->nodes[i];

		if (node == NULL || node->state != JT_NODE_RUNNING)
			continue;
		if (jt_cluster_random(cluster, ++candidate_count) == 0)
			chosen = (uint16_t)i;
	}
	return chosen;
}

static void attempt_write(void *object, uint64_t argument);

static void on_write_response(void *object, uint64_t argument)
{
	struct pending_write *write = object;
	struct node *node = write->cluster->nodes[write->writer];
	struct jt_event event = {.kind = JT_EVENT_CONFIG};
	const struct jt_cell_state *state;

	(void)argument;
	if (!node_running(node)) {
		/* The connection broke: retry at another node. */
		jt_scheduler_after(write->cluster->scheduler, WRITE_RETRY_US,
				   attempt_write, write, 0);
		return;
	}
	event.u.config = write->config;
	node_handle_event(node, &event);
	/* Accepted means committed by the cell, not only stored. */
	state = jt_core_state(node->core);
	if (state != NULL &&
	    state->config->revision < write->config->revision) {
		jt_scheduler_after(write->cluster->scheduler, TICK_US,
				   on_write_response, write, 0);
		return;
	}
	if (write->on_accepted != NULL)
		write->on_accepted(write->object, write->config->revision);
	talloc_free(write);
}

/* Writes with a read and a compare-and-swap. After a lost response, the read
 * of the next attempt finds the write applied. */
static void attempt_write(void *object, uint64_t argument)
{
	struct pending_write *write = object;
	struct jt_cluster *cluster = write->cluster;
	uint64_t response_us = cluster->options.store_answer_us;
	bool response_lost = false;

	(void)argument;
	write->writer = random_running_node(cluster);
	if (cluster->store_down || write->writer == JT_NO_NODE ||
	    !take_store_token(cluster)) {
		jt_scheduler_after(cluster->scheduler, WRITE_RETRY_US,
				   attempt_write, write, 0);
		return;
	}
	cluster->nodes[write->writer]->store_operations += 2;
	node_add_control_bytes(cluster->nodes[write->writer], PLATFORM,
			       2 * STORE_OVERHEAD + 2 * platform_document_bytes(
								write->config));
	if (!write->took_effect) {
		write->took_effect = true;
		/* A newer revision that was stored first includes this one,
		 * since writers start from the stored document. */
		if (cluster->stored == NULL ||
		    cluster->stored->revision < write->config->revision) {
			cluster->stored = write->config;
			cluster->stored_us = cluster_now_us(cluster);
		}
		response_lost = cluster->responses_to_drop > 0;
		cluster->responses_to_drop -= response_lost;
	}
	if (response_lost)
		jt_scheduler_after(cluster->scheduler, WRITE_RETRY_US,
				   attempt_write, write, 0);
	else
		jt_scheduler_after(cluster->scheduler, 2 * response_us,
				   on_write_response, write, 0);
}

void jt_cluster_configure(struct jt_cluster *cluster,
			  const struct jt_config *config,
			  void (*on_accepted)(void *object, uint64_t revision),
			  void *object)
{
	struct pending_write *write =
		talloc_zero(cluster, struct pending_write);

	if (write == NULL)
		abort();
	write->cluster = cluster;
	write->config = config;
	write->on_accepted = on_accepted;
	write->object = object;
	/* The initial configuration is in the store before any node starts. */
	if (cluster->stored == NULL && cluster->node_count == 0) {
		cluster->stored = config;
		cluster->stored_us = cluster_now_us(cluster);
		talloc_free(write);
		return;
	}
	jt_scheduler_after(cluster->scheduler, cluster->options.store_answer_us,
			   attempt_write, write, 0);
}
