/*
 * Tests of traffic threads on loopback sockets: packets with a table entry go
 * to the endpoint, others to the control thread; without a lease all of them
 * go to the control thread. `make check` also runs them with ThreadSanitizer.
 */
#include "test.h"

#include "jt_net.h"
#include "jt_traffic.h"
#include "lone_core.h"
#include "tcp_packet.h"

#include <poll.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

enum { PACKETS = 200, TIMEOUT_MS = 20000 };

/* Made unique by main() for each process: traffic threads share their port, so
 * parallel runs of this test would receive each other's packets. */
static struct jt_address data_address = {0x7f3c0000, 6080};
static struct jt_address endpoint_address = {0x7f3d0000, 6080};

/* Returns the core of a single-node cell with one service and one endpoint. */
static struct jt_core *make_core(TALLOC_CTX *mem_ctx)
{
	struct jt_core_options options;
	struct jt_core *core;

	jt_core_options_init(&options);
	core = lone_core_make(
		mem_ctx, jt_actions_create(mem_ctx),
		lone_config_make(mem_ctx, 1, endpoint_address, 1000, 0),
		options.flow_limit);
	assert_non_null(jt_core_state(core));
	return core;
}

static int receive(int fd, unsigned expected)
{
	struct pollfd wait = {.fd = fd, .events = POLLIN};
	uint8_t packet[100];
	unsigned received = 0;

	while (received < expected && poll(&wait, 1, TIMEOUT_MS) == 1) {
		while (recv(fd, packet, sizeof(packet), MSG_DONTWAIT) == 40)
			received++;
	}
	return (int)received;
}

static void send_packets(int fd, uint8_t flags)
{
	struct sockaddr_in to;
	uint8_t packet[40];

	jt_address_to_socket(data_address, &to);
	for (unsigned i = 0; i < PACKETS; i++) {
		tcp_packet_make(packet, 40, (uint16_t)(2000 + i), flags);
		assert_int_equal(sendto(fd, packet, 40, 0,
					(struct sockaddr *)&to, sizeof(to)),
				 40);
	}
}

static unsigned drain_queue(struct jt_traffic *traffic, int wake_fd,
			    unsigned expected)
{
	struct pollfd wait = {.fd = wake_fd, .events = POLLIN};
	struct jt_control_packet *packet;
	unsigned received = 0;
	uint64_t value;

	while (received < expected && poll(&wait, 1, TIMEOUT_MS) == 1) {
		assert_int_equal(read(wake_fd, &value, sizeof(value)), 8);
		while ((packet = jt_traffic_dequeue(traffic)) != NULL) {
			assert_int_equal(packet->length, 40);
			free(packet);
			received++;
		}
	}
	return received;
}

static void test_table_and_queue(void **state)
{
	TALLOC_CTX *frame = talloc_new(NULL);
	struct jt_core *core = make_core(frame);
	int wake_fd = eventfd(0, 0);
	int sink = jt_udp_open(endpoint_address, false);
	int source = socket(AF_INET, SOCK_DGRAM, 0);
	struct jt_traffic_counters counters;
	struct jt_traffic *traffic;

	(void)state;
	traffic = jt_traffic_create(frame, data_address, 2, wake_fd);
	assert_non_null(traffic);
	/* Without a lease the table forwards nothing. */
	jt_traffic_publish(traffic, core);
	send_packets(source, JT_TCP_ACK);
	assert_int_equal(drain_queue(traffic, wake_fd, PACKETS), PACKETS);
	/* With a lease the table forwards every bucket that is not placed by
	 * load. */
	jt_traffic_set_lease(traffic, UINT64_MAX);
	for (int i = 0; i < 20; i++)
		jt_traffic_publish(traffic, core); /* while threads read */
	send_packets(source, JT_TCP_ACK);
	assert_in_range(receive(sink, PACKETS / 2), PACKETS / 2, PACKETS);
	/* First packets always go to the control thread. */
	send_packets(source, JT_TCP_SYN);
	assert_true(drain_queue(traffic, wake_fd, PACKETS) >= PACKETS);
	jt_traffic_stop(traffic);
	jt_traffic_counters(traffic, &counters);
	assert_int_equal(counters.received, 3 * PACKETS);
	assert_int_equal(counters.forwarded + counters.to_control, 3 * PACKETS);
	talloc_free(frame);
	close(source);
	close(sink);
	close(wake_fd);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_table_and_queue),
	};

	data_address.ip |= (uint32_t)getpid() & 0xffff;
	endpoint_address.ip |= (uint32_t)getpid() & 0xffff;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
