#include "jt_flow_table.h"

#include <string.h>
#include <xxhash.h>

enum { INITIAL_CAPACITY = 64 };

static size_t key_slot(const struct jt_flow_table *table,
		       const struct jt_flow_key *key)
{
	uint32_t words[4] = {
		key->source,
		key->destination,
		(uint32_t)key->source_port << 16 | key->destination_port,
		key->protocol,
	};

	return XXH64(words, sizeof(words), 1) & (table->capacity - 1);
}

static bool key_equal(const struct jt_flow *flow, const struct jt_flow_key *key)
{
	return flow->source == key->source &&
	       flow->destination == key->destination &&
	       flow->source_port == key->source_port &&
	       flow->destination_port == key->destination_port &&
	       flow->protocol == key->protocol;
}

void jt_flow_key_of(const struct jt_flow *flow, struct jt_flow_key *key)
{
	memset(key, 0, sizeof(*key));
	key->source = flow->source;
	key->destination = flow->destination;
	key->source_port = flow->source_port;
	key->destination_port = flow->destination_port;
	key->protocol = flow->protocol;
}

struct jt_flow_table *jt_flow_table_create(TALLOC_CTX *mem_ctx, size_t limit)
{
	struct jt_flow_table *table;

	table = talloc_zero(mem_ctx, struct jt_flow_table);
	if (table == NULL)
		return NULL;
	table->limit = limit;
	table->capacity = INITIAL_CAPACITY;
	table->slots =
		talloc_zero_array(table, struct jt_flow, table->capacity);
	if (table->slots == NULL) {
		talloc_free(table);
		return NULL;
	}
	return table;
}

struct jt_flow *jt_flow_table_find(const struct jt_flow_table *table,
				   const struct jt_flow_key *key)
{
	size_t slot = key_slot(table, key);

	while (table->slots[slot].flags & JT_FLOW_USED) {
		if (key_equal(&table->slots[slot], key))
			return &table->slots[slot];
		slot = (slot + 1) & (table->capacity - 1);
	}
	return NULL;
}

static size_t empty_slot(const struct jt_flow_table *table,
			 const struct jt_flow_key *key)
{
	size_t slot = key_slot(table, key);

	while (table->slots[slot].flags & JT_FLOW_USED)
		slot = (slot + 1) & (table->capacity - 1);
	return slot;
}

static int table_grow(struct jt_flow_table *table)
{
	struct jt_flow_table larger = *table;
	size_t i;

	larger.capacity = table->capacity * 2;
	larger.slots =
		talloc_zero_array(table, struct jt_flow, larger.capacity);
	if (larger.slots == NULL)
		return -1;
	for (i = 0; i < table->capacity; i++) {
		struct jt_flow_key key;

		if (!(table->slots[i].flags & JT_FLOW_USED))
			continue;
		jt_flow_key_of(&table->slots[i], &key);
		larger.slots[empty_slot(&larger, &key)] = table->slots[i];
	}
	talloc_free(table->slots);
	*table = larger;
	return 0;
}

struct jt_flow *jt_flow_table_add(struct jt_flow_table *table,
				  const struct jt_flow_key *key)
{
	struct jt_flow *flow;

	if (table->count >= table->limit)
		return NULL;
	if ((table->count + 1) * 4 > table->capacity * 3 &&
	    table_grow(table) != 0)
		return NULL;
	flow = &table->slots[empty_slot(table, key)];
	memset(flow, 0, sizeof(*flow));
	flow->source = key->source;
	flow->destination = key->destination;
	flow->source_port = key->source_port;
	flow->destination_port = key->destination_port;
	flow->protocol = key->protocol;
	flow->flags = JT_FLOW_USED;
	table->count++;
	return flow;
}

/* Deletes without tombstones by moving later records of the probe sequence
 * (Knuth, TAOCP vol. 3, section 6.4, algorithm R). */
void jt_flow_table_remove(struct jt_flow_table *table, struct jt_flow *flow)
{
	size_t mask = table->capacity - 1;
	size_t gap = (size_t)(flow - table->slots);
	size_t slot = gap;

	for (;;) {
		struct jt_flow_key key;
		size_t home;

		slot = (slot + 1) & mask;
		if (!(table->slots[slot].flags & JT_FLOW_USED))
			break;
		jt_flow_key_of(&table->slots[slot], &key);
		home = key_slot(table, &key);
		if (((slot - home) & mask) < ((slot - gap) & mask))
			continue;
		table->slots[gap] = table->slots[slot];
		gap = slot;
	}
	memset(&table->slots[gap], 0, sizeof(struct jt_flow));
	table->count--;
}
