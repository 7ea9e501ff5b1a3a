/*
 * Encodes and authenticates messages between nodes. A frame consists of a key
 * id, a sequence number, the XDR body and a keyed BLAKE2b tag (RFC 7693).
 *
 * The tag covers the receiver's address, so that a message can't be replayed
 * to another node, and the sequence number, so that the receiver can reject
 * replays.
 */
#ifndef JT_CODEC_H
#define JT_CODEC_H

#include "jaspertrack/types-t.h"
#include "jt_director_proto.h"
#include "jt_proto.h"

#include <talloc.h>

enum {
	JT_KEY_BYTES = 32,
	JT_TAG_BYTES = 16,
	JT_KEY_LIMIT = 2,	 /* keys in use at once, for rotation */
	JT_FRAME_HEADER = 12,	 /* bytes: key id, padding, sequence */
	JT_FRAME_MAX = 65000,	 /* bytes of a datagram */
	JT_REPLAY_WINDOW = 1024, /* sequence numbers remembered */
};

enum jt_codec_error {
	JT_CODEC_OK,
	JT_CODEC_SHORT,	 /* invalid length */
	JT_CODEC_KEY,	 /* unknown key id */
	JT_CODEC_TAG,	 /* wrong tag, or meant for another receiver */
	JT_CODEC_BODY,	 /* invalid XDR body */
	JT_CODEC_REPLAY, /* duplicate, or older than the replay window */
	JT_CODEC_SIZE,	 /* too large to send */
};

struct jt_key {
	uint8_t id;
	uint8_t bytes[JT_KEY_BYTES];
};

/* The first key is used for sending; all are accepted on receipt. */
struct jt_keys {
	struct jt_key keys[JT_KEY_LIMIT];
	size_t count;
};

/* Sequence numbers received from a sender; initially all zero. */
struct jt_replay {
	uint64_t highest;
	uint64_t seen[JT_REPLAY_WINDOW / 64];
};

/*
 * Encodes @value with @encode into a frame of at most @capacity bytes for the
 * receiver @to. Returns the frame's length, 0 if it does not fit.
 */
size_t jt_frame_seal(const struct jt_keys *keys, struct jt_address to,
		     uint64_t sequence, xdrproc_t encode, const void *value,
		     uint8_t *frame, size_t capacity);
/*
 * Verifies a frame received at @to and decodes it into @value, which must be
 * zeroed. On JT_CODEC_OK the caller must release it with xdr_free() and check
 * @sequence with jt_replay_check().
 */
enum jt_codec_error jt_frame_open(const struct jt_keys *keys,
				  struct jt_address to, const uint8_t *frame,
				  size_t length, uint64_t *sequence,
				  xdrproc_t decode, void *value);

/* Encodes a message for @to. Returns the frame's length, 0 if too large. */
size_t jt_codec_encode(const struct jt_keys *keys, struct jt_address to,
		       uint64_t sequence, const jt_wire_message *message,
		       uint8_t frame[JT_FRAME_MAX]);
/*
 * Verifies and decodes a frame received at @to. On JT_CODEC_OK the caller must
 * release @message with jt_codec_free() and check @sequence with
 * jt_replay_check().
 */
enum jt_codec_error jt_codec_decode(const struct jt_keys *keys,
				    struct jt_address to, const uint8_t *frame,
				    size_t length, uint64_t *sequence,
				    jt_wire_message *message);
/* Frees the contents of a decoded message. */
void jt_codec_free(jt_wire_message *message);
/* Returns a static name for an error. */
const char *jt_codec_error_name(enum jt_codec_error error);
/* Records a sequence number. Returns false if it is a duplicate or older than
 * the window. */
bool jt_replay_check(struct jt_replay *replay, uint64_t sequence);

#endif
