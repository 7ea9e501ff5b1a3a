/*
 * Fuzzes store items written by an arbitrary writer: each item must be accepted
 * or rejected with a reason, without affecting the other items of its page.
 */
#include "fuzz_input.h"
#include "jt_platform.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

enum { TEXT_LIMIT = 4096, REVISION = 412 };

/* Valid and invalid values for the fields. */
static const char *const values[] = {
	"\"counter\"",
	"\"10.128.0.9:8080\"",
	"\"10.128.0.9\"",
	"\"regina\"",
	"\"ready\"",
	"\"draining\"",
	"\"asleep\"",
	"\"\"",
	"0",
	"2",
	"-1",
	"4294967296",
	"1764740000000",
	"99999999999999999999",
	"1.5",
	"1e999",
	"true",
	"null",
	"[[[[]]]]",
	"{\"born\":1}",
};

static const char *const fields[] = {
	"service", "address",	 "zone",      "version", "capacity",
	"state",   "coldLeftMs", "callCount", "born",	 "more",
};

static const char *const keys[] = {
	"servers/i-7f", "servers/i-",
	"servers/",	"servers/x/i-7f",
	"servers/i-7g", "op/evacuate/zone",
	"op/config",	"op/config/more",
	"op/evacuate/", "",
};

static const char valid_entry[] =
	"{\"service\":\"counter\",\"address\":\"10.128.0.8:8080\",\"zone\":"
	"\"regina\",\"version\":\"v1\",\"capacity\":2,\"state\":\"ready\","
	"\"coldLeftMs\":0,\"callCount\":0,\"born\":1764740000000}";

/* Builds an object from up to 15 fields and values that the input chooses. */
static void document_make(struct input *input, char *text)
{
	size_t count = input_choose(input, 16), used = 0;

	used += (size_t)snprintf(text, TEXT_LIMIT, "{");
	for (size_t i = 0; i < count; i++) {
		size_t field =
			input_choose(input, sizeof(fields) / sizeof(fields[0]));
		size_t value =
			input_choose(input, sizeof(values) / sizeof(values[0]));

		used += (size_t)snprintf(text + used, TEXT_LIMIT - used,
					 "%s\"%s\":%s", i ? "," : "",
					 fields[field], values[value]);
	}
	snprintf(text + used, TEXT_LIMIT - used, "}");
}

static json_t *item_make(const char *key, const uint8_t *value, size_t length)
{
	char text[2 * TEXT_LIMIT];

	sodium_bin2base64(text, sizeof(text), value, length,
			  sodium_base64_VARIANT_ORIGINAL);
	return json_pack("{s:s, s:s, s:i, s:i}", "tlsKey", key, "value", text,
			 "revision", REVISION, "created", REVISION);
}

static json_t *valid_item(const char *key)
{
	return item_make(key, (const uint8_t *)valid_entry,
			 sizeof(valid_entry) - 1);
}

/* Checks that a change is complete: a valid entry or an error with its field
 * and reason. */
static void check_change(const struct jt_directory_change *change)
{
	switch (change->kind) {
	case JT_DIRECTORY_CHANGE_INVALID:
		if (change->key == NULL || change->field == NULL ||
		    change->reason == NULL)
			abort();
		break;
	case JT_DIRECTORY_CHANGE_ENDPOINT:
		if (change->endpoint.id == 0 ||
		    change->endpoint.address.port == 0 ||
		    change->endpoint.revision == 0)
			abort();
		break;
	case JT_DIRECTORY_CHANGE_ROUTING:
		if (change->routing == NULL || change->routing->version == 0)
			abort();
		break;
	default:
		break;
	}
}

/* Checks a page that has @item between two valid entries. */
static void check_page(json_t *item)
{
	struct jt_kv_response *response =
		talloc_zero(NULL, struct jt_kv_response);
	json_t *page = json_pack("{s:i, s:b, s:[o, O, o]}", "at", REVISION,
				 "more", 1, "items", valid_item("servers/i-a1"),
				 item, valid_item("servers/i-a2"));
	char *body = json_dumps(page, 0);
	const struct jt_directory_change *last;

	jt_platform_response_parse(response, body);
	if (response->status != JT_KV_OK || response->change_count < 2 ||
	    strcmp(response->last_key, "servers/i-a2") != 0)
		abort();
	for (size_t i = 0; i < response->change_count; i++)
		check_change(&response->changes[i]);
	last = &response->changes[response->change_count - 1];
	if (response->changes[0].kind != JT_DIRECTORY_CHANGE_ENDPOINT ||
	    response->changes[0].endpoint.id != 0xa1 ||
	    last->kind != JT_DIRECTORY_CHANGE_ENDPOINT ||
	    last->endpoint.id != 0xa2)
		abort();
	free(body);
	json_decref(page);
	talloc_free(response);
}

/* Parses the input as the body of a whole response. */
static void check_body(const struct input *input)
{
	struct jt_kv_response *response =
		talloc_zero(NULL, struct jt_kv_response);
	char *body = talloc_strndup(response, (const char *)input->data,
				    input->remaining);

	jt_platform_response_parse(response, body);
	for (size_t i = 0; i < response->change_count; i++)
		check_change(&response->changes[i]);
	talloc_free(response);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct input input = {data, size};
	char text[TEXT_LIMIT];
	const char *key;
	json_t *item;

	if (sodium_init() < 0)
		abort();
	if (input_choose(&input, 4) == 0) {
		check_body(&input);
		return 0;
	}
	key = keys[input_choose(&input, sizeof(keys) / sizeof(keys[0]))];
	if (input_choose(&input, 4) == 0) {
		size_t length = input.remaining < TEXT_LIMIT ? input.remaining
							     : TEXT_LIMIT;

		item = item_make(key, input.data, length);
	} else {
		document_make(&input, text);
		item = item_make(key, (const uint8_t *)text, strlen(text));
	}
	check_page(item);
	json_decref(item);
	return 0;
}
