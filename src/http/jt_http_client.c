#include "jt_http_client.h"
#include "jt_net.h"
#include "jt_timer.h"

#include <ctype.h>
#include <curl/curl.h>
#include <string.h>
#include <strings.h>

enum {
	BODY_LIMIT = 16 << 20,
	SECOND_MS = 1000,
	MAX_IDLE_S = 118, /* libcurl's default limit */
	/* TCP keepalive detects broken connections of idle streams. */
	KEEPALIVE_IDLE_S = 5,
	KEEPALIVE_INTERVAL_S = 2,
};

struct jt_http_client {
	CURLM *multi;
	struct tevent_context *loop;
	struct jt_timer *timer;
	uint64_t last_timeout_ms; /* time of the last timeout, 0: none */
};

struct http_state {
	struct tevent_req *req;
	struct jt_http_client *client;
	CURL *easy;
	struct curl_slist *headers;
	char *body;
	size_t length;
	size_t total_bytes; /* transferred in both directions */
	long status;
	void (*on_part)(const char *, size_t, void *);
	void *part_data;
	char *header_name; /* header to return, NULL: none */
	char *header_value;
};

struct socket_watch {
	struct jt_http_client *client;
	struct tevent_fd *fd;
	curl_socket_t socket;
};

static void process_completions(struct jt_http_client *client)
{
	CURLMsg *message;
	int remaining;

	while ((message = curl_multi_info_read(client->multi, &remaining))) {
		struct http_state *state = NULL;
		struct tevent_req *req;
		CURLcode result = message->data.result;
		curl_off_t uploaded = 0;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  (char **)&state);
		curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE,
				  &state->status);
		curl_easy_getinfo(message->easy_handle, CURLINFO_SIZE_UPLOAD_T,
				  &uploaded);
		state->total_bytes += (size_t)uploaded;
		req = state->req;
		if (result == CURLE_OPERATION_TIMEDOUT)
			client->last_timeout_ms = jt_clock_ms();
		if (result == CURLE_OK)
			tevent_req_done(req);
		else
			tevent_req_error(req, (uint64_t)result + 1);
	}
}

static void socket_ready(struct tevent_context *loop, struct tevent_fd *fd,
			 uint16_t flags, void *private_data)
{
	struct socket_watch *watch = private_data;
	struct jt_http_client *client = watch->client;
	int action = 0, running;

	(void)loop;
	(void)fd;
	if (flags & TEVENT_FD_READ)
		action |= CURL_CSELECT_IN;
	if (flags & TEVENT_FD_WRITE)
		action |= CURL_CSELECT_OUT;
	/* This call may free the watch. */
	curl_multi_socket_action(client->multi, watch->socket, action,
				 &running);
	process_completions(client);
}

static int on_socket(CURL *easy, curl_socket_t socket, int events, void *userp,
		     void *socketp)
{
	struct jt_http_client *client = userp;
	struct socket_watch *watch = socketp;
	uint16_t flags = 0;

	(void)easy;
	if (events == CURL_POLL_REMOVE) {
		talloc_free(watch);
		curl_multi_assign(client->multi, socket, NULL);
		return 0;
	}
	if (events & CURL_POLL_IN)
		flags |= TEVENT_FD_READ;
	if (events & CURL_POLL_OUT)
		flags |= TEVENT_FD_WRITE;
	if (watch == NULL) {
		watch = talloc_zero(client, struct socket_watch);
		if (watch == NULL)
			return -1;
		watch->client = client;
		watch->socket = socket;
		watch->fd = tevent_add_fd(client->loop, watch, socket, flags,
					  socket_ready, watch);
		curl_multi_assign(client->multi, socket, watch);
		return 0;
	}
	tevent_fd_set_flags(watch->fd, flags);
	return 0;
}

static void on_timeout(void *private_data)
{
	struct jt_http_client *client = private_data;
	int running;

	curl_multi_socket_action(client->multi, CURL_SOCKET_TIMEOUT, 0,
				 &running);
	process_completions(client);
}

static int on_timer(CURLM *multi, long wait_ms, void *userp)
{
	struct jt_http_client *client = userp;

	(void)multi;
	if (wait_ms >= 0)
		jt_timer_set(client->timer, (uint64_t)wait_ms);
	else
		jt_timer_stop(client->timer);
	return 0;
}

static int client_destructor(struct jt_http_client *client)
{
	curl_multi_cleanup(client->multi);
	return 0;
}

struct jt_http_client *jt_http_client_create(TALLOC_CTX *mem_ctx,
					     struct tevent_context *loop)
{
	struct jt_http_client *client =
		talloc_zero(mem_ctx, struct jt_http_client);

	if (client == NULL)
		return NULL;
	client->loop = loop;
	client->timer = jt_timer_create(client, loop, on_timeout, client);
	client->multi = curl_multi_init();
	if (client->multi == NULL || client->timer == NULL) {
		talloc_free(client);
		return NULL;
	}
	talloc_set_destructor(client, client_destructor);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
	return client;
}

static size_t on_data(char *data, size_t size, size_t count, void *userp)
{
	struct http_state *state = userp;
	size_t length = size * count;

	state->total_bytes += length;
	if (state->on_part != NULL) {
		state->on_part(data, length, state->part_data);
		return length;
	}
	if (state->length + length > BODY_LIMIT)
		return 0;
	state->body = talloc_realloc(state, state->body, char,
				     state->length + length + 1);
	if (state->body == NULL)
		return 0;
	memcpy(state->body + state->length, data, length);
	state->length += length;
	state->body[state->length] = '\0';
	return length;
}

static size_t on_header(char *data, size_t size, size_t count, void *userp)
{
	struct http_state *state = userp;
	size_t length = size * count, name_length = strlen(state->header_name);

	if (length <= name_length ||
	    strncasecmp(data, state->header_name, name_length) != 0 ||
	    data[name_length] != ':')
		return length;
	data += name_length + 1;
	length -= name_length + 1;
	while (length > 0 && isspace((unsigned char)data[0])) {
		data++;
		length--;
	}
	while (length > 0 && isspace((unsigned char)data[length - 1]))
		length--;
	TALLOC_FREE(state->header_value);
	state->header_value = talloc_strndup(state, data, length);
	return size * count;
}

static int state_destructor(struct http_state *state)
{
	if (state->easy != NULL) {
		curl_multi_remove_handle(state->client->multi, state->easy);
		curl_easy_cleanup(state->easy);
	}
	curl_slist_free_all(state->headers);
	return 0;
}

static void state_cleanup(struct tevent_req *req,
			  enum tevent_req_state req_state)
{
	struct http_state *state = tevent_req_data(req, struct http_state);

	(void)req_state;
	state_destructor(state);
	state->easy = NULL;
	state->headers = NULL;
}

static void add_header(struct http_state *state, const char *line)
{
	state->headers = curl_slist_append(state->headers, line);
}

/* Keeps a request from reusing a connection that has been idle since before
 * the last timeout: the fault behind the timeout may affect it too. */
static void limit_connection_reuse(const struct jt_http_client *client,
				   CURL *easy)
{
	long since_s, age_s;

	curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, (long)KEEPALIVE_IDLE_S);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL,
			 (long)KEEPALIVE_INTERVAL_S);
	if (client->last_timeout_ms == 0)
		return;
	since_s = (long)((jt_clock_ms() - client->last_timeout_ms) / SECOND_MS);
	/* libcurl counts ages in whole seconds: subtract one to be safe. */
	age_s = since_s < MAX_IDLE_S ? since_s - 1 : MAX_IDLE_S;
	if (age_s <= 0)
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	else
		curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, age_s);
}

struct tevent_req *jt_http_send(TALLOC_CTX *mem_ctx,
				struct jt_http_client *client,
				const struct jt_http_call *call)
{
	struct http_state *state;
	struct tevent_req *req;
	char *token_header, *id_header;

	req = tevent_req_create(mem_ctx, &state, struct http_state);
	if (req == NULL)
		return NULL;
	state->req = req;
	state->client = client;
	state->on_part = call->on_part;
	state->part_data = call->part_data;
	state->easy = curl_easy_init();
	if (state->easy == NULL) {
		tevent_req_error(req, 1);
		return tevent_req_post(req, client->loop);
	}
	tevent_req_set_cleanup_fn(req, state_cleanup);
	add_header(state, "Content-Type: application/json");
	add_header(state, "Expect:");
	if (call->token != NULL) {
		token_header = talloc_asprintf(
			state, "Authorization: Bearer %s", call->token);
		add_header(state, token_header);
	}
	if (call->request_id != NULL) {
		id_header = talloc_asprintf(state, "X-Request-Id: %s",
					    call->request_id);
		add_header(state, id_header);
	}
	curl_easy_setopt(state->easy, CURLOPT_URL, call->url);
	curl_easy_setopt(state->easy, CURLOPT_CUSTOMREQUEST, call->method);
	curl_easy_setopt(state->easy, CURLOPT_HTTPHEADER, state->headers);
	curl_easy_setopt(state->easy, CURLOPT_NOSIGNAL, 1L);
	limit_connection_reuse(client, state->easy);
	curl_easy_setopt(state->easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(state->easy, CURLOPT_TIMEOUT_MS, call->timeout_ms);
	curl_easy_setopt(state->easy, CURLOPT_CONNECTTIMEOUT_MS, 2000L);
	curl_easy_setopt(state->easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(state->easy, CURLOPT_WRITEDATA, state);
	curl_easy_setopt(state->easy, CURLOPT_PRIVATE, state);
	if (call->want != NULL) {
		state->header_name = talloc_strdup(state, call->want);
		curl_easy_setopt(state->easy, CURLOPT_HEADERFUNCTION,
				 on_header);
		curl_easy_setopt(state->easy, CURLOPT_HEADERDATA, state);
	}
	if (call->ca != NULL)
		curl_easy_setopt(state->easy, CURLOPT_CAINFO, call->ca);
	if (call->body != NULL)
		curl_easy_setopt(state->easy, CURLOPT_COPYPOSTFIELDS,
				 call->body);
	if (curl_multi_add_handle(client->multi, state->easy) != CURLM_OK) {
		tevent_req_error(req, 1);
		return tevent_req_post(req, client->loop);
	}
	return req;
}

int jt_http_recv(struct tevent_req *req, TALLOC_CTX *mem_ctx, long *status,
		 char **body, size_t *bytes)
{
	struct http_state *state = tevent_req_data(req, struct http_state);
	enum tevent_req_state req_state;
	uint64_t error;
	bool failed = tevent_req_is_error(req, &req_state, &error);

	if (bytes != NULL)
		*bytes = state->total_bytes;
	if (failed) {
		tevent_req_received(req);
		return -1;
	}
	*status = state->status;
	*body = state->body ? talloc_steal(mem_ctx, state->body)
			    : talloc_strdup(mem_ctx, "");
	tevent_req_received(req);
	return 0;
}

const char *jt_http_wanted(struct tevent_req *req)
{
	struct http_state *state = tevent_req_data(req, struct http_state);

	return state->header_value;
}

int jt_http_recv_bytes(struct tevent_req *req, TALLOC_CTX *mem_ctx,
		       long *status, char **body, size_t *length)
{
	struct http_state *state = tevent_req_data(req, struct http_state);

	*length = state->length;
	return jt_http_recv(req, mem_ctx, status, body, NULL);
}
