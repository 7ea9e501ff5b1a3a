/* Endpoints are still coming back to the store: packets wait for them. */
#include "director_fixture.h"
#include "jt_mechanism.h"

enum {
	HELD_MOST_MS = 2500,
	ATTEMPT_MS = 1400, /* of a caller to open a flow */
	FLOWS = 40,
};

static void bench_informed(struct bench *bench, uint64_t revision,
			   uint32_t learning_ms)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_INFORMED};

	event.u.listed.revision = revision;
	event.u.listed.learning_ms = learning_ms;
	bench_event(bench, &event);
}

/* A node that has just read its first list, with one endpoint in it. */
static struct bench *one_endpoint(uint32_t without)
{
	struct bench *bench = bench_create_without(0, without);

	bench_routing(bench, 1, 50, 50);
	bench_endpoint(bench, 0x101, SERVICE_BOARD, ZONE_A, 2);
	bench_listed(bench, 2);
	return bench;
}

/* An open flow of an endpoint that this node does not know. */
static struct caller_flow flow_of(struct bench *bench, uint64_t endpoint_id)
{
	struct caller_flow flow = flow_new(bench, CALLER, BOARD_PORT);

	flow.label = jt_flow_label(endpoint_id);
	flow.sequence = 2000;
	flow.acknowledged = 7000;
	return flow;
}

static bool is_reason(const struct bench *bench,
		      enum jt_director_action_kind kind,
		      enum jt_director_reason reason)
{
	const struct jt_director_action *action = bench_find(bench, kind);

	return action != NULL && action->reason == reason;
}

static void test_open_flow_waits_for_its_endpoint(void **state)
{
	struct bench *bench = one_endpoint(0);
	struct caller_flow flow = flow_of(bench, 0x102);
	const struct jt_director_action *forward;

	(void)state;
	assert_null(flow_send(bench, &flow, JT_PACKET_ACK, 100));
	assert_true(
		is_reason(bench, JT_DIRECTOR_HOLD, JT_DIRECTOR_UNKNOWN_LABEL));
	bench_endpoint(bench, 0x102, SERVICE_BOARD, ZONE_A, 3);
	forward = flow_send(bench, &flow, JT_PACKET_ACK, 100);
	assert_non_null(forward);
	assert_int_equal(forward->endpoint_id, 0x102);
	talloc_free(bench);
}

static void test_without_it_the_packet_is_dropped(void **state)
{
	struct bench *bench = one_endpoint(JT_MECHANISM_HOLD_UNKNOWN);
	struct caller_flow flow = flow_of(bench, 0x102);

	(void)state;
	assert_null(flow_send(bench, &flow, JT_PACKET_ACK, 100));
	assert_true(
		is_reason(bench, JT_DIRECTOR_DROP, JT_DIRECTOR_UNKNOWN_LABEL));
	talloc_free(bench);
}

static void test_learning_ends(void **state)
{
	struct bench *bench = one_endpoint(0);
	struct caller_flow flow = flow_of(bench, 0x102);

	(void)state;
	assert_int_equal(
		jt_director_learning_ms(bench->director, bench->now_ms),
		LEARNED_MS);
	bench_tick(bench, LEARNED_MS);
	assert_int_equal(
		jt_director_learning_ms(bench->director, bench->now_ms), 0);
	assert_null(flow_send(bench, &flow, JT_PACKET_ACK, 100));
	assert_true(
		is_reason(bench, JT_DIRECTOR_DROP, JT_DIRECTOR_UNKNOWN_LABEL));
	talloc_free(bench);
}

/* What a peer tells is complete where the peer has known it for long. */
static void test_complete_peer_leaves_nothing_to_learn(void **state)
{
	struct bench *bench = bench_create(0);
	struct caller_flow flow = flow_new(bench, CALLER, BOARD_PORT);

	(void)state;
	bench_routing(bench, 1, 50, 50);
	bench_informed(bench, 2, 0);
	assert_int_equal(flow_syn(bench, &flow), 0);
	assert_true(
		is_reason(bench, JT_DIRECTOR_RESET, JT_DIRECTOR_NO_ENDPOINT));
	talloc_free(bench);
}

static void test_learning_peer_tells_that_it_learns(void **state)
{
	struct bench *from = one_endpoint(0), *to = bench_create(0);
	jt_wire_knowledge knowledge;

	(void)state;
	from->now_ms += 500;
	assert_true(jt_knowledge_write(from, from->director,
				       &(struct jt_knowledge_need){0},
				       from->now_ms, &knowledge));
	assert_int_equal(knowledge.learning_ms, LEARNED_MS - 500);
	bench_routing(to, 1, 50, 50);
	bench_informed(to, 2, knowledge.learning_ms);
	assert_int_equal(jt_director_learning_ms(to->director, to->now_ms),
			 LEARNED_MS - 500);
	/* Later ones do not make it learn anew; one that is done ends it. */
	to->now_ms += 100;
	bench_informed(to, 3, LEARNED_MS);
	assert_int_equal(jt_director_learning_ms(to->director, to->now_ms),
			 LEARNED_MS - 600);
	bench_informed(to, 4, 0);
	assert_int_equal(jt_director_learning_ms(to->director, to->now_ms), 0);
	talloc_free(from);
	talloc_free(to);
}

/* First packets of new flows in one moment: how many go on at once. */
static unsigned flows_at_once(uint32_t without)
{
	struct bench *bench = one_endpoint(without);
	unsigned placed = 0;

	for (int i = 0; i < FLOWS; i++) {
		struct caller_flow flow = flow_new(bench, CALLER, BOARD_PORT);

		if (flow_syn(bench, &flow) != 0)
			placed++;
		else
			assert_true(is_reason(bench, JT_DIRECTOR_HOLD,
					      JT_DIRECTOR_LEARNING));
	}
	talloc_free(bench);
	return placed;
}

static void test_first_endpoint_does_not_get_all_flows(void **state)
{
	(void)state;
	assert_int_equal(flows_at_once(0), 1);
	assert_int_equal(flows_at_once(JT_MECHANISM_SPREAD_LEARNING), FLOWS);
}

static void test_held_flows_go_on_by_and_by(void **state)
{
	struct bench *bench = one_endpoint(0);
	unsigned placed = 0;

	(void)state;
	for (int i = 0; i < FLOWS; i++) {
		struct caller_flow flow = flow_new(bench, CALLER, BOARD_PORT);

		placed += flow_syn(bench, &flow) != 0;
		bench->now_ms += 25;
	}
	/* A slot bears 40 a second, there are two. */
	assert_int_equal(placed, FLOWS);
	talloc_free(bench);
}

static void test_packets_held_too_long_are_dropped(void **state)
{
	struct bench *bench = one_endpoint(0);
	struct caller_flow first = flow_new(bench, CALLER, BOARD_PORT);
	struct caller_flow open = flow_of(bench, 0x101);

	(void)state;
	flow_offer(bench, &first, JT_PACKET_SYN, 0, ATTEMPT_MS);
	assert_true(is_reason(bench, JT_DIRECTOR_DROP, JT_DIRECTOR_LEARNING));
	flow_offer(bench, &open, JT_PACKET_ACK, 0, HELD_MOST_MS);
	assert_true(is_reason(bench, JT_DIRECTOR_DROP, JT_DIRECTOR_LEARNING));
	flow_offer(bench, &open, JT_PACKET_ACK, 0, HELD_MOST_MS - 1);
	assert_non_null(bench_find(bench, JT_DIRECTOR_FORWARD));
	talloc_free(bench);
}

/* A first packet and its copy waited together: that says nothing against the
 * endpoint. */
static void test_held_copy_casts_no_doubt(void **state)
{
	struct bench *bench = one_endpoint(0);
	struct caller_flow flow = flow_new(bench, CALLER, BOARD_PORT);

	(void)state;
	flow_offer(bench, &flow, JT_PACKET_SYN, 0, 300);
	assert_non_null(bench_find(bench, JT_DIRECTOR_FORWARD));
	flow.acknowledged = 1;
	flow_offer(bench, &flow, JT_PACKET_SYN, 0, 100);
	assert_non_null(bench_find(bench, JT_DIRECTOR_FORWARD));
	assert_null(bench_find(bench, JT_DIRECTOR_PROBE));
	talloc_free(bench);
}

/* Some endpoints and all drains of zones are told; more will be. */
static void bench_partly_told(struct bench *bench)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_PARTLY_TOLD};

	bench_event(bench, &event);
}

/* A node that has just started, and has heard of one endpoint of many. */
static struct bench *first_page(uint32_t without)
{
	struct bench *bench = bench_create_without(0, without);

	bench_routing(bench, 1, 50, 50);
	bench_endpoint(bench, 0x101, SERVICE_BOARD, ZONE_A, 2);
	return bench;
}

static void test_a_part_is_enough_for_new_flows(void **state)
{
	struct bench *bench = first_page(0);
	struct caller_flow first = flow_new(bench, CALLER, BOARD_PORT);
	struct caller_flow open = flow_of(bench, 0x102);

	(void)state;
	assert_int_equal(flow_syn(bench, &first), 0);
	assert_true(
		is_reason(bench, JT_DIRECTOR_HOLD, JT_DIRECTOR_NOT_STARTED));
	bench_partly_told(bench);
	assert_int_equal(flow_syn(bench, &first), 0x101);
	/* It has not started: others don't learn from it yet. */
	assert_false(jt_director_started(bench->director));
	/* What an open flow's label names may be told later. */
	bench->now_ms += 2 * LEARNED_MS;
	assert_null(flow_send(bench, &open, JT_PACKET_ACK, 100));
	assert_true(
		is_reason(bench, JT_DIRECTOR_HOLD, JT_DIRECTOR_NOT_STARTED));
	bench_endpoint(bench, 0x102, SERVICE_BOARD, ZONE_A, 3);
	assert_non_null(flow_send(bench, &open, JT_PACKET_ACK, 100));
	talloc_free(bench);
}

static void test_without_it_new_flows_wait_for_all(void **state)
{
	struct bench *bench = first_page(JT_MECHANISM_PARTLY_KNOWN);
	struct caller_flow flow = flow_new(bench, CALLER, BOARD_PORT);

	(void)state;
	bench_partly_told(bench);
	assert_int_equal(flow_syn(bench, &flow), 0);
	bench_listed(bench, 2);
	assert_int_equal(flow_syn(bench, &flow), 0x101);
	talloc_free(bench);
}

/* A new flow waits for an endpoint of its own service. */
static void test_a_part_without_the_service_holds(void **state)
{
	struct bench *bench = bench_create(0);
	struct caller_flow flow = flow_new(bench, CALLER, BOARD_PORT);

	(void)state;
	bench_routing(bench, 1, 50, 50);
	bench_endpoint(bench, 0x201, SERVICE_EXPORT, ZONE_A, 2);
	bench_partly_told(bench);
	assert_int_equal(flow_syn(bench, &flow), 0);
	assert_true(is_reason(bench, JT_DIRECTOR_HOLD, JT_DIRECTOR_LEARNING));
	talloc_free(bench);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_open_flow_waits_for_its_endpoint),
		cmocka_unit_test(test_without_it_the_packet_is_dropped),
		cmocka_unit_test(test_learning_ends),
		cmocka_unit_test(test_complete_peer_leaves_nothing_to_learn),
		cmocka_unit_test(test_learning_peer_tells_that_it_learns),
		cmocka_unit_test(test_first_endpoint_does_not_get_all_flows),
		cmocka_unit_test(test_held_flows_go_on_by_and_by),
		cmocka_unit_test(test_packets_held_too_long_are_dropped),
		cmocka_unit_test(test_held_copy_casts_no_doubt),
		cmocka_unit_test(test_a_part_is_enough_for_new_flows),
		cmocka_unit_test(test_without_it_new_flows_wait_for_all),
		cmocka_unit_test(test_a_part_without_the_service_holds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
