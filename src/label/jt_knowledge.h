/* Converts the state of a director to and from the state snapshots that nodes
 * send to peers. */
#ifndef JT_KNOWLEDGE_H
#define JT_KNOWLEDGE_H

#include "jaspertrack/director.h"
#include "jt_director_proto.h"

/* What a node that requests a snapshot already has. */
struct jt_knowledge_need {
	uint64_t since;	  /* revision of its state; 0: it has none */
	uint64_t version; /* version of its routing */
	uint32_t slice;	  /* the first slice that is missing */
};

/*
 * Fills in @knowledge with the state of @director at @now_ms that a node with
 * @need lacks; its arrays are owned by @mem_ctx. It holds whole slices from
 * need->slice on, up to the size limit of a message. It holds all entries of
 * these slices, not only those changed after need->since, if the changes since
 * then are no longer known one by one. Returns false if memory runs out.
 */
bool jt_knowledge_write(TALLOC_CTX *mem_ctx, const struct jt_director *director,
			const struct jt_knowledge_need *need, uint64_t now_ms,
			jt_wire_knowledge *knowledge);
/* Fills in the event that some slices were received whole; its ids are owned by
 * @mem_ctx. Returns false if they were not, or memory runs out. */
bool jt_knowledge_slices(TALLOC_CTX *mem_ctx,
			 const jt_wire_knowledge *knowledge,
			 struct jt_director_event *event);
/* Returns true if @knowledge holds all slices. */
bool jt_knowledge_whole(const jt_wire_knowledge *knowledge);

/* Returns the routing of @wire as a talloc child of @mem_ctx; NULL if it has
 * none, it is invalid or memory runs out. */
struct jt_routing *jt_knowledge_routing(TALLOC_CTX *mem_ctx,
					const jt_wire_routing *wire);

/* Returns the zone drains of a message, owned by @mem_ctx; NULL if memory runs
 * out. */
struct jt_zone_drain *jt_knowledge_zones(TALLOC_CTX *mem_ctx,
					 const jt_wire_zone_drain *wire,
					 size_t count);

/* Converts an entry to a director event. Returns false if the entry is
 * invalid. */
bool jt_knowledge_entry(const jt_wire_entry *wire,
			struct jt_director_event *event);

#endif
