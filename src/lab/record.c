/* jaspertrack-lab record: writes the packets and faults of a run as a trace. */
#include "lab.h"
#include "world.h"

#include <argtable2.h>
#include <stdlib.h>

/*
 * Writes the expected outcome: no flow moved, none both refused and forwarded,
 * nearly all flows of the run, and one forwarded packet per response at least.
 */
static void write_outcome(FILE *file, const json_t *result, double end_s)
{
	json_int_t flows =
		json_integer_value(json_object_get(result, "flows_opened"));

	fprintf(file,
		"{\"t\":%.0f,\"outcome\":{\"flows\":\">%lld\",\"moved\":\"=0\","
		"\"refused_and_forwarded\":\"=0\",\"forwarded\":\">%lld\"}}\n",
		end_s * 1e6, (long long)(flows * 9 / 10),
		(long long)json_integer_value(
			json_object_get(result, "requests_answered_whole")));
}

static int record(const char *name, uint64_t seed, const char *output)
{
	struct world_options options = {.seed = seed};
	TALLOC_CTX *frame = talloc_new(NULL);
	struct scenario *scenario;
	json_t *result;
	char *error;
	int code = LAB_USAGE;

	scenario = scenario_load(frame, name, &error);
	if (scenario == NULL) {
		fprintf(stderr, "%s\n", error);
		goto out;
	}
	options.trace = fopen(output, "w");
	if (options.trace == NULL) {
		perror(output);
		goto out;
	}
	fprintf(options.trace,
		"{\"seed\":%llu,\"scenario\":\"%s\",\"zones\":%zu,"
		"\"loss_per_million\":%.0f}\n",
		(unsigned long long)seed * 2 + 1, scenario->name,
		scenario->zone_count, scenario->loss * 1e6);
	result = world_run(world_create(frame, scenario, &options));
	write_outcome(options.trace, result, 15 + scenario->duration_s);
	fclose(options.trace);
	code = json_array_size(json_object_get(result, "violations"))
		       ? LAB_FAILED
		       : LAB_DONE;
	json_decref(result);
out:
	talloc_free(frame);
	return code;
}

int lab_record(int argc, char **argv)
{
	struct arg_file *scenario =
		arg_file0(NULL, NULL, "SCENARIO", "libconfig file");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "default 1");
	struct arg_file *output =
		arg_file0("o", "output", "FILE", "trace file to write");
	struct arg_lit *help = arg_lit0("h", "help", "this text");
	struct arg_end *end = arg_end(4);
	void *table[] = {scenario, seed, output, help, end};
	int errors = arg_parse(argc, argv, table);
	int result = LAB_USAGE;

	if (help->count > 0) {
		result = lab_help("record", table);
	} else if (errors > 0 || scenario->count == 0 || output->count == 0) {
		fprintf(stderr, "record: SCENARIO and --output are required\n");
	} else {
		result = record(scenario->filename[0],
				seed->count ? (uint64_t)seed->ival[0] : 1,
				output->filename[0]);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result;
}
