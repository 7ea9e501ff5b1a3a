/*
 * Feature switches of a director node. All features are enabled unless the
 * setting `without` names them, which is for experiments only.
 */
#ifndef JT_FEATURE_H
#define JT_FEATURE_H

#include <stdbool.h>
#include <stdint.h>

/* The features, as bits of a set. */
enum jt_feature {
	/* Prefers endpoints of the own zone. */
	JT_FEATURE_PREFER_ZONE = 1 << 0,
	/* Load of an endpoint includes the load reported by peers. */
	JT_FEATURE_PEER_LOADS = 1 << 1,
	/* Weighs endpoints by their relative response time. */
	JT_FEATURE_RESPONSE_TIME = 1 << 2,
	/* Slow start of cold endpoints. */
	JT_FEATURE_COLD_LIMIT = 1 << 3,
	/* Limits the traffic share of new endpoints. */
	JT_FEATURE_NEW_ENDPOINT_SHARE = 1 << 4,
	/* Suspects an endpoint that leaves a first packet unanswered. */
	JT_FEATURE_SUSPECT_UNANSWERED = 1 << 5,
	/* Suspects an endpoint on retransmissions to it. */
	JT_FEATURE_SUSPECT_RETRANSMISSION = 1 << 6,
	/* Probes endpoints that peers suspect. */
	JT_FEATURE_PEER_SUSPICION = 1 << 7,
	/* Sends no new flows to endpoints at their connection limit. */
	JT_FEATURE_CONNECTION_LIMIT = 1 << 8,
	/* Skips parts of a traffic split whose endpoints are all suspected. */
	JT_FEATURE_SPLIT_FALLBACK = 1 << 9,
	/* Live endpoints that expired in a store outage stay eligible. */
	JT_FEATURE_OUTAGE_EXPIRY = 1 << 10,
	/* Sends a gossip update on each change. */
	JT_FEATURE_GOSSIP_UPDATES = 1 << 11,
	/* Sends most digests within the own zone. */
	JT_FEATURE_ZONE_DIGESTS = 1 << 12,
	/* One reader watches the store, the others only check. */
	JT_FEATURE_SINGLE_WATCHER = 1 << 13,
	/* Few nodes read the store, the others rely on peers. */
	JT_FEATURE_FEW_READERS = 1 << 14,
	/* Spreads the start of the whole system over time. */
	JT_FEATURE_FIRST_START = 1 << 15,
	/* A starting node asks its peers before it reads the store. */
	JT_FEATURE_SYNC_FROM_PEERS = 1 << 16,
	/* Nodes of a zone leave one after the other. */
	JT_FEATURE_ORDERED_LEAVE = 1 << 17,
	/* A leaving node exits early once no packets arrive. */
	JT_FEATURE_EARLY_EXIT = 1 << 18,
	/* Excludes endpoints that fail requests. */
	JT_FEATURE_OUTLIER_DETECTION = 1 << 19,
	/* Holds packets of unknown labels in the initial synchronisation. */
	JT_FEATURE_HOLD_UNKNOWN_LABEL = 1 << 20,
	/* Limits or holds new flows in the initial synchronisation, when only
	 * some endpoints may be known. */
	JT_FEATURE_STAGGERED_INITIAL_SYNC = 1 << 21,
	/* Accepts new flows before the state is complete. */
	JT_FEATURE_PARTIAL_SYNC = 1 << 22,
	/* Overloaded services refuse flows by priority. */
	JT_FEATURE_ADMISSION_CONTROL = 1 << 23,
	/* Short responses may count as failures. */
	JT_FEATURE_SHORT_RESPONSES = 1 << 24,
	/* Uses slow endpoints only if the load requires it. */
	JT_FEATURE_OPTIMAL_LOAD = 1 << 25,
	/* Sends flows to other zones if the own one lacks headroom. */
	JT_FEATURE_ZONE_HEADROOM = 1 << 26,
	/* Queries peers about unknown flows. */
	JT_FEATURE_FLOW_LOOKUP = 1 << 27,
};

/* Returns the feature with the name, or 0 if there is none. */
uint32_t jt_feature_find(const char *name);
/* Returns the names in the order of their bits, terminated by NULL. */
const char *const *jt_feature_names(void);

/* Returns true if the feature is not in the set @disabled_features. */
static inline bool jt_feature_enabled(uint32_t disabled_features,
				      enum jt_feature feature)
{
	return (disabled_features & (uint32_t)feature) == 0;
}

#endif
