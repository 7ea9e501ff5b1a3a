/*
 * One balancer node: passes events from sockets and timers to the decision
 * library and executes the actions that it returns.
 *
 * All functions run on the control thread.
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

/* Callbacks of the modules that use a node. */
struct jt_node_handler {
	/* Called periodically. */
	void (*tick)(void *private_data);
	/* A configuration document was received, or the active one may have
	 * changed. */
	void (*changed)(void *private_data);
	/* Requests the witness vote of the store; @request is valid during the
	 * call only. */
	void (*witness)(const struct jt_witness_request *request,
			void *private_data);
	/* The node has left its cell. Called once. */
	void (*left)(void *private_data);
	void *private_data;
};

struct jt_node {
	struct tevent_context *loop;
	const struct jt_log *log;
	struct jt_settings *settings;
	struct jt_timer *tick;
	struct jt_timer *leave;	      /* delay before the cell is left */
	struct jt_timer *leave_limit; /* ends a leave that no peer confirms */
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
	/* The packet of the event being handled; NULL if none. */
	const uint8_t *packet;
	size_t packet_length;
	uint64_t packet_token;
	struct jt_parsed packet_parsed;
	bool publish;
	bool draining; /* stopping: reports itself not ready */
	bool left;
	bool was_ready;
	uint64_t started_ms;
	struct jt_node_counters counters;
	struct jt_node_handler handler;
	bool left_told;
};

/* Creates a node and takes ownership of @settings. Returns NULL with a message
 * in @error, a child of @mem_ctx, if a socket, thread or timer cannot be
 * created. Only the callback `changed` may be called before this returns. */
struct jt_node *jt_node_create(TALLOC_CTX *mem_ctx, struct tevent_context *loop,
			       const struct jt_log *log,
			       struct jt_settings *settings,
			       const struct jt_node_handler *handler,
			       char **error);
/* Passes @event to the decision library and executes the returned actions. */
void jt_node_event(struct jt_node *node, struct jt_event *event);
/* Stores a configuration document and passes it to the decision library.
 * Returns false if it is invalid; returns true for a known revision. */
bool jt_node_take_document(struct jt_node *node, uint64_t revision,
			   const char *text);
/* Returns the document of the highest revision, or NULL if there is none. */
const struct jt_document *jt_node_newest(const struct jt_node *node);
/* Returns the document of @revision, or NULL if it is not stored. */
const struct jt_document *jt_node_document(const struct jt_node *node,
					   uint64_t revision);
/* Returns true if the node forwards packets and is not stopping. */
bool jt_node_ready(const struct jt_node *node);
/* Starts a planned stop: the node is not ready from now on and leaves the cell
 * after the configured leave delay. */
void jt_node_leave(struct jt_node *node);
/* Replaces the settings (keys, tokens, seeds, log level, store rate) and takes
 * ownership of @settings. */
void jt_node_reload(struct jt_node *node, struct jt_settings *settings);

#endif
