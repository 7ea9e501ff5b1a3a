/*
 * The emulated environment of the balancers: clients, endpoints, fabric and
 * operators, and an oracle that checks properties at clients and endpoints.
 */
#ifndef WORLD_H
#define WORLD_H

#include "jt_cluster.h"
#include "scenario.h"

#include <jansson.h>
#include <stdio.h>

enum policy_kind {
	POLICY_JASPERTRACK,
	POLICY_MODULO,
	POLICY_MAGLEV,
	POLICY_FULL_RELAY,
	POLICY_LABEL,
	POLICY_COUNT,
};

struct world_options {
	uint64_t seed;
	enum policy_kind policy;
	unsigned break_mechanism; /* features switched off: enum jt_break */
	/* JSON lines: samples once a second and events, for reports; or NULL.
	 */
	FILE *timeline;
	/* JSON lines: every packet and fault, for replay; or NULL. */
	FILE *trace;
};

struct world;

const char *policy_name(enum policy_kind policy);
/* Returns POLICY_COUNT if the name is unknown. */
enum policy_kind policy_parse(const char *name);

/* Creates a world below @mem_ctx, or returns NULL; @scenario must outlive it.
 */
struct world *world_create(TALLOC_CTX *mem_ctx, const struct scenario *scenario,
			   const struct world_options *options);
/* Runs the whole scenario. The caller owns the result. */
json_t *world_run(struct world *world);

#endif
