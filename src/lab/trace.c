/*
 * Traces: the packets and faults of a run, to be replayed and compared with
 * an expected outcome.
 *
 * A trace is a sequence of JSON lines. The first holds the seed of the
 * cluster, its zones and the loss rate; each further one is a packet at a
 * node, a fault, a configuration or a health page; the last is the expected
 * outcome. Replay drives the decision library without clients or endpoints.
 */
#include "lab.h"
#include "trace.h"
#include "world.h"

#include "jt_net.h"

#include <argtable2.h>
#include <stdlib.h>
#include <string.h>

enum { FLOW_LIMIT = 1 << 20 };

/* Decisions about one flow during a replay. */
struct replay_flow {
	struct jt_flow_key key;
	uint32_t endpoint; /* IP address; 0: none yet */
	bool refused;
};

struct replay {
	struct jt_scheduler *scheduler;
	struct jt_cluster *cluster;
	struct replay_flow *flows; /* open addressing by key */
	json_t *pages;		   /* health pages by endpoint id */
	json_t *services;	   /* unused */
	uint64_t forwarded, refused, moved, refused_and_forwarded, unknown;
	uint64_t flows_seen;
	bool other_service;
};

void trace_config(FILE *trace, uint64_t time_us, const struct jt_config *config)
{
	json_t *row = json_object();
	json_t *services = json_array(), *endpoints = json_array();
	json_t *groups = json_array(), *addresses = json_array();
	json_t *shares = json_array();
	char *text;

	for (size_t i = 0; i < config->service_count; i++)
		json_array_append_new(
			services,
			json_pack(
				"[I,i,i]", (json_int_t)config->services[i].id,
				(int)config->services[i].kind,
				(int)config->services[i].load_placed_permille));
	for (size_t i = 0; i < config->endpoint_count; i++) {
		const struct jt_endpoint_config *e = &config->endpoints[i];

		json_array_append_new(
			endpoints,
			json_pack("[I,i,I,i,i,i,b]", (json_int_t)e->id,
				  (int)e->service, (json_int_t)e->address.ip,
				  (int)e->address.port, (int)e->slots,
				  (int)e->connections, (int)e->draining));
	}
	for (size_t i = 0; i < config->group_count; i++)
		json_array_append_new(
			groups, json_integer((json_int_t)config->groups[i].id));
	for (size_t i = 0; i < config->address_count; i++) {
		const struct jt_address_config *a = &config->addresses[i];

		json_array_append_new(
			addresses,
			json_pack("[I,i,i,i]", (json_int_t)a->address.ip,
				  (int)a->address.port, (int)a->service,
				  (int)a->group));
	}
	for (size_t i = 0; i < config->share_count; i++)
		json_array_append_new(shares,
				      json_pack("[i,i,i]",
						(int)config->shares[i].service,
						(int)config->shares[i].group,
						(int)config->shares[i].weight));
	json_object_set_new(row, "t", json_integer((json_int_t)time_us));
	json_object_set_new(row, "config",
			    json_pack("{s:I,s:o,s:o,s:o,s:o,s:o}", "revision",
				      (json_int_t)config->revision, "services",
				      services, "endpoints", endpoints,
				      "groups", groups, "addresses", addresses,
				      "shares", shares));
	text = json_dumps(row, JSON_COMPACT);
	fprintf(trace, "%s\n", text);
	free(text);
	json_decref(row);
}

static json_int_t integer_at(const json_t *list, size_t index)
{
	return json_integer_value(json_array_get(list, index));
}

static void read_services(struct jt_config *c, const json_t *rows)
{
	c->service_count = json_array_size(rows);
	c->services = talloc_zero_array(c, struct jt_service_config,
					c->service_count + 1);
	for (size_t i = 0; i < c->service_count; i++) {
		const json_t *s = json_array_get(rows, i);

		c->services[i].id = (uint32_t)integer_at(s, 0);
		c->services[i].kind = (enum jt_service_kind)integer_at(s, 1);
		c->services[i].load_placed_permille =
			(uint32_t)integer_at(s, 2);
	}
}

static void read_groups(struct jt_config *c, const json_t *rows)
{
	c->group_count = json_array_size(rows);
	c->groups = talloc_zero_array(c, struct jt_group_config,
				      c->group_count + 1);
	for (size_t i = 0; i < c->group_count; i++)
		c->groups[i].id = (uint32_t)integer_at(rows, i);
}

static bool read_endpoints(struct jt_config *c, const json_t *rows)
{
	c->endpoint_count = json_array_size(rows);
	c->endpoints = talloc_zero_array(c, struct jt_endpoint_config,
					 c->endpoint_count + 1);
	for (size_t i = 0; i < c->endpoint_count; i++) {
		const json_t *e = json_array_get(rows, i);
		struct jt_endpoint_config *to = &c->endpoints[i];

		to->id = (uint32_t)integer_at(e, 0);
		to->service = (uint32_t)integer_at(e, 1);
		to->address.ip = (uint32_t)integer_at(e, 2);
		to->address.port = (uint16_t)integer_at(e, 3);
		to->slots = (uint32_t)integer_at(e, 4);
		to->connections = (uint32_t)integer_at(e, 5);
		to->draining = json_is_true(json_array_get(e, 6));
		if (to->service >= c->service_count)
			return false;
	}
	return true;
}

static bool read_addresses(struct jt_config *c, const json_t *rows)
{
	c->address_count = json_array_size(rows);
	c->addresses = talloc_zero_array(c, struct jt_address_config,
					 c->address_count + 1);
	for (size_t i = 0; i < c->address_count; i++) {
		const json_t *a = json_array_get(rows, i);
		struct jt_address_config *to = &c->addresses[i];

		to->address.ip = (uint32_t)integer_at(a, 0);
		to->address.port = (uint16_t)integer_at(a, 1);
		to->protocol = JT_PROTOCOL_TCP;
		to->service = (uint32_t)integer_at(a, 2);
		to->group = (uint32_t)integer_at(a, 3);
		if (to->service >= c->service_count ||
		    to->group >= c->group_count)
			return false;
	}
	return true;
}

static bool read_shares(struct jt_config *c, const json_t *rows)
{
	c->share_count = json_array_size(rows);
	c->shares = talloc_zero_array(c, struct jt_share_config,
				      c->share_count + 1);
	for (size_t i = 0; i < c->share_count; i++) {
		const json_t *s = json_array_get(rows, i);
		struct jt_share_config *to = &c->shares[i];

		to->service = (uint32_t)integer_at(s, 0);
		to->group = (uint32_t)integer_at(s, 1);
		to->weight = (uint32_t)integer_at(s, 2);
		if (to->service >= c->service_count ||
		    to->group >= c->group_count)
			return false;
	}
	return true;
}

/* Parses a configuration; returns NULL if it is malformed. */
static struct jt_config *read_config(TALLOC_CTX *mem_ctx, const json_t *row)
{
	struct jt_config *c = talloc_zero(mem_ctx, struct jt_config);

	c->revision =
		(uint64_t)json_integer_value(json_object_get(row, "revision"));
	read_services(c, json_object_get(row, "services"));
	read_groups(c, json_object_get(row, "groups"));
	if (!read_endpoints(c, json_object_get(row, "endpoints")) ||
	    !read_addresses(c, json_object_get(row, "addresses")) ||
	    !read_shares(c, json_object_get(row, "shares")))
		TALLOC_FREE(c);
	return c;
}

static bool same_key(const struct jt_flow_key *a, const struct jt_flow_key *b)
{
	return a->source == b->source && a->source_port == b->source_port &&
	       a->destination == b->destination &&
	       a->destination_port == b->destination_port;
}

static struct replay_flow *find_flow(struct replay *replay,
				     const struct jt_flow_key *key)
{
	size_t slot = (key->source * 2654435761u ^ key->source_port * 40503u ^
		       key->destination) %
		      FLOW_LIMIT;

	while (replay->flows[slot].key.protocol != 0 &&
	       !same_key(&replay->flows[slot].key, key))
		slot = (slot + 1) % FLOW_LIMIT;
	if (replay->flows[slot].key.protocol == 0) {
		replay->flows[slot].key = *key;
		replay->flows_seen++;
	}
	return &replay->flows[slot];
}

static void on_outcome(void *private_data,
		       const struct jt_packet_outcome *outcome)
{
	struct replay *replay = private_data;
	struct replay_flow *flow = find_flow(replay, &outcome->key);

	if (outcome->kind == JT_PACKET_REFUSED) {
		replay->refused++;
		replay->refused_and_forwarded += flow->endpoint != 0;
		flow->refused = true;
	}
	if (outcome->kind != JT_PACKET_FORWARDED)
		return;
	replay->forwarded++;
	replay->refused_and_forwarded += flow->refused;
	if (flow->endpoint == 0)
		flow->endpoint = outcome->endpoint.ip;
	else if (flow->endpoint != outcome->endpoint.ip)
		replay->moved++;
}

static bool read_health(void *private_data, uint32_t endpoint_id,
			struct jt_health *health)
{
	struct replay *replay = private_data;
	char name[16];
	const json_t *page;

	snprintf(name, sizeof(name), "%u", endpoint_id);
	page = json_object_get(replay->pages, name);
	if (page == NULL)
		return false;
	*health = (struct jt_health){
		.endpoint_id = endpoint_id,
		.flags = (unsigned)integer_at(page, 0),
		.load = (uint32_t)integer_at(page, 1),
		.incarnation = (uint8_t)integer_at(page, 2),
	};
	return true;
}

static void replay_packet(struct replay *replay, const json_t *packet)
{
	struct jt_flow_key key;

	memset(&key, 0, sizeof(key));
	key.source = (uint32_t)integer_at(packet, 1);
	key.source_port = (uint16_t)integer_at(packet, 2);
	key.destination = (uint32_t)integer_at(packet, 3);
	key.destination_port = (uint16_t)integer_at(packet, 4);
	key.protocol = JT_PROTOCOL_TCP;
	if (integer_at(packet, 0) <
	    (json_int_t)jt_cluster_node_count(replay->cluster))
		jt_cluster_packet(replay->cluster,
				  (uint16_t)integer_at(packet, 0), &key,
				  (uint8_t)integer_at(packet, 5), 0);
}

static void replay_fault(struct replay *replay, const char *kind,
			 const json_t *value)
{
	uint16_t a = (uint16_t)integer_at(value, 0);
	unsigned b = (unsigned)integer_at(value, 1);
	struct jt_cluster *cluster = replay->cluster;

	if (strcmp(kind, "start") == 0)
		jt_cluster_start(cluster, a, b);
	else if (strcmp(kind, "crash") == 0)
		jt_cluster_crash(cluster, a);
	else if (strcmp(kind, "pause") == 0)
		jt_cluster_pause(cluster, a);
	else if (strcmp(kind, "resume") == 0)
		jt_cluster_resume(cluster, a);
	else if (strcmp(kind, "leave") == 0)
		jt_cluster_leave(cluster, a);
	else if (strcmp(kind, "cut") == 0 || strcmp(kind, "mend") == 0)
		jt_cluster_set_partition(cluster, a, b, kind[0] == 'c');
	else if (strcmp(kind, "store_down") == 0)
		jt_cluster_set_store_down(cluster, a != 0);
	else if (strcmp(kind, "page") == 0)
		json_object_set_new(replay->pages,
				    json_string_value(json_array_get(value, 0)),
				    json_incref(json_array_get(value, 1)));
	else
		replay->unknown++;
}

static bool replay_row(struct replay *replay, const json_t *row)
{
	const char *kind;
	json_t *value;

	jt_scheduler_run(replay->scheduler, (uint64_t)json_integer_value(
						    json_object_get(row, "t")));
	json_object_foreach ((json_t *)row, kind, value) {
		struct jt_config *config;

		if (strcmp(kind, "t") == 0)
			continue;
		if (strcmp(kind, "packet") == 0) {
			replay_packet(replay, value);
		} else if (strcmp(kind, "config") == 0) {
			config = read_config(replay, value);
			if (config == NULL)
				return false;
			jt_cluster_configure(replay->cluster, config, NULL,
					     NULL);
		} else {
			replay_fault(replay, kind, value);
		}
	}
	return true;
}

static void start_replay(struct replay *replay, const json_t *head,
			 unsigned injected_faults)
{
	struct jt_cluster_options options;

	jt_cluster_options_init(&options);
	options.seed =
		(uint64_t)json_integer_value(json_object_get(head, "seed"));
	options.zone_count =
		(unsigned)json_integer_value(json_object_get(head, "zones"));
	options.loss_per_million = (uint32_t)json_integer_value(
		json_object_get(head, "loss_per_million"));
	options.injected_faults = injected_faults;
	options.on_outcome = on_outcome;
	options.read_health = read_health;
	options.private_data = replay;
	replay->scheduler = jt_scheduler_create(replay);
	replay->cluster =
		jt_cluster_create(replay, replay->scheduler, &options);
	replay->flows =
		talloc_zero_array(replay, struct replay_flow, FLOW_LIMIT);
	replay->pages = json_object();
}

/* Compares the metrics with the conditions "=N", "<N" or ">N" of an outcome. */
static bool check_outcome(const struct replay *replay, const json_t *expected)
{
	const struct {
		const char *name;
		uint64_t value;
	} metrics[] = {
		{"flows", replay->flows_seen},
		{"forwarded", replay->forwarded},
		{"refused", replay->refused},
		{"moved", replay->moved},
		{"refused_and_forwarded", replay->refused_and_forwarded},
	};
	bool met = true;

	for (size_t i = 0; i < sizeof(metrics) / sizeof(metrics[0]); i++) {
		const char *condition = json_string_value(
			json_object_get(expected, metrics[i].name));
		uint64_t bound =
			condition ? strtoull(condition + 1, NULL, 10) : 0;
		bool ok = condition == NULL ||
			  (condition[0] == '=' && metrics[i].value == bound) ||
			  (condition[0] == '<' && metrics[i].value < bound) ||
			  (condition[0] == '>' && metrics[i].value > bound);

		printf("%-24s %10llu  expected %-12s %s\n", metrics[i].name,
		       (unsigned long long)metrics[i].value,
		       condition ? condition : "-", ok ? "ok" : "FAILED");
		met &= ok;
	}
	return met;
}

static int replay_file(FILE *file, unsigned injected_faults)
{
	struct replay *replay = talloc_zero(NULL, struct replay);
	const json_t *expected;
	json_t *row = NULL;
	json_error_t error;
	int result = LAB_USAGE;
	unsigned long line = 0;

	while ((row = json_loadf(file, JSON_DISABLE_EOF_CHECK, &error))) {
		line++;
		expected = json_object_get(row, "outcome");
		if (json_object_get(row, "seed") != NULL &&
		    replay->cluster == NULL) {
			start_replay(replay, row, injected_faults);
		} else if (replay->cluster == NULL) {
			break;
		} else if (expected != NULL) {
			result = check_outcome(replay, expected) ? LAB_DONE
								 : LAB_FAILED;
		} else if (!replay_row(replay, row)) {
			break;
		}
		json_decref(row);
		row = NULL;
	}
	json_decref(row);
	if (result == LAB_USAGE || replay->unknown > 0) {
		fprintf(stderr,
			"replay: line %lu is not a valid trace record\n",
			line + 1);
		result = LAB_USAGE;
	}
	json_decref(replay->pages);
	talloc_free(replay);
	return result;
}

int lab_replay(int argc, char **argv)
{
	struct arg_file *trace =
		arg_file0(NULL, NULL, "TRACE", "trace file, JSON lines");
	struct arg_int *faults =
		arg_int0(NULL, "break", "FLAGS",
			 "faults to inject: flags of enum jt_fault");
	struct arg_lit *help = arg_lit0("h", "help", "this text");
	struct arg_end *end = arg_end(4);
	void *table[] = {trace, faults, help, end};
	int errors = arg_parse(argc, argv, table);
	int result = LAB_USAGE;
	FILE *file;

	if (help->count > 0) {
		result = lab_help("replay", table);
	} else if (errors > 0 || trace->count == 0) {
		fprintf(stderr, "replay: TRACE is required\n");
	} else {
		file = fopen(trace->filename[0], "r");
		if (file == NULL) {
			perror(trace->filename[0]);
		} else {
			result = replay_file(
				file,
				faults->count ? (unsigned)faults->ival[0] : 0);
			fclose(file);
		}
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result;
}
