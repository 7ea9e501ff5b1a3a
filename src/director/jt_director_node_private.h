/* The state of a director node and what its files share. */
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

/* A packet that waits for what this node does not know yet. */
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
	uint64_t store_failures; /* calls that had failed at the last look */
	struct jt_timer *tick;
	uint64_t tick_due_ms;	 /* of the next one, 0: none was set */
	uint64_t log_ms;	 /* spent on log lines up to the last tick */
	bool lookup_set;	 /* that timer runs */
	bool lookup_again;	 /* peers were asked since it was set */
	struct jt_timer *lookup; /* when peers have had time to answer */
	int data_fd;
	uint8_t buffer[JT_HEADROOM_MAX + JT_DATAGRAM_MAX];
	size_t packet_length; /* of the packet in hand */
	uint64_t event_ms;    /* when the event in hand came */
	struct jt_leave leave;
	bool was_ready;
	bool told_ready; /* a router was told that this node is ready */
	STAILQ_HEAD(held_queue, held_packet) held;
	size_t held_count;
	uint64_t held_since_ms; /* of the packet in hand, 0: just come */
	struct jt_director_traffic traffic;
	void (*on_left)(void *private_data);
	void *private_data;
};

/* Give @event to the decision library and do what it says
 * (jt_director_node_packets.c). */
void jt_director_node_event(struct jt_director_node *node,
			    struct jt_director_event *event);
/* Read the store, or leave it to peers, as the reader decides. */
void jt_director_node_reader_look(struct jt_director_node *node,
				  uint64_t now_ms);
/* Datagrams have come (a tevent_fd_handler_t). */
void jt_director_node_on_packets(struct tevent_context *loop,
				 struct tevent_fd *fd, uint16_t flags,
				 void *private_data);
/* The node may have become ready, or cease to be. */
void jt_director_node_watch_ready(struct jt_director_node *node);
/* The node may know more than before: it may be ready, and held packets are
 * offered again. */
void jt_director_node_started_look(struct jt_director_node *node);
/* Offer held packets again, where new flows are placed. */
void jt_director_node_release(struct jt_director_node *node);
/* What the store and peers tell goes to these (jt_director_node_news.c). */
void jt_director_node_handlers(struct jt_director_node *node,
			       struct jt_directory_watcher *watcher,
			       struct jt_peer_handler *handler);

#endif
