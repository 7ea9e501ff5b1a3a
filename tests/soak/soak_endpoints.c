/* Endpoints: their start, store entries and end. */
#include "soak_endpoint_flows.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	BACKLOG = 64,
	/* A node that is being started briefly holds copies of all sockets,
	 * until it runs its program. */
	LISTEN_TRIES = 40,
	LISTEN_RETRY_US = 5000,
	DOCUMENT_SIZE = 512,
	ID_REUSE_ONE_IN = 4, /* of odd ids, which half of the endpoints have */
	SERVICE_CHANGE_ONE_IN = 3, /* successors of another service */
	END_DELAY_MAX_MS = 3000,   /* after the announced end */
};

static struct jt_address endpoint_address(const struct soak *soak,
					  int address_index)
{
	return (struct jt_address){soak_address(soak, SOAK_ENDPOINT_NET) + 2 +
					   (uint32_t)address_index,
				   SOAK_ENDPOINT_PORT};
}

int soak_endpoint_by_id(const struct soak *soak, uint64_t id)
{
	for (int i = soak->endpoint_count - 1; i >= 0; i--) {
		if (soak->endpoints[i].id == id)
			return i;
	}
	return -1;
}

int soak_endpoint_at(const struct soak *soak, unsigned address_index)
{
	for (int i = soak->endpoint_count - 1; i >= 0; i--) {
		if (soak->endpoints[i].address_index == (int)address_index)
			return i;
	}
	return -1;
}

bool soak_endpoint_reachable(const struct soak_endpoint *endpoint)
{
	return endpoint->state != SOAK_ENDED && !endpoint->blackhole &&
	       jt_clock_ms() >= endpoint->silent_until_ms;
}

/* Connections: the health page with the instance id */

static void on_connection(struct tevent_context *loop, struct tevent_fd *event,
			  uint16_t flags, void *private_data)
{
	struct soak_listener *listener = private_data;
	const struct soak_endpoint *endpoint =
		&listener->soak->endpoints[listener->endpoint];
	char response[256], request[1024];
	int fd;

	(void)loop;
	(void)event;
	(void)flags;
	if (!soak_endpoint_reachable(endpoint)) {
		/* Accepts nothing until it is reachable again. */
		tevent_fd_set_flags(listener->tcp_event, 0);
		return;
	}
	fd = accept4(listener->tcp_fd, NULL, NULL, SOCK_CLOEXEC);
	if (fd < 0)
		return;
	/* A probe only connects; an identification also sends a request. */
	if (recv(fd, request, sizeof(request), MSG_DONTWAIT) <= 0) {
		struct timeval wait = {.tv_usec = 2000};

		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
		if (recv(fd, request, sizeof(request), 0) <= 0) {
			close(fd);
			return;
		}
	}
	snprintf(response, sizeof(response),
		 "HTTP/1.1 %s\r\nInstance-Id: i-%llx\r\nContent-Length: 0\r\n"
		 "Connection: close\r\n\r\n",
		 endpoint->state == SOAK_ALIVE ? "200 OK" : "503 Leaving",
		 (unsigned long long)endpoint->id);
	(void)send(fd, response, strlen(response), MSG_NOSIGNAL);
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

static bool listener_open(struct soak_listener *listener, int address_index)
{
	struct jt_address address =
		endpoint_address(listener->soak, address_index);
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
					     int address_index)
{
	struct soak_listener *listener =
		talloc_zero(soak, struct soak_listener);

	listener->soak = soak;
	listener->endpoint = endpoint;
	for (int i = 0;
	     i < LISTEN_TRIES && !listener_open(listener, address_index); i++) {
		if (errno != EADDRINUSE || i == LISTEN_TRIES - 1)
			soak_fatal(soak, "endpoint");
		usleep(LISTEN_RETRY_US);
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

/* Lifecycle */

static void entry_write(struct soak *soak, struct soak_endpoint *endpoint)
{
	char key[64], value[DOCUMENT_SIZE], address[JT_ADDRESS_TEXT_SIZE];

	snprintf(key, sizeof(key), "servers/i-%llx",
		 (unsigned long long)endpoint->id);
	if (!endpoint->listed) {
		soak_store_put(soak->store, key, NULL);
		return;
	}
	endpoint->corrupted_until_ms = 0;
	snprintf(value, sizeof(value),
		 "{\"service\":\"service-%u\",\"address\":\"%s\",\"zone\":"
		 "\"zone-%u\",\"version\":\"v1\",\"capacity\":2,\"state\":"
		 "\"%s\",\"coldLeftMs\":0,\"callCount\":1,\"born\":%llu}",
		 endpoint->service,
		 jt_address_format(
			 endpoint_address(soak, endpoint->address_index),
			 address),
		 endpoint->zone,
		 endpoint->state == SOAK_DRAINING ? "draining" : "ready",
		 (unsigned long long)endpoint->start_ms);
	soak_store_put(soak->store, key, value);
}

/* Returns a start time that may be lower than the previous one: clocks step
 * back. */
static uint64_t start_time_next(const struct soak *soak)
{
	uint64_t step_ms = soak->endpoint_count % 3 == 0 ? 60000 : 0;

	return 1700000000000 + jt_clock_ms() - step_ms;
}

static int start_with_id(struct soak *soak, uint64_t id, uint32_t service,
			 int address_index, unsigned generation)
{
	int index = soak->endpoint_count;
	struct soak_endpoint *endpoint = &soak->endpoints[index];

	if (index == SOAK_ENDPOINTS)
		return -1;
	soak->endpoint_count++;
	*endpoint = (struct soak_endpoint){
		.id = id,
		.start_ms = start_time_next(soak),
		.service = service,
		.zone = (uint32_t)address_index % SOAK_ZONES,
		.address_index = address_index,
		.generation = generation,
		.listed = true,
		.entry_valid_ms = jt_clock_ms(),
	};
	endpoint->listener = listener_create(soak, index, address_index);
	entry_write(soak, endpoint);
	return index;
}

static uint64_t endpoint_id(const struct soak *soak, int address_index,
			    unsigned generation)
{
	return soak_draw(soak, SOAK_DRAW_ENDPOINT_ID, (uint64_t)address_index,
			 generation, 1ull << 40) |
	       1;
}

int soak_endpoint_start(struct soak *soak, uint32_t service, int address_index)
{
	return start_with_id(soak, endpoint_id(soak, address_index, 0), service,
			     address_index, 0);
}

void soak_endpoint_drain(struct soak *soak, int index, bool by_removal)
{
	struct soak_endpoint *endpoint = &soak->endpoints[index];

	if (by_removal)
		endpoint->listed = false;
	else
		endpoint->state = SOAK_DRAINING;
	entry_write(soak, endpoint);
	endpoint->no_new_flows_ms = jt_clock_ms();
	endpoint->end_ms = endpoint->no_new_flows_ms + SOAK_DRAIN_MS +
			   soak_draw(soak, SOAK_DRAW_ENDPOINT_END_DELAY,
				     (uint64_t)endpoint->address_index,
				     endpoint->generation, END_DELAY_MAX_MS);
}

static void endpoint_end(struct soak *soak, int index)
{
	struct soak_endpoint *endpoint = &soak->endpoints[index];

	endpoint->state = SOAK_ENDED;
	endpoint->end_ms = jt_clock_ms();
	soak_flows_drop(index);
	if (!endpoint->blackhole)
		TALLOC_FREE(endpoint->listener);
}

void soak_endpoint_crash(struct soak *soak, int index, bool blackhole)
{
	soak->endpoints[index].blackhole = blackhole;
	endpoint_end(soak, index);
}

void soak_endpoint_disconnect(struct soak *soak, int index, uint64_t for_ms)
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
	start_with_id(soak, endpoint->id, endpoint->service,
		      endpoint->address_index, endpoint->generation + 1);
	endpoint->address_index = -1;
}

void soak_endpoint_corrupt_entry(struct soak *soak, int index, unsigned kind,
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
	endpoint->corrupted_until_ms = until_ms;
	endpoint->entry_valid_ms = until_ms;
	soak_store_put(soak->store, key,
		       values[kind % (sizeof(values) / sizeof(values[0]))]);
}

/* Removes the entry of an ended endpoint after a while, then starts its
 * successor at the address. */
static void endpoint_replace(struct soak *soak, int index, uint64_t now_ms)
{
	struct soak_endpoint *endpoint = &soak->endpoints[index];
	bool service_changes =
		soak_draw(soak, SOAK_DRAW_ENDPOINT_SERVICE,
			  (uint64_t)endpoint->address_index,
			  endpoint->generation, SERVICE_CHANGE_ONE_IN) == 0;
	uint32_t service = service_changes
				   ? (endpoint->service + 1) % SOAK_SERVICES
				   : endpoint->service;
	unsigned service_endpoints = 0;
	uint64_t id;

	if (endpoint->listed && now_ms - endpoint->end_ms > 1500) {
		endpoint->listed = false;
		entry_write(soak, endpoint);
		if (endpoint->no_new_flows_ms == 0)
			endpoint->no_new_flows_ms = now_ms;
	}
	if (endpoint->listed || now_ms - endpoint->end_ms < SOAK_REUSE_MS)
		return;
	/* Keep at least one endpoint of each service. */
	for (int i = 0; i < soak->endpoint_count; i++) {
		service_endpoints +=
			soak->endpoints[i].service == endpoint->service &&
			soak->endpoints[i].state == SOAK_ALIVE;
	}
	if (service_endpoints < 2)
		service = endpoint->service;
	TALLOC_FREE(endpoint->listener);
	endpoint->blackhole = false;
	id = endpoint_id(soak, endpoint->address_index,
			 endpoint->generation + 1);
	/* Some successors reuse the id. */
	if (endpoint->id % ID_REUSE_ONE_IN == 1 && endpoint->service == service)
		id = endpoint->id;
	start_with_id(soak, id, service, endpoint->address_index,
		      endpoint->generation + 1);
	endpoint->address_index = -1;
}

void soak_endpoints_tick(struct soak *soak)
{
	uint64_t now_ms = jt_clock_ms();
	int count = soak->endpoint_count;

	soak_flows_tick(soak, now_ms);
	for (int i = 0; i < count; i++) {
		struct soak_endpoint *endpoint = &soak->endpoints[i];

		if (endpoint->address_index < 0)
			continue;
		if (endpoint->corrupted_until_ms != 0 &&
		    now_ms >= endpoint->corrupted_until_ms)
			entry_write(soak, endpoint);
		if (endpoint->state == SOAK_ENDED) {
			endpoint_replace(soak, i, now_ms);
		} else if (endpoint->no_new_flows_ms != 0 &&
			   now_ms >= endpoint->end_ms) {
			endpoint->listed = false;
			entry_write(soak, endpoint);
			endpoint_end(soak, i);
		} else if (endpoint->listener != NULL &&
			   soak_endpoint_reachable(endpoint)) {
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
