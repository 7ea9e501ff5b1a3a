/* The process of a director node: signals, reloading of settings, shutdown. */
#ifndef DIRECTOR_PROCESS_H
#define DIRECTOR_PROCESS_H

#include <stdbool.h>
#include <talloc.h>

#define DIRECTOR_PROGRAM "jaspertrack-director"

enum { EXIT_DONE = 0, EXIT_FAILED = 1, EXIT_USAGE = 2 };

/* Runs a node until it is shut down, or only checks the settings in @file.
 * Returns the exit status. */
int director_process_run(TALLOC_CTX *mem_ctx, const char *file, bool check);

#endif
