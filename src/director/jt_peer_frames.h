/*
 * The frames of messages between director nodes: sealed for the peer that they
 * go to, opened and checked when they come, and counted both ways.
 */
#ifndef JT_PEER_FRAMES_H
#define JT_PEER_FRAMES_H

#include "jt_codec.h"

/* Messages of one kind, and their bytes. */
struct jt_message_count {
	uint64_t messages;
	uint64_t bytes;
};

/* Kinds of messages: enum jt_wire_director_kind, from 1 on. */
enum { JT_MESSAGE_KINDS = JT_WIRE_FLOW_ANSWER + 1 };

struct jt_peer_counters {
	struct jt_message_count sent[JT_MESSAGE_KINDS];
	struct jt_message_count received[JT_MESSAGE_KINDS];
	uint64_t rejected[JT_CODEC_SIZE + 1];
	uint64_t fetches;
	uint64_t fetches_failed;
	uint64_t fetches_served;
	uint64_t fetches_refused; /* this node was asked by too many */
};

/* One node's side of all frames. */
struct jt_peer_frames {
	struct jt_keys keys;
	struct jt_address address; /* of this node */
	uint64_t sequence;	   /* of the last frame that was sealed */
	struct jt_peer_counters counters;
};

/* The sealed bytes of @message for @to in @buffer; 0 where it is too small. */
size_t jt_peer_frames_seal(struct jt_peer_frames *frames, struct jt_address to,
			   const jt_wire_director_message *message,
			   uint8_t *buffer, size_t size);
/* False where the frame is not a peer's. Else @message, which was zero, is
 * freed by jt_peer_frames_free(). */
bool jt_peer_frames_open(struct jt_peer_frames *frames, const uint8_t *data,
			 size_t length, jt_wire_director_message *message);
void jt_peer_frames_free(jt_wire_director_message *message);

#endif
