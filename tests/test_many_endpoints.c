/* Tests a large number of endpoints, and endpoint ids that share a label. */
#include "director_fixture.h"
#include "jt_director_private.h"
#include "jt_snapshot_fetch.h"

#include <math.h>

enum {
	ENDPOINTS = 20000,
	FLOWS = 3 * ENDPOINTS,
	FIRST_ID = 0x10000,
};

/* Returns an entry with its own address. */
static struct jt_endpoint_entry make_numbered_entry(uint32_t number)
{
	struct jt_endpoint_entry entry = make_entry(
		FIRST_ID + number, SERVICE_BOARD, ZONE_A, 2 + number);

	entry.address = (struct jt_address){0x0a000000 + number, 8080};
	return entry;
}

static struct fixture *fixture_with_endpoints(uint32_t count)
{
	struct fixture *fixture = fixture_create(0);

	fixture_set_routing(fixture, 1, 50, 50);
	for (uint32_t i = 0; i < count; i++)
		fixture_set_entry(fixture, make_numbered_entry(i));
	fixture_end_listing(fixture, 2 + count);
	fixture_tick(fixture, INITIAL_SYNC_MS);
	return fixture;
}

static void test_all_endpoints_are_stored(void **state)
{
	struct fixture *fixture = fixture_with_endpoints(ENDPOINTS);

	(void)state;
	assert_int_equal(
		jt_director_counters(fixture->director)->entries_refused, 0);
	assert_int_equal(jt_director_endpoint_count(fixture->director,
						    JT_INCARNATION_READY),
			 ENDPOINTS);
	talloc_free(fixture);
}

/* A peer that fetches all slices learns all endpoints. */
static void test_snapshot_slices_hold_all_endpoints(void **state)
{
	struct fixture *from = fixture_with_endpoints(ENDPOINTS);
	struct fixture *to = fixture_create(0);
	struct jt_snapshot_fetch fetch = {0};
	const struct jt_own_state own = {0};
	struct jt_director_event event;
	jt_wire_snapshot snapshot;
	bool complete = false;
	u_int most = 0;

	(void)state;
	fixture_set_routing(to, 1, 50, 50);
	while (!complete) {
		const struct jt_snapshot_request request =
			jt_snapshot_fetch_request(&fetch, &own);

		assert_true(jt_snapshot_write(to, from->director, &request,
					      from->now_ms, &snapshot));
		for (u_int i = 0; i < snapshot.entries.entries_len; i++) {
			assert_true(jt_snapshot_entry_event(
				&snapshot.entries.entries_val[i], &event));
			fixture_handle(to, &event);
		}
		if (snapshot.entries.entries_len > most)
			most = snapshot.entries.entries_len;
		complete = jt_snapshot_fetch_record(&fetch, &snapshot,
						    from->now_ms);
	}
	assert_in_range(most, 1, ENDPOINTS / 20);
	assert_int_equal(fetch.revision, 2 + ENDPOINTS);
	assert_int_equal(
		jt_director_endpoint_count(to->director, JT_INCARNATION_READY),
		ENDPOINTS);
	talloc_free(to);
	talloc_free(from);
}

/* A node that has not started sends some of the endpoints that it knows; they
 * don't count as a slice. */
static void test_starting_node_sends_some_endpoints(void **state)
{
	struct fixture *from = fixture_create(0);
	struct jt_snapshot_fetch fetch = {0};
	const struct jt_own_state own = {0};
	const struct jt_snapshot_request request =
		jt_snapshot_fetch_request(&fetch, &own);
	jt_wire_snapshot snapshot;

	(void)state;
	fixture_set_routing(from, 1, 50, 50);
	for (uint32_t i = 0; i < 2000; i++)
		fixture_set_entry(from, make_numbered_entry(i));
	assert_true(jt_snapshot_write(from, from->director, &request,
				      from->now_ms, &snapshot));
	assert_in_range(snapshot.entries.entries_len, 1, 600);
	assert_int_equal(snapshot.routing.routing_version, 1);
	assert_false(jt_snapshot_fetch_record(&fetch, &snapshot, from->now_ms));
	assert_int_equal(jt_snapshot_fetch_request(&fetch, &own).slice, 0);
	talloc_free(from);
}

/* Of few endpoints it sends at least a third each time. */
static void test_starting_node_sends_a_third_of_few_endpoints(void **state)
{
	enum { FEW = 200 };
	struct fixture *from = fixture_create(0);
	const struct jt_snapshot_request request = {0};
	jt_wire_snapshot snapshot;
	u_int least = FEW;

	(void)state;
	fixture_set_routing(from, 1, 50, 50);
	for (uint32_t i = 0; i < FEW; i++)
		fixture_set_entry(from, make_numbered_entry(i));
	for (uint64_t ms = 0; ms < 2 * JT_DIRECTOR_SLICES; ms++) {
		assert_true(jt_snapshot_write(from, from->director, &request,
					      from->now_ms + ms, &snapshot));
		if (snapshot.entries.entries_len < least)
			least = snapshot.entries.entries_len;
	}
	assert_in_range(least, FEW / 3, FEW);
	talloc_free(from);
}

/* The number of endpoints without a flow is that of a random choice. */
static void test_all_endpoints_get_flows(void **state)
{
	struct fixture *fixture = fixture_with_endpoints(ENDPOINTS);
	uint32_t *flows = talloc_zero_array(fixture, uint32_t, ENDPOINTS);
	double expected_unused =
		ENDPOINTS * exp(-(double)FLOWS / (double)ENDPOINTS);
	uint32_t unused = 0, most = 0;

	(void)state;
	for (uint32_t i = 0; i < FLOWS; i++) {
		struct client_flow flow =
			flow_new(fixture, CLIENT_IP + i, BOARD_PORT);

		flow_open(fixture, &flow);
		flows[flow.endpoint_id - FIRST_ID]++;
		flow_send(fixture, &flow, JT_PACKET_ACK | JT_PACKET_RST, 0);
	}
	for (uint32_t i = 0; i < ENDPOINTS; i++) {
		unused += flows[i] == 0;
		most = flows[i] > most ? flows[i] : most;
	}
	assert_true(unused <= 1.1 * expected_unused);
	assert_in_range(most, 1, 2 * 12);
	talloc_free(fixture);
}

/* A tick visits only endpoints at which something may be due. */
static void test_ticks_visit_scheduled_endpoints_only(void **state)
{
	struct fixture *fixture = fixture_with_endpoints(100);
	const struct jt_endpoint_table *table = fixture->director->endpoints;

	(void)state;
	assert_null(table->scheduled);
	fixture_remove_entry(fixture, FIRST_ID + 7, 1000);
	assert_non_null(table->scheduled);
	assert_int_equal(table->scheduled->entry.id, FIRST_ID + 7);
	assert_null(table->scheduled->scheduled_next);
	/* The entry is kept for an hour, the maximum lifetime of its flows. */
	fixture_tick(fixture, 3600 * 1000);
	assert_non_null(table->scheduled);
	fixture_tick(fixture, 2);
	assert_null(table->scheduled);
	assert_int_equal(table->count, 99);
	talloc_free(fixture);
}

/* A probed endpoint is scheduled until it is known to be alive. */
static void test_probed_endpoints_are_scheduled(void **state)
{
	struct fixture *fixture = fixture_with_endpoints(1);
	const struct jt_endpoint_table *table = fixture->director->endpoints;
	struct client_flow flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);

	(void)state;
	assert_int_equal(flow_send_syn(fixture, &flow), FIRST_ID);
	fixture_tick(fixture, 100);
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_PROBE));
	assert_non_null(table->scheduled);
	fixture_deliver_probe_result(fixture, FIRST_ID, JT_PROBE_SILENT);
	fixture_tick(fixture, 100);
	assert_non_null(table->scheduled);
	/* The next probe is sent after a pause. */
	fixture_tick(fixture, 1000);
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_PROBE));
	fixture_deliver_probe_result(fixture, FIRST_ID, JT_PROBE_CONNECTED);
	fixture_tick(fixture, 100);
	assert_null(table->scheduled);
	talloc_free(fixture);
}

/* Two ids with the same label; the older one was created first in discovery. */
enum { LABEL = 4 };
static const uint64_t YOUNGER_ID = 0x100000005, OLDER_ID = 0x200000006;

static void add_clashing(struct fixture *fixture, uint64_t id)
{
	struct jt_endpoint_entry entry =
		make_entry(id, SERVICE_BOARD, ZONE_A, 10 + (uint32_t)id % 16);

	entry.created_revision = id == OLDER_ID ? 3 : 8;
	fixture_set_entry(fixture, entry);
}

/* In either order of arrival, new and open flows go to the older endpoint. */
static void test_older_endpoint_owns_the_label(void **state)
{
	for (int order = 0; order < 2; order++) {
		struct fixture *fixture = fixture_create(0);
		struct client_flow open;

		assert_int_equal(jt_flow_label(YOUNGER_ID), LABEL);
		assert_int_equal(jt_flow_label(OLDER_ID), LABEL);
		fixture_set_routing(fixture, 1, 50, 50);
		add_clashing(fixture, order == 0 ? YOUNGER_ID : OLDER_ID);
		add_clashing(fixture, order == 0 ? OLDER_ID : YOUNGER_ID);
		fixture_end_listing(fixture, 20);
		fixture_tick(fixture, INITIAL_SYNC_MS);
		assert_int_equal(count_flows_to(fixture, 20, OLDER_ID), 20);
		open = flow_new(fixture, CLIENT_IP, BOARD_PORT);
		open.label = LABEL;
		assert_int_equal(flow_send(fixture, &open, JT_PACKET_ACK, 10)
					 ->endpoint_id,
				 OLDER_ID);
		talloc_free(fixture);
	}
	(void)state;
}

static struct fixture *fixture_with_clashing_ids(void)
{
	struct fixture *fixture = fixture_create(0);

	fixture_set_routing(fixture, 1, 50, 50);
	add_clashing(fixture, OLDER_ID);
	add_clashing(fixture, YOUNGER_ID);
	fixture_end_listing(fixture, 20);
	return fixture;
}

static void add_entry_again(struct fixture *fixture, uint64_t id,
			    uint64_t revision)
{
	struct jt_endpoint_entry entry =
		make_entry(id, SERVICE_BOARD, ZONE_A, revision);

	entry.created_revision = revision;
	fixture_set_entry(fixture, entry);
}

/* Both entries expire in a store outage; the younger one's is added again
 * first. */
static void remove_and_add_again(struct fixture *fixture)
{
	fixture_remove_entry(fixture, OLDER_ID, 21);
	fixture_remove_entry(fixture, YOUNGER_ID, 22);
	fixture_tick(fixture, 1000);
	add_entry_again(fixture, YOUNGER_ID, 30);
	add_entry_again(fixture, OLDER_ID, 31);
	fixture_tick(fixture, INITIAL_SYNC_MS);
}

static void copy_entries(struct fixture *fixture, const struct fixture *peer)
{
	struct jt_endpoint_entry entry;
	enum jt_incarnation_state state;

	for (size_t i = 0;
	     jt_director_endpoint_at(peer->director, i, &entry, &state); i++)
		fixture_set_entry(fixture, entry);
}

/* Guards against nodes started after a store outage forwarding open flows to
 * another endpoint than nodes that know the earlier entries. */
static void test_entry_added_again_keeps_its_label(void **state)
{
	struct fixture *peer = fixture_with_clashing_ids();

	(void)state;
	remove_and_add_again(peer);
	assert_int_equal(count_flows_to(peer, 20, OLDER_ID), 20);
	for (int after_listing = 0; after_listing < 2; after_listing++) {
		struct fixture *fixture = fixture_create(0);

		fixture_set_routing(fixture, 1, 50, 50);
		if (after_listing) {
			add_entry_again(fixture, YOUNGER_ID, 30);
			add_entry_again(fixture, OLDER_ID, 31);
		}
		copy_entries(fixture, peer);
		fixture_end_listing(fixture, 31);
		fixture_tick(fixture, INITIAL_SYNC_MS);
		assert_int_equal(count_flows_to(fixture, 20, OLDER_ID), 20);
		talloc_free(fixture);
	}
	talloc_free(peer);
}

/* When flows of the older endpoint can't live any more, the younger one gets
 * the label. */
static void test_younger_endpoint_takes_over_the_label(void **state)
{
	struct fixture *fixture = fixture_with_clashing_ids();
	struct client_flow flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);

	(void)state;
	fixture_remove_entry(fixture, OLDER_ID, 21);
	fixture_tick(fixture, INITIAL_SYNC_MS);
	assert_int_equal(flow_send_syn(fixture, &flow), 0);
	fixture_tick(fixture, 3600 * 1000);
	assert_int_equal(flow_send_syn(fixture, &flow), YOUNGER_ID);
	talloc_free(fixture);
}

/* The end of the younger endpoint does not affect flows at the older one. */
static void test_end_of_younger_endpoint_resets_no_flows(void **state)
{
	struct fixture *fixture = fixture_with_clashing_ids();
	struct jt_endpoint_entry next =
		make_entry(0x300, SERVICE_BOARD, ZONE_A, 30);
	struct client_flow flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);

	(void)state;
	fixture_tick(fixture, INITIAL_SYNC_MS);
	flow_open(fixture, &flow);
	assert_int_equal(flow.endpoint_id, OLDER_ID);
	/* Another endpoint gets its address. */
	next.address = make_entry(YOUNGER_ID, 0, 0, 0).address;
	fixture_set_entry(fixture, next);
	assert_int_equal(endpoint_state(fixture, YOUNGER_ID),
			 JT_INCARNATION_DEAD);
	assert_int_equal(fixture_count_actions(fixture, JT_DIRECTOR_RESET), 0);
	assert_non_null(flow_send(fixture, &flow, JT_PACKET_ACK, 10));
	talloc_free(fixture);
}

/* Present and previous owners of an address are found by the address. */
static void test_address_lookup(void **state)
{
	struct jt_endpoint_table *table =
		jt_endpoint_table_create(NULL, ENDPOINTS);
	struct jt_endpoint_entry entry = make_numbered_entry(7);
	struct jt_incarnation *in = NULL, *first;

	(void)state;
	for (uint32_t i = 0; i < 100; i++) {
		const struct jt_endpoint_entry numbered =
			make_numbered_entry(i);

		jt_endpoint_table_update(table, &numbered, false, 1, &in);
		assert_ptr_equal(jt_endpoint_table_at(table, numbered.address),
				 in);
		assert_null(in->address_next);
	}
	/* Two other endpoints get the seventh one's address, one after the
	 * other. */
	entry.id = FIRST_ID + 200;
	entry.revision = 500;
	jt_endpoint_table_update(table, &entry, false, 1, &in);
	entry.id = FIRST_ID + 8;
	entry.revision = 501;
	jt_endpoint_table_update(table, &entry, false, 1, &in);
	assert_null(
		jt_endpoint_table_at(table, make_numbered_entry(8).address));
	first = jt_endpoint_table_at(table, entry.address);
	assert_int_equal(first->entry.id, FIRST_ID + 7);
	assert_int_equal(first->address_next->entry.id, FIRST_ID + 200);
	assert_int_equal(first->address_next->address_next->entry.id,
			 FIRST_ID + 8);
	assert_null(first->address_next->address_next->address_next);
	/* Removes the first owner, then the last, then the one between. */
	jt_endpoint_table_remove(table, first);
	first = jt_endpoint_table_at(table, entry.address);
	assert_int_equal(first->entry.id, FIRST_ID + 200);
	jt_endpoint_table_remove(table, first->address_next);
	assert_null(first->address_next);
	jt_endpoint_table_remove(table, first);
	assert_null(jt_endpoint_table_at(table, entry.address));
	talloc_free(table);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_all_endpoints_are_stored),
		cmocka_unit_test(test_snapshot_slices_hold_all_endpoints),
		cmocka_unit_test(test_all_endpoints_get_flows),
		cmocka_unit_test(test_starting_node_sends_some_endpoints),
		cmocka_unit_test(
			test_starting_node_sends_a_third_of_few_endpoints),
		cmocka_unit_test(test_address_lookup),
		cmocka_unit_test(test_older_endpoint_owns_the_label),
		cmocka_unit_test(test_entry_added_again_keeps_its_label),
		cmocka_unit_test(test_younger_endpoint_takes_over_the_label),
		cmocka_unit_test(test_end_of_younger_endpoint_resets_no_flows),
		cmocka_unit_test(test_ticks_visit_scheduled_endpoints_only),
		cmocka_unit_test(test_probed_endpoints_are_scheduled),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
