/* Tests of the witness record: the store acts as one more Paxos acceptor. */
#include "test.h"

#include "jaspertrack/core.h"

static struct jt_witness_request make_request(bool accept, uint64_t epoch,
					      uint32_t round, uint64_t node)
{
	static jt_wire_proposal proposal;

	return (struct jt_witness_request){accept, epoch, round, node,
					   &proposal};
}

static void test_ballots(void **state)
{
	struct jt_witness_record record = {0};
	struct jt_witness_request request = make_request(false, 5, 2, 10);

	(void)state;
	assert_true(jt_witness_apply(&record, &request));
	request = make_request(false, 5, 1, 99); /* a late lower ballot */
	assert_false(jt_witness_apply(&record, &request));
	request = make_request(true, 5, 1, 99);
	assert_false(jt_witness_apply(&record, &request));
	request = make_request(true, 5, 2, 10);
	assert_true(jt_witness_apply(&record, &request));
	assert_non_null(record.accepted);
	/* A higher ballot learns the accepted proposal. */
	request = make_request(false, 5, 3, 1);
	assert_true(jt_witness_apply(&record, &request));
	assert_non_null(record.accepted);
	assert_int_equal(record.accepted_round, 2);
}

static void test_epochs(void **state)
{
	struct jt_witness_record record = {0};
	struct jt_witness_request request = make_request(true, 5, 9, 10);

	(void)state;
	assert_true(jt_witness_apply(&record, &request));
	request = make_request(false, 6, 1, 1); /* a new epoch resets it */
	assert_true(jt_witness_apply(&record, &request));
	assert_null(record.accepted);
	request = make_request(true, 5, 10, 10); /* and the old one is closed */
	assert_false(jt_witness_apply(&record, &request));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_ballots),
		cmocka_unit_test(test_epochs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
