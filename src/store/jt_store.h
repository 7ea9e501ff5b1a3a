/*
 * Client of the platform's key-value service: the etcd v3 API as JSON over
 * HTTP (range, txn, watch). Every call is a tevent_req pair.
 */
#ifndef JT_STORE_H
#define JT_STORE_H

#include "jt_http_client.h"

enum jt_store_result {
	JT_STORE_OK,
	JT_STORE_FAILED_COMPARE, /* the key was modified concurrently */
	JT_STORE_REFUSED,	 /* rate limit or error: it was not applied */
	JT_STORE_LOST,	       /* no response: a write may have been applied */
	JT_STORE_BAD_RESPONSE, /* the response could not be parsed */
};

struct jt_store_value {
	bool present;
	char *value; /* NUL-terminated, owned by the receiver's @mem_ctx */
	uint64_t mod_revision;
};

struct jt_store;

/* Returns NULL if memory runs out. @url is the base of all calls. */
struct jt_store *jt_store_create(TALLOC_CTX *mem_ctx,
				 struct tevent_context *loop, const char *url);

/* Reads @key. Returns NULL if memory runs out, as do the other requests. */
struct tevent_req *jt_store_get_send(TALLOC_CTX *mem_ctx,
				     struct jt_store *store, const char *key);
/* Sets @value, whose text is owned by @mem_ctx. */
enum jt_store_result jt_store_get_recv(struct tevent_req *req,
				       TALLOC_CTX *mem_ctx,
				       struct jt_store_value *value);

/* Writes @value if the revision of the key is still @mod_revision (0:
 * absent). */
struct tevent_req *jt_store_put_send(TALLOC_CTX *mem_ctx,
				     struct jt_store *store, const char *key,
				     const char *value, uint64_t mod_revision);
/* Sets @revision to that of the store after the write. */
enum jt_store_result jt_store_put_recv(struct tevent_req *req,
				       uint64_t *revision);

/* Watches @key from @start_revision on; @on_change gets each value, which is
 * valid during the call. The request ends when the stream does. */
struct tevent_req *
jt_store_watch_send(TALLOC_CTX *mem_ctx, struct jt_store *store,
		    const char *key, uint64_t start_revision,
		    void (*on_change)(const struct jt_store_value *value,
				      void *private_data),
		    void *private_data);
void jt_store_watch_recv(struct tevent_req *req);

/* Returns the bytes sent and received since the start. */
uint64_t jt_store_bytes(const struct jt_store *store);
/* Returns the number of calls made since the start. */
uint64_t jt_store_operations(const struct jt_store *store);

#endif
