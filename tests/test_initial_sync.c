/* Tests the initial synchronisation of a node: packets are held while endpoints
 * may be missing. */
#include "director_fixture.h"
#include "jt_feature.h"

enum {
	HELD_MAX_MS = 2500,
	ATTEMPT_MS = 1400, /* a client's time to open a flow */
	FLOWS = 40,
};

static void fixture_end_snapshot(struct fixture *fixture, uint64_t revision,
				 uint32_t initial_sync_ms)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_PEER_SNAPSHOT};

	event.u.listed.revision = revision;
	event.u.listed.initial_sync_ms = initial_sync_ms;
	fixture_handle(fixture, &event);
}

/* Creates a node after its first full listing, with one endpoint. */
static struct fixture *fixture_with_one_endpoint(uint32_t disabled_features)
{
	struct fixture *fixture =
		fixture_create_with_disabled(0, disabled_features);

	fixture_set_routing(fixture, 1, 50, 50);
	fixture_add_endpoint(fixture, 0x101, SERVICE_BOARD, ZONE_A, 2);
	fixture_end_listing(fixture, 2);
	return fixture;
}

/* Returns an open flow of the endpoint, which this node may not know. */
static struct client_flow make_open_flow(struct fixture *fixture,
					 uint64_t endpoint_id)
{
	struct client_flow flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);

	flow.label = jt_flow_label(endpoint_id);
	flow.sequence = 2000;
	flow.acknowledged = 7000;
	return flow;
}

static bool action_has_reason(const struct fixture *fixture,
			      enum jt_director_action_kind kind,
			      enum jt_director_reason reason)
{
	const struct jt_director_action *action =
		fixture_find_action(fixture, kind);

	return action != NULL && action->reason == reason;
}

static void test_open_flow_is_held_for_its_endpoint(void **state)
{
	struct fixture *fixture = fixture_with_one_endpoint(0);
	struct client_flow flow = make_open_flow(fixture, 0x102);
	const struct jt_director_action *forward;

	(void)state;
	assert_null(flow_send(fixture, &flow, JT_PACKET_ACK, 100));
	assert_true(action_has_reason(fixture, JT_DIRECTOR_HOLD,
				      JT_DIRECTOR_UNKNOWN_LABEL));
	fixture_add_endpoint(fixture, 0x102, SERVICE_BOARD, ZONE_A, 3);
	forward = flow_send(fixture, &flow, JT_PACKET_ACK, 100);
	assert_non_null(forward);
	assert_int_equal(forward->endpoint_id, 0x102);
	talloc_free(fixture);
}

static void test_hold_switched_off_drops_the_packet(void **state)
{
	struct fixture *fixture =
		fixture_with_one_endpoint(JT_FEATURE_HOLD_UNKNOWN_LABEL);
	struct client_flow flow = make_open_flow(fixture, 0x102);

	(void)state;
	assert_null(flow_send(fixture, &flow, JT_PACKET_ACK, 100));
	assert_true(action_has_reason(fixture, JT_DIRECTOR_DROP,
				      JT_DIRECTOR_UNKNOWN_LABEL));
	talloc_free(fixture);
}

static void test_initial_sync_ends(void **state)
{
	struct fixture *fixture = fixture_with_one_endpoint(0);
	struct client_flow flow = make_open_flow(fixture, 0x102);

	(void)state;
	assert_int_equal(
		jt_director_initial_sync_ms(fixture->director, fixture->now_ms),
		INITIAL_SYNC_MS);
	fixture_tick(fixture, INITIAL_SYNC_MS);
	assert_int_equal(
		jt_director_initial_sync_ms(fixture->director, fixture->now_ms),
		0);
	assert_null(flow_send(fixture, &flow, JT_PACKET_ACK, 100));
	assert_true(action_has_reason(fixture, JT_DIRECTOR_DROP,
				      JT_DIRECTOR_UNKNOWN_LABEL));
	talloc_free(fixture);
}

/* A snapshot from a peer that has ended its initial synchronisation is
 * complete. */
static void test_snapshot_of_a_synchronised_peer_ends_sync(void **state)
{
	struct fixture *fixture = fixture_create(0);
	struct client_flow flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);

	(void)state;
	fixture_set_routing(fixture, 1, 50, 50);
	fixture_end_snapshot(fixture, 2, 0);
	assert_int_equal(flow_send_syn(fixture, &flow), 0);
	assert_true(action_has_reason(fixture, JT_DIRECTOR_RESET,
				      JT_DIRECTOR_NO_ENDPOINT));
	talloc_free(fixture);
}

static void test_peer_reports_its_initial_sync(void **state)
{
	struct fixture *from = fixture_with_one_endpoint(0),
		       *to = fixture_create(0);
	jt_wire_snapshot snapshot;

	(void)state;
	from->now_ms += 500;
	assert_true(jt_snapshot_write(from, from->director,
				      &(struct jt_snapshot_request){0},
				      from->now_ms, &snapshot));
	assert_int_equal(snapshot.initial_sync_ms, INITIAL_SYNC_MS - 500);
	fixture_set_routing(to, 1, 50, 50);
	fixture_end_snapshot(to, 2, snapshot.initial_sync_ms);
	assert_int_equal(jt_director_initial_sync_ms(to->director, to->now_ms),
			 INITIAL_SYNC_MS - 500);
	/* Later snapshots do not extend it; one of a synchronised peer ends it.
	 */
	to->now_ms += 100;
	fixture_end_snapshot(to, 3, INITIAL_SYNC_MS);
	assert_int_equal(jt_director_initial_sync_ms(to->director, to->now_ms),
			 INITIAL_SYNC_MS - 600);
	fixture_end_snapshot(to, 4, 0);
	assert_int_equal(jt_director_initial_sync_ms(to->director, to->now_ms),
			 0);
	talloc_free(from);
	talloc_free(to);
}

/* Sends the first packets of new flows at the same time; returns how many are
 * forwarded at once. */
static unsigned count_flows_placed_at_once(uint32_t disabled_features)
{
	struct fixture *fixture = fixture_with_one_endpoint(disabled_features);
	unsigned placed = 0;

	for (int i = 0; i < FLOWS; i++) {
		struct client_flow flow =
			flow_new(fixture, CLIENT_IP, BOARD_PORT);

		if (flow_send_syn(fixture, &flow) != 0)
			placed++;
		else
			assert_true(
				action_has_reason(fixture, JT_DIRECTOR_HOLD,
						  JT_DIRECTOR_INITIAL_SYNC));
	}
	talloc_free(fixture);
	return placed;
}

static void test_first_endpoint_does_not_get_all_flows(void **state)
{
	(void)state;
	assert_int_equal(count_flows_placed_at_once(0), 1);
	assert_int_equal(
		count_flows_placed_at_once(JT_FEATURE_STAGGERED_INITIAL_SYNC),
		FLOWS);
}

static void test_held_flows_are_placed_gradually(void **state)
{
	struct fixture *fixture = fixture_with_one_endpoint(0);
	unsigned placed = 0;

	(void)state;
	for (int i = 0; i < FLOWS; i++) {
		struct client_flow flow =
			flow_new(fixture, CLIENT_IP, BOARD_PORT);

		placed += flow_send_syn(fixture, &flow) != 0;
		fixture->now_ms += 25;
	}
	/* Each of the two slots takes 40 flows a second. */
	assert_int_equal(placed, FLOWS);
	talloc_free(fixture);
}

static void test_packets_held_too_long_are_dropped(void **state)
{
	struct fixture *fixture = fixture_with_one_endpoint(0);
	struct client_flow first = flow_new(fixture, CLIENT_IP, BOARD_PORT);
	struct client_flow open = make_open_flow(fixture, 0x101);

	(void)state;
	flow_send_held(fixture, &first, JT_PACKET_SYN, 0, ATTEMPT_MS);
	assert_true(action_has_reason(fixture, JT_DIRECTOR_DROP,
				      JT_DIRECTOR_INITIAL_SYNC));
	flow_send_held(fixture, &open, JT_PACKET_ACK, 0, HELD_MAX_MS);
	assert_true(action_has_reason(fixture, JT_DIRECTOR_DROP,
				      JT_DIRECTOR_INITIAL_SYNC));
	flow_send_held(fixture, &open, JT_PACKET_ACK, 0, HELD_MAX_MS - 1);
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_FORWARD));
	talloc_free(fixture);
}

/* A first packet and its retransmission were held together: this causes no
 * suspicion of the endpoint. */
static void test_held_retransmission_causes_no_probe(void **state)
{
	struct fixture *fixture = fixture_with_one_endpoint(0);
	struct client_flow flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);

	(void)state;
	flow_send_held(fixture, &flow, JT_PACKET_SYN, 0, 300);
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_FORWARD));
	flow.acknowledged = 1;
	flow_send_held(fixture, &flow, JT_PACKET_SYN, 0, 100);
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_FORWARD));
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_PROBE));
	talloc_free(fixture);
}

/* Delivers the end of a partial snapshot, which holds some endpoints and all
 * zone drains. */
static void fixture_end_partial_snapshot(struct fixture *fixture)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_PARTIAL_STATE};

	fixture_handle(fixture, &event);
}

/* Creates a node that has just started and has received one endpoint of many.
 */
static struct fixture *fixture_with_partial_state(uint32_t disabled_features)
{
	struct fixture *fixture =
		fixture_create_with_disabled(0, disabled_features);

	fixture_set_routing(fixture, 1, 50, 50);
	fixture_add_endpoint(fixture, 0x101, SERVICE_BOARD, ZONE_A, 2);
	return fixture;
}

static void test_partial_state_places_new_flows(void **state)
{
	struct fixture *fixture = fixture_with_partial_state(0);
	struct client_flow first = flow_new(fixture, CLIENT_IP, BOARD_PORT);
	struct client_flow open = make_open_flow(fixture, 0x102);

	(void)state;
	assert_int_equal(flow_send_syn(fixture, &first), 0);
	assert_true(action_has_reason(fixture, JT_DIRECTOR_HOLD,
				      JT_DIRECTOR_NOT_STARTED));
	fixture_end_partial_snapshot(fixture);
	assert_int_equal(flow_send_syn(fixture, &first), 0x101);
	/* It has not started: it sends no complete snapshots yet. */
	assert_false(jt_director_started(fixture->director));
	/* The endpoint of an open flow's label may be received later. */
	fixture->now_ms += 2 * INITIAL_SYNC_MS;
	assert_null(flow_send(fixture, &open, JT_PACKET_ACK, 100));
	assert_true(action_has_reason(fixture, JT_DIRECTOR_HOLD,
				      JT_DIRECTOR_NOT_STARTED));
	fixture_add_endpoint(fixture, 0x102, SERVICE_BOARD, ZONE_A, 3);
	assert_non_null(flow_send(fixture, &open, JT_PACKET_ACK, 100));
	talloc_free(fixture);
}

static void test_partial_state_switched_off_holds_new_flows(void **state)
{
	struct fixture *fixture =
		fixture_with_partial_state(JT_FEATURE_PARTIAL_SYNC);
	struct client_flow flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);

	(void)state;
	fixture_end_partial_snapshot(fixture);
	assert_int_equal(flow_send_syn(fixture, &flow), 0);
	fixture_end_listing(fixture, 2);
	assert_int_equal(flow_send_syn(fixture, &flow), 0x101);
	talloc_free(fixture);
}

/* A new flow is held until an endpoint of its service is known. */
static void test_partial_state_without_the_service_holds(void **state)
{
	struct fixture *fixture = fixture_create(0);
	struct client_flow flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);

	(void)state;
	fixture_set_routing(fixture, 1, 50, 50);
	fixture_add_endpoint(fixture, 0x201, SERVICE_EXPORT, ZONE_A, 2);
	fixture_end_partial_snapshot(fixture);
	assert_int_equal(flow_send_syn(fixture, &flow), 0);
	assert_true(action_has_reason(fixture, JT_DIRECTOR_HOLD,
				      JT_DIRECTOR_INITIAL_SYNC));
	talloc_free(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_open_flow_is_held_for_its_endpoint),
		cmocka_unit_test(test_hold_switched_off_drops_the_packet),
		cmocka_unit_test(test_initial_sync_ends),
		cmocka_unit_test(
			test_snapshot_of_a_synchronised_peer_ends_sync),
		cmocka_unit_test(test_peer_reports_its_initial_sync),
		cmocka_unit_test(test_first_endpoint_does_not_get_all_flows),
		cmocka_unit_test(test_held_flows_are_placed_gradually),
		cmocka_unit_test(test_packets_held_too_long_are_dropped),
		cmocka_unit_test(test_held_retransmission_causes_no_probe),
		cmocka_unit_test(test_partial_state_places_new_flows),
		cmocka_unit_test(
			test_partial_state_switched_off_holds_new_flows),
		cmocka_unit_test(test_partial_state_without_the_service_holds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
