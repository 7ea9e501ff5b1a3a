/* Converts the state of a director to and from the state snapshots that nodes
 * send to peers. */
#ifndef JT_SNAPSHOT_H
#define JT_SNAPSHOT_H

#include "jaspertrack/director.h"
#include "jt_director_proto.h"

/* What a node that requests a snapshot already has. */
struct jt_snapshot_request {
	uint64_t since;	  /* revision of its state; 0: it has none */
	uint64_t version; /* version of its routing */
	uint32_t slice;	  /* the first slice that is missing */
};

/*
 * Fills in @snapshot with the state of @director at @now_ms that @request asks
 * for; its arrays are owned by @mem_ctx. It holds whole slices from
 * request->slice on, up to the size limit of a message. It holds all entries of
 * these slices, not only those changed after request->since, if the changes
 * since then are no longer known one by one. Returns false if memory runs out.
 */
bool jt_snapshot_write(TALLOC_CTX *mem_ctx, const struct jt_director *director,
		       const struct jt_snapshot_request *request,
		       uint64_t now_ms, jt_wire_snapshot *snapshot);
/* Fills in the event that some slices were received whole; its ids are owned by
 * @mem_ctx. Returns false if they were not, or memory runs out. */
bool jt_snapshot_slices_event(TALLOC_CTX *mem_ctx,
			      const jt_wire_snapshot *snapshot,
			      struct jt_director_event *event);
/* Returns true if @snapshot holds all slices. */
bool jt_snapshot_is_complete(const jt_wire_snapshot *snapshot);

/* Returns the routing of @wire as a talloc child of @mem_ctx; NULL if it has
 * none, it is invalid or memory runs out. */
struct jt_routing *jt_snapshot_read_routing(TALLOC_CTX *mem_ctx,
					    const jt_wire_routing *wire);

/* Returns the zone drains of a message, owned by @mem_ctx; NULL if memory runs
 * out. */
struct jt_zone_drain *
jt_snapshot_read_zone_drains(TALLOC_CTX *mem_ctx,
			     const jt_wire_zone_drain *wire, size_t count);

/* Converts an entry to a director event. Returns false if the entry is
 * invalid. */
bool jt_snapshot_entry_event(const jt_wire_entry *wire,
			     struct jt_director_event *event);

#endif
