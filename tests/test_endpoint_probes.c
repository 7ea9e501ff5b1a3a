/* Probes of endpoints against sockets of this process. */
#include "test_net.h"

#include "jt_endpoint_probes.h"
#include "jt_timer.h"

enum {
	ENDPOINT_ID = 0x101,
	QUEUE_MAX = 16,
	/* When the endpoint accepts its connections: before an opening packet
	 * that was dropped is sent again, after one second. */
	BUSY_MS = 500,
};

struct fixture {
	struct tevent_context *loop;
	struct jt_endpoint_probes *probes;
	struct jt_address address;
	int listener;
	int queued[QUEUE_MAX]; /* connections that fill the queue */
	size_t queued_count;
	bool finished;
	enum jt_probe_outcome outcome;
};

static void on_probed(uint64_t endpoint_id, uint64_t start_time_ms,
		      enum jt_probe_outcome outcome, void *private_data)
{
	struct fixture *fixture = private_data;

	(void)start_time_ms;
	assert_int_equal(endpoint_id, ENDPOINT_ID);
	fixture->outcome = outcome;
	fixture->finished = true;
}

/* Accepts the connections that wait in the queue. */
static void on_no_longer_busy(void *private_data)
{
	struct fixture *fixture = private_data;
	int fd;

	while ((fd = accept4(fixture->listener, NULL, NULL, SOCK_NONBLOCK)) >=
	       0)
		close(fd);
}

static void listener_open(struct fixture *fixture)
{
	fixture->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	fixture->address =
		(struct jt_address){LOOPBACK, test_bind(fixture->listener)};
	assert_int_equal(listen(fixture->listener, 0), 0);
}

/* Opens connections, which nobody accepts, until the queue drops one. */
static void queue_fill(struct fixture *fixture)
{
	struct sockaddr_in name = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(LOOPBACK),
		.sin_port = htons(fixture->address.port),
	};

	while (fixture->queued_count < QUEUE_MAX) {
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

		assert_true(fd >= 0);
		fixture->queued[fixture->queued_count++] = fd;
		(void)connect(fd, (struct sockaddr *)&name, sizeof(name));
	}
}

static struct fixture *fixture_create(void)
{
	struct fixture *fixture = talloc_zero(NULL, struct fixture);
	const struct jt_probe_handler handler = {
		.probed = on_probed,
		.private_data = fixture,
	};

	fixture->loop = tevent_context_init(fixture);
	fixture->probes = jt_endpoint_probes_create(fixture, fixture->loop,
						    NULL, NULL, &handler);
	listener_open(fixture);
	return fixture;
}

static void fixture_free(struct fixture *fixture)
{
	for (size_t i = 0; i < fixture->queued_count; i++)
		close(fixture->queued[i]);
	close(fixture->listener);
	talloc_free(fixture);
}

static void run(struct fixture *fixture)
{
	jt_endpoint_probes_connect(fixture->probes, ENDPOINT_ID, 0,
				   fixture->address);
	while (!fixture->finished)
		assert_int_equal(tevent_loop_once(fixture->loop), 0);
}

static void test_endpoint_accepts(void **state)
{
	struct fixture *fixture = fixture_create();

	(void)state;
	run(fixture);
	assert_int_equal(fixture->outcome, JT_PROBE_CONNECTED);
	fixture_free(fixture);
}

/* Guards against taking a live endpoint for silent because its full queue of
 * connections dropped one opening packet. */
static void test_full_queue_is_not_silence(void **state)
{
	struct fixture *fixture = fixture_create();
	struct jt_timer *timer = jt_timer_create(fixture, fixture->loop,
						 on_no_longer_busy, fixture);

	(void)state;
	queue_fill(fixture);
	jt_timer_set(timer, BUSY_MS);
	run(fixture);
	assert_int_not_equal(fixture->outcome, JT_PROBE_SILENT);
	fixture_free(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_endpoint_accepts),
		cmocka_unit_test(test_full_queue_is_not_silence),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
