/* The network between callers, routers, nodes and endpoints: it loses packets,
 * and doubles some, the copy being late. */
#include "soak.h"

#include <string.h>
#include <sys/socket.h>

enum {
	DELAY_MOST_MS = 80,
	PERCENT = 100,
	LATER = 512, /* copies on their way */
};

struct later {
	uint64_t due_ms; /* 0: the place is free */
	int fd;
	struct jt_address to;
	size_t length;
	uint8_t data[SOAK_HEAD + sizeof(((struct soak_packet *)0)->data)];
};

struct soak_network {
	struct later later[LATER];
};

struct soak_network *soak_network_create(struct soak *soak)
{
	return talloc_zero(soak, struct soak_network);
}

static void send_now(int fd, struct jt_address to, const uint8_t *data,
		     size_t length)
{
	struct sockaddr_in name;

	jt_address_to_socket(to, &name);
	(void)sendto(fd, data, length, MSG_DONTWAIT, (struct sockaddr *)&name,
		     sizeof(name));
}

static void send_later(struct soak *soak, uint64_t delay_ms,
		       const struct soak_datagram *datagram)
{
	for (int i = 0; i < LATER; i++) {
		struct later *later = &soak->network->later[i];

		if (later->due_ms != 0)
			continue;
		later->due_ms = jt_clock_ms() + delay_ms;
		later->fd = datagram->fd;
		later->to = datagram->to;
		later->length = datagram->length;
		memcpy(later->data, datagram->data, datagram->length);
		return;
	}
}

void soak_network_tick(struct soak *soak, uint64_t now_ms)
{
	for (int i = 0; i < LATER; i++) {
		struct later *later = &soak->network->later[i];

		if (later->due_ms == 0 || now_ms < later->due_ms)
			continue;
		later->due_ms = 0;
		send_now(later->fd, later->to, later->data, later->length);
	}
}

static uint64_t draw(const struct soak *soak,
		     const struct soak_datagram *datagram,
		     enum soak_subject of_packet, enum soak_subject of_answer,
		     uint64_t below)
{
	return soak_draw(soak, datagram->is_answer ? of_answer : of_packet,
			 datagram->name, datagram->number, below);
}

void soak_network_send(struct soak *soak, const struct soak_datagram *datagram)
{
	if (draw(soak, datagram, SOAK_DRAW_PACKET_LOST, SOAK_DRAW_ANSWER_LOST,
		 PERCENT) < soak->drop_percent) {
		soak->copies_dropped++;
		return;
	}
	if (draw(soak, datagram, SOAK_DRAW_PACKET_DOUBLED,
		 SOAK_DRAW_ANSWER_DOUBLED, PERCENT) < soak->copy_percent)
		send_later(soak,
			   1 + draw(soak, datagram, SOAK_DRAW_PACKET_DELAY,
				    SOAK_DRAW_ANSWER_DELAY, DELAY_MOST_MS),
			   datagram);
	send_now(datagram->fd, datagram->to, datagram->data, datagram->length);
}
