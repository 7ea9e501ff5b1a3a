/*
 * The resource API of one node, over HTTP with JSON bodies.
 *
 *   GET  /healthz /ready /metrics             no token
 *   GET  /v1/resources                        the active document
 *   GET  /v1/KIND[/NAME]                      all resources of a kind, or one
 *   PUT  /v1/KIND/NAME, DELETE /v1/KIND/NAME  one change
 *   POST /v1/apply                            several changes
 *   GET  /v1/writes/ID                        the outcome of a write
 *   GET  /v1/watch?after=REVISION             answers on a newer revision
 *   GET  /v1/status, /v1/explain?source=IP:PORT&destination=IP:PORT
 *
 * PUT, DELETE and POST take ?dry_run=1 (check only) and the header
 * X-Request-Id (a write id takes effect at most once).
 */
#ifndef JT_API_H
#define JT_API_H

#include "jt_config_sync.h"

struct jt_api;

/* Starts the API server of @node; @sync writes its changes to the store.
 * Returns NULL with errno on failure. */
struct jt_api *jt_api_create(TALLOC_CTX *mem_ctx, struct jt_node *node,
			     struct jt_config_sync *sync);
/* Answers the pending watch requests for which a newer revision is active. */
void jt_api_changed(struct jt_api *api);
/* Answers watch requests that timed out; called periodically. */
void jt_api_tick(struct jt_api *api);

#endif
