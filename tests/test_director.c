/* Placement by flow label: the promises, each with the mechanism it needs. */
#include "director_fixture.h"

static void test_any_node_forwards_by_label(void **state)
{
	struct bench *first = two_endpoints(0), *second = two_endpoints(0);
	struct caller_flow flow = flow_new(first, CALLER, BOARD_PORT);
	const struct jt_director_action *forward;

	(void)state;
	flow_open(first, &flow);
	forward = flow_send(second, &flow, JT_PACKET_ACK, 100);
	assert_non_null(forward);
	assert_int_equal(forward->endpoint_id, flow.endpoint_id);
	assert_int_equal(forward->reason, JT_DIRECTOR_LABELLED);
	talloc_free(first);
	talloc_free(second);
}

static void test_packets_wait_for_the_start(void **state)
{
	struct bench *bench = bench_create(0);
	struct caller_flow flow = flow_new(bench, CALLER, BOARD_PORT);

	(void)state;
	assert_int_equal(flow_syn(bench, &flow), 0);
	assert_non_null(bench_find(bench, JT_DIRECTOR_HOLD));
	assert_null(bench_find(bench, JT_DIRECTOR_RESET));
	bench_routing(bench, 1, 1, 1);
	assert_int_equal(flow_syn(bench, &flow), 0);
	assert_non_null(bench_find(bench, JT_DIRECTOR_HOLD));
	bench_endpoint(bench, 0x101, SERVICE_BOARD, ZONE_A, 2);
	bench_listed(bench, 2);
	assert_int_equal(flow_syn(bench, &flow), 0x101);
	talloc_free(bench);
}

static void test_unknown_route_is_answered_at_once(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct caller_flow flow = flow_new(bench, CALLER, 9999);

	(void)state;
	assert_int_equal(flow_syn(bench, &flow), 0);
	assert_non_null(bench_find(bench, JT_DIRECTOR_RESET));
	assert_int_equal(bench_find(bench, JT_DIRECTOR_RESET)->reason,
			 JT_DIRECTOR_NO_ROUTE);
	talloc_free(bench);
}

static void test_what_only_endpoints_send_is_dropped(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct caller_flow flow = flow_new(bench, CALLER, BOARD_PORT);

	(void)state;
	flow.label = jt_flow_label(0x101);
	assert_null(flow_send(bench, &flow, JT_PACKET_SYN | JT_PACKET_ACK, 0));
	assert_non_null(bench_find(bench, JT_DIRECTOR_DROP));
	flow.label = 0;
	assert_null(flow_send(bench, &flow, JT_PACKET_ACK, 10));
	flow.label = 0xdeadbeef;
	assert_null(flow_send(bench, &flow, JT_PACKET_ACK, 10));
	assert_null(bench_find(bench, JT_DIRECTOR_RESET));
	talloc_free(bench);
}

/* Whether copies of first packets all reach the endpoint of the first. */
static bool copies_stay(unsigned break_mechanism)
{
	struct bench *bench = two_endpoints(break_mechanism);
	bool stayed = true;

	for (int i = 0; i < 20; i++) {
		struct caller_flow flow =
			flow_new(bench, CALLER + i, BOARD_PORT);
		uint64_t first = flow_syn(bench, &flow);

		bench->now_ms += 200;
		flow.acknowledged = 1;
		stayed = stayed && flow_syn(bench, &flow) == first;
	}
	talloc_free(bench);
	return stayed;
}

static void test_copies_of_a_first_packet_stay(void **state)
{
	(void)state;
	assert_true(copies_stay(0));
	assert_false(copies_stay(JT_DIRECTOR_BREAK_PLACE_COPIES));
}

/* Failure 37: the network doubles a first packet, and the second one comes
 * when the flow is open already. */
static void test_late_copy_of_a_first_packet_stays(void **state)
{
	struct bench *bench = two_endpoints(0);

	(void)state;
	for (int i = 0; i < 20; i++) {
		struct caller_flow flow =
			flow_new(bench, CALLER + i, BOARD_PORT);
		struct caller_flow first = flow;
		uint64_t endpoint_id;

		flow_open(bench, &flow);
		endpoint_id = flow.endpoint_id;
		flow_request(bench, &flow, 20);
		assert_int_equal(flow_syn(bench, &first), endpoint_id);
		/* It says nothing against the endpoint. */
		assert_int_equal(bench_count(bench, JT_DIRECTOR_PROBE), 0);
	}
	talloc_free(bench);
}

/* The same where this node never saw the first one. */
static void test_late_first_packet_of_a_known_flow_stays(void **state)
{
	struct bench *bench = two_endpoints(0);

	(void)state;
	for (int i = 0; i < 20; i++) {
		struct caller_flow flow =
			flow_new(bench, CALLER + i, BOARD_PORT);
		struct caller_flow first = flow;

		flow.label = jt_flow_label(0x101);
		flow.sequence++;
		flow.acknowledged = 5000;
		flow_send(bench, &flow, JT_PACKET_ACK, 100);
		assert_int_equal(flow_syn(bench, &first), 0x101);
	}
	talloc_free(bench);
}

/* A caller that uses a port again, later, opens a new flow. */
static void test_port_used_again_is_a_new_flow(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct caller_flow flow = flow_new(bench, CALLER, BOARD_PORT);
	struct jt_endpoint_entry entry;

	(void)state;
	flow_open(bench, &flow);
	entry = entry_of(flow.endpoint_id, SERVICE_BOARD, ZONE_A, 50);
	entry.draining = true;
	bench_entry(bench, entry);
	flow.sequence += 0x20000000;
	flow.acknowledged = 0;
	flow.label = 0;
	assert_int_not_equal(flow_syn(bench, &flow), entry.id);
	talloc_free(bench);
}

/* Failure 37: data that the network doubles was not sent again. */
static void test_doubled_data_is_no_evidence(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct caller_flow flow, other;

	(void)state;
	flow_at_each(bench, &flow, &other);
	flow_request(bench, &flow, 20);
	flow_send(bench, &flow, JT_PACKET_ACK, 100);
	for (int i = 0; i < 3; i++) {
		bench->now_ms += 20;
		flow_send(bench, &flow, JT_PACKET_ACK, 100);
		assert_int_equal(bench_count(bench, JT_DIRECTOR_PROBE), 0);
	}
	/* The caller itself sends again after 200 ms. */
	bench->now_ms += 140;
	flow_send(bench, &flow, JT_PACKET_ACK, 100);
	assert_int_equal(bench_count(bench, JT_DIRECTOR_PROBE), 1);
	talloc_free(bench);
}

static bool draining_gets_none(unsigned break_mechanism)
{
	struct bench *bench = two_endpoints(break_mechanism);
	struct jt_endpoint_entry entry =
		entry_of(0x101, SERVICE_BOARD, ZONE_A, 4);
	struct caller_flow old = flow_new(bench, CALLER, BOARD_PORT);
	bool none = true;

	do {
		old = flow_new(bench, CALLER, BOARD_PORT);
		flow_open(bench, &old);
	} while (old.endpoint_id != 0x101);
	entry.draining = true;
	bench_entry(bench, entry);
	for (int i = 0; i < 20; i++) {
		struct caller_flow flow =
			flow_new(bench, CALLER + i, BOARD_PORT);

		none = none && flow_syn(bench, &flow) == 0x102;
	}
	/* Its flows stay where they are. */
	assert_non_null(flow_send(bench, &old, JT_PACKET_ACK, 10));
	talloc_free(bench);
	return none;
}

static void test_draining_endpoint_keeps_only_its_flows(void **state)
{
	(void)state;
	assert_true(draining_gets_none(0));
	assert_false(draining_gets_none(JT_DIRECTOR_BREAK_DRAINING));
}

/* Whether a flow goes on at an endpoint whose entry went without a word. */
static bool survives_lapse(unsigned break_mechanism)
{
	struct bench *bench = two_endpoints(break_mechanism);
	struct caller_flow flow = flow_new(bench, CALLER, BOARD_PORT);
	bool forwarded;

	flow_open(bench, &flow);
	bench_gone(bench, flow.endpoint_id, 9);
	forwarded = flow_send(bench, &flow, JT_PACKET_ACK, 100) != NULL;
	talloc_free(bench);
	return forwarded;
}

static void test_flows_outlive_their_endpoints_entry(void **state)
{
	(void)state;
	assert_true(survives_lapse(0));
	assert_false(survives_lapse(JT_DIRECTOR_BREAK_FORGET_GONE));
}

static void test_all_lapsed_at_once_are_a_last_resort(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct caller_flow flow = flow_new(bench, CALLER, BOARD_PORT);

	(void)state;
	bench_gone(bench, 0x101, 8);
	assert_int_equal(flow_syn(bench, &flow), 0x102);
	bench_gone(bench, 0x102, 9);
	flow = flow_new(bench, CALLER, BOARD_PORT);
	assert_int_not_equal(flow_syn(bench, &flow), 0);
	/* Not for longer than a leaving endpoint may get new flows. */
	bench_tick(bench, 2500);
	flow = flow_new(bench, CALLER, BOARD_PORT);
	assert_int_equal(flow_syn(bench, &flow), 0);
	talloc_free(bench);
}

/* Two endpoints, of which one lapses just after the store was away for a
 * while; returns to which of them the next flow goes. */
static uint64_t lapsed_in_outage(struct bench *bench, bool answers,
				 uint64_t later_ms)
{
	struct jt_director_event tick = {.kind = JT_DIRECTOR_TICK};
	struct caller_flow first, second, flow;

	flow_at_each(bench, &first, &second);
	tick.u.tick.nodes = 1;
	tick.u.tick.store_age_ms = 9000;
	bench_event(bench, &tick);
	bench->now_ms += 100;
	bench_gone(bench, 0x101, 8);
	bench_tick(bench, later_ms);
	if (answers)
		flow_request(bench, &first, 20);
	/* The other one is busy. */
	for (int i = 0; i < 5; i++)
		flow_request(bench, &second, 20);
	flow = flow_new(bench, CALLER, BOARD_PORT);
	return flow_syn(bench, &flow);
}

static void test_lapse_of_an_outage_stops_no_live_endpoint(void **state)
{
	struct bench *bench = two_endpoints(0);

	(void)state;
	assert_int_equal(lapsed_in_outage(bench, true, 100), 0x101);
	talloc_free(bench);
	/* One that shows no life is a last resort. */
	bench = two_endpoints(0);
	assert_int_equal(lapsed_in_outage(bench, false, 1500), 0x102);
	talloc_free(bench);
	/* One that is not back after two seconds is gone. */
	bench = two_endpoints(0);
	assert_int_equal(lapsed_in_outage(bench, true, 2200), 0x102);
	talloc_free(bench);
}

/* While the store is there, an entry that goes means that the endpoint does. */
static void test_lapse_without_an_outage_stops_new_flows(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct caller_flow first, second, flow;

	(void)state;
	flow_at_each(bench, &first, &second);
	bench_gone(bench, 0x101, 8);
	flow_request(bench, &first, 20);
	for (int i = 0; i < 5; i++)
		flow_request(bench, &second, 20);
	flow = flow_new(bench, CALLER, BOARD_PORT);
	assert_int_equal(flow_syn(bench, &flow), 0x102);
	talloc_free(bench);
}

/* Failure 41: the reset of a first packet without an answer had sequence 0,
 * which hits a flow that the caller has opened through another node if its
 * endpoint began there. */
static void test_reset_of_an_unanswered_flow_hits_no_open_one(void **state)
{
	enum { RESETS = 100, WINDOW = 76800 };
	unsigned near = 0;

	(void)state;
	for (int i = 0; i < RESETS; i++) {
		struct bench *bench = two_endpoints(0);
		struct caller_flow flow = flow_new(bench, CALLER, BOARD_PORT);
		struct jt_endpoint_entry entry;
		const struct jt_director_action *reset;

		bench->next_port += (uint32_t)i;
		flow_syn(bench, &flow);
		for (int extra = 0; extra < i; extra++) {
			struct caller_flow none = flow_new(bench, CALLER, 9999);

			flow_syn(bench, &none);
		}
		entry = entry_of(0x200, SERVICE_EXPORT, ZONE_A, 50);
		entry.address = entry_of(flow.endpoint_id, 0, 0, 0).address;
		bench_entry(bench, entry);
		reset = bench_find(bench, JT_DIRECTOR_RESET);
		assert_non_null(reset);
		near += reset->reset_sequence < WINDOW ||
			reset->reset_sequence > UINT32_MAX - WINDOW;
		talloc_free(bench);
	}
	assert_int_equal(near, 0);
}

static void test_reused_address_ends_the_former_endpoint(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct jt_endpoint_entry entry =
		entry_of(0x201, SERVICE_EXPORT, ZONE_A, 9);
	struct caller_flow flow, other;

	(void)state;
	flow_at_each(bench, &flow, &other);
	entry.address = entry_of(0x101, 0, 0, 0).address;
	bench_entry(bench, entry);
	assert_int_equal(state_of(bench, 0x101), JT_INCARNATION_DEAD);
	assert_int_equal(bench_count(bench, JT_DIRECTOR_RESET), 1);
	assert_int_equal(state_of(bench, 0x201), JT_INCARNATION_READY);
	talloc_free(bench);
}

/* Failure 24: the former endpoint's entry went after its successor had come;
 * told by a peer, it must not end the successor. */
static void test_peers_news_of_a_former_endpoint(void **state)
{
	struct bench *told = bench_create(0), *bench = two_endpoints(0);
	struct jt_endpoint_entry entry =
		entry_of(0x201, SERVICE_EXPORT, ZONE_A, 9);
	jt_wire_knowledge knowledge;

	(void)state;
	entry.address = entry_of(0x101, 0, 0, 0).address;
	bench_entry(bench, entry);
	bench_gone(bench, 0x101, 12);
	assert_true(jt_knowledge_write(bench, bench->director,
				       &(struct jt_knowledge_need){0},
				       bench->now_ms, &knowledge));
	for (int pass = 0; pass < 2; pass++) {
		for (u_int i = 0; i < knowledge.entries.entries_len; i++) {
			u_int at = pass == 0 ? i
					     : knowledge.entries.entries_len -
						       1 - i;
			struct jt_director_event event;

			if (jt_knowledge_entry(
				    &knowledge.entries.entries_val[at], &event))
				bench_event(told, &event);
		}
	}
	assert_int_equal(state_of(told, 0x201), JT_INCARNATION_READY);
	assert_int_equal(state_of(told, 0x101), JT_INCARNATION_DEAD);
	assert_int_equal(state_of(told, 0x102), JT_INCARNATION_READY);
	talloc_free(told);
	talloc_free(bench);
}

/* The entries that a node which knows all up to @since is told. */
static u_int entries_since(struct bench *bench, uint64_t since,
			   jt_wire_knowledge *knowledge)
{
	assert_true(
		jt_knowledge_write(bench, bench->director,
				   &(struct jt_knowledge_need){.since = since},
				   bench->now_ms, knowledge));
	return knowledge->entries.entries_len;
}

static void test_knowledge_is_what_has_changed_since(void **state)
{
	struct bench *bench = two_endpoints(0);
	uint64_t version = jt_director_routing(bench->director)->version;
	jt_wire_knowledge knowledge;

	(void)state;
	bench_endpoint(bench, 0x101, SERVICE_BOARD, ZONE_A, 20);
	bench_gone(bench, 0x102, 30);
	assert_int_equal(entries_since(bench, 0, &knowledge), 2);
	assert_int_equal(entries_since(bench, 20, &knowledge), 1);
	assert_int_equal(knowledge.since, 20);
	assert_int_equal(knowledge.entries.entries_val[0].gone_revision, 30);
	assert_int_equal(entries_since(bench, 30, &knowledge), 0);
	/* The routing comes only where it is news. */
	assert_int_equal(knowledge.routing.number, version);
	assert_true(jt_knowledge_write(
		bench, bench->director,
		&(struct jt_knowledge_need){.since = 30, .version = version},
		bench->now_ms, &knowledge));
	assert_int_equal(knowledge.routing.number, 0);
	talloc_free(bench);
}

/* Whether the node claims revision 40 after news of it. */
static bool news_is_taken(struct bench *bench, uint64_t since, uint64_t version)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_NEWS};

	event.u.news.since = since;
	event.u.news.revision = 40;
	event.u.news.routing_version = version;
	bench_event(bench, &event);
	return jt_director_revision(bench->director) == 40;
}

/* Failure 39: news of a routing does not hold it; who claims to know all up to
 * there without it is told of it by nobody, and not by the store either. */
static void test_news_claims_nothing_that_is_missing(void **state)
{
	struct bench *bench = two_endpoints(0);
	uint64_t version = jt_director_routing(bench->director)->version;
	uint64_t revision = jt_director_revision(bench->director);

	(void)state;
	assert_false(news_is_taken(bench, revision, version + 1));
	assert_false(news_is_taken(bench, revision + 1, version));
	assert_true(news_is_taken(bench, revision, version));
	talloc_free(bench);
}

/* A node that has forgotten what went tells all, and says so. */
static void test_forgotten_entries_make_knowledge_whole(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct jt_director_event tick = {.kind = JT_DIRECTOR_TICK};
	jt_wire_knowledge knowledge;

	(void)state;
	bench_gone(bench, 0x102, 30);
	bench->now_ms += 2 * 3600 * 1000;
	bench_event(bench, &tick);
	assert_int_equal(entries_since(bench, 20, &knowledge), 1);
	assert_int_equal(knowledge.since, 0);
	assert_int_equal(entries_since(bench, 30, &knowledge), 0);
	assert_int_equal(knowledge.since, 30);
	talloc_free(bench);
}

/* Whether news that comes late is refused. */
static bool late_news_is_refused(unsigned break_mechanism)
{
	struct bench *bench = two_endpoints(break_mechanism);
	struct jt_endpoint_entry entry =
		entry_of(0x101, SERVICE_BOARD, ZONE_A, 7);
	bool refused;

	entry.draining = true;
	bench_entry(bench, entry);
	bench_endpoint(bench, 0x101, SERVICE_BOARD, ZONE_A, 6);
	refused = state_of(bench, 0x101) == JT_INCARNATION_DRAINING;
	bench_gone(bench, 0x101, 8);
	entry.revision = 7;
	bench_entry(bench, entry);
	refused = refused && state_of(bench, 0x101) == JT_INCARNATION_LAPSED;
	talloc_free(bench);
	return refused;
}

static void test_late_entries_change_nothing(void **state)
{
	(void)state;
	assert_true(late_news_is_refused(0));
	assert_false(late_news_is_refused(JT_DIRECTOR_BREAK_STALE_ENTRY));
}

/* Failure 26: what an endpoint said before its entry went, told afterwards. */
static void test_leaving_is_heard_after_the_entry_went(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct jt_endpoint_entry entry =
		entry_of(0x101, SERVICE_BOARD, ZONE_A, 7);
	struct caller_flow flow = flow_new(bench, CALLER, BOARD_PORT);

	(void)state;
	bench_gone(bench, 0x102, 8);
	bench_gone(bench, 0x101, 9);
	entry.draining = true;
	bench_entry(bench, entry);
	assert_int_equal(state_of(bench, 0x101), JT_INCARNATION_LAPSED);
	/* The last resort is the one that never said that it leaves. */
	assert_int_equal(flow_syn(bench, &flow), 0x102);
	talloc_free(bench);
}

static bool older_routing_is_refused(unsigned break_mechanism)
{
	struct bench *bench = two_endpoints(break_mechanism);
	bool refused;

	bench_routing(bench, 7, 1, 1);
	bench_routing(bench, 5, 1, 1);
	refused = jt_director_routing(bench->director)->version == 7;
	talloc_free(bench);
	return refused;
}

static void test_routing_never_goes_back(void **state)
{
	(void)state;
	assert_true(older_routing_is_refused(0));
	assert_false(older_routing_is_refused(JT_DIRECTOR_BREAK_VERSION));
}

static void test_list_tells_what_is_gone(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct jt_director_event event = {.kind = JT_DIRECTOR_LISTING};

	(void)state;
	bench_event(bench, &event);
	bench_endpoint(bench, 0x102, SERVICE_BOARD, ZONE_A, 3);
	bench_listed(bench, 20);
	assert_int_equal(state_of(bench, 0x101), JT_INCARNATION_LAPSED);
	assert_int_equal(state_of(bench, 0x102), JT_INCARNATION_READY);
	talloc_free(bench);
}

/* Failure 30: what a node claims to know must be complete. */
static void test_revision_is_of_what_is_complete(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct jt_director_event event = {.kind = JT_DIRECTOR_LISTING};

	(void)state;
	assert_int_equal(jt_director_revision(bench->director), 3);
	/* A page of a new list, with an entry newer than what comes later. */
	bench_event(bench, &event);
	bench_endpoint(bench, 0x101, SERVICE_BOARD, ZONE_A, 20);
	assert_int_equal(jt_director_revision(bench->director), 3);
	bench_endpoint(bench, 0x102, SERVICE_BOARD, ZONE_A, 15);
	bench_listed(bench, 20);
	assert_int_equal(jt_director_revision(bench->director), 20);
	event.kind = JT_DIRECTOR_CAUGHT_UP;
	event.u.listed.revision = 23;
	bench_event(bench, &event);
	assert_int_equal(jt_director_revision(bench->director), 23);
	talloc_free(bench);
}

static void test_parts_are_exact(void **state)
{
	struct bench *bench = two_endpoints(0);
	unsigned exported = 0;

	(void)state;
	bench_endpoint(bench, 0x301, SERVICE_EXPORT, ZONE_A, 5);
	bench_routing(bench, 2, 90, 10);
	for (int i = 0; i < 200; i++) {
		struct caller_flow flow =
			flow_new(bench, CALLER + i, SPLIT_PORT);

		exported += flow_syn(bench, &flow) == 0x301;
	}
	assert_in_range(exported, 19, 21);
	talloc_free(bench);
}

/* Failure 27: all endpoints of one part have crashed. */
static void test_part_that_seems_dead_gives_way(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct caller_flow flow;
	uint64_t at;

	(void)state;
	bench_endpoint(bench, 0x301, SERVICE_EXPORT, ZONE_A, 5);
	do {
		flow = flow_new(bench, CALLER, SPLIT_PORT);
		at = flow_syn(bench, &flow);
		if (at != 0x301)
			flow_open(bench, &flow);
	} while (at != 0x301);
	/* Refused by the endpoint, the caller tries again at once. */
	bench->now_ms += 3;
	for (int i = 0; i < 4; i++) {
		flow = flow_new(bench, CALLER, SPLIT_PORT);
		flow_open(bench, &flow);
		assert_int_not_equal(flow.endpoint_id, 0x301);
	}
	talloc_free(bench);
}

static void test_load_goes_to_the_own_zone_until_it_is_higher(void **state)
{
	struct bench *bench = bench_create(0);

	(void)state;
	bench_routing(bench, 1, 1, 1);
	bench_endpoint(bench, 0x101, SERVICE_BOARD, ZONE_A, 2);
	bench_endpoint(bench, 0x102, SERVICE_BOARD, ZONE_B, 3);
	bench_listed(bench, 3);
	bench_tick(bench, LEARNED_MS);
	assert_in_range(flows_at(bench, 100, 0x102), 35, 45);
	talloc_free(bench);
}

static void test_slow_endpoint_gets_fewer(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct caller_flow slow, fast;

	(void)state;
	flow_at_each(bench, &slow, &fast);
	for (int i = 0; i < 20; i++) {
		flow_request(bench, &slow, 110);
		flow_request(bench, &fast, 22);
	}
	/* It has just got as many requests as the fast one: for now that is
	 * more than its share, a sixth. */
	assert_in_range(flows_at(bench, 60, slow.endpoint_id), 0, 9);
	/* Later on it gets a sixth of the flows. */
	bench_tick(bench, 14000);
	assert_in_range(flows_at(bench, 60, slow.endpoint_id), 5, 15);
	talloc_free(bench);
}

/* Flows differ: some carry many requests. What counts is those. */
static void test_requests_count_not_flows(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct caller_flow busy, resting;

	(void)state;
	flow_at_each(bench, &busy, &resting);
	for (int i = 0; i < 10; i++)
		flow_request(bench, &busy, 10);
	assert_in_range(flows_at(bench, 10, busy.endpoint_id), 0, 1);
	/* Work of long ago counts no more. */
	bench_tick(bench, 15000);
	assert_in_range(flows_at(bench, 10, busy.endpoint_id), 4, 6);
	talloc_free(bench);
}

/* An endpoint that has just come must not get all new flows at once. */
static void test_newcomer_gets_its_share(void **state)
{
	struct bench *bench = two_endpoints(0);

	(void)state;
	flows_at(bench, 40, 0x101);
	bench_entry(bench, entry_of(0x103, SERVICE_BOARD, ZONE_A, 9));
	assert_in_range(flows_at(bench, 30, 0x103), 8, 12);
	talloc_free(bench);
}

static void test_full_endpoint_gets_none(void **state)
{
	struct bench *bench = two_endpoints(0);
	unsigned placed = 0;

	(void)state;
	limit_connections(bench, 3);
	for (int i = 0; i < 10; i++) {
		struct caller_flow flow =
			flow_new(bench, CALLER + i, BOARD_PORT);

		placed += flow_syn(bench, &flow) != 0;
	}
	assert_int_equal(placed, 6);
	assert_int_equal(bench_find(bench, JT_DIRECTOR_RESET)->reason,
			 JT_DIRECTOR_NO_CAPACITY);
	talloc_free(bench);
}

/* What a peer has open at the two endpoints, a request on each flow. */
static void peer_tells(struct bench *bench, uint64_t peer, uint32_t first,
		       uint32_t second)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_LOADS};
	struct jt_endpoint_load loads[2] = {
		{jt_flow_label(0x102), second, second * JT_WORK_UNIT, 0},
		{jt_flow_label(0x101), first, first * JT_WORK_UNIT, 0},
	};

	event.u.loads.peer = peer;
	event.u.loads.loads = loads;
	event.u.loads.count = 2;
	bench_event(bench, &event);
}

static void test_peers_loads_count(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct jt_director_event tick = {.kind = JT_DIRECTOR_TICK};
	struct caller_flow flow;
	unsigned at_second = 0;

	(void)state;
	tick.u.tick.nodes = 3;
	bench_event(bench, &tick);
	peer_tells(bench, 7, 10, 4);
	peer_tells(bench, 8, 10, 4);
	/* This node's part of the difference is six flows, not eighteen. */
	for (int i = 0; i < 12; i++) {
		flow = flow_new(bench, CALLER + i, BOARD_PORT);
		flow_open(bench, &flow);
		at_second += flow.endpoint_id == 0x102;
	}
	assert_in_range(at_second, 8, 10);
	/* A report that is old says nothing any more. */
	bench_tick(bench, 20000);
	flow = flow_new(bench, CALLER, BOARD_PORT);
	flow_open(bench, &flow);
	talloc_free(bench);
}

static void test_full_by_all_nodes_flows(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct jt_director_event tick = {.kind = JT_DIRECTOR_TICK};
	struct caller_flow flow;

	(void)state;
	limit_connections(bench, 30);
	tick.u.tick.nodes = 3;
	bench_event(bench, &tick);
	peer_tells(bench, 7, 16, 2);
	peer_tells(bench, 8, 14, 2);
	for (int i = 0; i < 20; i++) {
		flow = flow_new(bench, CALLER + i, BOARD_PORT);
		flow_open(bench, &flow);
		assert_int_equal(flow.endpoint_id, 0x102);
	}
	talloc_free(bench);
}

static void test_flows_are_forgotten_at_rest(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct caller_flow flow = flow_new(bench, CALLER, BOARD_PORT);

	(void)state;
	flow_open(bench, &flow);
	assert_int_equal(jt_director_flow_count(bench->director), 1);
	bench_tick(bench, 16000);
	assert_int_equal(jt_director_flow_count(bench->director), 0);
	/* And are forwarded on by their label. */
	assert_non_null(flow_send(bench, &flow, JT_PACKET_ACK, 10));
	talloc_free(bench);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_any_node_forwards_by_label),
		cmocka_unit_test(test_packets_wait_for_the_start),
		cmocka_unit_test(test_unknown_route_is_answered_at_once),
		cmocka_unit_test(test_what_only_endpoints_send_is_dropped),
		cmocka_unit_test(test_copies_of_a_first_packet_stay),
		cmocka_unit_test(test_late_copy_of_a_first_packet_stays),
		cmocka_unit_test(test_late_first_packet_of_a_known_flow_stays),
		cmocka_unit_test(test_port_used_again_is_a_new_flow),
		cmocka_unit_test(test_doubled_data_is_no_evidence),
		cmocka_unit_test(test_draining_endpoint_keeps_only_its_flows),
		cmocka_unit_test(test_flows_outlive_their_endpoints_entry),
		cmocka_unit_test(test_all_lapsed_at_once_are_a_last_resort),
		cmocka_unit_test(
			test_lapse_of_an_outage_stops_no_live_endpoint),
		cmocka_unit_test(test_lapse_without_an_outage_stops_new_flows),
		cmocka_unit_test(
			test_reset_of_an_unanswered_flow_hits_no_open_one),
		cmocka_unit_test(test_reused_address_ends_the_former_endpoint),
		cmocka_unit_test(test_peers_news_of_a_former_endpoint),
		cmocka_unit_test(test_knowledge_is_what_has_changed_since),
		cmocka_unit_test(test_news_claims_nothing_that_is_missing),
		cmocka_unit_test(test_forgotten_entries_make_knowledge_whole),
		cmocka_unit_test(test_late_entries_change_nothing),
		cmocka_unit_test(test_leaving_is_heard_after_the_entry_went),
		cmocka_unit_test(test_routing_never_goes_back),
		cmocka_unit_test(test_list_tells_what_is_gone),
		cmocka_unit_test(test_revision_is_of_what_is_complete),
		cmocka_unit_test(test_parts_are_exact),
		cmocka_unit_test(test_part_that_seems_dead_gives_way),
		cmocka_unit_test(
			test_load_goes_to_the_own_zone_until_it_is_higher),
		cmocka_unit_test(test_slow_endpoint_gets_fewer),
		cmocka_unit_test(test_requests_count_not_flows),
		cmocka_unit_test(test_newcomer_gets_its_share),
		cmocka_unit_test(test_full_endpoint_gets_none),
		cmocka_unit_test(test_peers_loads_count),
		cmocka_unit_test(test_full_by_all_nodes_flows),
		cmocka_unit_test(test_flows_are_forgotten_at_rest),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
