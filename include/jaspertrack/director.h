/* The decision library of the flow-label director. */
#ifndef JASPERTRACK_DIRECTOR_H
#define JASPERTRACK_DIRECTOR_H

#include "jaspertrack/director-t.h"

/* Fills @options with the default limits and durations. */
void jt_director_options_init(struct jt_director_options *options);

struct jt_latency;
struct jt_admission;

/* Returns a director without routing or endpoints; NULL when out of memory. */
struct jt_director *jt_director_create(TALLOC_CTX *mem_ctx,
				       const struct jt_director_options *opts);

/* Handles one event and appends the resulting actions to @actions. An accepted
 * routing becomes a talloc child of the director; a rejected one stays owned by
 * the caller. jt_director_routing() returns the one in force. */
void jt_director_handle(struct jt_director *director,
			struct jt_director_event *event,
			struct jt_director_actions *actions);

/* Returns an empty action list; NULL when out of memory. */
struct jt_director_actions *jt_director_actions_create(TALLOC_CTX *mem_ctx);
/* Empties the list but keeps its memory. */
void jt_director_actions_clear(struct jt_director_actions *actions);

/* Returns true once routing and endpoints are known: held packets may be
 * retried and the node may report ready. */
bool jt_director_started(const struct jt_director *director);
/* Returns true if new flows are assigned: a partial set of endpoints is
 * enough. */
bool jt_director_accepts_flows(const struct jt_director *director);

/* Returns the remaining milliseconds of the initial synchronisation, in which
 * entries may still be missing; 0 when it is complete. */
uint32_t jt_director_initial_sync_ms(const struct jt_director *director,
				     uint64_t now_ms);

/* Accessors for drivers; returned pointers are valid until the next event. */
const struct jt_routing *
jt_director_routing(const struct jt_director *director);
/* Returns the event counters since the start. */
const struct jt_director_counters *
jt_director_counters(const struct jt_director *director);
/* Returns the response times of answered requests. */
const struct jt_latency *
jt_director_latency(const struct jt_director *director);
/* Returns the admission state of the services. */
const struct jt_admission *
jt_director_admission(const struct jt_director *director);
size_t jt_director_flow_count(const struct jt_director *director);
/* Returns the revision up to which all changes are known. */
uint64_t jt_director_revision(const struct jt_director *director);
/* Returns the number of known incarnations in @state. */
size_t jt_director_endpoint_count(const struct jt_director *director,
				  enum jt_incarnation_state state);
/* Return the number of ready incarnations that respond slower or faster than is
 * usual for their service. */
size_t jt_director_slow_count(const struct jt_director *director,
			      uint64_t now_ms);
size_t jt_director_fast_count(const struct jt_director *director,
			      uint64_t now_ms);
/* Gets the @index-th known incarnation and its state; returns false past the
 * last. */
bool jt_director_endpoint_at(const struct jt_director *director, size_t index,
			     struct jt_endpoint_entry *entry,
			     enum jt_incarnation_state *state);

/* Returns the @index-th drained zone and sets @since_ms to the time at which
 * this node learned of the drain; NULL past the last. */
const struct jt_zone_drain *
jt_director_zone_drain_at(const struct jt_director *director, size_t index,
			  uint64_t *since_ms);

/* Fills @loads with this node's load at the endpoints and returns their number.
 * Successive calls continue where the last report ended. */
size_t jt_director_loads(struct jt_director *director, uint64_t now_ms,
			 struct jt_endpoint_load loads[JT_LOAD_LIMIT]);

/* Records that JT_DIRECTOR_FLOW_LOOKUP was sent to @peers peers. */
void jt_director_flow_lookup_sent(struct jt_director *director,
				  const struct jt_flow_key *key, size_t peers,
				  uint64_t now_ms);
/* Returns the label of the flow whose SYN had @sequence, in response to a
 * peer's lookup; 0 if the flow is unknown or its endpoint is dead. */
uint32_t jt_director_flow_label(const struct jt_director *director,
				const struct jt_flow_key *key,
				uint32_t sequence);

/* Takes the pending failure report (JT_DIRECTOR_FAILURES) and sets @peers to
 * the number of peers to send it to. Returns the number of @failures set. */
size_t
jt_director_failures(struct jt_director *director, uint64_t now_ms,
		     struct jt_endpoint_failure failures[JT_FAILURE_LIMIT],
		     size_t *peers);
/* Returns the number of endpoints whose traffic share is reduced at @now_ms
 * because they fail requests. */
size_t jt_director_reduced_count(const struct jt_director *director,
				 uint64_t now_ms);

/* Returns the label that identifies an incarnation in a flow's packets; never
 * 0. */
uint32_t jt_incarnation_label(uint64_t endpoint_id, uint64_t start_time_ms);
/* Returns the label of an endpoint without a start time. */
uint32_t jt_flow_label(uint64_t endpoint_id);

/* Return the names used in logs and metrics. */
const char *jt_director_reason_name(enum jt_director_reason reason);
const char *jt_incarnation_state_name(enum jt_incarnation_state state);
const char *jt_death_cause_name(enum jt_death_cause cause);

#endif
