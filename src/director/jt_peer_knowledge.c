/* A peer that is behind fetches what it lacks, over HTTP: it may be long. */
#include "jt_peer_exchange_private.h"
#include "jt_codec.h"
#include "jt_net.h"
#include "jt_timer.h"

#include <stdlib.h>
#include <string.h>

enum {
	FETCH_TIMEOUT_MS = 1000,
	/* A node that has just started rather asks another peer: the first may
	 * have lost power together with it, unless it has answered before. */
	FETCH_START_TIMEOUT_MS = 250,
	KNOWLEDGE_MOST = 8 << 20,
	FETCH_LOOK_MS = 70, /* a node that is behind looks again after that */
	STATUS_OK = 200,
	STATUS_BUSY = 429, /* the peer is asked by too many */
};

#define KNOWLEDGE_PATH "/knowledge"

static void fetch_end(struct jt_peer_exchange *exchange, enum jt_fetch_end end)
{
	exchange->fetch = NULL;
	if (end != JT_FETCH_WORKED)
		exchange->counters.fetches_failed++;
	jt_membership_fetched(exchange->membership, end, jt_clock_ms());
}

static void part_take(struct jt_peer_exchange *exchange,
		      const jt_wire_knowledge *knowledge)
{
	struct jt_knowledge_fetch *fetched = &exchange->fetched;
	void *private_data = exchange->handler.private_data;

	exchange->handler.learned(knowledge, private_data);
	if (jt_knowledge_fetch_took(fetched, knowledge, jt_clock_ms()))
		exchange->handler.learned_all(fetched, private_data);
}

static bool knowledge_take(struct jt_peer_exchange *exchange, const char *body,
			   size_t length)
{
	jt_wire_director_message message = {0};
	xdrproc_t decode = (xdrproc_t)xdr_jt_wire_director_message;
	enum jt_codec_error error;
	uint64_t sequence;

	error = jt_frame_open(&exchange->keys, exchange->address,
			      (const uint8_t *)body, length, &sequence, decode,
			      &message);
	if (error != JT_CODEC_OK) {
		exchange->counters.rejected[error]++;
		return false;
	}
	jt_message_count_add(exchange->counters.received, message.body.kind,
			     length);
	if (message.body.kind == JT_WIRE_KNOWLEDGE)
		part_take(exchange,
			  &message.body.jt_wire_director_body_u.knowledge);
	xdr_free(decode, &message);
	return true;
}

static void on_fetched(struct tevent_req *req);

/* Ask the peer for the next part. */
static void part_ask(struct jt_peer_exchange *exchange)
{
	char from[JT_ADDRESS_TEXT], to[JT_ADDRESS_TEXT];
	struct jt_http_call call = {.method = "GET"};
	struct jt_own_state own = {0};
	struct jt_knowledge_need need;
	char *url;

	exchange->handler.own_state(&own, exchange->handler.private_data);
	need = jt_knowledge_fetch_need(&exchange->fetched, &own);
	call.timeout_ms = own.started || exchange->fetch_answered
				  ? FETCH_TIMEOUT_MS
				  : FETCH_START_TIMEOUT_MS;
	url = talloc_asprintf(exchange,
			      "http://%s" KNOWLEDGE_PATH
			      "?to=%s&since=%llu&version=%llu&slice=%u",
			      jt_address_format(exchange->fetch_from, to),
			      jt_address_format(exchange->address, from),
			      (unsigned long long)need.since,
			      (unsigned long long)need.version, need.slice);
	if (url != NULL) {
		call.url = url;
		exchange->fetch =
			jt_http_send(exchange, exchange->client, &call);
		talloc_free(url);
	}
	if (exchange->fetch == NULL)
		fetch_end(exchange, JT_FETCH_FAILED);
	else
		tevent_req_set_callback(exchange->fetch, on_fetched, exchange);
}

static void on_fetched(struct tevent_req *req)
{
	struct jt_peer_exchange *exchange =
		tevent_req_callback_data(req, struct jt_peer_exchange);
	size_t length = 0;
	long status = 0;
	char *body = NULL;
	uint32_t before = exchange->fetched.slice;
	bool worked;

	worked = jt_http_recv_bytes(req, exchange, &status, &body, &length) ==
			 0 &&
		 status == STATUS_OK && knowledge_take(exchange, body, length);
	talloc_free(body);
	talloc_free(req);
	exchange->fetch = NULL;
	exchange->fetch_answered = worked;
	if (!worked)
		fetch_end(exchange, status == STATUS_BUSY ? JT_FETCH_BUSY
							  : JT_FETCH_FAILED);
	else if (!exchange->fetched.begun)
		fetch_end(exchange, JT_FETCH_WORKED);
	else if (exchange->fetched.slice > before)
		part_ask(exchange);
	else
		fetch_end(exchange, JT_FETCH_BUSY); /* some endpoints alone */
}

static void fetch_start(struct jt_peer_exchange *exchange,
			const struct jt_peer *peer)
{
	char text[JT_ADDRESS_TEXT];

	exchange->counters.fetches++;
	jt_log_line(exchange->log, LOG_NOTICE,
		    "event=knowledge_fetch peer=%s revision=%llu version=%llu "
		    "slice=%u",
		    jt_address_format(peer->address, text),
		    (unsigned long long)peer->revision,
		    (unsigned long long)peer->routing_version,
		    exchange->fetched.begun ? exchange->fetched.slice : 0);
	exchange->fetch_from = peer->address;
	exchange->fetch_answered = false;
	part_ask(exchange);
}

/* What a peer knows already, as its request says; 0 where it does not. */
static uint64_t query_number(const struct jt_http_request *request,
			     const char *name)
{
	const char *text = jt_http_query(request, name);

	return text != NULL ? strtoull(text, NULL, 10) : 0;
}

/* As of when, and by whose reading, this node knows the store. */
static void knowledge_set_age(const struct jt_peer_exchange *exchange,
			      jt_wire_knowledge *knowledge)
{
	struct jt_own_state own = {0};

	exchange->handler.own_state(&own, exchange->handler.private_data);
	knowledge->store_age_ms = jt_own_store_age_ms(&own, jt_clock_ms());
	knowledge->store_reader = own.store_reader;
}

static void knowledge_reply(struct jt_peer_exchange *exchange,
			    struct jt_http_request *request,
			    struct jt_address to)
{
	jt_wire_director_message message = {
		.from = exchange->membership->id,
		.body.kind = JT_WIRE_KNOWLEDGE,
	};
	xdrproc_t encode = (xdrproc_t)xdr_jt_wire_director_message;
	TALLOC_CTX *frame = talloc_new(exchange);
	jt_wire_knowledge *knowledge =
		&message.body.jt_wire_director_body_u.knowledge;
	const struct jt_knowledge_need need = {
		.since = query_number(request, "since"),
		.version = query_number(request, "version"),
		.slice = (uint32_t)query_number(request, "slice"),
	};
	uint8_t *body = NULL;
	size_t room, length = 0;

	if (exchange->handler.knowledge(frame, &need, knowledge,
					exchange->handler.private_data)) {
		knowledge_set_age(exchange, knowledge);
		room = xdr_sizeof(encode, &message) + JT_FRAME_HEADER +
		       JT_TAG_BYTES;
		if (room <= KNOWLEDGE_MOST)
			body = talloc_size(frame, room);
		if (body != NULL)
			length = jt_frame_seal(&exchange->keys, to,
					       ++exchange->sequence, encode,
					       &message, body, room);
	}
	if (length > 0) {
		exchange->counters.fetches_served++;
		jt_serve_budget_given(&exchange->budget, length, jt_clock_ms());
		jt_message_count_add(exchange->counters.sent, JT_WIRE_KNOWLEDGE,
				     length);
		jt_http_reply_bytes(request, 200, "application/octet-stream",
				    body, length);
	} else {
		jt_http_reply(request, 503, "text/plain", "no room\n");
	}
	talloc_free(frame);
}

/* Too many ask: another peer answers sooner. */
static void knowledge_refuse(struct jt_peer_exchange *exchange,
			     struct jt_http_request *request)
{
	exchange->counters.fetches_refused++;
	jt_http_reply(request, STATUS_BUSY, "text/plain",
		      "busy, ask another node\n");
}

void jt_peer_knowledge_request(struct jt_http_request *request,
			       void *private_data)
{
	struct jt_peer_exchange *exchange = private_data;
	const char *to_text = jt_http_query(request, "to");
	struct jt_address to;

	if (strcmp(jt_http_path(request), KNOWLEDGE_PATH) != 0)
		jt_http_reply(request, 404, "text/plain", "not found\n");
	else if (to_text == NULL || jt_address_parse(to_text, &to) != 0)
		jt_http_reply(request, 400, "text/plain",
			      "to: must be IPV4:PORT\n");
	else if (jt_serve_budget_allows(&exchange->budget, jt_clock_ms()))
		knowledge_reply(exchange, request, to);
	else
		knowledge_refuse(exchange, request);
}

void jt_peer_knowledge_look(struct jt_peer_exchange *exchange, uint64_t now_ms)
{
	struct jt_own_state own = {0};
	const struct jt_peer *peer;

	exchange->handler.own_state(&own, exchange->handler.private_data);
	peer = jt_membership_fetch(exchange->membership, &own, now_ms);
	if (peer != NULL)
		fetch_start(exchange, peer);
	else if (exchange->membership->behind_ms != 0)
		jt_timer_set(exchange->fetch_timer, FETCH_LOOK_MS);
}

void jt_peer_knowledge_due(void *private_data)
{
	jt_peer_knowledge_look(private_data, jt_clock_ms());
}
