/*
 * Protocol between the stand-in clients and endpoints, and the content of
 * responses. It depends only on the request id, so that clients can verify it.
 *
 *   client                              endpoint
 *   HELLO <flow> <service>\n            WELCOME <flow> <service> <endpoint>\n
 *   RUN <request> <bytes> <work ms>\n   ANSWER <request> <bytes>\n<bytes>
 */
#ifndef CONTENT_H
#define CONTENT_H

#include <stddef.h>
#include <stdint.h>

/* Returns the byte at @offset of the response to @request. */
static inline char content_byte(uint64_t request, size_t offset)
{
	uint64_t hash = (request + offset / 8) * 0x9e3779b97f4a7c15ull;

	return (char)('a' + (hash >> (8 * (offset % 8))) % 26);
}

#endif
