/*
 * Talks with other director nodes: digests, news and suspicions in datagrams,
 * what does not fit there over HTTP, both at the peer address.
 */
#ifndef JT_PEER_EXCHANGE_H
#define JT_PEER_EXCHANGE_H

#include "jt_director_settings.h"
#include "jt_http_client.h"
#include "jt_knowledge_fetch.h"
#include "jt_log.h"
#include "jaspertrack/director-t.h"
#include "jt_membership.h"
#include "jt_peer_flows.h"
#include "jt_peer_frames.h"

/* What the owner of a peer exchange provides and is told. */
struct jt_peer_handler {
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
	/* What has just changed. */
	void (*news)(const jt_wire_news *news, void *private_data);
	/* A peer that knows no more than this node has all that the store had
	 * at @as_of_ms, when @reader read it. */
	void (*store_heard)(uint64_t as_of_ms, uint64_t reader,
			    void *private_data);
	/* This node's share of the endpoints' flows. */
	size_t (*own_loads)(struct jt_endpoint_load loads[JT_LOAD_LIMIT],
			    void *private_data);
	/* A peer's share of them. */
	void (*loads)(uint64_t peer, const struct jt_endpoint_load *loads,
		      size_t count, void *private_data);
	/* A peer has found an endpoint dead, or gets no answers from it. */
	void (*suspicion)(const jt_wire_suspicion *suspicion,
			  void *private_data);
	/* A peer has seen requests fail. */
	void (*failures)(const struct jt_endpoint_failure *failures,
			 size_t count, void *private_data);
	struct jt_peer_flow_handler flows;
	void *private_data;
};

struct jt_peer_exchange;

/* NULL with a line in @error when the peer address can't be used. */
struct jt_peer_exchange *
jt_peer_exchange_create(TALLOC_CTX *mem_ctx, struct tevent_context *loop,
			struct jt_http_client *client, const struct jt_log *log,
			const struct jt_director_settings *settings,
			const struct jt_peer_handler *handler, char **error);
/* Tell every peer that is heard. */
void jt_peer_exchange_suspect(struct jt_peer_exchange *exchange,
			      jt_wire_suspicion_kind kind, uint64_t endpoint_id,
			      uint64_t born_ms);
/* Tell so many peers, by turns, of failed requests. */
void jt_peer_exchange_failures(struct jt_peer_exchange *exchange,
			       const struct jt_endpoint_failure *failures,
			       size_t count, size_t peers);
/* Ask peers for a flow whose first packet, with that sequence, came again here;
 * returns how many were asked. */
size_t jt_peer_exchange_ask_flow(struct jt_peer_exchange *exchange,
				 const struct jt_flow_key *key,
				 uint32_t sequence);
/* Tell every live peer at once how this node stands. */
void jt_peer_exchange_tell_all(struct jt_peer_exchange *exchange);
/* The other nodes, as one that leaves must see them. */
struct jt_zone_view
jt_peer_exchange_zone(const struct jt_peer_exchange *exchange);
/* This node has learned something: send it on, soon. */
void jt_peer_exchange_news(struct jt_peer_exchange *exchange);
/* Settings were read again: keys and seeds may have changed. */
void jt_peer_exchange_reload(struct jt_peer_exchange *exchange,
			     const struct jt_director_settings *settings);
/* Where this node, of weight @own_weight, stands among those that can read the
 * store. */
enum jt_reading_turn
jt_peer_exchange_reading_turn(const struct jt_peer_exchange *exchange,
			      uint32_t own_weight);
/* Whether a peer was asked for what it knows and has not answered yet. */
bool jt_peer_exchange_fetching(const struct jt_peer_exchange *exchange);
/* Whether such a peer has told a part already, and goes on. */
bool jt_peer_exchange_learns(const struct jt_peer_exchange *exchange);
/* The id of this process among its peers. */
uint64_t jt_peer_exchange_id(const struct jt_peer_exchange *exchange);
size_t jt_peer_exchange_live(const struct jt_peer_exchange *exchange);
/* Their ids, below @mem_ctx; returns how many. */
size_t jt_peer_exchange_ids(const struct jt_peer_exchange *exchange,
			    TALLOC_CTX *mem_ctx, uint64_t **ids);
/* What a kind of messages is called on the metrics page. */
const char *jt_message_kind_name(jt_wire_director_kind kind);
const struct jt_peer_counters *
jt_peer_exchange_counters(const struct jt_peer_exchange *exchange);

#endif
