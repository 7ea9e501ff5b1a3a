/*
 * Clients: open flows through the fabric and verify that each request receives
 * its own complete response.
 *
 * Prints one JSON line at the end. --runs-file lists the ids of refused flows
 * and answered requests, for comparison with the requests endpoints executed.
 */
#include "content.h"
#include "stack.h"
#include "standin.h"

#include "jt_net.h"

#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char usage[] =
	"Usage: jaspertrack-standin caller --listen IP:PORT --fabric IP:PORT\n"
	"         --source IP --duration-s N [--runs-file FILE]\n"
	"         --load SERVICE,IP:PORT,PER_S,FLOW_S,BYTES,WORK_MS ...\n"
	"With FLOW_S above 0, flows stay open for FLOW_S seconds on average\n"
	"and send a request every 2 s; with 0, each flow sends one request.\n"
	"No flows are opened in the last 8 s.\n";

enum {
	LOAD_LIMIT = 32,
	LINE_LIMIT = 128,
	ENDPOINT_LIMIT = 256,
	DRAIN_MS = 8000, /* no new flows in this time before the end */
	REQUEST_INTERVAL_MS = 2000, /* between requests of a flow */
	REQUEST_TIMEOUT_MS = 20000, /* then a flow counts as broken */
	TICK_MS = 20,
	SAMPLE_INTERVAL_MS = 1000,
};

struct load {
	char service[64];
	struct jt_address address;
	double flows_per_s;
	double mean_flow_s; /* mean duration of a flow; 0: one request */
	unsigned bytes;
	unsigned work_ms;
	double next_flow_s; /* time of the next flow, seconds since the start */
};

/* Open flows of an endpoint. */
struct occupancy {
	char name[64];
	char service[64];
	unsigned open;
};

struct caller {
	struct tevent_context *loop;
	struct stack *stack;
	uint32_t source;
	struct load loads[LOAD_LIMIT];
	size_t load_count;
	struct flow *flows;
	uint64_t started_ms;
	uint64_t end_ms;
	uint64_t next_sample_ms;
	uint64_t last_id; /* of flows and requests */
	struct occupancy endpoints[ENDPOINT_LIMIT];
	size_t endpoint_count;
	double max_imbalance;
	double imbalance_sum;
	unsigned imbalance_samples;
	json_t *refused_ids;
	json_t *answered_ids;
	unsigned opened, broken, misdelivered, sent, answered, refused;
	unsigned answered_wrong, unresolved, connect_timeouts;
	bool done;
};

enum flow_state {
	FLOW_CONNECTING,
	FLOW_HANDSHAKE,
	FLOW_IDLE,
	FLOW_WAITING,
	FLOW_CLOSED
};

struct flow {
	struct flow *next;
	struct caller *caller;
	struct load *load;
	struct tcp_pcb *pcb;
	enum flow_state state;
	uint64_t id;
	uint64_t request;
	uint64_t close_ms;
	uint64_t next_request_ms;
	uint64_t waiting_since_ms;
	uint16_t port; /* source port */
	char line[LINE_LIMIT];
	size_t line_length;
	size_t body_remaining;
	size_t body_offset;
	bool body_valid;
	struct occupancy *endpoint;
};

static struct occupancy *occupancy_get(struct caller *caller,
				       const char *service, const char *name)
{
	struct occupancy *occupancy;

	for (size_t i = 0; i < caller->endpoint_count; i++) {
		if (strcmp(caller->endpoints[i].name, name) == 0)
			return &caller->endpoints[i];
	}
	if (caller->endpoint_count == ENDPOINT_LIMIT)
		return NULL;
	occupancy = &caller->endpoints[caller->endpoint_count++];
	snprintf(occupancy->name, sizeof(occupancy->name), "%s", name);
	snprintf(occupancy->service, sizeof(occupancy->service), "%s", service);
	return occupancy;
}

/* Closes the flow; the next tick frees it. */
static void flow_close(struct flow *flow)
{
	if (flow->endpoint != NULL && flow->state != FLOW_CLOSED)
		flow->endpoint->open--;
	flow->state = FLOW_CLOSED;
	if (flow->pcb == NULL)
		return;
	tcp_arg(flow->pcb, NULL);
	tcp_recv(flow->pcb, NULL);
	tcp_err(flow->pcb, NULL);
	if (tcp_close(flow->pcb) != ERR_OK)
		tcp_abort(flow->pcb);
	flow->pcb = NULL;
}

static void flow_write(struct flow *flow, const char *line)
{
	tcp_write(flow->pcb, line, (uint16_t)strlen(line), TCP_WRITE_FLAG_COPY);
	tcp_output(flow->pcb);
	flow->waiting_since_ms = jt_clock_ms();
}

static void flow_send_request(struct flow *flow)
{
	char line[LINE_LIMIT];

	flow->request = ++flow->caller->last_id;
	flow->state = FLOW_WAITING;
	flow->caller->sent++;
	snprintf(line, sizeof(line), "RUN %llu %u %u\n",
		 (unsigned long long)flow->request, flow->load->bytes,
		 flow->load->work_ms);
	flow_write(flow, line);
}

static void flow_established(struct flow *flow, const char *service,
			     const char *name)
{
	struct caller *caller = flow->caller;

	caller->opened++;
	flow->endpoint = occupancy_get(caller, service, name);
	if (flow->endpoint != NULL)
		flow->endpoint->open++;
	if (strcmp(service, flow->load->service) != 0)
		caller->misdelivered++;
	flow->waiting_since_ms = 0;
	flow_send_request(flow);
}

static void flow_response_received(struct flow *flow)
{
	struct caller *caller = flow->caller;

	flow->waiting_since_ms = 0;
	if (!flow->body_valid) {
		caller->answered_wrong++;
	} else {
		caller->answered++;
		json_array_append_new(caller->answered_ids,
				      json_integer((json_int_t)flow->request));
	}
	flow->state = FLOW_IDLE;
	flow->next_request_ms = jt_clock_ms() + REQUEST_INTERVAL_MS;
	if (flow->load->mean_flow_s <= 0)
		flow->close_ms = 0; /* closed by the next tick */
}

static void handle_line(struct flow *flow)
{
	unsigned long long id, bytes;
	char service[64], name[64];

	if (flow->state == FLOW_HANDSHAKE &&
	    sscanf(flow->line, "WELCOME %llu %63s %63s", &id, service, name) ==
		    3) {
		if (id != flow->id)
			flow->caller->misdelivered++;
		flow_established(flow, service, name);
	} else if (flow->state == FLOW_WAITING &&
		   sscanf(flow->line, "ANSWER %llu %llu", &id, &bytes) == 2) {
		flow->body_remaining = (size_t)bytes;
		flow->body_offset = 0;
		flow->body_valid =
			id == flow->request && bytes == flow->load->bytes;
		if (bytes == 0)
			flow_response_received(flow);
	} else {
		flow->caller->answered_wrong++;
	}
}

static void consume_byte(struct flow *flow, char byte)
{
	if (flow->body_remaining > 0) {
		if (byte != content_byte(flow->request, flow->body_offset))
			flow->body_valid = false;
		flow->body_offset++;
		if (--flow->body_remaining == 0)
			flow_response_received(flow);
		return;
	}
	if (byte != '\n') {
		if (flow->line_length < LINE_LIMIT - 1)
			flow->line[flow->line_length++] = byte;
		return;
	}
	flow->line[flow->line_length] = '\0';
	flow->line_length = 0;
	handle_line(flow);
}

/* Logs a flow that was not closed by this client, with its source port to find
 * its packets in a packet capture. */
static void log_flow_end(const struct flow *flow, const char *outcome,
			 const char *reason)
{
	uint64_t now_ms = jt_clock_ms();

	fprintf(stderr,
		"caller: flow %llu of %s on %s %s: %s port=%u up_ms=%llu "
		"step=%d waiting_ms=%llu\n",
		(unsigned long long)flow->id, flow->load->service,
		flow->endpoint ? flow->endpoint->name : "?", outcome, reason,
		flow->port, (unsigned long long)now_ms, (int)flow->state,
		(unsigned long long)(flow->waiting_since_ms != 0
					     ? now_ms - flow->waiting_since_ms
					     : 0));
}

/* Counts a flow that was refused or broken, and closes it. */
static void flow_aborted(struct flow *flow, const char *reason)
{
	struct caller *caller = flow->caller;

	if (flow->state == FLOW_CONNECTING) {
		caller->refused++;
		log_flow_end(flow, "refused", reason);
		json_array_append_new(caller->refused_ids,
				      json_integer((json_int_t)flow->id));
	} else {
		caller->broken++;
		log_flow_end(flow, "broken", reason);
		if (flow->state == FLOW_WAITING)
			caller->unresolved++;
	}
	flow_close(flow);
}

static err_t on_data(void *private_data, struct tcp_pcb *pcb, struct pbuf *p,
		     err_t error)
{
	struct flow *flow = private_data;

	(void)error;
	if (p == NULL) {
		flow_aborted(flow, "closed by the endpoint");
		return ERR_OK;
	}
	for (uint16_t i = 0; i < p->tot_len; i++)
		consume_byte(flow, (char)pbuf_get_at(p, i));
	tcp_recved(pcb, p->tot_len);
	pbuf_free(p);
	return ERR_OK;
}

static void on_error(void *private_data, err_t error)
{
	struct flow *flow = private_data;

	if (flow == NULL)
		return;
	flow->pcb = NULL; /* lwIP has freed it */
	if (flow->state == FLOW_CONNECTING && error != ERR_RST) {
		flow->caller->connect_timeouts++;
		flow->state = FLOW_CLOSED;
		return;
	}
	flow_aborted(flow,
		     error == ERR_RST ? "reset" : "retransmissions timed out");
}

static err_t on_connected(void *private_data, struct tcp_pcb *pcb, err_t error)
{
	struct flow *flow = private_data;
	char line[LINE_LIMIT];

	(void)pcb;
	if (error != ERR_OK)
		return error;
	flow->state = FLOW_HANDSHAKE;
	snprintf(line, sizeof(line), "HELLO %llu %s\n",
		 (unsigned long long)flow->id, flow->load->service);
	flow_write(flow, line);
	return ERR_OK;
}

static void flow_open(struct caller *caller, struct load *load)
{
	struct flow *flow = talloc_zero(caller, struct flow);
	uint64_t now = jt_clock_ms();
	ip_addr_t destination = {0};

	flow->caller = caller;
	flow->load = load;
	flow->id = ++caller->last_id;
	flow->close_ms = now + (uint64_t)(load->mean_flow_s * 1000 *
					  -log(1 - drand48()));
	if (flow->close_ms > caller->end_ms - DRAIN_MS / 2)
		flow->close_ms = caller->end_ms - DRAIN_MS / 2;
	flow->pcb = tcp_new();
	if (flow->pcb == NULL) {
		talloc_free(flow);
		return;
	}
	flow->next = caller->flows;
	caller->flows = flow;
	tcp_arg(flow->pcb, flow);
	tcp_recv(flow->pcb, on_data);
	tcp_err(flow->pcb, on_error);
	IP_SET_TYPE_VAL(destination, IPADDR_TYPE_V4);
	ip_2_ip4(&destination)->addr = lwip_htonl(load->address.ip);
	if (tcp_connect(flow->pcb, &destination, load->address.port,
			on_connected) != ERR_OK)
		flow_close(flow);
	else
		flow->port = flow->pcb->local_port;
}

static void flow_update(struct flow *flow, uint64_t now)
{
	if (flow->state == FLOW_IDLE && now >= flow->close_ms) {
		flow_close(flow);
	} else if (flow->state == FLOW_IDLE && now >= flow->next_request_ms) {
		flow_send_request(flow);
	} else if (flow->state != FLOW_CONNECTING &&
		   flow->state != FLOW_CLOSED && flow->waiting_since_ms &&
		   now > flow->waiting_since_ms + REQUEST_TIMEOUT_MS) {
		flow_aborted(flow, "request timed out");
	}
}

static void sample_service(struct caller *caller, const char *service)
{
	unsigned count = 0, sum = 0, max = 0;
	double imbalance;

	for (size_t i = 0; i < caller->endpoint_count; i++) {
		const struct occupancy *occupancy = &caller->endpoints[i];

		if (strcmp(occupancy->service, service) != 0)
			continue;
		count++;
		sum += occupancy->open;
		if (occupancy->open > max)
			max = occupancy->open;
	}
	if (count < 2 || sum < 20 * count)
		return; /* too few flows for a meaningful value */
	imbalance = (double)max * count / sum;
	caller->imbalance_sum += imbalance;
	caller->imbalance_samples++;
	if (imbalance > caller->max_imbalance)
		caller->max_imbalance = imbalance;
}

static void update_flows(struct caller *caller, uint64_t now)
{
	struct flow **link = &caller->flows;

	while (*link != NULL) {
		struct flow *flow = *link;

		flow_update(flow, now);
		if (flow->state != FLOW_CLOSED) {
			link = &flow->next;
			continue;
		}
		*link = flow->next;
		talloc_free(flow);
	}
}

static void caller_finish(struct caller *caller)
{
	for (struct flow *flow = caller->flows; flow; flow = flow->next) {
		if (flow->state == FLOW_WAITING)
			caller->unresolved++;
		flow_close(flow);
	}
	caller->done = true;
}

static void on_tick(struct tevent_context *loop, struct tevent_timer *timer,
		    struct timeval when, void *private_data)
{
	struct caller *caller = private_data;
	uint64_t now = jt_clock_ms();
	double seconds = (double)(now - caller->started_ms) / 1000;

	(void)timer;
	(void)when;
	for (size_t i = 0; i < caller->load_count; i++) {
		struct load *load = &caller->loads[i];

		while (now + DRAIN_MS < caller->end_ms &&
		       load->next_flow_s <= seconds) {
			load->next_flow_s +=
				-log(1 - drand48()) / load->flows_per_s;
			flow_open(caller, load);
		}
	}
	update_flows(caller, now);
	if (now >= caller->next_sample_ms) {
		caller->next_sample_ms = now + SAMPLE_INTERVAL_MS;
		for (size_t i = 0; i < caller->load_count; i++)
			sample_service(caller, caller->loads[i].service);
	}
	if (now >= caller->end_ms) {
		caller_finish(caller);
		return;
	}
	tevent_add_timer(loop, caller,
			 tevent_timeval_current_ofs(0, TICK_MS * 1000), on_tick,
			 caller);
}

static bool parse_load(struct caller *caller, const char *text)
{
	struct load *load;
	char address[32];

	if (caller->load_count == LOAD_LIMIT)
		return false;
	load = &caller->loads[caller->load_count];
	if (sscanf(text, "%63[^,],%31[^,],%lf,%lf,%u,%u", load->service,
		   address, &load->flows_per_s, &load->mean_flow_s,
		   &load->bytes, &load->work_ms) != 6 ||
	    jt_address_parse(address, &load->address) != 0 ||
	    load->flows_per_s <= 0) {
		fprintf(stderr, "caller: --load '%s' is invalid\n", text);
		return false;
	}
	caller->load_count++;
	return true;
}

static void write_runs(const struct caller *caller, const char *name)
{
	json_t *runs = json_pack("{s:O,s:O}", "refused", caller->refused_ids,
				 "answered", caller->answered_ids);

	if (json_dump_file(runs, name, JSON_COMPACT) != 0)
		fprintf(stderr, "caller: cannot write %s\n", name);
	json_decref(runs);
}

static void print_result(const struct caller *caller)
{
	json_t *result = json_pack(
		"{s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:f,s:f}", "flows_opened",
		(int)caller->opened, "flows_broken", (int)caller->broken,
		"packets_misdelivered", (int)caller->misdelivered,
		"requests_sent", (int)caller->sent, "requests_answered_whole",
		(int)caller->answered, "requests_answered_wrong",
		(int)caller->answered_wrong, "requests_refused",
		(int)caller->refused, "requests_unresolved",
		(int)caller->unresolved, "connects_timed_out",
		(int)caller->connect_timeouts, "imbalance_mean",
		caller->imbalance_samples
			? caller->imbalance_sum / caller->imbalance_samples
			: 0.0,
		"imbalance_max", caller->max_imbalance);
	char *text = json_dumps(result, JSON_COMPACT | JSON_REAL_PRECISION(5));

	puts(text);
	free(text);
	json_decref(result);
}

static bool caller_arguments(struct caller *caller, int argc, char **argv)
{
	for (int i = 1; i + 1 < argc; i++) {
		if (strcmp(argv[i], "--load") == 0 &&
		    !parse_load(caller, argv[i + 1]))
			return false;
	}
	if (caller->load_count > 0)
		return true;
	fprintf(stderr, "caller: at least one --load is required\n");
	return false;
}

int caller_main(int argc, char **argv)
{
	const char *runs_file = standin_option(argc, argv, "--runs-file");
	const char *source = standin_option(argc, argv, "--source");
	struct jt_address listen, fabric, source_address;
	struct caller *caller;
	char text[64];
	bool finished, failed;

	if (standin_help_requested(argc, argv, usage))
		return EXIT_OK;
	if (!standin_address_option(argc, argv, "--listen", &listen) ||
	    !standin_address_option(argc, argv, "--fabric", &fabric))
		return EXIT_USAGE;
	snprintf(text, sizeof(text), "%s:1", source ? source : "");
	if (jt_address_parse(text, &source_address) != 0) {
		fprintf(stderr, "caller: --source IP is required\n");
		return EXIT_USAGE;
	}
	caller = talloc_zero(NULL, struct caller);
	if (!caller_arguments(caller, argc, argv))
		return EXIT_USAGE;
	caller->loop = standin_loop_create(caller, &finished);
	caller->stack = stack_create(caller, caller->loop, listen, fabric);
	if (caller->stack == NULL ||
	    stack_add_address(caller->stack, source_address.ip) != 0) {
		perror("caller");
		return EXIT_FAILED;
	}
	caller->refused_ids = json_array();
	caller->answered_ids = json_array();
	caller->started_ms = jt_clock_ms();
	caller->end_ms =
		caller->started_ms +
		(uint64_t)(1000 * standin_number_option(argc, argv,
							"--duration-s", 30));
	tevent_add_timer(caller->loop, caller, tevent_timeval_current(),
			 on_tick, caller);
	while (!caller->done && !finished)
		tevent_loop_once(caller->loop);
	if (runs_file != NULL)
		write_runs(caller, runs_file);
	print_result(caller);
	failed = caller->broken > 0 || caller->misdelivered > 0 ||
		 caller->answered_wrong > 0 || caller->unresolved > 0;
	json_decref(caller->refused_ids);
	json_decref(caller->answered_ids);
	talloc_free(caller);
	return failed ? EXIT_FAILED : EXIT_OK;
}
