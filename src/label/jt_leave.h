/*
 * Decides when a node that is being stopped leaves its zone.
 *
 * Routers stop using a node after it has answered a few readiness checks with
 * "not ready". If fewer than half of the nodes of a zone are in use, they fall
 * back to all of its nodes, including those taken out. So a node leaves only if
 * enough peers of its zone are in use and stay; until then it waits and serves
 * as before. Nodes that wait at the same time leave in the order of their ids.
 *
 * A node that reports "not ready" ends as soon as no more packets of clients
 * arrive, or at its time limit. If peers have left without being replaced, the
 * zone is being scaled down rather than restarted: routers count the removed
 * nodes for some time, so a node stays until its limit.
 *
 * This module does no I/O: the driver reports events and asks for the stage.
 * Times are monotonic milliseconds.
 */
#ifndef JT_LEAVE_H
#define JT_LEAVE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Counts of the other nodes as this node sees them. */
struct jt_zone_view {
	size_t nodes; /* known in the zone, including lost and not ready ones */
	size_t serving;	       /* ready and not leaving */
	size_t waiting;	       /* ready and waiting to leave */
	size_t waiting_before; /* waiting nodes that leave before this one */
	size_t serving_other_zones; /* serving, in other zones */
	size_t removed; /* in any zone: left without being replaced */
};

enum jt_leave_stage {
	JT_LEAVE_STAYS,	  /* in normal operation */
	JT_LEAVE_WAITS,	  /* still serves, until enough peers are in use */
	JT_LEAVE_UNREADY, /* reports "not ready", still forwards packets */
	JT_LEAVE_ENDS,	  /* the process may end */
};

struct jt_leave {
	enum jt_leave_stage stage;
	uint64_t began_ms;  /* start of the leave */
	uint64_t packet_ms; /* time of the last packet from a client */
	unsigned refusals;  /* readiness checks answered with "not ready" */
};

/* Starts the leave; has no effect if it has already started. */
void jt_leave_begin(struct jt_leave *leave, uint64_t now_ms);
/* Records a packet from a client. */
void jt_leave_packet(struct jt_leave *leave, uint64_t now_ms);
/* Records a readiness check answered with "not ready". */
void jt_leave_refused(struct jt_leave *leave);
/*
 * Advances to the next stage if that is due; returns the stage. @limit_ms:
 * maximum time from the start of the leave to its end.
 */
enum jt_leave_stage jt_leave_step(struct jt_leave *leave,
				  const struct jt_zone_view *zone,
				  uint64_t limit_ms, uint64_t now_ms);

#endif
