/*
 * Ordered, acknowledged delivery of flow records to each peer (go-back-N).
 *
 * If an older record replaced a newer one of the same 5-tuple, the flow would
 * move to another endpoint when its owner fails. A restarted process has a
 * new node id, so sequence numbers of a node id never restart.
 */
#include "jt_core_private.h"

void jt_flow_to_wire(const struct jt_core *core, const struct jt_flow *flow,
		     jt_wire_record *record)
{
	uint8_t flags = flow->flags & (JT_FLOW_REPLICATED | JT_FLOW_CLOSING);

	record->source = flow->source;
	record->destination = flow->destination;
	record->ports =
		(uint32_t)flow->source_port << 16 | flow->destination_port;
	record->endpoint_id = flow->endpoint_id;
	record->bucket_protocol_flags = (uint32_t)flow->bucket << 16 |
					(uint32_t)flow->protocol << 8 | flags;
	record->idle_s = (uint32_t)(core->now_ms / 1000) - flow->seen_s;
}

static struct jt_records_outgoing *channel_tail(struct jt_core_peer *peer)
{
	struct jt_records_outgoing *tail = peer->queue;

	while (tail != NULL && tail->next != NULL)
		tail = tail->next;
	return tail;
}

uint32_t jt_channel_add(struct jt_core *core, struct jt_core_peer *peer,
			const jt_wire_record *record, bool handover)
{
	struct jt_records_outgoing *tail = channel_tail(peer);

	if (tail == NULL || tail->sent_ms != 0 ||
	    tail->count == JT_MAX_RECORDS || tail->handover != handover) {
		struct jt_records_outgoing *added =
			talloc_zero(peer, struct jt_records_outgoing);

		if (added == NULL)
			return 0;
		added->sequence = ++peer->next_sequence;
		added->handover = handover;
		if (tail == NULL)
			peer->queue = added;
		else
			tail->next = added;
		tail = added;
	}
	tail->records[tail->count++] = *record;
	core->counters.records_sent++;
	return tail->sequence;
}

static void channel_send(struct jt_core *core, struct jt_core_peer *peer,
			 struct jt_records_outgoing *outgoing,
			 struct jt_actions *actions)
{
	jt_wire_body *body = jt_core_send_relayed(core, actions, &peer->member,
						  JT_WIRE_RECORDS);
	jt_wire_records *message = &body->jt_wire_body_u.records;

	outgoing->sent_ms = core->now_ms;
	message->epoch = jt_accepted_epoch(core);
	message->sequence = outgoing->sequence;
	message->handover = outgoing->handover;
	message->records.records_len = outgoing->count;
	message->records.records_val =
		talloc_memdup(actions->messages, outgoing->records,
			      sizeof(jt_wire_record) * outgoing->count);
	if (message->records.records_val == NULL)
		message->records.records_len = 0;
}

/* Sends new messages immediately and retransmits with exponential backoff.
 * An unreachable peer is sent only the first message. */
void jt_channel_flush(struct jt_core *core, struct jt_core_peer *peer,
		      struct jt_actions *actions)
{
	struct jt_records_outgoing *outgoing = peer->queue;
	bool unreachable = jt_peer_is_suspect(core, peer->member.id) &&
			   jt_relay_member(core, peer->member.id) == NULL;
	size_t window = unreachable ? 1 : JT_CHANNEL_WINDOW;
	bool retransmitted = false;

	if (core->current == NULL || outgoing == NULL)
		return;
	if (peer->retransmit_ms == 0)
		peer->retransmit_ms = JT_RETRANSMIT_MS;
	for (size_t i = 0; i < window && outgoing; i++) {
		bool timed_out =
			outgoing->sent_ms != 0 &&
			core->now_ms >= outgoing->sent_ms + peer->retransmit_ms;

		if (outgoing->sent_ms == 0 || timed_out)
			channel_send(core, peer, outgoing, actions);
		retransmitted |= timed_out;
		outgoing = outgoing->next;
	}
	if (!retransmitted)
		return;
	peer->retransmit_ms *= 2;
	if (peer->retransmit_ms > JT_RETRANSMIT_MAX_MS)
		peer->retransmit_ms = JT_RETRANSMIT_MAX_MS;
}

void jt_channel_records(struct jt_core *core, struct jt_core_peer *peer,
			const jt_wire_records *message,
			struct jt_actions *actions)
{
	jt_wire_body *body;

	/* Messages of a sender at an older epoch are not acknowledged, because
	 * this node may already have handed over the bucket's records. */
	if (message->epoch < jt_accepted_epoch(core) ||
	    message->sequence > peer->expected_sequence + 1)
		return;
	if (message->sequence == peer->expected_sequence + 1) {
		peer->expected_sequence = message->sequence;
		for (u_int i = 0; i < message->records.records_len; i++)
			jt_records_store(core,
					 &message->records.records_val[i]);
	}
	body = jt_core_send_relayed(core, actions, &peer->member,
				    JT_WIRE_RECORDS_ACK);
	body->jt_wire_body_u.records_ack.epoch =
		core->current ? core->current->epoch : 0;
	body->jt_wire_body_u.records_ack.sequence = peer->expected_sequence;
}

void jt_channel_ack(struct jt_core *core, struct jt_core_peer *peer,
		    const jt_wire_records_ack *message,
		    struct jt_actions *actions)
{
	while (peer->queue != NULL &&
	       peer->queue->sequence <= message->sequence) {
		struct jt_records_outgoing *acknowledged = peer->queue;

		peer->queue = acknowledged->next;
		peer->retransmit_ms = JT_RETRANSMIT_MS;
		talloc_free(acknowledged);
	}
	jt_owner_acknowledged(core, peer, message->sequence, actions);
	jt_channel_flush(core, peer, actions);
}
