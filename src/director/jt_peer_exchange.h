/*
 * Communication with other director nodes at the peer address: digests, gossip
 * updates and death reports in datagrams, state snapshots over HTTP.
 */
#ifndef JT_PEER_EXCHANGE_H
#define JT_PEER_EXCHANGE_H

#include "jt_director_settings.h"
#include "jt_http_client.h"
#include "jt_snapshot_fetch.h"
#include "jt_log.h"
#include "jaspertrack/director-t.h"
#include "jt_membership.h"
#include "jt_peer_flows.h"
#include "jt_peer_frames.h"

/* Callbacks of the owner of a peer exchange. */
struct jt_peer_handler {
	/* Fills in this node's state. */
	void (*own_state)(struct jt_own_state *own, void *private_data);
	/* Writes the state that @snapshot_request asks for, as talloc children
	 * of @mem_ctx. Returns false if memory runs out. */
	bool (*snapshot)(TALLOC_CTX *mem_ctx,
			 const struct jt_snapshot_request *snapshot_request,
			 jt_wire_snapshot *snapshot, void *private_data);
	/* A part of a state snapshot was received. */
	void (*snapshot_part)(const jt_wire_snapshot *snapshot,
			      void *private_data);
	/* The snapshot is complete; @whole summarises its parts. */
	void (*snapshot_complete)(const struct jt_snapshot_fetch *whole,
				  void *private_data);
	/* Gossip updates were received. */
	void (*updates)(const jt_wire_update *update, void *private_data);
	/* A peer whose state is not newer than this node's reports that it is
	 * complete as of @as_of_ms; the node @reader read the store then. */
	void (*store_age)(uint64_t as_of_ms, uint64_t reader,
			  void *private_data);
	/* Returns this node's load on each endpoint. */
	size_t (*own_loads)(struct jt_endpoint_load loads[JT_LOAD_LIMIT],
			    void *private_data);
	/* A peer reported its load on each endpoint. */
	void (*loads)(uint64_t peer, const struct jt_endpoint_load *loads,
		      size_t count, void *private_data);
	/* A peer declared an endpoint dead, or reports that its responses are
	 * overdue. */
	void (*suspicion)(const jt_wire_suspicion *suspicion,
			  void *private_data);
	/* A peer reported failed requests. */
	void (*failures)(const struct jt_endpoint_failure *failures,
			 size_t count, void *private_data);
	struct jt_peer_flow_handler flows;
	void *private_data;
};

struct jt_peer_exchange;

/* Returns NULL on failure, with a message in @error if the peer address can't
 * be used. */
struct jt_peer_exchange *
jt_peer_exchange_create(TALLOC_CTX *mem_ctx, struct tevent_context *loop,
			struct jt_http_client *client, const struct jt_log *log,
			const struct jt_director_settings *settings,
			const struct jt_peer_handler *handler, char **error);
/* Reports a suspected endpoint to all live peers. */
void jt_peer_exchange_suspicion_send(struct jt_peer_exchange *exchange,
				     jt_wire_suspicion_kind kind,
				     uint64_t endpoint_id,
				     uint64_t start_time_ms);
/* Reports failed requests to @peers peers of the zone, in rotation. */
void jt_peer_exchange_failures_send(struct jt_peer_exchange *exchange,
				    const struct jt_endpoint_failure *failures,
				    size_t count, size_t peers);
/* Looks up at peers a flow whose first packet, with @sequence, was
 * retransmitted to this node. Returns the number of peers asked. */
size_t jt_peer_exchange_flow_lookup_send(struct jt_peer_exchange *exchange,
					 const struct jt_flow_key *key,
					 uint32_t sequence);
/* Sends this node's availability to all live peers at once. */
void jt_peer_exchange_availability_send(struct jt_peer_exchange *exchange);
/* Returns the state of the zone's other nodes, for a node that leaves. */
struct jt_zone_view
jt_peer_exchange_zone(const struct jt_peer_exchange *exchange);
/* Schedules gossip updates after a change of this node's state. */
void jt_peer_exchange_updates_schedule(struct jt_peer_exchange *exchange);
/* Applies reloaded settings: keys, seeds and limits may have changed. */
void jt_peer_exchange_reload(struct jt_peer_exchange *exchange,
			     const struct jt_director_settings *settings);
/* Returns the rank of this node, of capacity @own_capacity, among those that
 * can read the store. */
enum jt_reader_rank
jt_peer_exchange_reader_rank(const struct jt_peer_exchange *exchange,
			     uint32_t own_capacity);
/* Returns true if several nodes watch the store. */
bool jt_peer_exchange_many_watch(const struct jt_peer_exchange *exchange);
/* Returns true while a snapshot request to a peer is pending. */
bool jt_peer_exchange_fetching(const struct jt_peer_exchange *exchange);
/* Returns true if that peer has already sent a part of its snapshot. */
bool jt_peer_exchange_receiving(const struct jt_peer_exchange *exchange);
/* Returns this process's random id in the membership. */
uint64_t jt_peer_exchange_id(const struct jt_peer_exchange *exchange);
/* Returns the number of live peers. */
size_t jt_peer_exchange_live_count(const struct jt_peer_exchange *exchange);
/* Allocates the ids of the live peers below @mem_ctx. Returns their number. */
size_t jt_peer_exchange_ids(const struct jt_peer_exchange *exchange,
			    TALLOC_CTX *mem_ctx, uint64_t **ids);
/* Returns the name of a message kind on the metrics page. */
const char *jt_message_kind_name(jt_wire_director_kind kind);
const struct jt_peer_counters *
jt_peer_exchange_counters(const struct jt_peer_exchange *exchange);

#endif
