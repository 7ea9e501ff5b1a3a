#include "jt_leave.h"

enum {
	/* Time within which nodes that begin to leave at the same moment learn
	 * of each other. */
	SETTLE_MS = 50,
	/* Part of the limit for which a node waits for other nodes. */
	WAIT_PERCENT = 45,
	/* Routers stop using a node after this many refusals. */
	MIN_REFUSALS = 2,
	/* Without packets for this long, routers no longer use the node. */
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

/* Returns true if routers don't need this node while @in_use other nodes of the
 * zone are in use. If it is the only node of its zone, the other zones take
 * over. */
static bool zone_can_spare_node(const struct jt_zone_view *zone, size_t in_use)
{
	if (zone->nodes == 0)
		return zone->serving_other_zones > 0;
	return in_use * 2 >= zone->nodes + 1;
}

static bool should_wait(const struct jt_leave *leave,
			const struct jt_zone_view *zone, uint64_t limit_ms,
			uint64_t now_ms)
{
	uint64_t waited_ms = now_ms - leave->began_ms;

	if (waited_ms < SETTLE_MS)
		return true;
	return !zone_can_spare_node(zone, zone->serving + zone->waiting -
						  zone->waiting_before) &&
	       waited_ms < limit_ms * WAIT_PERCENT / 100;
}

static bool should_end(const struct jt_leave *leave,
		       const struct jt_zone_view *zone, uint64_t limit_ms,
		       uint64_t now_ms)
{
	if (now_ms - leave->began_ms >= limit_ms)
		return true;
	if (zone->removed > 0)
		return false;
	/* Waiting nodes stay until this node is back. */
	return leave->refusals >= MIN_REFUSALS &&
	       now_ms - leave->packet_ms >= QUIET_MS &&
	       zone_can_spare_node(zone, zone->serving + zone->waiting);
}

enum jt_leave_stage jt_leave_step(struct jt_leave *leave,
				  const struct jt_zone_view *zone,
				  uint64_t limit_ms, uint64_t now_ms)
{
	if (leave->stage == JT_LEAVE_WAITS &&
	    !should_wait(leave, zone, limit_ms, now_ms))
		leave->stage = JT_LEAVE_UNREADY;
	if (leave->stage == JT_LEAVE_UNREADY &&
	    should_end(leave, zone, limit_ms, now_ms))
		leave->stage = JT_LEAVE_ENDS;
	return leave->stage;
}
