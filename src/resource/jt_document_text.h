/*
 * Text of a document that another writer may have stored. A value that the JSON
 * parser refuses as a whole document, because it is nested too deeply or a
 * number is too large, must not hide the resources beside it.
 */
#ifndef JT_DOCUMENT_TEXT_H
#define JT_DOCUMENT_TEXT_H

#include <jansson.h>
#include <stdbool.h>

/*
 * Parses a document. Replaces by null: values nested deeper than any valid
 * resource is, numbers out of range, and resources longer than any valid one.
 * Sets @replaced if there were any. Returns NULL if the rest is not JSON or
 * memory runs out.
 */
json_t *jt_document_text_parse(const char *text, bool *replaced);

#endif
