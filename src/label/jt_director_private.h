/* The state of a director and helpers shared by its source files. */
#ifndef JT_DIRECTOR_PRIVATE_H
#define JT_DIRECTOR_PRIVATE_H

#include "jaspertrack/director.h"
#include "jt_response_profile.h"
#include "jt_admission.h"
#include "jt_choose.h"
#include "jt_detector.h"
#include "jt_endpoint_table.h"
#include "jt_failure_reports.h"
#include "jt_flow_cache.h"
#include "jt_flow_lookup.h"
#include "jt_latency.h"
#include "jt_listing_gaps.h"
#include "jt_peer_loads.h"
#include "jt_routing.h"
#include "jt_zone_drains.h"

struct jt_director {
	struct jt_director_options options;
	/* Talloc child; NULL until received. */
	const struct jt_routing *routing;
	uint64_t started_ms; /* when the endpoints became known */
	/* Last time at which the store was unreachable; 0: never. */
	uint64_t store_unreachable_ms;
	uint64_t openings_checked_ms; /* last check for overdue SYN responses */
	double open_ms;		      /* smoothed response time of SYNs */
	uint64_t nodes;	   /* nodes sharing the endpoints, including this one */
	size_t peer_count; /* peers available for flow lookups */
	uint64_t revision; /* all changes up to it are known */
	struct jt_listing_gaps gaps; /* listing gaps up to @revision */
	bool listed;		     /* full state received at least once */
	bool partly_listed; /* partial state with all zone drains received */
	struct jt_endpoint_table *endpoints;
	struct jt_zone_drains zone_drains;
	struct jt_flow_cache *flows;
	struct jt_flow_lookups *lookups;
	struct jt_chooser *chooser;
	struct jt_admission *admission;
	struct jt_detector detector;
	struct jt_latency *latency;
	struct jt_response_profiles *response_profiles;
	uint64_t responses_checked_ms; /* last check for complete responses */
	struct jt_failure_reports failure_reports;
	struct jt_peer_loads *peer_loads;
	struct jt_random random;
	/* Table index at which the next load report starts. */
	size_t loads_next;
	struct jt_director_counters counters;
};

/* Appends a zeroed action; returns NULL when out of memory. */
struct jt_director_action *
jt_director_action_add(struct jt_director_actions *actions,
		       enum jt_director_action_kind kind,
		       enum jt_director_reason reason);
/* Appends an action about @incarnation; returns NULL when out of memory. */
struct jt_director_action *jt_director_action_about(
	struct jt_director_actions *actions, enum jt_director_action_kind kind,
	enum jt_director_reason reason,
	const struct jt_incarnation *incarnation, uint64_t now_ms);

#endif
