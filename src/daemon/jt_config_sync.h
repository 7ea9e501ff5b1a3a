/*
 * Access of a node to the platform's store: reads the newest configuration,
 * founds the cell, and writes changes.
 *
 * Only the first members of the cell watch the store; the others receive
 * configurations from peers. Each node limits its operations to its part of the
 * store's rate limit.
 */
#ifndef JT_CONFIG_SYNC_H
#define JT_CONFIG_SYNC_H

#include "jt_change.h"
#include "jt_node.h"
#include "jt_store.h"

struct jt_config_sync;

enum jt_write_outcome {
	JT_WRITE_ACCEPTED, /* stored, and active in the cell */
	JT_WRITE_STORED,   /* stored durably; not active in the cell yet */
	JT_WRITE_CONFLICT,
	JT_WRITE_ABSENT,
	JT_WRITE_INVALID,
	JT_WRITE_FORBIDDEN,
	JT_WRITE_NOT_RUN, /* the store is unreachable; nothing changed */
	JT_WRITE_UNKNOWN, /* sent without a response; query it by the id */
	JT_WRITE_BUSY,	  /* over the rate limit; nothing was sent */
};

/* Receives the outcome of a write; @error is set for rejected writes. */
typedef void (*jt_write_callback)(enum jt_write_outcome outcome,
				  uint64_t revision,
				  const struct jt_resource_error *error,
				  void *private_data);

/* Returns NULL when out of memory. @node must outlive the result. */
struct jt_config_sync *jt_config_sync_create(TALLOC_CTX *mem_ctx,
					     struct jt_node *node);
/* Starts operations that are due and checks pending writes; called
 * periodically. */
void jt_config_sync_tick(struct jt_config_sync *sync);

/*
 * Writes @changes to the store under @write_id; a write id takes effect at most
 * once. Takes ownership of @changes and of @posted, the JSON that the changes
 * point into. @callback is called once, and not before this function returns.
 */
void jt_config_write(struct jt_config_sync *sync, const char *write_id,
		     struct jt_change *changes, size_t count, json_t *posted,
		     jt_write_callback callback, void *private_data);
/* Cancels the callback of writes with @private_data; the writes continue. */
void jt_config_write_cancel_callback(struct jt_config_sync *sync,
				     void *private_data);
/* Reports the outcome of an earlier write: accepted, stored, absent (it did not
 * run and never will) or unknown. May call @callback before it returns. */
void jt_config_write_query(struct jt_config_sync *sync, const char *write_id,
			   jt_write_callback callback, void *private_data);

/* Returns the store, which @sync owns. */
struct jt_store *jt_config_sync_store(struct jt_config_sync *sync);
/* Consumes one operation of this node's part of the store's rate limit. Returns
 * false if none is left. */
bool jt_config_sync_consume_operation(struct jt_config_sync *sync);
/* Return the bytes to and from the store, and the number of operations, since
 * the start. */
uint64_t jt_config_sync_store_bytes(const struct jt_config_sync *sync);
uint64_t jt_config_sync_store_operations(const struct jt_config_sync *sync);
/* Returns true if the last operation reached the store. */
bool jt_config_sync_store_reachable(const struct jt_config_sync *sync);

#endif
