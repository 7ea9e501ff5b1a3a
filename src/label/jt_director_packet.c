/* What becomes of one packet of a caller. */
#include "jt_director_packet.h"
#include "jt_director_flow.h"
#include "jt_director_suspicion.h"
#include "jt_mechanism.h"
#include "jt_outlier.h"

/* No flow carries so much from its caller. */
#define FLOW_BYTES_MOST (1u << 24)

enum {
	/* An answer of more bytes takes several segments. */
	LONE_BYTES = 1200,
	/* New part of the smoothed time to open: one in so many. */
	OPEN_PART = 16,
	/* A caller waits longer than that before it sends the same again: what
	 * comes sooner was doubled by the network. */
	RESEND_LEAST_MS = 100,
	/* A packet is held no longer: its caller has sent the same again. */
	HELD_MOST_MS = 2500,
	/* Flows without an answer that are looked at for each new one. */
	OPENING_LOOK = 256,
};

/* True when @a comes after @b (RFC 1982 for 32 bits). */
static bool sequence_after(uint32_t a, uint32_t b)
{
	return a != b && (uint32_t)(a - b) < 1u << 31;
}

/* Answer a first packet with a reset. */
static void add_reset(struct jt_director *director,
		      const struct jt_flow_key *key,
		      enum jt_director_reason reason,
		      struct jt_director_actions *actions)
{
	struct jt_director_action *action =
		jt_director_action_add(actions, JT_DIRECTOR_RESET, reason);

	director->counters.by_reason[reason]++;
	if (action == NULL)
		return;
	action->key = *key;
	action->reset_sequence = jt_director_opening_sequence(director);
	if (director->routing != NULL)
		action->version = director->routing->version;
}

static void add_drop(struct jt_director *director,
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

/* The driver offers the packet again when the node knows more. */
static void add_hold(struct jt_director *director,
		     const struct jt_label_packet *packet,
		     enum jt_director_reason reason,
		     struct jt_director_actions *actions)
{
	struct jt_director_action *action =
		jt_director_action_add(actions, JT_DIRECTOR_HOLD, reason);

	/* One that is held on was counted when it came. */
	if (packet->held_ms == 0)
		director->counters.by_reason[reason]++;
	if (action == NULL)
		return;
	action->key = packet->key;
	action->label = packet->label;
}

static void add_forward(struct jt_director *director,
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

/* What the caller's packet says of the time of the answer to its request. */
static struct jt_answer answer_of(const struct jt_director *director,
				  const struct jt_cached_flow *flow,
				  const struct jt_label_packet *packet,
				  uint64_t now_ms)
{
	return (struct jt_answer){
		.took_ms =
			(double)(now_ms - flow->waiting_ms) - director->open_ms,
		.lone = packet->length == 0 &&
			packet->acknowledged - flow->acknowledged <= LONE_BYTES,
	};
}

static void flow_answered(struct jt_director *director,
			  struct jt_cached_flow *flow,
			  struct jt_incarnation *incarnation,
			  const struct jt_label_packet *packet, uint64_t now_ms)
{
	struct jt_answer answer;

	if (flow->waiting_ms == 0)
		return;
	answer = answer_of(director, flow, packet, now_ms);
	jt_latency_add(director->latency, now_ms - flow->waiting_ms);
	jt_outlier_answered(incarnation, now_ms - flow->waiting_ms);
	jt_flow_cache_answered(director->flows, flow);
	if (incarnation->waiting > 0)
		incarnation->waiting--;
	jt_chooser_answered(director->chooser,
			    jt_routing_route(director->routing, &flow->key),
			    incarnation, &answer, now_ms);
}

static void flow_opened(struct jt_director *director,
			const struct jt_cached_flow *flow,
			struct jt_incarnation *incarnation, uint64_t now_ms)
{
	double took_ms = (double)(now_ms - flow->opening_ms);

	director->open_ms += (took_ms - director->open_ms) / OPEN_PART;
	jt_detector_opened(incarnation);
}

static void flow_waits(struct jt_director *director,
		       struct jt_cached_flow *flow,
		       struct jt_incarnation *incarnation, uint64_t now_ms)
{
	if (flow->waiting_ms != 0)
		return;
	jt_flow_cache_waits(director->flows, flow, now_ms);
	incarnation->waiting++;
	if (!flow->expected)
		jt_work_add(&incarnation->work, 1, now_ms);
	flow->expected = false;
}

/* A flow of @incarnation that this node has not seen before. */
static struct jt_cached_flow *flow_add(struct jt_director *director,
				       const struct jt_label_packet *packet,
				       struct jt_incarnation *incarnation,
				       uint64_t now_ms)
{
	struct jt_cached_flow *flow;

	if (jt_flow_cache_full(director->flows))
		jt_director_flow_forget(director, director->flows->rested);
	flow = jt_flow_cache_add(director->flows, &packet->key, now_ms);
	if (flow == NULL)
		return NULL;
	flow->label = incarnation->label;
	flow->sequence_end = packet->sequence + packet->length;
	flow->acknowledged = packet->acknowledged;
	flow->sent_ms = now_ms;
	incarnation->flows++;
	return flow;
}

/* Whether endpoints are coming back that may take the flow in a moment. */
static bool may_place_soon(const struct jt_director *director, uint64_t now_ms)
{
	return jt_director_learning_ms(director, now_ms) > 0 &&
	       jt_mechanism_on(director->options.without,
			       JT_MECHANISM_SPREAD_LEARNING);
}

static void place(struct jt_director *director,
		  const struct jt_label_packet *packet,
		  const struct jt_route *route, enum jt_director_reason reason,
		  uint64_t now_ms, struct jt_director_actions *actions)
{
	struct jt_incarnation *chosen;
	struct jt_cached_flow *flow;
	enum jt_director_reason refusal;

	chosen = jt_chooser_choose(director->chooser, director->endpoints,
				   director->routing, route, now_ms, &refusal);
	if (chosen == NULL && may_place_soon(director, now_ms)) {
		add_hold(director, packet, JT_DIRECTOR_LEARNING, actions);
		return;
	}
	if (chosen == NULL) {
		add_reset(director, &packet->key, refusal, actions);
		return;
	}
	if (chosen->entry.zone_id != director->options.zone_id)
		director->counters.placed_far++;
	flow = flow_add(director, packet, chosen, now_ms);
	if (flow != NULL) {
		jt_flow_cache_opening(director->flows, flow, now_ms);
		flow->expected = true;
		jt_work_add(&chosen->work, 1, now_ms);
	}
	add_forward(director, packet, chosen, reason, now_ms, actions);
}

/*
 * A caller that opens another flow while an earlier one of the route has got
 * no answer was most likely refused: an endpoint that has crashed answers to
 * the caller directly, and nothing of that passes here.
 */
static void suspect_refusal(struct jt_director *director,
			    const struct jt_flow_key *key, uint64_t now_ms,
			    struct jt_director_actions *actions)
{
	struct jt_cached_flow *flow = director->flows->opening;
	unsigned looked_at = 0;

	for (; flow != NULL && looked_at < OPENING_LOOK; looked_at++) {
		struct jt_cached_flow *next = flow->opening_next;

		if (!flow->doubted && flow->key.source == key->source &&
		    flow->key.destination == key->destination &&
		    flow->key.destination_port == key->destination_port)
			jt_director_doubt(director, flow, now_ms, actions);
		flow = next;
	}
}

/*
 * Whether a first packet belongs to the flow that is known by its key: a copy,
 * or one that was late or doubled. Otherwise the caller uses the port again;
 * its sequence numbers then begin anywhere else.
 */
static bool first_belongs(const struct jt_cached_flow *flow,
			  const struct jt_label_packet *packet)
{
	return flow->sequence_end - packet->sequence < FLOW_BYTES_MOST;
}

/*
 * Whether a copy of a first packet comes so late that its caller has given up,
 * and would open a flow in a zone that is drained now. Sooner than that, the
 * flow stays where its first packet went: another endpoint's answer might take
 * the caller's next packets away from it.
 */
static bool copy_too_late(const struct jt_director *director,
			  const struct jt_cached_flow *flow,
			  const struct jt_incarnation *incarnation,
			  uint64_t now_ms)
{
	return flow->opening_ms != 0 &&
	       now_ms - flow->opening_ms >= JT_CALLER_ENDS_MS &&
	       jt_zone_drains_has(&director->zone_drains,
				  incarnation->entry.zone_id);
}

/* The first packet has come before: stay with its endpoint. */
static void first_again(struct jt_director *director,
			const struct jt_label_packet *packet,
			struct jt_cached_flow *flow,
			struct jt_incarnation *incarnation, uint64_t now_ms,
			struct jt_director_actions *actions)
{
	/* The caller counts its copies; the network's own say nothing. */
	bool sent_again = flow->opening_ms != 0 &&
			  packet->acknowledged > flow->copies &&
			  packet->held_ms == 0;

	jt_flow_cache_touch(director->flows, flow, now_ms);
	if (sent_again) {
		flow->copies = packet->acknowledged;
		director->counters.resent++;
		jt_director_suspect(director, incarnation, JT_EVIDENCE_OPENING,
				    now_ms, actions);
	}
	add_forward(director, packet, incarnation, JT_DIRECTOR_REMEMBERED,
		    now_ms, actions);
}

/* The first packet of a flow, or a copy of it. */
static void packet_first(struct jt_director *director,
			 const struct jt_label_packet *packet, uint64_t now_ms,
			 struct jt_director_actions *actions)
{
	const struct jt_route *route =
		jt_routing_route(director->routing, &packet->key);
	struct jt_cached_flow *flow =
		jt_flow_cache_find(director->flows, &packet->key);
	enum jt_director_reason reason = JT_DIRECTOR_PLACED;
	struct jt_incarnation *incarnation;

	if (!jt_director_places(director)) {
		add_hold(director, packet, JT_DIRECTOR_NOT_STARTED, actions);
		return;
	}
	if (route == NULL) {
		add_reset(director, &packet->key, JT_DIRECTOR_NO_ROUTE,
			  actions);
		return;
	}
	if (flow != NULL && !first_belongs(flow, packet)) {
		jt_director_flow_forget(director, flow);
		flow = NULL;
	}
	if (flow != NULL) {
		incarnation = jt_endpoint_table_by_label(director->endpoints,
							 flow->label);
		if (director->options.break_mechanism &
		    JT_DIRECTOR_BREAK_PLACE_COPIES)
			incarnation = NULL;
		if (incarnation != NULL &&
		    copy_too_late(director, flow, incarnation, now_ms)) {
			add_drop(director, packet, JT_DIRECTOR_NO_ZONE,
				 actions);
			return;
		}
		if (incarnation != NULL &&
		    incarnation->state != JT_INCARNATION_DEAD) {
			first_again(director, packet, flow, incarnation, now_ms,
				    actions);
			return;
		}
		jt_director_flow_forget(director, flow);
		reason = JT_DIRECTOR_PLACED_AGAIN;
	}
	suspect_refusal(director, &packet->key, now_ms, actions);
	place(director, packet, route, reason, now_ms, actions);
}

/*
 * What data that comes again says. A flow that has had no answer yet may not
 * have opened: an endpoint that became full after its answer to the first
 * packet leaves the rest unanswered.
 */
static enum jt_evidence flow_evidence(const struct jt_cached_flow *flow)
{
	if (flow->answered && flow->resent > 1)
		return JT_EVIDENCE_FLOW;
	return JT_EVIDENCE_RESENT;
}

/* Learn from a packet what the flow's endpoint has done. */
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
		if (flow->opening_ms != 0)
			flow_opened(director, flow, incarnation, now_ms);
		else
			flow_answered(director, flow, incarnation, packet,
				      now_ms);
		flow->answered = flow->answered || flow->opening_ms == 0;
		flow->acknowledged = packet->acknowledged;
		jt_flow_cache_opened(director->flows, flow);
	}
	if (packet->length == 0)
		return;
	if (sequence_after(end, flow->sequence_end)) {
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
		flow_waits(director, flow, incarnation, now_ms);
	} else if (!answered && now_ms - flow->sent_ms >= RESEND_LEAST_MS) {
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
		       const struct jt_label_packet *packet)
{
	if (packet->flags & JT_PACKET_RST) {
		jt_director_flow_forget(director, flow);
		return;
	}
	if (flow->closing || !(packet->flags & JT_PACKET_FIN))
		return;
	flow->closing = true;
	if (incarnation->flows > 0)
		incarnation->flows--;
}

/* A packet of a flow that is open, or half open. */
static void packet_later(struct jt_director *director,
			 const struct jt_label_packet *packet, uint64_t now_ms,
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
		add_drop(director, packet, JT_DIRECTOR_NO_LABEL, actions);
		return;
	}
	incarnation = jt_endpoint_table_by_label(director->endpoints, label);
	if (incarnation == NULL && !jt_director_started(director)) {
		add_hold(director, packet, JT_DIRECTOR_NOT_STARTED, actions);
		return;
	}
	/* Its endpoint may be about to come back to the store: the flow goes on
	 * then, sooner than with what its caller sends again. */
	if (incarnation == NULL && jt_director_learning_ms(director, now_ms) &&
	    jt_mechanism_on(director->options.without,
			    JT_MECHANISM_HOLD_UNKNOWN)) {
		add_hold(director, packet, JT_DIRECTOR_UNKNOWN_LABEL, actions);
		return;
	}
	if (incarnation == NULL) {
		add_drop(director, packet, JT_DIRECTOR_UNKNOWN_LABEL, actions);
		return;
	}
	if (flow != NULL && flow->label != label) {
		/* Another node has placed a copy of the first packet. */
		jt_director_flow_forget(director, flow);
		flow = NULL;
	}
	if (incarnation->state == JT_INCARNATION_DEAD) {
		if (flow != NULL)
			jt_director_flow_forget(director, flow);
		if (!(packet->flags & JT_PACKET_RST))
			jt_director_reset_dead(director, &packet->key,
					       packet->acknowledged,
					       incarnation, now_ms, actions);
		return;
	}
	if (flow == NULL) {
		if (!(packet->flags & JT_PACKET_RST))
			flow = flow_add(director, packet, incarnation, now_ms);
		/* Now a flow here hangs on whether the peer was right. */
		if (jt_detector_peer_found_dead(incarnation, now_ms))
			jt_director_suspect(director, incarnation,
					    JT_EVIDENCE_FLOW, now_ms, actions);
	} else {
		jt_flow_cache_touch(director->flows, flow, now_ms);
		flow_observe(director, flow, incarnation, packet, now_ms,
			     actions);
	}
	if (flow != NULL)
		flow_close(director, flow, incarnation, packet);
	add_forward(director, packet, incarnation, reason, now_ms, actions);
}

void jt_director_packet(struct jt_director *director,
			const struct jt_label_packet *packet, uint64_t now_ms,
			struct jt_director_actions *actions)
{
	bool first = packet->flags & JT_PACKET_SYN;

	jt_director_openings(director, now_ms, actions);
	if (packet->held_ms >= (first ? JT_CALLER_ENDS_MS : HELD_MOST_MS)) {
		add_drop(director, packet, JT_DIRECTOR_LEARNING, actions);
		return;
	}
	if (first && packet->flags & JT_PACKET_ACK)
		add_drop(director, packet, JT_DIRECTOR_FORGED, actions);
	else if (first)
		packet_first(director, packet, now_ms, actions);
	else
		packet_later(director, packet, now_ms, actions);
}
