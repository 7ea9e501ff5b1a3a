/* The failure detector of endpoints: what proves death, and what does not. */
#include "director_fixture.h"

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

/* Failure 43: a node whose link holds packets back hears the answers to what it
 * sent long ago, while its probes and what it sends now seem to get none. */
static void test_late_answers_are_no_contact(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct caller_flow suspected, other;

	(void)state;
	flow_at_each(bench, &suspected, &other);
	flow_send(bench, &other, JT_PACKET_ACK, 100);
	other.sequence += 100;
	other.acknowledged += 600;
	suspect(bench, &suspected);
	bench->now_ms += 200;
	/* The answer to what left before the probe. */
	flow_send(bench, &other, JT_PACKET_ACK, 0);
	bench_probed(bench, 0x101, JT_PROBE_SILENT);
	assert_int_equal(state_of(bench, 0x101), JT_INCARNATION_READY);
	assert_null(bench_find(bench, JT_DIRECTOR_RESET));
	talloc_free(bench);
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
	assert_int_equal(jt_director_counters(bench->director)->probes_void, 1);
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

/* Failure 40: copies of the first packet went through another node, which may
 * have opened the flow at a living endpoint. */
static void test_flow_that_moved_on_is_not_reset(void **state)
{
	(void)state;
	for (int copies = 0; copies < 2; copies++) {
		struct bench *bench = two_endpoints(0);
		struct jt_endpoint_entry entry =
			entry_of(0x201, SERVICE_EXPORT, ZONE_A, 50);
		struct caller_flow flow;

		do {
			flow = flow_new(bench, CALLER, BOARD_PORT);
		} while (flow_syn(bench, &flow) != 0x101);
		if (copies > 0) {
			bench->now_ms += 200;
			flow.acknowledged = 1;
			assert_int_equal(flow_syn(bench, &flow), 0x101);
		}
		/* A copy is due, and has not come here; one that is not due
		 * does not keep the caller waiting. */
		bench->now_ms += copies > 0 ? 300 : 350;
		entry.address = entry_of(0x101, 0, 0, 0).address;
		bench_entry(bench, entry);
		assert_int_equal(state_of(bench, 0x101), JT_INCARNATION_DEAD);
		assert_int_equal(bench_count(bench, JT_DIRECTOR_RESET), copies);
		talloc_free(bench);
	}
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

/* A peer's verdict where this node has no flow: each of many nodes that probed
 * for itself would cost as many connections for one dead endpoint. */
static void test_peers_verdict_without_flows_needs_no_probe(void **state)
{
	struct bench *bench = two_endpoints(0);

	(void)state;
	bench_suspicion(bench, 0x101);
	assert_null(bench_find(bench, JT_DIRECTOR_PROBE));
	assert_int_equal(state_of(bench, 0x101), JT_INCARNATION_READY);
	assert_int_equal(flows_at(bench, 20, 0x101), 0);
	bench_tick(bench, 6000);
	assert_in_range(flows_at(bench, 20, 0x101), 5, 20);
	talloc_free(bench);
}

/* A flow of that endpoint comes this way: its caller needs a verdict. */
static void test_flow_at_what_a_peer_found_dead_is_probed(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct caller_flow flow = flow_new(bench, CALLER, BOARD_PORT);

	(void)state;
	flow.label = jt_flow_label(0x101);
	bench_suspicion(bench, 0x101);
	flow_send(bench, &flow, JT_PACKET_ACK, 100);
	assert_int_equal(bench_count(bench, JT_DIRECTOR_PROBE), 1);
	assert_non_null(bench_find(bench, JT_DIRECTOR_FORWARD));
	bench_probed(bench, 0x101, JT_PROBE_REFUSED);
	assert_int_equal(state_of(bench, 0x101), JT_INCARNATION_DEAD);
	assert_int_equal(bench_count(bench, JT_DIRECTOR_RESET), 1);
	talloc_free(bench);
}

/* What shows that the endpoint lives ends the peer's verdict. */
static void test_progress_ends_a_peers_verdict(void **state)
{
	struct bench *bench = two_endpoints(0);
	struct caller_flow first, second;

	(void)state;
	flow_at_each(bench, &first, &second);
	bench_suspicion(bench, 0x101);
	assert_int_equal(bench_count(bench, JT_DIRECTOR_PROBE), 1);
	flow_request(bench, &first, 20);
	assert_in_range(flows_at(bench, 20, 0x101), 5, 20);
	talloc_free(bench);
}

/* The first to find an endpoint dead tells all; the others need not. */
static void test_verdict_is_told_by_the_first_alone(void **state)
{
	(void)state;
	for (int told = 0; told < 2; told++) {
		struct bench *bench = two_endpoints(0);
		const struct jt_director_action *verdict;
		struct caller_flow dead, other;

		flow_at_each(bench, &dead, &other);
		if (told)
			bench_suspicion(bench, 0x101);
		else
			suspect(bench, &dead);
		bench_probed(bench, 0x101, JT_PROBE_REFUSED);
		verdict = bench_find(bench, JT_DIRECTOR_VERDICT);
		assert_non_null(verdict);
		assert_int_equal(verdict->peers_know, told);
		talloc_free(bench);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_dead_endpoint_is_found),
		cmocka_unit_test(test_late_answers_are_no_contact),
		cmocka_unit_test(test_refused_probe_is_proof),
		cmocka_unit_test(test_living_endpoint_keeps_its_flows),
		cmocka_unit_test(
			test_a_node_that_reaches_nobody_condemns_nobody),
		cmocka_unit_test(test_slow_and_full_is_no_dead_one),
		cmocka_unit_test(test_flow_that_never_opened_proves_nothing),
		cmocka_unit_test(test_node_just_started_condemns_with_care),
		cmocka_unit_test(test_full_endpoint_is_no_dead_one),
		cmocka_unit_test(test_one_failed_probe_is_no_proof),
		cmocka_unit_test(test_void_probe_says_nothing),
		cmocka_unit_test(test_probe_that_can_not_begin_waits),
		cmocka_unit_test(test_refusal_to_the_caller_is_noticed),
		cmocka_unit_test(test_flow_that_moved_on_is_not_reset),
		cmocka_unit_test(test_dead_endpoint_comes_back),
		cmocka_unit_test(test_who_answers_for_a_dead_endpoint),
		cmocka_unit_test(test_who_answers_where_flows_get_nothing),
		cmocka_unit_test(
			test_peers_verdict_without_flows_needs_no_probe),
		cmocka_unit_test(test_flow_at_what_a_peer_found_dead_is_probed),
		cmocka_unit_test(test_progress_ends_a_peers_verdict),
		cmocka_unit_test(test_verdict_is_told_by_the_first_alone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
