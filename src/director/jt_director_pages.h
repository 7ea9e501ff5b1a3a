/* What a director node serves over HTTP: readiness and metrics. */
#ifndef JT_DIRECTOR_PAGES_H
#define JT_DIRECTOR_PAGES_H

#include "jt_director_settings.h"
#include "jt_directory_sync.h"
#include "jt_log.h"
#include "jt_peer_exchange.h"

struct jt_director;
struct jt_director_pages;

/* Datagrams since the start. */
struct jt_director_traffic {
	uint64_t received;
	uint64_t malformed;
	uint64_t forwarded;
	uint64_t resets;
	uint64_t send_failed;
	uint64_t held_overflow;
	uint64_t stood_still_ms; /* nothing was done, though it was due */
};

/* NULL with a line in @error when the readiness address can't be used. A
 * metrics address that can't be used is done without. */
struct jt_director_pages *jt_director_pages_create(
	TALLOC_CTX *mem_ctx, struct tevent_context *loop,
	const struct jt_log *log, const struct jt_director_settings *settings,
	const struct jt_director *director,
	const struct jt_directory_sync *sync,
	const struct jt_peer_exchange *peers,
	const struct jt_director_traffic *traffic,
	bool (*ready)(void *private_data), void *private_data, char **error);

/* Counters in the Prometheus text format 0.0.4, below @mem_ctx. */
char *jt_director_metrics(TALLOC_CTX *mem_ctx,
			  const struct jt_director *director,
			  const struct jt_directory_sync *sync,
			  const struct jt_peer_exchange *peers,
			  const struct jt_director_traffic *traffic,
			  const struct jt_log *log);

#endif
