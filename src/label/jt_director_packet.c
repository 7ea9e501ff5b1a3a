/* Decides what happens to one client packet. */
#include "jt_director_packet.h"
#include "jt_director_admission.h"
#include "jt_director_responses.h"
#include "jt_director_flow.h"
#include "jt_director_lookup.h"
#include "jt_director_suspicion.h"
#include "jt_feature.h"
#include "jt_outlier.h"

enum {
	/* Weight of a new sample of the smoothed response time of SYNs:
	 * 1/16. */
	OPEN_SMOOTHING = 16,
	/* Minimum time before a client retransmits: an earlier duplicate was
	 * made by the network. */
	RETRANSMIT_MIN_MS = 100,
	/* Maximum hold time of a packet: its client has retransmitted by
	 * then. */
	HOLD_MAX_MS = 2500,
	/* Maximum number of unanswered flows checked for each new flow. */
	OPENING_CHECK_MAX = 256,
};

/* Returns true if @a follows @b (RFC 1982 for 32 bits). */
static bool sequence_after(uint32_t a, uint32_t b)
{
	return a != b && (uint32_t)(a - b) < 1u << 31;
}

/* Adds a reset in response to a SYN; returns NULL when out of memory. */
static struct jt_director_action *reset_add(struct jt_director *director,
					    const struct jt_flow_key *key,
					    enum jt_director_reason reason,
					    struct jt_director_actions *actions)
{
	struct jt_director_action *action =
		jt_director_action_add(actions, JT_DIRECTOR_RESET, reason);

	director->counters.by_reason[reason]++;
	if (action == NULL)
		return NULL;
	action->key = *key;
	action->reset_sequence = jt_director_opening_sequence(director);
	if (director->routing != NULL)
		action->version = director->routing->version;
	return action;
}

static void drop_add(struct jt_director *director,
		     const struct jt_label_packet *packet,
		     enum jt_director_reason reason,
		     struct jt_director_actions *actions)
{
	struct jt_director_action *action =
		jt_director_action_add(actions, JT_DIRECTOR_DROP, reason);

	director->counters.by_reason[reason]++;
	if (action == NULL)
		return;
	action->key = packet->key;
	action->label = packet->label;
}

/* The driver retries the packet when the state has changed. */
static void hold_add(struct jt_director *director,
		     const struct jt_label_packet *packet,
		     enum jt_director_reason reason,
		     struct jt_director_actions *actions)
{
	struct jt_director_action *action =
		jt_director_action_add(actions, JT_DIRECTOR_HOLD, reason);

	/* A packet that is held again was counted the first time. */
	if (packet->held_ms == 0)
		director->counters.by_reason[reason]++;
	if (action == NULL)
		return;
	action->key = packet->key;
	action->label = packet->label;
}

static void forward_add(struct jt_director *director,
			const struct jt_label_packet *packet,
			const struct jt_incarnation *incarnation,
			enum jt_director_reason reason, uint64_t now_ms,
			struct jt_director_actions *actions)
{
	struct jt_director_action *action = jt_director_action_about(
		actions, JT_DIRECTOR_FORWARD, reason, incarnation, now_ms);

	director->counters.by_reason[reason]++;
	if (action == NULL)
		return;
	action->key = packet->key;
	if (director->routing != NULL)
		action->version = director->routing->version;
}

static void flow_opened(struct jt_director *director,
			const struct jt_cached_flow *flow,
			struct jt_incarnation *incarnation, uint64_t now_ms)
{
	double response_ms = (double)(now_ms - flow->opening_ms);

	director->open_ms += (response_ms - director->open_ms) / OPEN_SMOOTHING;
	jt_admission_opened(director->admission, incarnation->entry.service_id,
			    flow->opening_ms, now_ms);
	jt_detector_opened(incarnation);
}

static void flow_request(struct jt_director *director,
			 struct jt_cached_flow *flow,
			 struct jt_incarnation *incarnation, uint64_t now_ms)
{
	if (flow->waiting_ms != 0)
		return;
	jt_flow_cache_waits(director->flows, flow, now_ms);
	flow->response_from = flow->acknowledged;
	jt_admission_requested(director->admission,
			       incarnation->entry.service_id, now_ms);
	incarnation->waiting++;
	flow->first_since_assigned = flow->expected;
	if (!flow->expected)
		jt_recent_load_add(&incarnation->recent_load, 1, now_ms);
	flow->expected = false;
}

/* Returns true if endpoints that may accept the flow are still expected during
 * the initial synchronisation. */
static bool endpoints_expected(const struct jt_director *director,
			       uint64_t now_ms)
{
	return jt_director_initial_sync_ms(director, now_ms) > 0 &&
	       jt_feature_enabled(director->options.disabled_features,
				  JT_FEATURE_STAGGERED_INITIAL_SYNC);
}

/* Asks admission control about a new flow; adds a reset if it is rejected. */
static bool flow_admit(struct jt_director *director,
		       const struct jt_label_packet *packet,
		       const struct jt_route *route, uint64_t now_ms,
		       struct jt_director_actions *actions)
{
	struct jt_director_action *action;
	struct jt_admission_state admission;

	if (jt_director_admits(director, packet, route, now_ms, &admission))
		return true;
	action = reset_add(director, &packet->key, JT_DIRECTOR_OVERLOADED,
			   actions);
	if (action != NULL)
		action->admission = admission;
	return false;
}

/* Injected fault: asks admission control about assigned flows again. */
static bool fault_rejects_assigned(struct jt_director *director,
				   const struct jt_label_packet *packet,
				   const struct jt_route *route,
				   uint64_t now_ms,
				   struct jt_director_actions *actions)
{
	return director->options.injected_faults &
		       JT_DIRECTOR_FAULT_REJECT_ASSIGNED &&
	       !flow_admit(director, packet, route, now_ms, actions);
}

static void flow_assign(struct jt_director *director,
			const struct jt_label_packet *packet,
			const struct jt_route *route,
			enum jt_director_reason reason, uint64_t now_ms,
			struct jt_director_actions *actions)
{
	struct jt_incarnation *endpoint;
	struct jt_cached_flow *flow;
	enum jt_director_reason refusal;

	/* A flow whose endpoint has died was admitted before. */
	if (reason == JT_DIRECTOR_PLACED &&
	    !flow_admit(director, packet, route, now_ms, actions))
		return;
	endpoint =
		jt_chooser_choose(director->chooser, director->endpoints,
				  director->routing, route, now_ms, &refusal);
	if (endpoint == NULL && endpoints_expected(director, now_ms)) {
		hold_add(director, packet, JT_DIRECTOR_INITIAL_SYNC, actions);
		return;
	}
	if (endpoint == NULL) {
		reset_add(director, &packet->key, refusal, actions);
		return;
	}
	if (endpoint->entry.zone_id != director->options.zone_id)
		director->counters.placed_cross_zone++;
	flow = jt_director_flow_add(director, packet, endpoint, endpoint->label,
				    now_ms);
	if (flow != NULL) {
		jt_flow_cache_opening(director->flows, flow, now_ms);
		flow->expected = true;
		jt_recent_load_add(&endpoint->recent_load, 1, now_ms);
		jt_admission_assigned(director->admission,
				      endpoint->entry.service_id, now_ms);
	}
	forward_add(director, packet, endpoint, reason, now_ms, actions);
}

/* Suspects the endpoints of unanswered flows of the same client to the same
 * route. A client that opens another flow was most likely refused: the host of
 * a crashed endpoint sends its reset directly to the client. */
static void suspect_refusal(struct jt_director *director,
			    const struct jt_flow_key *key, uint64_t now_ms,
			    struct jt_director_actions *actions)
{
	struct jt_cached_flow *flow = director->flows->opening;
	unsigned checked = 0;

	for (; flow != NULL && checked < OPENING_CHECK_MAX; checked++) {
		struct jt_cached_flow *next = flow->opening_next;

		if (!flow->suspected && flow->key.source == key->source &&
		    flow->key.destination == key->destination &&
		    flow->key.destination_port == key->destination_port)
			jt_director_flow_suspect(director, flow, now_ms,
						 actions);
		flow = next;
	}
}

/* Returns true if a retransmitted SYN comes after its client has given up and
 * would open a flow in a zone that is drained now. An earlier one stays with
 * its first endpoint: a response of another endpoint could disrupt the flow. */
static bool retransmission_is_stale(const struct jt_director *director,
				    const struct jt_cached_flow *flow,
				    const struct jt_incarnation *incarnation,
				    uint64_t now_ms)
{
	return flow->opening_ms != 0 &&
	       now_ms - flow->opening_ms >= JT_CLIENT_OPEN_TIMEOUT_MS &&
	       jt_zone_drains_is_drained(&director->zone_drains,
					 incarnation->entry.zone_id);
}

/* Returns true if the client retransmitted the SYN: clients number
 * retransmissions in the acknowledgement field, so that duplicates made by the
 * network repeat a number. */
static bool syn_retransmitted(const struct jt_cached_flow *flow,
			      const struct jt_label_packet *packet)
{
	return flow->opening_ms != 0 && packet->acknowledged > flow->copies &&
	       packet->held_ms == 0;
}

/* Forwards a SYN that was seen before to its endpoint. */
static void packet_syn_repeated(struct jt_director *director,
				const struct jt_label_packet *packet,
				struct jt_cached_flow *flow,
				struct jt_incarnation *incarnation,
				uint64_t now_ms,
				struct jt_director_actions *actions)
{
	bool retransmitted = syn_retransmitted(flow, packet);

	jt_flow_cache_touch(director->flows, flow, now_ms);
	if (retransmitted) {
		flow->copies = packet->acknowledged;
		director->counters.resent++;
	}
	if (retransmitted &&
	    jt_incarnation_owns_flow(incarnation, flow->label)) {
		jt_director_suspect(director, incarnation,
				    JT_EVIDENCE_NO_RESPONSE, now_ms, actions);
	}
	forward_add(director, packet, incarnation, JT_DIRECTOR_REMEMBERED,
		    now_ms, actions);
}

/* Returns true if the client has sent a SYN again for a flow that has not
 * opened here, and the route no longer names the service of its endpoint. */
static bool retransmission_is_outdated(const struct jt_cached_flow *flow,
				       const struct jt_label_packet *packet,
				       const struct jt_incarnation *incarnation,
				       const struct jt_route *route)
{
	return flow->opening_ms != 0 && packet->acknowledged > 0 &&
	       !jt_route_names_service(route, incarnation->entry.service_id);
}

/* Handles a SYN of a flow that is in the cache. Returns false if it must be
 * assigned anew. */
static bool packet_syn_known(struct jt_director *director,
			     const struct jt_label_packet *packet,
			     const struct jt_route *route,
			     struct jt_cached_flow *flow, uint64_t now_ms,
			     struct jt_director_actions *actions)
{
	struct jt_incarnation *incarnation =
		jt_endpoint_table_by_label(director->endpoints, flow->label);

	if (incarnation == NULL ||
	    director->options.injected_faults &
		    JT_DIRECTOR_FAULT_REASSIGN_RETRANSMITTED)
		return false;
	if (retransmission_is_stale(director, flow, incarnation, now_ms)) {
		drop_add(director, packet, JT_DIRECTOR_NO_ZONE, actions);
		return true;
	}
	/* Another endpoint's response could disrupt the flow if its first one
	 * has responded meanwhile. The client ignores a reset then. */
	if (retransmission_is_outdated(flow, packet, incarnation, route)) {
		jt_director_flow_forget(director, flow);
		reset_add(director, &packet->key, JT_DIRECTOR_ROUTE_CHANGED,
			  actions);
		return true;
	}
	if (incarnation->state != JT_INCARNATION_DEAD) {
		if (!fault_rejects_assigned(director, packet, route, now_ms,
					    actions))
			packet_syn_repeated(director, packet, flow, incarnation,
					    now_ms, actions);
		return true;
	}
	/* The flow may be open at the restarted endpoint. */
	if (!syn_retransmitted(flow, packet) &&
	    !jt_director_flow_ended(flow, incarnation)) {
		drop_add(director, packet, JT_DIRECTOR_DEATH_UNCONFIRMED,
			 actions);
		return true;
	}
	return false;
}

/* Handles the SYN of a flow or a retransmission of it. */
static void packet_syn(struct jt_director *director,
		       const struct jt_label_packet *packet, uint64_t now_ms,
		       struct jt_director_actions *actions)
{
	const struct jt_route *route =
		jt_routing_route(director->routing, &packet->key);
	struct jt_cached_flow *flow =
		jt_flow_cache_find(director->flows, &packet->key);
	enum jt_director_reason reason = JT_DIRECTOR_PLACED;

	if (!jt_director_accepts_flows(director)) {
		hold_add(director, packet, JT_DIRECTOR_NOT_STARTED, actions);
		return;
	}
	if (route == NULL) {
		reset_add(director, &packet->key, JT_DIRECTOR_NO_ROUTE,
			  actions);
		return;
	}
	if (flow != NULL &&
	    !jt_director_flow_has_first(flow, packet->sequence)) {
		jt_director_flow_forget(director, flow);
		flow = NULL;
	}
	if (flow != NULL) {
		if (packet_syn_known(director, packet, route, flow, now_ms,
				     actions))
			return;
		jt_director_flow_forget(director, flow);
		reason = JT_DIRECTOR_PLACED_AGAIN;
	} else if (jt_director_lookup_waits(director, packet, now_ms,
					    actions)) {
		hold_add(director, packet, JT_DIRECTOR_FLOW_LOOKUP_PENDING,
			 actions);
		return;
	}
	suspect_refusal(director, &packet->key, now_ms, actions);
	flow_assign(director, packet, route, reason, now_ms, actions);
}

/* Classifies retransmitted data. A flow without any response may not have
 * opened: an endpoint that reached its connection limit after its SYN-ACK
 * leaves the rest unanswered. */
static enum jt_evidence flow_evidence(const struct jt_cached_flow *flow)
{
	if (flow->answered && flow->resent > 1)
		return JT_EVIDENCE_UNACKNOWLEDGED;
	return JT_EVIDENCE_RETRANSMISSION;
}

/* Updates the state of a flow and its endpoint from a client packet. */
static void flow_observe(struct jt_director *director,
			 struct jt_cached_flow *flow,
			 struct jt_incarnation *incarnation,
			 const struct jt_label_packet *packet, uint64_t now_ms,
			 struct jt_director_actions *actions)
{
	uint32_t end = packet->sequence + packet->length;
	bool answered =
		flow->opening_ms != 0 ||
		sequence_after(packet->acknowledged, flow->acknowledged);
	const struct jt_route *route;

	if (answered || sequence_after(end, flow->sequence_end))
		flow->resent = 0;
	if (answered) {
		jt_detector_progress(&director->detector, incarnation,
				     flow->opening_ms != 0 ? flow->opening_ms
							   : flow->waiting_ms,
				     now_ms);
		flow->acknowledged = packet->acknowledged;
		if (flow->opening_ms != 0)
			flow_opened(director, flow, incarnation, now_ms);
		else
			jt_director_response_progress(
				director, flow, incarnation, packet, now_ms);
		flow->answered = flow->answered || flow->opening_ms == 0;
		jt_flow_cache_opened(director->flows, flow);
	}
	if (packet->length == 0)
		return;
	if (sequence_after(end, flow->sequence_end)) {
		jt_director_response_end(director, flow, incarnation, now_ms);
		flow->sequence_end = end;
		flow->sent_ms = now_ms;
		if (flow->waiting_ms == 0) {
			route = jt_routing_route(director->routing,
						 &packet->key);
			if (route != NULL)
				jt_splits_count(director->chooser->splits,
						route,
						incarnation->entry.service_id);
		}
		flow_request(director, flow, incarnation, now_ms);
	} else if (!answered && now_ms - flow->sent_ms >= RETRANSMIT_MIN_MS) {
		director->counters.resent++;
		flow->resent++;
		flow->sent_ms = now_ms;
		jt_director_suspect(director, incarnation, flow_evidence(flow),
				    now_ms, actions);
	}
}

static void flow_close(struct jt_director *director,
		       struct jt_cached_flow *flow,
		       struct jt_incarnation *incarnation,
		       const struct jt_label_packet *packet, uint64_t now_ms)
{
	if (packet->flags & JT_PACKET_RST) {
		jt_director_flow_forget(director, flow);
		return;
	}
	if (flow->closing || !(packet->flags & JT_PACKET_FIN))
		return;
	jt_director_response_end(director, flow, incarnation, now_ms);
	flow->closing = true;
	if (jt_incarnation_owns_flow(incarnation, flow->label) &&
	    incarnation->flows > 0)
		incarnation->flows--;
}

/* Injected fault: ends flows at endpoints with a reduced traffic share. */
static bool fault_ends_failing(const struct jt_director *director,
			       const struct jt_incarnation *incarnation,
			       uint64_t now_ms)
{
	return (director->options.injected_faults &
		JT_DIRECTOR_FAULT_RESET_REDUCED) != 0 &&
	       jt_outlier_share_permille(incarnation, now_ms) <
		       JT_FULL_SHARE_PERMILLE;
}

/* Handles a packet of a flow whose endpoint is dead. If the endpoint may have
 * restarted, the flow may be open there: it is reset only after a probe sent
 * later confirms that nothing responds. */
static void packet_dead_endpoint(struct jt_director *director,
				 const struct jt_label_packet *packet,
				 uint32_t label, struct jt_cached_flow *flow,
				 struct jt_incarnation *incarnation,
				 uint64_t now_ms,
				 struct jt_director_actions *actions)
{
	bool reset = !(packet->flags & JT_PACKET_RST);

	if (flow == NULL && reset && incarnation->entry.start_time_ms != 0)
		flow = jt_director_flow_add(director, packet, incarnation,
					    label, now_ms);
	/* The flow was not open when its SYN was seen here. */
	if (flow != NULL && flow->opening_ms != 0) {
		jt_flow_cache_opened(director->flows, flow);
		flow->first_seen_ms = now_ms;
	}
	if (reset && flow != NULL &&
	    !jt_director_flow_ended(flow, incarnation)) {
		flow->acknowledged = packet->acknowledged;
		jt_detector_request_confirmation(&director->detector,
						 incarnation);
		drop_add(director, packet, JT_DIRECTOR_DEATH_UNCONFIRMED,
			 actions);
		return;
	}
	if (flow != NULL)
		jt_director_flow_forget(director, flow);
	if (reset)
		jt_director_reset_dead(director, &packet->key,
				       packet->acknowledged, incarnation,
				       now_ms, actions);
}

/* Handles a packet of an open or half-open flow. */
static void packet_established(struct jt_director *director,
			       const struct jt_label_packet *packet,
			       uint64_t now_ms,
			       struct jt_director_actions *actions)
{
	struct jt_cached_flow *flow =
		jt_flow_cache_find(director->flows, &packet->key);
	enum jt_director_reason reason = JT_DIRECTOR_LABELLED;
	struct jt_incarnation *incarnation;
	uint32_t label = packet->label;

	if (label == 0 && flow != NULL) {
		label = flow->label;
		reason = JT_DIRECTOR_REMEMBERED;
	}
	if (label == 0) {
		drop_add(director, packet, JT_DIRECTOR_NO_LABEL, actions);
		return;
	}
	incarnation = jt_endpoint_table_flow_holder(director->endpoints, label);
	if (incarnation == NULL && !jt_director_started(director)) {
		hold_add(director, packet, JT_DIRECTOR_NOT_STARTED, actions);
		return;
	}
	/* If its endpoint may still renew its entry, holding the packet is
	 * faster than waiting for the client to retransmit. */
	if (incarnation == NULL &&
	    jt_director_initial_sync_ms(director, now_ms) &&
	    jt_feature_enabled(director->options.disabled_features,
			       JT_FEATURE_HOLD_UNKNOWN_LABEL)) {
		hold_add(director, packet, JT_DIRECTOR_UNKNOWN_LABEL, actions);
		return;
	}
	if (incarnation == NULL) {
		drop_add(director, packet, JT_DIRECTOR_UNKNOWN_LABEL, actions);
		return;
	}
	if (flow != NULL && flow->label != label) {
		/* Another node has assigned a retransmission of the SYN. */
		jt_director_flow_forget(director, flow);
		flow = NULL;
	}
	if (incarnation->state == JT_INCARNATION_DEAD) {
		packet_dead_endpoint(director, packet, label, flow, incarnation,
				     now_ms, actions);
		return;
	}
	if (flow != NULL && fault_ends_failing(director, incarnation, now_ms)) {
		jt_director_flow_reset(director, flow, incarnation, now_ms,
				       actions);
		return;
	}
	if (flow == NULL) {
		if (!(packet->flags & JT_PACKET_RST))
			flow = jt_director_flow_add(director, packet,
						    incarnation, label, now_ms);
		/* The peer's death report affects a flow of this node now. */
		if (jt_detector_peer_reported_dead(incarnation, now_ms))
			jt_director_suspect(director, incarnation,
					    JT_EVIDENCE_UNACKNOWLEDGED, now_ms,
					    actions);
	} else {
		jt_flow_cache_touch(director->flows, flow, now_ms);
		/* A flow assigned to an earlier incarnation gives no evidence
		 * about this one until a response carries this one's label. */
		if (jt_incarnation_owns_flow(incarnation, label))
			flow_observe(director, flow, incarnation, packet,
				     now_ms, actions);
	}
	if (flow != NULL)
		flow_close(director, flow, incarnation, packet, now_ms);
	forward_add(director, packet, incarnation, reason, now_ms, actions);
}

void jt_director_packet(struct jt_director *director,
			const struct jt_label_packet *packet, uint64_t now_ms,
			struct jt_director_actions *actions)
{
	bool first = packet->flags & JT_PACKET_SYN;

	jt_director_openings_check(director, now_ms, actions);
	jt_director_responses_check(director, now_ms, actions);
	if (packet->held_ms >=
	    (first ? JT_CLIENT_OPEN_TIMEOUT_MS : HOLD_MAX_MS)) {
		drop_add(director, packet, JT_DIRECTOR_INITIAL_SYNC, actions);
		return;
	}
	if (first && packet->flags & JT_PACKET_ACK)
		drop_add(director, packet, JT_DIRECTOR_FORGED, actions);
	else if (first)
		packet_syn(director, packet, now_ms, actions);
	else
		packet_established(director, packet, now_ms, actions);
}
