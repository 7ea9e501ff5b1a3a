/*
 * The emulated world round the balancers: callers, endpoints, fabric and
 * operators, and the oracle that watches callers and endpoints only.
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
	unsigned break_mechanism;
	/* JSON lines: samples once a second and events, for reports; NULL. */
	FILE *timeline;
	/* JSON lines: every packet and fault, for replay; NULL. */
	FILE *trace;
};

struct world;

const char *policy_name(enum policy_kind policy);
/* POLICY_COUNT for an unknown name. */
enum policy_kind policy_parse(const char *name);

struct world *world_create(TALLOC_CTX *mem_ctx, const struct scenario *scenario,
			   const struct world_options *options);
/* Run the whole scenario. The caller owns the result. */
json_t *world_run(struct world *world);

#endif
