/* Tests of gossip membership: discovery, failure detection, and the choice of
 * peers for digests, gossip updates and state snapshots. */
#include "test.h"

#include "jt_membership.h"

enum { NODES = 100, SEEDS = 3, PORT = 7720, ROUND_MS = 500 };

struct member {
	struct jt_membership *membership;
	struct jt_own_state own;
	bool alive;
};

static struct jt_address address_of(int index)
{
	return (struct jt_address){0x0a000000 + (uint32_t)index, PORT};
}

static struct member *members_create(TALLOC_CTX *mem_ctx)
{
	struct member *members =
		talloc_zero_array(mem_ctx, struct member, NODES);

	for (int i = 0; i < NODES; i++) {
		members[i].alive = true;
		members[i].own.started = true;
		members[i].own.revision = 1;
		members[i].membership = jt_membership_create(
			members, 1000 + (uint64_t)i, address_of(i), 1);
		for (int seed = 0; seed < SEEDS; seed++)
			jt_membership_seed(members[i].membership,
					   address_of(seed));
	}
	return members;
}

/* Runs one gossip round of all live nodes; returns the messages sent. */
static unsigned run_gossip_round(struct member *members, uint64_t now_ms)
{
	unsigned sent = 0;

	for (int i = 0; i < NODES; i++) {
		struct jt_address targets[JT_DIGEST_FANOUT];
		TALLOC_CTX *frame = talloc_new(members);
		jt_wire_digest digest;
		size_t count;

		if (!members[i].alive)
			continue;
		while (jt_membership_next_lost(members[i].membership, now_ms) !=
		       NULL)
			continue;
		count = jt_membership_digest_targets(members[i].membership,
						     targets);
		jt_membership_own_digest(members[i].membership, frame,
					 &members[i].own, now_ms, &digest);
		for (size_t t = 0; t < count; t++) {
			struct member *to =
				&members[targets[t].ip - 0x0a000000];

			sent++;
			if (to->alive)
				jt_membership_digest(
					to->membership, 1000 + (uint64_t)i,
					address_of(i), &digest, now_ms);
		}
		talloc_free(frame);
	}
	return sent;
}

static void test_discovery_from_three_seeds(void **state)
{
	struct member *members = members_create(NULL);
	unsigned sent = 0;
	size_t min_count = NODES;

	(void)state;
	for (int round = 0; round < 40; round++)
		sent = run_gossip_round(members,
					1000 + (uint64_t)round * ROUND_MS);
	for (int i = 0; i < NODES; i++) {
		if (members[i].membership->count < min_count)
			min_count = members[i].membership->count;
	}
	assert_in_range(min_count, NODES - 4, NODES);
	/* The messages of each node don't grow with the number of nodes. */
	assert_in_range(sent, NODES, NODES * JT_DIGEST_FANOUT);
	talloc_free(members);
}

/* Guards against declaring live peers lost in a large cell, where digests of
 * each peer arrive less often. */
static void test_live_peers_of_large_cell_are_not_lost(void **state)
{
	struct member *members = members_create(NULL);
	unsigned lost = 0;

	(void)state;
	for (int round = 0; round < 60; round++)
		run_gossip_round(members, 1000 + (uint64_t)round * ROUND_MS);
	for (int round = 60; round < 120; round++) {
		uint64_t now_ms = 1000 + (uint64_t)round * ROUND_MS;

		for (int i = 0; i < NODES; i++) {
			while (jt_membership_next_lost(members[i].membership,
						       now_ms) != NULL)
				lost++;
		}
		run_gossip_round(members, now_ms);
	}
	/* Out of NODES * NODES peer entries over 30 s. */
	assert_in_range(lost, 0, NODES / 10);
	talloc_free(members);
}

/* Returns a node that knows all @nodes nodes of four zones. */
static struct jt_membership *membership_with_nodes(int nodes)
{
	struct jt_membership *membership =
		jt_membership_create(NULL, 1, address_of(0), 0);

	for (int i = 1; i < nodes; i++) {
		jt_wire_digest digest = {.zone = (u_int)i % 4};

		jt_membership_digest(membership, 1000 + (uint64_t)i,
				     address_of(i), &digest, 1000);
	}
	return membership;
}

/* Returns how many messages one of @nodes nodes in four zones sends to other
 * zones when it relays 1,000 gossip updates. */
static unsigned count_cross_zone_updates(int nodes)
{
	struct jt_membership *membership = membership_with_nodes(nodes);
	unsigned other_zone = 0;

	for (int update = 0; update < 1000; update++) {
		struct jt_address targets[JT_UPDATE_FANOUT];
		size_t count =
			jt_membership_update_targets(membership, targets);

		for (size_t t = 0; t < count; t++)
			other_zone += (targets[t].ip - 0x0a000000) % 4 != 0;
	}
	talloc_free(membership);
	return other_zone;
}

/* Every node relays an update once; only a part of the nodes of a large cell
 * relays it to other zones. */
static void test_some_nodes_relay_updates_to_other_zones(void **state)
{
	(void)state;
	assert_in_range(count_cross_zone_updates(16), 600, 900);
	/* 32 of 100 nodes send to other zones, with three of four draws. */
	assert_in_range(count_cross_zone_updates(NODES), 180, 300);
}

/* Limits traffic between zones: most digests stay in the zone. */
static void test_most_digests_stay_in_zone(void **state)
{
	struct jt_membership *membership = membership_with_nodes(NODES);
	unsigned same_zone = 0, sent = 0;

	(void)state;
	for (int round = 0; round < 400; round++) {
		struct jt_address targets[JT_DIGEST_FANOUT];
		size_t count =
			jt_membership_digest_targets(membership, targets);

		for (size_t t = 0; t < count; t++) {
			same_zone += (targets[t].ip - 0x0a000000) % 4 == 0;
			sent++;
		}
	}
	assert_in_range(same_zone * 100 / sent, 60, 85);
	talloc_free(membership);
}

static void test_dead_peer_is_reported_lost_once(void **state)
{
	struct jt_membership *membership =
		jt_membership_create(NULL, 1, address_of(0), 1);
	jt_wire_digest digest = {0};

	(void)state;
	assert_true(jt_membership_digest(membership, 2, address_of(1), &digest,
					 1000));
	assert_false(jt_membership_digest(membership, 2, address_of(1), &digest,
					  1500));
	assert_null(jt_membership_next_lost(membership, 3000));
	assert_non_null(jt_membership_next_lost(membership, 6000));
	assert_null(jt_membership_next_lost(membership, 6500));
	assert_int_equal(jt_membership_live(membership), 0);
	/* A new incarnation at the same address is a change. */
	assert_true(jt_membership_digest(membership, 3, address_of(1), &digest,
					 7000));
	talloc_free(membership);
}

static void test_node_behind_fetches_after_delay(void **state)
{
	struct jt_membership *membership =
		jt_membership_create(NULL, 1, address_of(0), 1);
	struct jt_own_state own = {.started = true, .revision = 10};
	jt_wire_digest digest = {.started = TRUE, .revision = 10};

	(void)state;
	jt_membership_digest(membership, 2, address_of(1), &digest, 1000);
	assert_null(jt_membership_fetch(membership, &own, 1000));
	digest.revision = 12;
	jt_membership_digest(membership, 2, address_of(1), &digest, 2000);
	/* The store may be about to deliver the same changes. */
	assert_null(jt_membership_fetch(membership, &own, 2000));
	assert_non_null(jt_membership_fetch(membership, &own, 3000));
	/* One fetch at a time. */
	assert_null(jt_membership_fetch(membership, &own, 3100));
	jt_membership_fetched(membership, JT_FETCH_FAILED, 3200);
	assert_null(jt_membership_fetch(membership, &own, 3300));
	assert_non_null(jt_membership_fetch(membership, &own, 4000));
	talloc_free(membership);
}

/* A fetch that failed is retried at another peer. */
static void test_failed_fetch_is_retried_at_another_peer(void **state)
{
	struct jt_membership *membership =
		jt_membership_create(NULL, 1, address_of(0), 0);
	struct jt_own_state own = {.started = true, .revision = 10};
	jt_wire_digest digest = {.started = TRUE, .revision = 12};
	const struct jt_peer *peer;
	uint64_t first;

	(void)state;
	jt_membership_digest(membership, 2, address_of(1), &digest, 1000);
	jt_membership_digest(membership, 3, address_of(2), &digest, 1000);
	jt_membership_fetch(membership, &own, 1000);
	peer = jt_membership_fetch(membership, &own, 2000);
	assert_non_null(peer);
	first = peer->id;
	jt_membership_fetched(membership, JT_FETCH_FAILED, 2500);
	for (int i = 0; i < 8; i++) {
		peer = jt_membership_fetch(membership, &own, 3200);
		assert_non_null(peer);
		assert_int_not_equal(peer->id, first);
		membership->fetching = false;
	}
	/* A peer whose digest arrives again may be asked again. */
	jt_membership_digest(membership, first, address_of((int)first - 1),
			     &digest, 3300);
	assert_true(membership->peers[0].heard_directly &&
		    membership->peers[1].heard_directly);
	talloc_free(membership);
}

static void test_starting_node_fetches_immediately(void **state)
{
	struct jt_membership *membership =
		jt_membership_create(NULL, 1, address_of(0), 1);
	struct jt_own_state own = {0};
	jt_wire_digest digest = {.revision = 12};

	(void)state;
	jt_membership_digest(membership, 2, address_of(1), &digest, 1000);
	/* A peer that has not started has no state to send. */
	assert_null(jt_membership_fetch(membership, &own, 1000));
	digest.started = TRUE;
	jt_membership_digest(membership, 2, address_of(1), &digest, 1001);
	assert_non_null(jt_membership_fetch(membership, &own, 1001));
	talloc_free(membership);
}

static void test_own_address_is_not_a_peer(void **state)
{
	struct jt_membership *membership =
		jt_membership_create(NULL, 1, address_of(0), 1);
	jt_wire_digest digest = {0};

	(void)state;
	jt_membership_seed(membership, address_of(0));
	assert_int_equal(membership->count, 0);
	jt_membership_digest(membership, 1, address_of(0), &digest, 1000);
	assert_int_equal(membership->count, 0);
	talloc_free(membership);
}

enum { STRONG = 500, WEAK = 38, STRONG_PEERS = 15, WEAK_PEERS = 100 };

/* Returns a seed of weight WEAK that knows many peers. */
static struct jt_membership *seed_with_many_peers(void)
{
	struct jt_membership *seed =
		jt_membership_create(NULL, 2, address_of(1), 1);

	for (uint32_t i = 0; i < STRONG_PEERS + WEAK_PEERS; i++) {
		const jt_wire_digest digest = {
			.zone = 1,
			.started = TRUE,
			.revision = 12,
			.weight = i % 8 == 0 && i / 8 < STRONG_PEERS ? STRONG
								     : WEAK,
		};

		jt_membership_digest(seed, 100 + i, address_of(100 + (int)i),
				     &digest, 1000);
	}
	return seed;
}

/* Answers a node without state with the digest of @seed. */
static void send_seed_digest(struct jt_membership *seed,
			     struct jt_membership *starting_node,
			     uint64_t now_ms)
{
	const struct jt_own_state own = {
		.started = true, .revision = 12, .reader_capacity = WEAK};
	TALLOC_CTX *frame = talloc_new(seed);
	jt_wire_digest digest;

	jt_membership_source_digest(seed, frame, &own, starting_node->zone_id,
				    now_ms, &digest);
	assert_int_equal(digest.peers.peers_len, JT_DIRECTOR_MAX_PEERS);
	jt_membership_digest(starting_node, seed->id, seed->address, &digest,
			     now_ms);
	talloc_free(frame);
}

/* Nodes that start together know only a seed, which may be the weakest node:
 * they must not all fetch their state from it. */
static void test_starting_nodes_fetch_from_strong_peers(void **state)
{
	struct jt_membership *seed = seed_with_many_peers();
	const struct jt_own_state own = {0};
	unsigned from_seed = 0, from_strong = 0;

	(void)state;
	for (uint64_t id = 5000; id < 5200; id++) {
		struct jt_membership *starting_node =
			jt_membership_create(NULL, id, address_of((int)id), 1);
		const struct jt_peer *source;

		send_seed_digest(seed, starting_node, 1100);
		source = jt_membership_fetch(starting_node, &own, 1101);
		assert_non_null(source);
		from_seed += source->id == seed->id;
		from_strong += source->reader_capacity == STRONG;
		talloc_free(starting_node);
	}
	assert_in_range(from_seed, 0, 10);
	assert_in_range(from_strong, 150, 200);
	talloc_free(seed);
}

/* A full state snapshot is large: nodes fetch it in their own zone. */
static void test_starting_nodes_fetch_in_their_zone(void **state)
{
	const struct jt_own_state own = {0};
	unsigned same_zone = 0;

	(void)state;
	for (uint64_t id = 5000; id < 5200; id++) {
		struct jt_membership *starting_node =
			jt_membership_create(NULL, id, address_of((int)id), 1);
		const struct jt_peer *source;

		for (int i = 0; i < 30; i++) {
			const jt_wire_digest digest = {
				.zone = (u_int)i % 3,
				.started = TRUE,
				.revision = 12,
				.weight = WEAK,
			};

			jt_membership_digest(starting_node, 100 + (uint64_t)i,
					     address_of(100 + i), &digest,
					     1100);
		}
		source = jt_membership_fetch(starting_node, &own, 1101);
		assert_non_null(source);
		same_zone += source->zone_id == 1;
		talloc_free(starting_node);
	}
	assert_in_range(same_zone, 175, 200);
}

/* A source that did not answer is not asked again immediately. */
static void test_starting_node_tries_other_sources(void **state)
{
	struct jt_membership *seed = seed_with_many_peers();
	const struct jt_own_state own = {0};
	uint64_t sources[5];

	(void)state;
	for (uint64_t id = 5000; id < 5050; id++) {
		struct jt_membership *starting_node =
			jt_membership_create(NULL, id, address_of((int)id), 1);
		uint64_t now_ms = 1101;

		send_seed_digest(seed, starting_node, 1100);
		for (size_t i = 0; i < 5; i++) {
			const struct jt_peer *source = jt_membership_fetch(
				starting_node, &own, now_ms);

			assert_non_null(source);
			sources[i] = source->id;
			for (size_t j = 0; j < i; j++)
				assert_int_not_equal(sources[j], sources[i]);
			now_ms += 250;
			jt_membership_fetched(starting_node, JT_FETCH_FAILED,
					      now_ms);
			now_ms += 250;
		}
		talloc_free(starting_node);
	}
	talloc_free(seed);
}

/* A node that becomes ready reports its availability to all peers. Peers that
 * are behind must not all fetch their state from it. */
static void test_availability_report_starts_no_fetch(void **state)
{
	struct jt_membership *membership =
		jt_membership_create(NULL, 1, address_of(0), 1);
	const struct jt_own_state own = {.started = true, .revision = 11};
	jt_wire_digest digest = {.revision = 12, .started = TRUE};
	const jt_wire_availability availability = {
		.zone = 1, .started = TRUE, .ready = TRUE};

	(void)state;
	assert_true(jt_membership_record_availability(
		membership, 2, address_of(1), &availability, 1000));
	assert_false(jt_membership_record_availability(
		membership, 2, address_of(1), &availability, 1001));
	assert_int_equal(jt_membership_zone(membership, 1001).serving, 1);
	assert_null(jt_membership_fetch(membership, &own, 2000));
	assert_null(jt_membership_fetch(membership, &own, 3000));
	/* A digest counts as long as the incarnation that sent it. */
	jt_membership_digest(membership, 2, address_of(1), &digest, 3001);
	jt_membership_record_availability(membership, 2, address_of(1),
					  &availability, 3002);
	assert_null(jt_membership_fetch(membership, &own, 3002));
	assert_non_null(jt_membership_fetch(membership, &own, 4000));
	membership->fetching = false;
	jt_membership_record_availability(membership, 3, address_of(1),
					  &availability, 4001);
	assert_null(jt_membership_fetch(membership, &own, 4500));
	assert_null(jt_membership_fetch(membership, &own, 5500));
	talloc_free(membership);
}

/* Nodes of other zones report only the start of their leaving and the readiness
 * of their successors: a slow restart must not count as a removal. */
static void test_slow_leave_in_other_zone_is_no_removal(void **state)
{
	struct jt_membership *membership =
		jt_membership_create(NULL, 1, address_of(0), 1);
	const jt_wire_availability other_zone = {
		.zone = 2, .started = TRUE, .leaving = TRUE};
	const jt_wire_availability same_zone = {
		.zone = 1, .started = TRUE, .leaving = TRUE};

	(void)state;
	jt_membership_record_availability(membership, 2, address_of(1),
					  &other_zone, 1000);
	assert_int_equal(jt_membership_zone(membership, 7000).removed, 0);
	assert_int_equal(jt_membership_zone(membership, 9500).removed, 1);
	/* A node of the own zone would have reported meanwhile. */
	jt_membership_record_availability(membership, 3, address_of(2),
					  &same_zone, 10000);
	jt_membership_record_availability(membership, 2, address_of(1),
					  &same_zone, 10000);
	assert_int_equal(jt_membership_zone(membership, 11000).removed, 0);
	assert_int_equal(jt_membership_zone(membership, 11600).removed, 2);
	talloc_free(membership);
}

/* Reports @availability for @count nodes, at the addresses from @first on. */
static void report_availability(struct jt_membership *membership, int first,
				int count, jt_wire_availability availability)
{
	for (int i = first; i < first + count; i++)
		jt_membership_record_availability(membership, 100 + (uint64_t)i,
						  address_of(i), &availability,
						  1000);
}

static bool is_target(const struct jt_address *targets, size_t count, int index)
{
	for (size_t i = 0; i < count; i++) {
		if (targets[i].ip == address_of(index).ip)
			return true;
	}
	return false;
}

/* Flow lookups go to the peers of the own zone and to leaving nodes of other
 * zones, but not to nodes that have not started. */
static void test_flow_lookups_go_to_zone_peers(void **state)
{
	const jt_wire_availability serving = {
		.zone = 1, .started = TRUE, .ready = TRUE};
	const jt_wire_availability other_zone = {
		.zone = 2, .started = TRUE, .ready = TRUE};
	const jt_wire_availability other_zone_leaving = {
		.zone = 2, .started = TRUE, .leaving = TRUE, .ready = TRUE};
	const jt_wire_availability starting = {.zone = 1};
	struct jt_membership *membership =
		jt_membership_create(NULL, 1, address_of(0), 1);
	struct jt_address targets[JT_FLOW_LOOKUP_FANOUT];
	size_t count;

	(void)state;
	assert_int_equal(jt_membership_flow_lookup_targets(membership, targets),
			 0);
	report_availability(membership, 1, 10, serving);
	report_availability(membership, 11, 10, other_zone);
	report_availability(membership, 21, 1, other_zone_leaving);
	report_availability(membership, 22, 1, starting);
	count = jt_membership_flow_lookup_targets(membership, targets);
	assert_int_equal(count, 11);
	for (int i = 1; i <= 10; i++)
		assert_true(is_target(targets, count, i));
	assert_true(is_target(targets, count, 21));
	talloc_free(membership);
}

/* The only node of a zone looks flows up in other zones. */
static void test_single_node_looks_up_in_other_zones(void **state)
{
	const jt_wire_availability other_zone = {
		.zone = 2, .started = TRUE, .ready = TRUE};
	struct jt_membership *membership =
		jt_membership_create(NULL, 1, address_of(0), 1);
	struct jt_address targets[JT_FLOW_LOOKUP_FANOUT];

	(void)state;
	report_availability(membership, 1, 20, other_zone);
	assert_int_equal(jt_membership_flow_lookup_targets(membership, targets),
			 JT_FLOW_LOOKUP_FANOUT_OTHER_ZONES);
	talloc_free(membership);
}

/* The number of flow lookups is bounded in a large zone; leaving nodes are
 * asked first. */
static void test_flow_lookups_are_bounded(void **state)
{
	const jt_wire_availability serving = {
		.zone = 1, .started = TRUE, .ready = TRUE};
	const jt_wire_availability leaving = {
		.zone = 1, .started = TRUE, .leaving = TRUE};
	struct jt_membership *membership =
		jt_membership_create(NULL, 1, address_of(0), 1);
	struct jt_address targets[JT_FLOW_LOOKUP_FANOUT];

	(void)state;
	report_availability(membership, 1, 2000, serving);
	report_availability(membership, 2001, 3, leaving);
	for (int i = 0; i < 20; i++) {
		assert_int_equal(
			jt_membership_flow_lookup_targets(membership, targets),
			JT_FLOW_LOOKUP_FANOUT);
		for (int node = 2001; node <= 2003; node++)
			assert_true(is_target(targets, JT_FLOW_LOOKUP_FANOUT,
					      node));
	}
	talloc_free(membership);
}

/* A large cell fits into the peer table, and no peer expires early because
 * its digests arrive rarely. */
static void test_thousands_of_peers_are_kept(void **state)
{
	enum { PEERS = 2000, SILENCE_MS = 90000 };
	struct jt_membership *membership =
		jt_membership_create(NULL, 1, address_of(0), 1);
	const jt_wire_digest digest = {.zone = 1, .started = true};
	uint64_t *ids;

	(void)state;
	for (int i = 1; i <= PEERS; i++)
		jt_membership_digest(membership, 1000 + (uint64_t)i,
				     address_of(i), &digest, 1000);
	assert_null(jt_membership_next_lost(membership, 1000 + SILENCE_MS));
	assert_int_equal(jt_membership_live(membership), PEERS);
	assert_int_equal(jt_membership_ids(membership, membership, &ids),
			 PEERS);
	assert_int_equal(ids[PEERS - 1], 1000 + PEERS);
	talloc_free(membership);
}

/* A node without state first fetches a part of the endpoints from a peer that
 * has only a part; for the rest it waits for a started peer. */
static void test_starting_node_fetches_partial_state_first(void **state)
{
	struct jt_membership *membership =
		jt_membership_create(NULL, 1, address_of(0), 1);
	jt_wire_digest digest = {.zone = 1};
	struct jt_own_state own = {0};
	const struct jt_peer *peer;

	(void)state;
	jt_membership_digest(membership, 1001, address_of(1), &digest, 1000);
	assert_null(jt_membership_fetch(membership, &own, 1000));
	digest.accepts_flows = true;
	jt_membership_digest(membership, 1002, address_of(2), &digest, 1000);
	peer = jt_membership_fetch(membership, &own, 1000);
	assert_non_null(peer);
	assert_int_equal(peer->id, 1002);
	jt_membership_fetched(membership, JT_FETCH_BUSY, 1010);
	own.accepts_flows = true;
	assert_null(jt_membership_fetch(membership, &own, 2000));
	digest.started = true;
	jt_membership_digest(membership, 1003, address_of(3), &digest, 2000);
	peer = jt_membership_fetch(membership, &own, 2000);
	assert_non_null(peer);
	assert_int_equal(peer->id, 1003);
	talloc_free(membership);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_discovery_from_three_seeds),
		cmocka_unit_test(test_live_peers_of_large_cell_are_not_lost),
		cmocka_unit_test(
			test_starting_node_fetches_partial_state_first),
		cmocka_unit_test(test_thousands_of_peers_are_kept),
		cmocka_unit_test(test_flow_lookups_go_to_zone_peers),
		cmocka_unit_test(test_single_node_looks_up_in_other_zones),
		cmocka_unit_test(test_flow_lookups_are_bounded),
		cmocka_unit_test(test_some_nodes_relay_updates_to_other_zones),
		cmocka_unit_test(test_most_digests_stay_in_zone),
		cmocka_unit_test(test_dead_peer_is_reported_lost_once),
		cmocka_unit_test(test_node_behind_fetches_after_delay),
		cmocka_unit_test(test_failed_fetch_is_retried_at_another_peer),
		cmocka_unit_test(test_starting_node_fetches_immediately),
		cmocka_unit_test(test_own_address_is_not_a_peer),
		cmocka_unit_test(test_starting_nodes_fetch_from_strong_peers),
		cmocka_unit_test(test_starting_nodes_fetch_in_their_zone),
		cmocka_unit_test(test_starting_node_tries_other_sources),
		cmocka_unit_test(test_availability_report_starts_no_fetch),
		cmocka_unit_test(test_slow_leave_in_other_zone_is_no_removal),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
