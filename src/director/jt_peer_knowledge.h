/*
 * What nodes know, fetched over HTTP by those that are behind, as it may be
 * long: asks a peer for what this node lacks, and answers peers that ask.
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

/* What this node knows, and who takes what peers know. */
struct jt_knowledge_handler {
	void (*own_state)(struct jt_own_state *own, void *private_data);
	/* What this node knows and one that asks for @need does not; below
	 * @mem_ctx. */
	bool (*knowledge)(TALLOC_CTX *mem_ctx,
			  const struct jt_knowledge_need *need,
			  jt_wire_knowledge *knowledge, void *private_data);
	/* A part of what peers know. */
	void (*learned)(const jt_wire_knowledge *knowledge, void *private_data);
	/* That was the last part: @whole is what all of them amount to. */
	void (*learned_all)(const struct jt_knowledge_fetch *whole,
			    void *private_data);
	void *private_data;
};

/* What the module works with; all of it outlives the module. */
struct jt_peer_knowledge_options {
	struct tevent_context *loop;
	struct jt_http_client *client;
	const struct jt_log *log;
	struct jt_membership *membership; /* whom to ask */
	struct jt_peer_frames *frames;
	struct jt_knowledge_handler handler;
};

struct jt_peer_knowledge;

/* NULL where memory or descriptors run out. */
struct jt_peer_knowledge *
jt_peer_knowledge_create(TALLOC_CTX *mem_ctx,
			 const struct jt_peer_knowledge_options *options);
/* The link's speed, in Mbit/s: it bounds how much is served to others. */
void jt_peer_knowledge_set_link(struct jt_peer_knowledge *knowledge,
				uint32_t link_mbps);
/* Fetch from a peer that knows more, if that is due. */
void jt_peer_knowledge_look(struct jt_peer_knowledge *knowledge,
			    uint64_t now_ms);
/* A peer asks for what it lacks: a callback of the HTTP server, whose
 * @private_data is the module. */
void jt_peer_knowledge_request(struct jt_http_request *request,
			       void *private_data);
/* Whether a peer was asked and has not answered yet. */
bool jt_peer_knowledge_fetching(const struct jt_peer_knowledge *knowledge);
/* Whether such a peer has told a part already, and goes on. */
bool jt_peer_knowledge_learns(const struct jt_peer_knowledge *knowledge);

#endif
