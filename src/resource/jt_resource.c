#include "jt_resource.h"
#include "jt_net.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	MAX_SLOTS = 1000000,
	MAX_CONNECTIONS = 10000000,
	MAX_WEIGHT = 1000000,
	DEFAULT_LOAD_PLACED_PERMILLE = 200,
	MAX_RESOURCES = 100000,
};

static const char *const kind_names[JT_RESOURCE_KIND_COUNT] = {
	[JT_RESOURCE_GROUP] = "groups",
	[JT_RESOURCE_SERVICE] = "services",
	[JT_RESOURCE_ENDPOINT] = "endpoints",
	[JT_RESOURCE_ADDRESS] = "addresses",
	[JT_RESOURCE_SHARE] = "shares",
};

static const char *const kind_fields[JT_RESOURCE_KIND_COUNT][9] = {
	[JT_RESOURCE_GROUP] = {"name", "version"},
	[JT_RESOURCE_SERVICE] = {"name", "kind", "free_permille", "version"},
	[JT_RESOURCE_ENDPOINT] = {"name", "service", "address", "health",
				  "slots", "connections", "draining",
				  "version"},
	[JT_RESOURCE_ADDRESS] = {"name", "address", "protocol", "service",
				 "group", "version"},
	[JT_RESOURCE_SHARE] = {"service", "group", "weight", "version"},
};

const char *jt_resource_kind_name(enum jt_resource_kind kind)
{
	return kind_names[kind];
}

enum jt_resource_kind jt_resource_kind_parse(const char *name)
{
	int kind = 0;

	while (kind < JT_RESOURCE_KIND_COUNT &&
	       strcmp(kind_names[kind], name) != 0)
		kind++;
	return kind;
}

static const char *string_field(const json_t *object, const char *field)
{
	const char *text = json_string_value(json_object_get(object, field));

	return text ? text : "";
}

const char *jt_resource_name(TALLOC_CTX *mem_ctx, enum jt_resource_kind kind,
			     const json_t *resource)
{
	if (kind == JT_RESOURCE_SHARE)
		return talloc_asprintf(mem_ctx, "%s/%s",
				       string_field(resource, "service"),
				       string_field(resource, "group"));
	return talloc_strdup(mem_ctx, string_field(resource, "name"));
}

size_t jt_resource_find(const json_t *document, enum jt_resource_kind kind,
			const char *name)
{
	const json_t *list = json_object_get(document, kind_names[kind]);
	TALLOC_CTX *frame = talloc_new(NULL);
	size_t found = SIZE_MAX;

	for (size_t i = 0; i < json_array_size(list); i++) {
		const char *other =
			jt_resource_name(frame, kind, json_array_get(list, i));

		if (other != NULL && strcmp(other, name) == 0) {
			found = i;
			break;
		}
	}
	talloc_free(frame);
	return found;
}

/* State of a build; kind and resource are the current ones, for errors. */
struct builder {
	struct jt_config *config;
	struct jt_resource_error *error;
	enum jt_resource_kind kind;
	const json_t *resource;
	/* Where to move invalid endpoints, and their errors; NULL: an invalid
	 * one is an error. */
	json_t *invalid;
	struct jt_resource_rejected *rejected;
};

__attribute__((format(printf, 3, 4))) static int
fail(struct builder *b, const char *field, const char *format, ...)
{
	va_list arguments;
	char name[2 * JT_NAME_SIZE + 2];

	if (b->kind == JT_RESOURCE_SHARE)
		snprintf(name, sizeof(name), "%.63s/%.63s",
			 string_field(b->resource, "service"),
			 string_field(b->resource, "group"));
	else
		snprintf(name, sizeof(name), "%.63s",
			 string_field(b->resource, "name"));
	snprintf(b->error->resource, sizeof(b->error->resource), "%s/%s",
		 kind_names[b->kind], name);
	snprintf(b->error->field, sizeof(b->error->field), "%s", field);
	va_start(arguments, format);
	vsnprintf(b->error->reason, sizeof(b->error->reason), format,
		  arguments);
	va_end(arguments);
	return -1;
}

static int check_fields(struct builder *b)
{
	const char *field;
	json_t *value;

	if (!json_is_object(b->resource))
		return fail(b, "", "must be an object");
	json_object_foreach ((json_t *)b->resource, field, value) {
		bool known = false;

		(void)value;
		for (size_t i = 0; i < 9 && kind_fields[b->kind][i]; i++) {
			if (strcmp(kind_fields[b->kind][i], field) == 0)
				known = true;
		}
		if (!known)
			return fail(b, field, "unknown field");
	}
	return 0;
}

static bool name_character(char c)
{
	return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
	       c == '.';
}

static int read_name(struct builder *b, char name[JT_NAME_SIZE])
{
	const json_t *value = json_object_get(b->resource, "name");
	const char *text = json_string_value(value);
	size_t length;

	if (text == NULL)
		return fail(b, "name", "missing, or not a string");
	length = strlen(text);
	if (length == 0 || length >= JT_NAME_SIZE)
		return fail(b, "name", "must have 1 to %d characters",
			    JT_NAME_SIZE - 1);
	for (size_t i = 0; i < length; i++) {
		if (!name_character(text[i]))
			return fail(b, "name",
				    "only a-z, 0-9, '-' and '.' are allowed");
	}
	memcpy(name, text, length + 1);
	return 0;
}

static int read_number(struct builder *b, const char *field, uint32_t minimum,
		       uint32_t maximum, int64_t default_value,
		       uint32_t *number)
{
	const json_t *value = json_object_get(b->resource, field);
	json_int_t integer;

	if (value == NULL && default_value >= 0) {
		*number = (uint32_t)default_value;
		return 0;
	}
	if (!json_is_integer(value))
		return fail(b, field, "missing, or not a whole number");
	integer = json_integer_value(value);
	if (integer < minimum || integer > maximum)
		return fail(b, field, "is %lld, allowed are %u to %u",
			    (long long)integer, minimum, maximum);
	*number = (uint32_t)integer;
	return 0;
}

static int read_address(struct builder *b, const char *field,
			struct jt_address *address)
{
	const char *text =
		json_string_value(json_object_get(b->resource, field));

	if (text == NULL)
		return fail(b, field, "missing, or not a string");
	if (jt_address_parse(text, address) != 0)
		return fail(b, field, "'%.40s' is not IPV4:PORT", text);
	return 0;
}

static int read_service(struct builder *b, uint32_t *service)
{
	const char *name =
		json_string_value(json_object_get(b->resource, "service"));

	if (name == NULL)
		return fail(b, "service", "missing, or not a string");
	for (size_t i = 0; i < b->config->service_count; i++) {
		if (strcmp(b->config->services[i].name, name) == 0) {
			*service = (uint32_t)i;
			return 0;
		}
	}
	return fail(b, "service", "there is no service '%.63s'", name);
}

static int read_group(struct builder *b, uint32_t *group)
{
	const char *name =
		json_string_value(json_object_get(b->resource, "group"));

	if (name == NULL)
		return fail(b, "group", "missing, or not a string");
	for (size_t i = 0; i < b->config->group_count; i++) {
		if (strcmp(b->config->groups[i].name, name) == 0) {
			*group = (uint32_t)i;
			return 0;
		}
	}
	return fail(b, "group", "there is no group '%.63s'", name);
}

static int build_group(struct builder *b)
{
	struct jt_config *config = b->config;
	struct jt_group_config *group = &config->groups[config->group_count];

	if (read_name(b, group->name) != 0)
		return -1;
	group->id = jt_name_id(group->name);
	for (size_t i = 0; i < config->group_count; i++) {
		if (config->groups[i].id == group->id)
			return fail(b, "name", "taken by group '%s'",
				    config->groups[i].name);
	}
	config->group_count++;
	return 0;
}

static int build_service(struct builder *b)
{
	struct jt_config *config = b->config;
	struct jt_service_config *service =
		&config->services[config->service_count];
	const char *kind = string_field(b->resource, "kind");

	if (read_name(b, service->name) != 0 ||
	    read_number(b, "free_permille", 0, 1000,
			DEFAULT_LOAD_PLACED_PERMILLE,
			&service->load_placed_permille) != 0)
		return -1;
	if (strcmp(kind, "stream") == 0)
		service->kind = JT_SERVICE_STREAM;
	else if (strcmp(kind, "request") == 0)
		service->kind = JT_SERVICE_REQUEST;
	else
		return fail(b, "kind",
			    "is '%.40s', allowed are 'stream' and 'request'",
			    kind);
	service->id = jt_name_id(service->name);
	for (size_t i = 0; i < config->service_count; i++) {
		if (config->services[i].id == service->id)
			return fail(b, "name", "taken by service '%s'",
				    config->services[i].name);
	}
	config->service_count++;
	return 0;
}

static int check_endpoint_unique(struct builder *b,
				 const struct jt_endpoint_config *endpoint)
{
	const struct jt_config *config = b->config;

	for (size_t i = 0; i < config->endpoint_count; i++) {
		const struct jt_endpoint_config *other = &config->endpoints[i];

		if (other->id == endpoint->id)
			return fail(b, "name", "taken by endpoint '%s'",
				    other->name);
		if (jt_address_same(other->address, endpoint->address))
			return fail(b, "address",
				    "used by endpoint '%s' of service '%s'",
				    other->name,
				    config->services[other->service].name);
	}
	return 0;
}

static int build_endpoint(struct builder *b)
{
	struct jt_config *config = b->config;
	struct jt_endpoint_config *endpoint =
		&config->endpoints[config->endpoint_count];
	const json_t *draining = json_object_get(b->resource, "draining");

	if (read_name(b, endpoint->name) != 0 ||
	    read_service(b, &endpoint->service) != 0 ||
	    read_address(b, "address", &endpoint->address) != 0 ||
	    read_address(b, "health", &endpoint->health) != 0 ||
	    read_number(b, "slots", 1, MAX_SLOTS, -1, &endpoint->slots) != 0 ||
	    read_number(b, "connections", 1, MAX_CONNECTIONS, -1,
			&endpoint->connections) != 0)
		return -1;
	if (draining != NULL && !json_is_boolean(draining))
		return fail(b, "draining", "must be true or false");
	endpoint->draining = json_is_true(draining);
	endpoint->id = jt_name_id(endpoint->name);
	if (check_endpoint_unique(b, endpoint) != 0)
		return -1;
	config->endpoint_count++;
	return 0;
}

static int build_address(struct builder *b)
{
	struct jt_config *config = b->config;
	struct jt_address_config *address =
		&config->addresses[config->address_count];
	const char *protocol = string_field(b->resource, "protocol");

	if (read_name(b, address->name) != 0 ||
	    read_address(b, "address", &address->address) != 0 ||
	    read_service(b, &address->service) != 0 ||
	    read_group(b, &address->group) != 0)
		return -1;
	if (strcmp(protocol, "tcp") != 0)
		return fail(b, "protocol", "is '%.40s', allowed is 'tcp'",
			    protocol);
	address->protocol = JT_PROTOCOL_TCP;
	for (size_t i = 0; i < config->address_count; i++) {
		const struct jt_address_config *other = &config->addresses[i];

		if (strcmp(other->name, address->name) == 0)
			return fail(b, "name", "is duplicate");
		if (jt_address_same(other->address, address->address))
			return fail(b, "address", "used by address '%s'",
				    other->name);
	}
	config->address_count++;
	return 0;
}

static int build_share(struct builder *b)
{
	struct jt_config *config = b->config;
	struct jt_share_config *share = &config->shares[config->share_count];

	if (read_service(b, &share->service) != 0 ||
	    read_group(b, &share->group) != 0 ||
	    read_number(b, "weight", 1, MAX_WEIGHT, -1, &share->weight) != 0)
		return -1;
	for (size_t i = 0; i < config->share_count; i++) {
		if (config->shares[i].service == share->service &&
		    config->shares[i].group == share->group)
			return fail(b, "group", "has a share already");
	}
	config->share_count++;
	return 0;
}

/* Checks that each address has a share; without one it would reject every
 * client. */
static int check_shares(struct builder *b, const json_t *addresses)
{
	const struct jt_config *config = b->config;

	b->kind = JT_RESOURCE_ADDRESS;
	for (size_t i = 0; i < config->address_count; i++) {
		const struct jt_address_config *address = &config->addresses[i];
		bool found = false;

		for (size_t s = 0; s < config->share_count; s++) {
			if (config->shares[s].service == address->service &&
			    config->shares[s].group == address->group)
				found = true;
		}
		if (found)
			continue;
		b->resource = json_array_get(addresses, i);
		return fail(b, "group", "'%s' has no share of service '%s'",
			    config->groups[address->group].name,
			    config->services[address->service].name);
	}
	return 0;
}

static int address_compare(const void *left, const void *right)
{
	const struct jt_address_config *a = left;
	const struct jt_address_config *b = right;

	if (a->address.ip != b->address.ip)
		return a->address.ip < b->address.ip ? -1 : 1;
	if (a->address.port != b->address.port)
		return a->address.port < b->address.port ? -1 : 1;
	return a->protocol - b->protocol;
}

/* Moves entry @index of the list, which is invalid, to those left out. */
static void reject(struct builder *b, json_t *list, size_t index)
{
	struct jt_resource_rejected *rejected = b->rejected;

	json_array_append(b->invalid, json_array_get(list, index));
	json_array_remove(list, index);

	if (rejected->count < JT_REJECTED_LIMIT)
		rejected->errors[rejected->count++] = *b->error;
	else
		rejected->more++;
	memset(b->error, 0, sizeof(*b->error));
}

static int build_kind(struct builder *b, json_t *list)
{
	static int (*const builders[JT_RESOURCE_KIND_COUNT])(
		struct builder *) = {
		[JT_RESOURCE_GROUP] = build_group,
		[JT_RESOURCE_SERVICE] = build_service,
		[JT_RESOURCE_ENDPOINT] = build_endpoint,
		[JT_RESOURCE_ADDRESS] = build_address,
		[JT_RESOURCE_SHARE] = build_share,
	};

	b->resource = NULL;
	if (list != NULL && !json_is_array(list))
		return fail(b, "", "must be a list");
	for (size_t i = 0; i < json_array_size(list);) {
		b->resource = json_array_get(list, i);
		if (check_fields(b) == 0 && builders[b->kind](b) == 0) {
			i++;
			continue;
		}
		if (b->invalid == NULL || b->kind != JT_RESOURCE_ENDPOINT)
			return -1;
		reject(b, list, i);
	}
	return 0;
}

static int check_kinds(struct builder *b, const json_t *document)
{
	const char *kind;
	json_t *list;

	json_object_foreach ((json_t *)document, kind, list) {
		if (strcmp(kind, "write_ids") == 0)
			continue;
		if (jt_resource_kind_parse(kind) == JT_RESOURCE_KIND_COUNT) {
			snprintf(b->error->resource, sizeof(b->error->resource),
				 "%.63s", kind);
			b->error->field[0] = '\0';
			snprintf(b->error->reason, sizeof(b->error->reason),
				 "unknown kind of resource");
			return -1;
		}
		b->kind = jt_resource_kind_parse(kind);
		if (json_array_size(list) > MAX_RESOURCES)
			return fail(b, "", "more than %d", MAX_RESOURCES);
	}
	return 0;
}

static struct jt_config *allocate_config(TALLOC_CTX *mem_ctx,
					 const json_t *document)
{
	struct jt_config *config = talloc_zero(mem_ctx, struct jt_config);
	size_t capacity[JT_RESOURCE_KIND_COUNT];

	if (config == NULL)
		return NULL;
	for (int k = 0; k < JT_RESOURCE_KIND_COUNT; k++)
		capacity[k] = json_array_size(json_object_get(document,
							      kind_names[k])) +
			      1;
	config->groups = talloc_zero_array(config, struct jt_group_config,
					   capacity[JT_RESOURCE_GROUP]);
	config->services = talloc_zero_array(config, struct jt_service_config,
					     capacity[JT_RESOURCE_SERVICE]);
	config->endpoints = talloc_zero_array(config, struct jt_endpoint_config,
					      capacity[JT_RESOURCE_ENDPOINT]);
	config->addresses = talloc_zero_array(config, struct jt_address_config,
					      capacity[JT_RESOURCE_ADDRESS]);
	config->shares = talloc_zero_array(config, struct jt_share_config,
					   capacity[JT_RESOURCE_SHARE]);
	if (config->groups == NULL || config->services == NULL ||
	    config->endpoints == NULL || config->addresses == NULL ||
	    config->shares == NULL)
		TALLOC_FREE(config);
	return config;
}

/* Builds a configuration; @b has the error and what to do with invalid
 * endpoints. */
static struct jt_config *build(TALLOC_CTX *mem_ctx, const json_t *document,
			       uint64_t revision, struct builder b)
{
	struct jt_resource_error *error = b.error;

	memset(error, 0, sizeof(*error));
	if (!json_is_object(document)) {
		snprintf(error->reason, sizeof(error->reason),
			 "the document must be an object");
		return NULL;
	}
	if (check_kinds(&b, document) != 0)
		return NULL;
	b.config = allocate_config(mem_ctx, document);
	if (b.config == NULL) {
		snprintf(error->reason, sizeof(error->reason), "out of memory");
		return NULL;
	}
	b.config->revision = revision;
	for (int kind = 0; kind < JT_RESOURCE_KIND_COUNT; kind++) {
		b.kind = kind;
		if (build_kind(&b, json_object_get(document,
						   kind_names[kind])) != 0)
			goto fail;
	}
	if (check_shares(&b, json_object_get(document, "addresses")) != 0)
		goto fail;
	qsort(b.config->addresses, b.config->address_count,
	      sizeof(struct jt_address_config), address_compare);
	return b.config;
fail:
	talloc_free(b.config);
	return NULL;
}

struct jt_config *jt_resource_build(TALLOC_CTX *mem_ctx, const json_t *document,
				    uint64_t revision,
				    struct jt_resource_error *error)
{
	return build(mem_ctx, document, revision,
		     (struct builder){.error = error});
}

json_t *jt_resource_take_invalid(json_t *document,
				 struct jt_resource_rejected *rejected)
{
	struct jt_resource_error error;
	json_t *invalid = json_array();

	memset(rejected, 0, sizeof(*rejected));
	if (invalid == NULL)
		return NULL;
	/* Errors of other resources are left to the caller's own build. */
	talloc_free(build(NULL, document, 0,
			  (struct builder){
				  .error = &error,
				  .rejected = rejected,
				  .invalid = invalid,
			  }));
	return invalid;
}
