/* Twice as many endpoints as the largest deployment that is in service. */
#include "director_fixture.h"
#include "jt_endpoint_table.h"

enum {
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

/* Who has or had an address is found without a look at the others. */
static void test_addresses(void **state)
{
	struct jt_endpoint_table *table = jt_endpoint_table_create(NULL);
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
		cmocka_unit_test(test_addresses),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
