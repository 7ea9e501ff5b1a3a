/*
 * Flow queries between director nodes: a node that receives a retransmitted
 * first packet of an unknown flow asks whether a peer has assigned the flow.
 */
#ifndef JT_PEER_FLOWS_H
#define JT_PEER_FLOWS_H

#include "jaspertrack/director-t.h"
#include "jt_peer_sender.h"

/* Callbacks that look up flows and receive answers. */
struct jt_peer_flow_handler {
	/* Returns the label of the flow whose first packet had @sequence; 0:
	 * unknown. */
	uint32_t (*label)(const struct jt_flow_key *key, uint32_t sequence,
			  void *private_data);
	/* A peer answered a query of this node; @label as above. */
	void (*told)(const struct jt_flow_key *key, uint32_t sequence,
		     uint32_t label, void *private_data);
	void *private_data;
};

/* Queries the peers that may have assigned the flow. Returns their number. */
size_t jt_peer_flows_ask(struct jt_peer_sender *sender,
			 struct jt_membership *membership,
			 const struct jt_flow_key *key, uint32_t sequence);
/* Answers a query of the peer at @to. */
void jt_peer_flows_reply(struct jt_peer_sender *sender,
			 const struct jt_peer_flow_handler *handler,
			 struct jt_address to,
			 const jt_wire_flow_question *question);
/* Passes a peer's answer to the handler. */
void jt_peer_flows_take(const struct jt_peer_flow_handler *handler,
			const jt_wire_flow_answer *answer);

#endif
