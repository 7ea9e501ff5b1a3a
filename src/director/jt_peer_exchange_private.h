/* The state of a peer exchange and what its files share. */
#ifndef JT_PEER_EXCHANGE_PRIVATE_H
#define JT_PEER_EXCHANGE_PRIVATE_H

#include "jt_http_server.h"
#include "jt_peer_exchange.h"
#include "jt_serve_budget.h"

struct jt_timer;

struct jt_peer_exchange {
	struct tevent_context *loop;
	struct jt_http_client *client;
	const struct jt_log *log;
	struct jt_keys keys;
	struct jt_address address;
	struct jt_peer_handler handler;
	struct jt_membership *membership;
	struct jt_http_server *server;
	struct jt_timer *timer;
	struct jt_timer *news_timer;
	struct jt_timer *fetch_timer;
	bool news_due;
	uint64_t told_revision; /* up to which news was sent on */
	size_t failures_next; /* place of the peer to tell of failures next */
	struct tevent_req *fetch;
	struct jt_address fetch_from; /* the peer that is asked */
	bool fetch_answered;	      /* it has told a part already */
	struct jt_knowledge_fetch fetched;
	struct jt_serve_budget budget;
	int fd;
	uint64_t sequence;
	uint64_t created_ms;
	struct jt_peer_counters counters;
};

static inline void jt_message_count_add(struct jt_message_count *counts,
					jt_wire_director_kind kind,
					size_t bytes)
{
	counts[kind].messages++;
	counts[kind].bytes += bytes;
}

/* Fetch from a peer that knows more, if that is due (jt_peer_knowledge.c). */
void jt_peer_knowledge_look(struct jt_peer_exchange *exchange, uint64_t now_ms);
/* The same, from the exchange's fetch timer. */
void jt_peer_knowledge_due(void *private_data);
/* A peer asks for what it lacks. */
void jt_peer_knowledge_request(struct jt_http_request *request,
			       void *private_data);

#endif
