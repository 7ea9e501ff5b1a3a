/* Tests of the settings file: an error names the file, the line, the key and
 * the allowed values. */
#include "test.h"

#include "jt_settings.h"

#include <stdio.h>
#include <sodium.h>
#include <stdlib.h>
#include <unistd.h>

static char name[] = "/tmp/jaspertrack-settings-XXXXXX";

static char *read_example(void)
{
	FILE *file = fopen(JT_SOURCE "/examples/node.cfg", "r");
	char *text = calloc(1, 8192);

	assert_non_null(file);
	assert_true(fread(text, 1, 8191, file) > 0);
	fclose(file);
	return text;
}

/* Loads the example with @from replaced by @to. */
static struct jt_settings *load(const char *from, const char *to, char **error)
{
	char *text = read_example();
	char *at = from ? strstr(text, from) : NULL;
	FILE *file = fopen(name, "w");

	if (from != NULL) {
		assert_non_null(at);
		fwrite(text, 1, (size_t)(at - text), file);
		fputs(to, file);
		fputs(at + strlen(from), file);
	} else {
		fputs(text, file);
	}
	fclose(file);
	free(text);
	return jt_settings_load(NULL, name, error);
}

static void expect_error(const char *from, const char *to, const char *message)
{
	char *error;

	assert_null(load(from, to, &error));
	assert_non_null(strstr(error, message));
	assert_non_null(strstr(error, name));
	talloc_free(error);
}

static void test_example(void **state)
{
	struct jt_settings *settings, *changed;
	char *error;

	(void)state;
	settings = load(NULL, NULL, &error);
	assert_non_null(settings);
	assert_string_equal(settings->zone, "scl-renca");
	assert_int_equal(settings->token_count, 3);
	changed = load("log_level = \"info\"", "log_level = \"err\"", &error);
	assert_null(jt_settings_fixed_difference(settings, changed));
	talloc_free(changed);
	changed = load("traffic_threads = 2", "traffic_threads = 3", &error);
	assert_string_equal(jt_settings_fixed_difference(settings, changed),
			    "traffic_threads");
	talloc_free(changed);
	talloc_free(settings);
}

static void test_errors(void **state)
{
	(void)state;
	expect_error("traffic_threads = 2", "trafic_threads = 2",
		     ":13: trafic_threads: unknown key");
	expect_error("traffic_threads = 2", "traffic_threads = 0",
		     "traffic_threads: is 0, allowed are 1 to 64");
	expect_error("127.40.0.1:6081\";", "127.40.0.1\";",
		     "peer: must be \"IPV4:PORT\"");
	expect_error("role = \"read\"", "role = \"root\"", "role: allowed");
	expect_error("1d1e1f", "1d1e", "secret: must be 64");
	expect_error("      group = \"clinicas\";", "", "group: is missing");
	expect_error("log_level = \"info\"", "log_level = \"loud\"",
		     "log_level: must be a syslog severity");
	expect_error("node = {", "node = [", "syntax error");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_example),
		cmocka_unit_test(test_errors),
	};
	int result;

	if (sodium_init() < 0 || mkstemp(name) < 0)
		return 1;
	result = cmocka_run_group_tests(tests, NULL, NULL);
	unlink(name);
	return result;
}
