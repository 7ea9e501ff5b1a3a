/* What a node tells of itself: status, metrics, dry runs and explanations. */
#ifndef JT_STATUS_H
#define JT_STATUS_H

#include "jt_change.h"
#include "jt_config_sync.h"

json_t *jt_status_json(const struct jt_node *node,
		       const struct jt_config_sync *sync);
/* Counters in the Prometheus text format 0.0.4, below @mem_ctx. */
char *jt_status_metrics(TALLOC_CTX *mem_ctx, const struct jt_node *node,
			const struct jt_config_sync *sync);
/* How many buckets a change of documents would move, by service. */
json_t *jt_status_plan(const struct jt_node *node, const json_t *after);
json_t *jt_status_explain(const struct jt_node *node,
			  const struct jt_flow_key *key);

#endif
