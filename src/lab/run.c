/* jaspertrack-lab run: runs one scenario with one policy and one seed. */
#include "lab.h"
#include "world.h"

#include <argtable2.h>
#include <stdlib.h>
#include <string.h>

struct run_arguments {
	const char *scenario;
	const char *timeline;
	struct world_options options;
};

static const struct {
	const char *name;
	unsigned flag;
} fault_flags[] = {
	{"replica", JT_FAULT_NO_REPLICA},
	{"barrier", JT_FAULT_NO_BARRIER},
	{"lease", JT_FAULT_NO_LEASE},
	{"sticky", JT_FAULT_NO_STICKY},
	{"quarantine", JT_FAULT_NO_QUARANTINE},
	{"defaults", JT_FAULT_MOVE_DEFAULTS},
	{"handover", JT_FAULT_NO_HANDOVER},
	{"admission", JT_FAULT_NO_ADMISSION},
	{"vote", JT_FAULT_SINGLE_VOTE},
};

static unsigned parse_fault(const char *name)
{
	for (size_t i = 0; i < sizeof(fault_flags) / sizeof(fault_flags[0]);
	     i++) {
		if (strcmp(fault_flags[i].name, name) == 0)
			return fault_flags[i].flag;
	}
	return 0;
}

/* Returns an exit code; sets *proceed to true if a run follows. */
static int parse(int argc, char **argv, struct run_arguments *a, bool *proceed)
{
	struct arg_file *scenario =
		arg_file0(NULL, NULL, "SCENARIO", "libconfig file");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "default 1");
	struct arg_str *policy =
		arg_str0(NULL, "policy", "NAME",
			 "jaspertrack, label, modulo, maglev or full-relay");
	struct arg_lit *json =
		arg_lit0(NULL, "json", "no effect: the output is always JSON");
	struct arg_file *timeline =
		arg_file0(NULL, "timeline", "FILE",
			  "samples and events, input of report");
	struct arg_str *faults = arg_strn(
		NULL, "break", "FAULT", 0, 9,
		"replica, barrier, lease, sticky, quarantine, defaults, "
		"handover, admission or vote: fault to inject");
	struct arg_lit *help = arg_lit0("h", "help", "this text");
	struct arg_end *end = arg_end(8);
	void *table[] = {scenario, seed,   policy, json,
			 timeline, faults, help,   end};
	int errors = arg_parse(argc, argv, table);
	int result = LAB_USAGE;

	*proceed = false;
	a->options.seed = seed->count ? (uint64_t)seed->ival[0] : 1;
	if (help->count > 0) {
		result = lab_help("run", table);
		goto out;
	}
	if (errors > 0 || scenario->count == 0) {
		arg_print_errors(stderr, end, "jaspertrack-lab run");
		if (scenario->count == 0)
			fprintf(stderr, "run: SCENARIO is required\n");
		goto out;
	}
	if (policy->count > 0)
		a->options.policy = policy_parse(policy->sval[0]);
	if (a->options.policy == POLICY_COUNT) {
		fprintf(stderr, "run: --policy: unknown '%s'\n",
			policy->sval[0]);
		goto out;
	}
	for (int i = 0; i < faults->count; i++) {
		unsigned flag = parse_fault(faults->sval[i]);

		if (flag == 0) {
			fprintf(stderr, "run: --break: unknown '%s'\n",
				faults->sval[i]);
			goto out;
		}
		a->options.injected_faults |= flag;
	}
	a->scenario = scenario->filename[0];
	a->timeline = timeline->count ? timeline->filename[0] : NULL;
	*proceed = true;
	result = LAB_DONE;
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result;
}

int lab_run(int argc, char **argv)
{
	struct run_arguments arguments = {0};
	struct scenario *scenario;
	TALLOC_CTX *frame;
	json_t *result;
	char *error, *text;
	bool proceed;
	int code = parse(argc, argv, &arguments, &proceed);

	if (!proceed)
		return code;
	frame = talloc_new(NULL);
	scenario = scenario_load(frame, arguments.scenario, &error);
	if (scenario == NULL) {
		fprintf(stderr, "%s\n", error);
		talloc_free(frame);
		return LAB_USAGE;
	}
	if (arguments.timeline != NULL) {
		arguments.options.timeline = fopen(arguments.timeline, "w");
		if (arguments.options.timeline == NULL) {
			perror(arguments.timeline);
			talloc_free(frame);
			return LAB_USAGE;
		}
	}
	result = world_run(world_create(frame, scenario, &arguments.options));
	text = json_dumps(result, JSON_COMPACT | JSON_REAL_PRECISION(9));
	puts(text);
	free(text);
	code = json_array_size(json_object_get(result, "violations")) > 0
		       ? LAB_FAILED
		       : LAB_DONE;
	json_decref(result);
	if (arguments.options.timeline != NULL)
		fclose(arguments.options.timeline);
	talloc_free(frame);
	return code;
}
