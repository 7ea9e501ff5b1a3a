/*
 * A small stand-in for the users' platform: store, routers, endpoints and
 * clients in one process, around director nodes that run as processes of their
 * own. Everything uses loopback addresses and the real clock.
 *
 * All times are milliseconds since the start of the run.
 */
#ifndef WORLD_H
#define WORLD_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum {
	NODES = 7,
	ZONES = 3,
	ENDPOINT_LIMIT = 64,
	CLIENT_LIMIT = 64,
	FLOW_LIMIT = 60000,

	DATA_PORT = 8172,
	READY_PORT = 8167,
	PEER_PORT = 7720,
	STORE_PORT = 8169,
	ENDPOINT_PORT = 8367,
	ENDPOINT_BACKLOG = 64, /* new connections that wait */

	/* The bounds of the small deployments. */
	CONTACT_MS = 4000,
	CONFIG_APPLY_MS = 3000,
	HEARTBEAT_MS = 1200,
	ADDRESS_REUSE_MS = 2000,

	EXIT_HELD = 0,
	EXIT_BROKEN = 1,
	EXIT_NOT_RUN = 2,
};

/* Event loop */

typedef void (*fd_callback)(int fd, short events, void *argument);
typedef void (*timer_callback)(void *argument);

uint64_t now_ms(void);
void fd_watch(int fd, short events, fd_callback callback, void *argument);
void fd_unwatch(int fd);
void timer_add(uint64_t delay_ms, timer_callback callback, void *argument);
/* Runs the loop until that time. */
void run_until(uint64_t until_ms);
/* Writes a line to record.txt, with the time. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Ends the run: the case could not be played. */
void not_run(const char *format, ...)
	__attribute__((format(printf, 1, 2), noreturn));
uint32_t draw(uint32_t below); /* a random number, the same in every run */

/* Addresses: 127.B.network.host, where B is free on this machine. */
uint32_t world_ip(unsigned network, unsigned host);
void world_address(uint32_t ip, uint16_t port, struct sockaddr_in *address);
int udp_open(uint32_t ip, uint16_t port);
int tcp_listen(uint32_t ip, uint16_t port, int backlog);

/* Starts the loop; @folder is for record.txt, @scratch for settings. */
void world_start(const char *folder, const char *scratch, const char *program);
extern const char *world_scratch, *world_program;
extern bool trouble; /* false: play the case without its disruption */

/* Packets of PROTOCOL.md */

enum { HEADER = 32, DATA_MAX = 1200 };
enum { SYN = 4, ACK = 128, FIN = 32, RST = 16 };

struct packet {
	uint32_t source, destination, label, sum, sequence, acknowledged;
	uint16_t source_port, destination_port, length;
	uint8_t flags;
	char data[DATA_MAX + 1];
};

size_t packet_encode(struct packet *packet, uint8_t *bytes); /* sets sum */
bool packet_decode(const uint8_t *bytes, size_t size, struct packet *packet);
bool packet_sum_valid(const struct packet *packet);

/* Store */

void store_start(void);
/* Changes a key now; NULL @value removes it. Returns the revision. */
uint64_t store_put(const char *key, const char *value);
bool store_has(const char *key);
/* Reads with stale=1 show the state of that long ago. */
void store_stale_lag(uint64_t lag_ms);
/* Returns the node that has waited longest in a watch of 5 s or more, or
 * -1. */
int store_watcher(void);

/* Configuration: routes to one of the two services each */

enum { SERVICE_PLANILLA, SERVICE_INFORMES, SERVICES };
extern const char *const service_names[SERVICES];
struct route {
	uint32_t ip; /* of the platform, only in packets */
	uint16_t port;
	int service;
};
/* Writes a configuration with the next version. Returns the time of the
 * store's acknowledgement. */
uint64_t config_put(const struct route *routes, size_t count);

/* Nodes and routers */

struct node {
	pid_t pid; /* 0: not running */
	int zone;
	bool in; /* routers use it */
	int missed;
	uint64_t disturbed_ms; /* end of its last disruption */
	bool stopped;	       /* by SIGSTOP */
	uint64_t restart_ms;   /* 0: none is due */
};
extern struct node nodes[NODES];
extern const char *const zone_names[ZONES];
extern const int node_zones[NODES];

void nodes_start(void);
void node_signal(int node, int signal);
void nodes_stop(void);
/* Returns the node to which routers send the flow. */
int route_flow(int zone, uint32_t ip, uint16_t port, uint32_t to,
	       uint16_t to_port);
/* Returns the node with that address, or -1. */
int node_by_ip(uint32_t ip);
/* Returns true if nothing disturbed the node in the last contactMs. */
bool node_in_touch(int node, uint64_t at_ms);

/* Endpoints */

/* Endpoints that can hold one flow; slots and queue of an endpoint. */
enum { ENDS = 3, SLOTS = 2, QUEUE = 8 };

struct endpoint {
	uint64_t id;
	int service, zone;
	uint32_t ip;
	int udp, tcp; /* -1: it has ended */
	bool alive, draining;
	bool beats; /* its heartbeats reach the store */
	uint64_t started_ms, last_beat_ms;
	unsigned calls;
	int working;	  /* requests in progress */
	int queue[QUEUE]; /* flows whose request waits */
	int queued;
	uint32_t work_ms; /* of each request */
	uint32_t cold_ms;
	bool accepting; /* takes new connections from its queue */
};
extern struct endpoint endpoints[ENDPOINT_LIMIT];
extern int endpoint_count;

/* Starts an endpoint that is cold for @cold_ms; @backlog is the length of its
 * queue of new connections. */
int endpoint_start(int service, int zone, unsigned host, uint32_t cold_ms,
		   int backlog);
void endpoint_crash(int endpoint);
/* Writes its entry, as at each heartbeat. */
void endpoint_beat(int endpoint);
void endpoint_document(int endpoint, char *text, size_t size);
void endpoint_key(int endpoint, char *text, size_t size);

/* Clients */

enum flow_state {
	FLOW_OPENING,
	FLOW_OPEN,
	FLOW_CLOSED,
	FLOW_FAILED,
	FLOW_RESET,
};

/* A flow as one endpoint holds it. */
struct flow_end {
	int endpoint; /* -1: unused */
	bool open, closed;
	uint32_t sequence;     /* of its next byte */
	uint32_t acknowledged; /* by the client */
	uint32_t expected;     /* next byte from the client */
	uint32_t label;
	unsigned packets;     /* with data, received */
	bool queued, working; /* a request */
	uint64_t work_end_ms;
	uint32_t request_id;
	char response[256];
	uint16_t response_length; /* 0: none is unacknowledged */
	uint64_t sent_ms, wait_ms;
	unsigned tries;
};

struct flow {
	int client;
	uint16_t port;
	struct route route;
	enum flow_state state;
	uint64_t opened_ms; /* at its endpoint; 0: not open */
	uint64_t first_ms;  /* when its SYN was sent */
	uint64_t next_ms;   /* when the client acts next */
	uint64_t sent_ms;   /* last transmission of what is not answered */
	uint64_t wait_ms;   /* until it is sent again */
	uint32_t sequence;  /* of the next byte to send */
	uint32_t received;  /* next byte expected */
	uint32_t label;
	unsigned copies;
	unsigned requests, limit;
	uint32_t pause_ms; /* between two requests */
	bool waiting;	   /* for the response to a request */
	int via;	   /* node that took its last packet */
	unsigned packets;  /* with data, received */
	uint32_t request_id;
	struct flow_end ends[ENDS];
};
extern struct flow flows[FLOW_LIMIT];
extern int flow_count;

int client_add(int zone);
uint32_t client_ip(int client);
/* Opens a flow with that many requests; @port 0: the next free one. Returns
 * its number. */
int flow_open(int client, struct route route, unsigned requests,
	      uint32_t pause_ms, uint16_t port);
/* Sends the next request of an open flow now. */
void flow_request_now(int flow);
int flow_find(uint32_t ip, uint16_t port);
/* Returns the endpoint at which the flow is open, or -1. */
int flow_holder(const struct flow *flow);
/* Sends a packet of an endpoint to the flow's client. */
void endpoint_send(struct flow *flow, struct flow_end *end, uint8_t flags,
		   const char *data, uint16_t length);
void endpoints_tick(void);
void endpoints_prepare(void);

/* Called by the stand-ins; each case defines what it checks. */

/* A SYN reached an endpoint through a node. */
void on_syn_taken(int flow, int endpoint, int node, uint64_t sent_ms);
/* A reset that @node sent reached the client. @open: the flow was open at
 * @endpoint. */
void on_node_reset(int flow, int node, bool open, int endpoint);

extern int violations;

/* The case: starts with all nodes ready and the small deployment's endpoints
 * registered, and returns when it has been played. */
void play(void);

/* The small deployment: 14 endpoints of planilla and 4 of informes. */
enum { DEPLOYED = 18 };
extern const struct route route_planilla, route_informes, route_switched;
/* Lets clients of all zones open flows of @requests requests at the route, one
 * every @every_ms in each zone, from now on; 0 ends it. */
void traffic_set(struct route route, unsigned requests, uint32_t pause_ms,
		 uint32_t every_ms);
/* Returns the first endpoint of the service in the zone. */
int endpoint_of(int service, int zone);
/* Records that the rule was broken. */
void broken(const char *rule, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

#endif
