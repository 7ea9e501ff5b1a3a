#include "why.h"
#include "log_lines.h"
#include "why_load.h"

#include <dirent.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>

enum {
	EXIT_FOUND = 0,
	EXIT_NOT_FOUND = 1,
	EXIT_UNREADABLE = 2,
	NAME_LIMIT = 32,
	/* Time window around the request in which context lines are printed. */
	CONTEXT_BEFORE_MS = 3000,
	CONTEXT_AFTER_MS = 3000,
	/* Time window around the request in which failures of its endpoint are
	 * considered; clients wait a few seconds for a response. */
	FAILURE_BEFORE_MS = 10000,
	FAILURE_AFTER_MS = 6000,
	/* The load is compared with the load this long before the request. */
	BASELINE_BEFORE_MS = 5000,
};

/* A set of names; names beyond the limit are ignored. */
struct names {
	char *items[NAME_LIMIT];
	size_t count;
};

struct report {
	struct log_lines *lines;
	const char *id;
	struct names flows;
	struct names endpoints;
	struct names nodes;
	struct names printed_suspicions; /* as "ENDPOINT CAUSE" */
	unsigned omitted_suspicions;
	int64_t first_ms;
	int64_t last_ms;
	const struct log_line *request;	 /* NULL if @id is a flow or client */
	const struct log_line *decision; /* last one for any of the flows */
	const struct log_line *death;	 /* of its endpoint, or NULL */
	const struct log_line *failure; /* of its endpoint to answer, or NULL */
};

static bool names_contain(const struct names *names, const char *name)
{
	for (size_t i = 0; i < names->count; i++) {
		if (name != NULL && strcmp(names->items[i], name) == 0)
			return true;
	}
	return false;
}

static void names_add(struct names *names, char *name)
{
	if (name != NULL && !names_contain(names, name) &&
	    names->count < NAME_LIMIT)
		names->items[names->count++] = name;
}

static bool read_file(struct log_lines *lines, const char *path)
{
	FILE *file = fopen(path, "r");

	if (file == NULL)
		return false;
	log_lines_read(lines, file, path);
	fclose(file);
	return true;
}

static bool read_path(struct log_lines *lines, const char *path)
{
	struct dirent *entry;
	struct stat status;
	DIR *directory;

	if (stat(path, &status) != 0)
		return false;
	if (!S_ISDIR(status.st_mode))
		return read_file(lines, path);
	directory = opendir(path);
	if (directory == NULL)
		return false;
	while ((entry = readdir(directory)) != NULL) {
		char *name =
			talloc_asprintf(lines, "%s/%s", path, entry->d_name);

		if (entry->d_name[0] != '.')
			read_file(lines, name);
		talloc_free(name);
	}
	closedir(directory);
	return true;
}

/* Returns true if @flow is @id or a flow of client @id (IP or IP:PORT). */
static bool flow_matches(const char *flow, const char *id)
{
	size_t length = strlen(id);

	if (flow == NULL || strncmp(flow, id, length) != 0)
		return false;
	return flow[length] == '\0' || flow[length] == ':' ||
	       flow[length] == '>';
}

/* Collects the flows that carried the request, or that match the id. */
static void find_flows(struct report *report)
{
	for (size_t i = 0; i < report->lines->count; i++) {
		const struct log_line *line = &report->lines->items[i];
		char *flow = log_line_field(report->lines, line, "flow");
		char *request = log_line_field(report->lines, line, "request");

		if (request != NULL && strcmp(request, report->id) == 0) {
			names_add(&report->flows, flow);
			report->request = line;
		} else if (flow_matches(flow, report->id)) {
			names_add(&report->flows, flow);
		}
	}
}

/* Collects the endpoints and nodes of those flows and the time range. */
static void find_related(struct report *report)
{
	for (size_t i = 0; i < report->lines->count; i++) {
		const struct log_line *line = &report->lines->items[i];
		char *flow = log_line_field(report->lines, line, "flow");

		if (!names_contain(&report->flows, flow))
			continue;
		names_add(&report->endpoints,
			  log_line_field(report->lines, line, "endpoint"));
		names_add(&report->nodes, (char *)log_line_node_name(line));
		if (report->first_ms == 0)
			report->first_ms = line->time_ms;
		report->last_ms = line->time_ms;
		if (log_line_has_event(line, "flow"))
			report->decision = line;
	}
	/* A flow may have carried other requests long before or after. */
	if (report->request != NULL)
		report->first_ms = report->last_ms = report->request->time_ms;
}

/* Returns true if the event concerns a node, not an endpoint or flow. */
static bool is_node_event(const struct log_line *line)
{
	static const char *const events[] = {
		"started",
		"ready",
		"not_ready",
		"leaving",
		"left",
		"store_lost",
		"store_regained",
		"routing",
		"reloaded",
		"reload_rejected",
		"knowledge_learned",
		"peer_lost",
		"log_shortened",
		"entry_refused",
		"zone_drained",
		"zone_restored",
		"service_full",
		"service_free",
	};

	for (size_t i = 0; i < sizeof(events) / sizeof(events[0]); i++) {
		if (log_line_has_event(line, events[i]))
			return true;
	}
	return false;
}

/* Returns true if the line concerns one of the flows, or their endpoints or
 * nodes at that time. */
static bool line_is_relevant(const struct report *report,
			     const struct log_line *line)
{
	char *endpoint = log_line_field(report->lines, line, "endpoint");
	char *flow = log_line_field(report->lines, line, "flow");

	if (names_contain(&report->flows, flow) &&
	    !log_line_has_event(line, "request"))
		return true;
	if (flow != NULL && !names_contain(&report->flows, flow))
		return false;
	if (line->time_ms < report->first_ms - CONTEXT_BEFORE_MS ||
	    line->time_ms > report->last_ms + CONTEXT_AFTER_MS)
		return false;
	if (endpoint != NULL)
		return names_contain(&report->endpoints, endpoint);
	return is_node_event(line) &&
	       names_contain(&report->nodes, log_line_node_name(line));
}

/* Every node that receives a suspicion logs it; only the first is printed. */
static bool suspicion_is_repeated(struct report *report,
				  const struct log_line *line)
{
	char *name;

	if (!log_line_has_event(line, "peer_suspects"))
		return false;
	name = talloc_asprintf(report->lines, "%s %s",
			       log_line_field(report->lines, line, "endpoint"),
			       log_line_field(report->lines, line, "cause"));
	if (!names_contain(&report->printed_suspicions, name)) {
		names_add(&report->printed_suspicions, name);
		return false;
	}
	report->omitted_suspicions++;
	return true;
}

static void print_line(const struct log_line *line)
{
	time_t seconds = line->time_ms / 1000;
	struct tm parts;
	char stamp[16];

	gmtime_r(&seconds, &parts);
	strftime(stamp, sizeof(stamp), "%H:%M:%S", &parts);
	printf("%s.%03d %-24s %s\n", stamp, (int)(line->time_ms % 1000),
	       log_line_node_name(line), line->text);
}

struct explanation {
	const char *reason;
	const char *text;
};

static const struct explanation explanations[] = {
	{"placed",
	 "the flow was assigned to the endpoint and no node refused it "
	 "afterwards. Check the endpoint, and whether the flow's node "
	 "stopped (it has no later lines)"},
	{"placed_again", "its first endpoint died before the flow was "
			 "established; it was assigned to another one"},
	{"remembered", "the client retransmitted its first packet: the "
		       "endpoint did not answer, or the answer was lost"},
	{"no_route",
	 "no route had this address in the logged routing version: "
	 "the route was removed, the address is wrong, or this "
	 "node received the configuration late (see event=routing)"},
	{"no_endpoint",
	 "no endpoint of the route's services was eligible "
	 "(draining, expired, dead or full): see endpoint_state"},
	{"route_changed",
	 "its first packet got no answer, and when the client sent it again "
	 "the route had another service: the client was told to try anew"},
	{"no_zone", "the zones of all eligible endpoints are drained by "
		    "operators: see zone_drained"},
	{"learning", "endpoints were still registering again after a store "
		     "outage, and the known ones had reached their limit of "
		     "new flows: the packet was held, or its client gave up"},
	{"cold", "every eligible endpoint is cold and has reached its slow "
		 "start limit, or this node has just started"},
	{"overloaded",
	 "its service had no room for another flow of the route's priority: "
	 "in_flight of at most limit requests were open through this node, "
	 "and responses took delay_ms where allowed_ms is acceptable; no part "
	 "of the request was executed (see service_full)"},
	{"endpoint_dead", "the flow's endpoint was declared dead, so the flow "
			  "was reset: see endpoint_dead for the cause"},
	{"unknown_label",
	 "the flow's label matches no known endpoint: the node "
	 "started after the endpoint left discovery"},
	{"no_label", "a packet of a flow that was never established"},
	{"forged", "a packet of a kind that only endpoints may send"},
	{"no_capacity", "every eligible endpoint has reached its service's "
			"connection limit"},
	{"peers_asked", "this node received a retransmitted first packet of an "
			"unknown flow: it held the packet while it asked its "
			"peers for the flow's endpoint (see flow_told)"},
	{"not_started", "the node had not loaded routing or endpoints yet; the "
			"packet was held until then"},
};

/* Returns true if a failure of the endpoint at @at_ms can have affected the
 * request or flow. */
static bool time_is_relevant(const struct report *report, int64_t at_ms)
{
	if (report->request == NULL)
		return at_ms >= report->decision->time_ms;
	return at_ms >= report->request->time_ms - FAILURE_BEFORE_MS &&
	       at_ms <= report->request->time_ms + FAILURE_AFTER_MS;
}

/* Returns the first relevant @event of the endpoint last assigned, or NULL. */
static const struct log_line *endpoint_event(const struct report *report,
					     const char *event)
{
	const struct log_line *subject =
		report->decision != NULL ? report->decision : report->request;
	char *endpoint;

	if (subject == NULL)
		return NULL;
	endpoint = log_line_field(report->lines, subject, "endpoint");
	for (size_t i = 0; i < report->lines->count && endpoint != NULL; i++) {
		const struct log_line *line = &report->lines->items[i];
		char *line_endpoint =
			log_line_field(report->lines, line, "endpoint");

		if (log_line_has_event(line, event) && line_endpoint != NULL &&
		    strcmp(line_endpoint, endpoint) == 0 &&
		    time_is_relevant(report, line->time_ms))
			return line;
	}
	return NULL;
}

/* Returns the line's time relative to the request, "" if there is none. */
static const char *relative_time(const struct report *report,
				 const struct log_line *line)
{
	int64_t after_ms;

	if (report->request == NULL)
		return "";
	after_ms = line->time_ms - report->request->time_ms;
	return talloc_asprintf(report->lines, " %lld ms %s the request arrived",
			       (long long)llabs(after_ms),
			       after_ms < 0 ? "before" : "after");
}

static void print_load_counts(struct why_load load)
{
	printf("%u at its endpoint, %u at the service (%.1f for each of %u "
	       "endpoints)",
	       load.endpoint_requests, load.service_requests,
	       load.endpoint_count > 0
		       ? (double)load.service_requests / load.endpoint_count
		       : 0.0,
	       load.endpoint_count);
}

/* Prints the load of the endpoint and its service, and an earlier value. */
static void print_load(const struct report *report)
{
	int64_t at_ms = report->request->time_ms;
	struct why_load now =
		why_load_before(report->lines, report->request, at_ms);
	struct why_load baseline = why_load_before(
		report->lines, report->request, at_ms - BASELINE_BEFORE_MS);

	printf("load: requests in the second before it: ");
	print_load_counts(now);
	printf("; in the second %d s earlier: ", BASELINE_BEFORE_MS / 1000);
	print_load_counts(baseline);
	printf(".\n");
	if (now.lines_omitted)
		printf("load: nodes left lines out in that second "
		       "(event=log_shortened): the real load was higher.\n");
}

/* Prints whether the endpoint had failed, and its load; nodes do not see
 * responses. */
static void print_request(const struct report *report)
{
	if (report->death == NULL && report->failure == NULL)
		printf("then: no node found its endpoint dead or silent: an "
		       "error, a 503 or a reset that the client received is "
		       "the endpoint's own (responses bypass the nodes).\n");
	print_load(report);
}

static void print_decision(const struct report *report)
{
	char *reason;

	if (report->decision == NULL) {
		printf("conclusion: only requests of this flow were logged; "
		       "no decision on it (omitted from the logs, or "
		       "earlier than these logs)\n");
		return;
	}
	reason = log_line_field(report->lines, report->decision, "reason");
	for (size_t i = 0; i < sizeof(explanations) / sizeof(explanations[0]);
	     i++) {
		if (reason != NULL &&
		    strcmp(explanations[i].reason, reason) == 0)
			printf("conclusion: %s: %s.\n", reason,
			       explanations[i].text);
	}
}

static void print_conclusion(const struct report *report)
{
	print_decision(report);
	if (report->death != NULL)
		printf("then: its endpoint was declared dead by %s "
		       "(cause=%s)%s; a request running there was lost.\n",
		       log_line_node_name(report->death),
		       log_line_field(report->lines, report->death, "cause"),
		       relative_time(report, report->death));
	if (report->failure != NULL)
		printf("then: %s found that its endpoint leaves requests "
		       "unanswered%s: it hangs, is full, or resets its "
		       "connections.\n",
		       log_line_node_name(report->failure),
		       relative_time(report, report->failure));
	if (report->request != NULL &&
	    log_line_has_event(report->request, "request"))
		print_request(report);
}

/* Prints the involved processes whose log ends shortly after the flow. */
static void print_log_ends(const struct report *report)
{
	for (size_t p = 0; p < report->lines->process_count; p++) {
		const struct log_line *last = NULL;

		for (size_t i = 0; i < report->lines->count; i++) {
			if (report->lines->items[i].process ==
			    report->lines->processes[p])
				last = &report->lines->items[i];
		}
		if (last != NULL && last->time_ms >= report->first_ms &&
		    last->time_ms <= report->last_ms + CONTEXT_AFTER_MS &&
		    names_contain(&report->nodes, log_line_node_name(last)))
			printf("%s (%s) logged nothing more: it stopped, "
			       "or its log ends here\n",
			       log_line_node_name(last), last->process->key);
	}
}

static void print_report(struct report *report)
{
	for (size_t i = 0; i < report->lines->count; i++) {
		const struct log_line *line = &report->lines->items[i];

		if (line_is_relevant(report, line) &&
		    !suspicion_is_repeated(report, line))
			print_line(line);
	}
	if (report->omitted_suspicions > 0)
		printf("(%u more lines of event=peer_suspects omitted)\n",
		       report->omitted_suspicions);
	print_log_ends(report);
	print_conclusion(report);
}

/* Returns the number of lines that the nodes omitted from their logs. */
static unsigned long long count_omitted_lines(struct log_lines *lines)
{
	static const char *const fields[] = {"ordinary", "unusual", "lost"};
	unsigned long long sum = 0;

	for (size_t p = 0; p < lines->process_count; p++) {
		const struct log_line *last = NULL;

		for (size_t i = 0; i < lines->count; i++) {
			if (lines->items[i].process == lines->processes[p] &&
			    log_line_has_event(&lines->items[i],
					       "log_shortened"))
				last = &lines->items[i];
		}
		for (size_t f = 0; last != NULL && f < 3; f++) {
			char *text = log_line_field(lines, last, fields[f]);

			sum += text != NULL ? strtoull(text, NULL, 10) : 0;
		}
	}
	return sum;
}

static void print_not_found(const struct report *report)
{
	unsigned long long omitted = count_omitted_lines(report->lines);

	fprintf(stderr,
		"jaspertrack: no line names '%s': its lines were omitted "
		"(see event=log_shortened) or lost with their node, or "
		"it never reached a node\n",
		report->id);
	if (omitted > 0)
		fprintf(stderr,
			"jaspertrack: nodes left %llu lines out: ask by the "
			"caller's address (IP or IP:PORT)\n",
			omitted);
}

int why_run(const char *id, const char *path)
{
	struct report report = {.id = id, .lines = log_lines_create(NULL)};
	int result = EXIT_FOUND;

	if (!read_path(report.lines, path)) {
		fprintf(stderr, "jaspertrack: cannot read %s\n", path);
		result = EXIT_UNREADABLE;
		goto out;
	}
	log_lines_sort(report.lines);
	find_flows(&report);
	if (report.flows.count == 0) {
		print_not_found(&report);
		result = EXIT_NOT_FOUND;
		goto out;
	}
	find_related(&report);
	report.death = endpoint_event(&report, "endpoint_dead");
	report.failure = endpoint_event(&report, "endpoint_failing");
	print_report(&report);
out:
	talloc_free(report.lines);
	return result;
}
