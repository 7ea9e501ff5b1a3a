/* jaspertrack: the operator's command line. */
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

enum { EXIT_DONE = 0, EXIT_FAILED = 1, EXIT_USAGE = 2 };
enum { CALL_TIMEOUT_MS = 40000, FILE_LIMIT = 8 << 20 };

static const char usage[] =
	"Usage: jaspertrack COMMAND [OPTIONS]\n"
	"\n"
	"  apply -f FILE        make the resources of FILE so (JSON)\n"
	"  plan -f FILE         what apply would move; changes nothing\n"
	"  get KIND [NAME]      groups, services, endpoints, addresses, "
	"shares\n"
	"  delete KIND NAME     remove one resource\n"
	"  watch                print each configuration as it comes in force\n"
	"  status               the node and its cell\n"
	"  explain SRC DST      endpoint of the flow from SRC to DST "
	"(IP:PORT)\n"
	"  outcome ID           what became of a write without an answer\n"
	"  why ID LOGS          what became of a request or flow, from the "
	"logs\n"
	"  check FILE           settings (*.cfg) or resources (*.json)\n"
	"\n"
	"Options: --api URL    any node's API (or JASPERTRACK_API)\n"
	"         --token T    bearer token (or JASPERTRACK_TOKEN)\n"
	"         --ca FILE    authority of the API's certificate\n"
	"         --id ID      request id: the same id never runs twice\n"
	"         --json       print answers as they come\n"
	"         --once       watch: stop after one answer\n"
	"Exit: 0 done, 1 refused or failed, 2 bad usage or input.\n";

struct arguments {
	const char *api;
	const char *token;
	const char *ca;
	const char *file;
	const char *id;
	bool json;
	bool once;
	const char *words[4]; /* command and its operands */
	int word_count;
};

struct answer {
	long status;
	char *body;
	json_t *json;
};

/* Returns EXIT_DONE, or the exit code to stop with; *stop true then. */
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
	struct arg_str *words = arg_strn(NULL, NULL, "WORD", 0, 4, NULL);
	struct arg_end *end = arg_end(8);
	void *table[] = {api,  token, ca,      file,  id, json,
			 once, help,  version, words, end};
	int errors = arg_parse(argc, argv, table);
	int result = EXIT_DONE;

	*stop = true;
	if (help->count > 0) {
		fputs(usage, stdout);
	} else if (version->count > 0) {
		printf("jaspertrack %s\n", JT_VERSION);
	} else if (errors > 0 || words->count == 0) {
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
		a->word_count = words->count;
		for (int i = 0; i < words->count; i++)
			a->words[i] = words->sval[i];
		*stop = false;
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result;
}

/* One request, waited for. False when no answer came. */
static bool call(TALLOC_CTX *mem_ctx, const struct arguments *a,
		 const char *method, const char *path, const char *body,
		 struct answer *answer)
{
	struct tevent_context *loop = tevent_context_init(mem_ctx);
	struct jt_http_client *client = jt_http_client_create(mem_ctx, loop);
	struct jt_http_call request = {.method = method,
				       .body = body,
				       .token = a->token,
				       .ca = a->ca,
				       .timeout_ms = CALL_TIMEOUT_MS};
	struct tevent_req *req;

	request.url = talloc_asprintf(mem_ctx, "%s%s", a->api, path);
	request.request_id = a->id;
	req = jt_http_send(mem_ctx, client, &request);
	if (req == NULL || !tevent_req_poll(req, loop))
		return false;
	if (jt_http_recv(req, mem_ctx, &answer->status, &answer->body, NULL))
		return false;
	answer->json = json_loads(answer->body, JSON_DECODE_ANY, NULL);
	return true;
}

static const char *text_of(const json_t *object, const char *field)
{
	const char *text = json_string_value(json_object_get(object, field));

	return text ? text : "";
}

/* Print a refusal with resource, field and reason. */
static int report_failure(const struct answer *answer)
{
	const char *resource = text_of(answer->json, "resource");
	const char *field = text_of(answer->json, "field");

	fprintf(stderr, "jaspertrack: %s%s%s%s%s (status %ld)\n", resource,
		resource[0] ? ": " : "", field, field[0] ? ": " : "",
		text_of(answer->json, "error"), answer->status);
	if (answer->status == 202)
		fprintf(stderr, "jaspertrack: ask again: outcome %s\n",
			text_of(answer->json, "id"));
	return EXIT_FAILED;
}

static int run_call(const struct arguments *a, const char *method,
		    const char *path, const char *body,
		    void (*print)(const json_t *))
{
	TALLOC_CTX *frame = talloc_new(NULL);
	struct answer answer = {0};
	int result = EXIT_DONE;

	if (!call(frame, a, method, path, body, &answer)) {
		fprintf(stderr, "jaspertrack: %s does not answer\n", a->api);
		result = EXIT_FAILED;
	} else if (answer.status != 200) {
		result = report_failure(&answer);
	} else if (a->json || print == NULL) {
		puts(answer.body);
	} else {
		print(answer.json);
	}
	json_decref(answer.json);
	talloc_free(frame);
	return result;
}

static char *read_file(TALLOC_CTX *mem_ctx, const char *name)
{
	FILE *file = fopen(name, "r");
	char part[4096];
	char *text;
	size_t count;

	if (file == NULL) {
		fprintf(stderr, "jaspertrack: %s can't be read\n", name);
		return NULL;
	}
	text = talloc_strdup(mem_ctx, "");
	while ((count = fread(part, 1, sizeof(part), file)) > 0 &&
	       talloc_get_size(text) < FILE_LIMIT)
		text = talloc_strndup_append_buffer(text, part, count);
	fclose(file);
	return text;
}

static void print_accepted(const json_t *answer)
{
	printf("%s at revision %lld, id %s\n", text_of(answer, "outcome"),
	       (long long)json_integer_value(
		       json_object_get(answer, "revision")),
	       text_of(answer, "id"));
}

static void print_plan(const json_t *answer)
{
	const json_t *list = json_object_get(answer, "plan");

	printf("%-24s %14s %10s %12s\n", "SERVICE", "BUCKETS MOVED", "DRAINING",
	       "FLOWS OPEN");
	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *row = json_array_get(list, i);

		printf("%-24s %14lld %10lld %12lld\n", text_of(row, "service"),
		       (long long)json_integer_value(
			       json_object_get(row, "new_flow_buckets_moved")),
		       (long long)json_integer_value(
			       json_object_get(row, "endpoints_draining")),
		       (long long)json_integer_value(
			       json_object_get(row, "flows_open")));
	}
	puts("No established flow is moved by any change.");
}

static int run_apply(const struct arguments *a, bool plan)
{
	char *text;
	int result;

	if (a->file == NULL) {
		fprintf(stderr, "jaspertrack: -f FILE is needed\n");
		return EXIT_USAGE;
	}
	text = read_file(NULL, a->file);
	if (text == NULL)
		return EXIT_USAGE;
	result = run_call(a, "POST", plan ? "/v1/apply?dry_run=1" : "/v1/apply",
			  text, plan ? print_plan : print_accepted);
	talloc_free(text);
	return result;
}

static int run_get(const struct arguments *a)
{
	char path[256];

	if (a->word_count < 2)
		snprintf(path, sizeof(path), "/v1/resources");
	else
		snprintf(path, sizeof(path), "/v1/%s%s%s", a->words[1],
			 a->word_count > 2 ? "/" : "",
			 a->word_count > 2 ? a->words[2] : "");
	return run_call(a, "GET", path, NULL, NULL);
}

static int run_delete(const struct arguments *a)
{
	char path[256];

	if (a->word_count != 3) {
		fprintf(stderr, "jaspertrack: delete KIND NAME\n");
		return EXIT_USAGE;
	}
	snprintf(path, sizeof(path), "/v1/%s/%s", a->words[1], a->words[2]);
	return run_call(a, "DELETE", path, NULL, print_accepted);
}

static int run_watch(const struct arguments *a)
{
	long long after = 0;

	for (;;) {
		TALLOC_CTX *frame = talloc_new(NULL);
		struct answer answer = {0};
		char path[64];
		long long revision;

		snprintf(path, sizeof(path), "/v1/watch?after=%lld", after);
		if (!call(frame, a, "GET", path, NULL, &answer)) {
			fprintf(stderr, "jaspertrack: %s does not answer\n",
				a->api);
			talloc_free(frame);
			return EXIT_FAILED;
		}
		if (answer.status != 200) {
			report_failure(&answer);
			json_decref(answer.json);
			talloc_free(frame);
			return EXIT_FAILED;
		}
		revision = json_integer_value(
			json_object_get(answer.json, "revision"));
		if (revision > after) {
			puts(answer.body);
			fflush(stdout);
		}
		after = revision;
		json_decref(answer.json);
		talloc_free(frame);
		if (a->once)
			return EXIT_DONE;
	}
}

static long long number_of(const json_t *object, const char *field)
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
	       text_of(s, "node"), text_of(s, "zone"), yes_no(s, "ready"),
	       yes_no(s, "leaving"), yes_no(s, "coordinator"));
	printf("epoch %lld, %zu members, store up %s, %lld flow records\n",
	       number_of(s, "epoch"), json_array_size(list),
	       yes_no(s, "store_up"), number_of(s, "flow_records"));
	printf("configuration: known %lld, in force here %lld, on every "
	       "node %lld\n",
	       number_of(s, "revision_known"),
	       number_of(s, "revision_in_force"),
	       number_of(s, "revision_in_force_everywhere"));
	printf("\n%-24s %-10s %8s %8s\n", "ENDPOINT", "STATE", "OPEN", "OF");
	list = json_object_get(s, "endpoints");
	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *e = json_array_get(list, i);

		printf("%-24s %-10s %8lld %8lld\n", text_of(e, "name"),
		       text_of(e, "state"), number_of(e, "open"),
		       number_of(e, "capacity"));
	}
	printf("\n%-24s %-20s %8s %8s\n", "SERVICE", "GROUP", "WEIGHT", "OPEN");
	list = json_object_get(s, "shares");
	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *e = json_array_get(list, i);

		printf("%-24s %-20s %8lld %8lld\n", text_of(e, "service"),
		       text_of(e, "group"), number_of(e, "weight"),
		       number_of(e, "open"));
	}
}

static void print_explanation(const json_t *e)
{
	if (json_object_get(e, "reason") != NULL) {
		printf("no endpoint: %s\n", text_of(e, "reason"));
		return;
	}
	printf("endpoint %s of service %s, group %s (address %s)\n",
	       text_of(e, "endpoint"), text_of(e, "service"),
	       text_of(e, "group"), text_of(e, "address"));
	printf("bucket %lld, %s; %s\n", number_of(e, "bucket"),
	       json_is_true(json_object_get(e, "through_owner"))
		       ? "every packet passes through its owner"
		       : "packets go straight out from any node",
	       json_is_true(json_object_get(e, "recorded"))
		       ? "by a flow record"
		       : "by the table of this node");
	printf("owner %s\n", text_of(e, "owner"));
}

static int run_explain(const struct arguments *a)
{
	char path[160];

	if (a->word_count != 3) {
		fprintf(stderr, "jaspertrack: explain SOURCE DESTINATION\n");
		return EXIT_USAGE;
	}
	snprintf(path, sizeof(path), "/v1/explain?source=%s&destination=%s",
		 a->words[1], a->words[2]);
	return run_call(a, "GET", path, NULL, print_explanation);
}

static int run_outcome(const struct arguments *a)
{
	char path[200];

	if (a->word_count != 2) {
		fprintf(stderr, "jaspertrack: outcome ID\n");
		return EXIT_USAGE;
	}
	snprintf(path, sizeof(path), "/v1/writes/%s", a->words[1]);
	return run_call(a, "GET", path, NULL, print_accepted);
}

static int check_settings(const char *name)
{
	char *error = NULL;
	void *settings;

	if (jt_director_settings_wanted(name))
		settings = jt_director_settings_load(NULL, name, &error);
	else
		settings = jt_settings_load(NULL, name, &error);
	if (settings == NULL) {
		fprintf(stderr, "%s\n", error);
		talloc_free(error);
		return EXIT_FAILED;
	}
	printf("%s: settings are right\n", name);
	talloc_free(settings);
	return EXIT_DONE;
}

static int check_resources(const char *name)
{
	struct jt_resource_error error;
	struct jt_config *config;
	json_error_t where;
	json_t *document;

	document = json_load_file(name, JSON_REJECT_DUPLICATES, &where);
	if (document == NULL) {
		fprintf(stderr, "%s:%d: %s\n", name, where.line, where.text);
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
	       "%zu shares are right\n",
	       name, config->group_count, config->service_count,
	       config->endpoint_count, config->address_count,
	       config->share_count);
	talloc_free(config);
	return EXIT_DONE;
}

static int run_check(const struct arguments *a)
{
	const char *name = a->word_count > 1 ? a->words[1] : a->file;
	const char *dot = name ? strrchr(name, '.') : NULL;

	if (dot != NULL && strcmp(dot, ".cfg") == 0)
		return check_settings(name);
	if (dot != NULL && strcmp(dot, ".json") == 0)
		return check_resources(name);
	fprintf(stderr, "jaspertrack: check FILE.cfg or FILE.json\n");
	return EXIT_USAGE;
}

static int run_why(const struct arguments *a)
{
	if (a->word_count == 3)
		return why_run(a->words[1], a->words[2]);
	fprintf(stderr, "jaspertrack: why ID LOGS\n");
	return EXIT_USAGE;
}

static int run_command(const struct arguments *a)
{
	const char *command = a->words[0];

	if (command == NULL)
		return EXIT_USAGE;
	if (strcmp(command, "check") == 0)
		return run_check(a);
	if (strcmp(command, "why") == 0)
		return run_why(a);
	if (a->api == NULL) {
		fprintf(stderr, "jaspertrack: --api URL is needed\n");
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
		return run_call(a, "GET", "/v1/status", NULL, print_status);
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
