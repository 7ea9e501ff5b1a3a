/* What cached flows show of their endpoints, and the probes that follow. */
#ifndef JT_DIRECTOR_SUSPICION_H
#define JT_DIRECTOR_SUSPICION_H

#include "jt_director_private.h"

/* Open a connection to the incarnation to see whether it lives. */
void jt_director_probe(struct jt_director *director,
		       struct jt_incarnation *incarnation, uint64_t now_ms,
		       struct jt_director_actions *actions);
/* Something speaks against the incarnation: probe it if that is due. */
void jt_director_suspect(struct jt_director *director,
			 struct jt_incarnation *incarnation,
			 enum jt_evidence evidence, uint64_t now_ms,
			 struct jt_director_actions *actions);
/* The flow's first packet got no answer: suspect its endpoint, once. */
void jt_director_doubt(struct jt_director *director,
		       struct jt_cached_flow *flow, uint64_t now_ms,
		       struct jt_director_actions *actions);
/* Suspect the endpoints whose answer to a first packet is long overdue. */
void jt_director_openings(struct jt_director *director, uint64_t now_ms,
			  struct jt_director_actions *actions);
/* Note the endpoints whose answers to requests are overdue. */
void jt_director_overdue(struct jt_director *director, uint64_t now_ms,
			 struct jt_director_actions *actions);

#endif
