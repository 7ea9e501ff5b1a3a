/* Reports of a node: status, metrics, dry runs and flow lookups. */
#ifndef JT_STATUS_H
#define JT_STATUS_H

#include "jt_change.h"
#include "jt_config_sync.h"

/* Returns the status of the node; the caller owns the reference. */
json_t *jt_status_json(const struct jt_node *node,
		       const struct jt_config_sync *sync);
/* Returns the metrics in the Prometheus text format 0.0.4, a child of
 * @mem_ctx. */
char *jt_status_metrics(TALLOC_CTX *mem_ctx, const struct jt_node *node,
			const struct jt_config_sync *sync);
/* Returns, for each service, how many buckets and flows the document
 * @new_document would affect; the caller owns the reference. */
json_t *jt_status_plan(const struct jt_node *node, const json_t *new_document);
/* Returns how a packet of the flow @key is forwarded, or a reason why it is
 * not; the caller owns the reference. */
json_t *jt_status_explain(const struct jt_node *node,
			  const struct jt_flow_key *key);

#endif
