/*
 * Frames of messages between director nodes: authenticates them on sending and
 * receiving, and counts them.
 */
#ifndef JT_PEER_FRAMES_H
#define JT_PEER_FRAMES_H

#include "jt_codec.h"

/* Size in bytes of the largest datagram between nodes: a digest and an update
 * fit into one packet of the network. */
enum { JT_PEER_DATAGRAM_MAX = 1400 };

/* Messages of one kind, and their total size. */
struct jt_message_count {
	uint64_t messages;
	uint64_t bytes;
};

/* Number of message kinds: enum jt_wire_director_kind starts at 1. */
enum { JT_MESSAGE_KINDS = JT_WIRE_FLOW_LOOKUP_RESPONSE + 1 };

/* Counters of messages and snapshots since the start. */
struct jt_peer_counters {
	struct jt_message_count sent[JT_MESSAGE_KINDS];
	struct jt_message_count received[JT_MESSAGE_KINDS];
	uint64_t rejected[JT_CODEC_SIZE + 1];
	uint64_t fetches;
	uint64_t fetches_failed;
	uint64_t fetches_served;
	uint64_t fetches_refused; /* over the budget for snapshots */
};

/* Keys and counters of one node. */
struct jt_peer_frames {
	struct jt_keys keys;
	struct jt_address address; /* of this node */
	uint64_t sequence;	   /* of the last frame sealed */
	struct jt_peer_counters counters;
};

/* Writes the sealed frame of @message for @to to @buffer. Returns its length,
 * 0 if @size is too small. */
size_t jt_peer_frames_seal(struct jt_peer_frames *frames, struct jt_address to,
			   const jt_wire_director_message *message,
			   uint8_t *buffer, size_t size);
/* Returns false if the frame is not valid. On success, @message, which must
 * be zeroed, is freed with jt_peer_frames_free(). */
bool jt_peer_frames_open(struct jt_peer_frames *frames, const uint8_t *data,
			 size_t length, jt_wire_director_message *message);
/* Frees what decoding allocated in @message. */
void jt_peer_frames_free(jt_wire_director_message *message);

#endif
