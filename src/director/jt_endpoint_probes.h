/*
 * Probes of endpoints: a TCP connection, or a query of the endpoint's
 * identity.
 */
#ifndef JT_ENDPOINT_PROBES_H
#define JT_ENDPOINT_PROBES_H

#include "jt_environment.h"

/* Callbacks for the results; @endpoint_id and @start_time_ms identify the
 * probed incarnation. */
struct jt_probe_handler {
	void (*probed)(uint64_t endpoint_id, uint64_t start_time_ms,
		       enum jt_probe_outcome outcome, void *private_data);
	/* @found is 0 if there was no valid response. */
	void (*identified)(uint64_t endpoint_id, uint64_t start_time_ms,
			   uint64_t found, void *private_data);
	void *private_data;
};

struct jt_endpoint_probes;

/* Returns NULL if memory runs out. @client and @identity must outlive it. */
struct jt_endpoint_probes *
jt_endpoint_probes_create(TALLOC_CTX *mem_ctx, struct tevent_context *loop,
			  struct jt_http_client *client,
			  const struct jt_identity *identity,
			  const struct jt_probe_handler *handler);
/* Opens a TCP connection to the endpoint and reports the outcome. */
void jt_endpoint_probes_connect(struct jt_endpoint_probes *probes,
				uint64_t endpoint_id, uint64_t start_time_ms,
				struct jt_address address);
/* Queries which incarnation answers at @address and reports its id. */
void jt_endpoint_probes_identify(struct jt_endpoint_probes *probes,
				 uint64_t endpoint_id, uint64_t start_time_ms,
				 struct jt_address address,
				 const char *health_path);

#endif
