/*
 * Flows that are sought at peers: a copy of a first packet came, and this node
 * saw none before. Either the network lost the first one, or routers have moved
 * the flow here from a node that may have placed it. Two endpoints that answer
 * one caller take its packets from each other, so the copy waits for a moment
 * until the peers that were asked have answered.
 *
 * Bounded: messages by a budget of their own, flows that are sought by number.
 * What goes beyond is placed at once.
 *
 * Pure: times are the caller's, in milliseconds.
 */
#ifndef JT_FLOW_LOOKUP_H
#define JT_FLOW_LOOKUP_H

#include "jaspertrack/director-t.h"

/* Answers that take longer are not waited for. */
enum { JT_FLOW_LOOKUP_MS = 25 };

struct jt_flow_lookups;

/* NULL when memory runs out. */
struct jt_flow_lookups *jt_flow_lookups_create(TALLOC_CTX *mem_ctx);
/* Seek the flow of @packet, a first one. False where the limits
 * forbid it, or it was sought a moment ago. */
bool jt_flow_lookup_begin(struct jt_flow_lookups *lookups,
			  const struct jt_label_packet *packet,
			  uint64_t now_ms);
/* So many peers were asked for it. */
void jt_flow_lookup_asked(struct jt_flow_lookups *lookups,
			  const struct jt_flow_key *key, size_t peers,
			  uint64_t now_ms);
/* Whether answers are still waited for. */
bool jt_flow_lookup_waits(const struct jt_flow_lookups *lookups,
			  const struct jt_flow_key *key, uint64_t now_ms);
/* A peer has answered; @known: it has placed the flow. The packet that the flow
 * was sought for; NULL where it is not waited for any more. */
const struct jt_label_packet *
jt_flow_lookup_answered(struct jt_flow_lookups *lookups,
			const struct jt_flow_key *key, uint32_t sequence,
			bool known, uint64_t now_ms);

#endif
