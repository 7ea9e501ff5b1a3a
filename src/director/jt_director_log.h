/*
 * Log lines of a director node. docs/LOGS.md lists the events and their
 * fields.
 */
#ifndef JT_DIRECTOR_LOG_H
#define JT_DIRECTOR_LOG_H

#include "jaspertrack/director.h"
#include "jt_log.h"

enum { JT_REQUEST_ID_SIZE = 64 };

/* Logs the decision on a flow's packet. @request is the id of its request, or
 * "". Packets that follow their label are not logged. */
void jt_director_log_flow(const struct jt_log *log,
			  const struct jt_director_action *action,
			  const char *request, uint64_t now_ms);
/* Logs a request that was forwarded to the endpoint of its flow. */
void jt_director_log_request(const struct jt_log *log,
			     const struct jt_director_action *action,
			     const char *request, uint64_t now_ms);
/* Logs a peer's response to a flow lookup; @label 0: unknown to the peer. */
void jt_director_log_flow_lookup_response(const struct jt_log *log,
					  const struct jt_flow_key *key,
					  uint32_t label, uint64_t now_ms);
/* Logs a change in the state of an endpoint. */
void jt_director_log_endpoint(const struct jt_log *log,
			      const struct jt_director_action *action,
			      const char *event);
/* Logs that an endpoint's share of new flows was reduced or restored, with
 * the rates that caused it. */
void jt_director_log_share(const struct jt_log *log,
			   const struct jt_director_action *action,
			   const char *event, uint64_t now_ms);
/* Logs that a zone drain began or ended. */
void jt_director_log_zone(const struct jt_log *log,
			  const struct jt_director_action *action);
/* Logs that the admission limit of a service was set or lifted. */
void jt_director_log_admission(const struct jt_log *log,
			       const struct jt_director_action *action);
/* Logs the number of suppressed and lost lines, when that is due, and flushes
 * the log. */
void jt_director_log_flush(const struct jt_log *log, uint64_t now_ms);

#endif
