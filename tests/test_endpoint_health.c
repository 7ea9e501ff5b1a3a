/* Tests many nodes with endpoints that fail requests while they are alive: the
 * shares of new flows, as nodes observe responses and exchange failure reports.
 */
#include "director_fixture.h"
#include "jt_response_profile.h"
#include "jt_failure_reports.h"
#include "jt_random.h"

#include <string.h>

enum {
	NODES_MAX = 68,
	ENDPOINTS_MAX = 120,
	REQUESTS_MAX = 4096, /* concurrent */
	FIRST_ID = 0x101,
	TYPICAL_BYTES = 900,
	ERROR_BYTES = 150,
	TYPICAL_MS = 25,
	ERROR_MS = 5,
	GOSSIP_MS = 500,
	TICK_MS = 50,
	WARMUP_MS = 4000,
};

/* How an endpoint fails a request: by an error response or by none. */
enum failure_mode { FAIL_ERROR, FAIL_HANG };

/* A client's request on its own flow. */
struct request {
	bool open;
	int node;
	uint64_t response_ms;
	uint32_t bytes;
	struct client_flow flow;
};

struct cluster {
	struct fixture *nodes[NODES_MAX];
	int node_count;
	int endpoint_count;
	uint32_t failing_permille[ENDPOINTS_MAX];
	uint32_t short_permille; /* short good responses */
	enum failure_mode failure_mode;
	bool no_gossip; /* nodes exchange no messages */
	unsigned rate;	/* requests per second */
	unsigned placed[ENDPOINTS_MAX];
	unsigned messages; /* failure report datagrams */
	struct request requests[REQUESTS_MAX];
	struct jt_random random;
	uint64_t now_ms;
	double requests_due; /* requests still to be started */
	uint16_t next_port;
};

static void node_create(struct cluster *cluster, int node)
{
	struct fixture *fixture;
	struct jt_director_options options;

	TALLOC_FREE(cluster->nodes[node]);
	fixture = fixture_create(0);
	talloc_steal(cluster, fixture);
	TALLOC_FREE(fixture->director);
	jt_director_options_init(&options);
	options.zone_id = ZONE_A;
	options.seed = 1 + (uint64_t)node;
	fixture->director = jt_director_create(fixture, &options);
	fixture->now_ms = cluster->now_ms - INITIAL_SYNC_MS;
	fixture_set_routing(fixture, 1, 50, 50);
	for (int i = 0; i < cluster->endpoint_count; i++)
		fixture_add_endpoint(fixture, FIRST_ID + (uint64_t)i,
				     SERVICE_BOARD, ZONE_A, (uint64_t)i + 2);
	fixture_end_listing(fixture, (uint64_t)cluster->endpoint_count + 2);
	/* The initial synchronisation has ended. */
	fixture_tick(fixture, INITIAL_SYNC_MS);
	cluster->nodes[node] = fixture;
}

static struct cluster *cluster_create(int nodes, int endpoints, unsigned rate)
{
	struct cluster *cluster = talloc_zero(NULL, struct cluster);

	cluster->node_count = nodes;
	cluster->endpoint_count = endpoints;
	cluster->rate = rate;
	cluster->random.seed = 7;
	cluster->now_ms = 100000;
	cluster->next_port = 1024;
	for (int i = 0; i < nodes; i++)
		node_create(cluster, i);
	return cluster;
}

static uint32_t random_below(struct cluster *cluster, uint32_t below)
{
	return (uint32_t)(jt_random_next(&cluster->random) % below);
}

/* Delivers an event to @peers other nodes. */
static void send_to_peers(struct cluster *cluster, int from, size_t peers,
			  struct jt_director_event *event)
{
	int start = (int)random_below(cluster, (uint32_t)cluster->node_count);

	for (int i = 0; i < cluster->node_count && peers > 0; i++) {
		int to = (start + i) % cluster->node_count;

		if (to == from)
			continue;
		cluster->messages++;
		peers--;
		if (cluster->no_gossip)
			continue;
		cluster->nodes[to]->now_ms = cluster->now_ms;
		fixture_handle(cluster->nodes[to], event);
	}
}

/* Sends the reports that the node's last event caused. Failing requests reset
 * no flow and confirm no death. */
static void send_node_reports(struct cluster *cluster, int node)
{
	struct fixture *fixture = cluster->nodes[node];
	struct jt_endpoint_failure failures[JT_FAILURE_LIMIT];
	struct jt_director_event event = {.kind = JT_DIRECTOR_FAILURE_REPORT};
	const struct jt_director_action *action;
	size_t peers = (size_t)cluster->node_count - 1;

	assert_null(fixture_find_action(fixture, JT_DIRECTOR_RESET));
	assert_null(fixture_find_action(fixture, JT_DIRECTOR_DEATH_REPORT));
	action = fixture_find_action(fixture, JT_DIRECTOR_OVERDUE_REPORT);
	if (action != NULL) {
		struct jt_director_event overdue = {
			.kind = JT_DIRECTOR_OVERDUE};

		overdue.u.suspicion.id = action->endpoint_id;
		send_to_peers(cluster, node, peers, &overdue);
	}
	if (fixture_find_action(fixture, JT_DIRECTOR_FAILURES) == NULL)
		return;
	event.u.failures.count = jt_director_failures(
		fixture->director, cluster->now_ms, failures, &peers);
	event.u.failures.items = failures;
	send_to_peers(cluster, node, peers, &event);
}

static void request_send(struct cluster *cluster, struct request *request,
			 uint8_t flags, uint32_t length)
{
	struct fixture *fixture = cluster->nodes[request->node];

	fixture->now_ms = cluster->now_ms;
	flow_send(fixture, &request->flow, flags, length);
	send_node_reports(cluster, request->node);
}

/* Draws the endpoint's handling of the request. */
static void endpoint_handle_request(struct cluster *cluster,
				    struct request *request)
{
	size_t endpoint = (size_t)(request->flow.endpoint_id - FIRST_ID);
	bool failing = random_below(cluster, 1000) <
		       cluster->failing_permille[endpoint];

	cluster->placed[endpoint]++;
	request->response_ms = cluster->now_ms + TYPICAL_MS / 2 +
			       random_below(cluster, TYPICAL_MS);
	request->bytes =
		TYPICAL_BYTES + random_below(cluster, TYPICAL_BYTES / 2);
	if (random_below(cluster, 1000) < cluster->short_permille)
		request->bytes = ERROR_BYTES;
	if (!failing)
		return;
	request->response_ms = cluster->failure_mode == FAIL_HANG
				       ? UINT64_MAX
				       : cluster->now_ms + ERROR_MS;
	request->bytes = ERROR_BYTES;
}

static void request_start(struct cluster *cluster)
{
	struct request *request = cluster->requests;
	int node = (int)random_below(cluster, (uint32_t)cluster->node_count);
	struct fixture *fixture = cluster->nodes[node];

	while (request->open)
		request++;
	assert_true(request < cluster->requests + REQUESTS_MAX);
	*request = (struct request){.open = true, .node = node};
	fixture->now_ms = cluster->now_ms;
	fixture->next_port = cluster->next_port++;
	request->flow = flow_new(
		fixture, CLIENT_IP + random_below(cluster, 200), BOARD_PORT);
	assert_int_not_equal(flow_send_syn(fixture, &request->flow), 0);
	request->flow.label = jt_flow_label(request->flow.endpoint_id);
	request->flow.sequence++;
	request->flow.acknowledged = 5000;
	request_send(cluster, request, JT_PACKET_ACK, 100);
	request->flow.sequence += 100;
	endpoint_handle_request(cluster, request);
}

static void send_responses(struct cluster *cluster)
{
	for (size_t i = 0; i < REQUESTS_MAX; i++) {
		struct request *request = &cluster->requests[i];

		if (!request->open || request->response_ms > cluster->now_ms)
			continue;
		request->flow.acknowledged += request->bytes;
		request_send(cluster, request, JT_PACKET_ACK, 0);
		request_send(cluster, request, JT_PACKET_ACK | JT_PACKET_FIN,
			     0);
		request->open = false;
	}
}

static void node_tick(struct cluster *cluster, int node)
{
	struct jt_director_event event = {.kind = JT_DIRECTOR_TICK};

	event.u.tick.nodes = (uint64_t)cluster->node_count;
	cluster->nodes[node]->now_ms = cluster->now_ms;
	fixture_handle(cluster->nodes[node], &event);
	send_node_reports(cluster, node);
}

static void send_node_loads(struct cluster *cluster, int node)
{
	struct jt_endpoint_load loads[JT_LOAD_LIMIT];
	struct jt_director_event event = {.kind = JT_DIRECTOR_LOADS};
	unsigned messages = cluster->messages;

	event.u.loads.peer = (uint64_t)node + 1;
	event.u.loads.count = jt_director_loads(cluster->nodes[node]->director,
						cluster->now_ms, loads);
	event.u.loads.loads = loads;
	send_to_peers(cluster, node, 2, &event);
	cluster->messages = messages;
}

static void cluster_run(struct cluster *cluster, uint64_t duration_ms)
{
	uint64_t end_ms = cluster->now_ms + duration_ms;

	memset(cluster->placed, 0, sizeof(cluster->placed));
	cluster->messages = 0;
	for (; cluster->now_ms < end_ms; cluster->now_ms++) {
		send_responses(cluster);
		for (cluster->requests_due += cluster->rate / 1000.0;
		     cluster->requests_due >= 1; cluster->requests_due--)
			request_start(cluster);
		for (int i = 0; i < cluster->node_count; i++) {
			if ((cluster->now_ms + (uint64_t)i) % TICK_MS == 0)
				node_tick(cluster, i);
			if ((cluster->now_ms + (uint64_t)i * 7) % GOSSIP_MS ==
			    0)
				send_node_loads(cluster, i);
		}
	}
}

static void fail_first_endpoints(struct cluster *cluster, int count,
				 uint32_t permille)
{
	for (int i = 0; i < count; i++)
		cluster->failing_permille[i] = permille;
}

/* Returns the share of new flows of the first endpoints, in thousandths. */
static unsigned first_endpoints_share(const struct cluster *cluster, int count)
{
	unsigned first = 0, all = 0;

	for (int i = 0; i < cluster->endpoint_count; i++) {
		all += cluster->placed[i];
		first += i < count ? cluster->placed[i] : 0;
	}
	return all > 0 ? first * 1000 / all : 0;
}

static size_t reduced_endpoints(const struct cluster *cluster, int node)
{
	return jt_director_reduced_count(cluster->nodes[node]->director,
					 cluster->now_ms);
}

/* 60% of the endpoints fail nine requests in ten: after a second the others get
 * at least nine in ten of the flows. */
static void test_most_endpoints_fail(void **state)
{
	struct cluster *cluster = cluster_create(20, 50, 600);

	(void)state;
	cluster_run(cluster, WARMUP_MS);
	fail_first_endpoints(cluster, 30, 900);
	cluster_run(cluster, 1000);
	cluster_run(cluster, 3000);
	assert_in_range(first_endpoints_share(cluster, 30), 0, 100);
	talloc_free(cluster);
}

/* Seven of 120 endpoints fail all requests: the nodes, which see few each,
 * detect it together within 300 ms. */
static void test_few_endpoints_fail(void **state)
{
	struct cluster *cluster = cluster_create(NODES_MAX, 120, 1500);

	(void)state;
	cluster_run(cluster, WARMUP_MS);
	fail_first_endpoints(cluster, 7, 1000);
	cluster_run(cluster, 300);
	cluster_run(cluster, 700);
	assert_in_range(first_endpoints_share(cluster, 7), 0, 7000 / 120 / 2);
	cluster_run(cluster, 2000);
	assert_in_range(first_endpoints_share(cluster, 7), 0, 7000 / 120 / 5);
	/* 30 datagrams a second for each node, and an initial burst of 400. */
	assert_in_range(cluster->messages, 1, 30 * 2 * NODES_MAX);
	talloc_free(cluster);
}

/* Recovered endpoints are detected by the few flows that they still get. */
static void test_recovered_endpoints_regain_their_share(void **state)
{
	struct cluster *cluster = cluster_create(20, 50, 600);

	(void)state;
	cluster_run(cluster, WARMUP_MS);
	fail_first_endpoints(cluster, 10, 1000);
	cluster_run(cluster, 5000);
	fail_first_endpoints(cluster, 10, 0);
	cluster_run(cluster, 4000);
	cluster_run(cluster, 1000);
	assert_in_range(first_endpoints_share(cluster, 10), 160, 300);
	talloc_free(cluster);
}

/* A healthy endpoint falsely reported as failing regains its share within a
 * second. */
static void test_false_report_is_corrected(void **state)
{
	struct cluster *cluster = cluster_create(20, 50, 600);
	const struct jt_endpoint_failure failure = {jt_flow_label(FIRST_ID),
						    5000, 0, 1000};
	struct jt_director_event event = {.kind = JT_DIRECTOR_FAILURE_REPORT};

	(void)state;
	cluster_run(cluster, WARMUP_MS);
	event.u.failures.items = &failure;
	event.u.failures.count = 1;
	send_to_peers(cluster, -1, 20, &event);
	cluster_run(cluster, 200);
	assert_int_equal(reduced_endpoints(cluster, 0), 1);
	cluster_run(cluster, 800);
	cluster_run(cluster, 1000);
	assert_in_range(first_endpoints_share(cluster, 1), 14, 30);
	talloc_free(cluster);
}

/* Returns the flows of the busiest endpoint, in hundredths of the mean. */
static unsigned busiest_percent(const struct cluster *cluster)
{
	unsigned most = 0, all = 0;

	for (int i = 0; i < cluster->endpoint_count; i++) {
		all += cluster->placed[i];
		most = cluster->placed[i] > most ? cluster->placed[i] : most;
	}
	if (all == 0)
		return 0;
	return most * 100 * (unsigned)cluster->endpoint_count / all;
}

/* Where three in ten good responses are short, short responses are weak
 * evidence. */
static void test_short_responses_of_a_healthy_route(void **state)
{
	struct cluster *cluster = cluster_create(10, 30, 600);
	uint64_t reduced = 0;

	(void)state;
	cluster->short_permille = 300;
	cluster_run(cluster, 20000);
	for (int i = 0; i < cluster->node_count; i++)
		reduced += jt_director_counters(cluster->nodes[i]->director)
				   ->shares_reduced;
	/* At most one in fifty pairs of node and endpoint by chance. */
	assert_in_range(reduced, 0, 6);
	assert_in_range(busiest_percent(cluster), 100, 120);
	talloc_free(cluster);
}

/* All endpoints fail four requests in ten, as in overload: no share is reduced
 * far. */
static void test_equal_failure_rates_keep_equal_shares(void **state)
{
	struct cluster *cluster = cluster_create(20, 50, 1500);

	(void)state;
	cluster_run(cluster, WARMUP_MS);
	fail_first_endpoints(cluster, 50, 400);
	cluster_run(cluster, 1000);
	cluster_run(cluster, 3000);
	assert_in_range(busiest_percent(cluster), 100, 160);
	talloc_free(cluster);
}

/* At a low request rate, hanging endpoints are avoided 0.7 s after the first
 * unanswered request. */
static void test_hanging_endpoints_at_low_rate(void **state)
{
	struct cluster *cluster = cluster_create(NODES_MAX, 30, 84);

	(void)state;
	cluster_run(cluster, 2 * WARMUP_MS);
	cluster->failure_mode = FAIL_HANG;
	fail_first_endpoints(cluster, 8, 1000);
	cluster_run(cluster, 1200);
	cluster_run(cluster, 3000);
	assert_in_range(first_endpoints_share(cluster, 8), 0, 8000 / 30 / 4);
	talloc_free(cluster);
}

/* Nodes without failure reports decide by their own observations. */
static void test_missing_failure_reports(void **state)
{
	struct cluster *cluster = cluster_create(4, 12, 600);

	(void)state;
	cluster_run(cluster, WARMUP_MS);
	cluster->no_gossip = true;
	fail_first_endpoints(cluster, 3, 1000);
	cluster_run(cluster, 1000);
	cluster_run(cluster, 3000);
	assert_in_range(first_endpoints_share(cluster, 3), 0, 3000 / 12 / 3);
	talloc_free(cluster);
}

/* A starting node has no response profile. Fast error responses do not attract
 * its flows, and peers report the failures. */
static void test_node_starts_during_failures(void **state)
{
	struct cluster *cluster = cluster_create(4, 12, 600);

	(void)state;
	cluster_run(cluster, WARMUP_MS);
	fail_first_endpoints(cluster, 3, 1000);
	cluster_run(cluster, 2000);
	node_create(cluster, 0);
	assert_int_equal(reduced_endpoints(cluster, 0), 0);
	cluster_run(cluster, 1000);
	assert_in_range(first_endpoints_share(cluster, 3), 0, 3000 / 12);
	cluster_run(cluster, 1000);
	cluster_run(cluster, 3000);
	assert_in_range(first_endpoints_share(cluster, 3), 0, 3000 / 12 / 3);
	talloc_free(cluster);
}

/* The only endpoint of a service gets all flows though it fails. */
static void test_only_endpoint_fails(void **state)
{
	struct cluster *cluster = cluster_create(2, 1, 100);

	(void)state;
	cluster_run(cluster, WARMUP_MS);
	fail_first_endpoints(cluster, 1, 1000);
	cluster_run(cluster, 2000);
	assert_int_equal(cluster->placed[0], 200);
	talloc_free(cluster);
}

static struct jt_response_profile *typical_profile(void)
{
	struct jt_response_profile *profile =
		talloc_zero(NULL, struct jt_response_profile);

	for (uint64_t i = 0; i < 200; i++)
		jt_response_profile_update(profile, TYPICAL_BYTES, TYPICAL_MS,
					   1000 + i * 10);
	return profile;
}

static void test_short_response_classification(void **state)
{
	struct jt_response_profile *profile = typical_profile();

	(void)state;
	assert_true(jt_response_is_short(profile, 150, 2));
	assert_true(jt_response_is_short(profile, 150, 100));
	/* Moderately short responses count only if implausibly fast. */
	assert_true(jt_response_is_short(profile, 500, 2));
	assert_false(jt_response_is_short(profile, 500, 20));
	/* Neither fast nor long responses alone count as failures. */
	assert_false(jt_response_is_short(profile, TYPICAL_BYTES, 1));
	assert_false(jt_response_is_short(profile, 20000, 1));
	talloc_free(profile);
}

/* No response is short before enough are known; responses that stay short
 * become typical after some minutes. */
static void test_response_profile_is_learned(void **state)
{
	struct jt_response_profile *profile =
		talloc_zero(NULL, struct jt_response_profile);
	uint64_t now_ms = 1000;

	(void)state;
	assert_false(jt_response_is_short(profile, 1, 1));
	talloc_free(profile);
	profile = typical_profile();
	assert_float_equal(jt_response_failure(profile), 1, 0);
	for (now_ms = 3000; now_ms < 5000; now_ms += 100)
		jt_response_profile_update(profile, 150, 5, now_ms);
	assert_true(jt_response_is_short(profile, 150, 5));
	assert_in_range((unsigned)(jt_response_failure(profile) * 1000), 500,
			900);
	for (; now_ms < 303000; now_ms += 100)
		jt_response_profile_update(profile, 150, 5, now_ms);
	assert_false(jt_response_is_short(profile, 150, 5));
	talloc_free(profile);
}

/* Failure reports are bounded in size and in datagrams per second. */
static void test_failure_reports_are_bounded(void **state)
{
	struct jt_failure_reports reports = {0};
	struct jt_endpoint_failure reported[JT_FAILURE_LIMIT];
	uint64_t now_ms = 100000, datagrams = 0;
	size_t peers;

	(void)state;
	jt_failure_reports_add_served(&reports, 1);
	assert_false(jt_failure_reports_due(&reports, 68, now_ms));
	jt_failure_reports_add_failed(&reports, 1, 0.5);
	assert_false(jt_failure_reports_due(&reports, 1, now_ms));
	assert_true(jt_failure_reports_due(&reports, 68, now_ms));
	assert_int_equal(jt_failure_reports_collect(&reports, 68, now_ms,
						    reported, &peers),
			 1);
	assert_int_equal(peers, 67);
	assert_int_equal(reported[0].failed_permille, 500);
	assert_int_equal(reported[0].served_permille, 1000);
	for (int i = 0; i < 10000; i++, now_ms++) {
		for (uint32_t label = 1; label <= 100; label++)
			jt_failure_reports_add_failed(&reports, label, 1);
		if (!jt_failure_reports_due(&reports, 68, now_ms))
			continue;
		assert_int_equal(jt_failure_reports_collect(&reports, 68,
							    now_ms, reported,
							    &peers),
				 JT_FAILURE_LIMIT);
		assert_in_range(peers, 1, 67);
		datagrams += peers;
	}
	assert_in_range(datagrams, 600, 700);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_most_endpoints_fail),
		cmocka_unit_test(test_few_endpoints_fail),
		cmocka_unit_test(test_recovered_endpoints_regain_their_share),
		cmocka_unit_test(test_false_report_is_corrected),
		cmocka_unit_test(test_short_responses_of_a_healthy_route),
		cmocka_unit_test(test_equal_failure_rates_keep_equal_shares),
		cmocka_unit_test(test_hanging_endpoints_at_low_rate),
		cmocka_unit_test(test_missing_failure_reports),
		cmocka_unit_test(test_node_starts_during_failures),
		cmocka_unit_test(test_only_endpoint_fails),
		cmocka_unit_test(test_short_response_classification),
		cmocka_unit_test(test_response_profile_is_learned),
		cmocka_unit_test(test_failure_reports_are_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
