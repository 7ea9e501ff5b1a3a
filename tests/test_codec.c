/* Tests of frames between nodes: authentication, key rotation and replays. */
#include "test.h"

#include "jt_codec.h"

#include <sodium.h>

static const struct jt_address receiver = {0x7f000001, 6081};
static const struct jt_address other_receiver = {0x7f000002, 6081};
static uint8_t frame[JT_FRAME_MAX];

static struct jt_keys one_key(uint8_t id)
{
	struct jt_keys keys = {.count = 1};

	keys.keys[0].id = id;
	memset(keys.keys[0].bytes, id, JT_KEY_BYTES);
	return keys;
}

static size_t encode(const struct jt_keys *keys, uint64_t sequence)
{
	jt_wire_message message = {.from = 42,
				   .body.kind = JT_WIRE_STATE_REQUEST};

	message.body.jt_wire_body_u.state_request.epoch = 7;
	return jt_codec_encode(keys, receiver, sequence, &message, frame);
}

static enum jt_codec_error decode(const struct jt_keys *keys,
				  struct jt_address to, size_t length)
{
	enum jt_codec_error error;
	jt_wire_message message;
	uint64_t sequence;

	error = jt_codec_decode(keys, to, frame, length, &sequence, &message);
	if (error == JT_CODEC_OK) {
		assert_int_equal(message.from, 42);
		assert_int_equal(
			message.body.jt_wire_body_u.state_request.epoch, 7);
		jt_codec_free(&message);
	}
	return error;
}

static void test_round_trip_and_corruption(void **state)
{
	struct jt_keys keys = one_key(1);
	size_t length = encode(&keys, 5);

	(void)state;
	assert_int_equal(decode(&keys, receiver, length), JT_CODEC_OK);
	assert_int_equal(decode(&keys, other_receiver, length), JT_CODEC_TAG);
	for (size_t i = 1; i < length; i++) {
		frame[i] ^= 0x10;
		assert_int_equal(decode(&keys, receiver, length), JT_CODEC_TAG);
		frame[i] ^= 0x10;
	}
	assert_int_equal(decode(&keys, receiver, length - 1), JT_CODEC_TAG);
	assert_int_equal(decode(&keys, receiver, 10), JT_CODEC_SHORT);
}

static void test_key_rotation(void **state)
{
	struct jt_keys old_keys = one_key(1), both_keys = one_key(1),
		       new_keys = one_key(2);
	size_t length = encode(&old_keys, 1);

	(void)state;
	assert_int_equal(decode(&new_keys, receiver, length), JT_CODEC_KEY);
	both_keys.keys[1] = new_keys.keys[0];
	both_keys.count = 2;
	assert_int_equal(decode(&both_keys, receiver, length), JT_CODEC_OK);
	length = encode(&new_keys, 1);
	assert_int_equal(decode(&both_keys, receiver, length), JT_CODEC_OK);
	assert_int_equal(decode(&old_keys, receiver, length), JT_CODEC_KEY);
}

static void test_replay_window(void **state)
{
	struct jt_replay replay = {0};

	(void)state;
	assert_true(jt_replay_check(&replay, 10));
	assert_false(jt_replay_check(&replay, 10));
	assert_true(jt_replay_check(&replay, 9));
	assert_true(jt_replay_check(&replay, 5000));
	assert_false(jt_replay_check(&replay, 5000 - JT_REPLAY_WINDOW));
	assert_true(jt_replay_check(&replay, 5001 - JT_REPLAY_WINDOW));
	assert_false(jt_replay_check(&replay, 5001 - JT_REPLAY_WINDOW));
	assert_false(jt_replay_check(&replay, 10));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_round_trip_and_corruption),
		cmocka_unit_test(test_key_rotation),
		cmocka_unit_test(test_replay_window),
	};

	if (sodium_init() < 0)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
