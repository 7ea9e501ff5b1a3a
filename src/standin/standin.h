/*
 * Stand-ins for the environment of the balancers: store, machine list, network
 * fabric, endpoints and clients, run as processes on loopback.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include "jt_http_server.h"

#include <talloc.h>
#include <tevent.h>

enum { EXIT_OK = 0, EXIT_FAILED = 1, EXIT_USAGE = 2 };

/* Each runs a subcommand until it ends and returns the exit status. */
int store_main(int argc, char **argv);
int machines_main(int argc, char **argv);
int fabric_main(int argc, char **argv);
int endpoint_main(int argc, char **argv);
int caller_main(int argc, char **argv);

/* Creates an event loop, owned by @mem_ctx. Clears *finished, and sets it on
 * SIGTERM or SIGINT. */
struct tevent_context *standin_loop_create(TALLOC_CTX *mem_ctx, bool *finished);
/* Prints @usage and returns true if the arguments contain --help. */
bool standin_help_requested(int argc, char **argv, const char *usage);
/* Returns the value after option @name, NULL if absent. */
const char *standin_option(int argc, char **argv, const char *name);
/* Parses the IP:PORT after option @name. Prints an error and returns false if
 * it is absent or invalid. */
bool standin_address_option(int argc, char **argv, const char *name,
			    struct jt_address *address);
/* Returns the number after option @name, @fallback if absent. */
double standin_number_option(int argc, char **argv, const char *name,
			     double fallback);

#endif
