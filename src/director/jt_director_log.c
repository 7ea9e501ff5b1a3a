#include "jt_director_log.h"
#include "jt_net.h"

enum { FLOW_TEXT_SIZE = 2 * JT_ADDRESS_TEXT_SIZE };

static const char *flow_format(const struct jt_flow_key *key,
			       char text[FLOW_TEXT_SIZE])
{
	struct jt_address from = {key->source, key->source_port};
	struct jt_address to = {key->destination, key->destination_port};
	char source[JT_ADDRESS_TEXT_SIZE], destination[JT_ADDRESS_TEXT_SIZE];

	snprintf(text, FLOW_TEXT_SIZE, "%s>%s", jt_address_format(from, source),
		 jt_address_format(to, destination));
	return text;
}

static enum jt_log_class reason_class(enum jt_director_reason reason)
{
	switch (reason) {
	case JT_DIRECTOR_PLACED:
		return JT_LOG_ORDINARY;
	default:
		return JT_LOG_UNUSUAL;
	}
}

static const char *decision_name(enum jt_director_action_kind kind)
{
	switch (kind) {
	case JT_DIRECTOR_FORWARD:
		return "forward";
	case JT_DIRECTOR_RESET:
		return "reset";
	case JT_DIRECTOR_HOLD:
		return "hold";
	default:
		return "drop";
	}
}

static bool is_allowed(const struct jt_log *log, enum jt_log_class class,
		       uint64_t now_ms)
{
	if (log->threshold < LOG_INFO)
		return false;
	return log->sink == NULL || jt_log_sink_allow(log->sink, class, now_ms);
}

/* Logs a new flow that was refused for lack of capacity. */
static void log_refusal(const struct jt_log *log,
			const struct jt_director_action *action)
{
	const struct jt_admission_state *admission = &action->admission;
	char flow[FLOW_TEXT_SIZE];

	jt_log_line(log, LOG_INFO,
		    "event=flow flow=%s decision=reset reason=overloaded "
		    "version=%llu route=%s priority=%u limit=%u in_flight=%u "
		    "delay_ms=%u allowed_ms=%u request=-",
		    flow_format(&action->key, flow),
		    (unsigned long long)action->version, admission->route,
		    admission->priority, admission->limit, admission->in_flight,
		    admission->delay_ms, admission->allowed_ms);
}

void jt_director_log_flow(const struct jt_log *log,
			  const struct jt_director_action *action,
			  const char *request, uint64_t now_ms)
{
	char flow[FLOW_TEXT_SIZE], address[JT_ADDRESS_TEXT_SIZE];

	if (action->reason == JT_DIRECTOR_LABELLED ||
	    !is_allowed(log, reason_class(action->reason), now_ms))
		return;
	if (action->reason == JT_DIRECTOR_OVERLOADED) {
		log_refusal(log, action);
		return;
	}
	jt_log_line(log, LOG_INFO,
		    "event=flow flow=%s decision=%s reason=%s version=%llu "
		    "endpoint=%llx born_ms=%llu address=%s state=%s "
		    "revision=%llu age_ms=%llu label=%x request=%s",
		    flow_format(&action->key, flow),
		    decision_name(action->kind),
		    jt_director_reason_name(action->reason),
		    (unsigned long long)action->version,
		    (unsigned long long)action->endpoint_id,
		    (unsigned long long)action->start_time_ms,
		    jt_address_format(action->address, address),
		    jt_incarnation_state_name(action->state),
		    (unsigned long long)action->revision,
		    (unsigned long long)action->age_ms, action->label,
		    request[0] != '\0' ? request : "-");
}

void jt_director_log_request(const struct jt_log *log,
			     const struct jt_director_action *action,
			     const char *request, uint64_t now_ms)
{
	char flow[FLOW_TEXT_SIZE];

	if (!is_allowed(log, JT_LOG_ORDINARY, now_ms))
		return;
	jt_log_line(log, LOG_INFO,
		    "event=request request=%s flow=%s endpoint=%llx "
		    "born_ms=%llu state=%s revision=%llu age_ms=%llu",
		    request, flow_format(&action->key, flow),
		    (unsigned long long)action->endpoint_id,
		    (unsigned long long)action->start_time_ms,
		    jt_incarnation_state_name(action->state),
		    (unsigned long long)action->revision,
		    (unsigned long long)action->age_ms);
}

void jt_director_log_flow_lookup_response(const struct jt_log *log,
					  const struct jt_flow_key *key,
					  uint32_t label, uint64_t now_ms)
{
	char flow[FLOW_TEXT_SIZE];

	if (!is_allowed(log, JT_LOG_ORDINARY, now_ms))
		return;
	jt_log_line(log, LOG_INFO, "event=flow_told flow=%s known=%s label=%x",
		    flow_format(key, flow), label != 0 ? "yes" : "no", label);
}

void jt_director_log_endpoint(const struct jt_log *log,
			      const struct jt_director_action *action,
			      const char *event)
{
	char address[JT_ADDRESS_TEXT_SIZE];

	jt_log_line(log, LOG_NOTICE,
		    "event=%s endpoint=%llx born_ms=%llu address=%s "
		    "state=%s cause=%s revision=%llu age_ms=%llu",
		    event, (unsigned long long)action->endpoint_id,
		    (unsigned long long)action->start_time_ms,
		    jt_address_format(action->address, address),
		    jt_incarnation_state_name(action->state),
		    jt_death_cause_name(action->cause),
		    (unsigned long long)action->revision,
		    (unsigned long long)action->age_ms);
}

void jt_director_log_share(const struct jt_log *log,
			   const struct jt_director_action *action,
			   const char *event, uint64_t now_ms)
{
	char address[JT_ADDRESS_TEXT_SIZE];

	/* Rate-limited: many endpoints of a service may change at the same
	 * time. */
	if (!is_allowed(log, JT_LOG_UNUSUAL, now_ms))
		return;
	jt_log_line(log, LOG_NOTICE,
		    "event=%s endpoint=%llx born_ms=%llu address=%s "
		    "share_permille=%u failed_permille=%u "
		    "served_permille=%u usual_permille=%u",
		    event, (unsigned long long)action->endpoint_id,
		    (unsigned long long)action->start_time_ms,
		    jt_address_format(action->address, address),
		    action->share_permille, action->failed_permille,
		    action->served_permille, action->reference_permille);
}

void jt_director_log_zone(const struct jt_log *log,
			  const struct jt_director_action *action)
{
	bool drained = action->kind == JT_DIRECTOR_ZONE_DRAINED;

	jt_log_line(log, LOG_NOTICE, "event=%s zone=%s revision=%llu",
		    drained ? "zone_drained" : "zone_restored", action->zone,
		    (unsigned long long)action->revision);
}

void jt_director_log_admission(const struct jt_log *log,
			       const struct jt_director_action *action)
{
	const struct jt_admission_state *admission = &action->admission;
	bool full = action->kind == JT_DIRECTOR_SERVICE_FULL;

	jt_log_line(log, LOG_NOTICE,
		    "event=%s service=%x limit=%u in_flight=%u delay_ms=%u "
		    "allowed_ms=%u",
		    full ? "service_full" : "service_free", action->service_id,
		    admission->limit, admission->in_flight, admission->delay_ms,
		    admission->allowed_ms);
}

void jt_director_log_flush(const struct jt_log *log, uint64_t now_ms)
{
	const struct jt_log_counters *counters;

	if (log->sink == NULL)
		return;
	if (jt_log_sink_report_due(log->sink, now_ms)) {
		counters = jt_log_sink_counters(log->sink);
		jt_log_line(log, LOG_WARNING,
			    "event=log_shortened ordinary=%llu unusual=%llu "
			    "lost=%llu",
			    (unsigned long long)
				    counters->suppressed[JT_LOG_ORDINARY],
			    (unsigned long long)
				    counters->suppressed[JT_LOG_UNUSUAL],
			    (unsigned long long)counters->lost);
	}
	jt_log_sink_flush(log->sink);
}
