/*
 * jaspertrack-lab plan: estimates what a deployment of a given size needs.
 *
 * The size is divided over cells, and one cell is emulated for DURATION_S with
 * the production decision library and messages.
 */
#include "lab.h"
#include "world.h"

#include "jaspertrack/cell.h"
#include "jt_flow_table.h"

#include <argtable2.h>
#include <math.h>
#include <stdlib.h>
#include <time.h>

enum {
	DURATION_S = 240,
	GROUPS = 3,
	LIVE_CELL_STATES = 3,
	MAX_CELL_NODES = 200,
	TABLE_SIZE_THIRDS = 8, /* thirds of a record per flow, at most */
};

struct size {
	double nodes, endpoints, addresses, open_flows, new_flows_per_s;
	double cell_nodes;
};

static unsigned round_up(double value, unsigned min)
{
	unsigned rounded = (unsigned)ceil(value);

	return rounded < min ? min : rounded;
}

/* Returns the scenario of one cell: streams only, evenly loaded. */
static struct scenario *cell_scenario(TALLOC_CTX *mem_ctx,
				      const struct size *size, double cells)
{
	struct scenario *s = talloc_zero(mem_ctx, struct scenario);
	unsigned services = round_up(size->addresses / cells / GROUPS, 1);
	unsigned endpoints = round_up(size->endpoints / cells / services, 2);
	double rate = size->new_flows_per_s / cells / services / GROUPS;

	s->name = "plan";
	s->duration_s = DURATION_S;
	s->zone_count = 3;
	for (unsigned z = 0; z < 3; z++) {
		s->zones[z].name = talloc_asprintf(s, "zone-%u", z);
		s->zones[z].nodes = round_up(size->cell_nodes / 3, 1);
		s->node_count += s->zones[z].nodes;
	}
	s->zone_to_zone_ms = 1.5;
	s->client_ms = 1;
	s->loss = 0.0001;
	s->store_operations_per_s = 20;
	s->store_answer_ms = 5;
	s->machine_list_lag_s = 10;
	s->packet_interval_s = 30;
	s->services = talloc_zero_array(s, struct scenario_service, services);
	s->service_count = services;
	s->groups = talloc_zero_array(s, struct scenario_group, GROUPS);
	s->group_count = GROUPS;
	for (unsigned i = 0; i < services; i++) {
		s->services[i].name = talloc_asprintf(s, "service-%u", i);
		s->services[i].kind = JT_SERVICE_STREAM;
		s->services[i].endpoints = endpoints;
		s->services[i].slots = 2;
		s->services[i].connections = 1000000;
		s->services[i].health_lag_s = 2;
		s->services[i].free_permille = 200;
	}
	for (unsigned g = 0; g < GROUPS; g++) {
		struct scenario_group *group = &s->groups[g];

		group->name = talloc_asprintf(s, "group-%u", g);
		group->demand_count = services;
		group->demands =
			talloc_zero_array(s, struct scenario_demand, services);
		for (unsigned i = 0; i < services; i++)
			group->demands[i] = (struct scenario_demand){
				.service = i,
				.share = 1,
				.new_flows_per_s = rate,
				.flow_s = size->open_flows /
					  size->new_flows_per_s,
			};
	}
	s->events = talloc_zero_array(s, struct scenario_event, 1);
	return s;
}

static double cpu_seconds(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static double metric(const json_t *result, const char *name)
{
	return json_number_value(json_object_get(result, name));
}

/* Returns the computed memory in MB of one node's decision library. */
static double memory_mb(const struct scenario *s, double flows_per_node)
{
	double records = flows_per_node * 2 * sizeof(struct jt_flow) *
			 TABLE_SIZE_THIRDS / 3;
	double tables = (double)s->service_count * LIVE_CELL_STATES *
			sizeof(struct jt_table);

	return (records + tables) / 1e6;
}

static int plan(const struct size *size)
{
	TALLOC_CTX *frame = talloc_new(NULL);
	double cells = ceil(size->nodes / size->cell_nodes);
	struct scenario *s = cell_scenario(frame, size, cells);
	struct world_options options = {.seed = 1};
	double started = cpu_seconds(), cpu;
	json_t *result, *row;
	char *text;

	result = world_run(world_create(frame, s, &options));
	cpu = (cpu_seconds() - started) / (s->node_count * (DURATION_S + 10));
	row = json_pack(
		"{s:f,s:i,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:i}",
		"cells", cells, "nodes_a_cell", (int)s->node_count,
		"endpoints_a_cell", size->endpoints / cells, "addresses_a_cell",
		size->addresses / cells, "open_flows_a_node",
		size->open_flows / size->nodes, "new_flows_a_node_s",
		size->new_flows_per_s / size->nodes,
		"control_bytes_a_node_s_mean",
		metric(result, "control_bytes_per_node_s_mean"),
		"control_bytes_a_node_s_busiest_minute",
		metric(result, "control_bytes_per_node_s_max"),
		"core_part_a_node_at_most", cpu, "decision_memory_mb",
		memory_mb(s, size->open_flows / size->nodes),
		"store_operations_s_all_cells",
		metric(result, "store_operations_per_s") * cells,
		"relayed_packets_part", metric(result, "relayed_packets_part"),
		"violations",
		(int)json_array_size(json_object_get(result, "violations")));
	text = json_dumps(row, JSON_INDENT(2) | JSON_REAL_PRECISION(5));
	puts(text);
	free(text);
	json_decref(row);
	json_decref(result);
	talloc_free(frame);
	return LAB_DONE;
}

/* Checks the ranges of all options; reports the first invalid one. */
static int check(const struct size *size)
{
	const struct {
		const char *flag;
		double value, min, max;
	} checks[] = {
		{"nodes", size->nodes, 1, 1e6},
		{"endpoints", size->endpoints, 1, 1e7},
		{"addresses", size->addresses, 1, 1e7},
		{"open-flows", size->open_flows, 1, 1e10},
		{"new-flows-per-s", size->new_flows_per_s, 1e-3, 1e8},
		{"cell-nodes", size->cell_nodes, 1, MAX_CELL_NODES},
	};

	for (size_t i = 0; i < sizeof(checks) / sizeof(checks[0]); i++) {
		if (checks[i].value >= checks[i].min &&
		    checks[i].value <= checks[i].max)
			continue;
		fprintf(stderr, "plan: --%s: is %g, allowed are %g to %g\n",
			checks[i].flag, checks[i].value, checks[i].min,
			checks[i].max);
		return LAB_USAGE;
	}
	return LAB_DONE;
}

static double argument_or_default(const struct arg_dbl *argument,
				  double fallback)
{
	return argument->count ? argument->dval[0] : fallback;
}

int lab_plan(int argc, char **argv)
{
	struct arg_dbl *nodes = arg_dbl0(NULL, "nodes", "N", "balancer nodes");
	struct arg_dbl *endpoints = arg_dbl0(NULL, "endpoints", "N", NULL);
	struct arg_dbl *addresses =
		arg_dbl0(NULL, "addresses", "N", "service addresses");
	struct arg_dbl *flows = arg_dbl0(NULL, "open-flows", "N", NULL);
	struct arg_dbl *rate = arg_dbl0(NULL, "new-flows-per-s", "N",
					"total rate of new flows");
	struct arg_dbl *cell = arg_dbl0(NULL, "cell-nodes", "N", "default 12");
	struct arg_lit *help = arg_lit0("h", "help", "this text");
	struct arg_end *end = arg_end(4);
	void *table[] = {nodes, endpoints, addresses, flows,
			 rate,	cell,	   help,      end};
	int errors = arg_parse(argc, argv, table);
	struct size size = {
		argument_or_default(nodes, 6),
		argument_or_default(endpoints, 19),
		argument_or_default(addresses, 6),
		argument_or_default(flows, 30000),
		argument_or_default(rate, 125),
		argument_or_default(cell, 12),
	};
	int result = LAB_USAGE;

	if (help->count > 0) {
		result = lab_help("plan", table);
	} else if (errors > 0) {
		arg_print_errors(stderr, end, "jaspertrack-lab plan");
	} else {
		result = check(&size);
		if (size.cell_nodes > size.nodes)
			size.cell_nodes = size.nodes;
		if (result == LAB_DONE)
			result = plan(&size);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result;
}
