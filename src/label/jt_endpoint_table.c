#include "jt_endpoint_table.h"
#include "jaspertrack/director.h"

#include <stddef.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

enum { POOL_INITIAL_CAPACITY = 16 }; /* members */

uint32_t jt_incarnation_label(uint64_t endpoint_id, uint64_t start_time_ms)
{
	const uint64_t input[] = {endpoint_id, start_time_ms};
	uint64_t hash = endpoint_id;
	uint32_t label;

	if (start_time_ms != 0)
		hash = XXH64(input, sizeof(input), 0);
	label = (uint32_t)(hash >> 32) ^ (uint32_t)hash;
	return label ? label : 1;
}

int jt_endpoint_id_compare(const void *one, const void *other)
{
	uint64_t a = *(const uint64_t *)one, b = *(const uint64_t *)other;

	return (a > b) - (a < b);
}

uint32_t jt_flow_label(uint64_t endpoint_id)
{
	return jt_incarnation_label(endpoint_id, 0);
}

static int table_destructor(struct jt_endpoint_table *table)
{

	HASH_CLEAR(by_id, table->ids);
	HASH_CLEAR(by_label, table->labels);
	HASH_CLEAR(by_earlier_label, table->earlier_labels);
	HASH_CLEAR(by_address, table->addresses);
	HASH_CLEAR(hh, table->pools);
	return 0;
}

struct jt_endpoint_table *jt_endpoint_table_create(TALLOC_CTX *mem_ctx,
						   size_t limit)
{
	struct jt_endpoint_table *table =
		talloc_zero(mem_ctx, struct jt_endpoint_table);

	if (table == NULL)
		return NULL;
	table->limit = limit;
	talloc_set_destructor(table, table_destructor);
	return table;
}

struct jt_incarnation *
jt_endpoint_table_by_id(const struct jt_endpoint_table *table, uint64_t id)
{
	struct jt_incarnation *found;

	HASH_FIND(by_id, table->ids, &id, sizeof(id), found);
	return found;
}

struct jt_incarnation *
jt_endpoint_table_label_owner(const struct jt_endpoint_table *table,
			      uint32_t label)
{
	struct jt_incarnation *found;

	HASH_FIND(by_label, table->labels, &label, sizeof(label), found);
	return found;
}

struct jt_incarnation *
jt_endpoint_table_by_label(const struct jt_endpoint_table *table,
			   uint32_t label)
{
	struct jt_incarnation *found =
		jt_endpoint_table_label_owner(table, label);

	if (found == NULL)
		HASH_FIND(by_earlier_label, table->earlier_labels, &label,
			  sizeof(label), found);
	return found;
}

struct jt_incarnation *
jt_endpoint_table_flow_holder(const struct jt_endpoint_table *table,
			      uint32_t label)
{
	struct jt_incarnation *owner =
		jt_endpoint_table_label_owner(table, label);
	struct jt_incarnation *holder = owner;

	if (owner == NULL)
		return jt_endpoint_table_by_label(table, label);
	while (holder != NULL && holder->state == JT_INCARNATION_DEAD)
		holder = holder->label_next;
	return holder != NULL ? holder : owner;
}

struct jt_service_pool *
jt_endpoint_table_pool(const struct jt_endpoint_table *table,
		       uint32_t service_id)
{
	struct jt_service_pool *found;

	HASH_FIND(hh, table->pools, &service_id, sizeof(service_id), found);
	return found;
}

/* Packs an address into an integer, for use as a hash key. */
static uint64_t address_key(struct jt_address address)
{
	return (uint64_t)address.ip << 16 | address.port;
}

struct jt_incarnation *
jt_endpoint_table_at(const struct jt_endpoint_table *table,
		     struct jt_address address)
{
	uint64_t key = address_key(address);
	struct jt_incarnation *found;

	HASH_FIND(by_address, table->addresses, &key, sizeof(key), found);
	return found;
}

static void address_join(struct jt_endpoint_table *table,
			 struct jt_incarnation *incarnation)
{
	struct jt_address address = incarnation->entry.address;
	struct jt_incarnation *first = jt_endpoint_table_at(table, address);

	incarnation->address_key = address_key(address);
	if (first == NULL)
		HASH_ADD(by_address, table->addresses, address_key,
			 sizeof(incarnation->address_key), incarnation);
	DL_APPEND2(first, incarnation, address_prev, address_next);
}

static void address_leave(struct jt_endpoint_table *table,
			  struct jt_incarnation *incarnation)
{
	struct jt_incarnation *first =
		jt_endpoint_table_at(table, incarnation->entry.address);
	struct jt_incarnation *rest;

	if (first == NULL)
		return;
	rest = first;
	DL_DELETE2(rest, incarnation, address_prev, address_next);
	if (rest == first)
		return;
	HASH_DELETE(by_address, table->addresses, first);
	if (rest != NULL)
		HASH_ADD(by_address, table->addresses, address_key,
			 sizeof(rest->address_key), rest);
}

/* Orders incarnations by their creation in discovery, the same on every
 * node. */
static int label_compare(const struct jt_incarnation *a,
			 const struct jt_incarnation *b)
{
	if (a->entry.created_revision != b->entry.created_revision)
		return a->entry.created_revision < b->entry.created_revision
			       ? -1
			       : 1;
	return a->entry.id < b->entry.id ? -1 : 1;
}

bool jt_incarnation_owns_label(const struct jt_incarnation *incarnation)
{
	/* In utlist, the head's prev is the tail, whose next is NULL. */
	return incarnation->label_prev->label_next == NULL;
}

bool jt_incarnation_shares_label(const struct jt_incarnation *incarnation)
{
	return incarnation->label_prev != incarnation;
}

static void label_join(struct jt_endpoint_table *table,
		       struct jt_incarnation *incarnation)
{
	struct jt_incarnation *first =
		jt_endpoint_table_label_owner(table, incarnation->label);
	struct jt_incarnation *oldest = first;

	DL_INSERT_INORDER2(oldest, incarnation, label_compare, label_prev,
			   label_next);
	if (oldest == first)
		return;
	if (first != NULL)
		HASH_DELETE(by_label, table->labels, first);
	HASH_ADD(by_label, table->labels, label, sizeof(oldest->label), oldest);
}

static void label_leave(struct jt_endpoint_table *table,
			struct jt_incarnation *incarnation)
{
	struct jt_incarnation *first =
		jt_endpoint_table_label_owner(table, incarnation->label);
	struct jt_incarnation *oldest = first;

	DL_DELETE2(oldest, incarnation, label_prev, label_next);
	if (oldest == first)
		return;
	HASH_DELETE(by_label, table->labels, first);
	if (oldest != NULL)
		HASH_ADD(by_label, table->labels, label, sizeof(oldest->label),
			 oldest);
}

static struct jt_service_pool *pool_add(struct jt_endpoint_table *table,
					uint32_t service_id)
{
	struct jt_service_pool *pool =
		talloc_zero(table, struct jt_service_pool);

	if (pool == NULL)
		return NULL;
	pool->service_id = service_id;
	HASH_ADD(hh, table->pools, service_id, sizeof(service_id), pool);
	return pool;
}

/* Ensures capacity for one more member. Returns false if memory runs out. */
static bool pool_grow(struct jt_service_pool *pool)
{
	size_t capacity =
		pool->capacity ? pool->capacity * 2 : POOL_INITIAL_CAPACITY;
	struct jt_incarnation **members;

	if (pool->count < pool->capacity)
		return true;
	members = talloc_realloc(pool, pool->members, struct jt_incarnation *,
				 capacity);
	if (members == NULL)
		return false;
	pool->members = members;
	pool->capacity = capacity;
	return true;
}

static void pool_remove(struct jt_endpoint_table *table,
			struct jt_service_pool *pool)
{
	HASH_DEL(table->pools, pool);
	talloc_free(pool);
}

static void pool_join(struct jt_endpoint_table *table,
		      struct jt_incarnation *incarnation)
{
	uint32_t service_id = incarnation->entry.service_id;
	struct jt_service_pool *pool =
		jt_endpoint_table_pool(table, service_id);

	if (pool == NULL)
		pool = pool_add(table, service_id);
	if (pool == NULL)
		return;
	if (!pool_grow(pool)) {
		if (pool->count == 0)
			pool_remove(table, pool);
		return;
	}
	incarnation->pool = pool;
	incarnation->pool_place = pool->count;
	pool->members[pool->count++] = incarnation;
}

static void pool_leave(struct jt_endpoint_table *table,
		       struct jt_incarnation *incarnation)
{
	struct jt_service_pool *pool = incarnation->pool;
	struct jt_incarnation *last;

	if (pool == NULL)
		return;
	last = pool->members[--pool->count];
	pool->members[incarnation->pool_place] = last;
	last->pool_place = incarnation->pool_place;
	incarnation->pool = NULL;
	if (pool->count == 0)
		pool_remove(table, pool);
}

/* Returns the slice of an id; ids are hashed to spread them evenly. */
static struct jt_endpoint_slice *slice_of(struct jt_endpoint_table *table,
					  uint64_t id)
{
	return &table->slices[XXH64(&id, sizeof(id), 0) % JT_DIRECTOR_SLICES];
}

/* Updates the slice's latest revision after a change of the incarnation. */
static void slice_revision_update(struct jt_endpoint_table *table,
				  const struct jt_incarnation *incarnation)
{
	struct jt_endpoint_slice *slice =
		slice_of(table, incarnation->entry.id);
	uint64_t revision = jt_incarnation_revision(incarnation);

	if (revision > slice->newest)
		slice->newest = revision;
}

static void slice_join(struct jt_endpoint_table *table,
		       struct jt_incarnation *incarnation)
{
	struct jt_endpoint_slice *slice =
		slice_of(table, incarnation->entry.id);

	DL_APPEND2(slice->members, incarnation, slice_prev, slice_next);
	slice_revision_update(table, incarnation);
}

static void slice_leave(struct jt_endpoint_table *table,
			struct jt_incarnation *incarnation)
{
	struct jt_endpoint_slice *slice =
		slice_of(table, incarnation->entry.id);

	DL_DELETE2(slice->members, incarnation, slice_prev, slice_next);
}

static void entry_copy(struct jt_incarnation *incarnation,
		       const struct jt_endpoint_entry *entry, uint64_t now_ms)
{
	incarnation->entry = *entry;
	incarnation->entry.removed_revision = 0;
	incarnation->entry.unreadable = false;
	incarnation->entry_received_ms = now_ms;
	incarnation->cold_until_ms = now_ms + entry->cold_left_ms;
}

/* Replaces the entry of an incarnation that is in the table. */
static void entry_replace(struct jt_endpoint_table *table,
			  struct jt_incarnation *known,
			  const struct jt_endpoint_entry *entry,
			  uint64_t now_ms)
{
	bool address_changed =
		!jt_address_same(entry->address, known->entry.address);
	bool service_changed = entry->service_id != known->entry.service_id;

	if (address_changed)
		address_leave(table, known);
	if (service_changed)
		pool_leave(table, known);
	entry_copy(known, entry, now_ms);
	if (address_changed)
		address_join(table, known);
	if (service_changed)
		pool_join(table, known);
}

static enum jt_entry_result entry_add(struct jt_endpoint_table *table,
				      const struct jt_endpoint_entry *entry,
				      uint64_t now_ms,
				      struct jt_incarnation **incarnation)
{
	struct jt_incarnation *added;

	if (table->count >= table->limit)
		return JT_ENTRY_LIMIT_REACHED;
	added = talloc_zero(table, struct jt_incarnation);
	if (added == NULL)
		return JT_ENTRY_LIMIT_REACHED;
	added->label = jt_incarnation_label(entry->id, entry->start_time_ms);
	added->listed = true;
	added->state_ms = now_ms;
	entry_copy(added, entry, now_ms);
	HASH_ADD(by_id, table->ids, entry.id, sizeof(entry->id), added);
	label_join(table, added);
	address_join(table, added);
	slice_join(table, added);
	pool_join(table, added);
	table->count++;
	*incarnation = added;
	return JT_ENTRY_NEW;
}

static void earlier_label_leave(struct jt_endpoint_table *table,
				struct jt_incarnation *incarnation)
{
	if (incarnation->earlier_label == 0)
		return;
	HASH_DELETE(by_earlier_label, table->earlier_labels, incarnation);
	incarnation->earlier_label = 0;
}

/* Clears all observations of the incarnation by this node and its peers. */
static void observations_clear(struct jt_incarnation *incarnation)
{
	size_t begin = offsetof(struct jt_incarnation, state);
	size_t end = offsetof(struct jt_incarnation, pool);

	memset((char *)incarnation + begin, 0, end - begin);
}

/* Turns the incarnation into the new one that its entry describes: discards
 * the observations of the earlier one, whose flows have ended, and changes the
 * label. */
static void incarnation_restart(struct jt_endpoint_table *table,
				struct jt_incarnation *incarnation,
				uint64_t now_ms)
{
	uint32_t earlier_label = incarnation->label;

	label_leave(table, incarnation);
	earlier_label_leave(table, incarnation);
	observations_clear(incarnation);
	incarnation->state_ms = now_ms;
	incarnation->label = jt_incarnation_label(
		incarnation->entry.id, incarnation->entry.start_time_ms);
	label_join(table, incarnation);
	incarnation->earlier_label = earlier_label;
	HASH_ADD(by_earlier_label, table->earlier_labels, earlier_label,
		 sizeof(earlier_label), incarnation);
}

/* Returns the earlier of two creation times of an incarnation; 0: unknown. An
 * entry that expired and was renewed has a later creation time, and nodes that
 * start after that must order incarnations as the others do. */
static uint64_t created_earlier(uint64_t a, uint64_t b)
{
	if (a == 0 || b == 0)
		return a + b;
	return a < b ? a : b;
}

/* Sets the creation time of the incarnation, which may change its order among
 * those with the same label. */
static void created_update(struct jt_endpoint_table *table,
			   struct jt_incarnation *incarnation, uint64_t created)
{
	if (created == incarnation->entry.created_revision)
		return;
	label_leave(table, incarnation);
	incarnation->entry.created_revision = created;
	label_join(table, incarnation);
}

enum jt_entry_result
jt_endpoint_table_update(struct jt_endpoint_table *table,
			 const struct jt_endpoint_entry *entry, bool stale,
			 uint64_t now_ms, struct jt_incarnation **incarnation)
{
	struct jt_incarnation *known =
		jt_endpoint_table_by_id(table, entry->id);
	uint64_t removed_revision, created, previous_created;
	bool unreadable, restarted;

	if (known == NULL)
		return entry_add(table, entry, now_ms, incarnation);
	known->listed = true;
	restarted = entry->start_time_ms != known->entry.start_time_ms;
	previous_created = known->entry.created_revision;
	created = restarted ? entry->created_revision
			    : created_earlier(entry->created_revision,
					      previous_created);
	if (!stale && entry->revision <= known->entry.revision) {
		if (!restarted)
			created_update(table, known, created);
		return JT_ENTRY_OLD;
	}
	removed_revision = known->entry.removed_revision;
	unreadable = known->entry.unreadable;
	entry_replace(table, known, entry, now_ms);
	known->entry.created_revision = previous_created;
	created_update(table, known, created);
	/* An update older than the removal is accepted but does not undo the
	 * removal. */
	if (!stale && removed_revision > entry->revision) {
		known->entry.removed_revision = removed_revision;
		known->entry.unreadable = unreadable;
	}
	if (restarted)
		incarnation_restart(table, known, now_ms);
	slice_revision_update(table, known);
	*incarnation = known;
	return restarted ? JT_ENTRY_RESTARTED : JT_ENTRY_CHANGED;
}

void jt_endpoint_table_record_removal(struct jt_endpoint_table *table,
				      struct jt_incarnation *incarnation,
				      uint64_t revision, uint32_t age_ms,
				      uint64_t now_ms)
{
	if (incarnation->entry.removed_revision == 0)
		incarnation->removed_ms = now_ms - age_ms;
	else
		jt_endpoint_table_removed_earlier(incarnation, age_ms, now_ms);
	incarnation->entry.removed_revision = revision;
	incarnation->entry_received_ms = now_ms;
	slice_revision_update(table, incarnation);
	jt_endpoint_table_schedule(table, incarnation);
}

void jt_endpoint_table_removed_earlier(struct jt_incarnation *incarnation,
				       uint32_t age_ms, uint64_t now_ms)
{
	if (age_ms > jt_incarnation_removed_age_ms(incarnation, now_ms))
		incarnation->removed_ms = now_ms - age_ms;
}

void jt_endpoint_table_schedule(struct jt_endpoint_table *table,
				struct jt_incarnation *incarnation)
{
	if (incarnation->scheduled)
		return;
	incarnation->scheduled = true;
	DL_APPEND2(table->scheduled, incarnation, scheduled_prev,
		   scheduled_next);
}

void jt_endpoint_table_unschedule(struct jt_endpoint_table *table,
				  struct jt_incarnation *incarnation)
{
	if (!incarnation->scheduled)
		return;
	incarnation->scheduled = false;
	DL_DELETE2(table->scheduled, incarnation, scheduled_prev,
		   scheduled_next);
}

void jt_endpoint_table_remove(struct jt_endpoint_table *table,
			      struct jt_incarnation *incarnation)
{
	HASH_DELETE(by_id, table->ids, incarnation);
	label_leave(table, incarnation);
	earlier_label_leave(table, incarnation);
	address_leave(table, incarnation);
	slice_leave(table, incarnation);
	jt_endpoint_table_unschedule(table, incarnation);
	pool_leave(table, incarnation);
	table->count--;
	talloc_free(incarnation);
}
