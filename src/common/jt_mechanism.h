/*
 * Mechanisms of a director node that a setting can switch off, to measure what
 * each is worth. For experiments only: all are on unless `without` names them.
 */
#ifndef JT_MECHANISM_H
#define JT_MECHANISM_H

#include <stdbool.h>
#include <stdint.h>

/* Bits of a set of mechanisms. */
enum jt_mechanism {
	JT_MECHANISM_ZONE_FIRST = 1 << 0,     /* own zone's endpoints first */
	JT_MECHANISM_PEER_WORK = 1 << 1,      /* peers' work counts */
	JT_MECHANISM_SLOWNESS = 1 << 2,	      /* measured speed counts */
	JT_MECHANISM_COLD = 1 << 3,	      /* cold endpoints get less */
	JT_MECHANISM_NEWCOMER_SHARE = 1 << 4, /* newcomers get no more */
	JT_MECHANISM_DOUBT_OPENING = 1 << 5,  /* no answer to a first packet */
	JT_MECHANISM_DOUBT_RESENT = 1 << 6,   /* data sent again */
	JT_MECHANISM_PEER_SUSPICION = 1 << 7, /* peers' verdicts are probed */
	JT_MECHANISM_REFUSE_FULL = 1 << 8,    /* full endpoints get none */
	JT_MECHANISM_PARTS_GIVE_WAY = 1 << 9, /* to parts with better ones */
	JT_MECHANISM_OUTAGE_LAPSES = 1 << 10, /* live ones keep new flows */
	JT_MECHANISM_NEWS = 1 << 11,	      /* changes are told at once */
	JT_MECHANISM_NEAR_DIGESTS = 1 << 12,  /* most stay in their zone */
	JT_MECHANISM_ONE_WATCHER = 1 << 13,   /* other readers only check */
	JT_MECHANISM_FEW_READERS = 1 << 14,   /* most leave it to peers */
	JT_MECHANISM_FIRST_START = 1 << 15,   /* is spread over time */
	JT_MECHANISM_PEERS_FIRST = 1 << 16,   /* a start asks peers first */
	JT_MECHANISM_LEAVE_IN_TURN = 1 << 17, /* nodes of a zone */
	JT_MECHANISM_EARLY_END = 1 << 18,     /* when packets stop */
	JT_MECHANISM_OUTLIERS = 1 << 19,     /* what fails requests gets none */
	JT_MECHANISM_HOLD_UNKNOWN = 1 << 20, /* packets wait for entries */
	JT_MECHANISM_SPREAD_LEARNING = 1 << 21, /* so do new flows */
	JT_MECHANISM_PARTLY_KNOWN = 1 << 22,	/* is enough to place flows */
	JT_MECHANISM_ADMISSION = 1 << 23, /* full services refuse by priority */
	JT_MECHANISM_SHORT_ANSWERS = 1 << 24, /* may be failures */
	JT_MECHANISM_FAST_FIRST = 1 << 25,    /* slow ones rest till needed */
	JT_MECHANISM_ZONE_ROOM = 1 << 26,   /* flows go far for want of room */
	JT_MECHANISM_FLOW_LOOKUP = 1 << 27, /* peers are asked for flows */
};

/* The mechanism of that name, 0 when there is none. */
uint32_t jt_mechanism_find(const char *name);
/* The names, ended by NULL. */
const char *const *jt_mechanism_names(void);

/* Whether the mechanism is on where those of @without are off. */
static inline bool jt_mechanism_on(uint32_t without,
				   enum jt_mechanism mechanism)
{
	return (without & (uint32_t)mechanism) == 0;
}

#endif
