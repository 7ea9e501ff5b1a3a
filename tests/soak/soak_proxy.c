/* A TCP proxy on loopback that delays data, resets connections or drops one
 * or both directions. */
#include "soak.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	BUFFER_SIZE = 16384,
	DELAY_MS = 300,
	BACKLOG = 256,
	/* Delay before a full socket is retried. The other end may be this
	 * process, so that nothing may block. */
	RETRY_MS = 2,
};

struct soak_proxy {
	struct soak *soak;
	struct jt_address to;
	enum soak_link link;
	int listen_fd;
	struct connection *connections;
};

/* One direction of a connection. */
struct direction {
	struct connection *connection;
	struct tevent_fd *event;
	int from, to;
	bool is_response;
	size_t buffered;
	uint8_t buffer[BUFFER_SIZE];
	struct jt_timer *timer;
};

struct connection {
	struct soak_proxy *proxy;
	struct connection *next, *previous;
	int client_fd, store_fd;
	bool stale; /* silent until it is closed */
	struct direction request, response;
};

const char *soak_link_name(enum soak_link link)
{
	static const char *const names[] = {"pass",   "delay",	 "reset",
					    "silent", "one_way", "stale"};

	return names[link];
}

static int connection_destructor(struct connection *connection)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};

	if (connection->previous != NULL)
		connection->previous->next = connection->next;
	else
		connection->proxy->connections = connection->next;
	if (connection->next != NULL)
		connection->next->previous = connection->previous;
	TALLOC_FREE(connection->request.event);
	TALLOC_FREE(connection->response.event);
	if (connection->proxy->link == SOAK_LINK_RESET)
		setsockopt(connection->client_fd, SOL_SOCKET, SO_LINGER,
			   &linger, sizeof(linger));
	close(connection->client_fd);
	close(connection->store_fd);
	return 0;
}

/* Returns true if data passes in that direction now. */
static bool direction_passes(const struct direction *direction)
{
	if (direction->connection->stale)
		return false;
	switch (direction->connection->proxy->link) {
	case SOAK_LINK_SILENT:
		return false;
	case SOAK_LINK_ONE_WAY:
		return !direction->is_response;
	default:
		return true;
	}
}

static void direction_write(struct direction *direction)
{
	ssize_t sent = send(direction->to, direction->buffer,
			    direction->buffered, MSG_NOSIGNAL);

	if (sent < 0 && errno != EAGAIN && errno != ENOTCONN) {
		talloc_free(direction->connection);
		return;
	}
	if (sent > 0) {
		direction->buffered -= (size_t)sent;
		memmove(direction->buffer, direction->buffer + sent,
			direction->buffered);
	}
	if (direction->buffered == 0) {
		tevent_fd_set_flags(direction->event, TEVENT_FD_READ);
		return;
	}
	tevent_fd_set_flags(direction->event, 0);
	jt_timer_set(direction->timer, RETRY_MS);
}

static void on_delayed(void *private_data)
{
	direction_write(private_data);
}

static void on_readable(struct tevent_context *loop, struct tevent_fd *event,
			uint16_t flags, void *private_data)
{
	struct direction *direction = private_data;
	ssize_t count;

	(void)loop;
	(void)flags;
	if (direction->buffered > 0) {
		/* The timer sends the buffered data first. */
		tevent_fd_set_flags(event, 0);
		return;
	}
	if (!direction_passes(direction)) {
		/* Leave the data in the socket, so that the receiver gets
		 * nothing. */
		tevent_fd_set_flags(event, 0);
		return;
	}
	count = recv(direction->from, direction->buffer, BUFFER_SIZE, 0);
	if (count < 0 && (errno == EAGAIN || errno == ENOTCONN))
		return;
	if (count <= 0) {
		talloc_free(direction->connection);
		return;
	}
	direction->buffered = (size_t)count;
	if (direction->connection->proxy->link != SOAK_LINK_DELAY) {
		direction_write(direction);
		return;
	}
	tevent_fd_set_flags(event, 0);
	jt_timer_set(direction->timer, DELAY_MS);
}

static void direction_start(struct connection *connection,
			    struct direction *direction, int from, int to)
{
	direction->connection = connection;
	direction->from = from;
	direction->to = to;
	direction->event =
		tevent_add_fd(connection->proxy->soak->loop, connection, from,
			      TEVENT_FD_READ, on_readable, direction);
	direction->timer =
		jt_timer_create(connection, connection->proxy->soak->loop,
				on_delayed, direction);
}

static void on_accept(struct tevent_context *loop, struct tevent_fd *event,
		      uint16_t flags, void *private_data)
{
	struct soak_proxy *proxy = private_data;
	int client = accept4(proxy->listen_fd, NULL, NULL,
			     SOCK_CLOEXEC | SOCK_NONBLOCK);
	struct sockaddr_in name;
	struct connection *connection;

	(void)loop;
	(void)event;
	(void)flags;
	if (client < 0)
		return;
	connection = talloc_zero(proxy, struct connection);
	connection->proxy = proxy;
	connection->client_fd = client;
	connection->store_fd =
		socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	connection->next = proxy->connections;
	if (proxy->connections != NULL)
		proxy->connections->previous = connection;
	proxy->connections = connection;
	talloc_set_destructor(connection, connection_destructor);
	jt_address_to_socket(proxy->to, &name);
	if (proxy->link == SOAK_LINK_RESET ||
	    (connect(connection->store_fd, (struct sockaddr *)&name,
		     sizeof(name)) < 0 &&
	     errno != EINPROGRESS)) {
		talloc_free(connection);
		return;
	}
	connection->response.is_response = true;
	direction_start(connection, &connection->request, connection->client_fd,
			connection->store_fd);
	direction_start(connection, &connection->response, connection->store_fd,
			connection->client_fd);
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
	struct connection *connection = proxy->connections, *next;

	proxy->link = link;
	for (; connection != NULL; connection = next) {
		next = connection->next;
		if (link == SOAK_LINK_RESET) {
			talloc_free(connection);
			continue;
		}
		connection->stale =
			connection->stale || link == SOAK_LINK_STALE;
		tevent_fd_set_flags(connection->request.event, TEVENT_FD_READ);
		tevent_fd_set_flags(connection->response.event, TEVENT_FD_READ);
	}
}
