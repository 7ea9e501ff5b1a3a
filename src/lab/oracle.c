/*
 * The oracle: checks properties as observed by clients and endpoints, and
 * collects the metrics of a run.
 */
#include "world_private.h"

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <math.h>
#include <stdarg.h>
#include <string.h>

enum {
	WARM_UP_DIVISOR = 4, /* no imbalance samples in the first quarter */
	MIN_MEAN_FLOWS = 10, /* minimum mean of flows for an imbalance sample */
	CONFIG_LAG_LIMIT_MS = 6000,
};

void oracle_violation(struct world *world, const char *property,
		      const char *format, ...)
{
	char detail[256];
	va_list arguments;

	world->violation_count++;
	if (json_array_size(world->violations) >= VIOLATION_LIMIT)
		return;
	va_start(arguments, format);
	vsnprintf(detail, sizeof(detail), format, arguments);
	va_end(arguments);
	json_array_append_new(world->violations,
			      json_pack("{s:s,s:f,s:s}", "property", property,
					"at_s", world_time_s(world), "detail",
					detail));
	if (world->options.timeline != NULL)
		fprintf(world->options.timeline,
			"{\"at_s\":%.3f,\"violation\":\"%s\"}\n",
			world_time_s(world), property);
}

void samples_add(struct samples *samples, TALLOC_CTX *mem_ctx, double value)
{
	if (samples->count == samples->capacity) {
		samples->capacity =
			samples->capacity ? samples->capacity * 2 : 256;
		samples->values = talloc_realloc(mem_ctx, samples->values,
						 double, samples->capacity);
	}
	samples->values[samples->count++] = value;
}

static double quantile(struct samples *samples, double fraction)
{
	if (samples->count == 0)
		return 0;
	gsl_sort(samples->values, 1, samples->count);
	return gsl_stats_quantile_from_sorted_data(samples->values, 1,
						   samples->count, fraction);
}

static void sample_service(struct world *world, unsigned service)
{
	const struct scenario_service *s = &world->scenario->services[service];
	double sum = 0, max = 0, min = INFINITY;
	unsigned count = 0;

	for (size_t i = 0; i < world->endpoint_count; i++) {
		const struct endpoint *e = world->endpoints[i];
		double load = endpoint_load(world, e);

		if (e->service != service)
			continue;
		if (load > endpoint_capacity(world, e))
			world->metrics.overloaded_seconds += 1;
		if (!endpoint_accepts_flows(world, e))
			continue;
		count++;
		sum += load;
		max = fmax(max, load);
		min = fmin(min, load);
	}
	if (count < 2 ||
	    world_time_s(world) < world->scenario->duration_s / WARM_UP_DIVISOR)
		return;
	if (s->kind == JT_SERVICE_REQUEST) {
		world->metrics.slot_spread_max =
			fmax(world->metrics.slot_spread_max, max - min);
		return;
	}
	if (sum / count >= MIN_MEAN_FLOWS)
		samples_add(&world->metrics.imbalance, world,
			    max * count / sum);
}

static double service_capacity(const struct world *world, unsigned service)
{
	double capacity = 0;

	for (size_t i = 0; i < world->endpoint_count; i++) {
		const struct endpoint *e = world->endpoints[i];

		if (e->service == service && e->alive && e->configured &&
		    !e->released)
			capacity += endpoint_capacity(world, e);
	}
	return capacity;
}

/*
 * Samples the deficit of a group: the part of its share that it does not get
 * although it has demand for it, i.e. while its flows are being refused.
 */
static void sample_share(struct world *world, struct demand_state *demand)
{
	double weights = 0, capacity, entitled;

	for (size_t i = 0; i < world->demand_count; i++) {
		if (world->demands[i].service == demand->service)
			weights += world->demands[i].share;
	}
	capacity = service_capacity(world, demand->service);
	entitled = floor(capacity * demand->share / weights);
	if (demand->refused_since_sample > 0 && entitled > 0 &&
	    world_time_s(world) > 5) {
		double open = demand->open;

		samples_add(&world->metrics.deficit, world,
			    open >= entitled ? 0
					     : (entitled - open) / entitled);
	} else if (demand->rate > 0) {
		samples_add(&world->metrics.deficit, world, 0);
	}
	demand->refused_since_sample = 0;
}

void oracle_on_accepted(void *object, uint64_t revision)
{
	struct world *world = object;

	for (size_t i = 0; i < world->endpoint_count; i++) {
		struct endpoint *e = world->endpoints[i];

		if (e->drain_revision == 0 || e->drain_revision > revision)
			continue;
		e->drain_revision = 0;
		e->drain_since_us = e->draining ? world_now(world) : 0;
	}
}

static void check_revision(struct world *world, struct pending_revision *r)
{
	size_t ready = 0, active = 0;
	uint64_t now = world_now(world);
	double lag_ms;

	for (size_t n = 0; n < jt_cluster_node_count(world->cluster); n++) {
		struct jt_cluster_node_info info;

		jt_cluster_info(world->cluster, (uint16_t)n, &info);
		if (!info.ready)
			continue;
		ready++;
		active += info.revision >= r->revision;
	}
	if (ready == 0 || active < ready)
		return;
	r->active = true;
	lag_ms = (double)(now - r->accepted_us) / 1000;
	samples_add(&world->metrics.config_lags, world, lag_ms);
	if (lag_ms > world->metrics.config_lag_max_ms)
		world->metrics.config_lag_max_ms = lag_ms;
	if (lag_ms > CONFIG_LAG_LIMIT_MS)
		oracle_violation(world, "accepted is in force within seconds",
				 "revision %llu took %.0f ms",
				 (unsigned long long)r->revision, lag_ms);
}

static void check_reverts(struct world *world)
{
	for (size_t n = 0; n < jt_cluster_node_count(world->cluster); n++) {
		struct jt_cluster_node_info info;

		jt_cluster_info(world->cluster, (uint16_t)n, &info);
		if (!info.ready)
			continue;
		if (info.revision < world->node_revision[n]) {
			world->metrics.config_reverts++;
			oracle_violation(
				world, "a configuration never reverts",
				"node %zu serves %llu after %llu", n,
				(unsigned long long)info.revision,
				(unsigned long long)world->node_revision[n]);
		}
		world->node_revision[n] = info.revision;
	}
}

void oracle_check_config(struct world *world)
{
	uint64_t when, stored;

	if (world->cluster == NULL)
		return;
	stored = jt_cluster_stored_revision(world->cluster, &when);
	for (size_t i = 0; i < world->revision_count; i++) {
		struct pending_revision *r = &world->revisions[i];

		if (r->active)
			continue;
		/* The lag starts when the store accepted the revision,
		 * before the operator gets the response. */
		if (r->accepted_us == 0 && stored >= r->revision)
			r->accepted_us = when;
		if (r->accepted_us != 0)
			check_revision(world, r);
	}
	check_reverts(world);
}

static void sample_control_bytes(struct world *world)
{
	double max_rate = 0;
	bool minute = (uint64_t)world_time_s(world) % 60 == 59;

	for (uint16_t n = 0; n < world->scenario->node_count; n++) {
		struct jt_cluster_node_info info = {0};
		uint64_t bytes;
		bool alive;

		if (world->cluster != NULL) {
			jt_cluster_info(world->cluster, n, &info);
			bytes = info.control_bytes;
			alive = info.state == JT_NODE_RUNNING ||
				info.state == JT_NODE_LEAVING;
			if (world_time_s(world) <= 0)
				world->node_bytes[n + JT_CLUSTER_MAX_NODES] =
					info.store_operations;
			world->metrics.store_operations +=
				info.store_operations -
				world->node_bytes[n + JT_CLUSTER_MAX_NODES];
			world->node_bytes[n + JT_CLUSTER_MAX_NODES] =
				info.store_operations;
		} else {
			bytes = baseline_bytes(world, n);
			alive = baseline_ready(world, n);
		}
		/* Start-up is not measured. */
		if (world_time_s(world) <= 0) {
			world->node_bytes[n] = bytes;
			world->bytes_at_minute[n] = bytes;
		}
		world->bytes_total += bytes - world->node_bytes[n];
		world->node_bytes[n] = bytes;
		world->node_seconds += alive;
		if (!minute)
			continue;
		max_rate =
			fmax(max_rate,
			     (double)(bytes - world->bytes_at_minute[n]) / 60);
		world->bytes_at_minute[n] = bytes;
	}
	if (minute)
		world->metrics.control_max_minute =
			fmax(world->metrics.control_max_minute, max_rate);
}

static void write_timeline(struct world *world)
{
	json_t *endpoints, *shares, *row;
	char *text;

	if (world->options.timeline == NULL)
		return;
	endpoints = json_object();
	shares = json_object();
	for (size_t i = 0; i < world->endpoint_count; i++)
		json_object_set_new(endpoints, world->endpoints[i]->name,
				    json_integer(endpoint_load(
					    world, world->endpoints[i])));
	for (size_t i = 0; i < world->demand_count; i++) {
		const struct demand_state *d = &world->demands[i];
		char name[160];

		snprintf(name, sizeof(name), "%s/%s",
			 world->scenario->groups[d->group].name,
			 world->scenario->services[d->service].name);
		json_object_set_new(shares, name, json_integer(d->open));
	}
	row = json_pack("{s:f,s:o,s:o,s:I,s:I,s:f}", "at_s",
			world_time_s(world), "endpoints", endpoints, "shares",
			shares, "broken",
			(json_int_t)world->metrics.flows_broken, "refused",
			(json_int_t)world->metrics.refused, "control_bytes",
			(double)world->bytes_total);
	text = json_dumps(row, JSON_COMPACT | JSON_REAL_PRECISION(8));
	fprintf(world->options.timeline, "%s\n", text);
	free(text);
	json_decref(row);
}

void oracle_sample(struct world *world)
{
	if (world_time_s(world) >= 0) {
		sample_control_bytes(world);
		if (world_now(world) <= world->load_end_us) {
			for (unsigned s = 0; s < world->scenario->service_count;
			     s++)
				sample_service(world, s);
			for (size_t i = 0; i < world->demand_count; i++)
				sample_share(world, &world->demands[i]);
		}
		write_timeline(world);
	}
}

static void add_count(json_t *result, const char *name, uint64_t value)
{
	json_object_set_new(result, name, json_integer((json_int_t)value));
}

static void add_real(json_t *result, const char *name, double value)
{
	/* Rounded to keep the output short and stable. */
	json_object_set_new(result, name, json_real(round(value * 1e4) / 1e4));
}

/* Adds the control bytes per node and second by kind of message. */
static void add_bytes_by_kind(const struct world *world, json_t *result)
{
	static const char *const names[JT_CLUSTER_KINDS] = {
		"platform",    "heartbeat",	"counts",	  "join",
		"prepare",     "promise",	"accept",	  "accepted",
		"commit",      "state_request", "state",	  "records",
		"records_ack", "relay",		"config_request", "config",
		"detour",
	};
	json_t *kinds = json_object();

	for (int k = 0; world->cluster && k < JT_CLUSTER_KINDS; k++) {
		uint64_t sum = 0;

		for (uint16_t n = 0; n < world->scenario->node_count; n++) {
			struct jt_cluster_node_info info;

			jt_cluster_info(world->cluster, n, &info);
			sum += info.bytes_by_kind[k];
		}
		if (sum > 0)
			add_real(kinds, names[k],
				 (double)sum / world->node_seconds);
	}
	json_object_set_new(result, "control_bytes_by_kind", kinds);
}

json_t *oracle_result(struct world *world)
{
	struct metrics *m = &world->metrics;
	json_t *r = json_object();

	json_object_set_new(r, "scenario", json_string(world->scenario->name));
	json_object_set_new(r, "policy",
			    json_string(policy_name(world->options.policy)));
	add_count(r, "seed", world->options.seed);
	add_count(r, "flows_opened", m->flows_opened);
	add_count(r, "flows_broken", m->flows_broken);
	add_count(r, "flows_lost_to_endpoint", m->flows_lost_to_endpoint);
	add_count(r, "flows_at_two_endpoints", m->at_two_endpoints);
	add_count(r, "connects_timed_out", m->connects_timed_out);
	add_count(r, "packets_misdelivered", m->misdelivered);
	add_count(r, "requests_sent", m->requests_sent);
	add_count(r, "requests_answered_whole", m->responses_complete);
	add_count(r, "requests_refused", m->refused);
	add_count(r, "refused_but_run", m->refused_after_delivery);
	add_count(r, "requests_run_twice", m->executed_twice);
	add_count(r, "requests_unresolved", m->unresolved);
	add_count(r, "new_flows_to_leaving", m->new_flows_to_draining);
	add_real(r, "config_lag_p50_ms", quantile(&m->config_lags, 0.5));
	add_real(r, "config_lag_p99_ms", quantile(&m->config_lags, 0.99));
	add_real(r, "config_lag_max_ms", m->config_lag_max_ms);
	add_count(r, "config_reverts", m->config_reverts);
	add_real(r, "imbalance_p50", quantile(&m->imbalance, 0.5));
	add_real(r, "imbalance_p99", quantile(&m->imbalance, 0.99));
	add_real(r, "slot_spread_max", m->slot_spread_max);
	add_real(r, "group_share_deficit_p99", quantile(&m->deficit, 0.99));
	add_real(r, "overloaded_endpoint_seconds", m->overloaded_seconds);
	add_real(r, "relayed_packets_part",
		 m->packets ? (double)m->relayed / (double)m->packets : 0);
	add_real(r, "control_bytes_per_node_s_mean",
		 world->node_seconds > 0
			 ? (double)world->bytes_total / world->node_seconds
			 : 0);
	add_real(r, "control_bytes_per_node_s_max", m->control_max_minute);
	add_bytes_by_kind(world, r);
	add_real(r, "store_operations_per_s",
		 (double)m->store_operations / world->scenario->duration_s);
	add_count(r, "violation_count", world->violation_count);
	json_object_set(r, "violations", world->violations);
	return r;
}
