#include "jt_peer_flows.h"

static jt_wire_flow flow_wire(const struct jt_flow_key *key, uint32_t sequence)
{
	return (jt_wire_flow){
		.source = key->source,
		.destination = key->destination,
		.source_port = key->source_port,
		.destination_port = key->destination_port,
		.protocol = key->protocol,
		.sequence = sequence,
	};
}

static struct jt_flow_key flow_key(const jt_wire_flow *flow)
{
	return (struct jt_flow_key){
		.source = flow->source,
		.destination = flow->destination,
		.source_port = (uint16_t)flow->source_port,
		.destination_port = (uint16_t)flow->destination_port,
		.protocol = (uint8_t)flow->protocol,
	};
}

size_t jt_peer_flows_lookup_send(struct jt_peer_sender *sender,
				 struct jt_membership *membership,
				 const struct jt_flow_key *key,
				 uint32_t sequence)
{
	struct jt_address targets[JT_FLOW_LOOKUP_FANOUT];
	size_t count = jt_membership_flow_lookup_targets(membership, targets);
	jt_wire_director_message message = {
		.from = membership->id,
		.body.kind = JT_WIRE_FLOW_LOOKUP,
	};

	message.body.jt_wire_director_body_u.flow_lookup.flow =
		flow_wire(key, sequence);
	for (size_t i = 0; i < count; i++)
		jt_peer_sender_send(sender, targets[i], &message);
	return count;
}

void jt_peer_flows_reply(struct jt_peer_sender *sender,
			 const struct jt_peer_flow_handler *handler,
			 struct jt_address to,
			 const jt_wire_flow_lookup *lookup)
{
	struct jt_flow_key key = flow_key(&lookup->flow);
	jt_wire_director_message message = {
		.from = sender->membership->id,
		.body.kind = JT_WIRE_FLOW_LOOKUP_RESPONSE,
	};
	jt_wire_flow_lookup_response *response =
		&message.body.jt_wire_director_body_u.flow_lookup_response;

	response->flow = lookup->flow;
	response->label = handler->label(&key, lookup->flow.sequence,
					 handler->private_data);
	jt_peer_sender_send(sender, to, &message);
}

void jt_peer_flows_response_handle(const struct jt_peer_flow_handler *handler,
				   const jt_wire_flow_lookup_response *response)
{
	struct jt_flow_key key = flow_key(&response->flow);

	handler->answered(&key, response->flow.sequence, response->label,
			  handler->private_data);
}
