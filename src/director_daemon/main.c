/* jaspertrack-director: a load balancer node that assigns flows by label. */
#include "director_process.h"
#include "jt_version.h"

#include <argtable2.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

/* Names the settings file if --config is not given. */
#define SETTINGS_VARIABLE "JASPERTRACK_SETTINGS"

struct options {
	const char *config;
	bool check;
};

static void usage(void **table)
{
	printf("Usage: " DIRECTOR_PROGRAM);
	arg_print_syntax(stdout, table, "\n");
	printf("Runs a load balancer node that assigns flows by label. "
	       "SIGTERM shuts it down\nwithout breaking flows; SIGHUP "
	       "reloads the settings, as does a change of the file.\n\n");
	arg_print_glossary(stdout, table, "  %-26s %s\n");
	printf("\nWithout --config, the file is taken from %s.\n"
	       "Example: %s --config node.cfg --check\n",
	       SETTINGS_VARIABLE, DIRECTOR_PROGRAM);
}

/* Returns EXIT_DONE with *run true if the node should run. */
static int parse_arguments(int argc, char **argv, struct options *options,
			   bool *run)
{
	struct arg_file *config =
		arg_file0("c", "config", "FILE", "settings file (libconfig)");
	struct arg_lit *check =
		arg_lit0(NULL, "check", "check the settings and exit");
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_lit *version = arg_lit0(NULL, "version", "show the version");
	struct arg_end *end = arg_end(8);
	void *table[] = {config, check, help, version, end};
	int errors = arg_parse(argc, argv, table);
	int result = EXIT_DONE;

	options->config =
		config->count ? config->filename[0] : getenv(SETTINGS_VARIABLE);
	options->check = check->count > 0;
	*run = false;
	if (help->count > 0) {
		usage(table);
	} else if (version->count > 0) {
		printf(DIRECTOR_PROGRAM " %s\n", JT_VERSION);
	} else if (errors > 0) {
		arg_print_errors(stderr, end, DIRECTOR_PROGRAM);
		result = EXIT_USAGE;
	} else if (options->config == NULL) {
		fprintf(stderr, DIRECTOR_PROGRAM
			": --config or " SETTINGS_VARIABLE " is needed\n");
		result = EXIT_USAGE;
	} else {
		*run = true;
	}
	/* The strings point into argv, not into the table. */
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result;
}

int main(int argc, char **argv)
{
	struct options options;
	TALLOC_CTX *mem_ctx;
	bool run;
	int result;

	/* Until the handlers are installed, these must not end the process. */
	signal(SIGHUP, SIG_IGN);
	signal(SIGPIPE, SIG_IGN);
	result = parse_arguments(argc, argv, &options, &run);
	if (!run)
		return result;
	if (sodium_init() < 0) {
		fprintf(stderr, DIRECTOR_PROGRAM ": libsodium can't start\n");
		return EXIT_FAILED;
	}
	mem_ctx = talloc_new(NULL);
	result = director_process_run(mem_ctx, options.config, options.check);
	talloc_free(mem_ctx);
	return result;
}
