/*
 * The resource API of one node, over HTTP with JSON bodies.
 *
 *   GET  /healthz /ready /metrics             no token
 *   GET  /v1/resources                        the document in force
 *   GET  /v1/KIND[/NAME]                      one list or resource
 *   PUT  /v1/KIND/NAME, DELETE /v1/KIND/NAME  one change
 *   POST /v1/apply                            many changes at once
 *   GET  /v1/writes/ID                        what became of a write
 *   GET  /v1/watch?after=REVISION             answers when more is in force
 *   GET  /v1/status, /v1/explain?source=IP:PORT&destination=IP:PORT
 *
 * PUT, DELETE and POST take ?dry_run=1 (check only) and the header
 * X-Request-Id (the same id never takes effect twice).
 */
#ifndef JT_API_H
#define JT_API_H

#include "jt_config_sync.h"

struct jt_api;

/* Serve @node, whose changes go to the store by @sync. NULL with errno where
 * the address can't be used. */
struct jt_api *jt_api_create(TALLOC_CTX *mem_ctx, struct jt_node *node,
			     struct jt_config_sync *sync);
/* Something that watchers wait for may have changed. */
void jt_api_changed(struct jt_api *api);
void jt_api_tick(struct jt_api *api);

#endif
