/* What a director knows as a message, and back. */
#ifndef JT_KNOWLEDGE_H
#define JT_KNOWLEDGE_H

#include "jaspertrack/director.h"
#include "jt_director_proto.h"

/*
 * What @director knows at @now_ms and one that knows all up to revision @since
 * and has routing @version does not; below @mem_ctx. All entries where what
 * changed since then is not known any more, which @knowledge says. False when
 * memory runs out.
 */
bool jt_knowledge_write(TALLOC_CTX *mem_ctx, const struct jt_director *director,
			uint64_t since, uint64_t version, uint64_t now_ms,
			jt_wire_knowledge *knowledge);

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
