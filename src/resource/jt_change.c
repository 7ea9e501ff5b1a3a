#include "jt_change.h"

#include <stdio.h>
#include <string.h>

static void set_error(struct jt_resource_error *error,
		      const struct jt_change *change, const char *field,
		      const char *reason)
{
	snprintf(error->resource, sizeof(error->resource), "%s/%.127s",
		 jt_resource_kind_name(change->kind), change->name);
	snprintf(error->field, sizeof(error->field), "%s", field);
	snprintf(error->reason, sizeof(error->reason), "%s", reason);
}

static uint64_t resource_version(const json_t *resource)
{
	return (uint64_t)json_integer_value(
		json_object_get(resource, "version"));
}

static enum jt_change_result check_version(const struct jt_change *change,
					   const json_t *current,
					   struct jt_resource_error *error)
{
	char reason[96];

	if (!change->has_version)
		return JT_CHANGE_OK;
	if (change->version == resource_version(current))
		return JT_CHANGE_OK;
	snprintf(reason, sizeof(reason),
		 "is %llu now, the change was made from %llu",
		 (unsigned long long)resource_version(current),
		 (unsigned long long)change->version);
	set_error(error, change, "version", reason);
	return JT_CHANGE_CONFLICT;
}

static enum jt_change_result check_group(const struct jt_change *change,
					 const json_t *current,
					 struct jt_resource_error *error)
{
	const char *group =
		json_string_value(json_object_get(current, "group"));

	if (current == NULL || change->required_group == NULL ||
	    (group != NULL && strcmp(group, change->required_group) == 0))
		return JT_CHANGE_OK;
	set_error(error, change, "group",
		  "is not the group for which the token is valid");
	return JT_CHANGE_FORBIDDEN;
}

static json_t *get_or_create_list(json_t *document, enum jt_resource_kind kind)
{
	const char *name = jt_resource_kind_name(kind);
	json_t *list = json_object_get(document, name);

	if (list == NULL) {
		json_object_set_new(document, name, json_array());
		list = json_object_get(document, name);
	}
	return list;
}

/* Returns true if the resources are equal except for their versions. */
static bool unchanged(const json_t *current, const json_t *wanted)
{
	json_t *copy = json_deep_copy(wanted);
	bool same;

	json_object_set(copy, "version", json_object_get(current, "version"));
	same = json_equal(copy, (json_t *)current);
	json_decref(copy);
	return same;
}

static enum jt_change_result apply_one(json_t *document,
				       const struct jt_change *change,
				       struct jt_resource_error *error)
{
	json_t *list = get_or_create_list(document, change->kind);
	size_t index = jt_resource_find(document, change->kind, change->name);
	json_t *current =
		index == SIZE_MAX ? NULL : json_array_get(list, index);
	enum jt_change_result result = check_group(change, current, error);
	json_t *copy;

	if (result == JT_CHANGE_OK)
		result = check_version(change, current, error);
	if (result != JT_CHANGE_OK)
		return result;
	if (change->resource == NULL) {
		if (current == NULL) {
			set_error(error, change, "", "does not exist");
			return JT_CHANGE_NOT_FOUND;
		}
		json_array_remove(list, index);
		return JT_CHANGE_OK;
	}
	if (current != NULL && unchanged(current, change->resource))
		return JT_CHANGE_OK;
	copy = json_deep_copy(change->resource);
	json_object_set_new(
		copy, "version",
		json_integer((json_int_t)resource_version(current) + 1));
	if (current != NULL)
		json_array_set_new(list, index, copy);
	else
		json_array_append_new(list, copy);
	return JT_CHANGE_OK;
}

static void add_write_id(json_t *document, const char *write_id)
{
	json_t *ids = json_object_get(document, "write_ids");

	if (ids == NULL) {
		json_object_set_new(document, "write_ids", json_array());
		ids = json_object_get(document, "write_ids");
	}
	while (json_array_size(ids) >= JT_WRITE_IDS)
		json_array_remove(ids, 0);
	json_array_append_new(ids, json_string(write_id));
}

/* Returns 0 if the resources are within JT_DOCUMENT_BYTES, otherwise -1 with
 * @error set. */
static int check_size(const json_t *document, struct jt_resource_error *error)
{
	const json_t *ids = json_object_get(document, "write_ids");
	size_t bytes = json_dumpb(document, NULL, 0, JSON_COMPACT);

	if (ids != NULL)
		bytes -= json_dumpb(ids, NULL, 0, JSON_COMPACT);
	if (bytes <= JT_DOCUMENT_BYTES)
		return 0;
	memset(error, 0, sizeof(*error));
	snprintf(error->resource, sizeof(error->resource), "document");
	snprintf(error->reason, sizeof(error->reason),
		 "all resources together take %zu bytes, allowed are %d", bytes,
		 JT_DOCUMENT_BYTES);
	return -1;
}

/* Returns true if one of the changes is about the endpoint @resource. */
static bool endpoint_is_changed(const json_t *resource,
				const struct jt_change *changes, size_t count)
{
	const char *name = json_string_value(json_object_get(resource, "name"));

	for (size_t i = 0; i < count && name != NULL; i++) {
		if (changes[i].kind == JT_RESOURCE_ENDPOINT &&
		    strcmp(changes[i].name, name) == 0)
			return true;
	}
	return false;
}

/* Removes the invalid endpoints of another writer from the document, except for
 * those that a change is about: they must not block changes of other resources.
 * Returns them as a list, a new reference. */
static json_t *set_invalid_aside(json_t *document,
				 const struct jt_change *changes, size_t count)
{
	struct jt_resource_rejected rejected;
	json_t *list = get_or_create_list(document, JT_RESOURCE_ENDPOINT);
	json_t *invalid = jt_resource_take_invalid(document, &rejected);

	for (size_t i = 0; i < json_array_size(invalid);) {
		json_t *resource = json_array_get(invalid, i);

		if (!endpoint_is_changed(resource, changes, count)) {
			i++;
			continue;
		}
		json_array_append(list, resource);
		json_array_remove(invalid, i);
	}
	return invalid;
}

enum jt_change_result jt_change_apply(const json_t *before,
				      const struct jt_change *changes,
				      size_t count, const char *write_id,
				      json_t **after,
				      struct jt_resource_error *error)
{
	enum jt_change_result result = JT_CHANGE_OK;
	json_t *document = json_deep_copy(before);
	json_t *invalid = set_invalid_aside(document, changes, count);
	struct jt_config *config;

	*after = NULL;
	for (size_t i = 0; i < count && result == JT_CHANGE_OK; i++)
		result = apply_one(document, &changes[i], error);
	if (result != JT_CHANGE_OK)
		goto fail;
	config = jt_resource_build(NULL, document, 0, error);
	if (config == NULL) {
		result = JT_CHANGE_INVALID;
		goto fail;
	}
	talloc_free(config);
	if (check_size(document, error) != 0) {
		result = JT_CHANGE_INVALID;
		goto fail;
	}
	json_array_extend(json_object_get(document, "endpoints"), invalid);
	json_decref(invalid);
	add_write_id(document, write_id);
	*after = document;
	return JT_CHANGE_OK;
fail:
	json_decref(invalid);
	json_decref(document);
	return result;
}

bool jt_change_has_write_id(const json_t *document, const char *write_id)
{
	const json_t *ids = json_object_get(document, "write_ids");

	for (size_t i = 0; i < json_array_size(ids); i++) {
		const char *id = json_string_value(json_array_get(ids, i));

		if (id != NULL && strcmp(id, write_id) == 0)
			return true;
	}
	return false;
}

static int add_change(TALLOC_CTX *mem_ctx, enum jt_resource_kind kind,
		      const json_t *resource, struct jt_change **changes,
		      size_t *count)
{
	const json_t *version = json_object_get(resource, "version");
	struct jt_change *change;

	*changes =
		talloc_realloc(mem_ctx, *changes, struct jt_change, *count + 1);
	if (*changes == NULL)
		return -1;
	change = &(*changes)[(*count)++];
	memset(change, 0, sizeof(*change));
	change->kind = kind;
	change->name = jt_resource_name(mem_ctx, kind, resource);
	change->resource = resource;
	change->has_version = json_is_integer(version);
	change->version = (uint64_t)json_integer_value(version);
	return change->name ? 0 : -1;
}

int jt_change_from_document(TALLOC_CTX *mem_ctx, const json_t *posted,
			    struct jt_change **changes, size_t *count,
			    struct jt_resource_error *error)
{
	const char *name;
	json_t *list;

	memset(error, 0, sizeof(*error));
	*changes = NULL;
	*count = 0;
	if (!json_is_object(posted)) {
		snprintf(error->reason, sizeof(error->reason),
			 "the document must be an object");
		return -1;
	}
	json_object_foreach ((json_t *)posted, name, list) {
		enum jt_resource_kind kind = jt_resource_kind_parse(name);

		if (kind == JT_RESOURCE_KIND_COUNT || !json_is_array(list)) {
			snprintf(error->resource, sizeof(error->resource),
				 "%.63s", name);
			snprintf(error->reason, sizeof(error->reason), "%s",
				 kind == JT_RESOURCE_KIND_COUNT
					 ? "unknown kind of resource"
					 : "must be a list");
			return -1;
		}
		for (size_t i = 0; i < json_array_size(list); i++) {
			const json_t *entry = json_array_get(list, i);

			if (json_is_object(entry) &&
			    add_change(mem_ctx, kind, entry, changes, count) ==
				    0)
				continue;
			snprintf(error->resource, sizeof(error->resource),
				 "%.63s", name);
			snprintf(error->reason, sizeof(error->reason),
				 "entry %zu must be an object", i);
			return -1;
		}
	}
	return 0;
}
