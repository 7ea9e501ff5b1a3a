/* Responses as clients acknowledge them: detects successful ones and short,
 * fast ones that are likely errors. */
#ifndef JT_DIRECTOR_RESPONSES_H
#define JT_DIRECTOR_RESPONSES_H

#include "jt_director_private.h"

/* Records that the client's @packet acknowledged more data on @flow, up to
 * flow->acknowledged. */
void jt_director_response_progress(struct jt_director *director,
				   struct jt_cached_flow *flow,
				   struct jt_incarnation *incarnation,
				   const struct jt_label_packet *packet,
				   uint64_t now_ms);
/* Ends the response in progress, if any: the client sends another request or
 * closes the flow. */
void jt_director_response_end(struct jt_director *director,
			      struct jt_cached_flow *flow,
			      struct jt_incarnation *incarnation,
			      uint64_t now_ms);
/* Ends the responses that received no more data for a while. */
void jt_director_responses_check(struct jt_director *director, uint64_t now_ms,
				 struct jt_director_actions *actions);
/* Records failures reported by a peer. */
void jt_director_failures_received(struct jt_director *director,
				   const struct jt_endpoint_failure *failures,
				   size_t count, uint64_t now_ms);
/* Compares the endpoint with others of its service and reports when its traffic
 * share was reduced or restored. */
void jt_director_share_check(struct jt_director *director,
			     struct jt_incarnation *incarnation,
			     uint64_t now_ms,
			     struct jt_director_actions *actions);

#endif
