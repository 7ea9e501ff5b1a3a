#include "jt_leave.h"

enum {
	/* Peers that are told to leave in the same moment hear of each other
	 * within this time. */
	SETTLE_MS = 50,
	/* Part of the limit for which a node waits for its turn. */
	WAIT_PERCENT = 45,
	/* Routers take a node out after so many refusals. */
	REFUSALS_OUT = 2,
	/* No packet for so long: routers have taken the node out. */
	QUIET_MS = 250,
};

void jt_leave_begin(struct jt_leave *leave, uint64_t now_ms)
{
	if (leave->stage != JT_LEAVE_STAYS)
		return;
	leave->stage = JT_LEAVE_WAITS;
	leave->began_ms = now_ms;
}

void jt_leave_packet(struct jt_leave *leave, uint64_t now_ms)
{
	leave->packet_ms = now_ms;
}

void jt_leave_refused(struct jt_leave *leave)
{
	if (leave->stage == JT_LEAVE_UNREADY)
		leave->refusals++;
}

/* Whether routers do without this node where @in others of the zone are in.
 * Other zones take over from a zone of one node. */
static bool enough(const struct jt_zone_view *zone, size_t in)
{
	if (zone->nodes == 0)
		return zone->elsewhere > 0;
	return in * 2 >= zone->nodes + 1;
}

static bool waits_on(const struct jt_leave *leave,
		     const struct jt_zone_view *zone, uint64_t limit_ms,
		     uint64_t now_ms)
{
	uint64_t waited_ms = now_ms - leave->began_ms;

	if (waited_ms < SETTLE_MS)
		return true;
	return !enough(zone, zone->serving + zone->waiting - zone->before) &&
	       waited_ms < limit_ms * WAIT_PERCENT / 100;
}

static bool ends(const struct jt_leave *leave, const struct jt_zone_view *zone,
		 uint64_t limit_ms, uint64_t now_ms)
{
	if (now_ms - leave->began_ms >= limit_ms)
		return true;
	if (zone->removed > 0)
		return false;
	/* Those that wait do so until this node is back. */
	return leave->refusals >= REFUSALS_OUT &&
	       now_ms - leave->packet_ms >= QUIET_MS &&
	       enough(zone, zone->serving + zone->waiting);
}

enum jt_leave_stage jt_leave_step(struct jt_leave *leave,
				  const struct jt_zone_view *zone,
				  uint64_t limit_ms, uint64_t now_ms)
{
	if (leave->stage == JT_LEAVE_WAITS &&
	    !waits_on(leave, zone, limit_ms, now_ms))
		leave->stage = JT_LEAVE_UNREADY;
	if (leave->stage == JT_LEAVE_UNREADY &&
	    ends(leave, zone, limit_ms, now_ms))
		leave->stage = JT_LEAVE_ENDS;
	return leave->stage;
}
