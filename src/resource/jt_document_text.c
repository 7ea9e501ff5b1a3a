#include "jt_document_text.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
	/* Depth of a resource in a document: within a list of one kind. */
	RESOURCE_DEPTH = 3,
	MAX_DEPTH = 16,
	/* A valid resource has less than 1 KB. */
	MAX_RESOURCE_BYTES = 4096,
};

#define NULL_VALUE "null"
#define NUMBER_CHARACTERS "+-.0123456789eE"

/* State of a copy of the text. */
struct copier {
	const char *from;
	char *to;
	size_t length; /* of the copy */
	int depth;     /* open lists and objects */
	size_t resource_start;
	bool replaced;
};

static void put(struct copier *copier, const char *text, size_t length)
{
	memcpy(copier->to + copier->length, text, length);
	copier->length += length;
}

static void put_null(struct copier *copier)
{
	put(copier, NULL_VALUE, strlen(NULL_VALUE));
	copier->replaced = true;
}

/* Returns the end of the string that begins at @text. */
static const char *string_end(const char *text)
{
	const char *at = text + 1;

	while (*at != '\0' && *at != '"')
		at += at[0] == '\\' && at[1] != '\0' ? 2 : 1;
	return *at == '"' ? at + 1 : at;
}

/* Returns the end of the list or object that begins at @text. */
static const char *nested_end(const char *text)
{
	size_t depth = 0;

	while (*text != '\0') {
		if (*text == '"') {
			text = string_end(text);
			continue;
		}
		if (*text == '[' || *text == '{')
			depth++;
		else if (*text == ']' || *text == '}')
			depth--;
		text++;
		if (depth == 0)
			break;
	}
	return text;
}

static bool number_in_range(const char *text, size_t length)
{
	bool real = memchr(text, '.', length) != NULL ||
		    memchr(text, 'e', length) != NULL ||
		    memchr(text, 'E', length) != NULL;

	errno = 0;
	if (real)
		return isfinite(strtod(text, NULL));
	(void)strtoll(text, NULL, 10);
	return errno != ERANGE;
}

static void copy_string(struct copier *copier)
{
	const char *end = string_end(copier->from);

	put(copier, copier->from, (size_t)(end - copier->from));
	copier->from = end;
}

static void copy_number(struct copier *copier)
{
	size_t length = strspn(copier->from, NUMBER_CHARACTERS);

	if (number_in_range(copier->from, length))
		put(copier, copier->from, length);
	else
		put_null(copier);
	copier->from += length;
}

static void copy_opening(struct copier *copier)
{
	if (copier->depth == MAX_DEPTH) {
		copier->from = nested_end(copier->from);
		put_null(copier);
		return;
	}
	copier->depth++;
	if (copier->depth == RESOURCE_DEPTH)
		copier->resource_start = copier->length;
	put(copier, copier->from++, 1);
}

static void copy_closing(struct copier *copier)
{
	put(copier, copier->from++, 1);
	if (copier->depth == RESOURCE_DEPTH &&
	    copier->length - copier->resource_start > MAX_RESOURCE_BYTES) {
		copier->length = copier->resource_start;
		put_null(copier);
	}
	if (copier->depth > 0)
		copier->depth--;
}

static void copy_next(struct copier *copier)
{
	char first = *copier->from;

	if (first == '"')
		copy_string(copier);
	else if (first == '[' || first == '{')
		copy_opening(copier);
	else if (first == ']' || first == '}')
		copy_closing(copier);
	else if (first == '-' || (first >= '0' && first <= '9'))
		copy_number(copier);
	else
		put(copier, copier->from++, 1);
}

json_t *jt_document_text_parse(const char *text, bool *replaced)
{
	struct copier copier = {.from = text};
	/* A null replaces at least two bytes. */
	size_t size =
		strlen(text) * strlen(NULL_VALUE) / 2 + sizeof(NULL_VALUE);
	json_t *document;

	*replaced = false;
	copier.to = malloc(size);
	if (copier.to == NULL)
		return NULL;
	while (*copier.from != '\0')
		copy_next(&copier);
	document = json_loadb(copier.to, copier.length, 0, NULL);
	*replaced = copier.replaced;
	free(copier.to);
	return document;
}
