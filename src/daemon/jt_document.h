/*
 * Configurations as text, as they go to peers and the store, and the few
 * newest of them that a node keeps.
 */
#ifndef JT_DOCUMENT_H
#define JT_DOCUMENT_H

#include "jaspertrack/core.h"
#include "jt_resource.h"

#include <talloc.h>

struct jt_document {
	uint64_t revision;
	char *text;
	const struct jt_config *config;
};

enum { JT_DOCUMENT_MEMORY = 8 };

struct jt_document_memory {
	struct jt_document *items[JT_DOCUMENT_MEMORY]; /* NULL: free */
};

/* Read @text. Where it is invalid, config is NULL and @error says why; NULL
 * where memory runs out. */
struct jt_document *jt_document_create(TALLOC_CTX *mem_ctx, uint64_t revision,
				       const char *text,
				       struct jt_resource_error *error);
/* NULL where there is none of that revision. */
const struct jt_document *
jt_document_find(const struct jt_document_memory *memory, uint64_t revision);
/* NULL where there is none. */
const struct jt_document *
jt_document_newest(const struct jt_document_memory *memory);
/* Keep @document; the oldest one gives way where there is no room. */
void jt_document_keep(struct jt_document_memory *memory,
		      struct jt_document *document);

#endif
