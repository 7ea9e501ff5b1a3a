/* A TCP proxy on loopback that delays, resets, cuts one way or silences. */
#include "soak.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	CHUNK = 16384,
	DELAY_MS = 300,
	BACKLOG = 256,
	/* Until a socket that takes no bytes now is tried again: the other end
	 * may be this process, so that nothing here may wait for it. */
	FULL_MS = 2,
};

struct soak_proxy {
	struct soak *soak;
	struct jt_address to;
	enum soak_link link;
	int listen_fd;
	struct pipe *pipes;
};

/* One direction of a connection. */
struct half {
	struct pipe *pipe;
	struct tevent_fd *event;
	int from, to;
	bool is_answer;
	size_t held;
	uint8_t buffer[CHUNK];
	struct jt_timer *timer;
};

struct pipe {
	struct soak_proxy *proxy;
	struct pipe *next, *previous;
	int client_fd, store_fd;
	bool stale; /* says nothing any more, for good */
	struct half request, answer;
};

const char *soak_link_name(enum soak_link link)
{
	static const char *const names[] = {"pass",   "delay",	 "reset",
					    "silent", "one_way", "stale"};

	return names[link];
}

static int pipe_destructor(struct pipe *pipe)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};

	if (pipe->previous != NULL)
		pipe->previous->next = pipe->next;
	else
		pipe->proxy->pipes = pipe->next;
	if (pipe->next != NULL)
		pipe->next->previous = pipe->previous;
	TALLOC_FREE(pipe->request.event);
	TALLOC_FREE(pipe->answer.event);
	if (pipe->proxy->link == SOAK_LINK_RESET)
		setsockopt(pipe->client_fd, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
	close(pipe->client_fd);
	close(pipe->store_fd);
	return 0;
}

/* Whether bytes of that direction pass now. */
static bool half_passes(const struct half *half)
{
	if (half->pipe->stale)
		return false;
	switch (half->pipe->proxy->link) {
	case SOAK_LINK_SILENT:
		return false;
	case SOAK_LINK_ONE_WAY:
		return !half->is_answer;
	default:
		return true;
	}
}

static void half_write(struct half *half)
{
	ssize_t sent = send(half->to, half->buffer, half->held, MSG_NOSIGNAL);

	if (sent < 0 && errno != EAGAIN && errno != ENOTCONN) {
		talloc_free(half->pipe);
		return;
	}
	if (sent > 0) {
		half->held -= (size_t)sent;
		memmove(half->buffer, half->buffer + sent, half->held);
	}
	if (half->held == 0) {
		tevent_fd_set_flags(half->event, TEVENT_FD_READ);
		return;
	}
	tevent_fd_set_flags(half->event, 0);
	jt_timer_set(half->timer, FULL_MS);
}

static void on_delayed(void *private_data)
{
	half_write(private_data);
}

static void on_half(struct tevent_context *loop, struct tevent_fd *event,
		    uint16_t flags, void *private_data)
{
	struct half *half = private_data;
	ssize_t count;

	(void)loop;
	(void)flags;
	if (half->held > 0) {
		/* Its timer sends them first. */
		tevent_fd_set_flags(event, 0);
		return;
	}
	if (!half_passes(half)) {
		/* Left in the socket: whoever waits hears nothing. */
		tevent_fd_set_flags(event, 0);
		return;
	}
	count = recv(half->from, half->buffer, CHUNK, 0);
	if (count < 0 && (errno == EAGAIN || errno == ENOTCONN))
		return;
	if (count <= 0) {
		talloc_free(half->pipe);
		return;
	}
	half->held = (size_t)count;
	if (half->pipe->proxy->link != SOAK_LINK_DELAY) {
		half_write(half);
		return;
	}
	tevent_fd_set_flags(event, 0);
	jt_timer_set(half->timer, DELAY_MS);
}

static void half_start(struct pipe *pipe, struct half *half, int from, int to)
{
	half->pipe = pipe;
	half->from = from;
	half->to = to;
	half->event = tevent_add_fd(pipe->proxy->soak->loop, pipe, from,
				    TEVENT_FD_READ, on_half, half);
	half->timer = jt_timer_create(pipe, pipe->proxy->soak->loop, on_delayed,
				      half);
}

static void on_accept(struct tevent_context *loop, struct tevent_fd *event,
		      uint16_t flags, void *private_data)
{
	struct soak_proxy *proxy = private_data;
	int client = accept4(proxy->listen_fd, NULL, NULL,
			     SOCK_CLOEXEC | SOCK_NONBLOCK);
	struct sockaddr_in name;
	struct pipe *pipe;

	(void)loop;
	(void)event;
	(void)flags;
	if (client < 0)
		return;
	pipe = talloc_zero(proxy, struct pipe);
	pipe->proxy = proxy;
	pipe->client_fd = client;
	pipe->store_fd =
		socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	pipe->next = proxy->pipes;
	if (proxy->pipes != NULL)
		proxy->pipes->previous = pipe;
	proxy->pipes = pipe;
	talloc_set_destructor(pipe, pipe_destructor);
	jt_address_to_socket(proxy->to, &name);
	if (proxy->link == SOAK_LINK_RESET ||
	    (connect(pipe->store_fd, (struct sockaddr *)&name, sizeof(name)) <
		     0 &&
	     errno != EINPROGRESS)) {
		talloc_free(pipe);
		return;
	}
	pipe->answer.is_answer = true;
	half_start(pipe, &pipe->request, pipe->client_fd, pipe->store_fd);
	half_start(pipe, &pipe->answer, pipe->store_fd, pipe->client_fd);
}

static int proxy_destructor(struct soak_proxy *proxy)
{
	close(proxy->listen_fd);
	return 0;
}

struct soak_proxy *soak_proxy_create(struct soak *soak,
				     struct jt_address listen_at,
				     struct jt_address to)
{
	struct soak_proxy *proxy = talloc_zero(soak, struct soak_proxy);
	struct sockaddr_in name;
	int on = 1;

	proxy->soak = soak;
	proxy->to = to;
	proxy->listen_fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	setsockopt(proxy->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	jt_address_to_socket(listen_at, &name);
	if (bind(proxy->listen_fd, (struct sockaddr *)&name, sizeof(name)) <
		    0 ||
	    listen(proxy->listen_fd, BACKLOG) < 0) {
		close(proxy->listen_fd);
		talloc_free(proxy);
		return NULL;
	}
	talloc_set_destructor(proxy, proxy_destructor);
	tevent_add_fd(soak->loop, proxy, proxy->listen_fd, TEVENT_FD_READ,
		      on_accept, proxy);
	return proxy;
}

void soak_proxy_set(struct soak_proxy *proxy, enum soak_link link)
{
	struct pipe *pipe = proxy->pipes, *next;

	proxy->link = link;
	for (; pipe != NULL; pipe = next) {
		next = pipe->next;
		if (link == SOAK_LINK_RESET) {
			talloc_free(pipe);
			continue;
		}
		pipe->stale = pipe->stale || link == SOAK_LINK_STALE;
		tevent_fd_set_flags(pipe->request.event, TEVENT_FD_READ);
		tevent_fd_set_flags(pipe->answer.event, TEVENT_FD_READ);
	}
}
