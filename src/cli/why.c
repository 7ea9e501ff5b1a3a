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
	EXIT_TOLD = 0,
	EXIT_NOTHING = 1,
	EXIT_UNREADABLE = 2,
	NAMES = 32,
	/* What else happened is told from so long before to so long after. */
	AROUND_BEFORE_MS = 3000,
	AROUND_AFTER_MS = 3000,
	/* An endpoint's troubles bear on a request from so long before it to so
	 * long after: callers wait a few seconds. */
	TROUBLE_BEFORE_MS = 10000,
	TROUBLE_AFTER_MS = 6000,
	/* What was usual is looked up so long before the request. */
	USUAL_BEFORE_MS = 5000,
};

/* Names that the story is about. */
struct names {
	char *items[NAMES];
	size_t count;
};

struct story {
	struct log_lines *lines;
	const char *id;
	struct names flows;
	struct names endpoints;
	struct names nodes;
	struct names suspicions; /* that were printed, as "ENDPOINT CAUSE" */
	unsigned suspicions_left_out;
	int64_t first_ms;
	int64_t last_ms;
	const struct log_line *request;	 /* the one meant; NULL: a flow is */
	const struct log_line *decision; /* the last about one of the flows */
	const struct log_line *death;	 /* of their endpoint, after that */
	const struct log_line *failing;	 /* it left requests unanswered */
};

static bool names_have(const struct names *names, const char *name)
{
	for (size_t i = 0; i < names->count; i++) {
		if (name != NULL && strcmp(names->items[i], name) == 0)
			return true;
	}
	return false;
}

static void names_add(struct names *names, char *name)
{
	if (name != NULL && !names_have(names, name) && names->count < NAMES)
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
	DIR *folder;

	if (stat(path, &status) != 0)
		return false;
	if (!S_ISDIR(status.st_mode))
		return read_file(lines, path);
	folder = opendir(path);
	if (folder == NULL)
		return false;
	while ((entry = readdir(folder)) != NULL) {
		char *name =
			talloc_asprintf(lines, "%s/%s", path, entry->d_name);

		if (entry->d_name[0] != '.')
			read_file(lines, name);
		talloc_free(name);
	}
	closedir(folder);
	return true;
}

/* Whether the flow is the one meant, or one of the caller (IP, IP:PORT). */
static bool flow_is(const char *flow, const char *id)
{
	size_t length = strlen(id);

	if (flow == NULL || strncmp(flow, id, length) != 0)
		return false;
	return flow[length] == '\0' || flow[length] == ':' ||
	       flow[length] == '>';
}

/* The flows that carried the request, or that are meant themselves. */
static void find_flows(struct story *story)
{
	for (size_t i = 0; i < story->lines->count; i++) {
		const struct log_line *line = &story->lines->items[i];
		char *flow = log_line_field(story->lines, line, "flow");
		char *request = log_line_field(story->lines, line, "request");

		if (request != NULL && strcmp(request, story->id) == 0) {
			names_add(&story->flows, flow);
			story->request = line;
		} else if (flow_is(flow, story->id)) {
			names_add(&story->flows, flow);
		}
	}
}

/* The endpoints and nodes of those flows, and when that was. */
static void find_involved(struct story *story)
{
	for (size_t i = 0; i < story->lines->count; i++) {
		const struct log_line *line = &story->lines->items[i];
		char *flow = log_line_field(story->lines, line, "flow");

		if (!names_have(&story->flows, flow))
			continue;
		names_add(&story->endpoints,
			  log_line_field(story->lines, line, "endpoint"));
		names_add(&story->nodes, (char *)log_line_node(line));
		if (story->first_ms == 0)
			story->first_ms = line->time_ms;
		story->last_ms = line->time_ms;
		if (log_line_is(line, "flow"))
			story->decision = line;
	}
	/* A flow may carry other requests long before and after. */
	if (story->request != NULL)
		story->first_ms = story->last_ms = story->request->time_ms;
}

/* Events that tell of a node, not of an endpoint or flow. */
static bool node_event(const struct log_line *line)
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
		if (log_line_is(line, events[i]))
			return true;
	}
	return false;
}

/* Whether a line about no flow helps to understand this one. */
static bool line_matters(const struct story *story, const struct log_line *line)
{
	char *endpoint = log_line_field(story->lines, line, "endpoint");
	char *flow = log_line_field(story->lines, line, "flow");

	if (names_have(&story->flows, flow) && !log_line_is(line, "request"))
		return true;
	if (flow != NULL && !names_have(&story->flows, flow))
		return false;
	if (line->time_ms < story->first_ms - AROUND_BEFORE_MS ||
	    line->time_ms > story->last_ms + AROUND_AFTER_MS)
		return false;
	if (endpoint != NULL)
		return names_have(&story->endpoints, endpoint);
	return node_event(line) &&
	       names_have(&story->nodes, log_line_node(line));
}

/* Every node that hears of a suspicion says so: the first is enough. */
static bool suspicion_again(struct story *story, const struct log_line *line)
{
	char *name;

	if (!log_line_is(line, "peer_suspects"))
		return false;
	name = talloc_asprintf(story->lines, "%s %s",
			       log_line_field(story->lines, line, "endpoint"),
			       log_line_field(story->lines, line, "cause"));
	if (!names_have(&story->suspicions, name)) {
		names_add(&story->suspicions, name);
		return false;
	}
	story->suspicions_left_out++;
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
	       log_line_node(line), line->text);
}

struct explanation {
	const char *reason;
	const char *text;
};

static const struct explanation explanations[] = {
	{"placed",
	 "the flow was given to the endpoint; no node refused it "
	 "afterwards. Look at the endpoint, and at whether the flow's "
	 "node ended (no lines of it after that)"},
	{"placed_again", "its first endpoint had died before the flow opened; "
			 "it was given to another"},
	{"remembered", "the caller sent its first packet again: the endpoint "
		       "gave no answer, or the answer was lost"},
	{"no_route", "no route had this address in the routing version named: "
		     "a dropped route, a wrong address, or a configuration "
		     "that this node got late (compare event=routing)"},
	{"no_endpoint", "no endpoint of the route's services could take a flow "
			"(draining, lapsed, dead or full): see endpoint_state"},
	{"no_zone", "the zones of all endpoints that could take the flow are "
		    "drained by operators: see zone_drained"},
	{"learning", "endpoints were still coming back to the store after an "
		     "outage, the ones known had as many new flows as they "
		     "bear: the packet waited, or its caller gave up"},
	{"cold", "every endpoint that could take the flow is cold and has got "
		 "what it bears, or this node has just started"},
	{"overloaded",
	 "its service had no room for another flow of the route's priority: "
	 "in_flight of limit requests went through this node, and answers took "
	 "delay_ms where allowed_ms leaves callers in time; nothing of it has "
	 "run (see service_full)"},
	{"endpoint_dead", "the flow's endpoint was found dead, so the flow was "
			  "ended at once: see endpoint_dead for the proof"},
	{"unknown_label", "no endpoint was known by the flow's label: the node "
			  "started after the endpoint had left discovery"},
	{"no_label", "a packet of a flow that never opened"},
	{"forged", "a packet that only endpoints send"},
	{"no_capacity",
	 "every endpoint that could take the flow holds as many as "
	 "its service allows"},
	{"peers_asked", "a copy of the first packet came to this node, which "
			"saw none before: it waited while peers were asked "
			"whether one had placed the flow (see flow_told)"},
	{"not_started", "the node did not know routing or endpoints yet; the "
			"packet waited for that"},
};

/* Whether an endpoint's trouble then can bear on what is asked for. */
static bool trouble_bears(const struct story *story, int64_t at_ms)
{
	if (story->request == NULL)
		return at_ms >= story->decision->time_ms;
	return at_ms >= story->request->time_ms - TROUBLE_BEFORE_MS &&
	       at_ms <= story->request->time_ms + TROUBLE_AFTER_MS;
}

/* The first @event of the last decision's endpoint that bears on it, or NULL.
 */
static const struct log_line *endpoint_event(const struct story *story,
					     const char *event)
{
	const struct log_line *subject =
		story->decision != NULL ? story->decision : story->request;
	char *endpoint;

	if (subject == NULL)
		return NULL;
	endpoint = log_line_field(story->lines, subject, "endpoint");
	for (size_t i = 0; i < story->lines->count && endpoint != NULL; i++) {
		const struct log_line *line = &story->lines->items[i];
		char *of = log_line_field(story->lines, line, "endpoint");

		if (log_line_is(line, event) && of != NULL &&
		    strcmp(of, endpoint) == 0 &&
		    trouble_bears(story, line->time_ms))
			return line;
	}
	return NULL;
}

/* How long before or after the request that was, as far as one is meant. */
static const char *when_text(const struct story *story,
			     const struct log_line *line)
{
	int64_t after_ms;

	if (story->request == NULL)
		return "";
	after_ms = line->time_ms - story->request->time_ms;
	return talloc_asprintf(story->lines, " %lld ms %s the request came",
			       (long long)llabs(after_ms),
			       after_ms < 0 ? "before" : "after");
}

static void print_load_of(struct why_load load)
{
	printf("%u at its endpoint, %u at the service (%.1f for each of %u "
	       "endpoints)",
	       load.of_endpoint, load.of_service,
	       load.endpoints > 0 ? (double)load.of_service / load.endpoints
				  : 0.0,
	       load.endpoints);
}

/* What the endpoint and its service were asked, against what was usual. */
static void print_load(const struct story *story)
{
	int64_t at_ms = story->request->time_ms;
	struct why_load now =
		why_load_before(story->lines, story->request, at_ms);
	struct why_load usual = why_load_before(story->lines, story->request,
						at_ms - USUAL_BEFORE_MS);

	printf("load: requests of the second before it: ");
	print_load_of(now);
	printf("; of the second %d s earlier: ", USUAL_BEFORE_MS / 1000);
	print_load_of(usual);
	printf(".\n");
	if (now.shortened)
		printf("load: nodes left lines out in that second "
		       "(event=log_shortened): there were more.\n");
}

/* No node can see answers, which go past it: what is known of the request. */
static void print_request(const struct story *story)
{
	if (story->death == NULL && story->failing == NULL)
		printf("then: no node found its endpoint dead or silent: an "
		       "error, a 503 or a reset that the caller got is the "
		       "endpoint's own (answers go past the nodes).\n");
	print_load(story);
}

static void print_decision(const struct story *story)
{
	char *reason;

	if (story->decision == NULL) {
		printf("conclusion: only requests of this flow were logged; "
		       "no decision on it (left out, or before these logs)\n");
		return;
	}
	reason = log_line_field(story->lines, story->decision, "reason");
	for (size_t i = 0; i < sizeof(explanations) / sizeof(explanations[0]);
	     i++) {
		if (reason != NULL &&
		    strcmp(explanations[i].reason, reason) == 0)
			printf("conclusion: %s: %s.\n", reason,
			       explanations[i].text);
	}
}

static void print_conclusion(const struct story *story)
{
	print_decision(story);
	if (story->death != NULL)
		printf("then: its endpoint was found dead by %s (cause=%s)%s; "
		       "a request that was running there ended with it.\n",
		       log_line_node(story->death),
		       log_line_field(story->lines, story->death, "cause"),
		       when_text(story, story->death));
	if (story->failing != NULL)
		printf("then: %s found that its endpoint leaves requests "
		       "unanswered%s: it hangs, is full, or resets its "
		       "connections.\n",
		       log_line_node(story->failing),
		       when_text(story, story->failing));
	if (story->request != NULL && log_line_is(story->request, "request"))
		print_request(story);
}

/* Processes of the story that say nothing more soon after it. */
static void print_ends(const struct story *story)
{
	for (size_t p = 0; p < story->lines->process_count; p++) {
		const struct log_line *last = NULL;

		for (size_t i = 0; i < story->lines->count; i++) {
			if (story->lines->items[i].process ==
			    story->lines->processes[p])
				last = &story->lines->items[i];
		}
		if (last != NULL && last->time_ms >= story->first_ms &&
		    last->time_ms <= story->last_ms + AROUND_AFTER_MS &&
		    names_have(&story->nodes, log_line_node(last)))
			printf("%s (%s) says no more after that: it ended, "
			       "or these logs do\n",
			       log_line_node(last), last->process->key);
	}
}

static void print_story(struct story *story)
{
	for (size_t i = 0; i < story->lines->count; i++) {
		const struct log_line *line = &story->lines->items[i];

		if (line_matters(story, line) && !suspicion_again(story, line))
			print_line(line);
	}
	if (story->suspicions_left_out > 0)
		printf("(%u more lines of event=peer_suspects say the same)\n",
		       story->suspicions_left_out);
	print_ends(story);
	print_conclusion(story);
}

/* The lines that all nodes left out, by each process's last count. */
static unsigned long long lines_left_out(struct log_lines *lines)
{
	static const char *const fields[] = {"ordinary", "unusual", "lost"};
	unsigned long long sum = 0;

	for (size_t p = 0; p < lines->process_count; p++) {
		const struct log_line *last = NULL;

		for (size_t i = 0; i < lines->count; i++) {
			if (lines->items[i].process == lines->processes[p] &&
			    log_line_is(&lines->items[i], "log_shortened"))
				last = &lines->items[i];
		}
		for (size_t f = 0; last != NULL && f < 3; f++) {
			char *text = log_line_field(lines, last, fields[f]);

			sum += text != NULL ? strtoull(text, NULL, 10) : 0;
		}
	}
	return sum;
}

static void print_nothing(const struct story *story)
{
	unsigned long long left_out = lines_left_out(story->lines);

	fprintf(stderr,
		"jaspertrack: no line names '%s': left out "
		"(event=log_shortened tells), lost with its node, or "
		"it never reached one\n",
		story->id);
	if (left_out > 0)
		fprintf(stderr,
			"jaspertrack: nodes left %llu lines out: ask by the "
			"caller's address (IP or IP:PORT)\n",
			left_out);
}

int why_run(const char *id, const char *path)
{
	struct story story = {.id = id, .lines = log_lines_create(NULL)};
	int result = EXIT_TOLD;

	if (!read_path(story.lines, path)) {
		fprintf(stderr, "jaspertrack: %s: can't be read\n", path);
		result = EXIT_UNREADABLE;
		goto out;
	}
	log_lines_order(story.lines);
	find_flows(&story);
	if (story.flows.count == 0) {
		print_nothing(&story);
		result = EXIT_NOTHING;
		goto out;
	}
	find_involved(&story);
	story.death = endpoint_event(&story, "endpoint_dead");
	story.failing = endpoint_event(&story, "endpoint_failing");
	print_story(&story);
out:
	talloc_free(story.lines);
	return result;
}
