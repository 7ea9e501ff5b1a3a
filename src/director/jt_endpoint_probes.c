#include "jt_endpoint_probes.h"
#include "jt_prober.h"

enum {
	/* A full queue of connections drops the opening packet, which is sent
	 * again after one second: less tells nothing about a busy endpoint. */
	CONNECT_TIMEOUT_MS = 1250,
	IDENTIFY_TIMEOUT_MS = 500,
};

struct jt_endpoint_probes {
	struct tevent_context *loop;
	struct jt_http_client *client;
	const struct jt_identity *identity;
	struct jt_probe_handler handler;
};

/* A pending probe. */
struct probe_call {
	struct jt_endpoint_probes *probes;
	uint64_t endpoint_id;
	uint64_t start_time_ms;
};

struct jt_endpoint_probes *
jt_endpoint_probes_create(TALLOC_CTX *mem_ctx, struct tevent_context *loop,
			  struct jt_http_client *client,
			  const struct jt_identity *identity,
			  const struct jt_probe_handler *handler)
{
	struct jt_endpoint_probes *probes =
		talloc_zero(mem_ctx, struct jt_endpoint_probes);

	if (probes == NULL)
		return NULL;
	probes->loop = loop;
	probes->client = client;
	probes->identity = identity;
	probes->handler = *handler;
	return probes;
}

static struct probe_call *call_create(struct jt_endpoint_probes *probes,
				      uint64_t endpoint_id,
				      uint64_t start_time_ms)
{
	struct probe_call *call = talloc_zero(probes, struct probe_call);

	if (call == NULL)
		return NULL;
	call->probes = probes;
	call->endpoint_id = endpoint_id;
	call->start_time_ms = start_time_ms;
	return call;
}

/* A probe that can't start for lack of memory or descriptors has no result. */
static void call_start(struct probe_call *call, struct tevent_req *req,
		       tevent_req_fn callback)
{
	if (req == NULL)
		talloc_free(call);
	else
		tevent_req_set_callback(req, callback, call);
}

static void on_probed(struct tevent_req *req)
{
	struct probe_call *call =
		tevent_req_callback_data(req, struct probe_call);
	struct jt_endpoint_probes *probes = call->probes;
	uint64_t endpoint_id = call->endpoint_id;
	uint64_t start_time_ms = call->start_time_ms;
	enum jt_probe_outcome outcome = jt_probe_recv(req);

	talloc_free(call);
	probes->handler.probed(endpoint_id, start_time_ms, outcome,
			       probes->handler.private_data);
}

static void on_identified(struct tevent_req *req)
{
	struct probe_call *call =
		tevent_req_callback_data(req, struct probe_call);
	struct jt_endpoint_probes *probes = call->probes;
	uint64_t endpoint_id = call->endpoint_id;
	uint64_t start_time_ms = call->start_time_ms;
	uint64_t found = probes->identity->recv(req);

	talloc_free(call);
	probes->handler.identified(endpoint_id, start_time_ms, found,
				   probes->handler.private_data);
}

void jt_endpoint_probes_connect(struct jt_endpoint_probes *probes,
				uint64_t endpoint_id, uint64_t start_time_ms,
				struct jt_address address)
{
	struct probe_call *call =
		call_create(probes, endpoint_id, start_time_ms);

	if (call != NULL)
		call_start(call,
			   jt_probe_send(call, probes->loop, address,
					 CONNECT_TIMEOUT_MS),
			   on_probed);
}

void jt_endpoint_probes_identify(struct jt_endpoint_probes *probes,
				 uint64_t endpoint_id, uint64_t start_time_ms,
				 struct jt_address address,
				 const char *health_path)
{
	struct probe_call *call =
		call_create(probes, endpoint_id, start_time_ms);

	if (call != NULL)
		call_start(call,
			   probes->identity->send(call, probes->client, address,
						  health_path,
						  IDENTIFY_TIMEOUT_MS),
			   on_identified);
}
