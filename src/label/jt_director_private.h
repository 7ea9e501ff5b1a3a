/* The state of a director and what its files share. */
#ifndef JT_DIRECTOR_PRIVATE_H
#define JT_DIRECTOR_PRIVATE_H

#include "jaspertrack/director.h"
#include "jt_answer_profile.h"
#include "jt_admission.h"
#include "jt_choose.h"
#include "jt_detector.h"
#include "jt_endpoint_table.h"
#include "jt_failure_news.h"
#include "jt_flow_cache.h"
#include "jt_flow_lookup.h"
#include "jt_latency.h"
#include "jt_list_gaps.h"
#include "jt_peer_loads.h"
#include "jt_routing.h"
#include "jt_zone_drains.h"

struct jt_director {
	struct jt_director_options options;
	const struct jt_routing *routing; /* talloc child, NULL at first */
	uint64_t started_ms; /* since when it has known the endpoints */
	uint64_t store_away_until_ms; /* last seen away then, 0: never */
	uint64_t openings_ms; /* when overdue answers were last looked for */
	double open_ms;	      /* smoothed time to a first packet's answer */
	uint64_t nodes;	      /* that share the endpoints, this one too */
	size_t peer_count;    /* other nodes that may be asked */
	uint64_t revision;    /* all changes up to it are known */
	struct jt_list_gaps gaps; /* in what is known up to there */
	bool listed;		  /* discovery was told whole at least once */
	bool partly_told;	  /* or in part, with all drains of zones */
	struct jt_endpoint_table *endpoints;
	struct jt_zone_drains zone_drains;
	struct jt_flow_cache *flows;
	struct jt_flow_lookups *lookups;
	struct jt_chooser *chooser;
	struct jt_admission *admission;
	struct jt_detector detector;
	struct jt_latency *latency;
	struct jt_answer_profiles *answers;
	uint64_t answers_ms; /* when whole answers were last looked for */
	struct jt_failure_news failure_news;
	struct jt_peer_loads *peer_loads;
	struct jt_random random;
	size_t loads_told; /* where the next report of loads begins */
	struct jt_director_counters counters;
};

/* A zeroed action at the end of the list, NULL when memory runs out. */
struct jt_director_action *
jt_director_action_add(struct jt_director_actions *actions,
		       enum jt_director_action_kind kind,
		       enum jt_director_reason reason);
/* The same, about an incarnation. */
struct jt_director_action *jt_director_action_about(
	struct jt_director_actions *actions, enum jt_director_action_kind kind,
	enum jt_director_reason reason,
	const struct jt_incarnation *incarnation, uint64_t now_ms);

#endif
