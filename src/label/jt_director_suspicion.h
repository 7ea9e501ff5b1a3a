/* Evidence from cached flows that endpoints may be dead, and probes. */
#ifndef JT_DIRECTOR_SUSPICION_H
#define JT_DIRECTOR_SUSPICION_H

#include "jt_director_private.h"

/* Opens a probe connection to the incarnation. */
void jt_director_probe(struct jt_director *director,
		       struct jt_incarnation *incarnation, uint64_t now_ms,
		       struct jt_director_actions *actions);
/* Records evidence against the incarnation and probes it if a probe is due. */
void jt_director_suspect(struct jt_director *director,
			 struct jt_incarnation *incarnation,
			 enum jt_evidence evidence, uint64_t now_ms,
			 struct jt_director_actions *actions);
/* Suspects the endpoint of a flow whose SYN got no response, once per flow. */
void jt_director_doubt(struct jt_director *director,
		       struct jt_cached_flow *flow, uint64_t now_ms,
		       struct jt_director_actions *actions);
/* Suspects the endpoints whose responses to SYNs are overdue. */
void jt_director_openings(struct jt_director *director, uint64_t now_ms,
			  struct jt_director_actions *actions);
/* Records the endpoints whose responses to requests are overdue. */
void jt_director_overdue(struct jt_director *director, uint64_t now_ms,
			 struct jt_director_actions *actions);

#endif
