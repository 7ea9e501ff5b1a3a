/*
 * One node that places flows by label: drives the decision library from
 * sockets and timers. Everything runs on one thread.
 */
#ifndef JT_DIRECTOR_NODE_H
#define JT_DIRECTOR_NODE_H

#include "jt_director_settings.h"
#include "jt_environment.h"
#include "jt_log.h"

#include <tevent.h>

struct jt_director_node;

/* NULL with a line in @error (below @mem_ctx) when something can't start.
 * @on_left is called when a planned stop is complete. */
struct jt_director_node *jt_director_node_create(
	TALLOC_CTX *mem_ctx, struct tevent_context *loop,
	const struct jt_log *log, struct jt_director_settings *settings,
	void (*on_left)(void *private_data), void *private_data, char **error);
/* Planned stop: not ready at once; the node forwards on until no packets
 * come any more, or its limit is reached. */
void jt_director_node_leave(struct jt_director_node *node);
/* Use changed settings; fixed ones must be the same. */
void jt_director_node_reload(struct jt_director_node *node,
			     struct jt_director_settings *settings);

#endif
