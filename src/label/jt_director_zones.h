/* Zone drains reported by the store and by peers. */
#ifndef JT_DIRECTOR_ZONES_H
#define JT_DIRECTOR_ZONES_H

#include "jt_director_private.h"

/* Handles an event of kind JT_DIRECTOR_ZONE_DRAINS. */
void jt_director_zones(struct jt_director *director,
		       const struct jt_director_event *event,
		       struct jt_director_actions *actions);
/* Ends the drains that a full listing as of @revision did not contain. */
void jt_director_zones_listed(struct jt_director *director, uint64_t revision,
			      uint64_t now_ms,
			      struct jt_director_actions *actions);

#endif
