/* Placement by flow label: the promises, each with the mechanism it needs. */
#include "director_fixture.h"

enum { CALLER = 0x64400007 };

static struct bench *two_endpoints(unsigned break_mechanism)
{
	struct bench *bench = bench_create(break_mechanism);

	bench_routing(bench, 1, 50, 50);
	bench_endpoint(bench, 0x101, SERVICE_BOARD, ZONE_A, 2);
	bench_endpoint(bench, 0x102, SERVICE_BOARD, ZONE_A, 3);
	bench_listed(bench, 3);
	/* Long enough to have seen the flows that were open before. */
	bench_tick(bench, 20000);
	return bench;
}

static enum jt_incarnation_state state_of(const struct bench *bench,
					  uint64_t id)
{
	struct jt_endpoint_entry entry;
	enum jt_incarnation_state state;

	for (size_t i = 0;
	     jt_director_endpoint_at(bench->director, i, &entry, &state); i++) {
		if (entry.id == id)
			return state;
	}
	fail_msg("no endpoint %llx", (unsigned long long)id);
	return JT_INCARNATION_DEAD;
}

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

/* A flow at each endpoint. */
static void flow_at_each(struct bench *bench, struct caller_flow *first,
			 struct caller_flow *second)
{
	do {
		*first = flow_new(bench, CALLER, BOARD_PORT);
		flow_open(bench, first);
	} while (first->endpoint_id != 0x101);
	do {
		*second = flow_new(bench, CALLER + 1, BOARD_PORT);
		flow_open(bench, second);
	} while (second->endpoint_id != 0x102);
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

/* A request that is sent again without progress, after an other flow's
 * answer has shown that this node reaches the endpoints. */
static void suspect(struct bench *bench, struct caller_flow *flow)
{
	flow_send(bench, flow, JT_PACKET_ACK, 100);
	bench->now_ms += 200;
	flow_send(bench, flow, JT_PACKET_ACK, 100);
}

/* Whether an endpoint that ends without a word has its flows reset. */
static bool dead_is_found(unsigned break_mechanism)
{
	struct bench *bench = two_endpoints(break_mechanism);
	struct caller_flow dead, other;
	bool reset;

	flow_at_each(bench, &dead, &other);
	suspect(bench, &dead);
	bench->now_ms += 200;
	flow_request(bench, &other, 200);
	bench_probed(bench, 0x101, JT_PROBE_SILENT);
	reset = bench_find(bench, JT_DIRECTOR_RESET) != NULL;
	if (reset) {
		assert_int_equal(state_of(bench, 0x101), JT_INCARNATION_DEAD);
		/* The caller's later packets are answered at once. */
		assert_null(flow_send(bench, &dead, JT_PACKET_ACK, 100));
		assert_non_null(bench_find(bench, JT_DIRECTOR_RESET));
	}
	talloc_free(bench);
	return reset;
}

static void test_dead_endpoint_is_found(void **state)
{
	(void)state;
	assert_true(dead_is_found(0));
	assert_false(dead_is_found(JT_DIRECTOR_BREAK_NO_DETECTOR));
}

static void test_refused_probe_is_proof(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct caller_flow dead, other;

	(void)state;
	flow_at_each(bench, &dead, &other);
	suspect(bench, &dead);
	bench_probed(bench, 0x101, JT_PROBE_REFUSED);
	assert_int_equal(bench_count(bench, JT_DIRECTOR_RESET), 1);
	assert_non_null(bench_find(bench, JT_DIRECTOR_VERDICT));
	talloc_free(bench);
}

/* Whether a flow whose endpoint only seemed dead is left alone. */
static bool living_is_left_alone(unsigned break_mechanism)
{
	struct bench *bench = two_endpoints(break_mechanism);
	struct caller_flow flow, other, third;
	bool left_alone;

	flow_at_each(bench, &flow, &other);
	do {
		third = flow_new(bench, CALLER + 2, BOARD_PORT);
		flow_open(bench, &third);
	} while (third.endpoint_id != 0x101);
	bench->now_ms += 10;
	suspect(bench, &flow);
	left_alone = bench_find(bench, JT_DIRECTOR_RESET) == NULL;
	if (left_alone) {
		/* Another of its flows gets an answer: it lives. */
		flow_request(bench, &third, 20);
		flow_request(bench, &other, 20);
		bench_probed(bench, 0x101, JT_PROBE_SILENT);
		left_alone = bench_find(bench, JT_DIRECTOR_RESET) == NULL;
	}
	talloc_free(bench);
	return left_alone;
}

static void test_living_endpoint_keeps_its_flows(void **state)
{
	(void)state;
	assert_true(living_is_left_alone(0));
	assert_false(living_is_left_alone(JT_DIRECTOR_BREAK_GUESS_DEATH));
}

static void test_a_node_that_reaches_nobody_condemns_nobody(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct caller_flow flow, other;

	(void)state;
	flow_at_each(bench, &flow, &other);
	suspect(bench, &flow);
	bench->now_ms += 400;
	bench_probed(bench, 0x101, JT_PROBE_SILENT);
	assert_null(bench_find(bench, JT_DIRECTOR_RESET));
	assert_int_equal(state_of(bench, 0x101), JT_INCARNATION_READY);
	/* It is asked again instead. */
	assert_non_null(bench_find(bench, JT_DIRECTOR_PROBE));
	talloc_free(bench);
}

/* The service's endpoints hold so many flows each. */
static void limit_connections(struct bench *bench, uint32_t limit)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_ROUTING};
	const struct jt_routing *old = jt_director_routing(bench->director);
	struct jt_routing *routing = talloc_zero(bench, struct jt_routing);

	*routing = *old;
	routing->version++;
	routing->services = talloc_zero(routing, struct jt_routed_service);
	routing->services[0].id = SERVICE_BOARD;
	routing->services[0].connection_limit = limit;
	routing->service_count = 1;
	routing->routes = talloc_memdup(
		routing, old->routes, old->route_count * sizeof(*old->routes));
	event.u.routing = routing;
	bench_event(bench, &event);
}

/* Failure 25: whether an endpoint that takes no more flows keeps those it
 * has. It is silent to first packets and refuses connections. */
static bool full_endpoint_lives(unsigned break_mechanism,
				enum jt_probe_outcome outcome, uint32_t limit)
{
	struct bench *bench = two_endpoints(break_mechanism);
	struct caller_flow rests, other, flow;
	bool lives;

	limit_connections(bench, limit);
	flow_at_each(bench, &rests, &other);
	do {
		flow = flow_new(bench, CALLER + 3, BOARD_PORT);
	} while (flow_syn(bench, &flow) != 0x101);
	bench->now_ms += 200;
	flow_syn(bench, &flow);
	flow_request(bench, &other, 100);
	bench_probed(bench, 0x101, outcome);
	lives = bench_find(bench, JT_DIRECTOR_RESET) == NULL;
	if (lives) {
		/* New flows avoid it for a while. */
		for (int i = 0; i < 8; i++) {
			flow = flow_new(bench, CALLER + 4 + i, BOARD_PORT);
			assert_int_equal(flow_syn(bench, &flow), 0x102);
		}
		assert_non_null(flow_send(bench, &rests, JT_PACKET_ACK, 10));
	}
	talloc_free(bench);
	return lives;
}

/* Failure 28: a request waits in the queue of a full endpoint, and the caller
 * sends it again before it is acknowledged. */
static void test_slow_and_full_is_no_dead_one(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct caller_flow flow, other;

	(void)state;
	limit_connections(bench, 20);
	flow_at_each(bench, &flow, &other);
	flow_request(bench, &flow, 20);
	suspect(bench, &flow);
	bench_probed(bench, 0x101, JT_PROBE_REFUSED);
	assert_null(bench_find(bench, JT_DIRECTOR_RESET));
	/* Sent once more: not even the copy was acknowledged. */
	bench->now_ms += 600;
	flow_send(bench, &flow, JT_PACKET_ACK, 100);
	assert_non_null(bench_find(bench, JT_DIRECTOR_PROBE));
	bench_probed(bench, 0x101, JT_PROBE_REFUSED);
	assert_int_equal(bench_count(bench, JT_DIRECTOR_RESET), 1);
	talloc_free(bench);
}

/* A node that has just started can't know how full endpoints are. */
/* Failure 29: an endpoint that became full between its answer to the first
 * packet and the caller's next one leaves that flow unanswered for good. */
static void test_flow_that_never_opened_proves_nothing(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct caller_flow rests, other, half;

	(void)state;
	limit_connections(bench, 20);
	flow_at_each(bench, &rests, &other);
	do {
		half = flow_new(bench, CALLER + 5, BOARD_PORT);
		flow_open(bench, &half);
	} while (half.endpoint_id != 0x101);
	for (int i = 0; i < 6; i++) {
		flow_send(bench, &half, JT_PACKET_ACK, 100);
		bench->now_ms += 600;
		bench_probed(bench, 0x101, JT_PROBE_REFUSED);
		assert_null(bench_find(bench, JT_DIRECTOR_RESET));
	}
	talloc_free(bench);
}

static void test_node_just_started_condemns_with_care(void **state)
{
	struct bench *bench = bench_create(0);
	struct caller_flow flow = flow_new(bench, CALLER, BOARD_PORT);

	(void)state;
	bench_routing(bench, 1, 1, 1);
	bench_endpoint(bench, 0x101, SERVICE_BOARD, ZONE_A, 2);
	bench_listed(bench, 2);
	limit_connections(bench, 2000);
	flow_open(bench, &flow);
	bench->now_ms += 10;
	suspect(bench, &flow);
	bench_probed(bench, 0x101, JT_PROBE_REFUSED);
	assert_null(bench_find(bench, JT_DIRECTOR_RESET));
	talloc_free(bench);
}

static void test_full_endpoint_is_no_dead_one(void **state)
{
	(void)state;
	assert_true(full_endpoint_lives(0, JT_PROBE_SILENT, 20));
	assert_true(full_endpoint_lives(0, JT_PROBE_REFUSED, 20));
	assert_false(full_endpoint_lives(JT_DIRECTOR_BREAK_GUESS_DEATH,
					 JT_PROBE_SILENT, 20));
	assert_false(full_endpoint_lives(JT_DIRECTOR_BREAK_GUESS_DEATH,
					 JT_PROBE_REFUSED, 20));
}

/* Failure 34: an endpoint whose entry went serves on, but a connection to it
 * fails once: many nodes open one at that moment, or it takes no more. */
static void test_one_failed_probe_is_no_proof(void **state)
{
	const enum jt_probe_outcome outcomes[] = {JT_PROBE_SILENT,
						  JT_PROBE_REFUSED};

	(void)state;
	for (int i = 0; i < 2; i++) {
		struct bench *bench = two_endpoints(0);
		struct caller_flow flow, other;

		/* Long enough after the start to know how full it is. */
		bench->now_ms += 120000;
		flow_at_each(bench, &flow, &other);
		bench_gone(bench, 0x101, 9);
		assert_int_equal(bench_count(bench, JT_DIRECTOR_PROBE), 1);
		flow_request(bench, &other, 250);
		bench_probed(bench, 0x101, outcomes[i]);
		assert_int_equal(state_of(bench, 0x101), JT_INCARNATION_LAPSED);
		assert_int_equal(bench_count(bench, JT_DIRECTOR_RESET), 0);
		/* It is looked at once more, and the second failure is. */
		bench_tick(bench, 600);
		assert_int_equal(bench_count(bench, JT_DIRECTOR_PROBE), 1);
		flow_request(bench, &other, 250);
		bench_probed(bench, 0x101, outcomes[i]);
		assert_int_equal(state_of(bench, 0x101), JT_INCARNATION_DEAD);
		assert_int_equal(bench_count(bench, JT_DIRECTOR_RESET), 1);
		talloc_free(bench);
	}
}

static void test_void_probe_says_nothing(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct caller_flow flow, other;

	(void)state;
	flow_at_each(bench, &flow, &other);
	suspect(bench, &flow);
	flow_request(bench, &other, 100);
	bench_probed(bench, 0x101, JT_PROBE_VOID);
	assert_null(bench_find(bench, JT_DIRECTOR_RESET));
	talloc_free(bench);
}

/* Failure 35: a probe that can't even begin must not be tried again and again
 * without a pause: nothing else gets its turn. */
static void test_probe_that_can_not_begin_waits(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct caller_flow flow, other;

	(void)state;
	flow_at_each(bench, &flow, &other);
	suspect(bench, &flow);
	bench_probed(bench, 0x101, JT_PROBE_VOID);
	assert_int_equal(bench_count(bench, JT_DIRECTOR_PROBE), 0);
	bench_tick(bench, 100);
	assert_int_equal(bench_count(bench, JT_DIRECTOR_PROBE), 0);
	/* It is made up for after the pause between probes. */
	bench_tick(bench, 500);
	assert_int_equal(bench_count(bench, JT_DIRECTOR_PROBE), 1);
	bench_tick(bench, 500);
	assert_int_equal(bench_count(bench, JT_DIRECTOR_PROBE), 0);
	talloc_free(bench);
}

static void test_refusal_to_the_caller_is_noticed(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct caller_flow flow = flow_new(bench, CALLER, BOARD_PORT);
	uint64_t refuses;

	(void)state;
	bench_tick(bench, 20000);
	refuses = flow_syn(bench, &flow);
	/* The endpoint resets the caller directly; the caller tries again. */
	bench->now_ms += 3;
	flow = flow_new(bench, CALLER, BOARD_PORT);
	assert_int_not_equal(flow_syn(bench, &flow), refuses);
	assert_non_null(bench_find(bench, JT_DIRECTOR_PROBE));
	assert_int_equal(bench_find(bench, JT_DIRECTOR_PROBE)->endpoint_id,
			 refuses);
	bench_probed(bench, refuses, JT_PROBE_REFUSED);
	assert_int_equal(state_of(bench, refuses), JT_INCARNATION_DEAD);
	talloc_free(bench);
}

static void test_dead_endpoint_comes_back(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct caller_flow dead, other;

	(void)state;
	flow_at_each(bench, &dead, &other);
	suspect(bench, &dead);
	bench_probed(bench, 0x101, JT_PROBE_REFUSED);
	bench_tick(bench, 1500);
	assert_non_null(bench_find(bench, JT_DIRECTOR_PROBE));
	bench_probed(bench, 0x101, JT_PROBE_CONNECTED);
	assert_null(bench_find(bench, JT_DIRECTOR_REVIVED));
	assert_non_null(bench_find(bench, JT_DIRECTOR_IDENTIFY));
	bench_identified(bench, 0x101, 0x101);
	assert_non_null(bench_find(bench, JT_DIRECTOR_REVIVED));
	assert_int_equal(state_of(bench, 0x101), JT_INCARNATION_READY);
	talloc_free(bench);
}

/* The address went to another endpoint before discovery told of it. */
static void test_who_answers_for_a_dead_endpoint(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct caller_flow dead, other;

	(void)state;
	flow_at_each(bench, &dead, &other);
	suspect(bench, &dead);
	bench_probed(bench, 0x101, JT_PROBE_REFUSED);
	bench_tick(bench, 1500);
	bench_probed(bench, 0x101, JT_PROBE_CONNECTED);
	bench_identified(bench, 0x101, 0x999);
	assert_int_equal(state_of(bench, 0x101), JT_INCARNATION_DEAD);
	bench_tick(bench, 5000);
	assert_null(bench_find(bench, JT_DIRECTOR_PROBE));
	talloc_free(bench);
}

static void test_who_answers_where_flows_get_nothing(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct caller_flow dead, other;

	(void)state;
	flow_at_each(bench, &dead, &other);
	suspect(bench, &dead);
	bench_probed(bench, 0x101, JT_PROBE_CONNECTED);
	assert_null(bench_find(bench, JT_DIRECTOR_IDENTIFY));
	bench->now_ms += 600;
	flow_send(bench, &dead, JT_PACKET_ACK, 100);
	bench_probed(bench, 0x101, JT_PROBE_CONNECTED);
	assert_non_null(bench_find(bench, JT_DIRECTOR_IDENTIFY));
	bench_identified(bench, 0x101, 0x999);
	assert_int_equal(bench_count(bench, JT_DIRECTOR_RESET), 1);
	talloc_free(bench);
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
	assert_true(
		jt_knowledge_write(bench, bench->director, 0, 0, &knowledge));
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
	assert_true(jt_knowledge_write(bench, bench->director, since, 0,
				       knowledge));
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
	assert_true(jt_knowledge_write(bench, bench->director, 30, version,
				       &knowledge));
	assert_int_equal(knowledge.routing.number, 0);
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
	unsigned remote = 0;

	(void)state;
	bench_routing(bench, 1, 1, 1);
	bench_endpoint(bench, 0x101, SERVICE_BOARD, ZONE_A, 2);
	bench_endpoint(bench, 0x102, SERVICE_BOARD, ZONE_B, 3);
	bench_listed(bench, 3);
	for (int i = 0; i < 100; i++) {
		struct caller_flow flow =
			flow_new(bench, CALLER + i, BOARD_PORT);

		flow_open(bench, &flow);
		remote += flow.endpoint_id == 0x102;
	}
	assert_in_range(remote, 35, 45);
	talloc_free(bench);
}

static void test_slow_endpoint_gets_fewer(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct caller_flow slow, fast;
	unsigned at_slow = 0;

	(void)state;
	flow_at_each(bench, &slow, &fast);
	for (int i = 0; i < 20; i++) {
		flow_request(bench, &slow, 110);
		flow_request(bench, &fast, 22);
	}
	for (int i = 0; i < 60; i++) {
		struct caller_flow flow =
			flow_new(bench, CALLER + i, BOARD_PORT);

		flow_open(bench, &flow);
		at_slow += flow.endpoint_id == 0x101;
	}
	assert_in_range(at_slow, 5, 15);
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

/* What a peer has open at the two endpoints. */
static void peer_tells(struct bench *bench, uint64_t peer, uint32_t first,
		       uint32_t second)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_LOADS};
	struct jt_endpoint_load loads[2] = {
		{jt_flow_label(0x102), second},
		{jt_flow_label(0x101), first},
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
		cmocka_unit_test(test_dead_endpoint_is_found),
		cmocka_unit_test(test_refused_probe_is_proof),
		cmocka_unit_test(test_living_endpoint_keeps_its_flows),
		cmocka_unit_test(
			test_a_node_that_reaches_nobody_condemns_nobody),
		cmocka_unit_test(test_full_endpoint_is_no_dead_one),
		cmocka_unit_test(test_slow_and_full_is_no_dead_one),
		cmocka_unit_test(test_flow_that_never_opened_proves_nothing),
		cmocka_unit_test(test_node_just_started_condemns_with_care),
		cmocka_unit_test(test_one_failed_probe_is_no_proof),
		cmocka_unit_test(test_void_probe_says_nothing),
		cmocka_unit_test(test_probe_that_can_not_begin_waits),
		cmocka_unit_test(test_refusal_to_the_caller_is_noticed),
		cmocka_unit_test(test_dead_endpoint_comes_back),
		cmocka_unit_test(test_who_answers_for_a_dead_endpoint),
		cmocka_unit_test(test_who_answers_where_flows_get_nothing),
		cmocka_unit_test(test_reused_address_ends_the_former_endpoint),
		cmocka_unit_test(test_peers_news_of_a_former_endpoint),
		cmocka_unit_test(test_knowledge_is_what_has_changed_since),
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
		cmocka_unit_test(test_full_endpoint_gets_none),
		cmocka_unit_test(test_peers_loads_count),
		cmocka_unit_test(test_full_by_all_nodes_flows),
		cmocka_unit_test(test_flows_are_forgotten_at_rest),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
