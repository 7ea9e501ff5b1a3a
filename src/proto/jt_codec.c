#include "jt_codec.h"

#include <sodium.h>
#include <string.h>

static void write64(uint8_t *bytes, uint64_t value)
{
	for (int i = 7; i >= 0; i--) {
		bytes[i] = (uint8_t)value;
		value >>= 8;
	}
}

static uint64_t read64(const uint8_t *bytes)
{
	uint64_t value = 0;

	for (int i = 0; i < 8; i++)
		value = value << 8 | bytes[i];
	return value;
}

static void frame_tag(const struct jt_key *key, struct jt_address to,
		      const uint8_t *frame, size_t length,
		      uint8_t tag[JT_TAG_BYTES])
{
	crypto_generichash_state state;
	uint8_t receiver[8];

	write64(receiver, (uint64_t)to.ip << 16 | to.port);
	crypto_generichash_init(&state, key->bytes, JT_KEY_BYTES, JT_TAG_BYTES);
	crypto_generichash_update(&state, receiver, sizeof(receiver));
	crypto_generichash_update(&state, frame, length);
	crypto_generichash_final(&state, tag, JT_TAG_BYTES);
}

size_t jt_frame_seal(const struct jt_keys *keys, struct jt_address to,
		     uint64_t sequence, xdrproc_t encode, const void *value,
		     uint8_t *frame, size_t capacity)
{
	size_t length;
	bool complete;
	XDR xdr;

	if (keys->count == 0 || capacity < JT_FRAME_HEADER + JT_TAG_BYTES)
		return 0;
	memset(frame, 0, JT_FRAME_HEADER);
	frame[0] = keys->keys[0].id;
	write64(frame + 4, sequence);
	xdrmem_create(&xdr, (char *)frame + JT_FRAME_HEADER,
		      (u_int)(capacity - JT_FRAME_HEADER - JT_TAG_BYTES),
		      XDR_ENCODE);
	complete = encode(&xdr, (void *)value);
	length = JT_FRAME_HEADER + xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	if (!complete)
		return 0;
	frame_tag(&keys->keys[0], to, frame, length, frame + length);
	return length + JT_TAG_BYTES;
}

size_t jt_codec_encode(const struct jt_keys *keys, struct jt_address to,
		       uint64_t sequence, const jt_wire_message *message,
		       uint8_t frame[JT_FRAME_MAX])
{
	return jt_frame_seal(keys, to, sequence, (xdrproc_t)xdr_jt_wire_message,
			     message, frame, JT_FRAME_MAX);
}

static const struct jt_key *find_key(const struct jt_keys *keys, uint8_t id)
{
	for (size_t i = 0; i < keys->count; i++) {
		if (keys->keys[i].id == id)
			return &keys->keys[i];
	}
	return NULL;
}

enum jt_codec_error jt_frame_open(const struct jt_keys *keys,
				  struct jt_address to, const uint8_t *frame,
				  size_t length, uint64_t *sequence,
				  xdrproc_t decode, void *value)
{
	uint8_t tag[JT_TAG_BYTES];
	const struct jt_key *key;
	size_t signed_length;
	bool complete;
	XDR xdr;

	if (length < JT_FRAME_HEADER + JT_TAG_BYTES)
		return JT_CODEC_SHORT;
	key = find_key(keys, frame[0]);
	if (key == NULL)
		return JT_CODEC_KEY;
	signed_length = length - JT_TAG_BYTES;
	frame_tag(key, to, frame, signed_length, tag);
	if (sodium_memcmp(tag, frame + signed_length, JT_TAG_BYTES) != 0)
		return JT_CODEC_TAG;
	xdrmem_create(&xdr, (char *)frame + JT_FRAME_HEADER,
		      (u_int)(signed_length - JT_FRAME_HEADER), XDR_DECODE);
	complete = decode(&xdr, value) &&
		   xdr_getpos(&xdr) == signed_length - JT_FRAME_HEADER;
	xdr_destroy(&xdr);
	if (!complete) {
		xdr_free(decode, value);
		return JT_CODEC_BODY;
	}
	*sequence = read64(frame + 4);
	return JT_CODEC_OK;
}

enum jt_codec_error jt_codec_decode(const struct jt_keys *keys,
				    struct jt_address to, const uint8_t *frame,
				    size_t length, uint64_t *sequence,
				    jt_wire_message *message)
{
	if (length > JT_FRAME_MAX)
		return JT_CODEC_SHORT;
	memset(message, 0, sizeof(*message));
	return jt_frame_open(keys, to, frame, length, sequence,
			     (xdrproc_t)xdr_jt_wire_message, message);
}

void jt_codec_free(jt_wire_message *message)
{
	xdr_free((xdrproc_t)xdr_jt_wire_message, (char *)message);
}

const char *jt_codec_error_name(enum jt_codec_error error)
{
	static const char *const names[] = {
		[JT_CODEC_OK] = "ok",	  [JT_CODEC_SHORT] = "short",
		[JT_CODEC_KEY] = "key",	  [JT_CODEC_TAG] = "tag",
		[JT_CODEC_BODY] = "body", [JT_CODEC_REPLAY] = "replay",
		[JT_CODEC_SIZE] = "size",
	};

	return names[error];
}

bool jt_replay_check(struct jt_replay *replay, uint64_t sequence)
{
	uint64_t advance;
	size_t bit = sequence % JT_REPLAY_WINDOW;

	if (sequence > replay->highest) {
		advance = sequence - replay->highest;
		if (advance > JT_REPLAY_WINDOW)
			advance = JT_REPLAY_WINDOW;
		for (uint64_t i = 0; i < advance; i++) {
			size_t slot = (sequence - i) % JT_REPLAY_WINDOW;

			replay->seen[slot / 64] &= ~(1ull << (slot % 64));
		}
		replay->highest = sequence;
	} else if (replay->highest - sequence >= JT_REPLAY_WINDOW) {
		return false;
	}
	if (replay->seen[bit / 64] >> (bit % 64) & 1)
		return false;
	replay->seen[bit / 64] |= 1ull << (bit % 64);
	return true;
}
