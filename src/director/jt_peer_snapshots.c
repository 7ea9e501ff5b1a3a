#include "jt_peer_snapshots.h"
#include "jt_net.h"
#include "jt_serve_budget.h"
#include "jt_timer.h"

#include <stdlib.h>
#include <string.h>

enum {
	FETCH_TIMEOUT_MS = 1000,
	/* A node that has not started turns to another peer sooner, unless
	 * this one has already answered: the peer may have lost power together
	 * with this node. */
	FETCH_START_TIMEOUT_MS = 250,
	SNAPSHOT_MAX = 8 << 20,
	FETCH_RETRY_MS = 70, /* retry interval of a node that is behind */
	STATUS_OK = 200,
	STATUS_BUSY = 429, /* the peer is over its budget for snapshots */
};

#define SNAPSHOT_PATH "/knowledge"

struct jt_peer_snapshots {
	struct jt_http_client *client;
	const struct jt_log *log;
	struct jt_membership *membership;
	struct jt_peer_frames *frames;
	struct jt_snapshot_handler handler;
	struct jt_timer *timer;	  /* runs until the next attempt */
	struct tevent_req *fetch; /* NULL: no request is pending */
	struct jt_address source; /* the peer that the request was sent to */
	uint64_t requested_ms;	  /* when the pending request was sent */
	bool answered;		  /* it has already sent a part */
	struct jt_snapshot_fetch fetched;
	struct jt_serve_budget budget; /* for snapshots served to peers */
};

static void fetch_end(struct jt_peer_snapshots *snapshots,
		      enum jt_fetch_end end)
{
	snapshots->fetch = NULL;
	if (end != JT_FETCH_SUCCEEDED)
		snapshots->frames->counters.fetches_failed++;
	jt_membership_fetched(snapshots->membership, end, jt_clock_ms());
}

static void part_apply(struct jt_peer_snapshots *snapshots,
		       const jt_wire_snapshot *snapshot)
{
	struct jt_snapshot_fetch *fetched = &snapshots->fetched;
	void *private_data = snapshots->handler.private_data;

	snapshots->handler.snapshot_part(snapshot, private_data);
	if (jt_snapshot_fetch_record(fetched, snapshot,
				     snapshots->requested_ms))
		snapshots->handler.snapshot_complete(fetched, private_data);
}

static bool response_apply(struct jt_peer_snapshots *snapshots,
			   const char *body, size_t length)
{
	jt_wire_director_message message = {0};

	if (!jt_peer_frames_open(snapshots->frames, (const uint8_t *)body,
				 length, &message))
		return false;
	if (message.body.kind == JT_WIRE_SNAPSHOT)
		part_apply(snapshots,
			   &message.body.jt_wire_director_body_u.snapshot);
	jt_peer_frames_free(&message);
	return true;
}

static void on_fetched(struct tevent_req *req);

/* Requests the next part from the peer. */
static void part_request(struct jt_peer_snapshots *snapshots)
{
	char own_text[JT_ADDRESS_TEXT_SIZE], peer_text[JT_ADDRESS_TEXT_SIZE];
	struct jt_http_call call = {.method = "GET"};
	struct jt_own_state own = {0};
	struct jt_snapshot_request snapshot_request;
	char *url;

	snapshots->handler.own_state(&own, snapshots->handler.private_data);
	snapshot_request = jt_snapshot_fetch_request(&snapshots->fetched, &own);
	call.timeout_ms = own.started || snapshots->answered
				  ? FETCH_TIMEOUT_MS
				  : FETCH_START_TIMEOUT_MS;
	url = talloc_asprintf(
		snapshots,
		"http://%s" SNAPSHOT_PATH
		"?to=%s&since=%llu&version=%llu&slice=%u",
		jt_address_format(snapshots->source, peer_text),
		jt_address_format(snapshots->frames->address, own_text),
		(unsigned long long)snapshot_request.since,
		(unsigned long long)snapshot_request.version,
		snapshot_request.slice);
	snapshots->requested_ms = jt_clock_ms();
	if (url != NULL) {
		call.url = url;
		snapshots->fetch =
			jt_http_send(snapshots, snapshots->client, &call);
		talloc_free(url);
	}
	if (snapshots->fetch == NULL)
		fetch_end(snapshots, JT_FETCH_FAILED);
	else
		tevent_req_set_callback(snapshots->fetch, on_fetched,
					snapshots);
}

static void on_fetched(struct tevent_req *req)
{
	struct jt_peer_snapshots *snapshots =
		tevent_req_callback_data(req, struct jt_peer_snapshots);
	size_t length = 0;
	long status = 0;
	char *body = NULL;
	uint32_t before = snapshots->fetched.slice;
	bool worked;

	worked = jt_http_recv_bytes(req, snapshots, &status, &body, &length) ==
			 0 &&
		 status == STATUS_OK && response_apply(snapshots, body, length);
	talloc_free(body);
	talloc_free(req);
	snapshots->fetch = NULL;
	snapshots->answered = worked;
	if (!worked)
		fetch_end(snapshots, status == STATUS_BUSY ? JT_FETCH_BUSY
							   : JT_FETCH_FAILED);
	else if (!snapshots->fetched.begun)
		fetch_end(snapshots, JT_FETCH_SUCCEEDED);
	else if (snapshots->fetched.slice > before)
		part_request(snapshots);
	else
		fetch_end(snapshots, JT_FETCH_BUSY); /* no whole slice */
}

static void fetch_start(struct jt_peer_snapshots *snapshots,
			const struct jt_peer *peer)
{
	char text[JT_ADDRESS_TEXT_SIZE];

	snapshots->frames->counters.fetches++;
	jt_log_line(snapshots->log, LOG_NOTICE,
		    "event=knowledge_fetch peer=%s revision=%llu version=%llu "
		    "slice=%u",
		    jt_address_format(peer->address, text),
		    (unsigned long long)peer->revision,
		    (unsigned long long)peer->routing_version,
		    snapshots->fetched.begun ? snapshots->fetched.slice : 0);
	snapshots->source = peer->address;
	snapshots->answered = false;
	part_request(snapshots);
}

/* Returns a number from the query, 0 if it is missing. */
static uint64_t query_number(const struct jt_http_request *request,
			     const char *name)
{
	const char *text = jt_http_query(request, name);

	return text != NULL ? strtoull(text, NULL, 10) : 0;
}

/* Sets the age of this node's store data, and the node that read it. */
static void snapshot_set_age(const struct jt_peer_snapshots *snapshots,
			     jt_wire_snapshot *snapshot)
{
	struct jt_own_state own = {0};

	snapshots->handler.own_state(&own, snapshots->handler.private_data);
	snapshot->store_age_ms = jt_own_store_age_ms(&own, jt_clock_ms());
	snapshot->store_reader = own.store_reader;
}

static void snapshot_reply(struct jt_peer_snapshots *snapshots,
			   struct jt_http_request *request,
			   struct jt_address to)
{
	jt_wire_director_message message = {
		.from = snapshots->membership->id,
		.body.kind = JT_WIRE_SNAPSHOT,
	};
	xdrproc_t encode = (xdrproc_t)xdr_jt_wire_director_message;
	TALLOC_CTX *frame = talloc_new(snapshots);
	jt_wire_snapshot *snapshot =
		&message.body.jt_wire_director_body_u.snapshot;
	const struct jt_snapshot_request snapshot_request = {
		.since = query_number(request, "since"),
		.version = query_number(request, "version"),
		.slice = (uint32_t)query_number(request, "slice"),
	};
	uint8_t *body = NULL;
	size_t size, length = 0;

	if (snapshots->handler.snapshot(frame, &snapshot_request, snapshot,
					snapshots->handler.private_data)) {
		snapshot_set_age(snapshots, snapshot);
		size = xdr_sizeof(encode, &message) + JT_FRAME_HEADER +
		       JT_TAG_BYTES;
		if (size <= SNAPSHOT_MAX)
			body = talloc_size(frame, size);
		if (body != NULL)
			length = jt_peer_frames_seal(snapshots->frames, to,
						     &message, body, size);
	}
	if (length > 0) {
		snapshots->frames->counters.fetches_served++;
		jt_serve_budget_consume(&snapshots->budget, length,
					jt_clock_ms());
		jt_http_reply_bytes(request, 200, "application/octet-stream",
				    body, length);
	} else {
		jt_http_reply(request, 503, "text/plain", "no room\n");
	}
	talloc_free(frame);
}

/* Refuses a request over the budget; the peer then tries another node. */
static void snapshot_refuse(struct jt_peer_snapshots *snapshots,
			    struct jt_http_request *request)
{
	snapshots->frames->counters.fetches_refused++;
	jt_http_reply(request, STATUS_BUSY, "text/plain",
		      "busy, ask another node\n");
}

void jt_peer_snapshots_request_serve(struct jt_http_request *request,
				     void *private_data)
{
	struct jt_peer_snapshots *snapshots = private_data;
	const char *to_text = jt_http_query(request, "to");
	struct jt_address to;

	if (strcmp(jt_http_path(request), SNAPSHOT_PATH) != 0)
		jt_http_reply(request, 404, "text/plain", "not found\n");
	else if (to_text == NULL || jt_address_parse(to_text, &to) != 0)
		jt_http_reply(request, 400, "text/plain",
			      "to: must be IPV4:PORT\n");
	else if (jt_serve_budget_allows(&snapshots->budget, jt_clock_ms()))
		snapshot_reply(snapshots, request, to);
	else
		snapshot_refuse(snapshots, request);
}

void jt_peer_snapshots_fetch_if_due(struct jt_peer_snapshots *snapshots,
				    uint64_t now_ms)
{
	struct jt_own_state own = {0};
	const struct jt_peer *peer;

	snapshots->handler.own_state(&own, snapshots->handler.private_data);
	peer = jt_membership_fetch(snapshots->membership, &own, now_ms);
	if (peer != NULL)
		fetch_start(snapshots, peer);
	else if (snapshots->membership->behind_ms != 0)
		jt_timer_set(snapshots->timer, FETCH_RETRY_MS);
}

static void on_retry_due(void *private_data)
{
	jt_peer_snapshots_fetch_if_due(private_data, jt_clock_ms());
}

bool jt_peer_snapshots_fetching(const struct jt_peer_snapshots *snapshots)
{
	return snapshots->fetch != NULL;
}

bool jt_peer_snapshots_receiving(const struct jt_peer_snapshots *snapshots)
{
	return snapshots->fetch != NULL && snapshots->answered;
}

void jt_peer_snapshots_set_link(struct jt_peer_snapshots *snapshots,
				uint32_t link_mbps)
{
	jt_serve_budget_init(&snapshots->budget, link_mbps);
}

struct jt_peer_snapshots *
jt_peer_snapshots_create(TALLOC_CTX *mem_ctx,
			 const struct jt_peer_snapshots_options *options)
{
	struct jt_peer_snapshots *snapshots =
		talloc_zero(mem_ctx, struct jt_peer_snapshots);

	if (snapshots == NULL)
		return NULL;
	snapshots->client = options->client;
	snapshots->log = options->log;
	snapshots->membership = options->membership;
	snapshots->frames = options->frames;
	snapshots->handler = options->handler;
	snapshots->timer = jt_timer_create(snapshots, options->loop,
					   on_retry_due, snapshots);
	if (snapshots->timer == NULL)
		TALLOC_FREE(snapshots);
	return snapshots;
}
