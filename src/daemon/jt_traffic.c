#define _LGPL_SOURCE
#define URCU_INLINE_SMALL_FUNCTIONS
#include "jt_traffic.h"
#include "jt_net.h"

#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu-qsbr.h>

enum {
	BATCH = 64,	     /* packets per recvmmsg() */
	QUEUE_LIMIT = 16384, /* packets waiting for the control thread */
	POLL_MS = 50,
};

struct bucket_entry {
	struct sockaddr_in endpoint;
	bool direct;
};

struct service_entry {
	struct bucket_entry buckets[JT_BUCKETS];
};

/* Forwarding decisions of the traffic threads; immutable once published. */
struct forwarding_table {
	struct rcu_head rcu;
	struct jt_config config; /* addresses only */
	struct service_entry *services;
};

/* An entry of the queue to the control thread. Packets that the table forwards
 * directly do not take the lock of the queue. */
struct queue_entry {
	STAILQ_ENTRY(queue_entry) next;
	struct jt_slow_packet *packet;
};
STAILQ_HEAD(packet_queue, queue_entry);

struct traffic_thread {
	struct jt_traffic *traffic;
	pthread_t id;
	bool started;
	int fd;
	_Atomic uint64_t counts[8];
	_Atomic uint64_t bad[JT_PACKET_ERROR_COUNT];
};

enum {
	COUNT_RECEIVED,
	COUNT_FORWARDED,
	COUNT_CONTROL,
	COUNT_FULL,
	COUNT_FAILED,
	COUNT_NO_LEASE
};

struct jt_traffic {
	struct traffic_thread *threads;
	unsigned thread_count;
	int wake_fd;
	atomic_bool stopping;
	_Atomic uint64_t lease_until_ms;
	struct forwarding_table *_Atomic table;
	pthread_mutex_t queue_lock; /* guards queue and queue_length */
	struct packet_queue queue;
	size_t queue_length;
	bool stopped;
};

struct batch {
	struct mmsghdr in[BATCH];
	struct iovec in_parts[BATCH];
	struct mmsghdr out[BATCH];
	struct iovec out_parts[BATCH];
	struct sockaddr_in out_names[BATCH];
	uint8_t data[BATCH][JT_PACKET_MAX];
	unsigned out_count;
};

static void count(struct traffic_thread *thread, int which, uint64_t increment)
{
	atomic_fetch_add_explicit(&thread->counts[which], increment,
				  memory_order_relaxed);
}

static void table_free(struct rcu_head *head)
{
	struct forwarding_table *table =
		caa_container_of(head, struct forwarding_table, rcu);

	free(table->services);
	free(table->config.addresses);
	free(table);
}

/* Returns false if the queue is full; sets *first if the queue was empty. */
static bool queue_add(struct jt_traffic *traffic, struct queue_entry *entry,
		      bool *first)
{
	bool accepted;

	pthread_mutex_lock(&traffic->queue_lock);
	accepted = traffic->queue_length < QUEUE_LIMIT;
	*first = traffic->queue_length == 0;
	if (accepted) {
		STAILQ_INSERT_TAIL(&traffic->queue, entry, next);
		traffic->queue_length++;
	}
	pthread_mutex_unlock(&traffic->queue_lock);
	return accepted;
}

static struct queue_entry *queue_entry_create(const uint8_t *data,
					      size_t length)
{
	struct queue_entry *entry = malloc(sizeof(*entry));

	if (entry == NULL)
		return NULL;
	entry->packet = malloc(sizeof(struct jt_slow_packet) + length);
	if (entry->packet == NULL) {
		free(entry);
		return NULL;
	}
	entry->packet->length = length;
	memcpy(entry->packet->data, data, length);
	return entry;
}

static void control_enqueue(struct traffic_thread *thread, const uint8_t *data,
			    size_t length)
{
	struct queue_entry *entry = queue_entry_create(data, length);
	uint64_t one = 1;
	bool first = false;

	if (entry == NULL || !queue_add(thread->traffic, entry, &first)) {
		count(thread, COUNT_FULL, 1);
		if (entry != NULL)
			free(entry->packet);
		free(entry);
		return;
	}
	count(thread, COUNT_CONTROL, 1);
	if (first) /* a saturated eventfd is readable too */
		(void)!write(thread->traffic->wake_fd, &one, sizeof(one));
}

static void batch_add(struct batch *batch, uint8_t *data, size_t length,
		      const struct sockaddr_in *to)
{
	unsigned at = batch->out_count++;

	batch->out_names[at] = *to;
	batch->out_parts[at].iov_base = data;
	batch->out_parts[at].iov_len = length;
	memset(&batch->out[at], 0, sizeof(batch->out[at]));
	batch->out[at].msg_hdr.msg_name = &batch->out_names[at];
	batch->out[at].msg_hdr.msg_namelen = sizeof(struct sockaddr_in);
	batch->out[at].msg_hdr.msg_iov = &batch->out_parts[at];
	batch->out[at].msg_hdr.msg_iovlen = 1;
}

/* Returns the endpoint of a packet that can be forwarded directly, or NULL if
 * the control thread must handle it. */
static const struct sockaddr_in *
table_lookup(const struct forwarding_table *table,
	     const struct jt_parsed *parsed)
{
	const struct jt_address_config *address;
	const struct bucket_entry *entry;

	if (parsed->tcp_flags & (JT_TCP_SYN | JT_TCP_FIN | JT_TCP_RST))
		return NULL;
	address = jt_config_address(&table->config, &parsed->key);
	if (address == NULL)
		return NULL;
	entry = &table->services[address->service]
			 .buckets[jt_flow_bucket(&parsed->key)];
	return entry->direct ? &entry->endpoint : NULL;
}

static void handle_packet(struct traffic_thread *thread, struct batch *batch,
			  const struct forwarding_table *table, uint8_t *data,
			  size_t length)
{
	const struct sockaddr_in *to = NULL;
	struct jt_parsed parsed;
	enum jt_packet_error error = jt_packet_parse(data, length, &parsed);

	if (error != JT_PACKET_OK) {
		atomic_fetch_add_explicit(&thread->bad[error], 1,
					  memory_order_relaxed);
		return;
	}
	if (table != NULL)
		to = table_lookup(table, &parsed);
	if (to == NULL) {
		control_enqueue(thread, data, length);
		return;
	}
	batch_add(batch, data, length, to);
}

static void send_batch(struct traffic_thread *thread, struct batch *batch)
{
	unsigned sent = 0;

	while (sent < batch->out_count) {
		int sent_now = sendmmsg(thread->fd, batch->out + sent,
					batch->out_count - sent, 0);

		if (sent_now <= 0) {
			if (errno == EINTR)
				continue;
			count(thread, COUNT_FAILED, 1);
			sent++; /* skips the packet that failed */
			continue;
		}
		sent += (unsigned)sent_now;
		count(thread, COUNT_FORWARDED, (uint64_t)sent_now);
	}
	batch->out_count = 0;
}

static int receive_batch(struct traffic_thread *thread, struct batch *batch)
{
	for (unsigned i = 0; i < BATCH; i++) {
		batch->in_parts[i].iov_base = batch->data[i];
		batch->in_parts[i].iov_len = JT_PACKET_MAX;
		memset(&batch->in[i], 0, sizeof(batch->in[i]));
		batch->in[i].msg_hdr.msg_iov = &batch->in_parts[i];
		batch->in[i].msg_hdr.msg_iovlen = 1;
	}
	return recvmmsg(thread->fd, batch->in, BATCH, MSG_DONTWAIT, NULL);
}

static void handle_batch(struct traffic_thread *thread, struct batch *batch,
			 int received)
{
	struct jt_traffic *traffic = thread->traffic;
	const struct forwarding_table *table;
	bool leased = jt_clock_ms() < atomic_load(&traffic->lease_until_ms);

	count(thread, COUNT_RECEIVED, (uint64_t)received);
	rcu_read_lock();
	table = leased ? atomic_load_explicit(&traffic->table,
					      memory_order_acquire)
		       : NULL;
	if (!leased)
		count(thread, COUNT_NO_LEASE, (uint64_t)received);
	for (int i = 0; i < received; i++)
		handle_packet(thread, batch, table, batch->data[i],
			      batch->in[i].msg_len);
	rcu_read_unlock();
	send_batch(thread, batch);
}

static void *thread_main(void *argument)
{
	struct traffic_thread *thread = argument;
	struct batch *batch = calloc(1, sizeof(*batch));
	struct pollfd wait = {.fd = thread->fd, .events = POLLIN};

	if (batch == NULL)
		return NULL;
	rcu_register_thread();
	while (!atomic_load(&thread->traffic->stopping)) {
		int received = receive_batch(thread, batch);

		if (received > 0) {
			handle_batch(thread, batch, received);
			rcu_quiescent_state();
			continue;
		}
		rcu_thread_offline();
		poll(&wait, 1, POLL_MS);
		rcu_thread_online();
	}
	rcu_unregister_thread();
	free(batch);
	return NULL;
}

static int traffic_destructor(struct jt_traffic *traffic)
{
	struct jt_slow_packet *packet;

	jt_traffic_stop(traffic);
	while ((packet = jt_traffic_next(traffic)) != NULL)
		free(packet);
	for (unsigned i = 0; i < traffic->thread_count; i++) {
		if (traffic->threads[i].fd >= 0)
			close(traffic->threads[i].fd);
	}
	if (traffic->table != NULL)
		table_free(&traffic->table->rcu);
	return 0;
}

struct jt_traffic *jt_traffic_create(TALLOC_CTX *mem_ctx,
				     struct jt_address data, unsigned threads,
				     int wake_fd)
{
	struct jt_traffic *traffic = talloc_zero(mem_ctx, struct jt_traffic);
	unsigned i;

	if (traffic == NULL)
		return NULL;
	traffic->wake_fd = wake_fd;
	traffic->threads =
		talloc_zero_array(traffic, struct traffic_thread, threads);
	if (traffic->threads == NULL)
		goto fail;
	pthread_mutex_init(&traffic->queue_lock, NULL);
	STAILQ_INIT(&traffic->queue);
	traffic->thread_count = threads;
	for (i = 0; i < threads; i++) {
		traffic->threads[i].traffic = traffic;
		traffic->threads[i].fd = -1;
	}
	talloc_set_destructor(traffic, traffic_destructor);
	for (i = 0; i < threads; i++) {
		struct traffic_thread *thread = &traffic->threads[i];

		thread->fd = jt_udp_open(data, threads > 1);
		if (thread->fd < 0 ||
		    pthread_create(&thread->id, NULL, thread_main, thread))
			goto fail;
		thread->started = true;
	}
	return traffic;
fail:
	talloc_free(traffic);
	return NULL;
}

void jt_traffic_stop(struct jt_traffic *traffic)
{
	if (traffic->stopped)
		return;
	traffic->stopped = true;
	atomic_store(&traffic->stopping, true);
	for (unsigned i = 0; i < traffic->thread_count; i++) {
		if (traffic->threads[i].started)
			pthread_join(traffic->threads[i].id, NULL);
	}
}

static bool table_fill(struct forwarding_table *table,
		       const struct jt_core *core)
{
	const struct jt_cell_state *state = jt_core_state(core);
	const struct jt_config *config = state->config;

	table->services =
		calloc(config->service_count + 1, sizeof(struct service_entry));
	table->config.addresses = calloc(config->address_count + 1,
					 sizeof(struct jt_address_config));
	if (table->services == NULL || table->config.addresses == NULL)
		return false;
	memcpy(table->config.addresses, config->addresses,
	       sizeof(struct jt_address_config) * config->address_count);
	table->config.address_count = config->address_count;
	for (size_t s = 0; s < state->table_count; s++) {
		for (size_t b = 0; b < JT_BUCKETS; b++) {
			struct bucket_entry *entry =
				&table->services[s].buckets[b];
			uint16_t e = state->tables[s].default_index[b];

			if (e == JT_NO_ENDPOINT ||
			    jt_core_bucket_relayed(core, s, b))
				continue;
			entry->direct = true;
			jt_address_to_socket(state->endpoints[e].address,
					     &entry->endpoint);
		}
	}
	return true;
}

void jt_traffic_publish(struct jt_traffic *traffic, const struct jt_core *core)
{
	struct forwarding_table *old = traffic->table;
	struct forwarding_table *table = NULL;

	if (jt_core_state(core) != NULL) {
		table = calloc(1, sizeof(*table));
		if (table != NULL && !table_fill(table, core)) {
			table_free(&table->rcu);
			table = NULL; /* no packet is forwarded directly */
		}
	}
	atomic_store_explicit(&traffic->table, table, memory_order_release);
	if (old != NULL)
		call_rcu(&old->rcu, table_free);
}

void jt_traffic_set_lease(struct jt_traffic *traffic, uint64_t until_ms)
{
	atomic_store(&traffic->lease_until_ms, until_ms);
}

struct jt_slow_packet *jt_traffic_next(struct jt_traffic *traffic)
{
	struct jt_slow_packet *packet = NULL;
	struct queue_entry *entry;

	pthread_mutex_lock(&traffic->queue_lock);
	entry = STAILQ_FIRST(&traffic->queue);
	if (entry != NULL) {
		STAILQ_REMOVE_HEAD(&traffic->queue, next);
		traffic->queue_length--;
		packet = entry->packet;
	}
	pthread_mutex_unlock(&traffic->queue_lock);
	free(entry);
	return packet;
}

void jt_traffic_send(struct jt_traffic *traffic, struct jt_address to,
		     const uint8_t *packet, size_t length)
{
	struct traffic_thread *thread = &traffic->threads[0];
	struct sockaddr_in name;

	jt_address_to_socket(to, &name);
	if (sendto(thread->fd, packet, length, MSG_DONTWAIT,
		   (struct sockaddr *)&name, sizeof(name)) < 0)
		count(thread, COUNT_FAILED, 1);
}

void jt_traffic_counters(const struct jt_traffic *traffic,
			 struct jt_traffic_counters *sum)
{
	memset(sum, 0, sizeof(*sum));
	for (unsigned i = 0; i < traffic->thread_count; i++) {
		struct traffic_thread *t = &traffic->threads[i];

		sum->received += atomic_load(&t->counts[COUNT_RECEIVED]);
		sum->forwarded += atomic_load(&t->counts[COUNT_FORWARDED]);
		sum->to_control += atomic_load(&t->counts[COUNT_CONTROL]);
		sum->queue_full += atomic_load(&t->counts[COUNT_FULL]);
		sum->send_failed += atomic_load(&t->counts[COUNT_FAILED]);
		sum->no_lease += atomic_load(&t->counts[COUNT_NO_LEASE]);
		for (int e = 0; e < JT_PACKET_ERROR_COUNT; e++)
			sum->bad[e] += atomic_load(&t->bad[e]);
	}
}
