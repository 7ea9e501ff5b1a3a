/* Documents of resources in which another writer has left an odd endpoint:
 * nested very deeply, with a number too large or a port out of range. Listings,
 * watches, peers' messages and API writes all read documents this way. */
#include "test.h"

#include "jt_change.h"
#include "jt_document.h"
#include "jt_document_text.h"

#include <stdio.h>
#include <stdlib.h>

enum { REVISION = 7, NESTED = 100000, LISTS = 300000 };

/* Two good endpoints, and between them the text of a third one. */
#define DOCUMENT                                                               \
	"{\"groups\":[{\"name\":\"a\"}],\"services\":[{\"name\":\"s\","        \
	"\"kind\":\"stream\"}],\"endpoints\":[{\"name\":\"e1\",\"service\":"   \
	"\"s\",\"address\":\"10.0.0.1:80\",\"health\":\"10.0.0.1:81\","        \
	"\"slots\":2,\"connections\":5},%s,{\"name\":\"e3\",\"service\":"      \
	"\"s\",\"address\":\"10.0.0.3:80\",\"health\":\"10.0.0.3:81\","        \
	"\"slots\":2,\"connections\":5}],\"addresses\":[{\"name\":\"x\","      \
	"\"address\":\"10.1.0.1:80\",\"protocol\":\"tcp\",\"service\":\"s\","  \
	"\"group\":\"a\"}],\"shares\":[{\"service\":\"s\",\"group\":\"a\","    \
	"\"weight\":1}]}"

/* Returns an endpoint with the JSON texts of its port and slots, and @more
 * after its last field. */
static char *endpoint(TALLOC_CTX *mem_ctx, const char *port, const char *slots,
		      const char *more)
{
	return talloc_asprintf(
		mem_ctx,
		"{\"name\":\"e2\",\"service\":\"s\",\"address\":"
		"\"10.0.0.2:%s\",\"health\":\"10.0.0.2:81\",\"slots\":%s,"
		"\"connections\":5%s}",
		port, slots, more);
}

/* Returns the endpoint in each odd form; NULL after the last one. Sets the
 * field that its error names. */
static char *odd_endpoint(TALLOC_CTX *mem_ctx, int form, const char **field)
{
	switch (form) {
	case 0:
		*field = "more";
		return endpoint(
			mem_ctx, "80", "2",
			talloc_asprintf(mem_ctx, ",\"more\":%s%s",
					test_repeat(mem_ctx, "[", NESTED),
					test_repeat(mem_ctx, "]", NESTED)));
	case 1:
		*field = "a";
		return talloc_asprintf(mem_ctx, "%s%s",
				       test_repeat(mem_ctx, "{\"a\":[", NESTED),
				       test_repeat(mem_ctx, "]}", NESTED));
	case 2:
		*field = "";
		return endpoint(
			mem_ctx, "80", "2",
			talloc_asprintf(mem_ctx, ",\"more\":[%s[]]",
					test_repeat(mem_ctx, "[],", LISTS)));
	case 3:
		*field = "slots";
		return endpoint(mem_ctx, "80", "123456789012345678901234", "");
	case 4:
		*field = "slots";
		return endpoint(mem_ctx, "80", "1e999", "");
	case 5:
		*field = "slots";
		return endpoint(mem_ctx, "80", "4294967298", "");
	case 6:
		*field = "address";
		return endpoint(mem_ctx, "65536", "2", "");
	case 7:
		*field = "address";
		return endpoint(mem_ctx, "99999999999999999999", "2", "");
	case 8:
		*field = "";
		return talloc_strdup(mem_ctx, "7");
	default:
		return NULL;
	}
}

static void expect_good_endpoints(const struct jt_config *config)
{
	assert_non_null(config);
	assert_int_equal(config->endpoint_count, 2);
	assert_string_equal(config->endpoints[0].name, "e1");
	assert_string_equal(config->endpoints[1].name, "e3");
	assert_int_equal(config->address_count, 1);
}

/* Guards against an odd endpoint that makes a node refuse the whole document,
 * from the store or from a peer. */
static void test_odd_endpoint_is_left_out(void **state)
{
	TALLOC_CTX *frame = talloc_new(NULL);
	const char *field;
	char *odd;

	(void)state;
	for (int form = 0; (odd = odd_endpoint(frame, form, &field)) != NULL;
	     form++) {
		char *text = talloc_asprintf(frame, DOCUMENT, odd);
		struct jt_resource_error error;
		struct jt_document *document =
			jt_document_create(frame, REVISION, text, &error);
		struct jt_document *received;

		assert_non_null(document);
		expect_good_endpoints(document->config);
		assert_int_equal(document->rejected.count, 1);
		assert_string_equal(document->rejected.errors[0].field, field);
		assert_int_not_equal(document->rejected.errors[0].reason[0],
				     '\0');
		/* What is sent to peers is valid and fits into a message. */
		assert_in_range(strlen(document->text), 1, JT_DOCUMENT_BYTES);
		received = jt_document_create(frame, REVISION, document->text,
					      &error);
		expect_good_endpoints(received->config);
		assert_int_equal(received->rejected.count, 0);
	}
	talloc_free(frame);
}

/* A document without odd endpoints is kept as it was stored. */
static void test_valid_document_is_unchanged(void **state)
{
	TALLOC_CTX *frame = talloc_new(NULL);
	char *text = talloc_asprintf(frame, DOCUMENT,
				     endpoint(frame, "80", "2", ""));
	struct jt_resource_error error;
	struct jt_document *document =
		jt_document_create(frame, REVISION, text, &error);

	(void)state;
	assert_int_equal(document->config->endpoint_count, 3);
	assert_string_equal(document->text, text);
	talloc_free(frame);
}

/* Applies a change of one endpoint to a document with an odd one. */
static enum jt_change_result change_apply(TALLOC_CTX *mem_ctx, const char *odd,
					  const char *name,
					  const char *resource, json_t **after,
					  struct jt_resource_error *error)
{
	bool replaced;
	json_t *before = jt_document_text_parse(
		talloc_asprintf(mem_ctx, DOCUMENT, odd), &replaced);
	json_t *wanted = resource ? json_loads(resource, 0, NULL) : NULL;
	const struct jt_change change = {
		.kind = JT_RESOURCE_ENDPOINT,
		.name = (char *)name,
		.resource = wanted,
	};
	enum jt_change_result result;

	assert_non_null(before);
	result = jt_change_apply(before, &change, 1, "w1", after, error);
	json_decref(wanted);
	json_decref(before);
	return result;
}

/* Guards against an odd endpoint that blocks all writes of operators. */
static void test_odd_endpoint_blocks_no_change(void **state)
{
	static const char added[] =
		"{\"name\":\"e4\",\"service\":\"s\",\"address\":"
		"\"10.0.0.4:80\",\"health\":\"10.0.0.4:81\",\"slots\":2,"
		"\"connections\":5}";
	TALLOC_CTX *frame = talloc_new(NULL);
	struct jt_resource_error error;
	const char *field;
	json_t *after;
	char *odd;

	(void)state;
	for (int form = 0; (odd = odd_endpoint(frame, form, &field)) != NULL;
	     form++) {
		assert_int_equal(
			change_apply(frame, odd, "e4", added, &after, &error),
			JT_CHANGE_OK);
		/* The odd one is another writer's: it stays. */
		assert_int_equal(
			json_array_size(json_object_get(after, "endpoints")),
			4);
		json_decref(after);
	}
	talloc_free(frame);
}

/* An odd endpoint is corrected or removed by its name, and not written. */
static void test_odd_endpoint_is_corrected(void **state)
{
	TALLOC_CTX *frame = talloc_new(NULL);
	char *odd = endpoint(frame, "65536", "2", "");
	char *good = endpoint(frame, "80", "2", "");
	struct jt_resource_error error;
	json_t *after;

	(void)state;
	assert_int_equal(change_apply(frame, odd, "e2", good, &after, &error),
			 JT_CHANGE_OK);
	assert_int_equal(json_array_size(json_object_get(after, "endpoints")),
			 3);
	json_decref(after);
	assert_int_equal(change_apply(frame, odd, "e2", NULL, &after, &error),
			 JT_CHANGE_OK);
	assert_int_equal(json_array_size(json_object_get(after, "endpoints")),
			 2);
	json_decref(after);
	assert_int_equal(change_apply(frame, good, "e2", odd, &after, &error),
			 JT_CHANGE_INVALID);
	assert_string_equal(error.resource, "endpoints/e2");
	assert_string_equal(error.field, "address");
	talloc_free(frame);
}

/* A change that would make a valid endpoint invalid is refused, beside an odd
 * one, too. */
static void test_service_in_use_is_not_removed(void **state)
{
	TALLOC_CTX *frame = talloc_new(NULL);
	const struct jt_change change = {
		.kind = JT_RESOURCE_SERVICE,
		.name = (char *)"s",
	};
	struct jt_resource_error error;
	bool replaced;
	json_t *after,
		*before = jt_document_text_parse(
			talloc_asprintf(frame, DOCUMENT, "7"), &replaced);

	(void)state;
	assert_int_equal(
		jt_change_apply(before, &change, 1, "w1", &after, &error),
		JT_CHANGE_INVALID);
	assert_string_equal(error.resource, "endpoints/e1");
	assert_string_equal(error.field, "service");
	json_decref(before);
	talloc_free(frame);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_odd_endpoint_is_left_out),
		cmocka_unit_test(test_valid_document_is_unchanged),
		cmocka_unit_test(test_odd_endpoint_blocks_no_change),
		cmocka_unit_test(test_odd_endpoint_is_corrected),
		cmocka_unit_test(test_service_in_use_is_not_removed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
