/* Tests listing gaps. A full listing shows what exists, not what was removed
 * before: guards against keeping removed endpoints that such a node's peers
 * still know. */
#include "director_fixture.h"
#include "jt_snapshot_fetch.h"
#include "jt_listing_gaps.h"

enum { REMOVED = 0x101, KEPT = 0x102, ADDED = 0x103, LISTED_AT = 19 };

static void test_gap_tracking(void **state)
{
	struct jt_listing_gaps gaps = {0};

	(void)state;
	assert_true(jt_listing_gaps_covers(&gaps, 0));
	jt_listing_gaps_add(&gaps, (struct jt_listing_gap){10, 20});
	assert_true(jt_listing_gaps_covers(&gaps, 0));
	assert_true(jt_listing_gaps_covers(&gaps, 10));
	assert_false(jt_listing_gaps_covers(&gaps, 11));
	assert_false(jt_listing_gaps_covers(&gaps, 19));
	assert_true(jt_listing_gaps_covers(&gaps, 20));
	/* There is no gap between adjacent revisions. */
	jt_listing_gaps_add(&gaps, (struct jt_listing_gap){20, 21});
	assert_int_equal(gaps.newest.to, 20);
	/* Only the newest of several gaps is kept exactly. */
	jt_listing_gaps_add(&gaps, (struct jt_listing_gap){25, 30});
	assert_false(jt_listing_gaps_covers(&gaps, 10));
	assert_true(jt_listing_gaps_covers(&gaps, 20));
	assert_false(jt_listing_gaps_covers(&gaps, 29));
	/* An earlier gap reported by a peer. */
	jt_listing_gaps_add(&gaps, (struct jt_listing_gap){21, 24});
	assert_false(jt_listing_gaps_covers(&gaps, 22));
	assert_true(jt_listing_gaps_covers(&gaps, 24));
	jt_listing_gaps_discard_before(&gaps, 50);
	assert_false(jt_listing_gaps_covers(&gaps, 40));
	assert_true(jt_listing_gaps_covers(&gaps, 50));
}

static void test_gap_after_revision(void **state)
{
	struct jt_listing_gaps gaps = {.newest = {10, 20}};

	(void)state;
	assert_int_equal(jt_listing_gaps_after(&gaps, 5).from, 10);
	assert_int_equal(jt_listing_gaps_after(&gaps, 15).from, 15);
	assert_int_equal(jt_listing_gaps_after(&gaps, 15).to, 20);
	assert_int_equal(jt_listing_gaps_after(&gaps, 20).to, 0);
}

/* Creates a node that has watched all changes up to the revision before the
 * removal. */
static struct fixture *fixture_watching(void)
{
	struct fixture *fixture = fixture_create(0);

	fixture_set_routing(fixture, 1, 50, 50);
	fixture_add_endpoint(fixture, REMOVED, SERVICE_BOARD, ZONE_A, 2);
	fixture_add_endpoint(fixture, KEPT, SERVICE_BOARD, ZONE_A, 3);
	fixture_end_listing(fixture, 18);
	fixture_tick(fixture, INITIAL_SYNC_MS);
	return fixture;
}

/* Creates a node that started from a full listing after the removal. */
static struct fixture *fixture_from_listing(void)
{
	struct fixture *fixture = fixture_create(0);

	fixture_set_routing(fixture, 1, 50, 50);
	fixture_add_endpoint(fixture, KEPT, SERVICE_BOARD, ZONE_A, 3);
	fixture_end_listing(fixture, LISTED_AT);
	fixture_tick(fixture, INITIAL_SYNC_MS);
	return fixture;
}

static void write_snapshot(struct fixture *fixture, uint64_t since,
			   jt_wire_snapshot *snapshot)
{
	const struct jt_snapshot_request request = {.since = since,
						    .version = 1};

	assert_true(jt_snapshot_write(fixture, fixture->director, &request,
				      fixture->now_ms, snapshot));
}

/* Applies a peer's snapshot as the driver does. */
static void apply_snapshot(struct fixture *fixture,
			   const jt_wire_snapshot *snapshot, uint64_t since)
{
	struct jt_snapshot_fetch fetch = {0};
	const struct jt_own_state own = {
		.started = since > 0, .revision = since, .routing_version = 1};
	struct jt_director_event event;

	(void)jt_snapshot_fetch_request(&fetch, &own);
	for (u_int i = 0; i < snapshot->entries.entries_len; i++) {
		if (jt_snapshot_entry_event(&snapshot->entries.entries_val[i],
					    &event))
			fixture_handle(fixture, &event);
	}
	if (jt_snapshot_slices_event(fixture, snapshot, &event))
		fixture_handle(fixture, &event);
	assert_true(
		jt_snapshot_fetch_record(&fetch, snapshot, fixture->now_ms));
	event = (struct jt_director_event){.kind = JT_DIRECTOR_PEER_SNAPSHOT};
	event.u.listed.revision = fetch.revision;
	event.u.listed.gap = fetch.gap;
	event.u.listed.incomplete_before = fetch.incomplete_before;
	fixture_handle(fixture, &event);
}

/* Guards against new flows to a removed endpoint when changes are fetched from
 * a peer whose listing was after the removal. */
static void test_removal_before_a_peers_listing_is_learned(void **state)
{
	struct fixture *watching = fixture_watching(),
		       *listing = fixture_from_listing();
	jt_wire_snapshot snapshot;

	(void)state;
	write_snapshot(listing, 18, &snapshot);
	assert_int_equal(snapshot.since, 0);
	apply_snapshot(watching, &snapshot, 18);
	assert_int_equal(jt_director_revision(watching->director), LISTED_AT);
	assert_int_equal(endpoint_state(watching, REMOVED),
			 JT_INCARNATION_EXPIRED);
	assert_int_equal(endpoint_state(watching, KEPT), JT_INCARNATION_READY);
	assert_int_equal(count_flows_to(watching, 20, KEPT), 20);
	talloc_free(watching);
	talloc_free(listing);
}

/* The removal is sent on to the node's own peers. */
static void test_removal_is_forwarded(void **state)
{
	struct fixture *watching = fixture_watching(),
		       *listing = fixture_from_listing(),
		       *other = fixture_watching();
	jt_wire_snapshot snapshot;

	(void)state;
	write_snapshot(listing, 18, &snapshot);
	apply_snapshot(watching, &snapshot, 18);
	write_snapshot(watching, 18, &snapshot);
	assert_int_equal(snapshot.since, 18);
	apply_snapshot(other, &snapshot, 18);
	assert_int_equal(endpoint_state(other, REMOVED),
			 JT_INCARNATION_EXPIRED);
	talloc_free(watching);
	talloc_free(listing);
	talloc_free(other);
}

/* A listing skipped the removal of an endpoint that a third node knows; it
 * learns of it through a node that took over the gap. */
static void test_gap_is_forwarded(void **state)
{
	struct fixture *watching = fixture_watching(),
		       *relisted = fixture_watching(),
		       *other = fixture_watching();
	jt_wire_snapshot snapshot;

	(void)state;
	fixture_add_endpoint(other, ADDED, SERVICE_BOARD, ZONE_A, 20);
	fixture_end_listing(other, 20);
	fixture_add_endpoint(relisted, REMOVED, SERVICE_BOARD, ZONE_A, 2);
	fixture_add_endpoint(relisted, KEPT, SERVICE_BOARD, ZONE_A, 3);
	fixture_end_listing(relisted, 25);
	write_snapshot(relisted, 18, &snapshot);
	assert_int_equal(snapshot.since, 18);
	apply_snapshot(watching, &snapshot, 18);
	write_snapshot(watching, 20, &snapshot);
	assert_int_equal(snapshot.since, 0);
	apply_snapshot(other, &snapshot, 20);
	assert_int_equal(endpoint_state(other, ADDED), JT_INCARNATION_EXPIRED);
	talloc_free(watching);
	talloc_free(relisted);
	talloc_free(other);
}

/* Changes that were observed are sent one by one. */
static void test_watched_changes_are_sent_individually(void **state)
{
	struct fixture *fixture = fixture_watching();
	struct jt_director_event event = {.kind = JT_DIRECTOR_CAUGHT_UP};
	jt_wire_snapshot snapshot;

	(void)state;
	fixture_add_endpoint(fixture, ADDED, SERVICE_BOARD, ZONE_A, 20);
	fixture_remove_entry(fixture, REMOVED, 25);
	event.u.listed.revision = 25;
	fixture_handle(fixture, &event);
	write_snapshot(fixture, 20, &snapshot);
	assert_int_equal(snapshot.since, 20);
	assert_int_equal(snapshot.entries.entries_len, 1);
	assert_int_equal(snapshot.gap_to, 0);
	talloc_free(fixture);
}

/* A snapshot of a node that can't store all endpoints removes nothing. */
static void test_incomplete_snapshot_removes_nothing(void **state)
{
	struct fixture *watching = fixture_watching(),
		       *listing = fixture_from_listing();
	jt_wire_snapshot snapshot;
	struct jt_director_event event;

	(void)state;
	write_snapshot(listing, 18, &snapshot);
	snapshot.complete = FALSE;
	assert_false(jt_snapshot_slices_event(watching, &snapshot, &event));
	/* A partial snapshot doesn't either. */
	snapshot.complete = TRUE;
	snapshot.slice_next = snapshot.slice;
	assert_false(jt_snapshot_slices_event(watching, &snapshot, &event));
	talloc_free(watching);
	talloc_free(listing);
}

/* Entries newer than the peer's revision are kept. */
static void test_newer_entries_are_kept(void **state)
{
	struct fixture *watching = fixture_watching(),
		       *listing = fixture_from_listing();
	jt_wire_snapshot snapshot;
	struct jt_director_event event;

	(void)state;
	fixture_add_endpoint(watching, ADDED, SERVICE_BOARD, ZONE_A, 30);
	write_snapshot(listing, 18, &snapshot);
	assert_true(jt_snapshot_slices_event(watching, &snapshot, &event));
	fixture_handle(watching, &event);
	assert_int_equal(endpoint_state(watching, ADDED), JT_INCARNATION_READY);
	assert_int_equal(endpoint_state(watching, REMOVED),
			 JT_INCARNATION_EXPIRED);
	talloc_free(watching);
	talloc_free(listing);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_gap_tracking),
		cmocka_unit_test(test_gap_after_revision),
		cmocka_unit_test(
			test_removal_before_a_peers_listing_is_learned),
		cmocka_unit_test(test_removal_is_forwarded),
		cmocka_unit_test(test_gap_is_forwarded),
		cmocka_unit_test(test_watched_changes_are_sent_individually),
		cmocka_unit_test(test_incomplete_snapshot_removes_nothing),
		cmocka_unit_test(test_newer_entries_are_kept),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
