/*
 * Questions between director nodes about flows: a copy of a first packet came
 * to one that saw none before, and another may have placed the flow.
 */
#ifndef JT_PEER_FLOWS_H
#define JT_PEER_FLOWS_H

#include "jaspertrack/director-t.h"
#include "jt_peer_sender.h"

/* What a node knows of flows, and is told. */
struct jt_peer_flow_handler {
	/* The label of the flow whose first packet had @sequence; 0: not known
	 * here. */
	uint32_t (*label)(const struct jt_flow_key *key, uint32_t sequence,
			  void *private_data);
	/* A peer's answer to a question of this node; @label as above. */
	void (*told)(const struct jt_flow_key *key, uint32_t sequence,
		     uint32_t label, void *private_data);
	void *private_data;
};

/* Ask the peers that may know; returns how many there are. */
size_t jt_peer_flows_ask(struct jt_peer_sender *sender,
			 struct jt_membership *membership,
			 const struct jt_flow_key *key, uint32_t sequence);
/* Answer the peer at @to. */
void jt_peer_flows_reply(struct jt_peer_sender *sender,
			 const struct jt_peer_flow_handler *handler,
			 struct jt_address to,
			 const jt_wire_flow_question *question);
/* Hand a peer's answer on. */
void jt_peer_flows_take(const struct jt_peer_flow_handler *handler,
			const jt_wire_flow_answer *answer);

#endif
