/*
 * jaspertrack-lab sweep: runs a scenario over a range of one parameter, and
 * fits the slope of each cost by least squares, with its residual.
 */
#include "lab.h"
#include "world.h"

#include <argtable2.h>
#include <gsl/gsl_fit.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <time.h>

enum { POINT_LIMIT = 32, PARAMETER_COUNT = 8 };

static const char *const parameters[PARAMETER_COUNT] = {
	"nodes", "endpoints",	    "addresses",     "groups",
	"flows", "new_flows_per_s", "changes_per_s", "loss",
};

struct sweep {
	const char *scenario;
	int parameter;
	double values[POINT_LIMIT];
	size_t count;
	uint64_t seed;
	bool csv;
};

struct point {
	double value;
	json_t *result;
	double cpu_s;
	double memory_mb;
};

static int parse_parameter(const char *name)
{
	int p = 0;

	while (p < PARAMETER_COUNT && strcmp(parameters[p], name) != 0)
		p++;
	return p;
}

static void set_nodes(struct scenario *s, double value)
{
	unsigned left = (unsigned)value;

	s->node_count = 0;
	for (size_t z = 0; z < s->zone_count; z++) {
		unsigned part = left / (unsigned)(s->zone_count - z);

		s->zones[z].nodes = part;
		s->node_count += part;
		left -= part;
	}
}

/* Sets the number of services; each has one address per group. */
static void set_services(struct scenario *s, unsigned count)
{
	struct scenario_service *list =
		talloc_zero_array(s, struct scenario_service, count);

	for (unsigned i = 0; i < count; i++) {
		list[i] = s->services[0];
		list[i].name =
			talloc_asprintf(list, "%s-%u", s->services[0].name, i);
	}
	for (size_t g = 0; g < s->group_count; g++) {
		struct scenario_demand first = s->groups[g].demands[0];

		s->groups[g].demands =
			talloc_zero_array(s, struct scenario_demand, count);
		for (unsigned i = 0; i < count; i++) {
			s->groups[g].demands[i] = first;
			s->groups[g].demands[i].service = i;
			s->groups[g].demands[i].new_flows_per_s /= count;
		}
		s->groups[g].demand_count = count;
	}
	s->services = list;
	s->service_count = count;
}

static void set_groups(struct scenario *s, unsigned count)
{
	struct scenario_group *list =
		talloc_zero_array(s, struct scenario_group, count);

	for (unsigned i = 0; i < count; i++) {
		list[i].name = talloc_asprintf(list, "group-%u", i);
		list[i].demand_count = s->groups[0].demand_count;
		list[i].demands = talloc_memdup(list, s->groups[0].demands,
						sizeof(struct scenario_demand) *
							list[i].demand_count);
		for (size_t d = 0; d < list[i].demand_count; d++)
			list[i].demands[d].new_flows_per_s /= count;
	}
	s->groups = list;
	s->group_count = count;
}

static void scale_demand(struct scenario *s, double flows_per_s, double flow_s)
{
	double sum = 0;

	for (size_t g = 0; g < s->group_count; g++) {
		for (size_t d = 0; d < s->groups[g].demand_count; d++)
			sum += s->groups[g].demands[d].new_flows_per_s;
	}
	for (size_t g = 0; g < s->group_count; g++) {
		for (size_t d = 0; d < s->groups[g].demand_count; d++) {
			struct scenario_demand *demand =
				&s->groups[g].demands[d];

			demand->new_flows_per_s *= flows_per_s / sum;
			if (flow_s > 0)
				demand->flow_s = flow_s;
		}
	}
}

/* Changes the first group's share at a constant rate. */
static void set_changes(struct scenario *s, double per_s)
{
	double last = s->duration_s - 40;
	size_t count = (size_t)(per_s * last);

	s->events = talloc_zero_array(s, struct scenario_event, count + 1);
	for (size_t i = 0; i < count; i++) {
		s->events[i].kind = EVENT_CONFIG_CHANGE;
		s->events[i].at_s = 5 + (double)i / per_s;
		s->events[i].service = s->groups[0].demands[0].service;
		s->events[i].value = 1 + (double)(i % 5);
	}
	s->event_count = count;
}

static void set_parameter(struct scenario *s, int parameter, double value)
{
	unsigned count = (unsigned)value;
	double per_endpoint;

	switch (parameter) {
	case 0:
		set_nodes(s, value);
		break;
	case 1:
		s->services[0].endpoints = count;
		break;
	case 2:
		per_endpoint = ceil((double)s->services[0].endpoints / value);
		s->services[0].endpoints =
			per_endpoint < 2 ? 2 : (unsigned)per_endpoint;
		set_services(s, count);
		break;
	case 3:
		set_groups(s, count);
		break;
	case 4: /* open flows = rate * duration, with the duration fixed */
		scale_demand(s, value / s->groups[0].demands[0].flow_s, 0);
		break;
	case 5:
		scale_demand(s, value, 0);
		break;
	case 6:
		set_changes(s, value);
		break;
	default:
		s->loss = value;
		break;
	}
}

static double cpu_seconds(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static double memory_mb(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (double)usage.ru_maxrss / 1024;
}

static int run_point(const struct sweep *sweep, double value,
		     struct point *point)
{
	TALLOC_CTX *frame = talloc_new(NULL);
	struct world_options options = {.seed = sweep->seed};
	struct scenario *scenario;
	double before;
	char *error;

	scenario = scenario_load(frame, sweep->scenario, &error);
	if (scenario == NULL) {
		fprintf(stderr, "%s\n", error);
		talloc_free(frame);
		return -1;
	}
	set_parameter(scenario, sweep->parameter, value);
	before = cpu_seconds();
	point->value = value;
	point->result = world_run(world_create(frame, scenario, &options));
	point->cpu_s = cpu_seconds() - before;
	point->memory_mb = memory_mb();
	json_object_set_new(point->result, "parameter",
			    json_string(parameters[sweep->parameter]));
	json_object_set_new(point->result, "value", json_real(value));
	json_object_set_new(point->result, "nodes",
			    json_integer(scenario->node_count));
	json_object_set_new(point->result, "emulator_cpu_s",
			    json_real(point->cpu_s));
	json_object_set_new(point->result, "emulator_memory_mb",
			    json_real(point->memory_mb));
	json_object_del(point->result, "violations");
	talloc_free(frame);
	return 0;
}

static void print_point(const struct sweep *sweep, const struct point *point)
{
	static const char *const columns[] = {
		"value",
		"flows_broken",
		"imbalance_p99",
		"relayed_packets_part",
		"control_bytes_per_node_s_mean",
		"control_bytes_per_node_s_max",
		"config_lag_max_ms",
		"store_operations_per_s",
		"emulator_cpu_s",
		"emulator_memory_mb",
	};
	size_t count = sizeof(columns) / sizeof(columns[0]);
	char *text;

	if (!sweep->csv) {
		text = json_dumps(point->result,
				  JSON_COMPACT | JSON_REAL_PRECISION(6));
		puts(text);
		free(text);
		return;
	}
	for (size_t i = 0; i < count; i++)
		printf("%s%.6g", i ? "," : "",
		       json_number_value(
			       json_object_get(point->result, columns[i])));
	putchar('\n');
}

static void print_slope(const struct sweep *sweep, const struct point *points,
			const char *metric)
{
	double x[POINT_LIMIT], y[POINT_LIMIT];
	double base, slope, c00, c01, c11, residual_sum;

	for (size_t i = 0; i < sweep->count; i++) {
		x[i] = points[i].value;
		y[i] = json_number_value(
			json_object_get(points[i].result, metric));
	}
	gsl_fit_linear(x, 1, y, 1, sweep->count, &base, &slope, &c00, &c01,
		       &c11, &residual_sum);
	printf("{\"slope_of\":\"%s\",\"by\":\"%s\",\"slope\":%.6g,"
	       "\"base\":%.6g,\"residual_rms\":%.4g,\"points\":%zu}\n",
	       metric, parameters[sweep->parameter], slope, base,
	       sqrt(residual_sum / (double)sweep->count), sweep->count);
}

static int run_sweep(const struct sweep *sweep)
{
	struct point points[POINT_LIMIT] = {0};

	if (sweep->csv)
		puts("value,flows_broken,imbalance_p99,relayed_packets_part,"
		     "control_bytes_mean,control_bytes_max,config_lag_max_ms,"
		     "store_operations_per_s,cpu_s,memory_mb");
	for (size_t i = 0; i < sweep->count; i++) {
		if (run_point(sweep, sweep->values[i], &points[i]) != 0)
			return LAB_USAGE;
		print_point(sweep, &points[i]);
		fflush(stdout);
	}
	if (!sweep->csv && sweep->count > 2) {
		print_slope(sweep, points, "control_bytes_per_node_s_mean");
		print_slope(sweep, points, "control_bytes_per_node_s_max");
		print_slope(sweep, points, "store_operations_per_s");
		print_slope(sweep, points, "config_lag_max_ms");
		print_slope(sweep, points, "emulator_cpu_s");
		print_slope(sweep, points, "emulator_memory_mb");
	}
	for (size_t i = 0; i < sweep->count; i++)
		json_decref(points[i].result);
	return LAB_DONE;
}

static bool parse_values(const char *text, struct sweep *sweep)
{
	char *end;

	while (*text != '\0' && sweep->count < POINT_LIMIT) {
		sweep->values[sweep->count] = strtod(text, &end);
		if (end == text || sweep->values[sweep->count] < 0)
			return false;
		sweep->count++;
		text = *end == ',' ? end + 1 : end;
		if (*end != ',' && *end != '\0')
			return false;
	}
	return sweep->count > 0;
}

int lab_sweep(int argc, char **argv)
{
	struct arg_file *scenario =
		arg_file0(NULL, NULL, "SCENARIO", "libconfig file");
	struct arg_str *parameter =
		arg_str0(NULL, "by", "PARAMETER",
			 "nodes, endpoints, addresses, groups, flows, "
			 "new_flows_per_s, changes_per_s or loss");
	struct arg_str *values =
		arg_str0(NULL, "values", "N,N,...", "parameter values to run");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "default 1");
	struct arg_lit *csv =
		arg_lit0(NULL, "csv", "print CSV, without slopes");
	struct arg_lit *help = arg_lit0("h", "help", "this text");
	struct arg_end *end = arg_end(4);
	void *table[] = {scenario, parameter, values, seed, csv, help, end};
	int errors = arg_parse(argc, argv, table);
	struct sweep sweep = {.seed = 1};
	int result = LAB_USAGE;

	if (help->count > 0) {
		result = lab_help("sweep", table);
	} else if (errors > 0 || scenario->count == 0 ||
		   parameter->count == 0 || values->count == 0) {
		fprintf(stderr,
			"sweep: SCENARIO, --by and --values are required\n");
	} else if (parse_parameter(parameter->sval[0]) == PARAMETER_COUNT) {
		fprintf(stderr, "sweep: --by: unknown '%s'\n",
			parameter->sval[0]);
	} else if (!parse_values(values->sval[0], &sweep)) {
		fprintf(stderr,
			"sweep: --values: '%s' is not a list of numbers\n",
			values->sval[0]);
	} else {
		sweep.scenario = scenario->filename[0];
		sweep.parameter = parse_parameter(parameter->sval[0]);
		sweep.csv = csv->count > 0;
		if (seed->count > 0)
			sweep.seed = (uint64_t)seed->ival[0];
		result = run_sweep(&sweep);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result;
}
