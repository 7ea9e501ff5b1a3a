/* Many nodes before endpoints that fail requests while they look alive: who
 * gets new flows, as nodes see callers' packets and tell each other. */
#include "director_fixture.h"
#include "jt_answer_profile.h"
#include "jt_failure_news.h"
#include "jt_random.h"

#include <string.h>

enum {
	NODES_MOST = 68,
	ENDPOINTS_MOST = 120,
	REQUESTS_MOST = 4096, /* open at the same time */
	FIRST_ID = 0x101,
	USUAL_BYTES = 900,
	ERROR_BYTES = 150,
	USUAL_MS = 25,
	ERROR_MS = 5,
	GOSSIP_MS = 500,
	TICK_MS = 50,
	WARM_MS = 4000,
};

/* What an endpoint does with a request that it fails. */
enum manner { REFUSES, HANGS };

/* A caller's request on a flow of its own. */
struct request {
	bool open;
	int node;
	uint64_t answer_ms;
	uint32_t bytes;
	struct caller_flow flow;
};

struct fleet {
	struct bench *nodes[NODES_MOST];
	int node_count;
	int endpoint_count;
	uint32_t failing_permille[ENDPOINTS_MOST];
	uint32_t short_permille; /* of good answers, at every endpoint */
	enum manner manner;
	bool silent;   /* nodes tell each other nothing */
	unsigned rate; /* requests a second */
	unsigned placed[ENDPOINTS_MOST];
	unsigned messages; /* datagrams about failures */
	struct request requests[REQUESTS_MOST];
	struct jt_random random;
	uint64_t now_ms;
	double due; /* requests */
	uint16_t next_port;
};

static void node_create(struct fleet *fleet, int node)
{
	struct bench *bench;
	struct jt_director_options options;

	TALLOC_FREE(fleet->nodes[node]);
	bench = bench_create(0);
	talloc_steal(fleet, bench);
	TALLOC_FREE(bench->director);
	jt_director_options_init(&options);
	options.zone_id = ZONE_A;
	options.seed = 1 + (uint64_t)node;
	bench->director = jt_director_create(bench, &options);
	bench->now_ms = fleet->now_ms - LEARNED_MS;
	bench_routing(bench, 1, 50, 50);
	for (int i = 0; i < fleet->endpoint_count; i++)
		bench_endpoint(bench, FIRST_ID + (uint64_t)i, SERVICE_BOARD,
			       ZONE_A, (uint64_t)i + 2);
	bench_listed(bench, (uint64_t)fleet->endpoint_count + 2);
	/* No entry is missing any more. */
	bench_tick(bench, LEARNED_MS);
	fleet->nodes[node] = bench;
}

static struct fleet *fleet_create(int nodes, int endpoints, unsigned rate)
{
	struct fleet *fleet = talloc_zero(NULL, struct fleet);

	fleet->node_count = nodes;
	fleet->endpoint_count = endpoints;
	fleet->rate = rate;
	fleet->random.seed = 7;
	fleet->now_ms = 100000;
	fleet->next_port = 1024;
	for (int i = 0; i < nodes; i++)
		node_create(fleet, i);
	return fleet;
}

static uint32_t draw(struct fleet *fleet, uint32_t below)
{
	return (uint32_t)(jt_random_next(&fleet->random) % below);
}

/* Tell some other nodes. */
static void event_spread(struct fleet *fleet, int from, size_t peers,
			 struct jt_director_event *event)
{
	int start = (int)draw(fleet, (uint32_t)fleet->node_count);

	for (int i = 0; i < fleet->node_count && peers > 0; i++) {
		int to = (start + i) % fleet->node_count;

		if (to == from)
			continue;
		fleet->messages++;
		peers--;
		if (fleet->silent)
			continue;
		fleet->nodes[to]->now_ms = fleet->now_ms;
		bench_event(fleet->nodes[to], event);
	}
}

/* What the node wants told after what it has just handled. Failing requests
 * end no flow, and prove no death. */
static void node_tells(struct fleet *fleet, int node)
{
	struct bench *bench = fleet->nodes[node];
	struct jt_endpoint_failure failures[JT_FAILURE_LIMIT];
	struct jt_director_event event = {.kind = JT_DIRECTOR_FAILURES_TOLD};
	const struct jt_director_action *action;
	size_t peers = (size_t)fleet->node_count - 1;

	assert_null(bench_find(bench, JT_DIRECTOR_RESET));
	assert_null(bench_find(bench, JT_DIRECTOR_VERDICT));
	action = bench_find(bench, JT_DIRECTOR_FAILING);
	if (action != NULL) {
		struct jt_director_event overdue = {
			.kind = JT_DIRECTOR_OVERDUE};

		overdue.u.suspicion.id = action->endpoint_id;
		event_spread(fleet, node, peers, &overdue);
	}
	if (bench_find(bench, JT_DIRECTOR_FAILURES) == NULL)
		return;
	event.u.failures.count = jt_director_failures(
		bench->director, fleet->now_ms, failures, &peers);
	event.u.failures.items = failures;
	event_spread(fleet, node, peers, &event);
}

static void request_send(struct fleet *fleet, struct request *request,
			 uint8_t flags, uint32_t length)
{
	struct bench *bench = fleet->nodes[request->node];

	bench->now_ms = fleet->now_ms;
	flow_send(bench, &request->flow, flags, length);
	node_tells(fleet, request->node);
}

/* What the endpoint does with the request. */
static void request_served(struct fleet *fleet, struct request *request)
{
	size_t endpoint = (size_t)(request->flow.endpoint_id - FIRST_ID);
	bool fails = draw(fleet, 1000) < fleet->failing_permille[endpoint];

	fleet->placed[endpoint]++;
	request->answer_ms =
		fleet->now_ms + USUAL_MS / 2 + draw(fleet, USUAL_MS);
	request->bytes = USUAL_BYTES + draw(fleet, USUAL_BYTES / 2);
	if (draw(fleet, 1000) < fleet->short_permille)
		request->bytes = ERROR_BYTES;
	if (!fails)
		return;
	request->answer_ms =
		fleet->manner == HANGS ? UINT64_MAX : fleet->now_ms + ERROR_MS;
	request->bytes = ERROR_BYTES;
}

static void request_start(struct fleet *fleet)
{
	struct request *request = fleet->requests;
	int node = (int)draw(fleet, (uint32_t)fleet->node_count);
	struct bench *bench = fleet->nodes[node];

	while (request->open)
		request++;
	assert_true(request < fleet->requests + REQUESTS_MOST);
	*request = (struct request){.open = true, .node = node};
	bench->now_ms = fleet->now_ms;
	bench->next_port = fleet->next_port++;
	request->flow = flow_new(bench, CALLER + draw(fleet, 200), BOARD_PORT);
	assert_int_not_equal(flow_syn(bench, &request->flow), 0);
	request->flow.label = jt_flow_label(request->flow.endpoint_id);
	request->flow.sequence++;
	request->flow.acknowledged = 5000;
	request_send(fleet, request, JT_PACKET_ACK, 100);
	request->flow.sequence += 100;
	request_served(fleet, request);
}

static void requests_answer(struct fleet *fleet)
{
	for (size_t i = 0; i < REQUESTS_MOST; i++) {
		struct request *request = &fleet->requests[i];

		if (!request->open || request->answer_ms > fleet->now_ms)
			continue;
		request->flow.acknowledged += request->bytes;
		request_send(fleet, request, JT_PACKET_ACK, 0);
		request_send(fleet, request, JT_PACKET_ACK | JT_PACKET_FIN, 0);
		request->open = false;
	}
}

static void node_tick(struct fleet *fleet, int node)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_TICK};

	event.u.tick.nodes = (uint64_t)fleet->node_count;
	fleet->nodes[node]->now_ms = fleet->now_ms;
	bench_event(fleet->nodes[node], &event);
	node_tells(fleet, node);
}

static void node_gossips(struct fleet *fleet, int node)
{
	struct jt_endpoint_load loads[JT_LOAD_LIMIT];
	struct jt_director_event event = {.kind = JT_DIRECTOR_LOADS};
	unsigned messages = fleet->messages;

	event.u.loads.peer = (uint64_t)node + 1;
	event.u.loads.count = jt_director_loads(fleet->nodes[node]->director,
						fleet->now_ms, loads);
	event.u.loads.loads = loads;
	event_spread(fleet, node, 2, &event);
	fleet->messages = messages;
}

static void fleet_run(struct fleet *fleet, uint64_t for_ms)
{
	uint64_t end_ms = fleet->now_ms + for_ms;

	memset(fleet->placed, 0, sizeof(fleet->placed));
	fleet->messages = 0;
	for (; fleet->now_ms < end_ms; fleet->now_ms++) {
		requests_answer(fleet);
		for (fleet->due += fleet->rate / 1000.0; fleet->due >= 1;
		     fleet->due--)
			request_start(fleet);
		for (int i = 0; i < fleet->node_count; i++) {
			if ((fleet->now_ms + (uint64_t)i) % TICK_MS == 0)
				node_tick(fleet, i);
			if ((fleet->now_ms + (uint64_t)i * 7) % GOSSIP_MS == 0)
				node_gossips(fleet, i);
		}
	}
}

static void fail_first(struct fleet *fleet, int count, uint32_t permille)
{
	for (int i = 0; i < count; i++)
		fleet->failing_permille[i] = permille;
}

/* The part of the new flows that the first endpoints got, in thousandths. */
static unsigned first_got(const struct fleet *fleet, int count)
{
	unsigned first = 0, all = 0;

	for (int i = 0; i < fleet->endpoint_count; i++) {
		all += fleet->placed[i];
		first += i < count ? fleet->placed[i] : 0;
	}
	return all > 0 ? first * 1000 / all : 0;
}

static size_t reduced_at(const struct fleet *fleet, int node)
{
	return jt_director_reduced_count(fleet->nodes[node]->director,
					 fleet->now_ms);
}

/* 60% of the endpoints refuse nine in ten: after a second the others get nine
 * in ten of the flows or more. */
static void test_most_endpoints_refuse(void **state)
{
	struct fleet *fleet = fleet_create(20, 50, 600);

	(void)state;
	fleet_run(fleet, WARM_MS);
	fail_first(fleet, 30, 900);
	fleet_run(fleet, 1000);
	fleet_run(fleet, 3000);
	assert_in_range(first_got(fleet, 30), 0, 100);
	talloc_free(fleet);
}

/* Seven of 120 refuse all: each of many nodes sees few of their requests, and
 * all together know within 300 ms. */
static void test_few_endpoints_refuse(void **state)
{
	struct fleet *fleet = fleet_create(NODES_MOST, 120, 1500);

	(void)state;
	fleet_run(fleet, WARM_MS);
	fail_first(fleet, 7, 1000);
	fleet_run(fleet, 300);
	fleet_run(fleet, 700);
	assert_in_range(first_got(fleet, 7), 0, 7000 / 120 / 2);
	fleet_run(fleet, 2000);
	assert_in_range(first_got(fleet, 7), 0, 7000 / 120 / 5);
	/* 60 datagrams a second for each node, and 400 at once before. */
	assert_in_range(fleet->messages, 1, 60 * 2 * NODES_MOST);
	talloc_free(fleet);
}

/* Endpoints that serve again are found out by what they still get. */
static void test_recovered_endpoints_get_their_part_again(void **state)
{
	struct fleet *fleet = fleet_create(20, 50, 600);

	(void)state;
	fleet_run(fleet, WARM_MS);
	fail_first(fleet, 10, 1000);
	fleet_run(fleet, 5000);
	fail_first(fleet, 10, 0);
	fleet_run(fleet, 4000);
	fleet_run(fleet, 1000);
	assert_in_range(first_got(fleet, 10), 160, 300);
	talloc_free(fleet);
}

/* A healthy endpoint that is said to fail is back within a second. */
static void test_falsely_judged_endpoint_is_back_soon(void **state)
{
	struct fleet *fleet = fleet_create(20, 50, 600);
	const struct jt_endpoint_failure failure = {jt_flow_label(FIRST_ID),
						    5000, 0, 1000};
	struct jt_director_event event = {.kind = JT_DIRECTOR_FAILURES_TOLD};

	(void)state;
	fleet_run(fleet, WARM_MS);
	event.u.failures.items = &failure;
	event.u.failures.count = 1;
	event_spread(fleet, -1, 20, &event);
	fleet_run(fleet, 200);
	assert_int_equal(reduced_at(fleet, 0), 1);
	fleet_run(fleet, 800);
	fleet_run(fleet, 1000);
	assert_in_range(first_got(fleet, 1), 14, 30);
	talloc_free(fleet);
}

/* Flows of the endpoint that got most, in hundredths of the mean. */
static unsigned busiest_percent(const struct fleet *fleet)
{
	unsigned most = 0, all = 0;

	for (int i = 0; i < fleet->endpoint_count; i++) {
		all += fleet->placed[i];
		most = fleet->placed[i] > most ? fleet->placed[i] : most;
	}
	if (all == 0)
		return 0;
	return most * 100 * (unsigned)fleet->endpoint_count / all;
}

/* Where three in ten good answers are short, short ones say little. */
static void test_short_answers_of_a_healthy_route(void **state)
{
	struct fleet *fleet = fleet_create(10, 30, 600);
	uint64_t reduced = 0;

	(void)state;
	fleet->short_permille = 300;
	fleet_run(fleet, 20000);
	for (int i = 0; i < fleet->node_count; i++)
		reduced += jt_director_counters(fleet->nodes[i]->director)
				   ->shares_reduced;
	/* By chance, one in fifty pairs of node and endpoint at most. */
	assert_in_range(reduced, 0, 6);
	assert_in_range(busiest_percent(fleet), 100, 120);
	talloc_free(fleet);
}

/* All endpoints refuse four in ten, as when there is too little room: none is
 * set back far for it. */
static void test_all_alike_stay_equal(void **state)
{
	struct fleet *fleet = fleet_create(20, 50, 1500);

	(void)state;
	fleet_run(fleet, WARM_MS);
	fail_first(fleet, 50, 400);
	fleet_run(fleet, 1000);
	fleet_run(fleet, 3000);
	assert_in_range(busiest_percent(fleet), 100, 160);
	talloc_free(fleet);
}

/* A service with few requests: its hanging endpoints are avoided 0.7 s after
 * the first request that got no answer. */
static void test_hanging_endpoints_of_a_quiet_service(void **state)
{
	struct fleet *fleet = fleet_create(NODES_MOST, 30, 84);

	(void)state;
	fleet_run(fleet, 2 * WARM_MS);
	fleet->manner = HANGS;
	fail_first(fleet, 8, 1000);
	fleet_run(fleet, 1200);
	fleet_run(fleet, 3000);
	assert_in_range(first_got(fleet, 8), 0, 8000 / 30 / 4);
	talloc_free(fleet);
}

/* Nodes that hear nothing judge by what they see themselves. */
static void test_news_is_missing(void **state)
{
	struct fleet *fleet = fleet_create(4, 12, 600);

	(void)state;
	fleet_run(fleet, WARM_MS);
	fleet->silent = true;
	fail_first(fleet, 3, 1000);
	fleet_run(fleet, 1000);
	fleet_run(fleet, 3000);
	assert_in_range(first_got(fleet, 3), 0, 3000 / 12 / 3);
	talloc_free(fleet);
}

/* A node that starts amid the trouble has no idea of what is usual. Fast
 * refusals don't draw its flows, and peers tell it the rest. */
static void test_node_starts_amid_failures(void **state)
{
	struct fleet *fleet = fleet_create(4, 12, 600);

	(void)state;
	fleet_run(fleet, WARM_MS);
	fail_first(fleet, 3, 1000);
	fleet_run(fleet, 2000);
	node_create(fleet, 0);
	assert_int_equal(reduced_at(fleet, 0), 0);
	fleet_run(fleet, 1000);
	assert_in_range(first_got(fleet, 3), 0, 3000 / 12);
	fleet_run(fleet, 1000);
	fleet_run(fleet, 3000);
	assert_in_range(first_got(fleet, 3), 0, 3000 / 12 / 3);
	talloc_free(fleet);
}

/* A failing endpoint that no flow can do without gets them all the same. */
static void test_only_endpoint_fails(void **state)
{
	struct fleet *fleet = fleet_create(2, 1, 100);

	(void)state;
	fleet_run(fleet, WARM_MS);
	fail_first(fleet, 1, 1000);
	fleet_run(fleet, 2000);
	assert_int_equal(fleet->placed[0], 200);
	talloc_free(fleet);
}

static struct jt_answer_profile *profile_of_usual(void)
{
	struct jt_answer_profile *profile =
		talloc_zero(NULL, struct jt_answer_profile);

	for (uint64_t i = 0; i < 200; i++)
		jt_answer_learn(profile, USUAL_BYTES, USUAL_MS, 1000 + i * 10);
	return profile;
}

static void test_what_is_short(void **state)
{
	struct jt_answer_profile *profile = profile_of_usual();

	(void)state;
	assert_true(jt_answer_is_short(profile, 150, 2));
	assert_true(jt_answer_is_short(profile, 150, 100));
	/* Somewhat short, and as fast as no work can be, or not. */
	assert_true(jt_answer_is_short(profile, 500, 2));
	assert_false(jt_answer_is_short(profile, 500, 20));
	/* Fast alone is no fault, neither is long. */
	assert_false(jt_answer_is_short(profile, USUAL_BYTES, 1));
	assert_false(jt_answer_is_short(profile, 20000, 1));
	talloc_free(profile);
}

/* Nothing is unusual before enough is known, and a route whose answers have
 * become short for good is well after some minutes. */
static void test_usual_is_learned(void **state)
{
	struct jt_answer_profile *profile =
		talloc_zero(NULL, struct jt_answer_profile);
	uint64_t now_ms = 1000;

	(void)state;
	assert_false(jt_answer_is_short(profile, 1, 1));
	talloc_free(profile);
	profile = profile_of_usual();
	assert_float_equal(jt_answer_failure(profile), 1, 0);
	for (now_ms = 3000; now_ms < 5000; now_ms += 100)
		jt_answer_learn(profile, 150, 5, now_ms);
	assert_true(jt_answer_is_short(profile, 150, 5));
	assert_in_range((unsigned)(jt_answer_failure(profile) * 1000), 500,
			900);
	for (; now_ms < 303000; now_ms += 100)
		jt_answer_learn(profile, 150, 5, now_ms);
	assert_false(jt_answer_is_short(profile, 150, 5));
	talloc_free(profile);
}

/* The most that is told in one message, to all peers or some of them. */
static void test_news_is_bounded(void **state)
{
	struct jt_failure_news news = {0};
	struct jt_endpoint_failure told[JT_FAILURE_LIMIT];
	uint64_t now_ms = 100000, datagrams = 0;
	size_t peers;

	(void)state;
	jt_failure_news_served(&news, 1);
	assert_false(jt_failure_news_due(&news, 68, now_ms));
	jt_failure_news_failed(&news, 1, 0.5);
	assert_false(jt_failure_news_due(&news, 1, now_ms));
	assert_true(jt_failure_news_due(&news, 68, now_ms));
	assert_int_equal(jt_failure_news_take(&news, 68, now_ms, told, &peers),
			 1);
	assert_int_equal(peers, 67);
	assert_int_equal(told[0].failed_permille, 500);
	assert_int_equal(told[0].served_permille, 1000);
	for (int i = 0; i < 10000; i++, now_ms++) {
		for (uint32_t label = 1; label <= 100; label++)
			jt_failure_news_failed(&news, label, 1);
		if (!jt_failure_news_due(&news, 68, now_ms))
			continue;
		assert_int_equal(
			jt_failure_news_take(&news, 68, now_ms, told, &peers),
			JT_FAILURE_LIMIT);
		assert_in_range(peers, 1, 67);
		datagrams += peers;
	}
	assert_in_range(datagrams, 900, 1000);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_most_endpoints_refuse),
		cmocka_unit_test(test_few_endpoints_refuse),
		cmocka_unit_test(test_recovered_endpoints_get_their_part_again),
		cmocka_unit_test(test_falsely_judged_endpoint_is_back_soon),
		cmocka_unit_test(test_short_answers_of_a_healthy_route),
		cmocka_unit_test(test_all_alike_stay_equal),
		cmocka_unit_test(test_hanging_endpoints_of_a_quiet_service),
		cmocka_unit_test(test_news_is_missing),
		cmocka_unit_test(test_node_starts_amid_failures),
		cmocka_unit_test(test_only_endpoint_fails),
		cmocka_unit_test(test_what_is_short),
		cmocka_unit_test(test_usual_is_learned),
		cmocka_unit_test(test_news_is_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
