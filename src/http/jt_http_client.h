/*
 * An HTTP client (libcurl multi) inside a tevent loop.
 *
 * jt_http_send()/jt_http_recv() are a tevent_req pair. A stream hands over
 * each part of an endless answer as it comes.
 */
#ifndef JT_HTTP_CLIENT_H
#define JT_HTTP_CLIENT_H

#include "jaspertrack/types-t.h"

#include <talloc.h>
#include <tevent.h>

struct jt_http_client;

struct jt_http_call {
	const char *method;
	const char *url;
	const char *body;	/* NULL: none */
	const char *token;	/* bearer token, NULL: none */
	const char *request_id; /* X-Request-Id header, NULL: none */
	const char *ca;		/* file of the authority, NULL: the system's */
	long timeout_ms;	/* 0: none, for streams */
	const char *want;	/* name of an answer's header, NULL: none */
	/* Parts of a streamed answer; NULL: the body is collected. */
	void (*on_part)(const char *data, size_t length, void *private_data);
	void *part_data;
};

struct jt_http_client *jt_http_client_create(TALLOC_CTX *mem_ctx,
					     struct tevent_context *loop);

struct tevent_req *jt_http_send(TALLOC_CTX *mem_ctx,
				struct jt_http_client *client,
				const struct jt_http_call *call);
/*
 * 0 with status and body (below @mem_ctx), or -1 when no answer came: the
 * request may have run all the same. @bytes counts both ways, may be NULL.
 */
int jt_http_recv(struct tevent_req *req, TALLOC_CTX *mem_ctx, long *status,
		 char **body, size_t *bytes);
/* The value of the header that was wanted, NULL when there was none; good
 * until jt_http_recv(). */
const char *jt_http_wanted(struct tevent_req *req);
/* The same for a body of any bytes, @length of them. */
int jt_http_recv_bytes(struct tevent_req *req, TALLOC_CTX *mem_ctx,
		       long *status, char **body, size_t *length);

#endif
