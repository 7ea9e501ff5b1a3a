/*
 * Checks whether a TCP connection to an address can be opened, and closes it.
 */
#ifndef JT_PROBER_H
#define JT_PROBER_H

#include "jaspertrack/director-t.h"

#include <tevent.h>

/* Starts a probe. Returns NULL if memory runs out. */
struct tevent_req *jt_probe_send(TALLOC_CTX *mem_ctx,
				 struct tevent_context *loop,
				 struct jt_address address,
				 uint32_t timeout_ms);
/* Returns the outcome: JT_PROBE_VOID if an error of this node prevented it. */
enum jt_probe_outcome jt_probe_recv(struct tevent_req *req);

#endif
