/*
 * Gossip updates: sends the changes that a node has learned to a few peers,
 * several of them in one message.
 */
#ifndef JT_PEER_UPDATES_H
#define JT_PEER_UPDATES_H

#include "jt_peer_sender.h"
#include "jt_peer_snapshots.h"

#include <tevent.h>

/* Dependencies; all of them must outlive the module. */
struct jt_peer_updates_options {
	struct tevent_context *loop;
	struct jt_peer_sender *sender;
	struct jt_membership *membership;
	struct jt_snapshot_handler handler;
};

struct jt_peer_updates;

/* Returns NULL if memory runs out. */
struct jt_peer_updates *
jt_peer_updates_create(TALLOC_CTX *mem_ctx,
		       const struct jt_peer_updates_options *options);
/* Sends the changes since the last update shortly, unless that is due
 * already. */
void jt_peer_updates_schedule(struct jt_peer_updates *updates);

#endif
