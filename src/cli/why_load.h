/* How much a request's endpoint and service had to do when it came, by the
 * requests that nodes logged. */
#ifndef WHY_LOAD_H
#define WHY_LOAD_H

#include "log_lines.h"

#include <stdbool.h>
#include <stdint.h>

/* Requests of one second. */
struct why_load {
	unsigned of_endpoint;
	unsigned of_service; /* to the same address and port */
	unsigned endpoints;  /* that got them */
	bool shortened;	     /* nodes left lines out then */
};

/* The second before @until_ms; @request is a line of event=request. */
struct why_load why_load_before(struct log_lines *lines,
				const struct log_line *request,
				int64_t until_ms);

#endif
