#include "director_process.h"
#include "jt_director_node.h"
#include "jt_net.h"
#include "jt_timer.h"
#include "jt_version.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

enum { SETTINGS_CHECK_MS = 1000 };

struct director_process {
	struct tevent_context *loop;
	struct jt_log log;
	const char *file;
	struct timespec file_mtime;
	struct jt_director_settings *settings; /* owned by a running node */
	struct jt_director_node *node;
	struct jt_timer *settings_timer;
	bool finished;
};

static void on_left(void *private_data)
{
	struct director_process *process = private_data;

	process->finished = true;
}

static void on_terminate(struct tevent_context *loop, struct tevent_signal *se,
			 int signum, int count, void *siginfo,
			 void *private_data)
{
	struct director_process *process = private_data;

	(void)loop;
	(void)se;
	(void)signum;
	(void)count;
	(void)siginfo;
	jt_director_node_leave(process->node);
}

static void reload_rejected(struct director_process *process,
			    const char *reason)
{
	jt_log_line(&process->log, LOG_ERR,
		    "event=reload_rejected reason=\"%s\"", reason);
}

static void reload(struct director_process *process)
{
	TALLOC_CTX *frame = talloc_new(process);
	struct jt_director_settings *settings;
	const char *fixed_setting;
	char *error;

	settings = jt_director_settings_load(frame, process->file, &error);
	if (settings == NULL) {
		reload_rejected(process, error);
		goto out;
	}
	fixed_setting = jt_director_settings_fixed_difference(process->settings,
							      settings);
	if (fixed_setting != NULL) {
		reload_rejected(process,
				talloc_asprintf(frame,
						"%s can't change while the "
						"node runs",
						fixed_setting));
		goto out;
	}
	process->log.threshold = settings->log_threshold;
	process->settings = settings;
	jt_director_node_reload(process->node, settings);
	jt_log_line(&process->log, LOG_NOTICE, "event=reloaded");
out:
	talloc_free(frame);
}

static void on_reload(struct tevent_context *loop, struct tevent_signal *se,
		      int signum, int count, void *siginfo, void *private_data)
{
	(void)loop;
	(void)se;
	(void)signum;
	(void)count;
	(void)siginfo;
	reload(private_data);
}

/* Returns true if the settings file was modified since the last call. */
static bool file_changed(struct director_process *process)
{
	struct stat status;

	if (stat(process->file, &status) != 0 ||
	    memcmp(&status.st_mtim, &process->file_mtime,
		   sizeof(status.st_mtim)) == 0)
		return false;
	process->file_mtime = status.st_mtim;
	return true;
}

static void on_settings_check(void *private_data)
{
	struct director_process *process = private_data;

	if (file_changed(process))
		reload(process);
	jt_timer_set(process->settings_timer, SETTINGS_CHECK_MS);
}

static void log_start(const struct director_process *process)
{
	const struct jt_director_settings *settings = process->settings;
	char data[JT_ADDRESS_TEXT], peer[JT_ADDRESS_TEXT];
	char store[JT_ADDRESS_TEXT];

	jt_log_line(&process->log, LOG_NOTICE,
		    "event=started version=" JT_VERSION " node=%s zone=%s "
		    "data=%s peer=%s store=%s seeds=%zu",
		    settings->name, settings->zone,
		    jt_address_format(settings->data, data),
		    jt_address_format(settings->peer, peer),
		    jt_address_format(settings->store, store),
		    settings->seed_count);
}

static int run(struct director_process *process)
{
	char *error = NULL;

	process->loop = tevent_context_init(process);
	process->log.program = DIRECTOR_PROGRAM;
	process->log.threshold = process->settings->log_threshold;
	process->log.sink = jt_log_sink_create(process, STDOUT_FILENO);
	signal(SIGPIPE, SIG_IGN);
	file_changed(process);
	process->node = jt_director_node_create(
		process, process->loop, &process->log, process->settings,
		on_left, process, &error);
	process->settings_timer = jt_timer_create(process, process->loop,
						  on_settings_check, process);
	if (process->node == NULL || process->settings_timer == NULL) {
		fprintf(stderr, DIRECTOR_PROGRAM ": %s\n", error);
		return EXIT_FAILED;
	}
	jt_timer_set(process->settings_timer, SETTINGS_CHECK_MS);
	tevent_add_signal(process->loop, process, SIGTERM, 0, on_terminate,
			  process);
	tevent_add_signal(process->loop, process, SIGINT, 0, on_terminate,
			  process);
	tevent_add_signal(process->loop, process, SIGHUP, 0, on_reload,
			  process);
	log_start(process);
	while (!process->finished)
		tevent_loop_once(process->loop);
	if (process->log.sink != NULL)
		jt_log_sink_flush(process->log.sink);
	return EXIT_DONE;
}

int director_process_run(TALLOC_CTX *mem_ctx, const char *file, bool check)
{
	struct director_process *process =
		talloc_zero(mem_ctx, struct director_process);
	char *error = NULL;

	if (process == NULL)
		return EXIT_FAILED;
	process->file = file;
	process->settings = jt_director_settings_load(process, file, &error);
	if (process->settings == NULL) {
		fprintf(stderr, DIRECTOR_PROGRAM ": %s\n", error);
		return EXIT_USAGE;
	}
	if (check) {
		printf("%s: settings are valid\n", file);
		return EXIT_DONE;
	}
	return run(process);
}
