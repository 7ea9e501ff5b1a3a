/* Endpoints: how they come, are listed and end. */
#include "soak_endpoint_flows.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	BACKLOG = 64,
	/* A node that is being started holds copies of all sockets for a
	 * moment, until it runs its program. */
	LISTEN_TRIES = 40,
	LISTEN_AGAIN_US = 5000,
	DOCUMENT = 512,
	RETURNS_ONE_IN = 4, /* of odd ids: half of the endpoints */
	CHANGES_ONE_IN = 3, /* addresses that go on to another service */
	LATE_END_MS = 3000, /* how much later than told an endpoint may end */
};

static struct jt_address place_address(const struct soak *soak, int place)
{
	return (struct jt_address){soak_address(soak, SOAK_ENDPOINT_NET) + 2 +
					   (uint32_t)place,
				   SOAK_ENDPOINT_PORT};
}

int soak_endpoint_of(const struct soak *soak, uint64_t id)
{
	for (int i = soak->endpoint_count - 1; i >= 0; i--) {
		if (soak->endpoints[i].id == id)
			return i;
	}
	return -1;
}

int soak_endpoint_at(const struct soak *soak, unsigned place)
{
	for (int i = soak->endpoint_count - 1; i >= 0; i--) {
		if (soak->endpoints[i].place == (int)place)
			return i;
	}
	return -1;
}

bool soak_endpoint_hears(const struct soak_endpoint *endpoint)
{
	return endpoint->life != SOAK_ENDED && !endpoint->dark &&
	       jt_clock_ms() >= endpoint->silent_until_ms;
}

/* Connections: the page that tells who is there */

static void on_connection(struct tevent_context *loop, struct tevent_fd *event,
			  uint16_t flags, void *private_data)
{
	struct soak_listener *listener = private_data;
	const struct soak_endpoint *endpoint =
		&listener->soak->endpoints[listener->endpoint];
	char answer[256], request[1024];
	int fd;

	(void)loop;
	(void)event;
	(void)flags;
	if (!soak_endpoint_hears(endpoint)) {
		/* Nobody accepts; look again when it hears. */
		tevent_fd_set_flags(listener->tcp_event, 0);
		return;
	}
	fd = accept4(listener->tcp_fd, NULL, NULL, SOCK_CLOEXEC);
	if (fd < 0)
		return;
	/* A probe only connects; an identification also asks, at once. */
	if (recv(fd, request, sizeof(request), MSG_DONTWAIT) <= 0) {
		struct timeval wait = {.tv_usec = 2000};

		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
		if (recv(fd, request, sizeof(request), 0) <= 0) {
			close(fd);
			return;
		}
	}
	snprintf(answer, sizeof(answer),
		 "HTTP/1.1 %s\r\nInstance-Id: i-%llx\r\nContent-Length: 0\r\n"
		 "Connection: close\r\n\r\n",
		 endpoint->life == SOAK_ALIVE ? "200 OK" : "503 Leaving",
		 (unsigned long long)endpoint->id);
	(void)send(fd, answer, strlen(answer), MSG_NOSIGNAL);
	close(fd);
}

static int listener_destructor(struct soak_listener *listener)
{
	TALLOC_FREE(listener->udp_event);
	TALLOC_FREE(listener->tcp_event);
	close(listener->udp_fd);
	close(listener->tcp_fd);
	return 0;
}

static bool listener_open(struct soak_listener *listener, int place)
{
	struct jt_address address = place_address(listener->soak, place);
	struct sockaddr_in name;
	int on = 1, error;

	jt_address_to_socket(address, &name);
	listener->udp_fd = jt_udp_open(address, false);
	listener->tcp_fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	setsockopt(listener->tcp_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (listener->udp_fd >= 0 &&
	    bind(listener->tcp_fd, (struct sockaddr *)&name, sizeof(name)) ==
		    0 &&
	    listen(listener->tcp_fd, BACKLOG) == 0)
		return true;
	error = errno;
	if (listener->udp_fd >= 0)
		close(listener->udp_fd);
	close(listener->tcp_fd);
	errno = error;
	return false;
}

static struct soak_listener *listener_create(struct soak *soak, int endpoint,
					     int place)
{
	struct soak_listener *listener =
		talloc_zero(soak, struct soak_listener);

	listener->soak = soak;
	listener->endpoint = endpoint;
	for (int i = 0; i < LISTEN_TRIES && !listener_open(listener, place);
	     i++) {
		if (errno != EADDRINUSE || i == LISTEN_TRIES - 1)
			soak_die(soak, "endpoint");
		usleep(LISTEN_AGAIN_US);
	}
	listener->udp_event =
		tevent_add_fd(soak->loop, listener, listener->udp_fd,
			      TEVENT_FD_READ, soak_flows_on_datagram, listener);
	listener->tcp_event =
		tevent_add_fd(soak->loop, listener, listener->tcp_fd,
			      TEVENT_FD_READ, on_connection, listener);
	talloc_set_destructor(listener, listener_destructor);
	return listener;
}

/* Life */

static void entry_write(struct soak *soak, struct soak_endpoint *endpoint)
{
	char key[64], value[DOCUMENT], address[JT_ADDRESS_TEXT];

	snprintf(key, sizeof(key), "servers/i-%llx",
		 (unsigned long long)endpoint->id);
	if (!endpoint->listed) {
		soak_store_put(soak->store, key, NULL);
		return;
	}
	endpoint->spoiled_until_ms = 0;
	snprintf(value, sizeof(value),
		 "{\"service\":\"service-%u\",\"address\":\"%s\",\"zone\":"
		 "\"zone-%u\",\"version\":\"v1\",\"capacity\":2,\"state\":"
		 "\"%s\",\"coldLeftMs\":0,\"callCount\":1,\"born\":%llu}",
		 endpoint->service,
		 jt_address_format(place_address(soak, endpoint->place),
				   address),
		 endpoint->zone,
		 endpoint->life == SOAK_DRAINING ? "draining" : "ready",
		 (unsigned long long)endpoint->born_ms);
	soak_store_put(soak->store, key, value);
}

/* Births may fall from one start to the next: clocks step. */
static uint64_t birth_next(const struct soak *soak)
{
	uint64_t step_ms = soak->endpoint_count % 3 == 0 ? 60000 : 0;

	return 1700000000000 + jt_clock_ms() - step_ms;
}

static int start_under(struct soak *soak, uint64_t id, uint32_t service,
		       int place, unsigned generation)
{
	int index = soak->endpoint_count;
	struct soak_endpoint *endpoint = &soak->endpoints[index];

	if (index == SOAK_ENDPOINTS)
		return -1;
	soak->endpoint_count++;
	*endpoint = (struct soak_endpoint){
		.id = id,
		.born_ms = birth_next(soak),
		.service = service,
		.zone = (uint32_t)place % SOAK_ZONES,
		.place = place,
		.generation = generation,
		.listed = true,
		.entry_good_ms = jt_clock_ms(),
	};
	endpoint->listener = listener_create(soak, index, place);
	entry_write(soak, endpoint);
	return index;
}

static uint64_t id_of(const struct soak *soak, int place, unsigned generation)
{
	return soak_draw(soak, SOAK_DRAW_ENDPOINT_ID, (uint64_t)place,
			 generation, 1ull << 40) |
	       1;
}

int soak_endpoint_start(struct soak *soak, uint32_t service, int place)
{
	return start_under(soak, id_of(soak, place, 0), service, place, 0);
}

void soak_endpoint_drain(struct soak *soak, int index, bool silently)
{
	struct soak_endpoint *endpoint = &soak->endpoints[index];

	if (silently)
		endpoint->listed = false;
	else
		endpoint->life = SOAK_DRAINING;
	entry_write(soak, endpoint);
	endpoint->no_new_ms = jt_clock_ms();
	endpoint->end_ms = endpoint->no_new_ms + SOAK_DRAIN_MS +
			   soak_draw(soak, SOAK_DRAW_ENDPOINT_END,
				     (uint64_t)endpoint->place,
				     endpoint->generation, LATE_END_MS);
}

static void endpoint_end(struct soak *soak, int index)
{
	struct soak_endpoint *endpoint = &soak->endpoints[index];

	endpoint->life = SOAK_ENDED;
	endpoint->end_ms = jt_clock_ms();
	soak_flows_drop(index);
	if (!endpoint->dark)
		TALLOC_FREE(endpoint->listener);
}

void soak_endpoint_crash(struct soak *soak, int index, bool dark)
{
	soak->endpoints[index].dark = dark;
	endpoint_end(soak, index);
}

void soak_endpoint_cut(struct soak *soak, int index, uint64_t for_ms)
{
	struct soak_endpoint *endpoint = &soak->endpoints[index];

	endpoint->silent_until_ms = jt_clock_ms() + for_ms;
	endpoint->disturbed_ms = endpoint->silent_until_ms;
}

void soak_endpoint_restart(struct soak *soak, int index)
{
	struct soak_endpoint *endpoint = &soak->endpoints[index];

	if (soak->endpoint_count == SOAK_ENDPOINTS)
		return;
	endpoint_end(soak, index);
	endpoint->listed = false;
	start_under(soak, endpoint->id, endpoint->service, endpoint->place,
		    endpoint->generation + 1);
	endpoint->place = -1;
}

void soak_endpoint_spoil(struct soak *soak, int index, unsigned kind,
			 uint64_t until_ms)
{
	static const char *const values[] = {
		"",
		"{}",
		"[[[[",
		"{\"service\":7,\"address\":\"127.0.0.1:1\"}",
		"{\"service\":\"service-0\",\"address\":\"nowhere\"}",
	};
	struct soak_endpoint *endpoint = &soak->endpoints[index];
	char key[64];

	snprintf(key, sizeof(key), "servers/i-%llx",
		 (unsigned long long)endpoint->id);
	endpoint->spoiled_until_ms = until_ms;
	endpoint->entry_good_ms = until_ms;
	soak_store_put(soak->store, key,
		       values[kind % (sizeof(values) / sizeof(values[0]))]);
}

/* What the store does with one that ended, and who comes after it. */
static void endpoint_replace(struct soak *soak, int index, uint64_t now_ms)
{
	struct soak_endpoint *endpoint = &soak->endpoints[index];
	bool changes = soak_draw(soak, SOAK_DRAW_ENDPOINT_SERVICE,
				 (uint64_t)endpoint->place,
				 endpoint->generation, CHANGES_ONE_IN) == 0;
	uint32_t service = changes ? (endpoint->service + 1) % SOAK_SERVICES
				   : endpoint->service;
	unsigned of_service = 0;
	uint64_t id;

	if (endpoint->listed && now_ms - endpoint->end_ms > 1500) {
		endpoint->listed = false;
		entry_write(soak, endpoint);
		if (endpoint->no_new_ms == 0)
			endpoint->no_new_ms = now_ms;
	}
	if (endpoint->listed || now_ms - endpoint->end_ms < SOAK_REUSE_MS)
		return;
	/* Each service keeps some endpoints. */
	for (int i = 0; i < soak->endpoint_count; i++) {
		of_service += soak->endpoints[i].service == endpoint->service &&
			      soak->endpoints[i].life == SOAK_ALIVE;
	}
	if (of_service < 2)
		service = endpoint->service;
	TALLOC_FREE(endpoint->listener);
	endpoint->dark = false;
	id = id_of(soak, endpoint->place, endpoint->generation + 1);
	/* Some come back under the id that they had. */
	if (endpoint->id % RETURNS_ONE_IN == 1 && endpoint->service == service)
		id = endpoint->id;
	start_under(soak, id, service, endpoint->place,
		    endpoint->generation + 1);
	endpoint->place = -1;
}

void soak_endpoints_tick(struct soak *soak)
{
	uint64_t now_ms = jt_clock_ms();
	int count = soak->endpoint_count;

	soak_flows_tick(soak, now_ms);
	for (int i = 0; i < count; i++) {
		struct soak_endpoint *endpoint = &soak->endpoints[i];

		if (endpoint->place < 0)
			continue;
		if (endpoint->spoiled_until_ms != 0 &&
		    now_ms >= endpoint->spoiled_until_ms)
			entry_write(soak, endpoint);
		if (endpoint->life == SOAK_ENDED) {
			endpoint_replace(soak, i, now_ms);
		} else if (endpoint->no_new_ms != 0 &&
			   now_ms >= endpoint->end_ms) {
			endpoint->listed = false;
			entry_write(soak, endpoint);
			endpoint_end(soak, i);
		} else if (endpoint->listener != NULL &&
			   soak_endpoint_hears(endpoint)) {
			tevent_fd_set_flags(endpoint->listener->tcp_event,
					    TEVENT_FD_READ);
		}
	}
}

void soak_endpoints_create(struct soak *soak)
{
	soak_flows_create();
	for (int i = 0; i < SOAK_ADDRESSES; i++)
		soak_endpoint_start(soak, i < SOAK_ADDRESSES / 2 ? 0 : 1, i);
}
