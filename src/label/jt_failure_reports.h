/*
 * Collects failed and served requests of endpoints, to report them to peers. In
 * a large cluster each node sees few requests of an endpoint; only the reports
 * of all nodes reveal a failing one soon.
 *
 * The rate of messages is limited: one message covers several endpoints, and if
 * the limit doesn't allow a message to every peer, only some peers get it.
 * Served requests are reported along with the failed ones, so that a peer that
 * gets only some of the messages still sees the correct failure rate.
 */
#ifndef JT_FAILURE_REPORTS_H
#define JT_FAILURE_REPORTS_H

#include "jaspertrack/director-t.h"

struct jt_failure_reports {
	struct jt_endpoint_failure pending[JT_FAILURE_LIMIT];
	size_t count;
	bool failed;	      /* at least one pending report has a failure */
	double datagrams;     /* messages that the rate limit allows now */
	uint64_t as_of_ms;    /* last update of datagrams */
	uint64_t reported_ms; /* last report */
};

/* Records @requests failed requests at the endpoint. */
void jt_failure_reports_add_failed(struct jt_failure_reports *reports,
				   uint32_t label, double requests);
/* Records a served request; it is reported along with the next failure. */
void jt_failure_reports_add_served(struct jt_failure_reports *reports,
				   uint32_t label);
/* Returns true if a report is due, in a cluster of @nodes nodes including this
 * one. */
bool jt_failure_reports_due(struct jt_failure_reports *reports, uint64_t nodes,
			    uint64_t now_ms);
/* Takes the pending reports. Returns the number of @failures set, and sets
 * @peers to the number of peers to send them to. */
size_t jt_failure_reports_collect(
	struct jt_failure_reports *reports, uint64_t nodes, uint64_t now_ms,
	struct jt_endpoint_failure failures[JT_FAILURE_LIMIT], size_t *peers);

#endif
