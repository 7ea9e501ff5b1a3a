/*
 * Tests of the soak oracle: which refused or duplicated first packets violate
 * the guarantees, and which are allowed. Times are virtual.
 */
#include "soak/soak.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

enum {
	NODE = 2,
	STEADY_SERVICE = 0,
	OTHER_SERVICE = 1,
	OTHER_ENDPOINT = 1, /* endpoint of OTHER_SERVICE */
	LONG_AGO_MS = 1000,
	SENT_MS = 100000,
	JUST_BEFORE_MS = SENT_MS - 100,
	/* All nodes must know at SENT_MS what was acknowledged by then. */
	KNOWN_MS = SENT_MS - SOAK_CONFIG_MS - 1,
};

/* Stubs of the soak functions that the oracle calls. */

uint64_t soak_store_put(struct soak_store *store, const char *key,
			const char *value)
{
	(void)store;
	(void)key;
	(void)value;
	return 0;
}

uint64_t soak_store_disturbed_ms(const struct soak_store *store)
{
	(void)store;
	return 0;
}

bool soak_node_undisturbed(const struct soak *soak, int node, uint64_t since_ms)
{
	return soak->nodes[node].disturbed_ms + SOAK_SETTLE_MS <= since_ms;
}

/* One endpoint of each service and one version, all known to every node. */
static int setup(void **state)
{
	struct soak *soak = talloc_zero(NULL, struct soak);

	soak->events = fopen("/dev/null", "w");
	assert_non_null(soak->events);
	soak->node_count = SOAK_NODES_MIN;
	for (int i = 0; i < soak->node_count; i++)
		soak->nodes[i] = (struct soak_node){
			.pid = 1, .last_down_ms = LONG_AGO_MS};
	soak->endpoint_count = SOAK_SERVICES;
	for (uint32_t i = 0; i < SOAK_SERVICES; i++) {
		soak->endpoints[i] = (struct soak_endpoint){
			.id = i + 1, .service = i, .zone = i, .listed = true};
	}
	soak->version = 1;
	soak->versions[1] = (struct soak_version){LONG_AGO_MS, OTHER_SERVICE};
	*state = soak;
	return 0;
}

static int teardown(void **state)
{
	struct soak *soak = *state;

	fclose(soak->events);
	talloc_free(soak);
	return 0;
}

static void version_add(struct soak *soak, uint64_t acked_ms, uint32_t service)
{
	soak->versions[++soak->version] =
		(struct soak_version){acked_ms, service};
}

/* Ends the endpoint of OTHER_SERVICE at @end_ms and adds a replacement. */
static void endpoint_replaced(struct soak *soak, uint64_t end_ms)
{
	struct soak_endpoint *ended = &soak->endpoints[OTHER_ENDPOINT];

	soak->endpoints[soak->endpoint_count] = *ended;
	soak->endpoints[soak->endpoint_count].id = soak->endpoint_count + 1;
	soak->endpoint_count++;
	ended->state = SOAK_ENDED;
	ended->end_ms = end_ms;
}

/* Returns true if the oracle reports a refusal on the route as a violation. */
static bool refusal_breaks(struct soak *soak, uint16_t route_port)
{
	unsigned broken = soak->broken;

	soak_check_refused(soak, NODE, route_port, SENT_MS);
	return soak->broken > broken;
}

static void test_refusal_with_endpoints_breaks(void **state)
{
	assert_true(refusal_breaks(*state, SOAK_STEADY_PORT));
	assert_true(refusal_breaks(*state, SOAK_SWITCH_PORT));
}

static void test_refusal_without_endpoints_holds(void **state)
{
	struct soak *soak = *state;

	soak->endpoints[OTHER_ENDPOINT].state = SOAK_DRAINING;
	assert_false(refusal_breaks(soak, SOAK_SWITCH_PORT));
	assert_true(refusal_breaks(soak, SOAK_STEADY_PORT));
}

static void test_refusal_by_a_disturbed_node_holds(void **state)
{
	struct soak *soak = *state;

	soak->nodes[NODE].disturbed_ms = JUST_BEFORE_MS;
	assert_false(refusal_breaks(soak, SOAK_STEADY_PORT));
}

/* The drained zone has the only endpoint of the older version's service; the
 * newer version has just been acknowledged. */
static void test_refusal_by_an_older_version_holds(void **state)
{
	struct soak *soak = *state;

	soak->zones[1] = (struct soak_zone){true, LONG_AGO_MS};
	version_add(soak, JUST_BEFORE_MS, STEADY_SERVICE);
	assert_false(refusal_breaks(soak, SOAK_SWITCH_PORT));
}

static void test_refusal_after_the_bound_of_a_version_breaks(void **state)
{
	struct soak *soak = *state;

	soak->zones[1] = (struct soak_zone){true, LONG_AGO_MS};
	version_add(soak, KNOWN_MS, STEADY_SERVICE);
	assert_true(refusal_breaks(soak, SOAK_SWITCH_PORT));
}

static void test_reset_at_an_ended_endpoint_holds(void **state)
{
	struct soak *soak = *state;

	endpoint_replaced(soak, JUST_BEFORE_MS);
	assert_false(refusal_breaks(soak, SOAK_SWITCH_PORT));
	/* The steady route does not use this endpoint. */
	assert_true(refusal_breaks(soak, SOAK_STEADY_PORT));
}

/* The route has changed its service, but the node need not know it yet: it may
 * still assign a first packet to the ended endpoint of the old service. */
static void test_reset_by_an_older_version_holds(void **state)
{
	struct soak *soak = *state;

	endpoint_replaced(soak, JUST_BEFORE_MS - 1000);
	version_add(soak, JUST_BEFORE_MS, STEADY_SERVICE);
	assert_false(refusal_breaks(soak, SOAK_SWITCH_PORT));
}

/* After the bound no first packet may be assigned to the old service. */
static void test_reset_after_the_bound_of_a_version_breaks(void **state)
{
	struct soak *soak = *state;

	endpoint_replaced(soak, JUST_BEFORE_MS);
	version_add(soak, KNOWN_MS, STEADY_SERVICE);
	assert_true(refusal_breaks(soak, SOAK_SWITCH_PORT));
}

static void test_refusal_long_after_an_end_breaks(void **state)
{
	struct soak *soak = *state;

	endpoint_replaced(soak, LONG_AGO_MS);
	assert_true(refusal_breaks(soak, SOAK_SWITCH_PORT));
}

/* Returns true if the oracle reports one first packet accepted by two endpoints
 * as a violation. */
static bool second_endpoint_breaks(struct soak *soak)
{
	unsigned broken = soak->broken;

	soak_check_second_endpoint(soak, OTHER_ENDPOINT, 0, 0x7f490002, 10000,
				   SENT_MS);
	return soak->broken > broken;
}

static void test_two_endpoints_of_a_flow_break(void **state)
{
	struct soak *soak = *state;

	assert_true(second_endpoint_breaks(soak));
	/* Disturbances between nodes and the store are no excuse. */
	soak->nodes[NODE].disturbed_ms = JUST_BEFORE_MS;
	assert_true(second_endpoint_breaks(soak));
}

/* The first endpoint crashed and restarted with the same id just before the
 * copy arrived: the node could not know. */
static void test_an_endpoint_that_ended_has_no_flow(void **state)
{
	struct soak *soak = *state;

	endpoint_replaced(soak, JUST_BEFORE_MS);
	assert_false(second_endpoint_breaks(soak));
}

/* A late duplicate of a first packet may reach the same endpoint again after it
 * closed the flow. */
static void test_one_endpoint_may_take_a_flow_twice(void **state)
{
	struct soak *soak = *state;

	soak_check_second_endpoint(soak, OTHER_ENDPOINT, OTHER_ENDPOINT,
				   0x7f490002, 10000, SENT_MS);
	assert_int_equal(soak->broken, 0);
}

static void test_two_endpoints_after_a_node_failure_hold(void **state)
{
	struct soak *soak = *state;

	soak->nodes[NODE].last_down_ms = JUST_BEFORE_MS;
	assert_false(second_endpoint_breaks(soak));
	soak->nodes[NODE].last_down_ms = SENT_MS - SOAK_SETTLE_MS;
	assert_true(second_endpoint_breaks(soak));
	soak->nodes[NODE].paused = true;
	assert_false(second_endpoint_breaks(soak));
}

#define ORACLE_TEST(test) cmocka_unit_test_setup_teardown(test, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		ORACLE_TEST(test_refusal_with_endpoints_breaks),
		ORACLE_TEST(test_refusal_without_endpoints_holds),
		ORACLE_TEST(test_refusal_by_a_disturbed_node_holds),
		ORACLE_TEST(test_refusal_by_an_older_version_holds),
		ORACLE_TEST(test_refusal_after_the_bound_of_a_version_breaks),
		ORACLE_TEST(test_reset_at_an_ended_endpoint_holds),
		ORACLE_TEST(test_reset_by_an_older_version_holds),
		ORACLE_TEST(test_reset_after_the_bound_of_a_version_breaks),
		ORACLE_TEST(test_refusal_long_after_an_end_breaks),
		ORACLE_TEST(test_two_endpoints_of_a_flow_break),
		ORACLE_TEST(test_an_endpoint_that_ended_has_no_flow),
		ORACLE_TEST(test_one_endpoint_may_take_a_flow_twice),
		ORACLE_TEST(test_two_endpoints_after_a_node_failure_hold),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
