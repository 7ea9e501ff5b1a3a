/*
 * HTTP client on a tevent loop.
 *
 * jt_http_send()/jt_http_recv() are a tevent_req pair. The body of a streamed
 * response is passed on in parts as it arrives. There are two implementations:
 * http/ (libcurl), and http_plain/ (libevent) without TLS and streams.
 */
#ifndef JT_HTTP_CLIENT_H
#define JT_HTTP_CLIENT_H

#include "jaspertrack/types-t.h"

#include <talloc.h>
#include <tevent.h>

struct jt_http_client;

/* Parameters of a request. The strings are copied by jt_http_send(). */
struct jt_http_call {
	const char *method;
	const char *url;
	const char *body;	/* NULL: none */
	const char *token;	/* bearer token, NULL: none */
	const char *request_id; /* X-Request-Id header, NULL: none */
	const char *ca;	  /* file of CA certificates, NULL: the system's */
	long timeout_ms;  /* for the whole request; 0: none */
	const char *want; /* response header to return, NULL: none */
	/* Receives parts of a streamed body; NULL: the body is buffered. */
	void (*on_part)(const char *data, size_t length, void *private_data);
	void *part_data;
};

/* Creates a client; returns NULL on failure. */
struct jt_http_client *jt_http_client_create(TALLOC_CTX *mem_ctx,
					     struct tevent_context *loop);

/* Starts a request. Returns NULL if out of memory; freeing the tevent_req
 * cancels the request. */
struct tevent_req *jt_http_send(TALLOC_CTX *mem_ctx,
				struct jt_http_client *client,
				const struct jt_http_call *call);
/*
 * Returns 0 with the status and the body, allocated below @mem_ctx, or -1 if
 * there was no complete response; the server may still have executed the
 * request. @bytes gets the number of body bytes transferred; it may be NULL.
 */
int jt_http_recv(struct tevent_req *req, TALLOC_CTX *mem_ctx, long *status,
		 char **body, size_t *bytes);
/* Returns the value of the header named by jt_http_call.want, NULL if the
 * response lacks it; valid until jt_http_recv(). */
const char *jt_http_wanted(struct tevent_req *req);
/* Like jt_http_recv(), for a binary body of @length bytes. */
int jt_http_recv_bytes(struct tevent_req *req, TALLOC_CTX *mem_ctx,
		       long *status, char **body, size_t *length);

#endif
