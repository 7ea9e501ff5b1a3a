/* Model of a service in virtual time: clients, nodes that ask jt_admission, and
 * endpoints with slots and a queue. It runs in steps of a millisecond with a
 * fixed seed. */
#ifndef ADMISSION_MODEL_H
#define ADMISSION_MODEL_H

#include "test.h"

#include "jaspertrack/director.h"
#include "jt_admission.h"
#include "jt_endpoint_table.h"
#include "jt_random.h"
#include "jt_routing.h"

enum {
	MODEL_NODES = 8,
	MODEL_ENDPOINTS = 12,
	MODEL_SLOTS = 2, /* per endpoint */
	MODEL_QUEUE = 8,
	MODEL_SERVICE = 11,
	MODEL_URGENT_PORT = 8080,
	MODEL_OTHER_PORT = 8443,
	MODEL_WORK_MIN_MS = 8,
	MODEL_WORK_MAX_MS = 40, /* mean 24 */
	MODEL_WORK_MEAN_MS = 24,
	MODEL_TARGET_MS = 250,
	MODEL_GROUPS = 4,	  /* lower-priority routes */
	MODEL_BYTES = 800,	  /* response size */
	MODEL_REJECT_BYTES = 120, /* response of a full endpoint */
	MODEL_ATTEMPTS = 3,	  /* per client */
	MODEL_ENDPOINT_REQUESTS = MODEL_SLOTS + MODEL_QUEUE,
};

struct model_request {
	unsigned node;
	unsigned kind;	/* 0: urgent, 1: lower priority */
	unsigned group; /* route of a lower-priority request */
	uint64_t sent_ms;
	unsigned remaining_ms;
};

struct model_endpoint {
	bool removed;
	unsigned slowdown;
	struct model_request
		queue[MODEL_ENDPOINT_REQUESTS]; /* in arrival order */
	unsigned count;
};

/* Results of one kind of request. */
struct model_counters {
	unsigned arrived;
	unsigned in_target;
	unsigned late;
	unsigned rejected; /* by an endpoint with a full queue */
	unsigned refused;  /* at every attempt */
};

struct model {
	struct jt_director_options options;
	struct jt_admission *nodes[MODEL_NODES];
	struct jt_endpoint_table *table;
	struct jt_routing *routing;
	struct model_endpoint endpoints[MODEL_ENDPOINTS];
	struct jt_random random;
	uint64_t now_ms;
	double urgent_share; /* fraction of the demand */
	double heavy_share;  /* lower-priority demand on the first route */
	double shares[MODEL_NODES]; /* fraction of the demand */
	double arrivals_due;	    /* clients that have yet to arrive */
	unsigned attempts;	    /* per client */
	uint64_t reject_latency_ms; /* delay of a rejection */
	struct model_counters kinds[2];
	struct model_counters
		per_node[MODEL_NODES]; /* by the first node tried */
	struct model_counters groups[MODEL_GROUPS];
	uint64_t busy_ms;	 /* processing time of all slots */
	uint64_t slots_ms;	 /* available time of all slots */
	unsigned limits_started; /* limits that became active */
};

static inline void model_restart_node(struct model *model, unsigned node)
{
	TALLOC_FREE(model->nodes[node]);
	model->nodes[node] = jt_admission_create(model, &model->options);
	jt_admission_routing(model->nodes[node], model->routing);
}

static inline void model_set_routing(struct model *model)
{
	const struct jt_route urgent = {
		.name = "urgent",
		.address = {1, MODEL_URGENT_PORT},
		.parts = {{MODEL_SERVICE, 1}},
		.part_count = 1,
		.priority = 1,
		.target_ms = MODEL_TARGET_MS,
	};
	struct jt_routing *routing = talloc_zero(model, struct jt_routing);

	routing->version = 1;
	routing->routes =
		talloc_zero_array(routing, struct jt_route, 1 + MODEL_GROUPS);
	routing->route_count = 1 + MODEL_GROUPS;
	routing->routes[0] = urgent;
	for (uint16_t i = 1; i <= MODEL_GROUPS; i++) {
		routing->routes[i] = urgent;
		routing->routes[i].address.port = MODEL_OTHER_PORT + i;
		routing->routes[i].priority = 2;
	}
	assert_null(jt_routing_sort(routing));
	model->routing = routing;
}

static inline struct model *model_create(void)
{
	struct model *model = talloc_zero(NULL, struct model);

	jt_director_options_init(&model->options);
	model->random.seed = 7;
	model->now_ms = 100000;
	model->urgent_share = 0.33;
	model->heavy_share = 1;
	model->attempts = MODEL_ATTEMPTS;
	model_set_routing(model);
	model->table = jt_endpoint_table_create(model, 1000);
	for (unsigned i = 0; i < MODEL_ENDPOINTS; i++) {
		const struct jt_endpoint_entry entry = {
			.id = 0x100 + i,
			.service_id = MODEL_SERVICE,
			.address = {100 + i, 80},
			.capacity = MODEL_SLOTS,
			.revision = 1 + i,
		};
		struct jt_incarnation *in = NULL;

		jt_endpoint_table_update(model->table, &entry, false,
					 model->now_ms, &in);
		in->state = JT_INCARNATION_READY;
		model->endpoints[i].slowdown = 1;
	}
	for (unsigned i = 0; i < MODEL_NODES; i++) {
		model_restart_node(model, i);
		model->shares[i] = 1.0 / MODEL_NODES;
	}
	return model;
}

static inline void model_remove_endpoint(struct model *model, unsigned index)
{
	model->endpoints[index].removed = true;
	jt_endpoint_table_by_id(model->table, 0x100 + index)->state =
		JT_INCARNATION_EXPIRED;
}

/* Returns the less loaded of two random endpoints. */
static inline struct model_endpoint *model_choose_endpoint(struct model *model)
{
	struct model_endpoint *best = NULL;

	for (unsigned candidates = 0; candidates < 2;) {
		struct model_endpoint *candidate =
			&model->endpoints[jt_random_next(&model->random) %
					  MODEL_ENDPOINTS];

		if (candidate->removed)
			continue;
		candidates++;
		if (best == NULL || candidate->count * candidate->slowdown <
					    best->count * best->slowdown)
			best = candidate;
	}
	return best;
}

static inline unsigned model_draw_work_ms(struct model *model)
{
	return MODEL_WORK_MIN_MS +
	       (unsigned)(jt_random_next(&model->random) %
			  (MODEL_WORK_MAX_MS - MODEL_WORK_MIN_MS + 1));
}

/* Runs one attempt of a client; returns true if the endpoint took the request.
 */
static inline bool model_attempt(struct model *model, unsigned node,
				 unsigned kind, unsigned group)
{
	struct jt_admission *admission = model->nodes[node];
	const struct jt_route *route =
		&model->routing->routes[kind == 0 ? 0 : 1 + group];
	struct model_endpoint *endpoint;

	if (!jt_admission_request(admission, route, model->now_ms).admitted)
		return false;
	endpoint = model_choose_endpoint(model);
	jt_admission_requested(admission, MODEL_SERVICE, model->now_ms);
	if (endpoint->count == MODEL_ENDPOINT_REQUESTS) {
		jt_admission_answered(admission, MODEL_SERVICE,
				      model->now_ms - model->reject_latency_ms,
				      MODEL_REJECT_BYTES, true, model->now_ms);
		model->kinds[kind].rejected++;
		return false;
	}
	endpoint->queue[endpoint->count++] = (struct model_request){
		.node = node,
		.kind = kind,
		.group = group,
		.sent_ms = model->now_ms,
		.remaining_ms = model_draw_work_ms(model) * endpoint->slowdown,
	};
	return true;
}

static inline unsigned model_draw_node(struct model *model)
{
	double position =
		(double)(jt_random_next(&model->random) % 100000) / 100000;
	unsigned node = 0;

	while (node < MODEL_NODES - 1 && position >= model->shares[node])
		position -= model->shares[node++];
	return node;
}

/* Draws the route of a lower-priority client. */
static inline unsigned model_draw_group(struct model *model)
{
	uint64_t draw = jt_random_next(&model->random);

	if ((double)(draw % 1000) < model->heavy_share * 1000)
		return 0;
	return 1 + (unsigned)(draw / 1000 % (MODEL_GROUPS - 1));
}

static inline void model_run_client(struct model *model)
{
	unsigned kind = (double)(jt_random_next(&model->random) % 1000) >=
			model->urgent_share * 1000;
	unsigned first = model_draw_node(model), node = first;
	unsigned group = kind == 0 ? 0 : model_draw_group(model);
	bool served = false;

	model->kinds[kind].arrived++;
	model->per_node[first].arrived++;
	model->groups[group].arrived += kind != 0;
	for (unsigned i = 0; i < model->attempts && !served; i++) {
		served = model_attempt(model, node, kind, group);
		node = model_draw_node(model);
	}
	model->kinds[kind].refused += !served;
	model->per_node[first].refused += !served;
}

static inline void model_record_response(struct model *model,
					 const struct model_request *request)
{
	struct model_counters *counters = &model->kinds[request->kind];

	jt_admission_answered(model->nodes[request->node], MODEL_SERVICE,
			      request->sent_ms, MODEL_BYTES, true,
			      model->now_ms);
	if (model->now_ms - request->sent_ms > MODEL_TARGET_MS) {
		counters->late++;
		return;
	}
	counters->in_target++;
	model->groups[request->group].in_target += request->kind != 0;
}

static inline void model_step_endpoint(struct model *model,
				       struct model_endpoint *endpoint)
{
	unsigned remaining = 0;

	for (unsigned i = 0; i < endpoint->count; i++) {
		struct model_request *request = &endpoint->queue[i];

		if (i < MODEL_SLOTS) {
			request->remaining_ms--;
			model->busy_ms++;
		}
		if (request->remaining_ms == 0)
			model_record_response(model, request);
		else
			endpoint->queue[remaining++] = *request;
	}
	endpoint->count = remaining;
	if (!endpoint->removed)
		model->slots_ms += MODEL_SLOTS;
}

static inline void model_on_limit_change(const struct jt_admission_view *view,
					 void *private_data)
{
	struct model *model = private_data;

	model->limits_started += view->limit > 0;
}

/* Runs for @duration_ms at a demand of @demand times the total capacity. */
static inline void model_run(struct model *model, double demand,
			     uint64_t duration_ms)
{
	const double capacity_per_ms =
		(double)MODEL_ENDPOINTS * MODEL_SLOTS / MODEL_WORK_MEAN_MS;

	for (uint64_t end_ms = model->now_ms + duration_ms;
	     model->now_ms < end_ms; model->now_ms++) {
		for (unsigned i = 0; i < MODEL_ENDPOINTS; i++)
			model_step_endpoint(model, &model->endpoints[i]);
		model->arrivals_due += demand * capacity_per_ms;
		for (; model->arrivals_due >= 1; model->arrivals_due--)
			model_run_client(model);
		if (model->now_ms % 100 != 0)
			continue;
		for (unsigned i = 0; i < MODEL_NODES; i++)
			jt_admission_tick(model->nodes[i], model->table,
					  MODEL_NODES, model->now_ms,
					  model_on_limit_change, model);
	}
}

/* Resets all counters. */
static inline void model_reset_counters(struct model *model)
{
	memset(model->kinds, 0, sizeof(model->kinds));
	memset(model->per_node, 0, sizeof(model->per_node));
	memset(model->groups, 0, sizeof(model->groups));
	model->busy_ms = 0;
	model->slots_ms = 0;
	model->limits_started = 0;
}

static inline double model_ratio(unsigned part, unsigned whole)
{
	return whole > 0 ? (double)part / whole : 0;
}

/* Returns the fraction of the slots' time spent processing. */
static inline double model_utilisation(const struct model *model)
{
	return (double)model->busy_ms / (double)model->slots_ms;
}

#endif
