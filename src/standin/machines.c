/*
 * The platform's list of live and leaving machines, served with a delay.
 *
 * PUT /machines/NAME {"peer", "data", "api", "state"} and DELETE change it;
 * GET /machines returns the list as it was --lag-s seconds ago.
 */
#include "standin.h"

#include "jt_net.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char usage[] =
	"Usage: jaspertrack-standin machines --listen IP:PORT [--lag-s N]\n";

struct list_version {
	uint64_t created_ms;
	json_t *list; /* object: machine by name */
};

struct machines {
	struct list_version *versions;
	size_t version_count;
	uint64_t lag_ms;
};

static json_t *latest_list(const struct machines *machines)
{
	return machines->versions[machines->version_count - 1].list;
}

static json_t *visible_list(const struct machines *machines)
{
	uint64_t now = jt_clock_ms();
	size_t i = machines->version_count - 1;

	while (i > 0 &&
	       machines->versions[i].created_ms + machines->lag_ms > now)
		i--;
	return machines->versions[i].list;
}

static void add_version(struct machines *machines, json_t *list)
{
	machines->versions = talloc_realloc(machines, machines->versions,
					    struct list_version,
					    machines->version_count + 1);
	machines->versions[machines->version_count].created_ms = jt_clock_ms();
	machines->versions[machines->version_count++].list = list;
}

static void handle_list(struct machines *machines,
			struct jt_http_request *request)
{
	json_t *array = json_array();
	const char *name;
	json_t *entry;
	char *text;

	json_object_foreach (visible_list(machines), name, entry) {
		json_t *copy = json_copy(entry);

		json_object_set_new(copy, "name", json_string(name));
		json_array_append_new(array, copy);
	}
	text = json_dumps(array, JSON_COMPACT);
	jt_http_reply(request, 200, "application/json", text);
	free(text);
	json_decref(array);
}

static void on_request(struct jt_http_request *request, void *private_data)
{
	static const char prefix[] = "/machines/";
	struct machines *machines = private_data;
	const char *path = jt_http_path(request);
	const char *method = jt_http_method(request);
	json_t *list, *entry;

	if (strcmp(path, "/machines") == 0) {
		handle_list(machines, request);
		return;
	}
	if (strncmp(path, prefix, strlen(prefix)) != 0) {
		jt_http_reply(request, 404, "text/plain", "no such page\n");
		return;
	}
	list = json_copy(latest_list(machines));
	if (strcmp(method, "DELETE") == 0) {
		json_object_del(list, path + strlen(prefix));
	} else {
		entry = json_loads(jt_http_body(request, NULL), 0, NULL);
		json_object_set_new(list, path + strlen(prefix),
				    entry ? entry : json_object());
	}
	add_version(machines, list);
	jt_http_reply(request, 200, "text/plain", "ok\n");
}

int machines_main(int argc, char **argv)
{
	struct jt_http_options options = {0};
	struct tevent_context *loop;
	struct machines *machines;
	bool finished;

	if (standin_help_requested(argc, argv, usage))
		return EXIT_OK;
	if (!standin_address_option(argc, argv, "--listen", &options.address))
		return EXIT_USAGE;
	machines = talloc_zero(NULL, struct machines);
	loop = standin_loop_create(machines, &finished);
	machines->lag_ms =
		(uint64_t)(standin_number_option(argc, argv, "--lag-s", 2) *
			   1000);
	add_version(machines, json_object());
	if (jt_http_server_create(machines, loop, &options, on_request,
				  machines) == NULL) {
		perror("machines");
		talloc_free(machines);
		return EXIT_FAILED;
	}
	while (!finished)
		tevent_loop_once(loop);
	talloc_free(machines);
	return EXIT_OK;
}
