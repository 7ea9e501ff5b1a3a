/* Tests of resource documents: errors name resource, field and reason, and
 * concurrent changes of one version conflict. */
#include "test.h"

#include "jt_change.h"
#include "jt_codec.h"

#include <stdio.h>

static const char valid_document[] =
	"{\"groups\":[{\"name\":\"a\"},{\"name\":\"b\"}],"
	"\"services\":[{\"name\":\"s\",\"kind\":\"stream\"},"
	"{\"name\":\"r\",\"kind\":\"request\"}],"
	"\"endpoints\":[{\"name\":\"e0\",\"service\":\"s\",\"address\":"
	"\"10.0.0.1:80\",\"health\":\"10.0.0.1:81\",\"slots\":2,"
	"\"connections\":5}],"
	"\"addresses\":[{\"name\":\"x\",\"address\":\"10.1.0.1:80\","
	"\"protocol\":\"tcp\",\"service\":\"s\",\"group\":\"a\"}],"
	"\"shares\":[{\"service\":\"s\",\"group\":\"a\",\"weight\":1}]}";

static void expect_error(const char *kind, const char *entry,
			 const char *resource, const char *field)
{
	json_t *document = json_loads(valid_document, 0, NULL);
	struct jt_resource_error error;

	json_array_append_new(json_object_get(document, kind),
			      json_loads(entry, 0, NULL));
	assert_null(jt_resource_build(NULL, document, 1, &error));
	assert_string_equal(error.resource, resource);
	assert_string_equal(error.field, field);
	assert_int_not_equal(error.reason[0], '\0');
	json_decref(document);
}

static void test_valid_document(void **state)
{
	json_t *document = json_loads(valid_document, 0, NULL);
	struct jt_resource_error error;
	struct jt_config *config = jt_resource_build(NULL, document, 4, &error);

	(void)state;
	assert_non_null(config);
	assert_int_equal(config->revision, 4);
	assert_int_equal(config->services[1].kind, JT_SERVICE_REQUEST);
	talloc_free(config);
	json_decref(document);
}

static void test_errors(void **state)
{
	(void)state;
	expect_error("groups", "{\"name\":\"a\"}", "groups/a", "name");
	expect_error("groups", "{\"name\":\"A b\"}", "groups/A b", "name");
	expect_error("groups", "{\"name\":\"c\",\"color\":1}", "groups/c",
		     "color");
	expect_error("services", "{\"name\":\"q\",\"kind\":\"tcp\"}",
		     "services/q", "kind");
	expect_error("services",
		     "{\"name\":\"q\",\"kind\":\"stream\","
		     "\"free_permille\":1001}",
		     "services/q", "free_permille");
	expect_error("endpoints",
		     "{\"name\":\"e1\",\"service\":\"r\",\"address\":"
		     "\"10.0.0.1:80\",\"health\":\"10.0.0.1:81\","
		     "\"slots\":1,\"connections\":1}",
		     "endpoints/e1", "address");
	expect_error("endpoints",
		     "{\"name\":\"e1\",\"service\":\"none\",\"address\":"
		     "\"10.0.0.2:80\",\"health\":\"10.0.0.2:81\","
		     "\"slots\":1,\"connections\":1}",
		     "endpoints/e1", "service");
	expect_error("addresses",
		     "{\"name\":\"y\",\"address\":\"10.1.0.1:80\","
		     "\"protocol\":\"tcp\",\"service\":\"s\",\"group\":\"a\"}",
		     "addresses/y", "address");
	expect_error("addresses",
		     "{\"name\":\"y\",\"address\":\"10.1.0.2:80\","
		     "\"protocol\":\"tcp\",\"service\":\"r\",\"group\":\"b\"}",
		     "addresses/y", "group");
	expect_error("addresses",
		     "{\"name\":\"y\",\"address\":\"10.1.0.2:99999\","
		     "\"protocol\":\"tcp\",\"service\":\"s\",\"group\":\"a\"}",
		     "addresses/y", "address");
	expect_error("shares",
		     "{\"service\":\"s\",\"group\":\"none\",\"weight\":1}",
		     "shares/s/none", "group");
	expect_error("shares",
		     "{\"service\":\"s\",\"group\":\"b\",\"weight\":0}",
		     "shares/s/b", "weight");
}

static enum jt_change_result change(json_t **document, const char *posted,
				    const char *id,
				    struct jt_resource_error *error)
{
	TALLOC_CTX *frame = talloc_new(NULL);
	json_t *json = json_loads(posted, 0, NULL);
	enum jt_change_result result;
	struct jt_change *changes;
	size_t count;
	json_t *after;

	assert_int_equal(
		jt_change_from_document(frame, json, &changes, &count, error),
		0);
	result = jt_change_apply(*document, changes, count, id, &after, error);
	if (result == JT_CHANGE_OK) {
		json_decref(*document);
		*document = after;
	}
	json_decref(json);
	talloc_free(frame);
	return result;
}

static void test_concurrent_changes_conflict(void **state)
{
	json_t *document = json_loads(valid_document, 0, NULL);
	struct jt_resource_error error;
	static const char first[] =
		"{\"shares\":[{\"service\":\"s\",\"group\":\"a\","
		"\"weight\":5,\"version\":0}]}";
	static const char second[] =
		"{\"shares\":[{\"service\":\"s\",\"group\":\"a\","
		"\"weight\":7,\"version\":0}]}";

	(void)state;
	assert_int_equal(change(&document, first, "one", &error), JT_CHANGE_OK);
	assert_int_equal(change(&document, second, "two", &error),
			 JT_CHANGE_CONFLICT);
	assert_string_equal(error.resource, "shares/s/a");
	assert_string_equal(error.field, "version");
	assert_true(jt_change_written(document, "one"));
	assert_false(jt_change_written(document, "two"));
	json_decref(document);
}

static void test_deletion_of_resource_in_use(void **state)
{
	json_t *document = json_loads(valid_document, 0, NULL);
	struct jt_change removal = {.kind = JT_RESOURCE_GROUP, .name = "a"};
	struct jt_resource_error error;
	json_t *after;

	(void)state;
	assert_int_equal(
		jt_change_apply(document, &removal, 1, "id", &after, &error),
		JT_CHANGE_INVALID);
	assert_string_equal(error.resource, "addresses/x");
	assert_string_equal(error.field, "group");
	removal.name = "b";
	assert_int_equal(
		jt_change_apply(document, &removal, 1, "id", &after, &error),
		JT_CHANGE_OK);
	json_decref(after);
	removal.name = "zzz";
	assert_int_equal(
		jt_change_apply(document, &removal, 1, "id", &after, &error),
		JT_CHANGE_ABSENT);
	json_decref(document);
}

static void test_write_ids_are_bounded(void **state)
{
	json_t *document = json_loads(valid_document, 0, NULL);
	struct jt_resource_error error;
	char id[16];

	(void)state;
	for (int i = 0; i < JT_WRITE_IDS + 1; i++) {
		snprintf(id, sizeof(id), "w%d", i);
		assert_int_equal(change(&document, "{}", id, &error),
				 JT_CHANGE_OK);
	}
	assert_false(jt_change_written(document, "w0"));
	assert_true(jt_change_written(document, "w1"));
	json_decref(document);
}

/* Guards against taking over an address of another group by naming it. */
static void test_change_of_another_group(void **state)
{
	json_t *document = json_loads(valid_document, 0, NULL);
	json_t *address = json_pack("{s:s,s:s,s:s,s:s,s:s}", "name", "x",
				    "address", "10.1.0.1:80", "protocol", "tcp",
				    "service", "s", "group", "b");
	struct jt_change change = {.kind = JT_RESOURCE_ADDRESS,
				   .name = "x",
				   .resource = address,
				   .only_group = "b"};
	struct jt_resource_error error;
	json_t *after;

	(void)state;
	assert_int_equal(
		jt_change_apply(document, &change, 1, "id", &after, &error),
		JT_CHANGE_FORBIDDEN);
	assert_string_equal(error.field, "group");
	change.only_group = "a";
	json_object_set_new(address, "group", json_string("a"));
	assert_int_equal(
		jt_change_apply(document, &change, 1, "id", &after, &error),
		JT_CHANGE_OK);
	json_decref(after);
	json_decref(address);
	json_decref(document);
}

/* Adds endpoints until the document reaches its limit. */
static void test_document_is_bounded(void **state)
{
	json_t *document = json_loads(valid_document, 0, NULL);
	enum jt_change_result result = JT_CHANGE_OK;
	struct jt_resource_error error;
	json_t *after;

	(void)state;
	for (unsigned i = 0; i < 1000 && result == JT_CHANGE_OK; i++) {
		char name[16];
		char address[32];
		json_t *endpoint;
		struct jt_change change = {.kind = JT_RESOURCE_ENDPOINT};

		snprintf(name, sizeof(name), "added-%u", i);
		snprintf(address, sizeof(address), "10.2.%u.%u:80", i / 250,
			 i % 250 + 1);
		endpoint =
			json_pack("{s:s,s:s,s:s,s:s,s:i,s:i}", "name", name,
				  "service", "s", "address", address, "health",
				  address, "slots", 1, "connections", 1);
		change.name = name;
		change.resource = endpoint;
		result = jt_change_apply(document, &change, 1, name, &after,
					 &error);
		json_decref(endpoint);
		if (result == JT_CHANGE_OK) {
			json_decref(document);
			document = after;
		}
	}
	assert_int_equal(result, JT_CHANGE_INVALID);
	assert_non_null(strstr(error.reason, "bytes"));
	/* With the longest write ids it still fits into one datagram. */
	assert_true(json_dumpb(document, NULL, 0, JSON_COMPACT) +
			    (size_t)JT_WRITE_IDS * JT_WRITE_ID_BYTES <
		    JT_FRAME_MAX);
	json_decref(document);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_valid_document),
		cmocka_unit_test(test_errors),
		cmocka_unit_test(test_concurrent_changes_conflict),
		cmocka_unit_test(test_deletion_of_resource_in_use),
		cmocka_unit_test(test_write_ids_are_bounded),
		cmocka_unit_test(test_document_is_bounded),
		cmocka_unit_test(test_change_of_another_group),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
