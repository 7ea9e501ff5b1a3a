/*
 * Callers: open flows through the fabric and check by content that each
 * gets the whole answer to its own request.
 *
 * Ends with one JSON line. Request ids run on from --first-request, so that
 * the runs of all endpoints can be compared with what callers were told.
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
	"FLOW_S above 0 makes streams that stay open so long and ask now and\n"
	"then; 0 makes one request a flow. New flows stop 8 s before the "
	"end.\n";

enum {
	LOAD_LIMIT = 32,
	LINE_LIMIT = 128,
	ENDPOINT_LIMIT = 256,
	STOP_EARLY_MS = 8000,
	ASK_INTERVAL_MS = 2000, /* of a stream */
	UNANSWERED_MS = 20000,	/* then a flow counts as cut */
	TICK_MS = 20,
	SAMPLE_MS = 1000,
};

struct load {
	char service[64];
	struct jt_address address;
	double per_s;
	double flow_s;
	unsigned bytes;
	unsigned work_ms;
	double due;
};

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
	uint64_t sample_ms;
	uint64_t next_id;
	struct occupancy endpoints[ENDPOINT_LIMIT];
	size_t endpoint_count;
	double worst_imbalance;
	double imbalance_sum;
	unsigned imbalance_samples;
	json_t *refused_ids;
	json_t *answered_ids;
	unsigned opened, broken, misdelivered, sent, answered, refused;
	unsigned wrong, unresolved, lost_connect;
	bool done;
};

enum flow_step {
	FLOW_CONNECTING,
	FLOW_GREETING,
	FLOW_IDLE,
	FLOW_ASKING,
	FLOW_CLOSED
};

struct flow {
	struct flow *next;
	struct caller *caller;
	struct load *load;
	struct tcp_pcb *pcb;
	enum flow_step step;
	uint64_t id;
	uint64_t request;
	uint64_t close_ms;
	uint64_t ask_ms;
	uint64_t waiting_since_ms;
	uint16_t port; /* of the caller */
	char line[LINE_LIMIT];
	size_t line_length;
	size_t body_left;
	size_t body_at;
	bool body_right;
	struct occupancy *endpoint;
};

static struct occupancy *occupancy_get(struct caller *caller,
				       const char *service, const char *name)
{
	struct occupancy *o;

	for (size_t i = 0; i < caller->endpoint_count; i++) {
		if (strcmp(caller->endpoints[i].name, name) == 0)
			return &caller->endpoints[i];
	}
	if (caller->endpoint_count == ENDPOINT_LIMIT)
		return NULL;
	o = &caller->endpoints[caller->endpoint_count++];
	snprintf(o->name, sizeof(o->name), "%s", name);
	snprintf(o->service, sizeof(o->service), "%s", service);
	return o;
}

/* The flow's object lives until the tick sweeps it up. */
static void flow_end(struct flow *flow)
{
	if (flow->endpoint != NULL && flow->step != FLOW_CLOSED)
		flow->endpoint->open--;
	flow->step = FLOW_CLOSED;
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

static void flow_ask(struct flow *flow)
{
	char line[LINE_LIMIT];

	flow->request = ++flow->caller->next_id;
	flow->step = FLOW_ASKING;
	flow->caller->sent++;
	snprintf(line, sizeof(line), "RUN %llu %u %u\n",
		 (unsigned long long)flow->request, flow->load->bytes,
		 flow->load->work_ms);
	flow_write(flow, line);
}

static void flow_welcomed(struct flow *flow, const char *service,
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
	flow_ask(flow);
}

static void flow_answered(struct flow *flow)
{
	struct caller *caller = flow->caller;

	flow->waiting_since_ms = 0;
	if (!flow->body_right) {
		caller->wrong++;
	} else {
		caller->answered++;
		json_array_append_new(caller->answered_ids,
				      json_integer((json_int_t)flow->request));
	}
	flow->step = FLOW_IDLE;
	flow->ask_ms = jt_clock_ms() + ASK_INTERVAL_MS;
	if (flow->load->flow_s <= 0)
		flow->close_ms = 0; /* the next tick closes it */
}

static void handle_line(struct flow *flow)
{
	unsigned long long id, bytes;
	char service[64], name[64];

	if (flow->step == FLOW_GREETING &&
	    sscanf(flow->line, "WELCOME %llu %63s %63s", &id, service, name) ==
		    3) {
		if (id != flow->id)
			flow->caller->misdelivered++;
		flow_welcomed(flow, service, name);
	} else if (flow->step == FLOW_ASKING &&
		   sscanf(flow->line, "ANSWER %llu %llu", &id, &bytes) == 2) {
		flow->body_left = (size_t)bytes;
		flow->body_at = 0;
		flow->body_right =
			id == flow->request && bytes == flow->load->bytes;
		if (bytes == 0)
			flow_answered(flow);
	} else {
		flow->caller->wrong++;
	}
}

static void take_byte(struct flow *flow, char byte)
{
	if (flow->body_left > 0) {
		if (byte != content_byte(flow->request, flow->body_at))
			flow->body_right = false;
		flow->body_at++;
		if (--flow->body_left == 0)
			flow_answered(flow);
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

/* One line for a flow that ended though nobody here closed it: what showed it,
 * when, and by which port its packets can be found. */
static void end_tell(const struct flow *flow, const char *what,
		     const char *reason)
{
	uint64_t now_ms = jt_clock_ms();

	fprintf(stderr,
		"caller: flow %llu of %s on %s is %s: %s port=%u up_ms=%llu "
		"step=%d waiting_ms=%llu\n",
		(unsigned long long)flow->id, flow->load->service,
		flow->endpoint ? flow->endpoint->name : "?", what, reason,
		flow->port, (unsigned long long)now_ms, (int)flow->step,
		(unsigned long long)(flow->waiting_since_ms != 0
					     ? now_ms - flow->waiting_since_ms
					     : 0));
}

/* An established flow ended though nobody here closed it. */
static void flow_cut(struct flow *flow, const char *reason)
{
	struct caller *caller = flow->caller;

	if (flow->step == FLOW_CONNECTING) {
		caller->refused++;
		end_tell(flow, "refused", reason);
		json_array_append_new(caller->refused_ids,
				      json_integer((json_int_t)flow->id));
	} else {
		caller->broken++;
		end_tell(flow, "cut", reason);
		if (flow->step == FLOW_ASKING)
			caller->unresolved++;
	}
	flow_end(flow);
}

static err_t on_data(void *argument, struct tcp_pcb *pcb, struct pbuf *p,
		     err_t error)
{
	struct flow *flow = argument;

	(void)error;
	if (p == NULL) {
		flow_cut(flow, "closed by the other end");
		return ERR_OK;
	}
	for (uint16_t i = 0; i < p->tot_len; i++)
		take_byte(flow, (char)pbuf_get_at(p, i));
	tcp_recved(pcb, p->tot_len);
	pbuf_free(p);
	return ERR_OK;
}

static void on_error(void *argument, err_t error)
{
	struct flow *flow = argument;

	if (flow == NULL)
		return;
	flow->pcb = NULL; /* lwIP has freed it */
	if (flow->step == FLOW_CONNECTING && error != ERR_RST) {
		flow->caller->lost_connect++;
		flow->step = FLOW_CLOSED;
		return;
	}
	flow_cut(flow, error == ERR_RST ? "reset" : "no answer to packets");
}

static err_t on_connected(void *argument, struct tcp_pcb *pcb, err_t error)
{
	struct flow *flow = argument;
	char line[LINE_LIMIT];

	(void)pcb;
	if (error != ERR_OK)
		return error;
	flow->step = FLOW_GREETING;
	snprintf(line, sizeof(line), "HELLO %llu %s\n",
		 (unsigned long long)flow->id, flow->load->service);
	flow_write(flow, line);
	return ERR_OK;
}

static void flow_open(struct caller *caller, struct load *load)
{
	struct flow *flow = talloc_zero(caller, struct flow);
	uint64_t now = jt_clock_ms();
	ip_addr_t to = {0};

	flow->caller = caller;
	flow->load = load;
	flow->id = ++caller->next_id;
	flow->close_ms =
		now + (uint64_t)(load->flow_s * 1000 * -log(1 - drand48()));
	if (flow->close_ms > caller->end_ms - STOP_EARLY_MS / 2)
		flow->close_ms = caller->end_ms - STOP_EARLY_MS / 2;
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
	IP_SET_TYPE_VAL(to, IPADDR_TYPE_V4);
	ip_2_ip4(&to)->addr = lwip_htonl(load->address.ip);
	if (tcp_connect(flow->pcb, &to, load->address.port, on_connected) !=
	    ERR_OK)
		flow_end(flow);
	else
		flow->port = flow->pcb->local_port;
}

static void flow_tick(struct flow *flow, uint64_t now)
{
	if (flow->step == FLOW_IDLE && now >= flow->close_ms) {
		flow_end(flow);
	} else if (flow->step == FLOW_IDLE && now >= flow->ask_ms) {
		flow_ask(flow);
	} else if (flow->step != FLOW_CONNECTING && flow->step != FLOW_CLOSED &&
		   flow->waiting_since_ms &&
		   now > flow->waiting_since_ms + UNANSWERED_MS) {
		flow_cut(flow, "no answer to a request");
	}
}

static void sample_service(struct caller *caller, const char *service)
{
	unsigned count = 0, sum = 0, most = 0;
	double imbalance;

	for (size_t i = 0; i < caller->endpoint_count; i++) {
		const struct occupancy *o = &caller->endpoints[i];

		if (strcmp(o->service, service) != 0)
			continue;
		count++;
		sum += o->open;
		if (o->open > most)
			most = o->open;
	}
	if (count < 2 || sum < 20 * count)
		return; /* too few flows to say anything */
	imbalance = (double)most * count / sum;
	caller->imbalance_sum += imbalance;
	caller->imbalance_samples++;
	if (imbalance > caller->worst_imbalance)
		caller->worst_imbalance = imbalance;
}

static void sweep(struct caller *caller, uint64_t now)
{
	struct flow **link = &caller->flows;

	while (*link != NULL) {
		struct flow *flow = *link;

		flow_tick(flow, now);
		if (flow->step != FLOW_CLOSED) {
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
		if (flow->step == FLOW_ASKING)
			caller->unresolved++;
		flow_end(flow);
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

		while (now + STOP_EARLY_MS < caller->end_ms &&
		       load->due <= seconds) {
			load->due += -log(1 - drand48()) / load->per_s;
			flow_open(caller, load);
		}
	}
	sweep(caller, now);
	if (now >= caller->sample_ms) {
		caller->sample_ms = now + SAMPLE_MS;
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
		   address, &load->per_s, &load->flow_s, &load->bytes,
		   &load->work_ms) != 6 ||
	    jt_address_parse(address, &load->address) != 0 ||
	    load->per_s <= 0) {
		fprintf(stderr, "caller: --load '%s' is wrong\n", text);
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
		fprintf(stderr, "caller: %s can't be written\n", name);
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
		(int)caller->wrong, "requests_refused", (int)caller->refused,
		"requests_unresolved", (int)caller->unresolved,
		"connects_timed_out", (int)caller->lost_connect,
		"imbalance_mean",
		caller->imbalance_samples
			? caller->imbalance_sum / caller->imbalance_samples
			: 0.0,
		"imbalance_max", caller->worst_imbalance);
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
	fprintf(stderr, "caller: at least one --load is needed\n");
	return false;
}

int caller_main(int argc, char **argv)
{
	const char *runs_file = standin_option(argc, argv, "--runs-file");
	const char *source = standin_option(argc, argv, "--source");
	struct jt_address listen, fabric, inner;
	struct caller *caller;
	char text[64];
	bool finished, failed;

	if (standin_help(argc, argv, usage))
		return EXIT_DONE;
	if (!standin_address(argc, argv, "--listen", &listen) ||
	    !standin_address(argc, argv, "--fabric", &fabric))
		return EXIT_USAGE;
	snprintf(text, sizeof(text), "%s:1", source ? source : "");
	if (jt_address_parse(text, &inner) != 0) {
		fprintf(stderr, "caller: --source IP is needed\n");
		return EXIT_USAGE;
	}
	caller = talloc_zero(NULL, struct caller);
	if (!caller_arguments(caller, argc, argv))
		return EXIT_USAGE;
	caller->loop = standin_loop(caller, &finished);
	caller->stack = stack_create(caller, caller->loop, listen, fabric);
	if (caller->stack == NULL ||
	    stack_add_address(caller->stack, inner.ip) != 0) {
		perror("caller");
		return EXIT_FAILED;
	}
	caller->refused_ids = json_array();
	caller->answered_ids = json_array();
	caller->started_ms = jt_clock_ms();
	caller->end_ms = caller->started_ms +
			 (uint64_t)(1000 * standin_number(argc, argv,
							  "--duration-s", 30));
	tevent_add_timer(caller->loop, caller, tevent_timeval_current(),
			 on_tick, caller);
	while (!caller->done && !finished)
		tevent_loop_once(caller->loop);
	if (runs_file != NULL)
		write_runs(caller, runs_file);
	print_result(caller);
	failed = caller->broken > 0 || caller->misdelivered > 0 ||
		 caller->wrong > 0 || caller->unresolved > 0;
	json_decref(caller->refused_ids);
	json_decref(caller->answered_ids);
	talloc_free(caller);
	return failed ? EXIT_FAILED : EXIT_DONE;
}
