/*
 * Changes of the resource document: pure functions over JSON.
 *
 * Each resource has a "version" that is incremented with each change. A change
 * may state the version that it is based on, so that concurrent changes give
 * a conflict instead of a silent overwrite. The document lists the ids of the
 * last writes, so that a writer whose response was lost can find out if the
 * write was applied.
 */
#ifndef JT_CHANGE_H
#define JT_CHANGE_H

#include "jt_resource.h"

enum {
	JT_WRITE_IDS = 128,	 /* ids kept in a document */
	JT_WRITE_ID_BYTES = 128, /* longest id, without quotes */
	/*
	 * Limit in bytes of the resources as compact JSON. Together with
	 * JT_WRITE_IDS ids they must fit in one datagram between peers.
	 */
	JT_DOCUMENT_BYTES = 45000,
};

struct jt_change {
	enum jt_resource_kind kind;
	const char *name;
	const json_t *resource; /* borrowed; NULL: delete */
	bool has_version;
	uint64_t version; /* 0: must not exist yet */
	/* If set, an existing resource must belong to this group. */
	const char *only_group;
};

enum jt_change_result {
	JT_CHANGE_OK,
	JT_CHANGE_CONFLICT,  /* the resource has another version */
	JT_CHANGE_ABSENT,    /* the resource to delete does not exist */
	JT_CHANGE_INVALID,   /* the resulting document is invalid */
	JT_CHANGE_FORBIDDEN, /* the resource is of another group */
};

/*
 * Applies changes to a copy of @before, adds @write_id and validates the
 * result. On JT_CHANGE_OK the caller owns a reference to *after; otherwise
 * *after is NULL and @error is set.
 */
enum jt_change_result jt_change_apply(const json_t *before,
				      const struct jt_change *changes,
				      size_t count, const char *write_id,
				      json_t **after,
				      struct jt_resource_error *error);

/* Returns true if @write_id is among the last JT_WRITE_IDS writes. */
bool jt_change_written(const json_t *document, const char *write_id);

/*
 * Converts the resources of a posted document to changes, allocated below
 * @mem_ctx. They refer to @posted, which must outlive them. Returns 0, or -1
 * with @error set for an unknown kind or an invalid entry.
 */
int jt_change_from_document(TALLOC_CTX *mem_ctx, const json_t *posted,
			    struct jt_change **changes, size_t *count,
			    struct jt_resource_error *error);

#endif
