/*
 * Endpoints that start again under their ids, told by their births, and entries
 * that turn unreadable: one director in virtual time.
 */
#include "director_fixture.h"
#include "jt_outlier.h"

#include "jt_director_private.h"

enum {
	RESTARTED = 0x101,
	OTHER = 0x102,
	BORN_FIRST = 1700000000,
	BORN_SECOND = 1700009000,
	MOVED_IP = 0x0a00007f,
	COLD_MS = 3000,
};

/* An entry of the endpoint that tells a birth. */
static struct jt_endpoint_entry entry_born(uint64_t id, uint64_t born_ms,
					   uint64_t revision)
{
	struct jt_endpoint_entry entry =
		entry_of(id, SERVICE_BOARD, ZONE_A, revision);

	entry.born_ms = born_ms;
	return entry;
}

/* Two endpoints that tell births, known for long. */
static struct bench *two_born(void)
{
	struct bench *bench = bench_create(0);

	bench_routing(bench, 1, 50, 50);
	bench_entry(bench, entry_born(RESTARTED, BORN_FIRST, 2));
	bench_entry(bench, entry_born(OTHER, BORN_FIRST, 3));
	bench_listed(bench, 3);
	bench_tick(bench, 20000);
	return bench;
}

static void restart(struct bench *bench, uint64_t revision)
{
	bench_entry(bench, entry_born(RESTARTED, BORN_SECOND, revision));
}

static void probed(struct bench *bench, uint64_t id, uint64_t born_ms,
		   enum jt_probe_outcome outcome)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_PROBED};

	event.u.probed.id = id;
	event.u.probed.born_ms = born_ms;
	event.u.probed.outcome = outcome;
	bench_event(bench, &event);
}

static void identified(struct bench *bench, uint64_t id, uint64_t born_ms,
		       uint64_t found)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_IDENTIFIED};

	event.u.identified.id = id;
	event.u.identified.born_ms = born_ms;
	event.u.identified.found = found;
	bench_event(bench, &event);
}

static void told_of(struct bench *bench, enum jt_director_event_kind kind,
		    uint64_t id, uint64_t born_ms)
{
	struct jt_director_event event = {.kind = kind};

	event.u.suspicion.id = id;
	event.u.suspicion.born_ms = born_ms;
	bench_event(bench, &event);
}

static void unreadable(struct bench *bench, uint64_t id, uint64_t revision)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_UNREADABLE};

	event.u.gone.id = id;
	event.u.gone.revision = revision;
	bench_event(bench, &event);
}

static struct jt_incarnation *incarnation_of(const struct bench *bench,
					     uint64_t id)
{
	return jt_endpoint_table_by_id(bench->director->endpoints, id);
}

/* An open flow at the endpoint that starts again, labelled by its birth. */
static struct caller_flow flow_there(struct bench *bench)
{
	struct caller_flow flow;

	do {
		flow = flow_new(bench, CALLER, BOARD_PORT);
		assert_int_not_equal(flow_syn(bench, &flow), 0);
	} while (flow.endpoint_id != RESTARTED);
	flow.label = bench_find(bench, JT_DIRECTOR_FORWARD)->label;
	flow.sequence++;
	flow.acknowledged = 5000;
	bench->now_ms += 2;
	flow_send(bench, &flow, JT_PACKET_ACK, 0);
	return flow;
}

/* A flow that other nodes opened there; this one has not seen it. */
static struct caller_flow flow_unseen(struct bench *bench, uint32_t label)
{
	struct caller_flow flow = flow_new(bench, CALLER + 9, BOARD_PORT);

	flow.label = label;
	flow.sequence = 1001;
	flow.acknowledged = 5000;
	return flow;
}

/* This node finds the endpoint dead by a probe that is refused. */
static void dies(struct bench *bench, const struct caller_flow *flow)
{
	flow_send(bench, flow, JT_PACKET_ACK, 100);
	for (int i = 0; i < 3; i++) {
		bench->now_ms += 200;
		flow_send(bench, flow, JT_PACKET_ACK, 100);
	}
	bench->now_ms += 5;
	probed(bench, RESTARTED, BORN_FIRST, JT_PROBE_REFUSED);
	assert_int_equal(state_of(bench, RESTARTED), JT_INCARNATION_DEAD);
}

static void test_births_give_labels(void **state)
{
	(void)state;
	assert_int_equal(jt_incarnation_label(RESTARTED, 0),
			 jt_flow_label(RESTARTED));
	assert_int_not_equal(jt_incarnation_label(RESTARTED, BORN_FIRST),
			     jt_incarnation_label(RESTARTED, BORN_SECOND));
}

static void test_all_that_was_seen_starts_anew(void **state)
{
	struct bench *bench = two_born();
	struct caller_flow flow = flow_there(bench);
	const struct jt_director_action *told;
	struct jt_incarnation *incarnation;

	(void)state;
	flow_send(bench, &flow, JT_PACKET_ACK, 100);
	told_of(bench, JT_DIRECTOR_OVERDUE, RESTARTED, BORN_FIRST);
	told_of(bench, JT_DIRECTOR_SUSPICION, RESTARTED, BORN_FIRST);
	incarnation = incarnation_of(bench, RESTARTED);
	assert_int_equal(incarnation->waiting, 1);
	assert_true(incarnation->outlier.failed > 0);
	assert_true(incarnation->peer_verdict_ms > 0);
	restart(bench, 10);
	told = bench_find(bench, JT_DIRECTOR_RESTARTED);
	assert_non_null(told);
	assert_int_equal(told->born_ms, BORN_SECOND);
	assert_int_equal(incarnation->state, JT_INCARNATION_READY);
	assert_int_equal(incarnation->flows, 0);
	assert_int_equal(incarnation->waiting, 0);
	assert_true(incarnation->speed.weight == 0);
	assert_int_equal(incarnation->outlier.failed_ms, 0);
	assert_int_equal(jt_outlier_share_permille(incarnation, bench->now_ms),
			 JT_FULL_SHARE_PERMILLE);
	assert_int_equal(incarnation->peer_verdict_ms, 0);
	assert_int_equal(incarnation->suspected_ms, 0);
	assert_false(incarnation->probing);
	assert_int_equal(jt_director_counters(bench->director)->restarted, 1);
	/* And ends of the earlier one's flows do not count there. */
	flow_send(bench, &flow, JT_PACKET_FIN | JT_PACKET_ACK, 0);
	bench_tick(bench, 20000);
	assert_int_equal(incarnation->flows, 0);
	talloc_free(bench);
}

static void test_the_same_birth_is_no_restart(void **state)
{
	struct bench *bench = two_born();

	(void)state;
	flow_there(bench);
	bench_entry(bench, entry_born(RESTARTED, BORN_FIRST, 10));
	assert_null(bench_find(bench, JT_DIRECTOR_RESTARTED));
	assert_true(incarnation_of(bench, RESTARTED)->flows > 0);
	/* Nor is an entry that leaves it out: another writer's. */
	bench_entry(bench, entry_born(RESTARTED, 0, 11));
	assert_null(bench_find(bench, JT_DIRECTOR_RESTARTED));
	assert_true(incarnation_of(bench, RESTARTED)->entry.unreadable);
	talloc_free(bench);
}

/* The store's revision says which is newer; clocks step. */
static void test_births_are_not_ordered(void **state)
{
	struct bench *bench = two_born();

	(void)state;
	bench_entry(bench, entry_born(RESTARTED, BORN_FIRST - 500000, 10));
	assert_non_null(bench_find(bench, JT_DIRECTOR_RESTARTED));
	bench_entry(bench, entry_born(RESTARTED, BORN_SECOND, 9));
	assert_null(bench_find(bench, JT_DIRECTOR_RESTARTED));
	assert_int_equal(incarnation_of(bench, RESTARTED)->entry.born_ms,
			 BORN_FIRST - 500000);
	/* Back to the birth of before: a later incarnation all the same. */
	bench_entry(bench, entry_born(RESTARTED, BORN_FIRST, 11));
	assert_non_null(bench_find(bench, JT_DIRECTOR_RESTARTED));
	talloc_free(bench);
}

/* The endpoint resets them itself, wherever it is now. */
static void test_earlier_flows_follow_the_endpoint(void **state)
{
	struct bench *bench = two_born();
	struct caller_flow flow = flow_there(bench);
	struct jt_endpoint_entry entry = entry_born(RESTARTED, BORN_SECOND, 10);
	const struct jt_director_action *forward;

	(void)state;
	entry.address.ip = MOVED_IP;
	bench_entry(bench, entry);
	assert_null(bench_find(bench, JT_DIRECTOR_RESET));
	forward = flow_send(bench, &flow, JT_PACKET_ACK, 100);
	assert_non_null(forward);
	assert_int_equal(forward->endpoint_id, RESTARTED);
	assert_int_equal(forward->address.ip, MOVED_IP);
	assert_int_equal(forward->label,
			 jt_incarnation_label(RESTARTED, BORN_SECOND));
	/* One that lives there says the new label, and counts from then on. */
	assert_int_equal(incarnation_of(bench, RESTARTED)->flows, 0);
	flow.label = forward->label;
	flow.sequence += 100;
	flow.acknowledged += 300;
	assert_non_null(flow_send(bench, &flow, JT_PACKET_ACK, 0));
	assert_int_equal(incarnation_of(bench, RESTARTED)->flows, 1);
	talloc_free(bench);
}

static void test_what_earlier_flows_show_is_no_evidence(void **state)
{
	struct bench *bench = two_born();
	struct caller_flow flow = flow_there(bench);
	struct caller_flow half = flow_new(bench, CALLER + 1, BOARD_PORT);
	struct jt_incarnation *incarnation = incarnation_of(bench, RESTARTED);

	(void)state;
	while (flow_syn(bench, &half) != RESTARTED)
		half = flow_new(bench, CALLER + 1, BOARD_PORT);
	flow_send(bench, &flow, JT_PACKET_ACK, 100);
	restart(bench, 10);
	for (uint32_t i = 1; i < 4; i++) {
		bench->now_ms += 200;
		flow_send(bench, &flow, JT_PACKET_ACK, 100);
		half.acknowledged = i;
		flow_send(bench, &half, JT_PACKET_SYN, 0);
		bench_tick(bench, 300);
	}
	assert_null(bench_find(bench, JT_DIRECTOR_PROBE));
	assert_int_equal(incarnation->suspected_ms, 0);
	assert_int_equal(incarnation->avoid_until_ms, 0);
	assert_int_equal(incarnation->outlier.failed_ms, 0);
	assert_int_equal(jt_outlier_share_permille(incarnation, bench->now_ms),
			 JT_FULL_SHARE_PERMILLE);
	assert_int_equal(incarnation->unanswered, 0);
	assert_int_equal(incarnation->progress_ms, 0);
	talloc_free(bench);
}

/* A first packet that the network doubles goes where its first one went, also
 * over two starts of the endpoint. */
static void test_copies_of_first_packets_stay(void **state)
{
	struct bench *bench = two_born();
	struct caller_flow flow = flow_there(bench);
	struct caller_flow doubled = flow;

	(void)state;
	doubled.label = 0;
	doubled.sequence = 1000;
	doubled.acknowledged = 0;
	restart(bench, 10);
	assert_int_equal(flow_syn(bench, &doubled), RESTARTED);
	bench_entry(bench, entry_born(RESTARTED, BORN_SECOND + 1, 11));
	bench_entry(bench, entry_born(RESTARTED, BORN_SECOND + 2, 12));
	assert_int_equal(flow_syn(bench, &doubled), RESTARTED);
	talloc_free(bench);
}

static void test_a_dead_one_lives_again(void **state)
{
	struct bench *bench = two_born();
	struct caller_flow flow = flow_there(bench);
	struct jt_endpoint_entry thief = entry_born(0x301, BORN_FIRST, 12);

	(void)state;
	dies(bench, &flow);
	restart(bench, 10);
	assert_int_equal(state_of(bench, RESTARTED), JT_INCARNATION_READY);
	/* So does one whose address another endpoint got. */
	thief.address = incarnation_of(bench, RESTARTED)->entry.address;
	bench_entry(bench, thief);
	assert_int_equal(state_of(bench, RESTARTED), JT_INCARNATION_DEAD);
	thief = entry_born(RESTARTED, BORN_SECOND + 1, 13);
	thief.address.ip = MOVED_IP;
	bench_entry(bench, thief);
	assert_int_equal(state_of(bench, RESTARTED), JT_INCARNATION_READY);
	assert_int_equal(state_of(bench, 0x301), JT_INCARNATION_READY);
	talloc_free(bench);
}

/* The earlier owner of the address of @id, with an entry that is written late.
 */
static struct jt_endpoint_entry former_owner(uint64_t id, uint64_t revision)
{
	struct jt_endpoint_entry entry =
		entry_born(0x301, BORN_FIRST - 9000, revision);

	entry.address = entry_of(id, SERVICE_BOARD, ZONE_A, 1).address;
	return entry;
}

/* The entry of one that has lost its address comes again, of the same birth: a
 * write that was done late. It takes nothing back. */
static void test_a_late_entry_takes_no_address(void **state)
{
	struct bench *bench = bench_create(0);
	struct caller_flow flow;

	(void)state;
	bench_routing(bench, 1, 50, 50);
	bench_entry(bench, former_owner(RESTARTED, 2));
	bench_entry(bench, entry_born(OTHER, BORN_FIRST, 3));
	bench_listed(bench, 3);
	bench_tick(bench, 20000);
	bench_gone(bench, 0x301, 4);
	bench_entry(bench, entry_born(RESTARTED, BORN_FIRST, 5));
	assert_int_equal(state_of(bench, 0x301), JT_INCARNATION_DEAD);
	flow = flow_there(bench);
	bench_entry(bench, former_owner(RESTARTED, 10));
	assert_null(bench_find(bench, JT_DIRECTOR_RESET));
	assert_int_equal(state_of(bench, RESTARTED), JT_INCARNATION_READY);
	assert_int_equal(state_of(bench, 0x301), JT_INCARNATION_DEAD);
	assert_non_null(flow_send(bench, &flow, JT_PACKET_ACK, 100));
	talloc_free(bench);
}

/* A node that has not known the former owner takes its late entry for the
 * newest, until it has asked who answers at the address. */
static void test_who_answers_has_the_address(void **state)
{
	struct bench *bench = two_born();
	struct caller_flow flow = flow_there(bench);

	(void)state;
	bench_entry(bench, former_owner(RESTARTED, 10));
	assert_int_equal(state_of(bench, RESTARTED), JT_INCARNATION_DEAD);
	assert_null(bench_find(bench, JT_DIRECTOR_RESET));
	bench_tick(bench, 10);
	assert_non_null(bench_find(bench, JT_DIRECTOR_PROBE));
	probed(bench, RESTARTED, BORN_FIRST, JT_PROBE_CONNECTED);
	assert_non_null(bench_find(bench, JT_DIRECTOR_IDENTIFY));
	identified(bench, RESTARTED, BORN_FIRST, RESTARTED);
	assert_int_equal(state_of(bench, RESTARTED), JT_INCARNATION_READY);
	assert_int_equal(state_of(bench, 0x301), JT_INCARNATION_DEAD);
	assert_non_null(flow_send(bench, &flow, JT_PACKET_ACK, 100));
	talloc_free(bench);
}

/* Where another answers, the flows are reset. */
static void test_flows_of_a_replaced_one_are_reset_once_proven(void **state)
{
	struct bench *bench = two_born();
	struct caller_flow flow = flow_there(bench);
	const struct jt_director_action *reset;

	(void)state;
	bench_entry(bench, former_owner(RESTARTED, 10));
	bench_tick(bench, 10);
	probed(bench, RESTARTED, BORN_FIRST, JT_PROBE_CONNECTED);
	identified(bench, RESTARTED, BORN_FIRST, 0x301);
	reset = bench_find(bench, JT_DIRECTOR_RESET);
	assert_non_null(reset);
	assert_int_equal(reset->key.source_port, flow.key.source_port);
	assert_int_equal(state_of(bench, RESTARTED), JT_INCARNATION_DEAD);
	talloc_free(bench);
}

static void test_an_entry_that_went_gives_the_address_back(void **state)
{
	struct bench *bench = two_born();

	(void)state;
	bench_entry(bench, former_owner(RESTARTED, 10));
	assert_int_equal(state_of(bench, RESTARTED), JT_INCARNATION_DEAD);
	bench_gone(bench, 0x301, 11);
	assert_int_equal(state_of(bench, RESTARTED), JT_INCARNATION_READY);
	assert_true(flows_at(bench, 10, RESTARTED) > 0);
	talloc_free(bench);
}

static void test_verdicts_on_other_births_are_not_about_it(void **state)
{
	struct bench *bench = two_born();
	struct jt_incarnation *incarnation = incarnation_of(bench, RESTARTED);

	(void)state;
	restart(bench, 10);
	flow_there(bench);
	told_of(bench, JT_DIRECTOR_SUSPICION, RESTARTED, BORN_FIRST);
	told_of(bench, JT_DIRECTOR_OVERDUE, RESTARTED, BORN_FIRST);
	/* Nor those on one that this node has not heard of. */
	told_of(bench, JT_DIRECTOR_SUSPICION, RESTARTED, BORN_SECOND + 7);
	assert_null(bench_find(bench, JT_DIRECTOR_PROBE));
	assert_int_equal(incarnation->peer_verdict_ms, 0);
	assert_int_equal(incarnation->outlier.failed_ms, 0);
	assert_int_equal(jt_outlier_share_permille(incarnation, bench->now_ms),
			 JT_FULL_SHARE_PERMILLE);
	told_of(bench, JT_DIRECTOR_SUSPICION, RESTARTED, BORN_SECOND);
	assert_non_null(bench_find(bench, JT_DIRECTOR_PROBE));
	talloc_free(bench);
}

/* A probe sent to the earlier one tells nothing of the next. */
static void test_probes_under_way_are_not_about_it(void **state)
{
	struct bench *bench = two_born();

	(void)state;
	flow_there(bench);
	told_of(bench, JT_DIRECTOR_SUSPICION, RESTARTED, BORN_FIRST);
	assert_non_null(bench_find(bench, JT_DIRECTOR_PROBE));
	restart(bench, 10);
	flow_there(bench);
	bench->now_ms += 1;
	told_of(bench, JT_DIRECTOR_SUSPICION, RESTARTED, BORN_SECOND);
	assert_non_null(bench_find(bench, JT_DIRECTOR_PROBE));
	bench->now_ms += 1;
	probed(bench, RESTARTED, BORN_FIRST, JT_PROBE_REFUSED);
	identified(bench, RESTARTED, BORN_FIRST, 0x999);
	assert_int_equal(state_of(bench, RESTARTED), JT_INCARNATION_READY);
	assert_true(incarnation_of(bench, RESTARTED)->probing);
	probed(bench, RESTARTED, BORN_SECOND, JT_PROBE_REFUSED);
	assert_int_equal(state_of(bench, RESTARTED), JT_INCARNATION_DEAD);
	talloc_free(bench);
}

/*
 * A node that found the earlier one dead and has not heard of the next gets a
 * packet of a flow that is open there. It must not reset it.
 */
static void test_flows_of_an_unknown_restart_are_not_reset(void **state)
{
	struct bench *bench = two_born();
	struct caller_flow flow = flow_there(bench);
	struct caller_flow placed_late =
		flow_unseen(bench, flow.label); /* by a node as ignorant */
	struct caller_flow placed_well = flow_unseen(
		bench, jt_incarnation_label(RESTARTED, BORN_SECOND));

	(void)state;
	dies(bench, &flow);
	bench->now_ms += 10;
	flow_send(bench, &placed_well, JT_PACKET_ACK, 100);
	assert_null(bench_find(bench, JT_DIRECTOR_RESET));
	flow_send(bench, &placed_late, JT_PACKET_ACK, 100);
	assert_null(bench_find(bench, JT_DIRECTOR_RESET));
	assert_int_equal(bench_find(bench, JT_DIRECTOR_DROP)->reason,
			 JT_DIRECTOR_UNPROVEN);
	restart(bench, 10);
	assert_null(bench_find(bench, JT_DIRECTOR_RESET));
	assert_non_null(flow_send(bench, &placed_late, JT_PACKET_ACK, 100));
	assert_non_null(flow_send(bench, &placed_well, JT_PACKET_ACK, 100));
	talloc_free(bench);
}

/* Where nobody started again, the flow is reset after the next look. */
static void test_flows_of_the_dead_are_reset_once_proven(void **state)
{
	struct bench *bench = two_born();
	struct caller_flow flow = flow_there(bench);
	struct caller_flow late = flow_unseen(bench, flow.label);
	const struct jt_director_action *reset;

	(void)state;
	dies(bench, &flow);
	/* Those that were known before the probe are reset at once. */
	reset = bench_find(bench, JT_DIRECTOR_RESET);
	assert_non_null(reset);
	assert_int_equal(reset->key.source_port, flow.key.source_port);
	bench->now_ms += 10;
	flow_send(bench, &late, JT_PACKET_ACK, 100);
	bench_tick(bench, 500);
	assert_non_null(bench_find(bench, JT_DIRECTOR_PROBE));
	bench->now_ms += 1;
	probed(bench, RESTARTED, BORN_FIRST, JT_PROBE_REFUSED);
	reset = bench_find(bench, JT_DIRECTOR_RESET);
	assert_non_null(reset);
	assert_int_equal(reset->key.source_port, late.key.source_port);
	assert_int_equal(reset->reset_sequence, late.acknowledged);
	talloc_free(bench);
}

static void test_it_is_cold_anew(void **state)
{
	struct bench *bench = two_born();
	struct jt_endpoint_entry entry = entry_born(RESTARTED, BORN_SECOND, 10);

	(void)state;
	entry.cold_left_ms = COLD_MS;
	bench_entry(bench, entry);
	assert_int_equal(incarnation_of(bench, RESTARTED)->cold_until_ms,
			 bench->now_ms + COLD_MS);
	talloc_free(bench);
}

/* What peers told of the earlier one's load is not the next one's. */
static void test_loads_of_peers_are_by_incarnation(void **state)
{
	struct bench *bench = two_born();
	struct jt_endpoint_load load = {
		.label = jt_incarnation_label(RESTARTED, BORN_FIRST),
		.flows = 500,
		.work_permille = 90000,
	};
	struct jt_director_event event = {.kind = JT_DIRECTOR_LOADS};

	(void)state;
	event.u.loads.peer = 7;
	event.u.loads.loads = &load;
	event.u.loads.count = 1;
	bench_event(bench, &event);
	assert_int_equal(flows_at(bench, 10, RESTARTED), 0);
	restart(bench, 10);
	assert_true(flows_at(bench, 10, RESTARTED) > 2);
	talloc_free(bench);
}

/* What peers report of the earlier one's answers is not about the next one. */
static void test_reports_of_peers_are_by_incarnation(void **state)
{
	struct bench *bench = two_born();
	uint32_t earlier = jt_incarnation_label(RESTARTED, BORN_FIRST);
	struct jt_endpoint_load load = {
		.label = earlier, .flows = 1, .speed = 200u << 16 | 900};
	struct jt_endpoint_failure failure = {
		.label = earlier,
		.failed_permille = 9000,
		.share_permille = 1000,
	};
	struct jt_director_event loads = {.kind = JT_DIRECTOR_LOADS};
	struct jt_director_event failures = {.kind = JT_DIRECTOR_FAILURES_TOLD};
	struct jt_incarnation *incarnation = incarnation_of(bench, RESTARTED);
	struct jt_incarnation before;

	(void)state;
	loads.u.loads.peer = 7;
	loads.u.loads.loads = &load;
	loads.u.loads.count = 1;
	failures.u.failures.items = &failure;
	failures.u.failures.count = 1;
	restart(bench, 10);
	before = *incarnation;
	bench_event(bench, &loads);
	bench_event(bench, &failures);
	assert_memory_equal(&incarnation->speed, &before.speed,
			    sizeof(before.speed));
	assert_memory_equal(&incarnation->outlier, &before.outlier,
			    sizeof(before.outlier));
	/* The same of this one counts. */
	load.label = failure.label = incarnation->label;
	bench_event(bench, &loads);
	bench_event(bench, &failures);
	assert_memory_not_equal(&incarnation->speed, &before.speed,
				sizeof(before.speed));
	assert_memory_not_equal(&incarnation->outlier, &before.outlier,
				sizeof(before.outlier));
	talloc_free(bench);
}

static void test_an_unreadable_entry_names_no_endpoint(void **state)
{
	struct bench *bench = two_born();
	struct caller_flow flow = flow_there(bench);

	(void)state;
	unreadable(bench, RESTARTED, 10);
	assert_null(bench_find(bench, JT_DIRECTOR_RESET));
	assert_int_equal(flows_at(bench, 10, RESTARTED), 0);
	/* Not even where no other is left. */
	unreadable(bench, OTHER, 11);
	assert_int_equal(
		flow_syn(bench, &(struct caller_flow){.key = flow.key,
						      .sequence = 0x70000000}),
		0);
	/* Its open flows go on. */
	flow = flow_unseen(bench, jt_incarnation_label(RESTARTED, BORN_FIRST));
	assert_non_null(flow_send(bench, &flow, JT_PACKET_ACK, 100));
	/* A list that still holds it so changes nothing. */
	unreadable(bench, RESTARTED, 10);
	bench_listed(bench, 15);
	assert_true(incarnation_of(bench, RESTARTED)->entry.unreadable);
	assert_int_equal(incarnation_of(bench, RESTARTED)->entry.gone_revision,
			 10);
	/* Readable again, it is used again; older news change nothing. */
	bench_entry(bench, entry_born(RESTARTED, BORN_FIRST, 12));
	unreadable(bench, RESTARTED, 10);
	assert_int_equal(state_of(bench, RESTARTED), JT_INCARNATION_READY);
	assert_true(flows_at(bench, 10, RESTARTED) > 0);
	talloc_free(bench);
}

static void test_peers_tell_births_and_unreadable_entries(void **state)
{
	struct bench *bench = two_born(), *peer = bench_create(0);
	const struct jt_knowledge_need need = {0};
	jt_wire_knowledge knowledge;
	struct jt_director_event event;

	(void)state;
	restart(bench, 10);
	unreadable(bench, OTHER, 11);
	assert_true(jt_knowledge_write(bench, bench->director, &need,
				       bench->now_ms, &knowledge));
	assert_int_equal(knowledge.entries.entries_len, 2);
	bench_routing(peer, 1, 50, 50);
	for (u_int i = 0; i < knowledge.entries.entries_len; i++) {
		assert_true(jt_knowledge_entry(
			&knowledge.entries.entries_val[i], &event));
		bench_event(peer, &event);
	}
	assert_int_equal(incarnation_of(peer, RESTARTED)->entry.born_ms,
			 BORN_SECOND);
	assert_int_equal(incarnation_of(peer, RESTARTED)->label,
			 jt_incarnation_label(RESTARTED, BORN_SECOND));
	assert_true(incarnation_of(peer, OTHER)->entry.unreadable);
	bench_listed(peer, 11);
	bench_tick(peer, 20000);
	assert_int_equal(flows_at(peer, 10, OTHER), 0);
	talloc_free(bench);
	talloc_free(peer);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_births_give_labels),
		cmocka_unit_test(test_all_that_was_seen_starts_anew),
		cmocka_unit_test(test_the_same_birth_is_no_restart),
		cmocka_unit_test(test_births_are_not_ordered),
		cmocka_unit_test(test_earlier_flows_follow_the_endpoint),
		cmocka_unit_test(test_what_earlier_flows_show_is_no_evidence),
		cmocka_unit_test(test_copies_of_first_packets_stay),
		cmocka_unit_test(test_a_dead_one_lives_again),
		cmocka_unit_test(test_a_late_entry_takes_no_address),
		cmocka_unit_test(test_who_answers_has_the_address),
		cmocka_unit_test(
			test_flows_of_a_replaced_one_are_reset_once_proven),
		cmocka_unit_test(
			test_an_entry_that_went_gives_the_address_back),
		cmocka_unit_test(
			test_verdicts_on_other_births_are_not_about_it),
		cmocka_unit_test(test_probes_under_way_are_not_about_it),
		cmocka_unit_test(
			test_flows_of_an_unknown_restart_are_not_reset),
		cmocka_unit_test(test_flows_of_the_dead_are_reset_once_proven),
		cmocka_unit_test(test_it_is_cold_anew),
		cmocka_unit_test(test_loads_of_peers_are_by_incarnation),
		cmocka_unit_test(test_reports_of_peers_are_by_incarnation),
		cmocka_unit_test(test_an_unreadable_entry_names_no_endpoint),
		cmocka_unit_test(test_peers_tell_births_and_unreadable_entries),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
