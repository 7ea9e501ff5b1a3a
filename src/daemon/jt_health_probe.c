#include "jt_health_probe.h"
#include "jt_document_text.h"
#include "jt_http_client.h"
#include "jt_net.h"

#include <string.h>

enum {
	PROBE_INTERVAL_MS = 2000,
	PROBE_TIMEOUT_MS = 900,
	MACHINES_INTERVAL_MS = 5000,
	MACHINE_LIMIT = 256,
};

struct probe_target {
	uint32_t endpoint_id;
	struct jt_address health;
	uint64_t due_ms;
	bool probe_pending;
	bool counts_slots; /* load is slots, not connections */
};

struct jt_health_probe {
	struct jt_node *node;
	struct jt_http_client *http;
	struct probe_target **targets; /* those of removed endpoints too */
	size_t target_count;
	uint64_t machines_due_ms;
	bool machines_pending;
};

struct probe_call {
	struct jt_health_probe *probe;
	struct probe_target *target;
};

struct jt_health_probe *jt_health_probe_create(TALLOC_CTX *mem_ctx,
					       struct jt_node *node)
{
	struct jt_health_probe *probe =
		talloc_zero(mem_ctx, struct jt_health_probe);

	if (probe == NULL)
		return NULL;
	probe->node = node;
	probe->http = jt_http_client_create(probe, node->loop);
	if (probe->http == NULL)
		TALLOC_FREE(probe);
	return probe;
}

static struct probe_target *target_get(struct jt_health_probe *probe,
				       const struct jt_endpoint_config *e)
{
	struct probe_target *target = NULL;

	for (size_t i = 0; i < probe->target_count; i++) {
		if (probe->targets[i]->endpoint_id == e->id)
			target = probe->targets[i];
	}
	if (target == NULL) {
		target = talloc_zero(probe, struct probe_target);
		probe->targets = talloc_realloc(probe, probe->targets,
						struct probe_target *,
						probe->target_count + 1);
		probe->targets[probe->target_count++] = target;
		target->endpoint_id = e->id;
	}
	target->health = e->health;
	return target;
}

static unsigned flags_parse(const json_t *page)
{
	unsigned flags = 0;

	if (json_is_true(json_object_get(page, "ok")))
		flags |= JT_REPORT_OK;
	if (json_is_true(json_object_get(page, "draining")))
		flags |= JT_REPORT_DRAINING;
	if (json_is_true(json_object_get(page, "shedding")))
		flags |= JT_REPORT_SHEDDING;
	if (json_is_true(json_object_get(page, "cold")))
		flags |= JT_REPORT_COLD;
	return flags;
}

/* Returns the "instance" of the page mapped to 1 to 255, or 0 without one. */
static uint8_t instance_parse(const json_t *page)
{
	const json_t *instance = json_object_get(page, "instance");

	if (!json_is_integer(instance))
		return 0;
	return (uint8_t)((uint64_t)json_integer_value(instance) % 255 + 1);
}

static void on_probe(struct tevent_req *req)
{
	struct probe_call *probe_call =
		tevent_req_callback_data(req, struct probe_call);
	struct jt_health_probe *probe = probe_call->probe;
	struct probe_target *target = probe_call->target;
	struct jt_event event = {.kind = JT_EVENT_HEALTH};
	struct jt_health *health = &event.u.health;
	size_t bytes = 0;
	char *body = NULL;
	long status = 0;
	int failed = jt_http_recv(req, probe_call, &status, &body, &bytes);
	json_t *page = NULL;

	target->probe_pending = false;
	probe->node->counters.probe_bytes += bytes;
	health->endpoint_id = target->endpoint_id;
	if (!failed && status == 200)
		page = json_loads(body, 0, NULL);
	if (page != NULL) {
		health->flags = flags_parse(page);
		health->incarnation = instance_parse(page);
		health->load = (uint32_t)json_integer_value(json_object_get(
			page,
			target->counts_slots ? "slots_used" : "connections"));
		json_decref(page);
	}
	talloc_free(req);
	talloc_free(probe_call);
	jt_node_handle_event(probe->node, &event);
}

static void probe_send(struct jt_health_probe *probe,
		       struct probe_target *target)
{
	struct jt_http_call call = {.method = "GET",
				    .timeout_ms = PROBE_TIMEOUT_MS};
	struct probe_call *probe_call = talloc_zero(probe, struct probe_call);
	char text[JT_ADDRESS_TEXT_SIZE];
	struct tevent_req *req;

	probe_call->probe = probe;
	probe_call->target = target;
	call.url = talloc_asprintf(probe_call, "http://%s/health",
				   jt_address_format(target->health, text));
	req = jt_http_send(probe, probe->http, &call);
	if (req == NULL) {
		talloc_free(probe_call);
		return;
	}
	target->probe_pending = true;
	tevent_req_set_callback(req, on_probe, probe_call);
}

static void on_machines(struct tevent_req *req)
{
	struct jt_health_probe *probe =
		tevent_req_callback_data(req, struct jt_health_probe);
	struct jt_event event = {.kind = JT_EVENT_CANDIDATES};
	struct jt_address addresses[MACHINE_LIMIT + JT_SEED_LIMIT];
	struct jt_settings *settings = probe->node->settings;
	size_t count = 0, bytes = 0;
	char *body = NULL;
	long status = 0;
	int failed = jt_http_recv(req, probe, &status, &body, &bytes);
	json_t *list = NULL, *entry;
	bool replaced;
	size_t index;

	talloc_free(req);
	probe->machines_pending = false;
	probe->node->counters.probe_bytes += bytes;
	if (!failed && status == 200)
		list = jt_document_text_parse(body, &replaced);
	talloc_free(body);
	for (; count < settings->seed_count; count++)
		addresses[count] = settings->seeds[count];
	json_array_foreach (list, index, entry) {
		const char *peer =
			json_string_value(json_object_get(entry, "peer"));

		if (peer != NULL && count < MACHINE_LIMIT + JT_SEED_LIMIT &&
		    jt_address_parse(peer, &addresses[count]) == 0)
			count++;
	}
	json_decref(list);
	event.u.candidates.addresses = addresses;
	event.u.candidates.count = count;
	jt_node_handle_event(probe->node, &event);
}

static void machines_request(struct jt_health_probe *probe)
{
	struct jt_http_call call = {.method = "GET",
				    .timeout_ms = PROBE_TIMEOUT_MS};
	struct tevent_req *req;
	char *url;

	url = talloc_asprintf(probe, "%s/machines",
			      probe->node->settings->machines_url);
	call.url = url;
	req = jt_http_send(probe, probe->http, &call);
	talloc_free(url);
	if (req == NULL)
		return;
	probe->machines_pending = true;
	tevent_req_set_callback(req, on_machines, probe);
}

static void targets_update(struct jt_health_probe *probe,
			   const struct jt_config *config)
{
	for (size_t i = 0; i < config->endpoint_count; i++) {
		const struct jt_endpoint_config *e = &config->endpoints[i];
		struct probe_target *target = target_get(probe, e);

		target->counts_slots =
			config->services[e->service].kind == JT_SERVICE_REQUEST;
	}
}

void jt_health_probe_tick(struct jt_health_probe *probe)
{
	const struct jt_cell_state *state = jt_core_state(probe->node->core);
	uint64_t now = jt_clock_ms();

	if (probe->node->settings->machines_url != NULL &&
	    now >= probe->machines_due_ms && !probe->machines_pending) {
		probe->machines_due_ms = now + MACHINES_INTERVAL_MS;
		machines_request(probe);
	}
	if (state == NULL)
		return;
	targets_update(probe, state->config);
	for (size_t i = 0; i < probe->target_count; i++) {
		struct probe_target *target = probe->targets[i];

		if (target->probe_pending || now < target->due_ms ||
		    jt_cell_endpoint(state, target->endpoint_id) ==
			    JT_NO_ENDPOINT ||
		    !jt_core_is_prober(probe->node->core, target->endpoint_id))
			continue;
		target->due_ms =
			now + jt_core_probe_interval(probe->node->core,
						     PROBE_INTERVAL_MS);
		probe_send(probe, target);
	}
}
