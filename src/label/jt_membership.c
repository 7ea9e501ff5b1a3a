#include "jt_membership.h"
#include "jt_feature.h"

#include <string.h>

enum {
	/* A peer is lost after PEER_TIMEOUT_MS without a message, plus as much
	 * again for every PEER_TIMEOUT_PEERS known peers: in a large cluster
	 * each one sends to this node less often. */
	PEER_TIMEOUT_MS = 4000,
	PEER_TIMEOUT_PEERS = 25,
	PEER_RETENTION_MS = 60000, /* a lost peer is removed after this time */
	/* If the peers don't all fit into one digest, most digests stay within
	 * the zone: on average, one target in CROSS_ZONE_ROUNDS is chosen from
	 * any zone. */
	CROSS_ZONE_ROUNDS = 8,
	/* Expected number of nodes, for each zone, that forward an update to a
	 * node of any zone. An update misses a zone once in some thousand
	 * times, and digests make up for it. */
	CROSS_ZONE_SENDERS = 8,
	MAX_ZONES = 16,
	/* Minimum number of store readers over all zones. */
	MIN_READERS = 3,
	/* Time within which a restarted process sends again. */
	MAX_RESTART_MS = 1500,
	/* Maximum duration of a leave if the settings set none. */
	DEFAULT_LEAVE_LIMIT_MS = 6000,
	/* On average, one round in RETRY_ROUNDS also sends to any known
	 * address, including seeds and lost peers. */
	RETRY_ROUNDS = 4,
};

struct jt_membership *jt_membership_create(TALLOC_CTX *mem_ctx, uint64_t id,
					   struct jt_address address,
					   uint32_t zone_id)
{
	struct jt_membership *membership =
		talloc_zero(mem_ctx, struct jt_membership);

	if (membership == NULL)
		return NULL;
	membership->id = id;
	membership->address = address;
	membership->zone_id = zone_id;
	membership->random.seed = id;
	membership->leave_limit_ms = DEFAULT_LEAVE_LIMIT_MS;
	return membership;
}

static struct jt_peer *peer_find(struct jt_membership *membership,
				 struct jt_address address)
{
	for (size_t i = 0; i < membership->count; i++) {
		if (jt_address_same(membership->peers[i].address, address))
			return &membership->peers[i];
	}
	return NULL;
}

/* Allocates a slot for one more peer. A full list at its limit reuses the slot
 * of the peer that has been silent longest. */
static struct jt_peer *peer_allocate(struct jt_membership *membership)
{
	size_t oldest = 0;

	if (membership->count < membership->capacity)
		return &membership->peers[membership->count++];
	if (membership->capacity < JT_PEER_LIMIT) {
		size_t capacity =
			membership->capacity ? membership->capacity * 2 : 16;
		struct jt_peer *peers =
			talloc_realloc(membership, membership->peers,
				       struct jt_peer, capacity);

		if (peers == NULL)
			return NULL;
		membership->peers = peers;
		membership->capacity = capacity;
		return &membership->peers[membership->count++];
	}
	for (size_t i = 1; i < membership->count; i++) {
		if (membership->peers[i].last_heard_ms <
		    membership->peers[oldest].last_heard_ms)
			oldest = i;
	}
	return &membership->peers[oldest];
}

static struct jt_peer *peer_add(struct jt_membership *membership,
				struct jt_address address)
{
	struct jt_peer *peer = peer_allocate(membership);

	if (peer == NULL)
		return NULL;
	memset(peer, 0, sizeof(*peer));
	peer->address = address;
	return peer;
}

void jt_membership_seed(struct jt_membership *membership,
			struct jt_address address)
{
	if (!jt_address_same(address, membership->address) &&
	    peer_find(membership, address) == NULL)
		peer_add(membership, address);
}

/* Returns the silence in milliseconds after which a peer counts as lost. */
static uint64_t peer_timeout_ms(const struct jt_membership *membership)
{
	return PEER_TIMEOUT_MS +
	       PEER_TIMEOUT_MS * membership->count / PEER_TIMEOUT_PEERS;
}

/* Records a peer as reported in the digest of another one. */
static void peer_update_indirect(struct jt_membership *membership,
				 const jt_wire_peer *reported, uint64_t now_ms)
{
	struct jt_address address = {reported->address,
				     (uint16_t)reported->port};
	uint64_t last_heard_ms =
		now_ms > reported->age_ms ? now_ms - reported->age_ms : 0;
	struct jt_peer *peer;

	if (reported->id == membership->id || reported->port > UINT16_MAX ||
	    jt_address_same(address, membership->address) ||
	    reported->age_ms >= peer_timeout_ms(membership))
		return;
	peer = peer_find(membership, address);
	if (peer == NULL) {
		peer = peer_add(membership, address);
		if (peer == NULL)
			return;
		peer->id = reported->id;
		peer->zone_id = reported->zone;
	}
	if (peer->id == 0) {
		peer->id = reported->id;
		peer->zone_id = reported->zone;
	}
	if (last_heard_ms <= peer->last_heard_ms)
		return;
	if (peer->id == reported->id)
		peer->reader_capacity = reported->weight;
	peer->last_heard_ms = last_heard_ms;
	peer->lost = false;
}

/* Records a message from process @from at @address; sets @is_new if the peer
 * was new or had been lost. A new process at a known address starts with no
 * revision. Returns NULL if the message is this node's own or memory runs
 * out. */
static struct jt_peer *
peer_update_direct(struct jt_membership *membership, uint64_t from,
		   struct jt_address address,
		   const jt_wire_availability *availability, uint64_t now_ms,
		   bool *is_new)
{
	struct jt_peer *peer;

	*is_new = false;
	if (from == membership->id ||
	    jt_address_same(address, membership->address))
		return NULL;
	peer = peer_find(membership, address);
	if (peer == NULL)
		peer = peer_add(membership, address);
	if (peer == NULL)
		return NULL;
	*is_new = !peer->heard_directly || peer->id != from;
	if (peer->id != from) {
		peer->routing_version = 0;
		peer->revision = 0;
	}
	peer->id = from;
	peer->last_heard_ms = now_ms;
	peer->heard_directly = true;
	peer->lost = false;
	peer->fetch_failed = false;
	peer->zone_id = availability->zone;
	peer->started = availability->started;
	peer->leaving = availability->leaving;
	peer->ready = availability->ready;
	peer->reader_capacity = availability->weight;
	return peer;
}

bool jt_membership_record_availability(struct jt_membership *membership,
				       uint64_t from, struct jt_address address,
				       const jt_wire_availability *availability,
				       uint64_t now_ms)
{
	bool is_new;

	(void)peer_update_direct(membership, from, address, availability,
				 now_ms, &is_new);
	return is_new;
}

bool jt_membership_digest(struct jt_membership *membership, uint64_t from,
			  struct jt_address address,
			  const jt_wire_digest *digest, uint64_t now_ms)
{
	const jt_wire_availability availability = {
		.zone = digest->zone,
		.started = digest->started,
		.leaving = digest->leaving,
		.ready = digest->ready,
		.weight = digest->weight,
	};
	struct jt_peer *peer;
	bool is_new;

	peer = peer_update_direct(membership, from, address, &availability,
				  now_ms, &is_new);
	if (peer == NULL)
		return false;
	peer->routing_version = digest->routing_version;
	peer->revision = digest->revision;
	peer->accepts_flows = digest->accepts_flows;
	for (u_int i = 0; i < digest->peers.peers_len; i++)
		peer_update_indirect(membership, &digest->peers.peers_val[i],
				     now_ms);
	return is_new;
}

/* Returns a random live peer; with @include_lost, also a seed or a lost one. */
static const struct jt_peer *
peer_pick_any_zone(struct jt_membership *membership, bool include_lost)
{
	size_t start;

	if (membership->count == 0)
		return NULL;
	start = jt_random_next(&membership->random) % membership->count;
	for (size_t i = 0; i < membership->count; i++) {
		const struct jt_peer *peer =
			&membership->peers[(start + i) % membership->count];

		if (include_lost || jt_peer_is_alive(peer))
			return peer;
	}
	return NULL;
}

static size_t target_add(struct jt_address *targets, size_t count,
			 const struct jt_peer *peer)
{
	if (peer == NULL)
		return count;
	for (size_t i = 0; i < count; i++) {
		if (jt_address_same(targets[i], peer->address))
			return count;
	}
	targets[count] = peer->address;
	return count + 1;
}

/* Returns a random live peer of this zone, of any zone if there is none. */
static const struct jt_peer *
peer_pick_own_zone(struct jt_membership *membership)
{
	size_t start;

	if (membership->count == 0)
		return NULL;
	start = jt_random_next(&membership->random) % membership->count;
	for (size_t i = 0; i < membership->count; i++) {
		const struct jt_peer *peer =
			&membership->peers[(start + i) % membership->count];

		if (jt_peer_is_alive(peer) &&
		    peer->zone_id == membership->zone_id)
			return peer;
	}
	return peer_pick_any_zone(membership, false);
}

/* Picks the target of a digest, independent of earlier rounds. */
static const struct jt_peer *peer_pick_round(struct jt_membership *membership)
{
	if (membership->count <= JT_DIRECTOR_MAX_PEERS ||
	    !jt_feature_enabled(membership->disabled_features,
				JT_FEATURE_ZONE_DIGESTS) ||
	    jt_random_next(&membership->random) % CROSS_ZONE_ROUNDS == 0)
		return peer_pick_any_zone(membership, false);
	return peer_pick_own_zone(membership);
}

size_t jt_membership_digest_targets(struct jt_membership *membership,
				    struct jt_address targets[JT_DIGEST_FANOUT])
{
	size_t count = 0;

	if (jt_membership_live(membership) < JT_DIGEST_FANOUT ||
	    jt_random_next(&membership->random) % RETRY_ROUNDS == 0)
		count = target_add(targets, count,
				   peer_pick_any_zone(membership, true));
	while (count < JT_DIGEST_FANOUT) {
		size_t previous = count;

		count = target_add(targets, count, peer_pick_round(membership));
		if (count == previous)
			break;
	}
	return count;
}

/* Returns the number of zones of this node and its live peers, at most
 * MAX_ZONES. */
static size_t known_zone_count(const struct jt_membership *membership)
{
	uint32_t zones[MAX_ZONES] = {membership->zone_id};
	size_t count = 1;

	for (size_t i = 0; i < membership->count && count < MAX_ZONES; i++) {
		const struct jt_peer *peer = &membership->peers[i];
		size_t zone = 0;

		if (!jt_peer_is_alive(peer))
			continue;
		while (zone < count && zones[zone] != peer->zone_id)
			zone++;
		if (zone == count)
			zones[count++] = peer->zone_id;
	}
	return count;
}

/* Decides at random whether this node forwards an update to a peer of any zone.
 * Every node forwards an update once, so that CROSS_ZONE_SENDERS of them are
 * expected to do so for each zone. */
static bool crosses_zones(struct jt_membership *membership)
{
	size_t expected_senders =
		CROSS_ZONE_SENDERS * known_zone_count(membership);

	return !jt_feature_enabled(membership->disabled_features,
				   JT_FEATURE_ZONE_DIGESTS) ||
	       jt_random_next(&membership->random) % (membership->count + 1) <
		       expected_senders;
}

size_t jt_membership_update_targets(struct jt_membership *membership,
				    struct jt_address targets[JT_UPDATE_FANOUT])
{
	size_t count = 0;

	if (crosses_zones(membership))
		count = target_add(targets, 0,
				   peer_pick_any_zone(membership, false));
	/* A peer drawn twice is one target less; gossip tolerates that. */
	for (int i = (int)count; i < JT_UPDATE_FANOUT; i++)
		count = target_add(targets, count,
				   peer_pick_own_zone(membership));
	return count;
}

/* Returns the number of zones with a node that can read the store, including
 * this node's, at most MIN_READERS. */
static size_t reader_zone_count(const struct jt_membership *membership)
{
	uint32_t zones[MIN_READERS] = {membership->zone_id};
	size_t count = 1;

	for (size_t i = 0; i < membership->count && count < MIN_READERS; i++) {
		const struct jt_peer *peer = &membership->peers[i];
		bool known = false;

		if (!jt_peer_is_alive(peer) || peer->reader_capacity == 0)
			continue;
		for (size_t zone = 0; zone < count; zone++)
			known = known || zones[zone] == peer->zone_id;
		if (!known)
			zones[count++] = peer->zone_id;
	}
	return count;
}

/* Returns the number of store readers ranked before this node: higher capacity
 * first, then lower id. */
static size_t readers_ahead(const struct jt_membership *membership,
			    uint32_t own_capacity, bool own_zone_only)
{
	size_t ahead = 0;

	for (size_t i = 0; i < membership->count; i++) {
		const struct jt_peer *peer = &membership->peers[i];

		if (!jt_peer_is_alive(peer) || peer->reader_capacity == 0 ||
		    (own_zone_only && peer->zone_id != membership->zone_id))
			continue;
		if (peer->reader_capacity > own_capacity ||
		    (peer->reader_capacity == own_capacity &&
		     peer->id < membership->id))
			ahead++;
	}
	return ahead;
}

bool jt_membership_is_preferred_reader(const struct jt_membership *membership,
				       uint32_t own_capacity)
{
	size_t zones = reader_zone_count(membership);
	size_t readers = (MIN_READERS + zones - 1) / zones;

	return own_capacity != 0 &&
	       readers_ahead(membership, own_capacity, true) < readers;
}

bool jt_membership_many_watch(const struct jt_membership *membership)
{
	/* In a large cluster each zone has its own watchers: a single one that
	 * served all other nodes could saturate its link. */
	return membership->count > JT_DIRECTOR_MAX_PEERS ||
	       !jt_feature_enabled(membership->disabled_features,
				   JT_FEATURE_SINGLE_WATCHER);
}

enum jt_reader_rank
jt_membership_reader_rank(const struct jt_membership *membership,
			  uint32_t own_capacity)
{
	if (!jt_feature_enabled(membership->disabled_features,
				JT_FEATURE_FEW_READERS))
		return JT_READER_RANK_WATCHER;
	if (!jt_membership_is_preferred_reader(membership, own_capacity))
		return JT_READER_RANK_NONE;
	if (jt_membership_many_watch(membership))
		return JT_READER_RANK_WATCHER;
	return readers_ahead(membership, own_capacity, false) == 0
		       ? JT_READER_RANK_WATCHER
		       : JT_READER_RANK_ZONE;
}

/* Returns true if the peer is known to receive packets from routers. For a peer
 * known only through others, a capacity above 0 implies it. */
static bool peer_ready(const struct jt_peer *peer)
{
	if (!jt_peer_is_alive(peer))
		return false;
	return peer->heard_directly ? peer->ready : peer->reader_capacity > 0;
}

/* Returns true if the peer has left and was not replaced by a new process. */
static bool peer_removed(const struct jt_membership *membership,
			 const struct jt_peer *peer, uint64_t now_ms)
{
	uint64_t limit_ms = MAX_RESTART_MS;

	/* A leaving node sends to its own zone several times a second; other
	 * zones receive nothing until its successor is ready. */
	if (peer->zone_id != membership->zone_id)
		limit_ms += membership->leave_limit_ms;
	return peer->leaving && !peer->ready &&
	       now_ms - peer->last_heard_ms >= limit_ms;
}

/* Adds a peer of this node's zone to the counts. */
static void zone_view_add(const struct jt_membership *membership,
			  const struct jt_peer *peer, struct jt_zone_view *view)
{
	view->nodes++;
	if (!peer_ready(peer))
		return;
	if (!peer->heard_directly || !peer->leaving) {
		view->serving++;
		return;
	}
	view->waiting++;
	if (peer->id < membership->id)
		view->waiting_before++;
}

struct jt_zone_view jt_membership_zone(const struct jt_membership *membership,
				       uint64_t now_ms)
{
	struct jt_zone_view view = {0};

	for (size_t i = 0; i < membership->count; i++) {
		const struct jt_peer *peer = &membership->peers[i];

		if (peer->id == 0)
			continue;
		if (peer_removed(membership, peer, now_ms))
			view.removed++;
		if (peer->zone_id == membership->zone_id)
			zone_view_add(membership, peer, &view);
		else if (peer_ready(peer) && !peer->leaving)
			view.serving_other_zones++;
	}
	return view;
}

static void peer_forget(struct jt_membership *membership, size_t index)
{
	membership->peers[index] = membership->peers[--membership->count];
}

const struct jt_peer *jt_membership_next_lost(struct jt_membership *membership,
					      uint64_t now_ms)
{
	size_t i = 0;

	while (i < membership->count) {
		struct jt_peer *peer = &membership->peers[i];
		uint64_t silent_ms = now_ms - peer->last_heard_ms;

		if (jt_peer_is_alive(peer) &&
		    silent_ms >= peer_timeout_ms(membership)) {
			peer->lost = true;
			peer->heard_directly = false;
			return peer;
		}
		if (peer->id != 0 && silent_ms >= peer_timeout_ms(membership) +
							  PEER_RETENTION_MS)
			peer_forget(membership, i);
		else
			i++;
	}
	return NULL;
}

size_t jt_membership_ids(const struct jt_membership *membership,
			 TALLOC_CTX *mem_ctx, uint64_t **ids)
{
	size_t count = 0;

	*ids = talloc_array(mem_ctx, uint64_t, membership->count + 1);
	if (*ids == NULL)
		return 0;
	for (size_t i = 0; i < membership->count; i++) {
		if (jt_peer_is_alive(&membership->peers[i]))
			(*ids)[count++] = membership->peers[i].id;
	}
	return count;
}

size_t jt_membership_live(const struct jt_membership *membership)
{
	size_t live = 0;

	for (size_t i = 0; i < membership->count; i++) {
		if (jt_peer_is_alive(&membership->peers[i]))
			live++;
	}
	return live;
}
