/*
 * Messages between nodes on the wire: a key id, a sequence number, the XDR
 * body and a keyed BLAKE2b tag (RFC 7693, through libsodium).
 *
 * The tag covers the receiver's address, so that a message can't be played
 * to another node, and the sequence number, so that none is taken twice.
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
	JT_KEY_LIMIT = 2,	 /* keys in force at once */
	JT_FRAME_HEADER = 12,	 /* key id, padding, sequence */
	JT_FRAME_MAX = 65000,	 /* bytes of one datagram */
	JT_REPLAY_WINDOW = 1024, /* sequence numbers remembered */
};

enum jt_codec_error {
	JT_CODEC_OK,
	JT_CODEC_SHORT,
	JT_CODEC_KEY,	 /* no such key here */
	JT_CODEC_TAG,	 /* not made with the key for this receiver */
	JT_CODEC_BODY,	 /* not a message */
	JT_CODEC_REPLAY, /* taken before, or too old to tell */
	JT_CODEC_SIZE,	 /* too large to send */
};

struct jt_key {
	uint8_t id;
	uint8_t bytes[JT_KEY_BYTES];
};

/* The first key signs; all of them are accepted. */
struct jt_keys {
	struct jt_key keys[JT_KEY_LIMIT];
	size_t count;
};

/* Sequence numbers seen from one sender. */
struct jt_replay {
	uint64_t highest;
	uint64_t seen[JT_REPLAY_WINDOW / 64];
};

/*
 * Write a frame of @value, as @encode puts it, for @to into @room bytes.
 * Returns its length, 0 when it does not fit.
 */
size_t jt_frame_seal(const struct jt_keys *keys, struct jt_address to,
		     uint64_t sequence, xdrproc_t encode, const void *value,
		     uint8_t *frame, size_t room);
/*
 * Read a frame sent to @to into the zeroed @value; on JT_CODEC_OK it must be
 * given to xdr_free(), with @decode.
 */
enum jt_codec_error jt_frame_open(const struct jt_keys *keys,
				  struct jt_address to, const uint8_t *frame,
				  size_t length, uint64_t *sequence,
				  xdrproc_t decode, void *value);

/* Write a frame for @to. Returns its length, 0 when it is too large. */
size_t jt_codec_encode(const struct jt_keys *keys, struct jt_address to,
		       uint64_t sequence, const jt_wire_message *message,
		       uint8_t frame[JT_FRAME_MAX]);
/*
 * Read a frame sent to @to. On JT_CODEC_OK @message must be given to
 * jt_codec_free(), and @sequence to jt_replay_check().
 */
enum jt_codec_error jt_codec_decode(const struct jt_keys *keys,
				    struct jt_address to, const uint8_t *frame,
				    size_t length, uint64_t *sequence,
				    jt_wire_message *message);
void jt_codec_free(jt_wire_message *message);
const char *jt_codec_error_name(enum jt_codec_error error);
/* False when the number was seen before or lies behind the window. */
bool jt_replay_check(struct jt_replay *replay, uint64_t sequence);

#endif
