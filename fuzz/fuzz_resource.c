/* Fuzzes resource documents: any JSON is built completely or rejected with a
 * reason. */
#include "fuzz_input.h"
#include "jt_change.h"
#include "jt_document_text.h"

#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Valid and invalid values for the fields. */
static const char *const values[] = {
	"\"a\"",
	"\"b\"",
	"\"s\"",
	"\"r\"",
	"\"stream\"",
	"\"request\"",
	"\"tcp\"",
	"\"10.0.0.1:80\"",
	"\"10.0.0.2:80\"",
	"\"10.0.0.2:0\"",
	"\"10.0.0.256:1\"",
	"\"\"",
	"0",
	"1",
	"2",
	"1000",
	"-1",
	"4294967296",
	"1.5",
	"true",
	"false",
	"null",
	"[]",
	"{}",
};

static const char *const fields[] = {
	"name",	   "service",	    "group",	"address",	 "health",
	"slots",   "connections",   "kind",	"weight",	 "protocol",
	"version", "free_permille", "draining", "no_such_field",
};

static const char *const lists[] = {
	"groups", "services",  "endpoints",    "addresses",
	"shares", "write_ids", "no_such_kind",
};

static json_t *choose_resource(struct input *input)
{
	json_t *resource = json_object();
	size_t count = input_choose(input, 8);

	for (size_t i = 0; i < count; i++) {
		size_t field =
			input_choose(input, sizeof(fields) / sizeof(*fields));
		size_t value =
			input_choose(input, sizeof(values) / sizeof(*values));

		json_object_set_new(
			resource, fields[field],
			json_loads(values[value], JSON_DECODE_ANY, NULL));
	}
	return resource;
}

/* Builds a well-formed document whose lists, fields and values the input
 * chooses. */
static json_t *choose_document(struct input *input)
{
	json_t *document = json_object();

	while (input->remaining > 0) {
		const char *list = lists[input_choose(
			input, sizeof(lists) / sizeof(*lists))];

		if (json_object_get(document, list) == NULL)
			json_object_set_new(document, list, json_array());
		json_array_append_new(json_object_get(document, list),
				      choose_resource(input));
	}
	return document;
}

static void document_build(json_t *document)
{
	struct jt_resource_error error;
	struct jt_change *changes;
	struct jt_config *config;
	TALLOC_CTX *frame;
	size_t count;

	if (document == NULL)
		return;
	frame = talloc_new(NULL);
	config = jt_resource_build(frame, document, 1, &error);
	if (config == NULL && error.reason[0] == '\0')
		abort(); /* rejected without a reason */
	if (jt_change_from_document(frame, document, &changes, &count,
				    &error) == 0) {
		json_t *empty = json_object();
		json_t *after = NULL;

		jt_change_apply(empty, changes, count, "id", &after, &error);
		json_decref(after);
		json_decref(empty);
	}
	talloc_free(frame);
	json_decref(document);
}

/* Parses a document of another writer, leaves its invalid endpoints out, and
 * checks that nothing is left out of the rest. */
static void document_of_other_writer(const uint8_t *data, size_t size)
{
	struct jt_resource_rejected rejected;
	TALLOC_CTX *frame = talloc_new(NULL);
	char *text = talloc_strndup(frame, (const char *)data, size);
	bool replaced;
	json_t *document = jt_document_text_parse(text, &replaced), *invalid;

	if (document != NULL) {
		json_decref(jt_resource_take_invalid(document, &rejected));
		invalid = jt_resource_take_invalid(document, &rejected);
		if (json_array_size(invalid) > 0)
			abort();
		json_decref(invalid);
	}
	document_build(document);
	talloc_free(frame);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct input input = {.data = data, .remaining = size};

	document_build(json_loadb((const char *)data, size, 0, NULL));
	document_build(choose_document(&input));
	document_of_other_writer(data, size);
	return 0;
}
