/* Writing of traces; trace.c describes the format. */
#ifndef TRACE_H
#define TRACE_H

#include "jaspertrack/types-t.h"

#include <stdio.h>

/* Writes a configuration as one line of a trace. */
void trace_config(FILE *trace, uint64_t time_us,
		  const struct jt_config *config);

#endif
