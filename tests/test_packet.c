/* Tests of parsing client packets, the reasons for drops, and reset packets. */
#include "test.h"

#include "jt_packet.h"

static void put16(uint8_t *at, uint16_t value)
{
	at[0] = (uint8_t)(value >> 8);
	at[1] = (uint8_t)value;
}

/* Writes a valid SYN of 40 bytes from 10.0.0.1:1234 to 10.0.0.2:80. */
static void make_syn(uint8_t packet[40])
{
	memset(packet, 0, 40);
	packet[0] = 0x45;
	put16(packet + 2, 40);
	packet[8] = 64;
	packet[9] = JT_PROTOCOL_TCP;
	packet[12] = packet[16] = 10;
	packet[15] = 1;
	packet[19] = 2;
	put16(packet + 10, jt_checksum(packet, 20, 0));
	put16(packet + 20, 1234);
	put16(packet + 22, 80);
	packet[27] = 9; /* sequence number */
	packet[32] = 5 << 4;
	packet[33] = JT_TCP_SYN;
}

static void update_checksum(uint8_t *packet)
{
	put16(packet + 10, 0);
	put16(packet + 10, jt_checksum(packet, 20, 0));
}

static void test_valid_packet(void **state)
{
	struct jt_parsed parsed;
	uint8_t packet[40];

	(void)state;
	make_syn(packet);
	assert_int_equal(jt_packet_parse(packet, 40, &parsed), JT_PACKET_OK);
	assert_int_equal(parsed.key.source, 0x0a000001);
	assert_int_equal(parsed.key.destination, 0x0a000002);
	assert_int_equal(parsed.key.source_port, 1234);
	assert_int_equal(parsed.key.destination_port, 80);
	assert_int_equal(parsed.tcp_flags, JT_TCP_SYN);
	assert_int_equal(parsed.segment_length, 1);
}

static void test_invalid_packets(void **state)
{
	static const struct {
		size_t at;
		uint8_t value;
		enum jt_packet_error error;
	} cases[] = {
		{0, 0x65, JT_PACKET_IPV6},
		{0, 0x15, JT_PACKET_VERSION},
		{0, 0x46, JT_PACKET_OPTIONS},
		{0, 0x44, JT_PACKET_LENGTH},
		{3, 41, JT_PACKET_LENGTH},
		{3, 39, JT_PACKET_LENGTH},
		{6, 0x20, JT_PACKET_FRAGMENT},
		{7, 1, JT_PACKET_FRAGMENT},
		{9, 47, JT_PACKET_PROTOCOL},
		{32, 0x40, JT_PACKET_HEADER},
		{32, 0xf0, JT_PACKET_HEADER},
		{33, 0, JT_PACKET_FLAGS},
		{33, JT_TCP_SYN | JT_TCP_FIN, JT_PACKET_FLAGS},
		{33, JT_TCP_SYN | JT_TCP_ACK, JT_PACKET_FLAGS},
	};
	struct jt_parsed parsed;
	uint8_t packet[40];

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		make_syn(packet);
		packet[cases[i].at] = cases[i].value;
		update_checksum(packet);
		assert_int_equal(jt_packet_parse(packet, 40, &parsed),
				 cases[i].error);
	}
	make_syn(packet);
	packet[15] ^= 1;
	assert_int_equal(jt_packet_parse(packet, 40, &parsed),
			 JT_PACKET_CHECKSUM);
	for (size_t length = 0; length < 20; length++)
		assert_int_not_equal(jt_packet_parse(packet, length, &parsed),
				     JT_PACKET_OK);
}

static void test_reset(void **state)
{
	struct jt_parsed parsed, parsed_reset;
	uint8_t packet[40], reset[JT_RESET_SIZE];

	(void)state;
	make_syn(packet);
	jt_packet_parse(packet, 40, &parsed);
	assert_int_equal(jt_packet_reset(&parsed, reset), JT_RESET_SIZE);
	assert_int_equal(jt_packet_parse(reset, JT_RESET_SIZE, &parsed_reset),
			 JT_PACKET_OK);
	assert_int_equal(parsed_reset.key.source, parsed.key.destination);
	assert_int_equal(parsed_reset.key.destination, parsed.key.source);
	assert_int_equal(parsed_reset.tcp_flags, JT_TCP_RST | JT_TCP_ACK);
	/* RFC 9293: a reset that does not acknowledge the SYN is ignored. */
	assert_int_equal(parsed_reset.acknowledgment, 10);
	parsed.tcp_flags = JT_TCP_RST;
	assert_int_equal(jt_packet_reset(&parsed, reset), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_valid_packet),
		cmocka_unit_test(test_invalid_packets),
		cmocka_unit_test(test_reset),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
