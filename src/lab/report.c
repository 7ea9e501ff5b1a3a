/*
 * jaspertrack-lab report: writes the timeline of a run as one self-contained
 * HTML file with SVG plots.
 */
#include "lab.h"

#include <argtable2.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

enum {
	SERIES_LIMIT = 64,
	ROW_LIMIT = 20000,
	EVENT_LIMIT = 500,
	WIDTH = 1100,
	HEIGHT = 260,
	LEFT = 60,
	BOTTOM = 30,
	TOP = 50, /* space for event labels */
	COLOURS = 8,
	LABEL_ROWS = 4,
};

static const char *const colours[COLOURS] = {
	"#1f77b4", "#d62728", "#2ca02c", "#ff7f0e",
	"#9467bd", "#8c564b", "#17becf", "#7f7f7f",
};

struct series {
	char name[96];
	double *values; /* one per row */
};

struct event {
	double at_s;
	char label[96];
	bool violation;
};

struct timeline {
	double *at_s;
	size_t rows;
	struct series endpoints[SERIES_LIMIT];
	size_t endpoint_count;
	struct series shares[SERIES_LIMIT];
	size_t share_count;
	struct series broken, refused, control;
	struct event events[EVENT_LIMIT];
	size_t event_count;
};

static void series_init(struct timeline *t, struct series *series,
			const char *name)
{
	snprintf(series->name, sizeof(series->name), "%s", name);
	series->values = talloc_zero_array(t, double, ROW_LIMIT);
}

static void add_samples(struct timeline *t, const json_t *object,
			struct series *list, size_t *count)
{
	const char *name;
	json_t *value;

	json_object_foreach ((json_t *)object, name, value) {
		size_t i = 0;

		while (i < *count && strcmp(list[i].name, name) != 0)
			i++;
		if (i == SERIES_LIMIT)
			continue;
		if (i == *count) {
			series_init(t, &list[i], name);
			(*count)++;
		}
		list[i].values[t->rows] = json_number_value(value);
	}
}

static void add_event(struct timeline *t, const json_t *row)
{
	const char *event = json_string_value(json_object_get(row, "event"));
	const char *target = json_string_value(json_object_get(row, "target"));
	const char *violation =
		json_string_value(json_object_get(row, "violation"));
	struct event *event_slot = &t->events[t->event_count];

	if (t->event_count == EVENT_LIMIT)
		return;
	event_slot->at_s = json_number_value(json_object_get(row, "at_s"));
	event_slot->violation = violation != NULL;
	if (violation != NULL)
		snprintf(event_slot->label, sizeof(event_slot->label), "%s",
			 violation);
	else
		snprintf(event_slot->label, sizeof(event_slot->label), "%s %s",
			 event ? event : "", target ? target : "");
	t->event_count++;
}

static void add_row(struct timeline *t, const json_t *row)
{
	if (json_object_get(row, "endpoints") == NULL) {
		add_event(t, row);
		return;
	}
	if (t->rows == ROW_LIMIT)
		return;
	t->at_s[t->rows] = json_number_value(json_object_get(row, "at_s"));
	add_samples(t, json_object_get(row, "endpoints"), t->endpoints,
		    &t->endpoint_count);
	add_samples(t, json_object_get(row, "shares"), t->shares,
		    &t->share_count);
	t->broken.values[t->rows] =
		json_number_value(json_object_get(row, "broken"));
	t->refused.values[t->rows] =
		json_number_value(json_object_get(row, "refused"));
	t->control.values[t->rows] =
		json_number_value(json_object_get(row, "control_bytes"));
	t->rows++;
}

static double x_position(const struct timeline *t, double at_s)
{
	double span = t->at_s[t->rows - 1] - t->at_s[0];

	return LEFT + (at_s - t->at_s[0]) / (span > 0 ? span : 1) *
			      (WIDTH - LEFT - 10);
}

static double y_position(double part)
{
	return TOP + (HEIGHT - BOTTOM - TOP) * (1 - part);
}

/* Prints event lines with tooltips; labels only if @labels is set. */
static void print_events(FILE *out, const struct timeline *t, bool labels)
{
	for (size_t i = 0; i < t->event_count; i++) {
		const struct event *event = &t->events[i];
		double x = x_position(t, event->at_s);

		fprintf(out,
			"<line x1='%.1f' x2='%.1f' y1='0' y2='%d' "
			"stroke='%s' stroke-dasharray='3 3'>"
			"<title>%.1f s: %s</title></line>\n",
			x, x, HEIGHT - BOTTOM,
			event->violation ? "#d62728" : "#bbb", event->at_s,
			event->label);
		if (labels && !event->violation)
			fprintf(out,
				"<text x='%.1f' y='%d' class='e'>%s</text>\n",
				x + 2, 10 + (int)(i % LABEL_ROWS) * 11,
				event->label);
	}
}

static void print_axes(FILE *out, const struct timeline *t, double max)
{
	for (int i = 0; i <= 4; i++) {
		double y = y_position(i / 4.0);

		fprintf(out,
			"<line x1='%d' x2='%d' y1='%.1f' y2='%.1f' "
			"stroke='#eee'/><text x='2' y='%.1f'>%.4g</text>\n",
			LEFT, WIDTH - 10, y, y, y + 4, max * i / 4);
	}
	for (int i = 0; i <= 10; i++) {
		double at = t->at_s[0] +
			    (t->at_s[t->rows - 1] - t->at_s[0]) * i / 10;

		fprintf(out, "<text x='%.1f' y='%d'>%.0f s</text>\n",
			x_position(t, at), HEIGHT - 8, at);
	}
}

static void print_plot(FILE *out, const struct timeline *t, const char *title,
		       const char *unit, const struct series *list,
		       size_t count, bool labels)
{
	double max = 1;

	for (size_t s = 0; s < count; s++) {
		for (size_t r = 0; r < t->rows; r++) {
			if (list[s].values[r] > max)
				max = list[s].values[r];
		}
	}
	fprintf(out,
		"<h2>%s</h2><p class='u'>%s</p>\n<svg viewBox='0 0 %d %d'>\n",
		title, unit, WIDTH, HEIGHT);
	print_axes(out, t, max);
	print_events(out, t, labels);
	for (size_t s = 0; s < count; s++) {
		fprintf(out, "<polyline fill='none' stroke='%s' points='",
			colours[s % COLOURS]);
		for (size_t r = 0; r < t->rows; r++)
			fprintf(out, "%.1f,%.1f ", x_position(t, t->at_s[r]),
				y_position(list[s].values[r] / max));
		fprintf(out, "'><title>%s</title></polyline>\n", list[s].name);
	}
	fputs("</svg><p>", out);
	for (size_t s = 0; s < count; s++)
		fprintf(out, "<span style='color:%s'>&#9632; %s</span> ",
			colours[s % COLOURS], list[s].name);
	fputs("</p>\n", out);
}

/*
 * Prints a plot of occupancy for each service. The service of an endpoint is
 * its name up to the last dash.
 */
static void print_services(FILE *out, const struct timeline *t)
{
	bool done[SERIES_LIMIT] = {false};

	for (size_t i = 0; i < t->endpoint_count; i++) {
		struct series list[SERIES_LIMIT];
		const char *dash = strrchr(t->endpoints[i].name, '-');
		size_t length = dash ? (size_t)(dash - t->endpoints[i].name)
				     : strlen(t->endpoints[i].name);
		char title[160];
		size_t count = 0;

		if (done[i])
			continue;
		for (size_t k = i; k < t->endpoint_count; k++) {
			const char *name = t->endpoints[k].name;

			if (strncmp(name, t->endpoints[i].name, length) != 0 ||
			    strrchr(name, '-') != name + length)
				continue;
			done[k] = true;
			list[count++] = t->endpoints[k];
		}
		snprintf(title, sizeof(title), "Occupancy of %.*s", (int)length,
			 t->endpoints[i].name);
		print_plot(out, t, title,
			   "open connections or slots in use, by endpoint",
			   list, count, i == 0);
	}
}

/* Replaces the running total of control bytes by the increase per row. */
static void convert_to_rate(struct timeline *t)
{
	double last = 0;

	for (size_t r = 0; r < t->rows; r++) {
		double now = t->control.values[r];

		t->control.values[r] = r ? now - last : 0;
		last = now;
	}
}

static void print_report(FILE *out, struct timeline *t, const char *name)
{
	fprintf(out,
		"<!DOCTYPE html><html lang='en'><meta charset='utf-8'>"
		"<title>%s</title><style>body{font:14px sans-serif;"
		"max-width:1140px;margin:20px auto}svg{width:100%%}"
		"text{font-size:11px;fill:#555}.e{font-size:9px;fill:#999}"
		".u{color:#777;margin:0}span{margin-right:8px;"
		"white-space:nowrap}</style><h1>%s</h1>\n"
		"<p>%zu seconds, %zu events. Dashed lines are events; red "
		"lines are violated properties. Hover over a line to see "
		"its name.</p>\n",
		name, name, t->rows, t->event_count);
	convert_to_rate(t);
	print_services(out, t);
	print_plot(out, t, "Open flows by group and service", "flows",
		   t->shares, t->share_count, false);
	print_plot(out, t, "Broken flows", "since the start", &t->broken, 1,
		   false);
	print_plot(out, t, "Refused flows", "since the start", &t->refused, 1,
		   false);
	print_plot(out, t, "Control bytes", "bytes per second, all nodes",
		   &t->control, 1, false);
	fputs("</html>\n", out);
}

static int report(const char *input, const char *output)
{
	struct timeline *t = talloc_zero(NULL, struct timeline);
	FILE *in = fopen(input, "r"), *out;
	int result = LAB_USAGE;
	json_error_t error;
	json_t *row;

	if (in == NULL) {
		perror(input);
		goto out;
	}
	t->at_s = talloc_zero_array(t, double, ROW_LIMIT);
	series_init(t, &t->broken, "broken");
	series_init(t, &t->refused, "refused");
	series_init(t, &t->control, "control bytes");
	while ((row = json_loadf(in, JSON_DISABLE_EOF_CHECK, &error))) {
		add_row(t, row);
		json_decref(row);
	}
	fclose(in);
	if (t->rows == 0) {
		fprintf(stderr, "report: %s has no timeline samples\n", input);
		goto out;
	}
	out = fopen(output, "w");
	if (out == NULL) {
		perror(output);
		goto out;
	}
	print_report(out, t, input);
	fclose(out);
	result = LAB_DONE;
out:
	talloc_free(t);
	return result;
}

int lab_report(int argc, char **argv)
{
	struct arg_file *timeline =
		arg_file0(NULL, NULL, "TIMELINE",
			  "timeline written by jaspertrack-lab run");
	struct arg_file *output =
		arg_file0("o", "output", "FILE", "HTML, default report.html");
	struct arg_lit *help = arg_lit0("h", "help", "this text");
	struct arg_end *end = arg_end(4);
	void *table[] = {timeline, output, help, end};
	int errors = arg_parse(argc, argv, table);
	int result = LAB_USAGE;

	if (help->count > 0) {
		result = lab_help("report", table);
	} else if (errors > 0 || timeline->count == 0) {
		fprintf(stderr, "report: TIMELINE is required\n");
	} else {
		result = report(timeline->filename[0],
				output->count ? output->filename[0]
					      : "report.html");
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result;
}
