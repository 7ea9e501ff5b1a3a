#include "jt_peer_updates.h"
#include "jt_feature.h"
#include "jt_net.h"
#include "jt_timer.h"

enum {
	UPDATE_DELAY_MS = 10, /* delay that batches changes into one message */
};

struct jt_peer_updates {
	struct jt_peer_sender *sender;
	struct jt_membership *membership;
	struct jt_snapshot_handler handler;
	struct jt_timer *timer;
	bool pending;		/* the timer is running */
	uint64_t sent_revision; /* up to which updates were sent */
};

/* Adds the zone drains that changed since the last update. Returns false if
 * there are too many. */
static bool update_add_zones(const jt_wire_snapshot *snapshot,
			     jt_wire_update *update)
{
	jt_wire_zone_drain *zones = snapshot->zones.zones_val;
	u_int count = 0;

	for (u_int i = 0; i < snapshot->zones.zones_len; i++) {
		if (zones[i].revision <= snapshot->since)
			continue;
		if (count == JT_DIRECTOR_MAX_UPDATE_ZONES)
			return false;
		zones[count++] = zones[i];
	}
	update->zones.zones_val = zones;
	update->zones.zones_len = count;
	return true;
}

/* Adds the entries that changed since the last update, if they fit. */
static void update_add_entries(struct jt_peer_updates *updates,
			       TALLOC_CTX *frame,
			       const struct jt_own_state *own,
			       jt_wire_update *update)
{
	jt_wire_snapshot snapshot = {0};
	const struct jt_snapshot_request snapshot_request = {
		.since = updates->sent_revision,
		.version = own->routing_version,
	};

	/* An update without entries makes the receivers request a snapshot. */
	update->since = own->revision;
	if (updates->sent_revision == 0 ||
	    !updates->handler.snapshot(frame, &snapshot_request, &snapshot,
				       updates->handler.private_data) ||
	    !jt_snapshot_is_complete(&snapshot) ||
	    snapshot.since != updates->sent_revision ||
	    snapshot.entries.entries_len > JT_DIRECTOR_MAX_UPDATE_ENTRIES ||
	    !update_add_zones(&snapshot, update))
		return;
	update->since = snapshot.since;
	update->gap_from = snapshot.gap_from;
	update->gap_to = snapshot.gap_to;
	update->entries.entries_val = snapshot.entries.entries_val;
	update->entries.entries_len = snapshot.entries.entries_len;
}

static void on_update_due(void *private_data)
{
	struct jt_peer_updates *updates = private_data;
	struct jt_address targets[JT_UPDATE_FANOUT];
	size_t count =
		jt_membership_update_targets(updates->membership, targets);
	jt_wire_director_message message = {
		.from = updates->membership->id,
		.body.kind = JT_WIRE_UPDATE,
	};
	jt_wire_update *update = &message.body.jt_wire_director_body_u.update;
	TALLOC_CTX *frame = talloc_new(updates);
	struct jt_own_state own = {0};

	updates->pending = false;
	updates->handler.own_state(&own, updates->handler.private_data);
	jt_membership_own_state(updates->membership, &own, jt_clock_ms(),
				&update->digest);
	update_add_entries(updates, frame, &own, update);
	updates->sent_revision = own.revision;
	for (size_t i = 0; i < count; i++) {
		jt_peer_sender_send(updates->sender, targets[i], &message);
	}
	talloc_free(frame);
}

void jt_peer_updates_schedule(struct jt_peer_updates *updates)
{
	if (updates->pending ||
	    !jt_feature_enabled(updates->membership->disabled_features,
				JT_FEATURE_GOSSIP_UPDATES))
		return;
	updates->pending = true;
	jt_timer_set(updates->timer, UPDATE_DELAY_MS);
}

struct jt_peer_updates *
jt_peer_updates_create(TALLOC_CTX *mem_ctx,
		       const struct jt_peer_updates_options *options)
{
	struct jt_peer_updates *updates =
		talloc_zero(mem_ctx, struct jt_peer_updates);

	if (updates == NULL)
		return NULL;
	updates->sender = options->sender;
	updates->membership = options->membership;
	updates->handler = options->handler;
	updates->timer =
		jt_timer_create(updates, options->loop, on_update_due, updates);
	if (updates->timer == NULL)
		TALLOC_FREE(updates);
	return updates;
}
