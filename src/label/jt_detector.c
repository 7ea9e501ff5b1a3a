#include "jt_detector.h"

enum {
	AVOID_MS = 500,
	AVOID_DOUBLINGS_MAX = 3,
	/* Consecutive failed probes that confirm death without evidence
	 * from a flow. A single one may be due to a burst of connections
	 * from many nodes, or to an endpoint that is shutting down and
	 * accepts no more. */
	PROBES_TO_CONFIRM = 2,
	/* Time for which a peer's death report is used. By then discovery has
	 * removed most terminated endpoints; otherwise new flows show whether
	 * the endpoint answers. */
	PEER_REPORT_MS = 5000,
};

void jt_detector_init(struct jt_detector *detector,
		      const struct jt_director_options *options)
{
	*detector = (struct jt_detector){
		.probe_pause_ms = options->probe_pause_ms,
		.dead_probe_pause_ms = options->dead_probe_pause_ms,
		.injected_faults = options->injected_faults,
	};
}

void jt_detector_progress(struct jt_detector *detector,
			  struct jt_incarnation *incarnation, uint64_t sent_ms,
			  uint64_t now_ms)
{
	if (sent_ms > detector->contact_ms)
		detector->contact_ms = sent_ms;
	incarnation->progress_ms = now_ms;
	incarnation->probe_connects = 0;
	incarnation->failed_probes = 0;
	incarnation->suspected_ms = 0;
	incarnation->flow_unacknowledged = false;
	incarnation->peer_report_ms = 0;
}

void jt_detector_peer_report(struct jt_incarnation *incarnation,
			     uint64_t now_ms)
{
	incarnation->peer_report_ms = now_ms;
}

bool jt_detector_peer_reported_dead(const struct jt_incarnation *incarnation,
				    uint64_t now_ms)
{
	return incarnation->peer_report_ms != 0 &&
	       now_ms - incarnation->peer_report_ms < PEER_REPORT_MS;
}

/* Avoids the incarnation, twice as long after each consecutive unanswered
 * first packet. */
static void avoid(struct jt_incarnation *incarnation, uint64_t now_ms)
{
	uint32_t doublings = incarnation->unanswered;

	if (doublings > AVOID_DOUBLINGS_MAX)
		doublings = AVOID_DOUBLINGS_MAX;
	incarnation->unanswered++;
	incarnation->avoid_until_ms =
		now_ms + ((uint64_t)AVOID_MS << doublings);
}

bool jt_detector_suspect(struct jt_detector *detector,
			 struct jt_incarnation *incarnation,
			 enum jt_evidence evidence, uint64_t now_ms)
{
	if (detector->injected_faults & JT_DIRECTOR_FAULT_NO_DETECTOR)
		return false;
	if (incarnation->state == JT_INCARNATION_DEAD)
		return false;
	if (evidence == JT_EVIDENCE_NO_RESPONSE)
		avoid(incarnation, now_ms);
	else if (incarnation->suspected_ms == 0)
		incarnation->suspected_ms = now_ms;
	if (evidence == JT_EVIDENCE_UNACKNOWLEDGED)
		incarnation->flow_unacknowledged = true;
	return !incarnation->probing && now_ms >= incarnation->probe_next_ms;
}

void jt_detector_opened(struct jt_incarnation *incarnation)
{
	incarnation->unanswered = 0;
	incarnation->avoid_until_ms = 0;
}

bool jt_detector_probe_due(const struct jt_detector *detector,
			   const struct jt_incarnation *incarnation,
			   uint64_t now_ms)
{
	if (detector->injected_faults & JT_DIRECTOR_FAULT_NO_DETECTOR ||
	    incarnation->probing || now_ms < incarnation->probe_next_ms)
		return false;
	if (incarnation->state != JT_INCARNATION_DEAD)
		return incarnation->probe_pending ||
		       (incarnation->failed_probes > 0 &&
			incarnation->failed_probes < PROBES_TO_CONFIRM);
	return incarnation->confirmation_wanted ||
	       (incarnation->cause != JT_DEATH_REPLACED &&
		incarnation->entry.removed_revision == 0);
}

void jt_detector_request_confirmation(const struct jt_detector *detector,
				      struct jt_incarnation *incarnation)
{
	uint64_t earliest_ms =
		incarnation->probe_sent_ms + detector->probe_pause_ms;

	incarnation->confirmation_wanted = true;
	if (incarnation->probe_next_ms > earliest_ms)
		incarnation->probe_next_ms = earliest_ms;
}

bool jt_detector_pending(const struct jt_incarnation *incarnation)
{
	return incarnation->state == JT_INCARNATION_DEAD ||
	       incarnation->probing || incarnation->probe_pending ||
	       incarnation->failed_probes > 0;
}

void jt_detector_probe_sent(struct jt_incarnation *incarnation, uint64_t now_ms)
{
	incarnation->probing = true;
	incarnation->probe_pending = false;
	incarnation->confirmation_wanted = false;
	incarnation->probe_sent_ms = now_ms;
}

/* Returns true if a single failed probe confirms death without evidence from
 * an unacknowledged flow: if a client retransmits on an open flow, or a ready
 * endpoint refuses the connection. */
static bool single_failure_confirms(const struct jt_incarnation *incarnation,
				    enum jt_probe_outcome outcome)
{
	if (incarnation->suspected_ms != 0)
		return true;
	return outcome == JT_PROBE_REFUSED &&
	       incarnation->state == JT_INCARNATION_READY;
}

/* Returns true if a failed probe confirms that the incarnation is dead. */
static bool failure_confirms(const struct jt_detector *detector,
			     const struct jt_incarnation *incarnation,
			     enum jt_probe_outcome outcome, bool below_limit)
{
	if (detector->injected_faults & JT_DIRECTOR_FAULT_DEATH_UNCONFIRMED)
		return true;
	if (incarnation->progress_ms >= incarnation->probe_sent_ms)
		return false;
	if (!incarnation->flow_unacknowledged && !below_limit)
		return false;
	if (!incarnation->flow_unacknowledged &&
	    !single_failure_confirms(incarnation, outcome) &&
	    incarnation->failed_probes < PROBES_TO_CONFIRM)
		return false;
	/* If no endpoint has answered a packet sent after the probe, this node
	 * may be disconnected or its link may delay packets. */
	return outcome == JT_PROBE_REFUSED ||
	       detector->contact_ms >= incarnation->probe_sent_ms;
}

/* Handles a successful probe: decides if the identity at the address must be
 * verified. */
static enum jt_detector_result
probe_connected(struct jt_detector *detector,
		struct jt_incarnation *incarnation)
{
	if (incarnation->probe_sent_ms > detector->contact_ms)
		detector->contact_ms = incarnation->probe_sent_ms;
	incarnation->failed_probes = 0;
	if (incarnation->state == JT_INCARNATION_DEAD ||
	    incarnation->probe_connects > 0) {
		incarnation->probing = true;
		return JT_DETECTOR_IDENTIFY;
	}
	incarnation->probe_connects++;
	incarnation->suspected_ms = 0;
	incarnation->flow_unacknowledged = false;
	return JT_DETECTOR_NONE;
}

/* Handles a failed probe of a dead incarnation. If it confirms that the
 * endpoint had not restarted by then, flows seen before the probe have ended.
 * Two failures are needed if a restarted endpoint might be full. */
static enum jt_detector_result
dead_probe_failed(const struct jt_detector *detector,
		  struct jt_incarnation *incarnation,
		  enum jt_probe_outcome outcome, bool below_limit)
{
	if (incarnation->entry.start_time_ms == 0)
		return JT_DETECTOR_NONE;
	if (outcome != JT_PROBE_REFUSED &&
	    detector->contact_ms < incarnation->probe_sent_ms)
		return JT_DETECTOR_NONE;
	incarnation->failed_probes++;
	if (!below_limit && incarnation->failed_probes < PROBES_TO_CONFIRM)
		return JT_DETECTOR_NONE;
	incarnation->death_confirmed_ms = incarnation->probe_sent_ms;
	return JT_DETECTOR_STILL_DEAD;
}

enum jt_detector_result jt_detector_probed(struct jt_detector *detector,
					   struct jt_incarnation *incarnation,
					   enum jt_probe_outcome outcome,
					   bool below_limit, uint64_t now_ms,
					   enum jt_death_cause *cause)
{
	bool dead = incarnation->state == JT_INCARNATION_DEAD;

	incarnation->probing = false;
	incarnation->probe_next_ms =
		now_ms + (dead ? detector->dead_probe_pause_ms
			       : detector->probe_pause_ms);
	*cause = JT_DEATH_NONE;
	if (outcome == JT_PROBE_CONNECTED)
		return probe_connected(detector, incarnation);
	if (outcome == JT_PROBE_INCONCLUSIVE) {
		incarnation->probe_pending = incarnation->suspected_ms != 0;
		return JT_DETECTOR_NONE;
	}
	if (dead)
		return dead_probe_failed(detector, incarnation, outcome,
					 below_limit);
	incarnation->failed_probes++;
	if (failure_confirms(detector, incarnation, outcome, below_limit)) {
		incarnation->death_confirmed_ms = incarnation->probe_sent_ms;
		*cause = outcome == JT_PROBE_REFUSED ? JT_DEATH_REFUSED
						     : JT_DEATH_SILENT;
		return JT_DETECTOR_DEAD;
	}
	if (outcome == JT_PROBE_SILENT && incarnation->suspected_ms != 0)
		return JT_DETECTOR_RETRY;
	return JT_DETECTOR_NONE;
}

enum jt_detector_result
jt_detector_identified(struct jt_detector *detector,
		       struct jt_incarnation *incarnation, uint64_t found_id,
		       uint64_t now_ms)
{
	bool dead = incarnation->state == JT_INCARNATION_DEAD;

	incarnation->probing = false;
	incarnation->probe_next_ms =
		now_ms + (dead ? detector->dead_probe_pause_ms
			       : detector->probe_pause_ms);
	if (found_id == 0)
		return JT_DETECTOR_NONE;
	if (found_id != incarnation->entry.id) {
		incarnation->death_confirmed_ms = incarnation->probe_sent_ms;
		return dead && incarnation->entry.start_time_ms != 0
			       ? JT_DETECTOR_STILL_DEAD
			       : JT_DETECTOR_DEAD;
	}
	/* The detector does not decide which incarnation owns an address. */
	if (dead && incarnation->cause == JT_DEATH_REPLACED)
		return JT_DETECTOR_NONE;
	incarnation->probe_connects = 0;
	incarnation->suspected_ms = 0;
	incarnation->flow_unacknowledged = false;
	return dead ? JT_DETECTOR_ALIVE : JT_DETECTOR_NONE;
}
