/*
 * `jaspertrack why`: reconstructs what happened to a request or a flow from
 * the logs of the nodes.
 */
#ifndef WHY_H
#define WHY_H

/*
 * Prints the log lines that concern @id and a conclusion. @id is a request id,
 * a flow as logged (IP:PORT>IP:PORT) or a client (IP or IP:PORT); a flow that
 * ended before its request arrived can only be found by flow or client. @path
 * is a log file or a directory of log files. Returns 0 on success, 1 if no
 * line names @id, 2 if @path cannot be read.
 */
int why_run(const char *id, const char *path);

#endif
