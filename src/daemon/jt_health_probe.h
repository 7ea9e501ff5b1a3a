/*
 * Health probes: fetches the health pages of the endpoints and the machine
 * list.
 *
 * Two nodes of the cell probe each endpoint and report the result to the
 * others. A health page may be outdated or wrong, so the decision library
 * treats it as a hint.
 */
#ifndef JT_HEALTH_PROBE_H
#define JT_HEALTH_PROBE_H

#include "jt_node.h"

struct jt_health_probe;

/* Returns NULL on failure. @node must outlive the result. */
struct jt_health_probe *jt_health_probe_create(TALLOC_CTX *mem_ctx,
					       struct jt_node *node);
/* Starts the requests that are due; called periodically. */
void jt_health_probe_tick(struct jt_health_probe *probe);

#endif
