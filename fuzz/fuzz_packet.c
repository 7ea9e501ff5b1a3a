/* Fuzzes client packets: the parser stays within its input, and the reset
 * that answers an accepted packet is itself accepted. */
#include "jt_packet.h"

#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void parse(const uint8_t *data, size_t size)
{
	uint8_t *packet =
		malloc(size ? size : 1); /* exact size, so that the sanitizer
					    detects overreads */
	struct jt_parsed parsed, reset_parsed;
	uint8_t reset[JT_RESET_SIZE];
	size_t length;

	memcpy(packet, data, size);
	if (jt_packet_parse(packet, size, &parsed) == JT_PACKET_OK) {
		length = jt_packet_reset(&parsed, reset);
		if (length > 0 &&
		    jt_packet_parse(reset, length, &reset_parsed) !=
			    JT_PACKET_OK)
			abort();
	}
	free(packet);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	uint8_t repaired[2048];

	parse(data, size);
	if (size < 40 || size > sizeof(repaired))
		return 0;
	/* Repair the IPv4 header: random bytes rarely pass its checks. */
	memcpy(repaired, data, size);
	repaired[0] = 0x45;
	repaired[2] = (uint8_t)(size >> 8);
	repaired[3] = (uint8_t)size;
	repaired[6] = repaired[7] = 0;
	repaired[9] = data[9] & 1 ? JT_PROTOCOL_TCP : JT_PROTOCOL_UDP;
	repaired[10] = repaired[11] = 0;
	{
		uint16_t sum = jt_checksum(repaired, 20, 0);

		repaired[10] = (uint8_t)(sum >> 8);
		repaired[11] = (uint8_t)sum;
	}
	parse(repaired, size);
	return 0;
}
