/* Drains of zones: what the store and peers tell of them. */
#ifndef JT_DIRECTOR_ZONES_H
#define JT_DIRECTOR_ZONES_H

#include "jt_director_private.h"

/* An event of kind JT_DIRECTOR_ZONE_DRAINS. */
void jt_director_zones(struct jt_director *director,
		       const struct jt_director_event *event,
		       struct jt_director_actions *actions);
/* A complete list as of @revision was told: drains that it lacks have ended. */
void jt_director_zones_listed(struct jt_director *director, uint64_t revision,
			      uint64_t now_ms,
			      struct jt_director_actions *actions);

#endif
