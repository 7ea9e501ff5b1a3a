/* The decision library of placement by flow label. */
#ifndef JASPERTRACK_DIRECTOR_H
#define JASPERTRACK_DIRECTOR_H

#include "jaspertrack/director-t.h"

/* Fill @options with the default times and limits. */
void jt_director_options_init(struct jt_director_options *options);

struct jt_latency;
struct jt_admission;

/* A node that knows nothing yet; NULL when memory runs out. */
struct jt_director *jt_director_create(TALLOC_CTX *mem_ctx,
				       const struct jt_director_options *opts);

/*
 * Handle one event; what must be done is appended to @actions. A routing that
 * is taken becomes a talloc child of the director; one that is refused stays
 * with the caller (jt_director_routing() tells which).
 */
void jt_director_handle(struct jt_director *director,
			struct jt_director_event *event,
			struct jt_director_actions *actions);

struct jt_director_actions *jt_director_actions_create(TALLOC_CTX *mem_ctx);
void jt_director_actions_clear(struct jt_director_actions *actions);

/* True once routing and endpoints are known: held packets may be offered
 * again, and the node may be ready. */
bool jt_director_started(const struct jt_director *director);
/* Whether new flows are placed: some endpoints are enough for that. */
bool jt_director_places(const struct jt_director *director);

/* How long entries may still be missing at @now_ms: the first list was taken
 * while endpoints were coming back to the store; 0: all are known. */
uint32_t jt_director_learning_ms(const struct jt_director *director,
				 uint64_t now_ms);

/* Views for drivers; pointers are good until the next event. */
const struct jt_routing *
jt_director_routing(const struct jt_director *director);
const struct jt_director_counters *
jt_director_counters(const struct jt_director *director);
/* Of the requests that were answered; see jt_latency.h. */
const struct jt_latency *
jt_director_latency(const struct jt_director *director);
/* Which services are full, and what became of flows; see jt_admission.h. */
const struct jt_admission *
jt_director_admission(const struct jt_director *director);
size_t jt_director_flow_count(const struct jt_director *director);
/* All changes up to this revision are known, from wherever they came. */
uint64_t jt_director_revision(const struct jt_director *director);
/* How many incarnations are known in @state. */
size_t jt_director_endpoint_count(const struct jt_director *director,
				  enum jt_incarnation_state state);
/* How many ready incarnations are found slower, or faster, than is usual of
 * their service. */
size_t jt_director_slow_count(const struct jt_director *director,
			      uint64_t now_ms);
size_t jt_director_fast_count(const struct jt_director *director,
			      uint64_t now_ms);
/* The @index-th known incarnation, with its state; false past the last. */
bool jt_director_endpoint_at(const struct jt_director *director, size_t index,
			     struct jt_endpoint_entry *entry,
			     enum jt_incarnation_state *state);

/* The @index-th zone that is in drain, and since when this node knows of it;
 * NULL past the last. */
const struct jt_zone_drain *
jt_director_zone_drain_at(const struct jt_director *director, size_t index,
			  uint64_t *since_ms);

/* This node's share of the endpoints' flows; returns how many of @loads were
 * set. Endpoints past the limit take turns. */
size_t jt_director_loads(struct jt_director *director, uint64_t now_ms,
			 struct jt_endpoint_load loads[JT_LOAD_LIMIT]);

/* JT_DIRECTOR_FLOW_ASK was carried out: so many peers were asked. */
void jt_director_flow_asked(struct jt_director *director,
			    const struct jt_flow_key *key, size_t peers,
			    uint64_t now_ms);
/* The label of the flow whose first packet had @sequence, for a peer that asks;
 * 0 where this node does not know it, or its endpoint is dead. */
uint32_t jt_director_flow_label(const struct jt_director *director,
				const struct jt_flow_key *key,
				uint32_t sequence);

/* Failed requests that so many @peers are to be told of (JT_DIRECTOR_FAILURES);
 * returns how many of @failures were set. */
size_t
jt_director_failures(struct jt_director *director, uint64_t now_ms,
		     struct jt_endpoint_failure failures[JT_FAILURE_LIMIT],
		     size_t *peers);
/* Endpoints that get less than their part of new flows at @now_ms, since they
 * fail requests. */
size_t jt_director_reduced_count(const struct jt_director *director,
				 uint64_t now_ms);

/* The label that names an incarnation in a flow's packets; never 0. */
uint32_t jt_incarnation_label(uint64_t endpoint_id, uint64_t born_ms);
/* The same of an endpoint that tells no birth. */
uint32_t jt_flow_label(uint64_t endpoint_id);

const char *jt_director_reason_name(enum jt_director_reason reason);
const char *jt_incarnation_state_name(enum jt_incarnation_state state);
const char *jt_death_cause_name(enum jt_death_cause cause);

#endif
