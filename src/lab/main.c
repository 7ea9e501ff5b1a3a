/* jaspertrack-lab: emulation and experiments in virtual time. */
#include "jt_version.h"
#include "lab.h"

#include <argtable2.h>
#include <stdio.h>
#include <string.h>

static const char usage[] =
	"Usage: jaspertrack-lab COMMAND [OPTIONS]\n"
	"\n"
	"  run SCENARIO      run one scenario and print a JSON object\n"
	"  sweep SCENARIO    run a scenario over a range of a parameter\n"
	"  record SCENARIO   write the packets and faults of a run as a trace\n"
	"  replay TRACE      replay a trace and check its expected outcome\n"
	"  report TIMELINE   write plots of a run as one HTML file\n"
	"  plan              estimate the needs of a deployment of a given "
	"size\n"
	"\n"
	"COMMAND --help shows the options of a command.\n"
	"Exit status: 0 success, 1 a property was violated, 2 wrong usage or "
	"input.\n";

int lab_help(const char *command, void **table)
{
	printf("Usage: jaspertrack-lab %s", command);
	arg_print_syntax(stdout, table, "\n");
	arg_print_glossary(stdout, table, "  %-24s %s\n");
	return LAB_DONE;
}

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		int (*run)(int, char **);
	} commands[] = {
		{"run", lab_run},	{"sweep", lab_sweep},
		{"record", lab_record}, {"replay", lab_replay},
		{"report", lab_report}, {"plan", lab_plan},
	};

	if (argc >= 2 && strcmp(argv[1], "--help") == 0) {
		fputs(usage, stdout);
		return LAB_DONE;
	}
	if (argc >= 2 && strcmp(argv[1], "--version") == 0) {
		printf("jaspertrack-lab %s\n", JT_VERSION);
		return LAB_DONE;
	}
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		if (argc >= 2 && strcmp(argv[1], commands[i].name) == 0)
			return commands[i].run(argc - 1, argv + 1);
	}
	fputs(usage, stderr);
	return LAB_USAGE;
}
