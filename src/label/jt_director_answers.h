/* Answers as callers acknowledge them: which serve, and which are failures that
 * came at once. */
#ifndef JT_DIRECTOR_ANSWERS_H
#define JT_DIRECTOR_ANSWERS_H

#include "jt_director_private.h"

/* The caller's @packet has acknowledged more on @flow, up to
 * flow->acknowledged. */
void jt_director_answer_progress(struct jt_director *director,
				 struct jt_cached_flow *flow,
				 struct jt_incarnation *incarnation,
				 const struct jt_label_packet *packet,
				 uint64_t now_ms);
/* No more of the answer under way comes, if there is one: the caller asks for
 * something else, or closes. */
void jt_director_answer_end(struct jt_director *director,
			    struct jt_cached_flow *flow,
			    struct jt_incarnation *incarnation,
			    uint64_t now_ms);
/* Answers of which nothing more came for a while are whole. */
void jt_director_answers_look(struct jt_director *director, uint64_t now_ms,
			      struct jt_director_actions *actions);
/* A peer tells of failed requests. */
void jt_director_failures_told(struct jt_director *director,
			       const struct jt_endpoint_failure *failures,
			       size_t count, uint64_t now_ms);
/* Compare the endpoint with others of its service, and say when its share has
 * been reduced or restored. */
void jt_director_share_look(struct jt_director *director,
			    struct jt_incarnation *incarnation, uint64_t now_ms,
			    struct jt_director_actions *actions);

#endif
