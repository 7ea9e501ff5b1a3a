/* What a director knows as a message, and back. */
#ifndef JT_KNOWLEDGE_H
#define JT_KNOWLEDGE_H

#include "jaspertrack/director.h"
#include "jt_director_proto.h"

/* What a node that asks a peer knows already. */
struct jt_knowledge_need {
	uint64_t since;	  /* all up to this revision; 0: nothing */
	uint64_t version; /* of its routing */
	uint32_t slice;	  /* the first one that it lacks */
};

/*
 * What @director knows at @now_ms and one that asks for @need does not; below
 * @mem_ctx. The slices from the first one needed on, as many as are told at
 * once; all their entries where what changed since then is not known any more.
 * @knowledge says both. False when memory runs out.
 */
bool jt_knowledge_write(TALLOC_CTX *mem_ctx, const struct jt_director *director,
			const struct jt_knowledge_need *need, uint64_t now_ms,
			jt_wire_knowledge *knowledge);
/* The event that some slices were told whole; its ids are below @mem_ctx. False
 * where they were not, or memory runs out. */
bool jt_knowledge_slices(TALLOC_CTX *mem_ctx,
			 const jt_wire_knowledge *knowledge,
			 struct jt_director_event *event);
/* Whether @knowledge holds all slices. */
bool jt_knowledge_whole(const jt_wire_knowledge *knowledge);

/* The routing of @wire as a talloc child of @mem_ctx; NULL when it has none
 * or makes no sense. */
struct jt_routing *jt_knowledge_routing(TALLOC_CTX *mem_ctx,
					const jt_wire_routing *wire);

/* The drains of zones in a message, below @mem_ctx; NULL when memory runs out.
 */
struct jt_zone_drain *jt_knowledge_zones(TALLOC_CTX *mem_ctx,
					 const jt_wire_zone_drain *wire,
					 size_t count);

/* The event that an entry amounts to. False when it makes no sense. */
bool jt_knowledge_entry(const jt_wire_entry *wire,
			struct jt_director_event *event);

#endif
