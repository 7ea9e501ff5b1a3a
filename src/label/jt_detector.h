/*
 * The failure detector of endpoints.
 *
 * Suspicion comes from the data path (a caller sends again and gets nothing),
 * from discovery (an entry goes without a word) or from a peer. It leads to a
 * probe. An endpoint is dead only when its address refuses connections, when
 * flows and connections get no answer while other endpoints answer this node,
 * or when a later incarnation has its address. Anything less changes nothing.
 */
#ifndef JT_DETECTOR_H
#define JT_DETECTOR_H

#include "jt_endpoint_table.h"

struct jt_detector {
	uint64_t contact_ms; /* when the last of what got an answer was sent */
	uint32_t probe_pause_ms;
	uint32_t dead_probe_pause_ms;
	unsigned break_mechanism;
};

void jt_detector_init(struct jt_detector *detector,
		      const struct jt_director_options *options);
/* A flow of the incarnation got an answer to what was sent at @sent_ms. */
void jt_detector_progress(struct jt_detector *detector,
			  struct jt_incarnation *incarnation, uint64_t sent_ms,
			  uint64_t now_ms);
/* What speaks against an incarnation. */
enum jt_evidence {
	/* A first packet has no answer, or the entry went: it may be full, or
	 * leaving, as well as dead. It is avoided, and probed. */
	JT_EVIDENCE_OPENING,
	/* A caller has sent again on an open flow: what it sent may be lost,
	 * or wait in a queue without having been acknowledged. */
	JT_EVIDENCE_RESENT,
	/* It has sent the same once more, and even that was not acknowledged;
	 * or a peer has found the endpoint dead. */
	JT_EVIDENCE_FLOW,
};

/* True: probe the incarnation now. */
bool jt_detector_suspect(struct jt_detector *detector,
			 struct jt_incarnation *incarnation,
			 enum jt_evidence evidence, uint64_t now_ms);
/* A peer has found the incarnation dead. */
void jt_detector_peer_verdict(struct jt_incarnation *incarnation,
			      uint64_t now_ms);
/* Whether a peer has found it dead lately, and nothing shows the contrary. */
bool jt_detector_peer_found_dead(const struct jt_incarnation *incarnation,
				 uint64_t now_ms);
/* A new flow has opened at the incarnation: it is not full. */
void jt_detector_opened(struct jt_incarnation *incarnation);
/* Whether a probe is under way there, or may be due some time. */
bool jt_detector_pending(const struct jt_incarnation *incarnation);
/* True when a dead incarnation is due for another probe. */
bool jt_detector_probe_due(const struct jt_detector *detector,
			   const struct jt_incarnation *incarnation,
			   uint64_t now_ms);
void jt_detector_probe_sent(struct jt_incarnation *incarnation,
			    uint64_t now_ms);

enum jt_detector_verdict {
	JT_VERDICT_NONE,
	JT_VERDICT_IDENTIFY,   /* something answers: ask who */
	JT_VERDICT_DEAD,       /* with *cause */
	JT_VERDICT_STILL_DEAD, /* also at the time of this probe */
	JT_VERDICT_ALIVE,
	JT_VERDICT_AGAIN, /* the probe told nothing: probe again */
};

/* Flows came to the dead incarnation that may be the next one's: look there
 * again, soon. */
void jt_detector_want_proof(const struct jt_detector *detector,
			    struct jt_incarnation *incarnation);

/* What the outcome of the probe under way means. @far_from_full: the endpoint
 * can not be short of connections. */

enum jt_detector_verdict jt_detector_probed(struct jt_detector *detector,
					    struct jt_incarnation *incarnation,
					    enum jt_probe_outcome outcome,
					    bool far_from_full, uint64_t now_ms,
					    enum jt_death_cause *cause);

/* Who answered at the address: @found is 0 when nobody said. */
enum jt_detector_verdict
jt_detector_identified(struct jt_detector *detector,
		       struct jt_incarnation *incarnation, uint64_t found,
		       uint64_t now_ms);

#endif
