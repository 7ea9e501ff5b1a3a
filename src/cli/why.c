#include "why.h"
#include "log_lines.h"

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
	int64_t first_ms;
	int64_t last_ms;
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

static bool event_is(const struct log_line *line, const char *event)
{
	size_t length = strlen(event);

	return strncmp(line->text, "event=", 6) == 0 &&
	       strncmp(line->text + 6, event, length) == 0 &&
	       (line->text[6 + length] == ' ' ||
		line->text[6 + length] == '\0');
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

		if ((request != NULL && strcmp(request, story->id) == 0) ||
		    flow_is(flow, story->id))
			names_add(&story->flows, flow);
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
		if (event_is(line, "flow"))
			story->decision = line;
	}
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
		if (event_is(line, events[i]))
			return true;
	}
	return false;
}

/* Whether a line about no flow helps to understand this one. */
static bool line_matters(const struct story *story, const struct log_line *line)
{
	char *endpoint = log_line_field(story->lines, line, "endpoint");
	char *flow = log_line_field(story->lines, line, "flow");

	if (names_have(&story->flows, flow))
		return true;
	if (flow != NULL)
		return false;
	if (line->time_ms < story->first_ms - AROUND_BEFORE_MS ||
	    line->time_ms > story->last_ms + AROUND_AFTER_MS)
		return false;
	if (endpoint != NULL)
		return names_have(&story->endpoints, endpoint);
	return node_event(line) &&
	       names_have(&story->nodes, log_line_node(line));
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
	{"not_started", "the node did not know routing or endpoints yet; the "
			"packet waited for that"},
};

/* The first @event of the last decision's endpoint from then on, or NULL. */
static const struct log_line *endpoint_event(const struct story *story,
					     const char *event)
{
	char *endpoint;

	if (story->decision == NULL)
		return NULL;
	endpoint = log_line_field(story->lines, story->decision, "endpoint");
	for (size_t i = 0; i < story->lines->count && endpoint != NULL; i++) {
		const struct log_line *line = &story->lines->items[i];
		char *of = log_line_field(story->lines, line, "endpoint");

		if (event_is(line, event) && of != NULL &&
		    strcmp(of, endpoint) == 0 &&
		    line->time_ms >= story->decision->time_ms)
			return line;
	}
	return NULL;
}

static void print_conclusion(const struct story *story)
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
	if (story->death != NULL)
		printf("then: its endpoint was found dead by %s (cause=%s); a "
		       "request that was running there ended with it.\n",
		       log_line_node(story->death),
		       log_line_field(story->lines, story->death, "cause"));
	if (story->failing != NULL)
		printf("then: %s found that its endpoint leaves requests "
		       "unanswered: it hangs, or resets its connections.\n",
		       log_line_node(story->failing));
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

static void print_story(const struct story *story)
{
	for (size_t i = 0; i < story->lines->count; i++) {
		if (line_matters(story, &story->lines->items[i]))
			print_line(&story->lines->items[i]);
	}
	print_ends(story);
	print_conclusion(story);
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
		fprintf(stderr,
			"jaspertrack: no line names '%s': left out "
			"(event=log_shortened tells), lost with its node, or "
			"it never reached one\n",
			id);
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
