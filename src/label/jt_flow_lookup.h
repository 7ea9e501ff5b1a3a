/*
 * Lookups of flows at peers, for a retransmitted SYN whose flow is unknown
 * here. Either the first SYN was lost, or routers moved the flow from a node
 * that may have assigned it. Two endpoints that respond to one client disrupt
 * its flow, so the SYN waits briefly for the peers' responses.
 *
 * The messages are bounded by a budget, the lookups by number. Flows beyond
 * these limits are assigned at once.
 *
 * The module has no clock: callers pass the time in milliseconds.
 */
#ifndef JT_FLOW_LOOKUP_H
#define JT_FLOW_LOOKUP_H

#include "jaspertrack/director-t.h"

/* Timeout of a lookup. */
enum { JT_FLOW_LOOKUP_MS = 25 };

struct jt_flow_lookups;

/* Returns NULL when out of memory. */
struct jt_flow_lookups *jt_flow_lookups_create(TALLOC_CTX *mem_ctx);
/* Starts a lookup for the flow of @packet, a SYN. Returns false if a limit is
 * reached or the flow was looked up a moment ago. */
bool jt_flow_lookup_begin(struct jt_flow_lookups *lookups,
			  const struct jt_label_packet *packet,
			  uint64_t now_ms);
/* Records that the lookup was sent to @peers peers. */
void jt_flow_lookup_sent(struct jt_flow_lookups *lookups,
			 const struct jt_flow_key *key, size_t peers,
			 uint64_t now_ms);
/* Returns true if responses are still awaited. */
bool jt_flow_lookup_waits(const struct jt_flow_lookups *lookups,
			  const struct jt_flow_key *key, uint64_t now_ms);
/* Records a peer's response; @known: it has assigned the flow. Returns the
 * packet that waits for the lookup; NULL if it no longer waits. */
const struct jt_label_packet *
jt_flow_lookup_answered(struct jt_flow_lookups *lookups,
			const struct jt_flow_key *key, uint32_t sequence,
			bool known, uint64_t now_ms);

#endif
