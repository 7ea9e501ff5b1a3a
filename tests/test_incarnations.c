/* Tests endpoints that restart under the same id, recognised by their start
 * time, and entries that become unreadable. */
#include "director_fixture.h"
#include "jt_outlier.h"

#include "jt_director_private.h"

enum {
	RESTARTED = 0x101,
	OTHER = 0x102,
	FIRST_START_MS = 1700000000,
	SECOND_START_MS = 1700009000,
	MOVED_IP = 0x0a00007f,
	COLD_MS = 3000,
};

/* Returns an entry with a start time. */
static struct jt_endpoint_entry
make_started_entry(uint64_t id, uint64_t start_ms, uint64_t revision)
{
	struct jt_endpoint_entry entry =
		make_entry(id, SERVICE_BOARD, ZONE_A, revision);

	entry.born_ms = start_ms;
	return entry;
}

/* Creates a node that has long known two endpoints with start times. */
static struct fixture *fixture_with_started_endpoints(void)
{
	struct fixture *fixture = fixture_create(0);

	fixture_set_routing(fixture, 1, 50, 50);
	fixture_set_entry(fixture,
			  make_started_entry(RESTARTED, FIRST_START_MS, 2));
	fixture_set_entry(fixture,
			  make_started_entry(OTHER, FIRST_START_MS, 3));
	fixture_end_listing(fixture, 3);
	fixture_tick(fixture, 20000);
	return fixture;
}

static void restart(struct fixture *fixture, uint64_t revision)
{
	fixture_set_entry(
		fixture,
		make_started_entry(RESTARTED, SECOND_START_MS, revision));
}

static void deliver_probe_result(struct fixture *fixture, uint64_t id,
				 uint64_t start_ms,
				 enum jt_probe_outcome outcome)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_PROBED};

	event.u.probed.id = id;
	event.u.probed.born_ms = start_ms;
	event.u.probed.outcome = outcome;
	fixture_handle(fixture, &event);
}

static void deliver_identity(struct fixture *fixture, uint64_t id,
			     uint64_t start_ms, uint64_t found)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_IDENTIFIED};

	event.u.identified.id = id;
	event.u.identified.born_ms = start_ms;
	event.u.identified.found = found;
	fixture_handle(fixture, &event);
}

static void deliver_peer_report(struct fixture *fixture,
				enum jt_director_event_kind kind, uint64_t id,
				uint64_t start_ms)
{
	struct jt_director_event event = {.kind = kind};

	event.u.suspicion.id = id;
	event.u.suspicion.born_ms = start_ms;
	fixture_handle(fixture, &event);
}

static void mark_unreadable(struct fixture *fixture, uint64_t id,
			    uint64_t revision)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_UNREADABLE};

	event.u.gone.id = id;
	event.u.gone.revision = revision;
	fixture_handle(fixture, &event);
}

static struct jt_incarnation *incarnation_of(const struct fixture *fixture,
					     uint64_t id)
{
	return jt_endpoint_table_by_id(fixture->director->endpoints, id);
}

/* Opens a flow at the endpoint that will restart, with its incarnation's label.
 */
static struct client_flow open_flow_to_restarted(struct fixture *fixture)
{
	struct client_flow flow;

	do {
		flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);
		assert_int_not_equal(flow_send_syn(fixture, &flow), 0);
	} while (flow.endpoint_id != RESTARTED);
	flow.label = fixture_find_action(fixture, JT_DIRECTOR_FORWARD)->label;
	flow.sequence++;
	flow.acknowledged = 5000;
	fixture->now_ms += 2;
	flow_send(fixture, &flow, JT_PACKET_ACK, 0);
	return flow;
}

/* Returns a flow that was opened through another node. */
static struct client_flow make_unseen_flow(struct fixture *fixture,
					   uint32_t label)
{
	struct client_flow flow = flow_new(fixture, CLIENT_IP + 9, BOARD_PORT);

	flow.label = label;
	flow.sequence = 1001;
	flow.acknowledged = 5000;
	return flow;
}

/* Lets the node declare the endpoint dead after a refused probe. */
static void declare_restarted_dead(struct fixture *fixture,
				   const struct client_flow *flow)
{
	flow_send(fixture, flow, JT_PACKET_ACK, 100);
	for (int i = 0; i < 3; i++) {
		fixture->now_ms += 200;
		flow_send(fixture, flow, JT_PACKET_ACK, 100);
	}
	fixture->now_ms += 5;
	deliver_probe_result(fixture, RESTARTED, FIRST_START_MS,
			     JT_PROBE_REFUSED);
	assert_int_equal(endpoint_state(fixture, RESTARTED),
			 JT_INCARNATION_DEAD);
}

static void test_start_times_determine_labels(void **state)
{
	(void)state;
	assert_int_equal(jt_incarnation_label(RESTARTED, 0),
			 jt_flow_label(RESTARTED));
	assert_int_not_equal(jt_incarnation_label(RESTARTED, FIRST_START_MS),
			     jt_incarnation_label(RESTARTED, SECOND_START_MS));
}

static void test_restart_resets_observed_state(void **state)
{
	struct fixture *fixture = fixture_with_started_endpoints();
	struct client_flow flow = open_flow_to_restarted(fixture);
	const struct jt_director_action *action;
	struct jt_incarnation *incarnation;

	(void)state;
	flow_send(fixture, &flow, JT_PACKET_ACK, 100);
	deliver_peer_report(fixture, JT_DIRECTOR_OVERDUE, RESTARTED,
			    FIRST_START_MS);
	deliver_peer_report(fixture, JT_DIRECTOR_SUSPICION, RESTARTED,
			    FIRST_START_MS);
	incarnation = incarnation_of(fixture, RESTARTED);
	assert_int_equal(incarnation->waiting, 1);
	assert_true(incarnation->outlier.failed > 0);
	assert_true(incarnation->peer_verdict_ms > 0);
	restart(fixture, 10);
	action = fixture_find_action(fixture, JT_DIRECTOR_RESTARTED);
	assert_non_null(action);
	assert_int_equal(action->born_ms, SECOND_START_MS);
	assert_int_equal(incarnation->state, JT_INCARNATION_READY);
	assert_int_equal(incarnation->flows, 0);
	assert_int_equal(incarnation->waiting, 0);
	assert_true(incarnation->speed.weight == 0);
	assert_int_equal(incarnation->outlier.failed_ms, 0);
	assert_int_equal(
		jt_outlier_share_permille(incarnation, fixture->now_ms),
		JT_FULL_SHARE_PERMILLE);
	assert_int_equal(incarnation->peer_verdict_ms, 0);
	assert_int_equal(incarnation->suspected_ms, 0);
	assert_false(incarnation->probing);
	assert_int_equal(jt_director_counters(fixture->director)->restarted, 1);
	/* Ends of the previous incarnation's flows are not counted for the new
	 * one. */
	flow_send(fixture, &flow, JT_PACKET_FIN | JT_PACKET_ACK, 0);
	fixture_tick(fixture, 20000);
	assert_int_equal(incarnation->flows, 0);
	talloc_free(fixture);
}

static void test_same_start_time_is_no_restart(void **state)
{
	struct fixture *fixture = fixture_with_started_endpoints();

	(void)state;
	open_flow_to_restarted(fixture);
	fixture_set_entry(fixture,
			  make_started_entry(RESTARTED, FIRST_START_MS, 10));
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_RESTARTED));
	assert_true(incarnation_of(fixture, RESTARTED)->flows > 0);
	/* An entry without a start time is no restart either: it is unreadable.
	 */
	fixture_set_entry(fixture, make_started_entry(RESTARTED, 0, 11));
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_RESTARTED));
	assert_true(incarnation_of(fixture, RESTARTED)->entry.unreadable);
	talloc_free(fixture);
}

/* The store's revision decides which entry is newer; clocks may step. */
static void test_start_times_are_not_ordered(void **state)
{
	struct fixture *fixture = fixture_with_started_endpoints();

	(void)state;
	fixture_set_entry(
		fixture,
		make_started_entry(RESTARTED, FIRST_START_MS - 500000, 10));
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_RESTARTED));
	fixture_set_entry(fixture,
			  make_started_entry(RESTARTED, SECOND_START_MS, 9));
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_RESTARTED));
	assert_int_equal(incarnation_of(fixture, RESTARTED)->entry.born_ms,
			 FIRST_START_MS - 500000);
	/* The first start time again is a later incarnation all the same. */
	fixture_set_entry(fixture,
			  make_started_entry(RESTARTED, FIRST_START_MS, 11));
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_RESTARTED));
	talloc_free(fixture);
}

/* The endpoint itself resets flows of its previous incarnation, at its new
 * address. */
static void test_flows_of_previous_incarnation_follow_address(void **state)
{
	struct fixture *fixture = fixture_with_started_endpoints();
	struct client_flow flow = open_flow_to_restarted(fixture);
	struct jt_endpoint_entry entry =
		make_started_entry(RESTARTED, SECOND_START_MS, 10);
	const struct jt_director_action *forward;

	(void)state;
	entry.address.ip = MOVED_IP;
	fixture_set_entry(fixture, entry);
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_RESET));
	forward = flow_send(fixture, &flow, JT_PACKET_ACK, 100);
	assert_non_null(forward);
	assert_int_equal(forward->endpoint_id, RESTARTED);
	assert_int_equal(forward->address.ip, MOVED_IP);
	assert_int_equal(forward->label,
			 jt_incarnation_label(RESTARTED, SECOND_START_MS));
	/* A flow with the new label is counted for the new incarnation. */
	assert_int_equal(incarnation_of(fixture, RESTARTED)->flows, 0);
	flow.label = forward->label;
	flow.sequence += 100;
	flow.acknowledged += 300;
	assert_non_null(flow_send(fixture, &flow, JT_PACKET_ACK, 0));
	assert_int_equal(incarnation_of(fixture, RESTARTED)->flows, 1);
	talloc_free(fixture);
}

static void test_flows_of_previous_incarnation_are_no_evidence(void **state)
{
	struct fixture *fixture = fixture_with_started_endpoints();
	struct client_flow flow = open_flow_to_restarted(fixture);
	struct client_flow half_open =
		flow_new(fixture, CLIENT_IP + 1, BOARD_PORT);
	struct jt_incarnation *incarnation = incarnation_of(fixture, RESTARTED);

	(void)state;
	while (flow_send_syn(fixture, &half_open) != RESTARTED)
		half_open = flow_new(fixture, CLIENT_IP + 1, BOARD_PORT);
	flow_send(fixture, &flow, JT_PACKET_ACK, 100);
	restart(fixture, 10);
	for (uint32_t i = 1; i < 4; i++) {
		fixture->now_ms += 200;
		flow_send(fixture, &flow, JT_PACKET_ACK, 100);
		half_open.acknowledged = i;
		flow_send(fixture, &half_open, JT_PACKET_SYN, 0);
		fixture_tick(fixture, 300);
	}
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_PROBE));
	assert_int_equal(incarnation->suspected_ms, 0);
	assert_int_equal(incarnation->avoid_until_ms, 0);
	assert_int_equal(incarnation->outlier.failed_ms, 0);
	assert_int_equal(
		jt_outlier_share_permille(incarnation, fixture->now_ms),
		JT_FULL_SHARE_PERMILLE);
	assert_int_equal(incarnation->unanswered, 0);
	assert_int_equal(incarnation->progress_ms, 0);
	talloc_free(fixture);
}

/* A duplicate of the first packet goes to the same endpoint, also after several
 * restarts. */
static void test_duplicate_syn_after_restart_goes_to_same_endpoint(void **state)
{
	struct fixture *fixture = fixture_with_started_endpoints();
	struct client_flow flow = open_flow_to_restarted(fixture);
	struct client_flow duplicate = flow;

	(void)state;
	duplicate.label = 0;
	duplicate.sequence = 1000;
	duplicate.acknowledged = 0;
	restart(fixture, 10);
	assert_int_equal(flow_send_syn(fixture, &duplicate), RESTARTED);
	fixture_set_entry(fixture, make_started_entry(RESTARTED,
						      SECOND_START_MS + 1, 11));
	fixture_set_entry(fixture, make_started_entry(RESTARTED,
						      SECOND_START_MS + 2, 12));
	assert_int_equal(flow_send_syn(fixture, &duplicate), RESTARTED);
	talloc_free(fixture);
}

static void test_restart_revives_a_dead_endpoint(void **state)
{
	struct fixture *fixture = fixture_with_started_endpoints();
	struct client_flow flow = open_flow_to_restarted(fixture);
	struct jt_endpoint_entry new_owner =
		make_started_entry(0x301, FIRST_START_MS, 12);

	(void)state;
	declare_restarted_dead(fixture, &flow);
	restart(fixture, 10);
	assert_int_equal(endpoint_state(fixture, RESTARTED),
			 JT_INCARNATION_READY);
	/* So does one whose address was assigned to another endpoint. */
	new_owner.address = incarnation_of(fixture, RESTARTED)->entry.address;
	fixture_set_entry(fixture, new_owner);
	assert_int_equal(endpoint_state(fixture, RESTARTED),
			 JT_INCARNATION_DEAD);
	new_owner = make_started_entry(RESTARTED, SECOND_START_MS + 1, 13);
	new_owner.address.ip = MOVED_IP;
	fixture_set_entry(fixture, new_owner);
	assert_int_equal(endpoint_state(fixture, RESTARTED),
			 JT_INCARNATION_READY);
	assert_int_equal(endpoint_state(fixture, 0x301), JT_INCARNATION_READY);
	talloc_free(fixture);
}

/* Returns the entry of the previous owner of @id's address, written late. */
static struct jt_endpoint_entry make_previous_owner(uint64_t id,
						    uint64_t revision)
{
	struct jt_endpoint_entry entry =
		make_started_entry(0x301, FIRST_START_MS - 9000, revision);

	entry.address = make_entry(id, SERVICE_BOARD, ZONE_A, 1).address;
	return entry;
}

/* Guards against a late write of a previous owner's entry taking back the
 * address. */
static void test_late_entry_takes_no_address(void **state)
{
	struct fixture *fixture = fixture_create(0);
	struct client_flow flow;

	(void)state;
	fixture_set_routing(fixture, 1, 50, 50);
	fixture_set_entry(fixture, make_previous_owner(RESTARTED, 2));
	fixture_set_entry(fixture,
			  make_started_entry(OTHER, FIRST_START_MS, 3));
	fixture_end_listing(fixture, 3);
	fixture_tick(fixture, 20000);
	fixture_remove_entry(fixture, 0x301, 4);
	fixture_set_entry(fixture,
			  make_started_entry(RESTARTED, FIRST_START_MS, 5));
	assert_int_equal(endpoint_state(fixture, 0x301), JT_INCARNATION_DEAD);
	flow = open_flow_to_restarted(fixture);
	fixture_set_entry(fixture, make_previous_owner(RESTARTED, 10));
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_RESET));
	assert_int_equal(endpoint_state(fixture, RESTARTED),
			 JT_INCARNATION_READY);
	assert_int_equal(endpoint_state(fixture, 0x301), JT_INCARNATION_DEAD);
	assert_non_null(flow_send(fixture, &flow, JT_PACKET_ACK, 100));
	talloc_free(fixture);
}

/* A node that did not know the previous owner accepts its late entry until a
 * probe shows who answers at the address. */
static void test_answering_endpoint_owns_the_address(void **state)
{
	struct fixture *fixture = fixture_with_started_endpoints();
	struct client_flow flow = open_flow_to_restarted(fixture);

	(void)state;
	fixture_set_entry(fixture, make_previous_owner(RESTARTED, 10));
	assert_int_equal(endpoint_state(fixture, RESTARTED),
			 JT_INCARNATION_DEAD);
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_RESET));
	fixture_tick(fixture, 10);
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_PROBE));
	deliver_probe_result(fixture, RESTARTED, FIRST_START_MS,
			     JT_PROBE_CONNECTED);
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_IDENTIFY));
	deliver_identity(fixture, RESTARTED, FIRST_START_MS, RESTARTED);
	assert_int_equal(endpoint_state(fixture, RESTARTED),
			 JT_INCARNATION_READY);
	assert_int_equal(endpoint_state(fixture, 0x301), JT_INCARNATION_DEAD);
	assert_non_null(flow_send(fixture, &flow, JT_PACKET_ACK, 100));
	talloc_free(fixture);
}

/* When another endpoint answers, the flows are reset. */
static void
test_flows_of_replaced_endpoint_are_reset_once_confirmed(void **state)
{
	struct fixture *fixture = fixture_with_started_endpoints();
	struct client_flow flow = open_flow_to_restarted(fixture);
	const struct jt_director_action *reset;

	(void)state;
	fixture_set_entry(fixture, make_previous_owner(RESTARTED, 10));
	fixture_tick(fixture, 10);
	deliver_probe_result(fixture, RESTARTED, FIRST_START_MS,
			     JT_PROBE_CONNECTED);
	deliver_identity(fixture, RESTARTED, FIRST_START_MS, 0x301);
	reset = fixture_find_action(fixture, JT_DIRECTOR_RESET);
	assert_non_null(reset);
	assert_int_equal(reset->key.source_port, flow.key.source_port);
	assert_int_equal(endpoint_state(fixture, RESTARTED),
			 JT_INCARNATION_DEAD);
	talloc_free(fixture);
}

static void test_removed_entry_returns_the_address(void **state)
{
	struct fixture *fixture = fixture_with_started_endpoints();

	(void)state;
	fixture_set_entry(fixture, make_previous_owner(RESTARTED, 10));
	assert_int_equal(endpoint_state(fixture, RESTARTED),
			 JT_INCARNATION_DEAD);
	fixture_remove_entry(fixture, 0x301, 11);
	assert_int_equal(endpoint_state(fixture, RESTARTED),
			 JT_INCARNATION_READY);
	assert_true(count_flows_to(fixture, 10, RESTARTED) > 0);
	talloc_free(fixture);
}

static void test_reports_on_other_incarnations_are_ignored(void **state)
{
	struct fixture *fixture = fixture_with_started_endpoints();
	struct jt_incarnation *incarnation = incarnation_of(fixture, RESTARTED);

	(void)state;
	restart(fixture, 10);
	open_flow_to_restarted(fixture);
	deliver_peer_report(fixture, JT_DIRECTOR_SUSPICION, RESTARTED,
			    FIRST_START_MS);
	deliver_peer_report(fixture, JT_DIRECTOR_OVERDUE, RESTARTED,
			    FIRST_START_MS);
	/* Reports on an incarnation unknown to this node are ignored as well.
	 */
	deliver_peer_report(fixture, JT_DIRECTOR_SUSPICION, RESTARTED,
			    SECOND_START_MS + 7);
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_PROBE));
	assert_int_equal(incarnation->peer_verdict_ms, 0);
	assert_int_equal(incarnation->outlier.failed_ms, 0);
	assert_int_equal(
		jt_outlier_share_permille(incarnation, fixture->now_ms),
		JT_FULL_SHARE_PERMILLE);
	deliver_peer_report(fixture, JT_DIRECTOR_SUSPICION, RESTARTED,
			    SECOND_START_MS);
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_PROBE));
	talloc_free(fixture);
}

/* A result of a probe of the previous incarnation is ignored. */
static void test_probes_of_previous_incarnation_are_ignored(void **state)
{
	struct fixture *fixture = fixture_with_started_endpoints();

	(void)state;
	open_flow_to_restarted(fixture);
	deliver_peer_report(fixture, JT_DIRECTOR_SUSPICION, RESTARTED,
			    FIRST_START_MS);
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_PROBE));
	restart(fixture, 10);
	open_flow_to_restarted(fixture);
	fixture->now_ms += 1;
	deliver_peer_report(fixture, JT_DIRECTOR_SUSPICION, RESTARTED,
			    SECOND_START_MS);
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_PROBE));
	fixture->now_ms += 1;
	deliver_probe_result(fixture, RESTARTED, FIRST_START_MS,
			     JT_PROBE_REFUSED);
	deliver_identity(fixture, RESTARTED, FIRST_START_MS, 0x999);
	assert_int_equal(endpoint_state(fixture, RESTARTED),
			 JT_INCARNATION_READY);
	assert_true(incarnation_of(fixture, RESTARTED)->probing);
	deliver_probe_result(fixture, RESTARTED, SECOND_START_MS,
			     JT_PROBE_REFUSED);
	assert_int_equal(endpoint_state(fixture, RESTARTED),
			 JT_INCARNATION_DEAD);
	talloc_free(fixture);
}

/* Guards against resetting flows of a new incarnation at a node that declared
 * the previous one dead and has not received the new entry. */
static void test_flows_of_unknown_incarnation_are_not_reset(void **state)
{
	struct fixture *fixture = fixture_with_started_endpoints();
	struct client_flow flow = open_flow_to_restarted(fixture);
	struct client_flow placed_on_first = make_unseen_flow(
		fixture, flow.label); /* by a node that does not know the
					 restart either */
	struct client_flow placed_on_second = make_unseen_flow(
		fixture, jt_incarnation_label(RESTARTED, SECOND_START_MS));

	(void)state;
	declare_restarted_dead(fixture, &flow);
	fixture->now_ms += 10;
	flow_send(fixture, &placed_on_second, JT_PACKET_ACK, 100);
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_RESET));
	flow_send(fixture, &placed_on_first, JT_PACKET_ACK, 100);
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_RESET));
	assert_int_equal(fixture_find_action(fixture, JT_DIRECTOR_DROP)->reason,
			 JT_DIRECTOR_UNPROVEN);
	restart(fixture, 10);
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_RESET));
	assert_non_null(
		flow_send(fixture, &placed_on_first, JT_PACKET_ACK, 100));
	assert_non_null(
		flow_send(fixture, &placed_on_second, JT_PACKET_ACK, 100));
	talloc_free(fixture);
}

/* Without a restart, the flow is reset after the next failed probe. */
static void test_flows_of_dead_endpoint_are_reset_once_confirmed(void **state)
{
	struct fixture *fixture = fixture_with_started_endpoints();
	struct client_flow flow = open_flow_to_restarted(fixture);
	struct client_flow late = make_unseen_flow(fixture, flow.label);
	const struct jt_director_action *reset;

	(void)state;
	declare_restarted_dead(fixture, &flow);
	/* Flows known before the probe are reset at once. */
	reset = fixture_find_action(fixture, JT_DIRECTOR_RESET);
	assert_non_null(reset);
	assert_int_equal(reset->key.source_port, flow.key.source_port);
	fixture->now_ms += 10;
	flow_send(fixture, &late, JT_PACKET_ACK, 100);
	fixture_tick(fixture, 500);
	assert_non_null(fixture_find_action(fixture, JT_DIRECTOR_PROBE));
	fixture->now_ms += 1;
	deliver_probe_result(fixture, RESTARTED, FIRST_START_MS,
			     JT_PROBE_REFUSED);
	reset = fixture_find_action(fixture, JT_DIRECTOR_RESET);
	assert_non_null(reset);
	assert_int_equal(reset->key.source_port, late.key.source_port);
	assert_int_equal(reset->reset_sequence, late.acknowledged);
	talloc_free(fixture);
}

static void test_restart_begins_slow_start(void **state)
{
	struct fixture *fixture = fixture_with_started_endpoints();
	struct jt_endpoint_entry entry =
		make_started_entry(RESTARTED, SECOND_START_MS, 10);

	(void)state;
	entry.cold_left_ms = COLD_MS;
	fixture_set_entry(fixture, entry);
	assert_int_equal(incarnation_of(fixture, RESTARTED)->cold_until_ms,
			 fixture->now_ms + COLD_MS);
	talloc_free(fixture);
}

/* Guards against counting peers' loads of the previous incarnation for the new
 * one. */
static void test_peer_loads_are_per_incarnation(void **state)
{
	struct fixture *fixture = fixture_with_started_endpoints();
	struct jt_endpoint_load load = {
		.label = jt_incarnation_label(RESTARTED, FIRST_START_MS),
		.flows = 500,
		.work_permille = 90000,
	};
	struct jt_director_event event = {.kind = JT_DIRECTOR_LOADS};

	(void)state;
	event.u.loads.peer = 7;
	event.u.loads.loads = &load;
	event.u.loads.count = 1;
	fixture_handle(fixture, &event);
	assert_int_equal(count_flows_to(fixture, 10, RESTARTED), 0);
	restart(fixture, 10);
	assert_true(count_flows_to(fixture, 10, RESTARTED) > 2);
	talloc_free(fixture);
}

/* Guards against applying peers' speed and failure reports of the previous
 * incarnation to the new one. */
static void test_peer_reports_are_per_incarnation(void **state)
{
	struct fixture *fixture = fixture_with_started_endpoints();
	uint32_t earlier = jt_incarnation_label(RESTARTED, FIRST_START_MS);
	struct jt_endpoint_load load = {
		.label = earlier, .flows = 1, .speed = 200u << 16 | 900};
	struct jt_endpoint_failure failure = {
		.label = earlier,
		.failed_permille = 9000,
		.share_permille = 1000,
	};
	struct jt_director_event loads = {.kind = JT_DIRECTOR_LOADS};
	struct jt_director_event failures = {.kind = JT_DIRECTOR_FAILURES_TOLD};
	struct jt_incarnation *incarnation = incarnation_of(fixture, RESTARTED);
	struct jt_incarnation before;

	(void)state;
	loads.u.loads.peer = 7;
	loads.u.loads.loads = &load;
	loads.u.loads.count = 1;
	failures.u.failures.items = &failure;
	failures.u.failures.count = 1;
	restart(fixture, 10);
	before = *incarnation;
	fixture_handle(fixture, &loads);
	fixture_handle(fixture, &failures);
	assert_memory_equal(&incarnation->speed, &before.speed,
			    sizeof(before.speed));
	assert_memory_equal(&incarnation->outlier, &before.outlier,
			    sizeof(before.outlier));
	/* Reports on the new incarnation are applied. */
	load.label = failure.label = incarnation->label;
	fixture_handle(fixture, &loads);
	fixture_handle(fixture, &failures);
	assert_memory_not_equal(&incarnation->speed, &before.speed,
				sizeof(before.speed));
	assert_memory_not_equal(&incarnation->outlier, &before.outlier,
				sizeof(before.outlier));
	talloc_free(fixture);
}

static void test_unreadable_entry_gets_no_new_flows(void **state)
{
	struct fixture *fixture = fixture_with_started_endpoints();
	struct client_flow flow = open_flow_to_restarted(fixture);

	(void)state;
	mark_unreadable(fixture, RESTARTED, 10);
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_RESET));
	assert_int_equal(count_flows_to(fixture, 10, RESTARTED), 0);
	/* Not even as a last resort. */
	mark_unreadable(fixture, OTHER, 11);
	assert_int_equal(
		flow_send_syn(fixture,
			      &(struct client_flow){.key = flow.key,
						    .sequence = 0x70000000}),
		0);
	/* Its open flows are still forwarded. */
	flow = make_unseen_flow(
		fixture, jt_incarnation_label(RESTARTED, FIRST_START_MS));
	assert_non_null(flow_send(fixture, &flow, JT_PACKET_ACK, 100));
	/* A full listing with the same unreadable entry changes nothing. */
	mark_unreadable(fixture, RESTARTED, 10);
	fixture_end_listing(fixture, 15);
	assert_true(incarnation_of(fixture, RESTARTED)->entry.unreadable);
	assert_int_equal(
		incarnation_of(fixture, RESTARTED)->entry.gone_revision, 10);
	/* A readable entry makes it eligible again; older updates change
	 * nothing. */
	fixture_set_entry(fixture,
			  make_started_entry(RESTARTED, FIRST_START_MS, 12));
	mark_unreadable(fixture, RESTARTED, 10);
	assert_int_equal(endpoint_state(fixture, RESTARTED),
			 JT_INCARNATION_READY);
	assert_true(count_flows_to(fixture, 10, RESTARTED) > 0);
	talloc_free(fixture);
}

static void test_snapshot_holds_start_times_and_unreadable_entries(void **state)
{
	struct fixture *fixture = fixture_with_started_endpoints(),
		       *peer = fixture_create(0);
	const struct jt_knowledge_need need = {0};
	jt_wire_knowledge snapshot;
	struct jt_director_event event;

	(void)state;
	restart(fixture, 10);
	mark_unreadable(fixture, OTHER, 11);
	assert_true(jt_knowledge_write(fixture, fixture->director, &need,
				       fixture->now_ms, &snapshot));
	assert_int_equal(snapshot.entries.entries_len, 2);
	fixture_set_routing(peer, 1, 50, 50);
	for (u_int i = 0; i < snapshot.entries.entries_len; i++) {
		assert_true(jt_knowledge_entry(&snapshot.entries.entries_val[i],
					       &event));
		fixture_handle(peer, &event);
	}
	assert_int_equal(incarnation_of(peer, RESTARTED)->entry.born_ms,
			 SECOND_START_MS);
	assert_int_equal(incarnation_of(peer, RESTARTED)->label,
			 jt_incarnation_label(RESTARTED, SECOND_START_MS));
	assert_true(incarnation_of(peer, OTHER)->entry.unreadable);
	fixture_end_listing(peer, 11);
	fixture_tick(peer, 20000);
	assert_int_equal(count_flows_to(peer, 10, OTHER), 0);
	talloc_free(fixture);
	talloc_free(peer);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_start_times_determine_labels),
		cmocka_unit_test(test_restart_resets_observed_state),
		cmocka_unit_test(test_same_start_time_is_no_restart),
		cmocka_unit_test(test_start_times_are_not_ordered),
		cmocka_unit_test(
			test_flows_of_previous_incarnation_follow_address),
		cmocka_unit_test(
			test_flows_of_previous_incarnation_are_no_evidence),
		cmocka_unit_test(
			test_duplicate_syn_after_restart_goes_to_same_endpoint),
		cmocka_unit_test(test_restart_revives_a_dead_endpoint),
		cmocka_unit_test(test_late_entry_takes_no_address),
		cmocka_unit_test(test_answering_endpoint_owns_the_address),
		cmocka_unit_test(
			test_flows_of_replaced_endpoint_are_reset_once_confirmed),
		cmocka_unit_test(test_removed_entry_returns_the_address),
		cmocka_unit_test(
			test_reports_on_other_incarnations_are_ignored),
		cmocka_unit_test(
			test_probes_of_previous_incarnation_are_ignored),
		cmocka_unit_test(
			test_flows_of_unknown_incarnation_are_not_reset),
		cmocka_unit_test(
			test_flows_of_dead_endpoint_are_reset_once_confirmed),
		cmocka_unit_test(test_restart_begins_slow_start),
		cmocka_unit_test(test_peer_loads_are_per_incarnation),
		cmocka_unit_test(test_peer_reports_are_per_incarnation),
		cmocka_unit_test(test_unreadable_entry_gets_no_new_flows),
		cmocka_unit_test(
			test_snapshot_holds_start_times_and_unreadable_entries),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
