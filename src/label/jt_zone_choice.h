/*
 * Decides which part of a node's new flows goes to other zones: none while the
 * own zone has headroom, and more the longer the response time in the own zone
 * is compared with the others.
 *
 * The load data of both sides is some seconds old and nearly the same on all
 * nodes of a zone. If all of them sent every flow to the better side, load
 * would oscillate between the zones. Each node therefore diverts only a part,
 * which grows with the difference and never exceeds the part that the other
 * zones would get if zones were ignored.
 */
#ifndef JT_ZONE_CHOICE_H
#define JT_ZONE_CHOICE_H

#include "jt_target.h"

/* Returns the part of new flows that goes to other zones, 0 to 1, from the
 * load targets of the own zone (@local) and of all other zones (@remote). */
double jt_zone_spill(const struct jt_target *local,
		     const struct jt_target *remote);

#endif
