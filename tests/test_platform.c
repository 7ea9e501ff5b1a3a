/* Tests of the platform adapter: packets, store documents, keys and the
 * rejection of malformed ones. */
#include "test.h"

#include "jt_platform.h"
#include "jt_net.h"

#include <stdio.h>
#include <sodium.h>

static json_t *make_item(const char *key, const char *value)
{
	char text[8192];

	sodium_bin2base64(text, sizeof(text), (const uint8_t *)value,
			  strlen(value), sodium_base64_VARIANT_ORIGINAL);
	return json_pack("{s:s, s:s, s:i, s:i}", "tlsKey", key, "value", text,
			 "revision", 412, "created", 410);
}

/* Parses a store item into @change; returns its kind. */
static enum jt_directory_change_kind
read_change(const char *key, const char *value,
	    struct jt_directory_change *change)
{
	json_t *item = make_item(key, value);

	assert_true(jt_platform_item_parse(NULL, item, change));
	json_decref(item);
	return change->kind;
}

static void test_packet_round_trip(void **state)
{
	/* SYN from 100.64.0.7:40001 to 198.18.0.1:443, seq 0x11223344 */
	static const uint8_t syn[] = {0x07, 0x00, 0x40, 0x64, 0x41, 0x9c, 0xbb,
				      0x01, 0x01, 0x00, 0x12, 0xc6, 0x00, 0x00,
				      0x00, 0x00, 0xd5, 0xc3, 0xb2, 0xa1, 0x44,
				      0x33, 0x22, 0x11, 0x00, 0x00, 0x00, 0x00,
				      0x04, 0x00, 0x00, 0x00};
	static const uint8_t reset[] = {
		0x01, 0x00, 0x12, 0xc6, 0xbb, 0x01, 0x41, 0x9c,
		0x07, 0x00, 0x40, 0x64, 0x00, 0x00, 0x00, 0x00,
		0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
		0x00, 0x00, 0x00, 0x00, 0x10, 0x00, 0x00, 0x00};
	uint8_t buffer[8 + sizeof(syn)], out[JT_RESET_MAX];
	struct jt_label_packet packet;

	(void)state;
	assert_true(jt_platform_codec.parse(syn, sizeof(syn), &packet));
	assert_int_equal(packet.flags, JT_PACKET_SYN);
	assert_int_equal(packet.key.source, 0x64400007);
	assert_int_equal(packet.key.source_port, 40001);
	assert_int_equal(packet.key.destination, 0xc6120001);
	assert_int_equal(packet.key.destination_port, 443);
	assert_int_equal(packet.sequence, 0x11223344);
	assert_int_equal(jt_platform_codec.reset(&packet.key, 0, out),
			 sizeof(reset));
	assert_memory_equal(out, reset, sizeof(reset));
	memcpy(buffer + 8, syn, sizeof(syn));
	assert_int_equal(jt_platform_codec.wrap(buffer + 8, 0x7f3a91c2, 0xabcd),
			 8);
	assert_memory_equal(buffer, "\0\0\0\0\x7f\x3a\x91\xc2", 8);
	/* Only the label has changed. */
	assert_memory_equal(buffer + 8, syn, 12);
	assert_memory_equal(buffer + 20, "\xcd\xab\0\0", 4);
	assert_memory_equal(buffer + 24, syn + 16, sizeof(syn) - 16);
}

static void test_malformed_packets(void **state)
{
	uint8_t data[1300] = {0};
	struct jt_label_packet packet;

	(void)state;
	assert_false(jt_platform_codec.parse(data, 0, &packet));
	assert_false(jt_platform_codec.parse(data, 31, &packet));
	assert_false(jt_platform_codec.parse(data, 33, &packet));
	assert_false(jt_platform_codec.parse(data, 1300, &packet));
	data[30] = 4;
	assert_true(jt_platform_codec.parse(data, 36, &packet));
	assert_false(jt_platform_codec.parse(data, 35, &packet));
}

static void test_request_id(void **state)
{
	uint8_t data[256] = {0};
	const char *text = "GET / HTTP/1.1\r\nRequest-Id: abc123\r\n\r\n";
	char id[64] = "";

	(void)state;
	memcpy(data + 32, text, strlen(text) + 1);
	jt_platform_codec.request_id(data, 32 + strlen(text), id, sizeof(id));
	assert_string_equal(id, "abc123");
	id[0] = '\0';
	/* The packet ends within the id. */
	jt_platform_codec.request_id(data, 32 + 33, id, sizeof(id));
	assert_string_equal(id, "");
}

static void test_endpoint(void **state)
{
	struct jt_directory_change change;

	(void)state;
	assert_int_equal(
		read_change("servers/i-7f3a91c2",
			    "{\"service\":\"huvo11a\",\"address\":"
			    "\"10.128.0.9:8080\",\"zone\":\"scl-quilicura\","
			    "\"version\":\"v1\",\"capacity\":2,\"state\":"
			    "\"draining\",\"coldLeftMs\":70,\"callCount\":4}",
			    &change),
		JT_DIRECTORY_CHANGE_ENDPOINT);
	assert_int_equal(change.endpoint.id, 0x7f3a91c2);
	assert_int_equal(change.endpoint.service_id, jt_name_id("huvo11a"));
	assert_int_equal(change.endpoint.capacity, 2);
	assert_int_equal(change.endpoint.cold_left_ms, 70);
	assert_int_equal(change.endpoint.revision, 412);
	assert_int_equal(change.endpoint.created_revision, 410);
	assert_true(change.endpoint.draining);
}

static void test_zone(void **state)
{
	struct jt_directory_change change;
	json_t *removed =
		json_pack("{s:s, s:i, s:b}", "tlsKey", "op/evacuate/scl-renca",
			  "revision", 500, "gone", true);

	(void)state;
	assert_int_equal(read_change("op/evacuate/scl-renca", "{}", &change),
			 JT_DIRECTORY_CHANGE_ZONE);
	assert_string_equal(change.zone.zone, "scl-renca");
	assert_int_equal(change.zone.revision, 412);
	assert_true(change.zone.draining);
	assert_true(jt_platform_item_parse(NULL, removed, &change));
	assert_int_equal(change.kind, JT_DIRECTORY_CHANGE_ZONE);
	assert_int_equal(change.zone.revision, 500);
	assert_false(change.zone.draining);
	json_decref(removed);
	assert_int_equal(read_change("op/evacuate/", "{}", &change),
			 JT_DIRECTORY_CHANGE_INVALID);
	assert_string_equal(change.field, "zone");
}

static void expect_invalid(const char *key, const char *value,
			   const char *field)
{
	struct jt_directory_change change;

	assert_int_equal(read_change(key, value, &change),
			 JT_DIRECTORY_CHANGE_INVALID);
	assert_string_equal(change.field, field);
	assert_non_null(change.reason);
	assert_string_equal(change.key, key);
}

static void test_invalid_documents(void **state)
{
	(void)state;
	expect_invalid("servers/i-1", "{", "value");
	expect_invalid("servers/i-1", "{}", "service");
	expect_invalid("servers/i-1", "{\"service\":\"a\",\"address\":\"x\"}",
		       "address");
	expect_invalid("servers/i-1",
		       "{\"service\":\"a\",\"address\":\"10.0.0.1:80\","
		       "\"state\":\"asleep\"}",
		       "state");
	expect_invalid("servers/none", "{\"service\":\"a\"}", "id");
	expect_invalid("op/config", "[]", "version");
	expect_invalid("op/config", "{\"version\":3}", "routes");
	expect_invalid("op/config",
		       "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":"
		       "\"x\"}]}",
		       "host");
	expect_invalid("op/config",
		       "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":"
		       "\"198.18.0.1\",\"pathPrefix\":\"443\"}]}",
		       "pathPrefix");
	expect_invalid("op/config",
		       "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":"
		       "\"198.18.0.1\",\"pathPrefix\":\"/443/\"}]}",
		       "backends");
	expect_invalid("op/config",
		       "{\"version\":3,\"routes\":[{\"name\":\"a\",\"host\":"
		       "\"198.18.0.1\",\"pathPrefix\":\"/443/\",\"service\":"
		       "\"s\"},{\"name\":\"b\",\"host\":\"198.18.0.1\","
		       "\"pathPrefix\":\"/443/\",\"service\":\"s\"}],"
		       "\"services\":[]}",
		       "routes");
}

/* Returns a valid endpoint entry with the JSON text @value for @field; NULL
 * leaves the field out. */
static char *make_entry(const char *field, const char *value)
{
	static const char *const fields[][2] = {
		{"service", "\"counter\""}, {"address", "\"10.128.0.9:8080\""},
		{"zone", "\"regina\""},	    {"version", "\"v1\""},
		{"capacity", "2"},	    {"state", "\"ready\""},
		{"coldLeftMs", "0"},	    {"callCount", "4"},
		{"born", "1764740000000"},
	};
	char *text = talloc_strdup(NULL, "{");

	for (size_t i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
		const char *json = fields[i][1];

		if (strcmp(fields[i][0], field) == 0)
			json = value;
		if (json != NULL)
			text = talloc_asprintf_append(text, "%s\"%s\":%s",
						      text[1] ? "," : "",
						      fields[i][0], json);
	}
	return talloc_asprintf_append(text, "}");
}

static void test_incarnation_start_time(void **state)
{
	struct jt_directory_change change;
	char *text = make_entry("callCount", "0");

	(void)state;
	assert_int_equal(read_change("servers/i-7f3a91c2", text, &change),
			 JT_DIRECTORY_CHANGE_ENDPOINT);
	assert_int_equal(change.endpoint.start_time_ms, 1764740000000);
	talloc_free(text);
	text = make_entry("born", NULL);
	assert_int_equal(read_change("servers/i-7f3a91c2", text, &change),
			 JT_DIRECTORY_CHANGE_ENDPOINT);
	assert_int_equal(change.endpoint.start_time_ms, 0);
	talloc_free(text);
}

/* The field callCount has no effect on the parsed entry. */
static void test_call_count_is_ignored(void **state)
{
	static const char *const counts[] = {"0", "4", "4000000000",
					     "9000000000000000000"};
	struct jt_directory_change first, change;

	(void)state;
	for (size_t i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
		char *text = make_entry("callCount", counts[i]);

		assert_int_equal(
			read_change("servers/i-7f3a91c2", text, &change),
			JT_DIRECTORY_CHANGE_ENDPOINT);
		if (i == 0)
			first = change;
		assert_memory_equal(&change.endpoint, &first.endpoint,
				    sizeof(first.endpoint));
		talloc_free(text);
	}
}

/* Malformed or missing fields are rejected and named; NULL: missing. */
static void test_malformed_fields(void **state)
{
	static const struct {
		const char *field;
		const char *value;
	} cases[] = {
		{"service", NULL},
		{"service", "7"},
		{"service", "\"\""},
		{"service", "[\"counter\"]"},
		{"address", NULL},
		{"address", "8080"},
		{"address", "\"10.128.0.9\""},
		{"address", "\"10.128.0.9:\""},
		{"address", "\"10.128.0.9:0\""},
		{"address", "\"10.128.0.9:99999\""},
		{"address", "\"10.128.0.9:65536\""},
		{"address", "\"10.128.0.9:-1\""},
		{"address", "\"10.128.0.9:4294967376\""},
		{"address", "\"10.128.0.9:18446744073709559696\""},
		{"address", "\"10.128.0.9:80 \""},
		{"address", "\"10.128.0.9: 80\""},
		{"address", "\"host:8080\""},
		{"address", "\"[::1]:8080\""},
		{"zone", NULL},
		{"zone", "null"},
		{"zone", "1"},
		{"version", NULL},
		{"version", "1"},
		{"capacity", NULL},
		{"capacity", "\"2\""},
		{"capacity", "-2"},
		{"capacity", "2.0"},
		{"capacity", "1e3"},
		{"capacity", "99999999999"},
		{"capacity", "4294967296"},
		{"coldLeftMs", "9223372036854775807"},
		{"callCount", "-1"},
		{"callCount", "4.0"},
		{"state", NULL},
		{"state", "true"},
		{"state", "\"asleep\""},
		{"state", "\"READY\""},
		{"coldLeftMs", NULL},
		{"coldLeftMs", "\"70\""},
		{"coldLeftMs", "-1"},
		{"coldLeftMs", "70.5"},
		{"callCount", NULL},
		{"callCount", "\"4\""},
		{"callCount", "{}"},
		{"born", "\"1764740000000\""},
		{"born", "1764740000000.5"},
		{"born", "1.7e12"},
		{"born", "-5"},
		{"born", "0"},
		{"born", "null"},
		{"born", "true"},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		char *text = make_entry(cases[i].field, cases[i].value);

		expect_invalid("servers/i-1", text, cases[i].field);
		talloc_free(text);
	}
}

/* Values that are not a valid JSON object are rejected. */
static void test_malformed_values(void **state)
{
	static const char *const values[] = {
		"",
		"null",
		"7",
		"\"ready\"",
		"[{}]",
		"{\"service\":\"a\",\"service\":\"b\"}",
		"{\"capacity\":123456789012345678901234567890}",
		"{\"capacity\":1e999}",
		"{\"service\":\"a\\u0000b\"}",
		"\xff\xfe{}",
	};
	char deep[4096];
	json_t *item;
	struct jt_directory_change change;

	(void)state;
	for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++)
		expect_invalid("servers/i-1", values[i], "value");
	memset(deep, '[', sizeof(deep) - 1);
	deep[sizeof(deep) - 1] = '\0';
	expect_invalid("servers/i-1", deep, "value");
	/* Values that are not base64. */
	item = json_pack("{s:s, s:s, s:i}", "tlsKey", "servers/i-1", "value",
			 "*", "revision", 5);
	assert_true(jt_platform_item_parse(NULL, item, &change));
	assert_int_equal(change.kind, JT_DIRECTORY_CHANGE_INVALID);
	json_object_set_new(item, "value", json_integer(7));
	assert_true(jt_platform_item_parse(NULL, item, &change));
	assert_int_equal(change.kind, JT_DIRECTORY_CHANGE_INVALID);
	/* The id and the revision of the entry are still reported. */
	assert_int_equal(change.endpoint.id, 1);
	assert_int_equal(change.endpoint.revision, 5);
	json_decref(item);
}

/* Guards against an entry whose decoded document takes more memory than a small
 * node has, so that every node that lists it is ended. */
static void test_large_entry_is_not_decoded(void **state)
{
	enum { LISTS = 400000 };
	char *lists = test_repeat(NULL, "[],", LISTS), *text, *digits;
	struct jt_directory_change change;
	size_t length, size;
	json_t *item;

	(void)state;
	text = make_entry("", NULL);
	length = strlen(text);
	/* A field more, which the entry's reader doesn't know. */
	text = talloc_asprintf(lists, "%.*s,\"more\":[%s[]]}", (int)length - 1,
			       text, lists);
	length = strlen(text);
	size = sodium_base64_ENCODED_LEN(length,
					 sodium_base64_VARIANT_ORIGINAL);
	digits = talloc_size(lists, size);
	sodium_bin2base64(digits, size, (const uint8_t *)text, length,
			  sodium_base64_VARIANT_ORIGINAL);
	item = json_pack("{s:s, s:s, s:i}", "tlsKey", "servers/i-1", "value",
			 digits, "revision", 5);
	assert_true(jt_platform_item_parse(NULL, item, &change));
	assert_int_equal(change.kind, JT_DIRECTORY_CHANGE_INVALID);
	assert_string_equal(change.field, "value");
	assert_int_equal(change.endpoint.id, 1);
	assert_int_equal(change.endpoint.revision, 5);
	json_decref(item);
	talloc_free(lists);
}

/* Malformed keys below servers/ are rejected. */
static void test_malformed_keys(void **state)
{
	static const char *const keys[] = {
		"servers/",	     "servers/i-",
		"servers/i-xyz",     "servers/i-11112222333344445",
		"servers/i-0x1f",    "servers/i- 1f",
		"servers/i-+1f",     "servers/i-1f/more",
		"servers/more/i-1f", "servers/i-1f ",
	};
	char *text = make_entry("", NULL);

	(void)state;
	for (size_t i = 0; i < sizeof(keys) / sizeof(keys[0]); i++) {
		struct jt_directory_change change;

		assert_int_equal(read_change(keys[i], text, &change),
				 JT_DIRECTORY_CHANGE_INVALID);
		assert_string_equal(change.field, "id");
		assert_int_equal(change.endpoint.id, 0);
		/* The reported key can't inject a log line. */
		assert_null(strpbrk(change.key, " \n\""));
	}
	talloc_free(text);
}

/* Any key can be escaped for the query of the next page. */
static void test_key_escaping(void **state)
{
	char *text = jt_platform_escape(NULL, "servers/i-7f");

	(void)state;
	assert_string_equal(text, "servers/i-7f");
	talloc_free(text);
	text = jt_platform_escape(NULL, "servers/a&after=%\n\xc3");
	assert_string_equal(text, "servers/a%26after%3D%25%0A%C3");
	talloc_free(text);
}

/* Malformed items of a page must not affect the other items or paging. */
static void test_malformed_items_do_not_affect_others(void **state)
{
	struct jt_kv_response *response =
		talloc_zero(NULL, struct jt_kv_response);
	char *text = make_entry("", NULL), *body;
	json_t *good = make_item("servers/i-2", text);
	json_t *page = json_pack(
		"{s:i, s:b, s:[o, {s:s, s:s, s:i}, {s:i}, s, {s:s%, s:s}, o]}",
		"at", 500, "more", true, "items", good, "tlsKey", "servers/i-1",
		"value", "e30", "revision", 413, "tlsKey", 7, "no item",
		"tlsKey", "servers/i-3\0x", (size_t)13, "value",
		"e30=", make_item("servers/i-4", text));

	(void)state;
	assert_non_null(page);
	body = json_dumps(page, 0);
	jt_platform_response_parse(response, body);
	assert_int_equal(response->status, JT_KV_OK);
	assert_int_equal(response->revision, 500);
	assert_true(response->more);
	assert_int_equal(response->change_count, 3);
	assert_int_equal(response->changes[0].kind,
			 JT_DIRECTORY_CHANGE_ENDPOINT);
	assert_int_equal(response->changes[1].kind,
			 JT_DIRECTORY_CHANGE_INVALID);
	assert_int_equal(response->changes[1].revision, 413);
	assert_int_equal(response->changes[2].kind,
			 JT_DIRECTORY_CHANGE_ENDPOINT);
	assert_int_equal(response->changes[2].endpoint.id, 4);
	assert_string_equal(response->last_key, "servers/i-4");
	free(body);
	json_decref(page);
	talloc_free(text);
	talloc_free(response);
}

static void test_config(void **state)
{
	struct jt_directory_change change;

	(void)state;
	assert_int_equal(
		read_change(
			"op/config",
			"{\"version\":7,\"routes\":[{\"name\":\"r-a\",\"host\":"
			"\"198.18.0.1\",\"pathPrefix\":\"/8443/\",\"priority\":"
			"2,\"targetLatencyMs\":250,\"backends\":[{\"service\":"
			"\"a\",\"weight\":90},"
			"{\"service\":\"b\",\"weight\":10}]}],\"services\":[{"
			"\"name\":\"a\",\"healthPath\":\"/health\",\"maxConns\""
			":2000,\"coldPerS\":2.5}],\"limits\":{"
			"\"idleTimeoutMs\":15000}}",
			&change),
		JT_DIRECTORY_CHANGE_ROUTING);
	assert_int_equal(change.routing->version, 7);
	assert_int_equal(change.routing->flow_idle_ms, 15000);
	assert_int_equal(change.routing->routes[0].address.port, 8443);
	assert_int_equal(change.routing->routes[0].parts[0].weight, 90);
	assert_int_equal(change.routing->routes[0].priority, 2);
	assert_int_equal(change.routing->routes[0].target_ms, 250);
	assert_string_equal(change.routing->services[0].health_path, "/health");
	assert_int_equal(change.routing->services[0].cold_permille, 2500);
	talloc_free(change.routing);
}

static void test_unknown_keys_are_ignored(void **state)
{
	json_t *item = make_item("my/key", "{}");
	struct jt_directory_change change;

	(void)state;
	assert_false(jt_platform_item_parse(NULL, item, &change));
	json_decref(item);
}

/* Recognises the keys that sort after those of all zone drains. */
static void test_keys_after_drains_of_zones(void **state)
{
	(void)state;
	assert_false(jt_platform_key_after_zones("op/config"));
	assert_false(jt_platform_key_after_zones("op/evacuate/scl-lampa"));
	assert_true(jt_platform_key_after_zones("servers/planilla-7b3c"));
	assert_true(jt_platform_key_after_zones("status/x"));
}

static void test_endpoint_ids(void **state)
{
	(void)state;
	assert_int_equal(jt_platform_endpoint_id("i-7f3a91c2"), 0x7f3a91c2);
	assert_int_equal(jt_platform_endpoint_id("i-392183b00d"),
			 0x392183b00dull);
	assert_int_equal(jt_platform_endpoint_id("i-"), 0);
	assert_int_equal(jt_platform_endpoint_id("i-xyz"), 0);
	assert_int_equal(jt_platform_endpoint_id("i-11112222333344445"), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_packet_round_trip),
		cmocka_unit_test(test_malformed_packets),
		cmocka_unit_test(test_request_id),
		cmocka_unit_test(test_endpoint),
		cmocka_unit_test(test_zone),
		cmocka_unit_test(test_invalid_documents),
		cmocka_unit_test(test_incarnation_start_time),
		cmocka_unit_test(test_call_count_is_ignored),
		cmocka_unit_test(test_malformed_fields),
		cmocka_unit_test(test_malformed_values),
		cmocka_unit_test(test_large_entry_is_not_decoded),
		cmocka_unit_test(test_malformed_keys),
		cmocka_unit_test(test_key_escaping),
		cmocka_unit_test(test_malformed_items_do_not_affect_others),
		cmocka_unit_test(test_config),
		cmocka_unit_test(test_unknown_keys_are_ignored),
		cmocka_unit_test(test_endpoint_ids),
		cmocka_unit_test(test_keys_after_drains_of_zones),
	};

	if (sodium_init() < 0)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
