/* Nodes find each other, lose each other, and learn from who knows more. */
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

/* Every live node tells two others; returns the messages sent. */
static unsigned round_play(struct member *members, uint64_t now_ms)
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
		count = jt_membership_round(members[i].membership, targets);
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

static void test_all_find_each_other_from_three_seeds(void **state)
{
	struct member *members = members_create(NULL);
	unsigned sent = 0;
	size_t least = NODES;

	(void)state;
	for (int round = 0; round < 40; round++)
		sent = round_play(members, 1000 + (uint64_t)round * ROUND_MS);
	for (int i = 0; i < NODES; i++) {
		if (members[i].membership->count < least)
			least = members[i].membership->count;
	}
	assert_in_range(least, NODES - 4, NODES);
	/* What a node sends does not grow with their number. */
	assert_in_range(sent, NODES, NODES * JT_DIGEST_FANOUT);
	talloc_free(members);
}

/* Failure 38: where nodes are many, each is heard of less often, and was taken
 * for lost again and again. */
static void test_live_peers_of_many_are_not_lost(void **state)
{
	struct member *members = members_create(NULL);
	unsigned lost = 0;

	(void)state;
	for (int round = 0; round < 60; round++)
		round_play(members, 1000 + (uint64_t)round * ROUND_MS);
	for (int round = 60; round < 120; round++) {
		uint64_t now_ms = 1000 + (uint64_t)round * ROUND_MS;

		for (int i = 0; i < NODES; i++) {
			while (jt_membership_next_lost(members[i].membership,
						       now_ms) != NULL)
				lost++;
		}
		round_play(members, now_ms);
	}
	/* Of NODES * NODES views over 30 s. */
	assert_in_range(lost, 0, NODES / 10);
	talloc_free(members);
}

/* One of @nodes in four zones, which knows them all. */
static struct jt_membership *node_of(int nodes)
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

/* Of @nodes in four zones: how many of 1,000 pieces of news one of them sends
 * to another zone. */
static unsigned news_crossing(int nodes)
{
	struct jt_membership *membership = node_of(nodes);
	unsigned far = 0;

	for (int news = 0; news < 1000; news++) {
		struct jt_address targets[JT_NEWS_FANOUT];
		size_t count = jt_membership_news_targets(membership, targets);

		for (size_t t = 0; t < count; t++)
			far += (targets[t].ip - 0x0a000000) % 4 != 0;
	}
	talloc_free(membership);
	return far;
}

/* Each node sends news on once: some of many carry it to other zones. */
static void test_news_crosses_through_some_nodes(void **state)
{
	(void)state;
	assert_in_range(news_crossing(16), 600, 900);
	/* 32 of 100 nodes, three of four draws. */
	assert_in_range(news_crossing(NODES), 180, 300);
}

/* Bytes between zones are dear: most digests of many peers stay in theirs. */
static void test_digests_of_many_stay_in_their_zone(void **state)
{
	struct jt_membership *membership = node_of(NODES);
	unsigned near = 0, sent = 0;

	(void)state;
	for (int round = 0; round < 400; round++) {
		struct jt_address targets[JT_DIGEST_FANOUT];
		size_t count = jt_membership_round(membership, targets);

		for (size_t t = 0; t < count; t++) {
			near += (targets[t].ip - 0x0a000000) % 4 == 0;
			sent++;
		}
	}
	assert_in_range(near * 100 / sent, 60, 85);
	talloc_free(membership);
}

static void test_dead_peer_is_lost_and_told_once(void **state)
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
	/* Another process at the same address is news. */
	assert_true(jt_membership_digest(membership, 3, address_of(1), &digest,
					 7000));
	talloc_free(membership);
}

static void test_node_behind_fetches_after_a_while(void **state)
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
	/* The store may tell the same just now. */
	assert_null(jt_membership_fetch(membership, &own, 2000));
	assert_non_null(jt_membership_fetch(membership, &own, 3000));
	/* One fetch at a time. */
	assert_null(jt_membership_fetch(membership, &own, 3100));
	jt_membership_fetched(membership, JT_FETCH_FAILED, 3200);
	assert_null(jt_membership_fetch(membership, &own, 3300));
	assert_non_null(jt_membership_fetch(membership, &own, 4000));
	talloc_free(membership);
}

/* Failure 39: the peer that was asked has ended; another one is asked next. */
static void test_failed_fetch_turns_to_another_peer(void **state)
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
	/* One that is heard again may be asked again. */
	jt_membership_digest(membership, first, address_of((int)first - 1),
			     &digest, 3300);
	assert_true(membership->peers[0].heard && membership->peers[1].heard);
	talloc_free(membership);
}

static void test_node_that_starts_fetches_at_once(void **state)
{
	struct jt_membership *membership =
		jt_membership_create(NULL, 1, address_of(0), 1);
	struct jt_own_state own = {0};
	jt_wire_digest digest = {.revision = 12};

	(void)state;
	jt_membership_digest(membership, 2, address_of(1), &digest, 1000);
	/* A peer that has not started itself knows nothing. */
	assert_null(jt_membership_fetch(membership, &own, 1000));
	digest.started = TRUE;
	jt_membership_digest(membership, 2, address_of(1), &digest, 1001);
	assert_non_null(jt_membership_fetch(membership, &own, 1001));
	talloc_free(membership);
}

static void test_own_address_is_no_peer(void **state)
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

/* A seed of weight WEAK that has heard of many peers. */
static struct jt_membership *seed_of_many(void)
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

/* The digest that a seed answers a node with that knows nothing. */
static void seed_answers(struct jt_membership *seed,
			 struct jt_membership *starter, uint64_t now_ms)
{
	const struct jt_own_state own = {
		.started = true, .revision = 12, .weight = WEAK};
	TALLOC_CTX *frame = talloc_new(seed);
	jt_wire_digest digest;

	jt_membership_source_digest(seed, frame, &own, starter->zone_id, now_ms,
				    &digest);
	assert_int_equal(digest.peers.peers_len, JT_DIRECTOR_MAX_PEERS);
	jt_membership_digest(starter, seed->id, seed->address, &digest, now_ms);
	talloc_free(frame);
}

/* All nodes that lost power together know nobody but a seed, which may be the
 * weakest node of all: they must not all learn from it. */
static void test_starts_learn_from_strong_peers(void **state)
{
	struct jt_membership *seed = seed_of_many();
	const struct jt_own_state own = {0};
	unsigned from_seed = 0, from_strong = 0;

	(void)state;
	for (uint64_t id = 5000; id < 5200; id++) {
		struct jt_membership *starter =
			jt_membership_create(NULL, id, address_of((int)id), 1);
		const struct jt_peer *source;

		seed_answers(seed, starter, 1100);
		source = jt_membership_fetch(starter, &own, 1101);
		assert_non_null(source);
		from_seed += source->id == seed->id;
		from_strong += source->weight == STRONG;
		talloc_free(starter);
	}
	assert_in_range(from_seed, 0, 10);
	assert_in_range(from_strong, 150, 200);
	talloc_free(seed);
}

/* All that a node knows is long: it comes from the starter's own zone, unless
 * the strong ones there have gone. */
static void test_starts_learn_in_their_zone(void **state)
{
	const struct jt_own_state own = {0};
	unsigned near = 0;

	(void)state;
	for (uint64_t id = 5000; id < 5200; id++) {
		struct jt_membership *starter =
			jt_membership_create(NULL, id, address_of((int)id), 1);
		const struct jt_peer *source;

		for (int i = 0; i < 30; i++) {
			const jt_wire_digest digest = {
				.zone = (u_int)i % 3,
				.started = TRUE,
				.revision = 12,
				.weight = WEAK,
			};

			jt_membership_digest(starter, 100 + (uint64_t)i,
					     address_of(100 + i), &digest,
					     1100);
		}
		source = jt_membership_fetch(starter, &own, 1101);
		assert_non_null(source);
		near += source->zone_id == 1;
		talloc_free(starter);
	}
	assert_in_range(near, 175, 200);
}

/* A source that gave no answer is not asked again at once. */
static void test_start_turns_to_another_source(void **state)
{
	struct jt_membership *seed = seed_of_many();
	const struct jt_own_state own = {0};
	uint64_t asked[5];

	(void)state;
	for (uint64_t id = 5000; id < 5050; id++) {
		struct jt_membership *starter =
			jt_membership_create(NULL, id, address_of((int)id), 1);
		uint64_t now_ms = 1101;

		seed_answers(seed, starter, 1100);
		for (size_t i = 0; i < 5; i++) {
			const struct jt_peer *source =
				jt_membership_fetch(starter, &own, now_ms);

			assert_non_null(source);
			asked[i] = source->id;
			for (size_t j = 0; j < i; j++)
				assert_int_not_equal(asked[j], asked[i]);
			now_ms += 250;
			jt_membership_fetched(starter, JT_FETCH_FAILED, now_ms);
			now_ms += 250;
		}
		talloc_free(starter);
	}
	talloc_free(seed);
}

/* A node that has just become ready tells all peers. Those that lack what it
 * knows must not all fetch it from this one node. */
static void test_standing_tells_no_knowledge(void **state)
{
	struct jt_membership *membership =
		jt_membership_create(NULL, 1, address_of(0), 1);
	const struct jt_own_state own = {.started = true, .revision = 11};
	jt_wire_digest digest = {.revision = 12, .started = TRUE};
	const jt_wire_standing standing = {
		.zone = 1, .started = TRUE, .ready = TRUE};

	(void)state;
	assert_true(jt_membership_standing(membership, 2, address_of(1),
					   &standing, 1000));
	assert_false(jt_membership_standing(membership, 2, address_of(1),
					    &standing, 1001));
	assert_int_equal(jt_membership_zone(membership, 1001).serving, 1);
	assert_null(jt_membership_fetch(membership, &own, 2000));
	assert_null(jt_membership_fetch(membership, &own, 3000));
	/* What a digest told stays, but only of that process. */
	jt_membership_digest(membership, 2, address_of(1), &digest, 3001);
	jt_membership_standing(membership, 2, address_of(1), &standing, 3002);
	assert_null(jt_membership_fetch(membership, &own, 3002));
	assert_non_null(jt_membership_fetch(membership, &own, 4000));
	membership->fetching = false;
	jt_membership_standing(membership, 3, address_of(1), &standing, 4001);
	assert_null(jt_membership_fetch(membership, &own, 4500));
	assert_null(jt_membership_fetch(membership, &own, 5500));
	talloc_free(membership);
}

/* Nodes of other zones that leave are heard when they begin and when their
 * successors are ready: one that takes its time is not removed for good. Then
 * none of many that leave in turn would end early. */
static void test_far_node_that_leaves_slowly_is_not_removed(void **state)
{
	struct jt_membership *membership =
		jt_membership_create(NULL, 1, address_of(0), 1);
	const jt_wire_standing far = {
		.zone = 2, .started = TRUE, .leaving = TRUE};
	const jt_wire_standing near = {
		.zone = 1, .started = TRUE, .leaving = TRUE};

	(void)state;
	jt_membership_standing(membership, 2, address_of(1), &far, 1000);
	assert_int_equal(jt_membership_zone(membership, 7000).removed, 0);
	assert_int_equal(jt_membership_zone(membership, 9500).removed, 1);
	/* In the own zone it would have been heard. */
	jt_membership_standing(membership, 3, address_of(2), &near, 10000);
	jt_membership_standing(membership, 2, address_of(1), &near, 10000);
	assert_int_equal(jt_membership_zone(membership, 11000).removed, 0);
	assert_int_equal(jt_membership_zone(membership, 11600).removed, 2);
	talloc_free(membership);
}

/* So many nodes of the zone that stand so, at the addresses from @first on. */
static void nodes_stand(struct jt_membership *membership, int first, int count,
			jt_wire_standing standing)
{
	for (int i = first; i < first + count; i++)
		jt_membership_standing(membership, 100 + (uint64_t)i,
				       address_of(i), &standing, 1000);
}

static bool is_target(const struct jt_address *targets, size_t count, int index)
{
	for (size_t i = 0; i < count; i++) {
		if (targets[i].ip == address_of(index).ip)
			return true;
	}
	return false;
}

/* Failure 64: where a flow may be is asked of the own zone, and of nodes that
 * routers do without; a node that has not started knows of none. */
static void test_copies_ask_peers_of_the_zone(void **state)
{
	const jt_wire_standing serves = {
		.zone = 1, .started = TRUE, .ready = TRUE};
	const jt_wire_standing far = {
		.zone = 2, .started = TRUE, .ready = TRUE};
	const jt_wire_standing far_leaves = {
		.zone = 2, .started = TRUE, .leaving = TRUE, .ready = TRUE};
	const jt_wire_standing starts = {.zone = 1};
	struct jt_membership *membership =
		jt_membership_create(NULL, 1, address_of(0), 1);
	struct jt_address targets[JT_FLOW_FANOUT];
	size_t count;

	(void)state;
	assert_int_equal(jt_membership_flow_targets(membership, targets), 0);
	nodes_stand(membership, 1, 10, serves);
	nodes_stand(membership, 11, 10, far);
	nodes_stand(membership, 21, 1, far_leaves);
	nodes_stand(membership, 22, 1, starts);
	count = jt_membership_flow_targets(membership, targets);
	assert_int_equal(count, 11);
	for (int i = 1; i <= 10; i++)
		assert_true(is_target(targets, count, i));
	assert_true(is_target(targets, count, 21));
	talloc_free(membership);
}

/* A zone of one node hands its flows to others and takes them back. */
static void test_lone_nodes_ask_other_zones(void **state)
{
	const jt_wire_standing far = {
		.zone = 2, .started = TRUE, .ready = TRUE};
	struct jt_membership *membership =
		jt_membership_create(NULL, 1, address_of(0), 1);
	struct jt_address targets[JT_FLOW_FANOUT];

	(void)state;
	nodes_stand(membership, 1, 20, far);
	assert_int_equal(jt_membership_flow_targets(membership, targets),
			 JT_FLOW_FANOUT_FAR);
	talloc_free(membership);
}

/* However many nodes a zone has; those that routers do without go first. */
static void test_questions_go_to_some_of_many(void **state)
{
	const jt_wire_standing serves = {
		.zone = 1, .started = TRUE, .ready = TRUE};
	const jt_wire_standing leaves = {
		.zone = 1, .started = TRUE, .leaving = TRUE};
	struct jt_membership *membership =
		jt_membership_create(NULL, 1, address_of(0), 1);
	struct jt_address targets[JT_FLOW_FANOUT];

	(void)state;
	nodes_stand(membership, 1, 2000, serves);
	nodes_stand(membership, 2001, 3, leaves);
	for (int i = 0; i < 20; i++) {
		assert_int_equal(
			jt_membership_flow_targets(membership, targets),
			JT_FLOW_FANOUT);
		for (int node = 2001; node <= 2003; node++)
			assert_true(is_target(targets, JT_FLOW_FANOUT, node));
	}
	talloc_free(membership);
}

/* Where nodes are many each is heard of seldom: none of them gives way to
 * another, or is forgotten before it is taken for lost. */
static void test_thousands_are_known_at_once(void **state)
{
	enum { MANY = 2000, QUIET_MS = 90000 };
	struct jt_membership *membership =
		jt_membership_create(NULL, 1, address_of(0), 1);
	const jt_wire_digest digest = {.zone = 1, .started = true};
	uint64_t *ids;

	(void)state;
	for (int i = 1; i <= MANY; i++)
		jt_membership_digest(membership, 1000 + (uint64_t)i,
				     address_of(i), &digest, 1000);
	assert_null(jt_membership_next_lost(membership, 1000 + QUIET_MS));
	assert_int_equal(jt_membership_live(membership), MANY);
	assert_int_equal(jt_membership_ids(membership, membership, &ids), MANY);
	assert_int_equal(ids[MANY - 1], 1000 + MANY);
	talloc_free(membership);
}

/* A node that knows nothing learns some endpoints of one that knows some; for
 * the rest it waits for one that knows all. */
static void test_node_that_starts_learns_some_first(void **state)
{
	struct jt_membership *membership =
		jt_membership_create(NULL, 1, address_of(0), 1);
	jt_wire_digest digest = {.zone = 1};
	struct jt_own_state own = {0};
	const struct jt_peer *peer;

	(void)state;
	jt_membership_digest(membership, 1001, address_of(1), &digest, 1000);
	assert_null(jt_membership_fetch(membership, &own, 1000));
	digest.places = true;
	jt_membership_digest(membership, 1002, address_of(2), &digest, 1000);
	peer = jt_membership_fetch(membership, &own, 1000);
	assert_non_null(peer);
	assert_int_equal(peer->id, 1002);
	jt_membership_fetched(membership, JT_FETCH_BUSY, 1010);
	own.places = true;
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
		cmocka_unit_test(test_all_find_each_other_from_three_seeds),
		cmocka_unit_test(test_live_peers_of_many_are_not_lost),
		cmocka_unit_test(test_node_that_starts_learns_some_first),
		cmocka_unit_test(test_thousands_are_known_at_once),
		cmocka_unit_test(test_copies_ask_peers_of_the_zone),
		cmocka_unit_test(test_lone_nodes_ask_other_zones),
		cmocka_unit_test(test_questions_go_to_some_of_many),
		cmocka_unit_test(test_news_crosses_through_some_nodes),
		cmocka_unit_test(test_digests_of_many_stay_in_their_zone),
		cmocka_unit_test(test_dead_peer_is_lost_and_told_once),
		cmocka_unit_test(test_node_behind_fetches_after_a_while),
		cmocka_unit_test(test_failed_fetch_turns_to_another_peer),
		cmocka_unit_test(test_node_that_starts_fetches_at_once),
		cmocka_unit_test(test_own_address_is_no_peer),
		cmocka_unit_test(test_starts_learn_from_strong_peers),
		cmocka_unit_test(test_starts_learn_in_their_zone),
		cmocka_unit_test(test_start_turns_to_another_source),
		cmocka_unit_test(test_standing_tells_no_knowledge),
		cmocka_unit_test(
			test_far_node_that_leaves_slowly_is_not_removed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
