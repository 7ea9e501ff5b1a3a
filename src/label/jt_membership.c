#include "jt_membership.h"
#include "jt_mechanism.h"

#include <string.h>

enum {
	/* Silent for so long, and longer by as much for each so many peers:
	 * where there are many, each is heard of less often. */
	PEER_LOST_MS = 4000,
	PEER_LOST_PEERS = 25,
	PEER_FORGET_MS = 60000, /* and forgotten so long after that */
	/* Where one digest tells of all peers, any of them is as good a target;
	 * where there are more, most digests stay in their zone: one round in
	 * so many has a target of any zone. */
	FAR_ROUNDS = 8,
	/* Nodes that send news to any zone, for each zone: the news misses a
	 * zone once in some thousand times, and digests make up for it. */
	NEWS_CROSSINGS = 8,
	ZONES_MOST = 16,
	/* Readers of the store there are at the least, over all zones. */
	READERS_LEAST = 3,
	/* A process that ended is back, and heard, within this time if its
	 * machine starts it again. */
	RESTART_MOST_MS = 1500,
	/* How long a node may take to leave where the settings don't say. */
	DEFAULT_LEAVE_LIMIT_MS = 6000,
	/* One round in so many also tries a seed, or a peer that was lost. */
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

/* Room for one more: the list grows up to its limit, then the peer that was
 * silent longest gives way. */
static struct jt_peer *peer_room(struct jt_membership *membership)
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
		if (membership->peers[i].heard_ms <
		    membership->peers[oldest].heard_ms)
			oldest = i;
	}
	return &membership->peers[oldest];
}

static struct jt_peer *peer_add(struct jt_membership *membership,
				struct jt_address address)
{
	struct jt_peer *peer = peer_room(membership);

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

/* How long a peer may be silent before it counts as lost. */
static uint64_t lost_ms(const struct jt_membership *membership)
{
	return PEER_LOST_MS +
	       PEER_LOST_MS * membership->count / PEER_LOST_PEERS;
}

/* What another node has heard of a third one. */
static void peer_hearsay(struct jt_membership *membership,
			 const jt_wire_peer *told, uint64_t now_ms)
{
	struct jt_address address = {told->address, (uint16_t)told->port};
	uint64_t heard_ms = now_ms > told->age_ms ? now_ms - told->age_ms : 0;
	struct jt_peer *peer;

	if (told->id == membership->id || told->port > UINT16_MAX ||
	    jt_address_same(address, membership->address) ||
	    told->age_ms >= lost_ms(membership))
		return;
	peer = peer_find(membership, address);
	if (peer == NULL) {
		peer = peer_add(membership, address);
		if (peer == NULL)
			return;
		peer->id = told->id;
		peer->zone_id = told->zone;
	}
	if (peer->id == 0) {
		peer->id = told->id;
		peer->zone_id = told->zone;
	}
	if (heard_ms <= peer->heard_ms)
		return;
	if (peer->id == told->id)
		peer->weight = told->weight;
	peer->heard_ms = heard_ms;
	peer->lost = false;
}

/* The process @from at @address was heard; NULL when that is this one, or
 * memory runs out. A process that is new there knows nothing yet. */
static struct jt_peer *peer_heard(struct jt_membership *membership,
				  uint64_t from, struct jt_address address,
				  const jt_wire_standing *standing,
				  uint64_t now_ms, bool *news)
{
	struct jt_peer *peer;

	*news = false;
	if (from == membership->id ||
	    jt_address_same(address, membership->address))
		return NULL;
	peer = peer_find(membership, address);
	if (peer == NULL)
		peer = peer_add(membership, address);
	if (peer == NULL)
		return NULL;
	*news = !peer->heard || peer->id != from;
	if (peer->id != from) {
		peer->routing_version = 0;
		peer->revision = 0;
	}
	peer->id = from;
	peer->heard_ms = now_ms;
	peer->heard = true;
	peer->lost = false;
	peer->no_answer = false;
	peer->zone_id = standing->zone;
	peer->started = standing->started;
	peer->leaving = standing->leaving;
	peer->ready = standing->ready;
	peer->weight = standing->weight;
	return peer;
}

bool jt_membership_standing(struct jt_membership *membership, uint64_t from,
			    struct jt_address address,
			    const jt_wire_standing *standing, uint64_t now_ms)
{
	bool news;

	(void)peer_heard(membership, from, address, standing, now_ms, &news);
	return news;
}

bool jt_membership_digest(struct jt_membership *membership, uint64_t from,
			  struct jt_address address,
			  const jt_wire_digest *digest, uint64_t now_ms)
{
	const jt_wire_standing standing = {
		.zone = digest->zone,
		.started = digest->started,
		.leaving = digest->leaving,
		.ready = digest->ready,
		.weight = digest->weight,
	};
	struct jt_peer *peer;
	bool news;

	peer = peer_heard(membership, from, address, &standing, now_ms, &news);
	if (peer == NULL)
		return false;
	peer->routing_version = digest->routing_version;
	peer->revision = digest->revision;
	peer->places = digest->places;
	for (u_int i = 0; i < digest->peers.peers_len; i++)
		peer_hearsay(membership, &digest->peers.peers_val[i], now_ms);
	return news;
}

/* A peer at random: one that lives, or any when @any. */
static const struct jt_peer *peer_pick(struct jt_membership *membership,
				       bool any)
{
	size_t start;

	if (membership->count == 0)
		return NULL;
	start = jt_random_next(&membership->random) % membership->count;
	for (size_t i = 0; i < membership->count; i++) {
		const struct jt_peer *peer =
			&membership->peers[(start + i) % membership->count];

		if (any || jt_peer_lives(peer))
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

/* A peer of the own zone at random, any when there is none. */
static const struct jt_peer *peer_pick_near(struct jt_membership *membership)
{
	size_t start;

	if (membership->count == 0)
		return NULL;
	start = jt_random_next(&membership->random) % membership->count;
	for (size_t i = 0; i < membership->count; i++) {
		const struct jt_peer *peer =
			&membership->peers[(start + i) % membership->count];

		if (jt_peer_lives(peer) && peer->zone_id == membership->zone_id)
			return peer;
	}
	return peer_pick(membership, false);
}

/* Whom to tell in a round, whatever was told before. */
static const struct jt_peer *peer_pick_round(struct jt_membership *membership)
{
	if (membership->count <= JT_DIRECTOR_MAX_PEERS ||
	    !jt_mechanism_on(membership->without, JT_MECHANISM_NEAR_DIGESTS) ||
	    jt_random_next(&membership->random) % FAR_ROUNDS == 0)
		return peer_pick(membership, false);
	return peer_pick_near(membership);
}

size_t jt_membership_round(struct jt_membership *membership,
			   struct jt_address targets[JT_DIGEST_FANOUT])
{
	size_t count = 0;

	if (jt_membership_live(membership) < JT_DIGEST_FANOUT ||
	    jt_random_next(&membership->random) % RETRY_ROUNDS == 0)
		count = target_add(targets, count, peer_pick(membership, true));
	while (count < JT_DIGEST_FANOUT) {
		size_t before = count;

		count = target_add(targets, count, peer_pick_round(membership));
		if (count == before)
			break;
	}
	return count;
}

/* How many zones the live peers and this node are in, ZONES_MOST at the most.
 */
static size_t zones_known(const struct jt_membership *membership)
{
	uint32_t zones[ZONES_MOST] = {membership->zone_id};
	size_t count = 1;

	for (size_t i = 0; i < membership->count && count < ZONES_MOST; i++) {
		const struct jt_peer *peer = &membership->peers[i];
		size_t zone = 0;

		if (!jt_peer_lives(peer))
			continue;
		while (zone < count && zones[zone] != peer->zone_id)
			zone++;
		if (zone == count)
			zones[count++] = peer->zone_id;
	}
	return count;
}

/* Whether this node sends news to any zone, so that it crosses over: of all
 * nodes, each of which sends it on once, some for each zone are enough. */
static bool news_crosses(struct jt_membership *membership)
{
	size_t crossings = NEWS_CROSSINGS * zones_known(membership);

	return !jt_mechanism_on(membership->without,
				JT_MECHANISM_NEAR_DIGESTS) ||
	       jt_random_next(&membership->random) % (membership->count + 1) <
		       crossings;
}

size_t jt_membership_news_targets(struct jt_membership *membership,
				  struct jt_address targets[JT_NEWS_FANOUT])
{
	size_t count = 0;

	if (news_crosses(membership))
		count = target_add(targets, 0, peer_pick(membership, false));
	/* A draw that comes twice is a target less: gossip may miss some. */
	for (int i = (int)count; i < JT_NEWS_FANOUT; i++)
		count = target_add(targets, count, peer_pick_near(membership));
	return count;
}

/* Zones that have a node that can read the store, this node's own included,
 * as far as they matter. */
static size_t reading_zones(const struct jt_membership *membership)
{
	uint32_t zones[READERS_LEAST] = {membership->zone_id};
	size_t count = 1;

	for (size_t i = 0; i < membership->count && count < READERS_LEAST;
	     i++) {
		const struct jt_peer *peer = &membership->peers[i];
		bool known = false;

		if (!jt_peer_lives(peer) || peer->weight == 0)
			continue;
		for (size_t zone = 0; zone < count; zone++)
			known = known || zones[zone] == peer->zone_id;
		if (!known)
			zones[count++] = peer->zone_id;
	}
	return count;
}

/* Peers that go before this node as readers, of its zone or of all. */
static size_t readers_before(const struct jt_membership *membership,
			     uint32_t own_weight, bool only_zone)
{
	size_t before = 0;

	for (size_t i = 0; i < membership->count; i++) {
		const struct jt_peer *peer = &membership->peers[i];

		if (!jt_peer_lives(peer) || peer->weight == 0 ||
		    (only_zone && peer->zone_id != membership->zone_id))
			continue;
		if (peer->weight > own_weight ||
		    (peer->weight == own_weight && peer->id < membership->id))
			before++;
	}
	return before;
}

bool jt_membership_reads_first(const struct jt_membership *membership,
			       uint32_t own_weight)
{
	size_t zones = reading_zones(membership);
	size_t readers = (READERS_LEAST + zones - 1) / zones;

	return own_weight != 0 &&
	       readers_before(membership, own_weight, true) < readers;
}

enum jt_reading_turn
jt_membership_reading_turn(const struct jt_membership *membership,
			   uint32_t own_weight)
{
	if (!jt_mechanism_on(membership->without, JT_MECHANISM_FEW_READERS))
		return JT_TURN_OF_ALL;
	if (!jt_membership_reads_first(membership, own_weight))
		return JT_TURN_NONE;
	/* Where nodes are many, each zone has watchers of its own: what a peer
	 * serves to all others may choke its link. */
	if (membership->count > JT_DIRECTOR_MAX_PEERS ||
	    !jt_mechanism_on(membership->without, JT_MECHANISM_ONE_WATCHER))
		return JT_TURN_OF_ALL;
	return readers_before(membership, own_weight, false) == 0
		       ? JT_TURN_OF_ALL
		       : JT_TURN_OF_ZONE;
}

/* Whether routers send packets to the peer, as far as is known: of one that
 * only others have heard, its weight tells. */
static bool peer_ready(const struct jt_peer *peer)
{
	if (!jt_peer_lives(peer))
		return false;
	return peer->heard ? peer->ready : peer->weight > 0;
}

/* Whether the peer has left and did not come back as a new process. */
static bool peer_removed(const struct jt_membership *membership,
			 const struct jt_peer *peer, uint64_t now_ms)
{
	uint64_t most_ms = RESTART_MOST_MS;

	/* A node that leaves tells its own zone several times a second; other
	 * zones hear of it again only when its successor is ready. */
	if (peer->zone_id != membership->zone_id)
		most_ms += membership->leave_limit_ms;
	return peer->leaving && !peer->ready &&
	       now_ms - peer->heard_ms >= most_ms;
}

/* Count a peer of this node's zone. */
static void zone_count(const struct jt_membership *membership,
		       const struct jt_peer *peer, struct jt_zone_view *view)
{
	view->nodes++;
	if (!peer_ready(peer))
		return;
	if (!peer->heard || !peer->leaving) {
		view->serving++;
		return;
	}
	view->waiting++;
	if (peer->id < membership->id)
		view->before++;
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
			zone_count(membership, peer, &view);
		else if (peer_ready(peer) && !peer->leaving)
			view.elsewhere++;
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
		uint64_t silent_ms = now_ms - peer->heard_ms;

		if (jt_peer_lives(peer) && silent_ms >= lost_ms(membership)) {
			peer->lost = true;
			peer->heard = false;
			return peer;
		}
		if (peer->id != 0 &&
		    silent_ms >= lost_ms(membership) + PEER_FORGET_MS)
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
		if (jt_peer_lives(&membership->peers[i]))
			(*ids)[count++] = membership->peers[i].id;
	}
	return count;
}

size_t jt_membership_live(const struct jt_membership *membership)
{
	size_t live = 0;

	for (size_t i = 0; i < membership->count; i++) {
		if (jt_peer_lives(&membership->peers[i]))
			live++;
	}
	return live;
}
