/* Entries of a peer's snapshot or gossip update that no node should send: they
 * do not affect the entries beside them. */
#include "director_fixture.h"

enum { FIRST_ID = 0x101, ODD_ID = 0x102, LAST_ID = 0x103, PORT_LIMIT = 65536 };

static jt_wire_entry wire_entry(uint64_t id)
{
	return (jt_wire_entry){
		.id = id,
		.service_id = SERVICE_BOARD,
		.zone_id = ZONE_A,
		.address = 0x0a000000 + (unsigned)(id & 0xff),
		.port = 8080,
		.capacity = 2,
		.revision = 2,
		.created_revision = 2,
	};
}

/* Returns the odd entry in each form; false after the last one. */
static bool odd_entry(int form, jt_wire_entry *entry)
{
	*entry = wire_entry(ODD_ID);
	switch (form) {
	case 0:
		entry->id = 0;
		return true;
	case 1:
		entry->port = 0;
		return true;
	case 2:
		entry->port = PORT_LIMIT;
		return true;
	case 3:
		entry->port = UINT32_MAX;
		return true;
	case 4: /* numbers as large as the message can hold */
		entry->capacity = UINT32_MAX;
		entry->cold_left_ms = UINT32_MAX;
		entry->start_time_ms = UINT64_MAX;
		return true;
	case 5: /* capacity times a rate would overflow */
		entry->capacity = 1u << 29;
		return true;
	case 6:
		entry->removed_revision = 3;
		entry->removed_age_ms = UINT32_MAX;
		entry->flags = UINT32_MAX;
		return true;
	default:
		return false;
	}
}

static void receive(struct fixture *fixture, const jt_wire_entry *entry)
{
	struct jt_director_event event;

	if (jt_snapshot_entry_event(entry, &event))
		fixture_handle(fixture, &event);
}

/* Opens flows until each of the two good endpoints has got one. */
static void expect_flows_to_good_endpoints(struct fixture *fixture)
{
	unsigned first = 0, last = 0;

	for (uint32_t i = 0; i < 1000 && (first == 0 || last == 0); i++) {
		struct client_flow flow =
			flow_new(fixture, CLIENT_IP + i, BOARD_PORT);
		uint64_t id = flow_send_syn(fixture, &flow);

		first += id == FIRST_ID;
		last += id == LAST_ID;
		fixture_tick(fixture, 100);
	}
	assert_true(first > 0);
	assert_true(last > 0);
}

/* Guards against an odd entry that ends the node, or hides the entries beside
 * it, during the initial synchronisation and after it. */
static void test_odd_entry_of_a_peer_does_not_affect_others(void **state)
{
	jt_wire_entry odd;

	(void)state;
	for (int form = 0; odd_entry(form, &odd); form++) {
		struct fixture *fixture = fixture_create(0);
		const jt_wire_entry first = wire_entry(FIRST_ID);
		const jt_wire_entry last = wire_entry(LAST_ID);

		fixture_set_routing(fixture, 1, 50, 50);
		receive(fixture, &first);
		receive(fixture, &odd);
		receive(fixture, &last);
		fixture_end_listing(fixture, 3);
		expect_flows_to_good_endpoints(fixture);
		fixture_tick(fixture, INITIAL_SYNC_MS);
		expect_flows_to_good_endpoints(fixture);
		talloc_free(fixture);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_odd_entry_of_a_peer_does_not_affect_others),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
