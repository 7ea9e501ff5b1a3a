/*
 * Failure detector for endpoints.
 *
 * Suspicion arises on the data path (a client retransmits without progress),
 * from discovery (an entry expires unannounced) or from a peer, and triggers a
 * probe. An endpoint is declared dead only if its address refuses connections,
 * if flows and connections get no response while other endpoints answer this
 * node, or if a later incarnation has its address.
 */
#ifndef JT_DETECTOR_H
#define JT_DETECTOR_H

#include "jt_endpoint_table.h"

struct jt_detector {
	/* Send time of the latest packet that was answered, from any
	 * endpoint. */
	uint64_t contact_ms;
	uint32_t probe_pause_ms;
	uint32_t dead_probe_pause_ms;
	unsigned injected_faults;
};

/* Initialises the detector with the pauses and faults in @options. */
void jt_detector_init(struct jt_detector *detector,
		      const struct jt_director_options *options);
/* Records that a flow of the incarnation got a response to a packet sent at
 * @sent_ms. */
void jt_detector_progress(struct jt_detector *detector,
			  struct jt_incarnation *incarnation, uint64_t sent_ms,
			  uint64_t now_ms);
/* Kinds of evidence against an incarnation. */
enum jt_evidence {
	/* A first packet got no response, or the discovery entry was removed:
	 * the endpoint may be full, shutting down or dead. It is avoided and
	 * probed. */
	JT_EVIDENCE_NO_RESPONSE,
	/* A client has retransmitted on an open flow: the packet may be lost,
	 * or be queued unacknowledged. */
	JT_EVIDENCE_RETRANSMISSION,
	/* A further retransmission was not acknowledged either, or a peer has
	 * reported the endpoint dead. */
	JT_EVIDENCE_UNACKNOWLEDGED,
};

/* Records evidence against the incarnation. Returns true if it must be probed
 * now. */
bool jt_detector_suspect(struct jt_detector *detector,
			 struct jt_incarnation *incarnation,
			 enum jt_evidence evidence, uint64_t now_ms);
/* Records a peer's death report for the incarnation. */
void jt_detector_peer_report(struct jt_incarnation *incarnation,
			     uint64_t now_ms);
/* Returns true if a peer has recently reported the incarnation dead and there
 * has been no progress since. */
bool jt_detector_peer_reported_dead(const struct jt_incarnation *incarnation,
				    uint64_t now_ms);
/* Records that a new flow has opened at the incarnation, so that it is not
 * full. */
void jt_detector_opened(struct jt_incarnation *incarnation);
/* Returns true if the incarnation is dead, or a probe is in progress or
 * pending. */
bool jt_detector_pending(const struct jt_incarnation *incarnation);
/* Returns true if the incarnation is due for another probe. */
bool jt_detector_probe_due(const struct jt_detector *detector,
			   const struct jt_incarnation *incarnation,
			   uint64_t now_ms);
/* Records that a probe was sent. */
void jt_detector_probe_sent(struct jt_incarnation *incarnation,
			    uint64_t now_ms);

/* Result of a probe or an identity query. */
enum jt_detector_result {
	JT_DETECTOR_NONE,
	JT_DETECTOR_IDENTIFY,	/* connected: verify the identity */
	JT_DETECTOR_DEAD,	/* declared dead; *cause is set */
	JT_DETECTOR_STILL_DEAD, /* confirmed dead at this probe */
	JT_DETECTOR_ALIVE,
	JT_DETECTOR_RETRY, /* probe inconclusive: repeat it */
};

/* Requests an early probe of a dead incarnation, because flows have arrived
 * that may belong to its successor. */
void jt_detector_request_confirmation(const struct jt_detector *detector,
				      struct jt_incarnation *incarnation);

/* Evaluates the outcome of the current probe. @below_limit: the endpoint is
 * below its connection limit. */
enum jt_detector_result jt_detector_probed(struct jt_detector *detector,
					   struct jt_incarnation *incarnation,
					   enum jt_probe_outcome outcome,
					   bool below_limit, uint64_t now_ms,
					   enum jt_death_cause *cause);

/* Evaluates the identity that answered at the address. @found_id is an endpoint
 * id, 0 if none was reported. */
enum jt_detector_result
jt_detector_identified(struct jt_detector *detector,
		       struct jt_incarnation *incarnation, uint64_t found_id,
		       uint64_t now_ms);

#endif
