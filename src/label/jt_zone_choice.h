/*
 * Which part of a node's new flows goes to other zones: none while the own one
 * has room, and more the longer requests would take there.
 *
 * The part follows the work that is known of both sides, which is seconds old.
 * All nodes of a zone see nearly the same: were they to send all flows to where
 * it is better, two zones would hand their load back and forth. So each sends a
 * part only, which grows with the difference, and never more than if there were
 * no zones.
 */
#ifndef JT_ZONE_CHOICE_H
#define JT_ZONE_CHOICE_H

#include "jt_target.h"

/* The part of new flows that go to the others, 0 to 1, by what was aimed at in
 * the own zone and in all others. */
double jt_zone_spill(const struct jt_target *near, const struct jt_target *far);

#endif
