#include "jt_replay_table.h"
#include "jt_codec.h"

#include <string.h>

enum { SENDERS = 1024 }; /* nodes whose sequence numbers are kept */

struct sender_window {
	uint64_t sender;
	uint64_t used_ms;
	struct jt_replay window;
};

struct jt_replay_table {
	struct sender_window senders[SENDERS];
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
		if (table->senders[i].used_ms < table->senders[oldest].used_ms)
			oldest = i;
	}
	if (entry == NULL) {
		entry = &table->senders[table->count < SENDERS ? table->count++
							       : oldest];
		memset(entry, 0, sizeof(*entry));
		entry->sender = sender;
	}
	entry->used_ms = now_ms;
	return jt_replay_check(&entry->window, sequence);
}
