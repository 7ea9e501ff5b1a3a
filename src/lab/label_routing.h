/* The routing of emulated nodes that place flows by label. */
#ifndef LABEL_ROUTING_H
#define LABEL_ROUTING_H

#include "jaspertrack/director-t.h"

struct world;

/* Returns the routing for the world's configuration, a talloc child of
 * @mem_ctx. */
struct jt_routing *label_routing_create(TALLOC_CTX *mem_ctx,
					const struct world *world);

#endif
