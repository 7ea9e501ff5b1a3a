#include "jt_status.h"
#include "jt_net.h"

#include <inttypes.h>
#include <string.h>

static const char *const state_names[] = {
	[JT_ENDPOINT_UP] = "up",
	[JT_ENDPOINT_SHEDDING] = "shedding",
	[JT_ENDPOINT_DRAINING] = "draining",
	[JT_ENDPOINT_DOWN] = "down",
	[JT_ENDPOINT_REMOVED] = "removed",
	[JT_ENDPOINT_GONE] = "gone",
};

static const char *const reason_names[JT_REASON_COUNT] = {
	[JT_REASON_NONE] = "none",
	[JT_REASON_UNKNOWN_DESTINATION] = "unknown_destination",
	[JT_REASON_NO_LEASE] = "no_lease",
	[JT_REASON_FROZEN] = "frozen",
	[JT_REASON_HOPS] = "hops",
	[JT_REASON_NO_ENDPOINT] = "no_endpoint",
	[JT_REASON_OVER_SHARE] = "over_share",
	[JT_REASON_NO_CAPACITY] = "no_capacity",
	[JT_REASON_FLOW_LIMIT] = "flow_limit",
	[JT_REASON_PENDING] = "pending",
};

static const char *endpoint_name(const struct jt_config *config, uint32_t id)
{
	for (size_t i = 0; i < config->endpoint_count; i++) {
		if (config->endpoints[i].id == id)
			return config->endpoints[i].name;
	}
	return "(removed)";
}

static json_t *members_json(const struct jt_node *node)
{
	const struct jt_cell_state *state = jt_core_state(node->core);
	json_t *list = json_array();
	char text[JT_ADDRESS_TEXT];
	char id[20];

	for (size_t i = 0; i < state->member_count; i++) {
		const struct jt_member *member = &state->members[i];

		snprintf(id, sizeof(id), "%016" PRIx64, member->id);
		json_array_append_new(
			list,
			json_pack("{s:s,s:s,s:I}", "id", id, "peer",
				  jt_address_format(member->address, text),
				  "zone_id", (json_int_t)member->zone));
	}
	return list;
}

static json_t *endpoints_json(const struct jt_node *node)
{
	const struct jt_cell_state *state = jt_core_state(node->core);
	json_t *list = json_array();
	char text[JT_ADDRESS_TEXT];

	for (size_t i = 0; i < state->endpoint_count; i++) {
		const struct jt_cell_endpoint *e = &state->endpoints[i];

		json_array_append_new(
			list, json_pack("{s:s,s:s,s:s,s:I,s:I}", "name",
					endpoint_name(state->config, e->id),
					"address",
					jt_address_format(e->address, text),
					"state", state_names[e->state], "open",
					(json_int_t)jt_core_endpoint_open(
						node->core, e->id),
					"capacity", (json_int_t)e->capacity));
	}
	return list;
}

static json_t *shares_json(const struct jt_node *node)
{
	const struct jt_config *config = jt_core_state(node->core)->config;
	json_t *list = json_array();

	for (size_t i = 0; i < config->share_count; i++) {
		const struct jt_share_config *share = &config->shares[i];
		const struct jt_service_config *service =
			&config->services[share->service];
		const struct jt_group_config *group =
			&config->groups[share->group];

		json_array_append_new(
			list,
			json_pack("{s:s,s:s,s:I,s:I}", "service", service->name,
				  "group", group->name, "weight",
				  (json_int_t)share->weight, "open",
				  (json_int_t)jt_core_share_open(
					  node->core, service->id, group->id)));
	}
	return list;
}

json_t *jt_status_json(const struct jt_node *node,
		       const struct jt_config_sync *sync)
{
	const struct jt_cell_state *state = jt_core_state(node->core);
	const struct jt_document *newest = jt_node_newest(node);
	uint64_t active_on_all = jt_core_revision_everywhere(node->core);
	json_t *status = json_pack(
		"{s:s,s:s,s:b,s:b,s:b,s:I,s:I,s:I}", "node",
		node->settings->name, "zone", node->settings->zone, "ready",
		(int)jt_node_ready(node), "leaving", (int)node->draining,
		"store_up", (int)jt_config_sync_store_up(sync),
		"revision_known", (json_int_t)(newest ? newest->revision : 0),
		"revision_in_force_everywhere", (json_int_t)active_on_all,
		"flow_records", (json_int_t)jt_core_flow_count(node->core));

	if (state == NULL)
		return status;
	json_object_set_new(status, "epoch",
			    json_integer((json_int_t)state->epoch));
	json_object_set_new(status, "revision_in_force",
			    json_integer((json_int_t)state->config->revision));
	json_object_set_new(status, "coordinator",
			    json_boolean(jt_core_coordinator(node->core)));
	json_object_set_new(status, "members", members_json(node));
	json_object_set_new(status, "endpoints", endpoints_json(node));
	json_object_set_new(status, "shares", shares_json(node));
	return status;
}

static void metric(char **text, const char *name, const char *labels,
		   uint64_t value)
{
	*text = talloc_asprintf_append_buffer(
		*text, "jaspertrack_%s%s %" PRIu64 "\n", name, labels, value);
}

static void metric_type(char **text, const char *name, const char *type,
			const char *help)
{
	*text = talloc_asprintf_append_buffer(
		*text, "# HELP jaspertrack_%s %s\n# TYPE jaspertrack_%s %s\n",
		name, help, name, type);
}

static void counter(char **text, const char *name, const char *help,
		    uint64_t value)
{
	metric_type(text, name, "counter", help);
	metric(text, name, "", value);
}

static void gauge(char **text, const char *name, const char *help,
		  uint64_t value)
{
	metric_type(text, name, "gauge", help);
	metric(text, name, "", value);
}

static void metrics_drops(char **text, const struct jt_core_counters *core,
			  const struct jt_traffic_counters *traffic)
{
	char label[64];

	metric_type(text, "packets_dropped_total", "counter",
		    "Packets dropped by the decision library, by reason.");
	for (int i = 1; i < JT_REASON_COUNT; i++) {
		snprintf(label, sizeof(label), "{reason=\"%s\"}",
			 reason_names[i]);
		metric(text, "packets_dropped_total", label, core->dropped[i]);
	}
	metric_type(text, "packets_bad_total", "counter",
		    "Malformed packets, by reason.");
	for (int i = 1; i < JT_PACKET_ERROR_COUNT; i++) {
		snprintf(label, sizeof(label), "{reason=\"%s\"}",
			 jt_packet_error_name(i));
		metric(text, "packets_bad_total", label, traffic->bad[i]);
	}
}

static void metrics_peers(char **text, const struct jt_node *node,
			  const struct jt_config_sync *sync)
{
	char label[64];

	counter(text, "peer_bytes_sent_total",
		"Control bytes sent to peers, without relayed packets.",
		node->counters.peer_bytes_sent);
	counter(text, "peer_messages_sent_total", "Control messages sent.",
		node->counters.peer_messages_sent);
	counter(text, "relay_bytes_sent_total", "Relayed caller packets.",
		node->counters.relay_bytes_sent);
	metric_type(text, "peer_rejected_total", "counter",
		    "Frames from peers that were not taken, by reason.");
	for (int i = 1; i <= JT_CODEC_SIZE; i++) {
		snprintf(label, sizeof(label), "{reason=\"%s\"}",
			 jt_codec_error_name(i));
		metric(text, "peer_rejected_total", label,
		       node->counters.peer_rejected[i]);
	}
	counter(text, "store_bytes_total", "Bytes to and from the store.",
		jt_config_sync_store_bytes(sync));
	counter(text, "store_operations_total", "Requests to the store.",
		jt_config_sync_store_operations(sync));
	counter(text, "probe_bytes_total",
		"Bytes of health pages and machine list.",
		node->counters.probe_bytes);
}

char *jt_status_metrics(TALLOC_CTX *mem_ctx, const struct jt_node *node,
			const struct jt_config_sync *sync)
{
	const struct jt_core_counters *core = jt_core_counters(node->core);
	const struct jt_cell_state *state = jt_core_state(node->core);
	struct jt_traffic_counters traffic;
	char *text = talloc_strdup(mem_ctx, "");

	jt_traffic_counters(node->traffic, &traffic);
	gauge(&text, "ready", "1 while this node forwards.",
	      jt_node_ready(node));
	gauge(&text, "epoch", "Epoch of the cell state.",
	      state ? state->epoch : 0);
	gauge(&text, "members", "Members of the cell.",
	      state ? state->member_count : 0);
	gauge(&text, "revision_in_force", "Configuration revision in force.",
	      state ? state->config->revision : 0);
	gauge(&text, "flow_records", "Flow records held.",
	      jt_core_flow_count(node->core));
	counter(&text, "packets_received_total", "Packets from the fabric.",
		traffic.received);
	counter(&text, "packets_forwarded_total", "Packets sent to endpoints.",
		traffic.forwarded + core->forwarded);
	counter(&text, "packets_relayed_total", "Packets sent to peers.",
		core->relayed);
	counter(&text, "packets_control_total",
		"Packets given to the control thread.", traffic.to_control);
	counter(&text, "packets_queue_full_total",
		"Packets dropped before the control thread.",
		traffic.queue_full);
	counter(&text, "flows_opened_total", "Flows placed by this node.",
		core->flows_opened);
	counter(&text, "flows_closed_total", "Ends of flows seen.",
		core->flows_closed);
	counter(&text, "flows_refused_total", "First packets refused.",
		core->refused);
	counter(&text, "flows_held_total",
		"First packets held for the replica.", core->held);
	counter(&text, "records_unreplicated_total",
		"Records that went out without the replica's answer.",
		core->records_unreplicated);
	counter(&text, "epochs_total", "Cell states served.", core->epochs);
	counter(&text, "lease_lost_total", "Times the lease ran out.",
		core->lease_lost);
	counter(&text, "evicted_total", "Times the cell left this node out.",
		core->evictions);
	counter(&text, "resets_sent_total", "TCP resets sent as refusals.",
		node->counters.resets_sent);
	metrics_drops(&text, core, &traffic);
	metrics_peers(&text, node, sync);
	return text;
}

/* Compares the current tables with the endpoints of the new document. */
json_t *jt_status_plan(const struct jt_node *node, const json_t *new_document)
{
	const struct jt_cell_state *state = jt_core_state(node->core);
	struct jt_resource_error error;
	TALLOC_CTX *frame = talloc_new(NULL);
	const struct jt_config *config =
		jt_resource_build(frame, new_document, 0, &error);
	json_t *list = json_array();

	for (size_t s = 0; config && s < config->service_count; s++) {
		const struct jt_service_config *service = &config->services[s];
		const struct jt_table *table =
			state ? jt_cell_table(state, service->id) : NULL;
		json_int_t moved = 0, draining = 0, open = 0;

		for (size_t i = 0; i < config->endpoint_count; i++)
			draining += config->endpoints[i].service == s &&
				    config->endpoints[i].draining;
		for (size_t b = 0; table && b < JT_BUCKETS; b++) {
			bool found = false;

			for (size_t i = 0; i < config->endpoint_count; i++)
				found |= config->endpoints[i].id ==
					 table->defaults[b];
			moved += !found;
		}
		for (size_t i = 0; state && i < state->endpoint_count; i++) {
			if (state->endpoints[i].service_id == service->id)
				open += jt_core_endpoint_open(
					node->core, state->endpoints[i].id);
		}
		json_array_append_new(
			list, json_pack("{s:s,s:I,s:I,s:I,s:i}", "service",
					service->name, "new_flow_buckets_moved",
					moved, "endpoints_draining", draining,
					"flows_open", open, "flows_moved", 0));
	}
	talloc_free(frame);
	return list;
}

json_t *jt_status_explain(const struct jt_node *node,
			  const struct jt_flow_key *key)
{
	const struct jt_cell_state *state = jt_core_state(node->core);
	const struct jt_address_config *address;
	uint32_t endpoint_id;
	bool recorded;
	uint64_t owner;
	char id[20];

	if (state == NULL)
		return json_pack("{s:s}", "reason", "this node has no cell");
	address = jt_config_address(state->config, key);
	if (address == NULL)
		return json_pack("{s:s}", "reason",
				 "no address resource has this destination");
	endpoint_id = jt_core_explain(node->core, key, &recorded, &owner);
	snprintf(id, sizeof(id), "%016" PRIx64, owner);
	return json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:b,s:s}", "address", address->name,
		"service", state->config->services[address->service].name,
		"group", state->config->groups[address->group].name, "endpoint",
		endpoint_name(state->config, endpoint_id), "bucket",
		(int)jt_flow_bucket(key), "through_owner",
		(int)jt_core_bucket_relayed(node->core, address->service,
					    jt_flow_bucket(key)),
		"owner", id);
}
