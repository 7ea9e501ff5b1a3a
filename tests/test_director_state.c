/* Tests what a director knows: discovery entries, snapshots and updates of
 * peers, listings and routing versions. */
#include "director_fixture.h"

static void test_reused_address_ends_the_previous_endpoint(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct jt_endpoint_entry entry =
		make_entry(0x201, SERVICE_EXPORT, ZONE_A, 9);
	struct client_flow flow, other;

	(void)state;
	open_flow_at_each(fixture, &flow, &other);
	entry.address = make_entry(0x101, 0, 0, 0).address;
	fixture_set_entry(fixture, entry);
	assert_int_equal(endpoint_state(fixture, 0x101), JT_INCARNATION_DEAD);
	assert_int_equal(fixture_count_actions(fixture, JT_DIRECTOR_RESET), 1);
	assert_int_equal(endpoint_state(fixture, 0x201), JT_INCARNATION_READY);
	talloc_free(fixture);
}

/* Guards against ending an address's new owner when a peer's snapshot holds the
 * previous owner's later removal. */
static void test_snapshot_with_a_previous_address_owner(void **state)
{
	struct fixture *receiver = fixture_create(0),
		       *fixture = fixture_with_two_endpoints(0);
	struct jt_endpoint_entry entry =
		make_entry(0x201, SERVICE_EXPORT, ZONE_A, 9);
	jt_wire_snapshot snapshot;

	(void)state;
	entry.address = make_entry(0x101, 0, 0, 0).address;
	fixture_set_entry(fixture, entry);
	fixture_remove_entry(fixture, 0x101, 12);
	assert_true(jt_snapshot_write(fixture, fixture->director,
				      &(struct jt_snapshot_request){0},
				      fixture->now_ms, &snapshot));
	for (int pass = 0; pass < 2; pass++) {
		for (u_int i = 0; i < snapshot.entries.entries_len; i++) {
			u_int at = pass == 0 ? i
					     : snapshot.entries.entries_len -
						       1 - i;
			struct jt_director_event event;

			if (jt_snapshot_entry_event(
				    &snapshot.entries.entries_val[at], &event))
				fixture_handle(receiver, &event);
		}
	}
	assert_int_equal(endpoint_state(receiver, 0x201), JT_INCARNATION_READY);
	assert_int_equal(endpoint_state(receiver, 0x101), JT_INCARNATION_DEAD);
	assert_int_equal(endpoint_state(receiver, 0x102), JT_INCARNATION_READY);
	talloc_free(receiver);
	talloc_free(fixture);
}

/* Returns how many entries a snapshot for a node that knows all up to @since
 * holds. */
static u_int snapshot_entries_since(struct fixture *fixture, uint64_t since,
				    jt_wire_snapshot *snapshot)
{
	assert_true(
		jt_snapshot_write(fixture, fixture->director,
				  &(struct jt_snapshot_request){.since = since},
				  fixture->now_ms, snapshot));
	return snapshot->entries.entries_len;
}

static void test_snapshot_holds_changes_since_revision(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	uint64_t version = jt_director_routing(fixture->director)->version;
	jt_wire_snapshot snapshot;

	(void)state;
	fixture_add_endpoint(fixture, 0x101, SERVICE_BOARD, ZONE_A, 20);
	fixture_remove_entry(fixture, 0x102, 30);
	assert_int_equal(snapshot_entries_since(fixture, 0, &snapshot), 2);
	assert_int_equal(snapshot_entries_since(fixture, 20, &snapshot), 1);
	assert_int_equal(snapshot.since, 20);
	assert_int_equal(snapshot.entries.entries_val[0].removed_revision, 30);
	assert_int_equal(snapshot_entries_since(fixture, 30, &snapshot), 0);
	/* The routing is sent only to a node that lacks its version. */
	assert_int_equal(snapshot.routing.routing_version, version);
	assert_true(jt_snapshot_write(
		fixture, fixture->director,
		&(struct jt_snapshot_request){.since = 30, .version = version},
		fixture->now_ms, &snapshot));
	assert_int_equal(snapshot.routing.routing_version, 0);
	talloc_free(fixture);
}

/* Returns true if the node is at revision 40 after an update to it. */
static bool update_is_accepted(struct fixture *fixture, uint64_t since,
			       uint64_t version)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_GOSSIP_UPDATES};

	event.u.updates.since = since;
	event.u.updates.revision = 40;
	event.u.updates.routing_version = version;
	fixture_handle(fixture, &event);
	return jt_director_revision(fixture->director) == 40;
}

/* Guards against advancing the revision past a routing or changes that the node
 * lacks: no peer would send them again. */
static void test_update_without_its_base_is_refused(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	uint64_t version = jt_director_routing(fixture->director)->version;
	uint64_t revision = jt_director_revision(fixture->director);

	(void)state;
	assert_false(update_is_accepted(fixture, revision, version + 1));
	assert_false(update_is_accepted(fixture, revision + 1, version));
	assert_true(update_is_accepted(fixture, revision, version));
	talloc_free(fixture);
}

/* A node that has discarded old removals sends a whole snapshot and marks it
 * so. */
static void test_discarded_removals_make_snapshot_whole(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct jt_director_event tick = {.kind = JT_DIRECTOR_TICK};
	jt_wire_snapshot snapshot;

	(void)state;
	fixture_remove_entry(fixture, 0x102, 30);
	fixture->now_ms += 2 * 3600 * 1000;
	fixture_handle(fixture, &tick);
	assert_int_equal(snapshot_entries_since(fixture, 20, &snapshot), 1);
	assert_int_equal(snapshot.since, 0);
	assert_int_equal(snapshot_entries_since(fixture, 30, &snapshot), 0);
	assert_int_equal(snapshot.since, 30);
	talloc_free(fixture);
}

/* Returns true if entries older than the known ones are refused. */
static bool stale_entry_is_refused(unsigned injected_fault)
{
	struct fixture *fixture = fixture_with_two_endpoints(injected_fault);
	struct jt_endpoint_entry entry =
		make_entry(0x101, SERVICE_BOARD, ZONE_A, 7);
	bool refused;

	entry.draining = true;
	fixture_set_entry(fixture, entry);
	fixture_add_endpoint(fixture, 0x101, SERVICE_BOARD, ZONE_A, 6);
	refused = endpoint_state(fixture, 0x101) == JT_INCARNATION_DRAINING;
	fixture_remove_entry(fixture, 0x101, 8);
	entry.revision = 7;
	fixture_set_entry(fixture, entry);
	refused = refused &&
		  endpoint_state(fixture, 0x101) == JT_INCARNATION_EXPIRED;
	talloc_free(fixture);
	return refused;
}

static void test_stale_entries_are_refused(void **state)
{
	(void)state;
	assert_true(stale_entry_is_refused(0));
	assert_false(stale_entry_is_refused(JT_DIRECTOR_FAULT_STALE_ENTRY));
}

/* Guards against choosing a draining endpoint as last resort when its draining
 * entry is received after its removal. */
static void test_draining_is_learned_after_the_entry_was_removed(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct jt_endpoint_entry entry =
		make_entry(0x101, SERVICE_BOARD, ZONE_A, 7);
	struct client_flow flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);

	(void)state;
	fixture_remove_entry(fixture, 0x102, 8);
	fixture_remove_entry(fixture, 0x101, 9);
	entry.draining = true;
	fixture_set_entry(fixture, entry);
	assert_int_equal(endpoint_state(fixture, 0x101),
			 JT_INCARNATION_EXPIRED);
	/* The last resort is the endpoint that was not draining. */
	assert_int_equal(flow_send_syn(fixture, &flow), 0x102);
	talloc_free(fixture);
}

static bool older_routing_is_refused(unsigned injected_fault)
{
	struct fixture *fixture = fixture_with_two_endpoints(injected_fault);
	bool refused;

	fixture_set_routing(fixture, 7, 1, 1);
	fixture_set_routing(fixture, 5, 1, 1);
	refused = jt_director_routing(fixture->director)->version == 7;
	talloc_free(fixture);
	return refused;
}

static void test_routing_never_goes_back(void **state)
{
	(void)state;
	assert_true(older_routing_is_refused(0));
	assert_false(older_routing_is_refused(JT_DIRECTOR_FAULT_VERSION));
}

static void test_full_listing_removes_missing_entries(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct jt_director_event event = {.kind = JT_DIRECTOR_LISTING};

	(void)state;
	fixture_handle(fixture, &event);
	fixture_add_endpoint(fixture, 0x102, SERVICE_BOARD, ZONE_A, 3);
	fixture_end_listing(fixture, 20);
	assert_int_equal(endpoint_state(fixture, 0x101),
			 JT_INCARNATION_EXPIRED);
	assert_int_equal(endpoint_state(fixture, 0x102), JT_INCARNATION_READY);
	talloc_free(fixture);
}

/* Guards against claiming a revision before all changes up to it are known. */
static void test_revision_covers_complete_state_only(void **state)
{
	struct fixture *fixture = fixture_with_two_endpoints(0);
	struct jt_director_event event = {.kind = JT_DIRECTOR_LISTING};

	(void)state;
	assert_int_equal(jt_director_revision(fixture->director), 3);
	/* A page of a full listing, with an entry newer than one on a later
	 * page. */
	fixture_handle(fixture, &event);
	fixture_add_endpoint(fixture, 0x101, SERVICE_BOARD, ZONE_A, 20);
	assert_int_equal(jt_director_revision(fixture->director), 3);
	fixture_add_endpoint(fixture, 0x102, SERVICE_BOARD, ZONE_A, 15);
	fixture_end_listing(fixture, 20);
	assert_int_equal(jt_director_revision(fixture->director), 20);
	event.kind = JT_DIRECTOR_CAUGHT_UP;
	event.u.listed.revision = 23;
	fixture_handle(fixture, &event);
	assert_int_equal(jt_director_revision(fixture->director), 23);
	talloc_free(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_reused_address_ends_the_previous_endpoint),
		cmocka_unit_test(test_snapshot_with_a_previous_address_owner),
		cmocka_unit_test(test_snapshot_holds_changes_since_revision),
		cmocka_unit_test(test_update_without_its_base_is_refused),
		cmocka_unit_test(test_discarded_removals_make_snapshot_whole),
		cmocka_unit_test(test_stale_entries_are_refused),
		cmocka_unit_test(
			test_draining_is_learned_after_the_entry_was_removed),
		cmocka_unit_test(test_routing_never_goes_back),
		cmocka_unit_test(test_full_listing_removes_missing_entries),
		cmocka_unit_test(test_revision_covers_complete_state_only),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
