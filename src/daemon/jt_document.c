#include "jt_document.h"

struct jt_document *jt_document_create(TALLOC_CTX *mem_ctx, uint64_t revision,
				       const char *text,
				       struct jt_resource_error *error)
{
	struct jt_document *document = talloc_zero(mem_ctx, struct jt_document);
	json_t *root;

	if (document == NULL)
		return NULL;
	root = json_loads(text, 0, NULL);
	document->revision = revision;
	document->text = talloc_strdup(document, text);
	document->config = jt_resource_build(document, root, revision, error);
	json_decref(root);
	return document;
}

const struct jt_document *
jt_document_find(const struct jt_document_memory *memory, uint64_t revision)
{
	for (int i = 0; i < JT_DOCUMENT_MEMORY; i++) {
		if (memory->items[i] != NULL &&
		    memory->items[i]->revision == revision)
			return memory->items[i];
	}
	return NULL;
}

const struct jt_document *
jt_document_newest(const struct jt_document_memory *memory)
{
	const struct jt_document *newest = NULL;

	for (int i = 0; i < JT_DOCUMENT_MEMORY; i++) {
		const struct jt_document *document = memory->items[i];

		if (document != NULL &&
		    (newest == NULL || document->revision > newest->revision))
			newest = document;
	}
	return newest;
}

/* Returns the index of an unused slot, or of the lowest revision. */
static int slot_select(const struct jt_document_memory *memory)
{
	int oldest = 0;

	for (int i = 0; i < JT_DOCUMENT_MEMORY; i++) {
		if (memory->items[i] == NULL)
			return i;
		if (memory->items[i]->revision <
		    memory->items[oldest]->revision)
			oldest = i;
	}
	return oldest;
}

void jt_document_keep(struct jt_document_memory *memory,
		      struct jt_document *document)
{
	int slot = slot_select(memory);
	struct jt_document *oldest = memory->items[slot];

	/* Others may hold references to its configuration. */
	if (oldest != NULL)
		talloc_unlink(talloc_parent(oldest), oldest);
	memory->items[slot] = document;
}
