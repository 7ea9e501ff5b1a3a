/* Two endpoints whose ids give one flow label: nodes agree on when the older
 * one ceases to own it. */
#include "director_fixture.h"

/* Two ids with the same label; the older one was created first in discovery. */
enum { LABEL = 4 };
static const uint64_t YOUNGER_ID = 0x100000005, OLDER_ID = 0x200000006;

enum {
	FLOW_AGE_LIMIT_MS = 3600 * 1000, /* default of the director */
	FIRST_PART_MS = 1000 * 1000, /* after the removal, below the limit */
	REMOVED_REVISION = 21,
	RETRANSMIT_MS = 200,
	PROBE_PAUSE_MS = 1000,
};

static void add_clashing(struct fixture *fixture, uint64_t id)
{
	struct jt_endpoint_entry entry =
		make_entry(id, SERVICE_BOARD, ZONE_A, 10 + (uint32_t)id % 16);

	entry.created_revision = id == OLDER_ID ? 3 : 8;
	fixture_set_entry(fixture, entry);
}

/* Returns a node at which the older endpoint's entry was just removed. */
static struct fixture *fixture_with_removed_owner(void)
{
	struct fixture *fixture = fixture_create(0);

	assert_int_equal(jt_flow_label(YOUNGER_ID), LABEL);
	assert_int_equal(jt_flow_label(OLDER_ID), LABEL);
	fixture_set_routing(fixture, 1, 50, 50);
	add_clashing(fixture, OLDER_ID);
	add_clashing(fixture, YOUNGER_ID);
	fixture_end_listing(fixture, 20);
	fixture_tick(fixture, INITIAL_SYNC_MS);
	fixture_remove_entry(fixture, OLDER_ID, REMOVED_REVISION);
	return fixture;
}

/* Sends the entries of a peer's snapshot, over the wire format, to a node. */
static void copy_entries(struct fixture *fixture, const struct fixture *peer)
{
	const struct jt_snapshot_request request = {0};
	jt_wire_snapshot snapshot;

	assert_true(jt_snapshot_write(fixture, peer->director, &request,
				      peer->now_ms, &snapshot));
	for (u_int i = 0; i < snapshot.entries.entries_len; i++) {
		struct jt_director_event event;

		assert_true(jt_snapshot_entry_event(
			&snapshot.entries.entries_val[i], &event));
		fixture_handle(fixture, &event);
	}
}

/* Returns a node that starts from the state of @peer. */
static struct fixture *fixture_from_peer(const struct fixture *peer)
{
	struct fixture *fixture = fixture_create(0);

	fixture_set_routing(fixture, 1, 50, 50);
	/* Its clock began later than the removal. */
	fixture->now_ms = 5000;
	copy_entries(fixture, peer);
	fixture_end_listing(fixture, REMOVED_REVISION);
	return fixture;
}

/* Returns the endpoint to which a packet of an open flow with the label that
 * this node has not seen before is forwarded. */
static uint64_t open_flow_endpoint(struct fixture *fixture)
{
	struct client_flow flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);
	const struct jt_director_action *forward;

	flow.label = LABEL;
	flow.acknowledged = 5000;
	forward = flow_send(fixture, &flow, JT_PACKET_ACK, 10);
	return forward != NULL ? forward->endpoint_id : 0;
}

/* Guards against a node that starts between the end of an endpoint and the
 * time at which others forget it, and then resets flows of its successor. */
static void test_restarted_node_forgets_the_owner_with_its_peers(void **state)
{
	struct fixture *peer = fixture_with_removed_owner(), *fixture;

	(void)state;
	fixture_tick(peer, FIRST_PART_MS);
	fixture = fixture_from_peer(peer);
	fixture_tick(peer, FLOW_AGE_LIMIT_MS - FIRST_PART_MS);
	fixture_tick(fixture, FLOW_AGE_LIMIT_MS - FIRST_PART_MS);
	assert_int_equal(open_flow_endpoint(peer), OLDER_ID);
	assert_int_equal(open_flow_endpoint(fixture), OLDER_ID);
	fixture_tick(peer, 2);
	fixture_tick(fixture, 2);
	assert_int_equal(count_flows_to(peer, 20, YOUNGER_ID), 20);
	assert_int_equal(open_flow_endpoint(fixture), YOUNGER_ID);
	talloc_free(fixture);
	talloc_free(peer);
}

/* Guards against a full listing, as after a compaction of the store's history,
 * that restarts the time for which an ended endpoint owns its label. */
static void test_listing_again_keeps_the_time_of_the_removal(void **state)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_LISTING};
	struct fixture *fixture = fixture_with_removed_owner();

	(void)state;
	fixture_tick(fixture, FIRST_PART_MS);
	fixture_handle(fixture, &event);
	add_clashing(fixture, YOUNGER_ID);
	fixture_end_listing(fixture, REMOVED_REVISION + 10);
	fixture_tick(fixture, FLOW_AGE_LIMIT_MS - FIRST_PART_MS + 2);
	assert_int_equal(open_flow_endpoint(fixture), YOUNGER_ID);
	talloc_free(fixture);
}

/* Guards against the same at a node that learns of the removal late, from its
 * own listing, and of its time from a peer. */
static void test_earlier_removal_is_taken_from_a_peer(void **state)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_LISTING};
	struct fixture *peer = fixture_with_removed_owner();
	struct fixture *fixture = fixture_create(0);

	(void)state;
	fixture_set_routing(fixture, 1, 50, 50);
	add_clashing(fixture, OLDER_ID);
	add_clashing(fixture, YOUNGER_ID);
	fixture_end_listing(fixture, 20);
	fixture_tick(peer, FIRST_PART_MS);
	fixture_handle(fixture, &event);
	add_clashing(fixture, YOUNGER_ID);
	fixture_end_listing(fixture, REMOVED_REVISION + 10);
	copy_entries(fixture, peer);
	fixture_tick(fixture, FLOW_AGE_LIMIT_MS - FIRST_PART_MS + 2);
	assert_int_equal(open_flow_endpoint(fixture), YOUNGER_ID);
	talloc_free(fixture);
	talloc_free(peer);
}

/* Delivers two probes of the older endpoint that are refused. */
static void refuse_probes(struct fixture *fixture)
{
	for (int i = 0; i < 2; i++) {
		fixture_deliver_probe_result(fixture, OLDER_ID,
					     JT_PROBE_REFUSED);
		assert_null(fixture_find_action(fixture, JT_DIRECTOR_RESET));
		fixture_tick(fixture, PROBE_PAUSE_MS);
		assert_null(fixture_find_action(fixture, JT_DIRECTOR_RESET));
	}
}

/* Guards against a node that still knows the ended endpoint when others have
 * forgotten it: once it finds it dead, it resets flows of the living one. */
static void test_dead_owner_hands_its_open_flows_over(void **state)
{
	struct fixture *fixture = fixture_with_removed_owner();
	struct client_flow flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);
	const struct jt_director_action *forward;

	(void)state;
	fixture_tick(fixture, FIRST_PART_MS);
	flow.label = LABEL;
	flow.acknowledged = 5000;
	for (int i = 0; i < 4; i++) {
		flow_send(fixture, &flow, JT_PACKET_ACK, 10);
		fixture_tick(fixture, RETRANSMIT_MS);
	}
	refuse_probes(fixture);
	assert_int_equal(jt_director_endpoint_count(fixture->director,
						    JT_INCARNATION_DEAD),
			 1);
	forward = flow_send(fixture, &flow, JT_PACKET_ACK, 10);
	assert_non_null(forward);
	assert_int_equal(forward->endpoint_id, YOUNGER_ID);
	assert_int_equal(open_flow_endpoint(fixture), YOUNGER_ID);
	/* Other nodes may still know the dead one: no new flow gets its
	 * label. */
	assert_int_equal(
		flow_send_syn(fixture,
			      &(struct client_flow){
				      .key = {.source = CLIENT_IP + 1,
					      .destination = ROUTE_IP,
					      .source_port = 9,
					      .destination_port = BOARD_PORT,
					      .protocol = JT_PROTOCOL_TCP},
			      }),
		0);
	talloc_free(fixture);
}

/* A flow that this node has assigned to the dead owner, and that has not
 * opened, is reset: it can't be at the living one. */
static void test_dead_owner_resets_flows_that_did_not_open(void **state)
{
	struct fixture *fixture = fixture_create(0);
	struct client_flow flow;

	(void)state;
	fixture_set_routing(fixture, 1, 50, 50);
	add_clashing(fixture, OLDER_ID);
	add_clashing(fixture, YOUNGER_ID);
	fixture_end_listing(fixture, 20);
	fixture_tick(fixture, 20000);
	flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);
	assert_int_equal(flow_send_syn(fixture, &flow), OLDER_ID);
	fixture_tick(fixture, 100);
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_PROBE));
	fixture_deliver_probe_result(fixture, OLDER_ID, JT_PROBE_REFUSED);
	assert_int_equal(jt_director_endpoint_count(fixture->director,
						    JT_INCARNATION_DEAD),
			 1);
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_RESET));
	talloc_free(fixture);
}

/* Guards against a node that starts after the removal and takes the endpoint
 * as a last resort for new flows, as others do only just after it. */
static void test_long_removed_endpoint_is_no_last_resort(void **state)
{
	struct fixture *peer = fixture_create(0), *fixture;
	struct client_flow flow;

	(void)state;
	fixture_set_routing(peer, 1, 50, 50);
	fixture_add_endpoint(peer, 0x101, SERVICE_BOARD, ZONE_A, 2);
	fixture_end_listing(peer, 3);
	fixture_remove_entry(peer, 0x101, REMOVED_REVISION);
	flow = flow_new(peer, CLIENT_IP, BOARD_PORT);
	assert_int_equal(flow_send_syn(peer, &flow), 0x101);
	fixture_tick(peer, 10000);
	flow = flow_new(peer, CLIENT_IP, BOARD_PORT);
	assert_int_equal(flow_send_syn(peer, &flow), 0);
	fixture = fixture_from_peer(peer);
	flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);
	assert_int_equal(flow_send_syn(fixture, &flow), 0);
	talloc_free(fixture);
	talloc_free(peer);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_restarted_node_forgets_the_owner_with_its_peers),
		cmocka_unit_test(
			test_listing_again_keeps_the_time_of_the_removal),
		cmocka_unit_test(test_earlier_removal_is_taken_from_a_peer),
		cmocka_unit_test(test_dead_owner_hands_its_open_flows_over),
		cmocka_unit_test(
			test_dead_owner_resets_flows_that_did_not_open),
		cmocka_unit_test(test_long_removed_endpoint_is_no_last_resort),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
