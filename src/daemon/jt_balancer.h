/*
 * A whole balancer: a node and the parts that stand on it, which are its
 * resource API, its dealings with the store, its probes and the store's vote.
 */
#ifndef JT_BALANCER_H
#define JT_BALANCER_H

#include "jt_node.h"

struct jt_balancer;

struct jt_balancer_options {
	struct tevent_context *loop;
	const struct jt_log *log;
	struct jt_settings *settings; /* taken over */
	/* The node has left its cell. Said once, from the loop. */
	void (*left)(void *private_data);
	void *private_data;
};

/* NULL with a line in @error (below @mem_ctx) when something can't start. */
struct jt_balancer *
jt_balancer_create(TALLOC_CTX *mem_ctx,
		   const struct jt_balancer_options *options, char **error);
struct jt_node *jt_balancer_node(struct jt_balancer *balancer);

#endif
