#include "jt_document.h"
#include "jt_document_text.h"

#include <stdlib.h>

/* Returns the text of @root, a talloc child of @mem_ctx. */
static char *document_dump(TALLOC_CTX *mem_ctx, const json_t *root)
{
	char *dumped = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	char *text = talloc_strdup(mem_ctx, dumped);

	free(dumped);
	return text;
}

struct jt_document *jt_document_create(TALLOC_CTX *mem_ctx, uint64_t revision,
				       const char *text,
				       struct jt_resource_error *error)
{
	struct jt_document *document = talloc_zero(mem_ctx, struct jt_document);
	bool replaced;
	json_t *root;

	if (document == NULL)
		return NULL;
	root = jt_document_text_parse(text, &replaced);
	document->revision = revision;
	json_decref(jt_resource_take_invalid(root, &document->rejected));
	document->config = jt_resource_build(document, root, revision, error);
	document->text = replaced || document->rejected.count > 0
				 ? document_dump(document, root)
				 : talloc_strdup(document, text);
	json_decref(root);
	return document;
}

const struct jt_document *
jt_document_cache_find(const struct jt_document_cache *cache, uint64_t revision)
{
	for (int i = 0; i < JT_DOCUMENT_CACHE_SIZE; i++) {
		if (cache->items[i] != NULL &&
		    cache->items[i]->revision == revision)
			return cache->items[i];
	}
	return NULL;
}

const struct jt_document *
jt_document_cache_newest(const struct jt_document_cache *cache)
{
	const struct jt_document *newest = NULL;

	for (int i = 0; i < JT_DOCUMENT_CACHE_SIZE; i++) {
		const struct jt_document *document = cache->items[i];

		if (document != NULL &&
		    (newest == NULL || document->revision > newest->revision))
			newest = document;
	}
	return newest;
}

/* Returns the index of an unused slot, or of the lowest revision. */
static int slot_select(const struct jt_document_cache *cache)
{
	int oldest = 0;

	for (int i = 0; i < JT_DOCUMENT_CACHE_SIZE; i++) {
		if (cache->items[i] == NULL)
			return i;
		if (cache->items[i]->revision < cache->items[oldest]->revision)
			oldest = i;
	}
	return oldest;
}

void jt_document_cache_add(struct jt_document_cache *cache,
			   struct jt_document *document)
{
	int slot = slot_select(cache);
	struct jt_document *oldest = cache->items[slot];

	/* Others may hold references to its configuration. */
	if (oldest != NULL)
		talloc_unlink(talloc_parent(oldest), oldest);
	cache->items[slot] = document;
}
