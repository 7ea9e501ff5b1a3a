#include "jt_director_pages.h"
#include "jaspertrack/director.h"
#include "jt_admission.h"
#include "jt_http_server.h"
#include "jt_latency.h"
#include "jt_net.h"

#include <errno.h>
#include <string.h>

struct jt_director_pages {
	const struct jt_director *director;
	const struct jt_directory_sync *sync;
	const struct jt_peer_exchange *peers;
	const struct jt_log *log;
	const struct jt_director_traffic *traffic;
	struct jt_http_server *readiness;
	struct jt_http_server *metrics;
	bool (*ready)(void *private_data);
	void *private_data;
};

static void on_readiness(struct jt_http_request *request, void *private_data)
{
	struct jt_director_pages *pages = private_data;

	if (strcmp(jt_http_path(request), "/ready") != 0)
		jt_http_reply(request, 404, "text/plain", "not found\n");
	else if (pages->ready(pages->private_data))
		jt_http_reply(request, 200, "text/plain", "ready\n");
	else
		jt_http_reply(request, 503, "text/plain", "not ready\n");
}

static void on_metrics(struct jt_http_request *request, void *private_data)
{
	struct jt_director_pages *pages = private_data;
	char *text;

	if (strcmp(jt_http_path(request), "/metrics") != 0) {
		jt_http_reply(request, 404, "text/plain", "not found\n");
		return;
	}
	text = jt_director_metrics(pages, pages->director, pages->sync,
				   pages->peers, pages->traffic, pages->log);
	jt_http_reply(request, 200, "text/plain; version=0.0.4",
		      text ? text : "");
	talloc_free(text);
}

static char *add_metric(char *text, const char *name, const char *type,
			uint64_t value)
{
	return talloc_asprintf_append_buffer(
		text, "# TYPE jaspertrack_%s %s\njaspertrack_%s %llu\n", name,
		type, name, (unsigned long long)value);
}

static char *add_type(char *text, const char *name, const char *type)
{
	return talloc_asprintf_append_buffer(text, "# TYPE jaspertrack_%s %s\n",
					     name, type);
}

static char *add_labelled_value(char *text, const char *name, const char *label,
				const char *label_value, uint64_t value)
{
	return talloc_asprintf_append_buffer(
		text, "jaspertrack_%s{%s=\"%s\"} %llu\n", name, label,
		label_value, (unsigned long long)value);
}

static char *add_traffic(char *text, const struct jt_director_traffic *traffic)
{
	text = add_metric(text, "packets_received_total", "counter",
			  traffic->received);
	text = add_metric(text, "packets_malformed_total", "counter",
			  traffic->malformed);
	text = add_metric(text, "packets_forwarded_total", "counter",
			  traffic->forwarded);
	text = add_metric(text, "resets_sent_total", "counter",
			  traffic->resets);
	text = add_metric(text, "held_overflow_total", "counter",
			  traffic->held_overflow);
	text = add_metric(text, "stood_still_ms_total", "counter",
			  traffic->tick_delay_ms);
	return add_metric(text, "send_failed_total", "counter",
			  traffic->send_failed);
}

static char *add_decisions(char *text, const struct jt_director *director)
{
	const struct jt_director_counters *counters =
		jt_director_counters(director);

	text = add_type(text, "decisions_total", "counter");
	for (int i = 0; i < JT_DIRECTOR_REASONS; i++)
		text = add_labelled_value(text, "decisions_total", "reason",
					  jt_director_reason_name(i),
					  counters->by_reason[i]);
	text = add_type(text, "endpoint_deaths_total", "counter");
	for (int i = JT_DEATH_REFUSED; i < JT_DEATH_CAUSES; i++)
		text = add_labelled_value(text, "endpoint_deaths_total",
					  "cause", jt_death_cause_name(i),
					  counters->deaths[i]);
	text = add_metric(text, "endpoints_revived_total", "counter",
			  counters->revived);
	text = add_metric(text, "endpoints_restarted_total", "counter",
			  counters->restarted);
	text = add_metric(text, "endpoints_unreadable_total", "counter",
			  counters->unreadable);
	text = add_metric(text, "suspicions_total", "counter",
			  counters->suspicions);
	text = add_metric(text, "requests_overdue_total", "counter",
			  counters->overdue);
	text = add_metric(text, "answers_short_total", "counter",
			  counters->short_responses);
	text = add_metric(text, "failures_told_total", "counter",
			  counters->failures_sent);
	text = add_metric(text, "failures_heard_total", "counter",
			  counters->failures_received);
	text = add_metric(text, "endpoint_shares_reduced_total", "counter",
			  counters->shares_reduced);
	text = add_metric(text, "probes_total", "counter", counters->probes);
	text = add_metric(text, "probes_void_total", "counter",
			  counters->probes_inconclusive);
	text = add_metric(text, "identifications_total", "counter",
			  counters->identifications);
	text = add_metric(text, "flows_placed_far_total", "counter",
			  counters->placed_cross_zone);
	text = add_metric(text, "flows_sought_total", "counter",
			  counters->flow_lookups);
	text = add_metric(text, "flows_found_total", "counter",
			  counters->flows_found);
	text = add_metric(text, "endpoints_slow", "gauge",
			  jt_director_slow_count(director, jt_clock_ms()));
	text = add_metric(text, "endpoints_fast", "gauge",
			  jt_director_fast_count(director, jt_clock_ms()));
	text = add_metric(text, "packets_resent_total", "counter",
			  counters->resent);
	text = add_metric(text, "entries_refused_total", "counter",
			  counters->entries_refused);
	return add_metric(text, "routing_refused_total", "counter",
			  counters->routing_refused);
}

/* Adds the services with admission control. */
static char *add_admission(char *text, const struct jt_admission *admission)
{
	static const char *const names[] = {"limit", "in_flight", "delay_ms",
					    "allowed_ms", "offered_per_s"};
	struct jt_admission_counts counts;
	struct jt_admission_view view;

	for (size_t k = 0; k < sizeof(names) / sizeof(names[0]); k++) {
		char name[40];

		snprintf(name, sizeof(name), "service_%s", names[k]);
		text = add_type(text, name, "gauge");
		for (size_t i = 0; jt_admission_view_at(admission, i, &view);
		     i++) {
			const uint32_t values[] = {
				view.limit, view.in_flight, view.delay_ms,
				view.allowed_ms, view.offered_per_s};
			char service[12];

			snprintf(service, sizeof(service), "%x",
				 view.service_id);
			text = add_labelled_value(text, name, "service",
						  service, values[k]);
		}
	}
	text = add_type(text, "service_first_packets_total", "counter");
	for (size_t i = 0; jt_admission_counts_at(admission, i, &counts); i++)
		text = talloc_asprintf_append_buffer(
			text,
			"jaspertrack_service_first_packets_total{service=\"%"
			"x\","
			"priority=\"%u\",outcome=\"admitted\"} %llu\n"
			"jaspertrack_service_first_packets_total{service=\"%"
			"x\","
			"priority=\"%u\",outcome=\"refused\"} %llu\n",
			counts.service_id, counts.priority,
			(unsigned long long)counts.admitted, counts.service_id,
			counts.priority, (unsigned long long)counts.refused);
	return text;
}

static char *add_latency(char *text, const struct jt_latency *latency)
{
	size_t buckets = jt_latency_buckets(latency);

	text = add_type(text, "request_ms", "histogram");
	for (size_t i = 0; i < buckets; i++) {
		uint64_t upper_ms;
		uint64_t count = jt_latency_up_to(latency, i, &upper_ms);
		char bound[24] = "+Inf";

		if (upper_ms != 0)
			snprintf(bound, sizeof(bound), "%llu",
				 (unsigned long long)upper_ms);
		text = add_labelled_value(text, "request_ms_bucket", "le",
					  bound, count);
	}
	return talloc_asprintf_append_buffer(
		text,
		"jaspertrack_request_ms_sum %.0f\n"
		"jaspertrack_request_ms_count %llu\n",
		latency->sum_ms, (unsigned long long)latency->count);
}

static char *add_state(char *text, const struct jt_director *director,
		       const struct jt_directory_sync *sync)
{
	const struct jt_routing *routing = jt_director_routing(director);

	text = add_metric(text, "flows", "gauge",
			  jt_director_flow_count(director));
	text = add_metric(text, "routing_version", "gauge",
			  routing ? routing->version : 0);
	text = add_metric(text, "store_revision", "gauge",
			  jt_directory_sync_revision(sync));
	text = add_metric(text, "store_age_ms", "gauge",
			  jt_directory_sync_age_ms(sync));
	text = add_metric(text, "endpoints_reduced", "gauge",
			  jt_director_reduced_count(director, jt_clock_ms()));
	text = add_type(text, "endpoints", "gauge");
	for (int i = JT_INCARNATION_READY; i <= JT_INCARNATION_DEAD; i++)
		text = add_labelled_value(
			text, "endpoints", "state",
			jt_incarnation_state_name(i),
			jt_director_endpoint_count(director, i));
	return text;
}

/* Adds how long this node has known each zone drain. */
static char *add_zone_drains(char *text, const struct jt_director *director)
{
	uint64_t now_ms = jt_clock_ms(), since_ms;
	const struct jt_zone_drain *drain;
	size_t index = 0;

	text = add_type(text, "zone_drained_ms", "gauge");
	while ((drain = jt_director_zone_drain_at(director, index++,
						  &since_ms)) != NULL)
		text = add_labelled_value(text, "zone_drained_ms", "zone",
					  drain->zone, now_ms - since_ms);
	return text;
}

static char *add_store_calls(char *text, const struct jt_directory_sync *sync)
{
	const struct jt_directory_counters *counters =
		jt_directory_sync_counters(sync);

	text = add_type(text, "store_lists_total", "counter");
	for (int i = 0; i < JT_KV_STATUSES; i++)
		text = add_labelled_value(text, "store_lists_total", "status",
					  jt_kv_status_name(i),
					  counters->lists[i]);
	text = add_type(text, "store_watches_total", "counter");
	for (int i = 0; i < JT_KV_STATUSES; i++)
		text = add_labelled_value(text, "store_watches_total", "status",
					  jt_kv_status_name(i),
					  counters->watches[i]);
	text = add_type(text, "store_checks_total", "counter");
	for (int i = 0; i < JT_KV_STATUSES; i++)
		text = add_labelled_value(text, "store_checks_total", "status",
					  jt_kv_status_name(i),
					  counters->checks[i]);
	text = add_metric(text, "store_watches_given_up_total", "counter",
			  counters->watches_abandoned);
	return add_metric(text, "store_items_invalid_total", "counter",
			  counters->invalid_items);
}

/* Adds messages and bytes exchanged with peers, by kind of message. */
static char *add_messages(char *text, const char *direction,
			  const struct jt_message_count *counts)
{
	char messages[48], bytes[48];

	snprintf(messages, sizeof(messages), "peer_messages_%s_total",
		 direction);
	snprintf(bytes, sizeof(bytes), "peer_bytes_%s_total", direction);
	text = add_type(text, messages, "counter");
	for (int i = JT_WIRE_DIGEST; i < JT_MESSAGE_KINDS; i++)
		text = add_labelled_value(text, messages, "kind",
					  jt_message_kind_name(i),
					  counts[i].messages);
	text = add_type(text, bytes, "counter");
	for (int i = JT_WIRE_DIGEST; i < JT_MESSAGE_KINDS; i++)
		text = add_labelled_value(text, bytes, "kind",
					  jt_message_kind_name(i),
					  counts[i].bytes);
	return text;
}

static char *add_peers(char *text, const struct jt_peer_exchange *peers)
{
	const struct jt_peer_counters *counters =
		jt_peer_exchange_counters(peers);

	text = add_metric(text, "peers", "gauge",
			  jt_peer_exchange_live_count(peers));
	text = add_messages(text, "sent", counters->sent);
	text = add_messages(text, "received", counters->received);
	text = add_metric(text, "knowledge_fetches_total", "counter",
			  counters->fetches);
	text = add_metric(text, "knowledge_fetches_failed_total", "counter",
			  counters->fetches_failed);
	text = add_metric(text, "knowledge_served_total", "counter",
			  counters->fetches_served);
	text = add_metric(text, "knowledge_refused_total", "counter",
			  counters->fetches_refused);
	text = add_type(text, "peer_frames_rejected_total", "counter");
	for (int i = JT_CODEC_SHORT; i <= JT_CODEC_SIZE; i++)
		text = add_labelled_value(text, "peer_frames_rejected_total",
					  "reason", jt_codec_error_name(i),
					  counters->rejected[i]);
	return text;
}

static char *add_log(char *text, const struct jt_log *log)
{
	const struct jt_log_counters *counters;

	if (log->sink == NULL)
		return text;
	counters = jt_log_sink_counters(log->sink);
	text = add_metric(text, "log_lines_total", "counter",
			  counters->written);
	text = add_type(text, "log_lines_left_out_total", "counter");
	text = add_labelled_value(text, "log_lines_left_out_total", "class",
				  "unusual",
				  counters->suppressed[JT_LOG_UNUSUAL]);
	text = add_labelled_value(text, "log_lines_left_out_total", "class",
				  "ordinary",
				  counters->suppressed[JT_LOG_ORDINARY]);
	text = add_metric(text, "log_write_us_total", "counter",
			  counters->write_us);
	return add_metric(text, "log_lines_lost_total", "counter",
			  counters->lost);
}

char *jt_director_metrics(TALLOC_CTX *mem_ctx,
			  const struct jt_director *director,
			  const struct jt_directory_sync *sync,
			  const struct jt_peer_exchange *peers,
			  const struct jt_director_traffic *traffic,
			  const struct jt_log *log)
{
	char *text = talloc_strdup(mem_ctx, "");

	text = add_traffic(text, traffic);
	text = add_decisions(text, director);
	text = add_admission(text, jt_director_admission(director));
	text = add_latency(text, jt_director_latency(director));
	text = add_state(text, director, sync);
	text = add_zone_drains(text, director);
	text = add_store_calls(text, sync);
	text = add_peers(text, peers);
	return add_log(text, log);
}

struct jt_director_pages *jt_director_pages_create(
	TALLOC_CTX *mem_ctx, struct tevent_context *loop,
	const struct jt_log *log, const struct jt_director_settings *settings,
	const struct jt_director *director,
	const struct jt_directory_sync *sync,
	const struct jt_peer_exchange *peers,
	const struct jt_director_traffic *traffic,
	bool (*ready)(void *private_data), void *private_data, char **error)
{
	struct jt_director_pages *pages =
		talloc_zero(mem_ctx, struct jt_director_pages);
	struct jt_http_options options = {.address = settings->readiness};
	char address[JT_ADDRESS_TEXT_SIZE];

	if (pages == NULL)
		return NULL;
	pages->director = director;
	pages->sync = sync;
	pages->peers = peers;
	pages->log = log;
	pages->traffic = traffic;
	pages->ready = ready;
	pages->private_data = private_data;
	pages->readiness = jt_http_server_create(pages, loop, &options,
						 on_readiness, pages);
	if (pages->readiness == NULL) {
		*error = talloc_asprintf(
			talloc_parent(mem_ctx), "listen.readiness: %s: %s",
			jt_address_format(settings->readiness, address),
			strerror(errno));
		talloc_free(pages);
		return NULL;
	}
	options.address = settings->metrics;
	if (options.address.port != 0)
		pages->metrics = jt_http_server_create(pages, loop, &options,
						       on_metrics, pages);
	return pages;
}
