/*
 * Resources declared by operators: groups, services, endpoints, addresses
 * and shares. They form one JSON document, which is validated and stored as a
 * whole.
 *
 * {"groups":    [{"name"}],
 *  "services":  [{"name", "kind": "stream"|"request", "free_permille"}],
 *  "endpoints": [{"name", "service", "address", "health", "slots",
 *                 "connections", "draining"}],
 *  "addresses": [{"name", "address", "protocol", "service", "group"}],
 *  "shares":    [{"service", "group", "weight"}]}
 *
 * Each resource may have a "version", which is incremented with each change.
 */
#ifndef JT_RESOURCE_H
#define JT_RESOURCE_H

#include "jaspertrack/types-t.h"

#include <jansson.h>
#include <talloc.h>

enum jt_resource_kind {
	JT_RESOURCE_GROUP,
	JT_RESOURCE_SERVICE,
	JT_RESOURCE_ENDPOINT,
	JT_RESOURCE_ADDRESS,
	JT_RESOURCE_SHARE,
	JT_RESOURCE_KIND_COUNT,
};

/* A validation error: the resource, the field and the reason. */
struct jt_resource_error {
	char resource[2 * JT_NAME_SIZE + 32]; /* "endpoints/planilla-3" */
	char field[JT_NAME_SIZE];
	char reason[256];
};

/* Returns the document's key for a kind: "groups", "services", ... */
const char *jt_resource_kind_name(enum jt_resource_kind kind);
/* Returns the kind with that key, JT_RESOURCE_KIND_COUNT if it is unknown. */
enum jt_resource_kind jt_resource_kind_parse(const char *name);

/* Returns the name of a resource, "service/group" for a share, allocated below
 * @mem_ctx; NULL if out of memory. */
const char *jt_resource_name(TALLOC_CTX *mem_ctx, enum jt_resource_kind kind,
			     const json_t *resource);
/* Returns the index in the document's list of @kind, SIZE_MAX if there is no
 * such resource. */
size_t jt_resource_find(const json_t *document, enum jt_resource_kind kind,
			const char *name);

/*
 * Validates the whole document and builds the configuration of @revision,
 * allocated below @mem_ctx. Returns NULL with @error set if the document is
 * invalid or memory runs out.
 */
struct jt_config *jt_resource_build(TALLOC_CTX *mem_ctx, const json_t *document,
				    uint64_t revision,
				    struct jt_resource_error *error);

/* Errors of invalid endpoints, as far as they fit, and the number of the
 * others. */
enum { JT_REJECTED_LIMIT = 16 };

struct jt_resource_rejected {
	struct jt_resource_error errors[JT_REJECTED_LIMIT];
	size_t count;
	size_t more;
};

/*
 * Removes the invalid endpoints, which another writer has stored, from
 * @document: they must not make the other resources invalid. Returns them as a
 * list, a new reference, with their errors in @rejected; NULL if memory runs
 * out.
 */
json_t *jt_resource_take_invalid(json_t *document,
				 struct jt_resource_rejected *rejected);

#endif
