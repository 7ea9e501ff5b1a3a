/*
 * A service in virtual time: callers, nodes that ask jt_admission, endpoints
 * with slots and a queue. Steps of a millisecond, one seed, no network.
 */
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
	MODEL_SLOTS = 2, /* of an endpoint */
	MODEL_QUEUE = 8,
	MODEL_SERVICE = 11,
	MODEL_URGENT_PORT = 8080,
	MODEL_OTHER_PORT = 8443,
	MODEL_WORK_LEAST_MS = 8,
	MODEL_WORK_MOST_MS = 40, /* 24 at the mean */
	MODEL_WORK_MEAN_MS = 24,
	MODEL_AIM_MS = 250,
	MODEL_GROUPS = 4,	  /* routes of those that are not urgent */
	MODEL_BYTES = 800,	  /* of an answer */
	MODEL_REJECT_BYTES = 120, /* of an endpoint that is full */
	MODEL_TRIES = 3,	  /* of a caller, at another node each */
	MODEL_HOLDS = MODEL_SLOTS + MODEL_QUEUE,
};

struct model_request {
	unsigned node;
	unsigned kind;	/* 0: urgent */
	unsigned group; /* of those that are not */
	uint64_t since_ms;
	unsigned left_ms; /* of its work */
};

struct model_endpoint {
	bool gone;
	unsigned slowness;
	struct model_request held[MODEL_HOLDS]; /* first come, first served */
	unsigned count;
};

/* What callers of one kind met. */
struct model_tally {
	unsigned asked;
	unsigned in_aim;
	unsigned late;
	unsigned shed;	  /* by an endpoint whose queue was full */
	unsigned refused; /* at each of its tries */
};

struct model {
	struct jt_director_options options;
	struct jt_admission *nodes[MODEL_NODES];
	struct jt_endpoint_table *table;
	struct jt_routing *routing;
	struct model_endpoint endpoints[MODEL_ENDPOINTS];
	struct jt_random random;
	uint64_t now_ms;
	double urgent_part;	    /* of the demand */
	double greedy_part;	    /* of the other demand: the first group */
	double shares[MODEL_NODES]; /* of the demand at each node */
	double due;		    /* callers that are still to come */
	unsigned tries;		    /* of each caller */
	uint64_t reject_ms;	    /* until a caller has seen a rejection */
	struct model_tally kinds[2];
	struct model_tally at[MODEL_NODES]; /* by the first node asked */
	struct model_tally groups[MODEL_GROUPS];
	uint64_t busy_ms;  /* of all slots */
	uint64_t slots_ms; /* that there were */
	unsigned began;	   /* limits that began to hold */
};

static inline void model_node_start(struct model *model, unsigned node)
{
	TALLOC_FREE(model->nodes[node]);
	model->nodes[node] = jt_admission_create(model, &model->options);
	jt_admission_routing(model->nodes[node], model->routing);
}

static inline void model_routing(struct model *model)
{
	const struct jt_route urgent = {
		.name = "urgent",
		.address = {1, MODEL_URGENT_PORT},
		.parts = {{MODEL_SERVICE, 1}},
		.part_count = 1,
		.priority = 1,
		.target_ms = MODEL_AIM_MS,
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
	model->urgent_part = 0.33;
	model->greedy_part = 1;
	model->tries = MODEL_TRIES;
	model_routing(model);
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

		jt_endpoint_table_take(model->table, &entry, false,
				       model->now_ms, &in);
		in->state = JT_INCARNATION_READY;
		model->endpoints[i].slowness = 1;
	}
	for (unsigned i = 0; i < MODEL_NODES; i++) {
		model_node_start(model, i);
		model->shares[i] = 1.0 / MODEL_NODES;
	}
	return model;
}

static inline void model_endpoint_leave(struct model *model, unsigned index)
{
	model->endpoints[index].gone = true;
	jt_endpoint_table_by_id(model->table, 0x100 + index)->state =
		JT_INCARNATION_LAPSED;
}

/* The less loaded of two at random, as far as a node can know that. */
static inline struct model_endpoint *model_choose(struct model *model)
{
	struct model_endpoint *best = NULL;

	for (unsigned looked = 0; looked < 2;) {
		struct model_endpoint *one =
			&model->endpoints[jt_random_next(&model->random) %
					  MODEL_ENDPOINTS];

		if (one->gone)
			continue;
		looked++;
		if (best == NULL ||
		    one->count * one->slowness < best->count * best->slowness)
			best = one;
	}
	return best;
}

static inline unsigned model_work_ms(struct model *model)
{
	return MODEL_WORK_LEAST_MS +
	       (unsigned)(jt_random_next(&model->random) %
			  (MODEL_WORK_MOST_MS - MODEL_WORK_LEAST_MS + 1));
}

/* One try of a caller; true: it needs no other. */

static inline bool model_try(struct model *model, unsigned node, unsigned kind,
			     unsigned group)
{
	struct jt_admission *admission = model->nodes[node];
	const struct jt_route *route =
		&model->routing->routes[kind == 0 ? 0 : 1 + group];
	struct model_endpoint *endpoint;

	if (!jt_admission_ask(admission, route, model->now_ms).admitted)
		return false;
	endpoint = model_choose(model);
	jt_admission_requested(admission, MODEL_SERVICE, model->now_ms);
	if (endpoint->count == MODEL_HOLDS) {
		jt_admission_answered(admission, MODEL_SERVICE,
				      model->now_ms - model->reject_ms,
				      MODEL_REJECT_BYTES, true, model->now_ms);
		model->kinds[kind].shed++;
		return false;
	}
	endpoint->held[endpoint->count++] = (struct model_request){
		.node = node,
		.kind = kind,
		.group = group,
		.since_ms = model->now_ms,
		.left_ms = model_work_ms(model) * endpoint->slowness,
	};
	return true;
}

static inline unsigned model_node(struct model *model)
{
	double at = (double)(jt_random_next(&model->random) % 100000) / 100000;
	unsigned node = 0;

	while (node < MODEL_NODES - 1 && at >= model->shares[node])
		at -= model->shares[node++];
	return node;
}

/* The group of a caller that is not urgent. */
static inline unsigned model_group(struct model *model)
{
	uint64_t draw = jt_random_next(&model->random);

	if ((double)(draw % 1000) < model->greedy_part * 1000)
		return 0;
	return 1 + (unsigned)(draw / 1000 % (MODEL_GROUPS - 1));
}

static inline void model_caller(struct model *model)
{
	unsigned kind = (double)(jt_random_next(&model->random) % 1000) >=
			model->urgent_part * 1000;
	unsigned first = model_node(model), node = first;
	unsigned group = kind == 0 ? 0 : model_group(model);
	bool served = false;

	model->kinds[kind].asked++;
	model->at[first].asked++;
	model->groups[group].asked += kind != 0;
	for (unsigned i = 0; i < model->tries && !served; i++) {
		served = model_try(model, node, kind, group);
		node = model_node(model);
	}
	model->kinds[kind].refused += !served;
	model->at[first].refused += !served;
}

static inline void model_answer(struct model *model,
				const struct model_request *request)
{
	struct model_tally *tally = &model->kinds[request->kind];

	jt_admission_answered(model->nodes[request->node], MODEL_SERVICE,
			      request->since_ms, MODEL_BYTES, true,
			      model->now_ms);
	if (model->now_ms - request->since_ms > MODEL_AIM_MS) {
		tally->late++;
		return;
	}
	tally->in_aim++;
	model->groups[request->group].in_aim += request->kind != 0;
}

static inline void model_endpoint_work(struct model *model,
				       struct model_endpoint *endpoint)
{
	unsigned kept = 0;

	for (unsigned i = 0; i < endpoint->count; i++) {
		struct model_request *request = &endpoint->held[i];

		if (i < MODEL_SLOTS) {
			request->left_ms--;
			model->busy_ms++;
		}
		if (request->left_ms == 0)
			model_answer(model, request);
		else
			endpoint->held[kept++] = *request;
	}
	endpoint->count = kept;
	if (!endpoint->gone)
		model->slots_ms += MODEL_SLOTS;
}

static inline void model_changed(const struct jt_admission_view *view,
				 void *private_data)
{
	struct model *model = private_data;

	model->began += view->limit > 0;
}

/* For so long, at a demand of so many times what all endpoints can do. */
static inline void model_run(struct model *model, double demand,
			     uint64_t time_ms)
{
	const double most_per_ms =
		(double)MODEL_ENDPOINTS * MODEL_SLOTS / MODEL_WORK_MEAN_MS;

	for (uint64_t end_ms = model->now_ms + time_ms; model->now_ms < end_ms;
	     model->now_ms++) {
		for (unsigned i = 0; i < MODEL_ENDPOINTS; i++)
			model_endpoint_work(model, &model->endpoints[i]);
		model->due += demand * most_per_ms;
		for (; model->due >= 1; model->due--)
			model_caller(model);
		if (model->now_ms % 100 != 0)
			continue;
		for (unsigned i = 0; i < MODEL_NODES; i++)
			jt_admission_tick(model->nodes[i], model->table,
					  MODEL_NODES, model->now_ms,
					  model_changed, model);
	}
}

/* Count anew from now on. */
static inline void model_count_anew(struct model *model)
{
	memset(model->kinds, 0, sizeof(model->kinds));
	memset(model->at, 0, sizeof(model->at));
	memset(model->groups, 0, sizeof(model->groups));
	model->busy_ms = 0;
	model->slots_ms = 0;
	model->began = 0;
}

static inline double model_part(unsigned part, unsigned whole)
{
	return whole > 0 ? (double)part / whole : 0;
}

/* Part of the slots' time that was worked in. */
static inline double model_busy(const struct model *model)
{
	return (double)model->busy_ms / (double)model->slots_ms;
}

#endif
