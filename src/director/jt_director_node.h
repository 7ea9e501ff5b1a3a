/*
 * A director node assigns flows to endpoints by label. It connects the
 * decision library to sockets and timers; everything runs on one thread.
 */
#ifndef JT_DIRECTOR_NODE_H
#define JT_DIRECTOR_NODE_H

#include "jt_director_settings.h"
#include "jt_environment.h"
#include "jt_log.h"

#include <tevent.h>

struct jt_director_node;

/* Creates a node, a talloc child of @mem_ctx that takes ownership of
 * @settings. Returns NULL on failure, with a message in @error (a talloc
 * child of @mem_ctx). @on_left is called when a graceful shutdown is
 * complete. */
struct jt_director_node *jt_director_node_create(
	TALLOC_CTX *mem_ctx, struct tevent_context *loop,
	const struct jt_log *log, struct jt_director_settings *settings,
	void (*on_left)(void *private_data), void *private_data, char **error);
/* Starts a graceful shutdown: the node reports itself not ready when its turn
 * comes, and forwards packets until none arrive any more or the leave limit
 * is reached. */
void jt_director_node_leave(struct jt_director_node *node);
/* Applies changed settings and takes ownership of them. Settings that are
 * fixed at start must be unchanged. */
void jt_director_node_reload(struct jt_director_node *node,
			     struct jt_director_settings *settings);

#endif
