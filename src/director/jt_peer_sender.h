/*
 * Sends messages to other director nodes: to one address, to all that are
 * heard, or to some of the own zone by turns.
 */
#ifndef JT_PEER_SENDER_H
#define JT_PEER_SENDER_H

#include "jt_membership.h"
#include "jt_peer_frames.h"

struct jt_peer_sender {
	int fd; /* -1: nothing is sent */
	struct jt_peer_frames frames;
	const struct jt_membership *membership;
	size_t some_next; /* place of the peer whose turn is next */
};

void jt_peer_sender_send(struct jt_peer_sender *sender, struct jt_address to,
			 const jt_wire_director_message *message);
/* To every live peer, or to those of this node's zone alone. */
void jt_peer_sender_send_all(struct jt_peer_sender *sender,
			     const jt_wire_director_message *message,
			     bool only_zone);
/* To so many live peers of the own zone; the next ones follow on. Nodes send
 * most flows to endpoints of their zone, so that those of others have little
 * use for the message, and bytes between zones cost. */
void jt_peer_sender_send_some(struct jt_peer_sender *sender,
			      const jt_wire_director_message *message,
			      size_t peers);

#endif
