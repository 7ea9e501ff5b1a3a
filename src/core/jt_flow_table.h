/*
 * Flow records: an open-addressing hash table keyed by 5-tuple.
 *
 * A record takes 28 bytes. The table doubles at a load factor of 3/4 and
 * holds at most its limit of records.
 */
#ifndef JT_FLOW_TABLE_H
#define JT_FLOW_TABLE_H

#include "jaspertrack/types-t.h"

#include <talloc.h>

enum {
	JT_FLOW_REPLICATED = 1 << 0, /* the record needs a replica */
	JT_FLOW_PENDING = 1 << 1,    /* not acknowledged by the replica */
	JT_FLOW_CLOSING = 1 << 2,    /* closed; not counted */
	JT_FLOW_COUNTED = 1 << 3,    /* included in this owner's counts */
	JT_FLOW_UNASSIGNED = 1 << 5, /* neither owner nor replica here */
	JT_FLOW_USED = 1 << 7,	     /* the slot holds a record */
};

struct jt_flow {
	uint32_t source;
	uint32_t destination;
	uint16_t source_port;
	uint16_t destination_port;
	uint32_t endpoint_id;
	uint32_t group_id;
	uint32_t seen_s; /* monotonic seconds of the last packet */
	uint16_t bucket;
	uint8_t protocol;
	uint8_t flags;
};

struct jt_flow_table {
	struct jt_flow *slots;
	size_t capacity; /* a power of two */
	size_t count;
	size_t limit; /* maximum of count */
};

/* Creates an empty table. Returns NULL if out of memory. */
struct jt_flow_table *jt_flow_table_create(TALLOC_CTX *mem_ctx, size_t limit);
/* Returns the record of @key, valid until the next add or remove, or NULL. */
struct jt_flow *jt_flow_table_find(const struct jt_flow_table *table,
				   const struct jt_flow_key *key);
/* Adds a record for @key, which must be absent. Returns NULL if the table is
 * full or out of memory. */
struct jt_flow *jt_flow_table_add(struct jt_flow_table *table,
				  const struct jt_flow_key *key);
/* Removes @flow; other records may move to its slot. */
void jt_flow_table_remove(struct jt_flow_table *table, struct jt_flow *flow);
void jt_flow_key_of(const struct jt_flow *flow, struct jt_flow_key *key);

#endif
