/* Sizes of the messages between director nodes. */
#include "test.h"

#include "jt_peer_frames.h"

#include <string.h>

/* Guards against an update with as many entries and zone drains as allowed that
 * does not fit into a datagram and is never sent. */
static void test_largest_update_fits_into_a_datagram(void **state)
{
	char name[JT_DIRECTOR_MAX_NAME + 1];
	jt_wire_entry entries[JT_DIRECTOR_MAX_UPDATE_ENTRIES] = {0};
	jt_wire_zone_drain zones[JT_DIRECTOR_MAX_UPDATE_ZONES] = {0};
	jt_wire_director_message message = {.body.kind = JT_WIRE_UPDATE};
	jt_wire_update *update = &message.body.jt_wire_director_body_u.update;
	size_t size;

	(void)state;
	memset(name, 'a', JT_DIRECTOR_MAX_NAME);
	name[JT_DIRECTOR_MAX_NAME] = '\0';
	for (int i = 0; i < JT_DIRECTOR_MAX_UPDATE_ZONES; i++)
		zones[i].zone = name;
	update->entries.entries_val = entries;
	update->entries.entries_len = JT_DIRECTOR_MAX_UPDATE_ENTRIES;
	update->zones.zones_val = zones;
	update->zones.zones_len = JT_DIRECTOR_MAX_UPDATE_ZONES;
	size = xdr_sizeof((xdrproc_t)xdr_jt_wire_director_message, &message);
	assert_true(size + JT_FRAME_HEADER + JT_TAG_BYTES <=
		    JT_PEER_DATAGRAM_MAX);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_largest_update_fits_into_a_datagram),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
