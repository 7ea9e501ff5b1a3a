/* Event loop and option parsing shared by all commands. */
#include "standin.h"

#include "jt_net.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void on_signal(struct tevent_context *loop, struct tevent_signal *se,
		      int signum, int count, void *siginfo, void *private_data)
{
	(void)loop;
	(void)se;
	(void)signum;
	(void)count;
	(void)siginfo;
	*(bool *)private_data = true;
}

struct tevent_context *standin_loop_create(TALLOC_CTX *mem_ctx, bool *finished)
{
	struct tevent_context *loop = tevent_context_init(mem_ctx);

	*finished = false;
	signal(SIGPIPE, SIG_IGN);
	tevent_add_signal(loop, loop, SIGTERM, 0, on_signal, finished);
	tevent_add_signal(loop, loop, SIGINT, 0, on_signal, finished);
	return loop;
}

bool standin_help_requested(int argc, char **argv, const char *text)
{
	for (int i = 1; i < argc; i++) {
		if (strcmp(argv[i], "--help") == 0) {
			fputs(text, stdout);
			return true;
		}
	}
	return false;
}

const char *standin_option(int argc, char **argv, const char *name)
{
	for (int i = 1; i + 1 < argc; i++) {
		if (strcmp(argv[i], name) == 0)
			return argv[i + 1];
	}
	return NULL;
}

bool standin_address_option(int argc, char **argv, const char *name,
			    struct jt_address *address)
{
	const char *text = standin_option(argc, argv, name);

	if (text != NULL && jt_address_parse(text, address) == 0)
		return true;
	fprintf(stderr, "jaspertrack-standin: %s IPV4:PORT is required\n",
		name);
	return false;
}

double standin_number_option(int argc, char **argv, const char *name,
			     double fallback)
{
	const char *text = standin_option(argc, argv, name);

	return text ? strtod(text, NULL) : fallback;
}
