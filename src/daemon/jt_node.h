/*
 * One balancer node: drives the decision library from sockets and timers.
 *
 * Everything here runs on the control thread.
 */
#ifndef JT_NODE_H
#define JT_NODE_H

#include "jaspertrack/core.h"
#include "jt_codec.h"
#include "jt_document.h"
#include "jt_log.h"
#include "jt_replay_table.h"
#include "jt_settings.h"
#include "jt_traffic.h"

#include <jansson.h>
#include <tevent.h>

struct jt_timer;
struct jt_witness_request;

struct jt_node_counters {
	uint64_t peer_bytes_sent;
	uint64_t peer_bytes_received;
	uint64_t peer_messages_sent;
	uint64_t peer_rejected[JT_CODEC_SIZE + 1];
	uint64_t resets_sent;
	uint64_t held_overflow;
	uint64_t probe_bytes;
	uint64_t relay_bytes_sent;
};

/* What the parts that stand on a node are told. */
struct jt_node_handler {
	/* Time has passed, or a good deal has happened. */
	void (*tick)(void *private_data);
	/* A document has become known, or another one may be in force. */
	void (*changed)(void *private_data);
	/* The store's vote is wanted; @request is valid during the call. */
	void (*witness)(const struct jt_witness_request *request,
			void *private_data);
	/* The node has left its cell. Said once. */
	void (*left)(void *private_data);
	void *private_data;
};

struct jt_node {
	struct tevent_context *loop;
	const struct jt_log *log;
	struct jt_settings *settings;
	struct jt_timer *tick;
	struct jt_timer *leave;	      /* until the fabric has stopped */
	struct jt_timer *leave_limit; /* a leave that nobody confirms */
	struct jt_core *core;
	struct jt_actions *actions;
	struct jt_traffic *traffic;
	int wake_fd;
	int peer_fd;
	uint64_t sequence;
	struct jt_replay_table *replays;
	struct jt_document_memory documents;
	struct jt_held_packet *held;
	size_t held_count;
	uint64_t next_token;
	/* The packet of the event in hand. */
	const uint8_t *packet;
	size_t packet_length;
	uint64_t packet_token;
	struct jt_parsed packet_parsed;
	bool publish;
	bool draining; /* SIGTERM came: not ready any more */
	bool left;
	bool was_ready;
	uint64_t started_ms;
	struct jt_node_counters counters;
	struct jt_node_handler handler;
	bool left_told;
};

/* NULL with a line in @error (below @mem_ctx) when something can't start. Of
 * the callbacks only changed may come from within this call. */
struct jt_node *jt_node_create(TALLOC_CTX *mem_ctx, struct tevent_context *loop,
			       const struct jt_log *log,
			       struct jt_settings *settings,
			       const struct jt_node_handler *handler,
			       char **error);
/* Give @event to the decision library and do what it says. */
void jt_node_event(struct jt_node *node, struct jt_event *event);
/* Take a configuration document; false when it is invalid. A revision that
 * is known already is accepted again. */
bool jt_node_take_document(struct jt_node *node, uint64_t revision,
			   const char *text);
/* The newest document, NULL if none is known. */
const struct jt_document *jt_node_newest(const struct jt_node *node);
const struct jt_document *jt_node_document(const struct jt_node *node,
					   uint64_t revision);
bool jt_node_ready(const struct jt_node *node);
/* Planned stop: not ready at once, leave the cell after the leave delay. */
void jt_node_leave(struct jt_node *node);
/* Use changed settings (keys, tokens, seeds, log level, store rate). */
void jt_node_reload(struct jt_node *node, struct jt_settings *settings);

#endif
