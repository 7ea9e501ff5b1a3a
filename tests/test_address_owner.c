/* Two endpoints that had the same address one after the other, where every
 * start has an id of its own: the later one owns it. */
#include "director_fixture.h"

enum {
	FORMER = 0x201,	 /* has ended */
	CURRENT = 0x202, /* has its address now */
	FORMER_CREATED = 2,
	CURRENT_CREATED = 25,
	LATE_REVISION = 30, /* of a write of the former, done late */
};

static struct jt_endpoint_entry entry_at(uint64_t id, uint64_t created,
					 uint64_t revision)
{
	struct jt_endpoint_entry entry =
		make_entry(id, SERVICE_BOARD, ZONE_A, revision);

	entry.address = (struct jt_address){0x0a0000aa, 8080};
	entry.created_revision = created;
	return entry;
}

static void set_former(struct fixture *fixture)
{
	fixture_set_entry(fixture,
			  entry_at(FORMER, FORMER_CREATED, FORMER_CREATED));
}

/* The former endpoint's write, done after the current one has registered. */
static void set_former_late(struct fixture *fixture)
{
	fixture_set_entry(fixture,
			  entry_at(FORMER, FORMER_CREATED, LATE_REVISION));
}

static void set_current(struct fixture *fixture)
{
	fixture_set_entry(fixture,
			  entry_at(CURRENT, CURRENT_CREATED, CURRENT_CREATED));
}

static struct fixture *fixture_new(void)
{
	struct fixture *fixture = fixture_create(0);

	fixture_set_routing(fixture, 1, 50, 50);
	return fixture;
}

static void expect_owner(const struct fixture *fixture, uint64_t owner)
{
	struct jt_endpoint_entry entry;
	enum jt_incarnation_state state;

	for (size_t i = 0;
	     jt_director_endpoint_at(fixture->director, i, &entry, &state); i++)
		assert_int_equal(state, entry.id == owner
						? JT_INCARNATION_READY
						: JT_INCARNATION_DEAD);
}

/* Guards against a late write of an ended endpoint that makes nodes declare its
 * successor dead, for good, and reset its flows. */
static void test_late_write_takes_no_address(void **state)
{
	struct fixture *fixture = fixture_new();
	struct client_flow flow;

	(void)state;
	set_former(fixture);
	fixture_end_listing(fixture, FORMER_CREATED);
	fixture_tick(fixture, INITIAL_SYNC_MS);
	set_current(fixture);
	expect_owner(fixture, CURRENT);
	flow = flow_new(fixture, CLIENT_IP, BOARD_PORT);
	flow_open(fixture, &flow);
	assert_int_equal(flow.endpoint_id, CURRENT);
	set_former_late(fixture);
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_RESET));
	expect_owner(fixture, CURRENT);
	assert_non_null(flow_send(fixture, &flow, JT_PACKET_ACK, 10));
	talloc_free(fixture);
}

/* The same at a node that learns of both changes at once, in either order, and
 * at one that starts after them. */
static void test_nodes_agree_on_the_owner(void **state)
{
	(void)state;
	for (int order = 0; order < 4; order++) {
		struct fixture *fixture = fixture_new();

		if (order < 2) {
			set_former(fixture);
			fixture_end_listing(fixture, FORMER_CREATED);
		}
		if (order % 2 == 0) {
			set_former_late(fixture);
			set_current(fixture);
		} else {
			set_current(fixture);
			set_former_late(fixture);
		}
		if (order >= 2)
			fixture_end_listing(fixture, LATE_REVISION);
		expect_owner(fixture, CURRENT);
		fixture_tick(fixture, INITIAL_SYNC_MS);
		assert_int_equal(count_flows_to(fixture, 10, CURRENT), 10);
		talloc_free(fixture);
	}
}

/* Guards against an endpoint that stays dead for good: its former owner's entry
 * had gone and was created anew by a late write, so that a node that starts
 * then can't see who was first. The address returns with the entry's end. */
static void test_end_of_a_late_entry_returns_the_address(void **state)
{
	struct fixture *fixture = fixture_new();

	(void)state;
	fixture_set_entry(fixture,
			  entry_at(FORMER, LATE_REVISION, LATE_REVISION));
	set_current(fixture);
	fixture_end_listing(fixture, LATE_REVISION);
	fixture_tick(fixture, INITIAL_SYNC_MS);
	fixture_remove_entry(fixture, FORMER, LATE_REVISION + 1);
	assert_int_equal(count_flows_to(fixture, 10, CURRENT), 10);
	talloc_free(fixture);
}

/* An entry that lapsed in an outage of the store and came back still owns its
 * address. */
static void test_entry_that_came_back_keeps_its_address(void **state)
{
	struct fixture *fixture = fixture_new();

	(void)state;
	set_former(fixture);
	set_current(fixture);
	fixture_end_listing(fixture, CURRENT_CREATED);
	fixture_tick(fixture, INITIAL_SYNC_MS);
	fixture_remove_entry(fixture, FORMER, LATE_REVISION);
	fixture_remove_entry(fixture, CURRENT, LATE_REVISION + 1);
	fixture_set_entry(fixture, entry_at(CURRENT, LATE_REVISION + 2,
					    LATE_REVISION + 2));
	assert_int_equal(count_flows_to(fixture, 10, CURRENT), 10);
	talloc_free(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_late_write_takes_no_address),
		cmocka_unit_test(test_nodes_agree_on_the_owner),
		cmocka_unit_test(test_end_of_a_late_entry_returns_the_address),
		cmocka_unit_test(test_entry_that_came_back_keeps_its_address),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
