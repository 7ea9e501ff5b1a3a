/* Tests of the flow table, fair shares and transitions of the cell state. */
#include "test.h"

#include "jaspertrack/cell.h"
#include "jt_flow_table.h"
#include "jt_share.h"

enum { FLOWS = 5000, MEMBERS = 6, ENDPOINTS = 15 };

static struct jt_flow_key key_of(uint32_t i)
{
	return (struct jt_flow_key){.source = 0x0b000000 + i,
				    .destination = 0x0a140000,
				    .source_port = (uint16_t)i,
				    .destination_port = 80,
				    .protocol = JT_PROTOCOL_TCP};
}

static void test_flow_table(void **state)
{
	struct jt_flow_table *table = jt_flow_table_create(NULL, FLOWS);

	(void)state;
	assert_true(sizeof(struct jt_flow) <= 32);
	for (uint32_t i = 0; i < FLOWS; i++) {
		struct jt_flow_key key = key_of(i);

		assert_null(jt_flow_table_find(table, &key));
		jt_flow_table_add(table, &key)->endpoint_id = i + 1;
	}
	{
		struct jt_flow_key extra_key = key_of(FLOWS);

		assert_null(jt_flow_table_add(table, &extra_key));
	}
	/* Remove every other one; the rest must still be found. */
	for (uint32_t i = 0; i < FLOWS; i += 2) {
		struct jt_flow_key key = key_of(i);

		jt_flow_table_remove(table, jt_flow_table_find(table, &key));
	}
	for (uint32_t i = 0; i < FLOWS; i++) {
		struct jt_flow_key key = key_of(i);
		struct jt_flow *flow = jt_flow_table_find(table, &key);

		if (i % 2 == 0)
			assert_null(flow);
		else
			assert_int_equal(flow->endpoint_id, i + 1);
	}
	assert_int_equal(table->count, FLOWS / 2);
	talloc_free(table);
}

static void test_shares(void **state)
{
	struct jt_share_usage uses[2] = {{3, 0}, {1, 0}};

	(void)state;
	/* A group may borrow half of the idle share of the other group. */
	uses[1].open = 61;
	assert_true(jt_share_admit(uses, 2, 1, 100, 500));
	uses[1].open = 62;
	assert_true(jt_share_admit(uses, 2, 1, 100, 500));
	uses[1].open = 63;
	assert_false(jt_share_admit(uses, 2, 1, 100, 500));
	/* The owner of the share is admitted while there is capacity. */
	assert_true(jt_share_admit(uses, 2, 0, 100, 500));
	uses[0].open = 37;
	assert_false(jt_share_admit(uses, 2, 0, 100, 500));
	/* Nothing reserved: full borrowing; all reserved: a static split. */
	uses[0].open = 0;
	uses[1].open = 99;
	assert_true(jt_share_admit(uses, 2, 1, 100, 0));
	uses[1].open = 25;
	assert_false(jt_share_admit(uses, 2, 1, 100, 1000));
}

struct fixture {
	struct jt_config config;
	struct jt_service_config service;
	jt_wire_proposal proposal;
	jt_wire_member members[MEMBERS];
	jt_wire_endpoint endpoints[ENDPOINTS];
};

static void fixture_init(struct fixture *f)
{
	memset(f, 0, sizeof(*f));
	f->service.id = 77;
	f->service.load_placed_permille = 200;
	f->config.services = &f->service;
	f->config.service_count = 1;
	f->config.revision = 1;
	for (u_int i = 0; i < MEMBERS; i++) {
		f->members[i].id = 1000 + i * 17;
		f->members[i].zone = i / 2;
	}
	for (u_int i = 0; i < ENDPOINTS; i++) {
		f->endpoints[i].id = 500 + i;
		f->endpoints[i].service_id = 77;
		f->endpoints[i].capacity = 100;
	}
	f->proposal.epoch = 1;
	f->proposal.members.members_val = f->members;
	f->proposal.members.members_len = MEMBERS;
	f->proposal.endpoints.endpoints_val = f->endpoints;
	f->proposal.endpoints.endpoints_len = ENDPOINTS;
}

static size_t count_exceptional_buckets(const struct jt_cell_state *state)
{
	size_t count = 0;

	for (size_t b = 0; b < JT_BUCKETS; b++)
		count += jt_bit_get(state->tables[0].exceptional, b);
	return count;
}

static void test_initial_cell_state(void **state)
{
	struct jt_cell_state *cell;
	uint32_t default_buckets[ENDPOINTS] = {0};
	struct fixture f;

	(void)state;
	fixture_init(&f);
	cell = jt_cell_apply(NULL, 9, NULL, &f.proposal, &f.config, 0);
	assert_int_equal(count_exceptional_buckets(cell),
			 205); /* 20% of 1024, rounded up */
	for (size_t b = 0; b < JT_BUCKETS; b++) {
		const struct jt_table *t = &cell->tables[0];

		assert_int_not_equal(cell->members[t->owner[b]].zone,
				     cell->members[t->replica[b]].zone);
		if (!jt_bit_get(t->exceptional, b))
			default_buckets[t->default_index[b]]++;
	}
	for (size_t e = 0; e < ENDPOINTS; e++)
		assert_in_range(default_buckets[e], 54, 55);
	talloc_free(cell);
}

/* A drain marks the buckets of its endpoint as exceptional until they are
 * declared clean. */
static void test_drained_buckets_stay_exceptional(void **state)
{
	struct jt_cell_state *first, *drained, *returned, *clean;
	jt_wire_bucket buckets[JT_BUCKETS];
	struct fixture f;
	size_t marked, load_placed_buckets;

	(void)state;
	fixture_init(&f);
	first = jt_cell_apply(NULL, 9, NULL, &f.proposal, &f.config, 0);
	load_placed_buckets = count_exceptional_buckets(first);
	f.proposal.epoch = 2;
	f.endpoints[3].port_state = JT_ENDPOINT_DRAINING;
	drained = jt_cell_apply(NULL, 9, first, &f.proposal, &f.config, 0);
	marked = count_exceptional_buckets(drained);
	assert_in_range(marked - load_placed_buckets, 54, 55);
	assert_memory_equal(first->tables[0].defaults,
			    drained->tables[0].defaults,
			    sizeof(first->tables[0].defaults));
	f.proposal.epoch = 3;
	f.endpoints[3].port_state = JT_ENDPOINT_UP;
	returned = jt_cell_apply(NULL, 9, drained, &f.proposal, &f.config, 0);
	assert_int_equal(count_exceptional_buckets(returned), marked);
	for (u_int b = 0; b < JT_BUCKETS; b++)
		buckets[b] = (jt_wire_bucket){77, b};
	f.proposal.epoch = 4;
	f.proposal.clean_buckets.clean_buckets_val = buckets;
	f.proposal.clean_buckets.clean_buckets_len = JT_BUCKETS;
	clean = jt_cell_apply(NULL, 9, returned, &f.proposal, &f.config, 0);
	assert_int_equal(count_exceptional_buckets(clean), load_placed_buckets);
	talloc_free(first);
	talloc_free(drained);
	talloc_free(returned);
	talloc_free(clean);
}

static void test_wire_round_trip_of_cell_state(void **state)
{
	struct jt_cell_state *first, *copy;
	jt_wire_state wire = {0};
	TALLOC_CTX *frame = talloc_new(NULL);
	struct fixture f;

	(void)state;
	fixture_init(&f);
	f.endpoints[2].port_state = 6080u << 16 | JT_ENDPOINT_DOWN;
	first = jt_cell_apply(frame, 9, NULL, &f.proposal, &f.config, 0);
	assert_int_equal(jt_cell_to_wire(frame, first, &wire), 0);
	copy = jt_cell_from_wire(frame, &wire, &f.config);
	assert_memory_equal(first->tables, copy->tables,
			    sizeof(struct jt_table));
	assert_memory_equal(first->endpoints, copy->endpoints,
			    sizeof(struct jt_cell_endpoint) * ENDPOINTS);
	wire.tables.tables_val[0].sticky.sticky_len = 5;
	assert_null(jt_cell_from_wire(frame, &wire, &f.config));
	talloc_free(frame);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_flow_table),
		cmocka_unit_test(test_shares),
		cmocka_unit_test(test_initial_cell_state),
		cmocka_unit_test(test_drained_buckets_stay_exceptional),
		cmocka_unit_test(test_wire_round_trip_of_cell_state),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
