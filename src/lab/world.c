#include "trace.h"
#include "world_private.h"

#include "jt_net.h"

#include <math.h>
#include <string.h>

enum {
	FABRIC_POLL_US = 200000, /* interval of readiness polls */
	UNREADY_POLL_LIMIT = 3,	 /* failed polls before removal of a node */
	REVISION_POLL_US = 50000,
	BASELINE_LEAVE_US = 5 * SECOND_US, /* duration of a planned leave */
	MOVE_POLL_US = 500000,
};

static const char *const policy_names[POLICY_COUNT] = {
	[POLICY_JASPERTRACK] = "jaspertrack",
	[POLICY_MODULO] = "modulo",
	[POLICY_MAGLEV] = "maglev",
	[POLICY_FULL_RELAY] = "full-relay",
	[POLICY_LABEL] = "label",
};

const char *policy_name(enum policy_kind policy)
{
	return policy_names[policy];
}

enum policy_kind policy_parse(const char *name)
{
	int policy = 0;

	while (policy < POLICY_COUNT && strcmp(policy_names[policy], name) != 0)
		policy++;
	return policy;
}

uint64_t world_now(const struct world *world)
{
	return jt_scheduler_now(world->scheduler);
}

double world_time_s(const struct world *world)
{
	return ((double)world_now(world) - BOOT_US) / SECOND_US;
}

double world_uniform(struct world *world)
{
	return gsl_rng_uniform(world->random);
}

double world_exponential(struct world *world, double mean)
{
	return -mean * log(1 - world_uniform(world));
}

/* Configuration */

static void config_services(const struct world *world, struct jt_config *config)
{
	const struct scenario *s = world->scenario;

	config->services = talloc_zero_array(config, struct jt_service_config,
					     s->service_count);
	for (size_t i = 0; i < s->service_count; i++) {
		struct jt_service_config *service = &config->services[i];

		snprintf(service->name, JT_NAME_SIZE, "%s",
			 s->services[i].name);
		service->id = jt_name_id(service->name);
		service->kind = s->services[i].kind;
		service->load_placed_permille =
			s->services[i].load_placed_permille;
	}
	config->service_count = s->service_count;
}

static void config_endpoints(const struct world *world,
			     struct jt_config *config)
{
	config->endpoints = talloc_zero_array(config, struct jt_endpoint_config,
					      world->endpoint_count);
	for (size_t i = 0; i < world->endpoint_count; i++) {
		const struct endpoint *from = world->endpoints[i];
		struct jt_endpoint_config *to =
			&config->endpoints[config->endpoint_count];

		if (!from->configured)
			continue;
		memcpy(to->name, from->name, JT_NAME_SIZE);
		to->id = from->id;
		to->service = from->service;
		to->address = from->address;
		to->slots = world->scenario->services[from->service].slots;
		to->connections =
			world->scenario->services[from->service].connections;
		to->draining = from->draining;
		config->endpoint_count++;
	}
}

static void config_groups(const struct world *world, struct jt_config *config)
{
	const struct scenario *s = world->scenario;

	config->groups = talloc_zero_array(config, struct jt_group_config,
					   s->group_count);
	for (size_t i = 0; i < s->group_count; i++) {
		snprintf(config->groups[i].name, JT_NAME_SIZE, "%s",
			 s->groups[i].name);
		config->groups[i].id = jt_name_id(s->groups[i].name);
	}
	config->group_count = s->group_count;
	config->addresses = talloc_zero_array(config, struct jt_address_config,
					      world->demand_count);
	config->shares = talloc_zero_array(config, struct jt_share_config,
					   world->demand_count);
	for (size_t i = 0; i < world->demand_count; i++) {
		const struct demand_state *demand = &world->demands[i];

		config->addresses[i].address.ip = 0x0a140000u + (uint32_t)i;
		config->addresses[i].address.port = 80;
		config->addresses[i].protocol = JT_PROTOCOL_TCP;
		config->addresses[i].service = demand->service;
		config->addresses[i].group = demand->group;
		config->shares[i].service = demand->service;
		config->shares[i].group = demand->group;
		config->shares[i].weight = demand->share;
	}
	config->address_count = world->demand_count;
	config->share_count = world->demand_count;
}

void world_configure(struct world *world)
{
	struct jt_config *config = talloc_zero(world, struct jt_config);

	config->revision = ++world->revision;
	config_services(world, config);
	config_endpoints(world, config);
	config_groups(world, config);
	world->config = config;
	if (world->options.trace != NULL)
		trace_config(world->options.trace, world_now(world), config);
	if (world->cluster == NULL)
		return;
	world->revisions =
		talloc_realloc(world, world->revisions, struct pending_revision,
			       world->revision_count + 1);
	world->revisions[world->revision_count++] =
		(struct pending_revision){.revision = config->revision};
	jt_cluster_configure(world->cluster, config, oracle_on_accepted, world);
}

/* Fabric */

void fabric_poll(struct world *world)
{
	world->live_count = 0;
	for (uint16_t n = 0; n < world->scenario->node_count; n++) {
		struct jt_cluster_node_info info = {0};
		bool ready, silent;

		if (world->cluster != NULL) {
			jt_cluster_info(world->cluster, n, &info);
			ready = info.ready;
			silent = info.state == JT_NODE_STOPPED ||
				 info.state == JT_NODE_PAUSED;
		} else {
			ready = baseline_ready(world, n);
			silent = !ready;
		}
		/* A node that reports "not ready" is removed at once. */
		if (ready)
			world->unready_polls[n] = 0;
		else if (!silent)
			world->unready_polls[n] = UNREADY_POLL_LIMIT;
		else if (world->unready_polls[n] < UNREADY_POLL_LIMIT)
			world->unready_polls[n]++;
		if (world->unready_polls[n] < UNREADY_POLL_LIMIT)
			world->live[world->live_count++] = n;
	}
}

static void on_fabric_poll(void *object, uint64_t argument)
{
	struct world *world = object;

	(void)argument;
	fabric_poll(world);
	jt_scheduler_after(world->scheduler, FABRIC_POLL_US, on_fabric_poll,
			   world, 0);
}

static void on_health_sample(void *object, uint64_t argument)
{
	struct world *world = object;

	(void)argument;
	endpoints_sample_health(world);
	endpoints_trace(world);
	jt_scheduler_after(world->scheduler, HEALTH_SAMPLE_US, on_health_sample,
			   world, 0);
}

static void on_sample(void *object, uint64_t argument)
{
	struct world *world = object;

	(void)argument;
	oracle_sample(world);
	jt_scheduler_after(world->scheduler, SECOND_US, on_sample, world, 0);
}

/* Events */

void world_log_event(struct world *world, const char *kind, const char *target)
{
	if (world->options.timeline != NULL)
		fprintf(world->options.timeline,
			"{\"at_s\":%.3f,\"event\":\"%s\",\"target\":\"%s\"}\n",
			world_time_s(world), kind, target);
}

static void trace_fault(struct world *world, const char *what, unsigned a,
			unsigned b)
{
	if (world->options.trace != NULL)
		fprintf(world->options.trace, "{\"t\":%llu,\"%s\":[%u,%u]}\n",
			(unsigned long long)world_now(world), what, a, b);
}

static void node_start(struct world *world, uint16_t node)
{
	unsigned zone = scenario_node_zone(world->scenario, node);

	trace_fault(world, "start", node, zone);
	world->node_revision[node] = 0;
	if (world->cluster != NULL)
		jt_cluster_start(world->cluster, node, zone);
	else
		baseline_start(world, node);
}

static void node_crash(struct world *world, uint16_t node)
{
	trace_fault(world, "crash", node, 0);
	if (world->cluster != NULL)
		jt_cluster_crash(world->cluster, node);
	else
		baseline_stop(world, node);
}

static void node_pause(struct world *world, uint16_t node, bool paused)
{
	trace_fault(world, paused ? "pause" : "resume", node, 0);
	if (world->cluster == NULL)
		baseline_pause(world, node, paused);
	else if (paused)
		jt_cluster_pause(world->cluster, node);
	else
		jt_cluster_resume(world->cluster, node);
}

static void on_baseline_left(void *object, uint64_t node)
{
	baseline_stop(object, (uint16_t)node);
}

static void node_leave(struct world *world, uint16_t node)
{
	trace_fault(world, "leave", node, 0);
	if (world->cluster != NULL)
		jt_cluster_leave(world->cluster, node);
	else
		jt_scheduler_after(world->scheduler, BASELINE_LEAVE_US,
				   on_baseline_left, world, node);
}

static void zone_crash(struct world *world, unsigned zone, bool crash)
{
	for (unsigned i = 0; i < world->scenario->zones[zone].nodes; i++) {
		uint16_t node =
			(uint16_t)scenario_node_index(world->scenario, zone, i);

		if (crash)
			node_crash(world, node);
		else
			node_start(world, node);
	}
}

static void partition(struct world *world, unsigned a, unsigned b,
		      bool partitioned)
{
	if (world->cluster == NULL)
		return;
	for (unsigned z = 0; z < world->scenario->zone_count; z++) {
		if (z == a || (b != SCENARIO_ZONES && z != b))
			continue;
		trace_fault(world, partitioned ? "cut" : "mend", a, z);
		jt_cluster_set_partition(world->cluster, a, z, partitioned);
	}
}

static struct endpoint *find_event_endpoint(struct world *world,
					    const struct scenario_event *event)
{
	unsigned number = 0;

	for (size_t i = 0; i < world->endpoint_count; i++) {
		struct endpoint *e = world->endpoints[i];

		if (e->service != event->service)
			continue;
		if (number++ == event->endpoint)
			return e;
	}
	return NULL;
}

static void set_draining(struct world *world, struct endpoint *endpoint,
			 bool begin)
{
	endpoint->draining = begin;
	endpoint->drain_revision = world->revision + 1;
	if (!begin)
		endpoint->drain_since_us = 0;
	world_configure(world);
}

/* Returns true once no node's cell state lists the endpoint any more. */
static bool is_address_released(const struct world *world, uint32_t endpoint_id)
{
	for (uint16_t n = 0; n < world->scenario->node_count; n++) {
		const struct jt_core *core;

		if (world->cluster == NULL)
			return true;
		core = jt_cluster_core(world->cluster, n);
		if (core != NULL && jt_core_state(core) != NULL &&
		    jt_cell_endpoint(jt_core_state(core), endpoint_id) !=
			    JT_NO_ENDPOINT)
			return false;
	}
	return true;
}

/* A pending move of an endpoint's address to another service. */
struct address_move {
	struct world *world;
	struct endpoint *endpoint;
	unsigned to_service;
};

static void move_finish(void *object, uint64_t argument)
{
	struct address_move *move = object;
	struct world *world = move->world;

	(void)argument;
	if (!is_address_released(world, move->endpoint->id)) {
		jt_scheduler_after(world->scheduler, MOVE_POLL_US, move_finish,
				   move, 0);
		return;
	}
	endpoint_crash(world, move->endpoint);
	move->endpoint->released = true;
	endpoint_add(world, move->to_service, move->endpoint->address);
	world_log_event(world, "endpoint_moved", move->endpoint->name);
	world_configure(world);
	talloc_free(move);
}

static void move_begin(struct world *world, struct endpoint *endpoint,
		       unsigned to_service)
{
	struct address_move *move = talloc_zero(world, struct address_move);

	move->world = world;
	move->endpoint = endpoint;
	move->to_service = to_service;
	endpoint->configured = false;
	world_configure(world);
	jt_scheduler_after(world->scheduler, MOVE_POLL_US, move_finish, move,
			   0);
}

static void apply_endpoint_event(struct world *world,
				 const struct scenario_event *event, bool begin)
{
	struct endpoint *e = find_event_endpoint(world, event);
	uint64_t until =
		begin ? event->for_s > 0
				? world_now(world) +
					  (uint64_t)(event->for_s * SECOND_US)
				: UINT64_MAX
		      : 0;

	if (e == NULL)
		return;
	switch (event->kind) {
	case EVENT_ENDPOINT_DRAIN:
		set_draining(world, e, begin);
		break;
	case EVENT_ENDPOINT_CRASH:
		if (begin)
			endpoint_crash(world, e);
		else
			endpoint_restart(world, e);
		break;
	case EVENT_ENDPOINT_COLD_START:
		if (begin)
			endpoint_restart(world, e);
		e->cold_until_us = until;
		break;
	case EVENT_ENDPOINT_SHED:
		e->shed_until_us = until;
		break;
	case EVENT_ENDPOINT_FALSE_LOAD:
		e->load_override = begin ? event->value : -1;
		break;
	case EVENT_ENDPOINT_MOVE:
		if (begin)
			set_draining(world, e, true);
		else
			move_begin(world, e, event->to_service);
		break;
	default:
		break;
	}
}

static void apply_demand_event(struct world *world,
			       const struct scenario_event *event, bool begin)
{
	for (size_t i = 0; i < world->demand_count; i++) {
		struct demand_state *demand = &world->demands[i];
		const struct scenario_demand *first =
			&world->scenario->groups[demand->group]
				 .demands[demand->index];

		if (demand->group != event->group ||
		    demand->service != event->service)
			continue;
		if (event->kind == EVENT_DEMAND) {
			demand->rate =
				begin ? event->value : first->new_flows_per_s;
			flows_demand_changed(world, demand);
			continue;
		}
		demand->share = begin ? (unsigned)event->value : first->share;
		world_configure(world);
	}
}

static void apply_environment_event(struct world *world,
				    const struct scenario_event *event,
				    bool begin)
{
	const struct scenario *s = world->scenario;

	if (event->kind == EVENT_HEALTH_LAG) {
		world->health_lag_s[event->service] =
			begin ? event->value
			      : s->services[event->service].health_lag_s;
		return;
	}
	if (world->cluster == NULL)
		return;
	switch (event->kind) {
	case EVENT_STORE_DOWN:
		trace_fault(world, "store_down", begin, 0);
		jt_cluster_set_store_down(world->cluster, begin);
		break;
	case EVENT_STORE_SLOW:
		jt_cluster_set_store_latency(
			world->cluster,
			(uint32_t)(1000 * (begin ? event->value
						 : s->store_answer_ms)));
		break;
	case EVENT_STORE_ANSWER_LOST:
		if (begin)
			jt_cluster_drop_store_responses(world->cluster,
							(uint32_t)event->value);
		break;
	case EVENT_MACHINE_LIST_LAG:
		jt_cluster_set_machine_list_lag(
			world->cluster,
			(uint32_t)(1e6 * (begin ? event->value
						: s->machine_list_lag_s)));
		break;
	default:
		break;
	}
}

static void apply_event(struct world *world, const struct scenario_event *event,
			bool begin)
{
	uint16_t node = (uint16_t)event->node;

	switch (event->kind) {
	case EVENT_NODE_CRASH:
		if (begin)
			node_crash(world, node);
		else
			node_start(world, node);
		break;
	case EVENT_NODE_JOIN:
		if (begin)
			node_start(world, node);
		break;
	case EVENT_NODE_LEAVE:
		if (begin)
			node_leave(world, node);
		else
			node_start(world, node);
		break;
	case EVENT_NODE_PAUSE:
		node_pause(world, node, begin);
		break;
	case EVENT_ZONE_CRASH:
		zone_crash(world, event->zone, begin);
		break;
	case EVENT_PARTITION:
		partition(world, event->zone, event->zone_b, begin);
		break;
	case EVENT_ENDPOINT_JOIN:
		if (begin) {
			uint32_t ip =
				0x0a200000u + (uint32_t)world->endpoint_count;

			endpoint_add(world, event->service,
				     (struct jt_address){ip, 6080});
			world_configure(world);
		}
		break;
	case EVENT_CONFIG_CHANGE:
	case EVENT_DEMAND:
		apply_demand_event(world, event, begin);
		break;
	case EVENT_STORE_DOWN:
	case EVENT_STORE_SLOW:
	case EVENT_STORE_ANSWER_LOST:
	case EVENT_MACHINE_LIST_LAG:
	case EVENT_HEALTH_LAG:
		apply_environment_event(world, event, begin);
		break;
	default:
		apply_endpoint_event(world, event, begin);
		break;
	}
}

/* argument: event index << 1 | 1 at the beginning, | 0 at the end */
static void on_event(void *object, uint64_t argument)
{
	struct world *world = object;
	const struct scenario_event *event =
		&world->scenario->events[argument >> 1];
	bool begin = argument & 1;

	world_log_event(world, scenario_event_name(event->kind),
			begin ? "begins" : "ends");
	apply_event(world, event, begin);
}

static void schedule_events(struct world *world)
{
	for (size_t i = 0; i < world->scenario->event_count; i++) {
		const struct scenario_event *event =
			&world->scenario->events[i];
		uint64_t at = BOOT_US + (uint64_t)(event->at_s * SECOND_US);

		jt_scheduler_at(world->scheduler, at, on_event, world,
				(uint64_t)i << 1 | 1);
		if (event->for_s > 0)
			jt_scheduler_at(
				world->scheduler,
				at + (uint64_t)(event->for_s * SECOND_US),
				on_event, world, (uint64_t)i << 1);
	}
}

/* Polled more often than other samples, to measure the configuration lag. */
static void on_revision_poll(void *object, uint64_t argument)
{
	struct world *world = object;

	(void)argument;
	oracle_check_config(world);
	jt_scheduler_after(world->scheduler, REVISION_POLL_US, on_revision_poll,
			   world, 0);
}

/* Life cycle */

static void create_demands(struct world *world)
{
	const struct scenario *s = world->scenario;

	for (unsigned g = 0; g < s->group_count; g++)
		world->demand_count += s->groups[g].demand_count;
	world->demands = talloc_zero_array(world, struct demand_state,
					   world->demand_count);
	world->demand_count = 0;
	for (unsigned g = 0; g < s->group_count; g++) {
		for (unsigned i = 0; i < s->groups[g].demand_count; i++) {
			const struct scenario_demand *from =
				&s->groups[g].demands[i];

			world->demands[world->demand_count++] =
				(struct demand_state){
					.group = g,
					.index = i,
					.service = from->service,
					.rate = from->new_flows_per_s,
					.share = from->share,
				};
		}
	}
}

static struct jt_cluster *create_cluster(struct world *world)
{
	const struct scenario *s = world->scenario;
	struct jt_cluster_options options;

	jt_cluster_options_init(&options);
	options.seed = world->options.seed * 2 + 1;
	options.zone_count = (unsigned)s->zone_count;
	for (int a = 0; a < JT_CLUSTER_MAX_ZONES; a++) {
		for (int b = 0; b < JT_CLUSTER_MAX_ZONES; b++) {
			if (a != b)
				options.zone_to_zone_us[a][b] =
					(uint32_t)(s->zone_to_zone_ms * 1000);
		}
	}
	options.loss_per_million = (uint32_t)(s->loss * 1e6);
	options.reorder_per_million = (uint32_t)(s->reorder * 1e6);
	options.machine_list_lag_us = (uint32_t)(s->machine_list_lag_s * 1e6);
	options.store_answer_us = (uint32_t)(s->store_answer_ms * 1000);
	options.store_operations_per_s = (uint32_t)s->store_operations_per_s;
	options.cell_nodes = s->cell_nodes;
	options.injected_faults = world->options.injected_faults;
	options.on_outcome = flows_on_outcome;
	options.read_health = endpoint_health;
	options.private_data = world;
	return jt_cluster_create(world, world->scheduler, &options);
}

static int world_destructor(struct world *world)
{
	gsl_rng_free(world->random);
	json_decref(world->violations);
	return 0;
}

struct world *world_create(TALLOC_CTX *mem_ctx, const struct scenario *scenario,
			   const struct world_options *options)
{
	struct world *world = talloc_zero(mem_ctx, struct world);

	if (world == NULL)
		return NULL;
	world->scenario = scenario;
	world->options = *options;
	world->random = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(world->random, options->seed + 1);
	world->violations = json_array();
	talloc_set_destructor(world, world_destructor);
	world->scheduler = jt_scheduler_create(world);
	world->end_us = BOOT_US + (uint64_t)(scenario->duration_s * SECOND_US);
	world->load_end_us = world->end_us - COOLDOWN_US;
	world->node_revision =
		talloc_zero_array(world, uint64_t, JT_CLUSTER_MAX_NODES);
	world->node_bytes =
		talloc_zero_array(world, uint64_t, 2 * JT_CLUSTER_MAX_NODES);
	world->bytes_at_minute =
		talloc_zero_array(world, uint64_t, JT_CLUSTER_MAX_NODES);
	world->unready_polls =
		talloc_zero_array(world, uint8_t, JT_CLUSTER_MAX_NODES);
	for (size_t i = 0; i < scenario->service_count; i++)
		world->health_lag_s[i] = scenario->services[i].health_lag_s;
	create_demands(world);
	endpoints_create(world);
	if (options->policy == POLICY_JASPERTRACK)
		world->cluster = create_cluster(world);
	else
		baseline_create(world);
	return world;
}

json_t *world_run(struct world *world)
{
	world_configure(world);
	world->revision_count = 0; /* the first revision is not measured */
	for (uint16_t n = 0; n < world->scenario->node_count; n++)
		node_start(world, n);
	on_health_sample(world, 0);
	on_fabric_poll(world, 0);
	jt_scheduler_run(world->scheduler, BOOT_US);
	on_sample(world, 0);
	on_revision_poll(world, 0);
	schedule_events(world);
	flows_start(world);
	jt_scheduler_run(world->scheduler, world->end_us);
	flows_finish(world);
	return oracle_result(world);
}
