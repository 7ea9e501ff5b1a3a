/*
 * What a director node writes into its log. docs/LOGS.md lists the events and
 * their fields.
 */
#ifndef JT_DIRECTOR_LOG_H
#define JT_DIRECTOR_LOG_H

#include "jaspertrack/director.h"
#include "jt_log.h"

enum { JT_REQUEST_ID_SIZE = 64 };

/* What was decided on a flow's packet; @request is its request's id, or "".
 * Only decisions are told: packets that follow a flow's label are not. */
void jt_director_log_flow(const struct jt_log *log,
			  const struct jt_director_action *action,
			  const char *request, uint64_t now_ms);
/* A request went to the endpoint of its flow. */
void jt_director_log_request(const struct jt_log *log,
			     const struct jt_director_action *action,
			     const char *request, uint64_t now_ms);
/* A peer has answered where a flow is; @label 0: it does not know. */
void jt_director_log_flow_told(const struct jt_log *log,
			       const struct jt_flow_key *key, uint32_t label,
			       uint64_t now_ms);
/* What this node believes of an endpoint has changed. */
void jt_director_log_endpoint(const struct jt_log *log,
			      const struct jt_director_action *action,
			      const char *event);
/* An endpoint's share of new flows was reduced or restored, and what of. */
void jt_director_log_share(const struct jt_log *log,
			   const struct jt_director_action *action,
			   const char *event, uint64_t now_ms);
/* The drain of a zone began or ended. */
void jt_director_log_zone(const struct jt_log *log,
			  const struct jt_director_action *action);
/* A service has a limit from now on, or has none any more. */
void jt_director_log_room(const struct jt_log *log,
			  const struct jt_director_action *action);
/* How many lines were left out or lost, when that is due; and write. */
void jt_director_log_flush(const struct jt_log *log, uint64_t now_ms);

#endif
