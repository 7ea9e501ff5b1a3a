/* State of a director node, shared by its source files. */
#ifndef JT_DIRECTOR_NODE_PRIVATE_H
#define JT_DIRECTOR_NODE_PRIVATE_H

#include "jaspertrack/director.h"
#include "jt_director_node.h"
#include "jt_director_pages.h"
#include "jt_directory_sync.h"
#include "jt_endpoint_probes.h"
#include "jt_peer_exchange.h"
#include "jt_reader.h"
#include "jt_refusals.h"

#include <sys/queue.h>

struct jt_timer;

/* A packet held until this node can choose or find its flow's endpoint. */
struct held_packet {
	STAILQ_ENTRY(held_packet) next;
	uint64_t since_ms;
	size_t length;
	uint8_t data[];
};

struct jt_director_node {
	struct tevent_context *loop;
	const struct jt_log *log;
	struct jt_director_settings *settings;
	const struct jt_environment *environment;
	struct jt_director *director;
	struct jt_director_actions *actions;
	struct jt_http_client *client;
	struct jt_directory_sync *sync;
	struct jt_endpoint_probes *probes;
	struct jt_peer_exchange *peers;
	struct jt_director_pages *pages;
	struct jt_reader reader;
	struct jt_refusals refusals;
	uint64_t store_failures; /* failed store calls at the last tick */
	struct jt_timer *tick_timer;
	uint64_t tick_due_ms; /* when the next tick is due; 0: not set yet */
	uint64_t log_ms; /* time spent writing log lines up to the last tick */
	bool lookup_pending; /* the lookup timer is running */
	bool lookup_again;   /* a lookup was sent after the timer was set */
	struct jt_timer *lookup_timer; /* time for peers to respond */
	int data_fd;
	uint8_t buffer[JT_HEADROOM_MAX + JT_DATAGRAM_MAX];
	size_t packet_length; /* length of the current packet */
	uint64_t event_ms;    /* time of the current event */
	struct jt_leave leave;
	bool was_ready;
	bool ready_reported; /* a readiness check was answered with "ready" */
	STAILQ_HEAD(held_queue, held_packet) held;
	size_t held_count;
	uint64_t held_since_ms; /* of the current packet; 0: it is new */
	struct jt_director_traffic traffic;
	void (*on_left)(void *private_data);
	void *private_data;
};

/* Passes @event to the decision library and carries out the resulting actions
 * (jt_director_node_packets.c). */
void jt_director_node_event_handle(struct jt_director_node *node,
				   struct jt_director_event *event);
/* Updates how this node reads the store: directly, or through peers. */
void jt_director_node_read_mode_update(struct jt_director_node *node,
				       uint64_t now_ms);
/* Reads datagrams from the data socket (a tevent_fd_handler_t). */
void jt_director_node_on_packets(struct tevent_context *loop,
				 struct tevent_fd *fd, uint16_t flags,
				 void *private_data);
/* Updates readiness and logs each change. */
void jt_director_node_ready_update(struct jt_director_node *node);
/* Updates readiness and retries held packets, after the node has received new
 * state. */
void jt_director_node_progress_update(struct jt_director_node *node);
/* Retries held packets if the node accepts new flows. */
void jt_director_node_held_retry(struct jt_director_node *node);
/* Fills in the callbacks for changes from the store and from peers
 * (jt_director_node_sync.c). */
void jt_director_node_callbacks_init(struct jt_director_node *node,
				     struct jt_directory_watcher *watcher,
				     struct jt_peer_handler *handler);

#endif
