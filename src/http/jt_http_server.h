/*
 * HTTP server on a tevent loop.
 *
 * The handler is called once per request, when its body is complete, and must
 * respond with jt_http_reply() or a stream, immediately or later. Calls don't
 * block. There are two implementations: http/ (libmicrohttpd), and http_plain/
 * (libevent) without TLS and streams.
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

/* Handles a request. @request is valid until the response is sent or the
 * connection breaks (see jt_http_on_close()). */
typedef void (*jt_http_handler)(struct jt_http_request *request,
				void *private_data);

struct jt_http_options {
	struct jt_address address;
	const char *certificate;   /* PEM text; NULL: no TLS */
	const char *key;	   /* PEM text of the private key */
	unsigned connection_limit; /* 0: default */
};

/* Starts a server; returns NULL with errno if the address can't be used. */
struct jt_http_server *jt_http_server_create(TALLOC_CTX *mem_ctx,
					     struct tevent_context *loop,
					     const struct jt_http_options *opts,
					     jt_http_handler handler,
					     void *private_data);

/* Return parts of the request, valid as long as the request. */
const char *jt_http_method(const struct jt_http_request *request);
const char *jt_http_path(const struct jt_http_request *request);
/* Returns the NUL-terminated body; @length may be NULL. */
const char *jt_http_body(const struct jt_http_request *request, size_t *length);
/* Return a query argument or header, NULL if absent. */
const char *jt_http_query(const struct jt_http_request *request,
			  const char *name);
const char *jt_http_header(const struct jt_http_request *request,
			   const char *name);
/* Sends a response and ends the request. The binary @body is copied. */
void jt_http_reply_bytes(struct jt_http_request *request, unsigned status,
			 const char *type, const void *body, size_t length);
/* Like jt_http_reply_bytes(), for a text. */
static inline void jt_http_reply(struct jt_http_request *request,
				 unsigned status, const char *type,
				 const char *body)
{
	jt_http_reply_bytes(request, status, type, body, strlen(body));
}
/* Starts a streamed response; its parts are sent with jt_http_stream(). */
void jt_http_stream_start(struct jt_http_request *request, const char *type);
/* Queues a part of a streamed response. */
void jt_http_stream(struct jt_http_request *request, const char *part);
/* Sets a callback for the end of the request, with or without a response. */
void jt_http_on_close(struct jt_http_request *request,
		      void (*callback)(void *private_data), void *private_data);

#endif
