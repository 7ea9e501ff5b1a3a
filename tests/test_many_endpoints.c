/* Twice as many endpoints as the largest deployment that is in service. */
#include "director_fixture.h"
#include "jt_director_private.h"
#include "jt_knowledge_fetch.h"

#include <math.h>

enum {
	ENDPOINTS = 20000,
	FLOWS = 3 * ENDPOINTS,
	FIRST_ID = 0x10000,
};

/* Each endpoint has an address of its own. */
static struct jt_endpoint_entry entry_number(uint32_t number)
{
	struct jt_endpoint_entry entry =
		entry_of(FIRST_ID + number, SERVICE_BOARD, ZONE_A, 2 + number);

	entry.address = (struct jt_address){0x0a000000 + number, 8080};
	return entry;
}

static struct bench *many_endpoints(uint32_t count)
{
	struct bench *bench = bench_create(0);

	bench_routing(bench, 1, 50, 50);
	for (uint32_t i = 0; i < count; i++)
		bench_entry(bench, entry_number(i));
	bench_listed(bench, 2 + count);
	bench_tick(bench, LEARNED_MS);
	return bench;
}

static void test_all_are_known(void **state)
{
	struct bench *bench = many_endpoints(ENDPOINTS);

	(void)state;
	assert_int_equal(jt_director_counters(bench->director)->entries_refused,
			 0);
	assert_int_equal(jt_director_endpoint_count(bench->director,
						    JT_INCARNATION_READY),
			 ENDPOINTS);
	talloc_free(bench);
}

/* What a peer learns slice by slice is all that the first one knows. */
static void test_all_are_told(void **state)
{
	struct bench *from = many_endpoints(ENDPOINTS);
	struct bench *to = bench_create(0);
	struct jt_knowledge_fetch fetch = {0};
	const struct jt_own_state own = {0};
	struct jt_director_event event;
	jt_wire_knowledge knowledge;
	bool whole = false;
	u_int most = 0;

	(void)state;
	bench_routing(to, 1, 50, 50);
	while (!whole) {
		const struct jt_knowledge_need need =
			jt_knowledge_fetch_need(&fetch, &own);

		assert_true(jt_knowledge_write(to, from->director, &need,
					       from->now_ms, &knowledge));
		for (u_int i = 0; i < knowledge.entries.entries_len; i++) {
			assert_true(jt_knowledge_entry(
				&knowledge.entries.entries_val[i], &event));
			bench_event(to, &event);
		}
		if (knowledge.entries.entries_len > most)
			most = knowledge.entries.entries_len;
		whole = jt_knowledge_fetch_took(&fetch, &knowledge,
						from->now_ms);
	}
	assert_in_range(most, 1, ENDPOINTS / 20);
	assert_int_equal(fetch.revision, 2 + ENDPOINTS);
	assert_int_equal(
		jt_director_endpoint_count(to->director, JT_INCARNATION_READY),
		ENDPOINTS);
	talloc_free(to);
	talloc_free(from);
}

/* A node that has not started tells some of the endpoints it knows so far: they
 * are no part of what is fetched slice by slice. */
static void test_some_are_told_before_the_start(void **state)
{
	struct bench *from = bench_create(0);
	struct jt_knowledge_fetch fetch = {0};
	const struct jt_own_state own = {0};
	const struct jt_knowledge_need need =
		jt_knowledge_fetch_need(&fetch, &own);
	jt_wire_knowledge knowledge;

	(void)state;
	bench_routing(from, 1, 50, 50);
	for (uint32_t i = 0; i < 2000; i++)
		bench_entry(from, entry_number(i));
	assert_true(jt_knowledge_write(from, from->director, &need,
				       from->now_ms, &knowledge));
	assert_in_range(knowledge.entries.entries_len, 1, 600);
	assert_int_equal(knowledge.routing.number, 1);
	assert_false(jt_knowledge_fetch_took(&fetch, &knowledge, from->now_ms));
	assert_int_equal(jt_knowledge_fetch_need(&fetch, &own).slice, 0);
	talloc_free(from);
}

/* Where it knows few, it tells a good part of them whenever it is asked. */
static void test_few_are_told_before_the_start(void **state)
{
	enum { FEW = 200 };
	struct bench *from = bench_create(0);
	const struct jt_knowledge_need need = {0};
	jt_wire_knowledge knowledge;
	u_int least = FEW;

	(void)state;
	bench_routing(from, 1, 50, 50);
	for (uint32_t i = 0; i < FEW; i++)
		bench_entry(from, entry_number(i));
	for (uint64_t ms = 0; ms < 2 * JT_DIRECTOR_SLICES; ms++) {
		assert_true(jt_knowledge_write(from, from->director, &need,
					       from->now_ms + ms, &knowledge));
		if (knowledge.entries.entries_len < least)
			least = knowledge.entries.entries_len;
	}
	assert_in_range(least, FEW / 3, FEW);
	talloc_free(from);
}

/* As many stay without a flow as chance would leave. */
static void test_all_are_used(void **state)
{
	struct bench *bench = many_endpoints(ENDPOINTS);
	uint32_t *flows = talloc_zero_array(bench, uint32_t, ENDPOINTS);
	double by_chance = ENDPOINTS * exp(-(double)FLOWS / (double)ENDPOINTS);
	uint32_t unused = 0, most = 0;

	(void)state;
	for (uint32_t i = 0; i < FLOWS; i++) {
		struct caller_flow flow =
			flow_new(bench, CALLER + i, BOARD_PORT);

		flow_open(bench, &flow);
		flows[flow.endpoint_id - FIRST_ID]++;
		flow_send(bench, &flow, JT_PACKET_ACK | JT_PACKET_RST, 0);
	}
	for (uint32_t i = 0; i < ENDPOINTS; i++) {
		unused += flows[i] == 0;
		most = flows[i] > most ? flows[i] : most;
	}
	assert_true(unused <= 1.1 * by_chance);
	assert_in_range(most, 1, 2 * 12);
	talloc_free(bench);
}

/* A tick looks at those alone at which something may be due. */
static void test_ticks_leave_the_well_alone(void **state)
{
	struct bench *bench = many_endpoints(100);
	const struct jt_endpoint_table *table = bench->director->endpoints;

	(void)state;
	assert_null(table->watched);
	bench_gone(bench, FIRST_ID + 7, 1000);
	assert_non_null(table->watched);
	assert_int_equal(table->watched->entry.id, FIRST_ID + 7);
	assert_null(table->watched->watched_next);
	/* Its flows may live for an hour; then it is forgotten. */
	bench_tick(bench, 3600 * 1000);
	assert_non_null(table->watched);
	bench_tick(bench, 2);
	assert_null(table->watched);
	assert_int_equal(table->count, 99);
	talloc_free(bench);
}

/* One that was probed is looked at until it is known to be well. */
static void test_probed_endpoints_are_looked_at(void **state)
{
	struct bench *bench = many_endpoints(1);
	const struct jt_endpoint_table *table = bench->director->endpoints;
	struct caller_flow flow = flow_new(bench, CALLER, BOARD_PORT);

	(void)state;
	assert_int_equal(flow_syn(bench, &flow), FIRST_ID);
	bench_tick(bench, 100);
	assert_non_null(bench_find(bench, JT_DIRECTOR_PROBE));
	assert_non_null(table->watched);
	bench_probed(bench, FIRST_ID, JT_PROBE_SILENT);
	bench_tick(bench, 100);
	assert_non_null(table->watched);
	/* The next probe comes after a pause. */
	bench_tick(bench, 1000);
	assert_non_null(bench_find(bench, JT_DIRECTOR_PROBE));
	bench_probed(bench, FIRST_ID, JT_PROBE_CONNECTED);
	bench_tick(bench, 100);
	assert_null(table->watched);
	talloc_free(bench);
}

/* Two ids with one label; discovery has the second one for longer. */
enum { LABEL = 4 };
static const uint64_t YOUNG_ID = 0x100000005, OLD_ID = 0x200000006;

static void take_clashing(struct bench *bench, uint64_t id)
{
	struct jt_endpoint_entry entry =
		entry_of(id, SERVICE_BOARD, ZONE_A, 10 + (uint32_t)id % 16);

	entry.created = id == OLD_ID ? 3 : 8;
	bench_entry(bench, entry);
}

/* Whichever a node hears of first, new flows and open ones go to the older. */
static void test_the_older_one_has_the_label(void **state)
{
	for (int order = 0; order < 2; order++) {
		struct bench *bench = bench_create(0);
		struct caller_flow open;

		assert_int_equal(jt_flow_label(YOUNG_ID), LABEL);
		assert_int_equal(jt_flow_label(OLD_ID), LABEL);
		bench_routing(bench, 1, 50, 50);
		take_clashing(bench, order == 0 ? YOUNG_ID : OLD_ID);
		take_clashing(bench, order == 0 ? OLD_ID : YOUNG_ID);
		bench_listed(bench, 20);
		bench_tick(bench, LEARNED_MS);
		assert_int_equal(flows_at(bench, 20, OLD_ID), 20);
		open = flow_new(bench, CALLER, BOARD_PORT);
		open.label = LABEL;
		assert_int_equal(
			flow_send(bench, &open, JT_PACKET_ACK, 10)->endpoint_id,
			OLD_ID);
		talloc_free(bench);
	}
	(void)state;
}

static struct bench *two_clashing(void)
{
	struct bench *bench = bench_create(0);

	bench_routing(bench, 1, 50, 50);
	take_clashing(bench, OLD_ID);
	take_clashing(bench, YOUNG_ID);
	bench_listed(bench, 20);
	return bench;
}

static void take_back(struct bench *bench, uint64_t id, uint64_t revision)
{
	struct jt_endpoint_entry entry =
		entry_of(id, SERVICE_BOARD, ZONE_A, revision);

	entry.created = revision;
	bench_entry(bench, entry);
}

/* Both entries lapse while the store is away; the younger one's is back first.
 */
static void entries_come_back(struct bench *bench)
{
	bench_gone(bench, OLD_ID, 21);
	bench_gone(bench, YOUNG_ID, 22);
	bench_tick(bench, 1000);
	take_back(bench, YOUNG_ID, 30);
	take_back(bench, OLD_ID, 31);
	bench_tick(bench, LEARNED_MS);
}

static void learn_from(struct bench *bench, const struct bench *peer)
{
	struct jt_endpoint_entry entry;
	enum jt_incarnation_state state;

	for (size_t i = 0;
	     jt_director_endpoint_at(peer->director, i, &entry, &state); i++)
		bench_entry(bench, entry);
}

/* Failure 59: nodes that start after an outage of the store must send open
 * flows where those that know of the time before it do. */
static void test_an_entry_that_came_back_keeps_its_label(void **state)
{
	struct bench *peer = two_clashing();

	(void)state;
	entries_come_back(peer);
	assert_int_equal(flows_at(peer, 20, OLD_ID), 20);
	for (int reads_store = 0; reads_store < 2; reads_store++) {
		struct bench *bench = bench_create(0);

		bench_routing(bench, 1, 50, 50);
		if (reads_store) {
			take_back(bench, YOUNG_ID, 30);
			take_back(bench, OLD_ID, 31);
		}
		learn_from(bench, peer);
		bench_listed(bench, 31);
		bench_tick(bench, LEARNED_MS);
		assert_int_equal(flows_at(bench, 20, OLD_ID), 20);
		talloc_free(bench);
	}
	talloc_free(peer);
}

/* Once flows of the older one can't live any more, the other takes over. */
static void test_the_younger_one_follows(void **state)
{
	struct bench *bench = two_clashing();
	struct caller_flow flow = flow_new(bench, CALLER, BOARD_PORT);

	(void)state;
	bench_gone(bench, OLD_ID, 21);
	bench_tick(bench, LEARNED_MS);
	assert_int_equal(flow_syn(bench, &flow), 0);
	bench_tick(bench, 3600 * 1000);
	assert_int_equal(flow_syn(bench, &flow), YOUNG_ID);
	talloc_free(bench);
}

/* The younger one's end is no matter of flows that are at the older one. */
static void test_the_younger_one_ends_alone(void **state)
{
	struct bench *bench = two_clashing();
	struct jt_endpoint_entry next =
		entry_of(0x300, SERVICE_BOARD, ZONE_A, 30);
	struct caller_flow flow = flow_new(bench, CALLER, BOARD_PORT);

	(void)state;
	bench_tick(bench, LEARNED_MS);
	flow_open(bench, &flow);
	assert_int_equal(flow.endpoint_id, OLD_ID);
	/* Another incarnation has its address. */
	next.address = entry_of(YOUNG_ID, 0, 0, 0).address;
	bench_entry(bench, next);
	assert_int_equal(state_of(bench, YOUNG_ID), JT_INCARNATION_DEAD);
	assert_int_equal(bench_count(bench, JT_DIRECTOR_RESET), 0);
	assert_non_null(flow_send(bench, &flow, JT_PACKET_ACK, 10));
	talloc_free(bench);
}

/* Who has or had an address is found without a look at the others. */
static void test_addresses(void **state)
{
	struct jt_endpoint_table *table =
		jt_endpoint_table_create(NULL, ENDPOINTS);
	struct jt_endpoint_entry entry = entry_number(7);
	struct jt_incarnation *in = NULL, *first;

	(void)state;
	for (uint32_t i = 0; i < 100; i++) {
		const struct jt_endpoint_entry one = entry_number(i);

		jt_endpoint_table_take(table, &one, false, 1, &in);
		assert_ptr_equal(jt_endpoint_table_at(table, one.address), in);
		assert_null(in->address_next);
	}
	/* The seventh one's address goes to two others, one after the other. */
	entry.id = FIRST_ID + 200;
	entry.revision = 500;
	jt_endpoint_table_take(table, &entry, false, 1, &in);
	entry.id = FIRST_ID + 8;
	entry.revision = 501;
	jt_endpoint_table_take(table, &entry, false, 1, &in);
	assert_null(jt_endpoint_table_at(table, entry_number(8).address));
	first = jt_endpoint_table_at(table, entry.address);
	assert_int_equal(first->entry.id, FIRST_ID + 7);
	assert_int_equal(first->address_next->entry.id, FIRST_ID + 200);
	assert_int_equal(first->address_next->address_next->entry.id,
			 FIRST_ID + 8);
	assert_null(first->address_next->address_next->address_next);
	/* The first one goes, then the last, then the one between them. */
	jt_endpoint_table_remove(table, first);
	first = jt_endpoint_table_at(table, entry.address);
	assert_int_equal(first->entry.id, FIRST_ID + 200);
	jt_endpoint_table_remove(table, first->address_next);
	assert_null(first->address_next);
	jt_endpoint_table_remove(table, first);
	assert_null(jt_endpoint_table_at(table, entry.address));
	talloc_free(table);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_all_are_known),
		cmocka_unit_test(test_all_are_told),
		cmocka_unit_test(test_all_are_used),
		cmocka_unit_test(test_some_are_told_before_the_start),
		cmocka_unit_test(test_few_are_told_before_the_start),
		cmocka_unit_test(test_addresses),
		cmocka_unit_test(test_the_older_one_has_the_label),
		cmocka_unit_test(test_an_entry_that_came_back_keeps_its_label),
		cmocka_unit_test(test_the_younger_one_follows),
		cmocka_unit_test(test_the_younger_one_ends_alone),
		cmocka_unit_test(test_ticks_leave_the_well_alone),
		cmocka_unit_test(test_probed_endpoints_are_looked_at),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
