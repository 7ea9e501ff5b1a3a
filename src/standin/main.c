/* jaspertrack-standin: simulated environment of the balancers for tests. */
#include "standin.h"

#include "jt_version.h"

#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

static const char usage[] =
	"Usage: jaspertrack-standin COMMAND [OPTIONS]\n"
	"\n"
	"  store      key-value service (part of the etcd v3 JSON API)\n"
	"  machines   list of machines, served with a delay\n"
	"  fabric     spreads client packets at random over the live "
	"balancers\n"
	"  endpoint   backend with slots, connections and a health page\n"
	"  caller     client: opens flows and checks every response\n"
	"\n"
	"COMMAND --help lists the options of a command.\n";

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		int (*run)(int, char **);
	} commands[] = {
		{"store", store_main},	 {"machines", machines_main},
		{"fabric", fabric_main}, {"endpoint", endpoint_main},
		{"caller", caller_main},
	};

	if (argc >= 2 && strcmp(argv[1], "--help") == 0) {
		fputs(usage, stdout);
		return EXIT_OK;
	}
	if (argc >= 2 && strcmp(argv[1], "--version") == 0) {
		printf("jaspertrack-standin %s\n", JT_VERSION);
		return EXIT_OK;
	}
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0)
		return EXIT_FAILED;
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		if (argc >= 2 && strcmp(argv[1], commands[i].name) == 0)
			return commands[i].run(argc - 1, argv + 1);
	}
	fputs(usage, stderr);
	return EXIT_USAGE;
}
