/*
 * The decision library: chooses the endpoint of each flow and the owner of
 * each bucket, and agrees on both with the other nodes of the cell.
 */
#ifndef JASPERTRACK_CORE_H
#define JASPERTRACK_CORE_H

#include "jaspertrack/cell.h"
#include "jaspertrack/core-t.h"

/* Sets @options to the default times and limits. */
void jt_core_options_init(struct jt_core_options *options);

/*
 * Creates a node that belongs to no cell yet, as a talloc child of @mem_ctx.
 * Returns NULL if out of memory.
 */
struct jt_core *jt_core_create(TALLOC_CTX *mem_ctx,
			       const struct jt_core_options *options);

/*
 * Handles one event and appends the resulting actions to @actions.
 * The time of the events of one core must not decrease.
 */
void jt_core_handle(struct jt_core *core, const struct jt_event *event,
		    struct jt_actions *actions);

/* Creates an empty list of actions. Returns NULL if out of memory. */
struct jt_actions *jt_actions_create(TALLOC_CTX *mem_ctx);
/* Removes all actions and frees their messages. */
void jt_actions_clear(struct jt_actions *actions);

/*
 * Applies @request to the witness's @record in place. Returns true if the
 * request is granted. An accepted proposal is referenced, not copied.
 */
bool jt_witness_apply(struct jt_witness_record *record,
		      const struct jt_witness_request *request);

/* Accessors for drivers; returned pointers are valid until the next event. */
const struct jt_cell_state *jt_core_state(const struct jt_core *core);
const struct jt_core_counters *jt_core_counters(const struct jt_core *core);
const struct jt_config *jt_core_config(const struct jt_core *core,
				       uint64_t revision);
const struct jt_config *jt_core_newest_config(const struct jt_core *core);
uint64_t jt_core_node_id(const struct jt_core *core);
/* Returns true if this node is a member with a valid lease. */
bool jt_core_ready(const struct jt_core *core, uint64_t now_ms);
/* Returns when the lease expires, in ms of the driver's clock; 0: no lease. */
uint64_t jt_core_lease_until(const struct jt_core *core);
/* Returns true if this node proposes the next cell state. */
bool jt_core_coordinator(const struct jt_core *core);
/* Returns true if packets of @bucket must pass through its owner. */
bool jt_core_bucket_needs_owner(const struct jt_core *core, size_t service,
				size_t bucket);
/* Returns the newest revision that is known to be active on all members. */
uint64_t jt_core_revision_active_on_all(const struct jt_core *core);
size_t jt_core_flow_count(const struct jt_core *core);
/* Return the cell's open flows at an endpoint, and of a group at a service,
 * as far as they were reported to this node. */
uint32_t jt_core_endpoint_open(const struct jt_core *core,
			       uint32_t endpoint_id);
uint32_t jt_core_share_open(const struct jt_core *core, uint32_t service_id,
			    uint32_t group_id);
/*
 * Returns the endpoint of the flow's record, or else the default endpoint of
 * its bucket; 0 if there is neither. Sets @recorded to true if there is a
 * record, and @owner to the owner of the bucket.
 */
uint32_t jt_core_lookup_flow(const struct jt_core *core,
			     const struct jt_flow_key *key, bool *recorded,
			     uint64_t *owner);
/* Returns true if this node watches the store: one member of each zone does,
 * and each node that belongs to no cell. */
bool jt_core_is_store_reader(const struct jt_core *core);
/* Copies @proposal as a talloc child of @mem_ctx. Returns NULL if out of
 * memory. */
jt_wire_proposal *jt_proposal_copy(TALLOC_CTX *mem_ctx,
				   const jt_wire_proposal *proposal);
/* Returns true if this node is one of the two that probe the endpoint. */
bool jt_core_is_prober(const struct jt_core *core, uint32_t endpoint_id);
/* Returns the interval between two probes of an endpoint, in ms: at least
 * @min_ms, and long enough to stay within the probe bandwidth budget. */
uint64_t jt_core_probe_interval(const struct jt_core *core, uint64_t min_ms);

#endif
