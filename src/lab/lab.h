/* Commands of jaspertrack-lab. Each parses its arguments and returns an exit
 * code. */
#ifndef LAB_H
#define LAB_H

enum { LAB_DONE = 0, LAB_FAILED = 1, LAB_USAGE = 2 };

/* Prints the usage of a command from its argtable; returns LAB_DONE. */
int lab_help(const char *command, void **table);

int lab_run(int argc, char **argv);
int lab_sweep(int argc, char **argv);
int lab_record(int argc, char **argv);
int lab_replay(int argc, char **argv);
int lab_report(int argc, char **argv);
int lab_plan(int argc, char **argv);

#endif
