/* Tests of the director settings: the template of the platform is accepted, and
 * an error names the file, the line, the key and the allowed values. */
#include "test.h"

#include "jt_director_settings.h"
#include "jt_mechanism.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

static char name[] = "/tmp/jaspertrack-director-XXXXXX";

static const char example[] =
	"placement = \"label\";\n"
	"environment = \"platform\";\n"
	"node = { name = \"edge-1\"; zone = \"scl-renca\"; };\n"
	"listen = {\n"
	"  data = \"10.1.0.10:8172\";\n"
	"  readiness = \"10.1.0.10:8167\";\n"
	"  peer = \"10.1.0.10:7720\";\n"
	"};\n"
	"store = \"10.200.1.7:8169\";\n"
	"seeds = ( \"10.1.0.10:8166\", \"10.2.0.40:8166\" );\n"
	"keys = ( { id = 1; secret = \"6a6173706572747261636b2d706c6174666f726"
	"d2d706565722d6b65792d3031\"; } );\n"
	"limits = { drain_ms = 3000; leave_s = 2.5; flow_age_s = 60; };\n";

/* Loads the example with @from replaced by @to. */
static struct jt_director_settings *load(const char *from, const char *to,
					 char **error)
{
	const char *at = from != NULL ? strstr(example, from) : NULL;
	FILE *file = fopen(name, "w");

	assert_non_null(file);
	if (from != NULL) {
		assert_non_null(at);
		fwrite(example, 1, (size_t)(at - example), file);
		fputs(to, file);
		fputs(at + strlen(from), file);
	} else {
		fputs(example, file);
	}
	fclose(file);
	return jt_director_settings_load(NULL, name, error);
}

static void expect_error(const char *from, const char *to, const char *message)
{
	char *error;

	assert_null(load(from, to, &error));
	assert_non_null(strstr(error, name));
	if (strstr(error, message) == NULL)
		fail_msg("no '%s' in '%s'", message, error);
	talloc_free(error);
}

static void test_example(void **state)
{
	struct jt_director_settings *settings;
	char *error;

	(void)state;
	settings = load(NULL, NULL, &error);
	assert_non_null(settings);
	assert_true(jt_director_settings_wanted(name));
	assert_int_equal(settings->leave_limit_ms, 2500);
	assert_int_equal(settings->drain_limit_ms, 3000);
	assert_int_equal(settings->flow_age_limit_ms, 60000);
	assert_int_equal(settings->seed_count, 2);
	assert_int_equal(settings->metrics.port, 0);
	assert_int_equal(settings->reader_weight, 1001);
	assert_int_equal(settings->store_age_limit_ms, 1500);
	talloc_free(settings);
}

static void test_first_start(void **state)
{
	struct jt_director_settings *settings;
	char *error;

	(void)state;
	settings = load(NULL, NULL, &error);
	assert_false(settings->first_start);
	talloc_free(settings);
	settings = load("limits", "first_start = true;\nlimits", &error);
	assert_non_null(settings);
	assert_true(settings->first_start);
	talloc_free(settings);
	expect_error("limits", "first_start = 1;\nlimits",
		     "first_start: must be true or false");
}

static void test_features_can_be_switched_off(void **state)
{
	const char *const *names = jt_mechanism_names();
	struct jt_director_settings *settings;
	uint32_t all = 0;
	char *error;

	(void)state;
	settings = load(NULL, NULL, &error);
	assert_int_equal(settings->without, 0);
	talloc_free(settings);
	settings = load("limits", "without = ( \"cold\", \"news\" );\nlimits",
			&error);
	assert_non_null(settings);
	assert_false(jt_mechanism_on(settings->without, JT_MECHANISM_COLD));
	assert_false(jt_mechanism_on(settings->without, JT_MECHANISM_NEWS));
	assert_true(jt_mechanism_on(settings->without, JT_MECHANISM_SLOWNESS));
	talloc_free(settings);
	expect_error("limits", "without = ( \"magic\" );\nlimits",
		     "without: unknown feature 'magic'");
	/* Every feature has a unique name, in the order of the bits. */
	for (unsigned bit = 0; names[bit] != NULL; bit++) {
		assert_int_equal(jt_mechanism_find(names[bit]), 1u << bit);
		all |= 1u << bit;
	}
	assert_int_equal(all, 2 * JT_MECHANISM_FLOW_LOOKUP - 1);
	assert_int_equal(jt_mechanism_find("early-end"),
			 JT_MECHANISM_EARLY_END);
	assert_int_equal(jt_mechanism_find("outliers"), JT_MECHANISM_OUTLIERS);
}

/* The maximum age of the state is derived from the propagation bounds. */
static void test_store_age_limit_is_half_of_tightest_bound(void **state)
{
	struct jt_director_settings *settings;
	char *error;

	(void)state;
	settings = load("drain_ms = 3000;",
			"drain_ms = 8000; config_ms = 5000;", &error);
	assert_non_null(settings);
	assert_int_equal(settings->store_age_limit_ms, 2500);
	talloc_free(settings);
	settings = load("drain_ms = 3000;",
			"drain_ms = 8000; config_ms = 5000; "
			"zone_drain_ms = 1200;",
			&error);
	assert_non_null(settings);
	assert_int_equal(settings->store_age_limit_ms, 600);
	talloc_free(settings);
	settings = load("zone = \"scl-renca\";",
			"zone = \"scl-renca\"; cores = 0.017;", &error);
	assert_non_null(settings);
	assert_int_equal(settings->reader_weight, 18);
	talloc_free(settings);
}

/* The endpoint limit is derived from the memory of the node. */
static void test_endpoint_limit_follows_memory(void **state)
{
	struct jt_director_settings *settings, *larger;
	char *error;

	(void)state;
	settings = load("zone = \"scl-renca\";",
			"zone = \"scl-renca\"; memory_mb = 160; "
			"link_mbps = 2.5;",
			&error);
	assert_non_null(settings);
	/* A quarter of the memory, 840 bytes an endpoint. */
	assert_int_equal(settings->endpoint_limit, 49932);
	assert_int_equal(settings->link_mbps, 3);
	larger = load("zone = \"scl-renca\";",
		      "zone = \"scl-renca\"; memory_mb = 320;", &error);
	assert_non_null(larger);
	assert_int_equal(larger->endpoint_limit, 99864);
	assert_string_equal(
		jt_director_settings_fixed_difference(settings, larger),
		"node.memory_mb");
	talloc_free(larger);
	talloc_free(settings);
}

static void test_errors(void **state)
{
	(void)state;
	expect_error("drain_ms = 3000", "drain = 3000", ":12: drain: unknown");
	expect_error("drain_ms = 3000", "drain_ms = -1",
		     "drain_ms: is -1, allowed are 0 to");
	expect_error("drain_ms = 3000", "config_ms = -1",
		     "config_ms: is -1, allowed are 0 to");
	expect_error("drain_ms = 3000", "cold_overshoot = 0.5",
		     "cold_overshoot: is 0.5, allowed are 1 to");
	expect_error("drain_ms = 3000", "admission_floor = 0.3",
		     "admission_floor: is 0.3, allowed are 0 to");
	expect_error("drain_ms = 3000", "cold_slack = -2",
		     "cold_slack: is -2, allowed are 0 to");
	expect_error("drain_ms = 3000", "zone_drain_ms = -1",
		     "zone_drain_ms: is -1, allowed are 0 to");
	expect_error("zone = \"scl-renca\"", "zone = \"a\"; cores = \"two\"",
		     "cores: must be a number");
	expect_error("zone = \"scl-renca\"", "zone = \"a\"; memory_mb = 1",
		     "memory_mb: is 1, allowed are 8 to");
	expect_error("zone = \"scl-renca\"", "zone = \"a\"; link_mbps = -1",
		     "link_mbps: is -1, allowed are 0 to");
	expect_error("leave_s = 2.5", "leave_s = \"soon\"",
		     "leave_s: must be a number");
	expect_error("10.1.0.10:8172", "10.1.0.10", "data: must be");
	expect_error("store = \"10.200.1.7:8169\";\n", "", "store: is missing");
	expect_error("\"10.2.0.40:8166\"", "\"x\"", "seeds: each must be");
	expect_error("6a6173", "6a61", "secret: must be 64");
	expect_error("environment = \"platform\";\n", "",
		     "environment: is missing");
	expect_error("node = {", "node = [", "syntax error");
}

static void test_fixed_settings(void **state)
{
	struct jt_director_settings *settings, *changed;
	char *error;

	(void)state;
	settings = load(NULL, NULL, &error);
	changed = load("10.200.1.7:8169", "10.200.1.8:8169", &error);
	assert_null(jt_director_settings_fixed_difference(settings, changed));
	talloc_free(changed);
	changed = load("10.1.0.10:7720", "10.1.0.10:7721", &error);
	assert_string_equal(
		jt_director_settings_fixed_difference(settings, changed),
		"listen.peer");
	talloc_free(changed);
	talloc_free(settings);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_example),
		cmocka_unit_test(test_first_start),
		cmocka_unit_test(test_features_can_be_switched_off),
		cmocka_unit_test(
			test_store_age_limit_is_half_of_tightest_bound),
		cmocka_unit_test(test_endpoint_limit_follows_memory),
		cmocka_unit_test(test_errors),
		cmocka_unit_test(test_fixed_settings),
	};
	int result;

	if (sodium_init() < 0 || mkstemp(name) < 0)
		return 1;
	result = cmocka_run_group_tests(tests, NULL, NULL);
	unlink(name);
	return result;
}
