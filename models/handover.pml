/*
 * Model of the handover of one bucket from P to Q while the cell advances
 * from epoch e to e+1; R is P's replica. Messages arrive in any order or
 * never. P may be paused at any point, and may be evicted in e+1 or stay a
 * member.
 *
 * The protections, each of which can be disabled by a macro:
 *   barrier   Q waits until every member has committed and transferred its
 *             records, and until an evicted one must have lost its lease
 *                                                              (NO_BARRIER)
 *   freeze    P places no flows once it has accepted e+1       (NO_FREEZE)
 *   refusal   R neither stores nor acknowledges a record from a node that
 *             has not accepted what R has accepted             (TAKE_OLD)
 *   lease     no node grants a lease to a node at an older epoch
 *                                                              (NO_LEASE)
 */
#define P 0
#define Q 1
#define R 2

bool accepted[3], committed[3], transferred[3];
bool lease[3] = true;      /* as seen by the node itself */
bool evicted;              /* P is not a member of e+1 */
bool chosen;               /* a majority has accepted e+1 */
bool waited;               /* a lease duration has passed since then */
bool serving;              /* Q serves e+1 */

/* Flow 1 has a record from the start, flow 2 is placed during the change. */
bool first_at_q, second_at_r, second_at_q, second_open;
bool second_passing;       /* R forwards it, after any delay */

#ifdef NO_FREEZE
#define P_SERVES (lease[P])
#else
#define P_SERVES (lease[P] && !accepted[P])
#endif
#ifdef NO_LEASE
#define EXPIRED true
#define MAY_EXPIRE false
#else
#define EXPIRED (accepted[P] || !lease[P])
#define MAY_EXPIRE true
#endif
#ifdef TAKE_OLD
#define R_TAKES true
#else
#define R_TAKES (!accepted[R])
#endif
#ifdef NO_BARRIER
#define BARRIER true
#else
#define BARRIER (transferred[Q] && committed[R] && transferred[R] && \
	((committed[P] && transferred[P]) || (evicted && waited)))
#endif
#define ACCEPTS (accepted[P] + accepted[Q] + accepted[R])

inline accept(n) { accepted[n] = true }

active proctype cell()
{
	if
	:: evicted = true
	:: evicted = false
	fi;
	do
	/* Agreement */
	:: atomic { !accepted[P] && !evicted -> accept(P) }
	:: atomic { !accepted[Q] -> accept(Q) }
	:: atomic { !accepted[R] -> accept(R) }
	:: atomic { !chosen && ACCEPTS >= 2 -> chosen = true }
	:: atomic { chosen && accepted[P] && !committed[P] -> committed[P] = true }
	:: atomic { chosen && accepted[Q] && !committed[Q] -> committed[Q] = true }
	:: atomic { chosen && accepted[R] && !committed[R] -> committed[R] = true }
	/* Handover, acknowledged by Q */
	:: atomic { accepted[P] && !transferred[P] ->
		first_at_q = true;
		second_at_q = second_at_q || second_open;
		transferred[P] = true }
	:: atomic { accepted[R] && !transferred[R] ->
		if
		:: evicted -> first_at_q = true;
			second_at_q = second_at_q || second_at_r
		:: else
		fi;
		transferred[R] = true }
	:: atomic { accepted[Q] && !transferred[Q] -> transferred[Q] = true }
	/* Lease: P gets no more grants once a majority has accepted e+1 */
	:: atomic { MAY_EXPIRE && chosen && !accepted[P] && lease[P] ->
		lease[P] = false }
	:: atomic { chosen && !waited && EXPIRED -> waited = true }
	/* P places a flow: it replicates the record, then forwards the packet */
	:: atomic { P_SERVES && !second_at_r && R_TAKES
		-> second_at_r = true;
		if
		:: accepted[R] -> second_passing = true
		:: else
		fi }
	:: atomic { P_SERVES && second_at_r && !second_open -> second_open = true }
	:: atomic { second_passing -> second_at_q = true; second_passing = false }
	/* Q passes the barrier */
	:: atomic { !serving && committed[Q] && BARRIER -> serving = true }
	/* Safety properties */
	:: atomic { serving -> assert(!P_SERVES) }
	:: atomic { serving -> assert(first_at_q) }
	:: atomic { serving && second_open -> assert(second_at_q) }
	od
}
