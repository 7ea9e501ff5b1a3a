/* jaspertrackd as a node that places flows by label. */
#ifndef MAIN_DIRECTOR_H
#define MAIN_DIRECTOR_H

#include <stdbool.h>
#include <talloc.h>

enum { EXIT_DONE = 0, EXIT_FAILED = 1, EXIT_USAGE = 2 };

/* Run a node until it is told to leave, or only check the settings in @file.
 * Returns the exit status. */
int main_director(TALLOC_CTX *mem_ctx, const char *file, bool check);

#endif
