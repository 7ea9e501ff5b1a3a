/*
 * The network fabric: forwards each client packet unchanged to a live balancer
 * picked at random, and returns the packets of endpoints to the client.
 *
 * A balancer is live while the machine list contains it and its /ready page
 * returns 200; a crashed one receives packets until that check fails.
 */
#include "standin.h"

#include "jt_http_client.h"
#include "jt_net.h"
#include "jt_packet.h"

#include <errno.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static const char usage[] =
	"Usage: jaspertrack-standin fabric --listen IP:PORT\n"
	"         --return IP:PORT --machines URL [--loss FRACTION]\n"
	"Client packets are received on --listen, those of endpoints on "
	"--return.\n";

enum {
	NODE_LIMIT = 256,
	CALLER_LIMIT = 64,
	READY_INTERVAL_MS = 200,
	LIST_INTERVAL_MS = 1000,
	PACKET_BATCH = 64,
};

struct balancer {
	char name[64];
	struct jt_address data;
	char api[64];
	bool listed;
	bool ready;
	bool ready_pending;
};

struct caller {
	uint32_t inner_ip;
	struct sockaddr_in outer_address;
};

struct fabric {
	struct tevent_context *loop;
	struct jt_http_client *http;
	const char *machines_url;
	int listen_fd;
	int return_fd;
	struct balancer *balancers[NODE_LIMIT];
	size_t balancer_count;
	struct caller callers[CALLER_LIMIT];
	size_t caller_count;
	uint32_t loss_per_million;
	uint64_t next_list_ms;
	uint64_t next_ready_ms;
	bool list_pending;
};

struct ready_request {
	struct fabric *fabric;
	struct balancer *balancer;
};

static uint32_t packet_address(const uint8_t *packet, size_t offset)
{
	return (uint32_t)packet[offset] << 24 |
	       (uint32_t)packet[offset + 1] << 16 |
	       (uint32_t)packet[offset + 2] << 8 | packet[offset + 3];
}

static void caller_record(struct fabric *fabric, uint32_t inner_ip,
			  const struct sockaddr_in *outer_address)
{
	size_t i = 0;

	while (i < fabric->caller_count &&
	       fabric->callers[i].inner_ip != inner_ip)
		i++;
	if (i == CALLER_LIMIT)
		return;
	if (i == fabric->caller_count)
		fabric->caller_count++;
	fabric->callers[i].inner_ip = inner_ip;
	fabric->callers[i].outer_address = *outer_address;
}

static void forward_to_balancer(struct fabric *fabric, const uint8_t *packet,
				size_t length)
{
	struct balancer *live[NODE_LIMIT];
	struct sockaddr_in destination;
	size_t count = 0;

	for (size_t i = 0; i < fabric->balancer_count; i++) {
		if (fabric->balancers[i]->listed && fabric->balancers[i]->ready)
			live[count++] = fabric->balancers[i];
	}
	if (count == 0 ||
	    (fabric->loss_per_million &&
	     randombytes_uniform(1000000) < fabric->loss_per_million))
		return;
	jt_address_to_socket(live[randombytes_uniform((uint32_t)count)]->data,
			     &destination);
	(void)sendto(fabric->listen_fd, packet, length, MSG_DONTWAIT,
		     (struct sockaddr *)&destination, sizeof(destination));
}

static void on_caller_packet(struct tevent_context *loop, struct tevent_fd *fd,
			     uint16_t flags, void *private_data)
{
	struct fabric *fabric = private_data;
	uint8_t packet[JT_PACKET_MAX];

	(void)loop;
	(void)fd;
	(void)flags;
	for (int i = 0; i < PACKET_BATCH; i++) {
		struct sockaddr_in from;
		socklen_t size = sizeof(from);
		ssize_t length =
			recvfrom(fabric->listen_fd, packet, sizeof(packet),
				 MSG_DONTWAIT, (struct sockaddr *)&from, &size);

		if (length < 0)
			return;
		if (length < 20)
			continue;
		caller_record(fabric, packet_address(packet, 12), &from);
		forward_to_balancer(fabric, packet, (size_t)length);
	}
}

static void on_return_packet(struct tevent_context *loop, struct tevent_fd *fd,
			     uint16_t flags, void *private_data)
{
	struct fabric *fabric = private_data;
	uint8_t packet[JT_PACKET_MAX];

	(void)loop;
	(void)fd;
	(void)flags;
	for (int i = 0; i < PACKET_BATCH; i++) {
		ssize_t length = recv(fabric->return_fd, packet, sizeof(packet),
				      MSG_DONTWAIT);

		if (length < 0)
			return;
		for (size_t c = 0; length >= 20 && c < fabric->caller_count;
		     c++) {
			if (fabric->callers[c].inner_ip !=
			    packet_address(packet, 16))
				continue;
			(void)sendto(fabric->listen_fd, packet, (size_t)length,
				     MSG_DONTWAIT,
				     (struct sockaddr *)&fabric->callers[c]
					     .outer_address,
				     sizeof(struct sockaddr_in));
			break;
		}
	}
}

static struct balancer *balancer_get(struct fabric *fabric, const char *name)
{
	struct balancer *balancer;

	for (size_t i = 0; i < fabric->balancer_count; i++) {
		balancer = fabric->balancers[i];
		if (balancer != NULL && strcmp(balancer->name, name) == 0)
			return balancer;
	}
	if (fabric->balancer_count == NODE_LIMIT)
		return NULL;
	balancer = talloc_zero(fabric, struct balancer);
	if (balancer == NULL)
		return NULL;
	snprintf(balancer->name, sizeof(balancer->name), "%s", name);
	fabric->balancers[fabric->balancer_count++] = balancer;
	return balancer;
}

static void apply_machine_list(struct fabric *fabric, const json_t *list)
{
	for (size_t i = 0; i < fabric->balancer_count; i++)
		fabric->balancers[i]->listed = false;
	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *entry = json_array_get(list, i);
		const char *name =
			json_string_value(json_object_get(entry, "name"));
		const char *data =
			json_string_value(json_object_get(entry, "data"));
		const char *api =
			json_string_value(json_object_get(entry, "api"));
		struct balancer *balancer;

		if (name == NULL || data == NULL || api == NULL)
			continue;
		balancer = balancer_get(fabric, name);
		if (balancer == NULL ||
		    jt_address_parse(data, &balancer->data) != 0)
			continue;
		snprintf(balancer->api, sizeof(balancer->api), "%s", api);
		balancer->listed = true;
	}
}

static void on_machine_list(struct tevent_req *req)
{
	struct fabric *fabric = tevent_req_callback_data(req, struct fabric);
	TALLOC_CTX *frame = talloc_new(fabric);
	char *body = NULL;
	long status = 0;
	int error = jt_http_recv(req, frame, &status, &body, NULL);
	json_t *list =
		!error && status == 200 ? json_loads(body, 0, NULL) : NULL;

	talloc_free(req);
	fabric->list_pending = false;
	if (list != NULL)
		apply_machine_list(fabric, list);
	json_decref(list);
	talloc_free(frame);
}

static void on_ready(struct tevent_req *req)
{
	struct ready_request *call =
		tevent_req_callback_data(req, struct ready_request);
	char *body = NULL;
	long status = 0;
	int error = jt_http_recv(req, call, &status, &body, NULL);

	talloc_free(req);
	call->balancer->ready_pending = false;
	call->balancer->ready = !error && status == 200;
	talloc_free(call);
}

static void request_machine_list(struct fabric *fabric)
{
	struct jt_http_call call = {.method = "GET", .timeout_ms = 800};
	struct tevent_req *req;
	char *url =
		talloc_asprintf(fabric, "%s/machines", fabric->machines_url);

	call.url = url;
	req = jt_http_send(fabric, fabric->http, &call);
	talloc_free(url);
	if (req == NULL)
		return;
	fabric->list_pending = true;
	tevent_req_set_callback(req, on_machine_list, fabric);
}

static void request_ready(struct fabric *fabric, struct balancer *balancer)
{
	struct jt_http_call call = {.method = "GET", .timeout_ms = 600};
	struct ready_request *ready = talloc_zero(fabric, struct ready_request);
	struct tevent_req *req;

	ready->fabric = fabric;
	ready->balancer = balancer;
	call.url = talloc_asprintf(ready, "http://%s/ready", balancer->api);
	req = jt_http_send(fabric, fabric->http, &call);
	if (req == NULL) {
		talloc_free(ready);
		return;
	}
	balancer->ready_pending = true;
	tevent_req_set_callback(req, on_ready, ready);
}

static void on_tick(struct tevent_context *loop, struct tevent_timer *timer,
		    struct timeval when, void *private_data)
{
	struct fabric *fabric = private_data;
	uint64_t now = jt_clock_ms();

	(void)timer;
	(void)when;
	if (now >= fabric->next_list_ms && !fabric->list_pending) {
		fabric->next_list_ms = now + LIST_INTERVAL_MS;
		request_machine_list(fabric);
	}
	if (now >= fabric->next_ready_ms) {
		fabric->next_ready_ms = now + READY_INTERVAL_MS;
		for (size_t i = 0; i < fabric->balancer_count; i++) {
			if (fabric->balancers[i]->listed &&
			    !fabric->balancers[i]->ready_pending)
				request_ready(fabric, fabric->balancers[i]);
		}
	}
	tevent_add_timer(loop, fabric, tevent_timeval_current_ofs(0, 50000),
			 on_tick, fabric);
}

int fabric_main(int argc, char **argv)
{
	struct jt_address listen, return_address;
	struct fabric *fabric;
	bool finished;

	if (standin_help_requested(argc, argv, usage))
		return EXIT_OK;
	if (!standin_address_option(argc, argv, "--listen", &listen) ||
	    !standin_address_option(argc, argv, "--return", &return_address))
		return EXIT_USAGE;
	fabric = talloc_zero(NULL, struct fabric);
	fabric->machines_url = standin_option(argc, argv, "--machines");
	if (fabric->machines_url == NULL) {
		fprintf(stderr, "fabric: --machines URL is required\n");
		return EXIT_USAGE;
	}
	fabric->loop = standin_loop_create(fabric, &finished);
	fabric->http = jt_http_client_create(fabric, fabric->loop);
	fabric->loss_per_million =
		(uint32_t)(standin_number_option(argc, argv, "--loss", 0) *
			   1e6);
	fabric->listen_fd = jt_udp_open(listen, false);
	fabric->return_fd = jt_udp_open(return_address, false);
	if (fabric->listen_fd < 0 || fabric->return_fd < 0) {
		perror("fabric");
		return EXIT_FAILED;
	}
	tevent_add_fd(fabric->loop, fabric, fabric->listen_fd, TEVENT_FD_READ,
		      on_caller_packet, fabric);
	tevent_add_fd(fabric->loop, fabric, fabric->return_fd, TEVENT_FD_READ,
		      on_return_packet, fabric);
	tevent_add_timer(fabric->loop, fabric, tevent_timeval_current(),
			 on_tick, fabric);
	while (!finished)
		tevent_loop_once(fabric->loop);
	close(fabric->listen_fd);
	close(fabric->return_fd);
	talloc_free(fabric);
	return EXIT_OK;
}
