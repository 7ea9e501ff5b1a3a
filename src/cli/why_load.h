/* Load of a request's endpoint and service when the request arrived, counted
 * from the requests that nodes logged. */
#ifndef WHY_LOAD_H
#define WHY_LOAD_H

#include "log_lines.h"

#include <stdbool.h>
#include <stdint.h>

/* Requests within one second. */
struct why_load {
	unsigned endpoint_requests;
	unsigned service_requests; /* same destination address and port */
	unsigned endpoint_count;   /* endpoints that received them */
	bool lines_omitted;	   /* nodes omitted log lines in that second */
};

/* Returns the load in the second before @until_ms, for the endpoint and
 * destination of @request, a line with event=request. */
struct why_load why_load_before(struct log_lines *lines,
				const struct log_line *request,
				int64_t until_ms);

#endif
