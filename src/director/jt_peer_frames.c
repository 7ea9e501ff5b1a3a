#include "jt_peer_frames.h"

static void count_add(struct jt_message_count *counts,
		      jt_wire_director_kind kind, size_t bytes)
{
	counts[kind].messages++;
	counts[kind].bytes += bytes;
}

size_t jt_peer_frames_seal(struct jt_peer_frames *frames, struct jt_address to,
			   const jt_wire_director_message *message,
			   uint8_t *buffer, size_t size)
{
	size_t length = jt_frame_seal(&frames->keys, to, ++frames->sequence,
				      (xdrproc_t)xdr_jt_wire_director_message,
				      message, buffer, size);

	if (length == 0)
		frames->counters.rejected[JT_CODEC_SIZE]++;
	else
		count_add(frames->counters.sent, message->body.kind, length);
	return length;
}

bool jt_peer_frames_open(struct jt_peer_frames *frames, const uint8_t *data,
			 size_t length, jt_wire_director_message *message)
{
	uint64_t sequence;
	enum jt_codec_error error = jt_frame_open(
		&frames->keys, frames->address, data, length, &sequence,
		(xdrproc_t)xdr_jt_wire_director_message, message);

	if (error != JT_CODEC_OK) {
		frames->counters.rejected[error]++;
		return false;
	}
	count_add(frames->counters.received, message->body.kind, length);
	return true;
}

void jt_peer_frames_free(jt_wire_director_message *message)
{
	xdr_free((xdrproc_t)xdr_jt_wire_director_message, message);
}
