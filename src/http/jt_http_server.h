/*
 * An HTTP server (libmicrohttpd) inside a tevent loop.
 *
 * The handler gets each whole request once and must answer it with
 * jt_http_reply(), at once or later. Nothing blocks.
 */
#ifndef JT_HTTP_SERVER_H
#define JT_HTTP_SERVER_H

#include "jaspertrack/types-t.h"

#include <string.h>
#include <talloc.h>
#include <tevent.h>

enum { JT_HTTP_BODY_LIMIT = 8 << 20 };

struct jt_http_server;
struct jt_http_request;

/* Called once for each request; @request lives until it is answered or its
 * connection breaks (see jt_http_on_close()). */
typedef void (*jt_http_handler)(struct jt_http_request *request,
				void *private_data);

struct jt_http_options {
	struct jt_address address;
	const char *certificate; /* PEM text; NULL: no TLS */
	const char *key;
	unsigned connection_limit;
};

/* NULL with errno when the address can't be used. */
struct jt_http_server *jt_http_server_create(TALLOC_CTX *mem_ctx,
					     struct tevent_context *loop,
					     const struct jt_http_options *opts,
					     jt_http_handler handler,
					     void *private_data);

const char *jt_http_method(const struct jt_http_request *request);
const char *jt_http_path(const struct jt_http_request *request);
/* NUL-terminated; @length may be NULL. */
const char *jt_http_body(const struct jt_http_request *request, size_t *length);
/* Query argument or header, NULL if absent. */
const char *jt_http_query(const struct jt_http_request *request,
			  const char *name);
const char *jt_http_header(const struct jt_http_request *request,
			   const char *name);
/* Answer with any bytes and end the request. @body is copied. */
void jt_http_reply_bytes(struct jt_http_request *request, unsigned status,
			 const char *type, const void *body, size_t length);
/* The same for text. */
static inline void jt_http_reply(struct jt_http_request *request,
				 unsigned status, const char *type,
				 const char *body)
{
	jt_http_reply_bytes(request, status, type, body, strlen(body));
}
/* Start an endless answer; send parts with jt_http_stream(). */
void jt_http_stream_start(struct jt_http_request *request, const char *type);
void jt_http_stream(struct jt_http_request *request, const char *part);
/* @callback runs when the request is gone, answered or not. */
void jt_http_on_close(struct jt_http_request *request,
		      void (*callback)(void *private_data), void *private_data);

#endif
