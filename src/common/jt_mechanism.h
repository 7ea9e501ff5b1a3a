/*
 * Feature switches of a director node. All features are enabled unless the
 * setting `without` names them, which is for experiments only.
 */
#ifndef JT_MECHANISM_H
#define JT_MECHANISM_H

#include <stdbool.h>
#include <stdint.h>

/* The features, as bits of a set. */
enum jt_mechanism {
	/* Prefers endpoints of the own zone. */
	JT_MECHANISM_ZONE_FIRST = 1 << 0,
	/* Load of an endpoint includes the load reported by peers. */
	JT_MECHANISM_PEER_WORK = 1 << 1,
	/* Weighs endpoints by their relative response time. */
	JT_MECHANISM_SLOWNESS = 1 << 2,
	/* Slow start of cold endpoints. */
	JT_MECHANISM_COLD = 1 << 3,
	/* Limits the traffic share of new endpoints. */
	JT_MECHANISM_NEWCOMER_SHARE = 1 << 4,
	/* Suspects an endpoint that leaves a first packet unanswered. */
	JT_MECHANISM_DOUBT_OPENING = 1 << 5,
	/* Suspects an endpoint on retransmissions to it. */
	JT_MECHANISM_DOUBT_RESENT = 1 << 6,
	/* Probes endpoints that peers suspect. */
	JT_MECHANISM_PEER_SUSPICION = 1 << 7,
	/* Sends no new flows to endpoints at their connection limit. */
	JT_MECHANISM_REFUSE_FULL = 1 << 8,
	/* Skips parts of a traffic split whose endpoints all seem down. */
	JT_MECHANISM_PARTS_GIVE_WAY = 1 << 9,
	/* Live endpoints that expired in a store outage stay eligible. */
	JT_MECHANISM_OUTAGE_LAPSES = 1 << 10,
	/* Sends a gossip update on each change. */
	JT_MECHANISM_NEWS = 1 << 11,
	/* Sends most digests within the own zone. */
	JT_MECHANISM_NEAR_DIGESTS = 1 << 12,
	/* One reader watches the store, the others only check. */
	JT_MECHANISM_ONE_WATCHER = 1 << 13,
	/* Few nodes read the store, the others rely on peers. */
	JT_MECHANISM_FEW_READERS = 1 << 14,
	/* Spreads the start of the whole system over time. */
	JT_MECHANISM_FIRST_START = 1 << 15,
	/* A starting node asks its peers before it reads the store. */
	JT_MECHANISM_PEERS_FIRST = 1 << 16,
	/* Nodes of a zone leave one after the other. */
	JT_MECHANISM_LEAVE_IN_TURN = 1 << 17,
	/* A leaving node exits early once no packets arrive. */
	JT_MECHANISM_EARLY_END = 1 << 18,
	/* Excludes endpoints that fail requests. */
	JT_MECHANISM_OUTLIERS = 1 << 19,
	/* Holds packets of unknown labels in the initial synchronisation. */
	JT_MECHANISM_HOLD_UNKNOWN = 1 << 20,
	/* Spreads or holds new flows in the initial synchronisation. */
	JT_MECHANISM_SPREAD_LEARNING = 1 << 21,
	/* Accepts new flows before the state is complete. */
	JT_MECHANISM_PARTLY_KNOWN = 1 << 22,
	/* Overloaded services refuse flows by priority. */
	JT_MECHANISM_ADMISSION = 1 << 23,
	/* Short answers may count as failures. */
	JT_MECHANISM_SHORT_ANSWERS = 1 << 24,
	/* Uses slow endpoints only if the load requires it. */
	JT_MECHANISM_FAST_FIRST = 1 << 25,
	/* Sends flows to other zones if the own one lacks headroom. */
	JT_MECHANISM_ZONE_ROOM = 1 << 26,
	/* Queries peers about unknown flows. */
	JT_MECHANISM_FLOW_LOOKUP = 1 << 27,
};

/* Returns the feature with the name, or 0 if there is none. */
uint32_t jt_mechanism_find(const char *name);
/* Returns the names in the order of their bits, terminated by NULL. */
const char *const *jt_mechanism_names(void);

/* Returns true if the feature is not in the set @disabled_features. */
static inline bool jt_mechanism_on(uint32_t disabled_features,
				   enum jt_mechanism feature)
{
	return (disabled_features & (uint32_t)feature) == 0;
}

#endif
