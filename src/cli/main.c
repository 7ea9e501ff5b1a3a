/* jaspertrack: the operator's command line tool. */
#include "jt_director_settings.h"
#include "jt_http_client.h"
#include "jt_resource.h"
#include "jt_settings.h"
#include "jt_version.h"
#include "why.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { EXIT_OK = 0, EXIT_FAILED = 1, EXIT_USAGE = 2 };
enum { REQUEST_TIMEOUT_MS = 40000, FILE_SIZE_LIMIT = 8 << 20 };

static const char usage[] =
	"Usage: jaspertrack COMMAND [OPTIONS]\n"
	"\n"
	"  apply -f FILE        create or update the resources in FILE (JSON)\n"
	"  plan -f FILE         show the effect of apply without changing "
	"anything\n"
	"  get KIND [NAME]      list or show groups, services, endpoints, "
	"addresses, shares\n"
	"  delete KIND NAME     remove one resource\n"
	"  watch                print each configuration as it takes effect\n"
	"  status               show the state of the node and its cell\n"
	"  explain SRC DST      show the endpoint of the flow from SRC to DST "
	"(IP:PORT)\n"
	"  outcome ID           show the outcome of a write whose response was "
	"lost\n"
	"  why ID LOGS          explain a request or flow from node logs\n"
	"  check FILE           validate settings (*.cfg) or resources "
	"(*.json)\n"
	"\n"
	"Options: --api URL    API of any node (or JASPERTRACK_API)\n"
	"         --token T    bearer token (or JASPERTRACK_TOKEN)\n"
	"         --ca FILE    CA certificate that signed the API's "
	"certificate\n"
	"         --id ID      request id; a write is executed once per id\n"
	"         --json       print responses unformatted\n"
	"         --once       watch: stop after one response\n"
	"Exit status: 0 success, 1 refused or failed, 2 invalid usage or "
	"input.\n";

struct arguments {
	const char *api;
	const char *token;
	const char *ca;
	const char *file;
	const char *id;
	bool json;
	bool once;
	const char *operands[4]; /* the command and its operands */
	int operand_count;
};

struct response {
	long status;
	char *body;
	json_t *json;
};

/*
 * Fills @a from the command line. Sets *stop if there is no command to run;
 * the process then exits with the returned code.
 */
static int parse_arguments(int argc, char **argv, struct arguments *a,
			   bool *stop)
{
	struct arg_str *api = arg_str0(NULL, "api", "URL", NULL);
	struct arg_str *token = arg_str0(NULL, "token", "TOKEN", NULL);
	struct arg_file *ca = arg_file0(NULL, "ca", "FILE", NULL);
	struct arg_file *file = arg_file0("f", "file", "FILE", NULL);
	struct arg_str *id = arg_str0(NULL, "id", "ID", NULL);
	struct arg_lit *json = arg_lit0(NULL, "json", NULL);
	struct arg_lit *once = arg_lit0(NULL, "once", NULL);
	struct arg_lit *help = arg_lit0("h", "help", NULL);
	struct arg_lit *version = arg_lit0(NULL, "version", NULL);
	struct arg_str *operands = arg_strn(NULL, NULL, "WORD", 0, 4, NULL);
	struct arg_end *end = arg_end(8);
	void *table[] = {api,  token, ca,      file,	 id, json,
			 once, help,  version, operands, end};
	int errors = arg_parse(argc, argv, table);
	int result = EXIT_OK;

	*stop = true;
	if (help->count > 0) {
		fputs(usage, stdout);
	} else if (version->count > 0) {
		printf("jaspertrack %s\n", JT_VERSION);
	} else if (errors > 0 || operands->count == 0) {
		arg_print_errors(stderr, end, "jaspertrack");
		fputs(usage, stderr);
		result = EXIT_USAGE;
	} else {
		a->api = api->count ? api->sval[0] : getenv("JASPERTRACK_API");
		a->token = token->count ? token->sval[0]
					: getenv("JASPERTRACK_TOKEN");
		a->ca = ca->count ? ca->filename[0] : NULL;
		a->file = file->count ? file->filename[0] : NULL;
		a->id = id->count ? id->sval[0] : NULL;
		a->json = json->count > 0;
		a->once = once->count > 0;
		a->operand_count = operands->count;
		for (int i = 0; i < operands->count; i++)
			a->operands[i] = operands->sval[i];
		*stop = false;
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result;
}

/* Sends a request and waits for its response. Returns false if none came. */
static bool send_request(TALLOC_CTX *mem_ctx, const struct arguments *a,
			 const char *method, const char *path, const char *body,
			 struct response *response)
{
	struct tevent_context *loop = tevent_context_init(mem_ctx);
	struct jt_http_client *client = jt_http_client_create(mem_ctx, loop);
	struct jt_http_call request = {.method = method,
				       .body = body,
				       .token = a->token,
				       .ca = a->ca,
				       .timeout_ms = REQUEST_TIMEOUT_MS};
	struct tevent_req *req;

	request.url = talloc_asprintf(mem_ctx, "%s%s", a->api, path);
	request.request_id = a->id;
	req = jt_http_send(mem_ctx, client, &request);
	if (req == NULL || !tevent_req_poll(req, loop))
		return false;
	if (jt_http_recv(req, mem_ctx, &response->status, &response->body,
			 NULL))
		return false;
	response->json = json_loads(response->body, JSON_DECODE_ANY, NULL);
	return true;
}

static const char *json_text(const json_t *object, const char *field)
{
	const char *text = json_string_value(json_object_get(object, field));

	return text ? text : "";
}

/* Prints the resource, field and reason of an unsuccessful response. */
static int report_failure(const struct response *response)
{
	const char *resource = json_text(response->json, "resource");
	const char *field = json_text(response->json, "field");

	fprintf(stderr, "jaspertrack: %s%s%s%s%s (status %ld)\n", resource,
		resource[0] ? ": " : "", field, field[0] ? ": " : "",
		json_text(response->json, "error"), response->status);
	if (response->status == 202)
		fprintf(stderr,
			"jaspertrack: not decided yet: run 'outcome %s' "
			"later\n",
			json_text(response->json, "id"));
	return EXIT_FAILED;
}

static int run_request(const struct arguments *a, const char *method,
		       const char *path, const char *body,
		       void (*print)(const json_t *))
{
	TALLOC_CTX *frame = talloc_new(NULL);
	struct response response = {0};
	int result = EXIT_OK;

	if (!send_request(frame, a, method, path, body, &response)) {
		fprintf(stderr, "jaspertrack: no response from %s\n", a->api);
		result = EXIT_FAILED;
	} else if (response.status != 200) {
		result = report_failure(&response);
	} else if (a->json || print == NULL) {
		puts(response.body);
	} else {
		print(response.json);
	}
	json_decref(response.json);
	talloc_free(frame);
	return result;
}

static char *read_file(TALLOC_CTX *mem_ctx, const char *name)
{
	FILE *file = fopen(name, "r");
	char chunk[4096];
	char *text;
	size_t count;

	if (file == NULL) {
		fprintf(stderr, "jaspertrack: cannot read %s\n", name);
		return NULL;
	}
	text = talloc_strdup(mem_ctx, "");
	while ((count = fread(chunk, 1, sizeof(chunk), file)) > 0 &&
	       talloc_get_size(text) < FILE_SIZE_LIMIT)
		text = talloc_strndup_append_buffer(text, chunk, count);
	fclose(file);
	return text;
}

static void print_accepted(const json_t *response)
{
	printf("%s at revision %lld, id %s\n", json_text(response, "outcome"),
	       (long long)json_integer_value(
		       json_object_get(response, "revision")),
	       json_text(response, "id"));
}

static void print_plan(const json_t *response)
{
	const json_t *list = json_object_get(response, "plan");

	printf("%-24s %14s %10s %12s\n", "SERVICE", "BUCKETS MOVED", "DRAINING",
	       "FLOWS OPEN");
	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *row = json_array_get(list, i);

		printf("%-24s %14lld %10lld %12lld\n",
		       json_text(row, "service"),
		       (long long)json_integer_value(
			       json_object_get(row, "new_flow_buckets_moved")),
		       (long long)json_integer_value(
			       json_object_get(row, "endpoints_draining")),
		       (long long)json_integer_value(
			       json_object_get(row, "flows_open")));
	}
	puts("Established flows are not moved.");
}

static int run_apply(const struct arguments *a, bool plan)
{
	char *text;
	int result;

	if (a->file == NULL) {
		fprintf(stderr, "jaspertrack: -f FILE is required\n");
		return EXIT_USAGE;
	}
	text = read_file(NULL, a->file);
	if (text == NULL)
		return EXIT_USAGE;
	result = run_request(a, "POST",
			     plan ? "/v1/apply?dry_run=1" : "/v1/apply", text,
			     plan ? print_plan : print_accepted);
	talloc_free(text);
	return result;
}

static int run_get(const struct arguments *a)
{
	char path[256];

	if (a->operand_count < 2)
		snprintf(path, sizeof(path), "/v1/resources");
	else
		snprintf(path, sizeof(path), "/v1/%s%s%s", a->operands[1],
			 a->operand_count > 2 ? "/" : "",
			 a->operand_count > 2 ? a->operands[2] : "");
	return run_request(a, "GET", path, NULL, NULL);
}

static int run_delete(const struct arguments *a)
{
	char path[256];

	if (a->operand_count != 3) {
		fprintf(stderr, "jaspertrack: usage: delete KIND NAME\n");
		return EXIT_USAGE;
	}
	snprintf(path, sizeof(path), "/v1/%s/%s", a->operands[1],
		 a->operands[2]);
	return run_request(a, "DELETE", path, NULL, print_accepted);
}

static int run_watch(const struct arguments *a)
{
	long long after = 0;

	for (;;) {
		TALLOC_CTX *frame = talloc_new(NULL);
		struct response response = {0};
		char path[64];
		long long revision;

		snprintf(path, sizeof(path), "/v1/watch?after=%lld", after);
		if (!send_request(frame, a, "GET", path, NULL, &response)) {
			fprintf(stderr, "jaspertrack: no response from %s\n",
				a->api);
			talloc_free(frame);
			return EXIT_FAILED;
		}
		if (response.status != 200) {
			report_failure(&response);
			json_decref(response.json);
			talloc_free(frame);
			return EXIT_FAILED;
		}
		revision = json_integer_value(
			json_object_get(response.json, "revision"));
		if (revision > after) {
			puts(response.body);
			fflush(stdout);
		}
		after = revision;
		json_decref(response.json);
		talloc_free(frame);
		if (a->once)
			return EXIT_OK;
	}
}

static long long json_number(const json_t *object, const char *field)
{
	return json_integer_value(json_object_get(object, field));
}

static const char *yes_no(const json_t *object, const char *field)
{
	return json_is_true(json_object_get(object, field)) ? "yes" : "no";
}

static void print_status(const json_t *s)
{
	const json_t *list = json_object_get(s, "members");

	printf("node %s, zone %s: ready %s, leaving %s, coordinator %s\n",
	       json_text(s, "node"), json_text(s, "zone"), yes_no(s, "ready"),
	       yes_no(s, "leaving"), yes_no(s, "coordinator"));
	printf("epoch %lld, %zu members, store reachable %s, %lld flow "
	       "records\n",
	       json_number(s, "epoch"), json_array_size(list),
	       yes_no(s, "store_up"), json_number(s, "flow_records"));
	printf("configuration revision: known %lld, active here %lld, "
	       "on every node %lld\n",
	       json_number(s, "revision_known"),
	       json_number(s, "revision_in_force"),
	       json_number(s, "revision_in_force_everywhere"));
	printf("\n%-24s %-10s %8s %8s\n", "ENDPOINT", "STATE", "OPEN",
	       "CAPACITY");
	list = json_object_get(s, "endpoints");
	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *e = json_array_get(list, i);

		printf("%-24s %-10s %8lld %8lld\n", json_text(e, "name"),
		       json_text(e, "state"), json_number(e, "open"),
		       json_number(e, "capacity"));
	}
	printf("\n%-24s %-20s %8s %8s\n", "SERVICE", "GROUP", "WEIGHT", "OPEN");
	list = json_object_get(s, "shares");
	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *e = json_array_get(list, i);

		printf("%-24s %-20s %8lld %8lld\n", json_text(e, "service"),
		       json_text(e, "group"), json_number(e, "weight"),
		       json_number(e, "open"));
	}
}

static void print_explanation(const json_t *e)
{
	if (json_object_get(e, "reason") != NULL) {
		printf("no endpoint: %s\n", json_text(e, "reason"));
		return;
	}
	printf("endpoint %s of service %s, group %s (address %s)\n",
	       json_text(e, "endpoint"), json_text(e, "service"),
	       json_text(e, "group"), json_text(e, "address"));
	printf("bucket %lld, %s; %s\n", json_number(e, "bucket"),
	       json_is_true(json_object_get(e, "through_owner"))
		       ? "every packet is forwarded through the owner node"
		       : "any node sends packets directly to the endpoint",
	       json_is_true(json_object_get(e, "recorded"))
		       ? "selected by a flow record"
		       : "selected by this node's lookup table");
	printf("owner %s\n", json_text(e, "owner"));
}

static int run_explain(const struct arguments *a)
{
	char path[160];

	if (a->operand_count != 3) {
		fprintf(stderr, "jaspertrack: usage: explain SRC DST\n");
		return EXIT_USAGE;
	}
	snprintf(path, sizeof(path), "/v1/explain?source=%s&destination=%s",
		 a->operands[1], a->operands[2]);
	return run_request(a, "GET", path, NULL, print_explanation);
}

static int run_outcome(const struct arguments *a)
{
	char path[200];

	if (a->operand_count != 2) {
		fprintf(stderr, "jaspertrack: usage: outcome ID\n");
		return EXIT_USAGE;
	}
	snprintf(path, sizeof(path), "/v1/writes/%s", a->operands[1]);
	return run_request(a, "GET", path, NULL, print_accepted);
}

static int check_settings(const char *name)
{
	char *error = NULL;
	void *settings;

	if (jt_director_settings_selected(name))
		settings = jt_director_settings_load(NULL, name, &error);
	else
		settings = jt_settings_load(NULL, name, &error);
	if (settings == NULL) {
		fprintf(stderr, "%s\n", error);
		talloc_free(error);
		return EXIT_FAILED;
	}
	printf("%s: settings are valid\n", name);
	talloc_free(settings);
	return EXIT_OK;
}

static int check_resources(const char *name)
{
	struct jt_resource_error error;
	struct jt_config *config;
	json_error_t position;
	json_t *document;

	document = json_load_file(name, JSON_REJECT_DUPLICATES, &position);
	if (document == NULL) {
		fprintf(stderr, "%s:%d: %s\n", name, position.line,
			position.text);
		return EXIT_FAILED;
	}
	config = jt_resource_build(NULL, document, 0, &error);
	json_decref(document);
	if (config == NULL) {
		fprintf(stderr, "%s: %s: %s: %s\n", name, error.resource,
			error.field, error.reason);
		return EXIT_FAILED;
	}
	printf("%s: %zu groups, %zu services, %zu endpoints, %zu addresses, "
	       "%zu shares are valid\n",
	       name, config->group_count, config->service_count,
	       config->endpoint_count, config->address_count,
	       config->share_count);
	talloc_free(config);
	return EXIT_OK;
}

static int run_check(const struct arguments *a)
{
	const char *name = a->operand_count > 1 ? a->operands[1] : a->file;
	const char *dot = name ? strrchr(name, '.') : NULL;

	if (dot != NULL && strcmp(dot, ".cfg") == 0)
		return check_settings(name);
	if (dot != NULL && strcmp(dot, ".json") == 0)
		return check_resources(name);
	fprintf(stderr,
		"jaspertrack: usage: check FILE.cfg or check FILE.json\n");
	return EXIT_USAGE;
}

static int run_why(const struct arguments *a)
{
	if (a->operand_count == 3)
		return why_run(a->operands[1], a->operands[2]);
	fprintf(stderr, "jaspertrack: usage: why ID LOGS\n");
	return EXIT_USAGE;
}

static int run_command(const struct arguments *a)
{
	const char *command = a->operands[0];

	if (command == NULL)
		return EXIT_USAGE;
	if (strcmp(command, "check") == 0)
		return run_check(a);
	if (strcmp(command, "why") == 0)
		return run_why(a);
	if (a->api == NULL) {
		fprintf(stderr, "jaspertrack: --api URL is required\n");
		return EXIT_USAGE;
	}
	if (strcmp(command, "apply") == 0)
		return run_apply(a, false);
	if (strcmp(command, "plan") == 0)
		return run_apply(a, true);
	if (strcmp(command, "get") == 0)
		return run_get(a);
	if (strcmp(command, "delete") == 0)
		return run_delete(a);
	if (strcmp(command, "watch") == 0)
		return run_watch(a);
	if (strcmp(command, "status") == 0)
		return run_request(a, "GET", "/v1/status", NULL, print_status);
	if (strcmp(command, "explain") == 0)
		return run_explain(a);
	if (strcmp(command, "outcome") == 0)
		return run_outcome(a);
	fprintf(stderr, "jaspertrack: unknown command '%s'\n%s", command,
		usage);
	return EXIT_USAGE;
}

int main(int argc, char **argv)
{
	struct arguments arguments = {0};
	bool stop;
	int result = parse_arguments(argc, argv, &arguments, &stop);

	if (stop)
		return result;
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0)
		return EXIT_FAILED;
	result = run_command(&arguments);
	curl_global_cleanup();
	return result;
}
