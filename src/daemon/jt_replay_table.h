/* Which frames of which senders have come already, so that none counts twice.
 */
#ifndef JT_REPLAY_TABLE_H
#define JT_REPLAY_TABLE_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

struct jt_replay_table;

struct jt_replay_table *jt_replay_table_create(TALLOC_CTX *mem_ctx);
/* Whether the frame is new; it is then taken down. The sender that was heard
 * least recently is forgotten where there are too many. */
bool jt_replay_table_take(struct jt_replay_table *table, uint64_t sender,
			  uint64_t sequence, uint64_t now_ms);

#endif
