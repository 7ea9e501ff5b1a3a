/* Lifecycle of cached flows: creation, removal and resets to clients. */
#ifndef JT_DIRECTOR_FLOW_H
#define JT_DIRECTOR_FLOW_H

#include "jt_director_private.h"

/* Time after which a client gives up opening a flow: it retransmits the SYN
 * after 200 and 600 ms. */
enum { JT_CLIENT_OPEN_TIMEOUT_MS = 1400 };

/* Caches a flow that is new to this node. @label is the label of @incarnation
 * or of an earlier incarnation of the same endpoint. Returns NULL when out of
 * memory. */
struct jt_cached_flow *jt_director_flow_add(
	struct jt_director *director, const struct jt_label_packet *packet,
	struct jt_incarnation *incarnation, uint32_t label, uint64_t now_ms);
/* Returns true if a SYN with @sequence belongs to @flow: a retransmission, or
 * one that was delayed or duplicated. Otherwise the client has reused the port
 * with a new initial sequence number. */
bool jt_director_flow_has_first(const struct jt_cached_flow *flow,
				uint32_t sequence);
/* Returns a random sequence for a reset that a client accepts only while its
 * flow is not open. */
uint32_t jt_director_opening_sequence(struct jt_director *director);
/* Removes @flow from the cache and from its endpoint's load. */
void jt_director_flow_forget(struct jt_director *director,
			     struct jt_cached_flow *flow);
/* Sends a reset to the client of @key, whose last acknowledgement was
 * @acknowledged, because the flow's endpoint is dead. */
void jt_director_reset_dead(struct jt_director *director,
			    const struct jt_flow_key *key,
			    uint32_t acknowledged,
			    const struct jt_incarnation *incarnation,
			    uint64_t now_ms,
			    struct jt_director_actions *actions);
/* Sends a reset for @flow to its client and removes the flow. */
void jt_director_flow_reset(struct jt_director *director,
			    struct jt_cached_flow *flow,
			    const struct jt_incarnation *incarnation,
			    uint64_t now_ms,
			    struct jt_director_actions *actions);

/* Counts the cached flows with @label, which several incarnations share, at the
 * one that holds them. Call it after one of them has died, is alive again or
 * was removed from the table. */
void jt_director_flows_recount(struct jt_director *director, uint32_t label);

/* Returns true if the flow ended with its dead endpoint. A flow first seen
 * after the last confirmation of the death may belong to a restarted
 * endpoint. */
bool jt_director_flow_ended(const struct jt_cached_flow *flow,
			    const struct jt_incarnation *incarnation);
/*
 * Discards what was observed of the flows of the previous incarnation, which
 * @incarnation has replaced. The flows stay cached under their keys, so that
 * retransmissions of their SYNs go to no other endpoint; so do the flows of the
 * incarnation before it, which had @earliest_label.
 */
void jt_director_flows_supersede(struct jt_director *director,
				 const struct jt_incarnation *incarnation,
				 uint32_t earliest_label);

#endif
