/*
 * `jaspertrack why`: what became of a request or a flow, from the logs of all
 * nodes alone.
 */
#ifndef WHY_H
#define WHY_H

/*
 * @id is a request's id, a flow as logs write it (IP:PORT>IP:PORT), or a
 * caller (IP or IP:PORT): what was decided before a request's bytes came can
 * only be found by the caller. @path
 * is a log file or a folder of them. Prints the story and a conclusion.
 * Returns 0, 1 when no line speaks of it, 2 when logs can't be read.
 */
int why_run(const char *id, const char *path);

#endif
