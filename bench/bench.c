/*
 * Benchmarks. Each prints a JSON line:
 *
 * forward_ratio       throughput of one traffic thread relative to a plain
 *                     recvmmsg()/sendmmsg() forwarder, measured alternately
 * decide_ns           placement of a new flow, at 10,000 to 1,000,000 records
 * bytes_per_flow_record
 * table_apply_ms      computation of the next cell state after an endpoint
 *                     change
 * tick_cpu_part       fraction of a core used by ticks while records are held
 */
#include "jaspertrack/cell.h"
#include "jt_cluster.h"
#include "jt_flow_table.h"
#include "jt_net.h"
#include "jt_packet.h"
#include "jt_traffic.h"
#include "../tests/lone_core.h"
#include "../tests/tcp_packet.h"

#include <errno.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum {
	ROUND_COUNT = 7,
	ROUND_MS = 700,
	BATCH = 64,
	PACKET = 200,
	SENDERS = 2,
	ENDPOINTS = 15,
	HELD_RECORDS = 300000,
	MEMBERS = 12,
};

static const struct jt_address forwarder = {0x7f460001, 6080};
static const struct jt_address sink = {0x7f460002, 6080};
static atomic_bool sending, receiving;
static _Atomic uint64_t received_count;

static double now_s(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static void *send_main(void *argument)
{
	static _Thread_local uint8_t packets[BATCH][PACKET];
	struct mmsghdr messages[BATCH] = {0};
	struct iovec parts[BATCH];
	struct sockaddr_in to;
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	(void)argument;
	jt_address_to_socket(forwarder, &to);
	for (int i = 0; i < BATCH; i++) {
		tcp_packet_make(packets[i], PACKET, (uint16_t)(2000 + i),
				JT_TCP_ACK);
		parts[i] = (struct iovec){packets[i], PACKET};
		messages[i].msg_hdr.msg_name = &to;
		messages[i].msg_hdr.msg_namelen = sizeof(to);
		messages[i].msg_hdr.msg_iov = &parts[i];
		messages[i].msg_hdr.msg_iovlen = 1;
	}
	while (atomic_load(&sending))
		(void)sendmmsg(fd, messages, BATCH, 0);
	close(fd);
	return NULL;
}

static void *sink_main(void *argument)
{
	static uint8_t data[BATCH][PACKET];
	struct mmsghdr messages[BATCH] = {0};
	struct iovec parts[BATCH];
	int fd = *(int *)argument;
	struct pollfd wait = {.fd = fd, .events = POLLIN};

	for (int i = 0; i < BATCH; i++) {
		parts[i] = (struct iovec){data[i], PACKET};
		messages[i].msg_hdr.msg_iov = &parts[i];
		messages[i].msg_hdr.msg_iovlen = 1;
	}
	while (atomic_load(&receiving)) {
		int got = recvmmsg(fd, messages, BATCH, MSG_DONTWAIT, NULL);

		if (got > 0)
			atomic_fetch_add(&received_count, (uint64_t)got);
		else
			poll(&wait, 1, 10);
	}
	return NULL;
}

/* Forwards with the same batches and buffers, but without any decision. */
static void *plain_forwarder_main(void *argument)
{
	static uint8_t data[BATCH][JT_PACKET_MAX];
	struct mmsghdr in[BATCH], out[BATCH];
	struct iovec in_parts[BATCH], out_parts[BATCH];
	struct sockaddr_in to;
	int fd = *(int *)argument;
	struct pollfd wait = {.fd = fd, .events = POLLIN};

	jt_address_to_socket(sink, &to);
	while (atomic_load(&sending)) {
		int got, sent = 0;

		memset(in, 0, sizeof(in));
		memset(out, 0, sizeof(out));
		for (int i = 0; i < BATCH; i++) {
			in_parts[i] = (struct iovec){data[i], JT_PACKET_MAX};
			in[i].msg_hdr.msg_iov = &in_parts[i];
			in[i].msg_hdr.msg_iovlen = 1;
		}
		got = recvmmsg(fd, in, BATCH, MSG_DONTWAIT, NULL);
		if (got <= 0) {
			poll(&wait, 1, 10);
			continue;
		}
		for (int i = 0; i < got; i++) {
			out_parts[i] = (struct iovec){data[i], in[i].msg_len};
			out[i].msg_hdr.msg_name = &to;
			out[i].msg_hdr.msg_namelen = sizeof(to);
			out[i].msg_hdr.msg_iov = &out_parts[i];
			out[i].msg_hdr.msg_iovlen = 1;
		}
		while (sent < got) {
			int done = sendmmsg(fd, out + sent,
					    (unsigned)(got - sent), 0);

			sent += done > 0 ? done : 1;
		}
	}
	return NULL;
}

/* Returns the packets per second forwarded under a flood of packets. */
static double measure_throughput(void)
{
	pthread_t senders[SENDERS];
	uint64_t before;
	double started;

	atomic_store(&sending, true);
	for (int i = 0; i < SENDERS; i++)
		pthread_create(&senders[i], NULL, send_main, NULL);
	usleep(100000);
	before = atomic_load(&received_count);
	started = now_s();
	usleep(ROUND_MS * 1000);
	started = now_s() - started;
	before = atomic_load(&received_count) - before;
	atomic_store(&sending, false);
	for (int i = 0; i < SENDERS; i++)
		pthread_join(senders[i], NULL);
	return (double)before / started;
}

static struct jt_core *make_core(TALLOC_CTX *mem_ctx,
				 struct jt_actions *actions,
				 unsigned free_permille)
{
	const struct jt_config *config = lone_config_make(
		mem_ctx, ENDPOINTS, sink, 10000000, free_permille);

	return lone_core_make(mem_ctx, actions, config, 1u << 22);
}

static void open_flow(struct jt_core *core, struct jt_actions *actions,
		      uint32_t number)
{
	struct jt_event event = {.kind = JT_EVENT_PACKET, .now_ms = 1010};

	event.u.packet.key.source = 0x0b000000 + number / 50000;
	event.u.packet.key.source_port = (uint16_t)(1024 + number % 50000);
	event.u.packet.key.destination = 0x0a000002;
	event.u.packet.key.destination_port = 80;
	event.u.packet.key.protocol = JT_PROTOCOL_TCP;
	event.u.packet.tcp_flags = JT_TCP_SYN;
	event.u.packet.token = number;
	jt_core_handle(core, &event, actions);
	jt_actions_clear(actions);
}

static double measure_plain_forwarder(void)
{
	int fd = jt_udp_open(forwarder, false);
	pthread_t thread;
	double rate;

	atomic_store(&sending, true);
	pthread_create(&thread, NULL, plain_forwarder_main, &fd);
	rate = measure_throughput();
	pthread_join(thread, NULL);
	close(fd);
	return rate;
}

static double measure_traffic(const struct jt_core *core, unsigned threads)
{
	TALLOC_CTX *frame = talloc_new(NULL);
	int wake_fd = eventfd(0, EFD_NONBLOCK);
	struct jt_traffic *traffic =
		jt_traffic_create(frame, forwarder, threads, wake_fd);
	double rate;

	jt_traffic_publish(traffic, core);
	jt_traffic_set_lease(traffic, UINT64_MAX);
	rate = measure_throughput();
	talloc_free(frame);
	close(wake_fd);
	return rate;
}

static double median(double *values, size_t count)
{
	gsl_sort(values, 1, count);
	return gsl_stats_median_from_sorted_data(values, 1, count);
}

static void bench_forward(void)
{
	TALLOC_CTX *frame = talloc_new(NULL);
	struct jt_actions *actions = jt_actions_create(frame);
	struct jt_core *core = make_core(frame, actions, 0);
	double plain[ROUND_COUNT], one[ROUND_COUNT], ratio[ROUND_COUNT],
		two[ROUND_COUNT];
	int sink_fd = jt_udp_open(sink, false);
	pthread_t sink_thread;

	for (uint32_t i = 0; i < HELD_RECORDS; i++)
		open_flow(core, actions, i);
	atomic_store(&receiving, true);
	pthread_create(&sink_thread, NULL, sink_main, &sink_fd);
	for (int r = 0; r < ROUND_COUNT; r++) {
		plain[r] = measure_plain_forwarder();
		one[r] = measure_traffic(core, 1);
		two[r] = measure_traffic(core, 2);
		ratio[r] = one[r] / plain[r];
	}
	atomic_store(&receiving, false);
	pthread_join(sink_thread, NULL);
	close(sink_fd);
	printf("{\"bench\":\"forward_ratio\",\"value\":%.3f,"
	       "\"bare_per_s\":%.0f,\"thread_per_s\":%.0f,"
	       "\"two_threads_over_one\":%.3f,\"records_held\":%zu}\n",
	       median(ratio, ROUND_COUNT), median(plain, ROUND_COUNT),
	       median(one, ROUND_COUNT),
	       median(two, ROUND_COUNT) / median(one, ROUND_COUNT),
	       jt_core_flow_count(core));
	talloc_free(frame);
}

static void bench_decide(uint32_t records)
{
	enum { SAMPLES = 20000 };
	TALLOC_CTX *frame = talloc_new(NULL);
	struct jt_actions *actions = jt_actions_create(frame);
	struct jt_core *core = make_core(frame, actions, 200);
	double started, elapsed;

	for (uint32_t i = 0; i < records; i++)
		open_flow(core, actions, i);
	started = now_s();
	for (uint32_t i = 0; i < SAMPLES; i++)
		open_flow(core, actions, records + i);
	elapsed = now_s() - started;
	printf("{\"bench\":\"decide_ns\",\"records\":%u,\"value\":%.0f}\n",
	       records, elapsed / SAMPLES * 1e9);
	talloc_free(frame);
}

static void bench_record_size(void)
{
	printf("{\"bench\":\"bytes_per_flow_record\",\"value\":%zu,"
	       "\"table_bytes_per_record_at_most\":%zu}\n",
	       sizeof(struct jt_flow), sizeof(struct jt_flow) * 8 / 3);
}

static void bench_apply(unsigned members, unsigned endpoints)
{
	enum { TIMES = 20 };
	TALLOC_CTX *frame = talloc_new(NULL);
	jt_wire_member *m = talloc_zero_array(frame, jt_wire_member, members);
	jt_wire_endpoint *e =
		talloc_zero_array(frame, jt_wire_endpoint, endpoints);
	jt_wire_proposal proposal = {.epoch = 1};
	struct jt_config *config =
		lone_config_make(frame, endpoints, sink, 10000000, 200);
	struct jt_cell_state *state;
	double started;

	for (unsigned i = 0; i < members; i++) {
		m[i].id = 1000 + i;
		m[i].zone = i % 3;
	}
	for (unsigned i = 0; i < endpoints; i++) {
		e[i].id = 100 + i;
		e[i].service_id = 5;
		e[i].capacity = 100;
	}
	proposal.members.members_val = m;
	proposal.members.members_len = members;
	proposal.endpoints.endpoints_val = e;
	proposal.endpoints.endpoints_len = endpoints;
	state = jt_cell_apply(frame, 1, NULL, &proposal, config, 0);
	e[1].port_state = JT_ENDPOINT_DRAINING;
	started = now_s();
	for (int i = 0; i < TIMES; i++)
		talloc_free(
			jt_cell_apply(frame, 1, state, &proposal, config, 0));
	printf("{\"bench\":\"table_apply_ms\",\"members\":%u,"
	       "\"endpoints\":%u,\"value\":%.3f}\n",
	       members, endpoints, (now_s() - started) / TIMES * 1000);
	talloc_free(frame);
}

/* Measures the ticks of a single-node cell that holds @records. */
static void bench_tick(uint32_t records)
{
	enum { TICKS = 4000 };
	TALLOC_CTX *frame = talloc_new(NULL);
	struct jt_actions *actions = jt_actions_create(frame);
	struct jt_core *core = make_core(frame, actions, 200);
	struct jt_event event = {.kind = JT_EVENT_TICK, .now_ms = 2000};
	double started;

	for (uint32_t i = 0; i < records; i++)
		open_flow(core, actions, i);
	started = now_s();
	for (int i = 0; i < TICKS; i++) {
		event.now_ms += 25;
		jt_core_handle(core, &event, actions);
		jt_actions_clear(actions);
	}
	printf("{\"bench\":\"tick_cpu_part\",\"records\":%u,\"value\":%.5f}\n",
	       records, (now_s() - started) / (TICKS * 0.025));
	talloc_free(frame);
}

int main(void)
{
	setvbuf(stdout, NULL, _IOLBF, 0);
	bench_record_size();
	for (uint32_t records = 10000; records <= 1000000; records *= 10)
		bench_decide(records);
	bench_apply(6, 15);
	bench_apply(MEMBERS, 15);
	bench_apply(MEMBERS, 110);
	bench_apply(32, 110);
	for (uint32_t records = 10000; records <= 1000000; records *= 10)
		bench_tick(records);
	bench_forward();
	return 0;
}
