#include "jt_replay_table.h"
#include "jt_codec.h"

#include <string.h>

enum { SENDER_LIMIT = 1024 }; /* nodes with a window in the table */

struct sender_window {
	uint64_t sender;
	uint64_t last_used_ms;
	struct jt_replay window;
};

struct jt_replay_table {
	struct sender_window senders[SENDER_LIMIT];
	size_t count;
};

struct jt_replay_table *jt_replay_table_create(TALLOC_CTX *mem_ctx)
{
	return talloc_zero(mem_ctx, struct jt_replay_table);
}

bool jt_replay_table_take(struct jt_replay_table *table, uint64_t sender,
			  uint64_t sequence, uint64_t now_ms)
{
	struct sender_window *entry = NULL;
	size_t oldest = 0;

	for (size_t i = 0; i < table->count; i++) {
		if (table->senders[i].sender == sender)
			entry = &table->senders[i];
		if (table->senders[i].last_used_ms <
		    table->senders[oldest].last_used_ms)
			oldest = i;
	}
	if (entry == NULL) {
		entry = &table->senders[table->count < SENDER_LIMIT
						? table->count++
						: oldest];
		memset(entry, 0, sizeof(*entry));
		entry->sender = sender;
	}
	entry->last_used_ms = now_ms;
	return jt_replay_check(&entry->window, sequence);
}
