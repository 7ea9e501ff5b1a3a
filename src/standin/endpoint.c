/*
 * A backend that reports its state and load on a health page, lists the
 * requests it has executed, and counts when its slot or connection limit is
 * exceeded.
 *
 * GET /health, GET /runs, POST /control {"draining", "shedding", "cold",
 * "frozen": bool, "claimed_connections": N}.
 */
#include "content.h"
#include "stack.h"
#include "standin.h"

#include "jt_net.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static const char usage[] =
	"Usage: jaspertrack-standin endpoint --name NAME --service NAME\n"
	"         --listen IP:PORT --health IP:PORT --gateway IP:PORT\n"
	"         --address IP[,IP...] --port N --slots N --connections N\n";

enum { LINE_LIMIT = 128, SEND_CHUNK = 2048 };

struct endpoint {
	struct tevent_context *loop;
	struct stack *stack;
	const char *name;
	const char *service;
	unsigned slot_limit;
	unsigned connection_limit;
	unsigned slots_used;
	unsigned open_connections;
	unsigned overflow; /* times a connection or slot limit was exceeded */
	bool draining;
	bool shedding;
	bool cold;
	long claimed_connections; /* reported by /health; -1: the real number */
	uint64_t *runs;		  /* ids of executed requests */
	size_t run_count;
};

struct connection {
	struct endpoint *endpoint;
	struct tcp_pcb *pcb;
	char line[LINE_LIMIT];
	size_t line_length;
	bool closing;
	/* The request being executed or answered. */
	uint64_t request;
	size_t bytes;
	size_t sent;
	bool executing;
	bool sending;
};

static void slot_release(struct connection *connection)
{
	if (connection->executing || connection->sending)
		connection->endpoint->slots_used--;
	connection->executing = false;
	connection->sending = false;
}

static void connection_close(struct connection *connection)
{
	slot_release(connection);
	connection->endpoint->open_connections--;
	if (connection->pcb != NULL) {
		tcp_arg(connection->pcb, NULL);
		tcp_recv(connection->pcb, NULL);
		tcp_sent(connection->pcb, NULL);
		tcp_err(connection->pcb, NULL);
		if (tcp_close(connection->pcb) != ERR_OK)
			tcp_abort(connection->pcb);
	}
	talloc_free(connection);
}

static void send_body(struct connection *connection)
{
	char chunk[SEND_CHUNK];

	while (connection->sending && connection->sent < connection->bytes) {
		size_t count = connection->bytes - connection->sent;

		if (count > sizeof(chunk))
			count = sizeof(chunk);
		if (count > tcp_sndbuf(connection->pcb))
			count = tcp_sndbuf(connection->pcb);
		if (count == 0)
			break;
		for (size_t i = 0; i < count; i++)
			chunk[i] = content_byte(connection->request,
						connection->sent + i);
		if (tcp_write(connection->pcb, chunk, (uint16_t)count,
			      TCP_WRITE_FLAG_COPY) != ERR_OK)
			break;
		connection->sent += count;
	}
	if (connection->sending && connection->sent == connection->bytes)
		slot_release(connection);
	tcp_output(connection->pcb);
}

static void send_line(struct connection *connection, const char *line)
{
	tcp_write(connection->pcb, line, (uint16_t)strlen(line),
		  TCP_WRITE_FLAG_COPY);
	tcp_output(connection->pcb);
}

static void send_response(struct connection *connection)
{
	char line[LINE_LIMIT];

	connection->executing = false;
	connection->sending = true;
	connection->sent = 0;
	snprintf(line, sizeof(line), "ANSWER %llu %zu\n",
		 (unsigned long long)connection->request, connection->bytes);
	send_line(connection, line);
	send_body(connection);
}

static void on_work_done(struct tevent_context *loop,
			 struct tevent_timer *timer, struct timeval now,
			 void *private_data)
{
	(void)loop;
	(void)timer;
	(void)now;
	send_response(private_data);
}

static void start_request(struct connection *connection, uint64_t request,
			  size_t bytes, unsigned work_ms)
{
	struct endpoint *endpoint = connection->endpoint;

	endpoint->runs = talloc_realloc(endpoint, endpoint->runs, uint64_t,
					endpoint->run_count + 1);
	endpoint->runs[endpoint->run_count++] = request;
	if (++endpoint->slots_used > endpoint->slot_limit && work_ms > 0)
		endpoint->overflow++;
	connection->request = request;
	connection->bytes = bytes;
	connection->executing = true;
	tevent_add_timer(endpoint->loop, connection,
			 tevent_timeval_current_ofs(work_ms / 1000,
						    work_ms % 1000 * 1000),
			 on_work_done, connection);
}

static void handle_line(struct connection *connection)
{
	unsigned long long flow, request, bytes;
	char service[64], line[LINE_LIMIT];
	unsigned work_ms;

	if (sscanf(connection->line, "HELLO %llu %63s", &flow, service) == 2) {
		snprintf(line, sizeof(line), "WELCOME %llu %.40s %.40s\n", flow,
			 connection->endpoint->service,
			 connection->endpoint->name);
		send_line(connection, line);
	} else if (sscanf(connection->line, "RUN %llu %llu %u", &request,
			  &bytes, &work_ms) == 3) {
		start_request(connection, request, (size_t)bytes, work_ms);
	}
}

static err_t on_data(void *private_data, struct tcp_pcb *pcb, struct pbuf *p,
		     err_t error)
{
	struct connection *connection = private_data;

	(void)error;
	if (p == NULL) {
		connection_close(connection);
		return ERR_OK;
	}
	for (uint16_t i = 0; i < p->tot_len; i++) {
		char byte = (char)pbuf_get_at(p, i);

		if (byte != '\n') {
			if (connection->line_length < LINE_LIMIT - 1)
				connection->line[connection->line_length++] =
					byte;
			continue;
		}
		connection->line[connection->line_length] = '\0';
		connection->line_length = 0;
		handle_line(connection);
	}
	tcp_recved(pcb, p->tot_len);
	pbuf_free(p);
	return ERR_OK;
}

static err_t on_sent(void *private_data, struct tcp_pcb *pcb, uint16_t length)
{
	struct connection *connection = private_data;

	(void)pcb;
	(void)length;
	if (connection->sending)
		send_body(connection);
	return ERR_OK;
}

static void on_error(void *private_data, err_t error)
{
	struct connection *connection = private_data;

	(void)error;
	if (connection == NULL)
		return;
	connection->pcb = NULL; /* lwIP has freed it */
	connection_close(connection);
}

static err_t on_accept(void *private_data, struct tcp_pcb *pcb, err_t error)
{
	struct endpoint *endpoint = private_data;
	struct connection *connection;

	if (error != ERR_OK || pcb == NULL)
		return ERR_VAL;
	connection = talloc_zero(endpoint, struct connection);
	connection->endpoint = endpoint;
	connection->pcb = pcb;
	if (++endpoint->open_connections > endpoint->connection_limit)
		endpoint->overflow++;
	tcp_arg(pcb, connection);
	tcp_recv(pcb, on_data);
	tcp_sent(pcb, on_sent);
	tcp_err(pcb, on_error);
	return ERR_OK;
}

static void handle_health(struct endpoint *endpoint,
			  struct jt_http_request *request)
{
	long connections = endpoint->claimed_connections >= 0
				   ? endpoint->claimed_connections
				   : (long)endpoint->open_connections;
	json_t *page = json_pack(
		"{s:b,s:i,s:b,s:b,s:b,s:I,s:I,s:I,s:I}", "ok", 1, "instance",
		(int)getpid(), "draining", (int)endpoint->draining, "shedding",
		(int)endpoint->shedding, "cold", (int)endpoint->cold,
		"connections", (json_int_t)connections, "slots_used",
		(json_int_t)endpoint->slots_used, "overflow",
		(json_int_t)endpoint->overflow, "open",
		(json_int_t)endpoint->open_connections);
	char *text = json_dumps(page, JSON_COMPACT);

	jt_http_reply(request, 200, "application/json", text);
	free(text);
	json_decref(page);
}

static void handle_runs(struct endpoint *endpoint,
			struct jt_http_request *request)
{
	json_t *list = json_array();
	char *text;

	for (size_t i = 0; i < endpoint->run_count; i++)
		json_array_append_new(
			list, json_integer((json_int_t)endpoint->runs[i]));
	text = json_dumps(list, JSON_COMPACT);
	jt_http_reply(request, 200, "application/json", text);
	free(text);
	json_decref(list);
}

static void update_flag(const json_t *body, const char *name, bool *flag)
{
	const json_t *value = json_object_get(body, name);

	if (json_is_boolean(value))
		*flag = json_is_true(value);
}

static void handle_control(struct endpoint *endpoint,
			   struct jt_http_request *request)
{
	json_t *body = json_loads(jt_http_body(request, NULL), 0, NULL);
	const json_t *claimed = json_object_get(body, "claimed_connections");
	bool frozen = false;

	update_flag(body, "draining", &endpoint->draining);
	update_flag(body, "shedding", &endpoint->shedding);
	update_flag(body, "cold", &endpoint->cold);
	update_flag(body, "frozen", &frozen);
	stack_set_frozen(endpoint->stack, frozen);
	if (json_is_integer(claimed))
		endpoint->claimed_connections =
			(long)json_integer_value(claimed);
	json_decref(body);
	jt_http_reply(request, 200, "text/plain", "ok\n");
}

static void on_request(struct jt_http_request *request, void *private_data)
{
	const char *path = jt_http_path(request);

	if (strcmp(path, "/health") == 0)
		handle_health(private_data, request);
	else if (strcmp(path, "/runs") == 0)
		handle_runs(private_data, request);
	else if (strcmp(path, "/control") == 0)
		handle_control(private_data, request);
	else
		jt_http_reply(request, 404, "text/plain", "no such page\n");
}

static bool add_addresses(struct endpoint *endpoint, const char *list)
{
	char *copy = talloc_strdup(endpoint, list ? list : "");
	char *remaining = copy, *item;
	char text[64];
	struct jt_address address;

	while ((item = strsep(&remaining, ",")) != NULL) {
		snprintf(text, sizeof(text), "%s:1", item);
		if (jt_address_parse(text, &address) != 0 ||
		    stack_add_address(endpoint->stack, address.ip) != 0) {
			fprintf(stderr, "endpoint: --address '%s' is invalid\n",
				item);
			return false;
		}
	}
	return true;
}

static bool start_listening(struct endpoint *endpoint, uint16_t port)
{
	struct tcp_pcb *pcb = tcp_new();

	if (pcb == NULL || tcp_bind(pcb, IP_ANY_TYPE, port) != ERR_OK)
		return false;
	pcb = tcp_listen(pcb);
	if (pcb == NULL)
		return false;
	tcp_arg(pcb, endpoint);
	tcp_accept(pcb, on_accept);
	return true;
}

int endpoint_main(int argc, char **argv)
{
	struct jt_http_options options = {0};
	struct jt_address listen, gateway;
	struct endpoint *endpoint;
	bool finished;

	if (standin_help_requested(argc, argv, usage))
		return EXIT_OK;
	if (!standin_address_option(argc, argv, "--listen", &listen) ||
	    !standin_address_option(argc, argv, "--gateway", &gateway) ||
	    !standin_address_option(argc, argv, "--health", &options.address))
		return EXIT_USAGE;
	endpoint = talloc_zero(NULL, struct endpoint);
	endpoint->name = standin_option(argc, argv, "--name");
	endpoint->service = standin_option(argc, argv, "--service");
	if (endpoint->name == NULL || endpoint->service == NULL) {
		fprintf(stderr,
			"endpoint: --name and --service are required\n");
		return EXIT_USAGE;
	}
	endpoint->claimed_connections = -1;
	endpoint->slot_limit =
		(unsigned)standin_number_option(argc, argv, "--slots", 2);
	endpoint->connection_limit = (unsigned)standin_number_option(
		argc, argv, "--connections", 2000);
	endpoint->loop = standin_loop_create(endpoint, &finished);
	endpoint->stack =
		stack_create(endpoint, endpoint->loop, listen, gateway);
	if (endpoint->stack == NULL ||
	    jt_http_server_create(endpoint, endpoint->loop, &options,
				  on_request, endpoint) == NULL) {
		perror("endpoint");
		return EXIT_FAILED;
	}
	if (!add_addresses(endpoint, standin_option(argc, argv, "--address")) ||
	    !start_listening(endpoint, (uint16_t)standin_number_option(
					       argc, argv, "--port", 80)))
		return EXIT_FAILED;
	while (!finished)
		tevent_loop_once(endpoint->loop);
	talloc_free(endpoint);
	return EXIT_OK;
}
