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
	 * have lost power together with it. */
	FETCH_START_TIMEOUT_MS = 250,
	KNOWLEDGE_MOST = 8 << 20,
	FETCH_LOOK_MS = 70, /* a node that is behind looks again after that */
};

#define KNOWLEDGE_PATH "/knowledge"

static void fetch_end(struct jt_peer_exchange *exchange, bool worked)
{
	exchange->fetch = NULL;
	if (!worked)
		exchange->counters.fetches_failed++;
	jt_membership_fetched(exchange->membership, worked, jt_clock_ms());
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
	if (message.body.kind == JT_WIRE_KNOWLEDGE)
		exchange->handler.learned(
			&message.body.jt_wire_director_body_u.knowledge,
			exchange->handler.private_data);
	xdr_free(decode, &message);
	return true;
}

static void on_fetched(struct tevent_req *req)
{
	struct jt_peer_exchange *exchange =
		tevent_req_callback_data(req, struct jt_peer_exchange);
	size_t length = 0;
	long status = 0;
	char *body = NULL;
	bool worked;

	worked = jt_http_recv_bytes(req, exchange, &status, &body, &length) ==
			 0 &&
		 status == 200 && knowledge_take(exchange, body, length);
	talloc_free(body);
	talloc_free(req);
	fetch_end(exchange, worked);
}

static void fetch_start(struct jt_peer_exchange *exchange,
			const struct jt_peer *peer)
{
	char from[JT_ADDRESS_TEXT], to[JT_ADDRESS_TEXT];
	struct jt_http_call call = {.method = "GET"};
	struct jt_own_state own = {0};
	char *url;

	exchange->counters.fetches++;
	jt_log_line(exchange->log, LOG_NOTICE,
		    "event=knowledge_fetch peer=%s revision=%llu version=%llu",
		    jt_address_format(peer->address, to),
		    (unsigned long long)peer->revision,
		    (unsigned long long)peer->routing_version);
	exchange->handler.own_state(&own, exchange->handler.private_data);
	call.timeout_ms =
		own.started ? FETCH_TIMEOUT_MS : FETCH_START_TIMEOUT_MS;
	url = talloc_asprintf(
		exchange,
		"http://%s" KNOWLEDGE_PATH "?to=%s&since=%llu&version=%llu", to,
		jt_address_format(exchange->address, from),
		own.started ? (unsigned long long)own.revision : 0,
		(unsigned long long)own.routing_version);
	if (url != NULL) {
		call.url = url;
		exchange->fetch =
			jt_http_send(exchange, exchange->client, &call);
		talloc_free(url);
	}
	if (exchange->fetch == NULL)
		fetch_end(exchange, false);
	else
		tevent_req_set_callback(exchange->fetch, on_fetched, exchange);
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
	uint8_t *body = NULL;
	size_t room, length = 0;

	if (exchange->handler.knowledge(frame, query_number(request, "since"),
					query_number(request, "version"),
					knowledge,
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
		jt_http_reply_bytes(request, 200, "application/octet-stream",
				    body, length);
	} else {
		jt_http_reply(request, 503, "text/plain", "no room\n");
	}
	talloc_free(frame);
}

void jt_peer_knowledge_request(struct jt_http_request *request,
			       void *private_data)
{
	const char *to_text = jt_http_query(request, "to");
	struct jt_address to;

	if (strcmp(jt_http_path(request), KNOWLEDGE_PATH) != 0)
		jt_http_reply(request, 404, "text/plain", "not found\n");
	else if (to_text == NULL || jt_address_parse(to_text, &to) != 0)
		jt_http_reply(request, 400, "text/plain",
			      "to: must be IPV4:PORT\n");
	else
		knowledge_reply(private_data, request, to);
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
