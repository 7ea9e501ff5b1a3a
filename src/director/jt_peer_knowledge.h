/*
 * State snapshots over HTTP: requests from peers the state that this node
 * lacks, and serves its own state to peers that are behind.
 */
#ifndef JT_PEER_KNOWLEDGE_H
#define JT_PEER_KNOWLEDGE_H

#include "jt_http_client.h"
#include "jt_http_server.h"
#include "jt_knowledge_fetch.h"
#include "jt_log.h"
#include "jt_membership.h"
#include "jt_peer_frames.h"

#include <tevent.h>

/* Callbacks that provide this node's state and receive that of peers. */
struct jt_knowledge_handler {
	/* Fills in this node's state. */
	void (*own_state)(struct jt_own_state *own, void *private_data);
	/* Writes the state that a peer with @need lacks, as talloc children
	 * of @mem_ctx. Returns false if memory runs out. */
	bool (*knowledge)(TALLOC_CTX *mem_ctx,
			  const struct jt_knowledge_need *need,
			  jt_wire_knowledge *snapshot, void *private_data);
	/* A part of a snapshot was received. */
	void (*learned)(const jt_wire_knowledge *snapshot, void *private_data);
	/* The snapshot is complete; @whole summarises its parts. */
	void (*learned_all)(const struct jt_knowledge_fetch *whole,
			    void *private_data);
	void *private_data;
};

/* Dependencies; all of them must outlive the module. */
struct jt_peer_knowledge_options {
	struct tevent_context *loop;
	struct jt_http_client *client;
	const struct jt_log *log;
	struct jt_membership *membership; /* selects the peer to request from */
	struct jt_peer_frames *frames;
	struct jt_knowledge_handler handler;
};

struct jt_peer_knowledge;

/* Returns NULL if memory or descriptors run out. */
struct jt_peer_knowledge *
jt_peer_knowledge_create(TALLOC_CTX *mem_ctx,
			 const struct jt_peer_knowledge_options *options);
/* Sets the link speed in Mbit/s, which limits the bytes served to peers. */
void jt_peer_knowledge_set_link(struct jt_peer_knowledge *snapshots,
				uint32_t link_mbps);
/* Requests a snapshot from a peer with newer state, if that is due. */
void jt_peer_knowledge_look(struct jt_peer_knowledge *snapshots,
			    uint64_t now_ms);
/* Serves a peer's request (a callback of the HTTP server); @private_data is
 * the struct jt_peer_knowledge. */
void jt_peer_knowledge_request(struct jt_http_request *request,
			       void *private_data);
/* Returns true while a request to a peer is pending. */
bool jt_peer_knowledge_fetching(const struct jt_peer_knowledge *snapshots);
/* Returns true if that peer has already sent a part of its snapshot. */
bool jt_peer_knowledge_learns(const struct jt_peer_knowledge *snapshots);

#endif
