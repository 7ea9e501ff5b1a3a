/*
 * Which zones operators drain: endpoints there get no new flows until the
 * drain ends; open flows stay.
 *
 * Every change carries the store's revision, which orders it: one that comes
 * late, twice or out of order changes nothing, so that the state of a zone
 * never goes back within a process. The end of a drain is kept as well.
 *
 * Bounded: the oldest drain that has ended gives way to a new zone.
 */
#ifndef JT_ZONE_DRAINS_H
#define JT_ZONE_DRAINS_H

#include "jaspertrack/director-t.h"

struct jt_zone_state {
	struct jt_zone_drain drain;
	uint32_t zone_id;  /* jt_name_id() of the zone */
	uint64_t since_ms; /* when this node learned of the change */
	bool told;	   /* since the last complete list began */
};

struct jt_zone_drains {
	struct jt_zone_state zones[JT_ZONE_DRAIN_LIMIT];
	size_t count;
	/* Newest revision of a drain that gave way: older changes of zones that
	 * are not known are not taken. */
	uint64_t forgotten_revision;
	/* Zones in drain now: each choice of an endpoint looks here. */
	uint32_t draining[JT_ZONE_DRAIN_LIMIT];
	size_t draining_count;
};

enum jt_zone_result {
	JT_ZONE_SAME,  /* not newer, or nothing else than what is known */
	JT_ZONE_BEGAN, /* the zone is in drain from now on */
	JT_ZONE_ENDED, /* and not any more */
	JT_ZONE_NO_ROOM,
};

/* A drain began or ended. @state is set on JT_ZONE_BEGAN and JT_ZONE_ENDED,
 * good until the next change. */
enum jt_zone_result jt_zone_drains_take(struct jt_zone_drains *drains,
					const struct jt_zone_drain *drain,
					uint64_t now_ms,
					const struct jt_zone_state **state);
/* Whether the endpoints of the zone get no new flows. */
bool jt_zone_drains_has(const struct jt_zone_drains *drains, uint32_t zone_id);
/* A complete list begins. */
void jt_zone_drains_listing(struct jt_zone_drains *drains);

#endif
