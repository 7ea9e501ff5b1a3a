/*
 * A complete balancer: a node with its resource API, store access, health
 * probes and witness.
 */
#ifndef JT_BALANCER_H
#define JT_BALANCER_H

#include "jt_node.h"

struct jt_balancer;

struct jt_balancer_options {
	struct tevent_context *loop;
	const struct jt_log *log;
	struct jt_settings *settings; /* ownership passes to the balancer */
	/* The node has left its cell. Called once, from the loop. */
	void (*left)(void *private_data);
	void *private_data;
};

/* Returns NULL with a message in @error, a child of @mem_ctx, on failure. */
struct jt_balancer *
jt_balancer_create(TALLOC_CTX *mem_ctx,
		   const struct jt_balancer_options *options, char **error);
/* Returns the node, which @balancer owns. */
struct jt_node *jt_balancer_node(struct jt_balancer *balancer);

#endif
