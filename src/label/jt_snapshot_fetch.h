/*
 * Tracks the transfer of a state snapshot from peers, slice by slice.
 *
 * Received slices are kept: if a peer fails, another one is asked for the rest.
 * A snapshot from several peers is complete up to the lowest of their
 * revisions.
 *
 * This module does no I/O: the driver queries peers and reports their
 * responses.
 */
#ifndef JT_SNAPSHOT_FETCH_H
#define JT_SNAPSHOT_FETCH_H

#include "jt_snapshot.h"
#include "jt_membership.h"

/* Progress and combined result of a transfer. */
struct jt_snapshot_fetch {
	bool begun;
	uint64_t since;	   /* all changes up to it were known at the start */
	uint32_t slice;	   /* next slice to request */
	uint64_t revision; /* lowest revision of the responses */
	uint32_t initial_sync_ms;   /* longest one of the responses */
	struct jt_listing_gap gap;  /* union of the senders' listing gaps */
	uint64_t incomplete_before; /* before this revision a sender may lack
				       changes */
	uint64_t store_as_of_ms;    /* oldest time of the senders' state */
	uint64_t store_reader;	    /* id of the node that read it then */
};

/* Returns the request for the next peer. Restarts the transfer if its result
 * would be outdated. */
struct jt_snapshot_request
jt_snapshot_fetch_request(struct jt_snapshot_fetch *fetch,
			  const struct jt_own_state *own);
/* Records the response to a request sent at @requested_ms, from which the age
 * of the sender's state is counted, since the response may have been held up.
 * Returns true if it completes the snapshot; @fetch then describes the result
 * until the next call of jt_snapshot_fetch_request. Ignores a response to
 * another request. */
bool jt_snapshot_fetch_record(struct jt_snapshot_fetch *fetch,
			      const jt_wire_snapshot *snapshot,
			      uint64_t requested_ms);

#endif
