/*
 * A randomized soak test of director nodes: real jaspertrack-director processes
 * on loopback addresses, with faults injected from outside.
 *
 * This process simulates everything around the nodes (store, routers, clients,
 * endpoints, and a proxy between each node and the store) and so observes what
 * clients and endpoints observe. The oracle (soak_oracle.c) checks the
 * guarantees from these observations alone, never from the state of a node.
 *
 * All times are milliseconds of the monotonic clock.
 */
#ifndef SOAK_H
#define SOAK_H

#include "jt_http_client.h"
#include "jt_http_server.h"
#include "jt_net.h"
#include "jt_platform.h"
#include "jt_random.h"
#include "jt_timer.h"
#include "soak_schedule.h"

#include <stdio.h>
#include <sys/types.h>

enum {
	SOAK_EXIT_ERROR = 2, /* bad usage, or the run can't be set up */
	SOAK_NODES_MIN = 5,
	SOAK_NODES_MAX = 200,
	SOAK_ZONES = 3,
	SOAK_SERVICES = 2,
	SOAK_ENDPOINTS = 400, /* incarnations in the whole run */
	SOAK_ADDRESSES = 8,   /* of concurrently running endpoints */
	SOAK_VERSIONS = 2000,
	SOAK_CALLERS = 6,
	SOAK_FLOWS = 4096,	 /* of one client in the whole run */
	SOAK_FLOW_REQUESTS = 64, /* of one flow */

	SOAK_DRAIN_MS = 3000,
	SOAK_CONFIG_MS = 3000,
	SOAK_ZONE_DRAIN_MS = 3000,
	SOAK_ROLLBACK_MS = 250,
	SOAK_SETTLE_MS = 4000,
	SOAK_GRACE_MS = 3000,
	SOAK_RECOVERY_MS = 12000,
	SOAK_REUSE_MS = 2000,
	SOAK_IDLE_MS = 15000, /* configured limit */

	SOAK_PACKET_PORT = 28172,
	SOAK_READY_PORT = 28167,
	SOAK_PEER_PORT = 27720,
	SOAK_STORE_PORT = 28169,
	SOAK_ENDPOINT_PORT = 28081,
	SOAK_ROUTE_IP = 0xc6120001,
	SOAK_STEADY_PORT = 443,	 /* always routes to the first service */
	SOAK_SWITCH_PORT = 8443, /* its service depends on the version */
};

/* Loopback networks: 127.x.0.0/16 for each kind, offset by slot. */
enum soak_net {
	SOAK_NODE_NET = 0x7f460000,
	SOAK_STORE_NET = 0x7f470000,
	SOAK_ENDPOINT_NET = 0x7f480000,
	SOAK_CALLER_NET = 0x7f490000,
	SOAK_SLOT_STRIDE = 0x00040000, /* offset between two slots */
	SOAK_SLOTS = 16,	       /* concurrent runs */
};

/* What a random number is drawn for by soak_draw(). */
enum soak_draw_kind {
	SOAK_DRAW_RUN, /* the run as a whole */
	SOAK_DRAW_PACKET_LOST,
	SOAK_DRAW_PACKET_DUPLICATED,
	SOAK_DRAW_PACKET_DELAY,
	SOAK_DRAW_RESPONSE_LOST, /* packets sent by an endpoint */
	SOAK_DRAW_RESPONSE_DUPLICATED,
	SOAK_DRAW_RESPONSE_DELAY,
	SOAK_DRAW_FLOW_GAP, /* before the client's next flow */
	SOAK_DRAW_FLOW_ROUTE,
	SOAK_DRAW_FLOW_REQUESTS,
	SOAK_DRAW_FLOW_PAUSE,
	SOAK_DRAW_REQUEST_DURATION, /* processing time of a request */
	SOAK_DRAW_ENDPOINT_ID,
	SOAK_DRAW_ENDPOINT_END_DELAY, /* after its announced end */
	SOAK_DRAW_ENDPOINT_SERVICE,   /* of its successor */
	SOAK_DRAW_RESTART_DELAY,      /* after a kill */
};

/* Packets in the format of PROTOCOL.md. */
enum {
	SOAK_HEADER_SIZE = 32,
	SOAK_SYN = 4,
	SOAK_ACK = 128,
	SOAK_FIN = 32,
	SOAK_RST = 16,
};

struct soak_packet {
	uint32_t source, destination;
	uint16_t source_port, destination_port;
	uint32_t label, checksum, sequence, acknowledged;
	uint8_t flags;
	size_t length;
	char data[1201];
};

size_t soak_packet_encode(const struct soak_packet *packet, uint8_t *data);
bool soak_packet_decode(const uint8_t *data, size_t length,
			struct soak_packet *packet);

/* Proxy between a node and the store */

enum soak_link {
	SOAK_LINK_PASS,
	SOAK_LINK_DELAY,   /* delays data by 300 ms */
	SOAK_LINK_RESET,   /* resets connections */
	SOAK_LINK_SILENT,  /* passes nothing */
	SOAK_LINK_ONE_WAY, /* passes requests but no responses */
	SOAK_LINK_STALE,   /* silences open connections; new ones work */
	SOAK_LINKS,
};

struct soak;
struct soak_network;
struct soak_proxy;
struct soak_proxy *soak_proxy_create(struct soak *soak,
				     struct jt_address listen,
				     struct jt_address to);
void soak_proxy_set(struct soak_proxy *proxy, enum soak_link link);
const char *soak_link_name(enum soak_link link);

/* The store */

struct soak_store;
struct soak_store *soak_store_create(struct soak *soak);
/* Sets the key and returns the revision of the change. NULL @value: removes
 * the key. */
uint64_t soak_store_put(struct soak_store *store, const char *key,
			const char *value);
/* Answers all requests with 503 until @until_ms. */
void soak_store_down(struct soak_store *store, uint64_t until_ms);
/* Answers requests of the node with 429 until @until_ms. */
void soak_store_throttle(struct soak_store *store, int node, uint64_t until_ms);
/* Stale reads show the revision of @lag_ms ago until @until_ms. */
void soak_store_lag(struct soak_store *store, uint64_t lag_ms,
		    uint64_t until_ms);
/* Discards the history and ends the watches with 410. */
void soak_store_compact(struct soak_store *store);
/* Returns the time of the last fault of the store; 0: never. */
uint64_t soak_store_disturbed_ms(const struct soak_store *store);

/* Nodes */

struct soak_node {
	pid_t pid; /* 0: not running */
	uint32_t zone;
	bool paused;  /* by SIGSTOP */
	bool leaving; /* SIGTERM was sent */
	bool ready;
	bool was_ready; /* since it was started */
	unsigned failed_checks;
	unsigned starts;
	unsigned settings_version;  /* number of changes */
	uint64_t unrouted_until_ms; /* routers leave it out until then */
	uint64_t started_ms;
	uint64_t sigterm_ms;
	uint64_t restart_ms;   /* time of the next start, 0: it runs */
	uint64_t disturbed_ms; /* last fault of this node */
	uint64_t last_down_ms; /* last time that it was not running or paused */
	uint64_t paused_until_ms;     /* 0: not paused */
	uint64_t link_fault_until_ms; /* 0: its store connections work */
	uint64_t version_seen;	      /* observed in use since its start */
	uint64_t version_seen_ms;
	struct soak_proxy *proxy;
};

void soak_nodes_create(struct soak *soak);
void soak_node_start(struct soak *soak, int node);
void soak_node_signal(struct soak *soak, int node, int signum);
void soak_node_pause(struct soak *soak, int node, uint64_t until_ms);
void soak_node_link(struct soak *soak, int node, enum soak_link link,
		    uint64_t until_ms);
/* Writes its settings with other seeds and sends SIGHUP. */
void soak_node_reload(struct soak *soak, int node);
/* Ends all faults of the node. */
void soak_node_end_faults(struct soak *soak, int node, uint64_t now_ms);
/* Collects ended processes, starts those that are due and checks readiness. */
void soak_nodes_tick(struct soak *soak);
void soak_nodes_stop(struct soak *soak);
/* Reports @what with errno, stops the nodes and exits. */
void soak_fatal(struct soak *soak, const char *what) __attribute__((noreturn));
/* Returns the node that routers pick for the flow. */
int soak_node_route(const struct soak *soak, uint32_t zone, uint32_t hash);
/* Returns true if the node had no fault for SOAK_SETTLE_MS before @since_ms. */
bool soak_node_undisturbed(const struct soak *soak, int node,
			   uint64_t since_ms);
struct jt_address soak_node_address(const struct soak *soak, int node,
				    uint16_t port);
/* Returns the node with the address. */
int soak_node_by_ip(const struct soak *soak, uint32_t ip);

/* Endpoints */

enum soak_endpoint_state { SOAK_ALIVE, SOAK_DRAINING, SOAK_ENDED };

struct soak_endpoint {
	uint64_t id;
	uint64_t start_ms; /* start time of the incarnation */
	uint32_t service;
	uint32_t zone;
	int address_index;   /* -1: another endpoint has its address */
	unsigned generation; /* number of its incarnations at that address */
	enum soak_endpoint_state state;
	bool listed;
	bool blackhole;		  /* its address is bound but doesn't respond */
	uint64_t no_new_flows_ms; /* published as leaving or removed; 0: not */
	uint64_t end_ms;	  /* planned or actual end */
	uint64_t disturbed_ms;	  /* end of its last network outage */
	uint64_t entry_valid_ms;  /* its entry is valid since then */
	uint64_t corrupted_until_ms; /* 0: its entry is its own */
	uint64_t silent_until_ms;
	struct soak_listener *listener;
};

void soak_endpoints_create(struct soak *soak);
int soak_endpoint_start(struct soak *soak, uint32_t service, int address_index);
void soak_endpoint_drain(struct soak *soak, int endpoint, bool by_removal);
void soak_endpoint_crash(struct soak *soak, int endpoint, bool blackhole);
void soak_endpoint_disconnect(struct soak *soak, int endpoint, uint64_t for_ms);
/* Crashes the endpoint and restarts it at once under its id. */
void soak_endpoint_restart(struct soak *soak, int endpoint);
/* Overwrites its entry with an invalid one of that kind until @until_ms. */
void soak_endpoint_corrupt_entry(struct soak *soak, int endpoint, unsigned kind,
				 uint64_t until_ms);
void soak_endpoints_tick(struct soak *soak);
/* Returns the newest endpoint with the id, or -1. */
int soak_endpoint_by_id(const struct soak *soak, uint64_t id);
/* Returns the endpoint at the address now, or -1. */
int soak_endpoint_at(const struct soak *soak, unsigned address_index);

/* The network */

/* A packet in transit and the keys of its random draws. */
struct soak_datagram {
	int fd;
	struct jt_address to;
	const uint8_t *data;
	size_t length;
	uint64_t flow_id;
	uint64_t number;  /* of the packet in its flow */
	bool is_response; /* sent by an endpoint */
};

struct soak_network *soak_network_create(struct soak *soak);
/* Sends the packet, loses it, or sends it with a late duplicate. */
void soak_network_send(struct soak *soak, const struct soak_datagram *datagram);
/* Sends the delayed duplicates that are due. */
void soak_network_tick(struct soak *soak, uint64_t now_ms);

/* Clients */

void soak_callers_create(struct soak *soak);
void soak_callers_tick(struct soak *soak);
/* Returns the endpoint of the open flow, or -1 if it isn't open. */
int soak_flow_endpoint(const struct soak *soak, uint32_t caller_ip,
		       uint16_t port);
/* Records that @endpoint accepted the flow's first packet or a copy of it. A
 * copy may be assigned elsewhere if the node that assigned the first has
 * failed. */
void soak_flow_accepted(struct soak *soak, uint32_t caller_ip, uint16_t port,
			int endpoint);
/* Records that the flow is open at @endpoint. */
void soak_flow_opened(struct soak *soak, uint32_t caller_ip, uint16_t port,
		      int endpoint);
bool soak_flow_request_ran(struct soak *soak, uint32_t caller_ip, uint16_t port,
			   unsigned request);
/* Returns false if there is no such flow, else sets @sent_ms to the time of
 * its first packet. */
bool soak_flow_first_sent(const struct soak *soak, uint32_t caller_ip,
			  uint16_t port, uint64_t *sent_ms);

/* Oracle */

void soak_guarantee_violated(struct soak *soak, const char *guarantee,
			     const char *format, ...)
	__attribute__((format(printf, 3, 4)));
/* Checks a first packet that reached an endpoint through a node. */
void soak_check_first(struct soak *soak, int endpoint, int node,
		      uint16_t route_port, uint64_t sent_ms);
/* Checks that @endpoint accepted the flow's first packet, sent at @first_ms,
 * or a copy, after @accepted_by had accepted it. Returns true if packets of
 * the flow may now reach either endpoint, because the assigning node has
 * failed. */
bool soak_check_second_endpoint(struct soak *soak, int accepted_by,
				int endpoint, uint32_t caller_ip,
				uint16_t caller_port, uint64_t first_ms);
/* Checks a reset that a node sent for a first packet. */
void soak_check_refused(struct soak *soak, int node, uint16_t route_port,
			uint64_t sent_ms);
/* Checks a reset that a node sent for an open flow of the client. */
void soak_check_reset(struct soak *soak, int node, int endpoint,
		      uint32_t caller_ip, uint16_t caller_port);
/* Reports that a packet of an open flow reached another endpoint. */
void soak_check_misrouted(struct soak *soak, int endpoint, int owner, int node);
/* Drains the zone, or ends its drain. */
void soak_zone_toggle(struct soak *soak, uint32_t zone);
/* Publishes the next version; the service of the switch route alternates. */
void soak_version_publish(struct soak *soak);

struct soak_version {
	uint64_t acked_ms;
	uint32_t switch_service;
};

/* A zone as stored. */
struct soak_zone {
	bool drained;
	uint64_t changed_ms; /* last start or end of a drain, 0: never */
};

/* Options of the command line. */
struct soak_options {
	uint64_t seed;
	unsigned seconds; /* duration of the faults */
	unsigned nodes;
	unsigned slot;
	const char *program; /* of the node program */
	const char *folder;  /* of settings and logs */
	const char *faults;  /* file of faults, NULL: drawn from the seed */
};

struct soak {
	struct tevent_context *loop;
	struct jt_http_client *client;
	struct soak_options options;
	FILE *events;
	uint64_t events_ms; /* time spent writing events */
	int node_count;
	/* Routers keep an open flow at its node while its process runs,
	 * regardless of its readiness. */
	bool flows_sticky;
	uint64_t began_ms;
	uint64_t faults_ended_ms; /* end of the faults, 0: not yet */
	uint64_t lag_ms;	  /* longest time between two ticks */
	struct soak_store *store;
	struct soak_node nodes[SOAK_NODES_MAX];
	struct soak_endpoint endpoints[SOAK_ENDPOINTS];
	int endpoint_count;
	struct soak_callers *callers;
	struct soak_network *network;
	struct soak_version versions[SOAK_VERSIONS];
	uint64_t version; /* the newest version */
	struct soak_zone zones[SOAK_ZONES];
	unsigned drop_percent;
	unsigned duplicate_percent;
	uint64_t packet_faults_until_ms; /* end of both faults, 0: both are 0 */
	unsigned faults;
	unsigned broken;
	/* Counters of the clients. */
	uint64_t requests, answered, failed, resets, refused, packets_dropped;
	uint64_t recovered_requests, recovered_answered;
	uint64_t unexpected_exits;
};

/* Returns a number below @below that depends only on the seed, @kind, @which
 * and @number, so that every run of a seed draws the same. */
uint64_t soak_draw(const struct soak *soak, enum soak_draw_kind kind,
		   uint64_t which, uint64_t number, uint64_t below);
/* Returns the base address of the network in the run's slot. */
uint32_t soak_address(const struct soak *soak, enum soak_net net);

/* Applies a fault; logs and skips one whose target can't have it now. */
void soak_fault_apply(struct soak *soak, const struct soak_fault *fault);
/* Ends all faults. */
void soak_faults_end(struct soak *soak);

/* Logs when this process stalls, and what it waited for. */
struct soak_stalls;
struct soak_stalls *soak_stalls_create(struct soak *soak);
void soak_stalls_tick(struct soak_stalls *stalls, uint64_t now_ms);
/* Logs a call that began at @began_ms if it blocked the run for too long. */
void soak_stalls_call(struct soak *soak, const char *call, uint64_t began_ms);

void soak_log(struct soak *soak, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

#endif
