/*
 * How a node that was told to stop leaves its zone.
 *
 * Routers take a node out of use after it has answered a few readiness checks
 * with "not ready". They turn back to all nodes of a zone, also those that are
 * out, when fewer than half of them are in. So a node goes only where enough
 * peers of its zone are in and stay; until then it waits and serves on as
 * before. Nodes that wait together go one after the other, by their ids.
 *
 * Once it has told that it is not ready, a node ends as soon as callers'
 * packets stop coming, or just before its limit. Where peers have left and did
 * not come back, nodes are being removed rather than restarted; routers then
 * go on counting them for a while, and a node stays to its limit.
 *
 * Pure: the driver reports and asks. Times are monotonic milliseconds.
 */
#ifndef JT_LEAVE_H
#define JT_LEAVE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What a node believes of the other nodes of its zone. */
struct jt_zone_view {
	size_t nodes;	  /* known, also those that are lost or not ready */
	size_t serving;	  /* ready and not leaving */
	size_t waiting;	  /* ready and waiting to leave */
	size_t before;	  /* those of the waiting that go before this node */
	size_t elsewhere; /* serving, in other zones */
	size_t removed;	  /* of any zone: left, and did not come back */
};

enum jt_leave_stage {
	JT_LEAVE_STAYS,	  /* was not told to leave */
	JT_LEAVE_WAITS,	  /* serves on until enough peers are in */
	JT_LEAVE_UNREADY, /* tells routers so, and forwards on */
	JT_LEAVE_ENDS,	  /* the process may end */
};

struct jt_leave {
	enum jt_leave_stage stage;
	uint64_t began_ms;  /* when it was told to leave */
	uint64_t packet_ms; /* when a caller's packet last came */
	unsigned refusals;  /* readiness checks answered with "not ready" */
};

/* The node was told to leave. */
void jt_leave_begin(struct jt_leave *leave, uint64_t now_ms);
/* A packet of a caller came. */
void jt_leave_packet(struct jt_leave *leave, uint64_t now_ms);
/* A readiness check was answered with "not ready". */
void jt_leave_refused(struct jt_leave *leave);
/*
 * Go on if that is due; returns the stage. @limit_ms: from the begin to the
 * latest end.
 */
enum jt_leave_stage jt_leave_step(struct jt_leave *leave,
				  const struct jt_zone_view *zone,
				  uint64_t limit_ms, uint64_t now_ms);

#endif
