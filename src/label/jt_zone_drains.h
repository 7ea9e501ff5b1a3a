/*
 * Zones that operators drain: their endpoints get no new flows until the drain
 * ends, and open flows continue.
 *
 * Changes are ordered by the store's revision, and old or repeated ones are
 * ignored, so that a zone's state never reverts within a process. Ended drains
 * are kept too, as far as the limit allows: the oldest ended drain is dropped
 * for a new zone.
 */
#ifndef JT_ZONE_DRAINS_H
#define JT_ZONE_DRAINS_H

#include "jaspertrack/director-t.h"

struct jt_zone_state {
	struct jt_zone_drain drain;
	uint32_t zone_id;  /* jt_name_id() of the zone */
	uint64_t since_ms; /* when this node learned the state */
	/* Reported since the last full listing began. */
	bool listed;
};

struct jt_zone_drains {
	struct jt_zone_state zones[JT_ZONE_DRAIN_LIMIT];
	size_t count;
	/* Latest revision of a dropped drain. Older changes of unknown zones
	 * are ignored. */
	uint64_t forgotten_revision;
	/* Zones currently drained, for fast lookup. */
	uint32_t draining[JT_ZONE_DRAIN_LIMIT];
	size_t draining_count;
};

enum jt_zone_result {
	JT_ZONE_SAME,  /* not newer, or no change of the state */
	JT_ZONE_BEGAN, /* the zone is drained now */
	JT_ZONE_ENDED, /* the zone is not drained any more */
	JT_ZONE_LIMIT_REACHED,
};

/* Applies the start or end of a drain. On JT_ZONE_BEGAN and JT_ZONE_ENDED sets
 * @state, which stays valid until the next change. */
enum jt_zone_result jt_zone_drains_update(struct jt_zone_drains *drains,
					  const struct jt_zone_drain *drain,
					  uint64_t now_ms,
					  const struct jt_zone_state **state);
/* Returns true if the zone is drained. */
bool jt_zone_drains_is_drained(const struct jt_zone_drains *drains,
			       uint32_t zone_id);
/* Starts a full listing: marks all zones as not yet reported. */
void jt_zone_drains_listing(struct jt_zone_drains *drains);

#endif
