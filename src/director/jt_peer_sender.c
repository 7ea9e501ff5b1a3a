#include "jt_peer_sender.h"
#include "jt_net.h"

#include <sys/socket.h>

void jt_peer_sender_send(struct jt_peer_sender *sender, struct jt_address to,
			 const jt_wire_director_message *message)
{
	uint8_t frame[JT_PEER_DATAGRAM_MAX];
	struct sockaddr_in name;
	size_t length = jt_peer_frames_seal(&sender->frames, to, message, frame,
					    sizeof(frame));

	if (length == 0)
		return;
	jt_address_to_socket(to, &name);
	(void)sendto(sender->fd, frame, length, MSG_DONTWAIT,
		     (struct sockaddr *)&name, sizeof(name));
}

static bool is_recipient(const struct jt_membership *membership,
			 const struct jt_peer *peer, bool only_zone)
{
	return jt_peer_is_alive(peer) &&
	       (!only_zone || peer->zone_id == membership->zone_id);
}

void jt_peer_sender_send_all(struct jt_peer_sender *sender,
			     const jt_wire_director_message *message,
			     bool only_zone)
{
	const struct jt_membership *membership = sender->membership;

	for (size_t i = 0; i < membership->count; i++) {
		const struct jt_peer *peer = &membership->peers[i];

		if (is_recipient(membership, peer, only_zone))
			jt_peer_sender_send(sender, peer->address, message);
	}
}

void jt_peer_sender_send_rotating(struct jt_peer_sender *sender,
				  const jt_wire_director_message *message,
				  size_t peers)
{
	const struct jt_membership *membership = sender->membership;
	size_t sent = 0;

	for (size_t i = 0; i < membership->count && sent < peers; i++) {
		const struct jt_peer *peer =
			&membership->peers[sender->next_index++ %
					   membership->count];

		if (!is_recipient(membership, peer, true))
			continue;
		jt_peer_sender_send(sender, peer->address, message);
		sent++;
	}
}
