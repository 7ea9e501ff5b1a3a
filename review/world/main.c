/* Starts the small deployment, plays a case and reports. */
#include "world.h"

#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
	READY_LIMIT_MS = 10000,
	CLIENTS_PER_ZONE = 6,
	WAIT_FOR_START_MS = 500,
	RUN_LIMIT_S = 110,
};

const struct route route_planilla = {0xc6120001, 8080, SERVICE_PLANILLA};
const struct route route_informes = {0xc6120002, 8443, SERVICE_INFORMES};
/* Its service depends on the configuration. */
const struct route route_switched = {0xc6120001, 8443, SERVICE_PLANILLA};

static struct {
	struct route route;
	unsigned requests;
	uint32_t pause_ms, every_ms;
	uint64_t next_ms;
} traffic;

void broken(const char *rule, const char *format, ...)
{
	char text[512];
	va_list arguments;

	va_start(arguments, format);
	vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	record("BROKEN %s: %s", rule, text);
	violations++;
}

void traffic_set(struct route route, unsigned requests, uint32_t pause_ms,
		 uint32_t every_ms)
{
	traffic.route = route;
	traffic.requests = requests;
	traffic.pause_ms = pause_ms;
	traffic.every_ms = every_ms;
	traffic.next_ms = now_ms();
}

static void on_traffic(void *argument)
{
	if (traffic.every_ms > 0 && now_ms() >= traffic.next_ms) {
		traffic.next_ms = now_ms() + traffic.every_ms;
		for (int zone = 0; zone < ZONES; zone++)
			flow_open(zone * CLIENTS_PER_ZONE +
					  (int)draw(CLIENTS_PER_ZONE),
				  traffic.route, traffic.requests,
				  traffic.pause_ms, 0);
	}
	timer_add(5, on_traffic, argument);
}

int endpoint_of(int service, int zone)
{
	for (int i = 0; i < endpoint_count; i++) {
		if (endpoints[i].alive && endpoints[i].service == service &&
		    endpoints[i].zone == zone)
			return i;
	}
	not_run("no such endpoint");
}

static void deployment_start(void)
{
	static const int counts[SERVICES][ZONES] = {{5, 5, 4}, {2, 1, 1}};
	const struct route routes[] = {route_planilla, route_informes,
				       route_switched};
	unsigned host = 1;

	config_put(routes, sizeof(routes) / sizeof(routes[0]));
	for (int service = 0; service < SERVICES; service++) {
		for (int zone = 0; zone < ZONES; zone++) {
			for (int i = 0; i < counts[service][zone]; i++)
				endpoint_start(service, zone, host++, 0,
					       ENDPOINT_BACKLOG);
		}
	}
	for (int i = 0; i < ZONES * CLIENTS_PER_ZONE; i++)
		client_add(i / CLIENTS_PER_ZONE);
	endpoints_prepare();
	timer_add(5, on_traffic, NULL);
	nodes_start();
}

static bool all_ready(void)
{
	for (int i = 0; i < NODES; i++) {
		if (!nodes[i].in)
			return false;
	}
	return true;
}

static void on_alarm(int signal)
{
	static const char text[] = "not run: it took too long\n";

	(void)signal;
	(void)!write(STDERR_FILENO, text, sizeof(text) - 1);
	nodes_stop();
	_exit(EXIT_NOT_RUN);
}

int main(int argc, char **argv)
{
	const char *choice = getenv("TROUBLE");

	if (argc != 4) {
		fprintf(stderr, "usage: %s FOLDER SCRATCH PROGRAM\n", argv[0]);
		return EXIT_NOT_RUN;
	}
	trouble = choice == NULL || strcmp(choice, "0") != 0;
	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, on_alarm);
	signal(SIGTERM, on_alarm);
	signal(SIGINT, on_alarm);
	alarm(RUN_LIMIT_S);
	world_start(argv[1], argv[2], argv[3]);
	store_start();
	deployment_start();
	while (!all_ready() && now_ms() < READY_LIMIT_MS)
		run_until(now_ms() + WAIT_FOR_START_MS);
	if (!all_ready())
		not_run("not all nodes became ready");
	record("all nodes are in; disruption: %s", trouble ? "yes" : "no");
	play();
	nodes_stop();
	record("%d times broken", violations);
	printf("%s\n", violations > 0 ? "broken" : "held");
	return violations > 0 ? EXIT_BROKEN : EXIT_HELD;
}
