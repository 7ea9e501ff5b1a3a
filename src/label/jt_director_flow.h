/* Cached flows: how they come, and their ends, silent or with a reset to the
 * caller. */
#ifndef JT_DIRECTOR_FLOW_H
#define JT_DIRECTOR_FLOW_H

#include "jt_director_private.h"

/* A caller's attempt to open a flow has ended by then: it has sent copies of
 * the first packet after 200 and 600 ms. */
enum { JT_CALLER_ENDS_MS = 1400 };

/* A flow that this node has not seen before; its @label is that of
 * @incarnation, or of an earlier one of the same endpoint. NULL when memory
 * runs out. */
struct jt_cached_flow *jt_director_flow_add(
	struct jt_director *director, const struct jt_label_packet *packet,
	struct jt_incarnation *incarnation, uint32_t label, uint64_t now_ms);
/*
 * Whether a first packet of that sequence belongs to the flow that is known by
 * its key: a copy, or one that was late or doubled. Otherwise the caller uses
 * the port again; its sequence numbers then begin anywhere else.
 */
bool jt_director_flow_has_first(const struct jt_cached_flow *flow,
				uint32_t sequence);
/* The sequence of a reset that a caller takes only while its flow is not
 * open. */
uint32_t jt_director_opening_sequence(struct jt_director *director);
/* Forget @flow and take it out of its endpoint's load. */
void jt_director_flow_forget(struct jt_director *director,
			     struct jt_cached_flow *flow);
/* Tell the caller of @key, who acknowledged @acknowledged last, that the
 * flow's endpoint is dead. */
void jt_director_reset_dead(struct jt_director *director,
			    const struct jt_flow_key *key,
			    uint32_t acknowledged,
			    const struct jt_incarnation *incarnation,
			    uint64_t now_ms,
			    struct jt_director_actions *actions);
/* Tell the caller that @flow is over; the flow is forgotten. */
void jt_director_flow_reset(struct jt_director *director,
			    struct jt_cached_flow *flow,
			    const struct jt_incarnation *incarnation,
			    uint64_t now_ms,
			    struct jt_director_actions *actions);

/* Whether the flow ended with its dead endpoint. Where the endpoint may start
 * again, one that came here after the last look may be the next one's. */
bool jt_director_flow_ended(const struct jt_cached_flow *flow,
			    const struct jt_incarnation *incarnation);
/*
 * The incarnation has taken the place of an earlier one: what was seen of the
 * earlier one's flows says nothing of it. They are still told by their keys, so
 * that copies of their first packets go to no other endpoint; so are those of
 * the incarnation before, which had @earliest_label.
 */
void jt_director_flows_of_earlier(struct jt_director *director,
				  const struct jt_incarnation *incarnation,
				  uint32_t earliest_label);

#endif
