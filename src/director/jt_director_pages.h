/* HTTP pages of a director node: readiness and metrics. */
#ifndef JT_DIRECTOR_PAGES_H
#define JT_DIRECTOR_PAGES_H

#include "jt_director_settings.h"
#include "jt_directory_sync.h"
#include "jt_log.h"
#include "jt_peer_exchange.h"

struct jt_director;
struct jt_director_pages;

/* Counters of datagrams since the start. */
struct jt_director_traffic {
	uint64_t received;
	uint64_t malformed;
	uint64_t forwarded;
	uint64_t resets;
	uint64_t send_failed;
	uint64_t held_overflow;
	uint64_t stood_still_ms; /* sum of the delays of late ticks */
};

/* Returns NULL on failure, with a message in @error if the readiness address
 * can't be used. Without a usable metrics address there is no metrics page. */
struct jt_director_pages *jt_director_pages_create(
	TALLOC_CTX *mem_ctx, struct tevent_context *loop,
	const struct jt_log *log, const struct jt_director_settings *settings,
	const struct jt_director *director,
	const struct jt_directory_sync *sync,
	const struct jt_peer_exchange *peers,
	const struct jt_director_traffic *traffic,
	bool (*ready)(void *private_data), void *private_data, char **error);

/* Returns the counters in the Prometheus text format 0.0.4, a talloc child of
 * @mem_ctx. */
char *jt_director_metrics(TALLOC_CTX *mem_ctx,
			  const struct jt_director *director,
			  const struct jt_directory_sync *sync,
			  const struct jt_peer_exchange *peers,
			  const struct jt_director_traffic *traffic,
			  const struct jt_log *log);

#endif
