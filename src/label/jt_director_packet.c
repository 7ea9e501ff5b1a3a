/* What becomes of one packet of a caller. */
#include "jt_director_packet.h"
#include "jt_director_admission.h"
#include "jt_director_answers.h"
#include "jt_director_flow.h"
#include "jt_director_lookup.h"
#include "jt_director_suspicion.h"
#include "jt_mechanism.h"
#include "jt_outlier.h"

enum {
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

/* Answer a first packet with a reset; NULL when memory runs out. */
static struct jt_director_action *add_reset(struct jt_director *director,
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

static void flow_opened(struct jt_director *director,
			const struct jt_cached_flow *flow,
			struct jt_incarnation *incarnation, uint64_t now_ms)
{
	double took_ms = (double)(now_ms - flow->opening_ms);

	director->open_ms += (took_ms - director->open_ms) / OPEN_PART;
	jt_admission_opened(director->admission, incarnation->entry.service_id,
			    flow->opening_ms, now_ms);
	jt_detector_opened(incarnation);
}

static void flow_waits(struct jt_director *director,
		       struct jt_cached_flow *flow,
		       struct jt_incarnation *incarnation, uint64_t now_ms)
{
	if (flow->waiting_ms != 0)
		return;
	jt_flow_cache_waits(director->flows, flow, now_ms);
	flow->answer_from = flow->acknowledged;
	jt_admission_requested(director->admission,
			       incarnation->entry.service_id, now_ms);
	incarnation->waiting++;
	flow->placing = flow->expected;
	if (!flow->expected)
		jt_work_add(&incarnation->work, 1, now_ms);
	flow->expected = false;
}

/* Whether endpoints are coming back that may take the flow in a moment. */
static bool may_place_soon(const struct jt_director *director, uint64_t now_ms)
{
	return jt_director_learning_ms(director, now_ms) > 0 &&
	       jt_mechanism_on(director->options.without,
			       JT_MECHANISM_SPREAD_LEARNING);
}

/* Whether the service has room for a new flow; refuses it otherwise. */
static bool admit(struct jt_director *director,
		  const struct jt_label_packet *packet,
		  const struct jt_route *route, uint64_t now_ms,
		  struct jt_director_actions *actions)
{
	struct jt_director_action *action;
	struct jt_director_room room;

	if (jt_director_admits(director, packet, route, now_ms, &room))
		return true;
	action = add_reset(director, &packet->key, JT_DIRECTOR_OVERLOADED,
			   actions);
	if (action != NULL)
		action->room = room;
	return false;
}

/* A fault of tests: flows that have their endpoint are asked about again. */
static bool refuses_placed(struct jt_director *director,
			   const struct jt_label_packet *packet,
			   const struct jt_route *route, uint64_t now_ms,
			   struct jt_director_actions *actions)
{
	return director->options.break_mechanism &
		       JT_DIRECTOR_BREAK_REFUSE_PLACED &&
	       !admit(director, packet, route, now_ms, actions);
}

static void place(struct jt_director *director,
		  const struct jt_label_packet *packet,
		  const struct jt_route *route, enum jt_director_reason reason,
		  uint64_t now_ms, struct jt_director_actions *actions)
{
	struct jt_incarnation *chosen;
	struct jt_cached_flow *flow;
	enum jt_director_reason refusal;

	/* One whose endpoint has died was admitted before. */
	if (reason == JT_DIRECTOR_PLACED &&
	    !admit(director, packet, route, now_ms, actions))
		return;
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
	flow = jt_director_flow_add(director, packet, chosen, chosen->label,
				    now_ms);
	if (flow != NULL) {
		jt_flow_cache_opening(director->flows, flow, now_ms);
		flow->expected = true;
		jt_work_add(&chosen->work, 1, now_ms);
		jt_admission_placed(director->admission,
				    chosen->entry.service_id, now_ms);
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

/* Whether the caller sent the first packet again: it counts its copies; the
 * network's own say nothing. */
static bool first_sent_again(const struct jt_cached_flow *flow,
			     const struct jt_label_packet *packet)
{
	return flow->opening_ms != 0 && packet->acknowledged > flow->copies &&
	       packet->held_ms == 0;
}

/* The first packet has come before: stay with its endpoint. */
static void first_again(struct jt_director *director,
			const struct jt_label_packet *packet,
			struct jt_cached_flow *flow,
			struct jt_incarnation *incarnation, uint64_t now_ms,
			struct jt_director_actions *actions)
{
	bool sent_again = first_sent_again(flow, packet);

	jt_flow_cache_touch(director->flows, flow, now_ms);
	if (sent_again) {
		flow->copies = packet->acknowledged;
		director->counters.resent++;
	}
	if (sent_again && jt_incarnation_placed(incarnation, flow->label)) {
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
	if (flow != NULL &&
	    !jt_director_flow_has_first(flow, packet->sequence)) {
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
			if (refuses_placed(director, packet, route, now_ms,
					   actions))
				return;
			first_again(director, packet, flow, incarnation, now_ms,
				    actions);
			return;
		}
		/* The flow may be open where the endpoint started again. */
		if (incarnation != NULL && !first_sent_again(flow, packet) &&
		    !jt_director_flow_ended(flow, incarnation)) {
			add_drop(director, packet, JT_DIRECTOR_UNPROVEN,
				 actions);
			return;
		}
		jt_director_flow_forget(director, flow);
		reason = JT_DIRECTOR_PLACED_AGAIN;
	} else if (jt_director_lookup_waits(director, packet, now_ms,
					    actions)) {
		add_hold(director, packet, JT_DIRECTOR_PEERS_ASKED, actions);
		return;
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
		flow->acknowledged = packet->acknowledged;
		if (flow->opening_ms != 0)
			flow_opened(director, flow, incarnation, now_ms);
		else
			jt_director_answer_progress(director, flow, incarnation,
						    packet, now_ms);
		flow->answered = flow->answered || flow->opening_ms == 0;
		jt_flow_cache_opened(director->flows, flow);
	}
	if (packet->length == 0)
		return;
	if (sequence_after(end, flow->sequence_end)) {
		jt_director_answer_end(director, flow, incarnation, now_ms);
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
		       const struct jt_label_packet *packet, uint64_t now_ms)
{
	if (packet->flags & JT_PACKET_RST) {
		jt_director_flow_forget(director, flow);
		return;
	}
	if (flow->closing || !(packet->flags & JT_PACKET_FIN))
		return;
	jt_director_answer_end(director, flow, incarnation, now_ms);
	flow->closing = true;
	if (jt_incarnation_placed(incarnation, flow->label) &&
	    incarnation->flows > 0)
		incarnation->flows--;
}

/* A fault of tests: flows end where new ones are kept away. */
static bool breaks_failing(const struct jt_director *director,
			   const struct jt_incarnation *incarnation,
			   uint64_t now_ms)
{
	return (director->options.break_mechanism &
		JT_DIRECTOR_BREAK_END_FAILING) != 0 &&
	       jt_outlier_share_permille(incarnation, now_ms) <
		       JT_FULL_SHARE_PERMILLE;
}

/*
 * A packet of a flow whose endpoint is dead. Where the endpoint may have
 * started again, the flow may be open there: it is reset once a probe that was
 * sent later shows that nobody is.
 */
static void packet_to_dead(struct jt_director *director,
			   const struct jt_label_packet *packet, uint32_t label,
			   struct jt_cached_flow *flow,
			   struct jt_incarnation *incarnation, uint64_t now_ms,
			   struct jt_director_actions *actions)
{
	bool reset = !(packet->flags & JT_PACKET_RST);

	if (flow == NULL && reset && incarnation->entry.born_ms != 0)
		flow = jt_director_flow_add(director, packet, incarnation,
					    label, now_ms);
	/* It had not opened when it came here first. */
	if (flow != NULL && flow->opening_ms != 0) {
		jt_flow_cache_opened(director->flows, flow);
		flow->first_seen_ms = now_ms;
	}
	if (reset && flow != NULL &&
	    !jt_director_flow_ended(flow, incarnation)) {
		flow->acknowledged = packet->acknowledged;
		jt_detector_want_proof(&director->detector, incarnation);
		add_drop(director, packet, JT_DIRECTOR_UNPROVEN, actions);
		return;
	}
	if (flow != NULL)
		jt_director_flow_forget(director, flow);
	if (reset)
		jt_director_reset_dead(director, &packet->key,
				       packet->acknowledged, incarnation,
				       now_ms, actions);
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
		packet_to_dead(director, packet, label, flow, incarnation,
			       now_ms, actions);
		return;
	}
	if (flow != NULL && breaks_failing(director, incarnation, now_ms)) {
		jt_director_flow_reset(director, flow, incarnation, now_ms,
				       actions);
		return;
	}
	if (flow == NULL) {
		if (!(packet->flags & JT_PACKET_RST))
			flow = jt_director_flow_add(director, packet,
						    incarnation, label, now_ms);
		/* Now a flow here hangs on whether the peer was right. */
		if (jt_detector_peer_found_dead(incarnation, now_ms))
			jt_director_suspect(director, incarnation,
					    JT_EVIDENCE_FLOW, now_ms, actions);
	} else {
		jt_flow_cache_touch(director->flows, flow, now_ms);
		/* One that was placed at an earlier incarnation says nothing of
		 * this one, until it is answered with this one's label. */
		if (jt_incarnation_placed(incarnation, label))
			flow_observe(director, flow, incarnation, packet,
				     now_ms, actions);
	}
	if (flow != NULL)
		flow_close(director, flow, incarnation, packet, now_ms);
	add_forward(director, packet, incarnation, reason, now_ms, actions);
}

void jt_director_packet(struct jt_director *director,
			const struct jt_label_packet *packet, uint64_t now_ms,
			struct jt_director_actions *actions)
{
	bool first = packet->flags & JT_PACKET_SYN;

	jt_director_openings(director, now_ms, actions);
	jt_director_answers_look(director, now_ms, actions);
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
