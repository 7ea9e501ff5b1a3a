#include "jt_detector.h"

void jt_detector_init(struct jt_detector *detector,
		      const struct jt_director_options *options)
{
	*detector = (struct jt_detector){
		.probe_pause_ms = options->probe_pause_ms,
		.dead_probe_pause_ms = options->dead_probe_pause_ms,
		.break_mechanism = options->break_mechanism,
	};
}

void jt_detector_progress(struct jt_detector *detector,
			  struct jt_incarnation *incarnation, uint64_t now_ms)
{
	detector->contact_ms = now_ms;
	incarnation->progress_ms = now_ms;
	incarnation->vain_connects = 0;
	incarnation->suspected_ms = 0;
}

bool jt_detector_suspect(struct jt_detector *detector,
			 struct jt_incarnation *incarnation, uint64_t now_ms)
{
	if (detector->break_mechanism & JT_DIRECTOR_BREAK_NO_DETECTOR)
		return false;
	if (incarnation->state == JT_INCARNATION_DEAD)
		return false;
	if (incarnation->suspected_ms == 0)
		incarnation->suspected_ms = now_ms;
	return !incarnation->probing && now_ms >= incarnation->probe_next_ms;
}

bool jt_detector_probe_due(const struct jt_detector *detector,
			   const struct jt_incarnation *incarnation,
			   uint64_t now_ms)
{
	(void)detector;
	return incarnation->state == JT_INCARNATION_DEAD &&
	       incarnation->cause != JT_DEATH_REPLACED &&
	       incarnation->entry.gone_revision == 0 && !incarnation->probing &&
	       now_ms >= incarnation->probe_next_ms;
}

void jt_detector_probe_sent(struct jt_detector *detector,
			    struct jt_incarnation *incarnation, uint64_t now_ms)
{
	(void)detector;
	incarnation->probing = true;
	incarnation->probe_sent_ms = now_ms;
}

/* Whether a silent probe proves death. */
static bool silence_proves(const struct jt_detector *detector,
			   const struct jt_incarnation *incarnation)
{
	if (detector->break_mechanism & JT_DIRECTOR_BREAK_GUESS_DEATH)
		return true;
	if (incarnation->progress_ms >= incarnation->probe_sent_ms)
		return false;
	/* Where nobody answers, this node may be the one that is cut off. */
	return detector->contact_ms >= incarnation->probe_sent_ms;
}

enum jt_detector_verdict jt_detector_probed(struct jt_detector *detector,
					    struct jt_incarnation *incarnation,
					    enum jt_probe_outcome outcome,
					    uint64_t now_ms,
					    enum jt_death_cause *cause)
{
	bool dead = incarnation->state == JT_INCARNATION_DEAD;

	incarnation->probing = false;
	incarnation->probe_next_ms =
		now_ms + (dead ? detector->dead_probe_pause_ms
			       : detector->probe_pause_ms);
	*cause = JT_DEATH_NONE;
	switch (outcome) {
	case JT_PROBE_CONNECTED:
		detector->contact_ms = now_ms;
		if (dead || incarnation->vain_connects > 0) {
			incarnation->probing = true;
			return JT_VERDICT_IDENTIFY;
		}
		incarnation->vain_connects++;
		incarnation->suspected_ms = 0;
		return JT_VERDICT_NONE;
	case JT_PROBE_REFUSED:
		if (dead)
			return JT_VERDICT_NONE;
		*cause = JT_DEATH_REFUSED;
		return JT_VERDICT_DEAD;
	case JT_PROBE_SILENT:
		if (dead)
			return JT_VERDICT_NONE;
		if (!silence_proves(detector, incarnation))
			return JT_VERDICT_AGAIN;
		*cause = JT_DEATH_SILENT;
		return JT_VERDICT_DEAD;
	default:
		return JT_VERDICT_AGAIN;
	}
}

enum jt_detector_verdict
jt_detector_identified(struct jt_detector *detector,
		       struct jt_incarnation *incarnation, uint64_t found,
		       uint64_t now_ms)
{
	bool dead = incarnation->state == JT_INCARNATION_DEAD;

	incarnation->probing = false;
	incarnation->probe_next_ms =
		now_ms + (dead ? detector->dead_probe_pause_ms
			       : detector->probe_pause_ms);
	if (found == 0)
		return JT_VERDICT_NONE;
	if (found != incarnation->entry.id)
		return JT_VERDICT_DEAD;
	incarnation->vain_connects = 0;
	incarnation->suspected_ms = 0;
	return dead ? JT_VERDICT_ALIVE : JT_VERDICT_NONE;
}
