/* jaspertrackd: daemon that runs one balancer node. */
#include "jt_balancer.h"
#include "jt_director_settings.h"
#include "jt_net.h"
#include "jt_version.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Environment variable with the settings file, if --config is not given. */
#define SETTINGS_VARIABLE "JASPERTRACK_SETTINGS"

enum { EXIT_DONE = 0, EXIT_FAILED = 1, EXIT_USAGE = 2 };

struct options {
	const char *config;
	const char *name;
	const char *zone;
	const char *log_level;
	bool check;
};

struct daemon {
	struct jt_balancer *balancer;
	struct tevent_context *loop;
	struct jt_log log;
	struct options options;
	bool finished;
};

static void usage(void **table)
{
	printf("Usage: jaspertrackd");
	arg_print_syntax(stdout, table, "\n");
	printf("Runs one balancer node. SIGTERM leaves the cell without "
	       "breaking flows;\nSIGHUP reads the settings again.\n\n");
	arg_print_glossary(stdout, table, "  %-26s %s\n");
}

/* Returns the exit status; sets *run if the daemon is to continue. */
static int parse_arguments(int argc, char **argv, struct options *options,
			   bool *run)
{
	struct arg_file *config =
		arg_file0("c", "config", "FILE", "settings (libconfig)");
	struct arg_str *name =
		arg_str0(NULL, "name", "NAME", "overrides node.name");
	struct arg_str *zone =
		arg_str0(NULL, "zone", "ZONE", "overrides node.zone");
	struct arg_str *level =
		arg_str0(NULL, "log-level", "SEVERITY", "overrides log_level");
	struct arg_lit *check =
		arg_lit0(NULL, "check", "check the settings and stop");
	struct arg_lit *help = arg_lit0("h", "help", "this text");
	struct arg_lit *version = arg_lit0(NULL, "version", "the version");
	struct arg_end *end = arg_end(8);
	void *table[] = {config, name, zone, level, check, help, version, end};
	int errors = arg_parse(argc, argv, table);
	int result = EXIT_DONE;

	*run = false;
	if (help->count > 0) {
		usage(table);
	} else if (version->count > 0) {
		printf("jaspertrackd %s\n", JT_VERSION);
	} else if (errors > 0) {
		arg_print_errors(stderr, end, "jaspertrackd");
		result = EXIT_USAGE;
	} else if (config->count == 0 && getenv(SETTINGS_VARIABLE) == NULL) {
		fprintf(stderr, "jaspertrackd: --config or " SETTINGS_VARIABLE
				" is needed\n");
		result = EXIT_USAGE;
	} else {
		options->config = config->count ? config->filename[0]
						: getenv(SETTINGS_VARIABLE);
		options->name = name->count ? name->sval[0] : NULL;
		options->zone = zone->count ? zone->sval[0] : NULL;
		options->log_level = level->count ? level->sval[0] : NULL;
		options->check = check->count > 0;
		*run = true;
	}
	/* The strings in @options point into argv, not into the table. */
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result;
}

static struct jt_settings *
load_settings(TALLOC_CTX *mem_ctx, const struct options *options, char **error)
{
	struct jt_settings *settings =
		jt_settings_load(mem_ctx, options->config, error);

	if (settings == NULL)
		return NULL;
	if (options->name != NULL)
		settings->name = options->name;
	if (options->zone != NULL)
		settings->zone = options->zone;
	if (options->log_level == NULL)
		return settings;
	settings->log_threshold = jt_log_severity(options->log_level);
	if (settings->log_threshold < 0) {
		*error = talloc_asprintf(mem_ctx,
					 "--log-level: '%s' is not a severity",
					 options->log_level);
		TALLOC_FREE(settings);
	}
	return settings;
}

static void on_left(void *private_data)
{
	struct daemon *daemon = private_data;

	jt_log_line(&daemon->log, LOG_NOTICE, "event=left");
	daemon->finished = true;
}

static void on_terminate(struct tevent_context *loop, struct tevent_signal *se,
			 int signum, int count, void *siginfo,
			 void *private_data)
{
	struct daemon *daemon = private_data;

	(void)loop;
	(void)se;
	(void)signum;
	(void)count;
	(void)siginfo;
	jt_node_leave(jt_balancer_node(daemon->balancer));
}

static void on_reload(struct tevent_context *loop, struct tevent_signal *se,
		      int signum, int count, void *siginfo, void *private_data)
{
	struct daemon *daemon = private_data;
	struct jt_node *node = jt_balancer_node(daemon->balancer);
	TALLOC_CTX *frame = talloc_new(daemon);
	struct jt_settings *settings;
	const char *fixed;
	char *error;

	(void)loop;
	(void)se;
	(void)signum;
	(void)count;
	(void)siginfo;
	settings = load_settings(frame, &daemon->options, &error);
	if (settings == NULL) {
		jt_log_line(&daemon->log, LOG_ERR,
			    "event=reload_rejected reason=\"%s\"", error);
		talloc_free(frame);
		return;
	}
	fixed = jt_settings_find_fixed_change(node->settings, settings);
	if (fixed != NULL) {
		jt_log_line(&daemon->log, LOG_ERR,
			    "event=reload_rejected reason=\"%s can't change "
			    "while the node runs\"",
			    fixed);
	} else {
		daemon->log.threshold = settings->log_threshold;
		jt_node_reload(node, settings);
		jt_log_line(&daemon->log, LOG_NOTICE, "event=reloaded");
	}
	talloc_free(frame);
}

static int run_node(struct daemon *daemon, struct jt_settings *settings)
{
	struct jt_balancer_options options = {
		.log = &daemon->log,
		.settings = settings,
		.left = on_left,
		.private_data = daemon,
	};
	char *error = NULL;

	daemon->loop = tevent_context_init(daemon);
	daemon->log.program = "jaspertrackd";
	daemon->log.threshold = settings->log_threshold;
	signal(SIGPIPE, SIG_IGN);
	options.loop = daemon->loop;
	daemon->balancer = jt_balancer_create(daemon, &options, &error);
	if (daemon->balancer == NULL) {
		fprintf(stderr, "jaspertrackd: %s\n", error);
		return EXIT_FAILED;
	}
	tevent_add_signal(daemon->loop, daemon, SIGTERM, 0, on_terminate,
			  daemon);
	tevent_add_signal(daemon->loop, daemon, SIGINT, 0, on_terminate,
			  daemon);
	tevent_add_signal(daemon->loop, daemon, SIGHUP, 0, on_reload, daemon);
	jt_log_line(&daemon->log, LOG_NOTICE, "event=started node=%s zone=%s",
		    settings->name, settings->zone);
	while (!daemon->finished)
		tevent_loop_once(daemon->loop);
	TALLOC_FREE(daemon->balancer);
	return EXIT_DONE;
}

int main(int argc, char **argv)
{
	struct daemon *daemon = talloc_zero(NULL, struct daemon);
	struct jt_settings *settings;
	char *error = NULL;
	bool run;
	int result;

	/* Ignored until the handlers are installed. */
	signal(SIGHUP, SIG_IGN);
	signal(SIGPIPE, SIG_IGN);
	result = parse_arguments(argc, argv, &daemon->options, &run);
	if (!run)
		goto out;
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0) {
		fprintf(stderr, "jaspertrackd: initialisation failed\n");
		result = EXIT_FAILED;
		goto out;
	}
	if (jt_director_settings_selected(daemon->options.config)) {
		fprintf(stderr,
			"jaspertrackd: %s: placement: \"label\" is for "
			"jaspertrack-director\n",
			daemon->options.config);
		result = EXIT_USAGE;
		goto out;
	}
	settings = load_settings(daemon, &daemon->options, &error);
	if (settings == NULL) {
		fprintf(stderr, "jaspertrackd: %s\n", error);
		result = EXIT_USAGE;
		goto out;
	}
	if (daemon->options.check)
		printf("%s: settings are valid\n", daemon->options.config);
	else
		result = run_node(daemon, settings);
out:
	talloc_free(daemon);
	curl_global_cleanup();
	return result;
}
