/*
 * Flow lookups between director nodes: a node that receives a retransmitted
 * first packet of an unknown flow asks whether a peer has assigned the flow.
 */
#ifndef JT_PEER_FLOWS_H
#define JT_PEER_FLOWS_H

#include "jaspertrack/director-t.h"
#include "jt_peer_sender.h"

/* Callbacks that look up flows and receive responses. */
struct jt_peer_flow_handler {
	/* Returns the label of the flow whose first packet had @sequence; 0:
	 * unknown. */
	uint32_t (*label)(const struct jt_flow_key *key, uint32_t sequence,
			  void *private_data);
	/* A peer responded to a lookup of this node; @label as above. */
	void (*answered)(const struct jt_flow_key *key, uint32_t sequence,
			 uint32_t label, void *private_data);
	void *private_data;
};

/* Sends a lookup to the peers that may have assigned the flow. Returns their
 * number. */
size_t jt_peer_flows_lookup_send(struct jt_peer_sender *sender,
				 struct jt_membership *membership,
				 const struct jt_flow_key *key,
				 uint32_t sequence);
/* Responds to a lookup of the peer at @to. */
void jt_peer_flows_reply(struct jt_peer_sender *sender,
			 const struct jt_peer_flow_handler *handler,
			 struct jt_address to,
			 const jt_wire_flow_lookup *lookup);
/* Passes a peer's response to the handler. */
void jt_peer_flows_response_handle(
	const struct jt_peer_flow_handler *handler,
	const jt_wire_flow_lookup_response *response);

#endif
