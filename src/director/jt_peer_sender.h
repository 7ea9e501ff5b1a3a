/*
 * Sends messages to other director nodes: to one address, to all live peers,
 * or to some peers of the zone in rotation.
 */
#ifndef JT_PEER_SENDER_H
#define JT_PEER_SENDER_H

#include "jt_membership.h"
#include "jt_peer_frames.h"

struct jt_peer_sender {
	int fd; /* -1: not open */
	struct jt_peer_frames frames;
	const struct jt_membership *membership;
	size_t next_index; /* index of the next peer in the rotation */
};

/* Sends a datagram; a message that is too long is dropped and counted. */
void jt_peer_sender_send(struct jt_peer_sender *sender, struct jt_address to,
			 const jt_wire_director_message *message);
/* Sends to every live peer, or only to those of this node's zone. */
void jt_peer_sender_send_all(struct jt_peer_sender *sender,
			     const jt_wire_director_message *message,
			     bool only_zone);
/* Sends to the next @peers live peers of this node's zone. Other zones are
 * left out: their nodes send few flows to endpoints here, and bytes between
 * zones cost. */
void jt_peer_sender_send_rotating(struct jt_peer_sender *sender,
				  const jt_wire_director_message *message,
				  size_t peers);

#endif
