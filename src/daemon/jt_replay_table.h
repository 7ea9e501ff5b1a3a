/* Replay protection: a window of received sequence numbers per sender. */
#ifndef JT_REPLAY_TABLE_H
#define JT_REPLAY_TABLE_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

struct jt_replay_table;

/* Returns NULL when out of memory. */
struct jt_replay_table *jt_replay_table_create(TALLOC_CTX *mem_ctx);
/* Returns true and records the sequence number if the frame is new. A new
 * sender replaces the least recently used one if the table is full. */
bool jt_replay_table_take(struct jt_replay_table *table, uint64_t sender,
			  uint64_t sequence, uint64_t now_ms);

#endif
