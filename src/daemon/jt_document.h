/*
 * Configuration documents in the text form sent to peers and the store, and a
 * cache of the newest ones.
 */
#ifndef JT_DOCUMENT_H
#define JT_DOCUMENT_H

#include "jaspertrack/core.h"
#include "jt_resource.h"

#include <talloc.h>

/* A document; config is NULL if the text is invalid. Endpoints that another
 * writer has stored and that are invalid are not in text and config. */
struct jt_document {
	uint64_t revision;
	char *text;
	const struct jt_config *config;
	struct jt_resource_rejected rejected;
};

enum { JT_DOCUMENT_CACHE_SIZE = 8 };

struct jt_document_cache {
	struct jt_document
		*items[JT_DOCUMENT_CACHE_SIZE]; /* NULL: unused slot */
};

/* Parses @text. If it is invalid, config is NULL and @error gives the reason.
 * Returns NULL when out of memory. */
struct jt_document *jt_document_create(TALLOC_CTX *mem_ctx, uint64_t revision,
				       const char *text,
				       struct jt_resource_error *error);
/* Returns the document of @revision, or NULL. */
const struct jt_document *
jt_document_cache_find(const struct jt_document_cache *cache,
		       uint64_t revision);
/* Returns the document of the highest revision, or NULL. */
const struct jt_document *
jt_document_cache_newest(const struct jt_document_cache *cache);
/* Stores @document; replaces the one of the lowest revision if the cache is
 * full. */
void jt_document_cache_add(struct jt_document_cache *cache,
			   struct jt_document *document);

#endif
